#include "util/loop.h"
#include "parsleygw/errors.h"
#include "util/metric.h"
#include <errno.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define LOOP_EVENTS 128
/* A wait that lasted so long began with nothing to serve. */
#define SLEPT_US 1000

static struct pgw_metric_histogram turn = {
    .name = "pgw_loop_turn_seconds",
    .help = "Time in which an event loop served what was ready and heard "
            "nothing else",
};

struct pgw_loop {
    int epoll_fd;
    struct pgw_loop_fd wake;
    _Atomic(struct pgw_task *) tasks; /* newest first */
    atomic_bool stop;
    struct pgw_timer **heap;
    size_t heap_size;
    size_t heap_capacity;
    uint64_t unheard_since_us;
    struct epoll_event ready[LOOP_EVENTS];
    int ready_count;
    int ready_index;
};

uint64_t
pgw_now_us(void)
{
    return (uint64_t)g_get_monotonic_time();
}

uint64_t
pgw_boot_now_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_BOOTTIME, &now);
    return (uint64_t)now.tv_sec * G_USEC_PER_SEC +
           (uint64_t)now.tv_nsec / 1000;
}

static void
loop_wake(struct pgw_loop *loop)
{
    uint64_t one = 1;

    /* EAGAIN means that the counter is full: the loop will wake anyway. */
    if (write(loop->wake.fd, &one, sizeof(one)) < 0 && errno != EAGAIN) {
        g_error("event=loop_wake_failed errno=%d", errno);
    }
}

static void
wake_ready(struct pgw_loop_fd *self, uint32_t events)
{
    uint64_t count;

    (void)events;
    while (read(self->fd, &count, sizeof(count)) > 0) {
    }
}

struct pgw_loop *
pgw_loop_new(GError **error)
{
    struct pgw_loop *loop = g_new0(struct pgw_loop, 1);

    loop->wake.on_ready = wake_ready;
    loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    loop->wake.fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    if (loop->epoll_fd < 0 || loop->wake.fd < 0) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_IO,
                    "no descriptor for an event loop (%s): raise the limit "
                    "of open files",
                    g_strerror(errno));
        goto fail;
    }
    if (!pgw_loop_fd_add(loop, &loop->wake, EPOLLIN, error)) {
        goto fail;
    }
    return loop;
fail:
    pgw_loop_free(loop);
    return NULL;
}

void
pgw_loop_free(struct pgw_loop *loop)
{
    if (loop == NULL) {
        return;
    }
    if (loop->epoll_fd >= 0) {
        close(loop->epoll_fd);
    }
    if (loop->wake.fd >= 0) {
        close(loop->wake.fd);
    }
    g_free(loop->heap);
    g_free(loop);
}

void
pgw_loop_stop(struct pgw_loop *loop)
{
    atomic_store(&loop->stop, true);
    loop_wake(loop);
}

void
pgw_loop_post(struct pgw_loop *loop, struct pgw_task *task)
{
    struct pgw_task *head = atomic_load(&loop->tasks);

    do {
        task->next = head;
    } while (!atomic_compare_exchange_weak(&loop->tasks, &head, task));
    if (head == NULL) {
        loop_wake(loop);
    }
}

void
pgw_loop_run_tasks(struct pgw_loop *loop)
{
    struct pgw_task *task = atomic_exchange(&loop->tasks, NULL);
    struct pgw_task *oldest = NULL;

    /* The queue is a stack; turn it round so that tasks run as posted. */
    while (task != NULL) {
        struct pgw_task *next = task->next;

        task->next = oldest;
        oldest = task;
        task = next;
    }
    while (oldest != NULL) {
        struct pgw_task *next = oldest->next;

        oldest->run(oldest);
        oldest = next;
    }
}

bool
pgw_loop_fd_add(struct pgw_loop *loop, struct pgw_loop_fd *watch,
                uint32_t events, GError **error)
{
    struct epoll_event event = {.events = events, .data.ptr = watch};

    if (epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, watch->fd, &event) != 0) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_IO,
                    "cannot watch descriptor %d (%s): raise the limit of "
                    "open files",
                    watch->fd, g_strerror(errno));
        return false;
    }
    return true;
}

void
pgw_loop_fd_modify(struct pgw_loop *loop, struct pgw_loop_fd *watch,
                   uint32_t events)
{
    struct epoll_event event = {.events = events, .data.ptr = watch};

    epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, watch->fd, &event);
}

void
pgw_loop_fd_remove(struct pgw_loop *loop, struct pgw_loop_fd *watch)
{
    epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
    /*
     * The batch being served may hold an event for this descriptor although
     * its owner is freed by now; forgetting it here is enough because the
     * kernel reports nothing more after the deletion.
     */
    for (int i = loop->ready_index; i < loop->ready_count; i++) {
        if (loop->ready[i].data.ptr == watch) {
            loop->ready[i].data.ptr = NULL;
        }
    }
}

