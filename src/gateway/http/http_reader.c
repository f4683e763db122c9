#include "gateway/http/http_reader.h"
#include <string.h>

static struct pgw_http_reader *
reader_of(http_parser *parser)
{
    return (struct pgw_http_reader *)parser->data;
}

const char *
pgw_http_head_name(const struct pgw_http_head *head, unsigned i)
{
    return head->text->str + head->names[i];
}

const char *
pgw_http_head_value(const struct pgw_http_head *head, unsigned i)
{
    return head->text->str + head->values[i];
}

const char *
pgw_http_head_target(const struct pgw_http_head *head)
{
    return head->text->str + head->target;
}

const char *
pgw_http_head_find(const struct pgw_http_head *head, const char *name)
{
    for (unsigned i = 0; i < head->count; i++) {
        if (g_ascii_strcasecmp(pgw_http_head_name(head, i), name) == 0) {
            return pgw_http_head_value(head, i);
        }
    }
    return NULL;
}

unsigned
pgw_http_head_count(const struct pgw_http_head *head, const char *name)
{
    unsigned found = 0;

    for (unsigned i = 0; i < head->count; i++) {
        found += g_ascii_strcasecmp(pgw_http_head_name(head, i), name) == 0;
    }
    return found;
}

static bool
list_contains(const char *list, const char *name)
{
    size_t name_size = strlen(name);

    while (*list != '\0') {
        size_t token_size;

        list += strspn(list, ", \t");
        token_size = strcspn(list, ", \t");
        if (token_size == name_size &&
            g_ascii_strncasecmp(list, name, token_size) == 0) {
            return true;
        }
        list += token_size;
    }
    return false;
}

bool
pgw_http_head_is_hop_by_hop(const struct pgw_http_head *head, unsigned i)
{
    static const char *const names[] = {
        "Connection", "Keep-Alive", "Proxy-Connection",
        "TE",         "Trailer",    "Transfer-Encoding",
        "Upgrade",    "Expect",     "Content-Length",
        NULL,
    };
    const char *name = pgw_http_head_name(head, i);

    for (unsigned k = 0; names[k] != NULL; k++) {
        if (g_ascii_strcasecmp(name, names[k]) == 0) {
            return true;
        }
    }
    for (unsigned k = 0; k < head->count; k++) {
        if (g_ascii_strcasecmp(pgw_http_head_name(head, k), "Connection") ==
                0 &&
            list_contains(pgw_http_head_value(head, k), name)) {
            return true;
        }
    }
    return false;
}

static int
count_head_bytes(struct pgw_http_reader *reader, size_t size)
{
    reader->head_size += size;
    if (reader->head_size > reader->head_limit) {
        reader->too_large = true;
        return 1;
    }
    return 0;
}

static int
on_url(http_parser *parser, const char *data, size_t size)
{
    struct pgw_http_reader *reader = reader_of(parser);

    g_string_append_len(reader->head.text, data, (gssize)size);
    return count_head_bytes(reader, size);
}

/* Removes white space at the end of the last value. */
static void
trim_last_value(struct pgw_http_reader *reader)
{
    struct pgw_http_head *head = &reader->head;
    uint32_t start;

    if (head->count == 0) {
        return;
    }
    start = head->values[head->count - 1];
    while (head->text->len > start &&
           g_ascii_isspace(head->text->str[head->text->len - 1])) {
        g_string_truncate(head->text, head->text->len - 1);
    }
}

static int
on_field(http_parser *parser, const char *data, size_t size)
{
    struct pgw_http_reader *reader = reader_of(parser);
    struct pgw_http_head *head = &reader->head;

    if (reader->head_done) {
        return 0; /* trailers are not forwarded */
    }
    if (reader->in_value || head->count == 0) {
        trim_last_value(reader);
        if (head->count == PGW_HTTP_FIELDS_MAX) {
            reader->too_large = true;
            return 1;
        }
        g_string_append_c(head->text, '\0');
        head->names[head->count] = (uint32_t)head->text->len;
        head->values[head->count] = 0;
        head->count++;
        reader->in_value = false;
    }
    g_string_append_len(head->text, data, (gssize)size);
    return count_head_bytes(reader, size);
}

static int
on_value(http_parser *parser, const char *data, size_t size)
{
    struct pgw_http_reader *reader = reader_of(parser);
    struct pgw_http_head *head = &reader->head;

    if (reader->head_done) {
        return 0;
    }
    if (!reader->in_value) {
        reader->in_value = true;
        g_string_append_c(head->text, '\0');
        head->values[head->count - 1] = (uint32_t)head->text->len;
    }
    g_string_append_len(head->text, data, (gssize)size);
    /* 4: the separator ": " and the CRLF. */
    return count_head_bytes(reader, size + 4);
}

