#include "sidecar/kv.h"
#include "util/log.h"

/* Shorter prefixes are computed sooner than asked for. */
#define MIN_TOKENS 512
/* Levels asked for at once. */
#define LOOKUPS_MAX 4
/* The store answers within a millisecond or two; one that does not is slow
 * enough to be left alone. */
#define LOOKUP_BOUND_US UINT64_C(20000)
#define IMPORT_BOUND_MIN_US UINT64_C(50000)
#define MISSING_US UINT64_C(1000000)
#define BLOCK_US UINT64_C(1000000)
#define BLOCK_FAILURES_MAX 6
#define LEVELS_MAX 8192
#define WAITS_MAX 64
/* An import must promise at least this much; the rest pays for surprises. */
#define WORTH 0.7
#define SAMPLE_WEIGHT 0.3

static struct pgw_metric_counter imported = {
    .name = "pgw_kv_imported_tokens_total",
    .help = "Prompt tokens imported from the KV cache store",
};
static struct pgw_metric_counter failed = {
    .name = "pgw_kv_failures_total",
    .help = "Calls for the KV cache store that failed or were too slow",
};

/**
 * struct kv_lookup - the store is asked for one level
 * @wait: owner
 * @level: which
 * @tokens: its length
 * @fetch: the question, NULL once answered
 */
struct kv_lookup {
    struct kv_wait *wait;
    struct pgw_level level;
    struct fetch *fetch;
};

/**
 * struct kv_wait - one request that waits
 * @link: in the list of all
 * @kv: owner
 * @run: the request
 * @timer: its bound
 * @lookups: questions
 * @n_lookups: number of @lookups
 * @open: questions without an answer
 * @block: block that is imported, 0 before
 * @import: the import; NULL when another request's is waited for
 * @orphaned: the request whose import it waits for is gone
 * @began_us: when the import began
 */
struct kv_wait {
    struct pgw_list link;
    struct kv *kv;
    struct run *run;
    struct pgw_timer timer;
    struct kv_lookup lookups[LOOKUPS_MAX];
    size_t n_lookups;
    size_t open;
    uint64_t block;
    struct fetch *import;
    bool orphaned;
    uint64_t began_us;
};

static guint
level_hash(gconstpointer key)
{
    return (guint)((const struct kv_level *)key)->low;
}

static gboolean
level_equal(gconstpointer a, gconstpointer b)
{
    const struct kv_level *one = a;
    const struct kv_level *other = b;

    return one->high == other->high && one->low == other->low;
}

const char *
kv_store_url(const struct kv *kv)
{
    const struct sidecar *sidecar = kv->sidecar;
    const struct pgw_pool *pool =
        sidecar->config == NULL
            ? NULL
            : pgw_config_pool(sidecar->config, sidecar->settings->pool);

    return pool != NULL && pool->kv_store[0] != '\0'
               ? pool->kv_store
               : sidecar->settings->kv_store_url;
}

struct kv_level *
kv_level_get(struct kv *kv, const struct pgw_level *level)
{
    struct kv_level key = {.high = level->hash_high, .low = level->hash_low};
    struct kv_level *found = g_hash_table_lookup(kv->levels, &key);

    if (found != NULL) {
        return found;
    }
    /* What was learned is learned again; the store has the truth. */
    if (g_hash_table_size(kv->levels) >= LEVELS_MAX) {
        g_hash_table_remove_all(kv->levels);
    }
    found = g_new(struct kv_level, 1);
    *found = key;
    g_hash_table_add(kv->levels, found);
    return found;
}

char *
kv_level_path(const struct kv *kv, uint64_t high, uint64_t low)
{
    return g_strdup_printf("%s/kv/level-%016" G_GINT64_MODIFIER
                           "x%016" G_GINT64_MODIFIER "x",
                           kv_store_url(kv), high, low);
}

struct fetch *
kv_move(struct kv *kv, const char *what, uint64_t block, long timeout_ms,
        fetch_done done, void *context)
{
    char *url =
        g_strdup_printf("%s/kv/%s", kv->sidecar->settings->upstream_url, what);
    char *body = g_strdup_printf("{\"block\":\"%016" G_GINT64_MODIFIER
                                 "x\",\"store\":\"%s\"}",
                                 block, kv_store_url(kv));
    struct fetch *fetch = fetch_start(kv->sidecar->transfers, url, body,
                                      timeout_ms, done, context);

    g_free(body);
    g_free(url);
    return fetch;
}

/* A store that is down or slow costs a few requests its bound and then
 * nothing, until it is tried again. */
