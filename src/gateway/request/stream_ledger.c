#include "gateway/request/stream_ledger.h"
#include "util/list.h"
#include <glib.h>

/*
 * struct record - an attempt
 * @in_ledger: link in the ledger's list, the oldest first
 * @software: interned version
 */
struct record {
    struct pgw_list in_ledger;
    uint64_t id;
    const char *software;
    uint64_t at_us;
};

struct pgw_stream_ledger {
    GHashTable *by_id;
    struct pgw_list records;
    uint64_t lifetime_us;
    size_t records_max;
};

struct pgw_stream_ledger *
pgw_stream_ledger_new(uint64_t lifetime_us, size_t records_max)
{
    struct pgw_stream_ledger *ledger = g_new0(struct pgw_stream_ledger, 1);

    ledger->by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    pgw_list_init(&ledger->records);
    ledger->lifetime_us = lifetime_us;
    ledger->records_max = records_max;
    return ledger;
}

void
pgw_stream_ledger_free(struct pgw_stream_ledger *ledger)
{
    g_hash_table_destroy(ledger->by_id);
    g_free(ledger);
}

static bool
is_current(const struct pgw_stream_ledger *ledger, const struct record *record,
           uint64_t now_us)
{
    return now_us < record->at_us + ledger->lifetime_us;
}

static void
remove_record(struct pgw_stream_ledger *ledger, struct record *record)
{
    pgw_list_remove(&record->in_ledger);
    g_hash_table_remove(ledger->by_id, &record->id);
}

/* Removes expired records, and the oldest ones beyond the limit. */
static void
make_room(struct pgw_stream_ledger *ledger, uint64_t now_us)
{
    pgw_list_foreach_safe (link, &ledger->records) {
        struct record *record =
            pgw_container_of(link, struct record, in_ledger);

        if (is_current(ledger, record, now_us) &&
            g_hash_table_size(ledger->by_id) < ledger->records_max) {
            return;
        }
        remove_record(ledger, record);
    }
}

void
pgw_stream_ledger_remove(struct pgw_stream_ledger *ledger, uint64_t id)
{
    struct record *record = g_hash_table_lookup(ledger->by_id, &id);

    if (record != NULL) {
        remove_record(ledger, record);
    }
}

void
pgw_stream_ledger_put(struct pgw_stream_ledger *ledger, uint64_t id,
                      const char *software, uint64_t now_us)
{
    struct record *record = g_hash_table_lookup(ledger->by_id, &id);

    if (record != NULL) {
        pgw_list_remove(&record->in_ledger);
    }
    else {
        make_room(ledger, now_us);
        record = g_new0(struct record, 1);
        record->id = id;
        g_hash_table_insert(ledger->by_id, &record->id, record);
    }
    record->software = software;
    record->at_us = now_us;
    pgw_list_append(&ledger->records, &record->in_ledger);
}

bool
pgw_stream_ledger_find(const char **software,
                       const struct pgw_stream_ledger *ledger, uint64_t id,
                       uint64_t now_us)
{
    const struct record *record = g_hash_table_lookup(ledger->by_id, &id);

    if (record == NULL || !is_current(ledger, record, now_us)) {
        return false;
    }
    *software = record->software;
    return true;
}

bool
pgw_stream_ledger_is_empty(const struct pgw_stream_ledger *ledger,
                           uint64_t now_us)
{
    return pgw_list_is_empty(&ledger->records) ||
           !is_current(ledger,
                       pgw_container_of(ledger->records.prev, struct record,
                                        in_ledger),
                       now_us);
}

void
pgw_stream_ledger_foreach(const struct pgw_stream_ledger *ledger,
                          uint64_t now_us,
                          void (*on_record)(uint64_t id, const char *software,
                                            void *context),
                          void *context)
{
    pgw_list_foreach (link, &ledger->records) {
        const struct record *record =
            pgw_container_of(link, struct record, in_ledger);

        if (is_current(ledger, record, now_us)) {
            on_record(record->id, record->software, context);
        }
    }
}
