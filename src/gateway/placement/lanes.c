#include "gateway/placement/lanes.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

static void
decay(struct pgw_lanes *lanes, const struct pgw_lanes_options *options,
      uint64_t now_us)
{
    double age_us = lanes->decayed_at_us == 0 || now_us < lanes->decayed_at_us
                        ? 0
                        : (double)(now_us - lanes->decayed_at_us);
    double kept = exp(-age_us / (double)options->window_us);

    lanes->short_tokens *= kept;
    lanes->long_tokens *= kept;
    lanes->decayed_at_us = now_us;
}

void
pgw_lanes_count_prompt(struct pgw_lanes *lanes,
                       const struct pgw_lanes_options *options,
                       uint32_t pending_tokens, uint32_t tokens,
                       uint64_t now_us)
{
    /* The context of a pending token is half of them, and all before them. */
    double context = tokens - pending_tokens / 2.0;
    double weighted =
        pending_tokens * (1 + context / options->attention_tokens);

    decay(lanes, options, now_us);
    if (pending_tokens < PGW_LONG_PREFILL_TOKENS) {
        lanes->short_tokens += weighted;
    }
    else {
        lanes->long_tokens += weighted;
    }
}

double
pgw_lanes_short_share(const struct pgw_lanes *lanes,
                      const struct pgw_lanes_options *options)
{
    double wanted = lanes->short_tokens * options->short_weight;

    if (!lanes->divided || wanted <= 0) {
        return 0;
    }
    return MIN(wanted / (wanted + lanes->long_tokens), options->share_max);
}

static bool
is_serving(const struct pgw_upstream *upstream, uint64_t now_us)
{
    return pgw_upstream_is_usable(upstream, now_us) &&
           pgw_upstream_liveness(upstream, now_us) == PGW_RESPONSIVE;
}

static bool
has_long_prefill(const struct pgw_upstream *upstream, uint64_t now_us)
{
    return upstream->long_prefills > 0 ||
           pgw_upstream_others_long_prefills(upstream, now_us) >= 0.5;
}

/* Engines of other zones may send no reports, so the own zone is counted. */
static double
busy_share(const struct pgw_upstream_pool *pool, uint64_t now_us)
{
    unsigned usable = 0;
    unsigned busy = 0;

    for (unsigned i = 0; i < pool->local->len; i++) {
        const struct pgw_upstream *upstream =
            g_ptr_array_index(pool->local, i);

        if (is_serving(upstream, now_us)) {
            usable++;
            busy += has_long_prefill(upstream, now_us);
        }
    }
    return usable == 0 ? 0 : (double)busy / usable;
}

static void
update_busy(struct pgw_lanes *lanes, const struct pgw_lanes_options *options,
            const struct pgw_upstream_pool *pool, uint64_t now_us)
{
    double age_us =
        lanes->busy_at_us == 0 ? 0 : (double)(now_us - lanes->busy_at_us);
    double kept = exp(-age_us / (double)options->busy_window_us);

    lanes->busy = lanes->busy * kept + busy_share(pool, now_us) * (1 - kept);
    lanes->busy_at_us = now_us;
    lanes->divided =
        lanes->busy >= (lanes->divided ? options->busy_off : options->busy_on);
}

static int
compare(const void *a, const void *b)
{
    const struct pgw_upstream *one = *(struct pgw_upstream *const *)a;
    const struct pgw_upstream *other = *(struct pgw_upstream *const *)b;
    int zones = strcmp(one->zone, other->zone);

    if (zones != 0) {
        return zones;
    }
    return one->id_hash < other->id_hash   ? -1
           : one->id_hash > other->id_hash ? 1
                                           : 0;
}

/* Marks the first @share of a zone's engines, in the order of their addresses'
 * hashes. At least one of two engines or more is left to each kind. */
static void
mark_zone(struct pgw_upstream **items, unsigned count, double share)
{
    unsigned shorts = (unsigned)(share * count + 0.5);

    if (share > 0 && count >= 2) {
        shorts = CLAMP(shorts, 1, count - 1);
    }
    for (unsigned i = 0; i < count; i++) {
        items[i]->lane = share <= 0 || count < 2 ? PGW_LANE_NONE
                         : i < shorts            ? PGW_LANE_SHORT
                                                 : PGW_LANE_LONG;
    }
}

static void
mark(const struct pgw_upstream_pool *pool, double share, uint64_t now_us)
{
    struct pgw_upstream **usable =
        g_new(struct pgw_upstream *, pool->all->len + 1);
    unsigned count = 0;

    for (unsigned i = 0; i < pool->all->len; i++) {
        struct pgw_upstream *upstream = g_ptr_array_index(pool->all, i);

        upstream->lane = PGW_LANE_NONE;
        if (is_serving(upstream, now_us)) {
            usable[count++] = upstream;
        }
    }
    if (share > 0) {
        qsort(usable, count, sizeof(struct pgw_upstream *), compare);
    }
    for (unsigned begin = 0, end; share > 0 && begin < count; begin = end) {
        for (end = begin + 1; end < count && strcmp(usable[begin]->zone,
                                                    usable[end]->zone) == 0;
             end++) {
        }
        mark_zone(&usable[begin], end - begin, share);
    }
    g_free(usable);
}

void
pgw_lanes_update(struct pgw_lanes *lanes,
                 const struct pgw_lanes_options *options,
                 const struct pgw_upstream_pool *pool, uint64_t now_us)
{
    if (lanes->busy_at_us != 0 &&
        now_us - lanes->busy_at_us < PGW_LANES_INTERVAL_US) {
        return;
    }
    decay(lanes, options, now_us);
    update_busy(lanes, options, pool, now_us);
    mark(pool, pgw_lanes_short_share(lanes, options), now_us);
}

/*
 * Failure: a new configuration promises no pauses for a pool that is divided.
 * Symptom: its engines keep their lanes, and long prompts go on waiting for
 * backlogs.
 */
void
pgw_lanes_expire(struct pgw_lanes *lanes,
                 const struct pgw_lanes_options *options,
                 const struct pgw_upstream_pool *pool, uint64_t now_us)
{
    if (lanes->busy_at_us == 0 ||
        now_us - lanes->busy_at_us < options->window_us) {
        return;
    }
    *lanes = (struct pgw_lanes){0};
    mark(pool, 0, now_us);
}
