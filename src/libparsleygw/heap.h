#ifndef PGW_LIBPARSLEYGW_HEAP_H
#define PGW_LIBPARSLEYGW_HEAP_H

#include <glib.h>
#include <stddef.h>

G_BEGIN_DECLS

/**
 * struct pgw_heap_node - link of an intrusive min-heap
 * @key: order; the least comes first
 * @place: one more than its index in the heap, 0 while in none
 */
struct pgw_heap_node {
    double key;
    size_t place;
};

/**
 * struct pgw_heap - an array of links, each parent's key at most its
 * children's
 * @nodes: the array
 * @count: links in it
 * @room: room in it
 *
 * Zeroed is empty.
 */
struct pgw_heap {
    struct pgw_heap_node **nodes;
    size_t count;
    size_t room;
};

/* Frees the array, not the links. */
void pgw_heap__dispose(struct pgw_heap *heap);

void pgw_heap__push(struct pgw_heap *heap, struct pgw_heap_node *node,
                    double key);

/* Does nothing for a link that is in no heap. */
void pgw_heap__remove(struct pgw_heap *heap, struct pgw_heap_node *node);

/* Returns the link of least key, NULL if empty. */
struct pgw_heap_node *pgw_heap__first(const struct pgw_heap *heap);

G_END_DECLS

#endif
