#ifndef PGW_LOSS_H
#define PGW_LOSS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Attempts lost with their sidecar
 *
 * When an engine takes its sidecar along (the machine goes), nobody reports
 * the crash. The entry then takes for suspects the attempts that were opened
 * shortly before the sidecar was last heard: what crashes an engine mostly
 * does so soon after it began, and each suspect costs an engine for itself. A
 * break that comes with others is the network's, a zone's or this process's
 * own: it says nothing about requests, and suspects of a whole rack would
 * take the store's writes and run alone on engines that are short already.
 */

/** Most attempts marked for one lost link, whatever the options say. */
#define PGW_LOSS_SUSPECTS_MAX 4

/**
 * struct pgw_loss_options - settings
 * @window_us: links that break within this time of one another belong
 *             together; longer than it takes to find all of a rack silent
 * @recent_us: how long before the last word of the sidecar an attempt that
 *             became suspect may have been opened
 * @slack_us: how long after it; what was opened later met a dead machine
 * @suspects_max: most attempts of one link that become suspect
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
 * struct pgw_loss - what one entry remembers of broken links
 * @options: settings
 * @last_us: when the last one broke
 * @any: one broke before
 */
struct pgw_loss {
    struct pgw_loss_options options;
    uint64_t last_us;
    bool any;
};

/** pgw_loss_init() - nothing broke yet */
void pgw_loss_init(struct pgw_loss *out,
                   const struct pgw_loss_options *options);

/**
 * pgw_loss_record_break() - a link broke
 * @out: receives how many of its attempts, newest first, become suspect
 * @loss: the entry's memory
 * @lost: candidates that were open there
 * @now_us: the time, microseconds
 *
 * Return: whether it broke alone so far; false: the marks that were made for
 * the break before it should be taken back, it was no lone one, either.
 */
bool pgw_loss_record_break(uint32_t *out, struct pgw_loss *loss, uint32_t lost,
                           uint64_t now_us);

/**
 * pgw_loss_is_candidate() - whether an attempt may have taken its machine
 * along
 * @loss: the entry's memory
 * @opened_us: when it was opened
 * @heard_us: when its sidecar was last heard
 */
bool pgw_loss_is_candidate(const struct pgw_loss *loss, uint64_t opened_us,
                           uint64_t heard_us);

G_END_DECLS

#endif
