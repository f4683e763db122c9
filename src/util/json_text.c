#include "util/json_text.h"
#include <string.h>

static void
append_escaped(GString *out, unsigned char byte)
{
    switch (byte) {
    case '"':
        g_string_append(out, "\\\"");
        break;
    case '\\':
        g_string_append(out, "\\\\");
        break;
    case '\n':
        g_string_append(out, "\\n");
        break;
    case '\r':
        g_string_append(out, "\\r");
        break;
    case '\t':
        g_string_append(out, "\\t");
        break;
    default:
        g_string_append_printf(out, "\\u%04x", byte);
        break;
    }
}

static void
append_valid(GString *out, const char *text, gsize size)
{
    gsize start = 0;

    for (gsize i = 0; i < size; i++) {
        unsigned char byte = (unsigned char)text[i];

        if (byte >= 0x20 && byte != '"' && byte != '\\') {
            continue;
        }
        g_string_append_len(out, text + start, (gssize)(i - start));
        append_escaped(out, byte);
        start = i + 1;
    }
    g_string_append_len(out, text + start, (gssize)(size - start));
}

void
pgw_json_append_string(GString *out, const char *text, gsize size)
{
    g_string_append_c(out, '"');
    while (size > 0) {
        const char *end;
        gsize valid;

        g_utf8_validate_len(text, size, &end);
        valid = (gsize)(end - text);
        append_valid(out, text, valid);
        text += valid;
        size -= valid;
        if (size > 0 && *text == '\0') {
            append_escaped(out, 0);
            text++;
            size--;
        }
        else if (size > 0) {
            g_string_append(out, "\xef\xbf\xbd");
            text++;
            size--;
        }
    }
    g_string_append_c(out, '"');
}

void
pgw_json_append_text(GString *out, const char *text)
{
    pgw_json_append_string(out, text, strlen(text));
}
