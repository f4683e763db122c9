#include "scene_engine.h"
#include "scene_gateway.h"

#include "codec.h"
#include "gateway/sidecar/sidecarless.h"
#include "util/log.h"
#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/**
 * enum order_holder - who holds the lease on the engine's orders
 * @NOBODY: there is no object
 * @FORMER: another process, which does not renew it
 * @SIDECAR: the engine's sidecar, which renews it
 */
enum order_holder {
    NOBODY,
    FORMER,
    SIDECAR,
};

/**
 * struct fixture - an entry and an engine without a sidecar; the test acts as
 * the store
 * @no_sidecar: holds the port on which a sidecar would listen, -1: none
 * @answer_task: runs on the loop and answers the last call to the store
 * @pending_call: that call
 * @revision: revision of the lease object
 * @held_by_other: another entry holds the lease
 * @reads: how often the lease was read; protected by @lock
 * @orders: the entry's lease on the orders of the engine, NULL: none
 * @order_task: runs on the loop and answers the last call for it
 * @is_order_write: that call is a write
 * @order_holder: who holds it by the store
 * @order_revision: revision of its object
 * @order_reads: how often it was read; protected by @lock
 */
struct fixture {
    struct pgw_loop *loop;
    struct pgw_gateway *gateway;
    struct pgw_sidecar_links *links;
    struct pgw_sidecarless *sidecarless;
    struct scene_engine engine;
    int no_sidecar;
    pthread_t thread;
    struct pgw_task answer_task;
    enum {
        READ,
        WRITE
    } pending_call;
    uint64_t revision;
    bool held_by_other;
    pthread_mutex_t lock;
    unsigned reads;
    struct pgw_order_lease *orders;
    struct pgw_task order_task;
    bool is_order_write;
    enum order_holder order_holder;
    uint64_t order_revision;
    unsigned order_reads;
};

static struct fixture *fixture;

static void
answer_run(struct pgw_task *task)
{
    struct pgw_lease_answer answer = {.result = PGW_LEASE_DONE};

    (void)task;
    if (fixture->sidecarless == NULL) {
        return;
    }
    switch (fixture->pending_call) {
    case READ:
        answer.result =
            fixture->held_by_other ? PGW_LEASE_DONE : PGW_LEASE_ABSENT;
        answer.revision = fixture->revision;
        pgw_sidecarless_finish_read(fixture->sidecarless, &answer);
        break;
    case WRITE:
        answer.revision = ++fixture->revision;
        pgw_sidecarless_finish_write(fixture->sidecarless, &answer);
        break;
    }
}

static void
post_answer(int call)
{
    fixture->pending_call = call;
    fixture->answer_task.run = answer_run;
    pgw_loop_post(fixture->loop, &fixture->answer_task);
}

static void
read_lease(void *context)
{
    (void)context;
    pthread_mutex_lock(&fixture->lock);
    fixture->reads++;
    pthread_mutex_unlock(&fixture->lock);
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

static const struct pgw_sidecarless_store store = {
    .read = read_lease,
    .write = write_lease,
};

static void *
open_order_lease(void *context, struct pgw_order_lease *lease,
                 const char *engine_host)
{
    (void)context;
    g_assert_cmpstr(engine_host, ==, "127.0.0.1");
    fixture->orders = lease;
    return fixture;
}

static void
close_order_lease(void *object)
{
    (void)object;
    fixture->orders = NULL;
}

static void
answer_order_call(struct pgw_task *task)
{
    struct pgw_lease_answer answer = {.result = PGW_LEASE_DONE};

    (void)task;
    if (fixture->orders == NULL) {
        return;
    }
    if (fixture->is_order_write) {
        answer.revision = 41;
        pgw_order_lease_finish_write(fixture->orders, &answer);
        return;
    }
    if (fixture->order_holder == NOBODY) {
        answer.result = PGW_LEASE_ABSENT;
    }
    fixture->order_revision += fixture->order_holder == SIDECAR;
    answer.revision = fixture->order_revision;
    pgw_order_lease_finish_read(fixture->orders, &answer);
}

static void
post_order_answer(bool is_write)
{
    fixture->is_order_write = is_write;
    fixture->order_task.run = answer_order_call;
    pgw_loop_post(fixture->loop, &fixture->order_task);
}

static void
read_order_lease(void *object)
{
    (void)object;
    pthread_mutex_lock(&fixture->lock);
    fixture->order_reads++;
    pthread_mutex_unlock(&fixture->lock);
    post_order_answer(false);
}

static void
write_order_lease(void *object, uint64_t revision, uint64_t number)
{
    (void)object;
    (void)number;
    g_assert_cmpuint(
        revision, ==,
        fixture->order_holder == NOBODY ? 0 : fixture->order_revision);
    post_order_answer(true);
}

static const struct pgw_order_lease_store order_store = {
    .open = open_order_lease,
    .close = close_order_lease,
    .read = read_order_lease,
    .write = write_order_lease,
};

/* Returns a socket that is bound but does not listen: connections to its port
 * are refused, and nobody else can listen there. */
static int
bind_without_listening(uint16_t *port)
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
    pgw_upstream_table_put(pgw_gateway_upstreams(fixture->gateway), &facts);
}

