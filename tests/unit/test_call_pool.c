#include "gateway/http/call.h"
#include "scene_gateway.h"
#include <sys/socket.h>
#include <unistd.h>

/**
 * struct owner - a call whose end frees a pool of others
 * @other: the pool, NULL once it is freed
 */
struct owner {
    struct pgw_call call;
    struct pgw_loop *loop;
    struct pgw_call_pool *other;
};

static bool
on_head(struct pgw_call *call, const struct pgw_http_head *head)
{
    (void)call;
    (void)head;
    return true;
}

static void
on_body(struct pgw_call *call, const char *data, size_t size)
{
    (void)call;
    (void)data;
    (void)size;
}

static void
on_done(struct pgw_call *call)
{
    struct owner *owner = pgw_container_of(call, struct owner, call);

    pgw_call_pool_free(owner->other);
    owner->other = NULL;
    pgw_loop_stop(owner->loop);
}

static void
on_failed(struct pgw_call *call, enum pgw_call_failure why)
{
    (void)call;
    g_error("the call failed: %d", (int)why);
}

static const struct pgw_call_ops ops = {
    .on_head = on_head,
    .on_body = on_body,
    .on_done = on_done,
    .on_failed = on_failed,
};

static void *
serve(void *data)
{
    int upstream = accept(*(int *)data, NULL, NULL);

    g_free(scene_read_request(upstream));
    scene_answer(upstream, "a", 200, "", "done");
    return GINT_TO_POINTER(upstream);
}

static void
free_in_callback(bool is_own)
{
    static const char request[] =
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";
    struct pgw_call_pool_options options = PGW_CALL_POOL_OPTIONS_INIT;
    struct pgw_loop *loop = pgw_loop_new(NULL);
    struct pgw_call_pool *pool = pgw_call_pool_new(loop, &options);
    struct owner owner = {
        .call.ops = &ops,
        .loop = loop,
        .other = is_own ? pool : pgw_call_pool_new(loop, &options),
    };
    struct pgw_address address;
    int listener = scene_listen(&address);
    const struct pgw_call_options call = {
        .address = &address,
        .bytes = request,
        .size = sizeof(request) - 1,
        .alone = true,
    };
    pthread_t thread;
    void *upstream;

    g_assert_cmpint(pthread_create(&thread, NULL, serve, &listener), ==, 0);
    g_assert_true(pgw_call_start(&owner.call, pool, &call));
    pgw_loop_run(loop);
    g_assert_null(owner.other);
    pthread_join(thread, &upstream);
    close(GPOINTER_TO_INT(upstream));
    close(listener);
    if (!is_own) {
        pgw_call_pool_free(pool);
    }
    pgw_loop_free(loop);
}

/* A connection must outlive a callback that frees another pool. */
static void
test_pool_is_freed_in_callback(void)
{
    free_in_callback(false);
}

/* A pool must outlive a callback of its own connection that frees it. */
static void
test_own_pool_is_freed_in_callback(void)
{
    free_in_callback(true);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/call_pool/freed_in_callback",
                    test_pool_is_freed_in_callback);
    g_test_add_func("/call_pool/own_is_freed_in_callback",
                    test_own_pool_is_freed_in_callback);
    return g_test_run();
}
