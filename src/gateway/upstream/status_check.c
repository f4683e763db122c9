#include "gateway/upstream/status_check.h"
#include "util/log.h"
#include <string.h>

/* A busy plain service queues a check for some tens of milliseconds. */
#define TIMEOUT_US 500000
/* Only the head of the answer matters. */
#define ANSWER_BYTES_MAX ((size_t)64 * 1024)

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

static void
on_failed(struct pgw_call *call, enum pgw_call_failure why)
{
    struct pgw_status_check *check = check_of(call);

    (void)why;
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
    GString *bytes = g_string_sized_new(128);
    struct pgw_call_options options = {
        .address = &upstream->address,
        .timeout_us = TIMEOUT_US,
        .body_max = ANSWER_BYTES_MAX,
        .alone = true,
    };
    bool started;

    check->upstream = pgw_upstream_ref(upstream);
    check->codec = codec;
    check->call.ops = &check_ops;
    codec->write_status_check(bytes, path, upstream->address_text);
    options.bytes = bytes->str;
    options.size = bytes->len;
    started = pgw_call_start(&check->call, pool, &options);
    if (!started) {
        reset(check);
    }
    g_string_free(bytes, TRUE);
    return started;
}

void
pgw_status_check_cancel(struct pgw_status_check *check)
{
    if (pgw_status_check_is_running(check)) {
        pgw_call_cancel(&check->call);
        reset(check);
    }
}
