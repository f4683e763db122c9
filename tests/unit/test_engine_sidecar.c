#include "scene_engine.h"
#include "scene_gateway.h"

#include "codec.h"
#include "gateway/sidecar/engine_sidecar.h"
#include "libparsleygw/link.h"
#include "util/log.h"
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Longer than a test takes. */
#define TOKEN_VALID_US (60 * UINT64_C(1000000))

/**
 * struct fixture - a sidecar between a simulated engine and a simulated entry
 * @entry: the entry's connection to the sidecar
 * @engine: the engine's listening socket
 * @tokens: number of fencing tokens given so far
 * @report_count: reports that the entry has received
 * @loading: whether the engine is loading, by the entry's last report
 * @limit: limit in the last report
 * @leaving: whether the engine leaves, by the last report
 * @started_ms: start of the engine's process, by the last report with one
 * @limit_at_start: limit in the first report with that start
 * @version: version in the last report with weights
 * @prefill_per_s: prefill rate in the last report
 * @long_prefills: long prompts in the last report
 * @probe_answer: the last answer to a probe: its number, the tokens left to
 *   prefill, the update of the first part
 * @other: connection of another entry to the sidecar, NULL: there is none
 * @claim_answer: the last answer to a claim: its number, whether the prompt
 *   was granted, the tokens pending before it
 * @lock: guards what the entry has received; a POSIX mutex, as the thread
 *   sanitizer does not see those inside GLib
 */
struct fixture {
    struct pgw_loop *loop;
    struct pgw_engine_sidecar *sidecar;
    struct pgw_link *entry;
    pthread_t thread;
    int engine;
    uint64_t tokens;
    pthread_mutex_t lock;
    unsigned report_count;
    bool loading;
    double limit;
    bool leaving;
    uint64_t started_ms;
    double limit_at_start;
    uint64_t version;
    uint32_t prefill_per_s;
    uint32_t long_prefills;
    struct {
        uint64_t probe;
        uint64_t unread;
        uint32_t part;
    } probe_answer;
    struct pgw_link *other;
    struct {
        uint64_t claim;
        bool granted;
        uint64_t unread;
    } claim_answer;
};

static struct fixture *fixture;

static void
get_token(void *context)
{
    (void)context;
    fixture->tokens++;
    pgw_engine_sidecar_set_token(fixture->sidecar, 40 + fixture->tokens,
                                 TOKEN_VALID_US);
}

static void
take_claim_answer(const Pgw__PrefillAnswer *answer)
{
    pthread_mutex_lock(&fixture->lock);
    fixture->claim_answer.claim = answer->claim;
    fixture->claim_answer.granted = answer->granted;
    fixture->claim_answer.unread = answer->unread;
    pthread_mutex_unlock(&fixture->lock);
}

static bool
on_frame(struct pgw_link *link, enum pgw_frame_type type,
         ProtobufCMessage *message, void *context)
{
    const Pgw__EngineState *state = (const Pgw__EngineState *)message;

    (void)link;
    (void)context;
    if (type == PGW_FRAME_PREFILL_ANSWER) {
        take_claim_answer((const Pgw__PrefillAnswer *)message);
    }
    if (type != PGW_FRAME_ENGINE_STATE) {
        return false;
    }
    pthread_mutex_lock(&fixture->lock);
    fixture->report_count++;
    fixture->loading = state->loading;
    if (state->started_ms != 0 && state->started_ms != fixture->started_ms) {
        fixture->started_ms = state->started_ms;
        fixture->limit_at_start = state->limit;
    }
    fixture->limit = state->limit;
    fixture->leaving = state->leaving;
    fixture->prefill_per_s = state->prefill_per_s;
    fixture->long_prefills = state->long_prefills;
    if (state->n_models > 0) {
        fixture->version = state->models[0]->version;
    }
    if (state->probe != 0) {
        fixture->probe_answer.probe = state->probe;
        fixture->probe_answer.unread = state->unread;
        fixture->probe_answer.part =
            state->n_part_words > 0 ? state->part_words[0] : 0;
    }
    pthread_mutex_unlock(&fixture->lock);
    return false;
}

