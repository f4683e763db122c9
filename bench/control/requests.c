/* Processor time of one entry and its sidecars by call and by token: the same
 * number of calls, with few tokens and with many. */
#include "control.h"

#include <stdio.h>

#define CALLERS 16
#define WAVES 6
#define SIDECARS 2
#define FEW 2
#define MANY 402

struct cost {
    double entry_us;
    double sidecars_us;
};

static void
wave(struct harness_process *entry, unsigned number, unsigned tokens)
{
    struct fleet_caller *callers[CALLERS];

    for (unsigned i = 0; i < CALLERS; i++) {
        char prompt[64];

        snprintf(prompt, sizeof(prompt), "head\n---\nquestion %u of %u", i,
                 number);
        callers[i] = fleet_caller_start(entry, prompt, tokens);
    }
    for (unsigned i = 0; i < CALLERS; i++) {
        struct harness_stream stream;
        long status = fleet_caller_finish(callers[i], &stream);

        if (status != 200 || stream.tokens < tokens) {
            g_error("a call was answered with status %ld and %u tokens",
                    status, stream.tokens);
        }
        harness_stream_dispose(&stream);
    }
}

static struct cost
run_calls(struct fleet *fleet, unsigned tokens)
{
    struct sample from[1 + SIDECARS], to[1 + SIDECARS];
    struct cost cost = {0};

    sample_take(&from[0], fleet->entries[0]);
    for (unsigned i = 0; i < SIDECARS; i++) {
        sample_take(&from[1 + i], fleet->sidecars[i]);
    }
    for (unsigned i = 0; i < WAVES; i++) {
        wave(fleet->entries[0], i, tokens);
    }
    sample_take(&to[0], fleet->entries[0]);
    cost.entry_us = (double)(to[0].cpu_us - from[0].cpu_us);
    for (unsigned i = 0; i < SIDECARS; i++) {
        sample_take(&to[1 + i], fleet->sidecars[i]);
        cost.sidecars_us += (double)(to[1 + i].cpu_us - from[1 + i].cpu_us);
    }
    return cost;
}

void
part_requests(JsonBuilder *out, const struct control_options *options)
{
    static const char *const engine_args[] = {
        "--prefill-rate", "1000000000",  "--prefill-chunk",
        "1000000",        "--decode-ms", "10",
        "--batch",        "32",          NULL};
    struct fleet_options fleet_options = FLEET_OPTIONS_INIT;
    struct fleet *fleet;
    struct cost few, many;
    double calls = CALLERS * WAVES;
    double tokens = calls * (MANY - FEW);

    (void)options;
    fleet_options.engines = SIDECARS;
    fleet_options.engine_args = engine_args;
    fleet = fleet_new(&fleet_options);
    fleet_wait_usable(fleet->entries[0], SIDECARS);
    run_calls(fleet, FEW);
    few = run_calls(fleet, FEW);
    many = run_calls(fleet, MANY);
    sample_member(out, "calls", calls);
    sample_member(out, "tokens", tokens);
    sample_member(out, "entry_us_a_call", few.entry_us / calls);
    sample_member(out, "sidecar_us_a_call", few.sidecars_us / calls);
    sample_member(out, "entry_us_a_token",
                  (many.entry_us - few.entry_us) / tokens);
    sample_member(out, "sidecar_us_a_token",
                  (many.sidecars_us - few.sidecars_us) / tokens);
    fleet_free(fleet);
}
