#include "gateway/upstream/upstream_table.h"
#include "gateway/upstream/departed_upstreams.h"
#include "parsleygw/place.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>

/* Time in which the weight of a load report falls to zero: most requests last
 * a few hundred milliseconds. */
#define LOAD_FADE_US 1000000
/* The same for long prompts with pending tokens: their prefill takes a few
 * hundred milliseconds. */
#define LONG_PREFILL_FADE_US 400000
/* Sidecars report at least once a second. Pending tokens of an older report
 * may belong to a process that has ended. */
#define PENDING_MAX_AGE_US 1200000
/* Weight of one attempt in the moving average of failures: the average covers
 * about the last 16 attempts. */
#define FAILURE_RATE_WEIGHT (1.0 / 16.0)
/* First backoff after an upstream was unreachable or its connection broke,
 * doubled with each consecutive failure. A server needs seconds to restart. */
#define AVOID_BACKOFF_BASE_US 100000
#define AVOID_BACKOFF_MAX_US 2000000
/* Backoff after an upstream refused a request: about the time of one short
 * request. Doubled with each consecutive refusal up to eight times that, which
 * is about the time that loading weights takes. */
#define FULL_BACKOFF_BASE_US 30000
#define FULL_BACKOFF_DOUBLINGS_MAX 3

/* Sidecars report once a second, and at half that rate at worst to entries in
 * remote zones. A busy upstream sends bytes many times a second. */
#define SUSPECT_LOCAL_ZONE_US 1250000
#define SUSPECT_REMOTE_ZONE_US 2500000
#define UNRESPONSIVE_US 2500000
/* Time between two requests to an unresponsive upstream. */
#define PROBE_INTERVAL_US 1000000

/* Tokens of one block of an engine's KV cache. */
#define KV_BLOCK_TOKENS 16
/* A part of a request that was sent to an engine is expected to be cached for
 * this time. After it the sidecar has reported whether it is. */
#define EXPECTED_PART_US 1500000
/* The same without reports of a sidecar: engines keep a shared part cached for
 * some seconds. */
#define UNCONFIRMED_PART_US 8000000

/* How long an upstream whose former process may have stated that it is
 * draining counts as draining: such a process ends sooner. */
#define FORMER_LEAVING_US 20000000ULL

static struct pgw_metric_counter invalid_paces = {
    .name = "pgw_gateway_invalid_paces_total",
    .help = "Invalid figures of the speed of engines and machines",
};

struct pgw_upstream_table {
    char *zone;
    struct pgw_departed_upstreams *departed;
    GHashTable *by_id;
    GHashTable *by_address; /* the upstream that an address belongs to */
    GHashTable *by_service; /* name -> struct pgw_upstream_pool */
    bool remote_on_request;
    struct pgw_list all;
    void (*on_lost)(struct pgw_upstream *upstream, void *context);
    void *context;
};

static void
pool_free(void *data)
{
    struct pgw_upstream_pool *pool = data;

    g_ptr_array_unref(pool->all);
    g_ptr_array_unref(pool->local);
    g_hash_table_destroy(pool->software);
    g_free(pool);
}

struct pgw_upstream_table *
pgw_upstream_table_new(const char *zone)
{
    struct pgw_upstream_table *table = g_new0(struct pgw_upstream_table, 1);

    table->zone = g_strdup(zone);
    table->departed = pgw_departed_upstreams_new();
    table->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    table->by_address = g_hash_table_new(g_str_hash, g_str_equal);
    table->by_service =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, pool_free);
    pgw_list_init(&table->all);
    return table;
}

struct pgw_upstream *
pgw_upstream_ref(struct pgw_upstream *upstream)
{
    upstream->references++;
    return upstream;
}

static void
models_clear(struct pgw_upstream *upstream)
{
    for (size_t i = 0; i < upstream->model_count; i++) {
        g_free(upstream->models[i].model);
    }
    upstream->model_count = 0;
}

void
pgw_upstream_unref(struct pgw_upstream *upstream)
{
    if (upstream == NULL || --upstream->references > 0) {
        return;
    }
    models_clear(upstream);
    g_hash_table_destroy(upstream->cached_parts);
    g_free(upstream->id);
    g_free(upstream->process);
    g_free(upstream->service);
    g_free(upstream->zone);
    g_free(upstream->address_text);
    g_free(upstream);
}

