/* Snapshots of a configuration set and their lookups. */
#include <string.h>

#include "config_internal.h"

struct pgw_config {
    atomic_uint refs;
    uint64_t summary;
    struct pgw_config__table *tables[PGW_CONFIG__KINDS];
};

static struct pgw_config__table *
table_ref(struct pgw_config__table *table)
{
    atomic_fetch_add(&table->refs, 1);
    return table;
}

void
pgw_config__table_unref(struct pgw_config__table *table)
{
    if (table == NULL || atomic_fetch_sub(&table->refs, 1) != 1) {
        return;
    }
    g_clear_pointer(&table->pools, g_hash_table_unref);
    g_clear_pointer(&table->upstreams, g_ptr_array_unref);
    g_free(table->slots);
    g_hash_table_unref(table->by_name);
    g_free(table);
}

/* Uses the first eight bytes: digests are uniformly distributed, so no further
 * hash is needed. */
static size_t
first_slot_of(const struct pgw_config__table *table, const uint8_t *sha256)
{
    uint64_t prefix;

    memcpy(&prefix, sha256, sizeof(prefix));
    return (size_t)prefix & table->slot_mask;
}

/* Constant time: stopping at the first difference would leak by its timing how
 * much of a guessed digest is correct. */
static bool
digests_are_equal(const uint8_t *a, const uint8_t *b)
{
    uint8_t difference = 0;

    for (size_t i = 0; i < PGW_KEY_DIGEST_SIZE; i++) {
        difference |= a[i] ^ b[i];
    }
    return difference == 0;
}

/* If two workspaces have the same digest, the name that sorts first wins, so
 * that a key maps to the same workspace in every process. */
static void
insert_key(struct pgw_config__table *table, const struct pgw_key *key,
           const struct pgw_workspace *workspace)
{
    size_t i = first_slot_of(table, key->sha256);

    while (table->slots[i].key != NULL) {
        struct pgw_config__key_slot *slot = &table->slots[i];

        if (digests_are_equal(slot->key->sha256, key->sha256)) {
            if (strcmp(slot->workspace->name, workspace->name) <= 0) {
                return;
            }
            break;
        }
        i = (i + 1) & table->slot_mask;
    }
    table->slots[i] =
        (struct pgw_config__key_slot){.key = key, .workspace = workspace};
}

static void
index_keys(struct pgw_config__table *table)
{
    GHashTableIter iter;
    gpointer value;
    size_t n_keys = 0;
    size_t n_slots = 8;

    g_hash_table_iter_init(&iter, table->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        n_keys += ((struct pgw_config__object *)value)->as.workspace.n_keys;
    }
    while (n_slots < 2 * n_keys) {
        n_slots *= 2;
    }
    table->slots = g_new0(struct pgw_config__key_slot, n_slots);
    table->slot_mask = n_slots - 1;
    g_hash_table_iter_init(&iter, table->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pgw_config__object *object = value;
        const struct pgw_workspace *workspace = &object->as.workspace;

        for (size_t i = 0; i < workspace->n_keys; i++) {
            if (!workspace->keys[i].revoked) {
                insert_key(table, &workspace->keys[i], workspace);
            }
        }
    }
}

static gint
compare_upstreams(gconstpointer a, gconstpointer b)
{
    const struct pgw_upstream *const *left = a;
    const struct pgw_upstream *const *right = b;

    return strcmp((*left)->id, (*right)->id);
}

static void
index_upstreams(struct pgw_config__table *table)
{
    GHashTableIter iter;
    gpointer value;

    table->upstreams = g_ptr_array_new();
    table->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                         (GDestroyNotify)g_ptr_array_unref);
    g_hash_table_iter_init(&iter, table->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pgw_config__object *object = value;

        g_ptr_array_add(table->upstreams, &object->as.upstream);
    }
    g_ptr_array_sort(table->upstreams, compare_upstreams);
    for (guint i = 0; i < table->upstreams->len; i++) {
        struct pgw_upstream *upstream = g_ptr_array_index(table->upstreams, i);
        GPtrArray *pool = g_hash_table_lookup(table->pools, upstream->pool);

        if (pool == NULL) {
            pool = g_ptr_array_new();
            g_hash_table_insert(table->pools, (gpointer)upstream->pool, pool);
        }
        g_ptr_array_add(pool, upstream);
    }
}

static struct pgw_config__table *
build_table(GHashTable *objects, enum pgw_config__kind kind)
{
    struct pgw_config__table *table = g_new0(struct pgw_config__table, 1);
    GHashTableIter iter;
    gpointer value;

    atomic_init(&table->refs, 1);
    table->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                           pgw_config__object_unref);
    g_hash_table_iter_init(&iter, objects);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pgw_config__object *object = value;

        table->version = MAX(table->version, object->version);
        if (object->text != NULL) {
            g_hash_table_insert(table->by_name, object->name,
                                pgw_config__object_ref(object));
        }
    }
    if (kind == PGW_CONFIG__WORKSPACE) {
        index_keys(table);
    }
    if (kind == PGW_CONFIG__UPSTREAM) {
        index_upstreams(table);
    }
    return table;
}

