#ifndef PGW_GATEWAY_PEER_RETURN_NEWS_H
#define PGW_GATEWAY_PEER_RETURN_NEWS_H

#include "gateway/share/share_table.h"
#include "libparsleygw/link.h"

/**
 * DOC: Messages about callers that were promised a time to return
 *
 * A caller returns to any entry, so each must know the promises of all.
 */

/* Promises in one message: far below PGW_FRAME_MAX_SIZE. */
#define PGW_RETURN_NEWS_MAX 256

/** pgw_return_news_send() - send at most %PGW_RETURN_NEWS_MAX promises to a
 * peer; @pass_on: it tells all its other peers */
void pgw_return_news_send(struct pgw_link *link,
                          const struct pgw_returned_caller *callers,
                          size_t count, bool pass_on, uint64_t now_us);

/** pgw_return_news_receive() - remember the promises in a peer's message; what
 * makes no sense is left out */
void pgw_return_news_receive(struct pgw_share_table *shares,
                             const Pgw__News *message, uint64_t now_us);

#endif
