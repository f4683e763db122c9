#include "gateway/crash/crash_quarantine.h"
#include <string.h>

#define SECOND ((uint64_t)G_USEC_PER_SEC)

struct published {
    struct pgw_crashed_run items[16];
    size_t count;
};

static void
on_crashed(const struct pgw_crashed_run *crashed, size_t count, void *context)
{
    struct published *published = context;

    for (size_t i = 0; i < count; i++) {
        g_assert_cmpuint(published->count, <, G_N_ELEMENTS(published->items));
        published->items[published->count++] = crashed[i];
    }
}

/* Keys of a request without a prompt. */
static struct pgw_crash_keys
make_keys(uint8_t number)
{
    struct pgw_fingerprint request = {{number}};
    struct pgw_crash_keys out;

    pgw_crash_keys_init(&out, &request);
    return out;
}

static struct pgw_crash_quarantine *
quarantine_new(struct published *published)
{
    struct pgw_crash_quarantine_options options =
        PGW_CRASH_QUARANTINE_OPTIONS_INIT;
    struct pgw_crash_quarantine *quarantine =
        pgw_crash_quarantine_new(&options);

    if (published != NULL) {
        pgw_crash_quarantine_subscribe(quarantine, on_crashed, published);
    }
    return quarantine;
}

static void
crash(struct pgw_crash_quarantine *quarantine,
      const struct pgw_crash_keys *keys, const char *upstream, uint64_t now_us)
{
    pgw_crash_quarantine_add_interrupted(quarantine, keys, upstream, now_us);
    pgw_crash_quarantine_add_crash(quarantine, upstream, 0, now_us + 100);
}

/*
 * A request crashes three engines, one after the other, while another caller's
 * request is running beside it in two of the crashes. Only the first request
 * is quarantined.
 */
static void
test_third_crash_quarantines(void)
{
    struct pgw_crash_quarantine *quarantine = quarantine_new(NULL);
    struct pgw_crash_keys faulty = make_keys(1);
    struct pgw_crash_keys unrelated = make_keys(2);

    pgw_crash_quarantine_add_interrupted(quarantine, &unrelated, "a", SECOND);
    crash(quarantine, &faulty, "a", SECOND);
    pgw_crash_quarantine_add_interrupted(quarantine, &unrelated, "b",
                                         2 * SECOND);
    crash(quarantine, &faulty, "b", 2 * SECOND);
    g_assert_false(
        pgw_crash_quarantine_is_active(quarantine, &faulty, 2 * SECOND));
    crash(quarantine, &faulty, "c", 3 * SECOND);
    g_assert_true(
        pgw_crash_quarantine_is_active(quarantine, &faulty, 4 * SECOND));
    g_assert_false(
        pgw_crash_quarantine_is_active(quarantine, &unrelated, 4 * SECOND));
    g_assert_false(
        pgw_crash_quarantine_is_active(quarantine, &faulty, 604 * SECOND));
    pgw_crash_quarantine_free(quarantine);
}

/*
 * Connections break without a crash: an upstream resets some of its answers,
 * or ends long after the connection. Such runs are not counted, and a crash
 * counts once, however many runs of the request it interrupts.
 */
static void
test_only_crashes_count(void)
{
    struct pgw_crash_quarantine *quarantine = quarantine_new(NULL);
    struct pgw_crash_keys faulty = make_keys(1);

    for (unsigned i = 0; i < 9; i++) {
        pgw_crash_quarantine_add_interrupted(quarantine, &faulty, "a",
                                             SECOND + i);
    }
    g_assert_false(
        pgw_crash_quarantine_is_active(quarantine, &faulty, SECOND));
    pgw_crash_quarantine_add_crash(quarantine, "a", 0, 2 * SECOND);
    pgw_crash_quarantine_add_crash(quarantine, "a", 0, 2 * SECOND);
    pgw_crash_quarantine_add_interrupted(quarantine, &faulty, "b", 3 * SECOND);
    pgw_crash_quarantine_add_crash(quarantine, "b", 0, 30 * SECOND);
    pgw_crash_quarantine_add_interrupted(quarantine, &faulty, "c",
                                         31 * SECOND);
    pgw_crash_quarantine_add_crash(quarantine, "c", 0, 32 * SECOND);
    g_assert_false(
        pgw_crash_quarantine_is_active(quarantine, &faulty, 32 * SECOND));
    pgw_crash_quarantine_free(quarantine);
}

/*
 * All upstreams of a service lose power at once, while a popular request is
 * running at each of them. Some of the crashes are detected seconds later. The
 * request must not be quarantined.
 */
