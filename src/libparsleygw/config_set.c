/* The mutable set of versioned objects: merge rule and anti-entropy. */
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
    enum pgw_config__kind number = PGW_CONFIG__PROFILE;

    pgw_config__kind_parse(&number, kind);
    return bucket_of(number, name);
}

static uint64_t
object_hash(const struct pgw_config__object *object)
{
    return XXH3_64bits_withSeed(&object->version, sizeof(object->version),
                                name_hash(object->kind, object->name));
}

/* Exclusive or makes the buckets' hashes independent of the order in which
 * objects came, and lets a replaced version be taken out again. */
static void
toggle(struct pgw_config_set *set, const struct pgw_config__object *object)
{
    set->buckets[bucket_of(object->kind, object->name)] ^= object_hash(object);
}

/* A value from a store or peer that answers from the past would put back what
 * operators replaced: a revoked key opens again. Versions come from the
 * store's one growing counter, so the highest seen is the newest and ignoring
 * the rest is enough, whatever the order and number of deliveries. */
static bool
is_news(const struct pgw_config__object *held, uint64_t version)
{
#ifndef PGW_DISABLE_CONFIG_MONOTONE
    return held == NULL || version > held->version;
#else
    return held == NULL || version != held->version;
#endif
}

/* A process that listed the store after a deletion holds no tombstone for what
 * it never knew. A peer that was cut off meanwhile would give it the deleted
 * object back, and it would spread from there: a deleted workspace's keys
 * open again. But whatever lives at the list's version is held since, so that
 * news from before it can only be of objects that were deleted. */
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
    enum pgw_config__kind number;

    if (pgw_config__kind_parse(&number, kind)) {
        set->listed[number] = MAX(set->listed[number], version);
    }
}

static bool
parse_header(enum pgw_config__kind *out, const char *kind, const char *name,
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
    enum pgw_config__kind number;
    struct pgw_config__object *held;
    struct pgw_config__object *object;

    if (changed != NULL) {
        *changed = false;
    }
    if (!parse_header(&number, kind, name, version, error)) {
        return false;
    }
    held =
        name == NULL ? NULL : g_hash_table_lookup(set->objects[number], name);
    if (!is_news(held, version)) {
        return true;
    }
    if (value != NULL && is_known_deleted(set, number, version)) {
        version = set->listed[number];
        value = NULL;
    }
    object =
        pgw_config__object_new(number, name, version, value, false, error);
    if (object == NULL) {
        return false;
    }
    if (held != NULL) {
        toggle(set, held);
    }
    toggle(set, object);
    /* Deleted objects stay as tombstones: without them an old copy at a peer
     * would bring the object back. */
    g_hash_table_replace(set->objects[number], object->name, object);
    g_clear_pointer(&set->tables[number], pgw_config__table_unref);
    if (changed != NULL) {
        *changed = true;
    }
    return true;
}

static const struct pgw_config__object *
find(const struct pgw_config_set *set, const char *kind, const char *name)
{
    enum pgw_config__kind number;

    if (name == NULL || !pgw_config__kind_parse(&number, kind)) {
        return NULL;
    }
    return g_hash_table_lookup(set->objects[number], name);
}

uint64_t
pgw_config_set_version(const struct pgw_config_set *set, const char *kind,
                       const char *name)
{
    const struct pgw_config__object *object = find(set, kind, name);

    return object == NULL ? 0 : object->version;
}

const char *
pgw_config_set_value(const struct pgw_config_set *set, const char *kind,
                     const char *name)
{
    const struct pgw_config__object *object = find(set, kind, name);

    return object == NULL ? NULL : object->text;
}

/* Walks all objects of the given buckets. */
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
        struct pgw_config_version line = {
            .kind = pgw_config__kind_name(object->kind),
            .name = object->name,
            .version = object->version};

        g_array_append_val(versions, line);
    }
    return versions;
}

/* The peer's versions as one table a kind; counts those newer there. */
static size_t
index_peer(const struct pgw_config_set *set, GHashTable **tables,
           const struct pgw_config_version *peer, size_t n_peer)
{
    enum pgw_config__kind number;
    size_t newer = 0;

    for (size_t i = 0; i < n_peer; i++) {
        if (peer[i].name == NULL ||
            !pgw_config__kind_parse(&number, peer[i].kind)) {
            continue;
        }
        g_hash_table_insert(tables[number], (gpointer)peer[i].name,
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
    newer = index_peer(set, tables, peer, n_peer);
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
