#ifndef PGW_GATEWAY_REQUEST_STREAM_RECORDS_H
#define PGW_GATEWAY_REQUEST_STREAM_RECORDS_H

#include "gateway/request/stream_origins.h"

/**
 * DOC: Records of the streams that were sent and have not ended
 *
 * Entries and sidecars keep in memory at which software version a stream began
 * (stream_origins.h). If all of them end at once, only the platform's store
 * can tell. So while streams of a service may have begun at more than one
 * version, each entry writes its unfinished streams to a record of its own, in
 * batches. Streams that end before the next batch cost nothing, those that
 * begin after the last one are lost with their entry. An entry reads all
 * records when it starts, and again for a stream that nobody knows.
 */

/**
 * struct pgw_stream_store - calls to the platform's store
 * @read: read the records of all entries; their streams go to
 *   pgw_stream_records_add(), and then pgw_stream_records_read_end() is called
 * @write: replace the record of this entry; then
 * pgw_stream_records_write_end() is called
 */
struct pgw_stream_store {
    void (*read)(void *context);
    void (*write)(void *context, const struct pgw_stream_origin *origins,
                  size_t count);
};

struct pgw_gateway;
struct pgw_stream_records;

struct pgw_stream_records *pgw_stream_records_new(struct pgw_gateway *gateway);
void pgw_stream_records_free(struct pgw_stream_records *records);

/**
 * pgw_stream_records_set_store() - set where records are kept, and read them
 * @records: the records
 * @store: calls, NULL: nowhere
 * @context: passed to @store
 * @writes_per_s: writes that the store takes from all processes together
 */
void pgw_stream_records_set_store(struct pgw_stream_records *records,
                                  const struct pgw_stream_store *store,
                                  void *context, uint32_t writes_per_s);

/**
 * pgw_stream_records_add() - a stream of a record in the store
 * @records: the records
 * @origin: the stream
 * @age_us: age of the record
 * @is_own: the record is this entry's: what it wrote before it was started
 *   again is written on
 */
void pgw_stream_records_add(struct pgw_stream_records *records,
                            const struct pgw_stream_origin *origin,
                            uint64_t age_us, bool is_own);

/** pgw_stream_records_read_end() - all records were read, or not */
void pgw_stream_records_read_end(struct pgw_stream_records *records,
                                 bool is_complete);

/** pgw_stream_records_write_end() - the record was written, or not */
void pgw_stream_records_write_end(struct pgw_stream_records *records,
                                  bool is_written);

/** pgw_stream_records_forget_written() - the store may have lost the record */
void pgw_stream_records_forget_written(struct pgw_stream_records *records);

/** pgw_stream_records_begin() - the attempt @id is sent to an upstream of this
 * version, which may begin a stream; @software is interned. It is known before
 * the first event, so that a record is there in time */
void pgw_stream_records_begin(struct pgw_stream_records *records, uint64_t id,
                              const char *software);

/** pgw_stream_records_end() - nothing of the stream can be taken up */
void pgw_stream_records_end(struct pgw_stream_records *records, uint64_t id);

/** pgw_stream_records_find() - version of a stream by the records that were
 * read; false: they do not have it */
bool pgw_stream_records_find(const char **software,
                             const struct pgw_stream_records *records,
                             uint64_t id);

/**
 * pgw_stream_records_may_tell() - whether the records may still tell of a
 * stream that nobody knows; reads them again if they are older
 * @records: the records
 * @since_us: when it was first looked for
 */
bool pgw_stream_records_may_tell(struct pgw_stream_records *records,
                                 uint64_t since_us);

#endif
