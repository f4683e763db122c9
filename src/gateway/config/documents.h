#ifndef PGW_GATEWAY_CONFIG_DOCUMENTS_H
#define PGW_GATEWAY_CONFIG_DOCUMENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Replicas of the platform's objects, which all entries share
 *
 * Each object has a revision that only increases. If a deployment's store may
 * lose writes, the upper bits of its revisions count these losses. Copies come
 * from the platform's store and from other entries, in any order and any
 * number of times; the highest revision of each object wins. A deleted object
 * leaves a tombstone, so that a late copy does not restore it.
 */

/**
 * struct pgw_document - copy of an object
 * @kind: kind of the object
 * @name: name within the kind
 * @revision: revision of the last change or of the deletion
 * @deleted: the object was deleted; @body is NULL
 * @body: JSON text
 * @changed_after_us: monotonic time after which the change was made: the last
 *   time at which it is known not to have been; 0: not known
 */
struct pgw_document {
    char *kind;
    char *name;
    uint64_t revision;
    bool deleted;
    char *body;
    uint64_t changed_after_us;
};

struct pgw_documents;

/** pgw_documents_new() - create an empty collection */
struct pgw_documents *pgw_documents_new(void);
void pgw_documents_free(struct pgw_documents *documents);

/**
 * pgw_documents_put() - store a copy if it is newer than the stored one
 * @documents: the collection
 * @document: the copy; not taken over
 *
 * Return: the stored document, owned by the collection; NULL if @document is
 * not newer.
 */
const struct pgw_document *
pgw_documents_put(struct pgw_documents *documents,
                  const struct pgw_document *document);

/**
 * pgw_documents_refine() - learn more precisely when a change was made
 * @documents: the collection
 * @document: another copy of the stored revision
 *
 * Return: the stored document if @document says that its change is younger
 * than was known, else NULL.
 */
const struct pgw_document *
pgw_documents_refine(struct pgw_documents *documents,
                     const struct pgw_document *document);

/** pgw_documents_find() - the stored copy or tombstone, NULL if there is none
 */
const struct pgw_document *
pgw_documents_find(const struct pgw_documents *documents, const char *kind,
                   const char *name);

/** pgw_documents_list() - all documents of a kind, or of all kinds if @kind is
 * NULL, tombstones included; free the array with g_ptr_array_unref() */
GPtrArray *pgw_documents_list(const struct pgw_documents *documents,
                              const char *kind);

/** pgw_documents_sort() - sort a list of documents by revision, the oldest
 * first */
void pgw_documents_sort(GPtrArray *list);

#endif