static void
test_simultaneous_crashes_count_once(void)
{
    struct pgw_crash_quarantine *quarantine = quarantine_new(NULL);
    struct pgw_crash_keys popular = make_keys(1);
    struct pgw_crashed_run from_other_entry = {
        .fingerprint = popular.items[0], .crash = 99, .age_us = SECOND};

    pgw_crash_quarantine_add_interrupted(quarantine, &popular, "a",
                                         2 * SECOND);
    pgw_crash_quarantine_add_interrupted(quarantine, &popular, "b",
                                         2 * SECOND + 1000);
    pgw_crash_quarantine_add_interrupted(quarantine, &popular, "c",
                                         2 * SECOND + 400000);
    pgw_crash_quarantine_add_crash(quarantine, "a", 0, 2 * SECOND);
    pgw_crash_quarantine_add_crash(quarantine, "b", 0, 5 * SECOND);
    pgw_crash_quarantine_add_crash(quarantine, "c", 0, 8 * SECOND);
    pgw_crash_quarantine_merge(quarantine, &from_other_entry, 1, 3 * SECOND);
    g_assert_false(
        pgw_crash_quarantine_is_active(quarantine, &popular, 8 * SECOND));
    pgw_crash_quarantine_free(quarantine);
}

/* The first quarantine ends after a minute; one more crash starts the next,
 * which lasts ten minutes. */
static void
test_quarantine_grows(void)
{
    struct pgw_crash_quarantine *quarantine = quarantine_new(NULL);
    struct pgw_crash_keys faulty = make_keys(1);

    crash(quarantine, &faulty, "a", SECOND);
    crash(quarantine, &faulty, "b", 2 * SECOND);
    crash(quarantine, &faulty, "c", 3 * SECOND);
    g_assert_true(
        pgw_crash_quarantine_is_active(quarantine, &faulty, 62 * SECOND));
    g_assert_false(
        pgw_crash_quarantine_is_active(quarantine, &faulty, 64 * SECOND));
    crash(quarantine, &faulty, "d", 64 * SECOND);
    g_assert_true(
        pgw_crash_quarantine_is_active(quarantine, &faulty, 663 * SECOND));
    g_assert_false(
        pgw_crash_quarantine_is_active(quarantine, &faulty, 665 * SECOND));
    pgw_crash_quarantine_free(quarantine);
}

static enum pgw_crash_verdict
admit(struct pgw_crash_quarantine *quarantine, uint64_t *trial,
      uint64_t random, uint64_t now_us)
{
    struct pgw_crash_keys fingerprint = make_keys(1);

    return pgw_crash_quarantine_admit(quarantine, &fingerprint, trial, SECOND,
                                      random, now_us);
}

/* Three upstreams crash within 200 ms while they run fingerprint 1. */
static void
crash_at_once(struct pgw_crash_quarantine *quarantine)
{
    struct pgw_crash_keys fingerprint = make_keys(1);

    crash(quarantine, &fingerprint, "a", SECOND);
    crash(quarantine, &fingerprint, "b", SECOND + 100000);
    crash(quarantine, &fingerprint, "c", SECOND + 200000);
}

/* Guards against crashes of one moment that are not counted: the fourth run is
 * a trial, and its interruption starts a quarantine. */
static void
test_crashes_at_once_allow_one_trial(void)
{
    struct pgw_crash_quarantine *quarantine = quarantine_new(NULL);
    struct pgw_crash_keys faulty = make_keys(1);
    uint64_t first = 0;
    uint64_t second = 0;

    crash_at_once(quarantine);
    g_assert_cmpint(admit(quarantine, &first, 7, 4 * SECOND), ==,
                    PGW_CRASH_WAIT);
    g_assert_cmpint(admit(quarantine, &second, 3, 4 * SECOND), ==,
                    PGW_CRASH_WAIT);
    g_assert_cmpint(admit(quarantine, &first, 9, 5 * SECOND), ==,
                    PGW_CRASH_TRIAL);
    pgw_crash_quarantine_start_trial(quarantine, &faulty, first, "z",
                                     9 * SECOND, 5 * SECOND);
    g_assert_cmpint(admit(quarantine, &second, 3, 6 * SECOND), ==,
                    PGW_CRASH_WAIT);
    pgw_crash_quarantine_end_trial(quarantine, &faulty, first,
                                   PGW_TRIAL_FAILED, 6 * SECOND);
    g_assert_cmpint(admit(quarantine, &second, 3, 6 * SECOND), ==,
                    PGW_CRASH_REFUSE);
    g_assert_cmpint(admit(quarantine, &second, 3, 65 * SECOND), ==,
                    PGW_CRASH_REFUSE);
    g_assert_cmpint(admit(quarantine, &second, 3, 67 * SECOND), ==,
                    PGW_CRASH_WAIT);
    pgw_crash_quarantine_free(quarantine);
}

/* Guards against harmless requests that stay suspects after a power loss. */
static void
test_completed_trial_clears(void)
{
    struct pgw_crash_quarantine *quarantine = quarantine_new(NULL);
    struct pgw_crash_keys popular = make_keys(1);
    uint64_t trial = 0;
    uint64_t other = 0;

    crash_at_once(quarantine);
    admit(quarantine, &trial, 7, 4 * SECOND);
    g_assert_cmpint(admit(quarantine, &trial, 8, 5 * SECOND), ==,
                    PGW_CRASH_TRIAL);
    pgw_crash_quarantine_start_trial(quarantine, &popular, trial, "z",
                                     9 * SECOND, 5 * SECOND);
    pgw_crash_quarantine_clear(quarantine, &popular);
    g_assert_cmpint(admit(quarantine, &other, 8, 5 * SECOND), ==,
                    PGW_CRASH_ALLOW);
    g_assert_cmpuint(other, ==, 0);
    pgw_crash_quarantine_free(quarantine);
}

