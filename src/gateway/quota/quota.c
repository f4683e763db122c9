#include "gateway/quota/quota.h"
#include "gateway/request/exchange.h"
#include "util/log.h"
#include "util/metric.h"

/* Maximum time until spent units are reported. */
#define REPORT_INTERVAL_US 250000
/* Interval at which an entry that has just started checks for a sidecar link.
 */
#define LINK_CHECK_US 20000
/* Number of sidecars tried in turn: the owner and its fallbacks. */
#define OWNERS_TRIED 3
/* If no sidecar can be asked, the caller retries soon and may reach another
 * entry, which can. */
#define RETRY_ELSEWHERE_MS 100

static struct pgw_metric_counter asks = {
    .name = "pgw_quota_asks_total",
    .help = "Requests that waited for the owner of a quota",
};
static struct pgw_metric_counter unanswered = {
    .name = "pgw_quota_asks_unanswered_total",
    .help = "Of these, requests decided without its answer",
};
static struct pgw_metric_counter refused = {
    .name = "pgw_quota_refused_total",
    .help = "Requests refused because they exceeded a quota",
};

/**
 * struct workspace_quota - a workspace with a quota
 * @key: pgw_quota_key() of the workspace
 * @limits: quota in the newest configuration seen
 * @share: state of the quota at this entry
 */
struct workspace_quota {
    uint64_t key;
    struct pgw_quota_limits limits;
    struct pgw_quota_share share;
};

struct pgw_quota {
    struct pgw_gateway *gateway;
    struct pgw_quota_bounds bounds;
    uint32_t entries;
    struct pgw_quota_owners owners;
    GHashTable *by_workspace; /* key -> struct workspace_quota */
    GHashTable *asks;         /* number -> struct pgw_exchange */
    uint64_t last_ask;
    struct pgw_timer report_timer;
};

double
pgw_quota_cost(const struct pgw_quota_units *units, bool has_tokens,
               double tokens)
{
    if (!units->counts_tokens) {
        return 1;
    }
    return has_tokens ? tokens : units->default_tokens;
}

/* Sends an ask, with all unreported units, to the first owner that can be
 * reached. */
static bool
send_ask(struct pgw_quota *quota, struct workspace_quota *workspace,
         uint64_t ask, double cost)
{
    const struct pgw_gateway *gateway = quota->gateway;
    uint64_t now_us = pgw_now_us();
    size_t ranked[OWNERS_TRIED];
    size_t count;
    struct pgw_quota_share share_before = workspace->share;
    struct pgw_quota_ask message = {
        .ask = ask,
        .request = {.workspace = workspace->key,
                    .limits = workspace->limits,
                    .cost = cost},
    };

    if (gateway->sidecars == NULL) {
        return false;
    }
    pgw_quota_share_take_unreported(&workspace->share, &message.request);
    count = pgw_quota_owners_rank(ranked, OWNERS_TRIED, &quota->owners,
                                  workspace->key);
    for (size_t i = 0; i < count; i++) {
        size_t position = ranked[i];

        message.is_fallback = i > 0;
        if (pgw_quota_owners_is_available(&quota->owners, position, now_us) &&
            gateway->sidecars->ask_quota(gateway->sidecars_context,
                                         quota->owners.items[position],
                                         &message)) {
            if (quota->owners.unanswered_since_us[position] == 0) {
                quota->owners.unanswered_since_us[position] = now_us;
            }
            return true;
        }
    }
    workspace->share = share_before;
    return false;
}

static void
send_reports(struct pgw_timer *timer)
{
    struct pgw_quota *quota =
        pgw_container_of(timer, struct pgw_quota, report_timer);
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, quota->by_workspace);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct workspace_quota *workspace = value;

        if (workspace->share.unreported != 0 || workspace->share.refused > 0) {
            send_ask(quota, workspace, 0, 0);
        }
    }
}

struct pgw_quota *
pgw_quota_new(struct pgw_gateway *gateway,
              const struct pgw_quota_bounds *bounds)
{
    struct pgw_quota *quota = g_new0(struct pgw_quota, 1);

    pgw_metric_register_counter(&asks);
    pgw_metric_register_counter(&unanswered);
    pgw_metric_register_counter(&refused);
    quota->gateway = gateway;
    quota->bounds = *bounds;
    quota->entries = 1;
    quota->by_workspace =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    quota->asks = g_hash_table_new(g_int64_hash, g_int64_equal);
    quota->report_timer.on_due = send_reports;
    return quota;
}

void
pgw_quota_free(struct pgw_quota *quota)
{
    pgw_timer_stop(quota->gateway->loop, &quota->report_timer);
    pgw_quota_owners_clear(&quota->owners);
    g_hash_table_destroy(quota->by_workspace);
    g_hash_table_destroy(quota->asks);
    g_free(quota);
}