void
pgw_upstream_table_free(struct pgw_upstream_table *table)
{
    table->on_lost = NULL;
    pgw_list_foreach_safe (link, &table->all) {
        pgw_upstream_table_remove(
            table, pgw_container_of(link, struct pgw_upstream, in_table));
    }
    pgw_departed_upstreams_free(table->departed);
    g_hash_table_destroy(table->by_id);
    g_hash_table_destroy(table->by_address);
    g_hash_table_destroy(table->by_service);
    g_free(table->zone);
    g_free(table);
}

void
pgw_upstream_table_on_lost(struct pgw_upstream_table *table,
                           void (*on_lost)(struct pgw_upstream *upstream,
                                           void *context),
                           void *context)
{
    table->on_lost = on_lost;
    table->context = context;
}

static struct pgw_upstream_pool *
pool_get(struct pgw_upstream_table *table, const char *service)
{
    struct pgw_upstream_pool *pool =
        g_hash_table_lookup(table->by_service, service);

    if (pool == NULL) {
        pool = g_new0(struct pgw_upstream_pool, 1);
        pool->all = g_ptr_array_new();
        pool->local = g_ptr_array_new();
        pool->software = g_hash_table_new(NULL, NULL);
        pool->since_us = (uint64_t)g_get_monotonic_time();
        g_hash_table_insert(table->by_service, g_strdup(service), pool);
    }
    return pool;
}

static void
pool_set_mixed(struct pgw_upstream_pool *pool)
{
    pool->mixed_until_us =
        (uint64_t)g_get_monotonic_time() + PGW_SOFTWARE_MIXED_US;
}

/* @change: 1 or -1 upstreams of a version more */
static void
pool_count_software(struct pgw_upstream_pool *pool, const char *software,
                    int change)
{
    int count;

    if (software == NULL) {
        return;
    }
    if (g_hash_table_size(pool->software) > 1) {
        pool_set_mixed(pool);
    }
    count = GPOINTER_TO_INT(g_hash_table_lookup(pool->software, software)) +
            change;
    if (count > 0) {
        g_hash_table_insert(pool->software, (char *)software,
                            GINT_TO_POINTER(count));
    }
    else {
        g_hash_table_remove(pool->software, software);
    }
    if (change > 0) {
        if (pool->last_software != NULL && pool->last_software != software) {
            pool_set_mixed(pool);
        }
        pool->last_software = software;
    }
}

const char *
pgw_upstream_pool_software(const struct pgw_upstream_pool *pool)
{
    GHashTableIter iter;
    gpointer software = NULL;

    if (g_hash_table_size(pool->software) > 1) {
        return NULL;
    }
    g_hash_table_iter_init(&iter, pool->software);
    return g_hash_table_iter_next(&iter, &software, NULL)
               ? software
               : pool->last_software;
}

bool
pgw_upstream_pool_is_mixed(const struct pgw_upstream_pool *pool,
                           uint64_t now_us)
{
    return g_hash_table_size(pool->software) > 1 ||
           now_us < pool->mixed_until_us;
}

bool
pgw_upstream_pool_has_software(const struct pgw_upstream_pool *pool,
                               const char *software,
                               struct pgw_upstream *const *tried,
                               size_t tried_count, uint64_t now_us)
{
    for (unsigned i = 0; i < pool->all->len; i++) {
        struct pgw_upstream *upstream = g_ptr_array_index(pool->all, i);
        bool was_tried = false;

        for (size_t j = 0; j < tried_count; j++) {
            was_tried = was_tried || tried[j] == upstream;
        }
        if (upstream->software == software && !was_tried &&
            !upstream->displaced &&
            !pgw_upstream_is_leaving(upstream, now_us)) {
            return true;
        }
    }
    return false;
}

static void
set_software(struct pgw_upstream_table *table, struct pgw_upstream *upstream,
             const char *software)
{
    struct pgw_upstream_pool *pool = pool_get(table, upstream->service);

    if (upstream->software != software) {
        pool_count_software(pool, upstream->software, -1);
        upstream->software = software;
        pool_count_software(pool, software, 1);
    }
}

