#ifndef PGW_UTIL_TRACE_H
#define PGW_UTIL_TRACE_H

#include "parsleygw/types.h"
#include "util/hlc.h"

G_BEGIN_DECLS

/**
 * enum pgw_trace_kind - events of the time line
 *
 * The meaning of the two numbers a and b of each kind is in trace.c beside
 * its name, from where "parsleygw timeline" prints them.
 */
enum pgw_trace_kind {
    PGW_TRACE_PROCESS_START,
    PGW_TRACE_PROCESS_STOP,
    PGW_TRACE_REQUEST_ACCEPT,
    PGW_TRACE_REQUEST_REFUSE,
    PGW_TRACE_REQUEST_DONE,
    PGW_TRACE_PLACE,
    PGW_TRACE_CLAIM,
    PGW_TRACE_CLAIM_RESULT,
    PGW_TRACE_ATTEMPT_OPEN,
    PGW_TRACE_ATTEMPT_FAIL,
    PGW_TRACE_RETRY,
    PGW_TRACE_RESUME,
    PGW_TRACE_CANCEL,
    PGW_TRACE_QUEUE,
    PGW_TRACE_SIDECAR_REFUSE,
    PGW_TRACE_UPSTREAM_START,
    PGW_TRACE_FIRST_TOKEN,
    PGW_TRACE_UPSTREAM_END,
    PGW_TRACE_CONFIG_APPLY,
    PGW_TRACE_PEER_UP,
    PGW_TRACE_PEER_DOWN,
    PGW_TRACE_UPSTREAM_UP,
    PGW_TRACE_UPSTREAM_DOWN,
    PGW_TRACE_EVENT_GAP,
    PGW_TRACE_RESYNC,
    PGW_TRACE_ORDER,
    PGW_TRACE_ORDER_DONE,
    PGW_TRACE_PERMIT_TAKE,
    PGW_TRACE_PERMIT_RELEASE,
    PGW_TRACE_DECLARED_LEAVING,
    PGW_TRACE_DECLARED_JOINED,
    PGW_TRACE_DRAIN_BEGIN,
    PGW_TRACE_DRAIN_END,
    PGW_TRACE_QUARANTINE_ADD,
    PGW_TRACE_QUARANTINE_LIFT,
    PGW_TRACE_STORE_UP,
    PGW_TRACE_STORE_DOWN,
    PGW_TRACE_KIND_COUNT,
};

/** pgw_trace_kind_name() - stable snake-case name of a kind */
const char *pgw_trace_kind_name(int kind);

/** pgw_trace_kind_label_a() - what a kind's first number is; NULL: nothing */
const char *pgw_trace_kind_label_a(int kind);

/** pgw_trace_kind_label_b() - what a kind's second number is */
const char *pgw_trace_kind_label_b(int kind);

/** pgw_trace_kind_parse() - number of a kind by its name, -1 for none */
int pgw_trace_kind_parse(const char *name);

/* Bytes of an event's text with its NUL; longer texts are cut. */
#define PGW_TRACE_TEXT_SIZE 40

/**
 * struct pgw_trace_event - one event as it is read out
 * @hlc: hybrid logical clock
 * @request: request, all zero for none
 * @kind: one of &enum pgw_trace_kind
 * @attempt: number of the attempt, 0 for none
 * @a: first number, see trace.c
 * @b: second number
 * @text: short text: a peer, a profile, a reason; never prompt text or keys
 */
struct pgw_trace_event {
    uint64_t hlc;
    struct pgw_request_id request;
    uint32_t kind;
    uint32_t attempt;
    uint64_t a;
    uint64_t b;
    char text[PGW_TRACE_TEXT_SIZE];
};

/** struct pgw_trace - bounded ring of the latest events of a process */
struct pgw_trace;

/** PGW_TRACE_DEFAULT_EVENTS - 65,536 records of 96 bytes: 6 MB */
#define PGW_TRACE_DEFAULT_EVENTS (1u << 16)

/**
 * pgw_trace_new() - make an empty ring
 * @out: receives it; release with pgw_trace_free()
 * @events: its size; rounded up to a power of two
 * @clock: stamps the events; usually pgw_hlc_process(). Must outlive the ring
 */
void pgw_trace_new(struct pgw_trace **out, uint32_t events,
                   struct pgw_hlc *clock);

void pgw_trace_free(struct pgw_trace *trace);

/**
 * pgw_trace_record() - add one event; never waits
 * @trace: the ring; NULL does nothing
 * @kind: kind
 * @request: request, or NULL
 * @attempt: attempt, or 0
 * @a: first number
 * @b: second number
 * @text: short text, or NULL; never prompt text or keys
 *
 * Any number of threads may call it. An event is dropped, and counted, only
 * when a writer was overtaken by a whole round of the ring.
 */
void pgw_trace_record(struct pgw_trace *trace, enum pgw_trace_kind kind,
                      const struct pgw_request_id *request, uint32_t attempt,
                      uint64_t a, uint64_t b, const char *text);

/** struct pgw_trace_query - which events to read out */
struct pgw_trace_query {
    uint64_t since;                       /* least clock value, 0 for all */
    const struct pgw_request_id *request; /* NULL for all */
    uint32_t limit;                       /* newest ones; 0 for all */
};

/**
 * pgw_trace_read() - copy events, the oldest first
 * @trace: the ring, which others may be writing to
 * @query: which events
 *
 * Return: array of &struct pgw_trace_event sorted by clock value; release
 * with g_array_unref().
 */
GArray *pgw_trace_read(const struct pgw_trace *trace,
                       const struct pgw_trace_query *query);

/** pgw_trace_dropped() - events lost since the start */
uint64_t pgw_trace_dropped(const struct pgw_trace *trace);

/**
 * pgw_trace_to_json() - read events out as the admin server sends them
 * @trace: the ring
 * @query: which events
 * @instance: name of this process
 * @zone: its availability zone
 *
 * Return: one JSON object, to release with g_free():
 * {"instance","zone","clock":"16 hex","dropped":n,"events":[{"hlc":"16 hex",
 * "kind","request":"32 hex","attempt":n,"a":"16 hex","b":"16 hex",
 * "text"}..]}; a and b may be identities of 64 bits, hence no JSON numbers
 */
char *pgw_trace_to_json(const struct pgw_trace *trace,
                        const struct pgw_trace_query *query,
                        const char *instance, const char *zone);

G_END_DECLS

#endif
