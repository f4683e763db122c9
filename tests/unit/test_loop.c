/* The event loop: timers, tasks of other threads, removal within a batch. */
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "util/loop.h"

#define TIMERS 200
#define THREADS 4
#define TASKS 5000

struct timer_case {
    struct pgw_timer timer;
    struct timer_state *state;
};

struct timer_state {
    struct pgw_loop *loop;
    struct timer_case timers[TIMERS];
    uint64_t last_due_us;
    unsigned fired;
    unsigned wanted;
};

static void
timer_due(struct pgw_timer *timer)
{
    struct timer_state *state =
        pgw_container_of(timer, struct timer_case, timer)->state;

    g_assert_cmpuint(timer->due_us, <=, pgw_now_us());
    g_assert_cmpuint(timer->due_us, >=, state->last_due_us);
    g_assert_cmpuint(timer->position, ==, 0);
    state->last_due_us = timer->due_us;
    if (++state->fired == state->wanted) {
        pgw_loop_stop(state->loop);
    }
}

/* They fire in the order of their times, restarted ones at the new time, and
 * stopped ones not at all. */
static void
test_timers(void)
{
    struct timer_state *state = g_new0(struct timer_state, 1);
    GRand *random = g_rand_new_with_seed(1);

    state->loop = pgw_loop_new(NULL);
    for (unsigned i = 0; i < TIMERS; i++) {
        struct timer_case *one = &state->timers[i];

        one->state = state;
        one->timer.on_due = timer_due;
        pgw_timer_start(state->loop, &one->timer,
                        (uint64_t)g_rand_int_range(random, 0, 50000));
    }
    for (unsigned i = 0; i < TIMERS; i += 3) {
        pgw_timer_stop(state->loop, &state->timers[i].timer);
        pgw_timer_stop(state->loop, &state->timers[i].timer);
    }
    for (unsigned i = 1; i < TIMERS; i += 3) {
        pgw_timer_start(state->loop, &state->timers[i].timer,
                        (uint64_t)g_rand_int_range(random, 0, 50000));
    }
    state->wanted = TIMERS - (TIMERS + 2) / 3;
    pgw_loop_run(state->loop);
    g_assert_cmpuint(state->fired, ==, state->wanted);
    g_rand_free(random);
    pgw_loop_free(state->loop);
    g_free(state);
}

struct post_task {
    struct pgw_task task;
    struct post_state *state;
    unsigned thread;
    unsigned number;
};

struct post_state {
    struct pgw_loop *loop;
    unsigned next[THREADS];
    unsigned ran;
};

struct poster {
    struct post_state *state;
    unsigned number;
};

static void
task_run(struct pgw_task *task)
{
    struct post_task *self = pgw_container_of(task, struct post_task, task);
    struct post_state *state = self->state;

    g_assert_cmpuint(self->number, ==, state->next[self->thread]++);
    if (++state->ran == THREADS * TASKS) {
        pgw_loop_stop(state->loop);
    }
    g_free(self);
}

static void *
post_all(void *data)
{
    const struct poster *poster = data;

    for (unsigned i = 0; i < TASKS; i++) {
        struct post_task *one = g_new0(struct post_task, 1);

        one->task.run = task_run;
        one->state = poster->state;
        one->thread = poster->number;
        one->number = i;
        pgw_loop_post(poster->state->loop, &one->task);
    }
    return NULL;
}

/* None is lost, none runs twice, and each thread's run in its order. */
static void
test_tasks_of_threads(void)
{
    struct post_state state = {.loop = pgw_loop_new(NULL)};
    struct poster posters[THREADS];
    pthread_t threads[THREADS];

    for (unsigned i = 0; i < THREADS; i++) {
        posters[i] = (struct poster){.state = &state, .number = i};
        pthread_create(&threads[i], NULL, post_all, &posters[i]);
    }
    pgw_loop_run(state.loop);
    for (unsigned i = 0; i < THREADS; i++) {
        pthread_join(threads[i], NULL);
        g_assert_cmpuint(state.next[i], ==, TASKS);
    }
    pgw_loop_free(state.loop);
}

struct watched {
    struct pgw_loop_fd watch;
    struct pgw_loop *loop;
    struct watched *other;
    unsigned calls;
};

static void
remove_other(struct pgw_loop_fd *watch, uint32_t events)
{
    struct watched *self = pgw_container_of(watch, struct watched, watch);

    (void)events;
    self->calls++;
    /* Both are ready in one batch; the other must not be called any more,
     * its owner may have freed it. */
    pgw_loop_fd_remove(self->loop, &self->other->watch);
    pgw_loop_fd_remove(self->loop, &self->watch);
    pgw_loop_stop(self->loop);
}

static void
test_removal_within_a_batch(void)
{
    struct watched pair[2] = {0};
    struct pgw_loop *loop = pgw_loop_new(NULL);

    for (unsigned i = 0; i < 2; i++) {
        pair[i].loop = loop;
        pair[i].other = &pair[1 - i];
        pair[i].watch.fd = eventfd(1, EFD_CLOEXEC);
        pair[i].watch.on_ready = remove_other;
        g_assert_true(pgw_loop_fd_add(loop, &pair[i].watch, EPOLLIN, NULL));
    }
    pgw_loop_run(loop);
    g_assert_cmpuint(pair[0].calls + pair[1].calls, ==, 1);
    close(pair[0].watch.fd);
    close(pair[1].watch.fd);
    pgw_loop_free(loop);
}

/* One callback holds the loop; what became ready meanwhile is told to be late
 * by no less than it is. */
struct late_case {
    struct pgw_loop *loop;
    struct pgw_timer timer;
    struct pgw_loop_fd watch;
    uint64_t ready_at_us;
    uint64_t held_us;
    bool seen;
};

static void
late_timer_due(struct pgw_timer *timer)
{
    struct late_case *late = pgw_container_of(timer, struct late_case, timer);
    uint64_t one = 1;

    g_assert_cmpint(write(late->watch.fd, &one, sizeof(one)), ==, sizeof(one));
    late->ready_at_us = pgw_now_us();
    while (pgw_now_us() - late->ready_at_us < late->held_us) {
    }
}

static void
late_ready(struct pgw_loop_fd *watch, uint32_t events)
{
    struct late_case *late = pgw_container_of(watch, struct late_case, watch);
    uint64_t true_us = pgw_now_us() - late->ready_at_us;

    (void)events;
    g_assert_cmpuint(pgw_loop_late_us(late->loop), >=, true_us);
    late->seen = true;
    pgw_loop_stop(late->loop);
}

static void
test_late(void)
{
    struct late_case late = {.held_us = 20000};

    late.loop = pgw_loop_new(NULL);
    late.watch.fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    late.watch.on_ready = late_ready;
    late.timer.on_due = late_timer_due;
    g_assert_true(pgw_loop_fd_add(late.loop, &late.watch, EPOLLIN, NULL));
    pgw_timer_start(late.loop, &late.timer, 5000);
    pgw_loop_run(late.loop);
    g_assert_true(late.seen);
    pgw_loop_fd_remove(late.loop, &late.watch);
    close(late.watch.fd);
    pgw_loop_free(late.loop);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/loop/timers", test_timers);
    g_test_add_func("/loop/tasks-of-threads", test_tasks_of_threads);
    g_test_add_func("/loop/removal-within-a-batch",
                    test_removal_within_a_batch);
    g_test_add_func("/loop/late", test_late);
    return g_test_run();
}