static void
pool_add(struct pgw_upstream_table *table, struct pgw_upstream *upstream,
         bool is_engine)
{
    struct pgw_upstream_pool *pool = pool_get(table, upstream->service);

    g_ptr_array_add(pool->all, upstream);
    if (upstream->same_zone) {
        g_ptr_array_add(pool->local, upstream);
    }
    pool->engines = pool->engines || is_engine;
    pool->remote_on_request = pool->engines && table->remote_on_request;
}

void
pgw_upstream_table_set_remote_on_request(struct pgw_upstream_table *table,
                                         bool remote_on_request)
{
    GHashTableIter iter;
    void *value;

    table->remote_on_request = remote_on_request;
    g_hash_table_iter_init(&iter, table->by_service);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pgw_upstream_pool *pool = value;

        pool->remote_on_request = pool->engines && remote_on_request;
    }
}

static const char *
software_of(const struct pgw_upstream_facts *facts)
{
    return g_intern_string(facts->software == NULL ? "" : facts->software);
}

/* An upstream may start again under its id. Crashes count by process. */
static void
set_process(struct pgw_upstream *upstream)
{
    g_free(upstream->process);
    upstream->process =
        upstream->started_ms == 0
            ? g_strdup(upstream->id)
            : g_strdup_printf("%s@%" G_GUINT64_FORMAT, upstream->id,
                              upstream->started_ms);
}

static struct pgw_upstream *
upstream_new(struct pgw_upstream_table *table,
             const struct pgw_upstream_facts *facts)
{
    struct pgw_upstream *upstream = g_new0(struct pgw_upstream, 1);

    pgw_start_delay_init(&upstream->start_delay);
    GError *error = NULL;

    if (!pgw_address_parse(&upstream->address, facts->address, &error)) {
        pgw_log_warning("upstream_address", "upstream=%s reason=%s", facts->id,
                        error->message);
        g_error_free(error);
        g_free(upstream);
        return NULL;
    }
    upstream->references = 1;
    upstream->cached_parts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    upstream->id = g_strdup(facts->id);
    set_process(upstream);
    upstream->service = g_strdup(facts->service);
    upstream->zone = g_strdup(facts->zone);
    upstream->address_text = g_strdup(facts->address);
    upstream->id_hash = pgw_place_id_hash(facts->address);
    upstream->same_zone = strcmp(facts->zone, table->zone) == 0;
    pgw_list_append(&table->all, &upstream->in_table);
    g_hash_table_insert(table->by_id, upstream->id, upstream);
    g_hash_table_replace(table->by_address, upstream->address_text, upstream);
    pool_add(table, upstream, facts->model_count > 0);
    set_software(table, upstream, software_of(facts));
    pgw_departed_upstreams_restore(table->departed, upstream,
                                   facts->started_ms);
    return upstream;
}

/*
 * Failure: an upstream crashes and restarts at the same address, or another
 * service gets the address, before the record of the former upstream expires.
 * Symptom: half of the requests go to an incarnation that no longer exists and
 * are refused as "not run" until the record expires, seconds later. An address
 * belongs to the newest record that names it, so only its upstream is used.
 *
 * Return: false if another record is newer than @facts.
 */
static bool
claim_address(struct pgw_upstream_table *table,
              const struct pgw_upstream_facts *facts)
{
#ifndef PGW_DISABLE_GATEWAY_ADDRESS
    struct pgw_upstream *other =
        pgw_upstream_table_find_address(table, facts->address);

    if (other != NULL) {
        /* A displaced upstream gives up its address, also if its record is
         * newer. */
        if (other->revision > facts->revision && !other->displaced) {
            return false;
        }
        pgw_log_info("upstream_replaced", "upstream=%s by=%s", other->id,
                     facts->id);
        other->replaced_at_us = (uint64_t)g_get_monotonic_time();
        pgw_upstream_table_remove(table, other);
    }
#endif
    return true;
}

void
pgw_upstream_statements_expire(struct pgw_upstream_statements *stated,
                               uint64_t now_us)
{
    if (stated->leaving) {
        stated->leaving = false;
        stated->leaving_until_us = now_us + FORMER_LEAVING_US;
    }
}

