/*
 * A sidecar gone wrong answers with frames of other requests, of old attempts,
 * twice, out of order, or with bytes that are no frames at all. A caller must
 * get its own answer, whole, or a refusal; never a byte of somebody else's.
 * The sidecars here are fakes within the test that speak the real frames.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness_fleet.h"
#include "libparsleygw/link.h"
#include "util/listener.h"
#include "util/random.h"

#define LIMIT_S 60
#define TOKENS 20
#define ALIEN "ALIEN"

/**
 * struct fake - one fake sidecar on a thread of its own
 * @misbehave: what it does with a request, instead of answering it
 * @opens: requests that it got
 * @first: the first of them
 */
struct fake {
    struct pgw_loop *loop;
    struct pgw_listener *listener;
    struct pgw_link *link;
    struct pgw_timer state;
    pthread_t thread;
    const char *instance;
    const char *version;
    void (*misbehave)(struct fake *fake, const Pgw__Open *open);
    atomic_uint opens;
    uint8_t first[PGW_REQUEST_ID_SIZE];
    uint32_t attempt;
};

static void
send_state(struct fake *fake)
{
    Pgw__State state = PGW__STATE__INIT;

    state.engine = 7;
    state.version = (char *)fake->version;
    state.upstream_alive = true;
    pgw_link_send(fake->link, PGW_FRAME_STATE, &state.base);
}

static void
state_due(struct pgw_timer *timer)
{
    struct fake *fake = pgw_container_of(timer, struct fake, state);

    if (fake->link != NULL) {
        send_state(fake);
    }
    pgw_timer_start(fake->loop, timer, 200000);
}

static void
send_hello(struct fake *fake)
{
    Pgw__Hello hello = PGW__HELLO__INIT;

    hello.protocol = PGW_PROTOCOL_VERSION;
    hello.instance = (char *)fake->instance;
    hello.role = "sidecar";
    hello.zone = "a";
    hello.incarnation = pgw_random_u64();
    pgw_link_send(fake->link, PGW_FRAME_HELLO, &hello.base);
    send_state(fake);
}

static void
send_probe_reply(struct fake *fake, const Pgw__Probe *probe)
{
    Pgw__ProbeReply reply = PGW__PROBE_REPLY__INIT;

    reply.probe = probe->probe;
    reply.version = (char *)fake->version;
    reply.engine = 7;
    /* More attractive than any real one: it gets each first attempt. */
    reply.matched_tokens = probe->prompt_tokens;
    pgw_link_send(fake->link, PGW_FRAME_PROBE_REPLY, &reply.base);
}

static void
send_started(struct fake *fake, ProtobufCBinaryData request, uint32_t attempt)
{
    Pgw__Started started = PGW__STARTED__INIT;

    started.request = request;
    started.attempt = attempt;
    started.version = "w1";
    started.engine = 7;
    pgw_link_send(fake->link, PGW_FRAME_STARTED, &started.base);
}

static void
send_data(struct fake *fake, ProtobufCBinaryData request, uint32_t attempt,
          uint64_t sequence, uint32_t index, const char *text)
{
    Pgw__Data data = PGW__DATA__INIT;

    data.request = request;
    data.attempt = attempt;
    data.sequence = sequence;
    data.token_index = index;
    data.token_count = 1;
    data.data.data = (uint8_t *)text;
    data.data.len = strlen(text);
    pgw_link_send(fake->link, PGW_FRAME_DATA, &data.base);
}

static void
send_end(struct fake *fake, ProtobufCBinaryData request, uint32_t attempt,
         uint64_t sequence)
{
    Pgw__End end = PGW__END__INIT;

    end.request = request;
    end.attempt = attempt;
    end.sequence = sequence;
    end.finish_reason = "length";
    pgw_link_send(fake->link, PGW_FRAME_END, &end.base);
}

static bool
on_frame(struct pgw_link *link, enum pgw_frame_type type,
         ProtobufCMessage *message, void *context)
{
    struct fake *fake = context;

    (void)link;
    if (type == PGW_FRAME_HELLO) {
        send_hello(fake);
    }
    else if (type == PGW_FRAME_PROBE) {
        send_probe_reply(fake, (const Pgw__Probe *)message);
    }
    else if (type == PGW_FRAME_OPEN) {
        fake->misbehave(fake, (const Pgw__Open *)message);
        atomic_fetch_add(&fake->opens, 1);
    }
    return false;
}

static void
on_closed(struct pgw_link *link, const GError *error, void *context)
{
    struct fake *fake = context;

    (void)error;
    if (fake->link == link) {
        fake->link = NULL;
    }
}

static const struct pgw_link_ops fake_ops = {
    .on_frame = on_frame,
    .on_closed = on_closed,
};