static void
on_closed(struct pgw_link *link, const GError *error, void *context)
{
    (void)link;
    (void)error;
    (void)context;
}

static const struct pgw_link_ops link_ops = {
    .on_frame = on_frame,
    .on_closed = on_closed,
};

static void
open_fixture(void)
{
    struct pgw_engine_sidecar_options options = {
        .instance = "sidecar",
        .zone = "a",
        .codec = &platform_engine_codec,
        .get_token = get_token,
    };

    fixture = g_new0(struct fixture, 1);
    pthread_mutex_init(&fixture->lock, NULL);
    fixture->engine = scene_listen(&options.engine);
    g_assert_true(pgw_address_parse(&options.listen, "127.0.0.1:0", NULL));
    fixture->loop = pgw_loop_new(NULL);
    fixture->sidecar = pgw_engine_sidecar_new(fixture->loop, &options, NULL);
    g_assert_nonnull(fixture->sidecar);
    fixture->entry =
        scene_connect_entry(fixture->loop, fixture->sidecar, &link_ops);
    pthread_create(&fixture->thread, NULL, scene_loop_main, fixture->loop);
}

static void
close_fixture(void)
{
    pgw_loop_stop(fixture->loop);
    pthread_join(fixture->thread, NULL);
    pgw_link_close(fixture->entry);
    if (fixture->other != NULL) {
        pgw_link_close(fixture->other);
    }
    pgw_engine_sidecar_free(fixture->sidecar);
    pgw_loop_free(fixture->loop);
    close(fixture->engine);
    pthread_mutex_destroy(&fixture->lock);
    g_free(fixture);
}

static struct pgw_task target_task;

static void
set_target(struct pgw_task *task)
{
    (void)task;
    pgw_engine_sidecar_set_target_weights(fixture->sidecar, "m", 2, 0, "i-1");
}

static bool
entry_received(uint64_t version, bool loading)
{
    bool received;

    pthread_mutex_lock(&fixture->lock);
    received = fixture->version == version && fixture->loading == loading;
    pthread_mutex_unlock(&fixture->lock);
    return received;
}

static bool
is_reported(const struct scene_engine *engine)
{
    (void)engine;
    return entry_received(1, false);
}

static bool
is_ordered(const struct scene_engine *engine)
{
    return engine->orders > 0;
}

static bool
is_reported_available(const struct scene_engine *engine)
{
    (void)engine;
    return entry_received(2, false);
}

/*
 * A target version is set. The load is announced to the entry before the
 * engine gets the order, so that no more requests are sent to the engine. The
 * order carries a fencing token and the number of orders before it. Once the
 * engine reports the new weights, the entry gets a report that it serves
 * again.
 */
static void
test_order(void)
{
    struct scene_engine engine = {.version = 1, .sequence = 3};

    open_fixture();
    engine.listener = fixture->engine;
    scene_engine_serve(&engine, is_reported);
    target_task.run = set_target;
    pgw_loop_post(fixture->loop, &target_task);
    scene_engine_serve(&engine, is_ordered);
    g_assert_true(entry_received(1, true));
    g_assert_nonnull(strstr(engine.order, "\"version\":2"));
    g_assert_nonnull(strstr(engine.order, "\"fence\":41"));
    g_assert_nonnull(strstr(engine.order, "\"expect\":3"));
    g_assert_nonnull(strstr(engine.order, "\"method\":\"block\""));
    engine.version = 2;
    engine.sequence = 4;
    scene_engine_serve(&engine, is_reported_available);
    g_assert_cmpuint(engine.orders, ==, 1);
    g_assert_cmpuint(fixture->tokens, ==, 1);
    g_free(engine.order);
    close_fixture();
}

static bool
is_ordered_again(const struct scene_engine *engine)
{
    return engine->orders > 1;
}