/*
 * Resets the state of the former process. Statements of the new one may have
 * arrived before its start is known, and an answer does not name the process
 * that sent it, so they are kept until they end.
 */
static void
reset_process_state(struct pgw_upstream *upstream)
{
    pgw_upstream_statements_expire(&upstream->stated,
                                   (uint64_t)g_get_monotonic_time());
#ifdef PGW_DISABLE_GATEWAY_RESTART_STATEMENTS
    upstream->stated = (struct pgw_upstream_statements){0};
#endif
    upstream->leaving = false;
    upstream->sidecar_leaving_until_us = 0;
    upstream->displaced = false;
    upstream->loading = false;
    upstream->loading_since_us = 0;
    upstream->warmup_until_us = 0;
    upstream->load = (struct pgw_upstream_load){0};
    pgw_engine_pace_reset(&upstream->pace);
    upstream->start_delay.average_us = 0;
    upstream->last_seen_us = 0;
    upstream->answered_us = 0;
    upstream->probe_at_us = 0;
    upstream->load_reported_at_us = 0;
    upstream->kv_reported_at_us = 0;
    upstream->pending_reported_at_us = 0;
    upstream->failures = 0;
    upstream->failure_rate = 0;
    upstream->avoid_until_us = 0;
    upstream->refusals = 0;
    upstream->full_until_us = 0;
    pgw_upstream_clear_parts(upstream);
}

static bool
is_earlier_start(const struct pgw_upstream *upstream, uint64_t started_ms)
{
    for (size_t i = 0; i < upstream->earlier_start_count; i++) {
        if (upstream->earlier_starts_ms[i] == started_ms) {
            return true;
        }
    }
    return false;
}

static void
add_earlier_start(struct pgw_upstream *upstream, uint64_t started_ms)
{
    if (upstream->earlier_start_count == PGW_UPSTREAM_STARTS_MAX) {
        memmove(upstream->earlier_starts_ms, upstream->earlier_starts_ms + 1,
                (PGW_UPSTREAM_STARTS_MAX - 1) * sizeof(uint64_t));
        upstream->earlier_start_count--;
    }
    upstream->earlier_starts_ms[upstream->earlier_start_count++] = started_ms;
}

void
pgw_upstream_table_set_start(struct pgw_upstream_table *table,
                             struct pgw_upstream *upstream,
                             uint64_t started_ms)
{
    uint64_t earlier_start_ms = upstream->started_ms;

    if (started_ms == 0 || started_ms == earlier_start_ms) {
        return;
    }
    upstream->started_ms = started_ms;
    if (earlier_start_ms == 0) {
        set_process(upstream);
        return; /* the first known start is not a restart */
    }
    pgw_log_info("upstream_restarted",
                 "upstream=%s started_ms=%" G_GUINT64_FORMAT
                 " before_ms=%" G_GUINT64_FORMAT " limit=%.3f leaving=%d",
                 upstream->id, started_ms, earlier_start_ms,
                 upstream->stated.limit.per_s, upstream->stated.leaving);
    add_earlier_start(upstream, earlier_start_ms);
    set_software(table, upstream, NULL);
    upstream->replaced_at_us = (uint64_t)g_get_monotonic_time();
    if (!pgw_upstream_is_leaving(upstream, (uint64_t)g_get_monotonic_time()) &&
        table->on_lost != NULL) {
        table->on_lost(upstream, table->context);
    }
    set_process(upstream);
    reset_process_state(upstream);
}

/*
 * Failure: an upstream crashes and restarts with the same id, and a record
 * that the former process wrote arrives after a record of the new process.
 * Symptom: cached parts, load and refusals of the former process are
 * attributed to the new one, or the restarted upstream counts as leaving
 * forever. The start times of former processes are kept, and records with one
 * of them are ignored.
 */
static bool
is_from_earlier_process(const struct pgw_upstream *upstream,
                        const struct pgw_upstream_facts *facts)
{
    bool late = facts->started_ms != 0 &&
                is_earlier_start(upstream, facts->started_ms);

#ifdef PGW_DISABLE_GATEWAY_STARTS
    late = false;
#endif
    return late;
}

/*
 * Failure: an upstream restarts with the same id at another address. Symptom:
 * its requests go to the former address and are lost there. The upstream of
 * the former address is removed, and the new one knows nothing of it.
 */
