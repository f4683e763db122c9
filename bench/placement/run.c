/* The clock, the load and the sum of a run. */
#include "sim.h"
#include <math.h>

#define REPORT_US 100000
/* No prompt is longer than this many times the mean. */
#define TAIL_MOST 8.0

/** struct event - a step to be done */
struct event {
    uint64_t at_us;
    uint64_t number; /* keeps the order of steps of one moment */
    sim_step *step;
    void *what;
};

/* Engines of a large language model that read 62 tokens in a millisecond, and
 * documents that fill the memory of all of them once. */
const struct sim_options sim_defaults = {
    .seed = 1,
    .zones = 5,
    .entries = 20,
    .engines = 29,
    .slots = 6,
    .queue = 18,
    .read_rate = 61.8,
    .pairs_ms = 0.367,
    .step_ms = 3.09,
    .stride = 8,
    .piece = 1024,
    .kv_tokens = 131748,
    .fetch_ms = 1.7,
    .link_tokens_ms = 839,
    .hop_us = 100,
    .far_hop_us = 900,
    .events_lag_us = 80000,
    .dead = 0,
    .named_s = 0,
    .seconds = 16,
    .warm_s = 4,
    .kinds =
        {
            {
                .name = "long",
                .per_s = 240,
                .parts = 1422,
                .skew = 0.4,
                .shared = 13300,
                .shared_spread = 0.7,
                .own = 3720,
                .own_spread = 1.1,
                .output = 7,
                .objective_ms = 600,
                .limit_ms = 6000,
            },
            {
                .name = "short",
                .per_s = 1540,
                .parts = 80,
                .skew = 0.3,
                .shared = 92,
                .shared_spread = 0.4,
                .own = 291,
                .own_spread = 1.1,
                .output = 3,
                .objective_ms = 400,
                .limit_ms = 3000,
            },
        },
};

