#include "gateway/guard_state.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>

/* A load that has changed by a fifth of the memory or two requests is news. */
#define NEWS_REQUESTS 2
#define NEWS_MEMORY_PARTS 5
/* Entries hear something at least this often, so that a load they add up
 * themselves does not drift. */
#define PUSH_MAX_US 1000000
/* Bytes a second that the process beside an engine sends to entries of other
 * zones, all together: half of what the design allows it for control (16 KB).
 * With entries that ask 140 times a second for parts of 227 to 568 tokens,
 * which were told only from 1,024 tokens on, 3.1 of 7.6 million shared tokens
 * were read again on one day. */
#define FAR_BYTES_S 8192ULL
/* Of these, what goes into the frames that carry the parts. */
#define FAR_FRAME_BYTES_S 2048ULL
/* They hear nothing more often than this, however few they are. */
#define FAR_PUSH_MIN_US 100000
/* Size of a state without parts, and of a part in it, in bytes. */
#define STATE_BYTES 80
#define PART_BYTES 10

void
pgw_guard_report_clear(struct pgw_engine_report *report)
{
    for (size_t i = 0; i < report->model_count; i++) {
        g_free(report->models[i].model);
    }
    memset(report, 0, sizeof(*report));
}

static void
report_copy(struct pgw_engine_report *out,
            const struct pgw_engine_report *from)
{
    pgw_guard_report_clear(out);
    *out = *from;
    for (size_t i = 0; i < from->model_count; i++) {
        out->models[i].model = g_strdup(from->models[i].model);
    }
}

bool
pgw_guard_is_loading(const struct pgw_engine_guard *guard)
{
    for (size_t i = 0; i < guard->model_count; i++) {
        if (guard->models[i].order.announced) {
            return true;
        }
    }
    return guard->report.busy;
}

/* Fills in @words; free with free_parts(). */
static void
fill_parts(Pgw__EngineState *state, const GArray *words)
{
    state->part_keys = g_new0(uint64_t, words->len);
    state->part_words = g_new0(uint32_t, words->len);
    state->n_part_keys = words->len;
    state->n_part_words = words->len;
    for (unsigned i = 0; i < words->len; i++) {
        const struct pgw_told_part *word =
            &g_array_index(words, struct pgw_told_part, i);

        state->part_keys[i] = word->key;
        state->part_words[i] = word->tokens * 2 + word->expected;
    }
}

static void
free_parts(Pgw__EngineState *state)
{
    g_free(state->part_keys);
    g_free(state->part_words);
}

/* @words: parts to be told; with @reset all that were told before are void. */
static void
send_state(const struct pgw_engine_guard *guard, struct pgw_guard_entry *peer,
           const GArray *words, bool reset)
{
    Pgw__EngineState state = PGW__ENGINE_STATE__INIT;
    Pgw__EngineModel models[PGW_UPSTREAM_MODELS_MAX];
    Pgw__EngineModel *pointers[PGW_UPSTREAM_MODELS_MAX];

    for (size_t i = 0; i < guard->report.model_count; i++) {
        pgw__engine_model__init(&models[i]);
        models[i].name = guard->report.models[i].model;
        models[i].version = guard->report.models[i].version;
        pointers[i] = &models[i];
    }
    state.address = (char *)guard->engine;
    state.alive = guard->alive;
    state.started_ms = guard->report.started_ms;
    state.loading = pgw_guard_is_loading(guard);
    state.n_models = guard->report.model_count;
    state.models = pointers;
    state.running = guard->report.load.running;
    state.waiting = guard->report.load.waiting;
    state.long_prefills = guard->report.load.long_prefills;
    state.entries = pgw_engine_guard_entries(guard);
    state.kv_used = guard->report.load.kv_used;
    state.kv_total = guard->report.load.kv_total;
    state.parts_reset = reset;
    fill_parts(&state, words);
    pgw_link_send(peer->link, PGW_FRAME_ENGINE_STATE, &state.base);
    free_parts(&state);
}

void
pgw_guard_send_state(const struct pgw_engine_guard *guard,
                     struct pgw_guard_entry *peer)
{
    GArray *all = pgw_held_parts_all(&guard->parts, peer->far);

