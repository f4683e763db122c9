#include "gateway/http/slow_callers.h"

void
pgw_slow_callers_init(struct pgw_slow_callers *callers)
{
    *callers = (struct pgw_slow_callers){0};
    pgw_list_init(&callers->callers);
}

void
pgw_slow_callers_update(struct pgw_slow_callers *callers,
                        struct pgw_slow_caller *caller, size_t pending)
{
    callers->pending = callers->pending - caller->pending + pending;
    caller->pending = pending;
    if (pending == 0) {
        pgw_list_remove(&caller->link);
    }
    else if (!pgw_list_is_linked(&caller->link)) {
        pgw_list_append(&callers->callers, &caller->link);
    }
}

struct pgw_slow_caller *
pgw_slow_callers_excess(const struct pgw_slow_callers *callers)
{
    return callers->bound == 0 || callers->pending <= callers->bound
               ? NULL
               : pgw_container_of(callers->callers.next,
                                  struct pgw_slow_caller, link);
}
