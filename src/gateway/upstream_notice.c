#include "gateway/upstream_notice.h"
#include "gateway/upstream_table.h"
#include "util/log.h"

/* Changes of a limit are logged at most this often. */
#define CHANGE_LOG_INTERVAL_US 1000000

static void
set_limit(struct pgw_upstream *upstream, double limit, const char *source,
          uint64_t now_us)
{
    double before = upstream->limit;

    upstream->limit = limit;
    if (limit == before ||
        (limit > 0 && before > 0 &&
         now_us - upstream->limit_logged_us < CHANGE_LOG_INTERVAL_US)) {
        return;
    }
    upstream->limit_logged_us = now_us;
    pgw_log_info("upstream_limit",
                 "upstream=%s per_s=%.3f before=%.3f source=%s", upstream->id,
                 limit, before, source);
}

void
pgw_upstream_notice_apply(struct pgw_upstream *upstream,
                          const struct pgw_upstream_notice *notice,
                          const struct pgw_notice_origin *origin,
                          uint64_t now_us)
{
    if (notice->invalid_field != NULL) {
        pgw_log_warning("notice_invalid", "upstream=%s field=%s source=%s",
                        upstream->id, notice->invalid_field, origin->source);
    }
    if (notice->limit > 0) {
        upstream->limit_heard_us = now_us;
        set_limit(upstream, notice->limit, origin->source, now_us);
    }
    else if (notice->invalid_field == NULL &&
             origin->asked_us > upstream->limit_heard_us) {
        set_limit(upstream, 0, origin->source, now_us);
    }
}
