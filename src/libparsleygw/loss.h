#ifndef PGW_LOSS_H
#define PGW_LOSS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Suspects among attempts lost with their sidecar
 *
 * If an engine crash takes its sidecar down too, for example with the machine,
 * no process reports the crash. The entry then marks as suspects the attempts
 * that were opened shortly before the sidecar was last seen. A request that
 * crashes an engine mostly does so soon after its start, and each suspect
 * needs an engine of its own. Links that break together are the fault of the
 * network, a zone or this process and say nothing about the requests. Suspects
 * of a whole rack would load the store with writes and each occupy one of the
 * engines that are left.
 */

/** Limit of &pgw_loss_options.suspects_max. */
#define PGW_LOSS_SUSPECTS_MAX 4

/**
 * struct pgw_loss_options - settings
 * @window_us: links that break within this time of each other count as broken
 *             together; longer than it takes to detect that all sidecars of a
 *             rack are unresponsive
 * @recent_us: a suspect was opened at most this long before the sidecar was
 *             last seen
 * @slack_us: or at most this long after it; later attempts were sent to a dead
 *            machine
 * @suspects_max: maximum number of suspects of one broken link
 */
struct pgw_loss_options {
    uint64_t window_us;
    uint64_t recent_us;
    uint64_t slack_us;
    uint32_t suspects_max;
};

#define PGW_LOSS_OPTIONS_INIT                                                 \
    {                                                                         \
        .window_us = 3000000, .recent_us = 5000000, .slack_us = 1000000,      \
        .suspects_max = PGW_LOSS_SUSPECTS_MAX                                 \
    }

/**
 * struct pgw_loss - state of one entry
 * @options: settings
 * @last_break_us: when the last link broke
 * @has_break: a link has broken before
 */
struct pgw_loss {
    struct pgw_loss_options options;
    uint64_t last_break_us;
    bool has_break;
};

/** pgw_loss_init() - initialize the state without a broken link */
void pgw_loss_init(struct pgw_loss *out,
                   const struct pgw_loss_options *options);

/**
 * pgw_loss_record_break() - record that a link broke
 * @out: receives how many of its candidates, newest first, become suspects
 * @loss: state of the entry
 * @candidate_count: number of candidates that were open on the link
 * @now_us: current time in microseconds
 *
 * Return: true if no other link broke within the window before. If false, the
 * preceding break was not isolated either, and the caller should clear the
 * suspects of it.
 */
bool pgw_loss_record_break(uint32_t *out, struct pgw_loss *loss,
                           uint32_t candidate_count, uint64_t now_us);

/**
 * pgw_loss_is_candidate() - whether an attempt may have crashed its machine
 * @loss: state of the entry
 * @opened_us: when the attempt was opened
 * @last_seen_us: when its sidecar was last seen
 */
bool pgw_loss_is_candidate(const struct pgw_loss *loss, uint64_t opened_us,
                           uint64_t last_seen_us);

G_END_DECLS

#endif