static bool
has_moved(const struct pgw_upstream *upstream,
          const struct pgw_upstream_facts *facts)
{
    return strcmp(upstream->address_text, facts->address) != 0 ||
           strcmp(upstream->service, facts->service) != 0;
}

struct pgw_upstream *
pgw_upstream_table_put(struct pgw_upstream_table *table,
                       const struct pgw_upstream_facts *facts)
{
    struct pgw_upstream *upstream = pgw_upstream_table_find(table, facts->id);

    if (upstream != NULL && is_from_earlier_process(upstream, facts)) {
        return upstream;
    }
    if (upstream != NULL && has_moved(upstream, facts)) {
        pgw_log_info("upstream_moved", "upstream=%s address=%s from=%s",
                     facts->id, facts->address, upstream->address_text);
        upstream->replaced_at_us = (uint64_t)g_get_monotonic_time();
        pgw_upstream_table_remove(table, upstream);
        upstream = NULL;
    }
    if (upstream == NULL && claim_address(table, facts)) {
        upstream = upstream_new(table, facts);
    }
    if (upstream == NULL) {
        return NULL;
    }
    pgw_upstream_table_set_start(table, upstream, facts->started_ms);
    upstream->slots = MAX(facts->slots, 1);
    set_software(table, upstream, software_of(facts));
    upstream->revision = facts->revision;
    upstream->displaced = false;
    upstream->delisted_until_us = 0;
    /*
     * Failure: an old copy of the list arrives late and shows a draining
     * upstream as ready. Symptom: the upstream gets requests that it drops. A
     * process that drains always ends, so it counts as leaving until then.
     */
#ifndef PGW_DISABLE_GATEWAY_LEAVING
    upstream->leaving = upstream->leaving || facts->leaving;
#else
    upstream->leaving = facts->leaving;
#endif
    upstream->warmup_until_us =
        facts->warmup_ms == 0
            ? 0
            : (uint64_t)g_get_monotonic_time() + facts->warmup_ms * 1000ULL;
    /* The sidecar's report is newer than the list. */
    if (!upstream->sidecar_is_reporting) {
        for (size_t i = 0; i < facts->model_count; i++) {
            pgw_upstream_set_version(upstream, facts->models[i].model,
                                     facts->models[i].version);
        }
    }
    return upstream;
}

void
pgw_upstream_table_remove(struct pgw_upstream_table *table,
                          struct pgw_upstream *upstream)
{
    struct pgw_upstream_pool *pool = pool_get(table, upstream->service);

    if (!pgw_upstream_is_leaving(upstream, (uint64_t)g_get_monotonic_time()) &&
        table->on_lost != NULL) {
        table->on_lost(upstream, table->context);
    }
    pgw_departed_upstreams_add(table->departed, upstream,
                               (uint64_t)g_get_monotonic_time());
    g_hash_table_remove(table->by_id, upstream->id);
    if (pgw_upstream_table_find_address(table, upstream->address_text) ==
        upstream) {
        g_hash_table_remove(table->by_address, upstream->address_text);
    }
    g_ptr_array_remove(pool->all, upstream);
    g_ptr_array_remove(pool->local, upstream);
    pool_count_software(pool, upstream->software, -1);
    pgw_list_remove(&upstream->in_table);
    upstream->removed = true;
    pgw_upstream_unref(upstream);
}

void
pgw_upstream_table_keep_statements(struct pgw_upstream_table *table,
                                   const struct pgw_upstream *upstream)
{
    pgw_departed_upstreams_add(table->departed, upstream,
                               (uint64_t)g_get_monotonic_time());
}

struct pgw_upstream *
pgw_upstream_table_find(const struct pgw_upstream_table *table, const char *id)
{
    return g_hash_table_lookup(table->by_id, id);
}

struct pgw_upstream *
pgw_upstream_table_find_address(const struct pgw_upstream_table *table,
                                const char *address)
{
    return g_hash_table_lookup(table->by_address, address);
}

const struct pgw_upstream_pool *
pgw_upstream_table_pool(const struct pgw_upstream_table *table,
                        const char *service)
{
    return g_hash_table_lookup(table->by_service, service);
}

struct pgw_list *
pgw_upstream_table_all(struct pgw_upstream_table *table)
{
    return &table->all;
}

