/* Set of versioned objects: merging and comparison with a peer. */
#include <string.h>
#include <xxhash.h>

#include "config_internal.h"
#include "parsleygw/errors.h"

struct pgw_config_set *
pgw_config_set_new(void)
{
    struct pgw_config_set *set = g_new0(struct pgw_config_set, 1);

    for (int i = 0; i < PGW_CONFIG__KINDS; i++) {
        set->objects[i] = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                                pgw_config__object_unref);
    }
    return set;
}

void
pgw_config_set_free(struct pgw_config_set *set)
{
    if (set == NULL) {
        return;
    }
    for (int i = 0; i < PGW_CONFIG__KINDS; i++) {
        g_hash_table_unref(set->objects[i]);
        pgw_config__table_unref(set->tables[i]);
    }
    g_free(set);
}

static uint64_t
name_hash(enum pgw_config__kind kind, const char *name)
{
    return XXH3_64bits_withSeed(name, strlen(name), (uint64_t)kind);
}

static unsigned
bucket_of(enum pgw_config__kind kind, const char *name)
{
    return (unsigned)(name_hash(kind, name) % PGW_CONFIG_BUCKETS);
}

unsigned
pgw_config_bucket(const char *kind, const char *name)
{
    enum pgw_config__kind kind_id = PGW_CONFIG__PROFILE;

    pgw_config__kind_parse(&kind_id, kind);
    return bucket_of(kind_id, name);
}

static uint64_t
object_hash(const struct pgw_config__object *object)
{
    return XXH3_64bits_withSeed(&object->version, sizeof(object->version),
                                name_hash(object->kind, object->name));
}

/* XOR makes the hash of a bucket independent of the order of objects and
 * allows a replaced version to be removed again. */
static void
toggle_hash(struct pgw_config_set *set,
            const struct pgw_config__object *object)
{
    set->buckets[bucket_of(object->kind, object->name)] ^= object_hash(object);
}

/* Failure: a stale store or peer delivers a value that operators have
 * replaced. Symptom: a revoked key gives access again. Versions come from one
 * increasing counter of the store, so the highest version is the newest, and
 * ignoring all others is enough for any order and number of deliveries. */
static bool
is_newer(const struct pgw_config__object *current, uint64_t version)
{
#ifndef PGW_DISABLE_CONFIG_MONOTONE
    return current == NULL || version > current->version;
#else
    return current == NULL || version != current->version;
#endif
}

/* Failure: a process that listed the store after a deletion has no tombstone
 * for the object; a peer that was partitioned meanwhile sends the deleted
 * object, which then spreads. Symptom: the keys of a deleted workspace give
 * access again. All objects that were live at the list's version are in the
 * set, so a newer value with no higher version belongs to a deleted object. */
static bool
is_known_deleted(const struct pgw_config_set *set, enum pgw_config__kind kind,
                 uint64_t version)
{
#ifndef PGW_DISABLE_CONFIG_LISTED
    return version <= set->listed[kind];
#else
    (void)set;
    (void)kind;
    (void)version;
    return false;
#endif
}

void
pgw_config_set_mark_listed(struct pgw_config_set *set, const char *kind,
                           uint64_t version)
{
    enum pgw_config__kind kind_id;

    if (pgw_config__kind_parse(&kind_id, kind)) {
        set->listed[kind_id] = MAX(set->listed[kind_id], version);
    }
}

static bool
check_identity(enum pgw_config__kind *out, const char *kind, const char *name,
               uint64_t version, GError **error)
{
    if (!pgw_config__kind_parse(out, kind)) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "kind \"%s\": give profile, workspace, pool or upstream",
                    kind == NULL ? "" : kind);
        return false;
    }
    if (version == 0) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "%s/%s: version 0: give the store's version, from 1", kind,
                    name == NULL ? "" : name);
        return false;
    }
    return true;
}

bool
pgw_config_set_apply(struct pgw_config_set *set, const char *kind,
                     const char *name, uint64_t version, const char *value,
                     bool *changed, GError **error)
{
    enum pgw_config__kind kind_id;
    struct pgw_config__object *current;
    struct pgw_config__object *object;

    if (changed != NULL) {
        *changed = false;
    }
    if (!check_identity(&kind_id, kind, name, version, error)) {
        return false;
    }
    current =
        name == NULL ? NULL : g_hash_table_lookup(set->objects[kind_id], name);
    if (!is_newer(current, version)) {
        return true;
    }
    if (value != NULL && is_known_deleted(set, kind_id, version)) {
        version = set->listed[kind_id];
        value = NULL;
    }
    object =
        pgw_config__object_new(kind_id, name, version, value, false, error);
    if (object == NULL) {
        return false;
    }
    if (current != NULL) {
        toggle_hash(set, current);
    }
    toggle_hash(set, object);
    /* Deleted objects stay as tombstones: otherwise an old copy at a peer
     * would restore the object. */
    g_hash_table_replace(set->objects[kind_id], object->name, object);
    g_clear_pointer(&set->tables[kind_id], pgw_config__table_unref);
    if (changed != NULL) {
        *changed = true;
    }
    return true;
}

