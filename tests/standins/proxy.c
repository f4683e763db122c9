/*
 * Fault-injecting TCP proxy. Data goes from --port to --target as the mode
 * says; the mode is set by POST /mode on the port of the "admin_port=" line:
 *
 *   {"mode": "pass|delay|cut|stall|half_open|refuse|reorder",
 *    "delay_ms": n, "after_bytes": n, "once": bool, "hold": n, "lift": bool,
 *    "match": "text"}
 *
 * delay: each piece waits; cut: connections are reset; stall: nothing moves
 * and nothing is read; half_open: bytes are taken and vanish, for the rest of
 * the connection's life; refuse: new connections are reset; reorder: "hold"
 * new connections wait and reach the target in reverse order. after_bytes
 * counts what each connection still carries to the client before the fault;
 * once: the first connection concerned keeps the fault, the others pass; lift
 * takes it from it, so that what was held arrives late.
 * match: only connections whose first bytes from the client have the text are
 * concerned, as when one network of several is lost; not for refuse, reorder.
 * GET /stats answers {"open":n,"accepted":n,"to_client":bytes}.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <getopt.h>
#include <glib.h>
#include <json-glib/json-glib.h>
#include <microhttpd.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_lib.h"
#include "util/address.h"

#define PIECE 16384
#define POLL_MS 5
#define HOLD_MAX 64
#define FIRST_MAX 256
#define MATCH_MAX 32

enum mode {
    MODE_PASS,
    MODE_DELAY,
    MODE_CUT,
    MODE_STALL,
    MODE_HALF_OPEN,
    MODE_REFUSE,
    MODE_REORDER,
    MODE_COUNT,
};

static const char *const mode_names[MODE_COUNT] = {
    "pass", "delay", "cut", "stall", "half_open", "refuse", "reorder"};

/**
 * struct order - what was last told to do
 * @serial: grows with each order
 * @match: text of the connections concerned, "": all
 */
struct order {
    enum mode mode;
    unsigned serial;
    unsigned delay_ms;
    uint64_t after_bytes;
    bool once;
    bool lift;
    unsigned hold;
    char match[MATCH_MAX];
};

/**
 * struct connection - a client's socket and the one to the target
 * @ends: both sockets
 * @users: pumps that still run
 * @over: both pumps are to end
 * @fault: fault that stays until the end, or MODE_PASS
 * @serial: order that @carried counts for
 * @carried: bytes given to the client since
 * @first: the first bytes from the client
 * @first_size: their number, 0 while none came
 */
struct connection {
    int ends[2];
    atomic_uint users;
    atomic_bool over;
    enum mode fault;
    unsigned serial;
    uint64_t carried;
    char first[FIRST_MAX];
    size_t first_size;
};

