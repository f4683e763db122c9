#include "sidecar/sidecar.h"
#include "util/daemon.h"
#include "util/log.h"
#include "util/program.h"

static bool
check(const char *config, GError **error)
{
    struct pgw_sidecar_settings *settings = NULL;
    bool good = pgw_sidecar_settings_load(&settings, config, error);

    pgw_sidecar_settings_free(settings);
    return good;
}

static void
drain(void *context)
{
    sidecar_drain(context);
}

static bool
ready(void *context, char **reason)
{
    return sidecar_is_ready(context, reason);
}

static char *
status(void *context)
{
    return sidecar_status(context);
}

static bool
serve(struct sidecar *sidecar, GError **error)
{
    struct pgw_daemon daemon = {
        .loop = sidecar->loop,
        .drain = drain,
        .context = sidecar,
        .incarnation = sidecar->incarnation,
        .port = pgw_listener_port(sidecar->listener),
        .admin =
            {
                .listen = sidecar->settings->admin_listen,
                .instance = sidecar->settings->instance,
                .zone = sidecar->settings->zone,
                .trace = sidecar->trace,
                .ready = ready,
                .status = status,
                .context = sidecar,
            },
    };

    return pgw_daemon_serve(&daemon, error);
}

static int
run(const char *config, GError **error)
{
    struct pgw_sidecar_settings *settings = NULL;
    struct sidecar *sidecar = NULL;
    int code = PGW_EXIT_INVALID;

    if (!pgw_sidecar_settings_load(&settings, config, error)) {
        return code;
    }
    pgw_log_init(settings->instance, settings->zone, settings->log_level);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    sidecar = sidecar_new(settings, error);
    if (sidecar == NULL || !serve(sidecar, error)) {
        code = PGW_EXIT_FAILURE;
        goto done;
    }
    code = PGW_EXIT_OK;
done:
    if (sidecar != NULL) {
        sidecar_free(sidecar);
    }
    pgw_sidecar_settings_free(settings);
    curl_global_cleanup();
    return code;
}

int
main(int argc, char **argv)
{
    static const struct pgw_program program = {
        .name = "parsleygw-sidecar",
        .summary = "guard of one upstream",
        .check = check,
        .run = run,
    };

    return pgw_program_main(&program, argc, argv);
}
