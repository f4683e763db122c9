/* An entry: the gateway's decisions from the reports that it got. */
#include "sim.h"

#define RETRY_US 20000
#define SENDS_MAX 5
/* As the gateway: what cannot be sent within this share of its time is
 * refused. */
#define WAIT_SHARE 0.33

void
sim_entry_init(struct sim_entry *entry, struct sim *sim, unsigned zone)
{
    char name[16];

    g_snprintf(name, sizeof(name), "z%u", zone);
    entry->sim = sim;
    entry->zone = zone;
    entry->table = pgw_upstream_table_new(name);
    pgw_upstream_table_set_remote_on_request(entry->table,
                                             sim->options.homes > 0);
    entry->upstreams = g_new0(struct pgw_upstream *, sim->engine_count);
    for (unsigned i = 0; i < sim->engine_count; i++) {
        const struct sim_engine *engine = &sim->engines[i];
        char id[16];
        char engine_zone[16];
        char address[32];
        struct pgw_upstream_facts facts = {
            .id = id,
            .service = "s",
            .address = address,
            .zone = engine_zone,
            .slots = sim->options.slots,
            .leaving = engine->dead,
            .models = {{(char *)SIM_MODEL, 1}},
            .model_count = 1,
        };

        g_snprintf(id, sizeof(id), "e%u", i);
        g_snprintf(engine_zone, sizeof(engine_zone), "z%u", engine->zone);
        g_snprintf(address, sizeof(address), "10.%u.%u.%u:80", engine->zone,
                   i / 250, i % 250 + 1);
        entry->upstreams[i] = pgw_upstream_table_put(entry->table, &facts);
        entry->upstreams[i]->sidecar_is_reporting = true;
        pgw_engine_pace_set_prefill_rate(&entry->upstreams[i]->pace,
                                         engine->rate, sim->now_us + 1);
    }
}

void
sim_entry_dispose(struct sim_entry *entry)
{
    pgw_upstream_table_free(entry->table);
    g_free(entry->upstreams);
}

static void
expect(struct sim *sim, void *what)
{
    struct sim_announcement *announcement = what;

    (void)sim;
    sim_sidecar_expect(announcement->engine, announcement);
    g_free(announcement);
}

static uint64_t
hop(const struct sim_job *job)
{
    const struct sim_options *options = &job->entry->sim->options;

    return job->engine->zone == job->entry->zone ? options->hop_us
                                                 : options->far_hop_us;
}

static void
send_job(struct sim *sim, struct sim_job *job)
{
    struct pgw_upstream *upstream = job->entry->upstreams[job->engine->index];

    job->sends++;
    job->counted = job->prompt.tokens + job->prompt.output_tokens;
    job->prefill = job->prompt.tokens - job->part.tokens + job->missing;
    if (job->prefill >= PGW_LONG_PREFILL_TOKENS ||
        !pgw_upstream_has_part(upstream, job->key, job->part.tokens, true,
                               sim->now_us)) {
        struct sim_announcement *announcement =
            g_new0(struct sim_announcement, 1);

        *announcement = (struct sim_announcement){
            .engine = job->engine,
            .key = job->key,
            .tokens = job->part.tokens,
            .pending_tokens = job->prefill,
            .kv_tokens = job->counted,
            .request = job->id,
        };
        job->announced = job->prefill >= PGW_LONG_PREFILL_TOKENS;
        sim_at(sim, sim->now_us + hop(job), expect, announcement);
    }
    pgw_recent_parts_add(&upstream->expected, job->key, sim->now_us);
    upstream->inflight++;
    upstream->inflight_tokens += job->counted;
    upstream->prefill_tokens += job->prefill;
    upstream->long_prefills += job->prefill >= PGW_LONG_PREFILL_TOKENS;
    sim_at(sim, sim->now_us + hop(job), sim_engine_arrive, job);
}

void
sim_entry_take_part(struct pgw_upstream *upstream,
                    const struct pgw_part_update *part, uint64_t now_us)
{
    if (part->expected) {
        pgw_recent_parts_add(&upstream->expected, part->key, now_us);
    }
    else {
        pgw_upstream_set_cached_part(upstream, part->key, part->tokens);
    }
}

static void
end_announcement(struct sim *sim, void *what)
{
    struct sim_announcement *announcement = what;

    (void)sim;
    pgw_announced_prompts_end(&announcement->engine->announced,
                              announcement->request);
    g_free(announcement);
}

