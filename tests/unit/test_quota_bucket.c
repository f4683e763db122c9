#include "gateway/quota/quota_bucket.h"
#include <glib.h>

#define S UINT64_C(1000000)

static struct pgw_quota_buckets *
full_buckets(void)
{
    struct pgw_quota_buckets_options options = PGW_QUOTA_BUCKETS_OPTIONS_INIT;

    options.full_until_us = UINT64_MAX;
    return pgw_quota_buckets_new(&options);
}

static struct pgw_quota_request
request_of(double cost)
{
    return (struct pgw_quota_request){
        .workspace = 7,
        .limits = {.rate = 1000, .burst = 2000, .version = 3},
        .cost = cost,
        .share = 1,
    };
}

static struct pgw_quota_answer
ask(struct pgw_quota_buckets *buckets, double cost, uint64_t now_us)
{
    struct pgw_quota_request request = request_of(cost);
    struct pgw_quota_answer answer;

    pgw_quota_buckets_handle_request(&answer, buckets, &request, now_us);
    return answer;
}

/* A prompt that costs more than a full bucket must be granted, and must
 * overdraw the bucket. */
static void
test_long_prompt_overdraws(void)
{
    struct pgw_quota_buckets *buckets = full_buckets();
    struct pgw_quota_answer answer = ask(buckets, 5000, S);

    g_assert_cmpfloat(answer.granted, ==, 5000);
    g_assert_cmpfloat(answer.level, ==, -3000);
    g_assert_cmpuint(answer.wait_ms, ==, 2000);
    answer = ask(buckets, 1, 3 * S);
    g_assert_cmpfloat(answer.granted, ==, 0);
    answer = ask(buckets, 1, 4 * S + 1000);
    g_assert_cmpfloat(answer.granted, ==, 1);
    pgw_quota_buckets_free(buckets);
}

/* An owner that starts must not grant a whole burst: another owner may have
 * granted it just before. */
static void
test_new_owner_starts_low(void)
{
    struct pgw_quota_buckets_options options = PGW_QUOTA_BUCKETS_OPTIONS_INIT;
    struct pgw_quota_buckets *buckets;
    struct pgw_quota_answer answer;

    options.bounds = (struct pgw_quota_bounds){8, 0.1, 500};
    buckets = pgw_quota_buckets_new(&options);
    answer = ask(buckets, 0, S);
    g_assert_cmpfloat(answer.level, ==, 600);
    answer = ask(buckets, 0, 2 * S);
    g_assert_cmpfloat(answer.level, ==, 1200);
    answer = ask(buckets, 0, 4 * S);
    g_assert_cmpfloat(answer.level, ==, 2000);
    pgw_quota_buckets_free(buckets);
}

/* After a restart of the whole deployment no other owner can be granting, so
 * callers must not be refused as if one were. Units spent after the restart
 * still count. */
static void
test_restart_of_all(void)
{
    struct pgw_quota_buckets_options options = PGW_QUOTA_BUCKETS_OPTIONS_INIT;
    struct pgw_quota_buckets *buckets;
    struct pgw_quota_request request = request_of(0);
    struct pgw_quota_answer answer;

    options.bounds = (struct pgw_quota_bounds){8, 0.1, 500};
    buckets = pgw_quota_buckets_new(&options);
    request.restarted = true;
    pgw_quota_buckets_handle_request(&answer, buckets, &request, S);
    g_assert_cmpfloat(answer.level, ==, 1200);
    pgw_quota_buckets_handle_request(&answer, buckets, &request, S + S / 2);
    g_assert_cmpfloat(answer.level, ==, 1700);
    pgw_quota_buckets_free(buckets);
}

/* Entries with an older configuration must not revert a lowered quota. */
static void
test_newest_limits_apply(void)
{
    struct pgw_quota_buckets *buckets = full_buckets();
    struct pgw_quota_request lowered = request_of(0);
    struct pgw_quota_answer answer = ask(buckets, 0, S);

    g_assert_cmpfloat(answer.level, ==, 2000);
    lowered.limits = (struct pgw_quota_limits){100, 200, 4};
    pgw_quota_buckets_handle_request(&answer, buckets, &lowered, S);
    g_assert_cmpfloat(answer.level, ==, 200);
    answer = ask(buckets, 150, 2 * S);
    g_assert_cmpfloat(answer.level, ==, 50);
    answer = ask(buckets, 0, 3 * S);
    g_assert_cmpfloat(answer.level, ==, 150);
    pgw_quota_buckets_free(buckets);
}

/* Callers that were refused together must not all retry at the same time, and
 * units given back must be available to others. */
static void
test_retry_times_are_spread(void)
{
    struct pgw_quota_buckets *buckets = full_buckets();
    struct pgw_quota_request back = request_of(0);
    struct pgw_quota_answer answer = ask(buckets, 2000, S);
    uint32_t first = ask(buckets, 500, S).retry_ms;

    g_assert_cmpuint(first, ==, 500);
    g_assert_cmpuint(ask(buckets, 500, S).retry_ms, ==, 1000);
    g_assert_cmpuint(ask(buckets, 5000, S).retry_ms, ==, 2000);
    back.spent = -2000;
    pgw_quota_buckets_handle_request(&answer, buckets, &back, S);
    g_assert_cmpfloat(answer.level, ==, 2000);
    pgw_quota_buckets_free(buckets);
}

/* Guards against refusing short requests because of long prompts: a workspace
 * requests twice its quota, while its short requests alone are within it. */
static void
test_short_requests_pass(void)
{
    struct pgw_quota_buckets *buckets = full_buckets();
    struct pgw_quota_request request = request_of(0);
    unsigned granted[2] = {0};
    unsigned requested[2] = {0};
    double units = 0;
    const unsigned seconds = 30;

    request.limits = (struct pgw_quota_limits){47000, 47000, 3};
    for (unsigned ms = 0; ms < seconds * 1000; ms += 10) {
        for (unsigned is_long = 0; is_long <= (ms % 330 == 0); is_long++) {
            struct pgw_quota_answer answer;

            request.cost = is_long ? 17020 : 388;
            pgw_quota_buckets_handle_request(&answer, buckets, &request,
                                             S + ms * UINT64_C(1000));
            requested[is_long]++;
            granted[is_long] += answer.granted > 0;
            units += answer.granted;
        }
    }
    g_assert_cmpuint(granted[0] * 100, >=, requested[0] * 99);
    g_assert_cmpuint(granted[1], >, 0);
    /* All of the quota is used except what is saved up for one long prompt. */
    g_assert_cmpfloat(units, >, 47000.0 * seconds - 17020);
    g_assert_cmpfloat(units, <=, 47000.0 * seconds + 47000);
    pgw_quota_buckets_free(buckets);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/quota_bucket/short_requests", test_short_requests_pass);
    g_test_add_func("/quota_bucket/overdraft", test_long_prompt_overdraws);
    g_test_add_func("/quota_bucket/new_owner", test_new_owner_starts_low);
    g_test_add_func("/quota_bucket/restart_of_all", test_restart_of_all);
    g_test_add_func("/quota_bucket/newest_limits", test_newest_limits_apply);
    g_test_add_func("/quota_bucket/retry_times", test_retry_times_are_spread);
    return g_test_run();
}
