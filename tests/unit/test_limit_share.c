#include "gateway/quota/limit_ledger.h"
#include "gateway/quota/limit_share.h"
#include <glib.h>

#define STEP_US 1000
#define ROUND_TRIP_US 3000
#define WINDOW_US 4000000ULL
#define ARRIVALS_MAX 65536

/* Fixed, so that each run plays the same. */
#define SEED 36

static GRand *play_random;
static unsigned ask_count;

/**
 * struct play - entries that send to one upstream at its limit
 * @entries: their number
 * @limit: named limit, requests a second
 * @wanted_per_s: requests a second that one entry has
 * @active: entries that have any; the others send nothing
 * @unreachable: entries that the owner does not answer
 * @restart_us: the owner forgets everything at this interval, 0: never
 * @pause_us: an entry has requests only at every other interval of this
 *   length, 0: always
 */
struct play {
    const char *name;
    unsigned entries;
    double limit;
    double wanted_per_s;
    unsigned active;
    unsigned unreachable;
    uint64_t restart_us;
    uint64_t pause_us;
};

/**
 * struct entry - one simulated entry
 * @answer_at_us: when the owner's answer to its ask arrives, 0: none is
 * awaited
 */
struct entry {
    struct pgw_limit_share share;
    uint64_t answer_at_us;
    struct pgw_limit_answer answer;
};

static void
ask(struct entry *entry, struct pgw_limit_ledger *ledger,
    const struct play *play, bool reachable, uint64_t now_us)
{
    struct pgw_limit_ask message = {
        .upstream = "u",
        .per_s = play->limit,
        .age_us = now_us - entry->share.stated_at_us,
        .wanted = 1,
        .share = (double)(play->entries - play->unreachable) / play->entries,
    };

    if (!reachable) {
        pgw_limit_share_fall_back(&entry->share, play->entries,
                                  g_rand_double(play_random), now_us);
        return;
    }
    if (entry->answer_at_us > 0 || now_us < entry->share.ask_at_us) {
        return;
    }
    pgw_limit_ledger_ask(&entry->answer, ledger, &message, now_us);
    ask_count++;
    entry->answer_at_us = now_us + ROUND_TRIP_US;
}

static void
receive_answer(struct entry *entry, uint64_t now_us)
{
    if (entry->answer_at_us == 0 || now_us < entry->answer_at_us) {
        return;
    }
    entry->answer_at_us = 0;
    pgw_limit_share_grant(&entry->share, entry->answer.granted, now_us);
    entry->share.ask_at_us =
        now_us + (uint64_t)(entry->answer.retry_ms * 1000.0 *
                            (1 + g_rand_double(play_random)));
}

static bool
has_request(const struct play *play, uint64_t now_us)
{
    return (play->pause_us == 0 || now_us / play->pause_us % 2 == 0) &&
           g_rand_double(play_random) < play->wanted_per_s * STEP_US / 1e6;
}

/* Plays 40 s and checks every window of 4 s against the bound of the upstream,
 * and the whole against a half of its limit. */
static void
play_entries(gconstpointer data)
{
    const struct play *play = data;
    struct entry *entries = g_new0(struct entry, play->entries);
    uint64_t *arrivals = g_new0(uint64_t, ARRIVALS_MAX);
    struct pgw_limit_ledger *ledger = pgw_limit_ledger_new();
    double allowed = 1.5 * (double)WINDOW_US / 1e6 * play->limit + 5;
    double wanted =
        play->active * play->wanted_per_s * (play->pause_us == 0 ? 1 : 0.5);
    uint64_t end_us = 41000000;
    size_t count = 0;
    size_t first = 0;

    play_random = g_rand_new_with_seed(SEED);
    ask_count = 0;
    for (unsigned i = 0; i < play->entries; i++) {
        pgw_limit_share_set(&entries[i].share, play->limit, 1);
    }
    for (uint64_t now_us = 1000000; now_us < end_us; now_us += STEP_US) {
        if (play->restart_us > 0 && now_us % play->restart_us == 0) {
            pgw_limit_ledger_free(ledger);
            ledger = pgw_limit_ledger_new();
        }
        for (unsigned i = 0; i < play->active; i++) {
            struct entry *entry = &entries[i];

            receive_answer(entry, now_us);
            if (!has_request(play, now_us)) {
                continue;
            }
            if (!pgw_limit_share_allows(&entry->share, now_us)) {
                ask(entry, ledger, play, i >= play->unreachable, now_us);
                continue;
            }
            pgw_limit_share_take(&entry->share, now_us);
            g_assert_cmpuint(count, <, ARRIVALS_MAX);
            arrivals[count++] = now_us;
            while (arrivals[first] + WINDOW_US < now_us) {
                first++;
            }
            g_assert_cmpfloat((double)(count - first), <=, allowed);
        }
    }
    g_test_message("%s: %.2f of %.2f a second, %u asks a second", play->name,
                   (double)count / 40, play->limit, ask_count / 40);
    /* Control messages of a process: 16 KB/s, 150 bytes an ask and answer;
     * granted asks carry requests and are bounded by the limit. */
    g_assert_cmpfloat(ask_count / 40.0, <=, 16000.0 / 150 + play->limit);
    g_assert_cmpfloat((double)count, >=, 0.5 * 40 * MIN(play->limit, wanted));
    g_rand_free(play_random);
    pgw_limit_ledger_free(ledger);
    g_free(arrivals);
    g_free(entries);
}

