#ifndef PGW_GATEWAY_POISON_NEWS_H
#define PGW_GATEWAY_POISON_NEWS_H

#include "gateway/poison.h"
#include "libparsleygw/link.h"

/** pgw_poison_news_send() - tell a peer; nothing is sent for @count 0 */
void pgw_poison_news_send(struct pgw_link *link,
                          const struct pgw_poison_news *news, size_t count);

/**
 * pgw_poison_news_take() - a peer's word
 * @poison: where it is counted
 * @message: what came; items that make no sense are logged and left out
 * @now_us: monotonic time
 */
void pgw_poison_news_take(struct pgw_poison *poison,
                          const Pgw__CrashedRuns *message, uint64_t now_us);

#endif
