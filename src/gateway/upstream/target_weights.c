#include "gateway/upstream/target_weights.h"
#include <string.h>

uint64_t
pgw_target_weights_newest(const struct pgw_target_weights *weights)
{
    return weights->count == 0 ? 0
                               : weights->versions[weights->count - 1].version;
}

bool
pgw_target_weights_add(struct pgw_target_weights *weights, uint64_t version,
                       uint64_t announced_at_us, uint64_t received_at_us)
{
    if (version <= pgw_target_weights_newest(weights)) {
        return false;
    }
    if (weights->count == PGW_TARGET_WEIGHTS_MAX) {
        /* The deadline of the oldest version passes first. */
        memmove(weights->versions, weights->versions + 1,
                (PGW_TARGET_WEIGHTS_MAX - 1) * sizeof(weights->versions[0]));
        weights->count--;
    }
    weights->versions[weights->count++] = (struct pgw_target_version){
        .version = version,
        .announced_at_us = announced_at_us,
        .received_at_us = received_at_us,
    };
    return true;
}

static uint64_t
began_us(const struct pgw_target_version *version, bool from_receipt)
{
    return from_receipt ? version->received_at_us : version->announced_at_us;
}

/* The newest version that began @limit_us ago or earlier. */
static uint64_t
newest_since(const struct pgw_target_weights *weights, bool from_receipt,
             uint64_t limit_us, uint64_t now_us)
{
    uint64_t newest = 0;

    for (size_t i = 0; i < weights->count; i++) {
        if (now_us >=
            began_us(&weights->versions[i], from_receipt) + limit_us) {
            newest = weights->versions[i].version;
        }
    }
    return newest;
}

uint64_t
pgw_target_weights_oldest_usable(const struct pgw_target_weights *weights,
                                 uint64_t limit_us, uint64_t now_us)
{
    return newest_since(weights, false, limit_us, now_us);
}

uint64_t
pgw_target_weights_oldest_preferred(const struct pgw_target_weights *weights,
                                    uint64_t grace_us, uint64_t now_us)
{
    return newest_since(weights, true, grace_us, now_us);
}

uint64_t
pgw_target_weights_next_end_us(const struct pgw_target_weights *weights,
                               uint64_t limit_us, uint64_t now_us)
{
    uint64_t next_us = 0;

    for (size_t i = 0; i < weights->count; i++) {
        uint64_t end_us = weights->versions[i].announced_at_us + limit_us;

        if (end_us > now_us && (next_us == 0 || end_us < next_us)) {
            next_us = end_us;
        }
    }
    return next_us;
}

const struct pgw_target_version *
pgw_target_weights_next(const struct pgw_target_weights *weights,
                        uint64_t version)
{
    for (size_t i = 0; i < weights->count; i++) {
        if (weights->versions[i].version > version) {
            return &weights->versions[i];
        }
    }
    return NULL;
}

uint64_t
pgw_target_weights_usable_for_us(const struct pgw_target_weights *weights,
                                 uint64_t version, uint64_t limit_us,
                                 uint64_t now_us)
{
    const struct pgw_target_version *next =
        pgw_target_weights_next(weights, version);
    uint64_t end_us;

    if (next == NULL) {
        return UINT64_MAX;
    }
    end_us = next->announced_at_us + limit_us;
    return end_us > now_us ? end_us - now_us : 0;
}
