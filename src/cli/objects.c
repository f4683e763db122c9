#include "cli/objects.h"
#include "util/json_reader.h"

#include "parsleygw/errors.h"

#include <stdio.h>
#include <string.h>

#define RETRY_PAUSE_US 100000

uint64_t
pgw_cli_deadline(const struct pgw_cli *cli)
{
    return (uint64_t)g_get_monotonic_time() +
           (uint64_t)cli->options.timeout_ms * 1000;
}

bool
pgw_cli_open_store(struct pgw_cli *cli, GError **error)
{
    struct pgw_store_options options = PGW_STORE_OPTIONS_INIT;

    if (cli->store != NULL) {
        return true;
    }
    if (cli->options.store_url == NULL) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "no store; add --store http://ip:port or --settings FILE");
        return false;
    }
    options.url = cli->options.store_url;
    return pgw_store_new(&cli->store, &options, error);
}

static bool
load_kind(struct pgw_cli *cli, struct pgw_config_set *set, const char *kind,
          GError **error)
{
    struct pgw_store_list list = {0};

    if (!pgw_store_list(cli->store, &list, kind, pgw_cli_deadline(cli),
                        error)) {
        return false;
    }
    for (size_t i = 0; i < list.n; i++) {
        const struct pgw_store_object *object = &list.objects[i];
        GError *cause = NULL;

        if (!pgw_config_set_apply(set, kind, object->name, object->version,
                                  object->value, NULL, &cause)) {
            fprintf(stderr, "parsleygw: warning: in the store: %s\n",
                    cause->message);
            g_error_free(cause);
        }
    }
    pgw_store_list_dispose(&list);
    return true;
}

bool
pgw_cli_load_set(struct pgw_cli *cli, struct pgw_config_set **out,
                 GError **error)
{
    static const char *const kinds[] = {
        PGW_CONFIG_KIND_POOL, PGW_CONFIG_KIND_WORKSPACE,
        PGW_CONFIG_KIND_PROFILE, PGW_CONFIG_KIND_UPSTREAM};
    struct pgw_config_set *set = pgw_config_set_new();

    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        if (!load_kind(cli, set, kinds[i], error)) {
            pgw_config_set_free(set);
            return false;
        }
    }
    *out = set;
    return true;
}

static JsonNode *
parse_value(const char *text)
{
    return text == NULL ? NULL : pgw_json_parse_text(text);
}

bool
pgw_cli_get_object(struct pgw_cli *cli, JsonNode **value, uint64_t *version,
                   const char *kind, const char *name, GError **error)
{
    struct pgw_store_object object = {0};
    bool ok = pgw_store_get(cli->store, &object, kind, name,
                            pgw_cli_deadline(cli), error);

    if (ok) {
        *value = parse_value(object.value);
        *version = object.version;
    }
    pgw_store_object_dispose(&object);
    if (ok && *value == NULL) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_PROTOCOL,
                    "%s/%s: the store's value is not JSON; put a new one",
                    kind, name);
        ok = false;
    }
    return ok;
}

bool
pgw_cli_find_object(struct pgw_cli *cli, JsonNode **value, uint64_t *version,
                    const char *kind, const char *name, GError **error)
{
    GError *cause = NULL;

    *value = NULL;
    *version = 0;
    if (pgw_cli_get_object(cli, value, version, kind, name, &cause)) {
        return true;
    }
    if (g_error_matches(cause, PGW_ERROR, PGW_ERROR_NOT_FOUND)) {
        g_error_free(cause);
        return true;
    }
    g_propagate_error(error, cause);
    return false;
}

static bool
values_equal(JsonNode *a, JsonNode *b)
{
    if (a == NULL || b == NULL) {
        return a == b;
    }
    return json_node_equal(a, b);
}

/* Tells the loser of a race what stands now and how to go on. */
static void
set_conflict(GError **error, const struct pgw_cli_change *change,
             JsonNode *current, uint64_t version)
{
    char *diff = pgw_cli_json_diff(current, change->value);

    g_set_error(error, PGW_ERROR, PGW_ERROR_CONFLICT,
                "%s/%s: somebody else changed it first: version "
                "%" G_GUINT64_FORMAT " stands, yours was based on "
                "%" G_GUINT64_FORMAT ". Nothing was written.\n"
                "From what stands (-) to yours (+):\n%s"
                "To go on from what stands: get it again, repeat your change, "
                "put it (an edit: run it again).",
                change->kind, change->name, version, change->base, diff);
    g_free(diff);
}

enum settled {
    WRITTEN,
    NOT_WRITTEN,
    LOST_RACE,
    UNSETTLED
};

/* Reads back after an answer was lost. What an operator wants is that the
 * value stands; whose write put it there makes no difference. */
static enum settled
settle(struct pgw_cli *cli, uint64_t *version,
       const struct pgw_cli_change *change, GError **error)
{
    JsonNode *current = NULL;
    GError *cause = NULL;
    enum settled result = LOST_RACE;

    if (!pgw_cli_get_object(cli, &current, version, change->kind, change->name,
                            &cause)) {
        *version = 0;
        if (!g_error_matches(cause, PGW_ERROR, PGW_ERROR_NOT_FOUND)) {
            g_propagate_error(error, cause);
            return UNSETTLED;
        }
        g_error_free(cause);
    }
    if (values_equal(current, change->value) && *version != change->base) {
        result = WRITTEN;
    }
    else if (*version == change->base) {
        result = NOT_WRITTEN;
    }
    else {
        set_conflict(error, change, current, *version);
    }
    g_clear_pointer(&current, json_node_unref);
    return result;
}

