#include "gateway/choose.h"
#include "parsleygw/place.h"
#include <float.h>
#include <string.h>
#include <xxhash.h>

#define UPSTREAMS_MAX 256

bool
pgw_upstream_is_usable(const struct pgw_upstream *upstream, uint64_t now_us)
{
    if (upstream->leaving || upstream->removed) {
        return false;
    }
    if (upstream->lapsed_until_us > 0 && now_us >= upstream->lapsed_until_us) {
        return false;
    }
    return !upstream->loading || now_us >= upstream->loading_until_us;
}

static bool
was_tried(const struct pgw_choose_input *input,
          const struct pgw_upstream *upstream)
{
    for (size_t i = 0; i < input->tried_count; i++) {
        if (input->tried[i] == upstream) {
            return true;
        }
    }
    return false;
}

static bool
is_unhealthy(const struct pgw_upstream *upstream,
             const struct pgw_choose_options *options, uint64_t now_us)
{
    return now_us < upstream->avoid_until_us ||
           upstream->failure_rate > options->bad_rate;
}

/* Plain calls: how long the queue would be, in rounds of the slots. */
static double
plain_cost(const struct pgw_upstream *upstream,
           const struct pgw_choose_options *options, uint64_t now_us)
{
    double load = pgw_upstream_load_estimate(upstream, now_us);
    double rounds = (load + 1.0) / upstream->slots;
    double cost = rounds;

    if (rounds > options->plain_depth) {
        return DBL_MAX;
    }
    /* Half a round is what a call may wait before it crosses to another
     * zone, whose bytes cost and whose way is longer. */
    if (!upstream->same_zone) {
        cost += 0.5;
    }
    if (now_us < upstream->cold_until_us) {
        cost += 0.5;
    }
    /* An upstream that fails every second call is worth half a round more. */
    return cost + upstream->failure_rate;
}

static uint32_t
shared_tokens(const struct pgw_prompt *prompt)
{
    uint32_t total = 0;

    for (size_t i = 0; i + 1 < prompt->part_count; i++) {
        total += prompt->parts[i].tokens;
    }
    return total;
}

void
pgw_cache_salt(char out[PGW_CACHE_SALT_SIZE], uint64_t version,
               const char *isolated_to)
{
    g_snprintf(out, PGW_CACHE_SALT_SIZE, "w%" G_GUINT64_FORMAT "%s%s", version,
               isolated_to == NULL ? "" : "-",
               isolated_to == NULL ? "" : isolated_to);
}

uint64_t
pgw_part_id(const char *text, size_t size)
{
    return XXH3_64bits(text, size);
}

uint64_t
pgw_part_key(const char *model, const char *salt, uint64_t id)
{
    uint64_t key = XXH3_64bits_withSeed(salt, strlen(salt), id);

    key ^= XXH3_64bits(model, strlen(model));
    return key == 0 ? 1 : key;
}

/* Shared tokens that an engine lacks; a part counts only behind all before
 * it. */
static uint32_t
missing_tokens(const struct pgw_upstream *upstream,
               const struct pgw_choose_input *input, bool expected)
{
    const struct pgw_prompt *prompt = input->prompt;
    uint64_t version = pgw_upstream_version(upstream, input->model);
    uint32_t missing = shared_tokens(prompt);
    char salt[PGW_CACHE_SALT_SIZE];

    pgw_cache_salt(salt, version, prompt->isolated_to);
    for (size_t i = 0; i + 1 < prompt->part_count; i++) {
        uint64_t key = pgw_part_key(input->model, salt, prompt->parts[i].id);

        if (!pgw_upstream_holds(upstream, key, prompt->parts[i].tokens,
                                expected, input->now_us)) {
            break;
        }
        missing -= prompt->parts[i].tokens;
    }
    return missing;
}

static uint64_t
memory_of(const struct pgw_upstream *upstream,
          const struct pgw_choose_input *input)
{
    return upstream->load.kv_total > 0 ? upstream->load.kv_total
                                       : input->kv_tokens;
}

/* Whether the request fits beside what runs there; one alone always may. */
static bool
fits_memory(const struct pgw_upstream *upstream,
            const struct pgw_choose_input *input,
            const struct pgw_choose_options *options)
{
    uint64_t total = memory_of(upstream, input);
    uint64_t used = pgw_upstream_kv_estimate(upstream, input->now_us);
    uint64_t need =
        (uint64_t)input->prompt->tokens + input->prompt->output_tokens;

    return total == 0 || used == 0 ||
           (double)(used + need) <= (double)total * options->memory_share;
}