/*
 * Failure: an upstream leaves while the store is down, or its record is late.
 * Symptom: the list shows it as ready, and it gets requests until it ends. Its
 * own statements are newer than the list.
 */
bool
pgw_upstream_is_leaving(const struct pgw_upstream *upstream, uint64_t now_us)
{
#ifndef PGW_DISABLE_GATEWAY_SAID_LEAVING
    if (upstream->stated.leaving ||
        now_us < upstream->stated.leaving_until_us ||
        now_us < upstream->sidecar_leaving_until_us) {
        return true;
    }
#endif
    return upstream->leaving;
}

bool
pgw_upstream_is_usable(const struct pgw_upstream *upstream, uint64_t now_us)
{
    if (pgw_upstream_is_leaving(upstream, now_us) || upstream->removed ||
        upstream->displaced) {
        return false;
    }
    if (upstream->delisted_until_us > 0 &&
        now_us >= upstream->delisted_until_us) {
        return false;
    }
    return !upstream->loading || now_us >= upstream->loading_until_us;
}

void
pgw_upstream_set_loading(struct pgw_upstream *upstream, bool loading,
                         uint64_t until_us)
{
    if (upstream->loading && !loading) {
        upstream->refusals = 0;
        upstream->full_until_us = 0;
    }
    upstream->loading = loading;
    upstream->loading_until_us = until_us;
}

void
pgw_upstream_mark_seen(struct pgw_upstream *upstream, uint64_t now_us)
{
    upstream->last_seen_us = now_us;
    upstream->probe_at_us = 0;
}

void
pgw_upstream_mark_answering(struct pgw_upstream *upstream, uint64_t now_us)
{
    if (upstream->last_seen_us > 0) {
        pgw_upstream_mark_seen(upstream, now_us);
    }
}

uint64_t
pgw_upstream_since_seen_us(const struct pgw_upstream *upstream,
                           uint64_t now_us)
{
    uint64_t since_seen_us =
        upstream->last_seen_us == 0 || now_us < upstream->last_seen_us
            ? 0
            : now_us - upstream->last_seen_us;

#ifdef PGW_DISABLE_GATEWAY_SILENT
    since_seen_us = 0;
#endif
    return since_seen_us;
}

enum pgw_liveness
pgw_upstream_liveness(const struct pgw_upstream *upstream, uint64_t now_us)
{
    uint64_t since_seen_us = pgw_upstream_since_seen_us(upstream, now_us);

    if (since_seen_us >= UNRESPONSIVE_US) {
        return PGW_UNRESPONSIVE;
    }
    return since_seen_us >= (upstream->same_zone ? SUSPECT_LOCAL_ZONE_US
                                                 : SUSPECT_REMOTE_ZONE_US)
               ? PGW_SUSPECT
               : PGW_RESPONSIVE;
}

void
pgw_upstream_schedule_probe(struct pgw_upstream *upstream, uint64_t now_us)
{
    if (pgw_upstream_liveness(upstream, now_us) == PGW_UNRESPONSIVE) {
        upstream->probe_at_us = now_us + PROBE_INTERVAL_US;
    }
}

void
pgw_upstream_set_version(struct pgw_upstream *upstream, const char *model,
                         uint64_t version)
{
    struct pgw_model_version *model_version = NULL;

    for (size_t i = 0; i < upstream->model_count; i++) {
        if (strcmp(upstream->models[i].model, model) == 0) {
            model_version = &upstream->models[i];
        }
    }
    if (model_version == NULL) {
        if (upstream->model_count == PGW_UPSTREAM_MODELS_MAX) {
            pgw_log_warning("too_many_models", "upstream=%s model=%s",
                            upstream->id, model);
            return;
        }
        model_version = &upstream->models[upstream->model_count++];
        model_version->model = g_strdup(model);
        model_version->version = 0;
    }
    if (version > model_version->version) {
        /* An engine drops its KV cache when it loads new weights. */
        pgw_upstream_clear_parts(upstream);
        model_version->version = version;
    }
}

uint64_t
pgw_upstream_version(const struct pgw_upstream *upstream, const char *model)
{
    for (size_t i = 0; i < upstream->model_count; i++) {
        if (strcmp(upstream->models[i].model, model) == 0) {
            return upstream->models[i].version;
        }
    }
    return 0;
}

