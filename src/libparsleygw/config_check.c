/* Checks an operator's edit against the other objects. */
#include <string.h>

#include "config_internal.h"
#include "parsleygw/errors.h"

struct check {
    const struct pgw_config_set *set;
    const struct pgw_config__object *before; /* NULL: none or deleted */
    const struct pgw_config__object *after;  /* text is NULL: deletion */
    bool force;
    GError **error;
};

static bool refuse(struct check *check, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

static bool
refuse(struct check *check, const char *format, ...)
{
    va_list arguments;
    char *text;

    va_start(arguments, format);
    text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    g_set_error(check->error, PGW_ERROR, PGW_ERROR_INVALID, "%s/%s: %s",
                pgw_config__kind_name(check->after->kind), check->after->name,
                text);
    g_free(text);
    return false;
}

static const struct pgw_config__object *
find_live_object(const struct check *check, enum pgw_config__kind kind,
                 const char *name)
{
    const struct pgw_config__object *object =
        g_hash_table_lookup(check->set->objects[kind], name);

    return object == NULL || object->text == NULL ? NULL : object;
}

typedef bool (*match_func)(const struct pgw_config__object *object,
                           const struct check *check);

/* Finds another live object of a kind that matches. */
static const struct pgw_config__object *
find_other(const struct check *check, enum pgw_config__kind kind,
           match_func match)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, check->set->objects[kind]);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct pgw_config__object *object = value;

        if (object->text != NULL && object != check->before &&
            match(object, check)) {
            return object;
        }
    }
    return NULL;
}

static bool
profile_uses_pool(const struct pgw_config__object *object,
                  const struct check *check)
{
    return strcmp(object->as.profile.pool, check->after->name) == 0;
}

static bool
upstream_uses_pool(const struct pgw_config__object *object,
                   const struct check *check)
{
    return strcmp(object->as.upstream.pool, check->after->name) == 0;
}

static bool
any_object(const struct pgw_config__object *object, const struct check *check)
{
    (void)object;
    (void)check;
    return true;
}

static bool
check_pool_exists(struct check *check, const char *pool, bool *is_service)
{
    const struct pgw_config__object *object =
        find_live_object(check, PGW_CONFIG__POOL, pool);

    if (object == NULL) {
        return refuse(check, "pool: no pool \"%s\": put the pool first", pool);
    }
    *is_service = object->as.pool.is_service;
    return true;
}

static bool
check_profile(struct check *check)
{
    const struct pgw_profile *profile = &check->after->as.profile;
    bool is_service = false;

    if (check->after->text == NULL) {
        if (check->force ||
            find_other(check, PGW_CONFIG__PROFILE, any_object) != NULL) {
            return true;
        }
        return refuse(check, "is the last profile: nothing could be served; "
                             "put another first or use --force");
    }
    if (!check_pool_exists(check, profile->pool, &is_service)) {
        return false;
    }
    if (is_service != profile->is_service) {
        return refuse(check,
                      "type: pool \"%s\" is of the other type: change "
                      "type or pool",
                      profile->pool);
    }
    return true;
}

static size_t
count_valid_keys(const struct pgw_config__object *object)
{
    size_t count = 0;

    if (object == NULL || object->text == NULL) {
        return 0;
    }
    for (size_t i = 0; i < object->as.workspace.n_keys; i++) {
        count += !object->as.workspace.keys[i].revoked;
    }
    return count;
}

static bool
shares_key(const struct pgw_config__object *object, const struct check *check)
{
    const struct pgw_workspace *other = &object->as.workspace;
    const struct pgw_workspace *edited = &check->after->as.workspace;

    for (size_t i = 0; i < edited->n_keys; i++) {
        for (size_t j = 0; j < other->n_keys; j++) {
            if (memcmp(edited->keys[i].sha256, other->keys[j].sha256,
                       PGW_KEY_DIGEST_SIZE) == 0) {
                return true;
            }
        }
    }
    return false;
}

