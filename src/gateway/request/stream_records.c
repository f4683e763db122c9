#include "gateway/request/stream_records.h"
#include "gateway/request/exchange.h"
#include "gateway/request/stream_ledger.h"
#include "util/log.h"
#include "util/metric.h"

/* Unfinished streams of an entry that are kept, and those of all entries. */
#define UNFINISHED_MAX 4096
#define KNOWN_MAX 65536
/* Shortest mean interval between two writes. A shorter one would save streams
 * that last for less than that, and few callers take these up. */
#define WRITE_INTERVAL_US 120000
/* Writes that may follow each other without that interval, so that a stream
 * that begins alone is written at once. */
#define WRITES_BURST 8
/* Streams that begin within this time are written together. */
#define WRITE_DELAY_US 20000
/* Time after a write that failed: the store may be away for seconds. */
#define WRITE_RETRY_US 1000000
/* Part of the store's writes that records may take. */
#define WRITES_SHARE 0.1
/* A quarter of the control traffic that a process may cause. */
#define BYTES_PER_S 4000
/* Bytes of a stream in a record, in base64. */
#define ORIGIN_BYTES 6
/* Shortest time between two reads. */
#define READ_INTERVAL_US 250000
/* How long a stream waits for the records: several answers of a slow store. */
#define READ_WAIT_US 400000

static struct pgw_metric_counter writes = {
    .name = "pgw_gateway_stream_record_writes_total",
    .help = "Writes of unfinished streams to the platform's store",
};
static struct pgw_metric_counter reads = {
    .name = "pgw_gateway_stream_record_reads_total",
    .help = "Reads of the unfinished streams of all entries",
};

/*
 * @unfinished: streams of this entry that callers may take up
 * @known: streams in the records that were read
 * @written: id -> version, of the record in the store
 * @pending: the same of the write in progress, NULL: there is none
 * @batch: what is collected for a write, of &struct pgw_stream_origin
 * @has_new: @batch has streams that are not in the store
 * @writes_end_us: when the writes so far would have ended at their mean
 *   interval
 * @retry_at_us: no write begins before, as one has failed or nothing is to be
 *   written
 * @read_began_us: when the last complete read began, 0: there was none
 * @reading_since_us: when the read in progress began, 0: there is none
 * @read_failed_us: when the last read failed
 */
struct pgw_stream_records {
    struct pgw_gateway *gateway;
    const struct pgw_stream_store *store;
    void *store_context;
    uint32_t writes_per_s;
    struct pgw_stream_ledger *unfinished;
    struct pgw_stream_ledger *known;
    GHashTable *written;
    GHashTable *pending;
    GArray *batch;
    bool has_new;
    uint64_t writes_end_us;
    uint64_t retry_at_us;
    struct pgw_timer timer;
    uint64_t read_began_us;
    uint64_t reading_since_us;
    uint64_t read_failed_us;
};

struct pgw_stream_records *
pgw_stream_records_new(struct pgw_gateway *gateway)
{
    struct pgw_stream_records *records = g_new0(struct pgw_stream_records, 1);

    pgw_metric_register_counter(&writes);
    pgw_metric_register_counter(&reads);
    records->gateway = gateway;
    records->unfinished =
        pgw_stream_ledger_new(PGW_SOFTWARE_MIXED_US, UNFINISHED_MAX);
    records->known = pgw_stream_ledger_new(PGW_SOFTWARE_MIXED_US, KNOWN_MAX);
    records->written = g_hash_table_new(NULL, NULL);
    records->batch =
        g_array_new(FALSE, FALSE, sizeof(struct pgw_stream_origin));
    return records;
}

void
pgw_stream_records_free(struct pgw_stream_records *records)
{
    pgw_timer_stop(records->gateway->loop, &records->timer);
    pgw_stream_ledger_free(records->unfinished);
    pgw_stream_ledger_free(records->known);
    g_hash_table_destroy(records->written);
    g_clear_pointer(&records->pending, g_hash_table_destroy);
    g_array_unref(records->batch);
    g_free(records);
}

static void
read_records(struct pgw_stream_records *records)
{
    records->reading_since_us = pgw_now_us();
    pgw_metric_counter_add(&reads, 1);
    records->store->read(records->store_context);
}

void
pgw_stream_records_set_store(struct pgw_stream_records *records,
                             const struct pgw_stream_store *store,
                             void *context, uint32_t writes_per_s)
{
    records->store = store;
    records->store_context = context;
    records->writes_per_s = writes_per_s;
    if (store != NULL) {
        read_records(records);
    }
}

/* The store has only the lower half of an id. */
static uint64_t
short_id(uint64_t id)
{
    return (uint32_t)id;
}

static void
collect(uint64_t id, const char *software, void *context)
{
    struct pgw_stream_records *records = context;
    const struct pgw_stream_origin origin = {.id = (uint32_t)id,
                                             .software = software};

    g_array_append_val(records->batch, origin);
    records->has_new |=
        g_hash_table_lookup(records->written, GUINT_TO_POINTER(origin.id)) !=
        software;
}

static void
write_batch(struct pgw_stream_records *records)
{
    records->pending = g_hash_table_new(NULL, NULL);
    for (guint i = 0; i < records->batch->len; i++) {
        const struct pgw_stream_origin *origin =
            &g_array_index(records->batch, struct pgw_stream_origin, i);

        g_hash_table_insert(records->pending, GUINT_TO_POINTER(origin->id),
                            (void *)origin->software);
    }
    pgw_metric_counter_add(&writes, 1);
    records->store->write(
        records->store_context,
        (const struct pgw_stream_origin *)(void *)records->batch->data,
        records->batch->len);
}

