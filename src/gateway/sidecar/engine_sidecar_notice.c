#include "gateway/sidecar/engine_sidecar_internal.h"

/* Share of the limit for the entries that are connected: the others, which
 * cannot ask, each use an equal share of their own. */
static double
connected_share(const struct pgw_engine_sidecar *sidecar, uint32_t entries)
{
    unsigned connected = pgw_engine_sidecar_entry_count(sidecar);

    return entries > connected ? (double)connected / entries : 1;
}

void
pgw_engine_sidecar_handle_limit_ask(struct pgw_connected_entry *entry,
                                    const Pgw__LimitAsk *ask)
{
    Pgw__LimitAnswer message = PGW__LIMIT_ANSWER__INIT;
    struct pgw_limit_answer answer;
    struct pgw_limit_ask request = {
        .upstream = ask->upstream,
        .per_s = ask->per_s,
        .age_us = ask->age_us,
        .wanted = ask->wanted,
        .share = connected_share(entry->sidecar, ask->entries),
    };

    pgw_limit_ledger_ask(&answer, entry->sidecar->limits, &request,
                         pgw_now_us());
    message.upstream = ask->upstream;
    message.granted = answer.granted;
    message.retry_ms = answer.retry_ms;
    message.per_s = answer.per_s;
    message.age_us = answer.age_us;
    pgw_link_send(entry->link, PGW_FRAME_LIMIT_ANSWER, &message.base);
}

void
pgw_engine_sidecar_read_notice(struct pgw_engine_sidecar *sidecar,
                               enum pgw_sidecar_call call,
                               const struct pgw_http_head *head)
{
    struct pgw_upstream_notice notice = {0};

    sidecar->options.codec->read_notice(&notice, head);
    sidecar->backoff_until_us[call] = MAX(
        sidecar->backoff_until_us[call], pgw_now_us() + notice.retry_after_us);
    /* Orders are too rare for a statement in their answers to be current. */
    if (notice.invalid_field == NULL && call != PGW_SIDECAR_CALL_ORDER) {
        sidecar->notices[call] = notice;
    }
}

uint64_t
pgw_engine_sidecar_backoff_us(const struct pgw_engine_sidecar *sidecar,
                              enum pgw_sidecar_call call)
{
    uint64_t now_us = pgw_now_us();

    return sidecar->backoff_until_us[call] > now_us
               ? sidecar->backoff_until_us[call] - now_us
               : 0;
}

/* Engines may state something in answers to one kind of call only. */
double
pgw_engine_sidecar_limit(const struct pgw_engine_sidecar *sidecar)
{
    for (size_t i = 0; i < PGW_SIDECAR_CALL_COUNT; i++) {
        if (sidecar->notices[i].limit > 0) {
            return sidecar->notices[i].limit;
        }
    }
    return 0;
}

bool
pgw_engine_sidecar_is_leaving(const struct pgw_engine_sidecar *sidecar)
{
    for (size_t i = 0; i < PGW_SIDECAR_CALL_COUNT; i++) {
        if (sidecar->notices[i].leaving) {
            return true;
        }
    }
    return sidecar->report.leaving;
}
