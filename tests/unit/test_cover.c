#include "gateway/cover/cover_policy.h"
#include "gateway/cover/run_copy.h"
#include "parsleygw/place.h"
#include <string.h>

#define NOW UINT64_C(100000000)
#define MODEL "guide"
#define ENGINES 8

static const struct pgw_cover_options options = PGW_COVER_OPTIONS_INIT;

struct fleet {
    struct pgw_upstream_table *table;
    struct pgw_upstream *engines[ENGINES];
    struct pgw_engine_losses losses;
    struct pgw_cover_input input;
};

/* Engines of two zones, the first half in zone a. */
static void
fleet_init(struct fleet *fleet)
{
    memset(fleet, 0, sizeof(*fleet));
    fleet->table = pgw_upstream_table_new("a");
    for (unsigned i = 0; i < ENGINES; i++) {
        char id[8];
        char address[32];
        struct pgw_upstream_facts facts = {
            .id = id,
            .service = "s",
            .address = address,
            .zone = i < ENGINES / 2 ? "a" : "b",
            .slots = 10,
            .software = "1.0",
            .models = {{(char *)MODEL, 4}},
            .model_count = 1,
        };

        g_snprintf(id, sizeof(id), "u%u", i);
        g_snprintf(address, sizeof(address), "127.0.0.1:%u", i + 1);
        fleet->engines[i] = pgw_upstream_table_put(fleet->table, &facts);
    }
    fleet->input = (struct pgw_cover_input){
        .pool = pgw_upstream_table_pool(fleet->table, "s"),
        .engine = fleet->engines[0],
        .losses = &fleet->losses,
        .service = pgw_place_id_hash("s"),
        .model = MODEL,
        .prompt_tokens = 1000,
        .output_tokens = 100,
        .run_ms = 4000,
        .kv_tokens = 100000,
        .kv_token_bytes = 160000,
        .link_bytes_per_ms = 1e8,
        .prefill_tokens_per_ms = 60,
        .now_us = NOW,
    };
}

static void
lose(struct fleet *fleet, unsigned engine, const char *zone)
{
    pgw_engine_losses_add(&fleet->losses, engine + 1, pgw_place_id_hash("s"),
                          pgw_place_id_hash(zone), NOW);
}

static struct pgw_cover
decide(struct fleet *fleet)
{
    struct pgw_cover cover;

    fleet->input.random++;
    pgw_cover_decide(&cover, &fleet->input, &options);
    return cover;
}

/* Guards against copies of every run: nothing is covered while no engine is
 * lost, and short prompts never are. */
static void
test_covers_what_is_endangered(void)
{
    struct fleet fleet;

    fleet_init(&fleet);
    g_assert_null(decide(&fleet).holder);
    lose(&fleet, 7, "b");
    lose(&fleet, 8, "b");
    g_assert_nonnull(decide(&fleet).holder);
    fleet.input.prompt_tokens = options.min_tokens - 1;
    g_assert_null(decide(&fleet).holder);
    fleet.input.prompt_tokens = 1000;
    fleet.input.now_us = NOW + PGW_ENGINE_LOSS_TIME_US;
    g_assert_null(decide(&fleet).holder);
    pgw_upstream_table_free(fleet.table);
}

/* Guards against transfers that cost more than the run is worth: a long prompt
 * displaces more cached parts, and is covered at a higher risk only; so is a
 * run that ends soon. */
static void
test_cost_exceeds_worth(void)
{
    struct fleet fleet;

    fleet_init(&fleet);
    lose(&fleet, 7, "b");
    fleet.input.prompt_tokens = 20000;
    g_assert_null(decide(&fleet).holder);
    for (unsigned i = 0; i < 7; i++) {
        lose(&fleet, 20 + i, "c");
    }
    g_assert_nonnull(decide(&fleet).holder);
    fleet.input.run_ms = 200;
    g_assert_null(decide(&fleet).holder);
    fleet.input.run_ms = 4000;
    fleet.input.link_bytes_per_ms = 1e6;
    g_assert_null(decide(&fleet).holder);
    fleet.input.link_bytes_per_ms = 0;
    g_assert_nonnull(decide(&fleet).holder);
    pgw_upstream_table_free(fleet.table);
}

/* An engine whose attempts fail has its runs covered. */
static void
test_ill_engine(void)
{
    struct fleet fleet;
    struct pgw_cover cover;

    fleet_init(&fleet);
    fleet.engines[0]->failure_rate = options.ill_failure_rate;
    cover = decide(&fleet);
    g_assert_nonnull(cover.holder);
    g_assert_cmpstr(cover.reason, ==, "engine_ill");
    pgw_upstream_table_free(fleet.table);
}

/* Guards against copies at engines that cannot go on with the run or are about
 * to end themselves. */
