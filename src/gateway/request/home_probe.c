#include "gateway/request/exchange.h"
#include "util/metric.h"

/* Answers are reused for this long, the interval of engines' reports. */
#define ANSWER_VALID_US 100000

static struct pgw_metric_counter probes = {
    .name = "pgw_gateway_probes_total",
    .help = "Probes sent to sidecars before a prompt was dispatched",
};
static struct pgw_metric_counter unanswered = {
    .name = "pgw_gateway_probes_unanswered_total",
    .help = "Of these, probes without an answer in time",
};

static void
stop_waiting(struct pgw_exchange *exchange)
{
    pgw_timer_stop(exchange->gateway->loop, &exchange->probe_timer);
    if (exchange->probe != 0) {
        exchange->probes_waited_us += pgw_now_us() - exchange->probed_at_us;
        g_hash_table_remove(exchange->gateway->probes, &exchange->probe);
        exchange->probe = 0;
    }
}

void
pgw_home_probe_drop(struct pgw_exchange *exchange)
{
    stop_waiting(exchange);
    for (size_t i = 0; i < exchange->homes.count; i++) {
        pgw_upstream_unref(exchange->homes.items[i]);
    }
    exchange->homes.count = 0;
}

/* A home without a fresh report looks idle whatever its load, so it is not
 * considered. */
static void
remove_unanswered(struct pgw_exchange *exchange)
{
    struct pgw_homes *homes = &exchange->homes;
    size_t kept = 0;

    for (size_t i = 0; i < homes->count; i++) {
        if (exchange->home_is_fresh[i]) {
            homes->items[kept++] = homes->items[i];
        }
        else {
            pgw_upstream_unref(homes->items[i]);
        }
    }
    homes->count = kept;
}

static void
resume_dispatch(struct pgw_exchange *exchange)
{
    stop_waiting(exchange);
    /* Answers are fresh from now on, so that no further probe is sent before
     * the request is dispatched. */
    exchange->probed_at_us = pgw_now_us();
    remove_unanswered(exchange);
    pgw_exchange_dispatch(exchange);
}

static void
on_probe_timeout(struct pgw_timer *timer)
{
    struct pgw_exchange *exchange =
        pgw_container_of(timer, struct pgw_exchange, probe_timer);

    for (size_t i = 0; i < exchange->homes.count; i++) {
        pgw_metric_counter_add(&unanswered, !exchange->home_is_fresh[i]);
    }
    resume_dispatch(exchange);
}

void
pgw_gateway_probe_answered(struct pgw_gateway *gateway, uint64_t probe,
                           const struct pgw_upstream *upstream)
{
    struct pgw_exchange *exchange =
        g_hash_table_lookup(gateway->probes, &probe);
    bool all_answered = true;

    if (exchange == NULL) {
        return;
    }
    for (size_t i = 0; i < exchange->homes.count; i++) {
        exchange->home_is_fresh[i] |= exchange->homes.items[i] == upstream;
        all_answered = all_answered && exchange->home_is_fresh[i];
    }
    if (all_answered) {
        resume_dispatch(exchange);
    }
}

static bool
probe_sidecar(const struct pgw_exchange *exchange,
              const struct pgw_upstream *upstream)
{
    const struct pgw_gateway *gateway = exchange->gateway;
    const struct pgw_prompt *prompt = &exchange->facts.prompt;
    uint64_t keys[PGW_PROMPT_PARTS_MAX];
    char salt[PGW_CACHE_SALT_SIZE];

    pgw_cache_salt(salt, pgw_upstream_version(upstream, exchange->facts.model),
                   prompt->cache_scope);
    for (size_t i = 0; i + 1 < prompt->part_count; i++) {
        keys[i] =
            pgw_part_key(exchange->facts.model, salt, prompt->parts[i].id);
    }
    return gateway->sidecars->probe(gateway->sidecars_context, upstream,
                                    exchange->probe, keys,
                                    prompt->part_count - 1);
}

/* Sends probes to all homes; returns whether any answer is to be expected. */
static bool
probe_homes(struct pgw_exchange *exchange)
{
    const struct pgw_homes *homes = &exchange->homes;
    bool any_probed = false;

    for (size_t i = 0; i < homes->count; i++) {
        bool probed = false;

        if (!homes->items[i]->same_zone) {
            probed = probe_sidecar(exchange, homes->items[i]);
            pgw_metric_counter_add(&probes, probed);
        }
        /* Sidecars of the local zone send reports without a probe. */
        exchange->home_is_fresh[i] = homes->items[i]->same_zone;
        any_probed |= probed;
    }
    return any_probed;
}

/* Prefilling short parts again takes less time than a probe. */
static bool
is_worth_probing(const struct pgw_exchange *exchange)
{
    const struct pgw_gateway *gateway = exchange->gateway;

    return gateway->sidecars != NULL && exchange->facts.model != NULL &&
           exchange->facts.prompt.part_count > 0 &&
           pgw_prompt_shared(&exchange->facts.prompt) >=
               PGW_LONG_PREFILL_TOKENS &&
           pgw_policy_is_on(&gateway->options.policy,
                            PGW_MECHANISM_HOME_PROBES) &&
           (exchange->probed_at_us == 0 ||
            pgw_now_us() - exchange->probed_at_us >= ANSWER_VALID_US);
}

static void
pick_homes(struct pgw_exchange *exchange)
{
    const struct pgw_upstream_pool *pool = pgw_upstream_table_pool(
        exchange->gateway->upstreams, exchange->service);
    struct pgw_level_chain chain;

    pgw_home_probe_drop(exchange);
    if (pool == NULL) {
        return;
    }
    pgw_prompt_chain(&chain, &exchange->facts.prompt);
    pgw_homes_pick(&exchange->homes, pool, &chain, PGW_HOMES_MAX,
                   pgw_now_us());
    for (size_t i = 0; i < exchange->homes.count; i++) {
        pgw_upstream_ref(exchange->homes.items[i]);
    }
}

bool
pgw_home_probe_begin(struct pgw_exchange *exchange)
{
    struct pgw_gateway *gateway = exchange->gateway;

    if (exchange->probe != 0) {
        return true; /* queued requests are tried whenever an upstream changes
                      */
    }
    if (!is_worth_probing(exchange)) {
        return false;
    }
    pgw_metric_register_counter(&probes);
    pgw_metric_register_counter(&unanswered);
    pick_homes(exchange);
    if (exchange->homes.count == 0) {
        return false;
    }
    exchange->probed_at_us = pgw_now_us();
    exchange->probe = ++gateway->last_probe;
    g_hash_table_insert(gateway->probes, &exchange->probe, exchange);
    if (!probe_homes(exchange)) {
        stop_waiting(exchange);
        remove_unanswered(exchange);
        return false;
    }
    if (exchange->phase != PGW_PHASE_RELAYING) {
        exchange->phase = PGW_PHASE_QUEUED;
    }
    exchange->probe_timer.on_due = on_probe_timeout;
    pgw_timer_start(gateway->loop, &exchange->probe_timer,
                    gateway->options.probe_wait_us);
    return true;
}
