#include "gateway/sidecar/engine_sidecar_internal.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>

/* A change of the load is reported from two requests or a fifth of the KV
 * cache on. */
#define REPORTABLE_REQUESTS 2
#define REPORTABLE_KV_DIVISOR 5
/* Entries get a report at least this often, so that the load that they add up
 * between reports does not drift. */
#define REPORT_INTERVAL_MAX_US 1000000

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
pgw_engine_sidecar_is_loading(const struct pgw_engine_sidecar *sidecar)
{
    for (size_t i = 0; i < sidecar->model_count; i++) {
        if (sidecar->models[i].order.announced) {
            return true;
        }
    }
    return sidecar->report.busy;
}

/* Adds the updates of parts to a report: the number of cached tokens times
 * two, plus one if the part is only expected. Free with free_parts(). */
static void
fill_parts(Pgw__EngineState *state, const GArray *updates)
{
    state->part_keys = g_new0(uint64_t, updates->len);
    state->part_words = g_new0(uint32_t, updates->len);
    state->n_part_keys = updates->len;
    state->n_part_words = updates->len;
    for (unsigned i = 0; i < updates->len; i++) {
        const struct pgw_part_update *update =
            &g_array_index(updates, struct pgw_part_update, i);

        state->part_keys[i] = update->key;
        state->part_words[i] = update->tokens * 2 + update->expected;
    }
}

static void
free_parts(Pgw__EngineState *state)
{
    g_free(state->part_keys);
    g_free(state->part_words);
}

/*
 * The load in the engine's report is up to 100 ms old. In that time all
 * entries may send a prompt to the same idle engine, so announced requests
 * count as part of its load.
 */
static struct pgw_upstream_load
current_load(const struct pgw_engine_sidecar *sidecar)
{
    struct pgw_upstream_load load = sidecar->report.load;
    struct pgw_pending_prefill pending =
        pgw_announced_prompts_pending(&sidecar->announced_prompts);

    load.running += sidecar->arrivals_since_poll.requests +
                    sidecar->arrivals_before_poll.requests;
    load.long_prefills = MAX(load.long_prefills, pending.prompts);
    load.pending_tokens = pending.tokens;
    load.kv_used += sidecar->arrivals_since_poll.kv_tokens +
                    sidecar->arrivals_before_poll.kv_tokens;
    return load;
}

/**
 * struct report - contents of a report to an entry beside the load
 * @updates: parts that have changed
 * @parts_reset: parts reported before are no longer valid
 * @with_identity: include the engine's address and start, and its weights
 * @probe: number of the probe that is answered, 0: none
 */
struct report {
    const GArray *updates;
    bool parts_reset;
    bool with_identity;
    uint64_t probe;
};

static void
fill_identity(Pgw__EngineState *state,
              const struct pgw_engine_sidecar *sidecar,
              Pgw__EngineModel *models, Pgw__EngineModel **pointers)
{
    for (size_t i = 0; i < sidecar->report.model_count; i++) {
        pgw__engine_model__init(&models[i]);
        models[i].name = sidecar->report.models[i].model;
        models[i].version = sidecar->report.models[i].version;
        pointers[i] = &models[i];
    }
    state->address = (char *)sidecar->engine;
    state->started_ms = sidecar->report.started_ms;
    state->n_models = sidecar->report.model_count;
    state->models = pointers;
}

static void
send_state(const struct pgw_engine_sidecar *sidecar,
           struct pgw_connected_entry *entry, const struct report *report)
{
    struct pgw_upstream_load load = current_load(sidecar);
    Pgw__EngineState state = PGW__ENGINE_STATE__INIT;
    Pgw__EngineModel models[PGW_UPSTREAM_MODELS_MAX];
    Pgw__EngineModel *pointers[PGW_UPSTREAM_MODELS_MAX];

