#include "libparsleygw/heap.h"

#define FIRST_ROOM 16

void
pgw_heap__dispose(struct pgw_heap *heap)
{
    g_free(heap->nodes);
    *heap = (struct pgw_heap){0};
}

static void
put(struct pgw_heap *heap, size_t i, struct pgw_heap_node *node)
{
    heap->nodes[i] = node;
    node->place = i + 1;
}

static void
move_up(struct pgw_heap *heap, size_t i, struct pgw_heap_node *node)
{
    while (i > 0 && node->key < heap->nodes[(i - 1) / 2]->key) {
        put(heap, i, heap->nodes[(i - 1) / 2]);
        i = (i - 1) / 2;
    }
    put(heap, i, node);
}

static void
move_down(struct pgw_heap *heap, size_t i, struct pgw_heap_node *node)
{
    size_t child;

    while ((child = 2 * i + 1) < heap->count) {
        if (child + 1 < heap->count &&
            heap->nodes[child + 1]->key < heap->nodes[child]->key) {
            child++;
        }
        if (node->key <= heap->nodes[child]->key) {
            break;
        }
        put(heap, i, heap->nodes[child]);
        i = child;
    }
    put(heap, i, node);
}

void
pgw_heap__push(struct pgw_heap *heap, struct pgw_heap_node *node, double key)
{
    if (heap->count == heap->room) {
        heap->room = MAX(2 * heap->room, FIRST_ROOM);
        heap->nodes = g_renew(struct pgw_heap_node *, heap->nodes, heap->room);
    }
    node->key = key;
    move_up(heap, heap->count++, node);
}

void
pgw_heap__remove(struct pgw_heap *heap, struct pgw_heap_node *node)
{
    size_t i = node->place;
    struct pgw_heap_node *last;

    if (i == 0) {
        return;
    }
    i--;
    node->place = 0;
    last = heap->nodes[--heap->count];
    if (last == node) {
        return;
    }
    if (last->key < node->key) {
        move_up(heap, i, last);
    }
    else {
        move_down(heap, i, last);
    }
}

struct pgw_heap_node *
pgw_heap__first(const struct pgw_heap *heap)
{
    return heap->count > 0 ? heap->nodes[0] : NULL;
}
