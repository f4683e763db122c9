#include "libparsleygw/suspects.h"
#include "util/log.h"

#define SWEEP_INTERVAL_US UINT64_C(60000000)

struct suspect {
    struct pgw_list link;
    struct pgw_fingerprint fingerprint;
    char name[PGW_FINGERPRINT_HEX];
    uint64_t version;
    char *value; /* NULL: lifted */
    size_t length;
    struct pgw_quarantine_record record; /* kept after a lift, see
                                            merge_unrecorded() */
    uint64_t changed_us;
    bool unrecorded; /* @value may not be stored yet */
};

struct pgw_suspects {
    struct pgw_suspects_options options;
    GPtrArray *links;
    GHashTable *table;         /* struct suspect by name */
    struct pgw_list by_change; /* oldest change first */
    size_t in_force_count;
    uint64_t version;
    struct pgw_timer sweep;
};

static void
suspect_remove(struct pgw_suspects *suspects, struct suspect *suspect)
{
    pgw_list_remove(&suspect->link);
    suspects->in_force_count -= suspect->value != NULL;
    g_hash_table_remove(suspects->table, suspect->name);
    g_free(suspect->value);
    g_free(suspect);
}

static void
remove_expired(struct pgw_timer *timer)
{
    struct pgw_suspects *suspects =
        pgw_container_of(timer, struct pgw_suspects, sweep);
    uint64_t now = pgw_now_us();

    pgw_list_foreach_safe (link, &suspects->by_change) {
        struct suspect *suspect = pgw_container_of(link, struct suspect, link);

        if (now - suspect->changed_us < suspects->options.retention_us &&
            g_hash_table_size(suspects->table) <= suspects->options.limit) {
            break;
        }
        suspect_remove(suspects, suspect);
    }
    pgw_timer_start(suspects->options.loop, timer, SWEEP_INTERVAL_US);
}

struct pgw_suspects *
pgw_suspects_new(const struct pgw_suspects_options *options)
{
    struct pgw_suspects *suspects = g_new0(struct pgw_suspects, 1);

    suspects->options = *options;
    suspects->links = g_ptr_array_new();
    suspects->table = g_hash_table_new(g_str_hash, g_str_equal);
    pgw_list_init(&suspects->by_change);
    suspects->sweep.on_due = remove_expired;
    pgw_timer_start(options->loop, &suspects->sweep, SWEEP_INTERVAL_US);
    return suspects;
}

void
pgw_suspects_free(struct pgw_suspects *suspects)
{
    if (suspects == NULL) {
        return;
    }
    pgw_timer_stop(suspects->options.loop, &suspects->sweep);
    pgw_list_foreach_safe (link, &suspects->by_change) {
        suspect_remove(suspects, pgw_container_of(link, struct suspect, link));
    }
    g_hash_table_unref(suspects->table);
    g_ptr_array_unref(suspects->links);
    g_free(suspects);
}

static void
send_record(struct pgw_link *link, const struct suspect *suspect)
{
    Pgw__Objects message = PGW__OBJECTS__INIT;
    Pgw__Object object = PGW__OBJECT__INIT;
    Pgw__Object *pointer = &object;

    object.kind = PGW_QUARANTINE_KIND;
    object.name = (char *)suspect->name;
    object.version = suspect->unrecorded ? 0 : suspect->version;
    object.deleted = suspect->value == NULL;
    object.value.data = (uint8_t *)suspect->value;
    object.value.len = suspect->length;
    message.n_objects = 1;
    message.objects = &pointer;
    pgw_link_send(link, PGW_FRAME_SUSPECTS, &message.base);
}

void
pgw_suspects_add_link(struct pgw_suspects *suspects, struct pgw_link *link)
{
    g_ptr_array_add(suspects->links, link);
    pgw_list_foreach (position, &suspects->by_change) {
        send_record(link, pgw_container_of(position, struct suspect, link));
    }
}

void
pgw_suspects_remove_link(struct pgw_suspects *suspects, struct pgw_link *link)
{
    g_ptr_array_remove_fast(suspects->links, link);
}

