#include "gateway/placement/source.h"

/*
 * An optimization: an engine that has only the first part cached, shared by
 * many prompts, is a worse source than the store, because the other parts
 * would have to be prefilled.
 */
static bool
holder_is_suitable(const struct pgw_source_input *input,
                   const struct pgw_source_options *options)
{
    return input->has_holder &&
           (!input->has_store || !options->requires_full_holder ||
            input->holder_missing < options->fetch_min_tokens);
}

struct pgw_source
pgw_source_decide(const struct pgw_source_input *input,
                  const struct pgw_source_options *options)
{
    bool needs_fetch = input->missing >= options->fetch_min_tokens;

    if (!needs_fetch && input->shared < options->always_fetch_tokens) {
        return (struct pgw_source){.from = PGW_SOURCE_PREFILL};
    }
    if (holder_is_suitable(input, options)) {
        return (struct pgw_source){.from = PGW_SOURCE_ENGINE};
    }
    if (input->has_store) {
        return (struct pgw_source){.from = PGW_SOURCE_STORE,
                                   .save = needs_fetch};
    }
    return (struct pgw_source){.from = PGW_SOURCE_PREFILL};
}
