#include "objects_history_lib.h"

#include <inttypes.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

#define CHANGES_KEPT 4096

/* One version of one object; a NULL value is a deletion. */
struct change {
    uint64_t version;
    const char *name; /* owned by the collection's table */
    char *value;
};

struct collection {
    GHashTable *names;  /* name -> GPtrArray of its changes, oldest first */
    GPtrArray *changes; /* of all objects, oldest first */
    uint64_t forgotten; /* watches from before this version are too old */
};

struct objects_history {
    GHashTable *collections;
    uint64_t counter;
};

struct objects_history *
objects_history_new(void)
{
    struct objects_history *history = g_new0(struct objects_history, 1);

    history->collections = g_hash_table_new(g_str_hash, g_str_equal);
    return history;
}

uint64_t
objects_history_counter(const struct objects_history *history)
{
    return history->counter;
}

static struct collection *
collection_get(struct objects_history *history, const char *kind)
{
    struct collection *collection =
        g_hash_table_lookup(history->collections, kind);

    if (collection == NULL) {
        collection = g_new0(struct collection, 1);
        collection->names = g_hash_table_new(g_str_hash, g_str_equal);
        collection->changes = g_ptr_array_new();
        g_hash_table_insert(history->collections, g_strdup(kind), collection);
    }
    return collection;
}

static const struct change *
latest(const GPtrArray *changes, uint64_t as_of)
{
    for (guint i = changes == NULL ? 0 : changes->len; i > 0; i--) {
        const struct change *change = changes->pdata[i - 1];

        if (change->version <= as_of) {
            return change;
        }
    }
    return NULL;
}

uint64_t
objects_history_get(const struct objects_history *history, const char *kind,
                    const char *name, uint64_t as_of, const char **value)
{
    const struct collection *collection =
        g_hash_table_lookup(history->collections, kind);
    const struct change *change = NULL;

    if (collection != NULL) {
        change = latest(g_hash_table_lookup(collection->names, name), as_of);
    }
    *value = change == NULL ? NULL : change->value;
    return *value == NULL ? 0 : change->version;
}

static void
append(struct objects_history *history, const char *kind, const char *name,
       const char *value)
{
    struct collection *collection = collection_get(history, kind);
    struct change *change = g_new0(struct change, 1);
    gpointer key = NULL;
    gpointer versions = NULL;

    if (!g_hash_table_lookup_extended(collection->names, name, &key,
                                      &versions)) {
        key = g_strdup(name);
        versions = g_ptr_array_new();
        g_hash_table_insert(collection->names, key, versions);
    }
    change->version = ++history->counter;
    change->name = key;
    change->value = g_strdup(value);
    g_ptr_array_add(versions, change);
    g_ptr_array_add(collection->changes, change);
    if (collection->changes->len > CHANGES_KEPT) {
        const struct change *oldest = collection->changes->pdata[0];

        collection->forgotten = oldest->version;
        g_ptr_array_remove_index(collection->changes, 0);
    }
}

enum objects_write
objects_history_write(struct objects_history *history, const char *kind,
                      const char *name, uint64_t expected, const char *value,
                      uint64_t *version)
{
    const char *current;

    *version = objects_history_get(history, kind, name, OBJECTS_NOW, &current);
    if (value == NULL && *version == 0) {
        return OBJECTS_WRITE_MISSING;
    }
    if (*version != expected) {
        return OBJECTS_WRITE_CONFLICT;
    }
    append(history, kind, name, value);
    *version = history->counter;
    return OBJECTS_WRITE_DONE;
}

static uint64_t
collection_version(const struct collection *collection, uint64_t as_of)
{
    const struct change *change =
        collection == NULL ? NULL : latest(collection->changes, as_of);

    return change == NULL ? 0 : change->version;
}

GString *
objects_history_list(const struct objects_history *history, const char *kind,
                     uint64_t as_of)
{
    const struct collection *collection =
        g_hash_table_lookup(history->collections, kind);
    GString *text = g_string_new(NULL);
    GHashTableIter iter;
    gpointer versions;
    const char *separator = "";

    g_string_printf(text, "{\"version\":%" PRIu64 ",\"objects\":[",
                    collection_version(collection, as_of));
    if (collection != NULL) {
        g_hash_table_iter_init(&iter, collection->names);
        while (g_hash_table_iter_next(&iter, NULL, &versions)) {
            const struct change *change = latest(versions, as_of);

            if (change == NULL || change->value == NULL) {
                continue;
            }
            g_string_append_printf(
                text,
                "%s{\"name\":\"%s\",\"version\":%" PRIu64 ",\"value\":%s}",
                separator, change->name, change->version, change->value);
            separator = ",";
        }
    }
    return g_string_append(text, "]}");
}

GString *
objects_history_changes(const struct objects_history *history,
                        const char *kind, uint64_t after, uint64_t as_of,
                        bool *wait)
{
    const struct collection *collection =
        g_hash_table_lookup(history->collections, kind);
    GString *text = g_string_new("{\"changes\":[");
    const char *separator = "";

    *wait = true;
    if (collection != NULL && after < collection->forgotten) {
        g_string_free(text, TRUE);
        return NULL;
    }
    for (guint i = 0; collection != NULL && i < collection->changes->len;
         i++) {
        const struct change *change = collection->changes->pdata[i];

        if (change->version <= after || change->version > as_of) {
            continue;
        }
        g_string_append_printf(text,
                               "%s{\"name\":\"%s\",\"version\":%" PRIu64
                               ",\"value\":%s,\"deleted\":%s}",
                               separator, change->name, change->version,
                               change->value == NULL ? "null" : change->value,
                               change->value == NULL ? "true" : "false");
        separator = ",";
        *wait = false;
    }
    g_string_append_printf(text, "],\"version\":%" PRIu64 "}",
                           collection_version(collection, as_of));
    return text;
}

static void
load_object(JsonArray *array, guint index, JsonNode *node, gpointer data)
{
    struct objects_history *history = data;
    JsonObject *object = json_node_get_object(node);
    gint64 version =
        json_object_get_int_member_with_default(object, "version", 0);
    JsonNode *value = json_object_get_member(object, "value");
    char *text = value == NULL || JSON_NODE_HOLDS_NULL(value)
                     ? NULL
                     : json_to_string(value, FALSE);

    (void)array;
    (void)index;
    if (version > 0 && (uint64_t)version > history->counter) {
        history->counter = (uint64_t)version - 1;
    }
    append(history, json_object_get_string_member(object, "kind"),
           json_object_get_string_member(object, "name"), text);
    g_free(text);
}

bool
objects_history_load(struct objects_history *history, const char *path)
{
    JsonParser *parser = json_parser_new();
    GError *error = NULL;
    bool ok = json_parser_load_from_file(parser, path, &error);

    if (!ok) {
        fprintf(stderr, "%s: give a file {\"objects\":[..]}\n",
                error->message);
        g_error_free(error);
    }
    else {
        json_array_foreach_element(
            json_object_get_array_member(
                json_node_get_object(json_parser_get_root(parser)), "objects"),
            load_object, history);
    }
    g_object_unref(parser);
    return ok;
}
