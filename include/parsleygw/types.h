#ifndef PARSLEYGW_TYPES_H
#define PARSLEYGW_TYPES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Types shared by several modules
 */

#define PGW_REQUEST_ID_SIZE 16

/**
 * struct pgw_request_id - identity of one caller's request
 * @bytes: 128 random bits, the same for all attempts
 */
struct pgw_request_id {
    uint8_t bytes[PGW_REQUEST_ID_SIZE];
};

/**
 * enum pgw_priority - order in which an upstream serves queued requests
 * @PGW_PRIORITY_URGENT: requests such as prints and stamp checks
 * @PGW_PRIORITY_INTERACTIVE: a user waits for the first token
 * @PGW_PRIORITY_NORMAL: a user waits for the result, not interactively
 * @PGW_PRIORITY_BATCH: no user waits; uses the capacity that is left over
 * @PGW_PRIORITY_COUNT: number of priorities
 */
enum pgw_priority {
    PGW_PRIORITY_URGENT,
    PGW_PRIORITY_INTERACTIVE,
    PGW_PRIORITY_NORMAL,
    PGW_PRIORITY_BATCH,
    PGW_PRIORITY_COUNT,
};

/**
 * enum pgw_ran - whether a failed request has run
 * @PGW_RAN_NO: no upstream started it
 * @PGW_RAN_YES: it ran, but its answer is not available
 * @PGW_RAN_UNKNOWN: it may have run
 */
enum pgw_ran {
    PGW_RAN_NO,
    PGW_RAN_YES,
    PGW_RAN_UNKNOWN,
};

/**
 * enum pgw_refusal - why a request got no complete answer
 * @PGW_REFUSAL_BAD_REQUEST: malformed or out of range
 * @PGW_REFUSAL_TOO_LARGE: over a size limit
 * @PGW_REFUSAL_UNAUTHORIZED: no valid key
 * @PGW_REFUSAL_FORBIDDEN: the workspace may not use the profile
 * @PGW_REFUSAL_UNKNOWN_PROFILE: no such profile or model
 * @PGW_REFUSAL_OVERLOADED: queues are full or the fair share is exhausted
 * @PGW_REFUSAL_DEADLINE: the deadline cannot be or was not met
 * @PGW_REFUSAL_LEAVING: the instance is draining and accepts no new requests
 * @PGW_REFUSAL_STALE: weights version or incarnation is not the requested one
 * @PGW_REFUSAL_NO_UPSTREAM: no upstream of the pool can be reached
 * @PGW_REFUSAL_UPSTREAM_FAILED: the upstream died or violated the protocol
 * @PGW_REFUSAL_QUARANTINED: the request has crashed upstreams before
 * @PGW_REFUSAL_STORE_DOWN: the claim cannot be written now
 * @PGW_REFUSAL_DUPLICATE: same idempotency key, outcome unknown or pending
 * @PGW_REFUSAL_EXPIRED: the idempotency key is older than the retention
 * @PGW_REFUSAL_NOT_READY: the instance has no configuration yet
 * @PGW_REFUSAL_CANCELLED: the caller disconnected
 * @PGW_REFUSAL_INTERNAL: internal error of this process
 * @PGW_REFUSAL_COUNT: number of reasons
 */
enum pgw_refusal {
    PGW_REFUSAL_BAD_REQUEST,
    PGW_REFUSAL_TOO_LARGE,
    PGW_REFUSAL_UNAUTHORIZED,
    PGW_REFUSAL_FORBIDDEN,
    PGW_REFUSAL_UNKNOWN_PROFILE,
    PGW_REFUSAL_OVERLOADED,
    PGW_REFUSAL_DEADLINE,
    PGW_REFUSAL_LEAVING,
    PGW_REFUSAL_STALE,
    PGW_REFUSAL_NO_UPSTREAM,
    PGW_REFUSAL_UPSTREAM_FAILED,
    PGW_REFUSAL_QUARANTINED,
    PGW_REFUSAL_STORE_DOWN,
    PGW_REFUSAL_DUPLICATE,
    PGW_REFUSAL_EXPIRED,
    PGW_REFUSAL_NOT_READY,
    PGW_REFUSAL_CANCELLED,
    PGW_REFUSAL_INTERNAL,
    PGW_REFUSAL_COUNT,
};

/**
 * pgw_refusal_name() - stable code of a refusal in answers to callers
 * @refusal: one of &enum pgw_refusal
 *
 * Return: a static lower-case string, "internal" for a value out of range.
 */
const char *pgw_refusal_name(int refusal);

/**
 * pgw_refusal_status() - HTTP status of a refusal
 * @refusal: one of &enum pgw_refusal
 *
 * Return: the status, 500 for a value out of range.
 */
unsigned pgw_refusal_status(int refusal);

/**
 * pgw_ran_name() - "no", "yes" or "unknown"
 * @ran: one of &enum pgw_ran; anything else is "unknown"
 */
const char *pgw_ran_name(int ran);

/**
 * pgw_priority_name() - name of a priority in profiles
 * @priority: one of &enum pgw_priority
 *
 * Return: a static string; "batch" for a value out of range.
 */
const char *pgw_priority_name(int priority);

/**
 * pgw_priority_parse() - parse the name of a priority
 * @out: receives the priority
 * @name: "urgent", "interactive", "normal" or "batch"
 *
 * Return: false, with @out unchanged, for any other name.
 */
bool pgw_priority_parse(enum pgw_priority *out, const char *name);

G_END_DECLS

#endif