/* The entry's lease on orders lasts for longer than a test. */
static uint64_t order_term_us = SCENE_TIMEOUT_S * UINT64_C(1000000);
static enum order_holder order_holder = NOBODY;

/* @port: port on which a sidecar would listen; @refused_us: how long it must
 * have refused connections before an entry may act. */
static void
fixture_open_at(bool held_by_other, uint16_t port, uint64_t refused_us)
{
    struct pgw_gateway_options gateway = {
        .instance = "entry-1",
        .zone = "a",
        .codec = &platform_codec,
        .budgets = PGW_RETRY_BUDGETS_OPTIONS_INIT,
        .choose = PGW_CHOOSE_OPTIONS_INIT,
        .crash_quarantine = PGW_CRASH_QUARANTINE_OPTIONS_INIT,
    };
    struct pgw_sidecarless_options options = {
        .instance = "entry-1",
        .codec = &platform_engine_codec,
        .lease = PGW_LEASE_OPTIONS_INIT,
        .store = &store,
        .refused_us = refused_us,
        .orders = {.term_us = order_term_us, .poll_us = 1, .retry_us = 1},
        .order_store = &order_store,
    };
    struct pgw_address engine;

    fixture = g_new0(struct fixture, 1);
    fixture->no_sidecar = -1;
    pthread_mutex_init(&fixture->lock, NULL);
    fixture->order_holder = order_holder;
    fixture->order_revision = 5;
    fixture->held_by_other = held_by_other;
    fixture->revision = 7;
    fixture->engine.version = 1;
    fixture->engine.listener = scene_listen(&engine);
    g_assert_true(pgw_address_parse(&gateway.listen, "127.0.0.1:0", NULL));
    fixture->loop = pgw_loop_new(NULL);
    fixture->gateway = pgw_gateway_new(fixture->loop, &gateway, NULL);
    fixture->links =
        pgw_sidecar_links_new(fixture->loop, fixture->gateway, port);
    put_engine(&engine, 1);
    pgw_gateway_set_target_weights(fixture->gateway, "m", 2, 0, 0);
    pgw_sidecar_links_refresh(fixture->links);
    options.lease.poll_us = 1;
    fixture->sidecarless = pgw_sidecarless_new(fixture->loop, fixture->gateway,
                                               fixture->links, &options);
    pthread_create(&fixture->thread, NULL, scene_loop_main, fixture->loop);
}

static void
fixture_open(bool held_by_other)
{
    uint16_t port;
    int no_sidecar = bind_without_listening(&port);

    fixture_open_at(held_by_other, port, 0);
    fixture->no_sidecar = no_sidecar;
}

static void
fixture_close(void)
{
    pgw_loop_stop(fixture->loop);
    pthread_join(fixture->thread, NULL);
    pgw_sidecarless_free(fixture->sidecarless);
    /* Cancels a pending answer, as a store does; it runs when the links are
     * freed. */
    fixture->sidecarless = NULL;
    pgw_sidecar_links_free(fixture->links);
    pgw_gateway_free(fixture->gateway);
    pgw_loop_free(fixture->loop);
    close(fixture->engine.listener);
    if (fixture->no_sidecar >= 0) {
        close(fixture->no_sidecar);
    }
    pthread_mutex_destroy(&fixture->lock);
    g_free(fixture->engine.order);
    g_free(fixture);
}

