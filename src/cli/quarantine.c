#include "cli/objects.h"
#include "cli/table.h"

#include "parsleygw/errors.h"
#include "parsleygw/quarantine.h"

#include <stdio.h>
#include <string.h>

static const char *const columns[] = {"fingerprint", "state", "crashes",
                                      "changed", NULL};

static void
add_record(struct pgw_cli_table *table, const struct pgw_store_object *object)
{
    struct pgw_quarantine_record record;
    GDateTime *changed;
    char *time;

    if (!pgw_quarantine_record_parse(&record, object->value,
                                     strlen(object->value), NULL)) {
        pgw_cli_table_text(table, object->name);
        pgw_cli_table_text(table, "unreadable");
        pgw_cli_table_number(table, 0);
        pgw_cli_table_text(table, NULL);
        return;
    }
    changed = g_date_time_new_from_unix_utc(
        (gint64)(record.changed_us / G_USEC_PER_SEC));
    time = g_date_time_format(changed, "%Y-%m-%dT%H:%M:%SZ");
    pgw_cli_table_text(table, object->name);
    pgw_cli_table_text(table, record.crash_count >= PGW_QUARANTINE_CRASHES
                                  ? "quarantined"
                                  : "suspect");
    pgw_cli_table_number(table, record.crash_count);
    pgw_cli_table_text(table, time);
    g_free(time);
    g_date_time_unref(changed);
}

bool
pgw_cli_quarantine_list(struct pgw_cli *cli,
                        const struct pgw_cli_command *command, GError **error)
{
    struct pgw_store_list list = {0};
    struct pgw_cli_table *table;

    if (!pgw_cli_open_store(cli, error) ||
        !pgw_store_list(cli->store, &list, command->kind,
                        pgw_cli_deadline(cli), error)) {
        return false;
    }
    table = pgw_cli_table_new(columns);
    for (size_t i = 0; i < list.n; i++) {
        add_record(table, &list.objects[i]);
    }
    pgw_cli_table_print(table, cli->options.json);
    pgw_cli_table_free(table);
    pgw_store_list_dispose(&list);
    return true;
}

bool
pgw_cli_quarantine_lift(struct pgw_cli *cli,
                        const struct pgw_cli_command *command, GError **error)
{
    struct pgw_cli_change change = {.kind = command->kind,
                                    .name = cli->args[0]};
    struct pgw_fingerprint fingerprint;
    JsonNode *value = NULL;
    uint64_t version;
    bool ok;

    if (!pgw_fingerprint_parse(&fingerprint, cli->args[0])) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "\"%s\" is no fingerprint; copy one from parsleygw "
                    "quarantine list",
                    cli->args[0]);
        return false;
    }
    if (!pgw_cli_open_store(cli, error) ||
        !pgw_cli_get_object(cli, &value, &change.base, change.kind,
                            change.name, error)) {
        return false;
    }
    ok = pgw_cli_write(cli, &version, &change, error);
    if (ok) {
        pgw_cli_report_change(cli, &change, version);
    }
    json_node_unref(value);
    return ok;
}
