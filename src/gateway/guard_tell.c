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
/* Entries of other zones hear of load and cache this often: bytes between
 * zones cost. */
#define FAR_PUSH_US 700000

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

/* All parts of @keys; those that are not held go as 0 tokens. */
static void
fill_parts(Pgw__EngineState *state, const struct pgw_engine_guard *guard,
           GHashTable *keys)
{
    unsigned count = g_hash_table_size(keys);
    Pgw__HeldPart *parts = g_new0(Pgw__HeldPart, count + 1);
    GHashTableIter iter;
    void *key;

    state->parts = g_new0(Pgw__HeldPart *, count + 1);
    g_hash_table_iter_init(&iter, keys);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        Pgw__HeldPart *part = &parts[state->n_parts];
        pgw__held_part__init(part);
        part->key = *(const uint64_t *)key;
        part->tokens = pgw_held_parts_tokens(&guard->parts, part->key);
        state->parts[state->n_parts++] = part;
    }
    if (state->n_parts == 0) {
        g_free(parts);
    }
}

static void
free_parts(Pgw__EngineState *state)
{
    if (state->n_parts > 0) {
        g_free(state->parts[0]);
    }
    g_free(state->parts);
}

void
pgw_guard_send_state(const struct pgw_engine_guard *guard,
                     struct pgw_guard_entry *peer)
{
    Pgw__EngineState state = PGW__ENGINE_STATE__INIT;
    Pgw__EngineModel models[PGW_UPSTREAM_MODELS_MAX];
    Pgw__EngineModel *pointers[PGW_UPSTREAM_MODELS_MAX];
    const struct pgw_held_parts *parts = &guard->parts;
    bool reset = peer->far ? parts->far_reset : parts->reset;

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
    state.parts_reset = reset || !peer->known;
    if (state.parts_reset) {
        fill_parts(&state, guard,
                   peer->far ? parts->long_held : parts->tokens);
    }
    else {
        fill_parts(&state, guard,
                   peer->far ? parts->far_changed : parts->changed);
    }
    peer->known = true;
    pgw_link_send(peer->link, PGW_FRAME_ENGINE_STATE, &state.base);
    free_parts(&state);
}

static void
tell(struct pgw_engine_guard *guard, bool far)
{
    pgw_list_foreach (link, &guard->entries) {
        struct pgw_guard_entry *peer =
            pgw_container_of(link, struct pgw_guard_entry, in_guard);

        if (far || !peer->far) {
            pgw_guard_send_state(guard, peer);
        }
    }
    pgw_held_parts_told(&guard->parts, far);
}

/* Changes of the engine's state go to all at once; those of its load and its
 * cache to the entries of the zone, and to the others now and then. */
void
pgw_guard_tell_all(struct pgw_engine_guard *guard, bool urgent)
{
    uint64_t now = pgw_now_us();
    bool far = urgent || now - guard->told_far_us >= FAR_PUSH_US;

    report_copy(&guard->told, &guard->report);
    guard->told_alive = guard->alive;
    guard->told_loading = pgw_guard_is_loading(guard);
    guard->told_us = now;
    if (far) {
        guard->told_far_us = now;
    }
    tell(guard, far);
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
           now->long_prefills != told->long_prefills ||
           distance(now->running + now->waiting,
                    told->running + told->waiting) >= NEWS_REQUESTS ||
           distance(now->kv_used, told->kv_used) >
               now->kv_total / NEWS_MEMORY_PARTS;
}
