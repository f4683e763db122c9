#include "entry/upstream.h"
#include "entry/exchange.h"
#include "entry/lost.h"
#include "util/log.h"
#include "util/random.h"

#define RECONNECT_MIN_US UINT64_C(50000)
#define RECONNECT_MAX_US UINT64_C(1000000)
/*
 * While attempts run there, a sidecar is heard at least twice a second. After
 * four missed words the connection is taken as dead: a stalled or half-open
 * one gives no error of its own and requests would wait there until their
 * deadline. An idle connection is heard seldom, to keep control cheap, and
 * a probe that stays unanswered keeps requests away from a dead one.
 */
#define SILENCE_MAX_US UINT64_C(2000000)
#define SILENCE_IDLE_US UINT64_C(75000000)
#define SILENCE_CHECK_US UINT64_C(250000)
#define SILENCE_CHECK_IDLE_US UINT64_C(2500000)
/* While attempts run there, a sidecar hears from us at least so often. */
#define HEARTBEAT_US UINT64_C(2000000)
/*
 * All upstreams that cannot be reached share some 220 attempts a second:
 * when a region is gone, attempts at each one's own pace were a third of a
 * core at 10,000 upstreams.
 */
#define RECONNECT_SHARE_US UINT64_C(6000)

static void upstream_connect(struct upstream *upstream);

bool
upstream_can_talk(const struct upstream *upstream)
{
    return upstream->link != NULL && upstream->greeted &&
           pgw_link_is_open(upstream->link);
}

static void
note_failure(struct upstream *upstream)
{
    upstream->entry->unreachable += upstream->failures == 0;
    upstream->failures++;
}

static void
forget_failures(struct upstream *upstream)
{
    upstream->entry->unreachable -= upstream->failures > 0;
    upstream->failures = 0;
}

static void
upstream_free(struct upstream *upstream)
{
    forget_failures(upstream);
    pgw_timer_stop(upstream->entry->loop, &upstream->retry);
    pgw_list_remove(&upstream->asked);
    g_free(upstream->id);
    g_free(upstream->zone);
    g_free(upstream);
}

/* Frees one that the configuration no longer names and nobody uses. */
static bool
upstream_drop_if_unused(struct upstream *upstream)
{
    if (upstream->declared || !pgw_list_is_empty(&upstream->attempts)) {
        return false;
    }
    if (upstream->link != NULL) {
        pgw_link_close(upstream->link);
        return false;
    }
    place_forget(upstream->entry, upstream);
    g_hash_table_remove(upstream->entry->upstreams, upstream->id);
    upstream_free(upstream);
    return true;
}

/* Nothing was started for the attempts that are left, so they may go
 * elsewhere. Each one leaves the list as it is ended. */
static void
take_end(struct upstream *upstream)
{
    while (!pgw_list_is_empty(&upstream->attempts)) {
        forward_not_run(pgw_container_of(pgw_list_first(&upstream->attempts),
                                         struct exchange, at_target));
    }
    pgw_link_close(upstream->link);
}

static void
take_state(struct upstream *upstream, const Pgw__State *state)
{
    struct pgw_member_status word = {
        .leaving = state->leaving,
        .upstream_alive = state->upstream_alive,
        .engine = state->engine,
        .weights = state->version,
        .loading = state->loading,
    };

    pgw_hlc_receive(pgw_hlc_process(), state->clock, pgw_hlc_wall_us());
    lost_take_state(upstream, state->upstream_alive, state->engine);
    if (!upstream->is_seed) {
        pgw_members_apply_status(upstream->entry->members, upstream->id,
                                 upstream->incarnation, &word);
    }
    if (state->ended) {
        take_end(upstream);
    }
}

/* A window of no bytes for no attempt. */
static void
send_heartbeat(const struct upstream *upstream)
{
    Pgw__Window window = PGW__WINDOW__INIT;

    pgw_link_send(upstream->link, PGW_FRAME_WINDOW, &window.base);
}