static struct suspect *
suspect_find_or_add(struct pgw_suspects *suspects,
                    const struct pgw_fingerprint *fingerprint)
{
    char name[PGW_FINGERPRINT_HEX];
    struct suspect *suspect;

    pgw_fingerprint_print(name, fingerprint);
    suspect = g_hash_table_lookup(suspects->table, name);
    if (suspect != NULL) {
        return suspect;
    }
    suspect = g_new0(struct suspect, 1);
    suspect->fingerprint = *fingerprint;
    memcpy(suspect->name, name, sizeof(name));
    g_hash_table_insert(suspects->table, suspect->name, suspect);
    pgw_list_append(&suspects->by_change, &suspect->link);
    if (g_hash_table_size(suspects->table) > suspects->options.limit) {
        pgw_timer_start(suspects->options.loop, &suspects->sweep, 0);
    }
    return suspect;
}

static void
set_value(struct pgw_suspects *suspects, struct suspect *suspect,
          const char *value, size_t length)
{
    suspects->in_force_count += (value != NULL) - (suspect->value != NULL);
    g_free(suspect->value);
    suspect->value = value == NULL ? NULL : g_strndup(value, length);
    suspect->length = length;
    suspect->changed_us = pgw_now_us();
    pgw_list_remove(&suspect->link);
    pgw_list_append(&suspects->by_change, &suspect->link);
}

static bool
suspect_set_version(struct pgw_suspects *suspects, struct suspect *suspect,
                    uint64_t version, const char *value, size_t length)
{
    struct pgw_quarantine_record record = {0};
    GError *error = NULL;

    if (version <= suspect->version) {
        return false;
    }
    if (value != NULL &&
        !pgw_quarantine_record_parse(&record, value, length, &error)) {
        pgw_log_warning("quarantine_refused", "name=%s error=%s",
                        suspect->name, error->message);
        g_clear_error(&error);
        return false;
    }
    suspect->version = version;
    suspect->unrecorded = false;
    suspects->version = MAX(suspects->version, version);
    if (value != NULL) {
        suspect->record = record;
    }
    set_value(suspects, suspect, value, length);
    return true;
}

static void
publish(struct pgw_suspects *suspects, const struct suspect *suspect,
        bool send_to_links)
{
    /*
     * The record goes to all links: it must reach every entry before the
     * caller of the refused request can resend it. A receiver does not forward
     * it: the sidecar that wrote or watched the record is linked to every
     * entry of its region, and forwarded copies would be most of a link's
     * traffic.
     */
    for (guint i = 0; send_to_links && i < suspects->links->len; i++) {
        send_record(g_ptr_array_index(suspects->links, i), suspect);
    }
    if (suspects->options.on_record != NULL) {
        suspects->options.on_record(suspects->options.context,
                                    &suspect->fingerprint,
                                    suspect->unrecorded ? 0 : suspect->version,
                                    suspect->value, suspect->length);
    }
}

static void
apply_version(struct pgw_suspects *suspects, struct suspect *suspect,
              uint64_t version, const char *value, size_t length,
              bool send_to_links)
{
    if (suspect_set_version(suspects, suspect, version, value, length)) {
        publish(suspects, suspect, send_to_links);
    }
}

/* Adds the crashes of @more that @record lacks. Return: whether there are any,
 * even if the record is full. */
static bool
add_crashes(struct pgw_quarantine_record *record,
            const struct pgw_quarantine_record *more)
{
    bool added = false;

    for (uint32_t i = 0; i < more->crash_count; i++) {
        if (!pgw_quarantine_record_has_crash(record, more->crashes[i])) {
            added = true;
            if (record->crash_count < PGW_QUARANTINE_CRASHES) {
                record->crashes[record->crash_count++] = more->crashes[i];
            }
        }
    }
    return added;
}

/*
 * Merges crashes that may not be stored yet. A recorded version takes
 * precedence: while it is in force, the request cannot run without a permit of
 * the store. A lifted record keeps its crashes: an announcement with no other
 * crash is outdated, one with another crash puts a new record in force.
 */
static void
merge_unrecorded(struct pgw_suspects *suspects, struct suspect *suspect,
                 const struct pgw_quarantine_record *announced,
                 bool send_to_links)
{
    struct pgw_quarantine_record record = suspect->record;
    char *json;

    if ((suspect->value != NULL && !suspect->unrecorded) ||
        !add_crashes(&record, announced)) {
        return;
    }
    if (suspect->value == NULL) {
        record = *announced;
    }
    record.changed_us = announced->changed_us;
    json = pgw_quarantine_record_print(&record);
    suspect->record = record;
    suspect->unrecorded = true;
    set_value(suspects, suspect, json, strlen(json));
    g_free(json);
    publish(suspects, suspect, send_to_links);
}

