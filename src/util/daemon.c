#include "util/daemon.h"
#include "parsleygw/errors.h"
#include "util/program.h"
#include <pthread.h>
#include <stdio.h>

struct drain_task {
    struct pgw_task task;
    struct pgw_daemon *daemon;
};

static void
drain_run(struct pgw_task *task)
{
    struct drain_task *self = pgw_container_of(task, struct drain_task, task);

    self->daemon->drain(self->daemon->context);
}

static void *
loop_main(void *loop)
{
    pgw_loop_run(loop);
    return NULL;
}

bool
pgw_daemon_serve(struct pgw_daemon *daemon, GError **error)
{
    struct drain_task drain = {.task.run = drain_run, .daemon = daemon};
    struct pgw_admin *admin = NULL;
    pthread_t thread;
    bool served = false;
    int signal;

    if (!pgw_admin_start(&admin, &daemon->admin, error)) {
        goto done;
    }
    if (pthread_create(&thread, NULL, loop_main, daemon->loop) != 0) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_IO,
                    "cannot start a thread: raise the limit of processes");
        goto done;
    }
    pgw_trace_record(daemon->admin.trace, PGW_TRACE_PROCESS_START, NULL, 0,
                     daemon->incarnation, 0, PGW_VERSION);
    printf("port=%u\nadmin_port=%u\n", daemon->port, pgw_admin_port(admin));
    fflush(stdout);
    while ((signal = pgw_program_signal_wait(-1)) == 0) {
    }
    pgw_trace_record(daemon->admin.trace, PGW_TRACE_PROCESS_STOP, NULL, 0,
                     (uint64_t)signal, 0, NULL);
    pgw_loop_post(daemon->loop, &drain.task);
    pthread_join(thread, NULL);
    served = true;
done:
    pgw_admin_stop(admin);
    return served;
}
