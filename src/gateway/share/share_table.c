#include "gateway/share/share_table.h"

static void
service_free(void *data)
{
    pgw_service_share_dispose(data);
    g_free(data);
}

struct pgw_share_table *
pgw_share_table_new(void)
{
    struct pgw_share_table *table = g_new0(struct pgw_share_table, 1);

    table->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, service_free);
    return table;
}

void
pgw_share_table_free(struct pgw_share_table *table)
{
    g_hash_table_destroy(table->services);
    g_free(table);
}

struct pgw_service_share *
pgw_share_table_get(struct pgw_share_table *table, const char *service)
{
    struct pgw_service_share *share =
        g_hash_table_lookup(table->services, service);

    if (share == NULL) {
        share = g_new0(struct pgw_service_share, 1);
        pgw_service_share_init(share);
        g_hash_table_insert(table->services, g_strdup(service), share);
    }
    return share;
}

/* A caller that repeats before its time is refused with the same promise as
 * often as it likes. */
bool
pgw_share_table_refuse(struct pgw_share_table *table,
                       const struct pgw_returned_caller *caller)
{
    bool is_new = pgw_returned_callers_add(&table->returned, caller);

    if (!is_new || !caller->at.is_promised) {
        return false;
    }
    if (table->on_promise != NULL) {
        table->on_promise(caller, table->context);
    }
    return true;
}
