#include "gateway/crash/crash_quarantine.h"

#define PART 7
#define SECOND_US ((uint64_t)G_USEC_PER_SEC)
#define UPSTREAMS 6

/*
 * struct pair - two entries that tell each other of crashes
 */
struct pair {
    struct pgw_crash_quarantine *entries[2];
    uint64_t now_us;
};

static struct pgw_crash_keys
keys_of(uint8_t request)
{
    struct pgw_fingerprint fingerprint = {.bytes = {request}};
    struct pgw_crash_keys keys;

    pgw_crash_keys_init(&keys, &fingerprint);
    pgw_crash_keys_add_part(&keys, PART, NULL);
    return keys;
}

static void
on_crashed(const struct pgw_crashed_run *crashed, size_t count, void *context)
{
    pgw_crash_quarantine_merge(context, crashed, count, 21 * SECOND_US);
}

static void
pair_init(struct pair *pair)
{
    const struct pgw_crash_quarantine_options options =
        PGW_CRASH_QUARANTINE_OPTIONS_INIT;

    pair->now_us = 20 * SECOND_US;
    for (size_t i = 0; i < 2; i++) {
        pair->entries[i] = pgw_crash_quarantine_new(&options);
    }
    for (size_t i = 0; i < 2; i++) {
        pgw_crash_quarantine_subscribe(pair->entries[i], on_crashed,
                                       pair->entries[1 - i]);
    }
}

static void
pair_dispose(struct pair *pair)
{
    for (size_t i = 0; i < 2; i++) {
        pgw_crash_quarantine_free(pair->entries[i]);
    }
}

/* All upstreams lose power while they run requests of both entries. */
static void
lose_power(struct pair *pair)
{
    for (unsigned i = 0; i < UPSTREAMS; i++) {
        struct pgw_crash_keys keys = keys_of((uint8_t)(10 + i));
        char name[16];

        g_snprintf(name, sizeof(name), "u%u", i);
        pgw_crash_quarantine_add_interrupted(pair->entries[i % 2], &keys, name,
                                             pair->now_us);
        for (size_t j = 0; j < 2; j++) {
            pgw_crash_quarantine_add_crash(pair->entries[j], name, 0,
                                           pair->now_us);
        }
    }
}

/* The second entry runs a trial, and its upstream crashes. */
static void
fail_trial(struct pair *pair, uint8_t number)
{
    struct pgw_crash_quarantine *entry = pair->entries[1];
    struct pgw_crash_keys keys = keys_of((uint8_t)(100 + number));
    uint64_t trial = 0;
    char name[16];

    g_snprintf(name, sizeof(name), "v%u", number);
    while (pgw_crash_quarantine_admit(entry, &keys, &trial, SECOND_US, number,
                                      pair->now_us) == PGW_CRASH_WAIT) {
        pair->now_us += SECOND_US / 10;
    }
    g_assert_cmpuint(trial, !=, 0);
    pgw_crash_quarantine_start_trial(entry, &keys, trial, name,
                                     pair->now_us + SECOND_US, pair->now_us);
    pgw_crash_quarantine_add_interrupted(entry, &keys, name, pair->now_us);
    pgw_crash_quarantine_end_trial(entry, &keys, trial, PGW_TRIAL_FAILED,
                                   pair->now_us);
    pgw_crash_quarantine_add_crash(entry, name, 0, pair->now_us);
}

static bool
is_refused(const struct pair *pair)
{
    struct pgw_crash_keys keys = keys_of(200);

    return pgw_crash_quarantine_is_active(pair->entries[1], &keys,
                                          pair->now_us);
}

/* Guards against a part that all requests share and that is refused after a
 * power loss, since the entry that judges has not seen a run with it
 * complete. */
static void
test_completed_elsewhere(void)
{
    struct pgw_crash_keys keys = keys_of(1);
    struct pair pair;

    pair_init(&pair);
    pgw_crash_quarantine_clear(pair.entries[0], &keys);
    lose_power(&pair);
    fail_trial(&pair, 1);
    fail_trial(&pair, 2);
    g_assert_false(is_refused(&pair));
    fail_trial(&pair, 3);
    fail_trial(&pair, 4);
    g_assert_true(is_refused(&pair));
    pair_dispose(&pair);
}

/* Guards against a part that never completed and gets the trials of one that
 * did. */
static void
test_completed_nowhere(void)
{
    struct pair pair;

    pair_init(&pair);
    lose_power(&pair);
    fail_trial(&pair, 1);
    g_assert_false(is_refused(&pair));
    fail_trial(&pair, 2);
    g_assert_true(is_refused(&pair));
    pair_dispose(&pair);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/completed_parts/elsewhere", test_completed_elsewhere);
    g_test_add_func("/completed_parts/nowhere", test_completed_nowhere);
    return g_test_run();
}
