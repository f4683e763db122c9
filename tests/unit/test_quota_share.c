#include "gateway/quota/quota_share.h"
#include <glib.h>

#define S UINT64_C(1000000)
#define ENTRIES 10

static const struct pgw_quota_limits limits = {1000, 4000, 1};
static const struct pgw_quota_bounds bounds = {8, 0.1, 2000};

static void
apply_level(struct pgw_quota_share *share, double level, uint64_t now_us)
{
    struct pgw_quota_answer answer = {
        .level = level, .wait_ms = level < 0 ? 300 : 0, .retry_ms = 400};

    pgw_quota_share_apply_answer(share, &answer, now_us);
}

static enum pgw_quota_verdict
decide(const struct pgw_quota_share *share, double cost, uint64_t now_us)
{
    return pgw_quota_share_decide(share, &limits, ENTRIES, cost, now_us);
}

/* An entry without a recent level must ask: it could spend units that were
 * already spent elsewhere. */
static void
test_asks_without_recent_level(void)
{
    struct pgw_quota_share share = {0};

    g_assert_cmpint(decide(&share, 10, S), ==, PGW_QUOTA_ASK);
    apply_level(&share, 4000, S);
    g_assert_cmpint(decide(&share, 10, S), ==, PGW_QUOTA_ADMIT);
    g_assert_cmpint(decide(&share, 10, 3 * S), ==, PGW_QUOTA_ASK);
}

/* All entries together must admit only a small share of the bucket without
 * asking. */
static void
test_admits_a_small_share(void)
{
    struct pgw_quota_share share = {0};
    double admitted = 0;

    apply_level(&share, 4000, S);
    g_assert_cmpint(decide(&share, 3000, S), ==, PGW_QUOTA_ASK);
    while (decide(&share, 10, S) == PGW_QUOTA_ADMIT) {
        pgw_quota_share_spend(&share, 10);
        admitted += 10;
    }
    g_assert_cmpfloat(admitted * ENTRIES, <=, 1000);
    g_assert_true(pgw_quota_share_report_is_due(&share, &limits, ENTRIES));
    apply_level(&share, 1999, S);
    g_assert_cmpint(decide(&share, 10, S), ==, PGW_QUOTA_ASK);
}

/* While the owner refuses, entries refuse without asking. */
static void
test_refuses_until_the_owner_grants(void)
{
    struct pgw_quota_share share = {0};

    apply_level(&share, -300, S);
    g_assert_cmpint(decide(&share, 10, S + 299000), ==, PGW_QUOTA_REFUSE);
    g_assert_cmpint(decide(&share, 10, S + 300000), ==, PGW_QUOTA_ASK);
}

/* Entries that reach no owner must together stay below what the bounds allow
 * beyond all that the owner grants to other entries. */
static void
test_local_decisions_stay_in_bounds(void)
{
    double overage = (1000 * 8 + 4000) * 0.1 + 2000;
    struct pgw_quota_share share = {0};
    double admitted = 0;

    for (uint64_t now = S; now < 9 * S; now += 1000) {
        if (pgw_quota_share_decide_locally(&share, &limits, &bounds, ENTRIES,
                                           20, now) == PGW_QUOTA_ADMIT) {
            admitted += 20;
        }
    }
    g_assert_cmpfloat(admitted, >, 0);
    g_assert_cmpfloat(admitted * ENTRIES, <=, overage / 2);
}

/* A lost answer must not cause refusals if the bucket was full a moment ago.
 */
static void
test_no_answer_with_full_bucket(void)
{
    struct pgw_quota_share share = {0};

    apply_level(&share, 4000, S);
    g_assert_cmpint(pgw_quota_share_decide_locally(&share, &limits, &bounds,
                                                   ENTRIES, 3000, S + 40000),
                    ==, PGW_QUOTA_ADMIT);
    pgw_quota_share_spend(&share, 3000);
    g_assert_cmpint(pgw_quota_share_decide_locally(&share, &limits, &bounds,
                                                   ENTRIES, 3000, S + 40000),
                    ==, PGW_QUOTA_REFUSE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/quota_share/no_recent_level",
                    test_asks_without_recent_level);
    g_test_add_func("/quota_share/admits_small_share",
                    test_admits_a_small_share);
    g_test_add_func("/quota_share/refuses",
                    test_refuses_until_the_owner_grants);
    g_test_add_func("/quota_share/local_decisions",
                    test_local_decisions_stay_in_bounds);
    g_test_add_func("/quota_share/no_answer", test_no_answer_with_full_bucket);
    return g_test_run();
}
