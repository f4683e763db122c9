#include "gateway/request/answered_runs.h"
#include "gateway/request/exchange.h"
#include "parsleygw/place.h"
#include "util/log.h"
#include <string.h>

/* An upstream that has answered something this long after a run's answer will
 * not crash of that run. */
#define SURVIVED_US 300000
/* A crash becomes known within this time: a connection is refused, or the
 * list's record expires. */
#define CRASH_KNOWN_US 8000000
/* If the upstream of a trial cannot be asked, it has survived after so long.
 */
#define UNASKED_US 1000000
/* Other entries wait for the result of a trial for so long beyond that. */
#define RESULT_MARGIN_US 2000000
#define CHECK_INTERVAL_US 50000
/* Some 400 bytes each; an entry relays fewer answers in the time for which a
 * busy upstream's runs are kept. */
#define RUNS_MAX 4096

struct answered_run {
    struct pgw_list in_runs;
    struct pgw_answered_runs *runs;
    struct pgw_crash_keys keys;
    char *request;
    struct pgw_upstream *upstream;
    char *process;
    uint64_t crash;
    uint64_t sent_us;
    uint64_t answered_us;
    unsigned status;
    bool is_cut;
    uint64_t trial;
    struct pgw_status_check check;
};

struct pgw_answered_runs {
    struct pgw_gateway *gateway;
    struct pgw_list runs;
    unsigned count;
    struct pgw_timer timer;
};

static void
remove_run(struct answered_run *run)
{
    pgw_status_check_cancel(&run->check);
    pgw_list_remove(&run->in_runs);
    run->runs->count--;
    pgw_upstream_unref(run->upstream);
    g_free(run->request);
    g_free(run->process);
    g_free(run);
}

static void
end_trial(const struct answered_run *run, enum pgw_trial_result result)
{
    pgw_crash_quarantine_end_trial(run->runs->gateway->crash_quarantine,
                                   &run->keys, run->trial, result,
                                   pgw_now_us());
}

/* An upstream that answers with an error of its own has not shown that it
 * survives the request. One that rejects it has not run its prompt. */
static void
settle_survived(const struct answered_run *run)
{
    struct pgw_crash_keys completed = run->keys;
    bool is_answered = run->status > 0 && run->status < 500;

    if (run->status >= 300) {
        completed.count = 1;
    }
    if (is_answered) {
        pgw_crash_quarantine_clear(run->runs->gateway->crash_quarantine,
                                   &completed);
    }
    end_trial(run, PGW_TRIAL_UNPROVEN);
}

static void
log_crash(const struct answered_run *run, uint64_t now_us)
{
    char name[PGW_FINGERPRINT_HEX];

    pgw_fingerprint_print(name, &run->keys.items[0]);
    /* Nearly all of them are harmless, so they must not displace others. */
    pgw_log_some(run->trial == 0, "answered_before_crash",
                 "request=%s upstream=%s fingerprint=%s status=%u "
                 "ms=%" G_GUINT64_FORMAT,
                 run->request, run->upstream->id, name, run->status,
                 (now_us - run->answered_us) / 1000);
}

/* The time of the crash is known roughly, as for an abandoned run. An answer
 * without an end mark may have been cut by it. */
static void
settle_crashed(const struct answered_run *run)
{
    struct pgw_crash_quarantine *quarantine =
        run->runs->gateway->crash_quarantine;
    uint64_t now_us = pgw_now_us();

    log_crash(run, now_us);
    if (run->is_cut) {
        pgw_crash_quarantine_add_cut(quarantine, &run->keys, run->process,
                                     run->answered_us, now_us);
    }
    else {
        pgw_crash_quarantine_add_abandoned(quarantine, &run->keys,
                                           run->process, now_us);
    }
    end_trial(run, PGW_TRIAL_FAILED);
}

static bool
is_survived(const struct answered_run *run, uint64_t alive_us)
{
    return alive_us >= run->answered_us + SURVIVED_US;
}

static const char *
status_path(const struct answered_run *run)
{
    const struct pgw_gateway *gateway = run->runs->gateway;
    const struct pgw_service *service =
        gateway->routes == NULL
            ? NULL
            : pgw_route_table_service(gateway->routes, run->upstream->service);

    return service == NULL ? NULL : service->status_path;
}

static void
on_status(struct pgw_status_check *check, enum pgw_upstream_status status)
{
    struct answered_run *run =
        pgw_container_of(check, struct answered_run, check);
    struct pgw_gateway *gateway = run->runs->gateway;
    struct pgw_upstream *upstream;

    /* What an upstream that lives has answered is noted there. */
    if (status != PGW_UPSTREAM_ENDED) {
        return;
    }
    upstream = pgw_upstream_ref(run->upstream);
    settle_crashed(run);
    remove_run(run);
    pgw_gateway_handle_crash(gateway, upstream);
    pgw_upstream_unref(upstream);
}

static void
ask_upstream(struct answered_run *run)
{
    const struct pgw_gateway *gateway = run->runs->gateway;
    const char *path = status_path(run);

    if (path != NULL && !pgw_status_check_is_running(&run->check)) {
        run->check.on_result = on_status;
        pgw_status_check_start(&run->check, gateway->pool,
                               gateway->options.codec, run->upstream, path);
    }
}

