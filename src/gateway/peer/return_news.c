#include "gateway/peer/return_news.h"

/* Times that are believed. Longer than any that a refusal names. */
#define DUE_MAX_MS 60000

static uint32_t
ms_until(uint64_t at_us, uint64_t now_us)
{
    return at_us > now_us ? (uint32_t)MIN((at_us - now_us) / 1000, DUE_MAX_MS)
                          : 0;
}

void
pgw_return_news_send(struct pgw_link *link,
                     const struct pgw_returned_caller *callers, size_t count,
                     bool pass_on, uint64_t now_us)
{
    Pgw__News message = PGW__NEWS__INIT;
    Pgw__ReturnPromise promises[PGW_RETURN_NEWS_MAX];
    Pgw__ReturnPromise *pointers[PGW_RETURN_NEWS_MAX];

    message.n_promises = MIN(count, PGW_RETURN_NEWS_MAX);
    message.promises = pointers;
    message.pass_on = pass_on;
    for (size_t i = 0; i < message.n_promises; i++) {
        pgw__return_promise__init(&promises[i]);
        promises[i].caller = callers[i].key;
        promises[i].due_ms = ms_until(callers[i].at.at_us, now_us);
        promises[i].in_time_ms = ms_until(callers[i].in_time_start_us, now_us);
        pointers[i] = &promises[i];
    }
    pgw_link_send(link, PGW_FRAME_NEWS, &message.base);
}

void
pgw_return_news_receive(struct pgw_share_table *shares,
                        const Pgw__News *message, uint64_t now_us)
{
    for (size_t i = 0; i < message->n_promises; i++) {
        const Pgw__ReturnPromise *promise = message->promises[i];
        struct pgw_returned_caller caller = {
            .key = promise->caller,
            .at = {.at_us = now_us + promise->due_ms * 1000ULL,
                   .is_promised = true},
            .in_time_start_us = now_us + promise->in_time_ms * 1000ULL,
        };

        if (caller.key != 0 && promise->due_ms <= DUE_MAX_MS &&
            promise->in_time_ms <= DUE_MAX_MS) {
            pgw_returned_callers_add(&shares->returned, &caller);
        }
    }
}
