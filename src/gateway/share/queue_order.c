#include "gateway/share/queue_order.h"

/* Weight of the most urgent workspaces. More would give the least urgent ones
 * less than a quarter of it. */
#define SHARE_MAX 4

void
pgw_queue_order_init(struct pgw_queue_order *order)
{
    pgw_fair_queue__init(&order->fair);
}

void
pgw_queue_order_dispose(struct pgw_queue_order *order)
{
    pgw_fair_queue__dispose(&order->fair);
}

uint32_t
pgw_queue_order_share(uint32_t priority)
{
    return MAX(SHARE_MAX >> MIN(priority, 2), 1);
}

double
pgw_queue_order_cost(const struct pgw_queue_order_item *item)
{
    return pgw_fair_queue__cost(&item->admit);
}

bool
pgw_queue_order_is_empty(const struct pgw_queue_order *order)
{
    return order->fair.count == 0;
}

bool
pgw_queue_order_has(const struct pgw_queue_order_item *item)
{
    return item->admit.position.flow != NULL;
}

void
pgw_queue_order_add(struct pgw_queue_order *order,
                    struct pgw_queue_order_item *item)
{
    pgw_fair_queue__push(&order->fair, &item->admit);
}

void
pgw_queue_order_remove(struct pgw_queue_order *order,
                       struct pgw_queue_order_item *item)
{
    pgw_list_remove(&item->admit.link);
    if (pgw_queue_order_has(item)) {
        pgw_fair_queue__remove(&order->fair, &item->admit);
    }
}

void
pgw_queue_order_serve(struct pgw_queue_order *order,
                      struct pgw_queue_order_item *item, double cost)
{
    pgw_list_remove(&item->admit.link);
    pgw_fair_queue__serve(&order->fair, &item->admit, cost);
}

static const struct pgw_queue_order_item *
get_item(const struct pgw_admit_item *admit)
{
    return pgw_container_of(admit, const struct pgw_queue_order_item, admit);
}

/* A request that cannot begin in time any more waits behind those that can:
 * one late answer costs less than several. */
static uint64_t
latest_start(const struct pgw_queue_order_item *item, uint64_t now_us,
             bool *is_late)
{
    *is_late = item->in_time_start_us > 0 && item->in_time_start_us < now_us;
    return item->in_time_start_us > 0 && !*is_late ? item->in_time_start_us
                                                   : item->late_start_us;
}

static int
compare_items(const struct pgw_admit_item *a, const struct pgw_admit_item *b,
              uint64_t now_us)
{
    const struct pgw_queue_order_item *first = get_item(a);
    const struct pgw_queue_order_item *second = get_item(b);
    bool first_is_late, second_is_late;
    uint64_t first_us = latest_start(first, now_us, &first_is_late);
    uint64_t second_us = latest_start(second, now_us, &second_is_late);

    if (first->is_resumed != second->is_resumed) {
        return first->is_resumed ? -1 : 1;
    }
    if (first->returned != second->returned) {
        return first->returned ? -1 : 1;
    }
    if (first->is_early != second->is_early) {
        return first->is_early ? 1 : -1;
    }
    if (first_is_late != second_is_late) {
        return first_is_late ? 1 : -1;
    }
    return first_us < second_us ? -1 : first_us > second_us;
}

static GPtrArray *
list_items(const struct pgw_queue_order *order, uint64_t now_us)
{
    GPtrArray *items = g_ptr_array_sized_new(order->fair.count);

    pgw_fair_queue__list(&order->fair, items, compare_items, now_us);
    return items;
}

void
pgw_queue_order_list(struct pgw_queue_order *order, struct pgw_list *out,
                     uint64_t now_us)
{
    GPtrArray *items = list_items(order, now_us);

    for (guint i = 0; i < items->len; i++) {
        struct pgw_admit_item *item = g_ptr_array_index(items, i);

        pgw_list_remove(&item->link);
        pgw_list_append(out, &item->link);
    }
    g_ptr_array_free(items, TRUE);
}

void
pgw_queue_order_find(struct pgw_queue_place *out,
                     const struct pgw_queue_order *order,
                     const struct pgw_queue_order_item *item, uint64_t now_us)
{
    GPtrArray *items = list_items(order, now_us);

    *out = (struct pgw_queue_place){0};
    for (guint i = 0; i < items->len; i++) {
        const struct pgw_admit_item *other = g_ptr_array_index(items, i);

        if (other == &item->admit) {
            break;
        }
        out->before++;
        out->work += pgw_fair_queue__cost(other);
    }
    g_ptr_array_free(items, TRUE);
}

struct pgw_queue_order_item *
pgw_queue_order_last(struct pgw_queue_place *out,
                     const struct pgw_queue_order *order, uint64_t workspace,
                     uint64_t now_us)
{
    GPtrArray *items = list_items(order, now_us);
    struct pgw_queue_order_item *last = NULL;
    struct pgw_queue_place place = {0};

    *out = place;
    for (guint i = 0; i < items->len; i++) {
        struct pgw_queue_order_item *item = pgw_container_of(
            g_ptr_array_index(items, i), struct pgw_queue_order_item, admit);

        if (item->admit.workspace == workspace && item->turn_by_us > 0) {
            last = item;
            *out = place;
        }
        place.before++;
        place.work += pgw_queue_order_cost(item);
    }
    g_ptr_array_free(items, TRUE);
    return last;
}
