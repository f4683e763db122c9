#include "gateway/lease.h"
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
ask(struct pgw_lease *lease, enum pgw_lease_step step, uint64_t now_us)
{
    lease->asking = true;
    if (step != PGW_LEASE_READ) {
        lease->asked_us = now_us;
        lease->writes++;
    }
    return step;
}

enum pgw_lease_step
pgw_lease_step(struct pgw_lease *lease, uint64_t now_us)
{
    if (lease->asking || !lease->wanted || now_us < lease->next_us) {
        return PGW_LEASE_IDLE;
    }
    if (!lease->known) {
        return ask(lease, PGW_LEASE_READ, now_us);
    }
    if (!lease->exists) {
        return ask(lease, PGW_LEASE_CREATE, now_us);
    }
    /*
     * Failure: a holder is paused, or its writes are lost. Symptom: two give
     * orders in turn. The holder's right ends a term after it asked, which is
     * before its write was seen here; waiting a pause longer keeps them apart.
     */
#ifndef PGW_DISABLE_LEASE_PAUSE
    if (!lease->mine && now_us < lease->seen_us + lease->options.term_us +
                                     lease->options.pause_us) {
        return ask(lease, PGW_LEASE_READ, now_us);
    }
#endif
    return ask(lease, PGW_LEASE_REPLACE, now_us);
}

void
pgw_lease_finish_read(struct pgw_lease *lease, enum pgw_lease_result result,
                      bool mine, uint64_t writes, uint64_t revision,
                      uint64_t now_us)
{
    lease->asking = false;
    if (result == PGW_LEASE_FAILED) {
        lease->next_us = now_us + lease->options.retry_us;
        return;
    }
    lease->known = true;
    lease->exists = result == PGW_LEASE_DONE;
    if (!lease->exists) {
        lease->mine = false;
        return;
    }
    if (revision != lease->revision) {
        lease->revision = revision;
        lease->seen_us = now_us;
    }
    /* The answer to the last write was lost, but it was done. */
    if (mine && lease->writes > 0 && writes == lease->writes) {
        lease->until_us = lease->asked_us + lease->options.term_us;
    }
    lease->mine = mine;
    lease->next_us = mine ? now_us : now_us + lease->options.poll_us;
}

void
pgw_lease_finish_write(struct pgw_lease *lease, enum pgw_lease_result result,
                       uint64_t revision, uint64_t now_us)
{
    lease->asking = false;
    if (result != PGW_LEASE_DONE) {
        /* It may have been done, or another one was first: read. */
        lease->known = false;
        lease->next_us = result == PGW_LEASE_FAILED
                             ? now_us + lease->options.retry_us
                             : now_us;
        return;
    }
    lease->exists = true;
    lease->mine = true;
    lease->revision = revision;
    lease->seen_us = now_us;
    lease->until_us = lease->asked_us + lease->options.term_us;
    lease->next_us = now_us + lease->options.renew_us;
}

bool
pgw_lease_holds(const struct pgw_lease *lease, uint64_t now_us)
{
    return lease->mine && now_us < lease->until_us;
}
