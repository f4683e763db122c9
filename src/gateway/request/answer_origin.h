#ifndef PGW_GATEWAY_REQUEST_ANSWER_ORIGIN_H
#define PGW_GATEWAY_REQUEST_ANSWER_ORIGIN_H

#include <stdbool.h>

/**
 * DOC: Which request an answer on a connection belongs to
 *
 * A connection to an upstream carries one request after the other, and a
 * faulty upstream answers one of them twice. The second answer arrives where
 * the answer to the next request is expected. Taken for that answer, a refusal
 * makes the entry send a request again that is running, and a success is
 * another caller's.
 *
 * Upstreams name in an answer the attempt that it belongs to; some do not do
 * so in refusals. An answer that names no attempt is taken only if no earlier
 * request on its connection can have caused it.
 */

/**
 * enum pgw_answer_origin - where an answer belongs
 * @PGW_ANSWER_OWN: to the request that waits for one
 * @PGW_ANSWER_FOREIGN: to another request; the awaited answer follows
 * @PGW_ANSWER_UNCERTAIN: to this or another one; it proves nothing, and the
 *   request need not wait for another, as it may run again
 */
enum pgw_answer_origin {
    PGW_ANSWER_OWN,
    PGW_ANSWER_FOREIGN,
    PGW_ANSWER_UNCERTAIN,
};

/**
 * struct pgw_answer_evidence - what is known of an answer and its connection
 * @id: attempt that the answer names, NULL: none
 * @awaited: attempt that waits for an answer; no connection carries it twice
 * @genuine: the answer is an upstream's own, and its request ran
 * @not_run: the answer states that its request did not run
 * @may_run_again: the request may be sent again, whatever became of it
 * @refusals_are_named: the upstream has named the attempt in an earlier
 *   refusal with the same status
 * @connection_is_shared: the connection has carried earlier requests, or has
 *   brought an answer that belonged to none
 */
struct pgw_answer_evidence {
    const char *id;
    const char *awaited;
    bool genuine;
    bool not_run;
    bool may_run_again;
    bool refusals_are_named;
    bool connection_is_shared;
};

/** pgw_answer_origin() - decide which request an answer belongs to */
enum pgw_answer_origin
pgw_answer_origin(const struct pgw_answer_evidence *evidence);

#endif
