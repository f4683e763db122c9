#include "libparsleygw/loss.h"

void
pgw_loss_init(struct pgw_loss *out, const struct pgw_loss_options *options)
{
    *out = (struct pgw_loss){.options = *options};
    out->options.suspects_max =
        MIN(options->suspects_max, PGW_LOSS_SUSPECTS_MAX);
}

bool
pgw_loss_record_break(uint32_t *out, struct pgw_loss *loss,
                      uint32_t candidate_count, uint64_t now_us)
{
    bool is_isolated = !loss->has_break ||
                       now_us > loss->last_break_us + loss->options.window_us;

#ifdef PGW_DISABLE_LOSS_MANY
    is_isolated = true;
#else
    /*
     * Failure: a rack or the network of this process fails. Symptom: every
     * entry marks all its attempts there as suspects, which load the store
     * with writes and occupy one engine each. Only the first break of a series
     * marks suspects.
     */
#endif
    loss->has_break = true;
    loss->last_break_us = now_us;
    *out = is_isolated ? MIN(candidate_count, loss->options.suspects_max) : 0;
    return is_isolated;
}

bool
pgw_loss_is_candidate(const struct pgw_loss *loss, uint64_t opened_us,
                      uint64_t last_seen_us)
{
    return opened_us + loss->options.recent_us >= last_seen_us &&
           opened_us <= last_seen_us + loss->options.slack_us;
}
