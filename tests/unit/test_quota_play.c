#include "gateway/quota/quota_share.h"
#include <glib.h>
#include <math.h>
#include <string.h>

/*
 * Simulates entries and the owner of a workspace's quota without a network.
 * Each request arrives at one of the entries, and messages between entries and
 * owner are delayed. The units that ran are checked against the configured
 * bounds.
 */

#define MS UINT64_C(1000)
#define ENTRIES 31
/* One-way delay: the network and an event loop turn of a busy process. */
#define NETWORK_US (5 * MS)
#define ANSWER_TIMEOUT_US (40 * MS)
#define REPORT_INTERVAL_US (250 * MS)
#define SIMULATED_US (40000 * MS)
/* Number of random schedules, and the length of each. */
#define SCHEDULES 150
#define SCHEDULE_US (24000 * MS)

static const struct pgw_quota_bounds bounds = {8, 0.1, 190000};

/* A message in flight; cost 0: a report. */
struct message {
    uint64_t due_us;
    uint64_t sent_at_us;
    unsigned entry;
    bool is_answer;
    bool lost;
    struct pgw_quota_request request;
    struct pgw_quota_answer answer;
};

struct run {
    uint64_t at_us;
    double tokens;
};

/**
 * struct simulation - settings and state of a simulation
 * @limits: the quota
 * @load: requested tokens per second
 * @restart_us: when the owner restarts, 0: never
 * @restart_all: all entries restart with it
 * @restarted: all entries have restarted
 * @cut_off_from_us: start of a time in which some entries reach no owner
 * @cut_off_until_us: end of that time
 * @cut_off_entries: number of these entries
 * @length_us: simulated time, 0: %SIMULATED_US
 * @max_network_us: maximum one-way delay, 0: always %NETWORK_US
 * @loss_interval: one message in this many is lost, 0: none
 * @suspended: the entry that is suspended for a time
 * @suspended_from_us: start of that time
 * @suspended_until_us: end of that time
 * @random: source of random numbers
 * @owner: buckets at the owner
 * @shares: state of each entry
 * @reported_us: when each entry last sent a report
 * @messages: messages in flight
 * @runs: requests that ran, as struct run
 * @requested: requested tokens
 * @refused: refused tokens
 */
struct simulation {
    struct pgw_quota_limits limits;
    double load;
    uint64_t restart_us;
    bool restart_all;
    bool restarted;
    uint64_t cut_off_from_us;
    uint64_t cut_off_until_us;
    unsigned cut_off_entries;
    uint64_t length_us;
    uint64_t max_network_us;
    unsigned loss_interval;
    unsigned suspended;
    uint64_t suspended_from_us;
    uint64_t suspended_until_us;
    GRand *random;
    struct pgw_quota_buckets *owner;
    struct pgw_quota_share shares[ENTRIES];
    uint64_t reported_us[ENTRIES];
    GQueue *messages;
    GArray *runs;
    double requested;
    double refused;
};

static bool
is_cut_off(const struct simulation *simulation, unsigned entry,
           uint64_t now_us)
{
    return entry < simulation->cut_off_entries &&
           now_us >= simulation->cut_off_from_us &&
           now_us < simulation->cut_off_until_us;
}

static void
record_run(struct simulation *simulation, double tokens, uint64_t now_us)
{
    struct run run = {now_us, tokens};

    g_array_append_val(simulation->runs, run);
}

static uint64_t
network_delay(struct simulation *simulation)
{
    return simulation->max_network_us == 0
               ? NETWORK_US
               : MS * (uint64_t)g_rand_int_range(
                          simulation->random, 1,
                          (int)(simulation->max_network_us / MS) + 1);
}