static void
test_holder_is_fit(void)
{
    struct fleet fleet;

    fleet_init(&fleet);
    lose(&fleet, 9, "b");
    fleet.engines[1]->models[0].version = 5;
    fleet.engines[2]->software = g_intern_string("2.0");
    fleet.engines[3]->is_next_to_load = true;
    fleet.engines[4]->failures = 1;
    fleet.engines[5]->leaving = true;
    fleet.engines[6]->load.kv_total = 1000;
    for (unsigned i = 0; i < 32; i++) {
        g_assert_true(decide(&fleet).holder == fleet.engines[7]);
    }
    fleet.engines[7]->displaced = true;
    g_assert_null(decide(&fleet).holder);
    fleet.engines[7]->displaced = false;
    fleet.engines[0]->models[0].version = 0;
    g_assert_null(decide(&fleet).holder);
    pgw_upstream_table_free(fleet.table);
}

/* Guards against all copies of all entries at the engine with the most room;
 * those between zones cost more. */
static void
test_holders_are_spread(void)
{
    struct fleet fleet;
    unsigned counts[ENGINES] = {0};

    fleet_init(&fleet);
    lose(&fleet, 9, "c");
    for (unsigned i = 0; i < 300; i++) {
        struct pgw_cover cover = decide(&fleet);

        for (unsigned j = 0; j < ENGINES; j++) {
            counts[j] += cover.holder == fleet.engines[j];
        }
    }
    for (unsigned j = 1; j < ENGINES / 2; j++) {
        g_assert_cmpuint(counts[j], >, 30);
    }
    for (unsigned j = ENGINES / 2; j < ENGINES; j++) {
        g_assert_cmpuint(counts[j], ==, 0);
    }
    pgw_upstream_table_free(fleet.table);
}

/* Guards against copies in a zone that is being lost. */
static void
test_holder_leaves_lost_zone(void)
{
    struct fleet fleet;
    struct pgw_cover cover;

    fleet_init(&fleet);
    for (unsigned i = 0; i < 4; i++) {
        lose(&fleet, 20 + i, "a");
    }
    cover = decide(&fleet);
    g_assert_cmpstr(cover.reason, ==, "zone_lost");
    g_assert_cmpstr(cover.holder->zone, ==, "b");
    pgw_upstream_table_free(fleet.table);
}

/* Several signs of one loss count once. */
static void
test_loss_counts_once(void)
{
    struct pgw_engine_losses losses = {0};

    for (unsigned i = 0; i < 3; i++) {
        pgw_engine_losses_add(&losses, 1, 2, 3, NOW);
    }
    pgw_engine_losses_add(&losses, 4, 2, 5, NOW);
    pgw_engine_losses_add(&losses, 4, 2, 5,
                          NOW + PGW_ENGINE_LOSS_SIGNS_US - 1);
    g_assert_cmpuint(pgw_engine_losses_count(&losses, 2, 0, NOW), ==, 2);
    g_assert_cmpuint(pgw_engine_losses_count(&losses, 2, 3, NOW), ==, 1);
    g_assert_cmpuint(pgw_engine_losses_count(&losses, 9, 0, NOW), ==, 0);
    pgw_engine_losses_add(&losses, 4, 2, 5, NOW + PGW_ENGINE_LOSS_SIGNS_US);
    g_assert_cmpuint(
        pgw_engine_losses_count(&losses, 2, 0, NOW + PGW_ENGINE_LOSS_SIGNS_US),
        ==, 3);
}

/* Guards against a second use of a copy, and against a run that begins again
 * after its holder refused it. */
static void
test_copy_is_used_once(void)
{
    enum pgw_copy_state state = PGW_COPY_NONE;

    g_assert_cmpint(pgw_copy_step(&state, PGW_COPY_LOST), ==,
                    PGW_COPY_PROCEED);
    pgw_copy_step(&state, PGW_COPY_SENT_COVERED);
    g_assert_cmpint(pgw_copy_step(&state, PGW_COPY_NOT_RUN), ==,
                    PGW_COPY_PROCEED);
    pgw_copy_step(&state, PGW_COPY_SENT_COVERED);
    g_assert_cmpint(pgw_copy_step(&state, PGW_COPY_LOST), ==, PGW_COPY_GO_ON);
    pgw_copy_step(&state, PGW_COPY_CONTINUED);
    g_assert_cmpint(pgw_copy_step(&state, PGW_COPY_NOT_RUN), ==,
                    PGW_COPY_FAIL);
    g_assert_cmpint(pgw_copy_step(&state, PGW_COPY_SENT_COVERED), ==,
                    PGW_COPY_FAIL);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/cover/what_is_endangered",
                    test_covers_what_is_endangered);
    g_test_add_func("/cover/cost_exceeds_worth", test_cost_exceeds_worth);
    g_test_add_func("/cover/ill_engine", test_ill_engine);
    g_test_add_func("/cover/holder_is_fit", test_holder_is_fit);
    g_test_add_func("/cover/holders_are_spread", test_holders_are_spread);
    g_test_add_func("/cover/holder_leaves_lost_zone",
                    test_holder_leaves_lost_zone);
    g_test_add_func("/cover/loss_counts_once", test_loss_counts_once);
    g_test_add_func("/cover/copy_is_used_once", test_copy_is_used_once);
    return g_test_run();
}
