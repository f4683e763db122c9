#include <parsleygw/admit.h>

#include "libparsleygw/admit_rate.h"
#include "libparsleygw/fair_queue.h"

#define US_PER_MS 1000
#define MAX_RETRY_AFTER_MS 60000

/* Waiting requests that each workspace may have, however small its share. */
#define MIN_WAITING_PER_FLOW 4

struct pgw_admit {
    struct pgw_admit_options options;
    struct pgw_fair_queue queues[PGW_PRIORITY_COUNT];
    struct pgw_heap deadlines;
    struct pgw_list expired;
    uint32_t running;
    uint32_t waiting;
    uint64_t prefill_tokens; /* of running requests without a first token */
    struct pgw_admit__rate rate;
};

struct pgw_admit *
pgw_admit_new(const struct pgw_admit_options *options)
{
    static const struct pgw_admit_options defaults = PGW_ADMIT_OPTIONS_INIT;
    struct pgw_admit *admit = g_new0(struct pgw_admit, 1);

    admit->options = options != NULL ? *options : defaults;
    admit->options.max_running = MAX(admit->options.max_running, 1);
    admit->options.reserved =
        MIN(admit->options.reserved, admit->options.max_running - 1);
    for (int i = 0; i < PGW_PRIORITY_COUNT; i++) {
        pgw_fair_queue__init(&admit->queues[i]);
    }
    pgw_list_init(&admit->expired);
    pgw_admit__rate_init(&admit->rate, admit->options.prefill_tokens_per_s,
                         admit->options.step_us);
    return admit;
}

void
pgw_admit_free(struct pgw_admit *admit)
{
    if (admit == NULL) {
        return;
    }
    for (int i = 0; i < PGW_PRIORITY_COUNT; i++) {
        pgw_fair_queue__dispose(&admit->queues[i]);
    }
    pgw_heap__dispose(&admit->deadlines);
    g_free(admit);
}

static struct pgw_fair_queue *
queue_for(struct pgw_admit *admit, const struct pgw_admit_item *item)
{
    return &admit->queues[item->priority];
}

static bool
has_expired(const struct pgw_admit_item *item, uint64_t now_us)
{
    return item->deadline != 0 && item->deadline <= now_us;
}

static void
dequeue(struct pgw_admit *admit, struct pgw_admit_item *item)
{
    pgw_heap__remove(&admit->deadlines, &item->position.deadline);
    if (item->position.flow != NULL) {
        pgw_fair_queue__remove(queue_for(admit, item), item);
        admit->waiting--;
    }
    else {
        pgw_list_remove(&item->position.queue);
    }
}

/*
 * A request that starts after its deadline takes a slot from one that could
 * still meet its deadline, and under overload every following request is late,
 * too. So expired items leave the queues before an item is selected.
 */
static void
collect_expired(struct pgw_admit *admit, uint64_t now_us)
{
#ifndef PGW_DISABLE_ADMIT_DEADLINE
    struct pgw_heap_node *node;

    while ((node = pgw_heap__first(&admit->deadlines)) != NULL) {
        struct pgw_admit_item *item =
            pgw_container_of(node, struct pgw_admit_item, position.deadline);

        if (!has_expired(item, now_us)) {
            break;
        }
        dequeue(admit, item);
        pgw_list_append(&admit->expired, &item->position.queue);
    }
#else
    (void)admit;
    (void)now_us;
    (void)has_expired;
#endif
}

/* The prefill limit does not apply to urgent requests: the upstream itself
 * runs them first. */
static bool
has_capacity(const struct pgw_admit *admit, const struct pgw_admit_item *item)
{
    const struct pgw_admit_options *options = &admit->options;
    uint32_t slots = options->max_running;

    if (item->is_batch || item->priority == PGW_PRIORITY_BATCH) {
        slots -= options->reserved;
    }
    if (admit->running >= slots) {
        return false;
    }
    return item->priority == PGW_PRIORITY_URGENT ||
           admit->prefill_tokens == 0 || item->uncached_tokens == 0 ||
           admit->prefill_tokens + item->uncached_tokens <=
               options->max_prefill_tokens;
}

