#include "libparsleygw/fair_queue.h"

/* Idle flows checked per served request. A request adds at most one, so that
 * idle flows do not accumulate. */
#define IDLE_FLOWS_PER_REQUEST 2

void
pgw_fair_queue__init(struct pgw_fair_queue *queue)
{
    *queue = (struct pgw_fair_queue){
        .flows =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free),
    };
    pgw_list_init(&queue->idle);
}

void
pgw_fair_queue__dispose(struct pgw_fair_queue *queue)
{
    g_hash_table_destroy(queue->flows);
    pgw_heap__dispose(&queue->active);
}

static struct pgw_admit_flow *
find_flow(const struct pgw_fair_queue *queue, uint64_t workspace)
{
    gint64 key = (gint64)workspace;

    return g_hash_table_lookup(queue->flows, &key);
}

const struct pgw_admit_flow *
pgw_fair_queue__find(const struct pgw_fair_queue *queue, uint64_t workspace)
{
    return find_flow(queue, workspace);
}

static struct pgw_admit_flow *
get_flow(struct pgw_fair_queue *queue, uint64_t workspace)
{
    struct pgw_admit_flow *flow = find_flow(queue, workspace);

    if (flow == NULL) {
        flow = g_new0(struct pgw_admit_flow, 1);
        flow->workspace = (gint64)workspace;
        g_hash_table_add(queue->flows, flow);
    }
    return flow;
}

static struct pgw_admit_item *
first_item(struct pgw_admit_flow *flow)
{
    return pgw_container_of(flow->items.next, struct pgw_admit_item,
                            position.queue);
}

void
pgw_fair_queue__push(struct pgw_fair_queue *queue, struct pgw_admit_item *item)
{
    struct pgw_admit_flow *flow = get_flow(queue, item->workspace);
    uint32_t share = MAX(item->share, 1);

    if (flow->count == 0) {
        pgw_list_remove(&flow->items);
        pgw_list_init(&flow->items);
        flow->share = share;
        pgw_heap__push(&queue->active, &flow->start,
                       MAX(flow->start.key, queue->virtual_time));
        queue->shares += share;
    }
    else if (flow->share != share) {
        queue->shares = queue->shares - flow->share + share;
        flow->share = share;
    }
    item->position.flow = flow;
    pgw_list_append(&flow->items, &item->position.queue);
    flow->count++;
    flow->tokens += item->uncached_tokens;
    queue->count++;
    queue->tokens += item->uncached_tokens;
}

struct pgw_admit_item *
pgw_fair_queue__first(const struct pgw_fair_queue *queue)
{
    struct pgw_heap_node *node = pgw_heap__first(&queue->active);

    if (node == NULL) {
        return NULL;
    }
    return first_item(pgw_container_of(node, struct pgw_admit_flow, start));
}

/* A flow whose start time has passed would start at the virtual time like a
 * new flow, so it can be removed. */
static void
remove_idle_flows(struct pgw_fair_queue *queue)
{
    for (int i = 0;
         i < IDLE_FLOWS_PER_REQUEST && !pgw_list_is_empty(&queue->idle); i++) {
        struct pgw_admit_flow *flow =
            pgw_container_of(queue->idle.next, struct pgw_admit_flow, items);

        pgw_list_remove(&flow->items);
        if (flow->start.key <= queue->virtual_time) {
            g_hash_table_remove(queue->flows, &flow->workspace);
        }
        else {
            pgw_list_append(&queue->idle, &flow->items);
        }
    }
}

/*
 * Start times only order flows that wait at the same time. If idle flows were
 * kept longer, their number would grow with every workspace that ever sent a
 * request: with requests far apart the virtual time does not advance, and
 * remove_idle_flows() finds nothing to remove. When the queue is empty the
 * virtual time may pass all start times (the end of a busy period in the
 * paper), and then each flow would start like a new one.
 */
static void
remove_all_flows(struct pgw_fair_queue *queue)
{
    pgw_list_init(&queue->idle);
    g_hash_table_remove_all(queue->flows);
}

static void
unlink_item(struct pgw_fair_queue *queue, struct pgw_admit_item *item)
{
    struct pgw_admit_flow *flow = item->position.flow;

    pgw_list_remove(&item->position.queue);
    item->position.flow = NULL;
    flow->count--;
    flow->tokens -= item->uncached_tokens;
    queue->count--;
    queue->tokens -= item->uncached_tokens;
    if (flow->count == 0) {
        pgw_heap__remove(&queue->active, &flow->start);
        queue->shares -= flow->share;
        pgw_list_append(&queue->idle, &flow->items);
    }
}

