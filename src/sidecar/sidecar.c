#include "sidecar/sidecar.h"
#include "libparsleygw/store_worker.h"
#include "parsleygw/errors.h"
#include "sidecar/claims.h"
#include "sidecar/kv.h"
#include "sidecar/orders.h"
#include "sidecar/suspicion.h"
#include "util/address.h"
#include "util/json_text.h"
#include "util/log.h"
#include "util/random.h"

#define STATE_INTERVAL_US UINT64_C(500000)
/* 29 bytes from each of 10,000 sidecars: 10 KB/s at an entry. */
#define STATE_IDLE_US UINT64_C(30000000)
/* Sidecars are many before few entries, which hear of a change from many. */
#define PUSH_LINKS 2
#define DRAIN_CHECK_US UINT64_C(20000)
/* An entry closes its link as soon as it hears of the end; one that stands
 * still for longer keeps no process here. */
#define CLOSE_LIMIT_US UINT64_C(1000000)
#define STORE_THREADS 4
#define TRACE_EVENTS (1u << 14)

bool
sidecar_takes_work(const struct sidecar *sidecar)
{
    return !sidecar->leaving && !sidecar->declared_leaving;
}

/*
 * Failure: an entry that the news of the leaving upstream has not reached goes
 * on sending. Symptom: the upstream is taken away under its new requests.
 * This process hears of its own upstream from more peers than any entry, and
 * nothing passes it by. The word that entries hold against an incarnation is
 * left alone: an operator may declare the same one joined again.
 */
static void
take_declaration(struct sidecar *sidecar)
{
    const struct pgw_upstream *declared =
        pgw_config_upstream(sidecar->config, sidecar->settings->instance);
    bool leaving = declared != NULL && declared->leaving;

#ifdef PGW_DISABLE_DECLARED_LEAVING
    leaving = false;
#endif
    if (leaving == sidecar->declared_leaving) {
        return;
    }
    sidecar->declared_leaving = leaving;
    pgw_trace_record(sidecar->trace,
                     leaving ? PGW_TRACE_DECLARED_LEAVING
                             : PGW_TRACE_DECLARED_JOINED,
                     NULL, 0, sidecar->runs, 0, NULL);
    pgw_log_info(leaving ? "declared_leaving" : "declared_joined", "runs=%u",
                 sidecar->runs);
}

static void
config_changed(void *context)
{
    struct sidecar *sidecar = context;
    struct pgw_config *config = pgw_config_build(sidecar->set);

    if (sidecar->config != NULL) {
        pgw_config_unref(sidecar->config);
    }
    sidecar->config = config;
    take_declaration(sidecar);
    if (sidecar->feed != NULL) {
        pgw_config_feed_update(sidecar->feed, config);
    }
    orders_config_changed(sidecar->orders);
    pgw_trace_record(sidecar->trace, PGW_TRACE_CONFIG_APPLY, NULL, 0,
                     pgw_config_version(config), 0, NULL);
}

static void
view_update(struct sidecar *sidecar)
{
    struct sidecar_view *view = &sidecar->view;

    pthread_mutex_lock(&view->lock);
    view->leaving = sidecar->leaving;
    view->takes_work = sidecar_takes_work(sidecar);
    view->alive = sidecar->engine.alive;
    view->engine = sidecar->engine.incarnation;
    g_strlcpy(view->version, sidecar->engine.version, sizeof(view->version));
    view->loading = orders_is_closed(sidecar->orders);
    orders_get_state(sidecar->orders, &view->order);
    pgw_admit_load_get(&view->load, sidecar->admit);
    pgw_cache_stats_get(&view->cache, sidecar->cache);
    if (sidecar->config != NULL) {
        view->config_version = pgw_config_version(sidecar->config);
    }
    pthread_mutex_unlock(&view->lock);
}

bool
sidecar_is_ready(struct sidecar *sidecar, char **reason)
{
    struct sidecar_view *view = &sidecar->view;
    const char *why = NULL;

    pthread_mutex_lock(&view->lock);
    if (view->leaving) {
        why = "leaving: a planned stop is under way";
    }
    else if (!view->alive) {
        why = "the upstream does not answer: check that it runs and that "
              "upstream_url is right";
    }
    pthread_mutex_unlock(&view->lock);
    if (why != NULL) {
        *reason = g_strdup(why);
    }
    return why == NULL;
}

