/* Permit objects in the store: their text, and steps as conditional writes. */
#include <string.h>

#include "config_internal.h"
#include "parsleygw/errors.h"
#include "parsleygw/permit.h"

#define RACE_PAUSE_US 20000

static void
read_text(char *out, size_t size, JsonObject *object, const char *member)
{
    g_strlcpy(out,
              json_object_get_string_member_with_default(object, member, ""),
              size);
}

static uint64_t
read_number(JsonObject *object, const char *member)
{
    return (uint64_t)MAX(
        json_object_get_int_member_with_default(object, member, 0), 0);
}

static void
read_slot(struct pgw_permit_slot *slot, JsonObject *object)
{
    char phase[16];

    *slot = (struct pgw_permit_slot){0};
    read_text(slot->target, sizeof(slot->target), object, "target");
    read_text(slot->holder, sizeof(slot->holder), object, "holder");
    read_text(phase, sizeof(phase), object, "phase");
    slot->fence = read_number(object, "fence");
    slot->beat = read_number(object, "beat");
    slot->phase = strcmp(phase, "granted") == 0 ? PGW_PERMIT_GRANTED
                                                : PGW_PERMIT_STARTED;
    read_text(slot->order.kind, sizeof(slot->order.kind), object, "kind");
    read_text(slot->order.model, sizeof(slot->order.model), object, "model");
    read_text(slot->order.version, sizeof(slot->order.version), object,
              "version");
    read_text(slot->order.adapter, sizeof(slot->order.adapter), object,
              "adapter");
    read_text(slot->order.role, sizeof(slot->order.role), object, "role");
}

bool
pgw_permit_table_parse(struct pgw_permit_table *out, uint64_t version,
                       const char *value, GError **error)
{
    JsonNode *document = pgw_config__json_parse(value, -1, "permit", error);
    JsonNode *node;
    JsonArray *array;
    bool ok = false;

    out->version = version;
    out->n = 0;
    if (document == NULL) {
        return false;
    }
    node = json_object_get_member(json_node_get_object(document), "slots");
    if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node)) {
        goto done;
    }
    array = json_node_get_array(node);
    if (json_array_get_length(array) > PGW_PERMIT_SLOTS_MAX) {
        goto done;
    }
    for (guint i = 0; i < json_array_get_length(array); i++) {
        JsonNode *element = json_array_get_element(array, i);

        if (!JSON_NODE_HOLDS_OBJECT(element)) {
            goto done;
        }
        read_slot(&out->slots[out->n++], json_node_get_object(element));
    }
    ok = true;
done:
    json_node_unref(document);
    if (!ok) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "permit: slots: must be a list of at most %d objects: "
                    "write {\"slots\":[]} to start over",
                    PGW_PERMIT_SLOTS_MAX);
    }
    return ok;
}

static void
write_text(JsonBuilder *builder, const char *member, const char *text)
{
    json_builder_set_member_name(builder, member);
    json_builder_add_string_value(builder, text);
}

static void
write_slot(JsonBuilder *builder, const struct pgw_permit_slot *slot)
{
    json_builder_begin_object(builder);
    write_text(builder, "target", slot->target);
    write_text(builder, "holder", slot->holder);
    json_builder_set_member_name(builder, "fence");
    json_builder_add_int_value(builder, (gint64)slot->fence);
    json_builder_set_member_name(builder, "beat");
    json_builder_add_int_value(builder, (gint64)slot->beat);
    write_text(builder, "phase",
               slot->phase == PGW_PERMIT_GRANTED ? "granted" : "started");
    write_text(builder, "kind", slot->order.kind);
    write_text(builder, "model", slot->order.model);
    write_text(builder, "version", slot->order.version);
    write_text(builder, "adapter", slot->order.adapter);
    write_text(builder, "role", slot->order.role);
    json_builder_end_object(builder);
}

