#include "gateway/upstream/upstream_notice.h"
#include "gateway/upstream/upstream_table.h"
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

/* An old copy of the list arrives late and shows a draining upstream as ready.
 */
static void
test_leaving_is_permanent(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put(table, "i", true);

    put(table, "i", false);
    g_assert_true(upstream->leaving);
    pgw_upstream_table_free(table);
}

/* Guards against a leaving upstream that is ready again by an old record. */
static void
test_said_leaving_survives_a_lost_record(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put(table, "i", false);

    upstream->stated.leaving = true;
    put(table, "i", false);
    g_assert_false(pgw_upstream_is_usable(upstream, NOW));
    pgw_upstream_table_remove(table, upstream);
    upstream = put(table, "i", false);
    g_assert_false(pgw_upstream_is_usable(upstream, NOW));
    g_assert_true(pgw_upstream_is_usable(put(table, "j", false), NOW));
    pgw_upstream_table_free(table);
}

/* Guards against a backoff that a shorter one ends, or a successor keeps. */
static void
test_backoff_is_kept(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put(table, "i", false);
    struct pgw_notice_origin origin = {.source = "answer"};
    struct pgw_upstream_notice backoff = {.retry_after_us = 5000};

    pgw_upstream_notice_apply(upstream, &backoff, &origin, NOW);
    backoff.retry_after_us = 1000;
    pgw_upstream_notice_apply(upstream, &backoff, &origin, NOW + 1);
    g_assert_cmpuint(upstream->stated.backoff_until_us, ==, NOW + 5000);
    backoff.retry_after_us = 6000;
    pgw_upstream_notice_apply(upstream, &backoff, &origin, NOW + 2);
    g_assert_cmpuint(upstream->stated.backoff_until_us, ==, NOW + 6002);
    pgw_upstream_table_set_start(table, upstream, 5);
    pgw_upstream_table_set_start(table, upstream, 6);
    g_assert_cmpuint(upstream->stated.backoff_until_us, ==, NOW + 6002);
    g_assert_cmpuint(put(table, "j", false)->stated.backoff_until_us, ==, 0);
    pgw_upstream_table_free(table);
}

/* Guards against a limit that is lost with a record, or never ends. */
static void
test_limit_survives_a_lost_record(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put(table, "i", false);
    struct pgw_notice_origin origin = {.source = "answer", .asked_us = 2};
    struct pgw_upstream_notice no_limit = {0};

    pgw_limit_share_set(&upstream->stated.limit, 3, 1);
    pgw_upstream_table_remove(table, upstream);
    upstream = put(table, "i", false);
    g_assert_cmpfloat(upstream->stated.limit.per_s, ==, 3);
    pgw_upstream_table_set_start(table, upstream, 5);
    pgw_upstream_table_set_start(table, upstream, 6);
    g_assert_cmpfloat(upstream->stated.limit.per_s, ==, 3);
    pgw_upstream_notice_apply(upstream, &no_limit, &origin, NOW);
    g_assert_cmpfloat(upstream->stated.limit.per_s, ==, 0);
    pgw_limit_share_set(&upstream->stated.limit, 3, 1);
    pgw_upstream_table_remove(table, upstream);
    g_assert_cmpfloat(put(table, "j", false)->stated.limit.per_s, ==, 0);
    pgw_upstream_table_free(table);
}

/*
 * An upstream crashes and restarts at its address with a new id, before the
 * record of the former process expires. Requests go only to the new upstream,
 * in whichever order the records are read.
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

/* Guards against requests that go to the former address of an upstream that
 * has restarted with the same id elsewhere. */
static void
test_restart_at_another_address(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream_facts former = {.id = "i",
                                        .service = "s",
                                        .zone = "a",
                                        .address = "127.0.0.1:1",
                                        .started_ms = 1000};
    struct pgw_upstream_facts restarted = former;
    struct pgw_upstream *ended =
        pgw_upstream_ref(pgw_upstream_table_put(table, &former));
    struct pgw_upstream *upstream;

    ended->inflight = 3;
    restarted.address = "127.0.0.1:2";
    restarted.started_ms = 2000;
    restarted.revision = 1;
    upstream = pgw_upstream_table_put(table, &restarted);
    g_assert_cmpstr(upstream->address_text, ==, "127.0.0.1:2");
    g_assert_cmpuint(upstream->inflight, ==, 0);
    g_assert_null(pgw_upstream_table_find_address(table, "127.0.0.1:1"));
    g_assert_cmpuint(pgw_upstream_table_pool(table, "s")->all->len, ==, 1);
    /* Requests at the former process end. */
    g_assert_cmpuint(ended->replaced_at_us, >, 0);
    pgw_upstream_unref(ended);
    pgw_upstream_table_free(table);
}

static void
test_malformed_address_is_rejected(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream_facts facts = {
        .id = "i", .service = "s", .address = "nowhere", .zone = "a"};

    g_assert_null(pgw_upstream_table_put(table, &facts));
    g_assert_null(pgw_upstream_table_find(table, "i"));
    pgw_upstream_table_free(table);
}