static void
append_order(GString *out, const struct sidecar_view *view)
{
    const struct pgw_orders_state *order = &view->order;
    bool any = order->fence != 0;

    g_string_append_printf(
        out,
        ",\"loading\":%s,\"order\":{\"phase\":\"%s\",\"fence\":"
        "%" G_GUINT64_FORMAT ",\"done\":%" G_GUINT64_FORMAT
        ",\"refused\":%" G_GUINT64_FORMAT ",\"kind\":",
        view->loading ? "true" : "false", pgw_orders_phase_name(order->phase),
        order->fence, order->done, order->refused);
    pgw_json_append_text(out, any ? order->order.kind : "");
    g_string_append(out, ",\"version\":");
    pgw_json_append_text(out, any ? order->order.version : "");
    g_string_append(out, ",\"problem\":");
    pgw_json_append_text(out, order->problem);
    g_string_append_c(out, '}');
}

char *
sidecar_status(struct sidecar *sidecar)
{
    struct sidecar_view *view = &sidecar->view;
    GString *out = g_string_new("{\"role\":\"sidecar\",\"instance\":");

    pgw_json_append_text(out, sidecar->settings->instance);
    g_string_append(out, ",\"zone\":");
    pgw_json_append_text(out, sidecar->settings->zone);
    g_string_append(out, ",\"pool\":");
    pgw_json_append_text(out, sidecar->settings->pool);
    pthread_mutex_lock(&view->lock);
    g_string_append(out, ",\"version\":");
    pgw_json_append_text(out, view->version);
    g_string_append_printf(
        out,
        ",\"leaving\":%s,\"alive\":%s,\"engine\":\"%" G_GINT64_MODIFIER
        "x\",\"running\":%u,\"waiting\":%u,\"queued_tokens\":%u"
        ",\"cached_blocks\":%zu,\"cached_levels\":%zu,\"event_gaps\":"
        "%" G_GUINT64_FORMAT ",\"late_events\":%" G_GUINT64_FORMAT
        ",\"config_version\":%" G_GUINT64_FORMAT,
        view->takes_work ? "false" : "true", view->alive ? "true" : "false",
        view->engine, view->load.running, view->load.waiting,
        view->load.queued_tokens, view->cache.blocks, view->cache.levels,
        view->cache.gaps, view->cache.late, view->config_version);
    append_order(out, view);
    pthread_mutex_unlock(&view->lock);
    g_string_append_c(out, '}');
    return g_string_free(out, FALSE);
}

void
sidecar_push_state(struct sidecar *sidecar)
{
    view_update(sidecar);
    pgw_config_feed_report_store_state(sidecar->feed, sidecar->trace);
    pgw_list_foreach (link, &sidecar->peers) {
        struct peer *peer = pgw_container_of(link, struct peer, link);

        if (peer->instance != NULL) {
            peer_send_state(peer);
        }
    }
}

/* The regular word tells an entry that waits for something that the
 * connection still works; one that hears nothing for a few intervals looks
 * for another way. Where the entry waits for nothing, or has heard from us
 * anyway, the word is left out: with many entries it would be most of what
 * control costs. */
static void
state_due(struct pgw_timer *timer)
{
    struct sidecar *sidecar =
        pgw_container_of(timer, struct sidecar, state_timer);
    uint64_t now = pgw_now_us();

    view_update(sidecar);
    pgw_config_feed_report_store_state(sidecar->feed, sidecar->trace);
    pgw_list_foreach (link, &sidecar->peers) {
        struct peer *peer = pgw_container_of(link, struct peer, link);
        uint64_t quiet = now - pgw_link_last_queued_us(peer->connection);
        bool busy = g_hash_table_size(peer->runs) > 0;

        if (peer_is_silent(peer, now)) {
            pgw_log_warning("entry_silent", "entry=%s runs=%u", peer->instance,
                            g_hash_table_size(peer->runs));
            pgw_link_close(peer->connection);
            continue;
        }
        if (peer->instance != NULL &&
            quiet >= (busy ? STATE_INTERVAL_US : STATE_IDLE_US)) {
            peer_send_state(peer);
        }
    }
    pgw_timer_start(sidecar->loop, timer, STATE_INTERVAL_US);
}

