#include "gateway/placement/choose.h"
#include "gateway/sidecar/rollout_window.h"
#include <stdlib.h>

/**
 * DOC: Simulated rollout under load, which runs only the decision functions
 *
 * A version is announced while 18 engines serve a mix of short and long
 * requests. Each request must find an engine, and engines must be unavailable
 * for little longer than their loads take.
 */

#define ENGINES 18
#define MODEL_NAME "guide"
#define STEP_US UINT64_C(5000)
#define LOAD_US UINT64_C(1300000)
#define SHORT_US UINT64_C(60000)
#define LONG_US UINT64_C(1500000)
/* One request arrives in each step, and every eighth one is long. */
#define LONG_EVERY 8
#define STEPS 6000
#define ANNOUNCED_AT_STEP 400
#define RUNS_MAX 4096

/** struct run - a request that runs at an engine */
struct run {
    unsigned engine;
    uint64_t ends_us;
};

/**
 * struct simulation - the pool and its running requests
 * @announced_us: when the load of an engine was announced, since when it gets
 *   no requests; 0: no load is announced
 * @loaded_us: when its load ends, 0: the load waits for its runs to end
 * @unavailable_us: sum of the times for which engines were unavailable
 * @unserved: requests that found no engine
 * @most_unavailable: maximum of engines unavailable at the same time
 */
struct simulation {
    struct pgw_upstream_table *table;
    struct pgw_upstream *engines[ENGINES];
    struct pgw_rollout_candidate window[ENGINES];
    uint64_t announced_us[ENGINES];
    uint64_t loaded_us[ENGINES];
    struct run runs[RUNS_MAX];
    size_t run_count;
    uint64_t now_us;
    uint64_t unavailable_us;
    unsigned unserved;
    unsigned most_unavailable;
};

static void
simulation_init(struct simulation *simulation)
{
    simulation->table = pgw_upstream_table_new("a");
    simulation->now_us = 100000000;
    for (unsigned i = 0; i < ENGINES; i++) {
        char id[8];
        char address[32];
        struct pgw_upstream_facts facts = {
            .id = id,
            .service = "s",
            .address = address,
            .zone = "a",
            .slots = 64,
            .models = {{(char *)MODEL_NAME, 1}},
            .model_count = 1,
        };

        g_snprintf(id, sizeof(id), "e%u", i);
        g_snprintf(address, sizeof(address), "127.0.0.1:%u", 1000 + i);
        simulation->engines[i] =
            pgw_upstream_table_put(simulation->table, &facts);
    }
}

static void
remove_ended_runs(struct simulation *simulation)
{
    for (size_t i = 0; i < simulation->run_count;) {
        if (simulation->runs[i].ends_us > simulation->now_us) {
            i++;
            continue;
        }
        simulation->engines[simulation->runs[i].engine]->inflight--;
        simulation->runs[i] = simulation->runs[--simulation->run_count];
    }
}

static void
send_request(struct simulation *simulation, bool is_long,
             const struct pgw_choose_options *options)
{
    struct pgw_prompt prompt = {
        .parts = {{.id = 1, .tokens = 300}}, .part_count = 1, .tokens = 300};
    struct pgw_choose_input input = {
        .pool = pgw_upstream_table_pool(simulation->table, "s"),
        .prompt = &prompt,
        .model = MODEL_NAME,
        .prefill_tokens_per_ms = 60,
        .run_ms = (double)(is_long ? LONG_US : SHORT_US) / 1000,
        .now_us = simulation->now_us,
        .random = simulation->now_us,
    };
    struct pgw_choice choice;

    pgw_choose(&choice, &input, options);
    if (choice.upstream == NULL) {
        simulation->unserved++;
        return;
    }
    for (unsigned i = 0; i < ENGINES; i++) {
        if (simulation->engines[i] == choice.upstream) {
            g_assert_cmpuint(simulation->run_count, <, RUNS_MAX);
            simulation->runs[simulation->run_count++] = (struct run){
                .engine = i,
                .ends_us = simulation->now_us + (is_long ? LONG_US : SHORT_US),
            };
        }
    }
    choice.upstream->inflight++;
}

/* An engine whose load is announced starts to load once its runs have ended.
 */
