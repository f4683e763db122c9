#include "util/json_scan.h"

#include "util/json_reader.h"

#include <string.h>

/* They hold the largest number; a longer text is none of ours. */
#define HEX_DIGITS_MAX 16

static bool
fail(struct pgw_json_scan *scan)
{
    scan->broken = true;
    scan->at = scan->end;
    return false;
}

static void
skip_space(struct pgw_json_scan *scan)
{
    while (scan->at < scan->end && (*scan->at == ' ' || *scan->at == '\n' ||
                                    *scan->at == '\r' || *scan->at == '\t')) {
        scan->at++;
    }
}

bool
pgw_json_scan_is(struct pgw_json_scan *scan, char c)
{
    skip_space(scan);
    return scan->at < scan->end && *scan->at == c;
}

/* Passes over @c if it comes next. */
static bool
take(struct pgw_json_scan *scan, char c)
{
    if (!pgw_json_scan_is(scan, c)) {
        return false;
    }
    scan->at++;
    return true;
}

bool
pgw_json_scan_enter(struct pgw_json_scan *scan, char bracket)
{
    if (!take(scan, bracket) || ++scan->depth > PGW_JSON_MAX_DEPTH) {
        return fail(scan);
    }
    scan->first = true;
    return true;
}

/* Whether another member or value follows in what ends with @bracket. */
static bool
next(struct pgw_json_scan *scan, char bracket)
{
    bool first = scan->first;

    scan->first = false;
    if (scan->broken) {
        return false;
    }
    if (take(scan, bracket)) {
        scan->depth--;
        return false;
    }
    return first || take(scan, ',') || fail(scan);
}

static bool
take_string(struct pgw_json_scan *scan, struct pgw_json_text *out)
{
    const char *quote;

    *out = (struct pgw_json_text){.start = ""};
    if (!take(scan, '"')) {
        return fail(scan);
    }
    out->start = scan->at;
    for (quote = scan->at; quote < scan->end && *quote != '"'; quote++) {
        if ((unsigned char)*quote < ' ') {
            return fail(scan);
        }
        if (*quote == '\\') {
            out->escaped = true;
            quote++;
        }
    }
    if (quote >= scan->end) {
        return fail(scan);
    }
    out->size = (size_t)(quote - out->start);
    scan->at = quote + 1;
    return true;
}

bool
pgw_json_scan_member(struct pgw_json_scan *scan, struct pgw_json_text *name)
{
    return next(scan, '}') && take_string(scan, name) &&
           (take(scan, ':') || fail(scan));
}

bool
pgw_json_scan_item(struct pgw_json_scan *scan)
{
    return next(scan, ']');
}

/* A number or one of the three words; @out receives where it stands. */
static bool
take_word(struct pgw_json_scan *scan, struct pgw_json_text *out)
{
    skip_space(scan);
    *out = (struct pgw_json_text){.start = scan->at};
    while (scan->at < scan->end &&
           (g_ascii_isalnum(*scan->at) || *scan->at == '-' ||
            *scan->at == '+' || *scan->at == '.')) {
        scan->at++;
    }
    out->size = (size_t)(scan->at - out->start);
    if (out->size == 0 ||
        (!g_ascii_isdigit(*out->start) && *out->start != '-' &&
         !pgw_json_text_is(out, "true") && !pgw_json_text_is(out, "false") &&
         !pgw_json_text_is(out, "null"))) {
        return fail(scan);
    }
    return true;
}

void
pgw_json_scan_skip(struct pgw_json_scan *scan)
{
    struct pgw_json_text text;

    if (pgw_json_scan_is(scan, '"')) {
        take_string(scan, &text);
    }
    else if (pgw_json_scan_is(scan, '{')) {
        pgw_json_scan_enter(scan, '{');
        while (pgw_json_scan_member(scan, &text)) {
            pgw_json_scan_skip(scan);
        }
    }
    else if (pgw_json_scan_is(scan, '[')) {
        pgw_json_scan_enter(scan, '[');
        while (pgw_json_scan_item(scan)) {
            pgw_json_scan_skip(scan);
        }
    }
    else {
        take_word(scan, &text);
    }
}

void
pgw_json_scan_text(struct pgw_json_scan *scan, struct pgw_json_text *out)
{
    *out = (struct pgw_json_text){.start = ""};
    if (pgw_json_scan_is(scan, '"')) {
        take_string(scan, out);
    }
    else {
        pgw_json_scan_skip(scan);
    }
}

uint64_t
pgw_json_scan_uint(struct pgw_json_scan *scan)
{
    struct pgw_json_text word;
    uint64_t value = 0;

    skip_space(scan);
    if (scan->at == scan->end || !g_ascii_isdigit(*scan->at)) {
        pgw_json_scan_skip(scan);
        return 0;
    }
    take_word(scan, &word);
    for (size_t i = 0; i < word.size; i++) {
        if (!g_ascii_isdigit(word.start[i]) ||
            value > (G_MAXUINT64 - 9) / 10) {
            return 0;
        }
        value = value * 10 + (uint64_t)(word.start[i] - '0');
    }
    return value;
}

/* The library's conversion copies, looks at the locale's tables and was a
 * quarter of the time of a list. Negative for anything but a digit. */
static int
hex_digit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    c |= 0x20;
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

uint64_t
pgw_json_scan_hex(struct pgw_json_scan *scan)
{
    struct pgw_json_text text;
    uint64_t value = 0;

    pgw_json_scan_text(scan, &text);
    if (text.size > HEX_DIGITS_MAX) {
        return 0;
    }
    for (size_t i = 0; i < text.size; i++) {
        int digit = hex_digit(text.start[i]);

        if (digit < 0) {
            return 0;
        }
        value = value << 4 | (uint64_t)digit;
    }
    return value;
}

bool
pgw_json_scan_done(struct pgw_json_scan *scan)
{
    skip_space(scan);
    return !scan->broken && scan->depth == 0 && scan->at == scan->end;
}

bool
pgw_json_text_is(const struct pgw_json_text *text, const char *word)
{
    return !text->escaped && text->size == strlen(word) &&
           memcmp(text->start, word, text->size) == 0;
}

char *
pgw_json_text_dup(const struct pgw_json_text *text)
{
    char *list;
    char *out = NULL;
    JsonNode *root = NULL;

    if (!text->escaped) {
        return g_strndup(text->start, text->size);
    }
    list = g_strdup_printf("[\"%.*s\"]", (int)text->size, text->start);
    if (pgw_json_parse(&root, list, strlen(list), "text", NULL)) {
        out = g_strdup(
            json_array_get_string_element(json_node_get_array(root), 0));
    }
    g_clear_pointer(&root, json_node_unref);
    g_free(list);
    return out == NULL ? g_strdup("") : out;
}