static void
test_removed_upstream_is_kept_while_referenced(void)
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

/* A report counts 5 requests, 2 of them from this entry. The 3 of other
 * entries decay to zero within a second; the entry's own are counted exactly.
 */
static void
test_load_of_other_entries_decays(void)
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
test_backoff_grows_to_its_limit(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put(table, "i", false);
    uint64_t last = 0;

    for (unsigned i = 0; i < 8; i++) {
        uint64_t backoff;

        upstream->avoid_until_us = 0;
        pgw_upstream_record_attempt(upstream, PGW_RESULT_UNREACHABLE, NOW);
        backoff = upstream->avoid_until_us - NOW;
        g_assert_cmpuint(backoff, >=, last);
        g_assert_cmpuint(backoff, <=, 2000000);
        last = backoff;
    }
    pgw_upstream_record_attempt(upstream, PGW_RESULT_COMPLETED, NOW);
    g_assert_cmpuint(upstream->failures, ==, 0);
    pgw_upstream_table_free(table);
}

/* The KV cache keeps whole blocks of 16 tokens: 96 tokens of a part of 100 are
 * cached. */
static void
test_cached_and_expected_parts(void)
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
 * An upstream that was draining, had failed and had cached parts crashes and
 * restarts with the same id. It is usable at once, and no state of the former
 * process remains. A record of the former process that arrives late changes
 * nothing.
 */
static void
test_restart_with_the_same_id(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put_started(table, 1000, true);
    struct pgw_upstream_load load = {.running = 9, .kv_total = 100};

    pgw_upstream_set_cached_part(upstream, 5, 96);
    pgw_upstream_update_load(upstream, &load, NOW);
    pgw_upstream_set_prefill_rate(upstream, 40, NOW);
    pgw_upstream_record_attempt(upstream, PGW_RESULT_UNREACHABLE, NOW);
    g_assert_true(put_started(table, 2000, false) == upstream);
    g_assert_cmpfloat(pgw_engine_pace_rate(&upstream->pace, 20, NOW), ==, 20);
    g_assert_false(upstream->leaving);
    g_assert_false(pgw_upstream_has_part(upstream, 5, 100, true, NOW));
    g_assert_cmpuint(pgw_upstream_load_estimate(upstream, NOW), ==, 0);
    g_assert_cmpuint(upstream->avoid_until_us, ==, 0);
    put_started(table, 1000, true);
    g_assert_false(upstream->leaving);
    g_assert_cmpuint(upstream->started_ms, ==, 2000);
    pgw_upstream_table_free(table);
}

static void
note_lost(struct pgw_upstream *upstream, void *context)
{
    char **lost = context;

    g_free(*lost);
    *lost = g_strdup(upstream->process);
}

/* Guards against crashes of successive processes under one id that count as
 * one: the loss of a process is that of the former one. */
static void
test_processes_under_one_id(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put_started(table, 1000, false);
    char *lost = NULL;

    pgw_upstream_table_on_lost(table, note_lost, &lost);
    g_assert_cmpstr(upstream->process, ==, "i@1000");
    put_started(table, 2000, false);
    g_assert_cmpstr(lost, ==, "i@1000");
    g_assert_cmpstr(upstream->process, ==, "i@2000");
    put_started(table, 3000, false);
    g_assert_cmpstr(lost, ==, "i@2000");
    g_free(lost);
    pgw_upstream_table_free(table);
}

/* Guards against an answer without the figure, as older upstreams send, or
 * with a wrong one, that ends or changes what the upstream stated before. */
static void
test_stated_slowdown(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put(table, "i", false);
    struct pgw_upstream_load slow = {.slowdown = 4};
    struct pgw_upstream_load unstated = {.running = 3};
    struct pgw_upstream_load invalid = {.running = 5,
                                        .slowdown_is_invalid = true};

    pgw_upstream_update_load(upstream, &slow, NOW);
    pgw_upstream_update_load(upstream, &unstated, NOW);
    pgw_upstream_update_load(upstream, &invalid, NOW);
    g_assert_cmpfloat(pgw_engine_pace_rate(&upstream->pace, 20, NOW), ==, 5);
    g_assert_cmpuint(upstream->load.running, ==, 5);
    g_assert_cmpuint(upstream->pace.ignored, ==, 1);
    pgw_upstream_table_free(table);
}

/*
 * The machine's clock was set back before the upstream restarted, so the list
 * and the sidecar report a lower start time than before. Either counts as a
 * restart, and the sidecar's report overrides an older record of the list.
 */
static void
test_restart_after_clock_was_set_back(void)
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

/* Applies all statements that an upstream can make to one. */
static void
state_everything(struct pgw_upstream *upstream, uint64_t now_us)
{
    struct pgw_notice_origin origin = {.source = "answer", .asked_us = now_us};
    struct pgw_upstream_notice notice = {
        .limit = 3, .leaving = true, .retry_after_us = 5000000};

    pgw_upstream_notice_apply(upstream, &notice, &origin, now_us);
}

