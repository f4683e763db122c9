#ifndef PGW_MEMBER_VIEW_H
#define PGW_MEMBER_VIEW_H

#include "parsleygw/member.h"

/* Creates a view of all upstreams of @config; @fill sets all fields of each
 * member except its upstream. */
struct pgw_member_view *
pgw_member_view__new(struct pgw_config *config,
                     void (*fill)(void *data, struct pgw_member *member),
                     void *data);

/* Returns @old if @view is equal to it, otherwise @view with the next version,
 * and releases the other view. */
struct pgw_member_view *pgw_member_view__replace(struct pgw_member_view *old,
                                                 struct pgw_member_view *view);

#endif
