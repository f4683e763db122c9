#ifndef PGW_LIBPARSLEYGW_HEAP_H
#define PGW_LIBPARSLEYGW_HEAP_H

#include <glib.h>
#include <stddef.h>

G_BEGIN_DECLS

/**
 * struct pgw_heap_node - node of an intrusive min-heap
 * @key: sort key; the smallest comes first
 * @position: its index in the heap plus one, 0 while it is in no heap
 */
struct pgw_heap_node {
    double key;
    size_t position;
};

/**
 * struct pgw_heap - array in which no node's key is less than its parent's
 * @nodes: the array
 * @count: number of nodes
 * @capacity: allocated size of the array
 *
 * A zeroed struct is an empty heap.
 */
struct pgw_heap {
    struct pgw_heap_node **nodes;
    size_t count;
    size_t capacity;
};

/* Frees the array, not the nodes. */
void pgw_heap__dispose(struct pgw_heap *heap);

void pgw_heap__push(struct pgw_heap *heap, struct pgw_heap_node *node,
                    double key);

/* Does nothing for a node that is in no heap. */
void pgw_heap__remove(struct pgw_heap *heap, struct pgw_heap_node *node);

/* Returns the node with the smallest key, NULL if the heap is empty. */
struct pgw_heap_node *pgw_heap__first(const struct pgw_heap *heap);

G_END_DECLS

#endif