void
kv_failed(struct kv *kv)
{
    kv->failures = MIN(kv->failures + 1, BLOCK_FAILURES_MAX);
#ifndef PGW_DISABLE_KV_BREAKER
    kv->blocked_until_us = pgw_now_us() + (BLOCK_US << (kv->failures - 1));
#endif
    pgw_metric_counter_add(&failed, 1);
    pgw_log_info("kv_failed", "failures=%u", kv->failures);
}

static void
wait_free(struct kv_wait *wait)
{
    pgw_timer_stop(wait->kv->sidecar->loop, &wait->timer);
    for (size_t i = 0; i < wait->n_lookups; i++) {
        fetch_cancel(wait->lookups[i].fetch);
    }
    /* The engine goes on importing for whoever comes next. */
    fetch_cancel(wait->import);
    pgw_list_remove(&wait->link);
    wait->kv->n_waits--;
    wait->run->import = NULL;
    g_free(wait);
}

static void
wait_end(struct kv_wait *wait, uint32_t tokens)
{
    struct run *run = wait->run;

    wait_free(wait);
    gate_import_done(run, tokens);
}

static double
prefill_us(const struct kv *kv, const struct run *run, uint32_t tokens)
{
    struct pgw_admit *admit = kv->sidecar->admit;
    uint64_t all =
        pgw_admit_estimate_us(admit, run->item.workspace, run->item.share,
                              run->item.priority, tokens);
    uint64_t none = pgw_admit_estimate_us(
        admit, run->item.workspace, run->item.share, run->item.priority, 0);

    return all > none ? (double)(all - none) : 0;
}

static uint32_t
held_tokens(const struct run *run)
{
    return run->chain.prompt_tokens - run->item.uncached_tokens;
}

/* All waits for one block end together. */
static void
import_end(struct kv *kv, uint64_t block, uint32_t tokens)
{
    struct pgw_list ended;

    pgw_list_init(&ended);
    pgw_list_foreach_safe (link, &kv->waits) {
        struct kv_wait *wait = pgw_container_of(link, struct kv_wait, link);

        if (wait->block == block) {
            pgw_list_remove(link);
            pgw_list_append(&ended, link);
        }
    }
    while (!pgw_list_is_empty(&ended)) {
        wait_end(
            pgw_container_of(pgw_list_first(&ended), struct kv_wait, link),
            tokens);
    }
}

static void
import_done(void *context, long status, JsonObject *body, uint64_t asked_us)
{
    struct kv_wait *wait = context;
    struct kv *kv = wait->kv;
    uint64_t block = wait->block;
    uint32_t tokens = 0;
    double rate;

    (void)asked_us;
    wait->import = NULL;
    if (status == 200 && body != NULL) {
        tokens = (uint32_t)fetch_object_uint(body, "tokens");
        rate = tokens * 1e6 / (double)(pgw_now_us() - wait->began_us + 1);
        kv->tokens_per_s += (rate - kv->tokens_per_s) *
                            (kv->tokens_per_s == 0 ? 1 : SAMPLE_WEIGHT);
        kv->failures = 0;
        pgw_metric_counter_add(&imported, tokens);
    }
    else if (status == 0 || status >= 500) {
        kv_failed(kv);
    }
    pgw_log_debug("kv_import", "tokens=%u status=%ld", tokens, status);
    import_end(kv, block, tokens);
}

static void
start_import(struct kv_wait *wait, uint64_t block, uint32_t tokens)
{
    struct kv *kv = wait->kv;
    uint32_t missing = tokens - MIN(tokens, held_tokens(wait->run));
    double compute_us = prefill_us(kv, wait->run, missing);
    /* The first one is a trial. */
    double import_us = kv->tokens_per_s == 0 ? WORTH * compute_us / 2
                                             : tokens * 1e6 / kv->tokens_per_s;
    uint64_t bound =
        (uint64_t)MIN(compute_us, MAX(IMPORT_BOUND_MIN_US, 2 * import_us));

    if (import_us > WORTH * compute_us || bound < 1000) {
        wait_end(wait, 0);
        return;
    }
    pgw_timer_start(kv->sidecar->loop, &wait->timer, bound);
    wait->began_us = pgw_now_us();
    pgw_list_foreach (link, &kv->waits) {
        if (pgw_container_of(link, struct kv_wait, link)->block == block) {
            wait->block = block;
            return;
        }
    }
    wait->block = block;
    wait->import =
        kv_move(kv, "import", block, (long)(bound / 1000), import_done, wait);
}

/* Takes the deepest level that the store has. */
static void
lookups_end(struct kv_wait *wait)
{
    for (size_t i = 0; i < wait->n_lookups; i++) {
        const struct pgw_level *level = &wait->lookups[i].level;
        uint64_t block = kv_level_get(wait->kv, level)->block;

        if (block != 0) {
            start_import(wait, block, level->end_tokens);
            return;
        }
    }
    wait_end(wait, 0);
}

