#include "gateway/crash_quarantine.h"
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

static struct pgw_fingerprint
make(uint8_t number)
{
    struct pgw_fingerprint out = {{0}};

    out.bytes[0] = number;
    return out;
}

static struct pgw_crash_quarantine *
poison_new(struct published *published)
{
    struct pgw_crash_quarantine_options options =
        PGW_CRASH_QUARANTINE_OPTIONS_INIT;
    struct pgw_crash_quarantine *poison = pgw_crash_quarantine_new(&options);

    if (published != NULL) {
        pgw_crash_quarantine_subscribe(poison, on_crashed, published);
    }
    return poison;
}

static void
crash(struct pgw_crash_quarantine *poison,
      const struct pgw_fingerprint *fingerprint, const char *upstream,
      uint64_t now_us)
{
    pgw_crash_quarantine_add_interrupted(poison, fingerprint, upstream,
                                         now_us);
    pgw_crash_quarantine_add_crash(poison, upstream, now_us + 100);
}

/*
 * One request crashes three engines, one after the other; another caller's
 * request was running beside it in two of the crashes. The first is held back
 * from then on, the other is not.
 */
static void
test_third_crash_holds(void)
{
    struct pgw_crash_quarantine *poison = poison_new(NULL);
    struct pgw_fingerprint bad = make(1);
    struct pgw_fingerprint innocent = make(2);

    pgw_crash_quarantine_add_interrupted(poison, &innocent, "a", SECOND);
    crash(poison, &bad, "a", SECOND);
    pgw_crash_quarantine_add_interrupted(poison, &innocent, "b", 2 * SECOND);
    crash(poison, &bad, "b", 2 * SECOND);
    g_assert_false(pgw_crash_quarantine_is_active(poison, &bad, 2 * SECOND));
    crash(poison, &bad, "c", 3 * SECOND);
    g_assert_true(pgw_crash_quarantine_is_active(poison, &bad, 4 * SECOND));
    g_assert_false(
        pgw_crash_quarantine_is_active(poison, &innocent, 4 * SECOND));
    g_assert_false(pgw_crash_quarantine_is_active(poison, &bad, 604 * SECOND));
    pgw_crash_quarantine_free(poison);
}

/*
 * Connections break without a crash: an upstream that resets some of its
 * answers, or one whose end comes long after. Nothing is counted, and one
 * crash counts once, however often the request was running there.
 */
static void
test_only_crashes_count(void)
{
    struct pgw_crash_quarantine *poison = poison_new(NULL);
    struct pgw_fingerprint bad = make(1);

    for (unsigned i = 0; i < 9; i++) {
        pgw_crash_quarantine_add_interrupted(poison, &bad, "a", SECOND + i);
    }
    g_assert_false(pgw_crash_quarantine_is_active(poison, &bad, SECOND));
    pgw_crash_quarantine_add_crash(poison, "a", 2 * SECOND);
    pgw_crash_quarantine_add_crash(poison, "a", 2 * SECOND);
    pgw_crash_quarantine_add_interrupted(poison, &bad, "b", 3 * SECOND);
    pgw_crash_quarantine_add_crash(poison, "b", 30 * SECOND);
    pgw_crash_quarantine_add_interrupted(poison, &bad, "c", 31 * SECOND);
    pgw_crash_quarantine_add_crash(poison, "c", 32 * SECOND);
    g_assert_false(pgw_crash_quarantine_is_active(poison, &bad, 32 * SECOND));
    pgw_crash_quarantine_free(poison);
}

/*
 * All upstreams of a service lose their power at once. A request that many
 * callers ask for alike was running at each; that some are found dead seconds
 * later changes nothing. It is not held back.
 */
static void
test_one_event(void)
{
    struct pgw_crash_quarantine *poison = poison_new(NULL);
    struct pgw_fingerprint popular = make(1);
    struct pgw_crashed_run far = {popular, 99, SECOND};

    pgw_crash_quarantine_add_interrupted(poison, &popular, "a", 2 * SECOND);
    pgw_crash_quarantine_add_interrupted(poison, &popular, "b",
                                         2 * SECOND + 1000);
    pgw_crash_quarantine_add_interrupted(poison, &popular, "c",
                                         2 * SECOND + 400000);
    pgw_crash_quarantine_add_crash(poison, "a", 2 * SECOND);
    pgw_crash_quarantine_add_crash(poison, "b", 5 * SECOND);
    pgw_crash_quarantine_add_crash(poison, "c", 8 * SECOND);
    pgw_crash_quarantine_merge(poison, &far, 1, 3 * SECOND);
    g_assert_false(
        pgw_crash_quarantine_is_active(poison, &popular, 8 * SECOND));
    pgw_crash_quarantine_free(poison);
}

/* It is let through after a minute, to be held back for two when it crashes
 * the next upstream as well. */
