#include "libparsleygw/store_worker.h"
#include "parsleygw/errors.h"

struct pgw_store_worker {
    struct pgw_store *store;
    struct pgw_loop *loop;
    GThreadPool *pool;
    bool stopping;
};

struct job {
    struct pgw_task task;
    struct pgw_store_worker *worker;
    char *kind;
    char *name;
    struct pgw_io io;
    uint64_t timeout_us;
    void (*done)(void *context, const struct pgw_io_reply *reply);
    void *context;
    void (*instances_done)(void *context,
                           const struct pgw_store_instances *list);
    struct pgw_store_object object;
    struct pgw_store_instances list;
    enum pgw_io_result result;
};

static void
job_free(struct job *job)
{
    pgw_io_dispose(&job->io);
    pgw_store_object_dispose(&job->object);
    pgw_store_instances_dispose(&job->list);
    g_free(job->kind);
    g_free(job->name);
    g_free(job);
}

static void
job_complete(struct pgw_task *task)
{
    struct job *job = pgw_container_of(task, struct job, task);
    struct pgw_io_reply reply = {
        .result = job->result,
        .version = job->object.version,
        .value = job->object.value,
        .length = job->object.value == NULL ? 0 : strlen(job->object.value),
    };

    if (job->worker->stopping) {
        /* The owner of the context is being freed. */
    }
    else if (job->instances_done != NULL) {
        job->instances_done(job->context,
                            job->result == PGW_IO_OK ? &job->list : NULL);
    }
    else {
        job->done(job->context, &reply);
    }
    job_free(job);
}

static enum pgw_io_result
result_from_error(const GError *error, bool is_write)
{
    switch (error->code) {
    case PGW_ERROR_NOT_FOUND:
        return PGW_IO_MISSING;
    case PGW_ERROR_CONFLICT:
        return PGW_IO_CONFLICT;
    case PGW_ERROR_OVERLOADED:
        return PGW_IO_THROTTLED;
    case PGW_ERROR_UNAVAILABLE:
    case PGW_ERROR_TOO_LARGE:
    case PGW_ERROR_INVALID:
        return PGW_IO_UNAVAILABLE;
    default:
        /* A write whose response was lost may have taken effect or may do so
         * later. */
        return is_write ? PGW_IO_UNKNOWN : PGW_IO_UNAVAILABLE;
    }
}

static void
job_run(gpointer data, gpointer context)
{
    struct job *job = data;
    struct pgw_store_worker *worker = context;
    uint64_t deadline_us = pgw_now_us() + job->timeout_us;
    GError *error = NULL;
    bool ok = false;

    switch (job->io.kind) {
    case PGW_IO_READ:
        ok = pgw_store_get(worker->store, &job->object, job->kind, job->name,
                           deadline_us, &error);
        break;
    case PGW_IO_WRITE:
        ok = pgw_store_put_if(worker->store, &job->object, job->kind,
                              job->name, job->io.expected_version,
                              job->io.value, deadline_us, &error);
        break;
    case PGW_IO_DELETE:
        ok =
            pgw_store_delete_if(worker->store, job->kind, job->name,
                                job->io.expected_version, deadline_us, &error);
        break;
    case PGW_IO_NONE:
        ok = pgw_store_instances(worker->store, &job->list, deadline_us,
                                 &error);
        break;
    }
    if (ok) {
        job->result = PGW_IO_OK;
    }
    else {
        job->result =
            error == NULL
                ? PGW_IO_UNAVAILABLE
                : result_from_error(error, job->io.kind != PGW_IO_READ);
        g_clear_error(&error);
    }
    job->task.run = job_complete;
    pgw_loop_post(worker->loop, &job->task);
}

struct pgw_store_worker *
pgw_store_worker_new(struct pgw_store *store, struct pgw_loop *loop,
                     unsigned threads)
{
    struct pgw_store_worker *worker = g_new0(struct pgw_store_worker, 1);

    worker->store = store;
    worker->loop = loop;
    worker->pool =
        g_thread_pool_new(job_run, worker, (gint)threads, FALSE, NULL);
    return worker;
}

void
pgw_store_worker_free(struct pgw_store_worker *worker)
{
    if (worker == NULL) {
        return;
    }
    worker->stopping = true;
    g_thread_pool_free(worker->pool, FALSE, TRUE);
    pgw_loop_run_tasks(worker->loop);
    g_free(worker);
}

void
pgw_store_worker_submit(struct pgw_store_worker *worker, const char *kind,
                        const char *name, struct pgw_io *io,
                        uint64_t timeout_us,
                        void (*done)(void *context,
                                     const struct pgw_io_reply *reply),
                        void *context)
{
    struct job *job = g_new0(struct job, 1);

    job->worker = worker;
    job->kind = g_strdup(kind);
    job->name = g_strdup(name);
    job->io = *io;
    *io = (struct pgw_io){0};
    job->timeout_us = timeout_us;
    job->done = done;
    job->context = context;
    g_thread_pool_push(worker->pool, job, NULL);
}

void
pgw_store_worker_list_instances(
    struct pgw_store_worker *worker, uint64_t timeout_us,
    void (*done)(void *context, const struct pgw_store_instances *list),
    void *context)
{
    struct job *job = g_new0(struct job, 1);

    job->worker = worker;
    job->timeout_us = timeout_us;
    job->instances_done = done;
    job->context = context;
    g_thread_pool_push(worker->pool, job, NULL);
}
