#include "cli/objects.h"
#include "util/json_reader.h"

#include "parsleygw/errors.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* An object may refer to those of the kinds before it. */
static const char *const order[] = {
    PGW_CONFIG_KIND_POOL, PGW_CONFIG_KIND_WORKSPACE, PGW_CONFIG_KIND_PROFILE,
    PGW_CONFIG_KIND_UPSTREAM};

struct apply {
    struct pgw_cli *cli;
    const struct pgw_config_set *stored;
    const char *kind;
    GError **error;
    unsigned done;
    unsigned total;
    unsigned written;
    bool ok;
};

static bool
differs(const struct apply *apply, const struct pgw_cli_change *change)
{
    const char *stored =
        pgw_config_set_value(apply->stored, change->kind, change->name);
    JsonNode *node = stored == NULL ? NULL : pgw_json_parse_text(stored);
    bool result = node == NULL || !json_node_equal(node, change->value);

    g_clear_pointer(&node, json_node_unref);
    return result;
}

static void
show_progress(const struct apply *apply)
{
    if (isatty(STDERR_FILENO)) {
        fprintf(stderr, "\r%u of %u objects%s", apply->done, apply->total,
                apply->done == apply->total ? "\n" : "");
    }
}

static void
apply_one(const char *kind, const char *name, uint64_t version G_GNUC_UNUSED,
          const char *value, void *data)
{
    struct apply *apply = data;
    struct pgw_cli_change change = {.kind = kind, .name = name};
    uint64_t written;

    if (!apply->ok || value == NULL || strcmp(kind, apply->kind) != 0) {
        return;
    }
    change.value = pgw_json_parse_text(value);
    change.base = pgw_config_set_value(apply->stored, kind, name) == NULL
                      ? 0
                      : pgw_config_set_version(apply->stored, kind, name);
    if (differs(apply, &change)) {
        apply->ok =
            pgw_cli_commit(apply->cli, &written, &change, apply->error);
        apply->written += apply->ok;
    }
    apply->done++;
    show_progress(apply);
    json_node_unref(change.value);
}

bool
pgw_cli_apply(struct pgw_cli *cli,
              const struct pgw_cli_command *command G_GNUC_UNUSED,
              GError **error)
{
    struct pgw_config_set *wanted = pgw_config_set_new();
    struct pgw_config_set *stored = NULL;
    struct apply apply = {.cli = cli, .error = error, .ok = true};

    apply.ok = pgw_cli_open_store(cli, error) &&
               pgw_config_set_load_file(wanted, cli->args[0], error) &&
               pgw_cli_load_set(cli, &stored, error);
    apply.stored = stored;
    apply.total = (unsigned)pgw_config_set_count(wanted);
    for (size_t i = 0; apply.ok && i < G_N_ELEMENTS(order); i++) {
        apply.kind = order[i];
        pgw_config_set_foreach(wanted, apply_one, &apply);
    }
    if (apply.ok && cli->options.json) {
        printf("{\"objects\":%u,\"written\":%u}\n", apply.total,
               apply.written);
    }
    else if (apply.ok) {
        printf("%u objects, %u written, %u as they were\n", apply.total,
               apply.written, apply.total - apply.written);
    }
    g_clear_pointer(&stored, pgw_config_set_free);
    pgw_config_set_free(wanted);
    return apply.ok;
}
