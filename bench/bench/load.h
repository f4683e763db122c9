#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

#include "fleet.h"

/**
 * DOC: The callers
 *
 * Threads that send each call of a schedule at its time, whatever became of
 * the calls before, and check every answer. As a caller would, they repeat a
 * call whose connection failed or broke off, with the same idempotency key,
 * at the next entry; time still counts from the intended send time.
 */

enum outcome {
    OUTCOME_LOST,     /* no whole answer and no truthful refusal */
    OUTCOME_ANSWERED, /* whole, and the right one */
    OUTCOME_REFUSED,  /* a typed refusal came */
    OUTCOME_BROKEN,   /* an answer ended by a typed error event */
    OUTCOME_WRONG,    /* another answer than the call's own */
};

enum said_ran {
    SAID_NO,
    SAID_YES,
    SAID_UNKNOWN,
};

/**
 * struct load_result - what became of a call; times in microseconds
 * @ttft_us: intended send time to first token, or whole plain answer
 * @total_us: intended send time to end
 * @late_us: intended to actual send time
 * @repeats: times that the caller sent it again
 * @code: code of the refusal
 * @upstream: who answered, as the entry names it
 */
struct load_result {
    enum outcome outcome;
    enum said_ran ran;
    uint64_t ttft_us;
    uint64_t total_us;
    uint64_t late_us;
    unsigned prompt_tokens;
    unsigned cached_tokens;
    unsigned repeats;
    char code[24];
    char upstream[24];
};

/**
 * struct load_options - where a schedule is sent
 * @ports: of the entries, used in turn
 * @seed: of the schedule, for prompts
 * @direct: model calls go in the engine's own form to @ports
 */
struct load_options {
    const struct scenario *scenario;
    const GArray *schedule;
    const uint16_t *ports;
    unsigned n_ports;
    unsigned threads;
    uint64_t seed;
    bool direct;
};

struct load;

/** load_start() - begin to send; time 0 of the schedule is load_began_us() */
struct load *load_start(const struct load_options *options);

/** load_began_us() - time 0 of the schedule, in g_get_monotonic_time() */
uint64_t load_began_us(const struct load *load);

/** load_is_done() - every call has come to its end */
bool load_is_done(struct load *load);

/**
 * load_finish() - wait until every call has come to its end
 *
 * Return: one struct load_result for each arrival, owned by the load.
 */
const struct load_result *load_finish(struct load *load);

/** load_key() - idempotency key that a call was sent with */
void load_key(char out[WORKLOAD_KEY_SIZE], const struct load *load,
              const struct arrival *arrival);

void load_free(struct load *load);

#endif
