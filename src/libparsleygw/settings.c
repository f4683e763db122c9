#include "parsleygw/settings.h"

#include "parsleygw/errors.h"
#include "util/json_reader.h"

#include <stddef.h>

#define MAX_TIMEOUT_MS (60.0 * 60 * 1000)
#define MAX_NAME 128
#define MIB (1024.0 * 1024)

static const char *const policies[] = {
    "parsleygw",    "parsleygw-v1", "parsleygw-v2",
    "parsleygw-v3", "parsleygw-v4", "hash",
    "least-loaded", "round-robin",  NULL};
static const char *const log_levels[] = {"error", "warning", "info", "debug",
                                         NULL};
static const char *const upstream_types[] = {"model", "service", NULL};

#define NAME_FIELD(type_name, member)                                         \
    {                                                                         \
        .key = #member, .type = PGW_JSON_STRING,                              \
        .offset = offsetof(struct type_name, member), .min = 1,               \
        .max = MAX_NAME, .required = true                                     \
    }

#define CHOICE_FIELD(type_name, member, values, fallback)                     \
    {                                                                         \
        .key = #member, .type = PGW_JSON_STRING,                              \
        .offset = offsetof(struct type_name, member), .choices = (values),    \
        .text = (fallback)                                                    \
    }

#define LISTEN_FIELD(type_name, member)                                       \
    {                                                                         \
        .key = #member, .type = PGW_JSON_ADDRESS,                             \
        .offset = offsetof(struct type_name, member), .required = true        \
    }

#define URL_FIELD(type_name, member, is_required)                             \
    {                                                                         \
        .key = #member, .type = PGW_JSON_URL,                                 \
        .offset = offsetof(struct type_name, member), .min = 1,               \
        .required = (is_required)                                             \
    }

#define UINT_FIELD(type_name, member, minimum, maximum, fallback)             \
    {                                                                         \
        .key = #member, .type = PGW_JSON_UINT,                                \
        .offset = offsetof(struct type_name, member), .min = (minimum),       \
        .max = (maximum), .number = (fallback)                                \
    }

#define UINT64_FIELD(type_name, member, minimum, maximum, fallback)           \
    {                                                                         \
        .key = #member, .type = PGW_JSON_UINT64,                              \
        .offset = offsetof(struct type_name, member), .min = (minimum),       \
        .max = (maximum), .number = (fallback)                                \
    }

/* Keys of both daemons. */
#define COMMON_FIELDS(type_name)                                              \
    NAME_FIELD(type_name, instance), NAME_FIELD(type_name, zone),             \
        {.key = "region",                                                     \
         .type = PGW_JSON_STRING,                                             \
         .offset = offsetof(struct type_name, region),                        \
         .max = MAX_NAME,                                                     \
         .text = ""},                                                         \
        LISTEN_FIELD(type_name, listen),                                      \
        LISTEN_FIELD(type_name, admin_listen),                                \
        URL_FIELD(type_name, store_url, true),                                \
        {.key = "bootstrap_file",                                             \
         .type = PGW_JSON_STRING,                                             \
         .offset = offsetof(struct type_name, bootstrap_file),                \
         .min = 1},                                                           \
        {.key = "seeds",                                                      \
         .type = PGW_JSON_ADDRESS_LIST,                                       \
         .offset = offsetof(struct type_name, seeds),                         \
         .min = 1},                                                           \
        CHOICE_FIELD(type_name, log_level, log_levels, "info"),               \
        UINT_FIELD(type_name, drain_timeout_ms, 0, MAX_TIMEOUT_MS, 60000)

static const struct pgw_json_field entry_fields[] = {
    COMMON_FIELDS(pgw_entry_settings),
    UINT_FIELD(pgw_entry_settings, threads, 1, 256, 4),
    UINT64_FIELD(pgw_entry_settings, max_body_bytes, 1024, 64 * MIB, 2 * MIB),
    UINT_FIELD(pgw_entry_settings, header_timeout_ms, 10, MAX_TIMEOUT_MS,
               5000),
    UINT_FIELD(pgw_entry_settings, body_timeout_ms, 10, MAX_TIMEOUT_MS, 15000),
    UINT_FIELD(pgw_entry_settings, max_inflight, 1, 1000000, 4096),
    CHOICE_FIELD(pgw_entry_settings, policy, policies, "parsleygw"),
    UINT_FIELD(pgw_entry_settings, probe_fanout, 1, 16, 4),
};

static const struct pgw_json_field sidecar_fields[] = {
    COMMON_FIELDS(pgw_sidecar_settings),
    NAME_FIELD(pgw_sidecar_settings, pool),
    URL_FIELD(pgw_sidecar_settings, upstream_url, true),
    CHOICE_FIELD(pgw_sidecar_settings, upstream_type, upstream_types, "model"),
    UINT_FIELD(pgw_sidecar_settings, max_running, 1, 100000, 32),
    UINT_FIELD(pgw_sidecar_settings, queue_limit, 0, 1000000, 512),
    UINT64_FIELD(pgw_sidecar_settings, queue_bytes, 0, 1024 * MIB, 24 * MIB),
    {.key = "checks_fencing",
     .type = PGW_JSON_BOOL,
     .offset = offsetof(struct pgw_sidecar_settings, checks_fencing)},
    URL_FIELD(pgw_sidecar_settings, kv_store_url, false),
    UINT_FIELD(pgw_sidecar_settings, event_poll_ms, 1, 60000, 1000),
};

static bool
load(void *out, const struct pgw_json_field *fields, size_t count,
     const char *path, GError **error)
{
    JsonNode *node = NULL;
    bool ok = pgw_json_load(&node, path, error) &&
              pgw_json_read(out, fields, count, node, path, error);

    g_clear_pointer(&node, json_node_unref);
    return ok;
}

bool
pgw_entry_settings_load(struct pgw_entry_settings **out, const char *path,
                        GError **error)
{
    struct pgw_entry_settings *settings = g_new0(struct pgw_entry_settings, 1);

    if (!load(settings, entry_fields, G_N_ELEMENTS(entry_fields), path,
              error)) {
        g_free(settings);
        return false;
    }
    *out = settings;
    return true;
}

void
pgw_entry_settings_free(struct pgw_entry_settings *settings)
{
    if (settings == NULL) {
        return;
    }
    pgw_json_dispose(settings, entry_fields, G_N_ELEMENTS(entry_fields));
    g_free(settings);
}

bool
pgw_sidecar_settings_load(struct pgw_sidecar_settings **out, const char *path,
                          GError **error)
{
    struct pgw_sidecar_settings *settings =
        g_new0(struct pgw_sidecar_settings, 1);

    if (!load(settings, sidecar_fields, G_N_ELEMENTS(sidecar_fields), path,
              error)) {
        g_free(settings);
        return false;
    }
    *out = settings;
    return true;
}

void
pgw_sidecar_settings_free(struct pgw_sidecar_settings *settings)
{
    if (settings == NULL) {
        return;
    }
    pgw_json_dispose(settings, sidecar_fields, G_N_ELEMENTS(sidecar_fields));
    g_free(settings);
}