void
pgw_quota_set_entries(struct pgw_quota *quota, uint32_t entries)
{
    quota->entries = MAX(entries, 1);
}

const struct pgw_upstream *
pgw_quota_owner(const struct pgw_quota *quota, uint64_t key)
{
    size_t position;

    return pgw_quota_owners_rank(&position, 1, &quota->owners, key) == 0
               ? NULL
               : quota->owners.items[position];
}

void
pgw_quota_upstreams_changed(struct pgw_quota *quota)
{
    pgw_quota_owners_set(&quota->owners,
                         pgw_upstream_table_all(quota->gateway->upstreams));
}

/* Finds or adds the workspace of a request and updates its limits; NULL: it
 * has no quota. */
static struct workspace_quota *
update_workspace(struct pgw_quota *quota, const struct pgw_exchange *exchange)
{
    const struct pgw_workspace *config = exchange->workspace;
    uint64_t version = pgw_route_table_version(exchange->table);
    struct workspace_quota *workspace;
    uint64_t key;

    if (config == NULL || config->quota_rate <= 0) {
        return NULL;
    }
    key = pgw_quota_key(config->name);
    workspace = g_hash_table_lookup(quota->by_workspace, &key);
    if (workspace == NULL) {
        workspace = g_new0(struct workspace_quota, 1);
        workspace->key = key;
        g_hash_table_insert(quota->by_workspace, &workspace->key, workspace);
    }
    if (version >= workspace->limits.version) {
        workspace->limits = (struct pgw_quota_limits){
            .rate = config->quota_rate,
            /* A bucket without capacity would never grant anything. */
            .burst = config->quota_burst > 0 ? config->quota_burst
                                             : config->quota_rate / 2,
            .version = version,
        };
    }
    return workspace;
}

static void
charge(struct pgw_quota *quota, struct workspace_quota *workspace,
       double units)
{
    struct pgw_loop *loop = quota->gateway->loop;

    pgw_quota_share_spend(&workspace->share, units);
    if (pgw_quota_share_report_is_due(&workspace->share, &workspace->limits,
                                      quota->entries)) {
        send_ask(quota, workspace, 0, 0);
    }
    else if (quota->report_timer.position == 0) {
        pgw_timer_start(loop, &quota->report_timer, REPORT_INTERVAL_US);
    }
}

static void
refuse(struct workspace_quota *workspace, struct pgw_exchange *exchange,
       uint64_t retry_ms)
{
    workspace->share.refused += exchange->quota_cost;
    pgw_metric_counter_add(&refused, 1);
    pgw_exchange_refuse(exchange, 429, "over_quota", (uint32_t)retry_ms);
}

/* Time after which a caller that is refused by the owner's last answer should
 * retry. */
static uint64_t
retry_after_ms(const struct pgw_quota_share *share)
{
    uint64_t now_us = pgw_now_us();

    return share->retry_at_us > now_us
               ? (share->retry_at_us - now_us) / 1000 + 1
               : RETRY_ELSEWHERE_MS;
}

static void
remove_ask(struct pgw_quota *quota, struct pgw_exchange *exchange)
{
    if (exchange->quota_ask != 0) {
        g_hash_table_remove(quota->asks, &exchange->quota_ask);
        exchange->quota_ask = 0;
    }
}

/* Returns whether the request may be dispatched; else it was refused. */
static bool
decide_locally(struct pgw_quota *quota, struct workspace_quota *workspace,
               struct pgw_exchange *exchange)
{
    pgw_metric_counter_add(&unanswered, 1);
    if (pgw_quota_share_decide_locally(&workspace->share, &workspace->limits,
                                       &quota->bounds, quota->entries,
                                       exchange->quota_cost,
                                       pgw_now_us()) == PGW_QUOTA_REFUSE) {
        refuse(workspace, exchange, RETRY_ELSEWHERE_MS);
        return false;
    }
    exchange->quota_spent = exchange->quota_cost;
    charge(quota, workspace, exchange->quota_cost);
    return true;
}

static void
on_answer_timeout(struct pgw_timer *timer)
{
    struct pgw_exchange *exchange =
        pgw_container_of(timer, struct pgw_exchange, quota_timer);
    struct pgw_quota *quota = exchange->gateway->quota;

    remove_ask(quota, exchange);
    if (decide_locally(quota, update_workspace(quota, exchange), exchange)) {
        pgw_exchange_dispatch(exchange);
    }
}

static bool
ask_owner(struct pgw_quota *quota, struct workspace_quota *workspace,
          struct pgw_exchange *exchange)
{
    uint64_t ask = ++quota->last_ask;

