#ifndef PGW_UTIL_LIST_H
#define PGW_UTIL_LIST_H

#include <stdbool.h>
#include <stddef.h>

/**
 * struct pgw_list - head or link of an intrusive, circular, doubly linked list
 * @next: following link, or the head itself at the end
 * @prev: preceding link
 *
 * A zeroed link is not in any list; pgw_list_init() makes an empty head.
 */
struct pgw_list {
    struct pgw_list *next;
    struct pgw_list *prev;
};

#define pgw_container_of(ptr, type, member)                                   \
    ((type *)((char *)(ptr)-offsetof(type, member)))

#define pgw_list_foreach(pos, head)                                           \
    for (struct pgw_list *pos = (head)->next; pos != (head); pos = pos->next)

/* The body may remove @pos from the list. */
#define pgw_list_foreach_safe(pos, head)                                      \
    for (struct pgw_list *pos = (head)->next, *pos##_next = pos->next;        \
         pos != (head); pos = pos##_next, pos##_next = pos->next)

static inline void
pgw_list_init(struct pgw_list *head)
{
    head->next = head;
    head->prev = head;
}

static inline bool
pgw_list_is_empty(const struct pgw_list *head)
{
    return head->next == head;
}

static inline bool
pgw_list_is_linked(const struct pgw_list *link)
{
    return link->next != NULL;
}

static inline void
pgw_list_append(struct pgw_list *head, struct pgw_list *link)
{
    link->prev = head->prev;
    link->next = head;
    head->prev->next = link;
    head->prev = link;
}

static inline void
pgw_list_remove(struct pgw_list *link)
{
    if (!pgw_list_is_linked(link)) {
        return;
    }
    link->prev->next = link->next;
    link->next->prev = link->prev;
    link->next = NULL;
    link->prev = NULL;
}

static inline struct pgw_list *
pgw_list_first(struct pgw_list *head)
{
    return pgw_list_is_empty(head) ? NULL : head->next;
}

#endif
