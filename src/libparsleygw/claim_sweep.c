#include "parsleygw/claim.h"
#include "util/list.h"

#include <string.h>

/** struct target - an object that may be there and is to be deleted */
struct target {
    struct pgw_list link;
    char name[PGW_CLAIM_NAME_SIZE];
};

struct pgw_claim_sweep {
    struct pgw_claim_layout layout;
    uint64_t slack_us;
    uint32_t catch_up;
    GHashTable *swept; /* "service.shard" to the last period gone after */
    struct pgw_list targets;
    enum pgw_io_kind outstanding;
    uint64_t version; /* of the first target, 0: not read yet */
};

struct pgw_claim_sweep *
pgw_claim_sweep_new(const struct pgw_claim_layout *layout, uint64_t slack_us,
                    uint32_t catch_up)
{
    struct pgw_claim_sweep *sweep = g_new0(struct pgw_claim_sweep, 1);

    sweep->layout = *layout;
    sweep->slack_us = slack_us;
    sweep->catch_up = catch_up;
    sweep->swept =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    pgw_list_init(&sweep->targets);
    return sweep;
}

void
pgw_claim_sweep_free(struct pgw_claim_sweep *sweep)
{
    if (sweep == NULL) {
        return;
    }
    pgw_list_foreach_safe (link, &sweep->targets) {
        g_free(pgw_container_of(link, struct target, link));
    }
    g_hash_table_destroy(sweep->swept);
    g_free(sweep);
}

static void
add_targets(struct pgw_claim_sweep *sweep, const char *shard, uint64_t from,
            uint64_t to)
{
    for (uint64_t period = from; period <= to; period++) {
        struct target *target = g_new0(struct target, 1);

        g_snprintf(target->name, sizeof(target->name), "%s.%" G_GUINT64_FORMAT,
                   shard, period);
        pgw_list_append(&sweep->targets, &target->link);
    }
}

void
pgw_claim_sweep_schedule(struct pgw_claim_sweep *sweep, const char *name,
                         uint64_t now_us)
{
    uint64_t period_us = sweep->layout.period_us;
    uint64_t age = sweep->layout.retention_us + sweep->slack_us + period_us;
    const char *last = strrchr(name, '.');
    uint64_t *swept;
    uint64_t newest, from;
    char *shard;

    if (last == NULL || !g_ascii_isdigit(last[1]) ||
        now_us < age + period_us) {
        return;
    }
    /* The whole period lies before retention and clock difference. */
    newest = (now_us - age) / period_us - 1;
    shard = g_strndup(name, (gsize)(last - name));
    swept = g_hash_table_lookup(sweep->swept, shard);
    from = newest - MIN(newest, sweep->catch_up);
    if (swept != NULL) {
        from = MAX(from, *swept + 1);
    }
    add_targets(sweep, shard, from, newest);
    if (from <= newest) {
        g_hash_table_replace(sweep->swept, g_strdup(shard),
                             g_memdup2(&newest, sizeof(newest)));
    }
    g_free(shard);
}

bool
pgw_claim_sweep_next_io(struct pgw_io *out, char name[PGW_CLAIM_NAME_SIZE],
                        struct pgw_claim_sweep *sweep)
{
    struct pgw_list *link = pgw_list_first(&sweep->targets);

    *out = (struct pgw_io){.kind = PGW_IO_NONE};
    if (link == NULL || sweep->outstanding != PGW_IO_NONE) {
        return false;
    }
    g_strlcpy(name, pgw_container_of(link, struct target, link)->name,
              PGW_CLAIM_NAME_SIZE);
    out->kind = sweep->version == 0 ? PGW_IO_READ : PGW_IO_DELETE;
    out->expected_version = sweep->version;
    sweep->outstanding = out->kind;
    return true;
}

static void
drop_first(struct pgw_claim_sweep *sweep)
{
    struct pgw_list *link = pgw_list_first(&sweep->targets);

    sweep->version = 0;
    pgw_list_remove(link);
    g_free(pgw_container_of(link, struct target, link));
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
        drop_first(sweep);
    }
    else if (kind == PGW_IO_READ && reply->result == PGW_IO_OK) {
        sweep->version = reply->version;
    }
    else {
        /* Read again: it may have changed, or be gone already. */
        sweep->version = 0;
    }
}
