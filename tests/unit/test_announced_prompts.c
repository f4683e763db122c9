#include "gateway/upstream/announced_prompts.h"

#define MS UINT64_C(1000)

static void
expect_pending(const struct pgw_announced_prompts *announced, uint64_t tokens,
               uint32_t prompts)
{
    struct pgw_pending_prefill pending =
        pgw_announced_prompts_pending(announced);

    g_assert_cmpuint(pending.tokens, ==, tokens);
    g_assert_cmpuint(pending.prompts, ==, prompts);
}

static void
report(struct pgw_announced_prompts *announced,
       const struct pgw_engine_run *runs, size_t count, uint32_t waiting,
       uint64_t now_us)
{
    pgw_announced_prompts_apply_report(
        announced,
        &(struct pgw_engine_work){
            .runs = runs, .run_count = count, .waiting = waiting},
        now_us);
}

static void
report_unlisted(struct pgw_announced_prompts *announced,
                uint32_t unlisted_runs, uint32_t waiting, uint64_t now_us)
{
    pgw_announced_prompts_apply_report(
        announced,
        &(struct pgw_engine_work){.unlisted_runs = unlisted_runs,
                                  .waiting = waiting},
        now_us);
}

/* Guards against an engine that looks idle while prompts wait in its queue. */
static void
test_prefill_progress(void)
{
    struct pgw_announced_prompts announced;
    struct pgw_engine_run prefilling = {.id = pgw_announced_prompts_id("a")};
    struct pgw_engine_run decoding = {.id = prefilling.id, .events = 1};

    pgw_announced_prompts_init(&announced);
    pgw_announced_prompts_add(&announced, pgw_announced_prompts_id("a"), 5000,
                              0);
    pgw_announced_prompts_add(&announced, pgw_announced_prompts_id("b"), 9000,
                              0);
    expect_pending(&announced, 14000, 2);
    report(&announced, &prefilling, 1, 1, 100 * MS);
    expect_pending(&announced, 14000, 2);
    report(&announced, &decoding, 1, 1, 200 * MS);
    expect_pending(&announced, 9000, 1);
    prefilling.id = pgw_announced_prompts_id("b");
    report(&announced, &prefilling, 1, 0, 300 * MS);
    expect_pending(&announced, 9000, 1);
    report(&announced, NULL, 0, 0, 400 * MS);
    expect_pending(&announced, 0, 0);
    pgw_announced_prompts_dispose(&announced);
}

/* Guards against prompts that stay pending forever because they never reached
 * the engine. */
static void
test_request_never_arrives(void)
{
    struct pgw_announced_prompts announced;

    pgw_announced_prompts_init(&announced);
    pgw_announced_prompts_add(&announced, 1, 5000, 0);
    report(&announced, NULL, 0, 0, 20 * MS);
    expect_pending(&announced, 5000, 1);
    report(&announced, NULL, 0, 0, 100 * MS);
    expect_pending(&announced, 0, 0);
    pgw_announced_prompts_add(&announced, 2, 5000, 0);
    report(&announced, NULL, 0, 3, 2900 * MS);
    expect_pending(&announced, 5000, 1);
    report(&announced, NULL, 0, 3, 3000 * MS);
    expect_pending(&announced, 0, 0);
    pgw_announced_prompts_dispose(&announced);
}

/* Guards against short prompts that are sent behind a long one which the
 * engine prefills but does not list. */
static void
test_unlisted(void)
{
    struct pgw_announced_prompts announced;
    struct pgw_engine_run second = {.id = 2, .events = 1};

    pgw_announced_prompts_init(&announced);
    pgw_announced_prompts_add(&announced, 1, 5000, 0);
    pgw_announced_prompts_add(&announced, 2, 9000, 10 * MS);
    report_unlisted(&announced, 1, 1, 100 * MS);
    expect_pending(&announced, 14000, 2);
    /* A short prompt takes the other one's position in the queue. */
    report_unlisted(&announced, 1, 1, 300 * MS);
    report_unlisted(&announced, 1, 0, 400 * MS);
    expect_pending(&announced, 9000, 1);
    report(&announced, &second, 1, 0, 600 * MS);
    expect_pending(&announced, 0, 0);
    pgw_announced_prompts_add(&announced, 4, 5000, 600 * MS);
    pgw_announced_prompts_end(&announced, 4);
    expect_pending(&announced, 0, 0);
    pgw_announced_prompts_add(&announced, 3, 5000, 690 * MS);
    report_unlisted(&announced, 0, 0, 700 * MS);
    expect_pending(&announced, 5000, 1);
    report_unlisted(&announced, 0, 0, 800 * MS);
    expect_pending(&announced, 0, 0);
    pgw_announced_prompts_dispose(&announced);
}

/* Guards against a flood of announcements that exhausts memory. */
static void
test_bounded(void)
{
    struct pgw_announced_prompts announced;

    pgw_announced_prompts_init(&announced);
    for (uint64_t i = 0; i < 100000; i++) {
        pgw_announced_prompts_add(&announced, i, 2000, 0);
    }
    g_assert_cmpuint(pgw_announced_prompts_pending(&announced).prompts, <=,
                     1024);
    pgw_announced_prompts_clear(&announced);
    expect_pending(&announced, 0, 0);
    pgw_announced_prompts_dispose(&announced);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/announced_prompts/prefill_progress",
                    test_prefill_progress);
    g_test_add_func("/announced_prompts/unlisted", test_unlisted);
    g_test_add_func("/announced_prompts/never_arrives",
                    test_request_never_arrives);
    g_test_add_func("/announced_prompts/bounded", test_bounded);
    return g_test_run();
}
