#include "gateway/crash/unframed_runs.h"

/* Expires only when a test fails. */
#define TIMEOUT_US 20000000

struct play {
    struct pgw_loop *loop;
    struct pgw_crash_quarantine *quarantine;
    struct pgw_unframed_runs *runs;
    struct pgw_timer poll_timer;
    struct pgw_timer timeout;
    guint wanted;
    bool timed_out;
};

static void
on_poll(struct pgw_timer *timer)
{
    struct play *play = pgw_container_of(timer, struct play, poll_timer);
    GArray *known = pgw_crash_quarantine_list(play->quarantine, pgw_now_us());

    if (known->len == play->wanted) {
        pgw_loop_stop(play->loop);
    }
    g_array_unref(known);
    pgw_timer_start(play->loop, timer, 2000);
}

static void
on_timeout(struct pgw_timer *timer)
{
    struct play *play = pgw_container_of(timer, struct play, timeout);

    play->timed_out = true;
    pgw_loop_stop(play->loop);
}

static void
begin(struct play *play)
{
    struct pgw_crash_quarantine_options options =
        PGW_CRASH_QUARANTINE_OPTIONS_INIT;

    play->loop = pgw_loop_new(NULL);
    play->quarantine = pgw_crash_quarantine_new(&options);
    play->runs = pgw_unframed_runs_new(play->loop, play->quarantine);
    play->poll_timer.on_due = on_poll;
    play->timeout.on_due = on_timeout;
}

/* Runs until as many crashes count. */
static void
run_until(struct play *play, guint crashes)
{
    play->wanted = crashes;
    pgw_timer_start(play->loop, &play->poll_timer, 0);
    pgw_timer_start(play->loop, &play->timeout, TIMEOUT_US);
    pgw_loop_run(play->loop);
    g_assert_false(play->timed_out);
}

static void
end(struct play *play)
{
    pgw_timer_stop(play->loop, &play->poll_timer);
    pgw_timer_stop(play->loop, &play->timeout);
    pgw_unframed_runs_free(play->runs);
    pgw_crash_quarantine_free(play->quarantine);
    pgw_loop_free(play->loop);
}

static struct pgw_crash_keys
make_keys(void)
{
    struct pgw_fingerprint request = {{1}};
    struct pgw_crash_keys out;

    pgw_crash_keys_init(&out, &request);
    return out;
}

/* Guards against a crash between two events that counts as a completed run. */
static void
test_crashed_run_is_interrupted(void)
{
    struct pgw_crash_keys keys = make_keys();
    struct play play = {0};

    begin(&play);
    pgw_unframed_runs_add(play.runs, &keys, "a");
    pgw_crash_quarantine_add_crash(play.quarantine, "a", 0, pgw_now_us());
    run_until(&play, 1);
    end(&play);
}

/* Guards against answers without an end mark that never clear a suspect. */
static void
test_completed_run_clears(void)
{
    struct pgw_crash_keys keys = make_keys();
    struct play play = {0};

    begin(&play);
    pgw_crash_quarantine_add_interrupted(play.quarantine, &keys, "a",
                                         pgw_now_us());
    pgw_crash_quarantine_add_crash(play.quarantine, "a", 0, pgw_now_us());
    run_until(&play, 1);
    pgw_unframed_runs_add(play.runs, &keys, "b");
    run_until(&play, 0);
    end(&play);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/unframed_runs/crashed_run_is_interrupted",
                    test_crashed_run_is_interrupted);
    g_test_add_func("/unframed_runs/completed_run_clears",
                    test_completed_run_clears);
    return g_test_run();
}
