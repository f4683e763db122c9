#ifndef PGW_GATEWAY_UPSTREAM_UPSTREAM_NOTICE_H
#define PGW_GATEWAY_UPSTREAM_UPSTREAM_NOTICE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: What an upstream states about itself in an answer
 *
 * An upstream may state in the head of any answer, whatever its status, how
 * much it can take. The statement is about the process that answered, not
 * about the request. It is newer than the platform's list and arrives while
 * the platform's store is unreachable.
 */

struct pgw_upstream;
struct pgw_upstream_table;

/**
 * struct pgw_upstream_notice - statements in the head of one answer
 * @limit: requests a second that the upstream takes from all entries
 *   together, 0: it names no limit
 * @leaving: the upstream will stop and takes no new requests
 * @retry_after_us: the upstream wants no requests from this process for so
 * long, 0: it does not say so
 * @invalid_field: name of a field with an invalid value, which is not used;
 *   NULL: all values are valid
 */
struct pgw_upstream_notice {
    double limit;
    bool leaving;
    uint64_t retry_after_us;
    const char *invalid_field;
};

/**
 * struct pgw_notice_origin - where a notice comes from
 * @source: "answer", "sidecar" or "owner", for logs
 * @asked_us: when the request was sent that the upstream answered
 * @may_be_former: the process that answered may have been replaced since
 */
struct pgw_notice_origin {
    const char *source;
    uint64_t asked_us;
    bool may_be_former;
};

/**
 * pgw_upstream_notice_apply() - update what is known of an upstream
 * @upstream: the upstream that answered
 * @notice: statements in its answer
 * @origin: where they come from
 * @now_us: monotonic time
 *
 * Answers on different connections overtake each other. Therefore only an
 * answer to a request that was sent after a limit was last named ends that
 * limit.
 */
void pgw_upstream_notice_apply(struct pgw_upstream *upstream,
                               const struct pgw_upstream_notice *notice,
                               const struct pgw_notice_origin *origin,
                               uint64_t now_us);

/** pgw_upstream_notice_set_limit() - set the limit of an upstream, as stated
 * at
 * @stated_at_us; 0: it has ended. @source: as in &struct pgw_notice_origin */
void pgw_upstream_notice_set_limit(struct pgw_upstream *upstream, double per_s,
                                   const char *source, uint64_t stated_at_us);

/** pgw_upstream_notice_count_request() - account a request that is sent to an
 * upstream */
void pgw_upstream_notice_count_request(struct pgw_upstream *upstream,
                                       uint64_t now_us);

/** pgw_upstream_notice_register_metrics() - register the gauges */
void pgw_upstream_notice_register_metrics(void);

/** pgw_upstream_notice_update_metrics() - count the upstreams with statements
 */
void pgw_upstream_notice_update_metrics(struct pgw_upstream_table *table,
                                        uint64_t now_us);

#endif
