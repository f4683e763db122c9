#include "libparsleygw/loss.h"

void
pgw_loss_init(struct pgw_loss *out, const struct pgw_loss_options *options)
{
    *out = (struct pgw_loss){.options = *options};
    out->options.suspects_max =
        MIN(options->suspects_max, PGW_LOSS_SUSPECTS_MAX);
}

bool
pgw_loss_record_break(uint32_t *out, struct pgw_loss *loss, uint32_t lost,
                      uint64_t now_us)
{
    bool alone =
        !loss->any || now_us > loss->last_us + loss->options.window_us;

#ifdef PGW_DISABLE_LOSS_MANY
    alone = true;
#else
    /*
     * Failure: a rack or this process's network goes. Symptom: every entry
     * makes suspects of all it had there, and these take the store's writes
     * and one engine each. Only the first break of a series makes any.
     */
#endif
    loss->any = true;
    loss->last_us = now_us;
    *out = alone ? MIN(lost, loss->options.suspects_max) : 0;
    return alone;
}

bool
pgw_loss_is_candidate(const struct pgw_loss *loss, uint64_t opened_us,
                      uint64_t heard_us)
{
    return opened_us + loss->options.recent_us >= heard_us &&
           opened_us <= heard_us + loss->options.slack_us;
}