uint64_t
sim_random(struct sim *sim)
{
    uint64_t x = (sim->random += UINT64_C(0x9e3779b97f4a7c15));

    x = (x ^ (x >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    x = (x ^ (x >> 27)) * UINT64_C(0x94d049bb133111eb);
    return x ^ (x >> 31);
}

double
sim_uniform(struct sim *sim)
{
    return (double)(sim_random(sim) >> 11) / 9007199254740992.0;
}

static double
exponential(struct sim *sim, double mean)
{
    return -log(1.0 - sim_uniform(sim)) * mean;
}

static bool
is_before(const struct event *left, const struct event *right)
{
    return left->at_us < right->at_us ||
           (left->at_us == right->at_us && left->number < right->number);
}

void
sim_at(struct sim *sim, uint64_t at_us, sim_step *step, void *what)
{
    struct event event = {at_us, sim->event_count++, step, what};
    struct event *heap;
    guint at = sim->events->len;

    g_array_append_val(sim->events, event);
    heap = (struct event *)(void *)sim->events->data;
    while (at > 0 && is_before(&event, &heap[(at - 1) / 2])) {
        heap[at] = heap[(at - 1) / 2];
        at = (at - 1) / 2;
    }
    heap[at] = event;
}

static struct event
next_event(struct sim *sim)
{
    struct event *heap = (struct event *)(void *)sim->events->data;
    struct event first = heap[0];
    struct event last = heap[sim->events->len - 1];
    guint count = sim->events->len - 1;
    guint at = 0;

    for (;;) {
        guint child = 2 * at + 1;

        if (child + 1 < count && is_before(&heap[child + 1], &heap[child])) {
            child++;
        }
        if (child >= count || !is_before(&heap[child], &last)) {
            break;
        }
        heap[at] = heap[child];
        at = child;
    }
    heap[at] = last;
    g_array_set_size(sim->events, count);
    return first;
}

/* Lengths of prompts have a long tail: a logarithmic normal distribution. */
static uint32_t
draw_tokens(struct sim *sim, double mean, double spread)
{
    double normal = sqrt(-2 * log(1.0 - sim_uniform(sim))) *
                    cos(2 * G_PI * sim_uniform(sim));
    double tokens = mean * exp(spread * normal - spread * spread / 2);

    return 1 + (uint32_t)MIN(tokens, TAIL_MOST * mean);
}

/* Popularity and size of the shared parts, the most popular first. */
static void
draw_parts(struct sim *sim, unsigned kind)
{
    const struct sim_kind *of = &sim->options.kinds[kind];
    double total = 0;

    sim->weights[kind] = g_new0(double, of->parts);
    sim->sizes[kind] = g_new0(uint32_t, of->parts);
    for (unsigned i = 0; i < of->parts; i++) {
        total += pow(i + 1, -of->skew);
        sim->weights[kind][i] = total;
        sim->sizes[kind][i] = draw_tokens(sim, of->shared, of->shared_spread);
    }
}

static unsigned
pick_part(struct sim *sim, unsigned kind)
{
    const struct sim_kind *of = &sim->options.kinds[kind];
    double at = sim_uniform(sim) * sim->weights[kind][of->parts - 1];
    unsigned low = 0;
    unsigned high = of->parts - 1;

    while (low < high) {
        unsigned middle = (low + high) / 2;

        if (sim->weights[kind][middle] < at) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

static void
ask(struct sim *sim, unsigned kind)
{
    const struct sim_kind *of = &sim->options.kinds[kind];
    struct sim_job *job = g_new0(struct sim_job, 1);
    unsigned part = pick_part(sim, kind);
    uint32_t own = draw_tokens(sim, of->own, of->own_spread);
    char salt[PGW_CACHE_SALT_SIZE];

    job->id = ++sim->jobs;
    job->kind = kind;
    job->entry = &sim->entries[sim_random(sim) % sim->entry_count];
    job->asked_us = sim->now_us;
    job->part.id = 1 + kind * 1000000ULL + part;
    job->part.tokens = sim->sizes[kind][part];
    pgw_cache_salt(salt, 1, NULL);
    job->key = pgw_part_key(SIM_MODEL, salt, job->part.id);
    job->prompt = (struct pgw_prompt){
        .parts = {{.id = job->part.id, .tokens = job->part.tokens},
                  {.id = sim_random(sim), .tokens = own}},
        .part_count = 2,
        .tokens = job->part.tokens + own,
        .output_tokens = of->output,
    };
    sim->result.asked[kind] +=
        sim->now_us >= (uint64_t)(sim->options.warm_s * 1e6);
    sim_entry_place(sim, job);
}

/** struct arrivals - the requests of one kind */
struct arrivals {
    unsigned kind;
};

static void
arrive(struct sim *sim, void *what)
{
    const struct arrivals *arrivals = what;
    const struct sim_kind *of = &sim->options.kinds[arrivals->kind];
    uint64_t next = sim->now_us + (uint64_t)exponential(sim, 1e6 / of->per_s);

    ask(sim, arrivals->kind);
    if (next < sim->end_us) {
        sim_at(sim, next, arrive, what);
    }
}

/* All engines at once: what a rollout costs beside its cold caches is not
 * played. */
static void
name_version(struct sim *sim, void *what)
{
    sim->version++;
    for (unsigned i = 0; i < sim->engine_count; i++) {
        sim_engine_empty(&sim->engines[i]);
    }
    for (unsigned i = 0; i < sim->entry_count; i++) {
        for (unsigned j = 0; j < sim->engine_count; j++) {
            pgw_upstream_clear_parts(sim->entries[i].upstreams[j]);
        }
    }
    if (sim->now_us < sim->end_us) {
        sim_at(sim, sim->now_us + (uint64_t)(sim->options.named_s * 1e6),
               name_version, what);
    }
}

static void
set_up(struct sim *sim)
{
    sim->random = sim->options.seed;
    sim->version = 1;
    sim->events = g_array_new(FALSE, FALSE, sizeof(struct event));
    sim->engine_count = sim->options.zones * sim->options.engines;
    sim->entry_count = sim->options.zones * sim->options.entries;
    sim->engines = g_new0(struct sim_engine, sim->engine_count);
    sim->entries = g_new0(struct sim_entry, sim->entry_count);
    for (unsigned i = 0; i < sim->engine_count; i++) {
        sim_engine_init(&sim->engines[i], sim, i);
        sim->engines[i].dead = sim_uniform(sim) < sim->options.dead;
        sim_at(sim, sim_random(sim) % REPORT_US, sim_sidecar_report,
               &sim->engines[i]);
    }
    for (unsigned i = 0; i < sim->entry_count; i++) {
        sim_entry_init(&sim->entries[i], sim, i / sim->options.entries);
    }
    for (unsigned kind = 0; kind < SIM_KINDS; kind++) {
        draw_parts(sim, kind);
    }
    if (sim->options.named_s > 0) {
        sim_at(sim, (uint64_t)(sim->options.named_s * 1e6), name_version,
               NULL);
    }
}

static void
sum_up(struct sim *sim)
{
    uint64_t busiest = 0;
    uint64_t all = 0;
    unsigned alive = 0;

    for (unsigned i = 0; i < sim->engine_count; i++) {
        alive += !sim->engines[i].dead;
        all += sim->engines[i].reading_us;
        busiest = MAX(busiest, sim->engines[i].reading_us);
    }
    sim->result.busiest = all == 0 ? 0 : (double)busiest * alive / (double)all;
    sim->result.reading = (double)all / alive / (sim->options.seconds * 1e6);
    sim->result.report_bytes =
        (double)sim->bytes / sim->engine_count / sim->options.seconds;
}

static void
tear_down(struct sim *sim)
{
    for (unsigned i = 0; i < sim->entry_count; i++) {
        sim_entry_dispose(&sim->entries[i]);
    }
    for (unsigned i = 0; i < sim->engine_count; i++) {
        sim_engine_dispose(&sim->engines[i]);
    }
    for (unsigned kind = 0; kind < SIM_KINDS; kind++) {
        g_free(sim->weights[kind]);
        g_free(sim->sizes[kind]);
    }
    g_array_unref(sim->events);
    g_free(sim->entries);
    g_free(sim->engines);
}

void
sim_run(struct sim_result *out, const struct sim_options *options,
        const struct pgw_choose_options *choose,
        const struct sim_policy *policy)
{
    struct sim sim = {
        .options = *options,
        .choose = *choose,
        .policy = policy,
        .end_us = (uint64_t)(options->seconds * 1e6),
    };
    struct arrivals arrivals[SIM_KINDS];

    set_up(&sim);
    for (unsigned kind = 0; kind < SIM_KINDS; kind++) {
        arrivals[kind].kind = kind;
        if (options->kinds[kind].per_s > 0) {
            sim_at(&sim, 0, arrive, &arrivals[kind]);
        }
    }
    /* What was asked last has its whole time to end. */
    while (sim.events->len > 0) {
        struct event event = next_event(&sim);

        sim.now_us = event.at_us;
        event.step(&sim, event.what);
    }
    sum_up(&sim);
    *out = sim.result;
    tear_down(&sim);
}
