#ifndef PGW_STORE_RESPONSE_H
#define PGW_STORE_RESPONSE_H

#include "parsleygw/store.h"

/* Parsers for responses of the object API. They return false and leave @out
 * empty if the response is malformed. */
bool pgw_store__parse_object(struct pgw_store_object *out, const char *text,
                             size_t size);
bool pgw_store__parse_list(struct pgw_store_list *out, const char *text,
                           size_t size, const char *member);
bool pgw_store__parse_instances(struct pgw_store_instances *out,
                                const char *text, size_t size);

#endif
