/* A stand-in of an engine. */
#include "sim.h"

struct sim_held {
    uint64_t key;
    uint32_t tokens;
};

/** struct cache_news - a cache event on its way to the sidecar */
struct cache_news {
    struct sim_engine *engine;
    struct pgw_cache_event event;
    uint64_t version;
};

void
sim_engine_init(struct sim_engine *engine, struct sim *sim, unsigned index)
{
    engine->sim = sim;
    engine->index = index;
    engine->zone = index / sim->options.engines;
    engine->rate = sim->options.read_rate;
    if (sim->options.slowest > 0) {
        engine->rate *= index % 3 == 0   ? sim->options.slowest
                        : index % 3 == 1 ? 2 - sim->options.slowest
                                         : 1;
    }
    g_queue_init(&engine->waiting);
    g_queue_init(&engine->order);
    engine->memory = g_hash_table_new(g_int64_hash, g_int64_equal);
    engine->runs = g_hash_table_new(NULL, NULL);
    pgw_announced_prompts_init(&engine->announced);
    pgw_cached_parts_init(&engine->parts);
    engine->parts.epoch = 1;
}

static void
drop_all(struct sim_engine *engine)
{
    g_hash_table_remove_all(engine->memory);
    g_queue_clear_full(&engine->order, g_free);
    engine->held_tokens = 0;
}

void
sim_engine_dispose(struct sim_engine *engine)
{
    drop_all(engine);
    g_hash_table_destroy(engine->memory);
    g_queue_clear(&engine->waiting);
    g_hash_table_destroy(engine->runs);
    pgw_announced_prompts_dispose(&engine->announced);
    pgw_cached_parts_dispose(&engine->parts);
}

static void
take_news(struct sim *sim, void *what)
{
    struct cache_news *news = what;
    struct pgw_cache_events events = {
        .epoch = 1,
        .events = &news->event,
        .count = 1,
    };

    if (news->version == sim->version) {
        pgw_cached_parts_apply_events(&news->engine->parts, &events);
    }
    g_free(news);
}

static void
tell_sidecar(struct sim_engine *engine, uint64_t key, uint32_t tokens)
{
    struct cache_news *news = g_new0(struct cache_news, 1);

    news->engine = engine;
    news->event.key = key;
    news->event.tokens = tokens;
    news->version = engine->sim->version;
    sim_at(engine->sim,
           engine->sim->now_us + engine->sim->options.events_lag_us, take_news,
           news);
}

bool
sim_engine_holds(struct sim_engine *engine, uint64_t key)
{
    GList *link = g_hash_table_lookup(engine->memory, &key);

    if (link == NULL) {
        return false;
    }
    g_queue_unlink(&engine->order, link);
    g_queue_push_tail_link(&engine->order, link);
    return true;
}

static void
hold(struct sim_engine *engine, uint64_t key, uint32_t tokens)
{
    struct sim_held *held;

    if (sim_engine_holds(engine, key)) {
        return;
    }
    held = g_new0(struct sim_held, 1);
    held->key = key;
    held->tokens = tokens;
    g_queue_push_tail(&engine->order, held);
    g_hash_table_insert(engine->memory, &held->key, engine->order.tail);
    engine->held_tokens += tokens;
    tell_sidecar(engine, key, tokens);
    while (engine->held_tokens > engine->sim->options.kv_tokens) {
        struct sim_held *oldest = g_queue_pop_head(&engine->order);

        g_hash_table_remove(engine->memory, &oldest->key);
        engine->held_tokens -= oldest->tokens;
        tell_sidecar(engine, oldest->key, 0);
        g_free(oldest);
    }
}

void
sim_engine_empty(struct sim_engine *engine)
{
    drop_all(engine);
    pgw_cached_parts_clear(&engine->parts);
    engine->parts.epoch = 1;
}

static bool
held_anywhere(struct sim *sim, uint64_t key)
{
    for (unsigned i = 0; i < sim->engine_count; i++) {
        if (g_hash_table_contains(sim->engines[i].memory, &key)) {
            return true;
        }
    }
    return false;
}

/* Microseconds to read @tokens behind @before others. */
static uint64_t
read_us(const struct sim_engine *engine, double tokens, double before)
{
    const struct sim_options *options = &engine->sim->options;
    double pairs = tokens * (before + tokens / 2) / 1e6;

    return (uint64_t)(1000 *
                      (tokens / engine->rate + pairs * options->pairs_ms));
}

/* While the engine reads, a token of each answer comes with each piece; an
 * event takes as many pieces as it has tokens. */