static void
take_hello(struct upstream *upstream, const Pgw__Hello *hello)
{
    if (hello->protocol != PGW_PROTOCOL_VERSION ||
        strcmp(hello->role, "sidecar") != 0 ||
        (!upstream->is_seed && strcmp(hello->instance, upstream->id) != 0)) {
        pgw_log_warning("hello_refused", "upstream=%s instance=%s role=%s",
                        upstream->id, hello->instance, hello->role);
        pgw_link_close(upstream->link);
        return;
    }
    upstream->greeted = true;
    /* From now on it may rely on them. */
    send_heartbeat(upstream);
    forget_failures(upstream);
    upstream->incarnation = hello->incarnation;
    if (!upstream->is_seed) {
        pgw_members_connected(upstream->entry->members, upstream->id,
                              hello->incarnation);
    }
    pgw_hlc_receive(pgw_hlc_process(), hello->clock, pgw_hlc_wall_us());
    pgw_trace_record(upstream->entry->trace, PGW_TRACE_PEER_UP, NULL, 0, 0, 0,
                     upstream->id);
    pgw_sync_add_link(upstream->entry->sync, upstream->link);
}

static bool
on_frame(struct pgw_link *link, enum pgw_frame_type type,
         ProtobufCMessage *message, void *context)
{
    struct upstream *upstream = context;
    struct entry *entry = upstream->entry;

    if (type == PGW_FRAME_HELLO && !upstream->greeted) {
        take_hello(upstream, (const Pgw__Hello *)message);
        return false;
    }
    if (!upstream->greeted) {
        pgw_link_close(link);
        return false;
    }
    switch (type) {
    case PGW_FRAME_STATE:
        take_state(upstream, (const Pgw__State *)message);
        break;
    case PGW_FRAME_PROBE_REPLY:
        place_take_reply(entry, upstream, (const Pgw__ProbeReply *)message);
        break;
    case PGW_FRAME_STARTED:
    case PGW_FRAME_DATA:
    case PGW_FRAME_END:
    case PGW_FRAME_FAIL:
        forward_take_frame(entry, upstream, type, message);
        break;
    case PGW_FRAME_SUSPECTS:
        pgw_suspects_handle_frame(entry->suspects,
                                  (const Pgw__Objects *)message);
        break;
    default:
        if (!pgw_sync_handle_frame(entry->sync, link, type, message)) {
            pgw_log_warning("frame_unexpected", "type=%d upstream=%s", type,
                            upstream->id);
            pgw_link_close(link);
        }
        break;
    }
    return false;
}

static void
schedule_reconnect(struct upstream *upstream)
{
    uint64_t bound = RECONNECT_MIN_US;

    for (unsigned i = 0; i < upstream->failures && bound < RECONNECT_MAX_US;
         i++) {
        bound *= 2;
    }
    note_failure(upstream);
    bound = MIN(bound, RECONNECT_MAX_US);
    bound = MAX(bound, upstream->entry->unreachable * RECONNECT_SHARE_US);
    pgw_timer_start(upstream->entry->loop, &upstream->retry,
                    bound / 2 + pgw_random_u64() % (bound / 2));
}

static void
on_closed(struct pgw_link *link, const GError *error, void *context)
{
    struct upstream *upstream = context;

    if (upstream->greeted) {
        pgw_log_warning("upstream_link_lost", "upstream=%s error=%s",
                        upstream->id,
                        error == NULL ? "closed here" : error->message);
        pgw_trace_record(upstream->entry->trace, PGW_TRACE_PEER_DOWN, NULL, 0,
                         0, 0, upstream->id);
    }
    pgw_sync_remove_link(upstream->entry->sync, link);
    if (!upstream->is_seed) {
        pgw_members_disconnected(upstream->entry->members, upstream->id,
                                 upstream->greeted ? upstream->incarnation : 0,
                                 pgw_now_us());
    }
    lost_mark(upstream);
    upstream->link = NULL;
    upstream->greeted = false;
    pgw_timer_stop(upstream->entry->loop, &upstream->retry);
    /* Each one leaves the list as it is told, and may start elsewhere. */
    while (!pgw_list_is_empty(&upstream->attempts)) {
        forward_link_lost(pgw_container_of(pgw_list_first(&upstream->attempts),
                                           struct exchange, at_target));
    }
    if (!upstream_drop_if_unused(upstream)) {
        schedule_reconnect(upstream);
    }
}