static void
on_accept(int fd, void *context)
{
    struct fake *fake = context;

    fake->link = pgw_link_accept(fake->loop, fd, &fake_ops, fake, NULL);
}

static void *
fake_main(void *data)
{
    struct fake *fake = data;

    pgw_loop_run(fake->loop);
    return NULL;
}

static struct fake *
fake_start(struct fleet *fleet, const char *instance, const char *pool,
           void (*misbehave)(struct fake *fake, const Pgw__Open *open))
{
    struct fake *fake = g_new0(struct fake, 1);
    struct pgw_address any;

    g_assert_true(pgw_address_parse(&any, "127.0.0.1:0", NULL));
    fake->loop = pgw_loop_new(NULL);
    fake->instance = instance;
    fake->version = strcmp(pool, "guide") == 0 ? "w1" : "";
    fake->misbehave = misbehave;
    fake->listener = pgw_listener_new(fake->loop, &any, on_accept, fake, NULL);
    fake->state.on_due = state_due;
    pgw_timer_start(fake->loop, &fake->state, 200000);
    g_assert_cmpint(pthread_create(&fake->thread, NULL, fake_main, fake), ==,
                    0);
    fleet_put(fleet, "upstream", instance,
              "{\"pool\":\"%s\",\"zone\":\"a\",\"address\":"
              "\"127.0.0.1:%u\",\"state\":\"joined\"}",
              pool, pgw_listener_port(fake->listener));
    fleet_wait_usable(fleet->entries[0], 2);
    return fake;
}

static void
fake_stop(struct fake *fake)
{
    pgw_loop_stop(fake->loop);
    pthread_join(fake->thread, NULL);
    if (fake->link != NULL) {
        pgw_link_close(fake->link);
    }
    pgw_loop_run_tasks(fake->loop);
    pgw_timer_stop(fake->loop, &fake->state);
    pgw_listener_free(fake->listener);
    pgw_loop_free(fake->loop);
    g_free(fake);
}

/* Somebody else's frames: unknown request, other attempt, wrong lengths of
 * the id; then nothing more, so that the entry has to look elsewhere. */
static void
send_alien_frames(struct fake *fake, const Pgw__Open *open)
{
    uint8_t unknown[PGW_REQUEST_ID_SIZE] = {0xaa};
    ProtobufCBinaryData other = {.data = unknown, .len = sizeof(unknown)};
    ProtobufCBinaryData cut = {.data = open->request.data, .len = 3};

    send_started(fake, other, open->attempt);
    send_data(fake, other, open->attempt, 0, 0, ALIEN);
    send_end(fake, other, open->attempt, 1);
    send_started(fake, open->request, open->attempt + 1);
    send_data(fake, open->request, open->attempt + 1, 0, 0, ALIEN);
    send_data(fake, open->request, 0, 0, 0, ALIEN);
    send_end(fake, open->request, open->attempt + 7, 0);
    send_data(fake, cut, open->attempt, 0, 0, ALIEN);
    send_end(fake, cut, open->attempt, 0);
    pgw_link_close(fake->link);
}

/* Frames of the right attempt, but not as they were made. */
static void
send_data_before_started(struct fake *fake, const Pgw__Open *open)
{
    send_data(fake, open->request, open->attempt, 0, 0, ALIEN);
}

static void
send_gap(struct fake *fake, const Pgw__Open *open)
{
    send_started(fake, open->request, open->attempt);
    send_data(fake, open->request, open->attempt, 1, 1, ALIEN);
}

static void
send_wrong_index(struct fake *fake, const Pgw__Open *open)
{
    send_started(fake, open->request, open->attempt);
    send_data(fake, open->request, open->attempt, 0, 5, ALIEN);
}

static void
send_early_end(struct fake *fake, const Pgw__Open *open)
{
    send_started(fake, open->request, open->attempt);
    send_end(fake, open->request, open->attempt, 3);
}

static void
send_other_version(struct fake *fake, const Pgw__Open *open)
{
    Pgw__Fail fail = PGW__FAIL__INIT;

    /* Codes that no sidecar of ours knows. */
    fail.request = open->request;
    fail.attempt = open->attempt;
    fail.code = 4000000000u;
    fail.ran = 77;
    fail.message = "strange";
    pgw_link_send(fake->link, PGW_FRAME_FAIL, &fail.base);
}

static void
send_wrong_types(struct fake *fake, const Pgw__Open *open)
{
    Pgw__Open own = PGW__OPEN__INIT;

    own.request = open->request;
    own.attempt = open->attempt;
    pgw_link_send(fake->link, PGW_FRAME_OPEN, &own.base);
}

