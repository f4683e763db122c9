#include "gateway/zone_balance.h"
#include "gateway/upstream_table.h"

/* Loads older than this say nothing of now. */
#define FRESH_US 2000000
/* About the last five seconds count: bursts of a second change nothing. */
#define WEIGHT 0.1
/* Looks before the means say something. */
#define SAMPLES_LEAST 8
/* A zone that is so much busier than the others is not weighed alone, and is
 * again only when it is hardly busier. */
#define UNEVEN_TIMES 1.15
#define EVEN_TIMES 1.05
/* Below this share of its places taken no zone is busy. */
#define BUSY 0.1

void
pgw_zone_balance_note(struct pgw_zone_balance *balance, double near,
                      double far)
{
    double weight = balance->samples == 0 ? 1 : WEIGHT;

    balance->near += weight * (near - balance->near);
    balance->far += weight * (far - balance->far);
    balance->samples++;
}

void
pgw_zone_balance_look(struct pgw_zone_balance *balance,
                      const struct pgw_list *upstreams, uint64_t now_us)
{
    double sums[2] = {0, 0};
    unsigned counts[2] = {0, 0};

    pgw_list_foreach (link, upstreams) {
        const struct pgw_upstream *upstream =
            pgw_container_of(link, struct pgw_upstream, in_table);

        if (upstream->model_count == 0 || upstream->slots == 0 ||
            upstream->load_at_us == 0 ||
            now_us - upstream->load_at_us > FRESH_US) {
            continue;
        }
        sums[upstream->same_zone] +=
            (double)(upstream->load.running + upstream->load.waiting) /
            upstream->slots;
        counts[upstream->same_zone]++;
    }
    if (counts[0] > 0 && counts[1] > 0) {
        pgw_zone_balance_note(balance, sums[1] / counts[1],
                              sums[0] / counts[0]);
    }
}

bool
pgw_zone_balance_is_even(const struct pgw_zone_balance *balance, bool was)
{
    if (balance->samples < SAMPLES_LEAST) {
        return was;
    }
    return balance->near < BUSY ||
           balance->near <= balance->far * (was ? UNEVEN_TIMES : EVEN_TIMES);
}
