#ifndef PARSLEYGW_IO_H
#define PARSLEYGW_IO_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Store operations asked for by pure state machines
 *
 * The machines of claim.h and quarantine.h do no I/O: they hand out an
 * operation on an object of the object API and are told how it ended.
 */

/**
 * enum pgw_io_kind - operation wanted
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
 * @kind: which
 * @expected_version: version to be replaced or deleted; 0: none may exist
 * @value: for WRITE: the new value as JSON; owned
 * @length: bytes of @value
 */
struct pgw_io {
    enum pgw_io_kind kind;
    uint64_t expected_version;
    char *value;
    size_t length;
};

/** pgw_io_dispose() - drop what an operation owns */
void pgw_io_dispose(struct pgw_io *io);

/**
 * enum pgw_io_result - how an operation ended
 * @PGW_IO_OK: done; for a read: the object exists
 * @PGW_IO_MISSING: for a read or delete: there is no such object
 * @PGW_IO_CONFLICT: another version stands; nothing was changed
 * @PGW_IO_THROTTLED: over the rate limit; nothing was done
 * @PGW_IO_UNAVAILABLE: it certainly was not done
 * @PGW_IO_UNKNOWN: no answer; it may have been done, or may be yet
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
 * struct pgw_io_reply - answer to an operation
 * @result: how it ended
 * @version: for OK: the object's version (the new one after a write); for
 *           CONFLICT: the current one, 0 when not told
 * @value: for OK of a read, and for CONFLICT when told; else NULL
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
