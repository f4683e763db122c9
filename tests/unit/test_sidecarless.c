#include "scene_engine.h"
#include "scene_gateway.h"

#include "codec.h"
#include "gateway/sidecarless.h"
#include "util/log.h"
#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/**
 * struct stage - an entry before an engine on whose machine no process of ours
 * listens; the test is the store
 * @answer: runs on the loop and answers the call that was made last
 * @call: that call
 * @other_holds: another entry holds the lease
 * @reads: how often the lease was read; under @lock
 */
struct stage {
    struct pgw_loop *loop;
    struct pgw_gateway *gateway;
    struct pgw_sidecar_links *links;
    struct pgw_sidecarless *unguarded;
    struct scene_engine engine;
    pthread_t thread;
    struct pgw_task answer;
    enum {
        READ,
        WRITE,
        TOKEN
    } call;
    uint64_t revision;
    bool other_holds;
    pthread_mutex_t lock;
    unsigned reads;
};

static struct stage *stage;

static void
answer_run(struct pgw_task *task)
{
    (void)task;
    switch (stage->call) {
    case READ:
        pgw_sidecarless_finish_read(stage->unguarded,
                                    stage->other_holds ? PGW_LEASE_DONE
                                                       : PGW_LEASE_ABSENT,
                                    false, 0, stage->revision);
        break;
    case WRITE:
        pgw_sidecarless_finish_write(stage->unguarded, PGW_LEASE_DONE,
                                     ++stage->revision);
        break;
    case TOKEN:
        pgw_sidecarless_finish_token(stage->unguarded, 41);
        break;
    }
}

static void
post_answer(int call)
{
    stage->call = call;
    stage->answer.run = answer_run;
    pgw_loop_post(stage->loop, &stage->answer);
}

static void
read_lease(void *context)
{
    (void)context;
    pthread_mutex_lock(&stage->lock);
    stage->reads++;
    pthread_mutex_unlock(&stage->lock);
    post_answer(READ);
}

static void
write_lease(void *context, uint64_t revision, uint64_t number)
{
    (void)context;
    (void)revision;
    (void)number;
    post_answer(WRITE);
}

static void
get_token(void *context)
{
    (void)context;
    post_answer(TOKEN);
}

static const struct pgw_sidecarless_store store = {
    .read = read_lease,
    .write = write_lease,
    .get_token = get_token,
};

/* A port of loopback where nobody listens. */
static uint16_t
closed_port(void)
{
    struct pgw_address address;
    struct sockaddr_in in;
    int fd = scene_listen(&address);

    memcpy(&in, &address.storage, sizeof(in));
    close(fd);
    return ntohs(in.sin_port);
}

static void
put_engine(const struct pgw_address *address, uint64_t version)
{
    char text[PGW_ADDRESS_TEXT_SIZE];
    struct pgw_upstream_facts facts = {
        .id = "i-1",
        .service = "s",
        .address = text,
        .zone = "a",
        .slots = 4,
        .revision = 1,
        .models = {{(char *)"m", version}},
        .model_count = 1,
    };

    pgw_address_format(text, address);
    pgw_upstream_table_put(pgw_gateway_upstreams(stage->gateway), &facts);
}

/* @port: where a sidecar would listen; @refused_us: for so long nobody has to
 * listen there before an entry may act. */
static void
stage_open_at(bool other_holds, uint16_t port, uint64_t refused_us)
{
    struct pgw_gateway_options gateway = {
        .instance = "entry-1",
        .zone = "a",
        .codec = &platform_codec,
        .budgets = PGW_RETRY_BUDGETS_OPTIONS_INIT,
        .choose = PGW_CHOOSE_OPTIONS_INIT,
        .poison = PGW_CRASH_QUARANTINE_OPTIONS_INIT,
    };
    struct pgw_sidecarless_options options = {
        .instance = "entry-1",
        .codec = &platform_engine_codec,
        .lease = PGW_LEASE_OPTIONS_INIT,
        .store = &store,
        .refused_us = refused_us,
    };
    struct pgw_address engine;

    stage = g_new0(struct stage, 1);
    pthread_mutex_init(&stage->lock, NULL);
    stage->other_holds = other_holds;
    stage->revision = 7;
    stage->engine.version = 1;
    stage->engine.listener = scene_listen(&engine);
    g_assert_true(pgw_address_parse(&gateway.listen, "127.0.0.1:0", NULL));
    stage->loop = pgw_loop_new(NULL);
    stage->gateway = pgw_gateway_new(stage->loop, &gateway, NULL);
    stage->links = pgw_sidecar_links_new(stage->loop, stage->gateway, port);
    put_engine(&engine, 1);
    pgw_gateway_set_target_weights(stage->gateway, "m", 2, 0);
    pgw_sidecar_links_refresh(stage->links);
    options.lease.poll_us = 1;
    stage->unguarded = pgw_sidecarless_new(stage->loop, stage->gateway,
                                           stage->links, &options);
    pthread_create(&stage->thread, NULL, scene_loop_main, stage->loop);
}

