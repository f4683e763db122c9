/* Immutable views of the membership. */
#include "libparsleygw/member_view.h"

#include <stdatomic.h>
#include <string.h>

/* The members of one pool in the array of all members. */
struct range {
    size_t first;
    size_t n;
};

struct pgw_member_view {
    atomic_uint refs;
    uint64_t version;
    struct pgw_config *config;
    GHashTable *pools;          /* name -> struct range */
    struct pgw_member *members; /* grouped by pool, sorted by id */
    size_t n;
};

static void
add_pool(struct pgw_member_view *view, const char *pool)
{
    struct range *range = g_new0(struct range, 1);
    const struct pgw_upstream *const *upstreams =
        pgw_config_upstreams(view->config, pool, &range->n);

    range->first = view->n;
    for (size_t i = 0; i < range->n; i++) {
        view->members[view->n++].upstream = upstreams[i];
    }
    g_hash_table_insert(view->pools, (gpointer)pool, range);
}

struct pgw_member_view *
pgw_member_view__new(struct pgw_config *config,
                     void (*fill)(void *data, struct pgw_member *member),
                     void *data)
{
    struct pgw_member_view *view = g_new0(struct pgw_member_view, 1);
    size_t n;
    const struct pgw_upstream *const *upstreams =
        pgw_config_upstreams(config, NULL, &n);

    atomic_init(&view->refs, 1);
    view->version = 1;
    view->config = pgw_config_ref(config);
    view->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    view->members = g_new0(struct pgw_member, n);
    for (size_t i = 0; i < n; i++) {
        if (!g_hash_table_contains(view->pools, upstreams[i]->pool)) {
            add_pool(view, upstreams[i]->pool);
        }
    }
    for (size_t i = 0; i < view->n; i++) {
        fill(data, &view->members[i]);
    }
    return view;
}

/* Members are filled in zeroed memory, so that equal members have equal bytes;
 * the same configuration gives the same order. */
static bool
is_same(const struct pgw_member_view *a, const struct pgw_member_view *b)
{
    return a->config == b->config &&
           (a->n == 0 || memcmp(a->members, b->members,
                                a->n * sizeof(struct pgw_member)) == 0);
}

struct pgw_member_view *
pgw_member_view__replace(struct pgw_member_view *old,
                         struct pgw_member_view *view)
{
    if (old == NULL) {
        return view;
    }
    if (is_same(old, view)) {
        pgw_member_view_unref(view);
        return old;
    }
    view->version = old->version + 1;
    pgw_member_view_unref(old);
    return view;
}

struct pgw_member_view *
pgw_member_view_ref(struct pgw_member_view *view)
{
    atomic_fetch_add(&view->refs, 1);
    return view;
}

void
pgw_member_view_unref(struct pgw_member_view *view)
{
    if (view == NULL || atomic_fetch_sub(&view->refs, 1) != 1) {
        return;
    }
    g_hash_table_unref(view->pools);
    g_free(view->members);
    pgw_config_unref(view->config);
    g_free(view);
}

uint64_t
pgw_member_view_version(const struct pgw_member_view *view)
{
    return view->version;
}

const struct pgw_config *
pgw_member_view_config(const struct pgw_member_view *view)
{
    return view->config;
}

const struct pgw_member *
pgw_member_view_pool(const struct pgw_member_view *view, const char *pool,
                     size_t *n)
{
    const struct range *range = g_hash_table_lookup(view->pools, pool);

    *n = range == NULL ? 0 : range->n;
    return *n == 0 ? NULL : &view->members[range->first];
}

const struct pgw_member *
pgw_member_view_find(const struct pgw_member_view *view, const char *id)
{
    const struct pgw_upstream *upstream =
        pgw_config_upstream(view->config, id);
    const struct pgw_member *members;
    size_t low = 0;
    size_t high;

    if (upstream == NULL) {
        return NULL;
    }
    members = pgw_member_view_pool(view, upstream->pool, &high);
    while (low < high) {
        size_t middle = low + (high - low) / 2;
        int order = strcmp(members[middle].upstream->id, id);

        if (order == 0) {
            return &members[middle];
        }
        if (order < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return NULL;
}
