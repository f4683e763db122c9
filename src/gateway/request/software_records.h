#ifndef PGW_GATEWAY_REQUEST_SOFTWARE_RECORDS_H
#define PGW_GATEWAY_REQUEST_SOFTWARE_RECORDS_H

#include "gateway/upstream/software_history.h"

/**
 * DOC: Records of the software versions of services
 *
 * Each entry keeps what it knows of a service's versions (software_history.h)
 * and writes a change to the platform's store, where an entry that starts
 * finds it. One entry writes for all: each waits for a time of its own and
 * reads the record again before it writes.
 */

/**
 * struct pgw_software_store - calls to the platform's store
 * @read: read a service's record; the answer goes to
 *   pgw_software_records_set()
 * @write: replace the record that was read last; what the store has then goes
 *   to pgw_software_records_set()
 */
struct pgw_software_store {
    void (*read)(void *context, const char *service);
    void (*write)(void *context, const char *service,
                  const struct pgw_software_record *record);
};

struct pgw_gateway;
struct pgw_software_records;

struct pgw_software_records *
pgw_software_records_new(struct pgw_gateway *gateway);
void pgw_software_records_free(struct pgw_software_records *records);

/** pgw_software_records_set_store() - set where records are kept; without it,
 * a version counts as the only one once it was seen for long enough */
void pgw_software_records_set_store(struct pgw_software_records *records,
                                    const struct pgw_software_store *store,
                                    void *context);

/** pgw_software_records_set() - the record of a service as the store has it,
 * NULL: there is none */
void pgw_software_records_set(struct pgw_software_records *records,
                              const char *service,
                              const struct pgw_software_record *read);

/** pgw_software_records_fail() - a call for a record had no answer */
void pgw_software_records_fail(struct pgw_software_records *records,
                               const char *service);

/** pgw_software_records_add() - a service has upstreams with versions */
void pgw_software_records_add(struct pgw_software_records *records,
                              const char *service);

/** pgw_software_records_check() - read and write the records that need it */
void pgw_software_records_check(struct pgw_software_records *records);

/** pgw_software_records_is_single() - whether all streams of a service that
 * may be taken up began at the version that is listed */
bool pgw_software_records_is_single(struct pgw_software_records *records,
                                    const char *service);

/** pgw_software_records_any_mixed() - whether streams of some service may have
 * begun at more than one version */
bool pgw_software_records_any_mixed(struct pgw_software_records *records);

/** pgw_software_records_is_read() - whether the store has answered */
bool pgw_software_records_is_read(struct pgw_software_records *records,
                                  const char *service);

#endif
