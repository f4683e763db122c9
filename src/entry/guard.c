#include "entry/guard.h"
#include "entry/exchange.h"
#include "util/log.h"
#include "util/socket.h"
#include <pthread.h>
#include <stdatomic.h>
#include <sys/socket.h>

/* The system would let a send buffer grow to megabytes, so that each caller
 * that does not read takes that much of its memory, beyond any window of ours.
 * This is plenty for a stream of tokens. */
#define SEND_BUFFER (64 << 10)
#define CHECK_MIN_US UINT64_C(5000)
#define CHECK_MAX_US UINT64_C(250000)

/**
 * struct guard - all connections of the HTTP server
 * @lock: of the list and its members
 * @callers: &struct caller
 * @count: connections in @callers and those that the HTTP server has yet to
 *   begin
 */
struct guard {
    pthread_mutex_t lock;
    struct pgw_list callers;
    atomic_uint count;
    struct pgw_loop *loop;
    struct pgw_timer timer;
    uint64_t head_us;
    uint64_t body_us;
};

/**
 * struct caller - one connection
 * @fd: its socket, open as long as it is listed
 * @due_us: when it is closed unless more has come; UINT64_MAX: never
 * @answered_bytes: bytes that had arrived when its last answer was sent
 * @fresh: no answer was given on it yet
 * @in_body: the head is whole
 * @in_answer: the request is whole and not yet answered
 */
struct caller {
    struct pgw_list link;
    struct guard *guard;
    int fd;
    uint64_t due_us;
    uint64_t answered_bytes;
    bool fresh;
    bool in_body;
    bool in_answer;
};

/* Nothing of ours is under way to a caller that still sends, so the answer
 * may go past the HTTP server. It has no hook for this. */
static void
send_refusal(const struct caller *caller, const char *status_line,
             const struct refusal *refusal)
{
    char *body = refusal_render(refusal);
    char *text = g_strdup_printf("HTTP/1.1 %s\r\n"
                                 "Content-Type: application/json\r\n"
                                 "Content-Length: %zu\r\n"
                                 "Connection: close\r\n\r\n%s",
                                 status_line, strlen(body), body);

    send(caller->fd, text, strlen(text), MSG_NOSIGNAL | MSG_DONTWAIT);
    g_free(text);
    g_free(body);
}

static void
refuse_late(const struct caller *caller)
{
    struct refusal refusal = {0};

    refusal_set(&refusal, PGW_REFUSAL_BAD_REQUEST, PGW_RAN_NO, 0,
                "the %s took too long to come: send it faster, or the "
                "operator raises %s",
                caller->in_body ? "body" : "head",
                caller->in_body ? "body_timeout_ms" : "header_timeout_ms");
    send_refusal(caller, "408 Request Timeout", &refusal);
    refusal_dispose(&refusal);
}

/* The HTTP server sees the end and closes the socket itself. */
static void
end_connection(struct caller *caller)
{
    caller->due_us = UINT64_MAX;
    shutdown(caller->fd, SHUT_RDWR);
}

static void
close_late(struct caller *caller)
{
    /* One that only kept an answered connection open expects no word. */
    if (caller->fresh || caller->in_body) {
        pgw_log_info("caller_slow", "part=%s",
                     caller->in_body ? "body" : "head");
        refuse_late(caller);
    }
    end_connection(caller);
}

static void
check_due(struct pgw_timer *timer)
{
    struct guard *guard = pgw_container_of(timer, struct guard, timer);
    uint64_t shortest = MIN(guard->head_us, guard->body_us);
    uint64_t now = pgw_now_us();

    pthread_mutex_lock(&guard->lock);
    pgw_list_foreach (link, &guard->callers) {
        struct caller *caller = pgw_container_of(link, struct caller, link);

        if (caller->due_us <= now) {
            close_late(caller);
        }
    }
    pthread_mutex_unlock(&guard->lock);
    pgw_timer_start(guard->loop, timer,
                    CLAMP(shortest / 8, CHECK_MIN_US, CHECK_MAX_US));
}

struct guard *
guard_new(struct pgw_loop *loop, uint64_t head_us, uint64_t body_us)
{
    struct guard *guard = g_new0(struct guard, 1);

    pthread_mutex_init(&guard->lock, NULL);
    pgw_list_init(&guard->callers);
    guard->loop = loop;
    guard->head_us = head_us;
    guard->body_us = body_us;
    guard->timer.on_due = check_due;
    pgw_timer_start(loop, &guard->timer, CHECK_MIN_US);
    return guard;
}

