#include "gateway/engine_sidecar_internal.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>

/* A load that has changed by a fifth of the memory or two requests is news. */
#define NEWS_REQUESTS 2
#define NEWS_MEMORY_PARTS 5
/* Entries hear something at least this often, so that a load they add up
 * themselves does not drift. */
#define PUSH_MAX_US 1000000
void
pgw_engine_report_clear(struct pgw_engine_report *report)
{
    for (size_t i = 0; i < report->model_count; i++) {
        g_free(report->models[i].model);
    }
    g_free(report->runs);
    memset(report, 0, sizeof(*report));
}

static void
report_copy(struct pgw_engine_report *out,
            const struct pgw_engine_report *from)
{
    pgw_engine_report_clear(out);
    *out = *from;
    out->runs = NULL;
    out->run_count = 0;
    for (size_t i = 0; i < from->model_count; i++) {
        out->models[i].model = g_strdup(from->models[i].model);
    }
}

bool
pgw_engine_sidecar_is_loading(const struct pgw_engine_sidecar *guard)
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
        const struct pgw_part_update *word =
            &g_array_index(words, struct pgw_part_update, i);

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

/*
 * The engine's own load is 100 ms old at the most, in which entries that all
 * know of the same idle engine send it a prompt each: what they have announced
 * counts as being there.
 */
static struct pgw_upstream_load
current_load(const struct pgw_engine_sidecar *guard)
{
    struct pgw_upstream_load load = guard->report.load;
    struct pgw_pending_prefill unread =
        pgw_announced_prompts_pending(&guard->announced);

    load.running += guard->arrivals.requests + guard->arrivals_before.requests;
    load.long_prefills = MAX(load.long_prefills, unread.prompts);
    load.unread = unread.tokens;
    load.kv_used += guard->arrivals.memory + guard->arrivals_before.memory;
    return load;
}

/**
 * struct report - what is sent to an entry beside the load
 * @words: parts to be told
 * @reset: all that were told before are void
 * @identity: also who the engine is and which weights it runs
 * @probe: the probe that is answered, 0: none
 */
struct report {
    const GArray *words;
    bool reset;
    bool identity;
    uint64_t probe;
};

static void
fill_identity(Pgw__EngineState *state, const struct pgw_engine_sidecar *guard,
              Pgw__EngineModel *models, Pgw__EngineModel **pointers)
{
    for (size_t i = 0; i < guard->report.model_count; i++) {
        pgw__engine_model__init(&models[i]);
        models[i].name = guard->report.models[i].model;
        models[i].version = guard->report.models[i].version;
        pointers[i] = &models[i];
    }
    state->address = (char *)guard->engine;
    state->started_ms = guard->report.started_ms;
    state->n_models = guard->report.model_count;
    state->models = pointers;
}

static void
send_state(const struct pgw_engine_sidecar *guard,
           struct pgw_connected_entry *peer, const struct report *report)
{
    struct pgw_upstream_load load = current_load(guard);
    Pgw__EngineState state = PGW__ENGINE_STATE__INIT;
    Pgw__EngineModel models[PGW_UPSTREAM_MODELS_MAX];
    Pgw__EngineModel *pointers[PGW_UPSTREAM_MODELS_MAX];

    if (report->identity) {
        fill_identity(&state, guard, models, pointers);
    }
    state.alive = guard->alive;
    state.loading = pgw_engine_sidecar_is_loading(guard);
    state.running = load.running;
    state.waiting = load.waiting;
    state.long_prefills = load.long_prefills;
    state.entries = pgw_engine_sidecar_entry_count(guard);
    state.unread = load.unread;
    state.kv_used = load.kv_used;
    state.kv_total = load.kv_total;
    state.parts_reset = report->reset;
    state.probe = report->probe;
    fill_parts(&state, report->words);
    pgw_link_send(peer->link, PGW_FRAME_ENGINE_STATE, &state.base);
    free_parts(&state);
}

void
pgw_engine_sidecar_send_full_state(const struct pgw_engine_sidecar *guard,
                                   struct pgw_connected_entry *peer)
{
    GArray *all = pgw_cached_parts_snapshot(&guard->parts, peer->far);

    send_state(
        guard, peer,
        &(struct report){.words = all, .reset = true, .identity = true});
    peer->known = true;
    g_array_unref(all);
}

