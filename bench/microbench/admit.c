#include "microbench.h"

#include <parsleygw/admit.h>

/* Two waiting requests for each workspace. */
#define ITEMS_PER_WORKSPACE 2

/* Requests of the workspace that always waits: one runs, the others wait. */
#define BACKLOG 4

struct admit_state {
    struct pgw_admit *admit;
    struct pgw_admit_item *items;
    struct pgw_admit_item *running;
    uint64_t workspaces;
    uint64_t now;
};

static void
offer(struct admit_state *state, struct pgw_admit_item *item,
      uint64_t workspace)
{
    struct pgw_admit_answer answer;

    *item = (struct pgw_admit_item){
        .workspace = microbench_mix(workspace),
        .share = 1 + (uint32_t)(workspace % 4),
        .priority = PGW_PRIORITY_NORMAL,
        .deadline = UINT64_MAX / 2 + workspace,
        .uncached_tokens = 100 + (uint32_t)(microbench_mix(workspace) % 900),
        .max_tokens = 16,
    };
    pgw_admit_offer(&answer, state->admit, item, state->now);
    if (answer.verdict == PGW_ADMIT_RUN) {
        state->running = item;
    }
}

static void *
admit_setup(uint64_t workspaces)
{
    struct admit_state *state = g_new0(struct admit_state, 1);
    struct pgw_admit_options options = PGW_ADMIT_OPTIONS_INIT;

    options.max_running = 1;
    options.max_waiting = (uint32_t)workspaces * ITEMS_PER_WORKSPACE;
    options.starvation_us = UINT64_MAX / 2;
    state->admit = pgw_admit_new(&options);
    state->workspaces = workspaces;
    state->now = 1;
    state->items =
        g_new0(struct pgw_admit_item, workspaces * ITEMS_PER_WORKSPACE);
    for (uint64_t i = 0; i < workspaces * ITEMS_PER_WORKSPACE; i++) {
        offer(state, &state->items[i], i % workspaces);
    }
    return state;
}

/* One request ends, the next starts, and another one comes. */
static void
admit_run(void *data, uint64_t turn)
{
    struct admit_state *state = data;
    struct pgw_admit_item *ended = state->running;

    state->now++;
    pgw_admit_done(state->admit, ended, 0, state->now);
    state->running = pgw_admit_next(state->admit, state->now);
    offer(state, ended, microbench_mix(turn) % state->workspaces);
}

static void
estimate_run(void *data, uint64_t turn)
{
    const struct admit_state *state = data;

    microbench_use(pgw_admit_estimate_us(
        state->admit, microbench_mix(turn % state->workspaces), 1,
        PGW_PRIORITY_NORMAL, 500));
}

/* One request of a workspace, from its offer to its end. */
static void
call_run(void *data, uint64_t turn)
{
    struct admit_state *state = data;
    struct pgw_admit_item *item = &state->items[0];

    state->now++;
    offer(state, item, turn % state->workspaces);
    if (item->state == PGW_ADMIT_WAITING) {
        microbench_use((uintptr_t)pgw_admit_next(state->admit, state->now));
    }
    pgw_admit_done(state->admit, item, 0, state->now);
}

/* All workspaces have called, one after the other. */
static void *
called_setup(uint64_t workspaces)
{
    struct admit_state *state = g_new0(struct admit_state, 1);

    state->admit = pgw_admit_new(NULL);
    state->workspaces = workspaces;
    state->now = 1;
    state->items = g_new0(struct pgw_admit_item, BACKLOG + 1);
    for (uint64_t i = 0; i < workspaces; i++) {
        call_run(state, i);
    }
    return state;
}

/* The same while another one always waits, whose requests are so large that
 * the virtual time hardly moves. */
static void *
backlog_setup(uint64_t workspaces)
{
    struct admit_state *state = called_setup(0);
    struct pgw_admit_answer answer;

    for (size_t i = 1; i <= BACKLOG; i++) {
        state->items[i] = (struct pgw_admit_item){
            .workspace = 1,
            .share = 1,
            .priority = PGW_PRIORITY_NORMAL,
            .uncached_tokens = 1000000000,
        };
        pgw_admit_offer(&answer, state->admit, &state->items[i], state->now);
    }
    /* The second runs while others wait, so that its cost counts. Its prefill
     * is known to be short by now: there is room for the others' requests,
     * and none for its next. */
    pgw_admit_done(state->admit, &state->items[1], 0, state->now);
    microbench_use((uintptr_t)pgw_admit_next(state->admit, state->now));
    pgw_admit_set_uncached_tokens(state->admit, &state->items[2], 1);
    state->workspaces = workspaces;
    for (uint64_t i = 0; i < workspaces; i++) {
        call_run(state, i);
    }
    return state;
}

static void
admit_teardown(void *data)
{
    struct admit_state *state = data;

    pgw_admit_free(state->admit);
    g_free(state->items);
    g_free(state);
}

const struct microbench_case microbench_admit_cases[] = {
    {"admit_done_next_offer",
     "workspaces",
     {8, 100, 1000, 10000, 29000},
     admit_setup,
     admit_run,
     admit_teardown},
    {"admit_estimate",
     "workspaces",
     {8, 100, 1000, 10000, 29000},
     admit_setup,
     estimate_run,
     admit_teardown},
    {"admit_call",
     "workspaces_that_called",
     {8, 100, 1000, 10000, 29000},
     called_setup,
     call_run,
     admit_teardown},
    {"admit_call_backlog",
     "workspaces_that_called",
     {8, 100, 1000, 10000, 29000},
     backlog_setup,
     call_run,
     admit_teardown},
    {.name = NULL},
};