/* Guards against an entry that ends together with the upstream of its trial:
 * a trial without a result counts as interrupted. */
static void
test_trial_without_result_quarantines(void)
{
    struct published published = {0};
    struct pgw_crash_quarantine *local = quarantine_new(&published);
    struct pgw_crash_quarantine *remote = quarantine_new(NULL);
    struct pgw_crash_keys faulty = make_keys(1);
    uint64_t trial = 0;
    uint64_t other = 0;

    crash_at_once(local);
    crash_at_once(remote);
    published.count = 0;
    admit(local, &trial, 7, 4 * SECOND);
    admit(local, &trial, 7, 5 * SECOND);
    pgw_crash_quarantine_start_trial(local, &faulty, trial, "z", 9 * SECOND,
                                     5 * SECOND);
    pgw_crash_quarantine_merge(remote, published.items, published.count,
                               5 * SECOND);
    g_assert_cmpint(admit(remote, &other, 3, 8 * SECOND), ==, PGW_CRASH_WAIT);
    g_assert_cmpint(admit(remote, &other, 3, 10 * SECOND), ==,
                    PGW_CRASH_REFUSE);
    pgw_crash_quarantine_free(local);
    pgw_crash_quarantine_free(remote);
}

/* Guards against an entry that joins during a quarantine and allows a run. */
static void
test_joining_entry_learns_of_quarantine(void)
{
    struct pgw_crash_quarantine *local = quarantine_new(NULL);
    struct pgw_crash_quarantine *joining = quarantine_new(NULL);
    struct pgw_crash_keys faulty = make_keys(1);
    uint64_t trial = 0;
    GArray *known;

    crash_at_once(local);
    admit(local, &trial, 7, 4 * SECOND);
    pgw_crash_quarantine_start_trial(local, &faulty, trial, "z", 9 * SECOND,
                                     5 * SECOND);
    pgw_crash_quarantine_end_trial(local, &faulty, trial, PGW_TRIAL_FAILED,
                                   6 * SECOND);
    known = pgw_crash_quarantine_list(local, 16 * SECOND);
    pgw_crash_quarantine_merge(
        joining, (const struct pgw_crashed_run *)(void *)known->data,
        known->len, 16 * SECOND);
    g_assert_true(
        pgw_crash_quarantine_is_active(joining, &faulty, 65 * SECOND));
    g_assert_false(
        pgw_crash_quarantine_is_active(joining, &faulty, 67 * SECOND));
    g_array_unref(known);
    pgw_crash_quarantine_free(local);
    pgw_crash_quarantine_free(joining);
}

/* Guards against runs that are sent before crashes are confirmed: broken
 * connections to three upstreams are enough for a trial, here and at other
 * entries, until eight seconds have passed without a crash. */
static void
test_interrupted_runs_make_a_suspect(void)
{
    struct published published = {0};
    struct pgw_crash_quarantine *local = quarantine_new(&published);
    struct pgw_crash_quarantine *remote = quarantine_new(NULL);
    struct pgw_crash_keys faulty = make_keys(1);
    uint64_t trial = 0;
    uint64_t other = 0;

    pgw_crash_quarantine_add_interrupted(local, &faulty, "a", SECOND);
    g_assert_cmpuint(published.count, ==, 0);
    pgw_crash_quarantine_add_interrupted(local, &faulty, "b", SECOND);
    g_assert_cmpint(admit(local, &trial, 7, SECOND), ==, PGW_CRASH_ALLOW);
    pgw_crash_quarantine_add_interrupted(local, &faulty, "c", SECOND);
    g_assert_cmpuint(published.count, ==, 3);
    pgw_crash_quarantine_merge(remote, published.items, published.count,
                               SECOND);
    g_assert_cmpint(admit(local, &trial, 7, SECOND), ==, PGW_CRASH_WAIT);
    g_assert_cmpint(admit(remote, &other, 7, SECOND), ==, PGW_CRASH_WAIT);
    g_assert_cmpint(admit(remote, &other, 7, 10 * SECOND), ==,
                    PGW_CRASH_ALLOW);
    pgw_crash_quarantine_free(local);
    pgw_crash_quarantine_free(remote);
}

/* Guards against messages without end: a popular request runs at more
 * upstreams that lose power than a record has room for. */
static void
test_crashes_of_one_moment_are_bounded(void)
{
    struct published published = {0};
    struct pgw_crash_quarantine *quarantine = quarantine_new(&published);

    for (uint64_t i = 1; i <= 33; i++) {
        struct pgw_crashed_run crashed = {.fingerprint = make_keys(1).items[0],
                                          .crash = i};

        pgw_crash_quarantine_merge(quarantine, &crashed, 1, SECOND + i);
    }
    g_assert_cmpuint(published.count, ==, 3);
    pgw_crash_quarantine_free(quarantine);
}

