#ifndef BENCH_ANSWER_H
#define BENCH_ANSWER_H

#include "load.h"

/**
 * struct answer - one answer as it comes in
 * @service: a plain answer, not an event stream
 * @line: event stream not yet cut into lines, or the whole plain answer
 * @text: text of all tokens in the order in which they came
 * @tokens: events with text
 * @done: "[DONE]" came, and nothing after it
 * @error: an error event came
 * @broken: something came that no answer holds
 */
struct answer {
    bool service;
    GString *line;
    GString *text;
    unsigned tokens;
    bool finished;
    bool done;
    bool broken;
    GString *error;
    unsigned prompt_tokens;
    unsigned cached_tokens;
};

/**
 * struct answer_check - what a right answer looks like
 * @prompt: the stand-in's answer is a function of it
 * @tokens: length of the answer
 * @key: idempotency key that a plain service names
 * @body_size: length of the body that a plain service counted
 */
struct answer_check {
    const GString *prompt;
    unsigned tokens;
    const char *key;
    size_t body_size;
};

void answer_init(struct answer *answer, bool service);
void answer_reset(struct answer *answer);
void answer_dispose(struct answer *answer);

/** answer_take() - bytes came, after a head with that HTTP status */
void answer_take(struct answer *answer, long status, const char *data,
                 size_t size);

/**
 * answer_judge() - fill a result's outcome when the connection is through
 * @whole: the transfer came to its proper end
 */
void answer_judge(const struct answer *answer, struct load_result *result,
                  bool whole, long status, const struct answer_check *check);

#endif
