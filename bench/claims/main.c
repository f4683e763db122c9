/*
 * Claims per store write under load: the real claim machines against a store
 * with a fixed latency and a write budget, in simulated time, so that the
 * figures do not depend on the machine. Arrivals are open-loop. By default one
 * period of the layout passes, from empty objects on.
 */
#include <parsleygw/claim.h>

#include <getopt.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US UINT64_C(1000000)
#define START_US (UINT64_C(1700000000) * US)
#define SHARDS_MAX 64

/**
 * struct setup - what is simulated
 * @rate: calls a second over all shards
 * @shards: objects in use
 * @latency_us: of each store operation
 * @writes: store writes a second that claims may use in all
 * @service_us: run time of a call
 * @body: bytes of an answer
 * @seconds: simulated time
 */
struct setup {
    double rate;
    uint32_t shards;
    uint64_t latency_us;
    uint32_t writes;
    uint64_t service_us;
    uint32_t body;
    uint32_t seconds;
    uint64_t seed;
};

/** struct object - one shard's machine and its object in the store */
struct object {
    struct pgw_claim_shard *shard;
    enum pgw_io_kind kind;
    uint64_t done_us;
    uint64_t version;
    uint64_t bytes_written;
};

/** struct running - a call at its upstream; calls end in order of start */
struct running {
    uint64_t end_us;
    uint64_t ticket;
    uint32_t object;
};

struct simulation {
    struct setup setup;
    struct object objects[SHARDS_MAX];
    GArray *arrivals; /* arrival time by ticket */
    GArray *waits;    /* time from arrival to the word to run */
    GQueue running;
    GBytes *body;
    uint64_t now_us;
    uint64_t random;
    uint64_t refused;
};