    send_state(guard, peer, all, true);
    peer->known = true;
    g_array_unref(all);
}

static unsigned
count_far(const struct pgw_engine_guard *guard)
{
    unsigned count = 0;

    pgw_list_foreach (link, &guard->entries) {
        count += pgw_container_of(link, struct pgw_guard_entry, in_guard)->far;
    }
    return MAX(count, 1);
}

/* A part of the budget goes into frames, so it sets how often they are sent.
 */
static uint64_t
far_period_us(const struct pgw_engine_guard *guard)
{
    uint64_t us = (uint64_t)count_far(guard) * STATE_BYTES * 1000000ULL /
                  FAR_FRAME_BYTES_S;

    return MAX(us, FAR_PUSH_MIN_US);
}

/* And the rest into parts. */
static size_t
far_parts_most(const struct pgw_engine_guard *guard)
{
    uint64_t bytes =
        (FAR_BYTES_S - FAR_FRAME_BYTES_S) * far_period_us(guard) / 1000000ULL;
    uint64_t part_bytes = (uint64_t)count_far(guard) * PART_BYTES;

    return MAX(bytes / part_bytes, 1);
}

/* Parts change in the array @words; an entry that is new gets all. */
static void
tell_group(struct pgw_engine_guard *guard, bool far, size_t most)
{
    bool reset = far ? guard->parts.far_reset : guard->parts.reset;
    GArray *words = pgw_held_parts_changes(&guard->parts, far, most);

    pgw_list_foreach (link, &guard->entries) {
        struct pgw_guard_entry *peer =
            pgw_container_of(link, struct pgw_guard_entry, in_guard);

        if (peer->far != far) {
            continue;
        }
        if (peer->known) {
            send_state(guard, peer, words, reset);
        }
        else {
            pgw_guard_send_state(guard, peer);
        }
    }
    g_array_unref(words);
}

static bool
is_far_due(const struct pgw_engine_guard *guard)
{
    return pgw_now_us() - guard->told_far_us >= far_period_us(guard);
}

/* Changes of the engine's state go to all at once; those of its load and its
 * cache to the entries of the zone, and to the others now and then. */
void
pgw_guard_tell_all(struct pgw_engine_guard *guard, bool urgent)
{
    bool far = urgent || is_far_due(guard);

    report_copy(&guard->told, &guard->report);
    guard->told_alive = guard->alive;
    guard->told_loading = pgw_guard_is_loading(guard);
    guard->told_us = pgw_now_us();
    tell_group(guard, false, SIZE_MAX);
    if (far) {
        guard->told_far_us = guard->told_us;
        tell_group(guard, true,
                   pgw_policy_is_on(&guard->options.policy, PGW_FAR_PARTS)
                       ? far_parts_most(guard)
                       : 0);
    }
}

static uint32_t
distance(uint64_t a, uint64_t b)
{
    return (uint32_t)(a > b ? a - b : b - a);
}

/* What no request may wait for: its engine's life, weights and orders. */
bool
pgw_guard_is_urgent(const struct pgw_engine_guard *guard)
{
    const struct pgw_engine_report *now = &guard->report;
    const struct pgw_engine_report *told = &guard->told;

    if (guard->alive != guard->told_alive ||
        now->started_ms != told->started_ms ||
        pgw_guard_is_loading(guard) != guard->told_loading ||
        now->model_count != told->model_count) {
        return true;
    }
    for (size_t i = 0; i < now->model_count; i++) {
        if (now->models[i].version != told->models[i].version) {
            return true;
        }
    }
    return false;
}

bool
pgw_guard_is_news(const struct pgw_engine_guard *guard)
{
    const struct pgw_upstream_load *now = &guard->report.load;
    const struct pgw_upstream_load *told = &guard->told.load;

    return pgw_now_us() - guard->told_us >= PUSH_MAX_US ||
           pgw_held_parts_is_news(&guard->parts, false) ||
           (pgw_held_parts_is_news(&guard->parts, true) &&
            is_far_due(guard)) ||
           now->long_prefills != told->long_prefills ||
           distance(now->running + now->waiting,
                    told->running + told->waiting) >= NEWS_REQUESTS ||
           distance(now->kv_used, told->kv_used) >
               now->kv_total / NEWS_MEMORY_PARTS;
}
