#include "gateway/cover/cover_policy.h"
#include "parsleygw/place.h"

/* Uniform in [0, 1), from the seed and a position. */
static double
random_share(uint64_t seed, uint64_t position)
{
    uint64_t mixed = (seed ^ (position + 1)) * UINT64_C(0x9E3779B97F4A7C15);

    mixed = (mixed ^ (mixed >> 32)) * UINT64_C(0xD6E8FEB86659FD93);
    return (double)(mixed >> 40) / (double)(1 << 24);
}

static struct pgw_upstream *
candidate_at(const struct pgw_cover_input *input, unsigned position)
{
    const GPtrArray *all = input->pool->all;

    return g_ptr_array_index(all,
                             (input->random % all->len + position) % all->len);
}

static unsigned
candidate_count(const struct pgw_cover_input *input,
                const struct pgw_cover_options *options)
{
    return MIN(input->pool->all->len, options->candidates);
}

/* Share of a zone's engines that were lost lately. Lost ones may still be
 * listed, so those that the sample misses are estimated from its size. */
static double
zone_share(const struct pgw_cover_input *input, const char *zone,
           const struct pgw_cover_options *options)
{
    unsigned count = candidate_count(input, options);
    unsigned in_zone = 0;
    unsigned lost = pgw_engine_losses_count(
        input->losses, input->service, pgw_place_id_hash(zone), input->now_us);

    if (lost == 0) {
        return 0;
    }
    for (unsigned i = 0; i < count; i++) {
        in_zone += g_strcmp0(candidate_at(input, i)->zone, zone) == 0;
    }
    return MIN(1.0, (double)lost * count /
                        ((double)MAX(in_zone, 1) * input->pool->all->len));
}

/* The rate of losses goes on for the time of the run. */
static void
assess_risk(struct pgw_cover *out, const struct pgw_cover_input *input,
            const struct pgw_cover_options *options)
{
    double times = input->run_ms * 1000 / (double)PGW_ENGINE_LOSS_TIME_US;
    double zone = zone_share(input, input->engine->zone, options);
    double all = (double)pgw_engine_losses_count(input->losses, input->service,
                                                 0, input->now_us) /
                 input->pool->all->len;

    out->risk = MIN(1.0, MAX(all, zone) * times);
    out->reason = zone > all ? "zone_lost" : "engines_lost";
    if (input->engine->failure_rate >= options->ill_failure_rate &&
        input->engine->failure_rate > out->risk) {
        out->risk = input->engine->failure_rate;
        out->reason = "engine_ill";
    }
}

/* Cost of copying a token, in tokens that an engine prefills meanwhile. */
static double
copy_cost(const struct pgw_cover_input *input,
          const struct pgw_cover_options *options)
{
    double time = options->copy_time;

    if (input->kv_token_bytes > 0 && input->link_bytes_per_ms > 0 &&
        input->prefill_tokens_per_ms > 0) {
        time = input->kv_token_bytes / input->link_bytes_per_ms *
               input->prefill_tokens_per_ms;
    }
    return options->link_weight * time;
}

static bool
is_worth(const struct pgw_cover *cover, const struct pgw_upstream *holder,
         const struct pgw_cover_input *input,
         const struct pgw_cover_options *options)
{
    bool is_remote = g_strcmp0(holder->zone, input->engine->zone) != 0;
    double token_cost =
        options->room_weight +
        copy_cost(input, options) * (is_remote ? options->remote_factor : 1);

    return cover->risk * options->use_share *
               (input->prompt_tokens + options->answer_tokens) >
           token_cost * input->prompt_tokens;
}

/* Shares of the slots and of the KV cache that are taken; false if there is
 * no room for the copy. */
