#include "parsleygw/claim.h"
#include "util/list.h"

#include <string.h>

/** struct sweep_object - an expired object to be deleted if it exists */
struct sweep_object {
    struct pgw_list link;
    char name[PGW_CLAIM_NAME_SIZE];
};

struct pgw_claim_sweep {
    struct pgw_claim_layout layout;
    uint64_t clock_skew_us;
    uint32_t initial_periods;
    GHashTable *swept_periods; /* "service.shard" to last scheduled period */
    struct pgw_list objects;
    enum pgw_io_kind outstanding;
    uint64_t version; /* of the first object, 0: not read yet */
};

struct pgw_claim_sweep *
pgw_claim_sweep_new(const struct pgw_claim_layout *layout,
                    uint64_t clock_skew_us, uint32_t initial_periods)
{
    struct pgw_claim_sweep *sweep = g_new0(struct pgw_claim_sweep, 1);

    sweep->layout = *layout;
    sweep->clock_skew_us = clock_skew_us;
    sweep->initial_periods = initial_periods;
    sweep->swept_periods =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    pgw_list_init(&sweep->objects);
    return sweep;
}

void
pgw_claim_sweep_free(struct pgw_claim_sweep *sweep)
{
    if (sweep == NULL) {
        return;
    }
    pgw_list_foreach_safe (link, &sweep->objects) {
        g_free(pgw_container_of(link, struct sweep_object, link));
    }
    g_hash_table_destroy(sweep->swept_periods);
    g_free(sweep);
}

static void
add_objects(struct pgw_claim_sweep *sweep, const char *shard, uint64_t from,
            uint64_t to)
{
    for (uint64_t period = from; period <= to; period++) {
        struct sweep_object *object = g_new0(struct sweep_object, 1);

        g_snprintf(object->name, sizeof(object->name), "%s.%" G_GUINT64_FORMAT,
                   shard, period);
        pgw_list_append(&sweep->objects, &object->link);
    }
}

void
pgw_claim_sweep_schedule(struct pgw_claim_sweep *sweep, const char *name,
                         uint64_t now_us)
{
    uint64_t period_us = sweep->layout.period_us;
    uint64_t age_us =
        sweep->layout.retention_us + sweep->clock_skew_us + period_us;
    const char *suffix = strrchr(name, '.');
    uint64_t *last_period;
    uint64_t newest, from;
    char *shard;

    if (suffix == NULL || !g_ascii_isdigit(suffix[1]) ||
        now_us < age_us + period_us) {
        return;
    }
    /* The period ended more than the retention plus the clock skew ago. */
    newest = (now_us - age_us) / period_us - 1;
    shard = g_strndup(name, (gsize)(suffix - name));
    last_period = g_hash_table_lookup(sweep->swept_periods, shard);
    from = newest - MIN(newest, sweep->initial_periods);
    if (last_period != NULL) {
        from = MAX(from, *last_period + 1);
    }
    add_objects(sweep, shard, from, newest);
    if (from <= newest) {
        g_hash_table_replace(sweep->swept_periods, g_strdup(shard),
                             g_memdup2(&newest, sizeof(newest)));
    }
    g_free(shard);
}

bool
pgw_claim_sweep_next_io(struct pgw_io *out, char name[PGW_CLAIM_NAME_SIZE],
                        struct pgw_claim_sweep *sweep)
{
    struct pgw_list *link = pgw_list_first(&sweep->objects);

    *out = (struct pgw_io){.kind = PGW_IO_NONE};
    if (link == NULL || sweep->outstanding != PGW_IO_NONE) {
        return false;
    }
    g_strlcpy(name, pgw_container_of(link, struct sweep_object, link)->name,
              PGW_CLAIM_NAME_SIZE);
    out->kind = sweep->version == 0 ? PGW_IO_READ : PGW_IO_DELETE;
    out->expected_version = sweep->version;
    sweep->outstanding = out->kind;
    return true;
}

static void
remove_first(struct pgw_claim_sweep *sweep)
{
    struct pgw_list *link = pgw_list_first(&sweep->objects);

    sweep->version = 0;
    pgw_list_remove(link);
    g_free(pgw_container_of(link, struct sweep_object, link));
}

void
pgw_claim_sweep_io_done(struct pgw_claim_sweep *sweep,
                        const struct pgw_io_reply *reply)
{
    enum pgw_io_kind kind = sweep->outstanding;

    sweep->outstanding = PGW_IO_NONE;
    if (kind == PGW_IO_NONE) {
        return;
    }
    if (reply->result == PGW_IO_MISSING ||
        (kind == PGW_IO_DELETE && reply->result == PGW_IO_OK)) {
        remove_first(sweep);
    }
    else if (kind == PGW_IO_READ && reply->result == PGW_IO_OK) {
        sweep->version = reply->version;
    }
    else {
        /* Read again: the object may have changed or been deleted. */
        sweep->version = 0;
    }
}