/*
 * Strict priorities alone starve batch work for as long as other requests keep
 * the upstream full, so that an overnight batch never completes. So a priority
 * that has waited starvation_us without a start gets one start, whatever waits
 * at higher priorities. The cost to the others is one request in that time.
 */
static struct pgw_admit_item *
starved_item(struct pgw_admit *admit, uint64_t now_us)
{
#ifndef PGW_DISABLE_ADMIT_STARVE
    for (int i = PGW_PRIORITY_COUNT - 1; i > 0; i--) {
        const struct pgw_fair_queue *queue = &admit->queues[i];

        if (queue->count > 0 &&
            now_us >= queue->last_start_us + admit->options.starvation_us &&
            admit->running < admit->options.max_running) {
            return pgw_fair_queue__first(queue);
        }
    }
#else
    (void)admit;
    (void)now_us;
#endif
    return NULL;
}

/* Returns the item to start now without removing it, or NULL. If the first
 * item does not fit, lower priorities wait, too: otherwise smaller requests
 * could overtake it indefinitely. */
static struct pgw_admit_item *
select_next(struct pgw_admit *admit, uint64_t now_us)
{
    struct pgw_admit_item *item = starved_item(admit, now_us);

    for (int i = 0; i < PGW_PRIORITY_COUNT && item == NULL; i++) {
        item = pgw_fair_queue__first(&admit->queues[i]);
        if (item != NULL && !has_capacity(admit, item)) {
            return NULL;
        }
    }
    return item;
}

static void
start_item(struct pgw_admit *admit, struct pgw_admit_item *item,
           uint64_t now_us)
{
    struct pgw_fair_queue *queue = queue_for(admit, item);
    double cost =
        pgw_admit__rate_cost_us(&admit->rate, item->uncached_tokens,
                                item->max_tokens, admit->options.max_running);

    pgw_heap__remove(&admit->deadlines, &item->position.deadline);
    pgw_fair_queue__serve(queue, item, cost);
    queue->last_start_us = now_us;
    admit->waiting--;
    admit->running++;
    admit->prefill_tokens += item->uncached_tokens;
    item->state = PGW_ADMIT_PREFILL;
    item->position.started_us = now_us;
    item->position.since_us = now_us;
}

static void
enqueue(struct pgw_admit *admit, struct pgw_admit_item *item, uint64_t now_us)
{
    struct pgw_fair_queue *queue = queue_for(admit, item);

    if (queue->count == 0) {
        queue->last_start_us = now_us;
    }
    pgw_fair_queue__push(queue, item);
    if (item->deadline != 0) {
        pgw_heap__push(&admit->deadlines, &item->position.deadline,
                       (double)item->deadline);
    }
    admit->waiting++;
    item->state = PGW_ADMIT_WAITING;
}

/*
 * Without a limit per workspace, one workspace could fill the queue, and all
 * others would be refused. Each workspace gets a part of the queue by its
 * share among the workspaces that wait now, and at least MIN_WAITING_PER_FLOW.
 * Twice max_waiting bounds the memory.
 */
static bool
queue_is_full(const struct pgw_admit *admit, const struct pgw_admit_item *item)
{
    const struct pgw_fair_queue *queue = &admit->queues[item->priority];
    const struct pgw_admit_flow *flow =
        pgw_fair_queue__find(queue, item->workspace);
    uint64_t share = MAX(item->share, 1);
    uint64_t shares = queue->shares;
    uint64_t count = flow != NULL ? flow->count : 0;

    if (count == 0) {
        shares += share;
    }
    if (queue->count >= 2 * (uint64_t)admit->options.max_waiting) {
        return true;
    }
    return count >= MAX(admit->options.max_waiting * share / MAX(shares, 1),
                        MIN_WAITING_PER_FLOW);
}