static bool
is_interim(const http_parser *parser)
{
    return parser->type == HTTP_RESPONSE && parser->status_code < 200;
}

/* The parser library may accept a space before the colon as part of the name.
 * Other implementations then see a different field, which allows request
 * smuggling. */
static bool
is_field_name(const char *name)
{
    return *name != '\0' && strpbrk(name, " \t\r\n:") == NULL;
}

static int
on_headers_complete(http_parser *parser)
{
    struct pgw_http_reader *reader = reader_of(parser);
    struct pgw_http_head *head = &reader->head;

    trim_last_value(reader);
    for (unsigned i = 0; i < head->count; i++) {
        if (head->values[i] == 0) {
            head->values[i] = (uint32_t)head->text->len;
        }
        if (!is_field_name(pgw_http_head_name(head, i))) {
            return -1;
        }
    }
    parser->upgrade = 0;
    head->method = http_method_str((enum http_method)parser->method);
    head->status = parser->status_code;
    head->chunked = (parser->flags & F_CHUNKED) != 0;
    head->has_length = (parser->flags & F_CONTENTLENGTH) != 0;
    head->length = head->has_length ? parser->content_length : 0;
    head->keep_alive = http_should_keep_alive(parser) != 0;
    head->is_http_1_0 = parser->http_major == 1 && parser->http_minor == 0;
    reader->head_done = true;
    if (!is_interim(parser) && !reader->stop) {
        reader->ops->on_head(reader);
    }
    return reader->no_body ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *data, size_t size)
{
    struct pgw_http_reader *reader = reader_of(parser);

    if (!reader->stop) {
        reader->ops->on_body(reader, data, size);
    }
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    struct pgw_http_reader *reader = reader_of(parser);

    http_parser_pause(parser, 1);
    reader->done = true;
    return 0;
}

static const http_parser_settings settings = {
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

static void
reset_head(struct pgw_http_reader *reader)
{
    struct pgw_http_head *head = &reader->head;

    g_string_truncate(head->text, 0);
    head->count = 0;
    head->target = 0;
    head->status = 0;
    reader->head_size = 0;
    reader->in_value = false;
    reader->head_done = false;
    reader->done = false;
    reader->status = (struct pgw_http_status){0};
}

void
pgw_http_reader_init(struct pgw_http_reader *reader, bool answers,
                     size_t head_limit, const struct pgw_http_reader_ops *ops)
{
    memset(reader, 0, sizeof(*reader));
    http_parser_init(&reader->parser, answers ? HTTP_RESPONSE : HTTP_REQUEST);
    reader->parser.data = reader;
    reader->ops = ops;
    reader->head_limit = head_limit;
    reader->head.text = g_string_sized_new(512);
    reset_head(reader);
}

void
pgw_http_reader_next(struct pgw_http_reader *reader)
{
    enum http_parser_type type = (enum http_parser_type)reader->parser.type;

    http_parser_init(&reader->parser, type);
    reader->parser.data = reader;
    reader->no_body = false;
    reader->stop = false;
    reader->too_large = false;
    reset_head(reader);
}

void
pgw_http_reader_dispose(struct pgw_http_reader *reader)
{
    if (reader->head.text != NULL) {
        g_string_free(reader->head.text, TRUE);
        reader->head.text = NULL;
    }
}

enum pgw_http_result
pgw_http_reader_feed(size_t *consumed, struct pgw_http_reader *reader,
                     const char *data, size_t size)
{
    static const char no_data[1];
    size_t total = 0;

    do {
        enum http_errno error;

        if (reader->parser.type == HTTP_RESPONSE && data != NULL &&
            !pgw_http_status_feed(&reader->status, data + total,
                                  size - total)) {
            *consumed = total;
            return PGW_HTTP_BAD;
        }
        total += http_parser_execute(&reader->parser, &settings,
                                     data == NULL ? no_data : data + total,
                                     size - total);
        error = HTTP_PARSER_ERRNO(&reader->parser);
        *consumed = total;
        if (error != HPE_OK && error != HPE_PAUSED) {
            return reader->too_large ? PGW_HTTP_TOO_LARGE : PGW_HTTP_BAD;
        }
        if (!reader->done) {
            return PGW_HTTP_MORE;
        }
        if (!is_interim(&reader->parser)) {
            if (!reader->stop) {
                reader->ops->on_done(reader);
            }
            return PGW_HTTP_DONE;
        }
        /* An interim answer (1xx) is skipped; the final answer follows. */
        bool no_body = reader->no_body;

        pgw_http_reader_next(reader);
        reader->no_body = no_body;
    } while (total < size);
    return PGW_HTTP_MORE;
}
