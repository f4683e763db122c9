#include "codec.h"
#include "gateway/peer/sidecar_links.h"
#include "gateway/request/gateway.h"
#include "libparsleygw/link.h"
#include "util/listener.h"
#include "util/log.h"
#include <string.h>

/* No process listens on this port. */
#define UNUSED_PORT 9
#define LATER_US UINT64_C(10000000)
/* Time for the entry to receive what the sidecar sends. */
#define RUN_US 500000

/**
 * struct fixture - an entry's links to sidecars
 * @sidecar: listener of one engine's simulated sidecar; NULL: no sidecar runs
 * @link: the entry's connection to it
 * @reports_pace: the sidecar reports its engine's speed
 * @timer: ends the loop after the sidecar has sent its reports
 */
struct fixture {
    struct pgw_loop *loop;
    struct pgw_gateway *gateway;
    struct pgw_sidecar_links *links;
    struct pgw_listener *sidecar;
    struct pgw_link *link;
    bool reports_pace;
    struct pgw_timer timer;
};

static void
open_fixture(struct fixture *fixture, uint16_t port)
{
    struct pgw_gateway_options options = {
        .instance = "entry",
        .zone = "a",
        .codec = &platform_codec,
        .budgets = PGW_RETRY_BUDGETS_OPTIONS_INIT,
        .choose = PGW_CHOOSE_OPTIONS_INIT,
        .crash_quarantine = PGW_CRASH_QUARANTINE_OPTIONS_INIT,
    };

    g_assert_true(pgw_address_parse(&options.listen, "127.0.0.1:0", NULL));
    fixture->gateway = pgw_gateway_new(fixture->loop, &options, NULL);
    g_assert_nonnull(fixture->gateway);
    fixture->links =
        pgw_sidecar_links_new(fixture->loop, fixture->gateway, port);
}

static void
close_fixture(struct fixture *fixture)
{
    pgw_sidecar_links_free(fixture->links);
    pgw_gateway_free(fixture->gateway);
    pgw_loop_free(fixture->loop);
}

/* Lists @count engines from @from on, every fifth in the local zone. */
static void
list_engines(struct fixture *fixture, unsigned from, unsigned count)
{
    for (unsigned i = from; i < from + count; i++) {
        char id[16];
        char address[32];
        struct pgw_upstream_facts facts = {
            .id = id,
            .service = "s",
            .address = address,
            .zone = i % 5 == 0 ? "a" : "b",
            .slots = 6,
            .models = {{(char *)"m", 1}},
            .model_count = 1,
        };

        g_snprintf(id, sizeof(id), "e%u", i);
        g_snprintf(address, sizeof(address), "127.0.0.1:%u", 10000 + i);
        pgw_upstream_table_put(pgw_gateway_upstreams(fixture->gateway),
                               &facts);
    }
    pgw_sidecar_links_refresh(fixture->links);
}

static void
mark_all_seen(struct fixture *fixture, uint64_t now_us)
{
    pgw_list_foreach (item, pgw_upstream_table_all(
                                pgw_gateway_upstreams(fixture->gateway))) {
        pgw_upstream_mark_seen(
            pgw_container_of(item, struct pgw_upstream, in_table), now_us);
    }
}

/* Engines of other zones must not count as unresponsive when the pool has
 * grown so large that their sidecars stop sending reports. */
static void
test_pool_grows(void)
{
    struct fixture fixture = {.loop = pgw_loop_new(NULL)};
    uint64_t now = pgw_now_us();

    open_fixture(&fixture, UNUSED_PORT);
    list_engines(&fixture, 0, 100);
    mark_all_seen(&fixture, now);
    list_engines(&fixture, 100, 60);
    pgw_list_foreach (
        item, pgw_upstream_table_all(pgw_gateway_upstreams(fixture.gateway))) {
        const struct pgw_upstream *upstream =
            pgw_container_of(item, struct pgw_upstream, in_table);

        if (!upstream->same_zone) {
            g_assert_cmpint(pgw_upstream_liveness(upstream, now + LATER_US),
                            ==, PGW_RESPONSIVE);
        }
        else if (upstream->last_seen_us > 0) {
            g_assert_cmpint(pgw_upstream_liveness(upstream, now + LATER_US),
                            ==, PGW_UNRESPONSIVE);
        }
    }
    close_fixture(&fixture);
}

/* The report of a sidecar that has measured its engine, of an older sidecar
 * and of a faulty one. */
