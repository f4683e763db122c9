#include "gateway/upstream/upstream_notice.h"
#include "gateway/upstream/upstream_table.h"
#include "util/log.h"
#include "util/metric.h"

/* Changes of a limit are logged at most this often. */
#define CHANGE_LOG_INTERVAL_US 1000000
/* An upstream whose backoff has ended gets one request per interval until it
 * answers. Longer, and requests queue while it may be idle. */
#define TRIAL_INTERVAL_US 300000

static struct pgw_metric_gauge limited_upstreams = {
    .name = "pgw_gateway_limited_upstreams",
    .help = "Upstreams that name a limit of requests a second",
};
static struct pgw_metric_gauge leaving_upstreams = {
    .name = "pgw_gateway_said_leaving_upstreams",
    .help = "Upstreams that state in their answers that they are draining",
};
static struct pgw_metric_gauge backoff_upstreams = {
    .name = "pgw_gateway_backoff_upstreams",
    .help = "Upstreams that want no requests from this entry for a time",
};

void
pgw_upstream_notice_register_metrics(void)
{
    pgw_metric_register_gauge(&limited_upstreams);
    pgw_metric_register_gauge(&leaving_upstreams);
    pgw_metric_register_gauge(&backoff_upstreams);
}

void
pgw_upstream_notice_update_metrics(struct pgw_upstream_table *table,
                                   uint64_t now_us)
{
    unsigned limited = 0;
    unsigned leaving = 0;
    unsigned in_backoff = 0;

    pgw_list_foreach (link, pgw_upstream_table_all(table)) {
        const struct pgw_upstream *upstream =
            pgw_container_of(link, struct pgw_upstream, in_table);

        limited += upstream->stated.limit.per_s > 0;
        leaving += upstream->stated.leaving ||
                   now_us < upstream->stated.leaving_until_us;
        in_backoff += now_us < upstream->stated.backoff_until_us;
    }
    pgw_metric_gauge_set(&limited_upstreams, limited);
    pgw_metric_gauge_set(&leaving_upstreams, leaving);
    pgw_metric_gauge_set(&backoff_upstreams, in_backoff);
}

void
pgw_upstream_notice_set_limit(struct pgw_upstream *upstream, double per_s,
                              const char *source, uint64_t stated_at_us)
{
    double before = upstream->stated.limit.per_s;

    pgw_limit_share_set(&upstream->stated.limit, per_s, stated_at_us);
    if (per_s == before || (per_s > 0 && before > 0 &&
                            stated_at_us - upstream->stated.limit.logged_us <
                                CHANGE_LOG_INTERVAL_US)) {
        return;
    }
    upstream->stated.limit.logged_us = stated_at_us;
    pgw_log_info("upstream_limit",
                 "upstream=%s per_s=%.3f before=%.3f source=%s", upstream->id,
                 per_s, before, source);
}

/* A time that ends earlier than the one that the upstream named before does
 * not end that one. */
static void
extend_backoff(struct pgw_upstream *upstream, uint64_t retry_after_us,
               const char *source, uint64_t now_us)
{
    uint64_t until_us = now_us + retry_after_us;

    if (until_us <= upstream->stated.backoff_until_us) {
        return;
    }
    if (now_us >= upstream->stated.backoff_until_us) {
        pgw_log_info("upstream_backoff",
                     "upstream=%s backoff_ms=%" G_GUINT64_FORMAT " source=%s",
                     upstream->id, retry_after_us / 1000, source);
    }
    upstream->stated.backoff_until_us = until_us;
    upstream->stated.recovering = true;
}

void
pgw_upstream_notice_count_request(struct pgw_upstream *upstream,
                                  uint64_t now_us)
{
    pgw_limit_share_take(&upstream->stated.limit, now_us);
    if (upstream->stated.recovering) {
        upstream->stated.next_trial_us = now_us + TRIAL_INTERVAL_US;
    }
}

void
pgw_upstream_notice_apply(struct pgw_upstream *upstream,
                          const struct pgw_upstream_notice *notice,
                          const struct pgw_notice_origin *origin,
                          uint64_t now_us)
{
    const struct pgw_limit_share *limit = &upstream->stated.limit;

    if (notice->invalid_field != NULL) {
        pgw_log_warning("notice_invalid", "upstream=%s field=%s source=%s",
                        upstream->id, notice->invalid_field, origin->source);
    }
    if (notice->leaving && !upstream->stated.leaving) {
        upstream->stated.leaving = true;
        if (origin->may_be_former) {
            pgw_upstream_statements_expire(&upstream->stated, now_us);
        }
        pgw_log_info("upstream_leaving", "upstream=%s source=%s", upstream->id,
                     origin->source);
    }
    if (notice->retry_after_us > 0) {
        extend_backoff(upstream, notice->retry_after_us, origin->source,
                       now_us);
    }
    else if (origin->asked_us >= upstream->stated.backoff_until_us) {
        upstream->stated.recovering = false;
    }
    if (notice->limit > 0) {
        pgw_upstream_notice_set_limit(upstream, notice->limit, origin->source,
                                      now_us);
    }
    else if (notice->invalid_field == NULL && limit->per_s > 0 &&
             origin->asked_us > limit->stated_at_us) {
        pgw_upstream_notice_set_limit(upstream, 0, origin->source, now_us);
    }
}