static void
send_message(struct simulation *simulation, unsigned entry, double cost,
             uint64_t now_us)
{
    struct message *message = g_new0(struct message, 1);

    message->due_us = now_us + network_delay(simulation);
    message->sent_at_us = now_us;
    message->entry = entry;
    message->lost = is_cut_off(simulation, entry, now_us) ||
                    (simulation->loss_interval > 0 &&
                     g_rand_int_range(simulation->random, 0,
                                      (int)simulation->loss_interval) == 0);
    message->request = (struct pgw_quota_request){
        .workspace = 1,
        .limits = simulation->limits,
        .cost = cost,
        .share = 1,
        .restarted = simulation->restarted,
    };
    pgw_quota_share_take_unreported(&simulation->shares[entry],
                                    &message->request);
    g_queue_push_tail(simulation->messages, message);
}

static void
spend(struct simulation *simulation, unsigned entry, double tokens,
      uint64_t now_us)
{
    struct pgw_quota_share *share = &simulation->shares[entry];

    pgw_quota_share_spend(share, tokens);
    if (pgw_quota_share_report_is_due(share, &simulation->limits, ENTRIES)) {
        send_message(simulation, entry, 0, now_us);
    }
}

static void
decide_locally(struct simulation *simulation, unsigned entry, double tokens,
               uint64_t now_us)
{
    if (pgw_quota_share_decide_locally(&simulation->shares[entry],
                                       &simulation->limits, &bounds, ENTRIES,
                                       tokens, now_us) == PGW_QUOTA_ADMIT) {
        record_run(simulation, tokens, now_us);
        spend(simulation, entry, tokens, now_us);
        return;
    }
    simulation->refused += tokens;
}

/* Returns whether the message is finished; a request turns into its answer. */
static bool
deliver(struct simulation *simulation, struct message *message,
        uint64_t now_us)
{
    struct pgw_quota_share *share = &simulation->shares[message->entry];

    if (message->lost) {
        if (now_us - message->sent_at_us < ANSWER_TIMEOUT_US) {
            message->due_us = message->sent_at_us + ANSWER_TIMEOUT_US;
            return false;
        }
        if (message->request.cost > 0) {
            decide_locally(simulation, message->entry, message->request.cost,
                           now_us);
        }
        return true;
    }
    if (!message->is_answer) {
        pgw_quota_buckets_handle_request(&message->answer, simulation->owner,
                                         &message->request, now_us);
        message->is_answer = true;
        message->due_us = now_us + network_delay(simulation);
        return false;
    }
    pgw_quota_share_apply_answer(share, &message->answer, now_us);
    if (message->answer.granted > 0) {
        record_run(simulation, message->request.cost, now_us);
    }
    else {
        simulation->refused += message->request.cost;
    }
    return true;
}

static bool
is_suspended(const struct simulation *simulation, unsigned entry,
             uint64_t now_us)
{
    return entry == simulation->suspended &&
           now_us >= simulation->suspended_from_us &&
           now_us < simulation->suspended_until_us;
}

static void
deliver_due(struct simulation *simulation, uint64_t now_us)
{
    unsigned count = g_queue_get_length(simulation->messages);

    for (unsigned i = 0; i < count; i++) {
        struct message *message = g_queue_pop_head(simulation->messages);

        if (message->due_us > now_us ||
            (is_suspended(simulation, message->entry, now_us) &&
             message->is_answer) ||
            !deliver(simulation, message, now_us)) {
            g_queue_push_tail(simulation->messages, message);
        }
        else {
            g_free(message);
        }
    }
}

static void
handle_request(struct simulation *simulation, unsigned entry, double tokens,
               uint64_t now_us)
{
    struct pgw_quota_share *share = &simulation->shares[entry];

    if (is_suspended(simulation, entry, now_us)) {
        return;
    }
    simulation->requested += tokens;
    switch (pgw_quota_share_decide(share, &simulation->limits, ENTRIES, tokens,
                                   now_us)) {
    case PGW_QUOTA_ADMIT:
        record_run(simulation, tokens, now_us);
        spend(simulation, entry, tokens, now_us);
        break;
    case PGW_QUOTA_ASK:
        send_message(simulation, entry, tokens, now_us);
        break;
    case PGW_QUOTA_REFUSE:
        simulation->refused += tokens;
        share->refused += tokens;
        break;
    }
}

