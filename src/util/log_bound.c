#include "util/log_bound.h"

bool
pgw_log_bound_take(struct pgw_log_bound *bound, bool routine, gint64 now_us,
                   unsigned *dropped)
{
    gint64 second = now_us / G_USEC_PER_SEC;
    unsigned routine_limit =
        (unsigned)(bound->lines_per_s * PGW_LOG_ROUTINE_SHARE);
    bool room;

    *dropped = 0;
    if (second != bound->second) {
        *dropped = bound->dropped;
        bound->second = second;
        /* The line that tells of them counts as well. */
        bound->written = bound->dropped > 0;
        bound->routine = 0;
        bound->dropped = 0;
    }
    if (bound->lines_per_s == 0) {
        return true;
    }
    room = bound->written < bound->lines_per_s &&
           (!routine || bound->routine < routine_limit);
    bound->written += room;
    bound->routine += room && routine;
    bound->dropped += !room;
    return room;
}

void
pgw_log_bound_lost(struct pgw_log_bound *bound)
{
    bound->dropped++;
}
