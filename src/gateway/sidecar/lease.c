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

/*
 * Failure: the store is restored from a backup and has lost the lease, or
 * names an earlier holder. Symptom: a process takes the lease while the last
 * holder still acts, since its term is not over.
 */
static uint64_t
unknown_holder_until_us(const struct pgw_lease *lease)
{
    return lease->restored_us == 0
               ? 0
               : lease->restored_us + lease->options.term_us +
                     lease->options.pause_us;
}

/* Whether the object shows that no other process has held the lease since this
 * one. In a restored store a late write of this process may have replaced the
 * state of another holder. */
static bool
was_last_holder(const struct pgw_lease *lease)
{
    return lease->names_self &&
           (lease->restored_us == 0 || lease->revision == lease->own_revision);
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
#ifndef PGW_DISABLE_LEASE_RESTORE
    if (!pgw_lease_holds(lease, now_us) &&
        now_us < unknown_holder_until_us(lease)) {
        lease->next_call_us = unknown_holder_until_us(lease);
        lease->state_known = false;
        return PGW_LEASE_IDLE;
    }
#endif
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
    if (!was_last_holder(lease) && now_us < lease->revision_seen_us +
                                                lease->options.term_us +
                                                lease->options.pause_us) {
        return begin_call(lease, PGW_LEASE_READ, now_us);
    }
#endif
    return begin_call(lease, PGW_LEASE_REPLACE, now_us);
}

/* Whether the object shows that the last write took effect, although its
 * answer was lost. After a restore that proves nothing to a process that did
 * not hold the lease when it wrote. */
static bool
has_written(const struct pgw_lease *lease,
            const struct pgw_lease_answer *answer)
{
    return answer->names_self && lease->write_count > 0 &&
           answer->write_number == lease->write_count &&
           (lease->write_sent_us >= unknown_holder_until_us(lease) ||
            lease->write_sent_us < lease->valid_until_us);
}

void
pgw_lease_finish_read(struct pgw_lease *lease,
                      const struct pgw_lease_answer *answer, uint64_t now_us)
{
    lease->call_in_flight = false;
    lease->restored_us = MAX(lease->restored_us, answer->restored_us);
    if (answer->result == PGW_LEASE_FAILED) {
        lease->next_call_us = now_us + lease->options.retry_us;
        return;
    }
    lease->state_known = true;
    lease->exists = answer->result == PGW_LEASE_DONE;
    if (!lease->exists) {
        lease->names_self = false;
        return;
    }
    if (answer->revision != lease->revision) {
        lease->revision = answer->revision;
        lease->revision_seen_us = now_us;
    }
    if (has_written(lease, answer)) {
        lease->valid_until_us = lease->write_sent_us + lease->options.term_us;
        lease->own_revision = answer->revision;
    }
    lease->names_self = answer->names_self;
    lease->next_call_us =
        was_last_holder(lease) ? now_us : now_us + lease->options.poll_us;
}

void
pgw_lease_finish_write(struct pgw_lease *lease,
                       const struct pgw_lease_answer *answer, uint64_t now_us)
{
    lease->call_in_flight = false;
    lease->restored_us = MAX(lease->restored_us, answer->restored_us);
    if (answer->result != PGW_LEASE_DONE) {
        /* The write may have taken effect, or another process wrote first. The
         * next step is a read. */
        lease->state_known = false;
        lease->next_call_us = answer->result == PGW_LEASE_FAILED
                                  ? now_us + lease->options.retry_us
                                  : now_us;
        return;
    }
    lease->exists = true;
    lease->names_self = true;
    lease->revision = answer->revision;
    lease->own_revision = answer->revision;
    lease->revision_seen_us = now_us;
    lease->valid_until_us = lease->write_sent_us + lease->options.term_us;
    lease->next_call_us = now_us + lease->options.renew_us;
}

bool
pgw_lease_holds(const struct pgw_lease *lease, uint64_t now_us)
{
    return lease->names_self && now_us < lease->valid_until_us;
}