static void
start_owner(struct simulation *simulation, bool first)
{
    struct pgw_quota_buckets_options options = PGW_QUOTA_BUCKETS_OPTIONS_INIT;

    options.bounds = bounds;
    options.full_until_us = first ? 20000 * MS : 0;
    pgw_quota_buckets_free(simulation->owner);
    simulation->owner = pgw_quota_buckets_new(&options);
}

/* Half of the tokens are requested in long prompts, half in short ones. */
static void
run_simulation(struct simulation *simulation)
{
    uint64_t end =
        simulation->length_us == 0 ? SIMULATED_US : simulation->length_us;
    double pending[2] = {0, 0};
    const double sizes[2] = {17000, 390};

    if (simulation->random == NULL) {
        simulation->random = g_rand_new_with_seed(42);
    }
    simulation->messages = g_queue_new();
    simulation->runs = g_array_new(FALSE, FALSE, sizeof(struct run));
    start_owner(simulation, true);
    for (uint64_t now = MS; now < end; now += MS) {
        if (simulation->restart_us > 0 && now == simulation->restart_us) {
            start_owner(simulation, false);
            simulation->restarted = simulation->restart_all;
            if (simulation->restart_all) {
                memset(simulation->shares, 0, sizeof(simulation->shares));
            }
        }
        deliver_due(simulation, now);
        for (size_t kind = 0; kind < 2; kind++) {
            for (pending[kind] += simulation->load / 2 / 1000;
                 pending[kind] > 0;) {
                double tokens =
                    sizes[kind] *
                    g_rand_double_range(simulation->random, 0.2, 1.8);

                pending[kind] -= tokens;
                handle_request(
                    simulation,
                    (unsigned)g_rand_int_range(simulation->random, 0, ENTRIES),
                    tokens, now);
            }
        }
        for (unsigned i = 0; i < ENTRIES; i++) {
            if (now - simulation->reported_us[i] >= REPORT_INTERVAL_US &&
                simulation->shares[i].unreported > 0) {
                simulation->reported_us[i] = now;
                send_message(simulation, i, 0, now);
            }
        }
    }
}

/* Maximum number of tokens that ran in any window of the bound's length. */
static double
most_in_window(const struct simulation *simulation)
{
    uint64_t window = (uint64_t)(bounds.window_s * 1000) * MS;
    double sum = 0;
    double most = 0;
    unsigned first = 0;

    for (unsigned i = 0; i < simulation->runs->len; i++) {
        const struct run *run =
            &g_array_index(simulation->runs, struct run, i);

        sum += run->tokens;
        while (g_array_index(simulation->runs, struct run, first).at_us +
                   window <
               run->at_us) {
            sum -= g_array_index(simulation->runs, struct run, first++).tokens;
        }
        most = MAX(most, sum);
    }
    return most;
}

static double
allowed(const struct simulation *simulation)
{
    return (simulation->limits.rate * bounds.window_s +
            simulation->limits.burst) *
               (1 + bounds.overage) +
           bounds.slack;
}

static double
tokens_run(const struct simulation *simulation)
{
    double sum = 0;

    for (unsigned i = 0; i < simulation->runs->len; i++) {
        sum += g_array_index(simulation->runs, struct run, i).tokens;
    }
    return sum;
}

static void
free_simulation(struct simulation *simulation)
{
    g_rand_free(simulation->random);
    g_queue_free_full(simulation->messages, g_free);
    g_array_unref(simulation->runs);
    pgw_quota_buckets_free(simulation->owner);
}

static void
run_and_check_bound(struct simulation *simulation)
{
    run_simulation(simulation);
    g_assert_cmpfloat(most_in_window(simulation), <=, allowed(simulation));
}

/* A workspace that requests four times its quota gets all of the quota and no
 * more than the bounds allow, for a large and a small quota. */
static void
test_hot_workspace(void)
{
    const double rates[] = {604586, 47000};

    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        struct simulation simulation = {.limits = {rates[i], rates[i], 1},
                                        .load = rates[i] * 4.2};

        run_and_check_bound(&simulation);
        g_assert_cmpfloat(tokens_run(&simulation), >=,
                          0.95 * rates[i] * SIMULATED_US / 1e6);
        free_simulation(&simulation);
    }
}

