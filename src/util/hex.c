#include "util/hex.h"

#include <string.h>

void
pgw_hex_encode(char *out, const uint8_t *bytes, size_t size)
{
    static const char digits[] = "0123456789abcdef";

    for (size_t i = 0; i < size; i++) {
        out[2 * i] = digits[bytes[i] >> 4];
        out[2 * i + 1] = digits[bytes[i] & 15];
    }
    out[2 * size] = '\0';
}

bool
pgw_hex_decode(uint8_t *out, size_t size, const char *text)
{
    for (size_t i = 0; i < size; i++) {
        int high = g_ascii_xdigit_value(text[2 * i]);
        int low = high < 0 ? -1 : g_ascii_xdigit_value(text[2 * i + 1]);

        if (low < 0) {
            return false;
        }
        out[i] = (uint8_t)(high << 4 | low);
    }
    return text[2 * size] == '\0';
}

void
pgw_request_id_format(char out[PGW_REQUEST_ID_TEXT_SIZE],
                      const struct pgw_request_id *id)
{
    pgw_hex_encode(out, id->bytes, sizeof(id->bytes));
}

bool
pgw_request_id_parse(struct pgw_request_id *out, const char *text)
{
    return pgw_hex_decode(out->bytes, sizeof(out->bytes), text);
}