void
pgw_upstream_set_cached_part(struct pgw_upstream *upstream, uint64_t key,
                             uint32_t tokens)
{
    if (tokens == 0) {
        g_hash_table_remove(upstream->cached_parts, &key);
        pgw_recent_parts_remove(&upstream->expected, key);
        return;
    }
    g_hash_table_replace(upstream->cached_parts, g_memdup2(&key, sizeof(key)),
                         GUINT_TO_POINTER(tokens));
}

void
pgw_upstream_clear_parts(struct pgw_upstream *upstream)
{
    g_hash_table_remove_all(upstream->cached_parts);
    pgw_recent_parts_clear(&upstream->expected);
}

bool
pgw_upstream_has_part(const struct pgw_upstream *upstream, uint64_t key,
                      uint32_t tokens, bool expected, uint64_t now_us)
{
    uint32_t cached =
        GPOINTER_TO_UINT(g_hash_table_lookup(upstream->cached_parts, &key));

    /* The KV cache keeps whole blocks: the last, partial block of a part is
     * not cached. */
    if (cached > 0 && cached + KV_BLOCK_TOKENS > tokens) {
        return true;
    }
    return expected &&
           pgw_recent_parts_has(&upstream->expected, key,
                                upstream->sidecar_is_reporting
                                    ? now_us - EXPECTED_PART_US
                                    : now_us - UNCONFIRMED_PART_US);
}

/* Only the first invalid figure of a process is logged. */
static void
count_invalid_pace(const struct pgw_upstream *upstream, const char *figure)
{
    pgw_metric_register_counter(&invalid_paces);
    pgw_metric_counter_add(&invalid_paces, 1);
    if (upstream->pace.ignored == 1) {
        pgw_log_warning("pace_invalid", "upstream=%s figure=%s", upstream->id,
                        figure);
    }
}

static void
apply_slowdown(struct pgw_upstream *upstream,
               const struct pgw_upstream_load *load, uint64_t now_us)
{
    double slowdown = load->slowdown_is_invalid ? -1 : load->slowdown;

    if (slowdown != 0 &&
        !pgw_engine_pace_set_slowdown(&upstream->pace, slowdown, now_us)) {
        count_invalid_pace(upstream, "slowdown");
    }
}

void
pgw_upstream_set_prefill_rate(struct pgw_upstream *upstream,
                              double tokens_per_ms, uint64_t now_us)
{
    if (!pgw_engine_pace_set_prefill_rate(&upstream->pace, tokens_per_ms,
                                          now_us)) {
        count_invalid_pace(upstream, "prefill_rate");
    }
}

void
pgw_upstream_update_load(struct pgw_upstream *upstream,
                         const struct pgw_upstream_load *load, uint64_t now_us)
{
    upstream->load.running = load->running;
    upstream->load.waiting = load->waiting;
    upstream->load_reported_at_us = now_us;
    upstream->own_inflight_at_report = upstream->inflight;
    apply_slowdown(upstream, load, now_us);
    if (load->slots > 0) {
        upstream->slots = load->slots;
    }
    if (load->kv_total == 0) {
        return; /* a load report in an answer's head has no KV cache usage */
    }
    upstream->load.kv_used = load->kv_used;
    upstream->load.kv_total = load->kv_total;
    upstream->load.long_prefills = load->long_prefills;
    upstream->load.pending_tokens = load->pending_tokens;
    upstream->kv_reported_at_us = now_us;
    upstream->pending_reported_at_us = now_us;
    upstream->own_tokens_at_report = upstream->inflight_tokens;
    upstream->own_long_prefills_at_report = upstream->long_prefills;
    upstream->own_prefill_tokens_at_report = upstream->prefill_tokens;
}

void
pgw_upstream_set_pending_tokens(struct pgw_upstream *upstream, uint64_t tokens,
                                uint64_t now_us)
{
    upstream->load.pending_tokens = tokens;
    if (tokens == 0) {
        upstream->load.long_prefills = 0;
    }
    upstream->own_prefill_tokens_at_report = upstream->prefill_tokens;
    upstream->pending_reported_at_us = now_us;
}

