#include "gateway/sidecar/lease.h"
#include <string.h>

void
pgw_lease_init(struct pgw_lease *lease,
               const struct pgw_lease_options *options)
{
    memset(lease, 0, sizeof(*lease));
    lease->options = *options;
}

void
pgw_lease_set_wanted(struct pgw_lease *lease, bool wanted)
{
    lease->wanted = wanted;
}

static enum pgw_lease_step
begin_call(struct pgw_lease *lease, enum pgw_lease_step step, uint64_t now_us)
{
    lease->call_in_flight = true;
    if (step != PGW_LEASE_READ) {
        lease->write_sent_us = now_us;
        lease->write_count++;
    }
    return step;
}

enum pgw_lease_step
pgw_lease_step(struct pgw_lease *lease, uint64_t now_us)
{
    if (lease->call_in_flight || !lease->wanted ||
        now_us < lease->next_call_us) {
        return PGW_LEASE_IDLE;
    }
    if (!lease->state_known) {
        return begin_call(lease, PGW_LEASE_READ, now_us);
    }
    if (!lease->exists) {
        return begin_call(lease, PGW_LEASE_CREATE, now_us);
    }
    /*
     * Failure: a holder is paused, or its writes are lost. Symptom: two
     * processes give orders in turn. The holder's term begins when it sends a
     * write, which is before this process can see that write. So the holder
     * stops at least the pause before this process takes over.
     */
#ifndef PGW_DISABLE_LEASE_PAUSE
    if (!lease->names_self && now_us < lease->revision_seen_us +
                                           lease->options.term_us +
                                           lease->options.pause_us) {
        return begin_call(lease, PGW_LEASE_READ, now_us);
    }
#endif
    return begin_call(lease, PGW_LEASE_REPLACE, now_us);
}

void
pgw_lease_finish_read(struct pgw_lease *lease, enum pgw_lease_result result,
                      bool names_self, uint64_t write_number,
                      uint64_t revision, uint64_t now_us)
{
    lease->call_in_flight = false;
    if (result == PGW_LEASE_FAILED) {
        lease->next_call_us = now_us + lease->options.retry_us;
        return;
    }
    lease->state_known = true;
    lease->exists = result == PGW_LEASE_DONE;
    if (!lease->exists) {
        lease->names_self = false;
        return;
    }
    if (revision != lease->revision) {
        lease->revision = revision;
        lease->revision_seen_us = now_us;
    }
    /* The last write took effect, although its answer was lost. */
    if (names_self && lease->write_count > 0 &&
        write_number == lease->write_count) {
        lease->valid_until_us = lease->write_sent_us + lease->options.term_us;
    }
    lease->names_self = names_self;
    lease->next_call_us =
        names_self ? now_us : now_us + lease->options.poll_us;
}

void
pgw_lease_finish_write(struct pgw_lease *lease, enum pgw_lease_result result,
                       uint64_t revision, uint64_t now_us)
{
    lease->call_in_flight = false;
    if (result != PGW_LEASE_DONE) {
        /* The write may have taken effect, or another process wrote first. The
         * next step is a read. */
        lease->state_known = false;
        lease->next_call_us = result == PGW_LEASE_FAILED
                                  ? now_us + lease->options.retry_us
                                  : now_us;
        return;
    }
    lease->exists = true;
    lease->names_self = true;
    lease->revision = revision;
    lease->revision_seen_us = now_us;
    lease->valid_until_us = lease->write_sent_us + lease->options.term_us;
    lease->next_call_us = now_us + lease->options.renew_us;
}

bool
pgw_lease_holds(const struct pgw_lease *lease, uint64_t now_us)
{
    return lease->names_self && now_us < lease->valid_until_us;
}
