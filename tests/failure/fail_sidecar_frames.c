/*
 * The sidecar's side of the frames, with the test as the entry. Whatever an
 * entry sends or leaves out, each attempt that the sidecar accepts ends in one
 * End or Fail whose "ran" is true, no place at the upstream stays taken, and
 * who does not speak the protocol is cut off without harm to others.
 */
#include <signal.h>
#include <string.h>
#include <sys/socket.h>

#include "harness_entry_end.h"
#include "harness_fleet.h"
#include "parsleygw/types.h"

#define LIMIT_S 30

static void
assert_cut_off(struct entry_end *end)
{
    enum pgw_frame_type type;

    g_assert_null(entry_end_next(end, 0, &type));
    entry_end_free(end);
}

static void
fill_open(Pgw__Open *open, struct entry_end *end, bool service)
{
    open->request.data = end->id;
    open->request.len = sizeof(end->id);
    open->attempt = 1;
    open->workspace = "parish";
    open->profile = service ? "print" : "ask";
    open->deadline_ms = 60000;
    open->share = 1;
    open->model = "rulebook-7b";
    open->version = "w1";
    open->service = service;
    open->method = "POST";
    open->path = "/labels";
    open->body.data = (uint8_t *)"peanut free";
    open->body.len = strlen("peanut free");
    open->max_tokens = 10;
    open->repeatable = true;
    open->window = 1 << 20;
}

/* Waits for the end of the attempt and checks what it says. */
static void
assert_fail(struct entry_end *end, enum pgw_refusal code, enum pgw_ran ran)
{
    enum pgw_frame_type type;
    Pgw__Fail *fail = (Pgw__Fail *)entry_end_next(
        end, 1u << PGW_FRAME_FAIL | 1u << PGW_FRAME_END, &type);

    g_assert_nonnull(fail);
    g_assert_cmpint(type, ==, PGW_FRAME_FAIL);
    if (fail->code != code || fail->ran != ran) {
        g_error("%s ran=%s: %s", pgw_refusal_name((int)fail->code),
                pgw_ran_name((int)fail->ran), fail->message);
    }
    pgw_frame_free(&fail->base);
}

static void
assert_answered(struct entry_end *end)
{
    enum pgw_frame_type type;
    ProtobufCMessage *message =
        entry_end_next(end, 1u << PGW_FRAME_FAIL | 1u << PGW_FRAME_END, &type);

    g_assert_cmpint(type, ==, PGW_FRAME_END);
    pgw_frame_free(message);
}

static struct fleet *
start_fleet(const char *sidecar_settings, const char *const *service_args)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;
    struct fleet *fleet;

    options.engines = 1;
    options.entries = 0;
    options.service = true;
    options.sidecar_settings = sidecar_settings;
    options.service_args = service_args;
    fleet = fleet_new(&options);
    for (unsigned i = 0; i < 2; i++) {
        harness_wait_ready(fleet_admin_url(fleet->sidecars[i], "/readyz"));
    }
    return fleet;
}

static bool
is_idle(void *data)
{
    return fleet_status_int(data, "running") == 0 &&
           fleet_status_int(data, "waiting") == 0;
}

static bool
has_run(void *data)
{
    return fleet_status_int(data, "running") > 0;
}

static void
assert_idle(struct harness_process *sidecar)
{
    g_assert_true(harness_wait_until(is_idle, sidecar, LIMIT_S));
}

static gint64
engine_requests(struct fleet *fleet)
{
    return harness_get_int(harness_process_url(fleet->engines[0], "/_stats"),
                           "requests");
}

