/* Merges what three sources say about each upstream. */
#include "parsleygw/member.h"

#include <string.h>

#include "libparsleygw/member_view.h"

/* Facts about one instance. Undeclared instances are tracked too: a sidecar
 * may send Hello before its declaration arrives. */
struct tracked {
    struct pgw_member_facts facts;
    uint64_t engine;
    char weights[PGW_CONFIG_NAME_MAX + 1];
    bool loading;
};

struct pgw_members {
    struct pgw_member_options options;
    struct pgw_config *config;
    GHashTable *tracked;                     /* id -> struct tracked */
    enum pgw_member_listing default_listing; /* of ids not tracked yet */
    uint64_t list_us;
    struct pgw_member_view *view;
    bool changed;
};

static const char *const state_names[] = {
    [PGW_MEMBER_USABLE] = "usable",
    [PGW_MEMBER_SUSPECT] = "suspect",
    [PGW_MEMBER_LEAVING] = "leaving",
    [PGW_MEMBER_GONE] = "gone",
};

const char *
pgw_member_state_name(enum pgw_member_state state)
{
    return (unsigned)state < G_N_ELEMENTS(state_names) ? state_names[state]
                                                       : "gone";
}

/* Absence counts only in a list read at least @lag_us after the connection was
 * lost: a lagging list would drop an instance that has just started. */
static bool
is_absent(const struct pgw_member_facts *facts, uint64_t lag_us)
{
    return facts->connection == PGW_MEMBER_DOWN &&
           facts->listing == PGW_MEMBER_ABSENT &&
           facts->list_us >= facts->down_us + lag_us;
}

enum pgw_member_state
pgw_member_evaluate_state(const struct pgw_member_facts *facts,
                          uint64_t lag_us)
{
    if (!facts->declared || is_absent(facts, lag_us)) {
        return PGW_MEMBER_GONE;
    }
    if (facts->declared_leaving || facts->announced_leaving ||
        facts->listing == PGW_MEMBER_LIST_LEAVING) {
        return PGW_MEMBER_LEAVING;
    }
    if (facts->connection == PGW_MEMBER_DOWN ||
        (facts->connection == PGW_MEMBER_UP && !facts->upstream_alive)) {
        return PGW_MEMBER_SUSPECT;
    }
    return PGW_MEMBER_USABLE;
}

struct pgw_members *
pgw_members_new(const struct pgw_member_options *options)
{
    struct pgw_members *members = g_new0(struct pgw_members, 1);

    members->options = *options;
    members->tracked =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return members;
}

void
pgw_members_free(struct pgw_members *members)
{
    if (members == NULL) {
        return;
    }
    pgw_member_view_unref(members->view);
    pgw_config_unref(members->config);
    g_hash_table_unref(members->tracked);
    g_free(members);
}

static struct tracked *
get_or_add_tracked(struct pgw_members *members, const char *id)
{
    struct tracked *tracked = g_hash_table_lookup(members->tracked, id);

    if (tracked == NULL) {
        tracked = g_new0(struct tracked, 1);
        tracked->facts.listing = members->default_listing;
        tracked->facts.list_us = members->list_us;
        tracked->facts.upstream_alive = true;
        g_hash_table_insert(members->tracked, g_strdup(id), tracked);
    }
    return tracked;
}

static gboolean
is_removable(gpointer key, gpointer value, gpointer data)
{
    const struct tracked *tracked = value;

    return pgw_config_upstream(data, key) == NULL &&
           tracked->facts.connection != PGW_MEMBER_UP;
}

void
pgw_members_set_config(struct pgw_members *members, struct pgw_config *config)
{
    pgw_config_ref(config);
    pgw_config_unref(members->config);
    members->config = config;
    members->changed = true;
    g_hash_table_foreach_remove(members->tracked, is_removable, config);
}

/* The list names no incarnation. When an instance changes to "leaving", this
 * applies to the current incarnation and is final: a lagging list, or one read
 * from a slower replica, must not make it usable again. If the instance was
 * listed as leaving before this incarnation started, the list may mean the
 * previous one: then it counts only while the list says so. */
static void
update_listing(struct tracked *tracked, enum pgw_member_listing listing,
               uint64_t now_us)
{
    struct pgw_member_facts *facts = &tracked->facts;

#ifndef PGW_DISABLE_LEAVING_LISTED
    if (listing == PGW_MEMBER_LIST_LEAVING &&
        facts->listing != PGW_MEMBER_LIST_LEAVING) {
        facts->announced_leaving = true;
    }
#endif
    facts->listing = listing;
    facts->list_us = now_us;
}

