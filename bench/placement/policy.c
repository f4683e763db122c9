/* The gateway's placement and those of the literature. */
#include "parsleygw/place.h"
#include "sim.h"
#include <string.h>

/* Bounded loads: an engine takes so many times the mean of all. */
#define BOUND 1.25

static struct pgw_choose_input
ask(struct sim_entry *entry, struct sim_job *job)
{
    struct sim *sim = entry->sim;

    return (struct pgw_choose_input){
        .pool = pgw_upstream_table_pool(entry->table, "s"),
        .prompt = &job->prompt,
        .homes = &job->homes,
        .model = SIM_MODEL,
        .size = job->prompt.tokens,
        .prefill_tokens_per_ms = sim->options.read_rate,
        .kv_tokens = sim->options.kv_tokens,
        .now_us = sim->now_us,
        .random = sim_random(sim),
    };
}

static struct sim_engine *
engine_of(struct sim_entry *entry, const struct pgw_upstream *upstream)
{
    return &entry->sim->engines[strtoul(upstream->id + 1, NULL, 10)];
}

/* The sidecar's answer to a claim, without the way there. */
static bool
grant(const struct sim_engine *engine, const struct pgw_choice *choice)
{
    uint64_t pending =
        pgw_announced_prompts_pending(&engine->announced).tokens;

    return pending == 0 ||
           pending + choice->pending_tokens <= choice->backlog_limit_tokens;
}

static bool
choose_gateway(struct sim_entry *entry, struct sim_job *job)
{
    static const struct pgw_lanes_options lanes = PGW_LANES_OPTIONS_INIT;
    const struct sim_options *options = &entry->sim->options;
    struct pgw_choose_input input = ask(entry, job);
    struct pgw_choice choice;

    if (options->divided) {
        pgw_lanes_update(&entry->lanes, &lanes, input.pool, input.now_us);
    }
    input.may_wait = options->waits;
    input.objective_ms = options->kinds[job->kind].objective_ms;
    pgw_choose(&choice, &input, &entry->sim->choose);
    if (choice.upstream == NULL ||
        (choice.needs_claim &&
         !grant(engine_of(entry, choice.upstream), &choice))) {
        return false;
    }
    if (options->divided) {
        pgw_lanes_count_prompt(&entry->lanes, &lanes, choice.pending_tokens,
                               job->prompt.tokens, input.now_us);
    }
    job->engine = engine_of(entry, choice.upstream);
    job->missing = choice.missing_tokens;
    job->source = choice.holder == NULL || choice.holder_missing > 0
                      ? NULL
                      : engine_of(entry, choice.holder);
    return true;
}

/* The baselines know loads only; what they lack is read. */
static bool
take(struct sim_job *job, struct sim_engine *engine)
{
    job->engine = engine;
    job->missing = job->part.tokens;
    return true;
}

static double
load_of(const struct sim_entry *entry, unsigned index)
{
    const struct pgw_upstream *upstream = entry->upstreams[index];

    return upstream->leaving
               ? G_MAXDOUBLE
               : pgw_upstream_load_estimate(upstream, entry->sim->now_us);
}

static bool
choose_round_robin(struct sim_entry *entry, struct sim_job *job)
{
    struct sim *sim = entry->sim;

    do {
        entry->turn = (entry->turn + 1) % sim->engine_count;
    } while (sim->engines[entry->turn].dead);
    return take(job, &sim->engines[entry->turn]);
}

static bool
choose_least_loaded(struct sim_entry *entry, struct sim_job *job)
{
    struct sim *sim = entry->sim;
    unsigned start = (unsigned)(sim_random(sim) % sim->engine_count);
    unsigned best = start;

    for (unsigned i = 0; i < sim->engine_count; i++) {
        unsigned index = (start + i) % sim->engine_count;

        if (load_of(entry, index) < load_of(entry, best)) {
            best = index;
        }
    }
    return take(job, &sim->engines[best]);
}

static bool
choose_two(struct sim_entry *entry, struct sim_job *job)
{
    struct sim *sim = entry->sim;
    unsigned one = (unsigned)(sim_random(sim) % sim->engine_count);
    unsigned two = (unsigned)(sim_random(sim) % sim->engine_count);

    if (load_of(entry, two) < load_of(entry, one)) {
        one = two;
    }
    return sim->engines[one].dead ? choose_two(entry, job)
                                  : take(job, &sim->engines[one]);
}

static bool
choose_bounded_hash(struct sim_entry *entry, struct sim_job *job)
{
    struct sim *sim = entry->sim;
    struct pgw_place_node *nodes =
        g_new0(struct pgw_place_node, sim->engine_count);
    struct pgw_level_chain chain = {
        .levels = {{.hash_high = job->part.id, .hash_low = job->part.id}},
        .count = 1,
    };
    uint32_t order[PGW_PLACE_RANK_MAX];
    double total = 0;
    unsigned alive = 0;
    size_t ranked;
    size_t at = 0;

    for (unsigned i = 0; i < sim->engine_count; i++) {
        nodes[i].id_hash = entry->upstreams[i]->id_hash;
        nodes[i].usable = !sim->engines[i].dead;
        alive += nodes[i].usable;
        total += nodes[i].usable ? load_of(entry, i) : 0;
    }
    ranked = pgw_place_rank(order, PGW_PLACE_RANK_MAX, nodes,
                            sim->engine_count, &chain);
    while (at + 1 < ranked &&
           load_of(entry, order[at]) >= BOUND * (total / alive + 1)) {
        at++;
    }
    g_free(nodes);
    return ranked > 0 && take(job, &sim->engines[order[at]]);
}

const struct sim_policy sim_policies[] = {
    {"parsleygw", choose_gateway},         {"round-robin", choose_round_robin},
    {"least-loaded", choose_least_loaded}, {"two-choices", choose_two},
    {"bounded-hash", choose_bounded_hash},
};
const size_t sim_policy_count = G_N_ELEMENTS(sim_policies);

const struct sim_policy *
sim_policy_find(const char *name)
{
    for (size_t i = 0; i < sim_policy_count; i++) {
        if (strcmp(sim_policies[i].name, name) == 0) {
            return &sim_policies[i];
        }
    }
    return NULL;
}