static void
end_prefill(struct sim_job *job)
{
    struct pgw_upstream *upstream = job->entry->upstreams[job->engine->index];

    if (job->announced) {
        struct sim *sim = job->entry->sim;
        struct sim_announcement *announcement =
            g_new0(struct sim_announcement, 1);

        announcement->engine = job->engine;
        announcement->request = job->id;
        job->announced = false;
        sim_at(sim, sim->now_us + hop(job), end_announcement, announcement);
    }
    upstream->prefill_tokens -= job->prefill;
    upstream->long_prefills -= job->prefill >= PGW_LONG_PREFILL_TOKENS;
    job->prefill = 0;
}

static void
leave(struct sim_job *job)
{
    struct pgw_upstream *upstream = job->entry->upstreams[job->engine->index];

    end_prefill(job);
    upstream->inflight--;
    upstream->inflight_tokens -= job->counted;
}

static bool
counts(const struct sim *sim, const struct sim_job *job)
{
    return job->asked_us >= (uint64_t)(sim->options.warm_s * 1e6);
}

static void
refuse(struct sim *sim, struct sim_job *job)
{
    sim->result.refused[job->kind] += counts(sim, job);
    g_free(job);
}

static void
place(struct sim *sim, void *what)
{
    struct sim_job *job = what;
    const struct sim_kind *kind = &sim->options.kinds[job->kind];

    job->version = sim->version;
    job->source = NULL;
    if (job->sends < SENDS_MAX && sim->policy->choose(job->entry, job)) {
        send_job(sim, job);
        return;
    }
    if ((double)(sim->now_us - job->asked_us) / 1000 >
        kind->limit_ms * WAIT_SHARE) {
        refuse(sim, job);
        return;
    }
    sim_at(sim, sim->now_us + RETRY_US, sim_entry_place, job);
}

static struct sim_engine *
home(const struct sim_job *job, size_t index)
{
    return &job->entry->sim
                ->engines[strtoul(job->homes.items[index]->id + 1, NULL, 10)];
}

static void
take_answers(struct sim *sim, void *what)
{
    struct sim_job *job = what;

    for (size_t i = 0; i < job->homes.count; i++) {
        const struct sim_answer *answer = &job->answers[i];
        struct pgw_upstream *upstream = job->homes.items[i];

        pgw_upstream_update_load(upstream, &answer->load, sim->now_us);
        sim_entry_take_part(upstream, &answer->part, sim->now_us);
    }
    place(sim, job);
}

static void
answer_probes(struct sim *sim, void *what)
{
    struct sim_job *job = what;

    for (size_t i = 0; i < job->homes.count; i++) {
        sim_sidecar_answer(&job->answers[i], home(job, i), job->key);
    }
    sim_at(sim, sim->now_us + sim->options.far_hop_us, take_answers, job);
}

/* Sidecars of homes in other zones are asked before a prompt is sent that
 * takes much longer to read than they take to answer. */
void
sim_entry_place(struct sim *sim, void *what)
{
    struct sim_job *job = what;
    struct pgw_level_chain chain;

    job->homes.count = 0;
    if (job->part.tokens >= PGW_LONG_PREFILL_TOKENS) {
        pgw_prompt_chain(&chain, &job->prompt);
        pgw_homes_pick(&job->homes,
                       pgw_upstream_table_pool(job->entry->table, "s"), &chain,
                       sim->options.homes, sim->now_us);
    }
    if (job->homes.count == 0) {
        place(sim, job);
        return;
    }
    sim_at(sim, sim->now_us + sim->options.far_hop_us, answer_probes, job);
}

void
sim_entry_first(struct sim *sim, void *what)
{
    struct sim_job *job = what;
    const struct sim_kind *kind = &sim->options.kinds[job->kind];
    double took = (double)(sim->now_us + hop(job) - job->asked_us) / 1000;

    end_prefill(job);
    if (!counts(sim, job)) {
        return;
    }
    if (took <= kind->objective_ms) {
        job->in_time = true;
        sim->result.in_time[job->kind]++;
    }
    else if (took <= kind->limit_ms) {
        sim->result.late[job->kind]++;
    }
    else {
        sim->result.refused[job->kind]++;
    }
}

void
sim_entry_end(struct sim *sim, void *what)
{
    struct sim_job *job = what;

    if (job->in_time && sim->options.pause_ms > 0) {
        sim->result.paused[job->kind] += job->pause_ms > sim->options.pause_ms;
    }
    leave(job);
    g_free(job);
}

void
sim_entry_refused(struct sim *sim, void *what)
{
    struct sim_job *job = what;
    struct pgw_upstream *upstream = job->entry->upstreams[job->engine->index];

    leave(job);
    pgw_upstream_record_attempt(upstream, PGW_RESULT_REFUSED, sim->now_us);
    sim_at(sim, sim->now_us + hop(job), sim_entry_place, job);
}