/* The other entries' share of a reported number, decreasing to zero with the
 * report's age. */
static uint64_t
others_share(uint64_t reported, uint64_t own, uint64_t reported_at_us,
             uint64_t now_us)
{
    uint64_t age_us = now_us - reported_at_us;

    if (reported_at_us == 0 || reported <= own || age_us >= LOAD_FADE_US) {
        return 0;
    }
    return (reported - own) * (LOAD_FADE_US - age_us) / LOAD_FADE_US;
}

uint32_t
pgw_upstream_load_estimate(const struct pgw_upstream *upstream,
                           uint64_t now_us)
{
    return upstream->inflight +
           (uint32_t)others_share(upstream->load.running +
                                      upstream->load.waiting,
                                  upstream->own_inflight_at_report,
                                  upstream->load_reported_at_us, now_us);
}

uint64_t
pgw_upstream_kv_estimate(const struct pgw_upstream *upstream, uint64_t now_us)
{
    return upstream->inflight_tokens +
           others_share(upstream->load.kv_used, upstream->own_tokens_at_report,
                        upstream->kv_reported_at_us, now_us);
}

/* The other entries' share of reported prefills, decreasing to zero with the
 * report's age as these prefills end. */
static double
others_prefills(uint64_t reported, uint64_t own,
                const struct pgw_upstream *upstream, uint64_t now_us)
{
    uint64_t age_us = now_us - upstream->kv_reported_at_us;

    if (upstream->kv_reported_at_us == 0 || age_us >= LONG_PREFILL_FADE_US ||
        reported <= own) {
        return 0;
    }
    return (double)(reported - own) * (double)(LONG_PREFILL_FADE_US - age_us) /
           LONG_PREFILL_FADE_US;
}

double
pgw_upstream_others_pending_tokens(const struct pgw_upstream *upstream,
                                   double prefill_tokens_per_ms,
                                   uint64_t now_us)
{
    uint64_t reported = upstream->load.pending_tokens;
    uint64_t own = upstream->own_prefill_tokens_at_report;
    uint64_t age_us = now_us - upstream->pending_reported_at_us;

    if (upstream->pending_reported_at_us == 0 ||
        age_us >= PENDING_MAX_AGE_US || reported <= own) {
        return 0;
    }
    return MAX((double)(reported - own) -
                   (double)age_us / 1000 * prefill_tokens_per_ms,
               0);
}

double
pgw_upstream_others_long_prefills(const struct pgw_upstream *upstream,
                                  uint64_t now_us)
{
    return others_prefills(upstream->load.long_prefills,
                           upstream->own_long_prefills_at_report, upstream,
                           now_us);
}

static void
extend_avoidance(struct pgw_upstream *upstream, uint64_t backoff_us,
                 uint64_t now_us)
{
    upstream->avoid_until_us =
        MAX(upstream->avoid_until_us, now_us + backoff_us);
}

static void
record_refusal(struct pgw_upstream *upstream, uint64_t now_us)
{
    uint64_t backoff_us = FULL_BACKOFF_BASE_US << MIN(
                              upstream->refusals, FULL_BACKOFF_DOUBLINGS_MAX);

    upstream->refusals++;
    upstream->full_until_us =
        MAX(upstream->full_until_us, now_us + backoff_us);
}

void
pgw_upstream_record_attempt(struct pgw_upstream *upstream,
                            enum pgw_attempt_result result, uint64_t now_us)
{
    uint64_t backoff_us = AVOID_BACKOFF_BASE_US;

    if (result == PGW_RESULT_REFUSED) {
        record_refusal(upstream, now_us);
        return;
    }
    upstream->refusals = 0;
    upstream->failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
    if (result == PGW_RESULT_COMPLETED) {
        upstream->failures = 0;
        return;
    }
    upstream->failure_rate += FAILURE_RATE_WEIGHT;
    upstream->failures++;
    if (result == PGW_RESULT_ERROR) {
        return;
    }
    for (uint32_t i = 1;
         i < upstream->failures && backoff_us < AVOID_BACKOFF_MAX_US; i++) {
        backoff_us *= 2;
    }
    extend_avoidance(upstream, MIN(backoff_us, AVOID_BACKOFF_MAX_US), now_us);
}
