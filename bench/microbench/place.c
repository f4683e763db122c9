#include "microbench.h"

#include <parsleygw/place.h>

struct place_state {
    struct pgw_place_node *nodes;
    size_t n;
    struct pgw_level_chain chain;
    struct pgw_place_candidate candidates[PGW_PLACE_RANK_MAX];
};

static void *
place_setup(uint64_t size)
{
    struct place_state *state = g_new0(struct place_state, 1);

    state->n = size;
    state->nodes = g_new0(struct pgw_place_node, size);
    for (size_t i = 0; i < size; i++) {
        char id[32];

        g_snprintf(id, sizeof(id), "upstream-%zu", i);
        state->nodes[i] = (struct pgw_place_node){
            .id_hash = pgw_place_id_hash(id),
            .zone = (uint32_t)(i % 3),
            .usable = true,
        };
    }
    state->chain.count = 4;
    state->chain.prompt_tokens = 4000;
    for (size_t i = 0; i < PGW_PLACE_RANK_MAX; i++) {
        state->candidates[i] = (struct pgw_place_candidate){
            .index = (uint32_t)i,
            .answered = true,
            .matched_tokens = (uint32_t)(microbench_mix(i) % 4000),
            .queued_tokens = (uint32_t)(microbench_mix(i + 99) % 8000),
            .same_zone = i % 3 == 0,
            .age_us = 500,
        };
    }
    return state;
}

static void
rank_run(void *data, uint64_t turn)
{
    struct place_state *state = data;
    uint32_t out[4];

    for (size_t i = 0; i < state->chain.count; i++) {
        state->chain.levels[i].hash_low = microbench_mix(turn + i);
    }
    microbench_use(
        pgw_place_rank(out, 4, state->nodes, state->n, &state->chain));
    microbench_use(out[0]);
}

static void
choose_run(void *data, uint64_t turn)
{
    static const struct pgw_place_weights weights = PGW_PLACE_WEIGHTS_INIT;
    const struct place_state *state = data;
    struct pgw_place_choice choice;

    pgw_place_choose(&choice, state->candidates, state->n, &weights, 4000,
                     turn);
    microbench_use(choice.position);
}

static void
place_teardown(void *data)
{
    struct place_state *state = data;

    g_free(state->nodes);
    g_free(state);
}

const struct microbench_case microbench_place_cases[] = {
    {"place_rank",
     "upstreams",
     {10, 100, 1000, 5000, 10000},
     place_setup,
     rank_run,
     place_teardown},
    {"place_choose",
     "candidates",
     {1, 4, 8, 16, 32},
     place_setup,
     choose_run,
     place_teardown},
    {.name = NULL},
};