static void
advance_load(struct simulation *simulation, unsigned engine)
{
    struct pgw_upstream *upstream = simulation->engines[engine];

    if (simulation->announced_us[engine] == 0) {
        return;
    }
    simulation->unavailable_us += STEP_US;
    if (simulation->loaded_us[engine] == 0) {
        if (upstream->inflight == 0) {
            simulation->loaded_us[engine] = simulation->now_us + LOAD_US;
        }
        return;
    }
    if (simulation->now_us >= simulation->loaded_us[engine]) {
        pgw_upstream_set_version(upstream, MODEL_NAME, 2);
        pgw_upstream_set_loading(upstream, false, 0);
        simulation->announced_us[engine] = 0;
    }
}

static void
update_window(struct simulation *simulation)
{
    static const struct pgw_rollout_window_options options =
        PGW_ROLLOUT_WINDOW_OPTIONS_INIT;
    unsigned unavailable = 0;

    for (unsigned i = 0; i < ENGINES; i++) {
        simulation->window[i] = (struct pgw_rollout_candidate){
            .rank = (i * 7) % ENGINES,
            .version =
                pgw_upstream_version(simulation->engines[i], MODEL_NAME),
            .loading = simulation->announced_us[i] > 0,
            .context = &simulation->engines[i],
        };
        unavailable += simulation->announced_us[i] > 0;
    }
    simulation->most_unavailable =
        MAX(simulation->most_unavailable, unavailable);
    pgw_rollout_window_select(simulation->window, ENGINES, 2, &options);
    for (unsigned i = 0; i < ENGINES; i++) {
        struct pgw_upstream **upstream = simulation->window[i].context;
        size_t engine = (size_t)(upstream - simulation->engines);

        (*upstream)->is_next_to_load = simulation->window[i].starts_next;
        if (simulation->window[i].may_start) {
            simulation->announced_us[engine] = simulation->now_us;
            pgw_upstream_set_loading(*upstream, true, UINT64_MAX);
        }
    }
}

static void
run_simulation(struct simulation *simulation,
               const struct pgw_choose_options *options)
{
    simulation_init(simulation);
    for (unsigned step = 0; step < STEPS; step++) {
        remove_ended_runs(simulation);
        send_request(simulation, step % LONG_EVERY == 0, options);
        if (step >= ANNOUNCED_AT_STEP) {
            for (unsigned i = 0; i < ENGINES; i++) {
                advance_load(simulation, i);
            }
            update_window(simulation);
        }
        simulation->now_us += STEP_US;
    }
    for (unsigned i = 0; i < ENGINES; i++) {
        g_assert_cmpuint(
            pgw_upstream_version(simulation->engines[i], MODEL_NAME), ==, 2);
    }
    pgw_upstream_table_free(simulation->table);
}

/*
 * All requests are served, at most three of 18 engines are unavailable at
 * once, and the engines together are unavailable for little more than their
 * loads take: 18 times 1.3 s are 23 s. If engines that load next still get
 * long runs, the time grows by a quarter.
 */
static void
test_unavailable_for_loads_only(void)
{
    struct pgw_choose_options options = PGW_CHOOSE_OPTIONS_INIT;
    struct pgw_policy policy = {0};
    struct simulation *with = g_new0(struct simulation, 1);
    struct simulation *without = g_new0(struct simulation, 1);

    run_simulation(with, &options);
    policy.off[PGW_MECHANISM_LOAD_NEXT] = true;
    pgw_choose_options_apply(&options, &policy);
    run_simulation(without, &options);
    g_test_message(
        "engines unavailable for %.1f s, %.1f s without the mechanism",
        (double)with->unavailable_us / 1e6,
        (double)without->unavailable_us / 1e6);
    g_assert_cmpuint(with->unserved, ==, 0);
    g_assert_cmpuint(with->most_unavailable, <=, 3);
    g_assert_cmpuint(with->unavailable_us, <, ENGINES * LOAD_US * 125 / 100);
    g_assert_cmpuint(without->unavailable_us, >,
                     with->unavailable_us * 125 / 100);
    g_free(with);
    g_free(without);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/rollout_simulation/unavailable_for_loads_only",
                    test_unavailable_for_loads_only);
    return g_test_run();
}
