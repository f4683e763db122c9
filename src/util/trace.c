#include "util/trace.h"

#include "util/hex.h"

#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>

#define WORDS (sizeof(struct pgw_trace_event) / sizeof(uint64_t))

G_STATIC_ASSERT(sizeof(struct pgw_trace_event) % sizeof(uint64_t) == 0);

/* A kind's name and what its numbers a and b mean; NULL: nothing. Labels
 * that end in _us or _ms give the unit; "refusal" and "ran" are printed by
 * name. */
struct kind_row {
    const char *name;
    const char *a;
    const char *b;
};

static const struct kind_row kinds[PGW_TRACE_KIND_COUNT] = {
    [PGW_TRACE_PROCESS_START] = {"process_start", "incarnation", NULL},
    [PGW_TRACE_PROCESS_STOP] = {"process_stop", "signal", NULL},
    [PGW_TRACE_REQUEST_ACCEPT] = {"request_accept", NULL, NULL},
    [PGW_TRACE_REQUEST_REFUSE] = {"request_refuse", "refusal", "ran"},
    [PGW_TRACE_REQUEST_DONE] = {"request_done", "us", "cached_tokens"},
    [PGW_TRACE_PLACE] = {"place", "matched_tokens", "cost_us"},
    [PGW_TRACE_CLAIM] = {"claim", "shard", NULL},
    [PGW_TRACE_CLAIM_RESULT] = {"claim_result", "action", NULL},
    [PGW_TRACE_ATTEMPT_OPEN] = {"attempt_open", "uncached_tokens",
                                "resume_from"},
    [PGW_TRACE_ATTEMPT_FAIL] = {"attempt_fail", "refusal", "ran"},
    [PGW_TRACE_RETRY] = {"retry", "resume_from", "failures"},
    [PGW_TRACE_RESUME] = {"resume", "resume_from", "failures"},
    [PGW_TRACE_CANCEL] = {"cancel", "withdrawn", NULL},
    [PGW_TRACE_QUEUE] = {"queue", "ttft_us", NULL},
    [PGW_TRACE_SIDECAR_REFUSE] = {"sidecar_refuse", "refusal", "ran"},
    [PGW_TRACE_UPSTREAM_START] = {"upstream_start", "uncached_tokens",
                                  "prompt_tokens"},
    [PGW_TRACE_FIRST_TOKEN] = {"first_token", "cached_tokens",
                               "prompt_tokens"},
    [PGW_TRACE_UPSTREAM_END] = {"upstream_end", "frames", "completion_tokens"},
    [PGW_TRACE_CONFIG_APPLY] = {"config_apply", "version", NULL},
    [PGW_TRACE_PEER_UP] = {"peer_up", NULL, NULL},
    [PGW_TRACE_PEER_DOWN] = {"peer_down", NULL, NULL},
    [PGW_TRACE_UPSTREAM_UP] = {"upstream_up", "incarnation", NULL},
    [PGW_TRACE_UPSTREAM_DOWN] = {"upstream_down", "incarnation", NULL},
    [PGW_TRACE_EVENT_GAP] = {"event_gap", "last", NULL},
    [PGW_TRACE_RESYNC] = {"resync", "blocks", NULL},
    [PGW_TRACE_ORDER] = {"order", "fence", NULL},
    [PGW_TRACE_ORDER_DONE] = {"order_done", "fence", "status"},
    [PGW_TRACE_PERMIT_TAKE] = {"permit_take", "fence", "in_use"},
    [PGW_TRACE_PERMIT_RELEASE] = {"permit_release", "fence", NULL},
    [PGW_TRACE_DECLARED_LEAVING] = {"declared_leaving", "in_progress", NULL},
    [PGW_TRACE_DECLARED_JOINED] = {"declared_joined", "in_progress", NULL},
    [PGW_TRACE_DRAIN_BEGIN] = {"drain_begin", "in_progress", NULL},
    [PGW_TRACE_DRAIN_END] = {"drain_end", "cut_off", NULL},
    [PGW_TRACE_QUARANTINE_ADD] = {"quarantine_add", "incarnation", NULL},
    [PGW_TRACE_QUARANTINE_LIFT] = {"quarantine_lift", "version", NULL},
    [PGW_TRACE_STORE_UP] = {"store_up", "down_us", NULL},
    [PGW_TRACE_STORE_DOWN] = {"store_down", NULL, NULL},
};