static void
test_strangers(void)
{
    struct fleet *fleet = start_fleet("", NULL);
    struct harness_process *sidecar = fleet->sidecars[0];
    struct entry_end *end = entry_end_connect(sidecar);
    Pgw__Open open = PGW__OPEN__INIT;
    static const char http[] = "GET / HTTP/1.1\r\n\r\n";

    g_assert_cmpint(send(end->fd, http, sizeof(http), MSG_NOSIGNAL), ==,
                    (ssize_t)sizeof(http));
    assert_cut_off(end);
    end = entry_end_connect(sidecar);
    entry_end_hello(end, PGW_PROTOCOL_VERSION + 1);
    assert_cut_off(end);
    end = entry_end_connect(sidecar);
    fill_open(&open, end, false);
    entry_end_send(end, PGW_FRAME_OPEN, &open.base);
    assert_cut_off(end);
    end = entry_end_greet(sidecar);
    entry_end_hello(end, PGW_PROTOCOL_VERSION);
    assert_cut_off(end);
    g_assert_cmpint(engine_requests(fleet), ==, 0);
    fleet_free(fleet);
}

static void
test_refused_opens(void)
{
    struct fleet *fleet = start_fleet("", NULL);
    struct entry_end *model = entry_end_greet(fleet->sidecars[0]);
    struct entry_end *service = entry_end_greet(fleet->sidecars[1]);
    Pgw__Open open = PGW__OPEN__INIT;

    /* The engine refuses it as malformed: nothing ran, no other engine would
     * say otherwise, and it is no crash. */
    fill_open(&open, model, false);
    open.resume_from = 99;
    entry_end_send(model, PGW_FRAME_OPEN, &open.base);
    assert_fail(model, PGW_REFUSAL_BAD_REQUEST, PGW_RAN_NO);
    fill_open(&open, model, false);
    open.resume_from = 0;
    open.attempt = 2;
    open.version = "w9";
    entry_end_send(model, PGW_FRAME_OPEN, &open.base);
    assert_fail(model, PGW_REFUSAL_STALE, PGW_RAN_NO);
    fill_open(&open, model, true);
    open.attempt = 3;
    entry_end_send(model, PGW_FRAME_OPEN, &open.base);
    assert_fail(model, PGW_REFUSAL_INTERNAL, PGW_RAN_NO);
    fill_open(&open, service, false);
    entry_end_send(service, PGW_FRAME_OPEN, &open.base);
    assert_fail(service, PGW_REFUSAL_INTERNAL, PGW_RAN_NO);
    /* An Open sent twice runs once; frames for unknown attempts are nothing.
     */
    fill_open(&open, model, false);
    open.attempt = 4;
    entry_end_send(model, PGW_FRAME_OPEN, &open.base);
    entry_end_send(model, PGW_FRAME_OPEN, &open.base);
    assert_answered(model);
    g_assert_cmpint(engine_requests(fleet), ==, 1);
    entry_end_free(model);
    entry_end_free(service);
    fleet_free(fleet);
}

/* Two bodies fit into the memory for waiting requests, a third does not. */
static bool
is_leaving(void *data)
{
    JsonNode *status = harness_get_json(fleet_admin_url(data, "/status"));
    bool leaving = json_node_get_boolean(harness_json(status, "leaving"));

    json_node_unref(status);
    return leaving;
}

static bool
is_joined(void *data)
{
    return !is_leaving(data);
}

static void
declare(struct fleet *fleet, const char *state)
{
    fleet_put(fleet, "upstream", "up0",
              "{\"pool\":\"guide\",\"zone\":\"a\",\"address\":"
              "\"127.0.0.1:%u\",\"state\":\"%s\"}",
              harness_process_port(fleet->sidecars[0]), state);
}

/* The test is an entry that has not heard that the upstream leaves: what it
 * sends is refused as not run. Declared joined again, it runs. */
static void
test_declared_leaving(void)
{
    struct fleet *fleet = start_fleet("", NULL);
    struct harness_process *sidecar = fleet->sidecars[0];
    struct entry_end *end = entry_end_greet(sidecar);
    Pgw__Open open = PGW__OPEN__INIT;

    declare(fleet, "leaving");
    g_assert_true(harness_wait_until(is_leaving, sidecar, LIMIT_S));
    fill_open(&open, end, false);
    entry_end_send(end, PGW_FRAME_OPEN, &open.base);
    assert_fail(end, PGW_REFUSAL_LEAVING, PGW_RAN_NO);
    g_assert_cmpint(engine_requests(fleet), ==, 0);
    declare(fleet, "joined");
    g_assert_true(harness_wait_until(is_joined, sidecar, LIMIT_S));
    open.attempt = 2;
    entry_end_send(end, PGW_FRAME_OPEN, &open.base);
    assert_answered(end);
    entry_end_free(end);
    fleet_free(fleet);
}

