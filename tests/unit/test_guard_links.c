#include "codec.h"
#include "gateway/gateway.h"
#include "gateway/guard_links.h"
#include "util/log.h"

/* Nobody listens there. */
#define PORT 9
#define LATER_US UINT64_C(10000000)

/** struct stage - an entry's links to sidecars that are never reached */
struct stage {
    struct pgw_loop *loop;
    struct pgw_gateway *gateway;
    struct pgw_guard_links *links;
};

static void
open_stage(struct stage *stage)
{
    struct pgw_gateway_options options = {
        .instance = "entry",
        .zone = "a",
        .codec = &platform_codec,
        .budgets = PGW_BUDGETS_OPTIONS_INIT,
        .choose = PGW_CHOOSE_OPTIONS_INIT,
        .poison = PGW_POISON_OPTIONS_INIT,
    };

    g_assert_true(pgw_address_parse(&options.listen, "127.0.0.1:0", NULL));
    stage->loop = pgw_loop_new(NULL);
    stage->gateway = pgw_gateway_new(stage->loop, &options, NULL);
    g_assert_nonnull(stage->gateway);
    stage->links = pgw_guard_links_new(stage->loop, stage->gateway, PORT);
}

static void
close_stage(struct stage *stage)
{
    pgw_guard_links_free(stage->links);
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
    pgw_guard_links_refresh(stage->links);
}

static void
see_all(struct stage *stage, uint64_t now_us)
{
    pgw_list_foreach (
        item, pgw_upstream_table_all(pgw_gateway_upstreams(stage->gateway))) {
        pgw_upstream_note_seen(
            pgw_container_of(item, struct pgw_upstream, in_table), now_us);
    }
}

/* Guards against engines of other zones that count as suspended once their
 * pool has grown so large that their sidecars send no more reports. */
static void
test_pool_grows(void)
{
    struct stage stage;
    uint64_t now = pgw_now_us();

    open_stage(&stage);
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

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/guard_links/pool_grows", test_pool_grows);
    return g_test_run();
}
