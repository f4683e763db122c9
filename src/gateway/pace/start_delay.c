#include "gateway/pace/start_delay.h"
#include <math.h>

/* Weight of a new sample. An entry sees some of them a second from an engine
 * that is one of many, and the queue may grow within a second. */
#define SAMPLE_WEIGHT 0.5
/* Time after which an engine without new samples is tried again. */
#define FADE_US 1200000.0

void
pgw_start_delay_init(struct pgw_start_delay *delay)
{
    *delay = (struct pgw_start_delay){0};
    pgw_list_init(&delay->waiting);
}

void
pgw_start_delay_begin(struct pgw_start_delay *delay,
                      struct pgw_start_wait *wait, uint64_t now_us)
{
    wait->sent_us = now_us;
    pgw_list_append(&delay->waiting, &wait->link);
}

static double
faded_average_us(const struct pgw_start_delay *delay, uint64_t now_us)
{
    if (delay->average_at_us == 0 || now_us <= delay->average_at_us) {
        return delay->average_us;
    }
    return delay->average_us *
           exp(-(double)(now_us - delay->average_at_us) / FADE_US);
}

void
pgw_start_delay_end(struct pgw_start_delay *delay, struct pgw_start_wait *wait,
                    bool began, uint64_t now_us)
{
    double average_us;

    if (!pgw_list_is_linked(&wait->link)) {
        return;
    }
    pgw_list_remove(&wait->link);
    if (!began) {
        return;
    }
    average_us = faded_average_us(delay, now_us);
    delay->average_us =
        average_us +
        SAMPLE_WEIGHT * ((double)(now_us - wait->sent_us) - average_us);
    delay->average_at_us = now_us;
}

uint64_t
pgw_start_delay_estimate_us(const struct pgw_start_delay *delay,
                            uint64_t now_us)
{
    uint64_t estimate_us = (uint64_t)faded_average_us(delay, now_us);

    if (!pgw_list_is_empty(&delay->waiting)) {
        const struct pgw_start_wait *oldest =
            pgw_container_of(delay->waiting.next, struct pgw_start_wait, link);

        if (now_us > oldest->sent_us &&
            now_us - oldest->sent_us > estimate_us) {
            estimate_us = now_us - oldest->sent_us;
        }
    }
    return estimate_us;
}