static bool
write_once(struct pgw_cli *cli, uint64_t *version,
           const struct pgw_cli_change *change, uint64_t deadline,
           GError **error)
{
    struct pgw_store_object object = {0};
    char *text;
    bool ok;

    if (change->value == NULL) {
        *version = 0;
        return pgw_store_delete_if(cli->store, change->kind, change->name,
                                   change->base, deadline, error);
    }
    text = pgw_cli_json_text(change->value, false);
    ok = pgw_store_put_if(cli->store, &object, change->kind, change->name,
                          change->base, text, deadline, error);
    *version = object.version;
    pgw_store_object_dispose(&object);
    g_free(text);
    return ok;
}

static bool
is_worth_repeating(const GError *error)
{
    return g_error_matches(error, PGW_ERROR, PGW_ERROR_UNAVAILABLE) ||
           g_error_matches(error, PGW_ERROR, PGW_ERROR_OVERLOADED);
}

/* The store's answer to a write can be lost after the change was made. Taken
 * at its word, the command would report a failure, and the operator would
 * make the change again, perhaps over another's. A conflict is looked at too:
 * it can be this run's own write. Reading back is enough, because the version
 * tells whether anything was written since. */
static bool
needs_settling(const GError *error)
{
#ifndef PGW_DISABLE_CLI_SETTLE
    return g_error_matches(error, PGW_ERROR, PGW_ERROR_UNKNOWN_OUTCOME) ||
           g_error_matches(error, PGW_ERROR, PGW_ERROR_CONFLICT) ||
           g_error_matches(error, PGW_ERROR, PGW_ERROR_NOT_FOUND);
#else
    return g_error_matches(error, PGW_ERROR, PGW_ERROR_CONFLICT);
#endif
}

bool
pgw_cli_write(struct pgw_cli *cli, uint64_t *version,
              const struct pgw_cli_change *change, GError **error)
{
    uint64_t deadline = pgw_cli_deadline(cli);

    for (;;) {
        GError *cause = NULL;
        enum settled settled = NOT_WRITTEN;

        if (write_once(cli, version, change, deadline, &cause)) {
            return true;
        }
        if (needs_settling(cause)) {
            g_clear_error(&cause);
            settled = settle(cli, version, change, &cause);
        }
        else if (!is_worth_repeating(cause)) {
            settled = LOST_RACE;
        }
        if (settled == WRITTEN) {
            return true;
        }
        if (settled == LOST_RACE ||
            (uint64_t)g_get_monotonic_time() + RETRY_PAUSE_US > deadline) {
            if (cause == NULL) {
                g_set_error(&cause, PGW_ERROR, PGW_ERROR_UNAVAILABLE,
                            "%s/%s: not written; try again", change->kind,
                            change->name);
            }
            g_propagate_error(error, cause);
            return false;
        }
        g_clear_error(&cause);
        g_usleep(RETRY_PAUSE_US);
    }
}

bool
pgw_cli_check_change(struct pgw_cli *cli, const struct pgw_config_set *set,
                     const struct pgw_cli_change *change, GError **error)
{
    char *text =
        change->value == NULL ? NULL : pgw_cli_json_text(change->value, false);
    enum pgw_config_check_flags flags =
        cli->options.force ? PGW_CONFIG_CHECK_FORCE : PGW_CONFIG_CHECK_NONE;
    bool ok =
        pgw_config_check(set, change->kind, change->name, text, flags, error);

    /* What force would let through is refused for the harm it does, not for
     * being malformed; scripts tell the two by the exit code. */
    if (!ok && !cli->options.force) {
        cli->refused = pgw_config_check(set, change->kind, change->name, text,
                                        PGW_CONFIG_CHECK_FORCE, NULL);
    }
    g_free(text);
    return ok;
}

bool
pgw_cli_commit(struct pgw_cli *cli, uint64_t *version,
               const struct pgw_cli_change *change, GError **error)
{
    struct pgw_config_set *set = NULL;
    const char *before;
    bool ok;

    if (!pgw_cli_load_set(cli, &set, error)) {
        return false;
    }
    before = pgw_config_set_value(set, change->kind, change->name);
    /*
     * Failure: two operators let the last two upstreams of a pool leave; each
     * check sees the other one joined. Symptom: the pool serves nobody, and
     * neither was asked for --force. No condition spans two objects, so each
     * looks again after its write: the later one sees both.
     */
    ok = pgw_cli_check_change(cli, set, change, error) &&
         pgw_cli_write(cli, version, change, error) &&
         pgw_cli_recheck(cli, change, before, *version, error);
    pgw_config_set_free(set);
    if (ok) {
        pgw_cli_note_history(cli, change, *version);
    }
    return ok;
}

void
pgw_cli_report_change(const struct pgw_cli *cli,
                      const struct pgw_cli_change *change, uint64_t version)
{
    const char *what = change->value == NULL ? "deleted" : "written";

    if (cli->options.json) {
        printf("{\"kind\":\"%s\",\"name\":\"%s\",\"result\":\"%s\","
               "\"version\":%" G_GUINT64_FORMAT "}\n",
               change->kind, change->name, what, version);
    }
    else if (change->value == NULL) {
        printf("%s/%s deleted\n", change->kind, change->name);
    }
    else {
        printf("%s/%s written as version %" G_GUINT64_FORMAT "\n",
               change->kind, change->name, version);
    }
}
