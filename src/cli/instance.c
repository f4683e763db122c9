#include "cli/objects.h"
#include "cli/table.h"

#include "parsleygw/errors.h"

#include <string.h>

static JsonNode *
upstream_value(const char *pool, const char *zone, const char *address,
               const char *state)
{
    JsonObject *object = json_object_new();
    JsonNode *node = json_node_new(JSON_NODE_OBJECT);

    json_object_set_string_member(object, "pool", pool);
    json_object_set_string_member(object, "zone", zone);
    json_object_set_string_member(object, "address", address);
    json_object_set_string_member(object, "state", state);
    json_node_take_object(node, object);
    return node;
}

static bool
commit_and_report(struct pgw_cli *cli, struct pgw_cli_change *change,
                  GError **error)
{
    uint64_t version;
    bool ok = pgw_cli_commit(cli, &version, change, error);

    if (ok) {
        pgw_cli_report_change(cli, change, version);
    }
    json_node_unref(change->value);
    return ok;
}

bool
pgw_cli_instance_join(struct pgw_cli *cli,
                      const struct pgw_cli_command *command, GError **error)
{
    const struct pgw_cli_options *options = &cli->options;
    struct pgw_cli_change change = {.kind = command->kind,
                                    .name = cli->args[0]};
    JsonNode *declared = NULL;

    if (options->pool == NULL || options->zone == NULL ||
        options->address == NULL) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "instance join needs --pool NAME --zone NAME --address "
                    "IP:PORT of its sidecar");
        return false;
    }
    if (!pgw_cli_open_store(cli, error) ||
        !pgw_cli_find_object(cli, &declared, &change.base, change.kind,
                             change.name, error)) {
        return false;
    }
    g_clear_pointer(&declared, json_node_unref);
    change.value = upstream_value(options->pool, options->zone,
                                  options->address, "joined");
    return commit_and_report(cli, &change, error);
}

bool
pgw_cli_instance_leave(struct pgw_cli *cli,
                       const struct pgw_cli_command *command, GError **error)
{
    struct pgw_cli_change change = {.kind = command->kind,
                                    .name = cli->args[0]};

    if (!pgw_cli_open_store(cli, error) ||
        !pgw_cli_get_object(cli, &change.value, &change.base, command->kind,
                            cli->args[0], error)) {
        return false;
    }
    if (JSON_NODE_HOLDS_OBJECT(change.value)) {
        json_object_set_string_member(json_node_get_object(change.value),
                                      "state", "leaving");
    }
    return commit_and_report(cli, &change, error);
}

static const char *const columns[] = {
    "instance", "pool", "zone", "address", "declared", "platform", NULL};

static const char *
platform_state(const struct pgw_store_instances *instances, const char *id)
{
    for (size_t i = 0; i < instances->n; i++) {
        if (strcmp(instances->instances[i].id, id) == 0) {
            return instances->instances[i].leaving ? "leaving" : "live";
        }
    }
    return "absent";
}

static void
add_declared(struct pgw_cli_table *table, const struct pgw_config *config,
             const struct pgw_store_instances *instances)
{
    size_t count = 0;
    const struct pgw_upstream *const *upstreams =
        pgw_config_upstreams(config, NULL, &count);

    for (size_t i = 0; i < count; i++) {
        char *address =
            g_strdup_printf("%s:%u", upstreams[i]->host, upstreams[i]->port);

        pgw_cli_table_text(table, upstreams[i]->id);
        pgw_cli_table_text(table, upstreams[i]->pool);
        pgw_cli_table_text(table, upstreams[i]->zone);
        pgw_cli_table_text(table, address);
        pgw_cli_table_text(table,
                           upstreams[i]->leaving ? "leaving" : "joined");
        pgw_cli_table_text(table, platform_state(instances, upstreams[i]->id));
        g_free(address);
    }
}

/* Those that the platform knows and nobody declared: entries, or instances
 * that still have to be joined. */
static void
add_undeclared(struct pgw_cli_table *table, const struct pgw_config *config,
               const struct pgw_store_instances *instances)
{
    for (size_t i = 0; i < instances->n; i++) {
        const struct pgw_store_instance *instance = &instances->instances[i];

        if (pgw_config_upstream(config, instance->id) != NULL) {
            continue;
        }
        pgw_cli_table_text(table, instance->id);
        pgw_cli_table_text(table, NULL);
        pgw_cli_table_text(table, instance->zone);
        pgw_cli_table_text(table, NULL);
        pgw_cli_table_text(table, "no");
        pgw_cli_table_text(table, instance->leaving ? "leaving" : "live");
    }
}

bool
pgw_cli_instance_list(struct pgw_cli *cli,
                      const struct pgw_cli_command *command G_GNUC_UNUSED,
                      GError **error)
{
    struct pgw_store_instances instances = {0};
    struct pgw_config_set *set = NULL;
    struct pgw_cli_table *table;
    struct pgw_config *config;

    if (!pgw_cli_open_store(cli, error) ||
        !pgw_cli_load_set(cli, &set, error)) {
        return false;
    }
    if (!pgw_store_instances(cli->store, &instances, pgw_cli_deadline(cli),
                             error)) {
        pgw_config_set_free(set);
        return false;
    }
    config = pgw_config_build(set);
    table = pgw_cli_table_new(columns);
    add_declared(table, config, &instances);
    add_undeclared(table, config, &instances);
    pgw_cli_table_print(table, cli->options.json);
    pgw_cli_table_free(table);
    pgw_config_unref(config);
    pgw_store_instances_dispose(&instances);
    pgw_config_set_free(set);
    return true;
}