static void
refuse(struct pgw_admit_answer *out, enum pgw_refusal refusal)
{
    uint64_t retry_ms = MIN(out->ttft_us / US_PER_MS + 1, MAX_RETRY_AFTER_MS);

    out->verdict = PGW_ADMIT_REFUSE;
    out->refusal = refusal;
    out->retry_after_ms = (uint32_t)retry_ms;
}

void
pgw_admit_offer(struct pgw_admit_answer *out, struct pgw_admit *admit,
                struct pgw_admit_item *item, uint64_t now_us)
{
    bool is_idle = admit->running == 0 && admit->waiting == 0;

    item->priority = CLAMP((int)item->priority, 0, PGW_PRIORITY_COUNT - 1);
    item->position = (struct pgw_admit_position){.since_us = now_us};
    *out = (struct pgw_admit_answer){
        .verdict = PGW_ADMIT_QUEUE,
        .ttft_us =
            pgw_admit_estimate_us(admit, item->workspace, item->share,
                                  item->priority, item->uncached_tokens),
    };
    /* An idle upstream accepts every request that has not expired: otherwise
     * a learned rate that is too low would refuse all requests and never be
     * corrected. */
    if (has_expired(item, now_us) ||
        (item->deadline != 0 && !is_idle &&
         now_us + out->ttft_us > item->deadline)) {
        refuse(out, PGW_REFUSAL_DEADLINE);
        return;
    }
    if (queue_is_full(admit, item)) {
        refuse(out, PGW_REFUSAL_OVERLOADED);
        return;
    }
    collect_expired(admit, now_us);
    enqueue(admit, item, now_us);
    if (select_next(admit, now_us) == item) {
        start_item(admit, item, now_us);
        out->verdict = PGW_ADMIT_RUN;
    }
}

struct pgw_admit_item *
pgw_admit_next(struct pgw_admit *admit, uint64_t now_us)
{
    struct pgw_admit_item *item;

    collect_expired(admit, now_us);
    item = select_next(admit, now_us);
    if (item != NULL) {
        start_item(admit, item, now_us);
    }
    return item;
}

void
pgw_admit_set_uncached_tokens(struct pgw_admit *admit,
                              struct pgw_admit_item *item,
                              uint32_t uncached_tokens)
{
    if (item->state == PGW_ADMIT_WAITING && item->position.flow != NULL) {
        pgw_fair_queue__set_uncached_tokens(queue_for(admit, item), item,
                                            uncached_tokens);
        return;
    }
    if (item->state == PGW_ADMIT_PREFILL) {
        admit->prefill_tokens =
            admit->prefill_tokens - item->uncached_tokens + uncached_tokens;
    }
    item->uncached_tokens = uncached_tokens;
}

void
pgw_admit_first_token(struct pgw_admit *admit, struct pgw_admit_item *item,
                      uint64_t now_us)
{
    if (item->state != PGW_ADMIT_PREFILL) {
        return;
    }
    pgw_admit__rate_add_prefill(&admit->rate, item->uncached_tokens,
                                item->position.since_us, now_us);
    admit->prefill_tokens -= item->uncached_tokens;
    item->state = PGW_ADMIT_DECODE;
    item->position.since_us = now_us;
}

static void
stop_running(struct pgw_admit *admit, struct pgw_admit_item *item)
{
    if (item->state == PGW_ADMIT_PREFILL) {
        admit->prefill_tokens -= item->uncached_tokens;
    }
    admit->running--;
    item->state = PGW_ADMIT_IDLE;
}

static bool
is_running(const struct pgw_admit_item *item)
{
    return item->state == PGW_ADMIT_PREFILL || item->state == PGW_ADMIT_DECODE;
}

void
pgw_admit_done(struct pgw_admit *admit, struct pgw_admit_item *item,
               uint32_t completion_tokens, uint64_t now_us)
{
    if (!is_running(item)) {
        return;
    }
    if (completion_tokens > 0) {
        uint64_t decode_us = item->state == PGW_ADMIT_DECODE
                                 ? now_us - item->position.since_us
                                 : 0;

        pgw_admit__rate_add_run(&admit->rate, completion_tokens, decode_us,
                                now_us - item->position.started_us);
    }
    stop_running(admit, item);
}

