#ifndef PGW_ENTRY_HTTP_H
#define PGW_ENTRY_HTTP_H

#include "entry/entry.h"

/**
 * DOC: The HTTP server towards callers
 */

struct http;
struct refusal;

/** http_start() - listen for callers; %PGW_ERROR_IO or %PGW_ERROR_INVALID */
struct http *http_start(struct entry *entry, GError **error);

/** http_port() - the port it listens on */
uint16_t http_port(const struct http *http);

/** http_close() - stop accepting, once every established connection is
 * accepted; on the loop's thread */
void http_close(struct http *http);

/** http_is_closed() - http_close() is complete and every request that callers
 * have sent is answered; on the loop's thread */
bool http_is_closed(struct http *http);

/** http_refuse_incomplete() - refuse the requests of which only a part has
 * arrived, since no time is left for the rest; on the loop's thread */
void http_refuse_incomplete(struct http *http, const struct refusal *refusal);

/** http_stop() - close all connections and end the threads */
void http_stop(struct http *http);

#endif