static bool
check_workspace(struct check *check)
{
    const struct pgw_config__object *other;

    if (!check->force && count_valid_keys(check->before) > 0 &&
        count_valid_keys(check->after) == 0) {
        return refuse(check, "keys: locks everyone of the workspace out: "
                             "keep a valid key or use --force");
    }
    other = find_other(check, PGW_CONFIG__WORKSPACE, shares_key);
    if (check->after->text != NULL && other != NULL) {
        return refuse(check,
                      "keys: a key of workspace \"%s\" is listed: "
                      "create a key of its own",
                      other->name);
    }
    return true;
}

static bool
check_pool(struct check *check)
{
    const struct pgw_config__object *referrer;
    bool type_changes =
        check->before != NULL && check->after->text != NULL &&
        check->before->as.pool.is_service != check->after->as.pool.is_service;

    if (check->force || check->before == NULL ||
        (check->after->text != NULL && !type_changes)) {
        return true;
    }
    referrer = find_other(check, PGW_CONFIG__PROFILE, profile_uses_pool);
    if (referrer == NULL) {
        referrer = find_other(check, PGW_CONFIG__UPSTREAM, upstream_uses_pool);
    }
    if (referrer == NULL) {
        return true;
    }
    return refuse(check,
                  "pool in use by %s/%s: move its users first or use "
                  "--force",
                  pgw_config__kind_name(referrer->kind), referrer->name);
}

static bool
is_other_joined_upstream(const struct pgw_config__object *object,
                         const struct check *check)
{
    return !object->as.upstream.leaving &&
           strcmp(object->as.upstream.pool, check->before->as.upstream.pool) ==
               0;
}

/* Returns whether the edit removes a joined upstream from its pool. */
static bool
drops_upstream(const struct check *check)
{
    if (check->before == NULL || check->before->as.upstream.leaving) {
        return false;
    }
    return check->after->text == NULL || check->after->as.upstream.leaving ||
           strcmp(check->after->as.upstream.pool,
                  check->before->as.upstream.pool) != 0;
}

static bool
check_upstream(struct check *check)
{
    const struct pgw_config__object *pool;
    bool is_service = false;

    if (!check->force && drops_upstream(check) &&
        find_other(check, PGW_CONFIG__UPSTREAM, is_other_joined_upstream) ==
            NULL) {
        pool = find_live_object(check, PGW_CONFIG__POOL,
                                check->before->as.upstream.pool);
        if (pool != NULL) {
            return refuse(check,
                          "is the last joined upstream of pool \"%s\": "
                          "join another first or use --force",
                          pool->name);
        }
    }
    if (check->after->text == NULL) {
        return true;
    }
    return check_pool_exists(check, check->after->as.upstream.pool,
                             &is_service);
}

bool
pgw_config_check(const struct pgw_config_set *set, const char *kind,
                 const char *name, const char *value,
                 enum pgw_config_check_flags flags, GError **error)
{
    static bool (*const checks[PGW_CONFIG__KINDS])(struct check *) = {
        [PGW_CONFIG__PROFILE] = check_profile,
        [PGW_CONFIG__WORKSPACE] = check_workspace,
        [PGW_CONFIG__POOL] = check_pool,
        [PGW_CONFIG__UPSTREAM] = check_upstream,
    };
    enum pgw_config__kind kind_id;
    struct pgw_config__object *after;
    struct check check = {.set = set,
                          .force = (flags & PGW_CONFIG_CHECK_FORCE) != 0,
                          .error = error};
    bool ok;

    if (!pgw_config__kind_parse(&kind_id, kind)) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "kind \"%s\": give profile, workspace, pool or upstream",
                    kind == NULL ? "" : kind);
        return false;
    }
    after =
        pgw_config__object_new(kind_id, name, G_MAXUINT64, value, true, error);
    if (after == NULL) {
        return false;
    }
    check.after = after;
    check.before = find_live_object(&check, kind_id, name);
    ok = checks[kind_id](&check);
    pgw_config__object_unref(after);
    return ok;
}
