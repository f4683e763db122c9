#include "microbench.h"

#include <parsleygw/level.h>
#include <string.h>

struct level_state {
    char *prompt;
    size_t len;
};

static void *
level_setup(uint64_t size)
{
    struct level_state *state = g_new0(struct level_state, 1);

    state->len = size;
    state->prompt = g_malloc(size);
    memset(state->prompt, 'p', size);
    for (size_t i = 1; i < 4; i++) {
        memcpy(state->prompt + i * size / 5, "\n---\n", 5);
    }
    return state;
}

static void
level_run(void *data, uint64_t turn)
{
    static const struct pgw_level_salt salt = {"labels", "rulebook-7b", "",
                                               "w1"};
    const struct level_state *state = data;
    uint32_t ends[PGW_LEVEL_MAX];
    struct pgw_level_chain chain;
    size_t n = pgw_level_boundaries(ends, PGW_LEVEL_MAX, state->prompt,
                                    state->len, "\n---\n");

    (void)turn;
    (void)pgw_level_chain_init(&chain, &salt, state->prompt, state->len, ends,
                               n, 4);
    microbench_use(chain.levels[0].hash_low);
}

static void
level_teardown(void *data)
{
    struct level_state *state = data;

    g_free(state->prompt);
    g_free(state);
}

const struct microbench_case microbench_level_cases[] = {
    {"level_chain",
     "prompt_bytes",
     {1024, 8192, 32768, 131072},
     level_setup,
     level_run,
     level_teardown},
    {.name = NULL},
};