void
pgw_engine_sidecar_answer_probe(const struct pgw_engine_sidecar *guard,
                                struct pgw_connected_entry *peer,
                                const Pgw__EngineProbe *probe)
{
    GArray *words = g_array_new(FALSE, FALSE, sizeof(struct pgw_part_update));
    uint64_t now = pgw_now_us();

    for (size_t i = 0; i < probe->n_part_keys; i++) {
        struct pgw_part_update word =
            pgw_cached_parts_lookup(&guard->parts, probe->part_keys[i], now);

        g_array_append_val(words, word);
    }
    send_state(guard, peer,
               &(struct report){
                   .words = words, .identity = true, .probe = probe->probe});
    g_array_unref(words);
}

static unsigned
count_far(const struct pgw_engine_sidecar *guard)
{
    unsigned count = 0;

    pgw_list_foreach (link, &guard->entries) {
        const struct pgw_connected_entry *peer =
            pgw_container_of(link, struct pgw_connected_entry, in_guard);

        count += peer->far && !peer->on_request;
    }
    return count;
}

/* An entry that is new gets all. */
static void
tell_group(struct pgw_engine_sidecar *guard, bool far, bool identity,
           size_t most)
{
    bool reset = far ? guard->parts.remote_reset : guard->parts.reset;
    GArray *words = pgw_cached_parts_changes(&guard->parts, far, most);
    struct report report = {
        .words = words,
        .reset = reset,
        .identity = identity || reset,
    };
    size_t size =
        (report.identity ? PGW_REPORT_FULL_BYTES : PGW_REPORT_LOAD_BYTES) +
        words->len * PGW_REPORT_PART_BYTES;

    pgw_list_foreach (link, &guard->entries) {
        struct pgw_connected_entry *peer =
            pgw_container_of(link, struct pgw_connected_entry, in_guard);

        if (peer->far != far || peer->on_request) {
            continue;
        }
        if (!far) {
            pgw_report_budget_spend(&guard->budget, size);
        }
        if (peer->known) {
            send_state(guard, peer, &report);
        }
        else {
            pgw_engine_sidecar_send_full_state(guard, peer);
        }
    }
    g_array_unref(words);
}

static bool
is_far_due(const struct pgw_engine_sidecar *guard)
{
    return pgw_now_us() - guard->told_far_us >=
           pgw_report_budget_remote_period_us(count_far(guard));
}

/* Changes of the engine's state go to all at once; those of its load and its
 * cache to the entries of the zone, and to the others now and then. */
void
pgw_engine_sidecar_report_to_all(struct pgw_engine_sidecar *guard, bool urgent)
{
    bool far = urgent || is_far_due(guard);

    report_copy(&guard->told, &guard->report);
    guard->told.load = current_load(guard);
    guard->told_alive = guard->alive;
    guard->told_loading = pgw_engine_sidecar_is_loading(guard);
    guard->told_us = pgw_now_us();
    tell_group(guard, false, urgent, SIZE_MAX);
    if (far) {
        guard->told_far_us = guard->told_us;
        tell_group(guard, true, urgent,
                   pgw_policy_is_on(&guard->options.policy,
                                    PGW_MECHANISM_REMOTE_PARTS)
                       ? pgw_report_budget_remote_parts_max(count_far(guard))
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
pgw_engine_sidecar_has_urgent_change(const struct pgw_engine_sidecar *guard)
{
    const struct pgw_engine_report *now = &guard->report;
    const struct pgw_engine_report *told = &guard->told;

    if (guard->alive != guard->told_alive ||
        now->started_ms != told->started_ms ||
        pgw_engine_sidecar_is_loading(guard) != guard->told_loading ||
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

static bool
has_changed(const struct pgw_engine_sidecar *guard)
{
    struct pgw_upstream_load now = current_load(guard);
    const struct pgw_upstream_load *told = &guard->told.load;

    return pgw_now_us() - guard->told_us >= PUSH_MAX_US ||
           pgw_cached_parts_has_changes(&guard->parts, false) ||
           (pgw_cached_parts_has_changes(&guard->parts, true) &&
            is_far_due(guard)) ||
           now.long_prefills != told->long_prefills ||
           distance(now.running + now.waiting,
                    told->running + told->waiting) >= NEWS_REQUESTS ||
           distance(now.kv_used, told->kv_used) >
               now.kv_total / NEWS_MEMORY_PARTS;
}

bool
pgw_engine_sidecar_has_reportable_change(struct pgw_engine_sidecar *guard)
{
    return has_changed(guard) &&
           pgw_report_budget_allows_report(&guard->budget, count_far(guard),
                                           pgw_now_us());
}
