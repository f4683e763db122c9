/* What all stores share: dispatch, release, settling of lost answers. */
#include "parsleygw/store.h"

#include <string.h>

#include "parsleygw/errors.h"

#define FIRST_PAUSE_US 10000
#ifdef PGW_DISABLE_STORE_OVERTAKEN
#define PGW_STORE_OVERTAKEN_OFF 1
#else
#define PGW_STORE_OVERTAKEN_OFF 0
#endif
#define LAST_PAUSE_US 500000

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

/* One conditional write on its way to a settled outcome. */
struct settle {
    struct pgw_store *store;
    struct pgw_store_object *out;
    const char *kind;
    const char *name;
    uint64_t expected;
    const char *value;
    const char *nonce;
    uint64_t deadline_us;
    bool lost; /* the answer of an attempt was lost */
};

enum settle_step {
    SETTLE_DONE,
    SETTLE_FAILED,
    SETTLE_WRITE,
    SETTLE_READ,
};

static bool
is_own(const struct settle *settle)
{
    return settle->out->value != NULL &&
           strstr(settle->out->value, settle->nonce) != NULL;
}

/* The object is at another version than expected. */
static enum settle_step
settle_other_version(struct settle *settle, GError **error)
{
    if (is_own(settle)) {
        g_clear_error(error);
        return SETTLE_DONE;
    }
    /* Another writer may have built on the own value, so that a current
     * value without the nonce proves nothing once an answer was lost.
     * Reporting a conflict would make the caller repeat what took effect. */
    g_clear_error(error);
    if (settle->lost && !PGW_STORE_OVERTAKEN_OFF) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_UNKNOWN_OUTCOME,
                    "%s/%s: the answer to the write was lost and another "
                    "writer followed: read the object and start from there",
                    settle->kind, settle->name);
        return SETTLE_FAILED;
    }
    g_set_error(
        error, PGW_ERROR, PGW_ERROR_CONFLICT,
        "%s/%s: version %" G_GUINT64_FORMAT " expected, %" G_GUINT64_FORMAT
        " found: apply the change to the current value",
        settle->kind, settle->name, settle->expected, settle->out->version);
    return SETTLE_FAILED;
}

static bool
is_without_effect(const GError *error)
{
    return g_error_matches(error, PGW_ERROR, PGW_ERROR_UNAVAILABLE) ||
           g_error_matches(error, PGW_ERROR, PGW_ERROR_OVERLOADED);
}

static enum settle_step
settle_write(struct settle *settle, GError **error)
{
    pgw_store_object_dispose(settle->out);
    if (pgw_store_put_if(settle->store, settle->out, settle->kind,
                         settle->name, settle->expected, settle->value,
                         settle->deadline_us, error)) {
        return SETTLE_DONE;
    }
    if (g_error_matches(*error, PGW_ERROR, PGW_ERROR_CONFLICT)) {
        return settle_other_version(settle, error);
    }
    if (is_without_effect(*error)) {
        return settle->lost ? SETTLE_READ : SETTLE_WRITE;
    }
    if (g_error_matches(*error, PGW_ERROR, PGW_ERROR_UNKNOWN_OUTCOME)) {
        settle->lost = true;
        return SETTLE_READ;
    }
    return SETTLE_FAILED;
}

static enum settle_step
settle_read(struct settle *settle, GError **error)
{
    bool found;

    pgw_store_object_dispose(settle->out);
    found = pgw_store_get(settle->store, settle->out, settle->kind,
                          settle->name, settle->deadline_us, error);
    if (!found && !g_error_matches(*error, PGW_ERROR, PGW_ERROR_NOT_FOUND)) {
        return SETTLE_READ;
    }
    g_clear_error(error);
    if (settle->out->version == settle->expected) {
        return SETTLE_WRITE;
    }
    return settle_other_version(settle, error);
}

/* Growing pauses with jitter: writers that met the same outage must not come
 * back in step. */
static bool
settle_pause(const struct settle *settle, unsigned attempt)
{
    gint64 limit =
        MIN((gint64)FIRST_PAUSE_US << MIN(attempt, 8u), LAST_PAUSE_US);
    gint64 pause = limit / 2 + g_random_int_range(0, (gint32)limit / 2);

    if (g_get_monotonic_time() + pause >= (gint64)settle->deadline_us) {
        return false;
    }
    g_usleep((gulong)pause);
    return true;
}

bool
pgw_store_put_confirmed(struct pgw_store *store, struct pgw_store_object *out,
                        const char *kind, const char *name, uint64_t expected,
                        const char *value, const char *nonce,
                        uint64_t deadline_us, GError **error)
{
    struct settle settle = {.store = store,
                            .out = out,
                            .kind = kind,
                            .name = name,
                            .expected = expected,
                            .value = value,
                            .nonce = nonce,
                            .deadline_us = deadline_us};
    enum settle_step step = SETTLE_WRITE;
    GError *cause = NULL;

    *out = (struct pgw_store_object){0};
    for (unsigned attempt = 0;; attempt++) {
        g_clear_error(&cause);
        step = step == SETTLE_WRITE ? settle_write(&settle, &cause)
                                    : settle_read(&settle, &cause);
        if (step == SETTLE_DONE || step == SETTLE_FAILED ||
            !settle_pause(&settle, attempt)) {
            break;
        }
    }
    if (step == SETTLE_DONE) {
        return true;
    }
    if (step != SETTLE_FAILED && settle.lost) {
        g_clear_error(&cause);
        g_set_error(&cause, PGW_ERROR, PGW_ERROR_UNKNOWN_OUTCOME,
                    "%s/%s: the answer to the write was lost and the store "
                    "was not reached again in time: read the object later",
                    kind, name);
    }
    g_propagate_error(error, cause);
    return false;
}
