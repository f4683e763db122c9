#include "gateway/crash/unframed_runs.h"
#include "util/list.h"

/* Crashes become known within this time: connections are refused, or the
 * sidecar reports it. */
#define CRASH_KNOWN_US 1000000
/* Some 300 bytes each; 4,096 answers a second are more than an entry relays.
 */
#define RUNS_MAX 4096

struct unframed_run {
    struct pgw_list in_runs;
    struct pgw_crash_keys keys;
    char *upstream;
    uint64_t due_us;
};

struct pgw_unframed_runs {
    struct pgw_loop *loop;
    struct pgw_crash_quarantine *quarantine;
    struct pgw_list runs;
    unsigned count;
    struct pgw_timer timer;
};

static void
remove_run(struct pgw_unframed_runs *runs, struct unframed_run *run)
{
    pgw_list_remove(&run->in_runs);
    runs->count--;
    g_free(run->upstream);
    g_free(run);
}

static void
settle(struct pgw_unframed_runs *runs, const struct unframed_run *run,
       uint64_t now_us)
{
    if (pgw_crash_quarantine_has_crashed(runs->quarantine, run->upstream)) {
        pgw_crash_quarantine_add_interrupted(runs->quarantine, &run->keys,
                                             run->upstream, now_us);
    }
    else {
        pgw_crash_quarantine_clear(runs->quarantine, &run->keys);
    }
}

static void
on_due(struct pgw_timer *timer)
{
    struct pgw_unframed_runs *runs =
        pgw_container_of(timer, struct pgw_unframed_runs, timer);
    uint64_t now_us = pgw_now_us();

    pgw_list_foreach_safe (link, &runs->runs) {
        struct unframed_run *run =
            pgw_container_of(link, struct unframed_run, in_runs);

        if (run->due_us > now_us) {
            pgw_timer_start(runs->loop, timer, run->due_us - now_us);
            return;
        }
        settle(runs, run, now_us);
        remove_run(runs, run);
    }
}

struct pgw_unframed_runs *
pgw_unframed_runs_new(struct pgw_loop *loop,
                      struct pgw_crash_quarantine *quarantine)
{
    struct pgw_unframed_runs *runs = g_new0(struct pgw_unframed_runs, 1);

    runs->loop = loop;
    runs->quarantine = quarantine;
    runs->timer.on_due = on_due;
    pgw_list_init(&runs->runs);
    return runs;
}

void
pgw_unframed_runs_free(struct pgw_unframed_runs *runs)
{
    pgw_timer_stop(runs->loop, &runs->timer);
    pgw_list_foreach_safe (link, &runs->runs) {
        remove_run(runs, pgw_container_of(link, struct unframed_run, in_runs));
    }
    g_free(runs);
}

void
pgw_unframed_runs_add(struct pgw_unframed_runs *runs,
                      const struct pgw_crash_keys *keys, const char *upstream)
{
    struct unframed_run *run;

    if (runs->count == RUNS_MAX) {
        return;
    }
    run = g_new0(struct unframed_run, 1);
    run->keys = *keys;
    run->upstream = g_strdup(upstream);
    run->due_us = pgw_now_us() + CRASH_KNOWN_US;
    pgw_list_append(&runs->runs, &run->in_runs);
    runs->count++;
    if (runs->count == 1) {
        pgw_timer_start(runs->loop, &runs->timer, CRASH_KNOWN_US);
    }
}
