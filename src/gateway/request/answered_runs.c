#include "gateway/request/answered_runs.h"
#include "parsleygw/place.h"
#include "util/list.h"
#include "util/log.h"

/* An upstream that has answered another request this long after a run's answer
 * will not crash of that run. */
#define SURVIVED_US 500000
/* Crashes become known within this time. */
#define CRASH_KNOWN_US 8000000
#define CHECK_INTERVAL_US 250000
/* Some 400 bytes each; an entry relays fewer answers in the time for which a
 * busy upstream's runs are kept. */
#define RUNS_MAX 4096

struct answered_run {
    struct pgw_list in_runs;
    struct pgw_crash_keys keys;
    char *request;
    struct pgw_upstream *upstream;
    uint64_t incarnation;
    uint64_t answered_us;
    unsigned status;
};

struct pgw_answered_runs {
    struct pgw_loop *loop;
    struct pgw_crash_quarantine *quarantine;
    struct pgw_list runs;
    unsigned count;
    struct pgw_timer timer;
};

static void
remove_run(struct pgw_answered_runs *runs, struct answered_run *run)
{
    pgw_list_remove(&run->in_runs);
    runs->count--;
    pgw_upstream_unref(run->upstream);
    g_free(run->request);
    g_free(run);
}

static bool
is_survived(const struct answered_run *run, uint64_t alive_us)
{
    return alive_us >= run->answered_us + SURVIVED_US;
}

static void
log_crash(const struct answered_run *run, uint64_t now_us)
{
    char name[PGW_FINGERPRINT_HEX];

    pgw_fingerprint_print(name, &run->keys.items[0]);
    /* Nearly all of them are harmless, so they must not displace others. */
    pgw_log_some(true, "answered_before_crash",
                 "request=%s upstream=%s fingerprint=%s status=%u "
                 "ms=%" G_GUINT64_FORMAT,
                 run->request, run->upstream->id, name, run->status,
                 (now_us - run->answered_us) / 1000);
}

static void
on_crash(uint64_t crash, uint64_t answered_us, void *context)
{
    struct pgw_answered_runs *runs = context;
    uint64_t now_us = pgw_now_us();

    pgw_list_foreach_safe (link, &runs->runs) {
        struct answered_run *run =
            pgw_container_of(link, struct answered_run, in_runs);

        if (run->incarnation != crash) {
            continue;
        }
        if (!is_survived(run, MAX(answered_us, run->upstream->answered_us))) {
            log_crash(run, now_us);
        }
        remove_run(runs, run);
    }
}

static void
on_check(struct pgw_timer *timer)
{
    struct pgw_answered_runs *runs =
        pgw_container_of(timer, struct pgw_answered_runs, timer);
    uint64_t now_us = pgw_now_us();

    pgw_list_foreach_safe (link, &runs->runs) {
        struct answered_run *run =
            pgw_container_of(link, struct answered_run, in_runs);

        if (is_survived(run, run->upstream->answered_us) ||
            now_us >= run->answered_us + CRASH_KNOWN_US) {
            remove_run(runs, run);
        }
    }
    if (runs->count > 0) {
        pgw_timer_start(runs->loop, timer, CHECK_INTERVAL_US);
    }
}

struct pgw_answered_runs *
pgw_answered_runs_new(struct pgw_loop *loop,
                      struct pgw_crash_quarantine *quarantine)
{
    struct pgw_answered_runs *runs = g_new0(struct pgw_answered_runs, 1);

    runs->loop = loop;
    runs->quarantine = quarantine;
    runs->timer.on_due = on_check;
    pgw_list_init(&runs->runs);
    pgw_crash_quarantine_subscribe_crashes(quarantine, on_crash, runs);
    return runs;
}

void
pgw_answered_runs_free(struct pgw_answered_runs *runs)
{
    pgw_crash_quarantine_subscribe_crashes(runs->quarantine, NULL, NULL);
    pgw_timer_stop(runs->loop, &runs->timer);
    pgw_list_foreach_safe (link, &runs->runs) {
        remove_run(runs, pgw_container_of(link, struct answered_run, in_runs));
    }
    g_free(runs);
}

void
pgw_answered_runs_add(struct pgw_answered_runs *runs,
                      const struct pgw_answered_run *run)
{
    struct answered_run *added;

    if (runs->count == RUNS_MAX) {
        remove_run(runs, pgw_container_of(runs->runs.next, struct answered_run,
                                          in_runs));
    }
    added = g_new0(struct answered_run, 1);
    added->keys = *run->keys;
    added->request = g_strdup(run->request);
    added->upstream = pgw_upstream_ref(run->upstream);
    added->incarnation = pgw_place_id_hash(run->upstream->id);
    added->answered_us = pgw_now_us();
    added->status = run->status;
    if (runs->count == 0) {
        pgw_timer_start(runs->loop, &runs->timer, CHECK_INTERVAL_US);
    }
    pgw_list_append(&runs->runs, &added->in_runs);
    runs->count++;
}
