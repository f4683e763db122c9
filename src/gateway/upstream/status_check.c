#include "gateway/upstream/status_check.h"
#include "util/log.h"
#include <string.h>

/* A busy plain service queues a check for some tens of milliseconds. */
#define TIMEOUT_US 500000
/* Only the head of the answer matters. */
#define ANSWER_BYTES_MAX ((size_t)64 * 1024)
/* A kept connection may have been closed by the upstream, idle or ended. */
#define ATTEMPTS_MAX 3

static struct pgw_status_check *
check_of(struct pgw_call *call)
{
    return pgw_container_of(call, struct pgw_status_check, call);
}

static void
reset(struct pgw_status_check *check)
{
    pgw_upstream_unref(check->upstream);
    check->upstream = NULL;
    g_free(check->path);
    check->path = NULL;
}

static void
finish(struct pgw_status_check *check, enum pgw_upstream_status status)
{
    static const char *const names[] = {
        [PGW_UPSTREAM_WELL] = "well",
        [PGW_UPSTREAM_BUSY] = "busy",
        [PGW_UPSTREAM_ENDED] = "ended",
    };

    pgw_log_info("status_check", "upstream=%s status=%s", check->upstream->id,
                 names[status]);
    reset(check);
    check->on_result(check, status);
}

static bool
on_head(struct pgw_call *call, const struct pgw_http_head *head)
{
    struct pgw_status_check *check = check_of(call);
    struct pgw_answer_facts facts = {0};
    uint64_t now_us = pgw_now_us();

    check->codec->read_answer(&facts, head);
    /* A late answer to an earlier request on this connection. */
    if (facts.id != NULL) {
        return false;
    }
    if (facts.instance != NULL &&
        strcmp(facts.instance, check->upstream->id) != 0) {
        check->status = PGW_UPSTREAM_ENDED;
        return true;
    }
    check->status =
        head->status == 200 ? PGW_UPSTREAM_WELL : PGW_UPSTREAM_BUSY;
    check->upstream->answered_us = now_us;
    pgw_upstream_mark_answering(check->upstream, now_us);
    if (facts.has_load) {
        pgw_upstream_update_load(check->upstream, &facts.load, now_us);
    }
    return true;
}

static void
on_body(struct pgw_call *call, const char *data, size_t size)
{
    (void)call;
    (void)data;
    (void)size;
}

static void
on_done(struct pgw_call *call)
{
    finish(check_of(call), check_of(call)->status);
}

static bool
send_check(struct pgw_status_check *check)
{
    GString *bytes = g_string_sized_new(128);
    struct pgw_call_options options = {
        .address = &check->upstream->address,
        .timeout_us = TIMEOUT_US,
        .body_max = ANSWER_BYTES_MAX,
        .alone = true,
    };
    bool started;

    check->codec->write_status_check(bytes, check->path,
                                     check->upstream->address_text);
    options.bytes = bytes->str;
    options.size = bytes->len;
    check->attempts++;
    started = pgw_call_start(&check->call, check->pool, &options);
    g_string_free(bytes, TRUE);
    return started;
}

static void
on_failed(struct pgw_call *call, enum pgw_call_failure why)
{
    struct pgw_status_check *check = check_of(call);
    bool was_idle = why == PGW_CALL_CLOSED && call->reused && !call->answered;

    if (was_idle && check->attempts < ATTEMPTS_MAX && send_check(check)) {
        return;
    }
    finish(check, call->refused ? PGW_UPSTREAM_ENDED : PGW_UPSTREAM_BUSY);
}

static const struct pgw_call_ops check_ops = {
    .on_head = on_head,
    .on_body = on_body,
    .on_done = on_done,
    .on_failed = on_failed,
};

bool
pgw_status_check_start(struct pgw_status_check *check,
                       struct pgw_call_pool *pool,
                       const struct pgw_codec *codec,
                       struct pgw_upstream *upstream, const char *path)
{
    check->upstream = pgw_upstream_ref(upstream);
    check->pool = pool;
    check->codec = codec;
    check->path = g_strdup(path);
    check->attempts = 0;
    check->call.ops = &check_ops;
    if (!send_check(check)) {
        reset(check);
        return false;
    }
    return true;
}

void
pgw_status_check_cancel(struct pgw_status_check *check)
{
    if (pgw_status_check_is_running(check)) {
        pgw_call_cancel(&check->call);
        reset(check);
    }
}