static void
lookup_done(void *context, long status, JsonObject *body, uint64_t asked_us)
{
    struct kv_lookup *lookup = context;
    struct kv_wait *wait = lookup->wait;
    struct kv_level *level = kv_level_get(wait->kv, &lookup->level);

    (void)asked_us;
    lookup->fetch = NULL;
    if (status == 200 && body != NULL) {
        level->block = fetch_object_hex(body, "block");
    }
    else if (status == 404) {
        level->missing_until_us = pgw_now_us() + MISSING_US;
    }
    else {
        kv_failed(wait->kv);
    }
    if (--wait->open == 0) {
        lookups_end(wait);
    }
}

static void
wait_due(struct pgw_timer *timer)
{
    struct kv_wait *wait = pgw_container_of(timer, struct kv_wait, timer);

    if (!wait->orphaned) {
        kv_failed(wait->kv);
    }
    wait_end(wait, 0);
}

/* The whole prompt is one request's own; the levels before it are shared. */
static void
choose_lookups(struct kv_wait *wait)
{
    const struct run *run = wait->run;
    uint64_t now = pgw_now_us();

    for (size_t i = run->chain.count - 1; i > 0; i--) {
        const struct pgw_level *level = &run->chain.levels[i - 1];
        const struct kv_level *known = kv_level_get(wait->kv, level);

        if (level->end_tokens < held_tokens(run) + MIN_TOKENS ||
            wait->n_lookups == LOOKUPS_MAX) {
            return;
        }
        if (known->block != 0 || known->missing_until_us <= now) {
            wait->lookups[wait->n_lookups++] =
                (struct kv_lookup){.wait = wait, .level = *level};
        }
        if (known->block != 0) {
            return;
        }
    }
}

static void
start_lookups(struct kv_wait *wait)
{
    struct kv *kv = wait->kv;

    for (size_t i = 0; i < wait->n_lookups; i++) {
        struct kv_lookup *lookup = &wait->lookups[i];
        char *url;

        if (kv_level_get(kv, &lookup->level)->block != 0) {
            continue;
        }
        url =
            kv_level_path(kv, lookup->level.hash_high, lookup->level.hash_low);
        lookup->fetch =
            fetch_start(kv->sidecar->transfers, url, NULL,
                        2 * LOOKUP_BOUND_US / 1000, lookup_done, lookup);
        wait->open++;
        g_free(url);
    }
    pgw_timer_start(kv->sidecar->loop, &wait->timer, LOOKUP_BOUND_US);
}

bool
kv_ask(struct kv *kv, struct run *run)
{
    struct kv_wait *wait;

    if (kv == NULL || kv_store_url(kv) == NULL || run->chain.count < 2 ||
        kv->n_waits >= WAITS_MAX || pgw_now_us() < kv->blocked_until_us) {
        return false;
    }
    wait = g_new0(struct kv_wait, 1);
    wait->kv = kv;
    wait->run = run;
    wait->timer.on_due = wait_due;
    choose_lookups(wait);
    if (wait->n_lookups == 0) {
        g_free(wait);
        return false;
    }
    run->import = wait;
    pgw_list_append(&kv->waits, &wait->link);
    kv->n_waits++;
    start_lookups(wait);
    if (wait->open == 0) {
        lookups_end(wait);
    }
    return true;
}

void
kv_forget(struct kv *kv, struct run *run)
{
    struct kv_wait *wait = run->import;
    uint64_t block;
    bool importing;

    if (wait == NULL) {
        return;
    }
    block = wait->block;
    importing = wait->import != NULL;
    wait_free(wait);
    if (!importing) {
        return;
    }
    /* Others that waited for this import compute instead; not from here, as
     * the caller may be going through its runs. */
    pgw_list_foreach (link, &kv->waits) {
        wait = pgw_container_of(link, struct kv_wait, link);
        if (wait->block == block) {
            wait->orphaned = true;
            wait->block = 0;
            pgw_timer_start(kv->sidecar->loop, &wait->timer, 0);
        }
    }
}

struct kv *
kv_new(struct sidecar *sidecar)
{
    struct kv *kv = g_new0(struct kv, 1);

    kv->sidecar = sidecar;
    pgw_metric_register_counter(&imported);
    pgw_metric_register_counter(&failed);
    kv->levels = g_hash_table_new_full(level_hash, level_equal, g_free, NULL);
    kv->export_timer.on_due = kv_export_due;
    pgw_list_init(&kv->waits);
    pgw_list_init(&kv->exports);
    return kv;
}

void
kv_free(struct kv *kv)
{
    if (kv == NULL) {
        return;
    }
    pgw_timer_stop(kv->sidecar->loop, &kv->export_timer);
    kv_export_free_all(kv);
    g_hash_table_unref(kv->levels);
    g_free(kv);
}
