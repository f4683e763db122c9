#include "cli/explain.h"

#include <string.h>

/* What a process came to believe this long before a request's first line may
 * have decided about it: the longest that old news is held on to is the time
 * in which a vanished upstream counts as there, four seconds. */
#define BEFORE_US (10 * (int64_t)G_USEC_PER_SEC)
/* An upstream that went down is missed in the platform's list after three
 * heartbeats, and the list is believed after two to four seconds more. */
#define AFTER_US (8 * (int64_t)G_USEC_PER_SEC)
/* An engine that loads weights takes nothing for so long after the order. */
#define LOADING_US (3 * (int64_t)G_USEC_PER_SEC)
/* What else happened after its end no longer touched it; two seconds show how
 * it went on. */
#define CONTEXT_AFTER_US (2 * (int64_t)G_USEC_PER_SEC)
/* After new weights were named all caches are empty for about this time. */
#define COLD_US (4 * (int64_t)G_USEC_PER_SEC)
/* Reading so many tokens takes some 20 ms, which an answer that is late by its
 * prompt has waited for. */
#define LONG_TOKENS 1000
/* Requests beside which another one runs clearly slower. */
#define CROWD 4
/* Part of a request's time in the queue that makes it the queue's fault. */
#define QUEUE_SHARE 0.3
/* Lines of context that help; the nearest ones are kept. */
#define CONTEXT_MAX 60

static const char *const cause_names[PGW_CAUSE_COUNT] = {
    [PGW_CAUSE_UNKNOWN] = "unknown",
    [PGW_CAUSE_NONE] = "none",
    [PGW_CAUSE_CALLER_LEFT] = "caller_left",
    [PGW_CAUSE_BAD_REQUEST] = "bad_request",
    [PGW_CAUSE_NO_CONFIGURATION] = "no_configuration",
    [PGW_CAUSE_STOPPING] = "stopping",
    [PGW_CAUSE_NO_ROUTE] = "no_route",
    [PGW_CAUSE_BAD_KEY] = "bad_key",
    [PGW_CAUSE_POISON] = "poison",
    [PGW_CAUSE_QUOTA] = "quota",
    [PGW_CAUSE_UPSTREAM_FAILED] = "upstream_failed",
    [PGW_CAUSE_UPSTREAM_LOST] = "upstream_lost",
    [PGW_CAUSE_UPSTREAM_FULL] = "upstream_full",
    [PGW_CAUSE_UPSTREAM_SILENT] = "upstream_silent",
    [PGW_CAUSE_CONNECTION] = "connection",
    [PGW_CAUSE_ANSWER_DAMAGED] = "answer_damaged",
    [PGW_CAUSE_WEIGHTS] = "weights",
    [PGW_CAUSE_UPSTREAM_LIMITS] = "upstream_limits",
    [PGW_CAUSE_UPSTREAMS_IN_BACKOFF] = "upstreams_in_backoff",
    [PGW_CAUSE_STREAM_VERSION] = "stream_version",
    [PGW_CAUSE_NO_PLACE] = "no_place",
    [PGW_CAUSE_NO_ROOM] = "no_room",
    [PGW_CAUSE_LONG_PROMPT] = "long_prompt",
    [PGW_CAUSE_CROWDED] = "crowded",
    [PGW_CAUSE_PAUSED] = "paused",
    [PGW_CAUSE_SLOW] = "slow",
};

const char *
pgw_cause_name(enum pgw_cause cause)
{
    return cause_names[cause];
}

/**
 * struct inquiry - one request while its cause is looked for
 * @first_us: time of its first line, less what it took until then
 * @last_us: time of its last line
 */
struct inquiry {
    struct pgw_explanation *out;
    const struct pgw_logs *logs;
    const struct pgw_log_line *end;
    int64_t first_us;
    int64_t last_us;
};

static const char *
text_of(const struct pgw_log_line *line, const char *key)
{
    const char *value = pgw_log_line_get(line, key);

    return value == NULL ? "-" : value;
}

static bool
is_event(const struct pgw_log_line *line, const char *event)
{
    return strcmp(line->event, event) == 0;
}

static void conclude(struct inquiry *inquiry, enum pgw_cause cause,
                     const char *format, ...) G_GNUC_PRINTF(3, 4);