char *
pgw_permit_table_format(const struct pgw_permit_table *table,
                        const char *nonce)
{
    JsonBuilder *builder = json_builder_new();
    JsonNode *root;
    char *text;

    json_builder_begin_object(builder);
    write_text(builder, "nonce", nonce);
    json_builder_set_member_name(builder, "slots");
    json_builder_begin_array(builder);
    for (size_t i = 0; i < table->n; i++) {
        write_slot(builder, &table->slots[i]);
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    root = json_builder_get_root(builder);
    text = json_to_string(root, FALSE);
    json_node_unref(root);
    g_object_unref(builder);
    return text;
}

/* Writes a table; its version becomes the new one. A conflict or an outcome
 * that stays unknown is left to the caller, who reads again. */
static bool
write_table(struct pgw_permit_table *table, struct pgw_store *store,
            const char *scope, uint64_t deadline_us, GError **error)
{
    struct pgw_store_object object;
    char *nonce = g_uuid_string_random();
    char *value = pgw_permit_table_format(table, nonce);
    bool ok = pgw_store_put_confirmed(store, &object, PGW_PERMIT_KIND, scope,
                                      table->version, value, nonce,
                                      deadline_us, error);

    if (ok) {
        table->version = object.version;
    }
    pgw_store_object_dispose(&object);
    g_free(value);
    g_free(nonce);
    return ok;
}

/* A missing object is created empty first: a number derived from no version
 * at all could be lower than one given out before the object was deleted. */
static bool
read_table(struct pgw_permit_table *table, struct pgw_store *store,
           const char *scope, uint64_t deadline_us, GError **error)
{
    struct pgw_store_object object;
    GError *cause = NULL;
    bool ok;

    if (!pgw_store_get(store, &object, PGW_PERMIT_KIND, scope, deadline_us,
                       &cause)) {
        if (!g_error_matches(cause, PGW_ERROR, PGW_ERROR_NOT_FOUND)) {
            g_propagate_error(error, cause);
            return false;
        }
        g_error_free(cause);
        table->version = 0;
        table->n = 0;
        return write_table(table, store, scope, deadline_us, error);
    }
    ok = pgw_permit_table_parse(table, object.version, object.value, error);
    pgw_store_object_dispose(&object);
    return ok;
}

/* Races and read failures that another round may overcome. */
static bool
is_passing(const GError *error)
{
    return g_error_matches(error, PGW_ERROR, PGW_ERROR_UNKNOWN_OUTCOME) ||
           g_error_matches(error, PGW_ERROR, PGW_ERROR_UNAVAILABLE) ||
           g_error_matches(error, PGW_ERROR, PGW_ERROR_OVERLOADED) ||
           g_error_matches(error, PGW_ERROR, PGW_ERROR_CONFLICT);
}

/* One round. @passing: worth another one. */
static bool
run_round(struct pgw_permit_slot *slot, struct pgw_store *store,
          const char *scope, const struct pgw_permit_request *request,
          struct pgw_permit_observer *observer, uint64_t term_us,
          uint64_t deadline_us, bool *passing, GError **error)
{
    struct pgw_permit_table *table = g_new0(struct pgw_permit_table, 1);
    uint64_t now_us = (uint64_t)g_get_monotonic_time();
    bool write = false;
    bool ok;

    ok = read_table(table, store, scope, deadline_us, error);
    *passing = !ok && is_passing(*error);
    if (!ok) {
        goto done;
    }
    pgw_permit_observe(observer, table, now_us);
    ok = pgw_permit_decide(table, &write, slot, request, observer, now_us,
                           term_us, error);
    if (ok && write) {
        ok = write_table(table, store, scope, deadline_us, error);
        *passing = !ok && is_passing(*error);
    }
done:
    g_free(table);
    return ok;
}

bool
pgw_permit_run(struct pgw_permit_slot *slot, struct pgw_store *store,
               const char *scope, const struct pgw_permit_request *request,
               struct pgw_permit_observer *observer, uint64_t term_us,
               uint64_t deadline_us, GError **error)
{
    GError *cause = NULL;
    bool passing = false;

    while (!run_round(slot, store, scope, request, observer, term_us,
                      deadline_us, &passing, &cause)) {
        gint64 pause = g_random_int_range(RACE_PAUSE_US / 2, RACE_PAUSE_US);

        if (!passing ||
            g_get_monotonic_time() + pause >= (gint64)deadline_us) {
            g_propagate_error(error, cause);
            return false;
        }
        g_clear_error(&cause);
        g_usleep((gulong)pause);
    }
    return true;
}
