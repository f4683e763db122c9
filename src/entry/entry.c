#include "entry/entry.h"
#include "entry/exchange.h"
#include "entry/http.h"
#include "entry/upstream.h"
#include "entry/workspace_count.h"
#include "libparsleygw/store_worker.h"
#include "util/json_text.h"
#include "util/log.h"
#include "util/random.h"
#include <xxhash.h>

#define WATCH_INTERVAL_US UINT64_C(200000)
#define DRAIN_CHECK_US UINT64_C(20000)
#define DRAIN_LINGER_US UINT64_C(500000)
/* Time to close the port and to send what is left, beyond the drain timeout;
 * operators add it to that when they set how soon a process is killed. */
#define CLOSE_LIMIT_US UINT64_C(1500000)
#define FINISH_CHECK_US 2000
#define FINISH_LIMIT_US UINT64_C(500000)
#define LIST_INTERVAL_US UINT64_C(10000000)
/* A line has about 60 bytes: 2 KB/s at most. */
#define LIST_LINE_US UINT64_C(30000)
/* Entries are few before many sidecars: were each to pass a change on to as
 * few as a sidecar does, two in three sidecars would have to find it out. */
#define PUSH_LINKS 16
#define LIST_TIMEOUT_US UINT64_C(2000000)
#define TRACE_EVENTS (1u << 14)

static guint
id_hash(gconstpointer key)
{
    return (guint)XXH3_64bits(key, PGW_REQUEST_ID_SIZE);
}

static gboolean
id_equal(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, PGW_REQUEST_ID_SIZE) == 0;
}

static void
config_unref(void *config)
{
    pgw_config_unref(config);
}

static void
config_changed(void *context)
{
    struct entry *entry = context;
    struct pgw_config *config = pgw_config_build(entry->set);

    if (entry->config != NULL) {
        pgw_config_unref(entry->config);
    }
    entry->config = config;
    pgw_rcu_replace(entry->snapshot, pgw_config_ref(config));
    upstreams_apply(entry);
    if (entry->feed != NULL) {
        pgw_config_feed_update(entry->feed, config);
    }
    pgw_trace_record(entry->trace, PGW_TRACE_CONFIG_APPLY, NULL, 0,
                     pgw_config_version(config), 0, NULL);
}

static void
watch_due(struct pgw_timer *timer)
{
    struct entry *entry = pgw_container_of(timer, struct entry, watch_timer);
    GList *all = g_hash_table_get_values(entry->exchanges);

    for (GList *link = all; link != NULL; link = link->next) {
        struct exchange *exchange = link->data;

        if (exchange_caller_is_gone(exchange)) {
            forward_caller_gone(exchange);
        }
    }
    g_list_free(all);
    pools_refresh(entry);
    pgw_config_feed_report_store_state(entry->feed, entry->trace);
    pgw_timer_start(entry->loop, timer, WATCH_INTERVAL_US);
}

static void
list_done(void *context, const struct pgw_store_instances *list)
{
    struct entry *entry = context;
    uint64_t pause = LIST_INTERVAL_US;

    if (list != NULL) {
        /* A fleet's list is hundreds of kilobytes: the larger, the rarer. */
        pause = MAX(pause, list->n * LIST_LINE_US);
        pgw_members_set_list(entry->members, list, pgw_now_us());
    }
    pgw_timer_start(entry->loop, &entry->list_timer,
                    pause / 2 + pgw_random_u64() % pause);
}

/* The list lags, so it is looked at seldom; what is urgent the sidecars and
 * the operators say themselves. */
static void
list_due(struct pgw_timer *timer)
{
    struct entry *entry = pgw_container_of(timer, struct entry, list_timer);

    pgw_store_worker_list_instances(entry->worker, LIST_TIMEOUT_US, list_done,
                                    entry);
}

static void
withdraw_late(struct entry *entry)
{
    GList *all = g_hash_table_get_values(entry->exchanges);

    for (GList *link = all; link != NULL; link = link->next) {
        forward_withdraw_late(link->data);
    }
    g_list_free(all);
}

static void
refuse_rest(struct entry *entry)
{
    GList *all = g_hash_table_get_values(entry->exchanges);

    for (GList *link = all; link != NULL; link = link->next) {
        struct exchange *exchange = link->data;
        struct refusal refusal = {0};

        entry->unfinished += !exchange->ended;
        refusal_set(&refusal, PGW_REFUSAL_LEAVING, forward_ran(exchange), 0,
                    "the instance stops and its drain timeout has passed");
        forward_refuse(exchange, &refusal);
        refusal_dispose(&refusal);
    }
    g_list_free(all);
}

static void
refuse_incomplete(struct entry *entry)
{
    struct refusal refusal = {0};

    refusal_set(&refusal, PGW_REFUSAL_LEAVING, PGW_RAN_NO, 0,
                "the instance stops before the request has arrived in full: "
                "send to another one");
    http_refuse_incomplete(entry->http, &refusal);
    refusal_dispose(&refusal);
}