struct pgw_config *
pgw_config_build(struct pgw_config_set *set)
{
    struct pgw_config *config = g_new0(struct pgw_config, 1);

    atomic_init(&config->refs, 1);
    config->summary = pgw_config_set_summary(set);
    for (int i = 0; i < PGW_CONFIG__KINDS; i++) {
        if (set->tables[i] == NULL) {
            set->tables[i] =
                build_table(set->objects[i], (enum pgw_config__kind)i);
        }
        config->tables[i] = table_ref(set->tables[i]);
    }
    return config;
}

struct pgw_config *
pgw_config_ref(struct pgw_config *config)
{
    atomic_fetch_add(&config->refs, 1);
    return config;
}

void
pgw_config_unref(struct pgw_config *config)
{
    if (config == NULL || atomic_fetch_sub(&config->refs, 1) != 1) {
        return;
    }
    for (int i = 0; i < PGW_CONFIG__KINDS; i++) {
        pgw_config__table_unref(config->tables[i]);
    }
    g_free(config);
}

uint64_t
pgw_config_summary(const struct pgw_config *config)
{
    return config->summary;
}

uint64_t
pgw_config_version(const struct pgw_config *config)
{
    uint64_t version = 0;

    for (int i = 0; i < PGW_CONFIG__KINDS; i++) {
        version = MAX(version, config->tables[i]->version);
    }
    return version;
}

bool
pgw_config_is_empty(const struct pgw_config *config)
{
    return g_hash_table_size(config->tables[PGW_CONFIG__PROFILE]->by_name) ==
           0;
}

static struct pgw_config__object *
find_object(const struct pgw_config *config, enum pgw_config__kind kind,
            const char *name)
{
    if (name == NULL) {
        return NULL;
    }
    return g_hash_table_lookup(config->tables[kind]->by_name, name);
}

const struct pgw_profile *
pgw_config_profile(const struct pgw_config *config, const char *name)
{
    struct pgw_config__object *object =
        find_object(config, PGW_CONFIG__PROFILE, name);

    return object == NULL ? NULL : &object->as.profile;
}

const struct pgw_workspace *
pgw_config_workspace(const struct pgw_config *config, const char *name)
{
    struct pgw_config__object *object =
        find_object(config, PGW_CONFIG__WORKSPACE, name);

    return object == NULL ? NULL : &object->as.workspace;
}

const struct pgw_workspace *
pgw_config_workspace_by_key(const struct pgw_config *config,
                            const uint8_t sha256[PGW_KEY_DIGEST_SIZE])
{
    const struct pgw_config__table *table =
        config->tables[PGW_CONFIG__WORKSPACE];
    size_t i = first_slot_of(table, sha256);

    while (table->slots[i].key != NULL) {
        if (digests_are_equal(table->slots[i].key->sha256, sha256)) {
            return table->slots[i].workspace;
        }
        i = (i + 1) & table->slot_mask;
    }
    return NULL;
}

const struct pgw_pool *
pgw_config_pool(const struct pgw_config *config, const char *name)
{
    struct pgw_config__object *object =
        find_object(config, PGW_CONFIG__POOL, name);

    return object == NULL ? NULL : &object->as.pool;
}

const struct pgw_upstream *
pgw_config_upstream(const struct pgw_config *config, const char *id)
{
    struct pgw_config__object *object =
        find_object(config, PGW_CONFIG__UPSTREAM, id);

    return object == NULL ? NULL : &object->as.upstream;
}

const struct pgw_upstream *const *
pgw_config_upstreams(const struct pgw_config *config, const char *pool,
                     size_t *n)
{
    const struct pgw_config__table *table =
        config->tables[PGW_CONFIG__UPSTREAM];
    GPtrArray *upstreams = table->upstreams;

    if (pool != NULL) {
        upstreams = g_hash_table_lookup(table->pools, pool);
    }
    *n = upstreams == NULL ? 0 : upstreams->len;
    if (*n == 0) {
        return NULL;
    }
    return (const struct pgw_upstream *const *)upstreams->pdata;
}

bool
pgw_profile_allows(const struct pgw_profile *profile, const char *workspace)
{
    for (size_t i = 0; profile->workspaces[i] != NULL; i++) {
        if (strcmp(profile->workspaces[i], "*") == 0 ||
            strcmp(profile->workspaces[i], workspace) == 0) {
            return true;
        }
    }
    return false;
}