static bool
is_drained(struct sidecar *sidecar)
{
    if (sidecar->runs > 0) {
        return false;
    }
    /* An outcome that is not recorded would turn a repeat of a finished call
     * into "unknown". */
    claims_close(sidecar->claims);
    if (!claims_are_settled(sidecar->claims)) {
        return false;
    }
    pgw_list_foreach (link, &sidecar->peers) {
        struct peer *peer = pgw_container_of(link, struct peer, link);

        if (pgw_link_pending_bytes(peer->connection) > 0) {
            return false;
        }
    }
    return true;
}

/*
 * A request that is sent to this process while it ends must not get an unknown
 * outcome, since it has not run. What it has read is answered; what is still
 * on its way cannot be known, so each entry is told that its attempts without
 * an answer have not run, and closes its link.
 */
static void
listener_closed(void *context)
{
    struct sidecar *sidecar = context;

    sidecar->ended = true;
    sidecar_push_state(sidecar);
}

static void
begin_close(struct sidecar *sidecar)
{
    pgw_log_info("drain_end", "unfinished=%u", sidecar->runs);
    pgw_trace_record(sidecar->trace, PGW_TRACE_DRAIN_END, NULL, 0,
                     sidecar->runs, 0, NULL);
    gate_refuse_rest(sidecar);
    sidecar->close_until_us = pgw_now_us() + CLOSE_LIMIT_US;
    pgw_listener_close(sidecar->listener, listener_closed);
}

static void
drain_due(struct pgw_timer *timer)
{
    struct sidecar *sidecar =
        pgw_container_of(timer, struct sidecar, drain_timer);
    uint64_t now = pgw_now_us();

    if (sidecar->close_until_us == 0) {
        gate_refuse_late(sidecar);
    }
    if (sidecar->close_until_us == 0 &&
        (is_drained(sidecar) || now >= sidecar->drain.cut_us)) {
        begin_close(sidecar);
    }
    if (sidecar->close_until_us > 0 &&
        (now >= sidecar->close_until_us ||
         (sidecar->ended && pgw_list_is_empty(&sidecar->peers)))) {
        pgw_loop_stop(sidecar->loop);
        return;
    }
    pgw_timer_start(sidecar->loop, timer, DRAIN_CHECK_US);
}

void
sidecar_drain(struct sidecar *sidecar)
{
    uint64_t now;

    if (sidecar->leaving) {
        return;
    }
    sidecar->leaving = true;
    orders_close(sidecar->orders);
    now = pgw_now_us();
    sidecar->drain = (struct pgw_drain_window){
        .begun_us = now,
        .cut_us = now + (uint64_t)sidecar->settings->drain_timeout_ms * 1000,
    };
    pgw_trace_record(sidecar->trace, PGW_TRACE_DRAIN_BEGIN, NULL, 0,
                     sidecar->runs, 0, NULL);
    pgw_log_info("drain_begin", "runs=%u", sidecar->runs);
    sidecar_push_state(sidecar);
    sidecar->drain_timer.on_due = drain_due;
    /* One interval for entries to read the word: a request already on its way
     * is still refused as not run instead of meeting a closed connection. */
    pgw_timer_start(sidecar->loop, &sidecar->drain_timer, STATE_INTERVAL_US);
}

static bool
listen_for_entries(struct sidecar *sidecar, GError **error)
{
    struct pgw_address address;

    if (!pgw_address_parse(&address, sidecar->settings->listen, error)) {
        return false;
    }
    sidecar->listener =
        pgw_listener_new(sidecar->loop, &address, peer_accept, sidecar, error);
    return sidecar->listener != NULL;
}

static struct pgw_admit *
admit_new(const struct pgw_sidecar_settings *settings)
{
    struct pgw_admit_options options = PGW_ADMIT_OPTIONS_INIT;

    options.max_running = settings->max_running;
    options.max_waiting = settings->queue_limit;
    options.reserved = MIN(options.reserved, options.max_running / 4);
    return pgw_admit_new(&options);
}

static bool
feed_init(struct sidecar *sidecar, GError **error)
{
    struct pgw_config_feed_options options = {
        .store_url = sidecar->settings->store_url,
        .instance = sidecar->settings->instance,
        .zone = sidecar->settings->zone,
        .loop = sidecar->loop,
        .sync = sidecar->sync,
        .set = sidecar->set,
        .suspects = sidecar->suspects,
    };

    sidecar->feed = pgw_config_feed_new(&options, error);
    if (sidecar->feed == NULL) {
        return false;
    }
    pgw_config_feed_update(sidecar->feed, sidecar->config);
    return true;
}