static void
merge(struct pgw_suspects *suspects, const char *name, uint64_t version,
      const char *value, size_t length, bool send_to_links)
{
    struct pgw_quarantine_record record;
    struct pgw_fingerprint fingerprint;

    if (!pgw_fingerprint_parse(&fingerprint, name)) {
        return;
    }
    if (version > 0) {
        apply_version(suspects, suspect_find_or_add(suspects, &fingerprint),
                      version, value, length, send_to_links);
    }
    else if (value != NULL &&
             pgw_quarantine_record_parse(&record, value, length, NULL)) {
        merge_unrecorded(suspects, suspect_find_or_add(suspects, &fingerprint),
                         &record, send_to_links);
    }
}

void
pgw_suspects_announce_crash(struct pgw_suspects *suspects,
                            const struct pgw_fingerprint *fingerprint,
                            uint64_t crash, uint64_t changed_us)
{
    struct pgw_quarantine_record record = {
        .crash_count = 1,
        .crashes = {crash},
        .changed_us = changed_us,
    };

    merge_unrecorded(suspects, suspect_find_or_add(suspects, fingerprint),
                     &record, true);
}

static struct suspect *
find_in_force(const struct pgw_suspects *suspects,
              const struct pgw_fingerprint *fingerprint)
{
    char name[PGW_FINGERPRINT_HEX];
    struct suspect *suspect;

    if (suspects->in_force_count == 0) {
        return NULL;
    }
    pgw_fingerprint_print(name, fingerprint);
    suspect = g_hash_table_lookup(suspects->table, name);
    return suspect == NULL || suspect->value == NULL ? NULL : suspect;
}

void
pgw_suspects_send_unrecorded(const struct pgw_suspects *suspects,
                             const struct pgw_fingerprint *fingerprint,
                             struct pgw_link *link)
{
    const struct suspect *suspect = find_in_force(suspects, fingerprint);

    if (suspect != NULL && suspect->unrecorded) {
        send_record(link, suspect);
    }
}

void
pgw_suspects_withdraw_crash(struct pgw_suspects *suspects,
                            const struct pgw_fingerprint *fingerprint,
                            uint64_t crash)
{
    struct suspect *suspect = find_in_force(suspects, fingerprint);

    if (suspect != NULL && suspect->unrecorded &&
        suspect->record.crash_count == 1 &&
        suspect->record.crashes[0] == crash) {
        suspect->unrecorded = false;
        suspect->record = (struct pgw_quarantine_record){0};
        set_value(suspects, suspect, NULL, 0);
    }
}

void
pgw_suspects_apply(struct pgw_suspects *suspects, const char *name,
                   uint64_t version, const char *value, size_t length)
{
    merge(suspects, name, version, value, length, true);
}

static bool
list_has(const struct pgw_store_list *list, const char *name)
{
    for (size_t i = 0; i < list->n; i++) {
        if (strcmp(list->objects[i].name, name) == 0) {
            return true;
        }
    }
    return false;
}

void
pgw_suspects_apply_list(struct pgw_suspects *suspects,
                        const struct pgw_store_list *list)
{
    pgw_list_foreach_safe (link, &suspects->by_change) {
        struct suspect *suspect = pgw_container_of(link, struct suspect, link);

        /* The list also lacks records that were written after it was read, and
         * records that are not stored yet. */
        if (suspect->value != NULL && !suspect->unrecorded &&
            suspect->version < list->version &&
            !list_has(list, suspect->name)) {
            apply_version(suspects, suspect, list->version, NULL, 0, true);
        }
    }
}

void
pgw_suspects_handle_frame(struct pgw_suspects *suspects,
                          const Pgw__Objects *message)
{
    for (size_t i = 0; i < message->n_objects; i++) {
        const Pgw__Object *object = message->objects[i];

        merge(suspects, object->name, object->version,
              object->deleted ? NULL : (const char *)object->value.data,
              object->value.len, false);
    }
}

const struct pgw_quarantine_record *
pgw_suspects_find(const struct pgw_suspects *suspects,
                  const struct pgw_fingerprint *fingerprint, bool *recorded)
{
    const struct suspect *suspect = find_in_force(suspects, fingerprint);

    *recorded = suspect != NULL && !suspect->unrecorded;
    return suspect == NULL ? NULL : &suspect->record;
}

uint64_t
pgw_suspects_version(const struct pgw_suspects *suspects)
{
    return suspects->version;
}

size_t
pgw_suspects_count(const struct pgw_suspects *suspects)
{
    return suspects->in_force_count;
}