static const struct pgw_config__object *
find_object(const struct pgw_config_set *set, const char *kind,
            const char *name)
{
    enum pgw_config__kind kind_id;

    if (name == NULL || !pgw_config__kind_parse(&kind_id, kind)) {
        return NULL;
    }
    return g_hash_table_lookup(set->objects[kind_id], name);
}

uint64_t
pgw_config_set_version(const struct pgw_config_set *set, const char *kind,
                       const char *name)
{
    const struct pgw_config__object *object = find_object(set, kind, name);

    return object == NULL ? 0 : object->version;
}

const char *
pgw_config_set_value(const struct pgw_config_set *set, const char *kind,
                     const char *name)
{
    const struct pgw_config__object *object = find_object(set, kind, name);

    return object == NULL ? NULL : object->text;
}

/* Iterates over all objects of the given buckets. */
struct walk {
    const struct pgw_config_set *set;
    const bool *buckets;
    int kind;
    bool started;
    GHashTableIter iter;
};

static const struct pgw_config__object *
walk_next(struct walk *walk)
{
    gpointer value;
    const struct pgw_config__object *object;

    while (walk->kind < PGW_CONFIG__KINDS) {
        if (!walk->started) {
            g_hash_table_iter_init(&walk->iter,
                                   walk->set->objects[walk->kind]);
            walk->started = true;
        }
        while (g_hash_table_iter_next(&walk->iter, NULL, &value)) {
            object = value;
            if (walk->buckets == NULL ||
                walk->buckets[bucket_of(object->kind, object->name)]) {
                return object;
            }
        }
        walk->started = false;
        walk->kind++;
    }
    return NULL;
}

size_t
pgw_config_set_count(const struct pgw_config_set *set)
{
    struct walk walk = {.set = set};
    const struct pgw_config__object *object;
    size_t count = 0;

    while ((object = walk_next(&walk)) != NULL) {
        count += object->text != NULL;
    }
    return count;
}

void
pgw_config_set_foreach(const struct pgw_config_set *set,
                       pgw_config_object_func func, void *data)
{
    pgw_config_set_diff(set, NULL, 0, NULL, func, data);
}

uint64_t
pgw_config_set_summary(const struct pgw_config_set *set)
{
    return XXH3_64bits(set->buckets, sizeof(set->buckets));
}

void
pgw_config_set_digest(const struct pgw_config_set *set,
                      uint64_t buckets[PGW_CONFIG_BUCKETS])
{
    memcpy(buckets, set->buckets, sizeof(set->buckets));
}

GArray *
pgw_config_set_versions(const struct pgw_config_set *set, const bool *buckets)
{
    GArray *versions =
        g_array_new(FALSE, FALSE, sizeof(struct pgw_config_version));
    struct walk walk = {.set = set, .buckets = buckets};
    const struct pgw_config__object *object;

    while ((object = walk_next(&walk)) != NULL) {
        struct pgw_config_version item = {
            .kind = pgw_config__kind_name(object->kind),
            .name = object->name,
            .version = object->version};

        g_array_append_val(versions, item);
    }
    return versions;
}

/* Builds one table of the peer's versions for each kind; returns how many are
 * newer than in @set. */
static size_t
index_peer_versions(const struct pgw_config_set *set, GHashTable **tables,
                    const struct pgw_config_version *peer, size_t n_peer)
{
    enum pgw_config__kind kind_id;
    size_t newer = 0;

    for (size_t i = 0; i < n_peer; i++) {
        if (peer[i].name == NULL ||
            !pgw_config__kind_parse(&kind_id, peer[i].kind)) {
            continue;
        }
        g_hash_table_insert(tables[kind_id], (gpointer)peer[i].name,
                            (gpointer)&peer[i]);
        newer += peer[i].version >
                 pgw_config_set_version(set, peer[i].kind, peer[i].name);
    }
    return newer;
}

size_t
pgw_config_set_diff(const struct pgw_config_set *set,
                    const struct pgw_config_version *peer, size_t n_peer,
                    const bool *buckets, pgw_config_object_func func,
                    void *data)
{
    GHashTable *tables[PGW_CONFIG__KINDS];
    struct walk walk = {.set = set, .buckets = buckets};
    const struct pgw_config__object *object;
    size_t newer;

    for (int i = 0; i < PGW_CONFIG__KINDS; i++) {
        tables[i] = g_hash_table_new(g_str_hash, g_str_equal);
    }
    newer = index_peer_versions(set, tables, peer, n_peer);
    while ((object = walk_next(&walk)) != NULL) {
        const struct pgw_config_version *theirs =
            g_hash_table_lookup(tables[object->kind], object->name);

        if (theirs == NULL || theirs->version < object->version) {
            func(pgw_config__kind_name(object->kind), object->name,
                 object->version, object->text, data);
        }
    }
    for (int i = 0; i < PGW_CONFIG__KINDS; i++) {
        g_hash_table_unref(tables[i]);
    }
    return newer;
}