/* The crash is reported before the run's connection breaks. */
static void
test_crash_before_interruption(void)
{
    struct published published = {0};
    struct pgw_crash_quarantine *quarantine = quarantine_new(&published);
    struct pgw_crash_keys faulty = make_keys(1);

    pgw_crash_quarantine_add_crash(quarantine, "a", 0, SECOND);
    g_assert_cmpuint(published.count, ==, 0);
    pgw_crash_quarantine_add_interrupted(quarantine, &faulty, "a", 2 * SECOND);
    g_assert_cmpuint(published.count, ==, 1);
    pgw_crash_quarantine_free(quarantine);
}

/* Guards against reports of each upstream that a power loss ends, from each
 * entry. */
static void
test_upstream_reports_are_bounded(void)
{
    struct published published = {0};
    struct pgw_crash_quarantine *quarantine = quarantine_new(&published);

    for (unsigned i = 0; i < 40; i++) {
        char name[] = {(char)('0' + i), '\0'};

        pgw_crash_quarantine_add_end(quarantine, name, 0, SECOND + i);
    }
    g_assert_cmpuint(published.count, ==, 16);
    g_assert_cmpint(published.items[0].kind, ==, PGW_CRASHED_RUN_UPSTREAM);
    pgw_crash_quarantine_free(quarantine);
}

/* Guards against the crash of a process that is taken for the last crash of
 * another one under its id. */
static void
test_second_crash_under_one_id(void)
{
    struct published published = {0};
    struct pgw_crash_quarantine *quarantine = quarantine_new(&published);

    pgw_crash_quarantine_add_end(quarantine, "a", SECOND, 2 * SECOND);
    pgw_crash_quarantine_add_end(quarantine, "a", SECOND, 3 * SECOND);
    g_assert_false(
        pgw_crash_quarantine_has_crashed_since(quarantine, "a", 3 * SECOND));
    pgw_crash_quarantine_add_end(quarantine, "a", 4 * SECOND, 5 * SECOND);
    g_assert_true(
        pgw_crash_quarantine_has_crashed_since(quarantine, "a", 3 * SECOND));
    g_assert_cmpuint(published.count, ==, 2);
    pgw_crash_quarantine_free(quarantine);
}

/*
 * A popular request was running in three crashes and then completes at one
 * entry. That entry informs the others, and all of them end the quarantine.
 */
static void
test_completed_run_clears(void)
{
    struct published published = {0};
    struct pgw_crash_quarantine *local = quarantine_new(&published);
    struct pgw_crash_quarantine *remote = quarantine_new(NULL);
    struct pgw_crash_keys popular = make_keys(1);

    for (uint64_t i = 1; i <= 3; i++) {
        char name[] = {(char)('a' + i), '\0'};

        published.count = 0;
        crash(local, &popular, name, i * SECOND);
        pgw_crash_quarantine_merge(remote, published.items, published.count,
                                   i * SECOND);
    }
    g_assert_true(
        pgw_crash_quarantine_is_active(remote, &popular, 3 * SECOND));
    published.count = 0;
    pgw_crash_quarantine_clear(local, &popular);
    pgw_crash_quarantine_clear(local, &popular);
    g_assert_cmpuint(published.count, ==, 1);
    pgw_crash_quarantine_merge(remote, published.items, published.count,
                               3 * SECOND);
    g_assert_false(
        pgw_crash_quarantine_is_active(local, &popular, 3 * SECOND));
    g_assert_false(
        pgw_crash_quarantine_is_active(remote, &popular, 3 * SECOND));
    pgw_crash_quarantine_free(local);
    pgw_crash_quarantine_free(remote);
}

/* A known crash is not passed on again: entries in a ring would send it to
 * each other for ever. */
static void
test_published_once(void)
{
    struct published published = {0};
    struct pgw_crash_quarantine *quarantine = quarantine_new(&published);
    struct pgw_crashed_run crashed = {.fingerprint = make_keys(1).items[0],
                                      .crash = 7};
    struct pgw_crashed_run clear = {.fingerprint = make_keys(1).items[0]};
    GArray *known;

    pgw_crash_quarantine_merge(quarantine, &crashed, 1, SECOND);
    pgw_crash_quarantine_merge(quarantine, &crashed, 1, SECOND);
    g_assert_cmpuint(published.count, ==, 1);
    known = pgw_crash_quarantine_list(quarantine, SECOND);
    g_assert_cmpuint(known->len, ==, 1);
    g_array_unref(known);
    pgw_crash_quarantine_merge(quarantine, &clear, 1, SECOND);
    pgw_crash_quarantine_merge(quarantine, &clear, 1, SECOND);
    g_assert_cmpuint(published.count, ==, 2);
    pgw_crash_quarantine_free(quarantine);
}

/* The number of records is limited. Suspects make no room for new keys until
 * their records have expired; what ran in one crash does. */
