#include "util/log_line.h"
#include <string.h>

/* Where a line of ours begins behind a collector's prefix; NULL: nowhere. */
static const char *
find_start(const char *text, size_t size)
{
    static const char mark[] = "ts=";
    const char *at = text;

    while ((at = g_strstr_len(at, (gssize)(size - (size_t)(at - text)),
                              mark)) != NULL) {
        if (at == text || at[-1] == ' ' || at[-1] == '\t') {
            return at;
        }
        at += strlen(mark);
    }
    return NULL;
}

/* Undoes one escape of pgw_log_append_value(); returns what follows it, NULL
 * when it is cut. */
static char *
read_escape(char *at, char *out)
{
    int high;
    int low;

    switch (*at) {
    case '"':
    case '\\':
        *out = *at;
        return at + 1;
    case 'n':
        *out = '\n';
        return at + 1;
    case 'x':
        high = g_ascii_xdigit_value(at[1]);
        low = high < 0 ? -1 : g_ascii_xdigit_value(at[2]);
        if (low < 0 || (high == 0 && low == 0)) {
            return NULL;
        }
        *out = (char)(high * 16 + low);
        return at + 3;
    default:
        return NULL;
    }
}

/* A quoted value, unquoted in place; @at stands behind the first quote.
 * Returns what follows the last one, NULL when it is cut. */
static char *
read_quoted(char *at)
{
    char *out = at;

    while (*at != '"') {
        if (*at == '\0') {
            return NULL;
        }
        if (*at != '\\') {
            *out++ = *at++;
            continue;
        }
        at = read_escape(at + 1, out++);
        if (at == NULL) {
            return NULL;
        }
    }
    *out = '\0';
    return at + 1;
}

/* Reads one pair; returns what follows it, NULL when there is none. */
static char *
read_pair(struct pgw_log_pair *out, char *at)
{
    char *equals = at + strcspn(at, "= \"");

    if (*equals != '=' || equals == at) {
        return NULL;
    }
    *equals = '\0';
    out->key = at;
    at = equals + 1;
    if (*at == '"') {
        out->value = at + 1;
        at = read_quoted(at + 1);
        if (at == NULL || (*at != ' ' && *at != '\0')) {
            return NULL;
        }
        return at + strspn(at, " ");
    }
    out->value = at;
    at += strcspn(at, " ");
    if (*at != '\0') {
        *at++ = '\0';
    }
    return at + strspn(at, " ");
}

static bool
read_time(int64_t *out, const char *text)
{
    GTimeZone *utc = g_time_zone_new_utc();
    GDateTime *time = g_date_time_new_from_iso8601(text, utc);

    g_time_zone_unref(utc);
    if (time == NULL) {
        return false;
    }
    *out = g_date_time_to_unix(time) * G_USEC_PER_SEC +
           g_date_time_get_microsecond(time);
    g_date_time_unref(time);
    return true;
}

/* The pairs that all lines have, up to the event's name. */
static bool
take_head(struct pgw_log_line *line, const struct pgw_log_pair *pair,
          bool *done)
{
    if (strcmp(pair->key, "ts") == 0) {
        return read_time(&line->ts_us, pair->value);
    }
    if (strcmp(pair->key, "instance") == 0) {
        line->instance = pair->value;
    }
    else if (strcmp(pair->key, "zone") == 0) {
        line->zone = pair->value;
    }
    else if (strcmp(pair->key, "event") == 0) {
        line->event = pair->value;
        *done = true;
    }
    return true;
}

static bool
read_line(struct pgw_log_line *line, char *at)
{
    struct pgw_log_pair pair;
    bool in_head = true;

    line->zone = "";
    while (*at != '\0') {
        bool done = false;

        at = read_pair(&pair, at);
        if (at == NULL || (in_head && !take_head(line, &pair, &done))) {
            return false;
        }
        if (!in_head && line->pair_count < PGW_LOG_LINE_PAIRS_MAX) {
            line->pairs[line->pair_count++] = pair;
        }
        in_head = in_head && !done;
    }
    return line->ts_us > 0 && line->instance != NULL && line->event != NULL;
}

bool
pgw_log_line_parse(struct pgw_log_line **out, const char *text, size_t size)
{
    const char *start = find_start(text, size);
    struct pgw_log_line *line;

    *out = NULL;
    if (start == NULL) {
        return false;
    }
    line = g_new0(struct pgw_log_line, 1);
    line->text = g_strndup(start, size - (size_t)(start - text));
    line->text[strcspn(line->text, "\r\n")] = '\0';
    if (!read_line(line, line->text)) {
        pgw_log_line_free(line);
        return false;
    }
    *out = line;
    return true;
}

void
pgw_log_line_free(struct pgw_log_line *line)
{
    if (line != NULL) {
        g_free(line->text);
        g_free(line);
    }
}

const char *
pgw_log_line_get(const struct pgw_log_line *line, const char *key)
{
    for (size_t i = 0; i < line->pair_count; i++) {
        if (strcmp(line->pairs[i].key, key) == 0) {
            return line->pairs[i].value;
        }
    }
    return NULL;
}

uint64_t
pgw_log_line_number(const struct pgw_log_line *line, const char *key)
{
    const char *value = pgw_log_line_get(line, key);

    return value == NULL ? 0 : g_ascii_strtoull(value, NULL, 10);
}