static void
conclude(struct inquiry *inquiry, enum pgw_cause cause, const char *format,
         ...)
{
    va_list args;

    va_start(args, format);
    inquiry->out->cause = cause;
    inquiry->out->sentence = g_strdup_vprintf(format, args);
    va_end(args);
}

/* Whether a line speaks of an upstream, by its id or its address. */
static bool
speaks_of(const struct inquiry *inquiry, const struct pgw_log_line *line,
          const char *upstream)
{
    const char *address =
        g_hash_table_lookup(inquiry->logs->addresses, upstream);

    return g_strcmp0(pgw_log_line_get(line, "upstream"), upstream) == 0 ||
           g_strcmp0(pgw_log_line_get(line, "by"), upstream) == 0 ||
           (address != NULL &&
            g_strcmp0(pgw_log_line_get(line, "engine"), address) == 0);
}

/* The last line of one of some events about an upstream between two times. */
static const struct pgw_log_line *
find_change(const struct inquiry *inquiry, const char *upstream,
            const char *const *events, int64_t from_us, int64_t to_us)
{
    const GPtrArray *changes = inquiry->logs->changes;
    const struct pgw_log_line *found = NULL;

    for (guint i = 0; i < changes->len; i++) {
        const struct pgw_log_line *line = g_ptr_array_index(changes, i);

        if (line->ts_us >= from_us && line->ts_us <= to_us &&
            g_strv_contains(events, line->event) &&
            (upstream == NULL || speaks_of(inquiry, line, upstream))) {
            found = line;
        }
    }
    return found;
}

static const char *const losses[] = {
    "engine_lost",        "upstream_gone",    "upstream_replaced",
    "upstream_displaced", "upstream_removed", NULL,
};
static const char *const orders[] = {"order", NULL};
static const char *const namings[] = {"weights_named", NULL};

static const struct pgw_log_line *
find_loss(const struct inquiry *inquiry, const char *upstream)
{
    return find_change(inquiry, upstream, losses,
                       inquiry->first_us - BEFORE_US / 2,
                       inquiry->last_us + AFTER_US);
}

/**
 * struct moment - when something was seen, for a reader
 * @text: "12 ms after" or "12 ms before"; the request came then
 */
struct moment {
    char text[32];
};

static struct moment
moment_of(const struct inquiry *inquiry, const struct pgw_log_line *line)
{
    int64_t later_ms = (int64_t)(line->ts_us - inquiry->first_us) / 1000;
    struct moment moment;

    g_snprintf(moment.text, sizeof(moment.text), "%" G_GINT64_FORMAT " ms %s",
               ABS(later_ms), later_ms < 0 ? "before" : "after");
    return moment;
}

/* An upstream broke off or could not be reached: by its end, or not. */
static void
blame_connection(struct inquiry *inquiry, const struct pgw_log_line *attempt,
                 const char *what)
{
    const char *upstream = text_of(attempt, "upstream");
    const struct pgw_log_line *loss = find_loss(inquiry, upstream);

    if (loss != NULL) {
        conclude(inquiry, PGW_CAUSE_UPSTREAM_LOST,
                 "upstream %s %s (%s): it was going down, as %s says (%s, "
                 "%s the request came)",
                 upstream, what, text_of(attempt, "outcome"), loss->instance,
                 loss->event, moment_of(inquiry, loss).text);
        return;
    }
    conclude(inquiry, PGW_CAUSE_CONNECTION,
             "upstream %s %s (%s) after %s ms, and no process saw it go down",
             upstream, what, text_of(attempt, "outcome"),
             text_of(attempt, "ms"));
}

/* It said that it did not run the request. */
static void
blame_refusal(struct inquiry *inquiry, const struct pgw_log_line *attempt)
{
    const char *upstream = text_of(attempt, "upstream");
    const struct pgw_log_line *order =
        find_change(inquiry, upstream, orders, attempt->ts_us - LOADING_US,
                    attempt->ts_us);

    if (pgw_log_line_number(attempt, "status") == 421) {
        conclude(inquiry, PGW_CAUSE_UPSTREAM_LOST,
                 "upstream %s is no more: another incarnation, or other "
                 "weights, answered at its address (421)",
                 upstream);
    }
    else if (order != NULL) {
        conclude(inquiry, PGW_CAUSE_WEIGHTS,
                 "upstream %s was told %d ms before to load version %s and "
                 "took no requests meanwhile (%s)",
                 upstream, (int)((attempt->ts_us - order->ts_us) / 1000),
                 text_of(order, "version"), text_of(attempt, "status"));
    }
    else {
        conclude(inquiry, PGW_CAUSE_UPSTREAM_FULL,
                 "upstream %s refused to run it (%s), with %s others taken "
                 "to be there by a report %s ms old",
                 upstream, text_of(attempt, "status"),
                 text_of(inquiry->end, "load"),
                 text_of(inquiry->end, "load_age_ms"));
    }
}