static const struct kind_row *
kind_row(int kind)
{
    static const struct kind_row unknown = {"unknown", "a", "b"};

    return kind < 0 || kind >= PGW_TRACE_KIND_COUNT ? &unknown : &kinds[kind];
}

const char *
pgw_trace_kind_name(int kind)
{
    return kind_row(kind)->name;
}

const char *
pgw_trace_kind_label_a(int kind)
{
    return kind_row(kind)->a;
}

const char *
pgw_trace_kind_label_b(int kind)
{
    return kind_row(kind)->b;
}

int
pgw_trace_kind_parse(const char *name)
{
    for (int i = 0; i < PGW_TRACE_KIND_COUNT; i++) {
        if (strcmp(kinds[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

/* One place of the ring. @sequence is 0 when unused, 2 * n + 1 while writer
 * number n fills it and 2 * n + 2 once it has. */
struct slot {
    uint64_t sequence;
    uint64_t words[WORDS];
};

struct pgw_trace {
    struct pgw_hlc *clock;
    struct slot *slots;
    uint64_t mask;
    uint64_t next;
    uint64_t dropped;
};

void
pgw_trace_new(struct pgw_trace **out, uint32_t events, struct pgw_hlc *clock)
{
    struct pgw_trace *trace = g_new0(struct pgw_trace, 1);
    uint64_t size = 1;

    while (size < events) {
        size *= 2;
    }
    trace->clock = clock;
    trace->mask = size - 1;
    trace->slots = g_new0(struct slot, size);
    *out = trace;
}

void
pgw_trace_free(struct pgw_trace *trace)
{
    if (trace == NULL) {
        return;
    }
    g_free(trace->slots);
    g_free(trace);
}

/* Claims the slot of writer number @number. A writer that stalled while the
 * others went once round the ring finds a later number there, or leaves a
 * later writer with a slot in use: either event is dropped, because two
 * writers in one slot would mix two events into one that never happened. */
static bool
claim_slot(struct slot *slot, uint64_t number)
{
    uint64_t found = __atomic_load_n(&slot->sequence, __ATOMIC_RELAXED);

    if ((found & 1) != 0 || found > 2 * number) {
        return false;
    }
    return __atomic_compare_exchange_n(&slot->sequence, &found, 2 * number + 1,
                                       false, __ATOMIC_ACQUIRE,
                                       __ATOMIC_RELAXED);
}

static void
publish(struct slot *slot, uint64_t number,
        const struct pgw_trace_event *event)
{
    uint64_t words[WORDS];

    memcpy(words, event, sizeof(words));
    /* Release stores keep each word behind the odd sequence; a reader that
     * sees any of the new words then sees the changed sequence too. */
    for (size_t i = 0; i < WORDS; i++) {
        __atomic_store_n(&slot->words[i], words[i], __ATOMIC_RELEASE);
    }
    __atomic_store_n(&slot->sequence, 2 * number + 2, __ATOMIC_RELEASE);
}

void
pgw_trace_record(struct pgw_trace *trace, enum pgw_trace_kind kind,
                 const struct pgw_request_id *request, uint32_t attempt,
                 uint64_t a, uint64_t b, const char *text)
{
    struct pgw_trace_event event = {
        .kind = kind, .attempt = attempt, .a = a, .b = b};
    struct slot *slot;
    uint64_t number;

    if (trace == NULL) {
        return;
    }
    if (request != NULL) {
        event.request = *request;
    }
    if (text != NULL) {
        g_strlcpy(event.text, text, sizeof(event.text));
    }
    event.hlc = pgw_hlc_now(trace->clock, pgw_hlc_wall_us());
    number = __atomic_fetch_add(&trace->next, 1, __ATOMIC_RELAXED);
    slot = &trace->slots[number & trace->mask];
    if (!claim_slot(slot, number)) {
        __atomic_fetch_add(&trace->dropped, 1, __ATOMIC_RELAXED);
        return;
    }
    publish(slot, number, &event);
}

static bool
read_slot(struct pgw_trace_event *out, const struct slot *slot)
{
    uint64_t before = __atomic_load_n(&slot->sequence, __ATOMIC_ACQUIRE);
    uint64_t words[WORDS];

    if (before == 0 || (before & 1) != 0) {
        return false;
    }
    for (size_t i = 0; i < WORDS; i++) {
        words[i] = __atomic_load_n(&slot->words[i], __ATOMIC_ACQUIRE);
    }
#ifndef PGW_DISABLE_TRACE_SEQUENCE
    /* A writer that came in between has left half of its event in the copy;
     * it also changed the sequence before its first word. */
    if (__atomic_load_n(&slot->sequence, __ATOMIC_RELAXED) != before) {
        return false;
    }
#endif
    memcpy(out, words, sizeof(*out));
    return true;
}

static bool
matches(const struct pgw_trace_event *event,
        const struct pgw_trace_query *query)
{
    if (event->hlc < query->since) {
        return false;
    }
    return query->request == NULL || memcmp(&event->request, query->request,
                                            sizeof(event->request)) == 0;
}

static int
compare_events(gconstpointer a, gconstpointer b)
{
    const struct pgw_trace_event *x = a;
    const struct pgw_trace_event *y = b;

    return x->hlc < y->hlc ? -1 : x->hlc > y->hlc;
}

GArray *
pgw_trace_read(const struct pgw_trace *trace,
               const struct pgw_trace_query *query)
{
    GArray *events = g_array_new(FALSE, FALSE, sizeof(struct pgw_trace_event));

    for (uint64_t i = 0; i <= trace->mask; i++) {
        struct pgw_trace_event event;

        if (read_slot(&event, &trace->slots[i]) && matches(&event, query)) {
            g_array_append_val(events, event);
        }
    }
    g_array_sort(events, compare_events);
    if (query->limit != 0 && events->len > query->limit) {
        g_array_remove_range(events, 0, events->len - query->limit);
    }
    return events;
}

uint64_t
pgw_trace_dropped(const struct pgw_trace *trace)
{
    return __atomic_load_n(&trace->dropped, __ATOMIC_RELAXED);
}

static void
add_hex(JsonBuilder *json, const char *name, uint64_t value)
{
    char text[17];

    g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", value);
    json_builder_set_member_name(json, name);
    json_builder_add_string_value(json, text);
}

static void
add_number(JsonBuilder *json, const char *name, uint64_t value)
{
    json_builder_set_member_name(json, name);
    json_builder_add_int_value(json, (gint64)value);
}

static void
add_string(JsonBuilder *json, const char *name, const char *value)
{
    json_builder_set_member_name(json, name);
    json_builder_add_string_value(json, value);
}

static void
add_event(JsonBuilder *json, const struct pgw_trace_event *event)
{
    static const struct pgw_request_id none;
    char request[PGW_REQUEST_ID_TEXT_SIZE];
    char *text = g_utf8_make_valid(event->text, -1);

    json_builder_begin_object(json);
    add_hex(json, "hlc", event->hlc);
    add_string(json, "kind", pgw_trace_kind_name((int)event->kind));
    if (memcmp(&event->request, &none, sizeof(none)) != 0) {
        pgw_request_id_format(request, &event->request);
        add_string(json, "request", request);
    }
    add_number(json, "attempt", event->attempt);
    add_hex(json, "a", event->a);
    add_hex(json, "b", event->b);
    add_string(json, "text", text);
    json_builder_end_object(json);
    g_free(text);
}

char *
pgw_trace_to_json(const struct pgw_trace *trace,
                  const struct pgw_trace_query *query, const char *instance,
                  const char *zone)
{
    GArray *events = pgw_trace_read(trace, query);
    JsonBuilder *json = json_builder_new();
    JsonNode *root;
    char *text;

    json_builder_begin_object(json);
    add_string(json, "instance", instance);
    add_string(json, "zone", zone);
    add_hex(json, "clock", pgw_hlc_now(trace->clock, pgw_hlc_wall_us()));
    add_number(json, "dropped", pgw_trace_dropped(trace));
    json_builder_set_member_name(json, "events");
    json_builder_begin_array(json);
    for (guint i = 0; i < events->len; i++) {
        add_event(json, &g_array_index(events, struct pgw_trace_event, i));
    }
    json_builder_end_array(json);
    json_builder_end_object(json);
    root = json_builder_get_root(json);
    text = json_to_string(root, FALSE);
    json_node_unref(root);
    g_object_unref(json);
    g_array_unref(events);
    return text;
}