/*
 * The engine accepts an order, crashes and restarts under its id before the
 * next report, with its old weights and a count of no accepted orders. The
 * order is sent again at once with the new count, without waiting for the
 * first one to time out.
 */
static void
test_restart_during_order(void)
{
    struct scene_engine engine = {
        .version = 1, .sequence = 3, .started_ms = 1000};

    open_fixture();
    engine.listener = fixture->engine;
    scene_engine_serve(&engine, is_reported);
    target_task.run = set_target;
    pgw_loop_post(fixture->loop, &target_task);
    scene_engine_serve(&engine, is_ordered);
    engine.started_ms = 2000;
    engine.sequence = 0;
    /* Busy with something else: if the restart went unnoticed, the engine
     * would seem busy with the first order. */
    engine.busy = true;
    scene_engine_serve(&engine, is_ordered_again);
    g_assert_nonnull(strstr(engine.order, "\"expect\":0"));
    g_free(engine.order);
    close_fixture();
}

static unsigned reports_before;

static bool
is_reported_once_more(const struct scene_engine *engine)
{
    return engine->reports > reports_before;
}

/* Guards against a restart that goes unnoticed because a report between the
 * two processes names no start time. */
static void
test_restart_after_report_without_start(void)
{
    struct scene_engine engine = {
        .version = 1, .sequence = 3, .started_ms = 1000};

    open_fixture();
    engine.listener = fixture->engine;
    scene_engine_serve(&engine, is_reported);
    target_task.run = set_target;
    pgw_loop_post(fixture->loop, &target_task);
    scene_engine_serve(&engine, is_ordered);
    engine.started_ms = 0;
    engine.sequence = 4;
    engine.busy = true;
    /* The second one is sent after the first was handled. */
    reports_before = engine.reports + 1;
    scene_engine_serve(&engine, is_reported_once_more);
    engine.started_ms = 2000;
    engine.sequence = 0;
    scene_engine_serve(&engine, is_ordered_again);
    g_assert_nonnull(strstr(engine.order, "\"expect\":0"));
    g_free(engine.order);
    close_fixture();
}

static struct pgw_task probe_task;

/* Announces a prompt and probes its part, as an entry of another zone. */
static void
announce_and_probe(struct pgw_task *task)
{
    uint64_t keys[] = {77};
    Pgw__Hello hello = PGW__HELLO__INIT;
    Pgw__HeldPart part = PGW__HELD_PART__INIT;
    Pgw__HeldPart *parts[] = {&part};
    Pgw__ExpectedParts announcement = PGW__EXPECTED_PARTS__INIT;
    Pgw__EngineProbe probe = PGW__ENGINE_PROBE__INIT;

    (void)task;
    hello.instance = (char *)"e";
    hello.zone = (char *)"b";
    hello.on_request = true;
    pgw_link_send(fixture->entry, PGW_FRAME_HELLO, &hello.base);
    part.key = keys[0];
    part.tokens = 5000;
    announcement.parts = parts;
    announcement.n_parts = 1;
    announcement.to_read = 6000;
    announcement.memory = 6100;
    announcement.request = 1;
    pgw_link_send(fixture->entry, PGW_FRAME_EXPECTED_PARTS,
                  &announcement.base);
    probe.probe = 9;
    probe.part_keys = keys;
    probe.n_part_keys = 1;
    pgw_link_send(fixture->entry, PGW_FRAME_ENGINE_PROBE, &probe.base);
}

static bool
is_answered(const struct scene_engine *engine)
{
    bool answered;

    (void)engine;
    pthread_mutex_lock(&fixture->lock);
    answered = fixture->probe_answer.probe == 9;
    pthread_mutex_unlock(&fixture->lock);
    return answered;
}

/* Between two reports of an engine all entries may send to it at once. An
 * answer to a probe therefore includes the requests that entries have
 * announced. */
