#ifndef PGW_JSON_SLICE_H
#define PGW_JSON_SLICE_H

#include <stdbool.h>
#include <stddef.h>

/**
 * struct pgw_json__slice - cuts a JSON array into the texts of its elements
 *
 * A list of 29,000 workspaces parsed at once as a tree of nodes takes more
 * than the 64 MB that a process may have. Cut into elements, each is parsed
 * and released by itself.
 */
struct pgw_json__slice {
    const char *next;
    const char *end;
};

/**
 * pgw_json__slice_member() - text of one member of a top-level object
 * @out: receives where its value begins
 * @out_size: and its bytes
 * @text: JSON text
 * @size: its bytes
 * @member: name of the member; must need no escapes
 *
 * What the value holds is not looked at: it may be no valid JSON.
 *
 * Return: false when there is no such member.
 */
bool pgw_json__slice_member(const char **out, size_t *out_size,
                            const char *text, size_t size, const char *member);

/**
 * pgw_json__slice_init() - find an array member of a top-level object
 * @slice: to be walked with pgw_json__slice_next()
 * @text: JSON text
 * @size: its bytes
 * @member: name of the member; must need no escapes
 *
 * Return: false when there is no such array.
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
