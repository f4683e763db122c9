#include "microbench.h"

#include "libparsleygw/frame.h"
#include "util/trace.h"

#include <string.h>

#define TRACE_EVENTS (1u << 14)

/**
 * struct frame_state - one message, packed and unpacked again and again
 * @type: its type
 * @message: the message
 * @buffer: where its frame lies between the two
 * @payload: text of @message
 */
struct frame_state {
    enum pgw_frame_type type;
    ProtobufCMessage *message;
    struct pgw_buffer buffer;
    char *payload;
    Pgw__Data data;
    Pgw__Probe probe;
    Pgw__Open open;
    Pgw__Level levels[4];
    Pgw__Level *level_pointers[4];
};

static uint8_t request_id[16] = {1, 2, 3};

static void
fill_levels(struct frame_state *state)
{
    for (unsigned i = 0; i < G_N_ELEMENTS(state->levels); i++) {
        state->levels[i] = (Pgw__Level)PGW__LEVEL__INIT;
        state->levels[i].hash_high = microbench_mix(i);
        state->levels[i].hash_low = microbench_mix(i + 9);
        state->levels[i].end_tokens = 512 * (i + 1);
        state->level_pointers[i] = &state->levels[i];
    }
}

static struct frame_state *
state_new(uint64_t size)
{
    struct frame_state *state = g_new0(struct frame_state, 1);

    state->payload = g_strnfill(size, 'p');
    fill_levels(state);
    return state;
}

static void *
data_setup(uint64_t size)
{
    struct frame_state *state = state_new(size);

    state->data = (Pgw__Data)PGW__DATA__INIT;
    state->data.request = (ProtobufCBinaryData){16, request_id};
    state->data.attempt = 1;
    state->data.sequence = 100;
    state->data.data = (ProtobufCBinaryData){size, (uint8_t *)state->payload};
    state->data.token_index = 100;
    state->data.token_count = 1;
    state->type = PGW_FRAME_DATA;
    state->message = &state->data.base;
    return state;
}

static void *
probe_setup(uint64_t size)
{
    struct frame_state *state = state_new(1);

    state->probe = (Pgw__Probe)PGW__PROBE__INIT;
    state->probe.probe = 1;
    state->probe.workspace = "workspace-00001";
    state->probe.prompt_tokens = 2000;
    state->probe.deadline_ms = 30000;
    state->probe.model = "guide-7b";
    state->probe.version = "w1";
    state->probe.n_levels = size;
    state->probe.levels = state->level_pointers;
    state->type = PGW_FRAME_PROBE;
    state->message = &state->probe.base;
    return state;
}

static void *
open_setup(uint64_t size)
{
    struct frame_state *state = state_new(size);

    state->open = (Pgw__Open)PGW__OPEN__INIT;
    state->open.request = (ProtobufCBinaryData){16, request_id};
    state->open.attempt = 1;
    state->open.workspace = "workspace-00001";
    state->open.profile = "ask";
    state->open.model = "guide-7b";
    state->open.n_levels = G_N_ELEMENTS(state->levels);
    state->open.levels = state->level_pointers;
    state->open.body = (ProtobufCBinaryData){size, (uint8_t *)state->payload};
    state->type = PGW_FRAME_OPEN;
    state->message = &state->open.base;
    return state;
}

static void
frame_run(void *data, uint64_t turn)
{
    struct frame_state *state = data;
    ProtobufCMessage *message = NULL;
    enum pgw_frame_type type;

    (void)turn;
    pgw_frame_append(&state->buffer, state->type, state->message);
    if (pgw_frame_decode(&type, &message, &state->buffer, NULL) !=
        PGW_FRAME_DECODED) {
        g_error("a frame of our own was not taken");
    }
    microbench_use((uintptr_t)message);
    pgw_frame_free(message);
}

static void
frame_teardown(void *data)
{
    struct frame_state *state = data;

    pgw_buffer_dispose(&state->buffer);
    g_free(state->payload);
    g_free(state);
}

static void *
trace_setup(uint64_t size)
{
    struct pgw_trace *trace;

    pgw_trace_new(&trace, (uint32_t)size, pgw_hlc_process());
    return trace;
}

static void
trace_run(void *data, uint64_t turn)
{
    struct pgw_request_id id;

    memcpy(&id, request_id, sizeof(id));
    pgw_trace_record(data, PGW_TRACE_PLACE, &id, 1, turn, 2, "upstream-1");
}

static void
trace_teardown(void *data)
{
    pgw_trace_free(data);
}

const struct microbench_case microbench_frame_cases[] = {
    {"frame_data",
     "data_bytes",
     {8, 64, 512, 4096},
     data_setup,
     frame_run,
     frame_teardown},
    {"frame_probe",
     "levels",
     {1, 2, 4},
     probe_setup,
     frame_run,
     frame_teardown},
    {"frame_open",
     "body_bytes",
     {1024, 8192, 32768},
     open_setup,
     frame_run,
     frame_teardown},
    {"trace_record",
     "events",
     {1024, TRACE_EVENTS},
     trace_setup,
     trace_run,
     trace_teardown},
    {.name = NULL},
};