    if (!send_ask(quota, workspace, ask, exchange->quota_cost)) {
        return false;
    }
    pgw_metric_counter_add(&asks, 1);
    exchange->quota_ask = ask;
    g_hash_table_insert(quota->asks, &exchange->quota_ask, exchange);
    exchange->quota_timer.on_due = on_answer_timeout;
    pgw_timer_start(quota->gateway->loop, &exchange->quota_timer,
                    quota->gateway->options.quota_wait_us);
    return true;
}

static void
on_link_check(struct pgw_timer *timer)
{
    struct pgw_exchange *exchange =
        pgw_container_of(timer, struct pgw_exchange, quota_timer);

    if (pgw_quota_admit(exchange->gateway->quota, exchange)) {
        pgw_exchange_dispatch(exchange);
    }
}

/*
 * Failure: an entry that has just started receives its configuration before it
 * has connected to any sidecar. Symptom: callers are refused although their
 * quota is hardly used. Therefore requests wait a limited time for the links.
 */
static bool
wait_for_links(struct pgw_quota *quota, struct pgw_exchange *exchange)
{
    const struct pgw_gateway *gateway = quota->gateway;

    if (pgw_now_us() - gateway->started_us >=
        gateway->options.quota_start_us) {
        return false;
    }
    exchange->quota_timer.on_due = on_link_check;
    pgw_timer_start(gateway->loop, &exchange->quota_timer, LINK_CHECK_US);
    return true;
}

bool
pgw_quota_admit(struct pgw_quota *quota, struct pgw_exchange *exchange)
{
    struct workspace_quota *workspace = update_workspace(quota, exchange);
    const struct pgw_request_facts *facts = &exchange->facts;

    if (workspace == NULL) {
        return true;
    }
    exchange->quota_cost = pgw_quota_cost(
        &exchange->workspace->quota_units, facts->has_tokens,
        (double)facts->prompt.tokens + facts->prompt.output_tokens);
    switch (pgw_quota_share_decide(&workspace->share, &workspace->limits,
                                   quota->entries, exchange->quota_cost,
                                   pgw_now_us())) {
    case PGW_QUOTA_ADMIT:
        exchange->quota_spent = exchange->quota_cost;
        charge(quota, workspace, exchange->quota_cost);
        return true;
    case PGW_QUOTA_ASK:
        return !ask_owner(quota, workspace, exchange) &&
               !wait_for_links(quota, exchange) &&
               decide_locally(quota, workspace, exchange);
    case PGW_QUOTA_REFUSE:
        break;
    }
    refuse(workspace, exchange, retry_after_ms(&workspace->share));
    return false;
}

void
pgw_quota_charge_retry(struct pgw_quota *quota, struct pgw_exchange *exchange)
{
    struct workspace_quota *workspace = update_workspace(quota, exchange);

    if (workspace != NULL) {
        exchange->quota_spent += exchange->quota_cost;
        charge(quota, workspace, exchange->quota_cost);
    }
}

void
pgw_quota_end(struct pgw_quota *quota, struct pgw_exchange *exchange)
{
    struct workspace_quota *workspace;

    pgw_timer_stop(quota->gateway->loop, &exchange->quota_timer);
    remove_ask(quota, exchange);
    if (exchange->quota_spent <= 0 || exchange->runs > 0 ||
        exchange->may_have_run) {
        return;
    }
    workspace = update_workspace(quota, exchange);
    if (workspace != NULL) {
        charge(quota, workspace, -exchange->quota_spent);
    }
    exchange->quota_spent = 0;
}

void
pgw_quota_handle_answer(struct pgw_quota *quota,
                        const struct pgw_upstream *upstream,
                        uint64_t workspace_key, uint64_t ask,
                        const struct pgw_quota_answer *answer)
{
    struct workspace_quota *workspace =
        g_hash_table_lookup(quota->by_workspace, &workspace_key);
    struct pgw_exchange *exchange = g_hash_table_lookup(quota->asks, &ask);

    pgw_quota_owners_record_answer(&quota->owners, upstream);
    if (workspace == NULL) {
        return;
    }
    pgw_quota_share_apply_answer(&workspace->share, answer, pgw_now_us());
    if (exchange == NULL) {
        /* Too late: the request was decided locally, or has ended. */
        if (answer->granted > 0) {
            charge(quota, workspace, -answer->granted);
        }
        return;
    }
    remove_ask(quota, exchange);
    pgw_timer_stop(quota->gateway->loop, &exchange->quota_timer);
    if (answer->granted > 0) {
        exchange->quota_spent = exchange->quota_cost;
        pgw_exchange_dispatch(exchange);
    }
    else {
        refuse(workspace, exchange, answer->retry_ms);
    }
}
