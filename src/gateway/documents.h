#ifndef PGW_GATEWAY_DOCUMENTS_H
#define PGW_GATEWAY_DOCUMENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Copies of the platform's objects that entries hold in common
 *
 * Each object has a revision that only grows; a deployment whose store may
 * lose writes puts the count of that into its upper bits. Copies come from the
 * platform's store and from other entries, in any order and any number of
 * times; the highest revision of each wins. Deleted objects leave a mark, so
 * that a late copy does not bring them back.
 */

/**
 * struct pgw_document - one object
 * @kind: its kind
 * @name: its name within the kind
 * @revision: of its last change, or of its deletion
 * @deleted: it is gone; @body is empty
 * @body: JSON text
 */
struct pgw_document {
    char *kind;
    char *name;
    uint64_t revision;
    bool deleted;
    char *body;
};

struct pgw_documents;

/** pgw_documents_new() - none */
struct pgw_documents *pgw_documents_new(void);
void pgw_documents_free(struct pgw_documents *documents);

/**
 * pgw_documents_put() - take one copy
 * @documents: the collection
 * @document: copied
 *
 * Return: the stored copy if it was newer than what was known, else NULL.
 */
const struct pgw_document *
pgw_documents_put(struct pgw_documents *documents,
                  const struct pgw_document *document);

/** pgw_documents_find() - a copy, NULL when never heard of */
const struct pgw_document *
pgw_documents_find(const struct pgw_documents *documents, const char *kind,
                   const char *name);

/** pgw_documents_list() - all copies of a kind, or of all kinds with NULL;
 * deleted ones included; free the array with g_ptr_array_unref() */
GPtrArray *pgw_documents_list(const struct pgw_documents *documents,
                              const char *kind);

/** pgw_documents_sort() - put a list of documents in the order of their
 * revisions, the oldest first */
void pgw_documents_sort(GPtrArray *list);

#endif
