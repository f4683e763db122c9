#ifndef PGW_GATEWAY_PLACEMENT_SOURCE_H
#define PGW_GATEWAY_PLACEMENT_SOURCE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Where an engine gets the shared parts that it lacks
 *
 * A pure function decides whether the engine fetches the parts from another
 * engine or from the KV store, or prefills them, and whether the store saves
 * what is prefilled. A request has one source. The store is assumed to have
 * all that was saved there: a fetch that finds nothing costs a millisecond,
 * and the store's own report is up to two seconds old while its link is busy.
 */

/**
 * struct pgw_source_input - a request and its engine
 * @shared: shared tokens of the prompt
 * @missing: shared tokens that the engine lacks
 * @has_holder: another engine has some of them cached
 * @holder_missing: shared tokens that the holder lacks
 * @has_store: a KV store is available
 */
struct pgw_source_input {
    uint32_t shared;
    uint32_t missing;
    bool has_holder;
    uint32_t holder_missing;
    bool has_store;
};

/**
 * struct pgw_source_options - limits of the decision
 * @fetch_min_tokens: fewer missing tokens are prefilled rather than fetched; a
 *   fetch takes about 2 ms
 * @always_fetch_tokens: prompts with at least this many shared tokens are
 *   fetched even if the engine should have them all: an eviction that was not
 *   reported costs a full prefill, an unnecessary fetch a millisecond
 * @requires_full_holder: if there is a store, an engine that lacks some of the
 *   parts is not used as source
 */
struct pgw_source_options {
    uint32_t fetch_min_tokens;
    uint32_t always_fetch_tokens;
    bool requires_full_holder;
};

#define PGW_SOURCE_OPTIONS_INIT                                               \
    {                                                                         \
        .fetch_min_tokens = 32, .always_fetch_tokens = 1024,                  \
        .requires_full_holder = true                                          \
    }

/**
 * enum pgw_source_from - source of the missing parts
 * @PGW_SOURCE_PREFILL: none; the engine prefills them
 * @PGW_SOURCE_ENGINE: the other engine, which has them cached
 * @PGW_SOURCE_STORE: the KV store
 */
enum pgw_source_from {
    PGW_SOURCE_PREFILL,
    PGW_SOURCE_ENGINE,
    PGW_SOURCE_STORE,
};

/**
 * struct pgw_source - the decision
 * @from: source of the parts
 * @save: the store saves the parts
 */
struct pgw_source {
    enum pgw_source_from from;
    bool save;
};

/** pgw_source_decide() - choose the source for a request */
struct pgw_source pgw_source_decide(const struct pgw_source_input *input,
                                    const struct pgw_source_options *options);

#endif
