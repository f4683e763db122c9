#include "gateway/http/status_server.h"
#include "gateway/http/caller.h"
#include "util/metric.h"
#include <string.h>

struct pgw_status_server {
    struct pgw_status_options options;
    struct pgw_caller_server *server;
};

static void
answer(struct pgw_caller *caller, unsigned status, const char *text)
{
    pgw_caller_begin(caller, status, "Content-Type: text/plain\r\n",
                     (int64_t)strlen(text));
    pgw_caller_write(caller, text, strlen(text));
    pgw_caller_end(caller);
}

static void
on_request(struct pgw_caller *caller, void *context)
{
    struct pgw_status_server *self = context;
    const char *target = pgw_http_head_target(caller->head);
    const char *reason = "ready";

    if (strcmp(target, "/metrics") == 0) {
        char *text = pgw_metric_render();

        answer(caller, 200, text);
        g_free(text);
    }
    else if (self->options.ready_path != NULL &&
             strcmp(target, self->options.ready_path) == 0) {
        bool ready = self->options.is_ready(self->options.context, &reason);

        answer(caller, ready ? 200 : 503, reason);
    }
    else {
        answer(caller, 404, "not found");
    }
}

static void
on_gone(struct pgw_caller *caller, void *context)
{
    (void)caller;
    (void)context;
}

static char *
render_error(const struct pgw_caller *caller, unsigned status, void *context)
{
    (void)caller;
    (void)context;
    return g_strdup_printf("error %u", status);
}

static const struct pgw_caller_ops ops = {
    .on_request = on_request,
    .on_gone = on_gone,
    .render_error = render_error,
};

struct pgw_status_server *
pgw_status_server_new(struct pgw_loop *loop,
                      const struct pgw_status_options *options, GError **error)
{
    struct pgw_status_server *self = g_new0(struct pgw_status_server, 1);

    self->options = *options;
    self->server =
        pgw_caller_server_new(loop, &options->listen, &ops, self, error);
    if (self->server == NULL) {
        g_free(self);
        return NULL;
    }
    return self;
}

void
pgw_status_server_free(struct pgw_status_server *server)
{
    if (server != NULL) {
        pgw_caller_server_free(server->server);
        g_free(server);
    }
}
