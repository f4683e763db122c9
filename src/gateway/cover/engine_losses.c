#include "gateway/cover/engine_losses.h"

static int
is_recent(const struct pgw_engine_loss *loss, uint64_t now_us)
{
    return loss->at_us > 0 && now_us < loss->at_us + PGW_ENGINE_LOSS_TIME_US;
}

void
pgw_engine_losses_add(struct pgw_engine_losses *losses, uint64_t engine,
                      uint64_t service, uint64_t zone, uint64_t now_us)
{
    for (size_t i = 0; i < PGW_ENGINE_LOSSES_MAX; i++) {
        const struct pgw_engine_loss *loss = &losses->items[i];

        if (loss->engine == engine && loss->at_us > 0 &&
            now_us < loss->at_us + PGW_ENGINE_LOSS_SIGNS_US) {
            return;
        }
    }
    losses->items[losses->next] = (struct pgw_engine_loss){
        .engine = engine,
        .service = service,
        .zone = zone,
        .at_us = now_us,
    };
    losses->next = (losses->next + 1) % PGW_ENGINE_LOSSES_MAX;
}

unsigned
pgw_engine_losses_count(const struct pgw_engine_losses *losses,
                        uint64_t service, uint64_t zone, uint64_t now_us)
{
    unsigned count = 0;

    for (size_t i = 0; i < PGW_ENGINE_LOSSES_MAX; i++) {
        const struct pgw_engine_loss *loss = &losses->items[i];

        count += is_recent(loss, now_us) && loss->service == service &&
                 (zone == 0 || loss->zone == zone);
    }
    return count;
}