void
pgw_fair_queue__remove(struct pgw_fair_queue *queue,
                       struct pgw_admit_item *item)
{
    unlink_item(queue, item);
    if (queue->count == 0) {
        remove_all_flows(queue);
    }
}

void
pgw_fair_queue__set_uncached_tokens(struct pgw_fair_queue *queue,
                                    struct pgw_admit_item *item,
                                    uint32_t uncached_tokens)
{
    struct pgw_admit_flow *flow = item->position.flow;

    flow->tokens = flow->tokens - item->uncached_tokens + uncached_tokens;
    queue->tokens = queue->tokens - item->uncached_tokens + uncached_tokens;
    item->uncached_tokens = uncached_tokens;
}

void
pgw_fair_queue__serve(struct pgw_fair_queue *queue,
                      struct pgw_admit_item *item, double cost)
{
    struct pgw_admit_flow *flow = item->position.flow;

    queue->virtual_time = MAX(queue->virtual_time, flow->start.key);
    pgw_heap__remove(&queue->active, &flow->start);
#ifndef PGW_DISABLE_FAIR_SHARE
    flow->start.key += cost / flow->share;
#else
    (void)cost;
#endif
    unlink_item(queue, item);
    if (queue->count == 0) {
        remove_all_flows(queue);
        return;
    }
    if (flow->count > 0) {
        pgw_heap__push(&queue->active, &flow->start, flow->start.key);
    }
    remove_idle_flows(queue);
}

double
pgw_fair_queue__cost(const struct pgw_admit_item *item)
{
    return (double)item->uncached_tokens + item->max_tokens;
}

/* A waiting item and its virtual start time, if all before it in its flow are
 * served. */
struct start {
    double time;
    struct pgw_admit_item *item;
};

struct order {
    pgw_fair_queue_compare compare;
    uint64_t now_us;
};

static int
compare_in_flow(const void *a, const void *b, void *context)
{
    const struct start *first = a;
    const struct start *second = b;
    const struct order *order = context;

    return order->compare(first->item, second->item, order->now_us);
}

static int
compare_starts(const void *a, const void *b, void *context)
{
    const struct start *first = a;
    const struct start *second = b;

    if (first->time != second->time) {
        return first->time < second->time ? -1 : 1;
    }
    return compare_in_flow(a, b, context);
}

static void
add_starts(GArray *starts, const struct pgw_admit_flow *flow,
           struct order *order)
{
    GArray *own =
        g_array_sized_new(FALSE, FALSE, sizeof(struct start), flow->count);
    double time = flow->start.key;

    pgw_list_foreach (link, &flow->items) {
        struct start start = {
            .item =
                pgw_container_of(link, struct pgw_admit_item, position.queue),
        };

        g_array_append_val(own, start);
    }
    g_array_sort_with_data(own, compare_in_flow, order);
    for (guint i = 0; i < own->len; i++) {
        struct start *start = &g_array_index(own, struct start, i);

        start->time = time;
        time += pgw_fair_queue__cost(start->item) / flow->share;
    }
    g_array_append_vals(starts, own->data, own->len);
    g_array_free(own, TRUE);
}

void
pgw_fair_queue__list(const struct pgw_fair_queue *queue, GPtrArray *out,
                     pgw_fair_queue_compare compare, uint64_t now_us)
{
    GArray *starts =
        g_array_sized_new(FALSE, FALSE, sizeof(struct start), queue->count);
    struct order order = {.compare = compare, .now_us = now_us};
    GHashTableIter iter;
    void *flow;

    g_hash_table_iter_init(&iter, queue->flows);
    while (g_hash_table_iter_next(&iter, &flow, NULL)) {
        if (((const struct pgw_admit_flow *)flow)->count > 0) {
            add_starts(starts, flow, &order);
        }
    }
    g_array_sort_with_data(starts, compare_starts, &order);
    for (guint i = 0; i < starts->len; i++) {
        g_ptr_array_add(out, g_array_index(starts, struct start, i).item);
    }
    g_array_free(starts, TRUE);
}
