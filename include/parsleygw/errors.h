#ifndef PARSLEYGW_ERRORS_H
#define PARSLEYGW_ERRORS_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * DOC: Typed errors
 *
 * Every fallible function takes a trailing ``GError **`` and reports one of
 * these kinds in the domain %PGW_ERROR. The message says what was found and
 * what to do about it.
 */

#define PGW_ERROR (pgw_error_quark())

/**
 * enum pgw_error - kinds of failure
 * @PGW_ERROR_INVALID: the input is malformed or out of range
 * @PGW_ERROR_TOO_LARGE: the input exceeds a declared size limit
 * @PGW_ERROR_UNAUTHORIZED: no such key, or the key may not do this
 * @PGW_ERROR_NOT_FOUND: the named object does not exist
 * @PGW_ERROR_CONFLICT: a conditional update lost against another writer
 * @PGW_ERROR_UNAVAILABLE: the peer or store cannot be reached now
 * @PGW_ERROR_TIMEOUT: the deadline passed; the outcome may be unknown
 * @PGW_ERROR_OVERLOADED: a limit or a fair share is used up
 * @PGW_ERROR_PROTOCOL: a peer broke the framing or sent an unknown type
 * @PGW_ERROR_UNKNOWN_OUTCOME: the effect may or may not have happened
 * @PGW_ERROR_STALE: the version, incarnation or fencing number is old
 * @PGW_ERROR_IO: an operating-system call failed
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
 * pgw_error_name() - stable name of a kind, as logs and refusals print it
 * @code: one of &enum pgw_error
 *
 * Return: a static lower-case string; "unknown" for a value out of range.
 */
const char *pgw_error_name(int code);

G_END_DECLS

#endif