static void
send_unknown_type(struct fake *fake, const Pgw__Open *open)
{
    /* A Cancel whose type byte is not known to anybody cannot be sent by a
     * link; a huge frame does as well: it is beyond the limit. */
    Pgw__Data data = PGW__DATA__INIT;

    data.request = open->request;
    data.attempt = open->attempt;
    data.data.len = PGW_FRAME_MAX_SIZE + 1;
    data.data.data = g_malloc0(data.data.len);
    pgw_link_send(fake->link, PGW_FRAME_DATA, &data.base);
    g_free(data.data.data);
}

struct misbehaviour {
    const char *name;
    void (*run)(struct fake *fake, const Pgw__Open *open);
};

static const struct misbehaviour misbehaviours[] = {
    {"alien frames", send_alien_frames},
    {"data before started", send_data_before_started},
    {"gap", send_gap},
    {"wrong index", send_wrong_index},
    {"early end", send_early_end},
    {"unknown codes", send_other_version},
    {"frames of the other direction", send_wrong_types},
    {"frame beyond the limit", send_unknown_type},
};

static struct fleet *
start_fleet(void)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;

    options.engines = 1;
    return fleet_new(&options);
}

static void
assert_own_answer(struct fleet *fleet, const char *prompt, unsigned tokens)
{
    struct harness_stream stream;
    char *expected = fleet_expected(fleet, prompt, tokens);

    fleet_ask(&stream, fleet->entries[0], prompt, tokens);
    g_assert_true(stream.done);
    g_assert_cmpstr(stream.text->str, ==, expected);
    harness_stream_dispose(&stream);
    g_free(expected);
}

/* Whatever the fake sends, the real sidecar's answer is what arrives. */
static void
test_broken_frames(void)
{
    struct fleet *fleet = start_fleet();
    char *name;

    for (size_t i = 0; i < G_N_ELEMENTS(misbehaviours); i++) {
        struct fake *fake;

        name = g_strdup_printf("fake%zu", i);
        g_test_message("%s", misbehaviours[i].name);
        fake = fake_start(fleet, name, "guide", misbehaviours[i].run);
        /* A fake that was too slow to answer a probe is passed over. */
        for (unsigned k = 0; k < 100 && atomic_load(&fake->opens) == 0; k++) {
            assert_own_answer(fleet, misbehaviours[i].name, TOKENS);
        }
        g_assert_cmpuint(atomic_load(&fake->opens), >, 0);
        fleet_put(fleet, "upstream", name,
                  "{\"pool\":\"desk\",\"zone\":\"a\",\"address\":"
                  "\"127.0.0.1:9\",\"state\":\"leaving\"}");
        fleet_wait_usable(fleet->entries[0], 1);
        fake_stop(fake);
        g_free(name);
    }
    fleet_free(fleet);
}

static void
send_all_but_end(struct fake *fake, const Pgw__Open *open)
{
    send_started(fake, open->request, open->attempt);
    for (unsigned i = 0; i < TOKENS; i++) {
        send_data(fake, open->request, open->attempt, i, i, "x");
    }
    pgw_link_close(fake->link);
}

/* The sidecar dies after the last token and before it said so. No engine can
 * go on from there; the answer is whole. */
static void
test_lost_end(void)
{
    struct fleet *fleet = start_fleet();
    struct fake *fake = fake_start(fleet, "fake", "guide", send_all_but_end);
    struct harness_stream stream;

    for (unsigned k = 0; k < 100 && atomic_load(&fake->opens) == 0; k++) {
        fleet_ask(&stream, fleet->entries[0], "to the last", TOKENS);
        g_assert_true(stream.done);
        g_assert_cmpstr(stream.finish_reason, ==, "length");
        g_assert_cmpuint(stream.tokens, ==, TOKENS + 1);
        harness_stream_dispose(&stream);
    }
    g_assert_cmpuint(atomic_load(&fake->opens), ==, 1);
    fake_stop(fake);
    fleet_free(fleet);
}

/* Started with the status 0 that this message has by default. */
static void
send_no_status(struct fake *fake, const Pgw__Open *open)
{
    send_started(fake, open->request, open->attempt);
    send_end(fake, open->request, open->attempt, 0);
}

static void
test_no_status(void)
{
    struct fleet *fleet = start_fleet();
    struct fake *fake = fake_start(fleet, "fake", "desk", send_no_status);
    struct harness_answer answer;

    fleet_call(&answer, fleet->entries[0], "/svc/look/x",
               &(struct harness_call){.body = "x"});
    fleet_assert_refusal(&answer, 502, "upstream_failed", "unknown");
    harness_answer_dispose(&answer);
    fake_stop(fake);
    fleet_free(fleet);
}

