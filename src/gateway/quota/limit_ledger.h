#ifndef PGW_GATEWAY_QUOTA_LIMIT_LEDGER_H
#define PGW_GATEWAY_QUOTA_LIMIT_LEDGER_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Grants of the request rates that upstreams accept, at their owners
 *
 * The owner of an upstream's limit is one sidecar: the upstream's own, or for
 * a plain service the sidecar that rendezvous hashing selects. It keeps a
 * token bucket for each limit and grants requests to the entries that ask, so
 * that entries without requests for the upstream take nothing from the others.
 *
 * Nothing is stored. A bucket starts empty, so an owner that has restarted or
 * taken over grants less at first, not more.
 */

struct pgw_limit_ledger;

/**
 * struct pgw_limit_ask - an entry's ask for requests to one upstream
 * @upstream: id of the upstream
 * @per_s: limit that the entry knows, 0: the limit has ended
 * @age_us: time since the upstream stated this to the entry
 * @wanted: number of requests that it would send now
 * @share: share of the limit that may be granted; below 1 if not all entries
 *   are connected to the owner
 */
struct pgw_limit_ask {
    const char *upstream;
    double per_s;
    uint64_t age_us;
    uint32_t wanted;
    double share;
};

/**
 * struct pgw_limit_answer - answer of the owner
 * @granted: number of requests that may be sent
 * @retry_ms: when more can be granted
 * @per_s: limit by the newest statement that any entry has reported
 * @age_us: time since it was stated
 */
struct pgw_limit_answer {
    uint32_t granted;
    uint32_t retry_ms;
    double per_s;
    uint64_t age_us;
};

struct pgw_limit_ledger *pgw_limit_ledger_new(void);
void pgw_limit_ledger_free(struct pgw_limit_ledger *ledger);

/** pgw_limit_ledger_ask() - decide on an ask */
void pgw_limit_ledger_ask(struct pgw_limit_answer *out,
                          struct pgw_limit_ledger *ledger,
                          const struct pgw_limit_ask *ask, uint64_t now_us);

#endif