void
guard_free(struct guard *guard)
{
    if (guard == NULL) {
        return;
    }
    pgw_timer_stop(guard->loop, &guard->timer);
    pthread_mutex_destroy(&guard->lock);
    g_free(guard);
}

static void
caller_add(struct guard *guard, struct MHD_Connection *connection,
           void **socket_context)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    struct caller *caller = g_new0(struct caller, 1);
    int size = SEND_BUFFER;

    caller->guard = guard;
    caller->fd = info->connect_fd;
    setsockopt(caller->fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
    caller->fresh = true;
    caller->due_us = pgw_now_us() + guard->head_us;
    *socket_context = caller;
    pthread_mutex_lock(&guard->lock);
    pgw_list_append(&guard->callers, &caller->link);
    pthread_mutex_unlock(&guard->lock);
}

void
guard_notify(void *context, struct MHD_Connection *connection,
             void **socket_context, enum MHD_ConnectionNotificationCode code)
{
    struct guard *guard = context;
    struct caller *caller = *socket_context;

    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        caller_add(guard, connection, socket_context);
        return;
    }
    /* The socket is still open here and closed after this returns. */
    pthread_mutex_lock(&guard->lock);
    pgw_list_remove(&caller->link);
    pthread_mutex_unlock(&guard->lock);
    *socket_context = NULL;
    g_free(caller);
    atomic_fetch_sub(&guard->count, 1);
}

void
guard_accepted(struct guard *guard)
{
    atomic_fetch_add(&guard->count, 1);
}

void
guard_not_added(struct guard *guard)
{
    atomic_fetch_sub(&guard->count, 1);
}

unsigned
guard_connections(const struct guard *guard)
{
    return atomic_load(&guard->count);
}

static bool
caller_is_idle(const struct caller *caller, bool first_may_come)
{
    return pgw_socket_received_bytes(caller->fd) <= caller->answered_bytes &&
           !(caller->fresh && first_may_come);
}

void
guard_refuse_incomplete(struct guard *guard, const struct refusal *refusal)
{
    pthread_mutex_lock(&guard->lock);
    pgw_list_foreach (link, &guard->callers) {
        struct caller *caller = pgw_container_of(link, struct caller, link);

        if (!caller->in_answer && !caller_is_idle(caller, false)) {
            send_refusal(caller, "503 Service Unavailable", refusal);
            end_connection(caller);
        }
    }
    pthread_mutex_unlock(&guard->lock);
}

bool
guard_is_idle(struct guard *guard, uint64_t first_until_us)
{
    bool first_may_come = pgw_now_us() < first_until_us;
    unsigned listed = 0;
    bool is_idle = true;

    pthread_mutex_lock(&guard->lock);
    pgw_list_foreach (link, &guard->callers) {
        const struct caller *caller =
            pgw_container_of(link, struct caller, link);

        listed++;
        is_idle = is_idle && caller_is_idle(caller, first_may_come);
    }
    pthread_mutex_unlock(&guard->lock);
    return is_idle && listed == atomic_load(&guard->count);
}

static struct caller *
caller_lock(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    struct caller *caller = info->socket_context;

    pthread_mutex_lock(&caller->guard->lock);
    return caller;
}

void
guard_head_done(struct MHD_Connection *connection)
{
    struct caller *caller = caller_lock(connection);

    caller->in_body = true;
    caller->due_us = pgw_now_us() + caller->guard->body_us;
    pthread_mutex_unlock(&caller->guard->lock);
}

void
guard_body_done(struct MHD_Connection *connection)
{
    struct caller *caller = caller_lock(connection);

    caller->in_body = false;
    caller->in_answer = true;
    caller->due_us = UINT64_MAX;
    pthread_mutex_unlock(&caller->guard->lock);
}

void
guard_answered(struct MHD_Connection *connection)
{
    struct caller *caller = caller_lock(connection);

    caller->in_body = false;
    caller->in_answer = false;
    caller->fresh = false;
    caller->answered_bytes = pgw_socket_received_bytes(caller->fd);
    caller->due_us = pgw_now_us() + caller->guard->head_us;
    pthread_mutex_unlock(&caller->guard->lock);
}
