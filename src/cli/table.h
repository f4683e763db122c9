#ifndef PGW_CLI_TABLE_H
#define PGW_CLI_TABLE_H

#include <glib.h>
#include <json-glib/json-glib.h>

/**
 * DOC: Results as a table for people or as JSON for programs
 *
 * Commands add rows of named cells once and print them either way.
 */
struct pgw_cli_table;

/**
 * pgw_cli_table_new() - make an empty table
 * @columns: NULL-terminated names: lower-case JSON members; the printed head
 *   is in capitals. Must outlive the table
 */
struct pgw_cli_table *pgw_cli_table_new(const char *const *columns);
void pgw_cli_table_free(struct pgw_cli_table *table);

/** pgw_cli_table_text() - add the next cell; NULL is printed as "-" */
void pgw_cli_table_text(struct pgw_cli_table *table, const char *text);

/** pgw_cli_table_number() - add the next cell */
void pgw_cli_table_number(struct pgw_cli_table *table, gint64 number);

/** pgw_cli_table_print() - print to standard output */
void pgw_cli_table_print(const struct pgw_cli_table *table, gboolean json);

/** pgw_cli_table_to_json() - array of objects; release it */
JsonNode *pgw_cli_table_to_json(const struct pgw_cli_table *table);

/** pgw_cli_json_print() - print a node, indented, and release it */
void pgw_cli_json_print(JsonNode *node);

#endif
