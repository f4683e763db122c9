#include "entry/exchange.h"
#include "entry/upstream.h"
#include "util/hex.h"
#include "util/json_text.h"

#define SSE_TYPE "text/event-stream"
#define JSON_TYPE "application/json"
/* A plain answer is collected whole before its status is sent, so that it is
 * never cut short under a 200; one beyond this is refused. */
#define SERVICE_ANSWER_MAX ((gsize)16 << 20)

static bool
is_stream(const struct exchange *exchange)
{
    return exchange->format != FORMAT_SERVICE && exchange->request.stream;
}

static void
append_head(GString *out, const struct exchange *exchange, const char *object)
{
    char id[PGW_REQUEST_ID_TEXT_SIZE];

    pgw_request_id_format(id, &exchange->id);
    g_string_append_printf(
        out,
        "{\"id\":\"%s\",\"object\":\"%s\",\"created\":%" G_GINT64_FORMAT
        ",\"model\":",
        id, object, exchange->wall);
    pgw_json_append_text(out, exchange->request.profile);
    g_string_append(out, ",\"choices\":[{\"index\":0,");
}

static void
append_usage(GString *out, const struct exchange *exchange)
{
    g_string_append_printf(
        out,
        ",\"usage\":{\"prompt_tokens\":%u,\"completion_tokens\":%u,"
        "\"total_tokens\":%u,\"prompt_tokens_details\":{\"cached_tokens\":%u}"
        "}",
        exchange->prompt_tokens, exchange->completion_tokens,
        exchange->prompt_tokens + exchange->completion_tokens,
        exchange->cached_tokens);
}

static void
append_reason(GString *out, const char *reason)
{
    g_string_append(out, ",\"finish_reason\":");
    if (reason == NULL) {
        g_string_append(out, "null");
    }
    else {
        pgw_json_append_text(out, reason);
    }
    g_string_append(out, "}]");
}

static void
append_text(GString *out, const struct exchange *exchange, const char *chat,
            const char *text, gsize size)
{
    if (exchange->format == FORMAT_CHAT) {
        g_string_append_printf(
            out, "\"%s\":{\"role\":\"assistant\",\"content\":", chat);
        pgw_json_append_string(out, text, size);
        g_string_append_c(out, '}');
    }
    else {
        g_string_append(out, "\"text\":");
        pgw_json_append_string(out, text, size);
    }
}

static void
send_event(struct exchange *exchange, const char *text, gsize size,
           const char *reason)
{
    GString *out = g_string_sized_new(size + 256);

    g_string_append(out, "data: ");
    append_head(out, exchange,
                exchange->format == FORMAT_CHAT ? "chat.completion.chunk"
                                                : "text_completion");
    append_text(out, exchange, "delta", text, size);
    append_reason(out, reason);
    if (reason != NULL) {
        append_usage(out, exchange);
    }
    g_string_append(out, "}\n\n");
    if (reason != NULL) {
        g_string_append(out, "data: [DONE]\n\n");
    }
    exchange_append(exchange, out->str, out->len);
    g_string_free(out, TRUE);
}

/* The HTTP server would close the connection without a word. */
static void
refuse_status(struct exchange *exchange, uint32_t status)
{
    struct refusal refusal = {0};

    refusal_set(&refusal, PGW_REFUSAL_UPSTREAM_FAILED, PGW_RAN_UNKNOWN, 0,
                "the sidecar told of HTTP status %u, which no answer has",
                status);
    forward_refuse(exchange, &refusal);
    refusal_dispose(&refusal);
}

void
relay_start(struct exchange *exchange, const Pgw__Started *started)
{
    bool first = exchange->first_token_us == 0;

    if (first) {
        exchange->first_token_us = pgw_now_us();
    }
    /* A resumed attempt's prompt holds the delivered text, too. */
    if (exchange->resume_from == 0) {
        exchange->prompt_tokens = started->prompt_tokens;
        exchange->cached_tokens = started->cached_tokens;
    }
    exchange_set_upstream(exchange, exchange->target->id);
    if (exchange->format == FORMAT_SERVICE &&
        (started->status < 200 || started->status > 599)) {
        refuse_status(exchange, started->status);
    }
    else if (exchange->format == FORMAT_SERVICE) {
        exchange->service_status = started->status;
        g_free(exchange->service_type);
        exchange->service_type = g_strdup(started->content_type);
    }
    else if (is_stream(exchange) && first) {
        exchange_begin_output(exchange, MHD_HTTP_OK, SSE_TYPE);
    }
}

static void
refuse_too_large(struct exchange *exchange)
{
    struct refusal refusal = {0};

    refusal_set(&refusal, PGW_REFUSAL_TOO_LARGE, PGW_RAN_YES, 0,
                "the service's answer is larger than %zu bytes",
                SERVICE_ANSWER_MAX);
    forward_refuse(exchange, &refusal);
    refusal_dispose(&refusal);
}

void
relay_data(struct exchange *exchange, const Pgw__Data *data)
{
    const char *text = (const char *)data->data.data;

    if (exchange->format == FORMAT_SERVICE &&
        exchange->text->len + data->data.len > SERVICE_ANSWER_MAX) {
        refuse_too_large(exchange);
        return;
    }
    g_string_append_len(exchange->text, text, (gssize)data->data.len);
    if (is_stream(exchange)) {
        send_event(exchange, text, data->data.len, NULL);
    }
    forward_received(exchange, PGW_DATA_WINDOW_COST(data->data.len));
}

void
relay_restart(struct exchange *exchange)
{
    g_string_truncate(exchange->text, 0);
}

static void
answer_whole(struct exchange *exchange, const char *reason)
{
    GString *out = g_string_sized_new(exchange->text->len + 512);

    append_head(out, exchange,
                exchange->format == FORMAT_CHAT ? "chat.completion"
                                                : "text_completion");
    append_text(out, exchange, "message", exchange->text->str,
                exchange->text->len);
    append_reason(out, reason);
    append_usage(out, exchange);
    g_string_append_c(out, '}');
    exchange_answer(exchange, MHD_HTTP_OK, JSON_TYPE, 0, out->str, out->len);
    g_string_free(out, TRUE);
}

void
relay_end(struct exchange *exchange, const Pgw__End *end)
{
    /* Counted here, because a resumed answer came from several engines. */
    exchange->completion_tokens = exchange->attempt.tokens;
    if (exchange->format == FORMAT_SERVICE) {
        exchange_answer(exchange, exchange->service_status,
                        exchange->service_type, 0, exchange->text->str,
                        exchange->text->len);
    }
    else if (is_stream(exchange)) {
        send_event(exchange, "", 0, end->finish_reason);
        exchange_finish_output(exchange, false);
    }
    else {
        answer_whole(exchange, end->finish_reason);
    }
}

void
relay_refuse(struct exchange *exchange, const struct refusal *refusal)
{
    char *body = refusal_render(refusal);
    GString *event;

    if (exchange->output.status == 0) {
        exchange_answer(exchange, pgw_refusal_status(refusal->code), JSON_TYPE,
                        refusal->retry_after_ms, body, strlen(body));
    }
    else {
        /* The status is long sent: an error event and no "[DONE]" tell the
         * caller that the answer is not whole. */
        event = g_string_new("event: error\ndata: ");
        g_string_append(event, body);
        g_string_append(event, "\n\n");
        exchange_append(exchange, event->str, event->len);
        exchange_finish_output(exchange, false);
        g_string_free(event, TRUE);
    }
    g_free(body);
}