static void
heap_put(struct pgw_loop *loop, size_t index, struct pgw_timer *timer)
{
    loop->heap[index] = timer;
    timer->position = index + 1;
}

static void
heap_up(struct pgw_loop *loop, size_t index)
{
    struct pgw_timer *timer = loop->heap[index];

    while (index > 0) {
        size_t parent = (index - 1) / 2;

        if (loop->heap[parent]->due_us <= timer->due_us) {
            break;
        }
        heap_put(loop, index, loop->heap[parent]);
        index = parent;
    }
    heap_put(loop, index, timer);
}

static void
heap_down(struct pgw_loop *loop, size_t index)
{
    struct pgw_timer *timer = loop->heap[index];

    for (;;) {
        size_t child = 2 * index + 1;

        if (child >= loop->heap_size) {
            break;
        }
        if (child + 1 < loop->heap_size &&
            loop->heap[child + 1]->due_us < loop->heap[child]->due_us) {
            child++;
        }
        if (loop->heap[child]->due_us >= timer->due_us) {
            break;
        }
        heap_put(loop, index, loop->heap[child]);
        index = child;
    }
    heap_put(loop, index, timer);
}

void
pgw_timer_start(struct pgw_loop *loop, struct pgw_timer *timer,
                uint64_t delay_us)
{
    pgw_timer_stop(loop, timer);
    if (loop->heap_size == loop->heap_capacity) {
        loop->heap_capacity = MAX(64, loop->heap_capacity * 2);
        loop->heap =
            g_renew(struct pgw_timer *, loop->heap, loop->heap_capacity);
    }
    timer->due_us = pgw_now_us() + delay_us;
    loop->heap[loop->heap_size] = timer;
    heap_up(loop, loop->heap_size++);
}

void
pgw_timer_stop(struct pgw_loop *loop, struct pgw_timer *timer)
{
    size_t index = timer->position;
    struct pgw_timer *last;

    if (index == 0) {
        return;
    }
    index--;
    timer->position = 0;
    last = loop->heap[--loop->heap_size];
    if (last == timer) {
        return;
    }
    heap_put(loop, index, last);
    heap_up(loop, index);
    heap_down(loop, last->position - 1);
}

static int
loop_timeout_ms(const struct pgw_loop *loop)
{
    uint64_t now;
    uint64_t due;

    if (atomic_load(&loop->tasks) != NULL) {
        return 0;
    }
    if (loop->heap_size == 0) {
        return -1;
    }
    now = pgw_now_us();
    due = loop->heap[0]->due_us;
    /* Rounding up avoids spinning through the last millisecond. */
    return due <= now ? 0 : (int)MIN((due - now + 999) / 1000, 60000);
}

static void
loop_run_timers(struct pgw_loop *loop)
{
    uint64_t now = pgw_now_us();

    while (loop->heap_size > 0 && loop->heap[0]->due_us <= now) {
        struct pgw_timer *timer = loop->heap[0];

        pgw_timer_stop(loop, timer);
        timer->on_due(timer);
    }
}

uint64_t
pgw_loop_late_us(const struct pgw_loop *loop)
{
    return pgw_now_us() - loop->unheard_since_us;
}

void
pgw_loop_run(struct pgw_loop *loop)
{
    uint64_t began_us = pgw_now_us();
    uint64_t ended_us = began_us;
    int served = 0;

    loop->unheard_since_us = began_us;
    pgw_metric_register_histogram(&turn);
    while (!atomic_load(&loop->stop)) {
        uint64_t before_us = began_us;
        bool all_heard = served < LOOP_EVENTS;

        loop->ready_count = epoll_wait(loop->epoll_fd, loop->ready,
                                       LOOP_EVENTS, loop_timeout_ms(loop));
        began_us = pgw_now_us();
        if (began_us - ended_us >= SLEPT_US) {
            loop->unheard_since_us = began_us;
        }
        else if (all_heard) {
            loop->unheard_since_us = before_us;
        }
        for (int i = 0; i < loop->ready_count; i++) {
            struct pgw_loop_fd *watch = loop->ready[i].data.ptr;

            loop->ready_index = i + 1;
            if (watch != NULL) {
                watch->on_ready(watch, loop->ready[i].events);
            }
        }
        served = loop->ready_count;
        loop->ready_count = 0;
        loop->ready_index = 0;
        loop_run_timers(loop);
        pgw_loop_run_tasks(loop);
        ended_us = pgw_now_us();
        pgw_metric_histogram_record_us(&turn, ended_us - began_us);
    }
    atomic_store(&loop->stop, false);
}