static void
end_without_running(struct fake *fake, const Pgw__Open *open)
{
    Pgw__State state = PGW__STATE__INIT;

    (void)open;
    state.engine = 7;
    state.version = (char *)fake->version;
    state.upstream_alive = true;
    state.leaving = true;
    state.ended = true;
    pgw_link_send(fake->link, PGW_FRAME_STATE, &state.base);
    pgw_link_close(fake->link);
}

/* Guards against an unknown outcome of a call that its sidecar has not run,
 * since it ended meanwhile. */
static void
test_ended_sidecar(void)
{
    static const char *const headers[] = {"Idempotency-Key: tray-2", NULL};
    struct fleet *fleet = start_fleet();
    struct fake *fake = fake_start(fleet, "fake", "desk", end_without_running);
    struct harness_answer answer;

    fleet_call(&answer, fleet->entries[0], "/svc/print/x",
               &(struct harness_call){.body = "x", .headers = headers});
    fleet_assert_refusal(&answer, 503, "leaving", "no");
    harness_answer_dispose(&answer);
    fake_stop(fake);
    fleet_free(fleet);
}

/* Holds the first request's frames back until a second one is open, then
 * answers each with frames of both, crossed, doubled and late. */
static void
cross(struct fake *fake, const Pgw__Open *open)
{
    ProtobufCBinaryData first = {.data = fake->first,
                                 .len = PGW_REQUEST_ID_SIZE};
    char text[16];

    if (atomic_load(&fake->opens) == 0) {
        memcpy(fake->first, open->request.data, PGW_REQUEST_ID_SIZE);
        fake->attempt = open->attempt;
        return;
    }
    send_started(fake, first, fake->attempt);
    send_started(fake, open->request, open->attempt);
    send_started(fake, first, fake->attempt);
    for (unsigned i = 0; i < TOKENS; i++) {
        g_snprintf(text, sizeof(text), "A%u ", i);
        send_data(fake, first, fake->attempt, i, i, text);
        g_snprintf(text, sizeof(text), "B%u ", i);
        send_data(fake, open->request, open->attempt, i, i, text);
        /* Doubled, and one of an attempt that never was. */
        send_data(fake, open->request, open->attempt, i, i, ALIEN);
        send_data(fake, first, fake->attempt + 1, i + 1, i + 1, ALIEN);
        if (i > 0) {
            send_data(fake, first, fake->attempt, i - 1, i - 1, ALIEN);
        }
    }
    send_end(fake, open->request, open->attempt, TOKENS);
    send_end(fake, first, fake->attempt, TOKENS);
    /* Late: both requests are over. */
    send_data(fake, first, fake->attempt, TOKENS, TOKENS, ALIEN);
    send_end(fake, first, fake->attempt, TOKENS + 1);
    send_data(fake, open->request, open->attempt, TOKENS, TOKENS, ALIEN);
}

static bool
has_opens(void *data)
{
    struct fake *fake = data;

    return atomic_load(&fake->opens) > 0;
}

static void
assert_letters(struct fleet_caller *caller, char letter)
{
    struct harness_stream stream;
    GString *expected = g_string_new(NULL);

    for (unsigned i = 0; i < TOKENS; i++) {
        g_string_append_printf(expected, "%c%u ", letter, i);
    }
    g_assert_cmpint(fleet_caller_finish(caller, &stream), ==, 200);
    g_assert_true(stream.done);
    g_assert_cmpstr(stream.text->str, ==, expected->str);
    harness_stream_dispose(&stream);
    g_string_free(expected, TRUE);
}

static void
test_crossed_answers(void)
{
    struct fleet *fleet = start_fleet();
    struct fake *fake = fake_start(fleet, "fake", "guide", cross);
    struct fleet_caller *first;
    struct fleet_caller *second;

    /* Only the fake takes new work. */
    fleet_put(fleet, "upstream", "up0",
              "{\"pool\":\"guide\",\"zone\":\"a\",\"address\":"
              "\"127.0.0.1:%u\",\"state\":\"leaving\"}",
              harness_process_port(fleet->sidecars[0]));
    fleet_wait_usable(fleet->entries[0], 1);
    first = fleet_caller_start(fleet->entries[0], "first", TOKENS);
    g_assert_true(harness_wait_until(has_opens, fake, LIMIT_S));
    second = fleet_caller_start(fleet->entries[0], "second", TOKENS);
    assert_letters(first, 'A');
    assert_letters(second, 'B');
    fake_stop(fake);
    fleet_free(fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/frames/broken", test_broken_frames);
    g_test_add_func("/frames/lost-end", test_lost_end);
    g_test_add_func("/frames/no-status", test_no_status);
    g_test_add_func("/frames/ended-sidecar", test_ended_sidecar);
    g_test_add_func("/frames/crossed-answers", test_crossed_answers);
    return g_test_run();
}
