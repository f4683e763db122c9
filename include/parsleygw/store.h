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
 * Blocking calls, each with a deadline in microseconds of
 * g_get_monotonic_time(). A store may be used by several threads at once.
 * Tests put a table of their own functions in the place of the client.
 *
 * Errors that all calls share: %PGW_ERROR_UNAVAILABLE (cannot be reached or
 * in an outage; the call had no effect), %PGW_ERROR_OVERLOADED (over the
 * store's rate limit; no effect), %PGW_ERROR_TIMEOUT (a read ran into its
 * deadline), %PGW_ERROR_PROTOCOL (an answer that makes no sense).
 * A write adds %PGW_ERROR_UNKNOWN_OUTCOME: its answer was lost, the change
 * may or may not have been made.
 */

/**
 * struct pgw_store_object - one object as the store answered it
 * @name: name within its kind
 * @version: the store's version
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
 * @version: the collection's version, where a watch continues
 * @objects: array of @n objects
 * @n: number of @objects
 */
struct pgw_store_list {
    uint64_t version;
    struct pgw_store_object *objects;
    size_t n;
};

/**
 * struct pgw_store_instance - one line of the platform's list
 * @id: instance id
 * @zone: availability zone
 * @leaving: the platform is about to take it away
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
 * struct pgw_store_ops - the calls of a store
 * @get: read one object; %PGW_ERROR_NOT_FOUND
 * @list: read all objects of a kind
 * @put_if: write if the version is still @expected (0: does not exist);
 *   @out receives the new version, or at %PGW_ERROR_CONFLICT the current
 *   object (version 0 when it does not exist); %PGW_ERROR_TOO_LARGE
 * @delete_if: delete if the version is still @expected; a missing object is
 *   %PGW_ERROR_NOT_FOUND
 * @watch: wait up to @wait_ms for changes after @after;
 *   %PGW_ERROR_STALE when @after is too old: list again
 * @instances: the platform's list of instances
 * @free: release the store
 *
 * Out-parameters are empty after a failure, but for the conflict of @put_if.
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
 * struct pgw_store - base of every store; implementations embed it first
 * @ops: its calls
 */
struct pgw_store {
    const struct pgw_store_ops *ops;
};

/**
 * struct pgw_store_options - how to reach the object API
 * @url: base URL, "http://ip:port"
 * @connect_timeout_ms: time for a connection, milliseconds
 * @max_idle: connections kept open between calls
 * @max_response_bytes: largest answer taken, bytes
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
 * pgw_store_new() - client over libcurl
 * @out: receives the store; release with pgw_store_free()
 * @options: see &struct pgw_store_options
 * @error: %PGW_ERROR_INVALID
 *
 * Connects at the first call only.
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
 * pgw_store_put_confirmed() - conditional write that survives a lost answer
 * @store: the store
 * @out: as for put_if
 * @kind: kind of the object
 * @name: its name
 * @expected: version to replace; 0: must not exist
 * @value: JSON text that contains @nonce
 * @nonce: text that no other write contains, such as a random attempt id
 * @deadline_us: time at which the call gives up
 * @error: %PGW_ERROR_CONFLICT: another writer was first, this value never
 *   took effect; %PGW_ERROR_UNKNOWN_OUTCOME: the store was not reached again,
 *   or another writer followed and its value does not name @nonce
 *
 * After a lost answer the object is read back: @nonce in it shows that the
 * own write was made. The write is repeated under the same condition when
 * the object is still at @expected: should the first one arrive late, one of
 * the two is refused. Calls without effect (outage, rate limit) are repeated
 * until the deadline, with growing, jittered pauses.
 */
bool pgw_store_put_confirmed(struct pgw_store *store,
                             struct pgw_store_object *out, const char *kind,
                             const char *name, uint64_t expected,
                             const char *value, const char *nonce,
                             uint64_t deadline_us, GError **error);

/** pgw_store_object_dispose() - release what a call put into @object */
void pgw_store_object_dispose(struct pgw_store_object *object);
/** pgw_store_list_dispose() - release what a call put into @list */
void pgw_store_list_dispose(struct pgw_store_list *list);
/** pgw_store_instances_dispose() - release what a call put into @instances */
void pgw_store_instances_dispose(struct pgw_store_instances *instances);

G_END_DECLS

#endif