static double
next_random(struct simulation *sim)
{
    sim->random += UINT64_C(0x9e3779b97f4a7c15);
    uint64_t x = sim->random;

    x = (x ^ (x >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    x = (x ^ (x >> 27)) * UINT64_C(0x94d049bb133111eb);
    x ^= x >> 31;
    return ((double)(x >> 11) + 1.0) / 9007199254740993.0;
}

static void
take_decision(struct simulation *sim, uint32_t index,
              const struct pgw_claim_decision *decision)
{
    uint64_t arrived =
        g_array_index(sim->arrivals, uint64_t, decision->ticket - 1);
    uint64_t wait = sim->now_us - arrived;
    struct running *run;

    if (decision->action == PGW_CLAIM_REFUSE) {
        sim->refused++;
    }
    if (decision->action != PGW_CLAIM_RUN) {
        return;
    }
    g_array_append_val(sim->waits, wait);
    run = g_new0(struct running, 1);
    run->end_us = sim->now_us + sim->setup.service_us;
    run->ticket = decision->ticket;
    run->object = index;
    g_queue_push_tail(&sim->running, run);
}

static void
drive(struct simulation *sim, uint32_t index)
{
    struct object *object = &sim->objects[index];
    struct pgw_claim_decision decision;
    struct pgw_io io;

    if (pgw_claim_next_io(&io, object->shard, sim->now_us)) {
        object->kind = io.kind;
        object->done_us = sim->now_us + sim->setup.latency_us;
        object->bytes_written += io.length;
        pgw_io_dispose(&io);
    }
    while (pgw_claim_next_decision(&decision, object->shard)) {
        take_decision(sim, index, &decision);
        pgw_claim_decision_dispose(&decision);
    }
}

static void
arrive(struct simulation *sim)
{
    char key[40];
    uint64_t ticket = sim->arrivals->len + 1;
    uint64_t ms = sim->now_us / 1000;
    uint32_t index =
        (uint32_t)(next_random(sim) * sim->setup.shards) % sim->setup.shards;
    struct pgw_claim_request request = {
        .workspace = "kitchen-12",
        .key = key,
        .attempt = 1,
        .ticket = ticket,
        .deadline_us = sim->now_us + 10 * US,
    };
    struct pgw_claim_decision decision;

    g_snprintf(key, sizeof(key),
               "%08x-%04x-7000-8000-%012" G_GINT64_MODIFIER "x",
               (unsigned)(ms >> 16), (unsigned)(ms & 0xffff), ticket);
    memcpy(request.request.bytes, &ticket, sizeof(ticket));
    g_array_append_val(sim->arrivals, sim->now_us);
    pgw_claim_begin(&decision, sim->objects[index].shard, &request,
                    sim->now_us);
    take_decision(sim, index, &decision);
    pgw_claim_decision_dispose(&decision);
    drive(sim, index);
}

static void
finish_run(struct simulation *sim)
{
    struct running *run = g_queue_pop_head(&sim->running);
    struct pgw_claim_answer answer = {
        .status = 200,
        .content_type = "application/json",
        .body = sim->body,
    };

    pgw_claim_finish(sim->objects[run->object].shard, run->ticket, &answer,
                     sim->now_us);
    drive(sim, run->object);
    g_free(run);
}

static void
answer_store(struct simulation *sim, uint32_t index)
{
    struct object *object = &sim->objects[index];
    struct pgw_io_reply reply = {.result = PGW_IO_OK};

    object->done_us = UINT64_MAX;
    reply.version = ++object->version;
    pgw_claim_io_done(object->shard, &reply, sim->now_us);
    drive(sim, index);
}

/* Moves to the next event and handles it. */
static void
advance(struct simulation *sim, uint64_t *arrival_us)
{
    const struct running *run = g_queue_peek_head(&sim->running);
    uint64_t next = *arrival_us;
    int64_t object = -1;
    bool answered = false;

    for (uint32_t i = 0; i < sim->setup.shards; i++) {
        uint64_t due = pgw_claim_next_time(sim->objects[i].shard);

        if (sim->objects[i].done_us < next) {
            next = sim->objects[i].done_us;
            object = i;
            answered = true;
        }
        if (due < next) {
            next = due;
            object = i;
            answered = false;
        }
    }
    if (run != NULL && run->end_us <= next) {
        sim->now_us = MAX(sim->now_us, run->end_us);
        finish_run(sim);
        return;
    }
    sim->now_us = MAX(sim->now_us, next);
    if (object < 0) {
        arrive(sim);
        *arrival_us = sim->now_us + (uint64_t)(-log(next_random(sim)) /
                                               sim->setup.rate * (double)US);
    }
    else if (answered) {
        answer_store(sim, (uint32_t)object);
    }
    else {
        drive(sim, (uint32_t)object);
    }
}

static int
compare_waits(const void *a, const void *b)
{
    uint64_t left = *(const uint64_t *)a;
    uint64_t right = *(const uint64_t *)b;

    return (left > right) - (left < right);
}

static double
percentile_ms(GArray *waits, double share)
{
    if (waits->len == 0) {
        return 0.0;
    }
    return (double)g_array_index(
               waits, uint64_t,
               MIN((guint)(share * waits->len), waits->len - 1)) /
           1000.0;
}

static void
report(struct simulation *sim)
{
    struct pgw_claim_stats stats;
    uint64_t claims = 0, writes = 0, bytes = 0, largest = 0;
    double seconds = sim->setup.seconds;

    for (uint32_t i = 0; i < sim->setup.shards; i++) {
        pgw_claim_shard_stats(&stats, sim->objects[i].shard);
        claims += stats.claims;
        writes += stats.writes;
        bytes += sim->objects[i].bytes_written;
        largest = MAX(largest, stats.bytes);
    }
    g_array_sort(sim->waits, compare_waits);
    printf("{\"calls_per_s\":%.0f,\"shards\":%u,\"claims_per_write\":%.2f,"
           "\"writes_per_s\":%.1f,\"wait_ms\":{\"p50\":%.1f,\"p99\":%.1f},"
           "\"refused\":%" G_GUINT64_FORMAT ",\"largest_object_kb\":%.0f,"
           "\"written_mb_per_s\":%.2f}\n",
           sim->setup.rate, sim->setup.shards,
           (double)claims / (double)MAX(writes, 1), (double)writes / seconds,
           percentile_ms(sim->waits, 0.5), percentile_ms(sim->waits, 0.99),
           sim->refused, (double)largest / 1000.0,
           (double)bytes / seconds / 1e6);
}

static void
simulate(const struct setup *setup)
{
    struct pgw_claim_options options = PGW_CLAIM_OPTIONS_INIT;
    struct simulation sim = {
        .setup = *setup, .now_us = START_US, .random = setup->seed};
    uint64_t end_us = START_US + setup->seconds * US;
    uint64_t arrival_us = START_US;
    char *text = g_malloc0(setup->body + 1);
    struct running *run;

    sim.arrivals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    sim.waits = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_queue_init(&sim.running);
    sim.body = g_bytes_new_take(text, setup->body);
    options.owner = 1;
    options.write_interval_us = setup->shards * US / setup->writes;
    for (uint32_t i = 0; i < setup->shards; i++) {
        sim.objects[i].shard = pgw_claim_shard_new(&options);
        sim.objects[i].done_us = UINT64_MAX;
    }
    while (sim.now_us < end_us) {
        advance(&sim, &arrival_us);
    }
    report(&sim);
    while ((run = g_queue_pop_head(&sim.running)) != NULL) {
        g_free(run);
    }
    for (uint32_t i = 0; i < setup->shards; i++) {
        pgw_claim_shard_free(sim.objects[i].shard);
    }
    g_array_free(sim.arrivals, TRUE);
    g_array_free(sim.waits, TRUE);
    g_bytes_unref(sim.body);
}

static int
usage(void)
{
    fputs("usage: parsleygw-claims [--shards N] [--latency-ms N] [--writes N] "
          "[--service-ms N] [--body BYTES] [--seconds N] [--seed N]\n",
          stderr);
    return 2;
}

int
main(int argc, char **argv)
{
    static const double rates[] = {10, 30, 100, 300, 1000, 3000};
    static const struct option options[] = {
        {"shards", required_argument, NULL, 's'},
        {"latency-ms", required_argument, NULL, 'l'},
        {"writes", required_argument, NULL, 'w'},
        {"service-ms", required_argument, NULL, 'r'},
        {"body", required_argument, NULL, 'b'},
        {"seconds", required_argument, NULL, 't'},
        {"seed", required_argument, NULL, 'x'},
        {NULL, 0, NULL, 0},
    };
    struct setup setup = {.shards = 4,
                          .latency_us = 5000,
                          .writes = 300,
                          .service_us = 20000,
                          .body = 200,
                          .seconds = 10,
                          .seed = 1};
    int option;

    while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
        uint64_t number;

        if (option == '?' || !g_ascii_string_to_unsigned(
                                 optarg, 10, 1, G_MAXUINT32, &number, NULL)) {
            return usage();
        }
        switch (option) {
        case 's':
            setup.shards = (uint32_t)MIN(number, SHARDS_MAX);
            break;
        case 'l':
            setup.latency_us = number * 1000;
            break;
        case 'w':
            setup.writes = (uint32_t)number;
            break;
        case 'r':
            setup.service_us = number * 1000;
            break;
        case 'b':
            setup.body = (uint32_t)number;
            break;
        case 't':
            setup.seconds = (uint32_t)number;
            break;
        default:
            setup.seed = number;
            break;
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        setup.rate = rates[i];
        simulate(&setup);
    }
    return 0;
}