bool
pgw_admit_remove(struct pgw_admit *admit, struct pgw_admit_item *item,
                 uint64_t now_us)
{
    (void)now_us;
    if (is_running(item)) {
        stop_running(admit, item);
        return false;
    }
    if (item->state != PGW_ADMIT_WAITING) {
        return false;
    }
    dequeue(admit, item);
    item->state = PGW_ADMIT_IDLE;
    return true;
}

struct pgw_admit_item *
pgw_admit_expire(struct pgw_admit *admit, uint64_t now_us)
{
    struct pgw_list *link;
    struct pgw_admit_item *item;

    collect_expired(admit, now_us);
    link = pgw_list_first(&admit->expired);
    if (link == NULL) {
        return NULL;
    }
    item = pgw_container_of(link, struct pgw_admit_item, position.queue);
    pgw_list_remove(link);
    item->state = PGW_ADMIT_IDLE;
    return item;
}

struct pgw_admit_item *
pgw_admit_drain(struct pgw_admit *admit)
{
    struct pgw_admit_item *item = pgw_admit_expire(admit, 0);

    for (int i = 0; i < PGW_PRIORITY_COUNT && item == NULL; i++) {
        item = pgw_fair_queue__first(&admit->queues[i]);
        if (item != NULL) {
            dequeue(admit, item);
            item->state = PGW_ADMIT_IDLE;
        }
    }
    return item;
}

/* Uncached tokens that will be served before a new request. While this
 * workspace's own tokens are served, fair queueing serves the other workspaces
 * in proportion to their shares, up to the tokens that they have waiting. */
static double
tokens_ahead(const struct pgw_admit *admit, uint64_t workspace, uint32_t share,
             enum pgw_priority priority, uint32_t uncached_tokens)
{
    const struct pgw_fair_queue *queue = &admit->queues[priority];
    const struct pgw_admit_flow *flow = pgw_fair_queue__find(queue, workspace);
    double own = flow != NULL ? (double)flow->tokens : 0.0;
    double shares = (double)queue->shares;
    double ahead = (double)admit->prefill_tokens;

    share = MAX(share, 1);
    if (flow == NULL || flow->count == 0) {
        shares += share;
    }
    for (int i = 0; i < (int)priority; i++) {
        ahead += (double)admit->queues[i].tokens;
    }
    return ahead + MIN((double)queue->tokens,
                       (own + uncached_tokens) * shares / share);
}

uint64_t
pgw_admit_estimate_us(const struct pgw_admit *admit, uint64_t workspace,
                      uint32_t share, enum pgw_priority priority,
                      uint32_t uncached_tokens)
{
    double tokens =
        tokens_ahead(admit, workspace, share, priority, uncached_tokens) +
        uncached_tokens;
    double slots_us = 0.0;
    uint32_t queued = 0;

    for (int i = 0; i <= (int)priority; i++) {
        queued += admit->queues[i].count;
    }
    if (admit->running + queued >= admit->options.max_running) {
        double excess =
            admit->running + queued + 1.0 - admit->options.max_running;

        slots_us = excess * admit->rate.run_us / admit->options.max_running;
    }
    /* The waits for a slot and for prefill overlap. */
    return (uint64_t)(MAX(slots_us,
                          pgw_admit__rate_prefill_us(&admit->rate, tokens)) +
                      (uncached_tokens > 0 ? admit->rate.step_us : 0.0));
}

void
pgw_admit_load_get(struct pgw_admit_load *out, const struct pgw_admit *admit)
{
    uint64_t tokens = admit->prefill_tokens;

    for (int i = 0; i < PGW_PRIORITY_COUNT; i++) {
        tokens += admit->queues[i].tokens;
    }
    *out = (struct pgw_admit_load){
        .running = admit->running,
        .waiting = admit->waiting,
        .queued_tokens = (uint32_t)MIN(tokens, UINT32_MAX),
        .prefill_tokens_per_s = admit->rate.prefill_tokens_per_s,
        .step_us = admit->rate.step_us,
    };
}
