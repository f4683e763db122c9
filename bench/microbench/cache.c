#include "microbench.h"

#include <parsleygw/cache.h>
#include <string.h>

#define PROMPT_BLOCKS 256
#define BYTES_PER_BLOCK 64

static const struct pgw_level_salt salt = {"labels", "rulebook-7b", "", "w1"};
static const struct pgw_cache_source source = {1, "w1", 1};

struct cache_state {
    struct pgw_cache *cache;
    struct pgw_level_chain chain; /* of the last prompt */
    uint64_t seq;
    uint64_t block;
};

/* One prompt of 256 blocks in four levels, stored by the engine. */
static void
store_prompt(struct cache_state *state, uint64_t number)
{
    char *prompt = g_malloc0(PROMPT_BLOCKS * BYTES_PER_BLOCK);
    uint32_t ends[] = {64 * BYTES_PER_BLOCK, 128 * BYTES_PER_BLOCK,
                       192 * BYTES_PER_BLOCK};
    struct pgw_request_id request = {{0}};
    uint64_t parent = 0;

    memcpy(prompt, &number, sizeof(number));
    memcpy(request.bytes, &number, sizeof(number));
    (void)pgw_level_chain_init(&state->chain, &salt, prompt,
                               (size_t)PROMPT_BLOCKS * BYTES_PER_BLOCK, ends,
                               G_N_ELEMENTS(ends), 4);
    pgw_cache_record_request(state->cache, &request, &state->chain, &salt, 2);
    for (uint32_t i = 0; i < PROMPT_BLOCKS; i++) {
        struct pgw_cache_event event = {
            .seq = ++state->seq,
            .kind = PGW_CACHE_STORED,
            .request = request,
            .block = ++state->block,
            .parent = parent,
            .end_token = (i + 1) * PGW_LEVEL_BLOCK_TOKENS,
        };

        pgw_cache_apply(state->cache, &source, &event, 1, 0, 3);
        parent = event.block;
    }
    g_free(prompt);
}

static void *
cache_setup(uint64_t blocks)
{
    struct cache_state *state = g_new0(struct cache_state, 1);
    struct pgw_cache_options options = PGW_CACHE_OPTIONS_INIT;

    options.blocks = blocks;
    state->cache = pgw_cache_new(&options);
    (void)pgw_cache_set_engine(state->cache, &source, 1);
    for (uint64_t i = 0; i < blocks / PROMPT_BLOCKS; i++) {
        store_prompt(state, i);
    }
    return state;
}

/* What a probe costs: match a prompt that is cached whole. */
static void
match_run(void *data, uint64_t turn)
{
    const struct cache_state *state = data;
    uint32_t hint;

    (void)turn;
    microbench_use(
        pgw_cache_match(state->cache, "labels", &state->chain, 4, &hint));
}

/* One event: the oldest block's place is taken by a new one. */
static void
event_run(void *data, uint64_t turn)
{
    struct cache_state *state = data;
    struct pgw_cache_event event = {
        .seq = ++state->seq,
        .kind = PGW_CACHE_STORED,
        .block = ++state->block,
        .parent = turn % PROMPT_BLOCKS == 0 ? 0 : state->block - 1,
        .end_token =
            (uint32_t)(turn % PROMPT_BLOCKS + 1) * PGW_LEVEL_BLOCK_TOKENS,
    };

    pgw_cache_apply(state->cache, &source, &event, 1, 0, 4);
}

/* A loss puts every block in doubt; then the whole list is read again. */
static void
sync_run(void *data, uint64_t turn)
{
    struct cache_state *state = data;
    struct pgw_cache_block *blocks =
        g_new(struct pgw_cache_block, state->block);

    (void)turn;
    for (uint64_t i = 0; i < state->block; i++) {
        blocks[i] = (struct pgw_cache_block){
            .block = i + 1,
            .parent = i % PROMPT_BLOCKS == 0 ? 0 : i,
        };
    }
    state->seq += 2;
    pgw_cache_apply(state->cache, &source, NULL, 0, state->seq, 5);
    microbench_use(pgw_cache_sync(state->cache, &source, state->seq, blocks,
                                  state->block, 6));
    g_free(blocks);
}

static void
cache_teardown(void *data)
{
    struct cache_state *state = data;

    pgw_cache_free(state->cache);
    g_free(state);
}

const struct microbench_case microbench_cache_cases[] = {
    {"probe_match",
     "cached_blocks",
     {256, 1024, 4096, 16384},
     cache_setup,
     match_run,
     cache_teardown},
    {"cache_event",
     "cached_blocks",
     {256, 1024, 4096, 16384},
     cache_setup,
     event_run,
     cache_teardown},
    {"cache_sync",
     "cached_blocks",
     {256, 1024, 4096, 16384},
     cache_setup,
     sync_run,
     cache_teardown},
    {.name = NULL},
};
