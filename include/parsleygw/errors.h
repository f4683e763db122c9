#ifndef PARSLEYGW_ERRORS_H
#define PARSLEYGW_ERRORS_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * DOC: Typed errors
 *
 * Every function that can fail takes a trailing ``GError **`` and reports one
 * of these kinds in the domain %PGW_ERROR. The message says what is wrong and
 * how to remedy it.
 */

#define PGW_ERROR (pgw_error_quark())

/**
 * enum pgw_error - kinds of failure
 * @PGW_ERROR_INVALID: the input is malformed or out of range
 * @PGW_ERROR_TOO_LARGE: the input exceeds a declared size limit
 * @PGW_ERROR_UNAUTHORIZED: the key is unknown or lacks the permission
 * @PGW_ERROR_NOT_FOUND: the named object does not exist
 * @PGW_ERROR_CONFLICT: another writer's update made a conditional update fail
 * @PGW_ERROR_UNAVAILABLE: the peer or store cannot be reached now
 * @PGW_ERROR_TIMEOUT: the deadline passed; the outcome may be unknown
 * @PGW_ERROR_OVERLOADED: a limit or a fair share is exhausted
 * @PGW_ERROR_PROTOCOL: a peer sent an invalid frame or an unknown type
 * @PGW_ERROR_UNKNOWN_OUTCOME: the effect may or may not have happened
 * @PGW_ERROR_STALE: the version, incarnation or fencing token is outdated
 * @PGW_ERROR_IO: a system call failed
 */
enum pgw_error {
    PGW_ERROR_INVALID,
    PGW_ERROR_TOO_LARGE,
    PGW_ERROR_UNAUTHORIZED,
    PGW_ERROR_NOT_FOUND,
    PGW_ERROR_CONFLICT,
    PGW_ERROR_UNAVAILABLE,
    PGW_ERROR_TIMEOUT,
    PGW_ERROR_OVERLOADED,
    PGW_ERROR_PROTOCOL,
    PGW_ERROR_UNKNOWN_OUTCOME,
    PGW_ERROR_STALE,
    PGW_ERROR_IO,
};

GQuark pgw_error_quark(void);

/**
 * pgw_error_name() - stable name of a kind in logs and refusals
 * @code: one of &enum pgw_error
 *
 * Return: a static lower-case string; "unknown" for a value out of range.
 */
const char *pgw_error_name(int code);

G_END_DECLS

#endif