static void
blame_broken(struct inquiry *inquiry, const struct pgw_log_line *attempt)
{
    blame_connection(inquiry, attempt, "broke off");
}

static void
blame_unreachable(struct inquiry *inquiry, const struct pgw_log_line *attempt)
{
    blame_connection(inquiry, attempt, "could not be reached");
}

static void
blame_damage(struct inquiry *inquiry, const struct pgw_log_line *attempt)
{
    conclude(inquiry, PGW_CAUSE_ANSWER_DAMAGED,
             "what upstream %s sent was no whole answer (%s)",
             text_of(attempt, "upstream"), text_of(attempt, "outcome"));
}

static void
blame_silence(struct inquiry *inquiry, const struct pgw_log_line *attempt)
{
    const char *upstream = text_of(attempt, "upstream");
    const struct pgw_log_line *loss = find_loss(inquiry, upstream);

    conclude(inquiry,
             loss != NULL ? PGW_CAUSE_UPSTREAM_LOST
                          : PGW_CAUSE_UPSTREAM_SILENT,
             "nothing came from upstream %s for %s ms%s%s", upstream,
             text_of(attempt, "ms"),
             loss != NULL ? ": it was going down, see " : "",
             loss != NULL ? loss->event : "");
}

static void
blame_error(struct inquiry *inquiry, const struct pgw_log_line *attempt)
{
    conclude(inquiry, PGW_CAUSE_UPSTREAM_FAILED,
             "upstream %s answered with a failure of its own (%s)",
             text_of(attempt, "upstream"), text_of(attempt, "status"));
}

static void
blame_old_weights(struct inquiry *inquiry, const struct pgw_log_line *attempt)
{
    conclude(inquiry, PGW_CAUSE_WEIGHTS,
             "it had waited for %s ms at upstream %s and not begun when the "
             "weights there became too old",
             text_of(attempt, "ms"), text_of(attempt, "upstream"));
}

/* How an attempt ended, by its line's outcome. */
static const struct {
    const char *outcome;
    void (*blame)(struct inquiry *inquiry, const struct pgw_log_line *attempt);
} attempts[] = {
    {"not_run", blame_refusal},
    {"no_connection", blame_unreachable},
    {"no_socket", blame_unreachable},
    {"closed", blame_broken},
    {"timeout", blame_broken},
    {"process_ended", blame_broken},
    {"garbled", blame_damage},
    {"cut_event", blame_damage},
    {"not_genuine", blame_damage},
    {"unnamed_refusal", blame_damage},
    {"out_of_order", blame_damage},
    {"answer_too_large", blame_damage},
    {"silent", blame_silence},
    {"error", blame_error},
    {"weights_expired", blame_old_weights},
    {"unconfirmed_refusal", blame_error},
};

static void
blame_attempt(struct inquiry *inquiry, const struct pgw_log_line *attempt)
{
    const char *outcome = text_of(attempt, "outcome");

    for (size_t i = 0; i < G_N_ELEMENTS(attempts); i++) {
        if (strcmp(attempts[i].outcome, outcome) == 0) {
            attempts[i].blame(inquiry, attempt);
            return;
        }
    }
}

/* The attempt that took longest, or the last one. */
static const struct pgw_log_line *
find_attempt(const struct inquiry *inquiry, bool longest)
{
    const struct pgw_log_line *found = NULL;

    for (guint i = 0; i < inquiry->out->lines->len; i++) {
        const struct pgw_log_line *line =
            g_ptr_array_index(inquiry->out->lines, i);

        if (is_event(line, "attempt_end") &&
            (found == NULL || !longest ||
             pgw_log_line_number(line, "ms") >=
                 pgw_log_line_number(found, "ms"))) {
            found = line;
        }
    }
    return found;
}

