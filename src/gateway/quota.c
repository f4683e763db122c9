#include "gateway/quota.h"
#include "gateway/exchange.h"
#include "util/log.h"
#include "util/metric.h"

/* What was admitted is reported after this time at the latest. */
#define REPORT_US 250000
/* How often an entry that has just started looks for a link. */
#define LINKS_US 20000
/* Who is asked in turn: the owner, and those that stand in for it. */
#define TRIES 3
/* A caller that was refused because nobody answered comes to another entry,
 * which can ask. */
#define ELSEWHERE_MS 100

static struct pgw_metric_counter asks = {
    .name = "pgw_quota_asks_total",
    .help = "Requests that waited for the owner of a quota",
};
static struct pgw_metric_counter unanswered = {
    .name = "pgw_quota_asks_unanswered_total",
    .help = "Of these, decided without its answer",
};
static struct pgw_metric_counter refused = {
    .name = "pgw_quota_refused_total",
    .help = "Requests refused since they were beyond a quota",
};

/**
 * struct workspace_quota - one workspace with a quota
 * @key: pgw_quota_key() of it
 * @limits: its quota as last known here
 * @share: what is known of it
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
    if (!units->tokens) {
        return 1;
    }
    return has_tokens ? tokens : units->plain;
}

/* Sends an ask with all that is unreported to the first that can be reached.
 */
static bool
send_ask(struct pgw_quota *quota, struct workspace_quota *workspace,
         uint64_t ask, double cost)
{
    const struct pgw_gateway *gateway = quota->gateway;
    uint64_t now = pgw_now_us();
    size_t ranked[TRIES];
    size_t count;
    struct pgw_quota_share before = workspace->share;
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
    count =
        pgw_quota_owners_rank(ranked, TRIES, &quota->owners, workspace->key);
    for (size_t i = 0; i < count; i++) {
        size_t position = ranked[i];

        message.stands_in = i > 0;
        if (pgw_quota_owners_is_available(&quota->owners, position, now) &&
            gateway->sidecars->ask_quota(gateway->sidecars_context,
                                         quota->owners.items[position],
                                         &message)) {
            if (quota->owners.asked_at_us[position] == 0) {
                quota->owners.asked_at_us[position] = now;
            }
            return true;
        }
    }
    workspace->share = before;
    return false;
}

static void
report_due(struct pgw_timer *timer)
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
    quota->report_timer.on_due = report_due;
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

void
pgw_quota_upstreams_changed(struct pgw_quota *quota)
{
    pgw_quota_owners_set(&quota->owners,
                         pgw_upstream_table_all(quota->gateway->upstreams));
}

static struct workspace_quota *
workspace_of(struct pgw_quota *quota, const struct pgw_exchange *exchange)
{
    const struct pgw_workspace *said = exchange->workspace;
    uint64_t version = pgw_route_table_version(exchange->table);
    struct workspace_quota *workspace;
    uint64_t key;

    if (said == NULL || said->quota_rate <= 0) {
        return NULL;
    }
    key = pgw_quota_key(said->name);
    workspace = g_hash_table_lookup(quota->by_workspace, &key);
    if (workspace == NULL) {
        workspace = g_new0(struct workspace_quota, 1);
        workspace->key = key;
        g_hash_table_insert(quota->by_workspace, &workspace->key, workspace);
    }
    if (version >= workspace->limits.version) {
        workspace->limits = (struct pgw_quota_limits){
            .rate = said->quota_rate,
            /* An empty bucket that takes nothing would never grant. */
            .burst = said->quota_burst > 0 ? said->quota_burst
                                           : said->quota_rate / 2,
            .version = version,
        };
    }
    return workspace;
}