static void
report_pace(struct pgw_link *link)
{
    static const uint32_t figures[] = {40000, 0, UINT32_MAX};

    for (size_t i = 0; i < G_N_ELEMENTS(figures); i++) {
        Pgw__EngineState state = PGW__ENGINE_STATE__INIT;

        state.address = (char *)"127.0.0.1:10000";
        state.alive = true;
        state.started_ms = 1;
        state.prefill_per_s = figures[i];
        pgw_link_send(link, PGW_FRAME_ENGINE_STATE, &state.base);
    }
}

static bool
on_frame(struct pgw_link *link, enum pgw_frame_type type,
         ProtobufCMessage *message, void *context)
{
    Pgw__EngineState other_engine = PGW__ENGINE_STATE__INIT;
    Pgw__EngineState without_address = PGW__ENGINE_STATE__INIT;
    struct fixture *fixture = context;

    (void)message;
    if (type == PGW_FRAME_HELLO && fixture->reports_pace) {
        report_pace(link);
        pgw_timer_start(fixture->loop, &fixture->timer, RUN_US);
    }
    else if (type == PGW_FRAME_HELLO) {
        other_engine.address = (char *)"127.0.0.1:1";
        other_engine.alive = true;
        without_address.alive = true;
        without_address.running = 6;
        pgw_link_send(link, PGW_FRAME_ENGINE_STATE, &other_engine.base);
        pgw_link_send(link, PGW_FRAME_ENGINE_STATE, &without_address.base);
        pgw_timer_start(fixture->loop, &fixture->timer, RUN_US);
    }
    return false;
}

static void
on_closed(struct pgw_link *link, const GError *error, void *context)
{
    struct fixture *fixture = context;

    (void)link;
    (void)error;
    fixture->link = NULL;
}

static const struct pgw_link_ops link_ops = {
    .on_frame = on_frame,
    .on_closed = on_closed,
};

static void
on_accept(int fd, void *context)
{
    struct fixture *fixture = context;

    fixture->link =
        pgw_link_accept(fixture->loop, fd, &link_ops, fixture, NULL);
}

static void
on_stop_timer(struct pgw_timer *timer)
{
    pgw_loop_stop(pgw_container_of(timer, struct fixture, timer)->loop);
}

/* Guards against a rate that is lost with a report of an older sidecar, or
 * replaced by a figure that no engine has. */
static void
test_reported_pace(void)
{
    struct fixture fixture = {.loop = pgw_loop_new(NULL),
                              .reports_pace = true,
                              .timer = {.on_due = on_stop_timer}};
    struct pgw_address address;
    const struct pgw_upstream *upstream;

    g_assert_true(pgw_address_parse(&address, "127.0.0.1:0", NULL));
    fixture.sidecar =
        pgw_listener_new(fixture.loop, &address, on_accept, &fixture, NULL);
    open_fixture(&fixture, pgw_listener_port(fixture.sidecar));
    list_engines(&fixture, 0, 1);
    pgw_loop_run(fixture.loop);
    upstream =
        pgw_upstream_table_find(pgw_gateway_upstreams(fixture.gateway), "e0");
    g_assert_cmpfloat(upstream->pace.prefill_rate, ==, 40);
    g_assert_cmpuint(upstream->pace.ignored, ==, 1);
    pgw_link_close(fixture.link);
    pgw_listener_free(fixture.sidecar);
    close_fixture(&fixture);
}

/* Reports of another engine's sidecar must not be applied to the linked
 * engine, also when they carry no address. */
static void
test_other_engines_sidecar(void)
{
    struct fixture fixture = {.loop = pgw_loop_new(NULL),
                              .timer = {.on_due = on_stop_timer}};
    struct pgw_address address;
    const struct pgw_upstream *upstream;

    g_assert_true(pgw_address_parse(&address, "127.0.0.1:0", NULL));
    fixture.sidecar =
        pgw_listener_new(fixture.loop, &address, on_accept, &fixture, NULL);
    open_fixture(&fixture, pgw_listener_port(fixture.sidecar));
    list_engines(&fixture, 0, 1);
    pgw_loop_run(fixture.loop);
    g_assert_nonnull(fixture.link);
    upstream =
        pgw_upstream_table_find(pgw_gateway_upstreams(fixture.gateway), "e0");
    g_assert_false(upstream->sidecar_is_reporting);
    g_assert_cmpuint(upstream->load.running, ==, 0);
    pgw_link_close(fixture.link);
    pgw_listener_free(fixture.sidecar);
    close_fixture(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/sidecar_links/pool_grows", test_pool_grows);
    g_test_add_func("/sidecar_links/other_engine", test_other_engines_sidecar);
    g_test_add_func("/sidecar_links/reported_pace", test_reported_pace);
    return g_test_run();
}