    if (report->with_identity) {
        fill_identity(&state, sidecar, models, pointers);
    }
    state.alive = sidecar->alive;
    state.loading = pgw_engine_sidecar_is_loading(sidecar);
    state.running = load.running;
    state.waiting = load.waiting;
    state.long_prefills = load.long_prefills;
    state.entries = pgw_engine_sidecar_entry_count(sidecar);
    state.unread = load.pending_tokens;
    state.kv_used = load.kv_used;
    state.kv_total = load.kv_total;
    state.leaving = pgw_engine_sidecar_is_leaving(sidecar);
    state.limit = pgw_engine_sidecar_limit(sidecar);
    state.prefill_per_s =
        (uint32_t)(sidecar->prefill_meter.pace.prefill_rate * 1000);
    state.parts_reset = report->parts_reset;
    state.probe = report->probe;
    fill_parts(&state, report->updates);
    pgw_link_send(entry->link, PGW_FRAME_ENGINE_STATE, &state.base);
    free_parts(&state);
}

void
pgw_engine_sidecar_send_full_state(const struct pgw_engine_sidecar *sidecar,
                                   struct pgw_connected_entry *entry)
{
    GArray *all =
        pgw_cached_parts_snapshot(&sidecar->cached_parts, entry->is_remote);

    send_state(sidecar, entry,
               &(struct report){.updates = all,
                                .parts_reset = true,
                                .with_identity = true});
    entry->has_full_state = true;
    g_array_unref(all);
}

void
pgw_engine_sidecar_answer_probe(const struct pgw_engine_sidecar *sidecar,
                                struct pgw_connected_entry *entry,
                                const Pgw__EngineProbe *probe)
{
    GArray *updates =
        g_array_new(FALSE, FALSE, sizeof(struct pgw_part_update));
    uint64_t now = pgw_now_us();

    for (size_t i = 0; i < probe->n_part_keys; i++) {
        struct pgw_part_update update = pgw_cached_parts_lookup(
            &sidecar->cached_parts, probe->part_keys[i], now);

        g_array_append_val(updates, update);
    }
    send_state(sidecar, entry,
               &(struct report){.updates = updates,
                                .with_identity = true,
                                .probe = probe->probe});
    g_array_unref(updates);
}

static unsigned
count_remote_entries(const struct pgw_engine_sidecar *sidecar)
{
    unsigned count = 0;

    pgw_list_foreach (link, &sidecar->entries) {
        const struct pgw_connected_entry *entry =
            pgw_container_of(link, struct pgw_connected_entry, in_entries);

        count += entry->is_remote && !entry->probe_only;
    }
    return count;
}

/* Reports changes to the entries of the local zone or of other zones. An entry
 * without a full report gets that instead. */
static void
report_to_zone_group(struct pgw_engine_sidecar *sidecar, bool remote,
                     bool with_identity, size_t parts_max)
{
    bool parts_reset = remote ? sidecar->cached_parts.remote_reset
                              : sidecar->cached_parts.local_reset;
    GArray *updates =
        pgw_cached_parts_changes(&sidecar->cached_parts, remote, parts_max);
    struct report report = {
        .updates = updates,
        .parts_reset = parts_reset,
        .with_identity = with_identity || parts_reset,
    };
    size_t size = (report.with_identity ? PGW_REPORT_FULL_BYTES
                                        : PGW_REPORT_LOAD_BYTES) +
                  updates->len * PGW_REPORT_PART_BYTES;

    pgw_list_foreach (link, &sidecar->entries) {
        struct pgw_connected_entry *entry =
            pgw_container_of(link, struct pgw_connected_entry, in_entries);

        if (entry->is_remote != remote || entry->probe_only) {
            continue;
        }
        if (!remote) {
            pgw_report_budget_spend(&sidecar->budget, size);
        }
        if (entry->has_full_state) {
            send_state(sidecar, entry, &report);
        }
        else {
            pgw_engine_sidecar_send_full_state(sidecar, entry);
        }
    }
    g_array_unref(updates);
}

