#include "sidecar/gate.h"

/* Beyond this an answer is too large to be recorded and replayed anyway. */
#define RECORD_MAX ((guint)1 << 20)
/* A call that may not be repeated goes on after its deadline, so that its
 * record tells whether it ran; a service that never answers must not keep the
 * place for ever. */
#define SERVICE_GRACE_MS 60000L

static void
service_start(struct run *run)
{
    const Pgw__Open *open = run->open;
    char *url =
        g_strconcat(run->sidecar->settings->upstream_url, open->path, NULL);
    char *key = g_strconcat("Idempotency-Key: ", open->idempotency_key, NULL);
    const char *headers[] = {
        open->idempotency_key[0] == '\0' ? NULL : key,
        NULL,
    };
    struct pgw_transfer_options options = {
        .method = open->method,
        .url = url,
        .content_type =
            open->content_type[0] == '\0' ? NULL : open->content_type,
        .headers = headers,
        .body = open->body.data,
        .body_size = open->body.len,
        .timeout_ms = (long)open->deadline_ms + SERVICE_GRACE_MS,
    };

    run->transfer = pgw_transfer_start(run->sidecar->transfers, &options,
                                       &run_transfer_ops, run);
    g_free(key);
    g_free(url);
}

static void
service_head(struct run *run, long status)
{
    const char *type = pgw_transfer_header(run->transfer, "Content-Type");

    (void)status;
    run->content_type = g_strdup(type == NULL ? "" : type);
    run_send_started(run, run->content_type, "", 0);
}

static bool
service_body(struct run *run, const uint8_t *data, size_t size)
{
    if (run->answer != NULL && run->answer->len <= RECORD_MAX) {
        g_byte_array_append(run->answer, data, (guint)size);
    }
    run_send_data(run, data, size, 0, 0);
    return true;
}

static bool
service_complete(struct run *run)
{
    /* An answer without a body never came by service_body(). */
    if (run->state != RUN_STARTED && run->status != 0) {
        run_send_started(run, "", "", 0);
    }
    return run->state == RUN_STARTED;
}

const struct run_call run_call_service = {
    .start = service_start,
    .head = service_head,
    .body = service_body,
    .complete = service_complete,
};