static double
engine_cost(const struct pgw_upstream *upstream, uint32_t rank,
            const struct pgw_choose_input *input,
            const struct pgw_choose_options *options)
{
    const struct pgw_prompt *prompt = input->prompt;
    uint32_t load = pgw_upstream_load_estimate(upstream, input->now_us);
    uint64_t version = pgw_upstream_version(upstream, input->model);
    double cost;

    if (load + 1 > options->engine_depth * upstream->slots ||
        !fits_memory(upstream, input, options)) {
        return DBL_MAX;
    }
    if (version < input->version &&
        input->version_age_us >= options->old_limit_us) {
        return DBL_MAX;
    }
    cost = (double)upstream->prefill_tokens +
           missing_tokens(upstream, input, true);
    cost += (double)load * options->request_tokens;
    cost += rank * options->rank_share * shared_tokens(prompt);
    cost += upstream->same_zone ? 0 : options->zone_tokens;
    cost += version < input->version ? options->old_tokens : 0;
    return cost + upstream->failure_rate * options->zone_tokens;
}

/* Ranks of the upstreams for the prompt's shared parts, by position. */
static void
rank_upstreams(uint32_t *ranks, const struct pgw_choose_input *input)
{
    struct pgw_place_node nodes[UPSTREAMS_MAX];
    uint32_t order[PGW_PLACE_RANK_MAX];
    struct pgw_level_chain chain = {0};
    size_t count = MIN(input->upstreams->len, UPSTREAMS_MAX);
    size_t ranked;

    for (size_t i = 0; i < count; i++) {
        const struct pgw_upstream *upstream =
            g_ptr_array_index(input->upstreams, i);

        ranks[i] = PGW_PLACE_RANK_MAX;
        nodes[i] = (struct pgw_place_node){
            .id_hash = upstream->id_hash,
            .usable = upstream->same_zone &&
                      pgw_upstream_is_usable(upstream, input->now_us),
        };
    }
    for (size_t i = 0; i + 1 < input->prompt->part_count && i < PGW_LEVEL_MAX;
         i++) {
        chain.levels[i].hash_high = input->prompt->parts[i].id;
        chain.levels[i].hash_low = input->prompt->parts[i].id;
        chain.count = i + 1;
    }
    ranked = pgw_place_rank(order, PGW_PLACE_RANK_MAX, nodes, count, &chain);
    for (size_t i = 0; i < ranked; i++) {
        ranks[order[i]] = (uint32_t)i;
    }
}

static struct pgw_upstream *
find_holder(const struct pgw_choice *choice,
            const struct pgw_choose_input *input)
{
    struct pgw_upstream *best = NULL;
    uint32_t least = choice->missing_tokens;

    for (unsigned i = 0; i < input->upstreams->len; i++) {
        struct pgw_upstream *upstream = g_ptr_array_index(input->upstreams, i);
        uint32_t missing;

        if (upstream == choice->upstream || !upstream->same_zone ||
            !pgw_upstream_is_usable(upstream, input->now_us) ||
            input->now_us < upstream->avoid_until_us ||
            pgw_upstream_version(upstream, input->model) !=
                pgw_upstream_version(choice->upstream, input->model)) {
            continue;
        }
        missing = missing_tokens(upstream, input, false);
        if (missing < least) {
            least = missing;
            best = upstream;
        }
    }
    return best;
}

static double
cost_of(const struct pgw_upstream *upstream, uint32_t rank,
        const struct pgw_choose_input *input,
        const struct pgw_choose_options *options)
{
    return input->prompt == NULL ? plain_cost(upstream, options, input->now_us)
                                 : engine_cost(upstream, rank, input, options);
}

/* One pass over all; @unhealthy takes those that failed lately as well. */
static struct pgw_upstream *
cheapest(bool *busy, const struct pgw_choose_input *input,
         const struct pgw_choose_options *options, const uint32_t *ranks,
         bool unhealthy)
{
    struct pgw_upstream *best = NULL;
    double best_cost = DBL_MAX;
    size_t count = MIN(input->upstreams->len, UPSTREAMS_MAX);

    for (size_t i = 0; i < count; i++) {
        struct pgw_upstream *upstream = g_ptr_array_index(input->upstreams, i);
        double cost;

        if (!pgw_upstream_is_usable(upstream, input->now_us)) {
            *busy = *busy || (upstream->loading && !upstream->leaving);
            continue;
        }
        if (was_tried(input, upstream)) {
            continue;
        }
        *busy = true;
        if (!unhealthy && is_unhealthy(upstream, options, input->now_us)) {
            continue;
        }
        cost = cost_of(upstream, ranks[i], input, options);
        if (cost < best_cost) {
            best_cost = cost;
            best = upstream;
        }
    }
    return best;
}

void
pgw_choose(struct pgw_choice *out, const struct pgw_choose_input *input,
           const struct pgw_choose_options *options)
{
    uint32_t ranks[UPSTREAMS_MAX] = {0};

    memset(out, 0, sizeof(*out));
    if (input->upstreams == NULL) {
        return;
    }
    if (input->prompt != NULL) {
        rank_upstreams(ranks, input);
    }
    out->upstream = cheapest(&out->busy, input, options, ranks, false);
    if (out->upstream == NULL) {
        out->upstream = cheapest(&out->busy, input, options, ranks, true);
    }
    if (out->upstream == NULL || input->prompt == NULL) {
        return;
    }
    out->missing_tokens = missing_tokens(out->upstream, input, true);
    if (out->missing_tokens > 0) {
        out->holder = find_holder(out, input);
    }
}
