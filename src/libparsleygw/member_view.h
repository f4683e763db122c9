#ifndef PGW_MEMBER_VIEW_H
#define PGW_MEMBER_VIEW_H

#include "parsleygw/member.h"

/* A view with all upstreams of @config; @fill sets each member but its
 * upstream. */
struct pgw_member_view *
pgw_member_view__new(struct pgw_config *config,
                     void (*fill)(void *data, struct pgw_member *member),
                     void *data);

/* Which of the two to keep: @old when @view says nothing else, otherwise
 * @view with the next version. Releases the other one. */
struct pgw_member_view *pgw_member_view__replace(struct pgw_member_view *old,
                                                 struct pgw_member_view *view);

#endif
