#ifndef PGW_UTIL_JSON_READER_H
#define PGW_UTIL_JSON_READER_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * enum pgw_json_type - what a key holds, and the type of its struct member
 * @PGW_JSON_STRING: text; char *
 * @PGW_JSON_UINT: whole number; uint32_t
 * @PGW_JSON_UINT64: whole number up to 2^53; uint64_t
 * @PGW_JSON_DOUBLE: number; double
 * @PGW_JSON_BOOL: true or false; bool
 * @PGW_JSON_STRING_LIST: array of text; char ** with a NULL at the end
 * @PGW_JSON_ADDRESS: "ip:port"; char *
 * @PGW_JSON_ADDRESS_LIST: array of "ip:port"; char ** with a NULL at the end
 * @PGW_JSON_URL: "http://ip:port"; char *
 */
enum pgw_json_type {
    PGW_JSON_STRING,
    PGW_JSON_UINT,
    PGW_JSON_UINT64,
    PGW_JSON_DOUBLE,
    PGW_JSON_BOOL,
    PGW_JSON_STRING_LIST,
    PGW_JSON_ADDRESS,
    PGW_JSON_ADDRESS_LIST,
    PGW_JSON_URL,
};

/**
 * struct pgw_json_field - one key of an object and where its value goes
 * @key: the key
 * @offset: offsetof() the member in the struct that is filled
 * @min: least number; for text its bytes, for lists their members, for
 *   addresses the port
 * @max: the same, greatest; 0 for lists and text means no limit
 * @number: default of numbers and booleans
 * @text: default of text; NULL leaves the member NULL
 * @choices: NULL-terminated allowed values of a text; NULL: any
 * @type: type of the value
 * @required: a missing key is an error
 */
struct pgw_json_field {
    const char *key;
    size_t offset;
    double min;
    double max;
    double number;
    const char *text;
    const char *const *choices;
    enum pgw_json_type type;
    bool required;
};

/** PGW_JSON_MAX_DEPTH - deepest nesting that pgw_json_parse() takes */
#define PGW_JSON_MAX_DEPTH 32

/**
 * pgw_json_parse() - parse text whose nesting is bounded
 * @out: receives the root; release with json_node_unref()
 * @text: JSON text, need not end in a NUL
 * @size: bytes of @text
 * @where: name of the text in messages, such as a file name
 * @error: %PGW_ERROR_INVALID
 */
bool pgw_json_parse(JsonNode **out, const char *text, size_t size,
                    const char *where, GError **error);

/** pgw_json_parse_text() - parse text that ends with a zero byte; NULL if
 * pgw_json_parse() does not accept it */
JsonNode *pgw_json_parse_text(const char *text);

/**
 * pgw_json_load() - parse a file of at most 1 MB
 * @out: receives the root; release with json_node_unref()
 * @path: the file
 * @error: %PGW_ERROR_INVALID, %PGW_ERROR_NOT_FOUND, %PGW_ERROR_TOO_LARGE or
 *   %PGW_ERROR_IO
 */
bool pgw_json_load(JsonNode **out, const char *path, GError **error);

/**
 * pgw_json_read() - fill a zeroed struct from an object
 * @out: the struct; on failure it holds nothing that needs releasing
 * @fields: table of the keys
 * @count: number of @fields
 * @node: the value, which must be an object
 * @where: prefix of messages: a file name, or "file: path.of.object"
 * @error: %PGW_ERROR_INVALID with the path of the key, what was found and
 *   what to write
 */
bool pgw_json_read(void *out, const struct pgw_json_field *fields,
                   size_t count, JsonNode *node, const char *where,
                   GError **error);

/**
 * pgw_json_dispose() - release what pgw_json_read() allocated in a struct
 * @out: the struct
 * @fields: the table it was read with
 * @count: number of @fields
 */
void pgw_json_dispose(void *out, const struct pgw_json_field *fields,
                      size_t count);

G_END_DECLS

#endif
