#include "gateway/source.h"

/*
 * A gain: an engine that holds the first of several parts, which many prompts
 * share, is no source for the rest: what it lacks would be read again.
 */
static bool
is_good_holder(const struct pgw_source_input *input,
               const struct pgw_source_options *options)
{
    return input->has_holder &&
           (!input->has_store || !options->requires_full_holder ||
            input->holder_missing < options->fetch_min);
}

struct pgw_source
pgw_source_decide(const struct pgw_source_input *input,
                  const struct pgw_source_options *options)
{
    bool lacks = input->missing >= options->fetch_min;

    if (!lacks && input->shared < options->always_from) {
        return (struct pgw_source){.from = PGW_SOURCE_PREFILL};
    }
    if (is_good_holder(input, options)) {
        return (struct pgw_source){.from = PGW_SOURCE_ENGINE};
    }
    if (input->has_store) {
        return (struct pgw_source){.from = PGW_SOURCE_STORE, .save = lacks};
    }
    return (struct pgw_source){.from = PGW_SOURCE_PREFILL};
}