static void
on_open(struct pgw_link *link, void *context)
{
    struct upstream *upstream = context;
    struct entry *entry = upstream->entry;
    Pgw__Hello hello = PGW__HELLO__INIT;

    hello.protocol = PGW_PROTOCOL_VERSION;
    hello.instance = entry->settings->instance;
    hello.role = "entry";
    hello.zone = entry->settings->zone;
    hello.incarnation = entry->incarnation;
    hello.clock = pgw_hlc_now(pgw_hlc_process(), pgw_hlc_wall_us());
    pgw_link_send(link, PGW_FRAME_HELLO, &hello.base);
}

static const struct pgw_link_ops upstream_ops = {
    .on_open = on_open,
    .on_frame = on_frame,
    .on_closed = on_closed,
};

static void
upstream_connect(struct upstream *upstream)
{
    GError *error = NULL;

    upstream->link =
        pgw_link_connect(upstream->entry->loop, &upstream->address,
                         &upstream_ops, upstream, &error);
    if (upstream->link == NULL) {
        pgw_log_warning("connect_failed", "upstream=%s error=%s", upstream->id,
                        error->message);
        g_clear_error(&error);
        schedule_reconnect(upstream);
        return;
    }
    pgw_timer_start(upstream->entry->loop, &upstream->retry, SILENCE_CHECK_US);
}

static bool
is_silent(const struct upstream *upstream)
{
    uint64_t heard = pgw_link_last_received_us(upstream->link);
    bool busy = !upstream->greeted || !pgw_list_is_empty(&upstream->attempts);
    bool waits = busy || upstream->asked_us > heard;
    uint64_t now = pgw_now_us();

    /* An attempt that began on an idle connection gives it time to answer. */
    if (busy) {
        heard = MAX(heard, upstream->busy_us);
    }
    else if (waits) {
        heard = upstream->asked_us;
    }
    return now - heard > (waits ? SILENCE_MAX_US : SILENCE_IDLE_US);
}

/* A sidecar that hears nothing ends our attempts, so those whose callers take
 * nothing, or wait for a first token, have to be spoken for. */
static void
heartbeat_if_due(const struct upstream *upstream)
{
    if (!pgw_list_is_empty(&upstream->attempts) &&
        upstream_can_talk(upstream) &&
        pgw_now_us() - pgw_link_last_queued_us(upstream->link) >=
            HEARTBEAT_US) {
        send_heartbeat(upstream);
    }
}

/* A check that is late itself shows that this process stood still, and perhaps
 * its whole machine. */
static void
log_silence(const struct upstream *upstream, const struct pgw_timer *check)
{
    uint64_t now = pgw_now_us();

    pgw_log_warning(
        "upstream_silent",
        "upstream=%s heard_ms=%" G_GUINT64_FORMAT
        " queued_ms=%" G_GUINT64_FORMAT " busy_ms=%" G_GUINT64_FORMAT
        " late_ms=%" G_GUINT64_FORMAT " greeted=%d attempts=%d",
        upstream->id, (now - pgw_link_last_received_us(upstream->link)) / 1000,
        (now - pgw_link_last_queued_us(upstream->link)) / 1000,
        (now - upstream->busy_us) / 1000, (now - check->due_us) / 1000,
        upstream->greeted, !pgw_list_is_empty(&upstream->attempts));
}

static void
retry_due(struct pgw_timer *timer)
{
    struct upstream *upstream =
        pgw_container_of(timer, struct upstream, retry);

    if (upstream->link == NULL) {
        if (!upstream_drop_if_unused(upstream)) {
            upstream_connect(upstream);
        }
        return;
    }
    if (is_silent(upstream)) {
        log_silence(upstream, timer);
        pgw_link_close(upstream->link);
        return;
    }
    upstream_drop_if_unused(upstream);
    heartbeat_if_due(upstream);
    pgw_timer_start(
        upstream->entry->loop, timer,
        upstream->greeted && pgw_list_is_empty(&upstream->attempts) &&
                upstream->asked_us <= pgw_link_last_received_us(upstream->link)
            ? SILENCE_CHECK_IDLE_US
            : SILENCE_CHECK_US);
}

