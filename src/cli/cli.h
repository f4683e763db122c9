#ifndef PGW_CLI_CLI_H
#define PGW_CLI_CLI_H

#include "parsleygw/config.h"
#include "parsleygw/store.h"

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: The operators' command line
 *
 * A command is a row of the table in commands.c. It gets a &struct pgw_cli
 * with the options and its arguments, prints its result to standard output
 * and reports failure through a GError, which becomes one line on standard
 * error and the exit code.
 */

/** enum pgw_cli_flag - options that only some commands take */
enum pgw_cli_flag {
    PGW_CLI_FORCE = 1 << 0,
    PGW_CLI_IF_VERSION = 1 << 1,
    PGW_CLI_DECLARE = 1 << 2, /* --pool, --zone, --address */
    PGW_CLI_LIMITS = 1 << 3,  /* --share, --max-inflight */
    PGW_CLI_EVENTS = 1 << 4,  /* --request, --since, --output */
    PGW_CLI_FORMAT = 1 << 5,  /* --format */
};

/**
 * struct pgw_cli_options - what the command line and the settings file say
 * @settings: settings file, NULL when not given
 * @store_url: object API; NULL when not given
 * @admin: NULL-terminated ip:port of admin servers, may be empty
 * @admin_port: admin port of every declared upstream's instance, 0 for none
 * @timeout_ms: longest wait for the store and for each process
 * @json: machine-readable output
 * @force: make a change that would be refused
 * @if_version: version that the change is based on, -1 when not given
 * @share: of a workspace, 0 when not given
 * @max_inflight: of a workspace, -1 when not given
 * @given: &enum pgw_cli_flag of the options that were given
 */
struct pgw_cli_options {
    const char *settings;
    char *store_url;
    char **admin;
    uint32_t admin_port;
    uint32_t timeout_ms;
    bool json;
    bool force;
    gint64 if_version;
    const char *pool;
    const char *zone;
    const char *address;
    gint64 share;
    gint64 max_inflight;
    const char *request;
    const char *since;
    const char *format;
    const char *output;
    unsigned given;
};

/**
 * struct pgw_cli - one run of the program
 * @options: see there
 * @args: arguments behind the command's words
 * @n_args: their number
 * @store: opened by pgw_cli_open_store()
 * @refused: the change would do harm and may be forced
 */
struct pgw_cli {
    struct pgw_cli_options options;
    char **args;
    int n_args;
    struct pgw_store *store;
    bool refused;
};

/**
 * struct pgw_cli_command - one row of the command table
 * @group: first word
 * @name: second word, NULL for none
 * @arguments: as the help prints them
 * @summary: one line for the help
 * @min_args: least number of arguments
 * @max_args: greatest number, -1 for any
 * @flags: &enum pgw_cli_flag it takes
 * @kind: kind of object it works on, or NULL
 * @run: does it
 */
struct pgw_cli_command {
    const char *group;
    const char *name;
    const char *arguments;
    const char *summary;
    int min_args;
    int max_args;
    unsigned flags;
    const char *kind;
    bool (*run)(struct pgw_cli *cli, const struct pgw_cli_command *command,
                GError **error);
};

/** pgw_cli_main() - whole main() of the program */
int pgw_cli_main(int argc, char **argv);

/** pgw_cli_find_command() - row for the words, NULL for none */
const struct pgw_cli_command *pgw_cli_find_command(char **words, int count,
                                                   int *used);
void pgw_cli_print_help(void);
bool pgw_cli_complete(struct pgw_cli *cli,
                      const struct pgw_cli_command *command, GError **error);

/** pgw_cli_options_parse() - read the options of the command line */
bool pgw_cli_options_parse(struct pgw_cli_options *out, int argc, char **argv,
                           GError **error);
/** pgw_cli_options_load_settings() - add what the settings file says */
bool pgw_cli_options_load_settings(struct pgw_cli_options *options,
                                   GError **error);
void pgw_cli_options_dispose(struct pgw_cli_options *options);
void pgw_cli_print_options(void);
/** pgw_cli_option_names() - NULL-terminated "--name" of all options */
char **pgw_cli_option_names(void);

/** pgw_cli_run_NAME() - commands; see commands.c */
#define PGW_CLI_COMMAND(name)                                                 \
    bool pgw_cli_##name(struct pgw_cli *cli,                                  \
                        const struct pgw_cli_command *command,                \
                        GError **error)

PGW_CLI_COMMAND(object_list);
PGW_CLI_COMMAND(object_get);
PGW_CLI_COMMAND(object_put);
PGW_CLI_COMMAND(object_edit);
PGW_CLI_COMMAND(object_diff);
PGW_CLI_COMMAND(object_check);
PGW_CLI_COMMAND(object_delete);
PGW_CLI_COMMAND(object_history);
PGW_CLI_COMMAND(apply);
PGW_CLI_COMMAND(workspace_create);
PGW_CLI_COMMAND(workspace_rotate);
PGW_CLI_COMMAND(workspace_revoke);
PGW_CLI_COMMAND(instance_join);
PGW_CLI_COMMAND(instance_leave);
PGW_CLI_COMMAND(instance_list);
PGW_CLI_COMMAND(quarantine_list);
PGW_CLI_COMMAND(quarantine_lift);
PGW_CLI_COMMAND(status);
PGW_CLI_COMMAND(timeline);
PGW_CLI_COMMAND(explain);
PGW_CLI_COMMAND(explain_failed);

#endif