static void
test_probe_counts_announced(void)
{
    struct scene_engine engine = {.version = 1};

    open_fixture();
    engine.listener = fixture->engine;
    scene_engine_serve(&engine, is_reported);
    probe_task.run = announce_and_probe;
    pgw_loop_post(fixture->loop, &probe_task);
    scene_engine_serve(&engine, is_answered);
    g_assert_cmpuint(fixture->probe_answer.unread, ==, 6000);
    g_assert_cmpuint(fixture->probe_answer.part, ==, 1);
    close_fixture();
}

static struct pgw_task announce_task;

/* Announces a prompt with the first call, and its end with the second. */
static void
announce_next(struct pgw_task *task)
{
    Pgw__ExpectedParts announcement = PGW__EXPECTED_PARTS__INIT;

    (void)task;
    announcement.request = 1;
    if (fixture->long_prefills == 0) {
        announcement.to_read = 6000;
    }
    announcement.prefilled = 6000;
    pgw_link_send(fixture->entry, PGW_FRAME_EXPECTED_PARTS,
                  &announcement.base);
}

static bool
is_prefilling(const struct scene_engine *engine)
{
    bool prefilling;

    (void)engine;
    pthread_mutex_lock(&fixture->lock);
    prefilling = fixture->long_prefills == 1;
    pthread_mutex_unlock(&fixture->lock);
    return prefilling;
}

static bool
is_measured(const struct scene_engine *engine)
{
    bool measured;

    (void)engine;
    pthread_mutex_lock(&fixture->lock);
    measured = fixture->prefill_per_s > 0;
    pthread_mutex_unlock(&fixture->lock);
    return measured;
}

/* Guards against a rate that the sidecar measures and keeps to itself. */
static void
test_prefill_rate_is_reported(void)
{
    struct scene_engine engine = {.version = 1};

    open_fixture();
    engine.listener = fixture->engine;
    scene_engine_serve(&engine, is_reported);
    announce_task.run = announce_next;
    pgw_loop_post(fixture->loop, &announce_task);
    scene_engine_serve(&engine, is_prefilling);
    g_usleep(10000);
    pgw_loop_post(fixture->loop, &announce_task);
    scene_engine_serve(&engine, is_measured);
    g_assert_cmpuint(fixture->prefill_per_s, <, 600000);
    close_fixture();
}

static bool
is_limit_reported(const struct scene_engine *engine)
{
    bool reported;

    pthread_mutex_lock(&fixture->lock);
    reported = (fixture->limit > 0) == (engine->fields != NULL);
    pthread_mutex_unlock(&fixture->lock);
    return reported;
}

/* Guards against a limit that is known to the sidecar alone. */
static void
test_limit_is_reported(void)
{
    struct scene_engine engine = {.version = 1,
                                  .fields = "Server-Limit: 2.5\r\n"};

    open_fixture();
    engine.listener = fixture->engine;
    scene_engine_serve(&engine, is_limit_reported);
    g_assert_cmpfloat_with_epsilon(fixture->limit, 2.5, 1e-9);
    engine.fields = NULL;
    scene_engine_serve(&engine, is_limit_reported);
    close_fixture();
}

static bool
is_leaving_reported(const struct scene_engine *engine)
{
    bool reported;

    pthread_mutex_lock(&fixture->lock);
    reported =
        fixture->leaving == (engine->fields != NULL || engine->draining);
    pthread_mutex_unlock(&fixture->lock);
    return reported;
}

/* Guards against a leaving engine that is known to the sidecar alone. */
static void
test_leaving_is_reported(void)
{
    struct scene_engine engine = {.version = 1,
                                  .fields = "Server-Leaving: 1\r\n"};

    open_fixture();
    engine.listener = fixture->engine;
    scene_engine_serve(&engine, is_leaving_reported);
    engine.fields = NULL;
    scene_engine_serve(&engine, is_leaving_reported);
    engine.draining = true;
    scene_engine_serve(&engine, is_leaving_reported);
    close_fixture();
}

static bool
has_refused_reports(const struct scene_engine *engine)
{
    return engine->reports_refused > 1;
}

static bool
has_refused_and_reported(const struct scene_engine *engine)
{
    return engine->reports_refused > 0 && is_reported(engine);
}