static void
test_records_are_bounded(void)
{
    struct pgw_crash_quarantine_options options =
        PGW_CRASH_QUARANTINE_OPTIONS_INIT;
    struct pgw_crash_quarantine *quarantine;
    struct pgw_crash_keys latecomer = make_keys(9);
    struct pgw_crash_keys once = make_keys(8);

    options.records_max = 2;
    quarantine = pgw_crash_quarantine_new(&options);
    crash(quarantine, &once, "y", SECOND);
    for (uint8_t i = 1; i < 4; i++) {
        struct pgw_crash_keys each = make_keys(i);

        crash(quarantine, &each, "a", SECOND);
        crash(quarantine, &each, "z", SECOND);
    }
    crash(quarantine, &latecomer, "b", 2 * SECOND);
    crash(quarantine, &latecomer, "c", 3 * SECOND);
    crash(quarantine, &latecomer, "d", 4 * SECOND);
    g_assert_false(
        pgw_crash_quarantine_is_active(quarantine, &latecomer, 4 * SECOND));
    for (uint8_t i = 1; i < 3; i++) {
        struct pgw_crash_keys each = make_keys(i);

        crash(quarantine, &each, "b", 5 * SECOND);
        crash(quarantine, &each, "c", 6 * SECOND);
        g_assert_true(
            pgw_crash_quarantine_is_active(quarantine, &each, 6 * SECOND));
    }
    crash(quarantine, &latecomer, "e", 900 * SECOND);
    crash(quarantine, &latecomer, "f", 901 * SECOND);
    crash(quarantine, &latecomer, "g", 902 * SECOND);
    g_assert_true(
        pgw_crash_quarantine_is_active(quarantine, &latecomer, 902 * SECOND));
    pgw_crash_quarantine_free(quarantine);
}

static enum pgw_crash_verdict
ask(struct pgw_crash_quarantine *quarantine, const struct pgw_crash_keys *keys,
    uint64_t now_us)
{
    uint64_t trial = 0;

    return pgw_crash_quarantine_admit(quarantine, keys, &trial, SECOND, 1,
                                      now_us);
}

/* Abandons a run at each of three upstreams. */
static struct pgw_crash_quarantine *
abandon_three(const struct pgw_crash_keys *keys)
{
    struct pgw_crash_quarantine *quarantine = quarantine_new(NULL);

    pgw_crash_quarantine_add_abandoned(quarantine, keys, "a", SECOND);
    pgw_crash_quarantine_add_abandoned(quarantine, keys, "b", 2 * SECOND);
    pgw_crash_quarantine_add_abandoned(quarantine, keys, "c", 3 * SECOND);
    return quarantine;
}

/* Guards against slow requests that are taken for faulty ones: an abandoned
 * run counts only with a crash, and never quarantines without a trial. */
static void
test_abandoned_runs_count_with_their_crash(void)
{
    struct pgw_crash_keys keys = make_keys(1);
    struct pgw_crash_quarantine *quarantine = abandon_three(&keys);

    g_assert_cmpint(ask(quarantine, &keys, 3 * SECOND), ==, PGW_CRASH_ALLOW);
    pgw_crash_quarantine_add_crash(quarantine, "a", 0, 4 * SECOND);
    pgw_crash_quarantine_add_crash(quarantine, "b", SECOND, 4 * SECOND);
    g_assert_cmpint(ask(quarantine, &keys, 4 * SECOND), ==, PGW_CRASH_ALLOW);
    pgw_crash_quarantine_add_crash(quarantine, "c", 3 * SECOND + SECOND / 2,
                                   4 * SECOND);
    g_assert_cmpint(ask(quarantine, &keys, 4 * SECOND), ==, PGW_CRASH_WAIT);
    g_assert_false(
        pgw_crash_quarantine_is_active(quarantine, &keys, 4 * SECOND));
    pgw_crash_quarantine_free(quarantine);
}

/* Guards against crashes that are held against runs which were over by then.
 */
static void
test_abandoned_runs_end(void)
{
    struct pgw_crash_keys keys = make_keys(1);
    struct pgw_crash_quarantine *quarantine = abandon_three(&keys);

    pgw_crash_quarantine_add_crash(quarantine, "a", 3 * SECOND, 4 * SECOND);
    pgw_crash_quarantine_add_crash(quarantine, "b", 0, 4 * SECOND);
    pgw_crash_quarantine_add_crash(quarantine, "c", 0, 4 * SECOND);
    g_assert_cmpint(ask(quarantine, &keys, 4 * SECOND), ==, PGW_CRASH_ALLOW);
    pgw_crash_quarantine_free(quarantine);

    quarantine = abandon_three(&keys);
    pgw_crash_quarantine_clear(quarantine, &keys);
    pgw_crash_quarantine_add_crash(quarantine, "a", 0, 4 * SECOND);
    pgw_crash_quarantine_add_crash(quarantine, "b", 0, 4 * SECOND);
    pgw_crash_quarantine_add_crash(quarantine, "c", 0, 4 * SECOND);
    g_assert_cmpint(ask(quarantine, &keys, 4 * SECOND), ==, PGW_CRASH_ALLOW);
    pgw_crash_quarantine_free(quarantine);
}

