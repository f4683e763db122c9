#include "json_slice.h"

#include <glib.h>
#include <string.h>

static const char *
skip_space(const char *at, const char *end)
{
    while (at < end && g_ascii_isspace(*at)) {
        at++;
    }
    return at;
}

/* @at is the opening quote. Returns the position after the closing quote. */
static const char *
skip_string(const char *at, const char *end)
{
    for (at++; at < end && *at != '"'; at++) {
        if (*at == '\\') {
            at++;
        }
    }
    return at < end ? at + 1 : end;
}

/* Returns the position after the value that starts at @at. */
static const char *
skip_value(const char *at, const char *end)
{
    size_t depth = 0;

    while (at < end) {
        if (*at == '"') {
            at = skip_string(at, end);
            continue;
        }
        if (*at == '[' || *at == '{') {
            depth++;
        }
        else if (*at == ']' || *at == '}') {
            if (depth == 0) {
                return at;
            }
            depth--;
        }
        else if (*at == ',' && depth == 0) {
            return at;
        }
        at++;
    }
    return end;
}

bool
pgw_json__slice_member(const char **out, size_t *out_size, const char *text,
                       size_t size, const char *member)
{
    const char *end = text + size;
    const char *at = skip_space(text, end);
    size_t member_length = strlen(member);

    if (at == end || *at != '{') {
        return false;
    }
    at = skip_space(at + 1, end);
    while (at < end && *at == '"') {
        const char *name = at + 1;

        at = skip_string(at, end);
        size_t name_length = (size_t)(at - name) - 1;

        at = skip_space(at, end);
        if (at == end || *at != ':') {
            return false;
        }
        at = skip_space(at + 1, end);
        *out = at;
        at = skip_value(at, end);
        if (name_length == member_length &&
            memcmp(name, member, member_length) == 0) {
            *out_size = (size_t)(at - *out);
            return *out_size > 0;
        }
        if (at < end && *at == ',') {
            at = skip_space(at + 1, end);
        }
    }
    return false;
}

bool
pgw_json__slice_init(struct pgw_json__slice *slice, const char *text,
                     size_t size, const char *member)
{
    const char *array;
    size_t array_size;

    if (!pgw_json__slice_member(&array, &array_size, text, size, member) ||
        *array != '[') {
        return false;
    }
    *slice =
        (struct pgw_json__slice){.next = array + 1, .end = array + array_size};
    return true;
}

bool
pgw_json__slice_next(struct pgw_json__slice *slice, const char **text,
                     size_t *size)
{
    const char *at = skip_space(slice->next, slice->end);

    if (at < slice->end && *at == ',') {
        at = skip_space(at + 1, slice->end);
    }
    if (at == slice->end || *at == ']') {
        slice->next = at;
        return false;
    }
    slice->next = skip_value(at, slice->end);
    *text = at;
    *size = (size_t)(slice->next - at);
    return *size > 0;
}

bool
pgw_json__slice_flag(const char *text, size_t size, const char *member)
{
    const char *value;
    size_t value_size;

    return pgw_json__slice_member(&value, &value_size, text, size, member) &&
           value_size >= strlen("true") &&
           strncmp(value, "true", strlen("true")) == 0;
}