void
pgw_members_set_list(struct pgw_members *members,
                     const struct pgw_store_instances *list, uint64_t now_us)
{
    GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    members->default_listing = PGW_MEMBER_ABSENT;
    members->list_us = now_us;
    for (size_t i = 0; i < list->n; i++) {
        const struct pgw_store_instance *instance = &list->instances[i];

        g_hash_table_add(listed, instance->id);
        update_listing(get_or_add_tracked(members, instance->id),
                       instance->leaving ? PGW_MEMBER_LIST_LEAVING
                                         : PGW_MEMBER_LISTED,
                       now_us);
    }
    g_hash_table_iter_init(&iter, members->tracked);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (!g_hash_table_contains(listed, key)) {
            update_listing(value, PGW_MEMBER_ABSENT, now_us);
        }
    }
    g_hash_table_unref(listed);
    members->changed = true;
}

void
pgw_members_connected(struct pgw_members *members, const char *id,
                      uint64_t incarnation)
{
    struct tracked *tracked = get_or_add_tracked(members, id);

    if (tracked->facts.incarnation != incarnation) {
        tracked->facts.incarnation = incarnation;
        tracked->facts.announced_leaving = false;
        tracked->facts.upstream_alive = true;
        tracked->engine = 0;
        tracked->weights[0] = '\0';
        tracked->loading = false;
    }
    tracked->facts.connection = PGW_MEMBER_UP;
    members->changed = true;
}

void
pgw_members_disconnected(struct pgw_members *members, const char *id,
                         uint64_t incarnation, uint64_t now_us)
{
    struct tracked *tracked = get_or_add_tracked(members, id);

    /* The end of a replaced connection is often seen after the Hello on the
     * new one; it must not mark a working upstream as down. */
    if (incarnation == 0 ? tracked->facts.connection == PGW_MEMBER_UP
                         : incarnation != tracked->facts.incarnation) {
        return;
    }
    if (tracked->facts.connection != PGW_MEMBER_DOWN) {
        tracked->facts.connection = PGW_MEMBER_DOWN;
        tracked->facts.down_us = now_us;
        members->changed = true;
    }
}

static bool
has_same_status(const struct tracked *a, const struct tracked *b)
{
    return a->facts.announced_leaving == b->facts.announced_leaving &&
           a->facts.upstream_alive == b->facts.upstream_alive &&
           a->loading == b->loading && a->engine == b->engine &&
           strcmp(a->weights, b->weights) == 0;
}

void
pgw_members_apply_status(struct pgw_members *members, const char *id,
                         uint64_t incarnation,
                         const struct pgw_member_status *status)
{
    struct tracked *tracked = get_or_add_tracked(members, id);
    struct tracked before = *tracked;

    if (incarnation != tracked->facts.incarnation) {
        return;
    }
    /* Sticky: a reordered status, or a process that answers while it drains,
     * must not attract new requests to an upstream whose planned stop would
     * cut them off. Only a new incarnation resets it. */
#ifndef PGW_DISABLE_LEAVING_STICKY
    tracked->facts.announced_leaving |= status->leaving;
#else
    tracked->facts.announced_leaving = status->leaving;
#endif
    tracked->facts.upstream_alive = status->upstream_alive;
    tracked->engine = status->engine;
    g_strlcpy(tracked->weights, status->weights == NULL ? "" : status->weights,
              sizeof(tracked->weights));
    tracked->loading = status->loading;
    /* An idle sidecar sends the same status again and again; a new view for
     * each would be most of the cost of thousands of sidecars. */
    members->changed |= !has_same_status(&before, tracked);
}

static void
fill_member(void *data, struct pgw_member *member)
{
    struct pgw_members *members = data;
    struct tracked *tracked =
        get_or_add_tracked(members, member->upstream->id);
    struct pgw_member_facts facts = tracked->facts;

    facts.declared = true;
    facts.declared_leaving = member->upstream->leaving;
    member->state =
        pgw_member_evaluate_state(&facts, members->options.list_lag_us);
    member->incarnation = facts.incarnation;
    member->engine = tracked->engine;
    memcpy(member->weights, tracked->weights, sizeof(member->weights));
    member->loading = tracked->loading;
}

struct pgw_member_view *
pgw_members_build(struct pgw_members *members)
{
    struct pgw_member_view *view;

    if (members->config == NULL) {
        return NULL;
    }
    if (members->changed || members->view == NULL) {
        view = pgw_member_view__new(members->config, fill_member, members);
        members->view = pgw_member_view__replace(members->view, view);
        members->changed = false;
    }
    return pgw_member_view_ref(members->view);
}