/* Entries share the store's writes, and a large record is written seldom. */
static uint64_t
write_interval_us(const struct pgw_stream_records *records)
{
    uint32_t entries = MAX(pgw_gateway_entries(records->gateway), 1);
    double shared_s = entries / (WRITES_SHARE * MAX(records->writes_per_s, 1));
    double size_s = (double)records->batch->len * ORIGIN_BYTES / BYTES_PER_S;

    return MAX(WRITE_INTERVAL_US, (uint64_t)(MAX(shared_s, size_s) * 1e6));
}

/* When the next write may begin. */
static uint64_t
write_from_us(const struct pgw_stream_records *records)
{
    uint64_t ahead_us = (WRITES_BURST - 1) * write_interval_us(records);
    uint64_t from_us = records->writes_end_us > ahead_us
                           ? records->writes_end_us - ahead_us
                           : 0;

    return MAX(from_us, records->retry_at_us);
}

static void schedule_write(struct pgw_stream_records *records);

static bool
may_write(const struct pgw_stream_records *records)
{
    /* Before it was read, the record may have what nobody else knows. */
    return records->store != NULL && records->pending == NULL &&
           records->read_began_us > 0 &&
           pgw_now_us() >= write_from_us(records) &&
           pgw_software_records_any_mixed(records->gateway->software_records);
}

/*
 * Failure: all entries and sidecars end at once while two software versions
 * serve. Symptom: streams that callers take up are refused, as nobody knows
 * their versions, though upstreams of these are there.
 */
static void
on_write_due(struct pgw_timer *timer)
{
    struct pgw_stream_records *records =
        pgw_container_of(timer, struct pgw_stream_records, timer);

    g_array_set_size(records->batch, 0);
    records->has_new = false;
    pgw_stream_ledger_foreach(records->unfinished, pgw_now_us(), collect,
                              records);
    if (!records->has_new) {
        return;
    }
    if (may_write(records)) {
        records->writes_end_us = MAX(records->writes_end_us, pgw_now_us()) +
                                 write_interval_us(records);
        write_batch(records);
        return;
    }
    if (records->store != NULL && records->read_began_us == 0 &&
        records->reading_since_us == 0) {
        read_records(records);
    }
    records->retry_at_us =
        MAX(records->retry_at_us, pgw_now_us() + WRITE_INTERVAL_US);
    schedule_write(records);
}

static void
schedule_write(struct pgw_stream_records *records)
{
    uint64_t now_us = pgw_now_us();
    uint64_t from_us = write_from_us(records);

    if (records->timer.position == 0) {
        records->timer.on_due = on_write_due;
        pgw_timer_start(records->gateway->loop, &records->timer,
                        from_us > now_us + WRITE_DELAY_US ? from_us - now_us
                                                          : WRITE_DELAY_US);
    }
}

void
pgw_stream_records_add(struct pgw_stream_records *records,
                       const struct pgw_stream_origin *origin, uint64_t age_us,
                       bool is_own)
{
    uint64_t now_us = pgw_now_us();
    uint64_t at_us = now_us - MIN(age_us, now_us);

    if (age_us >= PGW_SOFTWARE_MIXED_US) {
        return;
    }
    pgw_stream_ledger_put(records->known, origin->id, origin->software, at_us);
    /* Later it has streams that have ended since. */
    if (is_own && records->read_began_us == 0) {
        pgw_stream_ledger_put(records->unfinished, origin->id,
                              origin->software, at_us);
        schedule_write(records);
    }
}

void
pgw_stream_records_read_end(struct pgw_stream_records *records,
                            bool is_complete)
{
    if (is_complete) {
        records->read_began_us = records->reading_since_us;
    }
    else {
        records->read_failed_us = pgw_now_us();
    }
    records->reading_since_us = 0;
}

void
pgw_stream_records_write_end(struct pgw_stream_records *records,
                             bool is_written)
{
    if (is_written && records->pending != NULL) {
        g_hash_table_destroy(records->written);
        records->written = g_steal_pointer(&records->pending);
    }
    else {
        records->retry_at_us = pgw_now_us() + WRITE_RETRY_US;
    }
    g_clear_pointer(&records->pending, g_hash_table_destroy);
    schedule_write(records);
}

void
pgw_stream_records_forget_written(struct pgw_stream_records *records)
{
    g_hash_table_remove_all(records->written);
}

void
pgw_stream_records_begin(struct pgw_stream_records *records, uint64_t id,
                         const char *software)
{
    pgw_stream_ledger_put(records->unfinished, short_id(id), software,
                          pgw_now_us());
    schedule_write(records);
}

void
pgw_stream_records_end(struct pgw_stream_records *records, uint64_t id)
{
    pgw_stream_ledger_remove(records->unfinished, short_id(id));
}

bool
pgw_stream_records_find(const char **software,
                        const struct pgw_stream_records *records, uint64_t id)
{
    return pgw_stream_ledger_find(software, records->known, short_id(id),
                                  pgw_now_us());
}

bool
pgw_stream_records_may_tell(struct pgw_stream_records *records,
                            uint64_t since_us)
{
    uint64_t now_us = pgw_now_us();

    if (records->store == NULL || records->read_began_us >= since_us ||
        now_us >= since_us + READ_WAIT_US) {
        return false;
    }
    if (records->reading_since_us == 0 &&
        now_us >= MAX(records->read_began_us, records->read_failed_us) +
                      READ_INTERVAL_US) {
        read_records(records);
    }
    return true;
}