static bool
is_remote_report_due(const struct pgw_engine_sidecar *sidecar)
{
    return pgw_now_us() - sidecar->reported_remote_us >=
           pgw_report_budget_remote_period_us(count_remote_entries(sidecar));
}

/* Urgent changes go to all entries at once. Changes of the load and the KV
 * cache go to the entries of the local zone, and to others when due. */
void
pgw_engine_sidecar_report_to_entries(struct pgw_engine_sidecar *sidecar,
                                     bool urgent)
{
    bool to_remote = urgent || is_remote_report_due(sidecar);

    report_copy(&sidecar->reported, &sidecar->report);
    sidecar->reported.load = current_load(sidecar);
    sidecar->reported_alive = sidecar->alive;
    sidecar->reported_leaving = pgw_engine_sidecar_is_leaving(sidecar);
    sidecar->reported_limit = pgw_engine_sidecar_limit(sidecar);
    sidecar->reported_loading = pgw_engine_sidecar_is_loading(sidecar);
    sidecar->reported_us = pgw_now_us();
    report_to_zone_group(sidecar, false, urgent, SIZE_MAX);
    if (to_remote) {
        sidecar->reported_remote_us = sidecar->reported_us;
        report_to_zone_group(sidecar, true, urgent,
                             pgw_policy_is_on(&sidecar->options.policy,
                                              PGW_MECHANISM_REMOTE_PARTS)
                                 ? pgw_report_budget_remote_parts_max(
                                       count_remote_entries(sidecar))
                                 : 0);
    }
}

static uint32_t
distance(uint64_t a, uint64_t b)
{
    return (uint32_t)(a > b ? a - b : b - a);
}

/* Changes that decide whether requests may be sent to the engine: whether it
 * is alive or leaves, its limit, its start, its weights and its loads. */
bool
pgw_engine_sidecar_has_urgent_change(const struct pgw_engine_sidecar *sidecar)
{
    const struct pgw_engine_report *now = &sidecar->report;
    const struct pgw_engine_report *reported = &sidecar->reported;

    if (sidecar->alive != sidecar->reported_alive ||
        pgw_engine_sidecar_is_leaving(sidecar) != sidecar->reported_leaving ||
        (pgw_engine_sidecar_limit(sidecar) > 0) !=
            (sidecar->reported_limit > 0) ||
        now->started_ms != reported->started_ms ||
        pgw_engine_sidecar_is_loading(sidecar) != sidecar->reported_loading ||
        now->model_count != reported->model_count) {
        return true;
    }
    for (size_t i = 0; i < now->model_count; i++) {
        if (now->models[i].version != reported->models[i].version) {
            return true;
        }
    }
    return false;
}

static bool
has_changed(const struct pgw_engine_sidecar *sidecar)
{
    struct pgw_upstream_load now = current_load(sidecar);
    const struct pgw_upstream_load *reported = &sidecar->reported.load;

    return pgw_now_us() - sidecar->reported_us >= REPORT_INTERVAL_MAX_US ||
           pgw_cached_parts_has_changes(&sidecar->cached_parts, false) ||
           (pgw_cached_parts_has_changes(&sidecar->cached_parts, true) &&
            is_remote_report_due(sidecar)) ||
           now.long_prefills != reported->long_prefills ||
           distance(now.running + now.waiting,
                    reported->running + reported->waiting) >=
               REPORTABLE_REQUESTS ||
           distance(now.kv_used, reported->kv_used) >
               now.kv_total / REPORTABLE_KV_DIVISOR;
}

bool
pgw_engine_sidecar_has_reportable_change(struct pgw_engine_sidecar *sidecar)
{
    return has_changed(sidecar) &&
           pgw_report_budget_allows_report(
               &sidecar->budget, count_remote_entries(sidecar), pgw_now_us());
}
