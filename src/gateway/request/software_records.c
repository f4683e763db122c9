#include "gateway/request/software_records.h"
#include "gateway/request/exchange.h"
#include "util/hlc.h"
#include "util/log.h"
#include "util/random.h"

/* Interval between checks of the records, and after a call without an answer.
 */
#define CHECK_US 1000000
#define RETRY_US 300000

/*
 * struct service_record - the versions of a service
 * @write_at_us: when its record is to be written, 0: it is not
 * @retry_at_us: no call is made before this time
 * @is_checked: the record was read for this write
 * @is_called: a call has not ended
 */
struct service_record {
    struct pgw_software_history history;
    uint64_t write_at_us;
    uint64_t retry_at_us;
    bool is_checked;
    bool is_called;
};

/*
 * @by_service: service -> &struct service_record
 * @store: where the records are kept, NULL: nowhere
 */
struct pgw_software_records {
    struct pgw_gateway *gateway;
    GHashTable *by_service;
    const struct pgw_software_store *store;
    void *store_context;
    struct pgw_timer timer;
};

static struct service_record *
service_record_get(struct pgw_software_records *records, const char *service)
{
    struct service_record *record =
        g_hash_table_lookup(records->by_service, service);

    if (record == NULL) {
        record = g_new0(struct service_record, 1);
        record->history.is_first_start =
            records->gateway->options.is_first_start;
        g_hash_table_insert(records->by_service, g_strdup(service), record);
    }
    return record;
}

static struct pgw_software_time
software_time(uint64_t now_us)
{
    return (struct pgw_software_time){.now_us = now_us,
                                      .wall_us = pgw_hlc_wall_us()};
}

/* Reads a record that is not known, and writes one that has changed. Another
 * entry may have written the same, so it is read once more before. */
static void
check_record(struct pgw_software_records *records, const char *service,
             struct service_record *record, uint64_t now_us)
{
    const struct pgw_upstream_pool *pool =
        pgw_upstream_table_pool(records->gateway->upstreams, service);
    struct pgw_software_record next;

    if (record->is_called || now_us < record->retry_at_us || pool == NULL) {
        return;
    }
    if (record->history.state == PGW_SOFTWARE_RECORD_UNREAD) {
        record->is_called = true;
        records->store->read(records->store_context, service);
        return;
    }
    if (!pgw_software_history_next_record(&next, &record->history, pool,
                                          software_time(now_us))) {
        record->write_at_us = 0;
        return;
    }
    if (record->write_at_us == 0) {
        record->write_at_us =
            now_us + pgw_random_u64() % pgw_software_history_write_delay_us(
                                            &record->history, &next,
                                            records->gateway->entries);
        record->is_checked = false;
    }
    if (now_us < record->write_at_us) {
        return;
    }
    record->is_called = true;
    if (record->is_checked) {
        record->is_checked = false;
        pgw_log_info("software_versions",
                     "service=%s versions=%zu newest=%s settled=%d alone=%s",
                     service, next.count, next.versions[next.count - 1],
                     (int)next.settled,
                     next.listed_alone == NULL ? "-" : next.listed_alone);
        records->store->write(records->store_context, service, &next);
    }
    else {
        record->is_checked = true;
        records->store->read(records->store_context, service);
    }
}

static uint64_t
due_us(const struct service_record *record, uint64_t now_us)
{
    uint64_t due = MAX(record->write_at_us, record->retry_at_us);

    return due > now_us ? due : now_us + CHECK_US;
}

void
pgw_software_records_check(struct pgw_software_records *records)
{
    uint64_t now_us = pgw_now_us();
    uint64_t next_us = now_us + CHECK_US;
    GHashTableIter iter;
    gpointer service;
    gpointer record;

    if (records->store == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, records->by_service);
    while (g_hash_table_iter_next(&iter, &service, &record)) {
        check_record(records, service, record, now_us);
        next_us = MIN(next_us, due_us(record, now_us));
    }
    pgw_timer_start(records->gateway->loop, &records->timer, next_us - now_us);
}

static void
on_record_timer(struct pgw_timer *timer)
{
    pgw_software_records_check(
        pgw_container_of(timer, struct pgw_software_records, timer));
}

void
pgw_software_records_set_store(struct pgw_software_records *records,
                               const struct pgw_software_store *store,
                               void *context)
{
    records->store = store;
    records->store_context = context;
}

void
pgw_software_records_set(struct pgw_software_records *records,
                         const char *service,
                         const struct pgw_software_record *read)
{
    struct service_record *record = service_record_get(records, service);

    record->is_called = false;
    pgw_software_history_set_record(&record->history, read, pgw_now_us());
    pgw_software_records_check(records);
}

void
pgw_software_records_fail(struct pgw_software_records *records,
                          const char *service)
{
    struct service_record *record = service_record_get(records, service);

    record->is_called = false;
    record->is_checked = false;
    record->retry_at_us = pgw_now_us() + RETRY_US;
    pgw_software_records_check(records);
}

struct pgw_software_records *
pgw_software_records_new(struct pgw_gateway *gateway)
{
    struct pgw_software_records *records =
        g_new0(struct pgw_software_records, 1);

    records->gateway = gateway;
    records->by_service =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    records->timer.on_due = on_record_timer;
    return records;
}

void
pgw_software_records_free(struct pgw_software_records *records)
{
    pgw_timer_stop(records->gateway->loop, &records->timer);
    g_hash_table_destroy(records->by_service);
    g_free(records);
}

void
pgw_software_records_add(struct pgw_software_records *records,
                         const char *service)
{
    service_record_get(records, service);
}

bool
pgw_software_records_is_single(struct pgw_software_records *records,
                               const char *service)
{
    const struct pgw_upstream_pool *pool =
        pgw_upstream_table_pool(records->gateway->upstreams, service);

    return pool != NULL && pgw_software_history_is_single(
                               &service_record_get(records, service)->history,
                               pool, software_time(pgw_now_us()));
}

bool
pgw_software_records_any_mixed(struct pgw_software_records *records)
{
    GHashTableIter iter;
    void *service;

    g_hash_table_iter_init(&iter, records->by_service);
    while (g_hash_table_iter_next(&iter, &service, NULL)) {
        if (!pgw_software_records_is_single(records, service)) {
            return true;
        }
    }
    return false;
}

bool
pgw_software_records_is_read(struct pgw_software_records *records,
                             const char *service)
{
    return service_record_get(records, service)->history.state !=
           PGW_SOFTWARE_RECORD_UNREAD;
}
