#include "cli/objects.h"
#include "util/json_reader.h"

#include "parsleygw/errors.h"

#include <stdio.h>

/* As things stand now, but without the own change. */
static bool
load_without(struct pgw_cli *cli, struct pgw_config_set **out,
             const struct pgw_cli_change *change, const char *before,
             GError **error)
{
    if (!pgw_cli_load_set(cli, out, error)) {
        return false;
    }
    return pgw_config_set_apply(*out, change->kind, change->name,
                                G_MAXUINT64 - 1, before, NULL, error);
}

static bool
take_back(struct pgw_cli *cli, const struct pgw_cli_change *change,
          const char *before, uint64_t version, GError **error)
{
    struct pgw_cli_change back = {
        .kind = change->kind,
        .name = change->name,
        .base = version,
        .value = before == NULL ? NULL : pgw_json_parse_text(before),
    };
    uint64_t restored;
    bool ok = pgw_cli_write(cli, &restored, &back, error);

    g_clear_pointer(&back.value, json_node_unref);
    return ok;
}

bool
pgw_cli_recheck(struct pgw_cli *cli, const struct pgw_cli_change *change,
                const char *before, uint64_t version, GError **error)
{
    struct pgw_config_set *set = NULL;
    GError *harm = NULL;
    GError *cause = NULL;
    bool ok = true;

#ifdef PGW_DISABLE_CLI_RECHECK
    return true;
#endif
    if (!load_without(cli, &set, change, before, &cause)) {
        fprintf(stderr,
                "parsleygw: warning: %s/%s is written, but whether it goes "
                "together with what others wrote meanwhile is not known: %s\n",
                change->kind, change->name, cause->message);
        g_error_free(cause);
        goto done;
    }
    ok = pgw_cli_check_change(cli, set, change, &harm);
    if (ok) {
        goto done;
    }
    if (take_back(cli, change, before, version, &cause)) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "%s\nSomebody else changed that while you wrote; your "
                    "change was taken back: look and decide anew.",
                    harm->message);
    }
    else {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "%s\nSomebody else changed that while you wrote, and YOUR "
                    "CHANGE STANDS, since it could not be taken back: %s",
                    harm->message, cause->message);
        g_error_free(cause);
    }
    g_error_free(harm);
done:
    g_clear_pointer(&set, pgw_config_set_free);
    return ok;
}
