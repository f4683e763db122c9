#include "cli/objects.h"
#include "cli/table.h"

#include <string.h>

static const char *const profile_columns[] = {
    "name",       "pool",       "priority", "deadline_ms", "ttft_weight",
    "repeatable", "max_tokens", "version",  NULL};
static const char *const pool_columns[] = {
    "name",         "type",           "model",  "version",
    "load_permits", "checks_fencing", "region", NULL};
static const char *const workspace_columns[] = {
    "name", "share", "max_inflight", "keys", "version", NULL};

static void
add_profile(struct pgw_cli_table *table, const struct pgw_profile *profile)
{
    char weight[32];

    g_snprintf(weight, sizeof(weight), "%.2f", profile->ttft_weight);
    pgw_cli_table_text(table, profile->name);
    pgw_cli_table_text(table, profile->pool);
    pgw_cli_table_text(table, pgw_priority_name((int)profile->priority));
    pgw_cli_table_number(table, profile->deadline_ms);
    pgw_cli_table_text(table, weight);
    pgw_cli_table_text(table, profile->repeatable ? "yes" : "no");
    pgw_cli_table_number(table, profile->max_tokens);
    pgw_cli_table_number(table, (gint64)profile->version);
}

static void
add_pool(struct pgw_cli_table *table, const struct pgw_pool *pool)
{
    pgw_cli_table_text(table, pool->name);
    pgw_cli_table_text(table, pool->is_service ? "service" : "model");
    pgw_cli_table_text(table, pool->model);
    pgw_cli_table_text(table, pool->version);
    pgw_cli_table_number(table, pool->load_permits);
    pgw_cli_table_text(table, pool->checks_fencing ? "yes" : "no");
    pgw_cli_table_text(table, pool->region);
}

static void
add_workspace(struct pgw_cli_table *table,
              const struct pgw_workspace *workspace)
{
    GString *keys = g_string_new(NULL);

    for (size_t i = 0; i < workspace->n_keys; i++) {
        g_string_append_printf(keys, "%s%s%s", i == 0 ? "" : " ",
                               workspace->keys[i].id,
                               workspace->keys[i].revoked ? "(revoked)" : "");
    }
    pgw_cli_table_text(table, workspace->name);
    pgw_cli_table_number(table, workspace->share);
    pgw_cli_table_number(table, workspace->max_inflight);
    pgw_cli_table_text(table, keys->str);
    pgw_cli_table_number(table, (gint64)workspace->version);
    g_string_free(keys, TRUE);
}

struct listing {
    const char *kind;
    GPtrArray *names;
};

static void
collect_name(const char *kind, const char *name,
             uint64_t version G_GNUC_UNUSED, const char *value, void *data)
{
    struct listing *listing = data;

    if (value != NULL && strcmp(kind, listing->kind) == 0) {
        g_ptr_array_add(listing->names, g_strdup(name));
    }
}

static int
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static struct pgw_cli_table *
new_table(const char *kind)
{
    if (strcmp(kind, PGW_CONFIG_KIND_PROFILE) == 0) {
        return pgw_cli_table_new(profile_columns);
    }
    if (strcmp(kind, PGW_CONFIG_KIND_POOL) == 0) {
        return pgw_cli_table_new(pool_columns);
    }
    return pgw_cli_table_new(workspace_columns);
}

static void
add_row(struct pgw_cli_table *table, const struct pgw_config *config,
        const char *kind, const char *name)
{
    if (strcmp(kind, PGW_CONFIG_KIND_PROFILE) == 0) {
        add_profile(table, pgw_config_profile(config, name));
    }
    else if (strcmp(kind, PGW_CONFIG_KIND_POOL) == 0) {
        add_pool(table, pgw_config_pool(config, name));
    }
    else {
        add_workspace(table, pgw_config_workspace(config, name));
    }
}

bool
pgw_cli_object_list(struct pgw_cli *cli, const struct pgw_cli_command *command,
                    GError **error)
{
    struct listing listing = {.kind = command->kind};
    struct pgw_config_set *set = NULL;
    struct pgw_cli_table *table;
    struct pgw_config *config;

    if (!pgw_cli_open_store(cli, error) ||
        !pgw_cli_load_set(cli, &set, error)) {
        return false;
    }
    listing.names = g_ptr_array_new_with_free_func(g_free);
    pgw_config_set_foreach(set, collect_name, &listing);
    g_ptr_array_sort(listing.names, compare_names);
    config = pgw_config_build(set);
    table = new_table(command->kind);
    for (guint i = 0; i < listing.names->len; i++) {
        add_row(table, config, command->kind,
                g_ptr_array_index(listing.names, i));
    }
    pgw_cli_table_print(table, cli->options.json);
    pgw_cli_table_free(table);
    pgw_config_unref(config);
    g_ptr_array_unref(listing.names);
    pgw_config_set_free(set);
    return true;
}