static bool
is_ordered(const struct scene_engine *engine)
{
    return engine->orders > 0;
}

/*
 * An engine starts at an address without a sidecar, with weights older than
 * the target version. Callers would get answers of old weights, or none once
 * these are too old. An entry takes the lease and gives the order with a
 * fencing token, with itself as the holder, and only to this incarnation.
 */
static void
test_entry_gives_order(void)
{
    fixture_open(false);
    scene_engine_serve(&fixture->engine, is_ordered);
    g_assert_nonnull(strstr(fixture->engine.order, "\"version\":2"));
    g_assert_nonnull(strstr(fixture->engine.order, "\"fence\":41"));
    g_assert_nonnull(strstr(fixture->engine.order, "\"holder\":\"entry-1\""));
    fixture_close();
}

static unsigned
read_count(void)
{
    unsigned count;

    pthread_mutex_lock(&fixture->lock);
    count = fixture->reads;
    pthread_mutex_unlock(&fixture->lock);
    return count;
}

/*
 * Another entry holds the lease and gives the orders. This entry polls the
 * lease and must not contact the engine: orders from two entries in turn could
 * load an older version last.
 */
static void
test_no_order_without_lease(void)
{
    struct pollfd connection = {.events = POLLIN};

    fixture_open(true);
    connection.fd = fixture->engine.listener;
    while (read_count() < 4) {
        g_usleep(1000);
    }
    /* There is not even a connection. */
    g_assert_cmpint(poll(&connection, 1, 0), ==, 0);
    fixture_close();
}

/*
 * An entry starts before the sidecar, so its first connection is refused. Then
 * it connects, while the sidecar has not yet reported on its engine, which has
 * old weights. The entry must not take the lease: the sidecar gives the
 * orders. If both did, the engine would refuse those with the lower fencing
 * token.
 */
static void
test_no_lease_with_late_sidecar(void)
{
    uint16_t port;
    int sidecar = bind_without_listening(&port);
    int link;

    fixture_open_at(false, port, 1500000);
    g_usleep(100000);
    g_assert_cmpint(listen(sidecar, 8), ==, 0);
    link = accept(sidecar, NULL, NULL);
    g_assert_cmpint(link, >=, 0);
    g_usleep(2500000);
    pthread_mutex_lock(&fixture->lock);
    g_assert_cmpuint(fixture->reads, ==, 0);
    pthread_mutex_unlock(&fixture->lock);
    fixture_close();
    close(link);
    close(sidecar);
}

static bool
is_lease_polled(const struct scene_engine *engine)
{
    bool polled;

    (void)engine;
    pthread_mutex_lock(&fixture->lock);
    polled = fixture->order_reads > 20;
    pthread_mutex_unlock(&fixture->lock);
    return polled;
}

/* Guards against orders of two processes in turn, when a cut refuses an
 * entry's connections to a sidecar that lives and gives orders. */
static void
test_no_order_beside_a_cut_off_sidecar(void)
{
    order_holder = SIDECAR;
    fixture_open(false);
    scene_engine_serve(&fixture->engine, is_lease_polled);
    g_assert_cmpuint(fixture->engine.orders, ==, 0);
    fixture_close();
    order_holder = NOBODY;
}

/* Guards against an engine that keeps old weights after its sidecar is lost
 * for good. */
static void
test_order_after_a_lost_sidecar(void)
{
    order_holder = FORMER;
    order_term_us = 200000;
    fixture_open(false);
    scene_engine_serve(&fixture->engine, is_ordered);
    g_assert_nonnull(strstr(fixture->engine.order, "\"fence\":41"));
    fixture_close();
    order_term_us = SCENE_TIMEOUT_S * UINT64_C(1000000);
    order_holder = NOBODY;
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/sidecarless/entry_gives_order", test_entry_gives_order);
    g_test_add_func("/sidecarless/no_order_without_lease",
                    test_no_order_without_lease);
    g_test_add_func("/sidecarless/no_lease_with_late_sidecar",
                    test_no_lease_with_late_sidecar);
    g_test_add_func("/sidecarless/no_order_beside_a_cut_off_sidecar",
                    test_no_order_beside_a_cut_off_sidecar);
    g_test_add_func("/sidecarless/order_after_a_lost_sidecar",
                    test_order_after_a_lost_sidecar);
    return g_test_run();
}
