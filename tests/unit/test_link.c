/* Both ends of a link on one loop: frame order and size, errors, closing. */
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "libparsleygw/link.h"
#include "parsleygw/errors.h"
#include "util/listener.h"

#define FRAMES 500

struct end {
    struct pgw_link *link;
    unsigned frames;
    size_t bytes;
    unsigned closed;
    int error_code;              /* -1: none */
    unsigned close_after_frames; /* 0: never */
    bool keeps_messages;
    ProtobufCMessage *kept_message;
};

struct fixture {
    struct pgw_loop *loop;
    struct pgw_listener *listener;
    struct pgw_timer timeout;
    struct end client;
    struct end server;
    unsigned expected_frames;
    unsigned expected_closed;
};

static struct fixture fixture;

static void
stop_if_done(void)
{
    if (fixture.client.closed + fixture.server.closed ==
            fixture.expected_closed &&
        fixture.client.frames + fixture.server.frames >=
            fixture.expected_frames) {
        pgw_loop_stop(fixture.loop);
    }
}

static bool
on_frame(struct pgw_link *link, enum pgw_frame_type type,
         ProtobufCMessage *message, void *context)
{
    struct end *end = context;
    const Pgw__Data *data = (const Pgw__Data *)message;

    g_assert_cmpint(type, ==, PGW_FRAME_DATA);
    g_assert_cmpuint(end->closed, ==, 0);
    g_assert_cmpuint(data->sequence, ==, end->frames);
    end->frames++;
    end->bytes += data->data.len;
    if (end->frames == end->close_after_frames) {
        pgw_link_close(link);
        /* The message is ignored and no callback is called from here. */
        pgw_link_send(link, PGW_FRAME_DATA, message);
        g_assert_cmpuint(end->closed, ==, 0);
    }
    if (end->keeps_messages) {
        pgw_frame_free(end->kept_message);
        end->kept_message = message;
    }
    stop_if_done();
    return end->keeps_messages;
}

static void
on_closed(struct pgw_link *link, const GError *error, void *context)
{
    struct end *end = context;

    g_assert_true(link == end->link);
    g_assert_cmpuint(end->closed, ==, 0);
    end->closed++;
    end->error_code = error == NULL ? -1 : error->code;
    stop_if_done();
}

static const struct pgw_link_ops ops = {
    .on_frame = on_frame,
    .on_closed = on_closed,
};

static void
on_accept(int fd, void *context)
{
    (void)context;
    fixture.server.link =
        pgw_link_accept(fixture.loop, fd, &ops, &fixture.server, NULL);
}

static void
fail_on_timeout(struct pgw_timer *timer)
{
    (void)timer;
    g_error("timeout: client %u frames, server %u frames",
            fixture.client.frames, fixture.server.frames);
}

static struct pgw_address
listening_address(void)
{
    struct pgw_address address;
    char *text =
        g_strdup_printf("127.0.0.1:%u", pgw_listener_port(fixture.listener));

    g_assert_true(pgw_address_parse(&address, text, NULL));
    g_free(text);
    return address;
}

static void
set_up(void)
{
    struct pgw_address any;

    fixture = (struct fixture){.timeout.on_due = fail_on_timeout};
    fixture.loop = pgw_loop_new(NULL);
    g_assert_true(pgw_address_parse(&any, "127.0.0.1:0", NULL));
    fixture.listener =
        pgw_listener_new(fixture.loop, &any, on_accept, NULL, NULL);
    g_assert_nonnull(fixture.listener);
    pgw_timer_start(fixture.loop, &fixture.timeout, 60 * G_USEC_PER_SEC);
}

static void
connect_client(void)
{
    struct pgw_address address = listening_address();

    fixture.client.link =
        pgw_link_connect(fixture.loop, &address, &ops, &fixture.client, NULL);
    g_assert_nonnull(fixture.client.link);
}

static void
tear_down(void)
{
    if (fixture.client.link != NULL && fixture.client.closed == 0) {
        pgw_link_close(fixture.client.link);
    }
    if (fixture.server.link != NULL && fixture.server.closed == 0) {
        pgw_link_close(fixture.server.link);
    }
    pgw_loop_run_tasks(fixture.loop);
    pgw_frame_free(fixture.server.kept_message);
    pgw_listener_free(fixture.listener);
    pgw_timer_stop(fixture.loop, &fixture.timeout);
    pgw_loop_free(fixture.loop);
}

static void
send_data(struct pgw_link *link, uint64_t sequence, size_t size)
{
    Pgw__Data data = PGW__DATA__INIT;

    data.sequence = sequence;
    data.data.len = size;
    data.data.data = g_malloc0(size + 1);
    pgw_link_send(link, PGW_FRAME_DATA, &data.base);
    g_free(data.data.data);
}

/* Frames sent before the connection is established, some of them much larger
 * than a socket buffer, arrive complete and in order. */
static void
test_order_and_size(void)
{
    size_t sent = 0;

    set_up();
    connect_client();
    fixture.server.keeps_messages = true;
    fixture.expected_frames = FRAMES;
    for (unsigned i = 0; i < FRAMES; i++) {
        size_t size = i % 100 == 99 ? (size_t)5 << 20 : i * 37;

        send_data(fixture.client.link, i, size);
        sent += size;
    }
    g_assert_false(pgw_link_is_open(fixture.client.link));
    g_assert_cmpuint(pgw_link_pending_bytes(fixture.client.link), >, sent);
    pgw_loop_run(fixture.loop);
    g_assert_cmpuint(fixture.server.frames, ==, FRAMES);
    g_assert_cmpuint(fixture.server.bytes, ==, sent);
    tear_down();
}

