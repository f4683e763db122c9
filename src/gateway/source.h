#ifndef PGW_GATEWAY_SOURCE_H
#define PGW_GATEWAY_SOURCE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Where an engine gets the shared parts that it lacks
 *
 * A pure decision: from another engine, from the store of kept memory, or by
 * reading them; and whether the store keeps what is read. A request has one
 * source. The store is taken to have what was saved there: asking it in vain
 * costs a millisecond, and what it says of itself is two seconds old where its
 * link is busy.
 */

/**
 * struct pgw_source_input - one request and its engine
 * @shared: all shared tokens of the prompt
 * @missing: those that the engine lacks
 * @has_holder: another engine holds some
 * @holder_missing: those that it lacks
 * @has_store: there is a store
 */
struct pgw_source_input {
    uint32_t shared;
    uint32_t missing;
    bool has_holder;
    uint32_t holder_missing;
    bool has_store;
};

/**
 * struct pgw_source_options - thresholds
 * @fetch_min: less is read again rather than fetched, in tokens; a fetch takes
 *   about two milliseconds
 * @always_from: prompts that share so many tokens are fetched also where the
 *   engine should have all: an eviction that was not heard of costs reading
 *   them again, a needless fetch a millisecond
 * @requires_full_holder: a holder that lacks some of the parts is no source
 */
struct pgw_source_options {
    uint32_t fetch_min;
    uint32_t always_from;
    bool requires_full_holder;
};

#define PGW_SOURCE_OPTIONS_INIT                                               \
    {                                                                         \
        .fetch_min = 32, .always_from = 1024, .requires_full_holder = true    \
    }

/**
 * enum pgw_source_from - where parts come from
 * @PGW_SOURCE_PREFILL: the engine reads what it lacks
 * @PGW_SOURCE_ENGINE: from the holder
 * @PGW_SOURCE_STORE: from the store
 */
enum pgw_source_from {
    PGW_SOURCE_PREFILL,
    PGW_SOURCE_ENGINE,
    PGW_SOURCE_STORE,
};

/**
 * struct pgw_source - the decision
 * @from: where they come from
 * @save: the store keeps the parts
 */
struct pgw_source {
    enum pgw_source_from from;
    bool save;
};

/** pgw_source_decide() - decide for one request */
struct pgw_source pgw_source_decide(const struct pgw_source_input *input,
                                    const struct pgw_source_options *options);

#endif
