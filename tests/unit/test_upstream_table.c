#include "gateway/upstream_table.h"
#include "util/log.h"

#define NOW UINT64_C(100000000)

static struct pgw_upstream *
put(struct pgw_upstream_table *table, const char *id, bool leaving)
{
    struct pgw_upstream_facts facts = {
        .id = id,
        .service = "s",
        .address = "127.0.0.1:1",
        .zone = "a",
        .slots = 4,
        .leaving = leaving,
    };

    return pgw_upstream_table_put(table, &facts);
}

/* A late copy of the list says "ready" of one that is leaving. */
static void
test_leaving_is_sticky(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put(table, "i", true);

    put(table, "i", false);
    g_assert_true(upstream->leaving);
    pgw_upstream_table_free(table);
}

/*
 * An upstream crashes and is back at its address under a new id; the line of
 * the old one has not lapsed yet. Requests go to the new one alone, in
 * whichever order the lines are read.
 */
static void
test_address_belongs_to_the_newest(void)
{
    for (unsigned order = 0; order < 2; order++) {
        struct pgw_upstream_table *table = pgw_upstream_table_new("a");
        struct pgw_upstream_facts facts[] = {
            {.id = "old", .service = "s", .zone = "a", .revision = 3},
            {.id = "new", .service = "s", .zone = "a", .revision = 8},
        };

        facts[0].address = facts[1].address = "127.0.0.1:1";
        pgw_upstream_table_put(table, &facts[order]);
        pgw_upstream_table_put(table, &facts[1 - order]);
        g_assert_nonnull(pgw_upstream_table_find(table, "new"));
        g_assert_null(pgw_upstream_table_find(table, "old"));
        g_assert_cmpuint(pgw_upstream_table_pool(table, "s")->all->len, ==, 1);
        pgw_upstream_table_free(table);
    }
}

static void
test_bad_address_is_not_taken(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream_facts facts = {
        .id = "i", .service = "s", .address = "nowhere", .zone = "a"};

    g_assert_null(pgw_upstream_table_put(table, &facts));
    g_assert_null(pgw_upstream_table_find(table, "i"));
    pgw_upstream_table_free(table);
}

static void
test_removed_stays_for_its_requests(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = pgw_upstream_ref(put(table, "i", false));

    pgw_upstream_table_remove(table, upstream);
    g_assert_null(pgw_upstream_table_find(table, "i"));
    g_assert_cmpuint(pgw_upstream_table_pool(table, "s")->all->len, ==, 0);
    g_assert_true(upstream->removed);
    pgw_upstream_unref(upstream);
    pgw_upstream_table_free(table);
}

/* 5 requests are reported, 2 of them ours; the 3 of others fade in a second,
 * our own are counted exactly. */
static void
test_load_of_others_fades(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put(table, "i", false);
    struct pgw_upstream_load load = {.running = 4, .waiting = 1};

    upstream->inflight = 2;
    pgw_upstream_update_load(upstream, &load, NOW);
    g_assert_cmpuint(pgw_upstream_load_estimate(upstream, NOW), ==, 5);
    upstream->inflight = 1;
    g_assert_cmpuint(pgw_upstream_load_estimate(upstream, NOW), ==, 4);
    g_assert_cmpuint(pgw_upstream_load_estimate(upstream, NOW + 2000000), ==,
                     1);
    pgw_upstream_table_free(table);
}

static void
test_pauses_grow_and_end(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put(table, "i", false);
    uint64_t last = 0;

    for (unsigned i = 0; i < 8; i++) {
        uint64_t pause;

        upstream->avoid_until_us = 0;
        pgw_upstream_record_attempt(upstream, PGW_RESULT_UNREACHABLE, NOW);
        pause = upstream->avoid_until_us - NOW;
        g_assert_cmpuint(pause, >=, last);
        g_assert_cmpuint(pause, <=, 2000000);
        last = pause;
    }
    pgw_upstream_record_attempt(upstream, PGW_RESULT_COMPLETED, NOW);
    g_assert_cmpuint(upstream->failures, ==, 0);
    pgw_upstream_table_free(table);
}

/* Memory goes by blocks of 16 tokens: 96 of a part of 100 tokens are held. */
static void
test_parts(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put(table, "i", false);

    g_assert_false(pgw_upstream_has_part(upstream, 5, 100, true, NOW));
    pgw_upstream_set_cached_part(upstream, 5, 96);
    g_assert_true(pgw_upstream_has_part(upstream, 5, 100, false, NOW));
    g_assert_false(pgw_upstream_has_part(upstream, 5, 200, false, NOW));
    pgw_upstream_set_cached_part(upstream, 5, 0);
    g_assert_false(pgw_upstream_has_part(upstream, 5, 100, false, NOW));
    pgw_recent_parts_add(&upstream->expected, 6, NOW);
    g_assert_true(pgw_upstream_has_part(upstream, 6, 100, true, NOW + 1));
    g_assert_false(pgw_upstream_has_part(upstream, 6, 100, false, NOW + 1));
    pgw_upstream_set_version(upstream, "m", 2);
    g_assert_false(pgw_upstream_has_part(upstream, 6, 100, true, NOW + 1));
    pgw_upstream_table_free(table);
}