/* Guards against a limit that ends for one entry and holds for the others. */
static void
test_newest_statement_holds(void)
{
    struct pgw_limit_ledger *ledger = pgw_limit_ledger_new();
    struct pgw_limit_answer answer;
    struct pgw_limit_ask named = {.upstream = "u",
                                  .per_s = 8,
                                  .age_us = 500000,
                                  .wanted = 1,
                                  .share = 1};
    struct pgw_limit_ask ended = {.upstream = "u", .share = 1};
    uint64_t now_us = 5000000;

    pgw_limit_ledger_ask(&answer, ledger, &named, now_us);
    g_assert_cmpuint(answer.granted, ==, 0);
    g_assert_cmpfloat(answer.per_s, ==, 8);
    pgw_limit_ledger_ask(&answer, ledger, &ended, now_us + 1000);
    named.age_us = 501000 + 1000;
    pgw_limit_ledger_ask(&answer, ledger, &named, now_us + 2000);
    g_assert_cmpfloat(answer.per_s, ==, 0);
    g_assert_cmpuint(answer.age_us, ==, 1000);
    named.age_us = 0;
    named.per_s = 4;
    pgw_limit_ledger_ask(&answer, ledger, &named, now_us + 3000);
    g_assert_cmpfloat(answer.per_s, ==, 4);
    pgw_limit_ledger_free(ledger);
}

/* Guards against grants that a suspended entry uses seconds later. */
static void
test_grants_expire(void)
{
    struct pgw_limit_share share = {0};

    g_assert_true(pgw_limit_share_allows(&share, 1));
    pgw_limit_share_set(&share, 10, 1);
    g_assert_false(pgw_limit_share_allows(&share, 1));
    pgw_limit_share_grant(&share, 2, 1);
    pgw_limit_share_take(&share, 2);
    g_assert_true(pgw_limit_share_allows(&share, 2));
    g_assert_false(
        pgw_limit_share_allows(&share, 2 + PGW_LIMIT_GRANT_VALID_US));
    pgw_limit_share_grant(&share, 1, 2 + PGW_LIMIT_GRANT_VALID_US);
    g_assert_cmpuint(share.grants, ==, 1);
    pgw_limit_share_grant(&share, 3, 2 + PGW_LIMIT_GRANT_VALID_US);
    pgw_limit_share_set(&share, 5, 3);
    g_assert_cmpuint(share.grants, ==, 2);
    pgw_limit_share_set(&share, 0, 3);
    g_assert_true(pgw_limit_share_allows(&share, 3));
}

int
main(int argc, char **argv)
{
    static const struct play plays[] = {
        {.name = "all_send",
         .entries = 5,
         .limit = 7,
         .active = 5,
         .wanted_per_s = 20},
        {.name = "one_sends",
         .entries = 5,
         .limit = 7,
         .active = 1,
         .wanted_per_s = 30},
        {.name = "few_want_little",
         .entries = 5,
         .limit = 7,
         .active = 5,
         .wanted_per_s = 3},
        {.name = "many_entries",
         .entries = 300,
         .limit = 4,
         .active = 300,
         .wanted_per_s = 2},
        {.name = "most_entries",
         .entries = 940,
         .limit = 10,
         .active = 940,
         .wanted_per_s = 1},
        {.name = "large_limit",
         .entries = 80,
         .limit = 200,
         .active = 80,
         .wanted_per_s = 8},
        {.name = "no_owner",
         .entries = 5,
         .limit = 7,
         .active = 5,
         .wanted_per_s = 20,
         .unreachable = 5},
        {.name = "no_owner_many_entries",
         .entries = 300,
         .limit = 4,
         .active = 300,
         .wanted_per_s = 2,
         .unreachable = 300},
        {.name = "no_owner_bursts",
         .entries = 40,
         .limit = 6,
         .active = 40,
         .wanted_per_s = 10,
         .unreachable = 40,
         .pause_us = 2500000},
        {.name = "some_reach_no_owner",
         .entries = 6,
         .limit = 7,
         .active = 6,
         .wanted_per_s = 20,
         .unreachable = 3},
        {.name = "owner_restarts",
         .entries = 5,
         .limit = 7,
         .active = 5,
         .wanted_per_s = 20,
         .restart_us = 1500000},
    };

    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(plays); i++) {
        char *path = g_strconcat("/limit_share/", plays[i].name, NULL);

        g_test_add_data_func(path, &plays[i], play_entries);
        g_free(path);
    }
    g_test_add_func("/limit_share/newest_statement_holds",
                    test_newest_statement_holds);
    g_test_add_func("/limit_share/grants_expire", test_grants_expire);
    return g_test_run();
}
