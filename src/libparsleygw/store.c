/* Common to all stores: dispatch, release, and writes confirmed by reading
 * back. */
#include "parsleygw/store.h"

#include <string.h>

#include "parsleygw/errors.h"

#define FIRST_BACKOFF_US 10000
#ifdef PGW_DISABLE_STORE_OVERTAKEN
#define OVERWRITE_CHECK_DISABLED 1
#else
#define OVERWRITE_CHECK_DISABLED 0
#endif
#define MAX_BACKOFF_US 500000

void
pgw_store_free(struct pgw_store *store)
{
    if (store != NULL) {
        store->ops->free(store);
    }
}

bool
pgw_store_get(struct pgw_store *store, struct pgw_store_object *out,
              const char *kind, const char *name, uint64_t deadline_us,
              GError **error)
{
    return store->ops->get(store, out, kind, name, deadline_us, error);
}

bool
pgw_store_list(struct pgw_store *store, struct pgw_store_list *out,
               const char *kind, uint64_t deadline_us, GError **error)
{
    return store->ops->list(store, out, kind, deadline_us, error);
}

bool
pgw_store_put_if(struct pgw_store *store, struct pgw_store_object *out,
                 const char *kind, const char *name, uint64_t expected,
                 const char *value, uint64_t deadline_us, GError **error)
{
    return store->ops->put_if(store, out, kind, name, expected, value,
                              deadline_us, error);
}

bool
pgw_store_delete_if(struct pgw_store *store, const char *kind,
                    const char *name, uint64_t expected, uint64_t deadline_us,
                    GError **error)
{
    return store->ops->delete_if(store, kind, name, expected, deadline_us,
                                 error);
}

bool
pgw_store_watch(struct pgw_store *store, struct pgw_store_list *out,
                const char *kind, uint64_t after, uint32_t wait_ms,
                uint64_t deadline_us, GError **error)
{
    return store->ops->watch(store, out, kind, after, wait_ms, deadline_us,
                             error);
}

bool
pgw_store_instances(struct pgw_store *store, struct pgw_store_instances *out,
                    uint64_t deadline_us, GError **error)
{
    return store->ops->instances(store, out, deadline_us, error);
}

void
pgw_store_object_dispose(struct pgw_store_object *object)
{
    g_free(object->name);
    g_free(object->value);
    *object = (struct pgw_store_object){0};
}

void
pgw_store_list_dispose(struct pgw_store_list *list)
{
    for (size_t i = 0; i < list->n; i++) {
        pgw_store_object_dispose(&list->objects[i]);
    }
    g_free(list->objects);
    *list = (struct pgw_store_list){0};
}

void
pgw_store_instances_dispose(struct pgw_store_instances *instances)
{
    for (size_t i = 0; i < instances->n; i++) {
        g_free(instances->instances[i].id);
        g_free(instances->instances[i].zone);
    }
    g_free(instances->instances);
    *instances = (struct pgw_store_instances){0};
}

/* One conditional write whose outcome is not confirmed yet. */
struct confirmed_put {
    struct pgw_store *store;
    struct pgw_store_object *out;
    const char *kind;
    const char *name;
    uint64_t expected;
    const char *value;
    const char *nonce;
    uint64_t deadline_us;
    bool response_lost; /* of any attempt */
};

enum put_step {
    PUT_STEP_DONE,
    PUT_STEP_FAILED,
    PUT_STEP_WRITE,
    PUT_STEP_READ,
};

static bool
has_own_nonce(const struct confirmed_put *put)
{
    return put->out->value != NULL &&
           strstr(put->out->value, put->nonce) != NULL;
}

/* Handles an object whose version is not the expected one. */
static enum put_step
handle_other_version(struct confirmed_put *put, GError **error)
{
    if (has_own_nonce(put)) {
        g_clear_error(error);
        return PUT_STEP_DONE;
    }
    /* After a lost response, a current value without the nonce proves
     * nothing: the write may have taken effect and another writer may have
     * replaced it. Reporting a conflict would make the caller repeat a write
     * that took effect. */
    g_clear_error(error);
    if (put->response_lost && !OVERWRITE_CHECK_DISABLED) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_UNKNOWN_OUTCOME,
                    "%s/%s: the response to the write was lost and another "
                    "writer changed the object: read it and apply the "
                    "change to its current value",
                    put->kind, put->name);
        return PUT_STEP_FAILED;
    }
    g_set_error(error, PGW_ERROR, PGW_ERROR_CONFLICT,
                "%s/%s: version %" G_GUINT64_FORMAT
                " expected, %" G_GUINT64_FORMAT
                " found: apply the change to the current value",
                put->kind, put->name, put->expected, put->out->version);
    return PUT_STEP_FAILED;
}

