#include "sync_lib.h"

#include <time.h>

void
standin_cond_init(pthread_cond_t *cond)
{
    pthread_condattr_t attributes;

    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(cond, &attributes);
    pthread_condattr_destroy(&attributes);
}

void
standin_cond_wait_until(pthread_cond_t *cond, pthread_mutex_t *lock,
                        uint64_t deadline)
{
    struct timespec until = {
        .tv_sec = (time_t)(deadline / 1000000),
        .tv_nsec = (long)(deadline % 1000000) * 1000,
    };

    pthread_cond_timedwait(cond, lock, &until);
}
