#include "cli/cli.h"

#include "parsleygw/errors.h"
#include "util/address.h"
#include "util/json_reader.h"
#include "util/program.h"

#include <getopt.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_TIMEOUT_MS 5000
#define MAX_TIMEOUT_MS 600000

enum option_id {
    OPT_STORE = 256,
    OPT_ADMIN,
    OPT_ADMIN_PORT,
    OPT_SETTINGS,
    OPT_TIMEOUT,
    OPT_JSON,
    OPT_FORCE,
    OPT_IF_VERSION,
    OPT_POOL,
    OPT_ZONE,
    OPT_ADDRESS,
    OPT_SHARE,
    OPT_MAX_INFLIGHT,
    OPT_REQUEST,
    OPT_SINCE,
    OPT_FORMAT,
    OPT_OUTPUT,
    OPT_HELP,
    OPT_VERSION,
};

/* One option, and which commands it belongs to (0: all). */
struct option_row {
    const char *name;
    const char *argument;
    const char *help;
    enum option_id id;
    unsigned flag;
};

static const struct option_row rows[] = {
    {"store", "URL", "object API, http://ip:port", OPT_STORE, 0},
    {"admin", "LIST", "ip:port of admin servers, with commas", OPT_ADMIN, 0},
    {"admin-port", "N", "admin port of all declared upstreams' instances",
     OPT_ADMIN_PORT, 0},
    {"settings", "FILE", "JSON with store_url, admin, admin_port, timeout_ms",
     OPT_SETTINGS, 0},
    {"timeout", "MS", "longest wait for the store and for a process",
     OPT_TIMEOUT, 0},
    {"json", NULL, "machine-readable output", OPT_JSON, 0},
    {"force", NULL, "make a change that would be refused", OPT_FORCE,
     PGW_CLI_FORCE},
    {"if-version", "N", "version that the change is based on", OPT_IF_VERSION,
     PGW_CLI_IF_VERSION},
    {"pool", "NAME", "pool of the instance", OPT_POOL, PGW_CLI_DECLARE},
    {"zone", "NAME", "availability zone of the instance", OPT_ZONE,
     PGW_CLI_DECLARE},
    {"address", "IP:PORT", "the instance's sidecar", OPT_ADDRESS,
     PGW_CLI_DECLARE},
    {"share", "N", "weight of the workspace", OPT_SHARE, PGW_CLI_LIMITS},
    {"max-inflight", "N", "most requests in progress, 0: no limit",
     OPT_MAX_INFLIGHT, PGW_CLI_LIMITS},
    {"request", "ID", "only this request", OPT_REQUEST, PGW_CLI_EVENTS},
    {"since", "TIME", "how far back: 90s, 5m, 2h", OPT_SINCE, PGW_CLI_EVENTS},
    {"format", "FORMAT", "text, json or html", OPT_FORMAT, PGW_CLI_FORMAT},
    {"output", "FILE", "write to a file", OPT_OUTPUT, PGW_CLI_EVENTS},
    {"help", NULL, "show the commands", OPT_HELP, 0},
    {"version", NULL, "show the version", OPT_VERSION, 0},
};

/** struct settings_file - what --settings holds */
struct settings_file {
    char *store_url;
    char **admin;
    uint32_t admin_port;
    uint32_t timeout_ms;
};

static const struct pgw_json_field settings_fields[] = {
    {.key = "store_url",
     .type = PGW_JSON_URL,
     .offset = offsetof(struct settings_file, store_url),
     .min = 1,
     .required = true},
    {.key = "admin",
     .type = PGW_JSON_ADDRESS_LIST,
     .offset = offsetof(struct settings_file, admin),
     .min = 1},
    {.key = "admin_port",
     .type = PGW_JSON_UINT,
     .offset = offsetof(struct settings_file, admin_port),
     .max = G_MAXUINT16},
    {.key = "timeout_ms",
     .type = PGW_JSON_UINT,
     .offset = offsetof(struct settings_file, timeout_ms),
     .min = 1,
     .max = MAX_TIMEOUT_MS,
     .number = DEFAULT_TIMEOUT_MS},
};

/* The command line goes before the file. */
static bool
merge_settings(struct pgw_cli_options *options, const char *path,
               GError **error)
{
    struct settings_file file = {0};
    JsonNode *node = NULL;
    bool ok = pgw_json_load(&node, path, error) &&
              pgw_json_read(&file, settings_fields,
                            G_N_ELEMENTS(settings_fields), node, path, error);

    g_clear_pointer(&node, json_node_unref);
    if (!ok) {
        return false;
    }
    if (options->store_url == NULL) {
        options->store_url = g_steal_pointer(&file.store_url);
    }
    if (options->admin == NULL) {
        options->admin = g_steal_pointer(&file.admin);
    }
    if (options->admin_port == 0) {
        options->admin_port = file.admin_port;
    }
    if (options->timeout_ms == 0) {
        options->timeout_ms = file.timeout_ms;
    }
    pgw_json_dispose(&file, settings_fields, G_N_ELEMENTS(settings_fields));
    return true;
}