/* An entry whose run was interrupted reports the crash. */
static void
report_interrupted(struct pgw_crash_quarantine *entry,
                   struct published *published,
                   const struct pgw_crash_keys *keys, const char *upstream,
                   uint64_t now_us)
{
    published->count = 0;
    crash(entry, keys, upstream, now_us);
}

/* An entry that has abandoned its run reports the crash as it learns of it. */
static void
report_abandoned(struct pgw_crash_quarantine *entry,
                 struct published *published,
                 const struct pgw_crash_keys *keys, const char *upstream,
                 uint64_t now_us)
{
    pgw_crash_quarantine_add_end(entry, upstream, 0, now_us);
    published->count = 0;
    pgw_crash_quarantine_add_abandoned(entry, keys, upstream, now_us);
}

/* Abandoned runs count by what another entry reports so long after each. */
static void
expect_confirmed(void (*report)(struct pgw_crash_quarantine *entry,
                                struct published *published,
                                const struct pgw_crash_keys *keys,
                                const char *upstream, uint64_t now_us),
                 uint64_t delay_us)
{
    static const char *const upstreams[] = {"a", "b", "c"};
    struct published published = {.count = 0};
    struct pgw_crash_keys faulty = make_keys(1);
    struct pgw_crash_keys beside = make_keys(2);
    struct pgw_crash_quarantine *other = quarantine_new(&published);
    struct pgw_crash_quarantine *quarantine = quarantine_new(NULL);

    for (size_t i = 0; i < G_N_ELEMENTS(upstreams); i++) {
        uint64_t at_us = (i + 1) * SECOND;

        pgw_crash_quarantine_add_abandoned(quarantine, &faulty, upstreams[i],
                                           at_us);
        report(other, &published, &beside, upstreams[i], at_us + delay_us);
        pgw_crash_quarantine_merge(quarantine, published.items,
                                   published.count, at_us + delay_us + 200);
    }
    g_assert_cmpint(ask(quarantine, &faulty, 4 * SECOND + delay_us), ==,
                    PGW_CRASH_WAIT);
    pgw_crash_quarantine_free(quarantine);
    pgw_crash_quarantine_free(other);
}

/* Guards against an entry that never learns that an upstream crashed where
 * only it has abandoned a run. */
static void
test_reports_confirm_abandoned_runs(void)
{
    expect_confirmed(report_interrupted, 0);
}

/* Guards against late reports of a crash that clear what has caused it. */
static void
test_late_reports_confirm_abandoned_runs(void)
{
    expect_confirmed(report_abandoned, 2 * SECOND);
}

/* Guards against the same after an answer that a crash cut. */
static void
test_cut_runs_tell_when_they_were_cut(void)
{
    struct published published = {.count = 0};
    struct pgw_crash_keys keys = make_keys(1);
    struct pgw_crash_quarantine *quarantine = quarantine_new(&published);

    pgw_crash_quarantine_add_end(quarantine, "a", 0, 3 * SECOND);
    published.count = 0;
    pgw_crash_quarantine_add_cut(quarantine, &keys, "a", SECOND, 3 * SECOND);
    g_assert_cmpuint(published.count, ==, 1);
    g_assert_cmpuint(published.items[0].age_us, ==, 2 * SECOND);
    pgw_crash_quarantine_free(quarantine);
}

/* Runs a trial that ends in this way, after what is left of the wait for it.
 * Returns how long the next one has to wait. */
static uint64_t
run_trial(struct pgw_crash_quarantine *quarantine, uint64_t token,
          enum pgw_trial_result result, uint64_t *now_us)
{
    struct pgw_crash_keys keys = make_keys(1);
    uint64_t trial = 0;

    g_assert_cmpint(admit(quarantine, &trial, token, *now_us), ==,
                    PGW_CRASH_WAIT);
    *now_us += SECOND;
    g_assert_cmpint(admit(quarantine, &trial, token, *now_us), ==,
                    PGW_CRASH_TRIAL);
    pgw_crash_quarantine_start_trial(quarantine, &keys, trial, "d",
                                     *now_us + SECOND, *now_us);
    pgw_crash_quarantine_end_trial(quarantine, &keys, trial, result, *now_us);
    return pgw_crash_quarantine_trial_wait_us(quarantine, &keys, *now_us);
}

static void
crash_three(struct pgw_crash_quarantine *quarantine, uint64_t now_us)
{
    struct pgw_crash_keys keys = make_keys(1);

    crash(quarantine, &keys, "a", now_us);
    crash(quarantine, &keys, "b", now_us);
    crash(quarantine, &keys, "c", now_us);
}

/* Guards against trials without a result that follow each other for as long as
 * upstreams refuse them, fail by themselves or are not waited for. */
