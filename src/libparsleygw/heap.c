#include "libparsleygw/heap.h"

#define INITIAL_CAPACITY 16

void
pgw_heap__dispose(struct pgw_heap *heap)
{
    g_free(heap->nodes);
    *heap = (struct pgw_heap){0};
}

static void
set_node(struct pgw_heap *heap, size_t index, struct pgw_heap_node *node)
{
    heap->nodes[index] = node;
    node->position = index + 1;
}

static void
move_up(struct pgw_heap *heap, size_t index, struct pgw_heap_node *node)
{
    while (index > 0 && node->key < heap->nodes[(index - 1) / 2]->key) {
        set_node(heap, index, heap->nodes[(index - 1) / 2]);
        index = (index - 1) / 2;
    }
    set_node(heap, index, node);
}

static void
move_down(struct pgw_heap *heap, size_t index, struct pgw_heap_node *node)
{
    size_t child;

    while ((child = 2 * index + 1) < heap->count) {
        if (child + 1 < heap->count &&
            heap->nodes[child + 1]->key < heap->nodes[child]->key) {
            child++;
        }
        if (node->key <= heap->nodes[child]->key) {
            break;
        }
        set_node(heap, index, heap->nodes[child]);
        index = child;
    }
    set_node(heap, index, node);
}

void
pgw_heap__push(struct pgw_heap *heap, struct pgw_heap_node *node, double key)
{
    if (heap->count == heap->capacity) {
        heap->capacity = MAX(2 * heap->capacity, INITIAL_CAPACITY);
        heap->nodes =
            g_renew(struct pgw_heap_node *, heap->nodes, heap->capacity);
    }
    node->key = key;
    move_up(heap, heap->count++, node);
}

void
pgw_heap__remove(struct pgw_heap *heap, struct pgw_heap_node *node)
{
    size_t index = node->position;
    struct pgw_heap_node *last;

    if (index == 0) {
        return;
    }
    index--;
    node->position = 0;
    last = heap->nodes[--heap->count];
    if (last == node) {
        return;
    }
    if (last->key < node->key) {
        move_up(heap, index, last);
    }
    else {
        move_down(heap, index, last);
    }
}

struct pgw_heap_node *
pgw_heap__first(const struct pgw_heap *heap)
{
    return heap->count > 0 ? heap->nodes[0] : NULL;
}