static bool
is_drained(const struct entry *entry)
{
    /* A request that is refused is never in flight, and its answer is lost if
     * the HTTP server stops before it is sent. */
    return entry->close_until_us > 0 && http_is_closed(entry->http) &&
           atomic_load(&entry->inflight) == 0 &&
           atomic_load(&entry->unanswered) == 0;
}

/*
 * New requests are refused as not run until the last old one has ended. Then
 * the listening socket is closed, so that what is left is finite: the stop
 * ends also while callers keep coming, and no request that was sent is cut
 * off.
 */
static void
drain_due(struct pgw_timer *timer)
{
    struct entry *entry = pgw_container_of(timer, struct entry, drain_timer);
    uint64_t now = pgw_now_us();
    bool in_time = now < entry->drain.cut_us;

    withdraw_late(entry);
    if (!in_time) {
        refuse_rest(entry);
        refuse_incomplete(entry);
    }
    if (entry->close_until_us == 0 &&
        (!in_time || atomic_load(&entry->inflight) == 0)) {
        entry->close_until_us = MAX(now, entry->drain.cut_us) + CLOSE_LIMIT_US;
        http_close(entry->http);
    }
    if (!is_drained(entry) &&
        (entry->close_until_us == 0 || now < entry->close_until_us)) {
        pgw_timer_start(entry->loop, timer, DRAIN_CHECK_US);
        return;
    }
    pgw_log_info("drain_end", "unfinished=%u unanswered=%u", entry->unfinished,
                 atomic_load(&entry->unanswered));
    pgw_trace_record(entry->trace, PGW_TRACE_DRAIN_END, NULL, 0,
                     entry->unfinished, 0, NULL);
    pgw_loop_stop(entry->loop);
}

void
entry_drain(struct entry *entry)
{
    uint64_t now;

    if (atomic_exchange(&entry->leaving, true)) {
        return;
    }
    pgw_log_info("drain_begin", "inflight=%u", atomic_load(&entry->inflight));
    pgw_trace_record(entry->trace, PGW_TRACE_DRAIN_BEGIN, NULL, 0,
                     atomic_load(&entry->inflight), 0, NULL);
    now = pgw_now_us();
    entry->drain = (struct pgw_drain_window){
        .begun_us = now,
        .cut_us = now + (uint64_t)entry->settings->drain_timeout_ms * 1000,
    };
    /* In any case the port stays open for a while, in which the balancer sees
     * /readyz. */
    pgw_timer_start(entry->loop, &entry->drain_timer, DRAIN_LINGER_US);
}

void
entry_finish(struct entry *entry)
{
    uint64_t until = pgw_now_us() + FINISH_LIMIT_US;

    /*
     * The drain timeout may have passed. A request that was handed over just
     * then waits for a loop that has ended, and the HTTP server must not stop
     * while it holds a connection for one: it would abort the process.
     */
    do {
        pgw_loop_run_tasks(entry->loop);
        refuse_rest(entry);
        if (atomic_load(&entry->inflight) == 0 &&
            atomic_load(&entry->unanswered) == 0) {
            return;
        }
        g_usleep(FINISH_CHECK_US);
    } while (pgw_now_us() < until);
}

bool
entry_is_ready(struct entry *entry, char **reason)
{
    struct pgw_config *config = pgw_rcu_read_lock(entry->snapshot);
    bool empty = config == NULL || pgw_config_is_empty(config);
    struct pgw_watch_state store;
    const char *why = NULL;

    pgw_rcu_read_unlock(entry->snapshot);
    if (atomic_load(&entry->leaving)) {
        why = "leaving: a planned stop is under way\n";
    }
    else if (empty) {
        pgw_config_feed_get_watch_state(entry->feed, &store);
        *reason = g_strdup_printf(
            "no configuration yet: no peer has one and the store %s%s; check "
            "store_url and seeds\n",
            store.reachable ? "holds none" : "does not answer: ",
            store.last_error);
        return false;
    }
    else if (!pgw_sync_is_settled(entry->sync)) {
        why = "catching up: a part of the configuration is still on its way "
              "from the peers\n";
    }
    else if (atomic_load(&entry->usable) == 0) {
        why = "no upstream can be reached: check that sidecars run and that "
              "the declared addresses are right\n";
    }
    if (why != NULL) {
        *reason = g_strdup(why);
    }
    return why == NULL;
}

char *
entry_status(struct entry *entry)
{
    GString *out = g_string_new("{\"role\":\"entry\",\"instance\":");
    struct pgw_config *config;

    pgw_json_append_text(out, entry->settings->instance);
    g_string_append(out, ",\"zone\":");
    pgw_json_append_text(out, entry->settings->zone);
    config = pgw_rcu_read_lock(entry->snapshot);
    g_string_append_printf(out,
                           ",\"leaving\":%s,\"inflight\":%u,\"reading\":%u"
                           ",\"usable_upstreams\":%u"
                           ",\"config_version\":%" G_GUINT64_FORMAT
                           ",\"config_summary\":\"%" G_GINT64_MODIFIER "x\"}",
                           atomic_load(&entry->leaving) ? "true" : "false",
                           atomic_load(&entry->inflight),
                           atomic_load(&entry->reading),
                           atomic_load(&entry->usable),
                           config == NULL ? 0 : pgw_config_version(config),
                           config == NULL ? 0 : pgw_config_summary(config));
    pgw_rcu_read_unlock(entry->snapshot);
    return g_string_free(out, FALSE);
}