static void
test_queue_bytes(void)
{
    struct fleet *fleet =
        start_fleet(",\"max_running\":1,\"queue_bytes\":2500", NULL);
    struct entry_end *end = entry_end_greet(fleet->sidecars[0]);
    Pgw__Open open = PGW__OPEN__INIT;
    char *body = g_strnfill(1200, 'b');

    fill_open(&open, end, false);
    open.max_tokens = 100000;
    open.body.data = (uint8_t *)body;
    open.body.len = strlen(body);
    for (unsigned i = 0; i < 4; i++) {
        open.attempt = i + 1;
        entry_end_send(end, PGW_FRAME_OPEN, &open.base);
    }
    assert_fail(end, PGW_REFUSAL_OVERLOADED, PGW_RAN_NO);
    g_assert_cmpint(fleet_status_int(fleet->sidecars[0], "waiting"), <=, 2);
    entry_end_free(end);
    assert_idle(fleet->sidecars[0]);
    g_free(body);
    fleet_free(fleet);
}

/* An entry dies with one request running and many waiting: the running one is
 * cancelled and none of the others is started for nobody. */
static void
test_entry_lost(void)
{
    struct fleet *fleet = start_fleet(",\"max_running\":1", NULL);
    struct entry_end *end = entry_end_greet(fleet->sidecars[0]);
    enum pgw_frame_type type;
    Pgw__Open open = PGW__OPEN__INIT;

    fill_open(&open, end, false);
    open.max_tokens = 100000;
    for (unsigned i = 0; i < 50; i++) {
        open.attempt = i + 1;
        /* Half of them run out of time about when the entry is lost. */
        open.deadline_ms = i % 2 == 0 ? 60000 : 3000 + i;
        entry_end_send(end, PGW_FRAME_OPEN, &open.base);
    }
    pgw_frame_free(entry_end_next(end, 1u << PGW_FRAME_DATA, &type));
    entry_end_free(end);
    assert_idle(fleet->sidecars[0]);
    g_assert_cmpint(engine_requests(fleet), ==, 1);
    fleet_free(fleet);
}

/* The entry grants nothing to a call that may not be repeated,
 * and its deadline passes. The call runs to its end for its record's sake, and
 * its place is free again; with the same key its answer is replayed. */
static void
test_shut_window(void)
{
    static const char *const args[] = {"--answer-bytes", "12000", NULL};
    struct fleet *fleet = start_fleet("", args);
    struct entry_end *end = entry_end_greet(fleet->sidecars[1]);
    Pgw__Open open = PGW__OPEN__INIT;
    enum pgw_frame_type type;
    Pgw__End *whole;

    fill_open(&open, end, true);
    open.repeatable = false;
    open.idempotency_key = "tray-7";
    open.window = 0;
    open.deadline_ms = 1500;
    entry_end_send(end, PGW_FRAME_OPEN, &open.base);
    assert_fail(end, PGW_REFUSAL_DEADLINE, PGW_RAN_UNKNOWN);
    assert_idle(fleet->sidecars[1]);
    open.attempt = 2;
    open.window = 1 << 20;
    open.deadline_ms = 20000;
    entry_end_send(end, PGW_FRAME_OPEN, &open.base);
    whole = (Pgw__End *)entry_end_next(
        end, 1u << PGW_FRAME_END | 1u << PGW_FRAME_FAIL, &type);
    if (type != PGW_FRAME_END) {
        g_error("%s", ((Pgw__Fail *)whole)->message);
    }
    g_assert_true(whole->replayed);
    pgw_frame_free(&whole->base);
    g_assert_cmpint(
        harness_get_int(harness_process_url(fleet->service, "/_counts"),
                        "tray-7"),
        ==, 1);
    entry_end_free(end);
    fleet_free(fleet);
}