static bool
had_no_effect(const GError *error)
{
    return g_error_matches(error, PGW_ERROR, PGW_ERROR_UNAVAILABLE) ||
           g_error_matches(error, PGW_ERROR, PGW_ERROR_OVERLOADED);
}

static enum put_step
write_object(struct confirmed_put *put, GError **error)
{
    pgw_store_object_dispose(put->out);
    if (pgw_store_put_if(put->store, put->out, put->kind, put->name,
                         put->expected, put->value, put->deadline_us, error)) {
        return PUT_STEP_DONE;
    }
    if (g_error_matches(*error, PGW_ERROR, PGW_ERROR_CONFLICT)) {
        return handle_other_version(put, error);
    }
    if (had_no_effect(*error)) {
        return put->response_lost ? PUT_STEP_READ : PUT_STEP_WRITE;
    }
    if (g_error_matches(*error, PGW_ERROR, PGW_ERROR_UNKNOWN_OUTCOME)) {
        put->response_lost = true;
        return PUT_STEP_READ;
    }
    return PUT_STEP_FAILED;
}

static enum put_step
read_back(struct confirmed_put *put, GError **error)
{
    bool found;

    pgw_store_object_dispose(put->out);
    found = pgw_store_get(put->store, put->out, put->kind, put->name,
                          put->deadline_us, error);
    if (!found && !g_error_matches(*error, PGW_ERROR, PGW_ERROR_NOT_FOUND)) {
        return PUT_STEP_READ;
    }
    g_clear_error(error);
    if (put->out->version == put->expected) {
        return PUT_STEP_WRITE;
    }
    return handle_other_version(put, error);
}

/* Exponential backoff with jitter: writers that met the same outage must not
 * retry at the same time. Returns false if the deadline would pass. */
static bool
backoff_before_retry(const struct confirmed_put *put, unsigned attempt)
{
    gint64 bound_us =
        MIN((gint64)FIRST_BACKOFF_US << MIN(attempt, 8u), MAX_BACKOFF_US);
    gint64 pause_us =
        bound_us / 2 + g_random_int_range(0, (gint32)bound_us / 2);

    if (g_get_monotonic_time() + pause_us >= (gint64)put->deadline_us) {
        return false;
    }
    g_usleep((gulong)pause_us);
    return true;
}

bool
pgw_store_put_confirmed(struct pgw_store *store, struct pgw_store_object *out,
                        const char *kind, const char *name, uint64_t expected,
                        const char *value, const char *nonce,
                        uint64_t deadline_us, GError **error)
{
    struct confirmed_put put = {.store = store,
                                .out = out,
                                .kind = kind,
                                .name = name,
                                .expected = expected,
                                .value = value,
                                .nonce = nonce,
                                .deadline_us = deadline_us};
    enum put_step step = PUT_STEP_WRITE;
    GError *cause = NULL;

    *out = (struct pgw_store_object){0};
    for (unsigned attempt = 0;; attempt++) {
        g_clear_error(&cause);
        step = step == PUT_STEP_WRITE ? write_object(&put, &cause)
                                      : read_back(&put, &cause);
        if (step == PUT_STEP_DONE || step == PUT_STEP_FAILED ||
            !backoff_before_retry(&put, attempt)) {
            break;
        }
    }
    if (step == PUT_STEP_DONE) {
        return true;
    }
    if (step != PUT_STEP_FAILED && put.response_lost) {
        g_clear_error(&cause);
        g_set_error(&cause, PGW_ERROR, PGW_ERROR_UNKNOWN_OUTCOME,
                    "%s/%s: the response to the write was lost and the store "
                    "was not reachable again before the deadline: read the "
                    "object later",
                    kind, name);
    }
    g_propagate_error(error, cause);
    return false;
}