/* It was refused while others of its service waited. */
static const struct pgw_log_line *
find_room_refusal(const struct inquiry *inquiry)
{
    const GPtrArray *lines = inquiry->out->lines;

    for (guint i = 0; i < lines->len; i++) {
        const struct pgw_log_line *line = g_ptr_array_index(lines, i);

        if (is_event(line, "room_refused")) {
            return line;
        }
    }
    return NULL;
}

static void
blame_room(struct inquiry *inquiry)
{
    const struct pgw_log_line *line = find_room_refusal(inquiry);

    if (line == NULL) {
        conclude(inquiry, PGW_CAUSE_NO_ROOM,
                 "its turn at service %s would have come too late; the line "
                 "room_refused is missing",
                 text_of(inquiry->end, "service"));
        return;
    }
    conclude(
        inquiry, PGW_CAUSE_NO_ROOM,
        "%s requests with %s tokens were before it, at %s tokens a second "
        "for the entry; its workspace %s asks for %s times its share, and "
        "workspace %s got most (%s of all); it may return after %s ms%s",
        text_of(line, "before"), text_of(line, "queued_tokens"),
        text_of(line, "tokens_per_s"), text_of(line, "workspace"),
        text_of(line, "ratio"), text_of(line, "top"),
        text_of(line, "top_share"), text_of(line, "retry_ms"),
        pgw_log_line_number(line, "promised") == 0 ? ", without room promised"
                                                   : "");
}

static void
blame_queue(struct inquiry *inquiry)
{
    unsigned gone = 0;
    unsigned loading = 0;

    if (find_room_refusal(inquiry) != NULL) {
        blame_room(inquiry);
        return;
    }
    for (guint i = 0; i < inquiry->logs->changes->len; i++) {
        const struct pgw_log_line *line =
            g_ptr_array_index(inquiry->logs->changes, i);

        if (line->ts_us < inquiry->first_us - BEFORE_US ||
            line->ts_us > inquiry->last_us) {
            continue;
        }
        gone += g_strv_contains(losses, line->event);
        loading += is_event(line, "order");
    }
    conclude(inquiry, PGW_CAUSE_NO_PLACE,
             "it waited %s ms for a place at an upstream of service %s; in "
             "the 10 s before, %u lines tell of upstreams lost and %u of "
             "engines told to load weights",
             text_of(inquiry->end, "queued_ms"),
             text_of(inquiry->end, "service"), gone, loading);
}

/* It was answered late, or not before its time was over. */
static void
blame_time(struct inquiry *inquiry)
{
    const struct pgw_log_line *end = inquiry->end;
    const struct pgw_log_line *attempt = find_attempt(inquiry, true);
    const char *upstream = text_of(end, "upstream");
    uint64_t queued = pgw_log_line_number(end, "queued_ms");
    uint64_t total = pgw_log_line_number(end, "total_ms");
    const struct pgw_log_line *order =
        find_change(inquiry, upstream, orders, inquiry->first_us - LOADING_US,
                    inquiry->last_us);
    const struct pgw_log_line *named = find_change(
        inquiry, NULL, namings, inquiry->first_us - COLD_US, inquiry->last_us);
    const struct pgw_log_line *loss;

    if (queued > 0 && (double)queued >= (double)total * QUEUE_SHARE) {
        blame_queue(inquiry);
    }
    else if (attempt != NULL && pgw_log_line_number(attempt, "ms") > 0) {
        blame_attempt(inquiry, attempt);
    }
    else if (order != NULL) {
        conclude(inquiry, PGW_CAUSE_WEIGHTS,
                 "upstream %s was told to load version %s around then (%s the "
                 "request came)",
                 upstream, text_of(order, "version"),
                 moment_of(inquiry, order).text);
    }
    else if (pgw_log_line_number(end, "missing") >= LONG_TOKENS) {
        conclude(inquiry, PGW_CAUSE_LONG_PROMPT,
                 "%s tokens of its prompt were not in upstream %s's memory "
                 "(fetched from: %s)%s%s",
                 text_of(end, "missing"), upstream, text_of(end, "fetch"),
                 named == NULL ? "" : "; caches were empty after version ",
                 named == NULL ? "" : text_of(named, "version"));
    }
    else if ((loss = find_loss(inquiry, upstream)) != NULL) {
        conclude(inquiry, PGW_CAUSE_UPSTREAM_LOST,
                 "upstream %s was going down, as %s says (%s, %s the request "
                 "came)",
                 upstream, loss->instance, loss->event,
                 moment_of(inquiry, loss).text);
    }
    else if (pgw_log_line_number(end, "load") >= CROWD) {
        conclude(inquiry, PGW_CAUSE_CROWDED,
                 "%s others were running at upstream %s", text_of(end, "load"),
                 upstream);
    }
    else {
        conclude(inquiry, PGW_CAUSE_SLOW,
                 "upstream %s took long: nothing else was found around it",
                 upstream);
    }
}

