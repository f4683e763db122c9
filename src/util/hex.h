#ifndef PGW_UTIL_HEX_H
#define PGW_UTIL_HEX_H

#include "parsleygw/types.h"

G_BEGIN_DECLS

#define PGW_REQUEST_ID_TEXT_SIZE (2 * PGW_REQUEST_ID_SIZE + 1)

/**
 * pgw_hex_encode() - write bytes as lower-case hexadecimal digits
 * @out: buffer of 2 * @size + 1 bytes; ends in a NUL
 * @bytes: the bytes
 * @size: number of @bytes
 */
void pgw_hex_encode(char *out, const uint8_t *bytes, size_t size);

/**
 * pgw_hex_decode() - read exactly 2 * @size hexadecimal digits
 * @out: buffer of @size bytes
 * @size: number of bytes
 * @text: the digits, then a NUL
 *
 * Return: false for any other text; @out is then undefined.
 */
bool pgw_hex_decode(uint8_t *out, size_t size, const char *text);

/**
 * pgw_request_id_format() - write a request id as 32 digits
 * @out: buffer
 * @id: the id
 */
void pgw_request_id_format(char out[PGW_REQUEST_ID_TEXT_SIZE],
                           const struct pgw_request_id *id);

/**
 * pgw_request_id_parse() - read a request id of 32 digits
 * @out: receives the id
 * @text: the digits
 *
 * Return: false for any other text.
 */
bool pgw_request_id_parse(struct pgw_request_id *out, const char *text);

G_END_DECLS

#endif
