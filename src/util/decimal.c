#include "util/decimal.h"
#include <glib.h>
#include <string.h>

bool
pgw_decimal_parse(double *out, const char *text, double max)
{
    *out = g_ascii_strtod(text, NULL);
    return *text != '\0' && text[strspn(text, "0123456789.")] == '\0' &&
           strchr(text, '.') == strrchr(text, '.') && *out > 0 && *out <= max;
}
