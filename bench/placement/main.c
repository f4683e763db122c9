/* parsleygw-placement-bench: what callers get under ways to place prompts. */
#include "sim.h"
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
usage(FILE *to)
{
    fputs("usage: parsleygw-placement-bench [OPTION]...\n"
          "  --policy NAME,...   policies to play (default: all)\n"
          "  --seed N            first seed (1)\n"
          "  --runs N            seeds to play (1)\n"
          "  --zones N --entries N --engines N\n"
          "                      zones, and entries and engines in each\n"
          "  --load X            times the usual requests (1)\n"
          "  --homes N           homes that are asked before a long prompt is "
          "sent\n"
          "  --dead X            share of the engines that are down (0)\n"
          "  --named S           seconds between versions, 0: none\n"
          "  --seconds S         length of a run (16)\n"
          "  --json              one JSON object a run\n",
          to);
}

static void
print_text(const char *policy, uint64_t seed, const struct sim_result *result)
{
    printf("%-14s %4" G_GUINT64_FORMAT, policy, seed);
    for (unsigned i = 0; i < SIM_KINDS; i++) {
        double asked = (double)MAX(result->asked[i], 1);

        printf("  %5.1f %5.1f %5.1f", 100 * (double)result->in_time[i] / asked,
               100 * (double)result->late[i] / asked,
               100 * (double)result->refused[i] / asked);
    }
    printf("  %5.1f %5.1f  %5.2f %5.2f %8.0f %7" G_GUINT64_FORMAT
           " %7" G_GUINT64_FORMAT "\n",
           100 * (double)result->read / (double)MAX(result->shared, 1),
           100 * (double)result->reread / (double)MAX(result->shared, 1),
           result->reading, result->busiest, result->report_bytes,
           result->sent_away, result->preempted);
}

static void
print_json(const char *policy, uint64_t seed, const struct sim_result *result)
{
    printf("{\"policy\":\"%s\",\"seed\":%" G_GUINT64_FORMAT, policy, seed);
    for (unsigned i = 0; i < SIM_KINDS; i++) {
        printf(",\"%s\":{\"asked\":%" G_GUINT64_FORMAT
               ",\"in_time\":%" G_GUINT64_FORMAT ",\"late\":%" G_GUINT64_FORMAT
               ",\"refused\":%" G_GUINT64_FORMAT "}",
               sim_defaults.kinds[i].name, result->asked[i],
               result->in_time[i], result->late[i], result->refused[i]);
    }
    printf(",\"shared_tokens\":%" G_GUINT64_FORMAT
           ",\"read_tokens\":%" G_GUINT64_FORMAT
           ",\"reread_tokens\":%" G_GUINT64_FORMAT
           ",\"reading\":%.3f,\"busiest_over_mean\":%.2f"
           ",\"report_bytes_s\":%.0f,\"refused_by_engines\":%" G_GUINT64_FORMAT
           ",\"preempted\":%" G_GUINT64_FORMAT "}\n",
           result->shared, result->read, result->reread, result->reading,
           result->busiest, result->report_bytes, result->sent_away,
           result->preempted);
}

int
main(int argc, char **argv)
{
    static const struct option options[] = {
        {"policy", required_argument, NULL, 'p'},
        {"seed", required_argument, NULL, 's'},
        {"runs", required_argument, NULL, 'r'},
        {"zones", required_argument, NULL, 'z'},
        {"entries", required_argument, NULL, 'e'},
        {"engines", required_argument, NULL, 'g'},
        {"load", required_argument, NULL, 'l'},
        {"homes", required_argument, NULL, 'o'},
        {"dead", required_argument, NULL, 'd'},
        {"named", required_argument, NULL, 'n'},
        {"seconds", required_argument, NULL, 't'},
        {"json", no_argument, NULL, 'j'},
        {"help", no_argument, NULL, 'h'},
        {0},
    };
    struct pgw_choose_options choose = PGW_CHOOSE_OPTIONS_INIT;
    struct sim_options sim = sim_defaults;
    const char *names = NULL;
    double load = 1;
    uint64_t runs = 1;
    bool json = false;
    int option;

    while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
        switch (option) {
        case 'p':
            names = optarg;
            break;
        case 's':
            sim.seed = strtoull(optarg, NULL, 10);
            break;
        case 'r':
            runs = strtoull(optarg, NULL, 10);
            break;
        case 'z':
            sim.zones = MAX((unsigned)strtoul(optarg, NULL, 10), 1);
            break;
        case 'e':
            sim.entries = MAX((unsigned)strtoul(optarg, NULL, 10), 1);
            break;
        case 'g':
            sim.engines = MAX((unsigned)strtoul(optarg, NULL, 10), 1);
            break;
        case 'l':
            load = g_ascii_strtod(optarg, NULL);
            break;
        case 'd':
            sim.dead = CLAMP(g_ascii_strtod(optarg, NULL), 0, 0.9);
            break;
        case 'o':
            sim.homes = (unsigned)strtoul(optarg, NULL, 10);
            break;
        case 'n':
            sim.named_s = g_ascii_strtod(optarg, NULL);
            break;
        case 't':
            sim.seconds = g_ascii_strtod(optarg, NULL);
            break;
        case 'j':
            json = true;
            break;
        case 'h':
            usage(stdout);
            return 0;
        default:
            usage(stderr);
            return 2;
        }
    }
    for (unsigned i = 0; i < SIM_KINDS; i++) {
        sim.kinds[i].per_s *= load;
    }
    if (!json) {
        printf("%-14s seed  long: in time, late, refused  short: the same  "
               "read again %%  reading busiest  bytes/s refusals preempted\n",
               "policy");
    }
    for (size_t i = 0; i < sim_policy_count; i++) {
        struct sim_options options_now = sim;

        if (names != NULL && strstr(names, sim_policies[i].name) == NULL) {
            continue;
        }
        for (uint64_t run = 0; run < runs; run++) {
            struct sim_result result;

            options_now.seed = sim.seed + run;
            sim_run(&result, &options_now, &choose, &sim_policies[i]);
            (json ? print_json : print_text)(sim_policies[i].name,
                                             options_now.seed, &result);
            fflush(stdout);
        }
    }
    return 0;
}