static void
test_held_longer_each_time(void)
{
    struct pgw_crash_quarantine *poison = poison_new(NULL);
    struct pgw_fingerprint bad = make(1);

    crash(poison, &bad, "a", SECOND);
    crash(poison, &bad, "b", 2 * SECOND);
    crash(poison, &bad, "c", 3 * SECOND);
    g_assert_true(pgw_crash_quarantine_is_active(poison, &bad, 62 * SECOND));
    g_assert_false(pgw_crash_quarantine_is_active(poison, &bad, 64 * SECOND));
    crash(poison, &bad, "d", 64 * SECOND);
    g_assert_true(pgw_crash_quarantine_is_active(poison, &bad, 183 * SECOND));
    g_assert_false(pgw_crash_quarantine_is_active(poison, &bad, 185 * SECOND));
    pgw_crash_quarantine_free(poison);
}

/* The word of the crash comes before the run's connection ends. */
static void
test_crash_known_first(void)
{
    struct published published = {0};
    struct pgw_crash_quarantine *poison = poison_new(&published);
    struct pgw_fingerprint bad = make(1);

    pgw_crash_quarantine_add_crash(poison, "a", SECOND);
    g_assert_cmpuint(published.count, ==, 0);
    pgw_crash_quarantine_add_interrupted(poison, &bad, "a", 2 * SECOND);
    g_assert_cmpuint(published.count, ==, 1);
    pgw_crash_quarantine_free(poison);
}

/*
 * A request that many send alike was running in three crashes, at three
 * entries, and ends well at one of them. That one tells the others, and all of
 * them let it pass.
 */
static void
test_good_end_clears(void)
{
    struct published published = {0};
    struct pgw_crash_quarantine *here = poison_new(&published);
    struct pgw_crash_quarantine *there = poison_new(NULL);
    struct pgw_fingerprint popular = make(1);

    for (uint64_t i = 1; i <= 3; i++) {
        char name[] = {(char)('a' + i), '\0'};

        published.count = 0;
        crash(here, &popular, name, i * SECOND);
        pgw_crash_quarantine_merge(there, published.items, published.count,
                                   i * SECOND);
    }
    g_assert_true(pgw_crash_quarantine_is_active(there, &popular, 3 * SECOND));
    published.count = 0;
    pgw_crash_quarantine_clear(here, &popular);
    pgw_crash_quarantine_clear(here, &popular);
    g_assert_cmpuint(published.count, ==, 1);
    pgw_crash_quarantine_merge(there, published.items, published.count,
                               3 * SECOND);
    g_assert_false(pgw_crash_quarantine_is_active(here, &popular, 3 * SECOND));
    g_assert_false(
        pgw_crash_quarantine_is_active(there, &popular, 3 * SECOND));
    pgw_crash_quarantine_free(here);
    pgw_crash_quarantine_free(there);
}

/* What is known already is not passed on again: entries in a ring would tell
 * each other the same for ever. */
static void
test_told_once(void)
{
    struct published published = {0};
    struct pgw_crash_quarantine *poison = poison_new(&published);
    struct pgw_crashed_run crashed = {make(1), 7, 0};
    struct pgw_crashed_run clear = {make(1), 0, 0};
    GArray *known;

    pgw_crash_quarantine_merge(poison, &crashed, 1, SECOND);
    pgw_crash_quarantine_merge(poison, &crashed, 1, SECOND);
    g_assert_cmpuint(published.count, ==, 1);
    known = pgw_crash_quarantine_list(poison, SECOND);
    g_assert_cmpuint(known->len, ==, 1);
    g_array_unref(known);
    pgw_crash_quarantine_merge(poison, &clear, 1, SECOND);
    pgw_crash_quarantine_merge(poison, &clear, 1, SECOND);
    g_assert_cmpuint(published.count, ==, 2);
    pgw_crash_quarantine_free(poison);
}

/* Memory is bounded: what is beyond it is not counted until older records have
 * expired. */
static void
test_bounded(void)
{
    struct pgw_crash_quarantine_options options =
        PGW_CRASH_QUARANTINE_OPTIONS_INIT;
    struct pgw_crash_quarantine *poison;
    struct pgw_fingerprint late = make(9);

    options.records_max = 2;
    poison = pgw_crash_quarantine_new(&options);
    for (uint8_t i = 1; i < 4; i++) {
        struct pgw_fingerprint each = make(i);

        crash(poison, &each, "a", SECOND);
    }
    crash(poison, &late, "b", 2 * SECOND);
    crash(poison, &late, "c", 3 * SECOND);
    crash(poison, &late, "d", 4 * SECOND);
    g_assert_false(pgw_crash_quarantine_is_active(poison, &late, 4 * SECOND));
    crash(poison, &late, "e", 900 * SECOND);
    crash(poison, &late, "f", 901 * SECOND);
    crash(poison, &late, "g", 902 * SECOND);
    g_assert_true(pgw_crash_quarantine_is_active(poison, &late, 902 * SECOND));
    pgw_crash_quarantine_free(poison);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/poison/third_crash_holds", test_third_crash_holds);
    g_test_add_func("/poison/only_crashes_count", test_only_crashes_count);
    g_test_add_func("/poison/one_event", test_one_event);
    g_test_add_func("/poison/held_longer", test_held_longer_each_time);
    g_test_add_func("/poison/crash_known_first", test_crash_known_first);
    g_test_add_func("/poison/good_end_clears", test_good_end_clears);
    g_test_add_func("/poison/told_once", test_told_once);
    g_test_add_func("/poison/bounded", test_bounded);
    return g_test_run();
}
