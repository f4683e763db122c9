#include "gateway/request/abandoned_trials.h"
#include "util/list.h"

/* Interval at which results are looked for. */
#define CHECK_US 100000
/* An upstream that has answered this long after the close had seen it. */
#define RUN_OVER_US 1000000

struct abandoned_trial {
    struct pgw_list in_trials;
    struct pgw_crash_keys keys;
    uint64_t trial;
    struct pgw_upstream *upstream;
    char *process;
    uint64_t abandoned_us;
    uint64_t end_us;
};

struct pgw_abandoned_trials {
    struct pgw_loop *loop;
    struct pgw_crash_quarantine *quarantine;
    struct pgw_list trials;
    struct pgw_timer timer;
};

static void
remove_trial(struct abandoned_trial *trial)
{
    pgw_list_remove(&trial->in_trials);
    pgw_upstream_unref(trial->upstream);
    g_free(trial->process);
    g_free(trial);
}

static void
settle(struct pgw_abandoned_trials *trials, struct abandoned_trial *trial,
       uint64_t now_us)
{
    bool crashed =
        pgw_crash_quarantine_has_crashed(trials->quarantine, trial->process);
    bool is_over =
        now_us >= trial->end_us ||
        trial->upstream->answered_us >= trial->abandoned_us + RUN_OVER_US;

    if (!crashed && !is_over) {
        return;
    }
    if (crashed) {
        pgw_crash_quarantine_end_abandoned_trial(
            trials->quarantine, &trial->keys, trial->trial, now_us);
    }
    else {
        pgw_crash_quarantine_end_trial(trials->quarantine, &trial->keys,
                                       trial->trial, PGW_TRIAL_UNPROVEN,
                                       now_us);
    }
    remove_trial(trial);
}

static void
on_check(struct pgw_timer *timer)
{
    struct pgw_abandoned_trials *trials =
        pgw_container_of(timer, struct pgw_abandoned_trials, timer);
    uint64_t now_us = pgw_now_us();

    pgw_list_foreach_safe (link, &trials->trials) {
        settle(trials,
               pgw_container_of(link, struct abandoned_trial, in_trials),
               now_us);
    }
    if (!pgw_list_is_empty(&trials->trials)) {
        pgw_timer_start(trials->loop, timer, CHECK_US);
    }
}

struct pgw_abandoned_trials *
pgw_abandoned_trials_new(struct pgw_loop *loop,
                         struct pgw_crash_quarantine *quarantine)
{
    struct pgw_abandoned_trials *trials =
        g_new0(struct pgw_abandoned_trials, 1);

    trials->loop = loop;
    trials->quarantine = quarantine;
    trials->timer.on_due = on_check;
    pgw_list_init(&trials->trials);
    return trials;
}

void
pgw_abandoned_trials_free(struct pgw_abandoned_trials *trials)
{
    pgw_timer_stop(trials->loop, &trials->timer);
    pgw_list_foreach_safe (link, &trials->trials) {
        remove_trial(
            pgw_container_of(link, struct abandoned_trial, in_trials));
    }
    g_free(trials);
}

void
pgw_abandoned_trials_add(struct pgw_abandoned_trials *trials,
                         const struct pgw_crash_keys *keys, uint64_t trial,
                         struct pgw_upstream *upstream, const char *process)
{
    struct abandoned_trial *added = g_new0(struct abandoned_trial, 1);
    uint64_t now_us = pgw_now_us();

    added->keys = *keys;
    added->trial = trial;
    added->upstream = pgw_upstream_ref(upstream);
    added->process = g_strdup(process);
    added->abandoned_us = now_us;
    added->end_us = pgw_crash_quarantine_abandon_trial(
        trials->quarantine, keys, trial, process, now_us);
    if (pgw_list_is_empty(&trials->trials)) {
        pgw_timer_start(trials->loop, &trials->timer, CHECK_US);
    }
    pgw_list_append(&trials->trials, &added->in_trials);
}
