#include "gateway/quota_share.h"
#include <glib.h>
#include <math.h>
#include <string.h>

/*
 * Entries and the owner of a workspace's quota, played without a network: each
 * request comes to one of the entries, and words between entries and owner
 * take their time. What ran is held against the bounds that the operator sets.
 */

#define MS UINT64_C(1000)
#define ENTRIES 31
/* A way and a turn of a busy process, each way. */
#define WAY_US (5 * MS)
#define WAIT_US (40 * MS)
#define REPORT_US (250 * MS)
#define PLAY_US (40000 * MS)
/* Drawn schedules, and the length of each. */
#define SCHEDULES 150
#define SCHEDULE_US (24000 * MS)

static const struct pgw_quota_bounds bounds = {8, 0.1, 190000};

/* A word on its way; @cost 0: a report. */
struct word {
    uint64_t at_us;
    uint64_t asked_us;
    unsigned entry;
    bool is_answer;
    bool lost;
    struct pgw_quota_request request;
    struct pgw_quota_answer answer;
};

struct run {
    uint64_t at_us;
    double tokens;
};

/**
 * struct play - what happens
 * @limits: the quota
 * @load: tokens a second that are asked for
 * @restart_us: the owner starts again then, 0: never
 * @restart_all: with all entries
 * @cut_from_us: from then on some entries reach nobody,
 * @cut_until_us: until then,
 * @cut: these many
 * @length_us: how long it lasts, 0: %PLAY_US
 * @way_us: a way takes up to so much, 0: always %WAY_US
 * @lost_in: one word in so many is lost, 0: none
 * @suspended: the entry that stands still
 * @suspended_from_us: from then on
 * @suspended_until_us: until then
 */
struct play {
    struct pgw_quota_limits limits;
    double load;
    uint64_t restart_us;
    bool restart_all;
    bool restarted;
    uint64_t cut_from_us;
    uint64_t cut_until_us;
    unsigned cut;
    uint64_t length_us;
    uint64_t way_us;
    unsigned lost_in;
    unsigned suspended;
    uint64_t suspended_from_us;
    uint64_t suspended_until_us;
    GRand *random;
    struct pgw_quota_buckets *owner;
    struct pgw_quota_share shares[ENTRIES];
    uint64_t reported_us[ENTRIES];
    GQueue *words;
    GArray *runs;
    double asked;
    double refused;
};

static bool
is_cut(const struct play *play, unsigned entry, uint64_t now_us)
{
    return entry < play->cut && now_us >= play->cut_from_us &&
           now_us < play->cut_until_us;
}

static void
note_run(struct play *play, double tokens, uint64_t now_us)
{
    struct run run = {now_us, tokens};

    g_array_append_val(play->runs, run);
}

static uint64_t
way(struct play *play)
{
    return play->way_us == 0
               ? WAY_US
               : MS * (uint64_t)g_rand_int_range(play->random, 1,
                                                 (int)(play->way_us / MS) + 1);
}

static void
send_word(struct play *play, unsigned entry, double cost, uint64_t now_us)
{
    struct word *word = g_new0(struct word, 1);

    word->at_us = now_us + way(play);
    word->asked_us = now_us;
    word->entry = entry;
    word->lost = is_cut(play, entry, now_us) ||
                 (play->lost_in > 0 &&
                  g_rand_int_range(play->random, 0, (int)play->lost_in) == 0);
    word->request = (struct pgw_quota_request){
        .workspace = 1,
        .limits = play->limits,
        .cost = cost,
        .share = 1,
        .restarted = play->restarted,
    };
    pgw_quota_share_take_unreported(&play->shares[entry], &word->request);
    g_queue_push_tail(play->words, word);
}

static void
spend(struct play *play, unsigned entry, double tokens, uint64_t now_us)
{
    struct pgw_quota_share *share = &play->shares[entry];

    pgw_quota_share_spend(share, tokens);
    if (pgw_quota_share_report_is_due(share, &play->limits, ENTRIES)) {
        send_word(play, entry, 0, now_us);
    }
}

static void
decide_alone(struct play *play, unsigned entry, double tokens, uint64_t now_us)
{
    if (pgw_quota_share_decide_locally(&play->shares[entry], &play->limits,
                                       &bounds, ENTRIES, tokens,
                                       now_us) == PGW_QUOTA_ADMIT) {
        note_run(play, tokens, now_us);
        spend(play, entry, tokens, now_us);
        return;
    }
    play->refused += tokens;
}

