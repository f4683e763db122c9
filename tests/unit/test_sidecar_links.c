#include "codec.h"
#include "gateway/gateway.h"
#include "gateway/sidecar_links.h"
#include "libparsleygw/link.h"
#include "util/log.h"
#include <string.h>

/* Nobody listens there. */
#define PORT 9
#define LATER_US UINT64_C(10000000)
/* For so long the entry may take what the sidecar sends. */
#define RUN_US 500000

/**
 * struct stage - an entry's links to sidecars
 * @sidecar: listens as that of one engine; NULL: none is ever reached
 * @link: what has connected to it
 * @timer: ends the loop after the sidecar has sent its reports
 */
struct stage {
    struct pgw_loop *loop;
    struct pgw_gateway *gateway;
    struct pgw_sidecar_links *links;
    struct pgw_listener *sidecar;
    struct pgw_link *link;
    struct pgw_timer timer;
};

static void
open_stage(struct stage *stage, uint16_t port)
{
    struct pgw_gateway_options options = {
        .instance = "entry",
        .zone = "a",
        .codec = &platform_codec,
        .budgets = PGW_RETRY_BUDGETS_OPTIONS_INIT,
        .choose = PGW_CHOOSE_OPTIONS_INIT,
        .poison = PGW_CRASH_QUARANTINE_OPTIONS_INIT,
    };

    g_assert_true(pgw_address_parse(&options.listen, "127.0.0.1:0", NULL));
    stage->gateway = pgw_gateway_new(stage->loop, &options, NULL);
    g_assert_nonnull(stage->gateway);
    stage->links = pgw_sidecar_links_new(stage->loop, stage->gateway, port);
}

static void
close_stage(struct stage *stage)
{
    pgw_sidecar_links_free(stage->links);
    pgw_gateway_free(stage->gateway);
    pgw_loop_free(stage->loop);
}

/* Lists @count engines from @from on, each fifth in the entry's own zone. */
static void
list_engines(struct stage *stage, unsigned from, unsigned count)
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
        pgw_upstream_table_put(pgw_gateway_upstreams(stage->gateway), &facts);
    }
    pgw_sidecar_links_refresh(stage->links);
}

static void
see_all(struct stage *stage, uint64_t now_us)
{
    pgw_list_foreach (
        item, pgw_upstream_table_all(pgw_gateway_upstreams(stage->gateway))) {
        pgw_upstream_mark_seen(
            pgw_container_of(item, struct pgw_upstream, in_table), now_us);
    }
}

/* Guards against engines of other zones that count as suspended once their
 * pool has grown so large that their sidecars send no more reports. */
static void
test_pool_grows(void)
{
    struct stage stage = {.loop = pgw_loop_new(NULL)};
    uint64_t now = pgw_now_us();

    open_stage(&stage, PORT);
    list_engines(&stage, 0, 100);
    see_all(&stage, now);
    list_engines(&stage, 100, 60);
    pgw_list_foreach (
        item, pgw_upstream_table_all(pgw_gateway_upstreams(stage.gateway))) {
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
    close_stage(&stage);
}

static bool
on_frame(struct pgw_link *link, enum pgw_frame_type type,
         ProtobufCMessage *message, void *context)
{
    Pgw__EngineState other = PGW__ENGINE_STATE__INIT;
    Pgw__EngineState nameless = PGW__ENGINE_STATE__INIT;
    struct stage *stage = context;

    (void)message;
    if (type == PGW_FRAME_HELLO) {
        other.address = (char *)"127.0.0.1:1";
        other.alive = true;
        nameless.alive = true;
        nameless.running = 6;
        pgw_link_send(link, PGW_FRAME_ENGINE_STATE, &other.base);
        pgw_link_send(link, PGW_FRAME_ENGINE_STATE, &nameless.base);
        pgw_timer_start(stage->loop, &stage->timer, RUN_US);
    }
    return false;
}

static void
on_closed(struct pgw_link *link, const GError *error, void *context)
{
    struct stage *stage = context;

    (void)link;
    (void)error;
    stage->link = NULL;
}

static const struct pgw_link_ops ops = {
    .on_frame = on_frame,
    .on_closed = on_closed,
};

static void
on_accept(int fd, void *context)
{
    struct stage *stage = context;

    stage->link = pgw_link_accept(stage->loop, fd, &ops, stage, NULL);
}

static void
stop_due(struct pgw_timer *timer)
{
    pgw_loop_stop(pgw_container_of(timer, struct stage, timer)->loop);
}

/* Guards against a sidecar of another engine whose reports, once they name no
 * engine, count for the one that it was taken for. */
static void
test_other_engines_sidecar(void)
{
    struct stage stage = {.loop = pgw_loop_new(NULL),
                          .timer = {.on_due = stop_due}};
    struct pgw_address address;
    const struct pgw_upstream *upstream;

    g_assert_true(pgw_address_parse(&address, "127.0.0.1:0", NULL));
    stage.sidecar =
        pgw_listener_new(stage.loop, &address, on_accept, &stage, NULL);
    open_stage(&stage, pgw_listener_port(stage.sidecar));
    list_engines(&stage, 0, 1);
    pgw_loop_run(stage.loop);
    g_assert_nonnull(stage.link);
    upstream =
        pgw_upstream_table_find(pgw_gateway_upstreams(stage.gateway), "e0");
    g_assert_false(upstream->sidecar_is_reporting);
    g_assert_cmpuint(upstream->load.running, ==, 0);
    pgw_link_close(stage.link);
    pgw_listener_free(stage.sidecar);
    close_stage(&stage);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/guard_links/pool_grows", test_pool_grows);
    g_test_add_func("/guard_links/other_engine", test_other_engines_sidecar);
    return g_test_run();
}