/* A workspace that stays below its quota is never refused. */
static void
test_below_the_quota(void)
{
    const double rates[] = {604586, 300000};

    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        struct simulation simulation = {.limits = {rates[i], rates[i], 1},
                                        .load = rates[i] * 0.55};

        run_and_check_bound(&simulation);
        g_assert_cmpfloat(simulation.refused, ==, 0);
        free_simulation(&simulation);
    }
}

/* The owner restarts under load, alone or with all entries: units that it
 * granted before must not be granted a second time. */
static void
test_owner_restarts(void)
{
    const double rates[] = {604586, 47000};

    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        for (unsigned all = 0; all < 2; all++) {
            struct simulation simulation = {.limits = {rates[i], rates[i], 1},
                                            .load = rates[i] * 4.2,
                                            .restart_us = 6000 * MS,
                                            .restart_all = all == 1};

            run_and_check_bound(&simulation);
            free_simulation(&simulation);
        }
    }
}

/* A third of the entries reach no owner for longer than the bound's window:
 * they must not spend what is granted to the others. */
static void
test_entries_are_cut_off(void)
{
    const double rates[] = {604586, 47000};

    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        struct simulation simulation = {.limits = {rates[i], rates[i], 1},
                                        .load = rates[i] * 4.2,
                                        .cut_off_from_us = 5000 * MS,
                                        .cut_off_until_us = 17000 * MS,
                                        .cut_off_entries = 11};

        run_and_check_bound(&simulation);
        free_simulation(&simulation);
    }
}

static uint64_t
draw_us(GRand *random, unsigned least_s, unsigned most_s)
{
    return MS * (uint64_t)g_rand_int_range(random, (int)least_s * 1000,
                                           (int)most_s * 1000);
}

/* Schedules from random seeds: loads around and above the quota, slow and lost
 * messages, an owner that restarts, entries that are cut off, and an entry
 * that is suspended and gets its answers late. None may exceed the bound. */
static void
test_drawn_schedules(void)
{
    for (unsigned seed = 0; seed < SCHEDULES; seed++) {
        GRand *random = g_rand_new_with_seed(seed);
        double rate =
            exp(g_rand_double_range(random, log(47000), log(604586)));
        struct simulation simulation = {
            .limits = {rate, rate, 1},
            .load = rate * g_rand_double_range(random, 0.5, 7),
            .restart_us = g_rand_boolean(random) ? draw_us(random, 2, 20) : 0,
            .restart_all = g_rand_boolean(random),
            .cut_off_from_us = draw_us(random, 1, 10),
            .cut_off_entries = (unsigned)g_rand_int_range(random, 0, 12),
            .length_us = SCHEDULE_US,
            .max_network_us = draw_us(random, 0, 1) / 30 + MS,
            .loss_interval = (unsigned)g_rand_int_range(random, 20, 200),
            .suspended = (unsigned)g_rand_int_range(random, 0, ENTRIES),
            .suspended_from_us = draw_us(random, 1, 15),
            .random = random,
        };

        simulation.cut_off_until_us =
            simulation.cut_off_from_us + draw_us(random, 1, 12);
        simulation.suspended_until_us =
            simulation.suspended_from_us + draw_us(random, 1, 5);
        run_simulation(&simulation);
        if (most_in_window(&simulation) > allowed(&simulation)) {
            g_error("seed %u: %.0f units ran in a window, %.0f are allowed",
                    seed, most_in_window(&simulation), allowed(&simulation));
        }
        free_simulation(&simulation);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/quota_play/hot", test_hot_workspace);
    g_test_add_func("/quota_play/below", test_below_the_quota);
    g_test_add_func("/quota_play/owner_restarts", test_owner_restarts);
    g_test_add_func("/quota_play/cut_off", test_entries_are_cut_off);
    g_test_add_func("/quota_play/schedules", test_drawn_schedules);
    return g_test_run();
}
