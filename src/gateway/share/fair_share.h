#ifndef PGW_GATEWAY_SHARE_FAIR_SHARE_H
#define PGW_GATEWAY_SHARE_FAIR_SHARE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Weighted max-min shares of the workspaces
 *
 * What each workspace asked of a service and got of it in about the last
 * second, as far as this entry saw it, and the level up to which all can be
 * served: a workspace that asks for less than the level times its weight gets
 * all of it, the others get just that. Connections are spread over the entries
 * without regard to their workspaces, so each entry sees about the same mix.
 *
 * Load answered: one workspace at many times its usual.
 */

/* Workspaces that are kept apart; the least active one makes room for a new
 * one. */
#define PGW_FAIR_SHARE_MAX 32
#define PGW_FAIR_SHARE_NAME_SIZE 48

/**
 * enum pgw_fair_share_line - whose promises follow each other
 * @PGW_FAIR_SHARE_IN_TIME: of callers that can still be answered in time; late
 *   ones would take all of their times
 * @PGW_FAIR_SHARE_LATE: of the others
 * @PGW_FAIR_SHARE_LINES: number of lines
 */
enum pgw_fair_share_line {
    PGW_FAIR_SHARE_IN_TIME,
    PGW_FAIR_SHARE_LATE,
    PGW_FAIR_SHARE_LINES,
};

/**
 * struct pgw_fair_share_use - one workspace
 * @workspace: pgw_level_workspace_hash()
 * @name: its name, perhaps cut
 * @weight: its weight
 * @asked: tokens that arrived, forgotten with a time constant of one second
 * @served: tokens that were sent, likewise
 * @promised_until_us: until when its part of the room is promised to callers
 *     that were refused, by &enum pgw_fair_share_line
 * @at_us: time for which the averages hold, 0: the place is free
 */
struct pgw_fair_share_use {
    uint64_t workspace;
    char name[PGW_FAIR_SHARE_NAME_SIZE];
    uint32_t weight;
    double asked;
    double served;
    uint64_t promised_until_us[PGW_FAIR_SHARE_LINES];
    uint64_t at_us;
};

/** struct pgw_fair_share - use of one service; zeroed: none */
struct pgw_fair_share {
    struct pgw_fair_share_use uses[PGW_FAIR_SHARE_MAX];
};

/**
 * pgw_max_min_level() - level of weighted max-min sharing
 * @asked: what each asks for
 * @weights: weight of each, above 0
 * @count: number of these
 * @room: what there is
 *
 * Return: the level; infinite if all that is asked for fits.
 */
double pgw_max_min_level(const double *asked, const double *weights,
                         size_t count, double room);

/** pgw_fair_share_ask() - a request of @tokens has arrived */
void pgw_fair_share_ask(struct pgw_fair_share *share, uint64_t workspace,
                        const char *name, uint32_t weight, double tokens,
                        uint64_t now_us);

/** pgw_fair_share_serve() - a request of @tokens was sent */
void pgw_fair_share_serve(struct pgw_fair_share *share, uint64_t workspace,
                          double tokens, uint64_t now_us);

/**
 * pgw_fair_share_ratio() - what a workspace asks for, in multiples of what the
 * level gives it
 *
 * Return: up to 1 for a workspace that is not above its level; 0 if it asked
 * for nothing, or if all that is asked for fits in @room_per_s.
 */
double pgw_fair_share_ratio(struct pgw_fair_share *share, uint64_t workspace,
                            double room_per_s, uint64_t now_us);

/** pgw_fair_share_next() - from @from_us on, the first time at which a
 * workspace's share of the room is not promised */
uint64_t pgw_fair_share_next(struct pgw_fair_share *share, uint64_t workspace,
                             enum pgw_fair_share_line line, uint64_t from_us,
                             uint64_t now_us);

/**
 * pgw_fair_share_promise() - promise a part of a workspace's share of the room
 * @share: the service's shares
 * @workspace: the workspace
 * @line: after whose promises
 * @tokens: what is promised
 * @room_per_s: tokens per second for all workspaces, above 0
 * @at_us: from when on, see pgw_fair_share_next()
 * @now_us: monotonic time
 */
void pgw_fair_share_promise(struct pgw_fair_share *share, uint64_t workspace,
                            enum pgw_fair_share_line line, double tokens,
                            double room_per_s, uint64_t at_us,
                            uint64_t now_us);

/**
 * pgw_fair_share_top() - the workspace that got most
 * @share: the service's shares
 * @part: receives its part of all that was served, 0 to 1
 * @now_us: monotonic time
 *
 * Return: its name, "-" if nothing was served.
 */
const char *pgw_fair_share_top(struct pgw_fair_share *share, double *part,
                               uint64_t now_us);

G_END_DECLS

#endif