static void
suspects_init(struct sidecar *sidecar)
{
    struct pgw_suspects_options options = PGW_SUSPECTS_OPTIONS_INIT;

    sidecar->suspicion = suspicion_new(sidecar);
    options.loop = sidecar->loop;
    options.on_record = suspicion_record;
    options.context = sidecar->suspicion;
    sidecar->suspects = pgw_suspects_new(&options);
}

struct sidecar *
sidecar_new(struct pgw_sidecar_settings *settings, GError **error)
{
    struct sidecar *sidecar = g_new0(struct sidecar, 1);
    struct pgw_sync_options sync = PGW_SYNC_OPTIONS_INIT;

    sidecar->settings = settings;
    sidecar->is_model = strcmp(settings->upstream_type, "model") == 0;
    sidecar->incarnation = pgw_random_u64();
    pthread_mutex_init(&sidecar->view.lock, NULL);
    pgw_list_init(&sidecar->peers);
    pgw_list_init(&sidecar->all_runs);
    pgw_list_init(&sidecar->held);
    pgw_trace_new(&sidecar->trace, TRACE_EVENTS, pgw_hlc_process());
    pgw_link_register_metrics();
    sidecar->loop = pgw_loop_new(error);
    if (sidecar->loop == NULL) {
        goto fail;
    }
    sidecar->transfers = pgw_transfer_pool_new(sidecar->loop);
    sidecar->admit = admit_new(settings);
    sidecar->cache = pgw_cache_new(NULL);
    sidecar->set = pgw_config_set_new();
    sync.loop = sidecar->loop;
    sync.set = sidecar->set;
    sync.on_change = config_changed;
    sync.push_links = PUSH_LINKS;
    sync.context = sidecar;
    sidecar->sync = pgw_sync_new(&sync);
    suspects_init(sidecar);
    engine_init(&sidecar->engine, sidecar);
    if (settings->bootstrap_file != NULL) {
        if (!pgw_config_set_load_file(sidecar->set, settings->bootstrap_file,
                                      error)) {
            goto fail;
        }
        pgw_sync_mark_seeded(sidecar->sync);
    }
    config_changed(sidecar);
    if (!feed_init(sidecar, error)) {
        goto fail;
    }
    sidecar->worker = pgw_store_worker_new(
        pgw_config_feed_store(sidecar->feed), sidecar->loop, STORE_THREADS);
    sidecar->claims = claims_new(sidecar);
    if (sidecar->is_model) {
        sidecar->orders = orders_new(sidecar);
        sidecar->kv = kv_new(sidecar);
    }
    if (!listen_for_entries(sidecar, error)) {
        goto fail;
    }
    sidecar->state_timer.on_due = state_due;
    pgw_timer_start(sidecar->loop, &sidecar->state_timer, STATE_INTERVAL_US);
    return sidecar;
fail:
    sidecar_free(sidecar);
    return NULL;
}

static void
close_peers(struct sidecar *sidecar)
{
    pgw_list_foreach_safe (link, &sidecar->peers) {
        struct peer *peer = pgw_container_of(link, struct peer, link);

        pgw_link_close(peer->connection);
    }
    pgw_loop_run_tasks(sidecar->loop);
}

void
sidecar_free(struct sidecar *sidecar)
{
    if (sidecar->listener != NULL) {
        close_peers(sidecar);
        pgw_listener_free(sidecar->listener);
    }
    pgw_config_feed_stop(sidecar->feed);
    if (sidecar->transfers != NULL) {
        orders_free(sidecar->orders);
        engine_dispose(&sidecar->engine);
        gate_abandon_all(sidecar);
        kv_free(sidecar->kv);
        pgw_store_worker_free(sidecar->worker);
        claims_free(sidecar->claims);
        suspicion_free(sidecar->suspicion);
        pgw_config_feed_free(sidecar->feed);
        pgw_suspects_free(sidecar->suspects);
        pgw_sync_free(sidecar->sync);
        pgw_admit_free(sidecar->admit);
        pgw_cache_free(sidecar->cache);
        pgw_transfer_pool_free(sidecar->transfers);
        pgw_config_set_free(sidecar->set);
    }
    if (sidecar->config != NULL) {
        pgw_config_unref(sidecar->config);
    }
    pgw_loop_free(sidecar->loop);
    pgw_trace_free(sidecar->trace);
    pthread_mutex_destroy(&sidecar->view.lock);
    g_free(sidecar);
}