static struct pgw_upstream *
put_started(struct pgw_upstream_table *table, uint64_t started_ms,
            bool leaving)
{
    struct pgw_upstream_facts facts = {
        .id = "i",
        .service = "s",
        .address = "127.0.0.1:1",
        .zone = "a",
        .slots = 4,
        .started_ms = started_ms,
        .leaving = leaving,
    };

    return pgw_upstream_table_put(table, &facts);
}

/*
 * An upstream that was leaving, had failed and held parts crashes and starts
 * again under its id. Requests go to it at once and expect nothing of its
 * former process; a line of that one, which comes late, changes nothing.
 */
static void
test_start_under_the_same_id(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put_started(table, 1000, true);
    struct pgw_upstream_load load = {.running = 9, .kv_total = 100};

    pgw_upstream_set_cached_part(upstream, 5, 96);
    pgw_upstream_update_load(upstream, &load, NOW);
    pgw_upstream_record_attempt(upstream, PGW_RESULT_UNREACHABLE, NOW);
    g_assert_true(put_started(table, 2000, false) == upstream);
    g_assert_false(upstream->leaving);
    g_assert_false(pgw_upstream_has_part(upstream, 5, 100, true, NOW));
    g_assert_cmpuint(pgw_upstream_load_estimate(upstream, NOW), ==, 0);
    g_assert_cmpuint(upstream->avoid_until_us, ==, 0);
    put_started(table, 1000, true);
    g_assert_false(upstream->leaving);
    g_assert_cmpuint(upstream->started_ms, ==, 2000);
    pgw_upstream_table_free(table);
}

/*
 * The clock of its machine was set back before it started again: the list says
 * a lower time than before, and so does the process beside it. Both count, and
 * what that process says holds over a line that is behind.
 */
static void
test_start_after_a_clock_step(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put_started(table, 9000, true);

    put_started(table, 4000, false);
    g_assert_cmpuint(upstream->started_ms, ==, 4000);
    g_assert_false(upstream->leaving);
    pgw_upstream_table_set_start(table, upstream, 9000);
    g_assert_cmpuint(upstream->started_ms, ==, 9000);
    put_started(table, 4000, true);
    g_assert_cmpuint(upstream->started_ms, ==, 9000);
    g_assert_false(upstream->leaving);
    pgw_upstream_table_free(table);
}

/* Engines come into the list after their pool was divided: it must stay so, or
 * engines that do not report are weighed as idle. Plain pools are never. */
static void
test_divided_pool_stays_divided(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream_facts facts = {
        .id = "e1",
        .service = "engines",
        .address = "127.0.0.1:1",
        .zone = "a",
        .slots = 4,
        .models = {{(char *)"m", 1}},
        .model_count = 1,
    };

    pgw_upstream_table_put(table, &facts);
    pgw_upstream_table_set_remote_on_request(table, true);
    facts.id = "e2";
    facts.address = "127.0.0.1:2";
    pgw_upstream_table_put(table, &facts);
    g_assert_true(pgw_upstream_table_pool(table, "engines")->divided);
    put(table, "p", false);
    g_assert_false(pgw_upstream_table_pool(table, "s")->divided);
    pgw_upstream_table_set_remote_on_request(table, false);
    g_assert_false(pgw_upstream_table_pool(table, "engines")->divided);
    pgw_upstream_table_free(table);
}

/* Guards against an engine that looks idle long before it has read what it
 * was sent. */
static void
test_unread(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put(table, "i", false);
    struct pgw_upstream_load load = {
        .running = 1, .kv_total = 100000, .long_prefills = 1, .unread = 20000};

    pgw_upstream_update_load(upstream, &load, NOW);
    g_assert_cmpfloat(pgw_upstream_others_pending_tokens(upstream, 40, NOW),
                      ==, 20000);
    g_assert_cmpfloat(
        pgw_upstream_others_pending_tokens(upstream, 40, NOW + 450000), ==,
        2000);
    g_assert_cmpfloat(
        pgw_upstream_others_pending_tokens(upstream, 40, NOW + 600000), ==, 0);
    g_assert_cmpfloat(
        pgw_upstream_others_pending_tokens(upstream, 1, NOW + 2000000), ==, 0);
    pgw_upstream_table_free(table);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/upstream_table/leaving", test_leaving_is_sticky);
    g_test_add_func("/upstream_table/address",
                    test_address_belongs_to_the_newest);
    g_test_add_func("/upstream_table/bad_address",
                    test_bad_address_is_not_taken);
    g_test_add_func("/upstream_table/removed",
                    test_removed_stays_for_its_requests);
    g_test_add_func("/upstream_table/load", test_load_of_others_fades);
    g_test_add_func("/upstream_table/pauses", test_pauses_grow_and_end);
    g_test_add_func("/upstream_table/parts", test_parts);
    g_test_add_func("/upstream_table/same_id", test_start_under_the_same_id);
    g_test_add_func("/upstream_table/clock_step",
                    test_start_after_a_clock_step);
    g_test_add_func("/upstream_table/unread", test_unread);
    g_test_add_func("/upstream_table/divided",
                    test_divided_pool_stays_divided);
    return g_test_run();
}
