#include "gateway/choose.h"
#include "gateway/rollout_window.h"
#include <stdlib.h>

/**
 * DOC: A rollout under load, played by the decisions alone
 *
 * 18 engines serve 200 short and 25 long answers a second while a version is
 * named. What callers get: a place for each request, and as many engines as
 * can be, since none is away longer than it loads.
 */

#define ENGINES 18
#define MODEL "guide"
#define STEP_US UINT64_C(5000)
#define LOAD_US UINT64_C(1300000)
#define SHORT_US UINT64_C(60000)
#define LONG_US UINT64_C(1500000)
/* One arrival a step, each eighth one is long. */
#define LONG_EVERY 8
#define STEPS 6000
#define NAMED_AT_STEP 400
#define RUNS_MAX 4096

struct run {
    unsigned engine;
    uint64_t ends_us;
};

/**
 * struct play - the pool and what runs there
 * @announced_us: since when an engine takes nothing more, 0: it does
 * @loaded_us: when its load is over, 0: its runs have not ended yet
 * @away_us: time that all engines were away together
 * @unserved: requests that found no engine
 * @most_away: engines away at the same time
 */
struct play {
    struct pgw_upstream_table *table;
    struct pgw_upstream *engines[ENGINES];
    struct pgw_rollout_candidate window[ENGINES];
    uint64_t announced_us[ENGINES];
    uint64_t loaded_us[ENGINES];
    struct run runs[RUNS_MAX];
    size_t run_count;
    uint64_t now_us;
    uint64_t away_us;
    unsigned unserved;
    unsigned most_away;
};

static void
play_init(struct play *play)
{
    play->table = pgw_upstream_table_new("a");
    play->now_us = 100000000;
    for (unsigned i = 0; i < ENGINES; i++) {
        char id[8];
        char address[32];
        struct pgw_upstream_facts facts = {
            .id = id,
            .service = "s",
            .address = address,
            .zone = "a",
            .slots = 64,
            .models = {{(char *)MODEL, 1}},
            .model_count = 1,
        };

        g_snprintf(id, sizeof(id), "e%u", i);
        g_snprintf(address, sizeof(address), "127.0.0.1:%u", 1000 + i);
        play->engines[i] = pgw_upstream_table_put(play->table, &facts);
    }
}

static void
end_runs(struct play *play)
{
    for (size_t i = 0; i < play->run_count;) {
        if (play->runs[i].ends_us > play->now_us) {
            i++;
            continue;
        }
        play->engines[play->runs[i].engine]->inflight--;
        play->runs[i] = play->runs[--play->run_count];
    }
}

static void
arrive(struct play *play, bool is_long,
       const struct pgw_choose_options *options)
{
    struct pgw_prompt prompt = {
        .parts = {{.id = 1, .tokens = 300}}, .part_count = 1, .tokens = 300};
    struct pgw_choose_input input = {
        .pool = pgw_upstream_table_pool(play->table, "s"),
        .prompt = &prompt,
        .model = MODEL,
        .prefill_tokens_per_ms = 60,
        .run_ms = (double)(is_long ? LONG_US : SHORT_US) / 1000,
        .now_us = play->now_us,
        .random = play->now_us,
    };
    struct pgw_choice choice;

    pgw_choose(&choice, &input, options);
    if (choice.upstream == NULL) {
        play->unserved++;
        return;
    }
    for (unsigned i = 0; i < ENGINES; i++) {
        if (play->engines[i] == choice.upstream) {
            g_assert_cmpuint(play->run_count, <, RUNS_MAX);
            play->runs[play->run_count++] = (struct run){
                .engine = i,
                .ends_us = play->now_us + (is_long ? LONG_US : SHORT_US),
            };
        }
    }
    choice.upstream->inflight++;
}

/* An engine that was told to begins to load once its runs have ended. */
static void
load(struct play *play, unsigned engine)
{
    struct pgw_upstream *upstream = play->engines[engine];

    if (play->announced_us[engine] == 0) {
        return;
    }
    play->away_us += STEP_US;
    if (play->loaded_us[engine] == 0) {
        if (upstream->inflight == 0) {
            play->loaded_us[engine] = play->now_us + LOAD_US;
        }
        return;
    }
    if (play->now_us >= play->loaded_us[engine]) {
        pgw_upstream_set_version(upstream, MODEL, 2);
        pgw_upstream_set_loading(upstream, false, 0);
        play->announced_us[engine] = 0;
    }
}

static void
open_window(struct play *play)
{
    static const struct pgw_rollout_window_options options =
        PGW_ROLLOUT_WINDOW_OPTIONS_INIT;
    unsigned away = 0;

    for (unsigned i = 0; i < ENGINES; i++) {
        play->window[i] = (struct pgw_rollout_candidate){
            .place = (i * 7) % ENGINES,
            .version = pgw_upstream_version(play->engines[i], MODEL),
            .loading = play->announced_us[i] > 0,
            .context = &play->engines[i],
        };
        away += play->announced_us[i] > 0;
    }
    play->most_away = MAX(play->most_away, away);
    pgw_rollout_window_select(play->window, ENGINES, 2, &options);
    for (unsigned i = 0; i < ENGINES; i++) {
        struct pgw_upstream **upstream = play->window[i].context;
        size_t engine = (size_t)(upstream - play->engines);

        (*upstream)->is_next_to_load = play->window[i].next;
        if (play->window[i].go) {
            play->announced_us[engine] = play->now_us;
            pgw_upstream_set_loading(*upstream, true, UINT64_MAX);
        }
    }
}

static void
play_all(struct play *play, const struct pgw_choose_options *options)
{
    play_init(play);
    for (unsigned step = 0; step < STEPS; step++) {
        end_runs(play);
        arrive(play, step % LONG_EVERY == 0, options);
        if (step >= NAMED_AT_STEP) {
            for (unsigned i = 0; i < ENGINES; i++) {
                load(play, i);
            }
            open_window(play);
        }
        play->now_us += STEP_US;
    }
    for (unsigned i = 0; i < ENGINES; i++) {
        g_assert_cmpuint(pgw_upstream_version(play->engines[i], MODEL), ==, 2);
    }
    pgw_upstream_table_free(play->table);
}

/*
 * Callers are served all the while, three of 18 engines are away at most, and
 * engines are away for little more than their loads: 18 times 1.3 s are 23 s.
 * With long runs on engines that load next they are away a quarter longer.
 */
static void
test_away_for_loads_alone(void)
{
    struct pgw_choose_options options = PGW_CHOOSE_OPTIONS_INIT;
    struct pgw_policy policy = {0};
    struct play *with = g_new0(struct play, 1);
    struct play *without = g_new0(struct play, 1);

    play_all(with, &options);
    policy.off[PGW_MECHANISM_LOAD_NEXT] = true;
    pgw_choose_options_apply(&options, &policy);
    play_all(without, &options);
    g_test_message("engines away for %.1f s, %.1f s without",
                   (double)with->away_us / 1e6,
                   (double)without->away_us / 1e6);
    g_assert_cmpuint(with->unserved, ==, 0);
    g_assert_cmpuint(with->most_away, <=, 3);
    g_assert_cmpuint(with->away_us, <, ENGINES * LOAD_US * 125 / 100);
    g_assert_cmpuint(without->away_us, >, with->away_us * 125 / 100);
    g_free(with);
    g_free(without);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/rollout_play/away", test_away_for_loads_alone);
    return g_test_run();
}
