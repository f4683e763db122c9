#include "options.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fault.h"
#include "parsleygw/place.h"

enum option_id {
    OPTION_SCENARIO = 256,
    OPTION_POLICY,
    OPTION_SECONDS,
    OPTION_WARMUP,
    OPTION_SEED,
    OPTION_JSON,
    OPTION_LOAD,
    OPTION_SKEW,
    OPTION_FAULTS,
    OPTION_TIME_SCALE,
    OPTION_THREADS,
    OPTION_OVERHEAD,
    OPTION_STREAMS,
    OPTION_SATURATE,
    OPTION_RATE,
    OPTION_REPORT,
    OPTION_FROM,
    OPTION_DUMP,
    OPTION_HELP,
};

static const struct option long_options[] = {
    {"scenario", required_argument, NULL, OPTION_SCENARIO},
    {"policy", required_argument, NULL, OPTION_POLICY},
    {"seconds", required_argument, NULL, OPTION_SECONDS},
    {"warmup", required_argument, NULL, OPTION_WARMUP},
    {"seed", required_argument, NULL, OPTION_SEED},
    {"json", no_argument, NULL, OPTION_JSON},
    {"load", required_argument, NULL, OPTION_LOAD},
    {"skew", required_argument, NULL, OPTION_SKEW},
    {"faults", required_argument, NULL, OPTION_FAULTS},
    {"time-scale", required_argument, NULL, OPTION_TIME_SCALE},
    {"threads", required_argument, NULL, OPTION_THREADS},
    {"overhead", no_argument, NULL, OPTION_OVERHEAD},
    {"streams", required_argument, NULL, OPTION_STREAMS},
    {"saturate", no_argument, NULL, OPTION_SATURATE},
    {"rate", required_argument, NULL, OPTION_RATE},
    {"report", required_argument, NULL, OPTION_REPORT},
    {"from", required_argument, NULL, OPTION_FROM},
    {"dump", required_argument, NULL, OPTION_DUMP},
    {"help", no_argument, NULL, OPTION_HELP},
    {NULL, 0, NULL, 0},
};

static const char usage[] =
    "usage: parsleygw-bench [--scenario passports|labels|overnight] "
    "[options]\n"
    "  --policy A,B,..   parsleygw, hash, least-loaded, round-robin\n"
    "                    (default: these), parsleygw-v1 to -v4 (earlier\n"
    "                    versions); one fresh fleet for each\n"
    "  --seconds N       measured time (20)\n"
    "  --warmup N        time before it, at a growing rate (6)\n"
    "  --seed S          of the workload (1)\n"
    "  --load X          multiplies the arrival rate (1)\n"
    "  --skew Z          Zipf exponent of the prefixes' heat (1)\n"
    "  --faults A,B,..   crash, shift, herd, burst (none)\n"
    "  --time-scale F    engines and arrivals F times as fast (1)\n"
    "  --threads N       threads of callers (4)\n"
    "  --json            print JSON (always done; accepted for scripts)\n"
    "  --report DIR      also write a page with plots\n"
    "  --from FILE       of an earlier output; runs nothing\n"
    "  --dump FILE       write each call of the last policy as CSV\n"
    "other measurements, in place of a scenario:\n"
    "  --overhead        latency added by entry and sidecar, at --rate (500)\n"
    "  --streams N       memory of one entry that holds N open streams\n"
    "  --saturate        calls a second at which one entry uses one core\n";

static _Noreturn void
fail(const char *what, const char *found)
{
    fprintf(stderr, "parsleygw-bench: %s: found \"%s\": see --help\n", what,
            found);
    exit(2);
}

static void
set_mode(struct bench_options *out, int option)
{
    switch (option) {
    case OPTION_OVERHEAD:
        out->mode = MODE_OVERHEAD;
        break;
    case OPTION_STREAMS:
        out->mode = MODE_STREAMS;
        out->streams = (unsigned)g_ascii_strtoull(optarg, NULL, 10);
        if (out->streams == 0) {
            fail("--streams: give a number of streams", optarg);
        }
        break;
    default:
        out->mode = MODE_SATURATE;
        break;
    }
}

static void
set_text(struct bench_options *out, int option, const char *text)
{
    switch (option) {
    case OPTION_SCENARIO:
        out->scenario = scenario_find(text);
        if (out->scenario == NULL) {
            fail("--scenario: write passports, labels or overnight", text);
        }
        break;
    case OPTION_POLICY:
        g_strfreev(out->policies);
        out->policies = g_strsplit(text, ",", -1);
        for (char **name = out->policies; *name != NULL; name++) {
            if (pgw_place_policy_find(*name) == NULL) {
                fail("--policy: no such policy", *name);
            }
        }
        break;
    case OPTION_FAULTS:
        if (!fault_parse(&out->faults, text)) {
            fail("--faults: write some of crash,shift,herd,burst", text);
        }
        break;
    case OPTION_FROM:
        out->from = text;
        break;
    case OPTION_DUMP:
        out->dump = text;
        break;
    default:
        out->report = text;
        break;
    }
}

static void
set_number(struct bench_options *out, int option, const char *text)
{
    char *end;
    double number = g_ascii_strtod(text, &end);

    if (end == text || *end != '\0' || number < 0 ||
        (number <= 0 && option != OPTION_WARMUP && option != OPTION_SKEW)) {
        fail("a number above 0 is needed", text);
    }
    switch (option) {
    case OPTION_SECONDS:
        out->seconds = number;
        break;
    case OPTION_WARMUP:
        out->warmup = number;
        break;
    case OPTION_LOAD:
        out->load = number;
        break;
    case OPTION_SKEW:
        out->skew = number;
        break;
    case OPTION_TIME_SCALE:
        out->time_scale = number;
        break;
    case OPTION_RATE:
        out->rate = number;
        break;
    case OPTION_SEED:
        out->seed = (uint64_t)number;
        break;
    default:
        out->threads = (unsigned)MAX(number, 1);
        break;
    }
}

void
bench_options_parse(struct bench_options *out, int argc, char **argv)
{
    int option;

    *out = (struct bench_options){
        .scenario = scenario_find("passports"),
        .policies =
            g_strsplit("parsleygw,hash,least-loaded,round-robin", ",", -1),
        .seconds = 20,
        .warmup = 6,
        .seed = 1,
        .load = 1,
        .skew = 1,
        .time_scale = 1,
        .threads = 4,
        .rate = 500,
    };
    while ((option = getopt_long(argc, argv, "", long_options, NULL)) != -1) {
        switch (option) {
        case OPTION_JSON:
            break;
        case OPTION_HELP:
            fputs(usage, stdout);
            exit(0);
        case OPTION_OVERHEAD:
        case OPTION_STREAMS:
        case OPTION_SATURATE:
            set_mode(out, option);
            break;
        case OPTION_SCENARIO:
        case OPTION_POLICY:
        case OPTION_FAULTS:
        case OPTION_REPORT:
        case OPTION_FROM:
        case OPTION_DUMP:
            set_text(out, option, optarg);
            break;
        case '?':
            fputs(usage, stderr);
            exit(2);
        default:
            set_number(out, option, optarg);
            break;
        }
    }
}
