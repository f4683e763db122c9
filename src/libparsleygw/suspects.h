#ifndef PGW_SUSPECTS_H
#define PGW_SUSPECTS_H

#include "libparsleygw/link.h"
#include "parsleygw/quarantine.h"
#include "parsleygw/store.h"

/**
 * DOC: Quarantine records between our processes
 *
 * Every process keeps the few records that are in force. A sidecar that
 * writes or watches a new one tells all its entries at once, so that a request
 * which crashed two engines is known everywhere before its caller can send it
 * again. Records live in the store; sidecars read there what they need.
 *
 * A crash that the store may not have taken yet is told as version 0. Entries
 * keep it until a recorded version or a lift replaces it, and hand it to the
 * sidecar to which they send the request again: that one counts the crash
 * and writes it when the store answers.
 */

struct pgw_suspects;

/**
 * struct pgw_suspects_options - one process's copy
 * @loop: loop of all its links
 * @on_record: a record is new here; @value is NULL when it was lifted;
 *             @version is 0 when it may not stand in the store; may be NULL
 * @context: handed to @on_record
 * @keep_us: how long a record is kept after its last change
 * @limit: most records; the oldest go first
 */
struct pgw_suspects_options {
    struct pgw_loop *loop;
    void (*on_record)(void *context, const struct pgw_fingerprint *fingerprint,
                      uint64_t version, const char *value, size_t length);
    void *context;
    uint64_t keep_us;
    size_t limit;
};

#define PGW_SUSPECTS_OPTIONS_INIT                                             \
    {                                                                         \
        .keep_us = 24ull * 3600 * G_USEC_PER_SEC, .limit = 4096               \
    }

struct pgw_suspects *
pgw_suspects_new(const struct pgw_suspects_options *options);
void pgw_suspects_free(struct pgw_suspects *suspects);

/** pgw_suspects_add_link() - tell a new peer all records, then changes */
void pgw_suspects_add_link(struct pgw_suspects *suspects,
                           struct pgw_link *link);
void pgw_suspects_remove_link(struct pgw_suspects *suspects,
                              struct pgw_link *link);

/**
 * pgw_suspects_apply() - a record read from or written to the store
 * @suspects: the copy
 * @name: the object's name
 * @version: its version; an older or equal one changes nothing
 * @value: JSON, or NULL: deleted
 * @length: bytes of @value
 */
void pgw_suspects_apply(struct pgw_suspects *suspects, const char *name,
                        uint64_t version, const char *value, size_t length);

/**
 * pgw_suspects_announce_crash() - a crash that may not stand in the store yet
 * @suspects: the copy
 * @fingerprint: of a request that ran there
 * @crash: the engine's incarnation
 * @changed_us: when, microseconds since 1970
 *
 * Told to all links at once; changes nothing where a recorded version is in
 * force.
 */
void pgw_suspects_announce_crash(struct pgw_suspects *suspects,
                                 const struct pgw_fingerprint *fingerprint,
                                 uint64_t crash, uint64_t changed_us);

/** pgw_suspects_send_unrecorded() - tell a link what the store may not hold */
void pgw_suspects_send_unrecorded(const struct pgw_suspects *suspects,
                                  const struct pgw_fingerprint *fingerprint,
                                  struct pgw_link *link);

/** pgw_suspects_withdraw_crash() - an announced crash, the only one, is taken
 * back
 */
void pgw_suspects_withdraw_crash(struct pgw_suspects *suspects,
                                 const struct pgw_fingerprint *fingerprint,
                                 uint64_t crash);

/** pgw_suspects_apply_list() - what a whole list of the store misses was
 * lifted */
void pgw_suspects_apply_list(struct pgw_suspects *suspects,
                             const struct pgw_store_list *list);

/** pgw_suspects_handle_frame() - handle a SUSPECTS frame of a link */
void pgw_suspects_handle_frame(struct pgw_suspects *suspects,
                               const Pgw__Objects *message);

/**
 * pgw_suspects_find() - the record of a fingerprint
 * @suspects: the copy
 * @fingerprint: of the request
 * @recorded: receives whether it stands in the store
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