static void
pause_job(const struct sim_engine *engine, struct sim_job *job)
{
    const struct sim_options *options = &engine->sim->options;
    uint64_t since = MAX(job->read_at_us, engine->reading_since_us);
    double reading_ms = engine->reader_free_us > since
                            ? (double)(engine->reader_free_us - since) / 1000
                            : 0;
    double event_ms = MIN(options->stride, job->prompt.output_tokens) *
                      (options->step_ms + options->piece / engine->rate);

    job->pause_ms = MAX(job->pause_ms, MIN(reading_ms, event_ms));
}

static void
pause_runs(struct sim_engine *engine)
{
    GHashTableIter iter;
    void *run;

    g_hash_table_iter_init(&iter, engine->runs);
    while (g_hash_table_iter_next(&iter, &run, NULL)) {
        if (((struct sim_job *)run)->is_read) {
            pause_job(engine, run);
        }
    }
}

static void begin(struct sim_engine *engine, struct sim_job *job);

static void
job_end(struct sim *sim, void *what)
{
    struct sim_job *job = what;
    struct sim_engine *engine = job->engine;

    engine->running--;
    g_hash_table_remove(engine->runs, job);
    engine->kv_pinned -= job->prompt.tokens;
    sim_entry_end(sim, job);
    if (!g_queue_is_empty(&engine->waiting)) {
        begin(engine, g_queue_pop_head(&engine->waiting));
    }
}

/* While the engine reads for others a token of the answer comes with each
 * piece that is read. */
static uint64_t
generate_us(const struct sim_engine *engine, const struct sim_job *job)
{
    const struct sim_options *options = &engine->sim->options;
    uint64_t now = engine->sim->now_us;
    double reading_ms = engine->reader_free_us > now
                            ? (double)(engine->reader_free_us - now) / 1000
                            : 0;
    double slow_ms = options->step_ms + options->piece / engine->rate;
    double slow = MIN(reading_ms / slow_ms, job->prompt.output_tokens);

    return (uint64_t)(1000 *
                      (slow * slow_ms +
                       (job->prompt.output_tokens - slow) * options->step_ms));
}

static void
job_read(struct sim *sim, void *what)
{
    struct sim_job *job = what;

    job->is_read = true;
    job->read_at_us = sim->now_us;
    pause_job(job->engine, job);
    job->engine->long_reads -= job->missing >= PGW_LONG_PREFILL_TOKENS;
    if (job->version == sim->version) {
        hold(job->engine, job->key, job->part.tokens);
        hold(job->engine, ++sim->own_parts,
             job->prompt.tokens - job->part.tokens);
    }
    sim_entry_first(sim, job);
    sim_at(sim, sim->now_us + generate_us(job->engine, job), job_end, job);
}

static void
begin(struct sim_engine *engine, struct sim_job *job)
{
    struct sim *sim = engine->sim;
    const struct sim_options *options = &sim->options;
    uint32_t own = job->prompt.tokens - job->part.tokens;
    bool held = sim_engine_holds(engine, job->key);
    uint64_t ready = sim->now_us;
    uint32_t read = own;
    uint64_t took;

    engine->running++;
    g_hash_table_add(engine->runs, job);
    engine->kv_pinned += job->prompt.tokens;
    sim->result.shared += job->part.tokens;
    if (!held && job->source != NULL &&
        sim_engine_holds(job->source, job->key)) {
        ready +=
            (uint64_t)(1000 * (options->fetch_ms +
                               job->part.tokens / options->link_tokens_ms));
    }
    else if (!held) {
        read += job->part.tokens;
        sim->result.read += job->part.tokens;
        sim->result.reread +=
            held_anywhere(sim, job->key) ? job->part.tokens : 0;
    }
    job->missing = read;
    engine->long_reads += read >= PGW_LONG_PREFILL_TOKENS;
    took = read_us(engine, read, job->prompt.tokens - read);
    /* Out of memory: what began last is put back and read once more. */
    if (engine->kv_pinned > options->kv_tokens && engine->running > 1) {
        sim->result.preempted++;
        took *= 2;
    }
    if (engine->reader_free_us < ready) {
        engine->reading_since_us = ready;
    }
    engine->reader_free_us = MAX(engine->reader_free_us, ready) + took;
    pause_runs(engine);
    engine->reading_us += took;
    sim_at(sim, engine->reader_free_us, job_read, job);
}

void
sim_engine_arrive(struct sim *sim, void *what)
{
    struct sim_job *job = what;
    struct sim_engine *engine = job->engine;

    if (engine->running < sim->options.slots) {
        begin(engine, job);
    }
    else if (g_queue_get_length(&engine->waiting) < sim->options.queue) {
        g_queue_push_tail(&engine->waiting, job);
    }
    else {
        sim->result.sent_away++;
        sim_entry_refused(sim, job);
    }
}