struct pump {
    struct connection *connection;
    unsigned from;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct order order;
static struct pgw_address target;
static unsigned open_count;
static unsigned accepted_count;
static uint64_t to_client_bytes;
static int held[HOLD_MAX];
static unsigned held_count;

static bool
is_concerned(const struct connection *connection)
{
    return order.match[0] == '\0' ||
           memmem(connection->first, connection->first_size, order.match,
                  strlen(order.match)) != NULL;
}

/* Looks at the first bytes from the client, which decide on the mode, and
 * leaves them where they are. */
static void
learn_first(struct connection *connection)
{
    char first[FIRST_MAX];
    ssize_t got;

    if (connection->first_size > 0) {
        return;
    }
    got = recv(connection->ends[0], first, sizeof(first),
               MSG_PEEK | MSG_DONTWAIT);
    if (got > 0) {
        pthread_mutex_lock(&lock);
        memcpy(connection->first, first, (size_t)got);
        connection->first_size = (size_t)got;
        pthread_mutex_unlock(&lock);
    }
}

/* What to do with the connection now. */
static enum mode
current_mode(struct connection *connection, unsigned *delay_ms)
{
    enum mode mode;

    pthread_mutex_lock(&lock);
    if (connection->serial != order.serial) {
        connection->serial = order.serial;
        connection->carried = 0;
    }
    mode = order.mode;
    *delay_ms = order.delay_ms;
    if (order.lift) {
        connection->fault = MODE_PASS;
    }
    if (connection->fault != MODE_PASS) {
        mode = connection->fault;
    }
    else if (connection->carried < order.after_bytes ||
             !is_concerned(connection)) {
        mode = MODE_PASS;
    }
    else if (mode == MODE_HALF_OPEN || (order.once && mode != MODE_PASS)) {
        connection->fault = mode;
        if (order.once) {
            order.mode = MODE_PASS;
        }
    }
    pthread_mutex_unlock(&lock);
    return mode;
}

/* Bytes that may still pass before the fault of after_bytes sets in. */
static size_t
piece_size(const struct connection *connection)
{
    size_t size = PIECE;

    pthread_mutex_lock(&lock);
    if (connection->carried < order.after_bytes) {
        size = MIN(size, (size_t)(order.after_bytes - connection->carried));
    }
    pthread_mutex_unlock(&lock);
    return size;
}

static void
count_carried(struct connection *connection, size_t size)
{
    pthread_mutex_lock(&lock);
    connection->carried += size;
    to_client_bytes += size;
    pthread_mutex_unlock(&lock);
}

static void
reset_on_close(int fd)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static bool
write_all(struct connection *connection, int fd, const char *data, size_t size)
{
    while (size > 0 && !atomic_load(&connection->over)) {
        ssize_t sent = send(fd, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
        struct pollfd wait = {.fd = fd, .events = POLLOUT};

        if (sent > 0) {
            data += sent;
            size -= (size_t)sent;
        }
        else if (errno == EAGAIN) {
            poll(&wait, 1, POLL_MS);
        }
        else {
            return false;
        }
    }
    return size == 0;
}

static void
end_connection(struct connection *connection, bool reset)
{
    atomic_store(&connection->over, true);
    if (reset) {
        reset_on_close(connection->ends[0]);
        reset_on_close(connection->ends[1]);
    }
}

/* Moves one piece; returns false at the end of this direction. */
static bool
move_piece(struct connection *connection, unsigned from, enum mode mode,
           unsigned delay_ms)
{
    char data[PIECE];
    size_t most = from == 1 ? piece_size(connection) : PIECE;
    ssize_t got = recv(connection->ends[from], data, most, MSG_DONTWAIT);

    if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
        return true;
    }
    if (got < 0 && mode != MODE_HALF_OPEN) {
        /* A reset is passed on; the other end would wait for ever. */
        end_connection(connection, true);
        return false;
    }
    if (mode == MODE_HALF_OPEN) {
        /* The other end is never told; this one just waits. */
        g_usleep(got <= 0 ? POLL_MS * 1000 : 0);
        return true;
    }
    if (got == 0) {
        shutdown(connection->ends[1 - from], SHUT_WR);
        return false;
    }
    if (mode == MODE_DELAY) {
        g_usleep(delay_ms * 1000ul);
    }
    if (from == 1) {
        count_carried(connection, (size_t)got);
    }
    return write_all(connection, connection->ends[1 - from], data,
                     (size_t)got);
}

static void
release(struct connection *connection)
{
    if (atomic_fetch_sub(&connection->users, 1) != 1) {
        return;
    }
    close(connection->ends[0]);
    close(connection->ends[1]);
    g_free(connection);
    pthread_mutex_lock(&lock);
    open_count--;
    pthread_mutex_unlock(&lock);
}

static void *
pump_main(void *data)
{
    struct pump *pump = data;
    struct connection *connection = pump->connection;
    struct pollfd wait = {.fd = connection->ends[pump->from],
                          .events = POLLIN};
    bool more = true;

    while (more && !atomic_load(&connection->over)) {
        bool ready = poll(&wait, 1, POLL_MS) > 0;
        unsigned delay_ms;
        enum mode mode;

        if (ready && pump->from == 0) {
            learn_first(connection);
        }
        /* Read after the wait: what comes after an order was answered is
         * already subject to it. */
        mode = current_mode(connection, &delay_ms);
        if (mode == MODE_CUT) {
            end_connection(connection, true);
        }
        else if (mode == MODE_STALL) {
            g_usleep(POLL_MS * 1000);
        }
        else if (ready) {
            more = move_piece(connection, pump->from, mode, delay_ms);
        }
    }
    release(connection);
    g_free(pump);
    return NULL;
}

static void
start_pump(struct connection *connection, unsigned from)
{
    struct pump *pump = g_new(struct pump, 1);
    pthread_t thread;

    *pump = (struct pump){.connection = connection, .from = from};
    if (pthread_create(&thread, NULL, pump_main, pump) != 0) {
        g_error("proxy: no thread for a connection");
    }
    pthread_detach(thread);
}

static void
join_target(int client)
{
    int one = 1;
    int fd = socket(target.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct connection *connection;

    if (fd < 0 || connect(fd, (const struct sockaddr *)&target.storage,
                          target.size) != 0) {
        reset_on_close(client);
        close(client);
        close(fd);
        return;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    connection = g_new0(struct connection, 1);
    connection->ends[0] = client;
    connection->ends[1] = fd;
    atomic_init(&connection->users, 2);
    pthread_mutex_lock(&lock);
    open_count++;
    connection->serial = order.serial;
    pthread_mutex_unlock(&lock);
    start_pump(connection, 0);
    start_pump(connection, 1);
}

/* Lets the held connections go, the last one first. */
static void
release_held(void)
{
    int fds[HOLD_MAX];
    unsigned count;

    pthread_mutex_lock(&lock);
    count = held_count;
    memcpy(fds, held, sizeof(int) * count);
    held_count = 0;
    pthread_mutex_unlock(&lock);
    while (count > 0) {
        join_target(fds[--count]);
    }
}

static void
take_client(int client)
{
    bool wait = false;
    bool refuse;
    bool full;

    pthread_mutex_lock(&lock);
    accepted_count++;
    refuse = order.mode == MODE_REFUSE;
    if (refuse && order.once) {
        order.mode = MODE_PASS;
    }
    if (order.mode == MODE_REORDER) {
        held[held_count++] = client;
        wait = true;
    }
    full = wait && held_count >= MIN(order.hold, HOLD_MAX);
    pthread_mutex_unlock(&lock);
    if (refuse) {
        reset_on_close(client);
        close(client);
    }
    else if (!wait) {
        join_target(client);
    }
    else if (full) {
        release_held();
    }
}

static unsigned
member_uint(JsonObject *object, const char *name)
{
    return (unsigned)json_object_get_int_member_with_default(object, name, 0);
}

static bool
take_order(const char *body)
{
    JsonNode *root = json_from_string(body, NULL);
    JsonObject *object;
    const char *name;
    bool found = false;

    if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
        g_clear_pointer(&root, json_node_unref);
        return false;
    }
    object = json_node_get_object(root);
    name = json_object_get_string_member_with_default(object, "mode", "");
    pthread_mutex_lock(&lock);
    for (int i = 0; i < MODE_COUNT; i++) {
        if (strcmp(name, mode_names[i]) == 0) {
            found = true;
            order = (struct order){
                .mode = (enum mode)i,
                .serial = order.serial + 1,
                .delay_ms = member_uint(object, "delay_ms"),
                .after_bytes = member_uint(object, "after_bytes"),
                .hold = member_uint(object, "hold"),
                .once = json_object_get_boolean_member_with_default(
                    object, "once", FALSE),
                .lift = json_object_get_boolean_member_with_default(
                    object, "lift", FALSE),
            };
            g_strlcpy(order.match,
                      json_object_get_string_member_with_default(object,
                                                                 "match", ""),
                      sizeof(order.match));
        }
    }
    pthread_mutex_unlock(&lock);
    json_node_unref(root);
    release_held();
    return found;
}

static enum MHD_Result
reply(struct MHD_Connection *connection, unsigned status, char *text)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_COPY);
    enum MHD_Result result = MHD_queue_response(connection, status, response);