/* Returns whether the word is done with; an answer goes back. */
static bool
take_word(struct play *play, struct word *word, uint64_t now_us)
{
    struct pgw_quota_share *share = &play->shares[word->entry];

    if (word->lost) {
        if (now_us - word->asked_us < WAIT_US) {
            word->at_us = word->asked_us + WAIT_US;
            return false;
        }
        if (word->request.cost > 0) {
            decide_alone(play, word->entry, word->request.cost, now_us);
        }
        return true;
    }
    if (!word->is_answer) {
        pgw_quota_buckets_handle_request(&word->answer, play->owner,
                                         &word->request, now_us);
        word->is_answer = true;
        word->at_us = now_us + way(play);
        return false;
    }
    pgw_quota_share_apply_answer(share, &word->answer, now_us);
    if (word->answer.granted > 0) {
        note_run(play, word->request.cost, now_us);
    }
    else {
        play->refused += word->request.cost;
    }
    return true;
}

static bool
is_suspended(const struct play *play, unsigned entry, uint64_t now_us)
{
    return entry == play->suspended && now_us >= play->suspended_from_us &&
           now_us < play->suspended_until_us;
}

static void
take_words(struct play *play, uint64_t now_us)
{
    unsigned count = g_queue_get_length(play->words);

    for (unsigned i = 0; i < count; i++) {
        struct word *word = g_queue_pop_head(play->words);

        if (word->at_us > now_us ||
            (is_suspended(play, word->entry, now_us) && word->is_answer) ||
            !take_word(play, word, now_us)) {
            g_queue_push_tail(play->words, word);
        }
        else {
            g_free(word);
        }
    }
}

static void
request_comes(struct play *play, unsigned entry, double tokens,
              uint64_t now_us)
{
    struct pgw_quota_share *share = &play->shares[entry];

    if (is_suspended(play, entry, now_us)) {
        return;
    }
    play->asked += tokens;
    switch (pgw_quota_share_decide(share, &play->limits, ENTRIES, tokens,
                                   now_us)) {
    case PGW_QUOTA_ADMIT:
        note_run(play, tokens, now_us);
        spend(play, entry, tokens, now_us);
        break;
    case PGW_QUOTA_ASK:
        send_word(play, entry, tokens, now_us);
        break;
    case PGW_QUOTA_REFUSE:
        play->refused += tokens;
        share->refused += tokens;
        break;
    }
}

static void
begin_owner(struct play *play, bool first)
{
    struct pgw_quota_buckets_options options = PGW_QUOTA_BUCKETS_OPTIONS_INIT;

    options.bounds = bounds;
    options.full_until_us = first ? 20000 * MS : 0;
    pgw_quota_buckets_free(play->owner);
    play->owner = pgw_quota_buckets_new(&options);
}

/* Long prompts have half of the tokens, short ones the other half. */
static void
run_play(struct play *play)
{
    uint64_t end = play->length_us == 0 ? PLAY_US : play->length_us;
    double due[2] = {0, 0};
    const double sizes[2] = {17000, 390};

    if (play->random == NULL) {
        play->random = g_rand_new_with_seed(42);
    }
    play->words = g_queue_new();
    play->runs = g_array_new(FALSE, FALSE, sizeof(struct run));
    begin_owner(play, true);
    for (uint64_t now = MS; now < end; now += MS) {
        if (play->restart_us > 0 && now == play->restart_us) {
            begin_owner(play, false);
            play->restarted = play->restart_all;
            if (play->restart_all) {
                memset(play->shares, 0, sizeof(play->shares));
            }
        }
        take_words(play, now);
        for (size_t kind = 0; kind < 2; kind++) {
            for (due[kind] += play->load / 2 / 1000; due[kind] > 0;) {
                double tokens =
                    sizes[kind] * g_rand_double_range(play->random, 0.2, 1.8);

                due[kind] -= tokens;
                request_comes(
                    play, (unsigned)g_rand_int_range(play->random, 0, ENTRIES),
                    tokens, now);
            }
        }
        for (unsigned i = 0; i < ENTRIES; i++) {
            if (now - play->reported_us[i] >= REPORT_US &&
                play->shares[i].unreported > 0) {
                play->reported_us[i] = now;
                send_word(play, i, 0, now);
            }
        }
    }
}

/* Most tokens that ran in any window of the bound's length. */
static double
most_in_window(const struct play *play)
{
    uint64_t window = (uint64_t)(bounds.window_s * 1000) * MS;
    double sum = 0;
    double most = 0;
    unsigned first = 0;

    for (unsigned i = 0; i < play->runs->len; i++) {
        const struct run *run = &g_array_index(play->runs, struct run, i);

        sum += run->tokens;
        while (g_array_index(play->runs, struct run, first).at_us + window <
               run->at_us) {
            sum -= g_array_index(play->runs, struct run, first++).tokens;
        }
        most = MAX(most, sum);
    }
    return most;
}

static double
allowed(const struct play *play)
{
    return (play->limits.rate * bounds.window_s + play->limits.burst) *
               (1 + bounds.overage) +
           bounds.slack;
}

