#ifndef PGW_GATEWAY_COVER_RUN_COPY_H
#define PGW_GATEWAY_COVER_RUN_COPY_H

/**
 * DOC: What may be done with the copy of a run
 *
 * Answers the load of engines that end in the middle of runs which must not
 * run twice. A copy is used once, by the engine that holds it, and only after
 * the attempt before it has ended. From then on the run never begins again.
 */

/**
 * enum pgw_copy_state - the copy of one run
 * @PGW_COPY_NONE: there is none
 * @PGW_COPY_GROWING: an attempt is running, and its KV cache is copied
 * @PGW_COPY_DUE: that attempt was lost; the run is to go on from the copy
 * @PGW_COPY_USED: an attempt goes on from the copy
 * @PGW_COPY_OVER: that attempt ended too, or never came about
 */
enum pgw_copy_state {
    PGW_COPY_NONE,
    PGW_COPY_GROWING,
    PGW_COPY_DUE,
    PGW_COPY_USED,
    PGW_COPY_OVER,
};

/**
 * enum pgw_copy_event - what happens to the run
 * @PGW_COPY_SENT_COVERED: an attempt was sent that asks for a copy
 * @PGW_COPY_SENT_BARE: an attempt was sent that doesn't
 * @PGW_COPY_NOT_RUN: the current attempt did not run
 * @PGW_COPY_LOST: the current attempt's connection has ended, and the attempt
 *   may have run
 * @PGW_COPY_CONTINUED: an attempt was sent that goes on from the copy
 * @PGW_COPY_UNFIT: the holder cannot be used
 */
enum pgw_copy_event {
    PGW_COPY_SENT_COVERED,
    PGW_COPY_SENT_BARE,
    PGW_COPY_NOT_RUN,
    PGW_COPY_LOST,
    PGW_COPY_CONTINUED,
    PGW_COPY_UNFIT,
};

/**
 * enum pgw_copy_action - what follows
 * @PGW_COPY_PROCEED: as for a run without a copy
 * @PGW_COPY_GO_ON: the run goes on from the copy
 * @PGW_COPY_FAIL: the caller learns that the outcome is unknown; the run
 *   begins nowhere again
 */
enum pgw_copy_action {
    PGW_COPY_PROCEED,
    PGW_COPY_GO_ON,
    PGW_COPY_FAIL,
};

/** pgw_copy_step() - apply an event to a copy's state */
enum pgw_copy_action pgw_copy_step(enum pgw_copy_state *state,
                                   enum pgw_copy_event event);

#endif