/* Guards against polls of an engine that has requested a backoff. */
static void
test_backoff_of_polls(void)
{
    struct scene_engine engine = {.version = 1, .refuse_for = "0.3"};
    uint64_t begin_us;

    open_fixture();
    engine.listener = fixture->engine;
    begin_us = pgw_now_us();
    scene_engine_serve(&engine, has_refused_reports);
    /* The second poll does not come before the time has passed. */
    g_assert_cmpuint(pgw_now_us() - begin_us, >=, 300000);
    engine.refuse_for = NULL;
    scene_engine_serve(&engine, has_refused_and_reported);
    close_fixture();
}

static bool
is_start_reported(const struct scene_engine *engine)
{
    bool reported;

    pthread_mutex_lock(&fixture->lock);
    reported = fixture->started_ms == engine->started_ms;
    pthread_mutex_unlock(&fixture->lock);
    return reported;
}

/* Guards against a limit that is lost beside the engine's new start. */
static void
test_limit_with_a_restart(void)
{
    struct scene_engine engine = {.version = 1, .started_ms = 1000};

    open_fixture();
    engine.listener = fixture->engine;
    scene_engine_serve(&engine, is_start_reported);
    engine.started_ms = 2000;
    engine.fields = "Server-Limit: 2.5\r\n";
    scene_engine_serve(&engine, is_start_reported);
    g_assert_cmpfloat_with_epsilon(fixture->limit_at_start, 2.5, 1e-9);
    close_fixture();
}

static bool
has_refused_events(const struct scene_engine *engine)
{
    return engine->events_refused > 0;
}

static bool
has_reported_often(const struct scene_engine *engine)
{
    return engine->reports > 5;
}

/* Guards against a backoff that the engine's new start ends early. */
static void
test_backoff_before_a_known_restart(void)
{
    struct scene_engine engine = {.version = 1, .started_ms = 1000};

    open_fixture();
    engine.listener = fixture->engine;
    scene_engine_serve(&engine, is_start_reported);
    engine.started_ms = 2000;
    engine.events_refused_for = "600";
    scene_engine_serve(&engine, has_refused_events);
    engine.reports = 0;
    scene_engine_serve(&engine, has_reported_often);
    g_assert_cmpuint(engine.events_refused, ==, 1);
    close_fixture();
}

static struct pgw_task claim_task;
static Pgw__PrefillClaim next_claim;
static bool next_is_others;
static bool ends_first;

static void
send_claim(struct pgw_task *task)
{
    struct pgw_link *link = fixture->entry;
    Pgw__ExpectedParts end = PGW__EXPECTED_PARTS__INIT;

    (void)task;
    if (next_is_others) {
        if (fixture->other == NULL) {
            fixture->other = scene_connect_entry(fixture->loop,
                                                 fixture->sidecar, &link_ops);
        }
        link = fixture->other;
    }
    if (ends_first) {
        end.request = 1;
        pgw_link_send(fixture->entry, PGW_FRAME_EXPECTED_PARTS, &end.base);
    }
    pgw_link_send(link, PGW_FRAME_PREFILL_CLAIM, &next_claim.base);
}

static bool
is_claim_answered(const struct scene_engine *engine)
{
    bool answered;

    (void)engine;
    pthread_mutex_lock(&fixture->lock);
    answered = fixture->claim_answer.claim == next_claim.claim;
    pthread_mutex_unlock(&fixture->lock);
    return answered;
}

/* An entry claims 6000 tokens for a request, of at most 10000. Returns whether
 * the sidecar grants them. */
static bool
claim(struct scene_engine *engine, bool is_others, uint64_t request)
{
    uint64_t number = next_claim.claim + 1;

    pgw__prefill_claim__init(&next_claim);
    next_claim.claim = number;
    next_claim.request = request;
    next_claim.to_read = 6000;
    next_claim.limit = 10000;
    next_is_others = is_others;
    claim_task.run = send_claim;
    pgw_loop_post(fixture->loop, &claim_task);
    scene_engine_serve(engine, is_claim_answered);
    return fixture->claim_answer.granted;
}