    MHD_destroy_response(response);
    g_free(text);
    return result;
}

static char *
stats_text(void)
{
    char *text;

    pthread_mutex_lock(&lock);
    text = g_strdup_printf(
        "{\"open\":%u,\"accepted\":%u,\"to_client\":%" G_GUINT64_FORMAT "}",
        open_count, accepted_count, to_client_bytes);
    pthread_mutex_unlock(&lock);
    return text;
}

static enum MHD_Result
handle(void *context, struct MHD_Connection *connection, const char *path,
       const char *method, const char *version, const char *data, size_t *size,
       void **slot)
{
    GString *body = *slot;

    (void)context;
    (void)version;
    if (body == NULL) {
        *slot = g_string_new(NULL);
        return MHD_YES;
    }
    if (*size > 0) {
        g_string_append_len(body, data, (gssize)*size);
        *size = 0;
        return MHD_YES;
    }
    if (strcmp(method, MHD_HTTP_METHOD_GET) == 0) {
        return reply(connection, MHD_HTTP_OK, stats_text());
    }
    if (strcmp(path, "/mode") == 0 && take_order(body->str)) {
        return reply(connection, MHD_HTTP_OK, g_strdup("{}"));
    }
    return reply(connection, MHD_HTTP_BAD_REQUEST,
                 g_strdup("{\"error\":\"POST /mode {\\\"mode\\\":..}\"}"));
}