static void
test_unproven_trials_get_rarer(void)
{
    static const uint64_t waits_us[] = {SECOND, 20 * SECOND, 600 * SECOND,
                                        600 * SECOND};
    struct published published = {.count = 0};
    struct pgw_crash_quarantine *quarantine = quarantine_new(&published);
    uint64_t now_us = SECOND;

    crash_three(quarantine, now_us);
    for (size_t i = 0; i < G_N_ELEMENTS(waits_us); i++) {
        uint64_t trial = 0;

        published.count = 0;
        g_assert_cmpuint(
            run_trial(quarantine, i + 1, PGW_TRIAL_UNPROVEN, &now_us), ==,
            waits_us[i]);
        g_assert_cmpuint(published.items[published.count - 1].trials, ==,
                         i + 1);
        now_us += waits_us[i] - 1;
        g_assert_cmpint(admit(quarantine, &trial, 9, now_us), ==,
                        PGW_CRASH_WAIT);
        g_assert_cmpuint(trial, ==, 0);
        now_us++;
    }
    pgw_crash_quarantine_free(quarantine);
}

/* Guards against a request that is refused for good after trials without a
 * result, though it completes. */
static void
test_completed_run_forgets_trials(void)
{
    struct published published = {.count = 0};
    struct pgw_crash_keys keys = make_keys(1);
    struct pgw_crash_quarantine *quarantine = quarantine_new(&published);
    uint64_t now_us = SECOND;

    crash_three(quarantine, now_us);
    run_trial(quarantine, 1, PGW_TRIAL_UNPROVEN, &now_us);
    pgw_crash_quarantine_clear(quarantine, &keys);
    g_assert_cmpuint(
        pgw_crash_quarantine_trial_wait_us(quarantine, &keys, now_us), ==, 0);
    g_assert_cmpint(ask(quarantine, &keys, now_us), ==, PGW_CRASH_ALLOW);
    pgw_crash_quarantine_free(quarantine);
}

/* A request of its own, with a part that others share if @has_part. */
static struct pgw_crash_keys
keys_of_trial(uint8_t number, bool has_part)
{
    struct pgw_crash_keys keys = make_keys(has_part ? number : 1);

    if (has_part) {
        pgw_crash_keys_add_part(&keys, 7, NULL);
    }
    return keys;
}

/* Returns the number of trials of five minutes after five crashes at once.
 * Bits of @mask: which trials crash their upstreams. */
static unsigned
count_trials(unsigned mask, bool has_part)
{
    struct pgw_crash_quarantine *quarantine = quarantine_new(NULL);
    uint64_t now_us = SECOND;
    unsigned trials = 0;

    for (uint8_t i = 0; i < 5; i++) {
        struct pgw_crash_keys keys = keys_of_trial(i, has_part);
        char name[] = {(char)('a' + i), '\0'};

        crash(quarantine, &keys, name, now_us);
    }
    for (uint64_t step = 0; step < 300; step++) {
        struct pgw_crash_keys keys =
            keys_of_trial((uint8_t)(100 + trials), has_part);
        char name[] = {(char)('A' + trials), '\0'};
        uint64_t trial = 0;

        pgw_crash_quarantine_admit(quarantine, &keys, &trial, SECOND, step + 1,
                                   now_us);
        now_us += SECOND;
        if (trial != 0 &&
            pgw_crash_quarantine_admit(quarantine, &keys, &trial, SECOND,
                                       step + 1, now_us) == PGW_CRASH_TRIAL) {
            bool fails = (mask >> trials & 1) != 0;

            pgw_crash_quarantine_start_trial(quarantine, &keys, trial, name,
                                             now_us + SECOND, now_us);
            if (fails) {
                crash(quarantine, &keys, name, now_us);
            }
            pgw_crash_quarantine_end_trial(
                quarantine, &keys, trial,
                fails ? PGW_TRIAL_FAILED : PGW_TRIAL_UNPROVEN, now_us);
            trials++;
        }
    }
    pgw_crash_quarantine_free(quarantine);
    return trials;
}

/* Guards against a fourth run within minutes where trials without a result and
 * failed ones alternate. */
static void
test_mixed_trials_are_bounded(void)
{
    for (unsigned mask = 0; mask < 16; mask++) {
        g_assert_cmpuint(count_trials(mask, false), <=, 3);
        g_assert_cmpuint(count_trials(mask, true), <=, 3);
    }
}

/* Guards against a part that all requests share and that is held back, since
 * full upstreams refused its trials. */
static void
test_sound_part_is_not_held_back(void)
{
    struct pgw_crash_quarantine *quarantine = quarantine_new(NULL);
    struct pgw_crash_keys sound = keys_of_trial(99, true);
    uint64_t now_us = SECOND;

    pgw_crash_quarantine_clear(quarantine, &sound);
    for (uint8_t i = 0; i < 5; i++) {
        struct pgw_crash_keys keys = keys_of_trial(i, true);
        char name[] = {(char)('a' + i), '\0'};

        crash(quarantine, &keys, name, now_us);
    }
    for (uint8_t i = 0; i < 5; i++) {
        struct pgw_crash_keys keys = keys_of_trial((uint8_t)(100 + i), true);
        uint64_t trial = 0;

        pgw_crash_quarantine_admit(quarantine, &keys, &trial, SECOND, i + 1,
                                   now_us);
        now_us += SECOND;
        g_assert_cmpint(pgw_crash_quarantine_admit(quarantine, &keys, &trial,
                                                   SECOND, i + 1, now_us),
                        ==, PGW_CRASH_TRIAL);
        pgw_crash_quarantine_start_trial(quarantine, &keys, trial, "z",
                                         now_us + SECOND, now_us);
        pgw_crash_quarantine_end_trial(quarantine, &keys, trial,
                                       PGW_TRIAL_UNPROVEN, now_us);
    }
    pgw_crash_quarantine_free(quarantine);
}