static void
tables_init(struct entry *entry)
{
    entry->upstreams = g_hash_table_new(g_str_hash, g_str_equal);
    entry->pools =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
    entry->exchanges = g_hash_table_new(id_hash, id_equal);
    entry->probes = g_hash_table_new(g_int64_hash, g_int64_equal);
}

static void
sync_init(struct entry *entry)
{
    struct pgw_sync_options options = PGW_SYNC_OPTIONS_INIT;
    struct pgw_suspects_options suspects = PGW_SUSPECTS_OPTIONS_INIT;
    struct pgw_loss_options loss = PGW_LOSS_OPTIONS_INIT;

    options.loop = entry->loop;
    options.set = entry->set;
    options.on_change = config_changed;
    options.push_links = PUSH_LINKS;
    options.context = entry;
    entry->sync = pgw_sync_new(&options);
    suspects.loop = entry->loop;
    entry->suspects = pgw_suspects_new(&suspects);
    pgw_loss_init(&entry->loss, &loss);
    pgw_list_init(&entry->lost.asked);
}

static bool
feed_init(struct entry *entry, GError **error)
{
    struct pgw_config_feed_options options = {
        .store_url = entry->settings->store_url,
        .instance = entry->settings->instance,
        .zone = entry->settings->zone,
        .loop = entry->loop,
        .sync = entry->sync,
        .set = entry->set,
        .suspects = entry->suspects,
    };

    entry->feed = pgw_config_feed_new(&options, error);
    if (entry->feed == NULL) {
        return false;
    }
    pgw_config_feed_update(entry->feed, entry->config);
    entry->worker = pgw_store_worker_new(pgw_config_feed_store(entry->feed),
                                         entry->loop, 1);
    entry->list_timer.on_due = list_due;
    pgw_timer_start(entry->loop, &entry->list_timer,
                    pgw_random_u64() % LIST_INTERVAL_US);
    return true;
}

struct entry *
entry_new(struct pgw_entry_settings *settings, GError **error)
{
    struct entry *entry = g_new0(struct entry, 1);
    struct pgw_retry_options retry = PGW_RETRY_OPTIONS_INIT;
    struct pgw_member_options members = PGW_MEMBER_OPTIONS_INIT;

    entry->settings = settings;
    entry->policy = pgw_place_policy_find(settings->policy);
    entry->incarnation = pgw_random_u64();
    entry->snapshot = pgw_rcu_new(config_unref);
    entry->budget = pgw_retry_budget_new(&retry);
    entry->set = pgw_config_set_new();
    entry->workspaces = workspace_count_new();
    entry->members = pgw_members_new(&members);
    pgw_trace_new(&entry->trace, TRACE_EVENTS, pgw_hlc_process());
    tables_init(entry);
    account_init();
    pgw_link_register_metrics();
    entry->loop = pgw_loop_new(error);
    if (entry->loop == NULL) {
        goto fail;
    }
    sync_init(entry);
    if (settings->bootstrap_file != NULL) {
        if (!pgw_config_set_load_file(entry->set, settings->bootstrap_file,
                                      error)) {
            goto fail;
        }
        pgw_sync_mark_seeded(entry->sync);
    }
    config_changed(entry);
    if (!feed_init(entry, error) || !upstreams_add_seeds(entry, error)) {
        goto fail;
    }
    entry->watch_timer.on_due = watch_due;
    entry->drain_timer.on_due = drain_due;
    pgw_timer_start(entry->loop, &entry->watch_timer, WATCH_INTERVAL_US);
    return entry;
fail:
    entry_free(entry);
    return NULL;
}

void
entry_free(struct entry *entry)
{
    if (entry->loop != NULL) {
        pgw_timer_stop(entry->loop, &entry->watch_timer);
        pgw_timer_stop(entry->loop, &entry->list_timer);
        pgw_store_worker_free(entry->worker);
        pgw_config_feed_free(entry->feed);
        upstreams_free(entry);
        pgw_suspects_free(entry->suspects);
        pgw_sync_free(entry->sync);
    }
    if (entry->view != NULL) {
        pgw_member_view_unref(entry->view);
    }
    pgw_members_free(entry->members);
    pgw_rcu_free(entry->snapshot);
    if (entry->config != NULL) {
        pgw_config_unref(entry->config);
    }
    pgw_config_set_free(entry->set);
    workspace_count_free(entry->workspaces);
    pgw_retry_budget_free(entry->budget);
    g_hash_table_unref(entry->probes);
    g_hash_table_unref(entry->exchanges);
    g_hash_table_unref(entry->pools);
    g_hash_table_unref(entry->upstreams);
    pgw_loop_free(entry->loop);
    pgw_trace_free(entry->trace);
    g_free(entry);
}
