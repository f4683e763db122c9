#ifndef PGW_GATEWAY_PLACEMENT_LANES_H
#define PGW_GATEWAY_PLACEMENT_LANES_H

#include "gateway/upstream/upstream_table.h"

/**
 * DOC: Engines for long prompts and engines for short ones
 *
 * An engine prefills long prompts in chunks between the tokens of its streams.
 * While it does, every stream on it pauses, and an engine that prefills one
 * long prompt after the other lets none keep its pace. So while long prompts
 * keep a good part of a pool busy, the pool is divided: some engines of each
 * availability zone get short prompts first, the others long ones.
 *
 * Which engines these are follows from their addresses and from the shares of
 * work that an entry sees, so entries agree without a message. An entry that
 * is off by a few engines only mixes the two kinds there. Neither kind is
 * excluded from an engine: when its own are full it uses the others.
 *
 * Load answered: many long prompts beside many short streams.
 */

/**
 * struct pgw_lanes_options - when and how a pool is divided
 * @busy_on: share of engines with pending long prompts from which on a pool is
 *   divided
 * @busy_off: share below which it is no longer
 * @short_weight: engine time that short prompts get, in multiples of the
 *   time that their prefill takes: they can't wait, long ones can
 * @attention_tokens: length of the context over which attention takes as long
 *   as the rest of a token's prefill
 * @share_max: largest share of engines for short prompts
 * @window_us: time over which shares of work are averaged
 * @busy_window_us: time over which the share of busy engines is averaged
 */
struct pgw_lanes_options {
    double busy_on;
    double busy_off;
    double short_weight;
    double attention_tokens;
    double share_max;
    uint64_t window_us;
    uint64_t busy_window_us;
};

#define PGW_LANES_OPTIONS_INIT                                                \
    {                                                                         \
        .busy_on = 0.25, .busy_off = 0.1, .short_weight = 1.7,                \
        .attention_tokens = 25000, .share_max = 0.5, .window_us = 3000000,    \
        .busy_window_us = 700000                                              \
    }

/**
 * struct pgw_lanes - what an entry knows of a pool's work; zeroed: nothing
 * @short_tokens: pending tokens of short prompts that it sent, of the last
 *   window, each weighted by the time that its prefill takes
 * @long_tokens: the same of long prompts
 * @decayed_at_us: time up to which both are decayed
 * @busy: share of the engines that had long prompts pending, over the last
 *   window
 * @busy_at_us: when @busy was last updated
 * @divided: the pool is divided now
 */
struct pgw_lanes {
    double short_tokens;
    double long_tokens;
    uint64_t decayed_at_us;
    double busy;
    uint64_t busy_at_us;
    bool divided;
};

/**
 * pgw_lanes_count_prompt() - a prompt was sent
 * @lanes: the pool's
 * @options: thresholds
 * @pending_tokens: tokens of it that the engine has to prefill
 * @tokens: size of the prompt
 * @now_us: monotonic time
 */
void pgw_lanes_count_prompt(struct pgw_lanes *lanes,
                            const struct pgw_lanes_options *options,
                            uint32_t pending_tokens, uint32_t tokens,
                            uint64_t now_us);

/** pgw_lanes_short_share() - share of the engines for short prompts, 0..1; 0:
 * the pool is not divided */
double pgw_lanes_short_share(const struct pgw_lanes *lanes,
                             const struct pgw_lanes_options *options);

/**
 * pgw_lanes_update() - decide whether a pool is divided, and mark its engines
 * @lanes: the pool's
 * @options: thresholds
 * @pool: upstreams of the service; &struct pgw_upstream.lane is set
 * @now_us: monotonic time
 *
 * Cheap if called more often than %PGW_LANES_INTERVAL_US.
 */
void pgw_lanes_update(struct pgw_lanes *lanes,
                      const struct pgw_lanes_options *options,
                      const struct pgw_upstream_pool *pool, uint64_t now_us);

/**
 * pgw_lanes_expire() - end a division that no request needs
 * @lanes: the pool's
 * @options: thresholds
 * @pool: upstreams of the service
 * @now_us: monotonic time
 *
 * Does nothing until pgw_lanes_update() has not been called for
 * &struct pgw_lanes_options.window_us.
 */
void pgw_lanes_expire(struct pgw_lanes *lanes,
                      const struct pgw_lanes_options *options,
                      const struct pgw_upstream_pool *pool, uint64_t now_us);

/* Reports of engines come every 100 ms. */
#define PGW_LANES_INTERVAL_US 100000

#endif