/* An upstream that has vanished from the list may serve on, so it is asked,
 * unless another process has its place. */
static void
on_crash(uint64_t crash, uint64_t answered_us, bool has_ended, void *context)
{
    struct pgw_answered_runs *runs = context;

    pgw_list_foreach_safe (link, &runs->runs) {
        struct answered_run *run =
            pgw_container_of(link, struct answered_run, in_runs);

        if (run->crash != crash) {
            continue;
        }
        if (is_survived(run, MAX(answered_us, run->upstream->answered_us))) {
            settle_survived(run);
            remove_run(run);
        }
        else if (has_ended || run->upstream->replaced_at_us >= run->sent_us) {
            settle_crashed(run);
            remove_run(run);
        }
        else {
            ask_upstream(run);
        }
    }
}

static void
check_run(struct answered_run *run, uint64_t now_us)
{
    bool is_trial = run->trial != 0;
    bool cannot_ask = is_trial && status_path(run) == NULL;

    if (now_us < run->answered_us + SURVIVED_US) {
        return;
    }
    if (strcmp(run->process, run->upstream->process) != 0) {
        settle_crashed(run);
        remove_run(run);
    }
    else if (is_survived(run, run->upstream->answered_us) ||
             (cannot_ask && now_us >= run->answered_us + UNASKED_US)) {
        settle_survived(run);
        remove_run(run);
    }
    else if (now_us >= run->answered_us + CRASH_KNOWN_US) {
        end_trial(run, PGW_TRIAL_UNPROVEN);
        remove_run(run);
    }
    /* Others wait for the result of a trial. */
    else if (is_trial) {
        ask_upstream(run);
    }
}

static void
on_check(struct pgw_timer *timer)
{
    struct pgw_answered_runs *runs =
        pgw_container_of(timer, struct pgw_answered_runs, timer);
    uint64_t now_us = pgw_now_us();

    pgw_list_foreach_safe (link, &runs->runs) {
        check_run(pgw_container_of(link, struct answered_run, in_runs),
                  now_us);
    }
    if (runs->count > 0) {
        pgw_timer_start(runs->gateway->loop, timer, CHECK_INTERVAL_US);
    }
}

struct pgw_answered_runs *
pgw_answered_runs_new(struct pgw_gateway *gateway)
{
    struct pgw_answered_runs *runs = g_new0(struct pgw_answered_runs, 1);

    runs->gateway = gateway;
    runs->timer.on_due = on_check;
    pgw_list_init(&runs->runs);
    pgw_crash_quarantine_subscribe_crashes(gateway->crash_quarantine, on_crash,
                                           runs);
    return runs;
}

void
pgw_answered_runs_free(struct pgw_answered_runs *runs)
{
    pgw_crash_quarantine_subscribe_crashes(runs->gateway->crash_quarantine,
                                           NULL, NULL);
    pgw_timer_stop(runs->gateway->loop, &runs->timer);
    pgw_list_foreach_safe (link, &runs->runs) {
        remove_run(pgw_container_of(link, struct answered_run, in_runs));
    }
    g_free(runs);
}

/* The oldest run makes room, as if it were over: a trial is not. */
static void
make_room(struct pgw_answered_runs *runs)
{
    struct answered_run *oldest = pgw_container_of(
        pgw_list_first(&runs->runs), struct answered_run, in_runs);

    end_trial(oldest, PGW_TRIAL_UNPROVEN);
    remove_run(oldest);
}

void
pgw_answered_runs_add(struct pgw_answered_runs *runs,
                      const struct pgw_answered_run *run)
{
    struct pgw_crash_quarantine *quarantine = runs->gateway->crash_quarantine;
    struct answered_run *added = g_new0(struct answered_run, 1);

    added->runs = runs;
    added->keys = *run->keys;
    added->request = g_strdup(run->request);
    added->upstream = pgw_upstream_ref(run->upstream);
    added->process = g_strdup(run->process);
    added->crash = pgw_place_id_hash(run->process);
    added->sent_us = run->sent_us;
    added->answered_us = pgw_now_us();
    added->status = run->status;
    added->is_cut = run->is_cut;
    added->trial = run->trial;
    if (runs->count == RUNS_MAX) {
        make_room(runs);
    }
    if (runs->count == 0) {
        pgw_timer_start(runs->gateway->loop, &runs->timer, CHECK_INTERVAL_US);
    }
    pgw_list_append(&runs->runs, &added->in_runs);
    runs->count++;
    if (pgw_crash_quarantine_has_crashed_since(quarantine, run->process,
                                               run->sent_us) ||
        (run->status == 0 && status_path(added) == NULL)) {
        settle_crashed(added);
        remove_run(added);
        return;
    }
    if (run->trial != 0) {
        pgw_crash_quarantine_answer_trial(
            quarantine, run->keys, run->trial, run->process,
            added->answered_us + CRASH_KNOWN_US + RESULT_MARGIN_US,
            added->answered_us);
    }
    if (run->status == 0) {
        ask_upstream(added);
    }
}
