#ifndef PGW_UTIL_LOOP_H
#define PGW_UTIL_LOOP_H

#include "util/list.h"
#include <glib.h>
#include <stdint.h>

/**
 * DOC: Event loop
 *
 * One thread waits on file descriptors (epoll), timers and tasks that other
 * threads post. All callbacks run on the thread inside pgw_loop_run(); only
 * pgw_loop_post() and pgw_loop_stop() may be called from other threads.
 */

struct pgw_loop;

/**
 * struct pgw_loop_fd - a watched file descriptor, embedded in its owner
 * @fd: the descriptor; the owner closes it after pgw_loop_fd_remove()
 * @on_ready: called with the EPOLL* events that are ready
 */
struct pgw_loop_fd {
    int fd;
    void (*on_ready)(struct pgw_loop_fd *self, uint32_t events);
};

/**
 * struct pgw_timer - a one-shot timer, embedded in its owner
 * @due_us: monotonic time at which it fires
 * @position: place in the loop's heap plus one; 0 while it is not running
 * @on_due: called once when due; may start the timer again
 */
struct pgw_timer {
    uint64_t due_us;
    size_t position;
    void (*on_due)(struct pgw_timer *self);
};

/**
 * struct pgw_task - work handed to the loop's thread, embedded in its owner
 * @next: link of the loop's queue
 * @run: called once on the loop's thread; may free the task
 */
struct pgw_task {
    struct pgw_task *next;
    void (*run)(struct pgw_task *self);
};

/** pgw_loop_new() - make a loop; %PGW_ERROR_IO when descriptors run out */
struct pgw_loop *pgw_loop_new(GError **error);

/** pgw_loop_free() - free a stopped loop; tasks still queued do not run */
void pgw_loop_free(struct pgw_loop *loop);

/** pgw_loop_run() - serve until pgw_loop_stop(); may be called again */
void pgw_loop_run(struct pgw_loop *loop);

/** pgw_loop_stop() - make pgw_loop_run() return; any thread */
void pgw_loop_stop(struct pgw_loop *loop);

/**
 * pgw_loop_late_us() - how late what is being served may be heard of
 * @loop: a loop whose callback is running
 *
 * Return: the longest time, in microseconds, for which the descriptor that is
 * being served may have been ready.
 */
uint64_t pgw_loop_late_us(const struct pgw_loop *loop);

/** pgw_loop_run_tasks() - run what is queued; the loop must not be running */
void pgw_loop_run_tasks(struct pgw_loop *loop);

/** pgw_loop_post() - queue a task; any thread, wait-free for the caller */
void pgw_loop_post(struct pgw_loop *loop, struct pgw_task *task);

/** pgw_loop_fd_add() - watch @watch for @events (EPOLLIN | EPOLLOUT) */
bool pgw_loop_fd_add(struct pgw_loop *loop, struct pgw_loop_fd *watch,
                     uint32_t events, GError **error);

/** pgw_loop_fd_modify() - change the events of a watched descriptor */
void pgw_loop_fd_modify(struct pgw_loop *loop, struct pgw_loop_fd *watch,
                        uint32_t events);

/** pgw_loop_fd_remove() - stop watching; no callback follows */
void pgw_loop_fd_remove(struct pgw_loop *loop, struct pgw_loop_fd *watch);

/** pgw_timer_start() - fire once after @delay_us; restarts a running timer */
void pgw_timer_start(struct pgw_loop *loop, struct pgw_timer *timer,
                     uint64_t delay_us);

/** pgw_timer_stop() - forget a timer; does nothing when it is not running */
void pgw_timer_stop(struct pgw_loop *loop, struct pgw_timer *timer);

/** pgw_now_us() - monotonic clock in microseconds */
uint64_t pgw_now_us(void);

/** pgw_boot_now_us() - the same, going on while the machine is suspended; for
 * rights that end by others' clocks */
uint64_t pgw_boot_now_us(void);

#endif
