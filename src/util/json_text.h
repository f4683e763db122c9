#ifndef PGW_UTIL_JSON_TEXT_H
#define PGW_UTIL_JSON_TEXT_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * pgw_json_append_string() - append a JSON string with its quotes
 * @out: text to append to
 * @text: UTF-8; bytes that are not are replaced by U+FFFD
 * @size: length in bytes
 */
void pgw_json_append_string(GString *out, const char *text, gsize size);

/** pgw_json_append_text() - as above, for text that ends in a NUL */
void pgw_json_append_text(GString *out, const char *text);

G_END_DECLS

#endif