static bool
has_room(double *load, double *kv, const struct pgw_upstream *upstream,
         const struct pgw_cover_input *input,
         const struct pgw_cover_options *options)
{
    uint64_t total = upstream->load.kv_total > 0 ? upstream->load.kv_total
                                                 : input->kv_tokens;
    uint64_t need = (uint64_t)input->prompt_tokens + input->output_tokens;
    uint64_t used = pgw_upstream_kv_estimate(upstream, input->now_us);

    if (upstream->slots == 0) {
        return false;
    }
    *load = (double)pgw_upstream_load_estimate(upstream, input->now_us) /
            upstream->slots;
    *kv = total == 0 ? 0 : (double)(used + need) / (double)total;
    return *load <= options->max_load && *kv <= options->max_kv;
}

/* A copy is of use only where the same weights and the same software run. */
static bool
is_compatible(const struct pgw_upstream *upstream,
              const struct pgw_cover_input *input)
{
    uint64_t version = pgw_upstream_version(input->engine, input->model);

    return upstream != input->engine && version != 0 &&
           pgw_upstream_version(upstream, input->model) == version &&
           upstream->software != NULL &&
           upstream->software == input->engine->software;
}

/* Engines of other zones whose sidecars report on request only look empty. One
 * that short prompts get first is kept free for them: a copy of a long prompt
 * takes as much of its KV cache as forty of them. */
static bool
may_hold(const struct pgw_upstream *upstream,
         const struct pgw_cover_input *input)
{
    return (upstream->same_zone || !input->pool->remote_on_request) &&
           upstream->lane != PGW_LANE_SHORT;
}

static bool
is_healthy(const struct pgw_upstream *upstream,
           const struct pgw_cover_input *input,
           const struct pgw_cover_options *options)
{
    return pgw_upstream_is_usable(upstream, input->now_us) &&
           pgw_upstream_liveness(upstream, input->now_us) == PGW_RESPONSIVE &&
           !upstream->is_next_to_load && !upstream->stated.recovering &&
           input->now_us >= upstream->avoid_until_us &&
           input->now_us >= upstream->full_until_us &&
           input->now_us >= upstream->stated.backoff_until_us &&
           upstream->failures == 0 &&
           upstream->failure_rate < options->ill_failure_rate;
}

/* Room first, then the zone: a transfer between zones takes twice as long, and
 * an engine in a zone that loses engines may be the next. */
static double
holder_cost(const struct pgw_upstream *upstream, double load, double kv,
            double own_zone_share, const struct pgw_cover_input *input,
            const struct pgw_cover_options *options)
{
    bool is_remote = g_strcmp0(upstream->zone, input->engine->zone) != 0;

    return load + kv + (is_remote ? 1.0 / options->remote_factor : 0) +
           options->spread * random_share(input->random, upstream->id_hash) +
           (is_remote ? 0 : own_zone_share);
}

void
pgw_cover_decide(struct pgw_cover *out, const struct pgw_cover_input *input,
                 const struct pgw_cover_options *options)
{
    double lowest_cost = 0;
    double own_zone_share;

    *out = (struct pgw_cover){.reason = "short"};
    if (input->prompt_tokens < options->min_tokens) {
        return;
    }
    assess_risk(out, input, options);
    if (out->risk <= 0) {
        out->reason = "no_danger";
        return;
    }
    own_zone_share = zone_share(input, input->engine->zone, options);
    for (unsigned i = 0; i < candidate_count(input, options); i++) {
        struct pgw_upstream *upstream = candidate_at(input, i);
        double load;
        double kv;
        double cost;

        if (!is_compatible(upstream, input) || !may_hold(upstream, input) ||
            !is_healthy(upstream, input, options) ||
            !has_room(&load, &kv, upstream, input, options) ||
            !is_worth(out, upstream, input, options)) {
            continue;
        }
        cost = holder_cost(upstream, load, kv, own_zone_share, input, options);
        if (out->holder == NULL || cost < lowest_cost) {
            out->holder = upstream;
            lowest_cost = cost;
        }
    }
    if (out->holder == NULL) {
        out->reason = "no_room";
    }
}
