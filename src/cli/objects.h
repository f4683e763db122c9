#ifndef PGW_CLI_OBJECTS_H
#define PGW_CLI_OBJECTS_H

#include "cli/cli.h"

/**
 * DOC: Reading and changing objects of the store
 */

/** pgw_cli_deadline() - store deadline from now, see store.h */
uint64_t pgw_cli_deadline(const struct pgw_cli *cli);

/** pgw_cli_open_store() - open the store of the options */
bool pgw_cli_open_store(struct pgw_cli *cli, GError **error);

/**
 * pgw_cli_load_set() - all configuration objects as they stand
 * @cli: open store
 * @out: receives the set; release with pgw_config_set_free()
 * @error: as pgw_store_list()
 *
 * An object in the store that is not valid is named on standard error and
 * left out.
 */
bool pgw_cli_load_set(struct pgw_cli *cli, struct pgw_config_set **out,
                      GError **error);

/**
 * struct pgw_cli_change - one change of an object
 * @kind: kind
 * @name: name
 * @base: version it is based on, 0: the object does not exist
 * @value: new value; NULL deletes
 */
struct pgw_cli_change {
    const char *kind;
    const char *name;
    uint64_t base;
    JsonNode *value;
};

/**
 * pgw_cli_commit() - check a change against the whole configuration, write
 * it and note it in the object's history
 * @cli: open store
 * @version: receives the new version
 * @change: the change
 * @error: %PGW_ERROR_INVALID, also when --force would help; then
 *   @cli->refused is set. %PGW_ERROR_CONFLICT with the difference and how to
 *   go on. Otherwise as pgw_store_put_if()
 */
bool pgw_cli_commit(struct pgw_cli *cli, uint64_t *version,
                    const struct pgw_cli_change *change, GError **error);

/** pgw_cli_check_change() - the check alone */
bool pgw_cli_check_change(struct pgw_cli *cli,
                          const struct pgw_config_set *set,
                          const struct pgw_cli_change *change, GError **error);

/**
 * pgw_cli_write() - conditional write whose answer may be lost
 * @cli: open store
 * @version: receives the version
 * @change: the change; deletes too
 * @error: as pgw_cli_commit()
 */
bool pgw_cli_write(struct pgw_cli *cli, uint64_t *version,
                   const struct pgw_cli_change *change, GError **error);

/**
 * pgw_cli_recheck() - check a written change together with what others wrote
 * meanwhile, and take it back if the two do harm together
 * @cli: open store
 * @change: the change
 * @before: what stood before it, NULL: nothing
 * @version: what was written, 0: deleted
 * @error: as pgw_cli_check_change(); says whether the change still stands
 *
 * Of two changes that overlap the later one sees both. A store that cannot be
 * read is only warned of.
 */
bool pgw_cli_recheck(struct pgw_cli *cli, const struct pgw_cli_change *change,
                     const char *before, uint64_t version, GError **error);

/** pgw_cli_note_history() - add a change to the object's history */
void pgw_cli_note_history(struct pgw_cli *cli,
                          const struct pgw_cli_change *change,
                          uint64_t version);

/**
 * pgw_cli_get_object() - read one object
 * @cli: open store
 * @value: receives its value; release it
 * @version: receives its version
 * @kind: kind
 * @name: name
 * @error: as pgw_store_get()
 */
bool pgw_cli_get_object(struct pgw_cli *cli, JsonNode **value,
                        uint64_t *version, const char *kind, const char *name,
                        GError **error);

/**
 * pgw_cli_find_object() - read one object that need not exist
 * @cli: open store
 * @value: receives its value, NULL when there is none; release it
 * @version: receives its version, 0 when there is none: the base of a write
 * @kind: kind
 * @name: name
 * @error: as pgw_store_get(), but not that it does not exist
 */
bool pgw_cli_find_object(struct pgw_cli *cli, JsonNode **value,
                         uint64_t *version, const char *kind, const char *name,
                         GError **error);

/**
 * pgw_cli_json_diff() - differences by path
 * @before: a value, or NULL
 * @after: a value, or NULL
 *
 * Return: lines "- path: value" and "+ path: value"; "" when equal.
 */
char *pgw_cli_json_diff(JsonNode *before, JsonNode *after);

/**
 * pgw_cli_json_text() - a value as text, numbers as briefly as they read back
 * @node: the value
 * @pretty: with line breaks
 *
 * Return: text to release with g_free().
 */
char *pgw_cli_json_text(JsonNode *node, bool pretty);

/** pgw_cli_report_change() - print what was written */
void pgw_cli_report_change(const struct pgw_cli *cli,
                           const struct pgw_cli_change *change,
                           uint64_t version);

#endif