static bool
parse_number(gint64 *out, const char *name, gint64 max, GError **error)
{
    guint64 value;

    if (!g_ascii_string_to_unsigned(optarg, 10, 0, (guint64)max, &value,
                                    NULL)) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "--%s: found \"%s\"; write a number from 0 to "
                    "%" G_GINT64_FORMAT,
                    name, optarg, max);
        return false;
    }
    *out = (gint64)value;
    return true;
}

static bool
parse_small(uint32_t *out, const char *name, gint64 max, GError **error)
{
    gint64 value;

    if (!parse_number(&value, name, max, error)) {
        return false;
    }
    *out = (uint32_t)value;
    return true;
}

static bool
parse_admin(struct pgw_cli_options *options, GError **error)
{
    struct pgw_address address;

    g_strfreev(options->admin);
    options->admin = g_strsplit(optarg, ",", -1);
    for (char **item = options->admin; *item != NULL; item++) {
        if (!pgw_address_parse(&address, *item, error)) {
            return false;
        }
    }
    return true;
}

static bool
take_number_option(struct pgw_cli_options *options,
                   const struct option_row *row, GError **error)
{
    switch (row->id) {
    case OPT_ADMIN_PORT:
        return parse_small(&options->admin_port, row->name, G_MAXUINT16,
                           error);
    case OPT_TIMEOUT:
        return parse_small(&options->timeout_ms, row->name, MAX_TIMEOUT_MS,
                           error);
    case OPT_IF_VERSION:
        return parse_number(&options->if_version, row->name, G_MAXINT64,
                            error);
    case OPT_SHARE:
        return parse_number(&options->share, row->name, 10000, error);
    default:
        return parse_number(&options->max_inflight, row->name, 1000000, error);
    }
}

/* Where the text of an option goes; NULL for options of other kinds. */
static const char **
text_target(struct pgw_cli_options *options, enum option_id id)
{
    switch (id) {
    case OPT_SETTINGS:
        return &options->settings;
    case OPT_POOL:
        return &options->pool;
    case OPT_ZONE:
        return &options->zone;
    case OPT_ADDRESS:
        return &options->address;
    case OPT_REQUEST:
        return &options->request;
    case OPT_SINCE:
        return &options->since;
    case OPT_FORMAT:
        return &options->format;
    case OPT_OUTPUT:
        return &options->output;
    default:
        return NULL;
    }
}

static bool
take_option(struct pgw_cli_options *options, const struct option_row *row,
            GError **error)
{
    const char **target = text_target(options, row->id);

    options->given |= row->flag;
    if (target != NULL) {
        *target = optarg;
        return true;
    }
    switch (row->id) {
    case OPT_STORE:
        g_free(options->store_url);
        options->store_url = g_strdup(optarg);
        return true;
    case OPT_ADMIN:
        return parse_admin(options, error);
    case OPT_JSON:
        options->json = true;
        return true;
    case OPT_FORCE:
        options->force = true;
        return true;
    case OPT_HELP:
        pgw_cli_print_help();
        exit(PGW_EXIT_OK);
    case OPT_VERSION:
        printf("parsleygw %s\n", PGW_VERSION);
        exit(PGW_EXIT_OK);
    default:
        return take_number_option(options, row, error);
    }
}

bool
pgw_cli_options_load_settings(struct pgw_cli_options *options, GError **error)
{
    const char *settings = options->settings;

    if (settings == NULL) {
        settings = g_getenv("PARSLEYGW_SETTINGS");
    }
    if (settings != NULL && !merge_settings(options, settings, error)) {
        return false;
    }
    if (options->admin == NULL) {
        options->admin = g_new0(char *, 1);
    }
    if (options->timeout_ms == 0) {
        options->timeout_ms = DEFAULT_TIMEOUT_MS;
    }
    return true;
}

bool
pgw_cli_options_parse(struct pgw_cli_options *out, int argc, char **argv,
                      GError **error)
{
    struct option long_options[G_N_ELEMENTS(rows) + 1] = {{0}};
    int index = 0;
    int found;

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        long_options[i].name = rows[i].name;
        long_options[i].has_arg =
            rows[i].argument != NULL ? required_argument : no_argument;
        long_options[i].val = (int)rows[i].id;
    }
    opterr = 0;
    while ((found = getopt_long(argc, argv, "", long_options, &index)) != -1) {
        if (found == '?') {
            g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                        "\"%s\" is no option or lacks its value",
                        argv[optind - 1]);
            return false;
        }
        if (!take_option(out, &rows[found - OPT_STORE], error)) {
            return false;
        }
    }
    return true;
}

void
pgw_cli_options_dispose(struct pgw_cli_options *options)
{
    g_free(options->store_url);
    g_strfreev(options->admin);
}

void
pgw_cli_print_options(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char *option = g_strdup_printf(
            "--%s%s%s", rows[i].name, rows[i].argument != NULL ? " " : "",
            rows[i].argument != NULL ? rows[i].argument : "");

        printf("  %-20s %s\n", option, rows[i].help);
        g_free(option);
    }
}

char **
pgw_cli_option_names(void)
{
    GPtrArray *names = g_ptr_array_new();

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        g_ptr_array_add(names, g_strdup_printf("--%s", rows[i].name));
    }
    g_ptr_array_add(names, NULL);
    return (char **)g_ptr_array_free(names, FALSE);
}
