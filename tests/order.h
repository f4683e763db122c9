#ifndef TESTS_ORDER_H
#define TESTS_ORDER_H

#include <glib.h>
#include <string.h>

/** assert_in_order() - each of the NULL-terminated parts, in this order */
static inline void
assert_in_order(const char *text, const char *const *parts)
{
    for (; *parts != NULL; parts++) {
        text = strstr(text, *parts);
        if (text == NULL) {
            g_error("\"%s\" is missing or out of order", *parts);
        }
    }
}

#endif