static void
stage_open(bool other_holds)
{
    stage_open_at(other_holds, closed_port(), 0);
}

static void
stage_close(void)
{
    pgw_loop_stop(stage->loop);
    pthread_join(stage->thread, NULL);
    pgw_sidecarless_free(stage->unguarded);
    pgw_sidecar_links_free(stage->links);
    pgw_gateway_free(stage->gateway);
    pgw_loop_free(stage->loop);
    close(stage->engine.listener);
    pthread_mutex_destroy(&stage->lock);
    g_free(stage->engine.order);
    g_free(stage);
}

static bool
is_ordered(const struct scene_engine *engine)
{
    return engine->orders > 0;
}

/*
 * An engine has started at an address where no sidecar runs, with older
 * weights than the named ones. Callers would get answers of the old weights,
 * or none from it once these are too old. An entry takes the lease and gives
 * the order, with a fencing token, in its own name and to this incarnation
 * alone.
 */
static void
test_entry_orders(void)
{
    stage_open(false);
    scene_engine_serve(&stage->engine, is_ordered);
    g_assert_nonnull(strstr(stage->engine.order, "\"version\":2"));
    g_assert_nonnull(strstr(stage->engine.order, "\"fence\":41"));
    g_assert_nonnull(strstr(stage->engine.order, "\"holder\":\"entry-1\""));
    stage_close();
}

static unsigned
reads(void)
{
    unsigned count;

    pthread_mutex_lock(&stage->lock);
    count = stage->reads;
    pthread_mutex_unlock(&stage->lock);
    return count;
}

/*
 * Another entry holds the lease and gives the orders. This one reads it again
 * and again and must not say a word to the engine: two that give orders in
 * turn may load an older version last.
 */
static void
test_no_order_without_the_lease(void)
{
    struct pollfd waits = {.events = POLLIN};

    stage_open(true);
    waits.fd = stage->engine.listener;
    while (reads() < 4) {
        g_usleep(1000);
    }
    /* Nobody has even connected. */
    g_assert_cmpint(poll(&waits, 1, 0), ==, 0);
    stage_close();
}

/* A socket that is bound, so that connections to its port are refused. */
static int
bind_only(uint16_t *port)
{
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(in);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    g_assert_cmpint(bind(fd, (struct sockaddr *)&in, sizeof(in)), ==, 0);
    getsockname(fd, (struct sockaddr *)&in, &size);
    *port = ntohs(in.sin_port);
    return fd;
}

/*
 * An entry starts before the sidecars and is refused once; then it is
 * connected, and the sidecar has not said anything of its engine yet, which
 * has old weights. The sidecar is there to give orders: two that do so would
 * take turns, and the one with the lower fencing token would be refused.
 */
static void
test_sidecar_that_starts_later(void)
{
    uint16_t port;
    int sidecar = bind_only(&port);
    int link;

    stage_open_at(false, port, 1500000);
    g_usleep(100000);
    g_assert_cmpint(listen(sidecar, 8), ==, 0);
    link = accept(sidecar, NULL, NULL);
    g_assert_cmpint(link, >=, 0);
    g_usleep(2500000);
    pthread_mutex_lock(&stage->lock);
    g_assert_cmpuint(stage->reads, ==, 0);
    pthread_mutex_unlock(&stage->lock);
    stage_close();
    close(link);
    close(sidecar);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/unguarded/orders", test_entry_orders);
    g_test_add_func("/unguarded/no_lease", test_no_order_without_the_lease);
    g_test_add_func("/unguarded/starts_later", test_sidecar_that_starts_later);
    return g_test_run();
}
