#ifndef PGW_JSON_SLICE_H
#define PGW_JSON_SLICE_H

#include <stdbool.h>
#include <stddef.h>

/**
 * struct pgw_json__slice - iterates over the texts of a JSON array's elements
 *
 * Parsing a list of 29,000 workspaces into one tree of nodes takes more than
 * the 64 MB that a process may use. With a slice, each element is parsed and
 * released separately.
 */
struct pgw_json__slice {
    const char *next;
    const char *end;
};

/**
 * pgw_json__slice_member() - text of one member of a top-level object
 * @out: receives the start of the member's value, inside @text
 * @out_size: receives the size of the value in bytes
 * @text: JSON text
 * @size: size of @text in bytes
 * @member: name of the member; must need no escapes
 *
 * The value is not validated and may be invalid JSON.
 *
 * Return: false if there is no such member.
 */
bool pgw_json__slice_member(const char **out, size_t *out_size,
                            const char *text, size_t size, const char *member);

/** pgw_json__slice_flag() - whether a member of a top-level object is true */
bool pgw_json__slice_flag(const char *text, size_t size, const char *member);

/**
 * pgw_json__slice_init() - find an array member of a top-level object
 * @slice: receives the array; iterate with pgw_json__slice_next()
 * @text: JSON text
 * @size: size of @text in bytes
 * @member: name of the member; must need no escapes
 *
 * Return: false if there is no such array.
 */
bool pgw_json__slice_init(struct pgw_json__slice *slice, const char *text,
                          size_t size, const char *member);

/**
 * pgw_json__slice_next() - text of the next element
 *
 * Return: false at the end of the array or of the text.
 */
bool pgw_json__slice_next(struct pgw_json__slice *slice, const char **text,
                          size_t *size);

#endif
