#include "entry/entry.h"
#include "entry/http.h"
#include "util/daemon.h"
#include "util/log.h"
#include "util/program.h"

static bool
check(const char *config, GError **error)
{
    struct pgw_entry_settings *settings = NULL;
    bool good = pgw_entry_settings_load(&settings, config, error);

    pgw_entry_settings_free(settings);
    return good;
}

static void
drain(void *context)
{
    entry_drain(context);
}

static bool
ready(void *context, char **reason)
{
    return entry_is_ready(context, reason);
}

static char *
status(void *context)
{
    return entry_status(context);
}

static bool
serve(struct entry *entry, struct http *http, GError **error)
{
    struct pgw_daemon daemon = {
        .loop = entry->loop,
        .drain = drain,
        .context = entry,
        .incarnation = entry->incarnation,
        .port = http_port(http),
        .admin =
            {
                .listen = entry->settings->admin_listen,
                .instance = entry->settings->instance,
                .zone = entry->settings->zone,
                .trace = entry->trace,
                .ready = ready,
                .status = status,
                .context = entry,
            },
    };

    return pgw_daemon_serve(&daemon, error);
}

static int
run(const char *config, GError **error)
{
    struct pgw_entry_settings *settings = NULL;
    struct entry *entry = NULL;
    struct http *http = NULL;
    int code = PGW_EXIT_INVALID;

    if (!pgw_entry_settings_load(&settings, config, error)) {
        return code;
    }
    code = PGW_EXIT_FAILURE;
    pgw_log_init(settings->instance, settings->zone, settings->log_level);
    entry = entry_new(settings, error);
    if (entry == NULL) {
        goto done;
    }
    http = http_start(entry, error);
    if (http != NULL && serve(entry, http, error)) {
        code = PGW_EXIT_OK;
        entry_finish(entry);
    }
done:
    http_stop(http);
    if (entry != NULL) {
        entry_free(entry);
    }
    pgw_entry_settings_free(settings);
    return code;
}

int
main(int argc, char **argv)
{
    static const struct pgw_program program = {
        .name = "parsleygw-entry",
        .summary = "takes callers' requests and places them",
        .check = check,
        .run = run,
    };

    return pgw_program_main(&program, argc, argv);
}
