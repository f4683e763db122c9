#include "gateway/http/peer_progress.h"

/* The answer to one probe may be on its way whenever a sample is taken. */
#define UNANSWERED_MIN 2

void
pgw_peer_progress_begin(struct pgw_peer_progress *progress, uint64_t now_us)
{
    *progress = (struct pgw_peer_progress){
        .unacked = SIZE_MAX,
        .progress_at_us = now_us,
        .sampled_at_us = now_us,
    };
}

enum pgw_peer_state
pgw_peer_progress_update(struct pgw_peer_progress *progress,
                         const struct pgw_socket_sample *sample,
                         const struct pgw_peer_bounds *bounds, uint64_t now_us)
{
    bool is_first = progress->unacked == SIZE_MAX;
    /* More may have been sent than was acknowledged since the last sample. */
    bool has_progressed = is_first || sample->acked > progress->acked ||
                          sample->unacked < progress->unacked ||
                          progress->unacked == 0;
    uint64_t before_us = progress->sampled_at_us;

    progress->unacked = sample->unacked;
    progress->acked = sample->acked;
    progress->sampled_at_us = now_us;
    if (has_progressed) {
        progress->progress_at_us = now_us;
    }
    if (sample->unacked == 0) {
        progress->silent_since_us = 0;
        return PGW_PEER_DONE;
    }
    if (sample->unanswered == 0) {
        progress->silent_since_us = 0;
    }
    else if (has_progressed || progress->silent_since_us == 0) {
        progress->silent_since_us = before_us;
    }
    if (progress->silent_since_us > 0 &&
        sample->unanswered >= UNANSWERED_MIN &&
        now_us >= progress->silent_since_us + bounds->silence_us) {
        return PGW_PEER_GONE;
    }
    return bounds->stall_us > 0 &&
                   now_us >= progress->progress_at_us + bounds->stall_us
               ? PGW_PEER_STALLED
               : PGW_PEER_RECEIVES;
}
