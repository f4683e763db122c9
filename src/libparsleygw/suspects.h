#ifndef PGW_SUSPECTS_H
#define PGW_SUSPECTS_H

#include "libparsleygw/link.h"
#include "parsleygw/quarantine.h"
#include "parsleygw/store.h"

/**
 * DOC: Distribution of quarantine records between processes
 *
 * Every process keeps a copy of the few records in force. A sidecar that
 * writes a record, or receives one from its watch, sends the record to all its
 * entries at once. A request that crashed two engines is thus known everywhere
 * before its caller can resend it. The store holds the records; sidecars read
 * there what they need.
 *
 * A crash that may not be stored yet is sent as version 0. Entries keep it
 * until a recorded version or a lift replaces it, and send it to the sidecar
 * to which they resend the request. That sidecar counts the crash and writes
 * it as soon as the store is available.
 */

struct pgw_suspects;

/**
 * struct pgw_suspects_options - options of one process's copy
 * @loop: loop of all links
 * @on_record: called with each new record; @value is NULL when the record was
 *             lifted; @version is 0 when the record may not be stored yet;
 *             may be NULL
 * @context: passed to @on_record
 * @retention_us: how long a record is kept after its last change
 * @limit: maximum number of records; the least recently changed are dropped
 */
struct pgw_suspects_options {
    struct pgw_loop *loop;
    void (*on_record)(void *context, const struct pgw_fingerprint *fingerprint,
                      uint64_t version, const char *value, size_t length);
    void *context;
    uint64_t retention_us;
    size_t limit;
};

#define PGW_SUSPECTS_OPTIONS_INIT                                             \
    {                                                                         \
        .retention_us = 24ull * 3600 * G_USEC_PER_SEC, .limit = 4096          \
    }

struct pgw_suspects *
pgw_suspects_new(const struct pgw_suspects_options *options);
void pgw_suspects_free(struct pgw_suspects *suspects);

/** pgw_suspects_add_link() - send all records to a new peer, then each change
 */
void pgw_suspects_add_link(struct pgw_suspects *suspects,
                           struct pgw_link *link);
void pgw_suspects_remove_link(struct pgw_suspects *suspects,
                              struct pgw_link *link);

/**
 * pgw_suspects_apply() - apply a record read from or written to the store
 * @suspects: the copy
 * @name: the object's name
 * @version: the object's version; an older or equal version changes nothing
 * @value: JSON, or NULL: deleted
 * @length: bytes of @value
 */
void pgw_suspects_apply(struct pgw_suspects *suspects, const char *name,
                        uint64_t version, const char *value, size_t length);

/**
 * pgw_suspects_announce_crash() - send a crash that may not be stored yet
 * @suspects: the copy
 * @fingerprint: of a request that ran on the engine
 * @crash: the engine's incarnation
 * @changed_us: time of the crash, microseconds since 1970
 *
 * The crash is sent to all links at once. It changes nothing where a recorded
 * version is in force.
 */
void pgw_suspects_announce_crash(struct pgw_suspects *suspects,
                                 const struct pgw_fingerprint *fingerprint,
                                 uint64_t crash, uint64_t changed_us);

/** pgw_suspects_send_unrecorded() - send a record to a link if it may not be
 * stored yet */
void pgw_suspects_send_unrecorded(const struct pgw_suspects *suspects,
                                  const struct pgw_fingerprint *fingerprint,
                                  struct pgw_link *link);

/** pgw_suspects_withdraw_crash() - withdraw an announced crash if the record
 * lists no other and is not stored */
void pgw_suspects_withdraw_crash(struct pgw_suspects *suspects,
                                 const struct pgw_fingerprint *fingerprint,
                                 uint64_t crash);

/** pgw_suspects_apply_list() - mark records that are missing in a complete
 * list of the store as lifted */
void pgw_suspects_apply_list(struct pgw_suspects *suspects,
                             const struct pgw_store_list *list);

/** pgw_suspects_handle_frame() - apply the records of a SUSPECTS frame */
void pgw_suspects_handle_frame(struct pgw_suspects *suspects,
                               const Pgw__Objects *message);

/**
 * pgw_suspects_find() - find the record of a fingerprint
 * @suspects: the copy
 * @fingerprint: of the request
 * @recorded: receives whether the record is stored
 *
 * Return: the record, NULL when there is none in force.
 */
const struct pgw_quarantine_record *
pgw_suspects_find(const struct pgw_suspects *suspects,
                  const struct pgw_fingerprint *fingerprint, bool *recorded);

/** pgw_suspects_version() - highest version seen, 0 before any */
uint64_t pgw_suspects_version(const struct pgw_suspects *suspects);

/** pgw_suspects_count() - records in force */
size_t pgw_suspects_count(const struct pgw_suspects *suspects);

#endif
