#include "workload.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define US_PER_S 1e6
#define BURST_FACTOR 5.0 /* arrivals during the launch, times the usual */
#define BURST_PART 0.1   /* of the measured time */
#define WAVE_DEPTH 0.2   /* how far the rate swings around its mean */
#define WAVES 2.0        /* swings in the measured time */
#define RUN_GAP_S 0.12   /* mean time between the calls of a batch run */
#define RUN_GAP_AT_ONCE_S 0.002
#define WARMUP_LEAST 0.3 /* rate at the start of the warm-up, of the usual */

struct generator {
    const struct workload_options *options;
    uint64_t random;
    double weights[64];
    GArray *out;
    uint64_t runs;
};

static uint64_t
next_random(uint64_t *state)
{
    uint64_t x = (*state += UINT64_C(0x9e3779b97f4a7c15));

    x = (x ^ (x >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    x = (x ^ (x >> 27)) * UINT64_C(0x94d049bb133111eb);
    return x ^ (x >> 31);
}

static double
uniform(struct generator *generator)
{
    return (double)(next_random(&generator->random) >> 11) /
           9007199254740992.0;
}

static double
exponential(struct generator *generator, double mean)
{
    return -log(1.0 - uniform(generator)) * mean;
}

/* Rank of 0..n-1, the weight of rank r being 1 / (r + 1) ^ skew. */
static unsigned
zipf(struct generator *generator, unsigned n)
{
    double total = 0, at;

    for (unsigned i = 0; i < n; i++) {
        total += pow(i + 1, -generator->options->skew);
    }
    at = uniform(generator) * total;
    for (unsigned i = 0; i + 1 < n; i++) {
        at -= pow(i + 1, -generator->options->skew);
        if (at < 0) {
            return i;
        }
    }
    return n - 1;
}

static unsigned
pick_workspace(struct generator *generator)
{
    double at = uniform(generator);
    unsigned i = 0;

    while (i + 1 < WORKLOAD_WORKSPACES && at >= workload_share(i)) {
        at -= workload_share(i++);
    }
    return i;
}

static uint64_t
level_id(uint64_t parent, uint64_t number)
{
    uint64_t key[2] = {parent, number};

    return XXH3_64bits(key, sizeof(key));
}

static bool
in_burst(const struct workload_options *options, double at)
{
    double from = options->warmup_s + options->burst_s;

    return options->burst_s >= 0 && at >= from &&
           at < from + BURST_PART * options->seconds;
}

/* The usual rate at a time, relative to its mean. */
static double
shape(const struct workload_options *options, double at)
{
    double measured = at - options->warmup_s;

    if (measured < 0) {
        return WARMUP_LEAST + (1 - WARMUP_LEAST) * at / options->warmup_s;
    }
    return 1 +
           WAVE_DEPTH * sin(2 * G_PI * WAVES * measured / options->seconds);
}

static void
add_arrival(struct generator *generator, struct arrival *arrival, double at)
{
    arrival->at_us =
        (uint64_t)(at * US_PER_S / generator->options->time_scale);
    g_array_append_val(generator->out, *arrival);
}

/* After the shift the heat of the ranks has moved on by half of them, so
 * that what was hottest is among the coldest. */
static unsigned
pick_rank(struct generator *generator, unsigned n, double at)
{
    const struct workload_options *options = generator->options;
    unsigned rank = zipf(generator, n);
    bool shifted =
        options->shift_s >= 0 && at >= options->warmup_s + options->shift_s;

    return shifted ? (rank + (n + 1) / 2) % n : rank;
}

static void
pick_levels(struct generator *generator, struct arrival *arrival, double at)
{
    const struct scenario *scenario = generator->options->scenario;
    const struct call_class *class = &scenario->classes[arrival->class];
    unsigned ranks[WORKLOAD_LEVELS] = {
        pick_rank(generator, scenario->guides, at),
        pick_rank(generator, scenario->hostels, at),
        zipf(generator, scenario->walkers),
    };
    uint64_t parent = arrival->workspace + 1;

    for (unsigned i = 0; i<WORKLOAD_LEVELS &&class->level_tokens[i]> 0; i++) {
        arrival->levels[i] = parent = level_id(parent, ranks[i]);
    }
}

static void
add_run(struct generator *generator, struct arrival *arrival, double at)
{
    const struct workload_options *options = generator->options;
    unsigned run = options->scenario->classes[arrival->class].run;

    arrival->levels[2] =
        level_id(arrival->levels[1], 1000000 + generator->runs++);
    for (unsigned i = 0; i < run; i++) {
        if (at < options->warmup_s + options->seconds) {
            add_arrival(generator, arrival, at);
        }
        at += exponential(generator,
                          options->scenario->classes[arrival->class].within > 0
                              ? RUN_GAP_AT_ONCE_S
                              : RUN_GAP_S);
    }
}

/* The launch: a guide that nobody has asked before, of one workspace. */
static void
add_launch(struct generator *generator, unsigned class, double at)
{
    const struct scenario *scenario = generator->options->scenario;
    struct arrival arrival = {.class = class, .workspace = 1};
    uint64_t parent = level_id(arrival.workspace + 1, scenario->guides);

    arrival.levels[0] = parent;
    for (unsigned i = 1;
         i < WORKLOAD_LEVELS && scenario->classes[class].level_tokens[i] > 0;
         i++) {
        unsigned n = i == 1 ? scenario->hostels : scenario->walkers;

        arrival.levels[i] = parent =
            level_id(parent, next_random(&generator->random) % n);
    }
    add_arrival(generator, &arrival, at);
}

static void
generate_class(struct generator *generator, unsigned class)
{
    const struct workload_options *options = generator->options;
    const struct call_class *one = &options->scenario->classes[class];
    double end = options->warmup_s + options->seconds;
    double peak = 1 + WAVE_DEPTH;
    double rate = options->scenario->rate * options->load * one->share * peak /
                  MAX(one->run, 1);

    double at = 0;

    if (one->within > 0) {
        at = options->warmup_s;
        end = at + one->within * options->seconds;
        rate /= one->within;
    }
    while ((at += exponential(generator, 1 / rate)) < end) {
        struct arrival arrival = {.class = class};

        if (uniform(generator) * peak >= shape(options, at)) {
            continue;
        }
        arrival.workspace = pick_workspace(generator);
        pick_levels(generator, &arrival, at);
        if (one->run > 1) {
            add_run(generator, &arrival, at);
        }
        else {
            add_arrival(generator, &arrival, at);
        }
    }
}

static void
generate_burst(struct generator *generator)
{
    const struct workload_options *options = generator->options;
    double rate = options->scenario->rate * options->load * (BURST_FACTOR - 1);
    double at = options->warmup_s + options->burst_s;

    while (options->burst_s >= 0 && in_burst(options, at)) {
        add_launch(generator, options->scenario->launch, at);
        at += exponential(generator, 1 / rate);
    }
}

static gint
compare_arrivals(gconstpointer a, gconstpointer b)
{
    uint64_t left = ((const struct arrival *)a)->at_us;
    uint64_t right = ((const struct arrival *)b)->at_us;

    return (left > right) - (left < right);
}

GArray *
workload_schedule(const struct workload_options *options)
{
    struct generator generator = {
        .options = options,
        .out = g_array_new(FALSE, TRUE, sizeof(struct arrival)),
    };

    for (unsigned i = 0; i < options->scenario->n_classes; i++) {
        generator.random = options->seed * 1000003 + i;
        generate_class(&generator, i);
    }
    generate_burst(&generator);
    g_array_sort(generator.out, compare_arrivals);
    for (guint i = 0; i < generator.out->len; i++) {
        g_array_index(generator.out, struct arrival, i).number = i;
    }
    return generator.out;
}

/* Pseudo-words of four bytes: one token each. */
static void
append_words(GString *out, uint64_t id, size_t bytes)
{
    uint64_t state = id;
    size_t end = out->len + bytes;

    while (out->len < end) {
        uint64_t bits = next_random(&state);

        for (int i = 0; i < 4 && out->len < end; i++, bits >>= 15) {
            char word[4] = {(char)('a' + (bits & 31) % 26),
                            (char)('a' + (bits >> 5 & 31) % 26),
                            (char)('a' + (bits >> 10 & 31) % 26), ' '};

            g_string_append_len(out, word,
                                (gssize)MIN(sizeof(word), end - out->len));
        }
    }
}

void
workload_prompt(GString *out, const struct scenario *scenario,
                const struct arrival *arrival, uint64_t seed)
{
    const struct call_class *class = &scenario->classes[arrival->class];
    size_t marker = strlen(WORKLOAD_MARKER);

    g_string_truncate(out, 0);
    for (unsigned i = 0; i<WORKLOAD_LEVELS &&class->level_tokens[i]> 0; i++) {
        append_words(out, arrival->levels[i],
                     (size_t) class->level_tokens[i] * WORKLOAD_TOKEN_BYTES -
                         marker);
        g_string_append(out, WORKLOAD_MARKER);
    }
    append_words(out, level_id(~seed, arrival->number),
                 (size_t) class->question_tokens * WORKLOAD_TOKEN_BYTES);
}

void
workload_key(char out[WORKLOAD_KEY_SIZE], const struct arrival *arrival,
             uint64_t seed, uint64_t wall_ms)
{
    uint64_t a = level_id(seed ^ wall_ms, arrival->number * 2);
    uint64_t b = level_id(seed ^ wall_ms, arrival->number * 2 + 1);

    snprintf(out, WORKLOAD_KEY_SIZE, "%08x-%04x-7%03x-%04x-%04x%08x",
             (unsigned)(wall_ms >> 16), (unsigned)(wall_ms & 0xffff),
             (unsigned)(a & 0xfff), (unsigned)(0x8000 | (a >> 16 & 0x3fff)),
             (unsigned)(b & 0xffff), (unsigned)(b >> 32));
}

void
workload_answer(GString *out, const GString *prompt, unsigned tokens)
{
    uint64_t text = XXH3_64bits(prompt->str, prompt->len);

    g_string_truncate(out, 0);
    for (unsigned i = 0; i < tokens; i++) {
        uint64_t hash = XXH3_64bits_withSeed(&text, sizeof(text), i);

        g_string_append_printf(out, "w%04x-%u ", (unsigned)(hash & 0xffff), i);
    }
}
