#ifndef PARSLEYGW_STORE_H
#define PARSLEYGW_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Client of the platform's object API
 *
 * All calls block and take a deadline in microseconds of
 * g_get_monotonic_time(). Several threads may use a store at once. Tests
 * replace the client by their own &struct pgw_store_ops.
 *
 * Errors of all calls: %PGW_ERROR_UNAVAILABLE (the store is unreachable or
 * has an outage; the call had no effect), %PGW_ERROR_OVERLOADED (the store's
 * rate limit was exceeded; no effect), %PGW_ERROR_TIMEOUT (a read exceeded its
 * deadline), %PGW_ERROR_PROTOCOL (the response is malformed).
 * A write may also fail with %PGW_ERROR_UNKNOWN_OUTCOME: the response was
 * lost, and the write may or may not have taken effect.
 */

/**
 * struct pgw_store_object - one object as the store returned it
 * @name: name, unique within its kind
 * @version: version that the store assigned
 * @value: JSON text; NULL when @deleted
 * @deleted: the object was deleted at @version (watches only)
 */
struct pgw_store_object {
    char *name;
    uint64_t version;
    char *value;
    bool deleted;
};

/**
 * struct pgw_store_list - objects or changes of one kind
 * @version: the collection's version, from which a watch continues
 * @objects: array of @n objects
 * @n: number of @objects
 */
struct pgw_store_list {
    uint64_t version;
    struct pgw_store_object *objects;
    size_t n;
};

/**
 * struct pgw_store_instance - one instance of the platform's list
 * @id: instance id
 * @zone: availability zone
 * @leaving: the platform is about to remove it
 */
struct pgw_store_instance {
    char *id;
    char *zone;
    bool leaving;
};

struct pgw_store_instances {
    struct pgw_store_instance *instances;
    size_t n;
};

struct pgw_store;

/**
 * struct pgw_store_ops - operations of a store
 * @get: read one object; %PGW_ERROR_NOT_FOUND
 * @list: read all objects of a kind
 * @put_if: write if the version is still @expected (0: does not exist);
 *   @out receives the new version, or on %PGW_ERROR_CONFLICT the current
 *   object (version 0 if it does not exist); %PGW_ERROR_TOO_LARGE
 * @delete_if: delete if the version is still @expected;
 *   %PGW_ERROR_NOT_FOUND if the object does not exist
 * @watch: wait up to @wait_ms for changes after version @after;
 *   %PGW_ERROR_STALE if @after is too old and the caller must list again
 * @instances: read the platform's list of instances
 * @free: release the store
 *
 * Out-parameters are empty after a failure, except after a conflict of
 * @put_if.
 */
struct pgw_store_ops {
    bool (*get)(struct pgw_store *store, struct pgw_store_object *out,
                const char *kind, const char *name, uint64_t deadline_us,
                GError **error);
    bool (*list)(struct pgw_store *store, struct pgw_store_list *out,
                 const char *kind, uint64_t deadline_us, GError **error);
    bool (*put_if)(struct pgw_store *store, struct pgw_store_object *out,
                   const char *kind, const char *name, uint64_t expected,
                   const char *value, uint64_t deadline_us, GError **error);
    bool (*delete_if)(struct pgw_store *store, const char *kind,
                      const char *name, uint64_t expected,
                      uint64_t deadline_us, GError **error);
    bool (*watch)(struct pgw_store *store, struct pgw_store_list *out,
                  const char *kind, uint64_t after, uint32_t wait_ms,
                  uint64_t deadline_us, GError **error);
    bool (*instances)(struct pgw_store *store, struct pgw_store_instances *out,
                      uint64_t deadline_us, GError **error);
    void (*free)(struct pgw_store *store);
};

/**
 * struct pgw_store - base of all stores, first member of an implementation
 * @ops: operations
 */
struct pgw_store {
    const struct pgw_store_ops *ops;
};

/**
 * struct pgw_store_options - settings of the HTTP client
 * @url: base URL, "http://ip:port"
 * @connect_timeout_ms: connect timeout, milliseconds
 * @max_idle: largest number of idle connections kept open
 * @max_response_bytes: largest response accepted, bytes
 */
struct pgw_store_options {
    const char *url;
    uint32_t connect_timeout_ms;
    uint32_t max_idle;
    size_t max_response_bytes;
};

#define PGW_STORE_OPTIONS_INIT                                                \
    {                                                                         \
        .url = NULL, .connect_timeout_ms = 1000, .max_idle = 8,               \
        .max_response_bytes = (size_t)32 * 1024 * 1024                        \
    }

/**
 * pgw_store_new() - create an HTTP client on top of libcurl
 * @out: receives the store; release with pgw_store_free()
 * @options: see &struct pgw_store_options
 * @error: %PGW_ERROR_INVALID
 *
 * The client connects on the first call.
 */
bool pgw_store_new(struct pgw_store **out,
                   const struct pgw_store_options *options, GError **error);
void pgw_store_free(struct pgw_store *store);

bool pgw_store_get(struct pgw_store *store, struct pgw_store_object *out,
                   const char *kind, const char *name, uint64_t deadline_us,
                   GError **error);
bool pgw_store_list(struct pgw_store *store, struct pgw_store_list *out,
                    const char *kind, uint64_t deadline_us, GError **error);
bool pgw_store_put_if(struct pgw_store *store, struct pgw_store_object *out,
                      const char *kind, const char *name, uint64_t expected,
                      const char *value, uint64_t deadline_us, GError **error);
bool pgw_store_delete_if(struct pgw_store *store, const char *kind,
                         const char *name, uint64_t expected,
                         uint64_t deadline_us, GError **error);
bool pgw_store_watch(struct pgw_store *store, struct pgw_store_list *out,
                     const char *kind, uint64_t after, uint32_t wait_ms,
                     uint64_t deadline_us, GError **error);
bool pgw_store_instances(struct pgw_store *store,
                         struct pgw_store_instances *out, uint64_t deadline_us,
                         GError **error);

/**
 * pgw_store_put_confirmed() - conditional write that handles a lost response
 * @store: the store
 * @out: as for put_if
 * @kind: kind of the object
 * @name: its name
 * @expected: version to replace; 0: must not exist
 * @value: JSON text that contains @nonce
 * @nonce: text that no other write contains, such as a random attempt id
 * @deadline_us: time after which the call fails
 * @error: %PGW_ERROR_CONFLICT: another writer was first, and this value never
 *   took effect; %PGW_ERROR_UNKNOWN_OUTCOME: the response was lost, and the
 *   store could not be reached again or the object was overwritten by a value
 *   without @nonce
 *
 * After a lost response the object is read back. If it contains @nonce, the
 * write took effect. If it is still at @expected, the write is retried with
 * the same condition; should the first one arrive late, the store rejects one
 * of the two. Calls without effect (outage, rate limit) are retried with
 * exponential backoff and jitter until the deadline.
 */
bool pgw_store_put_confirmed(struct pgw_store *store,
                             struct pgw_store_object *out, const char *kind,
                             const char *name, uint64_t expected,
                             const char *value, const char *nonce,
                             uint64_t deadline_us, GError **error);

/** pgw_store_object_dispose() - release the contents of @object */
void pgw_store_object_dispose(struct pgw_store_object *object);
/** pgw_store_list_dispose() - release the contents of @list */
void pgw_store_list_dispose(struct pgw_store_list *list);
/** pgw_store_instances_dispose() - release the contents of @instances */
void pgw_store_instances_dispose(struct pgw_store_instances *instances);

G_END_DECLS

#endif