/* Guards against an entry that starts a trial at once, since it was not told
 * that the last one of another entry proved nothing. */
static void
test_wait_for_trial_is_shared(void)
{
    struct published published = {.count = 0};
    struct published forwarded = {.count = 0};
    struct pgw_crash_keys keys = make_keys(1);
    struct pgw_crash_quarantine *quarantine = quarantine_new(&published);
    struct pgw_crash_quarantine *other = quarantine_new(&forwarded);
    struct pgw_crash_quarantine *late = quarantine_new(&forwarded);
    GArray *known;
    uint64_t now_us = SECOND;

    crash_three(quarantine, now_us);
    run_trial(quarantine, 1, PGW_TRIAL_UNPROVEN, &now_us);
    pgw_crash_quarantine_merge(other, published.items, published.count,
                               now_us);
    known = pgw_crash_quarantine_list(quarantine, now_us);
    pgw_crash_quarantine_merge(
        late, (const struct pgw_crashed_run *)(void *)known->data, known->len,
        now_us);
    g_assert_cmpuint(pgw_crash_quarantine_trial_wait_us(other, &keys, now_us),
                     ==, SECOND);
    g_assert_cmpuint(pgw_crash_quarantine_trial_wait_us(late, &keys, now_us),
                     ==, SECOND);
    g_array_unref(known);
    pgw_crash_quarantine_free(quarantine);
    pgw_crash_quarantine_free(other);
    pgw_crash_quarantine_free(late);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/crash_quarantine/third_crash_quarantines",
                    test_third_crash_quarantines);
    g_test_add_func("/crash_quarantine/only_crashes_count",
                    test_only_crashes_count);
    g_test_add_func("/crash_quarantine/simultaneous_crashes_count_once",
                    test_simultaneous_crashes_count_once);
    g_test_add_func("/crash_quarantine/length_grows", test_quarantine_grows);
    g_test_add_func("/crash_quarantine/crashes_at_once_allow_one_trial",
                    test_crashes_at_once_allow_one_trial);
    g_test_add_func("/crash_quarantine/completed_trial_clears",
                    test_completed_trial_clears);
    g_test_add_func("/crash_quarantine/trial_without_result_quarantines",
                    test_trial_without_result_quarantines);
    g_test_add_func("/crash_quarantine/joining_entry_learns_of_quarantine",
                    test_joining_entry_learns_of_quarantine);
    g_test_add_func("/crash_quarantine/interrupted_runs_make_a_suspect",
                    test_interrupted_runs_make_a_suspect);
    g_test_add_func("/crash_quarantine/crashes_of_one_moment_are_bounded",
                    test_crashes_of_one_moment_are_bounded);
    g_test_add_func("/crash_quarantine/crash_before_interruption",
                    test_crash_before_interruption);
    g_test_add_func("/crash_quarantine/upstream_reports_are_bounded",
                    test_upstream_reports_are_bounded);
    g_test_add_func("/crash_quarantine/second_crash_under_one_id",
                    test_second_crash_under_one_id);
    g_test_add_func("/crash_quarantine/completed_run_clears",
                    test_completed_run_clears);
    g_test_add_func("/crash_quarantine/published_once", test_published_once);
    g_test_add_func("/crash_quarantine/records_are_bounded",
                    test_records_are_bounded);
    g_test_add_func("/crash_quarantine/abandoned_runs_count_with_their_crash",
                    test_abandoned_runs_count_with_their_crash);
    g_test_add_func("/crash_quarantine/abandoned_runs_end",
                    test_abandoned_runs_end);
    g_test_add_func("/crash_quarantine/reports_confirm_abandoned_runs",
                    test_reports_confirm_abandoned_runs);
    g_test_add_func("/crash_quarantine/late_reports_confirm_abandoned_runs",
                    test_late_reports_confirm_abandoned_runs);
    g_test_add_func("/crash_quarantine/cut_runs_tell_when_they_were_cut",
                    test_cut_runs_tell_when_they_were_cut);
    g_test_add_func("/crash_quarantine/unproven_trials_get_rarer",
                    test_unproven_trials_get_rarer);
    g_test_add_func("/crash_quarantine/completed_run_forgets_trials",
                    test_completed_run_forgets_trials);
    g_test_add_func("/crash_quarantine/mixed_trials_are_bounded",
                    test_mixed_trials_are_bounded);
    g_test_add_func("/crash_quarantine/sound_part_is_not_held_back",
                    test_sound_part_is_not_held_back);
    g_test_add_func("/crash_quarantine/wait_for_trial_is_shared",
                    test_wait_for_trial_is_shared);
    return g_test_run();
}