/* It began in time, but its stream stood still for too long. */
static void
blame_pause(struct inquiry *inquiry)
{
    const struct pgw_log_line *end = inquiry->end;
    uint64_t prompts = pgw_log_line_number(end, "pause_prompts");

    if (prompts > 0) {
        conclude(inquiry, PGW_CAUSE_PAUSED,
                 "its stream paused for %s ms, over the %s ms of its route, "
                 "beside %" G_GUINT64_FORMAT
                 " long prompt%s that upstream %s was prefilling",
                 text_of(end, "pause_ms"), text_of(end, "pause_objective_ms"),
                 prompts, prompts == 1 ? "" : "s", text_of(end, "upstream"));
        return;
    }
    conclude(inquiry, PGW_CAUSE_SLOW,
             "its stream from upstream %s paused for %s ms, over the %s ms of "
             "its route, and no long prompt was known there",
             text_of(end, "upstream"), text_of(end, "pause_ms"),
             text_of(end, "pause_objective_ms"));
}

static void
end_answered(struct inquiry *inquiry)
{
    const struct pgw_log_line *end = inquiry->end;
    const struct pgw_log_line *attempt = find_attempt(inquiry, true);

    if (pgw_line_went_well(end)) {
        conclude(inquiry, PGW_CAUSE_NONE,
                 "the whole answer came from upstream %s, the first after %s "
                 "ms",
                 text_of(end, "upstream"), text_of(end, "first_ms"));
    }
    else if (pgw_log_line_number(end, "status") >= 400) {
        conclude(inquiry, PGW_CAUSE_UPSTREAM_FAILED,
                 "upstream %s answered with a failure of its own (%s), after "
                 "%s run%s in all",
                 text_of(end, "upstream"), text_of(end, "status"),
                 text_of(end, "runs"),
                 pgw_log_line_number(end, "runs") == 1 ? "" : "s");
    }
    else if (attempt != NULL && pgw_log_line_number(end, "first_ms") <=
                                    pgw_log_line_number(end, "objective_ms")) {
        blame_attempt(inquiry, attempt);
    }
    else if (pgw_line_is_paused(end) &&
             pgw_log_line_number(end, "first_ms") <=
                 pgw_log_line_number(end, "objective_ms")) {
        blame_pause(inquiry);
    }
    else {
        blame_time(inquiry);
    }
}

static void
end_attempt(struct inquiry *inquiry)
{
    const struct pgw_log_line *attempt = find_attempt(inquiry, false);

    if (attempt != NULL) {
        blame_attempt(inquiry, attempt);
    }
}

static void
end_caller_gone(struct inquiry *inquiry)
{
    conclude(inquiry, PGW_CAUSE_CALLER_LEFT,
             "its caller closed the connection after %s ms, %s the first of "
             "the answer",
             text_of(inquiry->end, "total_ms"),
             pgw_log_line_number(inquiry->end, "first_ms") > 0 ? "after"
                                                               : "before");
}

static void
end_malformed(struct inquiry *inquiry)
{
    conclude(inquiry, PGW_CAUSE_BAD_REQUEST,
             "its head lacks a field that every request has, or one makes no "
             "sense");
}

static void
end_no_configuration(struct inquiry *inquiry)
{
    static const char *const starts[] = {"start", NULL};
    const struct pgw_log_line *start =
        find_change(inquiry, NULL, starts, inquiry->first_us - BEFORE_US,
                    inquiry->first_us);

    conclude(inquiry, PGW_CAUSE_NO_CONFIGURATION,
             "%s had no configuration yet%s", inquiry->end->instance,
             start == NULL ? "; no start of a process is logged before"
                           : ": it had just started");
}

static void
end_stopping(struct inquiry *inquiry)
{
    conclude(inquiry, PGW_CAUSE_STOPPING,
             "a planned stop of %s left no time for it",
             inquiry->end->instance);
}

