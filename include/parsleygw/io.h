#ifndef PARSLEYGW_IO_H
#define PARSLEYGW_IO_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Store operations requested by state machines
 *
 * The state machines of claim.h and quarantine.h do no I/O. They return an
 * operation on an object of the object API; their owner executes it and
 * passes the reply back.
 */

/**
 * enum pgw_io_kind - type of an operation
 * @PGW_IO_NONE: none
 * @PGW_IO_READ: get the object
 * @PGW_IO_WRITE: conditional put
 * @PGW_IO_DELETE: conditional delete
 */
enum pgw_io_kind {
    PGW_IO_NONE,
    PGW_IO_READ,
    PGW_IO_WRITE,
    PGW_IO_DELETE,
};

/**
 * struct pgw_io - an operation
 * @kind: type
 * @expected_version: version to replace or delete; 0: must not exist
 * @value: for WRITE: the new value as JSON; owned by the operation
 * @length: bytes of @value
 */
struct pgw_io {
    enum pgw_io_kind kind;
    uint64_t expected_version;
    char *value;
    size_t length;
};

/** pgw_io_dispose() - release the value and reset the operation to NONE */
void pgw_io_dispose(struct pgw_io *io);

/**
 * enum pgw_io_result - outcome of an operation
 * @PGW_IO_OK: success; for a read: the object exists
 * @PGW_IO_MISSING: for a read or delete: the object does not exist
 * @PGW_IO_CONFLICT: the object has another version; nothing was changed
 * @PGW_IO_THROTTLED: the rate limit was exceeded; the operation had no effect
 * @PGW_IO_UNAVAILABLE: the operation failed and had no effect
 * @PGW_IO_UNKNOWN: the response was lost; the operation may have taken effect
 *   or may do so later
 */
enum pgw_io_result {
    PGW_IO_OK,
    PGW_IO_MISSING,
    PGW_IO_CONFLICT,
    PGW_IO_THROTTLED,
    PGW_IO_UNAVAILABLE,
    PGW_IO_UNKNOWN,
};

/**
 * struct pgw_io_reply - reply to an operation
 * @result: outcome
 * @version: for OK: the object's version (the new one after a write); for
 *           CONFLICT: the current one, 0 when unknown
 * @value: for OK of a read, and for CONFLICT when known; otherwise NULL
 * @length: bytes of @value
 */
struct pgw_io_reply {
    enum pgw_io_result result;
    uint64_t version;
    const char *value;
    size_t length;
};

G_END_DECLS

#endif