/* Guards against two entries that send long prompts to an engine at once, and
 * against a prompt that counts twice because its claim is repeated. */
static void
test_claims_of_two_entries(void)
{
    struct scene_engine engine = {.version = 1, .queued = 1};

    open_fixture();
    engine.listener = fixture->engine;
    ends_first = false;
    scene_engine_serve(&engine, is_reported);
    g_assert_true(claim(&engine, false, 1));
    g_assert_cmpuint(fixture->claim_answer.unread, ==, 0);
    g_assert_false(claim(&engine, true, 2));
    g_assert_cmpuint(fixture->claim_answer.unread, ==, 6000);
    g_assert_true(claim(&engine, false, 1));
    g_assert_cmpuint(fixture->claim_answer.unread, ==, 0);
    g_assert_false(claim(&engine, true, 2));
    g_assert_cmpuint(fixture->claim_answer.unread, ==, 6000);
    /* The end arrives on another connection than the claim, so that the first
     * claim after it may overtake it. */
    ends_first = true;
    while (!claim(&engine, true, 2)) {
    }
    g_assert_cmpuint(fixture->claim_answer.unread, ==, 0);
    ends_first = false;
    g_assert_false(claim(&engine, false, 1));
    close_fixture();
}

/* Accepts calls until one is to this path. */
static int
accept_call(const char *path)
{
    for (;;) {
        int fd = accept(fixture->engine, NULL, NULL);
        char *head;

        g_assert_cmpint(fd, >=, 0);
        head = scene_read_until(fd, "\r\n\r\n");
        if (strstr(head, path) != NULL) {
            g_free(head);
            return fd;
        }
        g_free(head);
        close(fd);
    }
}

/* Guards against an engine whose answers have no end, and that take all the
 * memory of its sidecar. */
static void
test_answer_without_end(gconstpointer path)
{
    static char block[65536];
    /* What the sidecar takes, and what the sockets between hold. */
    const size_t limit = (size_t)32 * 1024 * 1024;
    size_t total = 0;
    ssize_t sent;
    int fd;

    open_fixture();
    fd = accept_call(path);
    scene_send(fd, "HTTP/1.1 200 OK\r\n\r\n");
    memset(block, 'a', sizeof(block));
    do {
        sent = send(fd, block, sizeof(block), MSG_NOSIGNAL);
        total += sent > 0 ? (size_t)sent : 0;
    } while (sent > 0 && total <= limit);
    g_assert_cmpuint(total, <=, limit);
    close(fd);
    close_fixture();
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/engine_sidecar/order", test_order);
    g_test_add_func("/engine_sidecar/restart_during_order",
                    test_restart_during_order);
    g_test_add_func("/engine_sidecar/restart_after_report_without_start",
                    test_restart_after_report_without_start);
    g_test_add_func("/engine_sidecar/probe_counts_announced",
                    test_probe_counts_announced);
    g_test_add_func("/engine_sidecar/backoff_of_polls", test_backoff_of_polls);
    g_test_add_func("/engine_sidecar/leaving_is_reported",
                    test_leaving_is_reported);
    g_test_add_func("/engine_sidecar/limit_is_reported",
                    test_limit_is_reported);
    g_test_add_func("/engine_sidecar/limit_with_a_restart",
                    test_limit_with_a_restart);
    g_test_add_func("/engine_sidecar/backoff_before_a_known_restart",
                    test_backoff_before_a_known_restart);
    g_test_add_func("/engine_sidecar/prefill_rate_is_reported",
                    test_prefill_rate_is_reported);
    g_test_add_func("/engine_sidecar/claims_of_two_entries",
                    test_claims_of_two_entries);
    g_test_add_data_func("/engine_sidecar/report_without_end", "/api/report",
                         test_answer_without_end);
    g_test_add_data_func("/engine_sidecar/events_without_end",
                         "/api/kv-events", test_answer_without_end);
    return g_test_run();
}