static void
spend(struct pgw_quota *quota, struct workspace_quota *workspace, double units)
{
    struct pgw_loop *loop = quota->gateway->loop;

    pgw_quota_share_spend(&workspace->share, units);
    if (pgw_quota_share_report_is_due(&workspace->share, &workspace->limits,
                                      quota->entries)) {
        send_ask(quota, workspace, 0, 0);
    }
    else if (quota->report_timer.position == 0) {
        pgw_timer_start(loop, &quota->report_timer, REPORT_US);
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

/* When a caller should come back that is refused by the owner's last answer.
 */
static uint64_t
retry_ms_of(const struct pgw_quota_share *share)
{
    uint64_t now = pgw_now_us();

    return share->retry_at_us > now ? (share->retry_at_us - now) / 1000 + 1
                                    : ELSEWHERE_MS;
}

static void
drop_ask(struct pgw_quota *quota, struct pgw_exchange *exchange)
{
    if (exchange->quota_ask != 0) {
        g_hash_table_remove(quota->asks, &exchange->quota_ask);
        exchange->quota_ask = 0;
    }
}

/* Returns whether it may be placed; else it was refused. */
static bool
decide_alone(struct pgw_quota *quota, struct workspace_quota *workspace,
             struct pgw_exchange *exchange)
{
    pgw_metric_counter_add(&unanswered, 1);
    if (pgw_quota_share_decide_locally(&workspace->share, &workspace->limits,
                                       &quota->bounds, quota->entries,
                                       exchange->quota_cost,
                                       pgw_now_us()) == PGW_QUOTA_REFUSE) {
        refuse(workspace, exchange, ELSEWHERE_MS);
        return false;
    }
    exchange->quota_spent = exchange->quota_cost;
    spend(quota, workspace, exchange->quota_cost);
    return true;
}

static void
answer_late(struct pgw_timer *timer)
{
    struct pgw_exchange *exchange =
        pgw_container_of(timer, struct pgw_exchange, attempt_timer);
    struct pgw_quota *quota = exchange->gateway->quota;

    drop_ask(quota, exchange);
    if (decide_alone(quota, workspace_of(quota, exchange), exchange)) {
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
    exchange->attempt_timer.on_due = answer_late;
    pgw_timer_start(quota->gateway->loop, &exchange->attempt_timer,
                    quota->gateway->options.quota_wait_us);
    return true;
}

static void
links_due(struct pgw_timer *timer)
{
    struct pgw_exchange *exchange =
        pgw_container_of(timer, struct pgw_exchange, attempt_timer);

    if (pgw_quota_admit(exchange->gateway->quota, exchange)) {
        pgw_exchange_dispatch(exchange);
    }
}

/*
 * Failure: an entry that has just started has its configuration before it has
 * connected to any sidecar. Symptom: callers are refused for quotas that are
 * hardly used. Requests wait for the links, but not for long.
 */
static bool
waits_for_links(struct pgw_quota *quota, struct pgw_exchange *exchange)
{
    const struct pgw_gateway *gateway = quota->gateway;

    if (pgw_now_us() - gateway->started_us >=
        gateway->options.quota_start_us) {
        return false;
    }
    exchange->attempt_timer.on_due = links_due;
    pgw_timer_start(gateway->loop, &exchange->attempt_timer, LINKS_US);
    return true;
}

bool
pgw_quota_admit(struct pgw_quota *quota, struct pgw_exchange *exchange)
{
    struct workspace_quota *workspace = workspace_of(quota, exchange);
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
        spend(quota, workspace, exchange->quota_cost);
        return true;
    case PGW_QUOTA_ASK:
        return !ask_owner(quota, workspace, exchange) &&
               !waits_for_links(quota, exchange) &&
               decide_alone(quota, workspace, exchange);
    case PGW_QUOTA_REFUSE:
        break;
    }
    refuse(workspace, exchange, retry_ms_of(&workspace->share));
    return false;
}

void
pgw_quota_charge_retry(struct pgw_quota *quota, struct pgw_exchange *exchange)
{
    struct workspace_quota *workspace = workspace_of(quota, exchange);

    if (workspace != NULL) {
        exchange->quota_spent += exchange->quota_cost;
        spend(quota, workspace, exchange->quota_cost);
    }
}

void
pgw_quota_end(struct pgw_quota *quota, struct pgw_exchange *exchange)
{
    struct workspace_quota *workspace;

    drop_ask(quota, exchange);
    if (exchange->quota_spent <= 0 || exchange->runs > 0 ||
        exchange->may_have_run) {
        return;
    }
    workspace = workspace_of(quota, exchange);
    if (workspace != NULL) {
        spend(quota, workspace, -exchange->quota_spent);
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
        /* Too late: the request was decided on without it, or has ended. */
        if (answer->granted > 0) {
            spend(quota, workspace, -answer->granted);
        }
        return;
    }
    drop_ask(quota, exchange);
    pgw_timer_stop(quota->gateway->loop, &exchange->attempt_timer);
    if (answer->granted > 0) {
        exchange->quota_spent = exchange->quota_cost;
        pgw_exchange_dispatch(exchange);
    }
    else {
        refuse(workspace, exchange, answer->retry_ms);
    }
}