/* After closing inside a callback, no later frame of the same read is
 * delivered, and on_closed is called once at each end. */
static void
test_close_inside_callback(void)
{
    set_up();
    connect_client();
    fixture.server.close_after_frames = 3;
    fixture.expected_closed = 2;
    for (unsigned i = 0; i < 10; i++) {
        send_data(fixture.client.link, i, 10);
    }
    pgw_loop_run(fixture.loop);
    g_assert_cmpuint(fixture.server.frames, ==, 3);
    g_assert_cmpint(fixture.server.error_code, ==, -1);
    g_assert_cmpint(fixture.client.error_code, ==, PGW_ERROR_UNAVAILABLE);
    tear_down();
}

static void
receive_raw_bytes(const uint8_t *bytes, size_t size)
{
    struct pgw_address address;
    int fd;

    set_up();
    address = listening_address();
    fixture.expected_closed = 1;
    fd = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(
        connect(fd, (struct sockaddr *)&address.storage, address.size), ==, 0);
    g_assert_cmpint(send(fd, bytes, size, 0), ==, (ssize_t)size);
    if (fixture.server.link == NULL) {
        pgw_loop_run(fixture.loop);
    }
    close(fd);
}

/* A stream with a bad length, an unknown type or another protocol closes its
 * link with a protocol error, whatever follows; the loop keeps running. */
static void
test_malformed_stream(void)
{
    const uint8_t length[] = {0xff, 0xff, 0xff, 0xff, PGW_FRAME_DATA, 1, 2};
    const uint8_t type[] = {0, 0, 0, 2, 200, 0};
    const char *http = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    const struct {
        const uint8_t *bytes;
        size_t size;
    } cases[] = {
        {length, sizeof(length)},
        {type, sizeof(type)},
        {(const uint8_t *)http, strlen(http)},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        receive_raw_bytes(cases[i].bytes, cases[i].size);
        g_assert_cmpuint(fixture.server.frames, ==, 0);
        g_assert_cmpint(fixture.server.error_code, ==, PGW_ERROR_PROTOCOL);
        tear_down();
    }
}

static bool
echo_frame(struct pgw_link *link, enum pgw_frame_type type,
           ProtobufCMessage *message, void *context)
{
    (void)type;
    (void)context;
    fixture.server.frames++;
    pgw_link_send(link, PGW_FRAME_DATA, message);
    return false;
}

static const struct pgw_link_ops echo_ops = {
    .on_frame = echo_frame,
    .on_closed = on_closed,
};

static int raw_peer;

/* Accepts a connection whose peer then sends its last frames and closes
 * without reading the link's frame, which resets the connection. */
static void
accept_from_closing_peer(int fd, void *context)
{
    struct pollfd wait = {.fd = raw_peer, .events = POLLIN};
    struct pgw_buffer out = {0};
    Pgw__Data data = PGW__DATA__INIT;

    (void)context;
    fixture.server.link =
        pgw_link_accept(fixture.loop, fd, &echo_ops, &fixture.server, NULL);
    send_data(fixture.server.link, 0, 10);
    g_assert_cmpint(poll(&wait, 1, 60000), ==, 1);
    for (unsigned i = 0; i < FRAMES; i++) {
        pgw_frame_append(&out, PGW_FRAME_DATA, &data.base);
    }
    g_assert_cmpint(
        send(raw_peer, pgw_buffer_head(&out), pgw_buffer_size(&out), 0), ==,
        (ssize_t)pgw_buffer_size(&out));
    close(raw_peer);
    pgw_buffer_dispose(&out);
}

/* Frames received before a reset are all delivered, even though each send by
 * the link fails. */
static void
test_frames_before_a_reset(void)
{
    struct pgw_address any;
    struct pgw_address address;

    set_up();
    pgw_listener_free(fixture.listener);
    g_assert_true(pgw_address_parse(&any, "127.0.0.1:0", NULL));
    fixture.listener = pgw_listener_new(fixture.loop, &any,
                                        accept_from_closing_peer, NULL, NULL);
    address = listening_address();
    fixture.expected_closed = 1;
    raw_peer = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(
        connect(raw_peer, (struct sockaddr *)&address.storage, address.size),
        ==, 0);
    pgw_loop_run(fixture.loop);
    g_assert_cmpuint(fixture.server.frames, ==, FRAMES);
    g_assert_cmpint(fixture.server.error_code, ==, PGW_ERROR_UNAVAILABLE);
    tear_down();
}

static void
test_refused_connection(void)
{
    struct pgw_address address;

    set_up();
    address = listening_address();
    pgw_listener_free(fixture.listener);
    fixture.listener = NULL;
    fixture.expected_closed = 1;
    fixture.client.link =
        pgw_link_connect(fixture.loop, &address, &ops, &fixture.client, NULL);
    if (fixture.client.link != NULL) {
        pgw_loop_run(fixture.loop);
        g_assert_cmpint(fixture.client.error_code, ==, PGW_ERROR_UNAVAILABLE);
    }
    tear_down();
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/link/order-and-size", test_order_and_size);
    g_test_add_func("/link/close-inside-callback", test_close_inside_callback);
    g_test_add_func("/link/malformed-stream", test_malformed_stream);
    g_test_add_func("/link/frames-before-a-reset", test_frames_before_a_reset);
    g_test_add_func("/link/refused-connection", test_refused_connection);
    return g_test_run();
}
