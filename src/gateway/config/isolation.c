#include "gateway/config/isolation.h"
#include "gateway/placement/cache_salt.h"
#include <stdlib.h>
#include <string.h>

/*
 * @version: configuration in force, 0: none
 * @sharing: names of its workspaces that are not isolated
 * @isolated: name -> scope, of those that are, and of those that were when
 * they were removed
 * @scope: scope of all others
 * @recorded: names in the store's record, NULL: it was not read
 * @recorded_version: configuration that the record was derived from
 */
struct pgw_isolation {
    uint64_t version;
    GHashTable *sharing;
    GHashTable *isolated;
    const char *scope;
    GHashTable *recorded;
    uint64_t recorded_version;
};

static GHashTable *
new_names(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

struct pgw_isolation *
pgw_isolation_new(void)
{
    struct pgw_isolation *isolation = g_new0(struct pgw_isolation, 1);

    isolation->sharing = new_names();
    isolation->isolated = new_names();
    isolation->scope = pgw_cache_scope(PGW_CACHE_SCOPE_OTHERS, NULL, 0);
    return isolation;
}

void
pgw_isolation_free(struct pgw_isolation *isolation)
{
    if (isolation == NULL) {
        return;
    }
    g_hash_table_destroy(isolation->sharing);
    g_hash_table_destroy(isolation->isolated);
    g_clear_pointer(&isolation->recorded, g_hash_table_destroy);
    g_free(isolation);
}

static int
compare_names(const void *a, const void *b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static const char **
sorted_names(const struct pgw_isolation *isolation, guint *count)
{
    const char **names = (const char **)g_hash_table_get_keys_as_array(
        isolation->isolated, count);

    qsort(names, *count, sizeof(*names), compare_names);
    return names;
}

static void
update_scope(struct pgw_isolation *isolation)
{
    guint count;
    const char **names = sorted_names(isolation, &count);

    isolation->scope = pgw_cache_scope(PGW_CACHE_SCOPE_OTHERS, names, count);
    g_free(names);
}

static void
add_isolated(struct pgw_isolation *isolation, const char *name)
{
    if (!g_hash_table_contains(isolation->isolated, name)) {
        g_hash_table_insert(
            isolation->isolated, g_strdup(name),
            (void *)pgw_cache_scope(PGW_CACHE_SCOPE_ALONE, &name, 1));
    }
}

/* A record that was derived from a newer configuration knows better. */
static bool
is_recorded_later(const struct pgw_isolation *isolation, const char *name)
{
    return isolation->recorded != NULL &&
           isolation->recorded_version > isolation->version &&
           g_hash_table_contains(isolation->recorded, name);
}

void
pgw_isolation_set_routes(struct pgw_isolation *isolation,
                         const struct pgw_route_table *table)
{
    const GPtrArray *workspaces = pgw_route_table_workspaces(table);

    isolation->version = pgw_route_table_version(table);
    g_hash_table_remove_all(isolation->sharing);
    for (guint i = 0; i < workspaces->len; i++) {
        const struct pgw_workspace *workspace =
            g_ptr_array_index(workspaces, i);

        if (!workspace->isolated) {
            g_hash_table_add(isolation->sharing, g_strdup(workspace->name));
            if (!is_recorded_later(isolation, workspace->name)) {
                g_hash_table_remove(isolation->isolated, workspace->name);
            }
        }
    }
    for (guint i = 0; i < workspaces->len; i++) {
        const struct pgw_workspace *workspace =
            g_ptr_array_index(workspaces, i);

        if (workspace->isolated) {
            add_isolated(isolation, workspace->name);
        }
    }
    update_scope(isolation);
}

void
pgw_isolation_set_record(struct pgw_isolation *isolation, uint64_t version,
                         const char *const *names)
{
    g_clear_pointer(&isolation->recorded, g_hash_table_destroy);
    isolation->recorded = new_names();
    isolation->recorded_version = version;
    for (size_t i = 0; names != NULL && names[i] != NULL; i++) {
        g_hash_table_add(isolation->recorded, g_strdup(names[i]));
        if (version > isolation->version ||
            !g_hash_table_contains(isolation->sharing, names[i])) {
            add_isolated(isolation, names[i]);
        }
    }
    update_scope(isolation);
}

static bool
is_recorded(const struct pgw_isolation *isolation)
{
    GHashTableIter iter;
    void *name;

    if (g_hash_table_size(isolation->recorded) !=
        g_hash_table_size(isolation->isolated)) {
        return false;
    }
    g_hash_table_iter_init(&iter, isolation->isolated);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        if (!g_hash_table_contains(isolation->recorded, name)) {
            return false;
        }
    }
    return true;
}

const char **
pgw_isolation_next_record(uint64_t *out_version,
                          const struct pgw_isolation *isolation)
{
    guint count;

    if (isolation->recorded == NULL || isolation->version == 0 ||
        isolation->version < isolation->recorded_version ||
        is_recorded(isolation)) {
        return NULL;
    }
    *out_version = isolation->version;
    return sorted_names(isolation, &count);
}

const char *
pgw_isolation_scope(const struct pgw_isolation *isolation,
                    const char *workspace)
{
    const char *scope =
        workspace == NULL
            ? NULL
            : g_hash_table_lookup(isolation->isolated, workspace);

    return scope == NULL ? isolation->scope : scope;
}