#define LARGE_BODY 300000

static void
wait_leaving(struct entry_end *end)
{
    bool leaving = false;

    while (!leaving) {
        enum pgw_frame_type type;
        Pgw__State *state =
            (Pgw__State *)entry_end_next(end, 1u << PGW_FRAME_STATE, &type);

        g_assert_nonnull(state);
        leaving = state->leaving;
        pgw_frame_free(&state->base);
    }
}

/* Guards against a request that reaches a sidecar while it ends, and whose
 * entry hears nothing before the end of the connection. */
static void
test_open_while_it_ends(void)
{
    struct fleet *fleet = start_fleet("", NULL);
    struct harness_process *sidecar = fleet->sidecars[1];
    struct entry_end *end = entry_end_greet(sidecar);
    char *body = g_strnfill(LARGE_BODY, 'x');
    Pgw__Open open = PGW__OPEN__INIT;
    bool told = false;

    harness_process_signal(sidecar, SIGTERM);
    wait_leaving(end);
    harness_process_signal(sidecar, SIGSTOP);
    fill_open(&open, end, true);
    open.repeatable = false;
    open.idempotency_key = "tray-8";
    /* More than the sidecar reads in one turn of its loop. */
    open.body.data = (uint8_t *)body;
    open.body.len = LARGE_BODY;
    entry_end_send(end, PGW_FRAME_OPEN, &open.base);
    /* Its drain is due by then. */
    g_usleep(800000);
    harness_process_signal(sidecar, SIGCONT);
    while (!told) {
        enum pgw_frame_type type;
        ProtobufCMessage *message = entry_end_next(
            end, 1u << PGW_FRAME_STATE | 1u << PGW_FRAME_FAIL, &type);

        g_assert_nonnull(message);
        told = type == PGW_FRAME_STATE
                   ? ((Pgw__State *)message)->ended
                   : ((Pgw__Fail *)message)->ran == PGW_RAN_NO;
        pgw_frame_free(message);
    }
    entry_end_free(end);
    g_assert_cmpint(harness_process_wait(sidecar), ==, 0);
    g_free(body);
    fleet_free(fleet);
}

/* Guards against an entry that waits for the end of a call which its sidecar
 * cuts off when the time of its stop is over. */
static void
test_drain_timeout(void)
{
    static const char *const args[] = {"--delay-ms", "5000", NULL};
    struct fleet *fleet = start_fleet(",\"drain_timeout_ms\":300", args);
    struct harness_process *sidecar = fleet->sidecars[1];
    struct entry_end *end = entry_end_greet(sidecar);
    Pgw__Open open = PGW__OPEN__INIT;

    fill_open(&open, end, true);
    open.repeatable = false;
    open.idempotency_key = "tray-9";
    entry_end_send(end, PGW_FRAME_OPEN, &open.base);
    g_assert_true(harness_wait_until(has_run, sidecar, LIMIT_S));
    harness_process_signal(sidecar, SIGTERM);
    assert_fail(end, PGW_REFUSAL_LEAVING, PGW_RAN_UNKNOWN);
    entry_end_free(end);
    g_assert_cmpint(harness_process_wait(sidecar), ==, 0);
    fleet_free(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sidecar-frames/strangers", test_strangers);
    g_test_add_func("/sidecar-frames/refused-opens", test_refused_opens);
    g_test_add_func("/sidecar-frames/declared-leaving", test_declared_leaving);
    g_test_add_func("/sidecar-frames/queue-bytes", test_queue_bytes);
    g_test_add_func("/sidecar-frames/entry-lost", test_entry_lost);
    g_test_add_func("/sidecar-frames/shut-window", test_shut_window);
    g_test_add_func("/sidecar-frames/open-while-it-ends",
                    test_open_while_it_ends);
    g_test_add_func("/sidecar-frames/drain-timeout", test_drain_timeout);
    return g_test_run();
}
