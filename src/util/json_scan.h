#ifndef PGW_UTIL_JSON_SCAN_H
#define PGW_UTIL_JSON_SCAN_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Reading long JSON lists without a tree
 *
 * A tree of thousands of objects costs ten allocations for each of them, on
 * the thread that everybody waits for. These functions walk over the text and
 * allocate nothing:
 *
 *   struct pgw_json_scan scan = PGW_JSON_SCAN(text, size);
 *   struct pgw_json_text name, word;
 *
 *   pgw_json_scan_enter(&scan, '{');
 *   while (pgw_json_scan_member(&scan, &name)) {
 *       if (pgw_json_text_is(&name, "kind")) {
 *           pgw_json_scan_text(&scan, &word);
 *       }
 *       else {
 *           pgw_json_scan_skip(&scan);
 *       }
 *   }
 *   good = pgw_json_scan_done(&scan);
 *
 * After a fault nothing more is found; whoever reads must ask
 * pgw_json_scan_done() before using what was read.
 */

/**
 * struct pgw_json_scan - a place in a text
 * @at: next byte
 * @end: behind the last byte
 * @broken: the text is no JSON, or not of the form that was asked for
 * @first: nothing of the array or object that was just entered was read
 * @depth: arrays and objects that are open
 */
struct pgw_json_scan {
    const char *at;
    const char *end;
    bool broken;
    bool first;
    unsigned depth;
};

#define PGW_JSON_SCAN(text, size)                                             \
    {                                                                         \
        .at = (text), .end = (text) + (size)                                  \
    }

/**
 * struct pgw_json_text - a string as it stands in the text
 * @start: behind its opening quote; not terminated
 * @size: its bytes
 * @escaped: holds escapes, which pgw_json_text_dup() resolves
 */
struct pgw_json_text {
    const char *start;
    size_t size;
    bool escaped;
};

/** pgw_json_scan_enter() - expect a value that begins with @bracket */
bool pgw_json_scan_enter(struct pgw_json_scan *scan, char bracket);

/** pgw_json_scan_is() - whether the next value begins with @c */
bool pgw_json_scan_is(struct pgw_json_scan *scan, char c);

/** pgw_json_scan_member() - the name of an object's next member, whose value
 * must be read or skipped next; false at the object's end */
bool pgw_json_scan_member(struct pgw_json_scan *scan,
                          struct pgw_json_text *name);

/** pgw_json_scan_item() - whether an array has one more value, which must be
 * read or skipped next; false at the array's end */
bool pgw_json_scan_item(struct pgw_json_scan *scan);

/** pgw_json_scan_skip() - pass over one value of any kind */
void pgw_json_scan_skip(struct pgw_json_scan *scan);

/** pgw_json_scan_text() - read a string; empty for a value of another kind */
void pgw_json_scan_text(struct pgw_json_scan *scan, struct pgw_json_text *out);

/** pgw_json_scan_uint() - read a whole number; 0 for any other value */
uint64_t pgw_json_scan_uint(struct pgw_json_scan *scan);

/** pgw_json_scan_hex() - read a number from a string of up to 16 hexadecimal
 * digits; 0 for any other value */
uint64_t pgw_json_scan_hex(struct pgw_json_scan *scan);

/** pgw_json_scan_done() - whether the text ended well after one value */
bool pgw_json_scan_done(struct pgw_json_scan *scan);

/** pgw_json_text_is() - whether a string without escapes equals @word */
bool pgw_json_text_is(const struct pgw_json_text *text, const char *word);

/** pgw_json_text_dup() - the string itself; release with g_free(). "" when
 * its escapes are none of JSON */
char *pgw_json_text_dup(const struct pgw_json_text *text);

G_END_DECLS

#endif