void
upstream_begin(struct upstream *upstream)
{
    if (pgw_list_is_empty(&upstream->attempts)) {
        upstream->busy_us = pgw_now_us();
        pgw_timer_start(upstream->entry->loop, &upstream->retry,
                        SILENCE_CHECK_US);
    }
}

void
upstream_ask(struct upstream *upstream)
{
    Pgw__Probe probe = PGW__PROBE__INIT;

    upstream->asked_us = pgw_now_us();
    pgw_list_remove(&upstream->asked);
    pgw_list_append(&upstream->entry->lost.asked, &upstream->asked);
    pgw_link_send(upstream->link, PGW_FRAME_PROBE, &probe.base);
    pgw_timer_start(upstream->entry->loop, &upstream->retry, SILENCE_CHECK_US);
}

static struct upstream *
upstream_new(struct entry *entry, const char *id,
             const struct pgw_address *address, const char *zone)
{
    struct upstream *upstream = g_new0(struct upstream, 1);

    upstream->entry = entry;
    upstream->id = g_strdup(id);
    upstream->zone = g_strdup(zone);
    upstream->address = *address;
    upstream->declared = true;
    upstream->retry.on_due = retry_due;
    pgw_list_init(&upstream->attempts);
    g_hash_table_insert(entry->upstreams, upstream->id, upstream);
    upstream_connect(upstream);
    return upstream;
}

static bool
same_address(const struct pgw_address *a, const struct pgw_address *b)
{
    return a->size == b->size &&
           memcmp(&a->storage, &b->storage, a->size) == 0;
}

static void
apply_one(struct entry *entry, const struct pgw_upstream *declared)
{
    struct upstream *upstream =
        g_hash_table_lookup(entry->upstreams, declared->id);
    struct pgw_address address;
    char *text =
        strchr(declared->host, ':') != NULL
            ? g_strdup_printf("[%s]:%u", declared->host, declared->port)
            : g_strdup_printf("%s:%u", declared->host, declared->port);
    bool good = pgw_address_parse(&address, text, NULL);

    g_free(text);
    if (!good) {
        return;
    }
    if (upstream == NULL) {
        upstream = upstream_new(entry, declared->id, &address, declared->zone);
    }
    else if (!same_address(&upstream->address, &address)) {
        upstream->address = address;
        if (upstream->link != NULL) {
            pgw_link_close(upstream->link);
        }
    }
    upstream->declared = true;
    g_free(upstream->zone);
    upstream->zone = g_strdup(declared->zone);
}

void
upstreams_apply(struct entry *entry)
{
    size_t count = 0;
    const struct pgw_upstream *const *declared =
        pgw_config_upstreams(entry->config, NULL, &count);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, entry->upstreams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct upstream *upstream = value;

        upstream->declared = upstream->is_seed;
    }
    for (size_t i = 0; i < count; i++) {
        apply_one(entry, declared[i]);
    }
    pgw_members_set_config(entry->members, entry->config);
    pools_refresh(entry);
    /* Those no longer named go as soon as their last attempt has ended; their
     * timers look after them. */
}

bool
upstreams_add_seeds(struct entry *entry, GError **error)
{
    for (char **seed = entry->settings->seeds; seed != NULL && *seed != NULL;
         seed++) {
        struct pgw_address address;
        struct upstream *upstream;

        if (!pgw_address_parse(&address, *seed, error)) {
            return false;
        }
        upstream = upstream_new(entry, *seed, &address, "");
        upstream->is_seed = true;
    }
    return true;
}

void
upstreams_free(struct entry *entry)
{
    GList *all = g_hash_table_get_values(entry->upstreams);

    for (GList *link = all; link != NULL; link = link->next) {
        struct upstream *upstream = link->data;

        upstream->declared = false;
        if (upstream->link != NULL) {
            pgw_link_close(upstream->link);
        }
        else {
            upstream_drop_if_unused(upstream);
        }
    }
    g_list_free(all);
    pgw_loop_run_tasks(entry->loop);
}