static void
completed(void *context, struct MHD_Connection *connection, void **slot,
          enum MHD_RequestTerminationCode code)
{
    (void)context;
    (void)connection;
    (void)code;
    if (*slot != NULL) {
        g_string_free(*slot, TRUE);
        *slot = NULL;
    }
}

static unsigned
start_control(void)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    struct MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL, handle, NULL,
        MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED, completed,
        NULL, MHD_OPTION_END);

    g_assert_nonnull(daemon);
    return MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

static int
start_listening(uint16_t *port)
{
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
        .sin_port = htons(*port),
    };
    socklen_t size = sizeof(address);

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (fd < 0 || bind(fd, (struct sockaddr *)&address, size) != 0 ||
        listen(fd, 128) != 0) {
        g_printerr("standin-proxy: cannot listen on port %u\n", *port);
        exit(EXIT_FAILURE);
    }
    getsockname(fd, (struct sockaddr *)&address, &size);
    *port = ntohs(address.sin_port);
    return fd;
}

static bool
parse_options(int argc, char **argv, uint16_t *port)
{
    static const struct option options[] = {
        {"port", required_argument, NULL, 'p'},
        {"target", required_argument, NULL, 't'},
        {NULL, 0, NULL, 0},
    };
    bool has_target = false;
    int option;

    while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
        if (option == 'p') {
            *port = (uint16_t)g_ascii_strtoull(optarg, NULL, 10);
        }
        else if (option == 't') {
            has_target = pgw_address_parse(&target, optarg, NULL);
        }
        else {
            return false;
        }
    }
    return has_target;
}

int
main(int argc, char **argv)
{
    uint16_t port = 0;
    int listener;

    if (!parse_options(argc, argv, &port)) {
        g_printerr("use: standin-proxy [--port N] --target IP:PORT\n");
        return EXIT_FAILURE;
    }
    standin_process_init();
    listener = start_listening(&port);
    printf("port=%u\nadmin_port=%u\n", port, start_control());
    fflush(stdout);
    for (;;) {
        int client = accept4(listener, NULL, NULL, SOCK_CLOEXEC);

        if (client >= 0) {
            take_client(client);
        }
    }
}