static void
end_no_route(struct inquiry *inquiry)
{
    conclude(inquiry, PGW_CAUSE_NO_ROUTE,
             "no route of configuration %s matches it; that one had been in "
             "force at %s for %s ms",
             text_of(inquiry->end, "config"), inquiry->end->instance,
             text_of(inquiry->end, "config_age_ms"));
}

static void
end_unauthorized(struct inquiry *inquiry)
{
    conclude(inquiry, PGW_CAUSE_BAD_KEY,
             "configuration %s does not hold its key; that one had been in "
             "force at %s for %s ms",
             text_of(inquiry->end, "config"), inquiry->end->instance,
             text_of(inquiry->end, "config_age_ms"));
}

static void
end_upstream_limits(struct inquiry *inquiry)
{
    conclude(inquiry, PGW_CAUSE_UPSTREAM_LIMITS,
             "all upstreams of service %s that could take it were at limits "
             "that they had named: see upstream_limit",
             text_of(inquiry->end, "service"));
}

static void
end_upstreams_in_backoff(struct inquiry *inquiry)
{
    conclude(inquiry, PGW_CAUSE_UPSTREAMS_IN_BACKOFF,
             "all upstreams of service %s that could take it had asked %s for "
             "a time without requests: see upstream_backoff",
             text_of(inquiry->end, "service"), inquiry->end->instance);
}

static void
end_stream_version_gone(struct inquiry *inquiry)
{
    conclude(inquiry, PGW_CAUSE_STREAM_VERSION,
             "no upstream of service %s runs the software version that began "
             "the stream: see stream_refused",
             text_of(inquiry->end, "service"));
}

static void
end_stream_origin_unknown(struct inquiry *inquiry)
{
    conclude(inquiry, PGW_CAUSE_STREAM_VERSION,
             "service %s has several software versions, and neither %s nor a "
             "sidecar knew which one began the stream: see stream_refused",
             text_of(inquiry->end, "service"), inquiry->end->instance);
}

static void
end_poison(struct inquiry *inquiry)
{
    conclude(inquiry, PGW_CAUSE_POISON,
             "the same request was running at several upstreams when they "
             "crashed: see poison_crash with its fingerprint");
}

static void
end_over_quota(struct inquiry *inquiry)
{
    conclude(inquiry, PGW_CAUSE_QUOTA,
             "its workspace had spent its quota, or its owner could not be "
             "asked: see pgw_quota_asks_unanswered_total at %s",
             inquiry->end->instance);
}

/* It waited at an upstream of which nothing was heard, and could not go on
 * elsewhere. */
static bool
tell_stuck(struct inquiry *inquiry)
{
    for (guint i = 0; i < inquiry->out->lines->len; i++) {
        const struct pgw_log_line *line =
            g_ptr_array_index(inquiry->out->lines, i);

        if (is_event(line, "request_stuck")) {
            conclude(inquiry, PGW_CAUSE_UPSTREAM_SILENT,
                     "nothing came from upstream %s or its sidecar for %s ms, "
                     "and the request stayed there (%s)",
                     text_of(line, "upstream"), text_of(line, "silent_ms"),
                     text_of(line, "stays"));
            return true;
        }
    }
    return false;
}

/* How a request ended, by its last line's outcome, or its reason where it was
 * refused before it was placed. */
static const struct {
    const char *outcome;
    void (*tell)(struct inquiry *inquiry);
} ends[] = {
    {"answered", end_answered},
    {"caller_gone", end_caller_gone},
    {"abandoned", end_caller_gone},
    {"upstream_lost", end_attempt},
    {"upstreams_refuse", end_attempt},
    {"out_of_order", end_attempt},
    {"no_place", blame_queue},
    {"no_room", blame_room},
    {"no_place_to_repeat", blame_queue},
    {"deadline", blame_time},
    {"malformed", end_malformed},
    {"no_configuration", end_no_configuration},
    {"stopping", end_stopping},
    {"no_route", end_no_route},
    {"unauthorized", end_unauthorized},
    {"crashes_upstreams", end_poison},
    {"over_quota", end_over_quota},
    {"upstream_limits", end_upstream_limits},
    {"upstreams_in_backoff", end_upstreams_in_backoff},
    {"stream_version_gone", end_stream_version_gone},
    {"stream_origin_unknown", end_stream_origin_unknown},
};

