#ifndef PGW_STORE_ANSWER_H
#define PGW_STORE_ANSWER_H

#include "parsleygw/store.h"

/* Reading of the object API's answers. False: the answer makes no sense. */
bool pgw_store__parse_object(struct pgw_store_object *out, const char *text,
                             size_t size);
bool pgw_store__parse_list(struct pgw_store_list *out, const char *text,
                           size_t size, const char *member);
bool pgw_store__parse_instances(struct pgw_store_instances *out,
                                const char *text, size_t size);

#endif