static double
tokens_run(const struct play *play)
{
    double sum = 0;

    for (unsigned i = 0; i < play->runs->len; i++) {
        sum += g_array_index(play->runs, struct run, i).tokens;
    }
    return sum;
}

static void
end_play(struct play *play)
{
    g_rand_free(play->random);
    g_queue_free_full(play->words, g_free);
    g_array_unref(play->runs);
    pgw_quota_buckets_free(play->owner);
}

static void
check_bound(struct play *play)
{
    run_play(play);
    g_assert_cmpfloat(most_in_window(play), <=, allowed(play));
}

/* A workspace that asks for four times its quota gets all of the quota, and no
 * more than the bounds allow, whether it is the largest or the smallest. */
static void
test_hot_workspace(void)
{
    const double rates[] = {604586, 47000};

    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        struct play play = {.limits = {rates[i], rates[i], 1},
                            .load = rates[i] * 4.2};

        check_bound(&play);
        g_assert_cmpfloat(tokens_run(&play), >=,
                          0.95 * rates[i] * PLAY_US / 1e6);
        end_play(&play);
    }
}

/* A workspace that stays below its quota is never refused. */
static void
test_below_the_quota(void)
{
    const double rates[] = {604586, 300000};

    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        struct play play = {.limits = {rates[i], rates[i], 1},
                            .load = rates[i] * 0.55};

        check_bound(&play);
        g_assert_cmpfloat(play.refused, ==, 0);
        end_play(&play);
    }
}

/* The owner starts again in the middle of the crowd, alone or with all
 * entries: what it gave out before must not be given out a second time. */
static void
test_owner_restarts(void)
{
    const double rates[] = {604586, 47000};

    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        for (unsigned all = 0; all < 2; all++) {
            struct play play = {.limits = {rates[i], rates[i], 1},
                                .load = rates[i] * 4.2,
                                .restart_us = 6000 * MS,
                                .restart_all = all == 1};

            check_bound(&play);
            end_play(&play);
        }
    }
}

/* A third of the entries reach no owner for longer than the bound's window:
 * they must not spend what is granted to the others. */
static void
test_entries_are_cut_off(void)
{
    const double rates[] = {604586, 47000};

    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        struct play play = {.limits = {rates[i], rates[i], 1},
                            .load = rates[i] * 4.2,
                            .cut_from_us = 5000 * MS,
                            .cut_until_us = 17000 * MS,
                            .cut = 11};

        check_bound(&play);
        end_play(&play);
    }
}

static uint64_t
draw_us(GRand *random, unsigned least_s, unsigned most_s)
{
    return MS * (uint64_t)g_rand_int_range(random, (int)least_s * 1000,
                                           (int)most_s * 1000);
}

/* Schedules drawn from a seed: loads around and above the quota, slow and lost
 * words, an owner that starts again, entries that are cut off and one that is
 * suspended with its answers. None may break the bound. */
static void
test_drawn_schedules(void)
{
    for (unsigned seed = 0; seed < SCHEDULES; seed++) {
        GRand *random = g_rand_new_with_seed(seed);
        double rate =
            exp(g_rand_double_range(random, log(47000), log(604586)));
        struct play play = {
            .limits = {rate, rate, 1},
            .load = rate * g_rand_double_range(random, 0.5, 7),
            .restart_us = g_rand_boolean(random) ? draw_us(random, 2, 20) : 0,
            .restart_all = g_rand_boolean(random),
            .cut_from_us = draw_us(random, 1, 10),
            .cut = (unsigned)g_rand_int_range(random, 0, 12),
            .length_us = SCHEDULE_US,
            .way_us = draw_us(random, 0, 1) / 30 + MS,
            .lost_in = (unsigned)g_rand_int_range(random, 20, 200),
            .suspended = (unsigned)g_rand_int_range(random, 0, ENTRIES),
            .suspended_from_us = draw_us(random, 1, 15),
            .random = random,
        };

        play.cut_until_us = play.cut_from_us + draw_us(random, 1, 12);
        play.suspended_until_us =
            play.suspended_from_us + draw_us(random, 1, 5);
        run_play(&play);
        if (most_in_window(&play) > allowed(&play)) {
            g_error("seed %u: %.0f units ran in a window, %.0f are allowed",
                    seed, most_in_window(&play), allowed(&play));
        }
        end_play(&play);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/quota_play/hot", test_hot_workspace);
    g_test_add_func("/quota_play/below", test_below_the_quota);
    g_test_add_func("/quota_play/owner_restarts", test_owner_restarts);
    g_test_add_func("/quota_play/cut_off", test_entries_are_cut_off);
    g_test_add_func("/quota_play/schedules", test_drawn_schedules);
    return g_test_run();
}