/* Adds to the sentence what became of the run's copy at another engine. */
static void
tell_copy(struct inquiry *inquiry)
{
    char *sentence = inquiry->out->sentence;

    for (guint i = 0; i < inquiry->out->lines->len; i++) {
        const struct pgw_log_line *line =
            g_ptr_array_index(inquiry->out->lines, i);

        if (is_event(line, "run_continued")) {
            inquiry->out->sentence = g_strdup_printf(
                "%s; its run went on at %s after event %s of %s", sentence,
                text_of(line, "at"), text_of(line, "after"),
                text_of(line, "from"));
            g_free(sentence);
            return;
        }
        if (is_event(line, "run_not_continued")) {
            inquiry->out->sentence = g_strdup_printf(
                "%s; its copy at %s was not used (%s)", sentence,
                text_of(line, "holder"), text_of(line, "reason"));
            g_free(sentence);
            return;
        }
    }
}

static void
tell_end(struct inquiry *inquiry)
{
    const char *outcome = pgw_log_line_get(inquiry->end, "outcome");

    if (outcome == NULL) {
        outcome = text_of(inquiry->end, "reason");
    }
    if (!pgw_line_went_well(inquiry->end) && tell_stuck(inquiry)) {
        tell_copy(inquiry);
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(ends); i++) {
        if (strcmp(ends[i].outcome, outcome) == 0) {
            ends[i].tell(inquiry);
        }
    }
    if (inquiry->out->sentence == NULL) {
        conclude(inquiry, PGW_CAUSE_UNKNOWN,
                 "outcome %s: the logs say no more", outcome);
    }
    tell_copy(inquiry);
}

/* Whether a line of no request helps to understand this one. */
static bool
is_context(const struct inquiry *inquiry, const struct pgw_log_line *line)
{
    static const char *const own[] = {
        "configuration",
        "weights_named",
        "store_trouble",
        "store_back",
        "start",
        "stop",
        "signal",
        "reload",
        "log_dropped",
        "history_gone",
        NULL,
    };

    if (line->ts_us < inquiry->first_us - BEFORE_US ||
        line->ts_us > inquiry->last_us + (g_strv_contains(losses, line->event)
                                              ? AFTER_US
                                              : CONTEXT_AFTER_US)) {
        return false;
    }
    if (inquiry->end != NULL &&
        strcmp(line->instance, inquiry->end->instance) == 0 &&
        g_strv_contains(own, line->event)) {
        return true;
    }
    for (guint i = 0; i < inquiry->out->lines->len; i++) {
        const char *upstream = pgw_log_line_get(
            g_ptr_array_index(inquiry->out->lines, i), "upstream");

        if (upstream != NULL && speaks_of(inquiry, line, upstream)) {
            return true;
        }
    }
    return false;
}

static void
collect_context(struct inquiry *inquiry)
{
    const GPtrArray *changes = inquiry->logs->changes;

    inquiry->out->context = g_ptr_array_new();
    for (guint i = 0; i < changes->len; i++) {
        if (is_context(inquiry, g_ptr_array_index(changes, i))) {
            g_ptr_array_add(inquiry->out->context,
                            g_ptr_array_index(changes, i));
        }
    }
    if (inquiry->out->context->len > CONTEXT_MAX) {
        g_ptr_array_remove_range(inquiry->out->context, 0,
                                 inquiry->out->context->len - CONTEXT_MAX);
    }
}

void
pgw_explanation_find_cause(struct pgw_explanation *explanation,
                           const struct pgw_logs *logs)
{
    const GPtrArray *lines = explanation->lines;
    const struct pgw_log_line *first = g_ptr_array_index(lines, 0);
    const struct pgw_log_line *last = g_ptr_array_index(lines, lines->len - 1);
    struct inquiry inquiry = {
        .out = explanation,
        .logs = logs,
        .end = explanation->end,
        .first_us = first->ts_us,
        .last_us = last->ts_us,
    };

    inquiry.first_us -=
        1000 * (int64_t)(pgw_log_line_number(first, "total_ms") +
                         pgw_log_line_number(first, "ms"));
    if (inquiry.end != NULL) {
        tell_end(&inquiry);
    }
    else {
        conclude(&inquiry, PGW_CAUSE_UNKNOWN,
                 "%s logged no end of it: the process ended first, or the "
                 "line was left out",
                 first->instance);
    }
    collect_context(&inquiry);
}