static void
assert_statements_kept(const struct pgw_upstream *upstream, uint64_t now_us)
{
    g_assert_cmpfloat(upstream->stated.limit.per_s, ==, 3);
    g_assert_cmpuint(upstream->stated.backoff_until_us, ==, now_us + 5000000);
    g_assert_false(pgw_upstream_is_usable(upstream, now_us));
}

/* Guards against statements that are lost when a restart becomes known. */
static void
test_statements_before_a_known_restart(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put_started(table, 1000, false);
    uint64_t now = (uint64_t)g_get_monotonic_time();

    state_everything(upstream, now);
    g_assert_true(put_started(table, 2000, false) == upstream);
    assert_statements_kept(upstream, now);
    pgw_upstream_table_free(table);
}

/* Guards against statements that a restart of a delisted upstream erases. */
static void
test_statements_before_a_restart_while_delisted(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put_started(table, 1000, false);
    uint64_t now = (uint64_t)g_get_monotonic_time();

    state_everything(upstream, now);
    pgw_upstream_table_remove(table, upstream);
    assert_statements_kept(put_started(table, 2000, false), now);
    pgw_upstream_table_free(table);
}

/* Guards against an upstream that stays unused after its former one left. */
static void
test_leaving_ends_after_a_restart(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put_started(table, 1000, false);
    uint64_t now = (uint64_t)g_get_monotonic_time();

    state_everything(upstream, now);
    put_started(table, 2000, false);
    g_assert_true(pgw_upstream_is_usable(upstream, now + 60000000));
    pgw_upstream_table_free(table);
}

/* An engine is listed after its pool was set to remote reports on request. The
 * pool must keep the setting: otherwise engines that do not report count as
 * idle. Pools of plain services never have it. */
static void
test_new_engine_keeps_remote_on_request(void)
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
    g_assert_true(
        pgw_upstream_table_pool(table, "engines")->remote_on_request);
    put(table, "p", false);
    g_assert_false(pgw_upstream_table_pool(table, "s")->remote_on_request);
    pgw_upstream_table_set_remote_on_request(table, false);
    g_assert_false(
        pgw_upstream_table_pool(table, "engines")->remote_on_request);
    pgw_upstream_table_free(table);
}

/* An engine must not look idle long before it has prefilled the prompts that
 * were sent to it. */
static void
test_pending_tokens_of_others(void)
{
    struct pgw_upstream_table *table = pgw_upstream_table_new("a");
    struct pgw_upstream *upstream = put(table, "i", false);
    struct pgw_upstream_load load = {.running = 1,
                                     .kv_total = 100000,
                                     .long_prefills = 1,
                                     .pending_tokens = 20000};

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
    g_test_add_func("/upstream_table/leaving_is_permanent",
                    test_leaving_is_permanent);
    g_test_add_func("/upstream_table/said_leaving_survives_a_lost_record",
                    test_said_leaving_survives_a_lost_record);
    g_test_add_func("/upstream_table/backoff_is_kept", test_backoff_is_kept);
    g_test_add_func("/upstream_table/limit_survives_a_lost_record",
                    test_limit_survives_a_lost_record);
    g_test_add_func("/upstream_table/address_belongs_to_newest_line",
                    test_address_belongs_to_the_newest);
    g_test_add_func("/upstream_table/restart_at_another_address",
                    test_restart_at_another_address);
    g_test_add_func("/upstream_table/malformed_address_is_rejected",
                    test_malformed_address_is_rejected);
    g_test_add_func("/upstream_table/removed_is_kept_while_referenced",
                    test_removed_upstream_is_kept_while_referenced);
    g_test_add_func("/upstream_table/load_of_others_decays",
                    test_load_of_other_entries_decays);
    g_test_add_func("/upstream_table/statements_before_a_known_restart",
                    test_statements_before_a_known_restart);
    g_test_add_func(
        "/upstream_table/statements_before_a_restart_while_delisted",
        test_statements_before_a_restart_while_delisted);
    g_test_add_func("/upstream_table/leaving_ends_after_a_restart",
                    test_leaving_ends_after_a_restart);
    g_test_add_func("/upstream_table/backoff_grows_to_its_limit",
                    test_backoff_grows_to_its_limit);
    g_test_add_func("/upstream_table/cached_and_expected_parts",
                    test_cached_and_expected_parts);
    g_test_add_func("/upstream_table/restart_with_same_id",
                    test_restart_with_the_same_id);
    g_test_add_func("/upstream_table/processes_under_one_id",
                    test_processes_under_one_id);
    g_test_add_func("/upstream_table/restart_after_clock_set_back",
                    test_restart_after_clock_was_set_back);
    g_test_add_func("/upstream_table/pending_tokens_of_others",
                    test_pending_tokens_of_others);
    g_test_add_func("/upstream_table/new_engine_keeps_remote_on_request",
                    test_new_engine_keeps_remote_on_request);
    g_test_add_func("/upstream_table/stated_slowdown", test_stated_slowdown);
    return g_test_run();
}
