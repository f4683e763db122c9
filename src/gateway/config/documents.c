#include "gateway/config/documents.h"
#include <string.h>

struct pgw_documents {
    GHashTable *by_key; /* "kind/name" -> struct pgw_document */
};

static void
document_free(void *data)
{
    struct pgw_document *document = data;

    g_free(document->kind);
    g_free(document->name);
    g_free(document->body);
    g_free(document);
}

struct pgw_documents *
pgw_documents_new(void)
{
    struct pgw_documents *documents = g_new0(struct pgw_documents, 1);

    documents->by_key =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, document_free);
    return documents;
}

void
pgw_documents_free(struct pgw_documents *documents)
{
    g_hash_table_destroy(documents->by_key);
    g_free(documents);
}

static char *
make_key(const char *kind, const char *name)
{
    return g_strconcat(kind, "/", name, NULL);
}

const struct pgw_document *
pgw_documents_put(struct pgw_documents *documents,
                  const struct pgw_document *document)
{
    char *key = make_key(document->kind, document->name);
    struct pgw_document *stored = g_hash_table_lookup(documents->by_key, key);

    if (stored != NULL && document->revision <= stored->revision) {
        g_free(key);
        return NULL;
    }
    stored = g_new0(struct pgw_document, 1);
    stored->kind = g_strdup(document->kind);
    stored->name = g_strdup(document->name);
    stored->revision = document->revision;
    stored->deleted = document->deleted;
    stored->changed_after_us = document->changed_after_us;
    stored->body = document->deleted ? NULL : g_strdup(document->body);
    g_hash_table_replace(documents->by_key, key, stored);
    return stored;
}

const struct pgw_document *
pgw_documents_refine(struct pgw_documents *documents,
                     const struct pgw_document *document)
{
    char *key = make_key(document->kind, document->name);
    struct pgw_document *stored = g_hash_table_lookup(documents->by_key, key);

    g_free(key);
    if (stored == NULL || stored->revision != document->revision ||
        document->changed_after_us <= stored->changed_after_us) {
        return NULL;
    }
    stored->changed_after_us = document->changed_after_us;
    return stored;
}

const struct pgw_document *
pgw_documents_find(const struct pgw_documents *documents, const char *kind,
                   const char *name)
{
    char *key = make_key(kind, name);
    const struct pgw_document *stored =
        g_hash_table_lookup(documents->by_key, key);

    g_free(key);
    return stored;
}

GPtrArray *
pgw_documents_list(const struct pgw_documents *documents, const char *kind)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, documents->by_key);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pgw_document *document = value;

        if (kind == NULL || strcmp(document->kind, kind) == 0) {
            g_ptr_array_add(list, document);
        }
    }
    return list;
}

static int
compare_revisions(const void *a, const void *b)
{
    const struct pgw_document *left = *(struct pgw_document *const *)a;
    const struct pgw_document *right = *(struct pgw_document *const *)b;

    return left->revision < right->revision ? -1
                                            : left->revision > right->revision;
}

void
pgw_documents_sort(GPtrArray *list)
{
    g_ptr_array_sort(list, compare_revisions);
}
