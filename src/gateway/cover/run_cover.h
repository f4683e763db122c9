#ifndef PGW_GATEWAY_COVER_RUN_COVER_H
#define PGW_GATEWAY_COVER_RUN_COVER_H

#include "gateway/cover/engine_losses.h"
#include "gateway/cover/run_copy.h"
#include "gateway/upstream/upstream_table.h"

/**
 * DOC: Runs that go on from a copy when their engine ends
 *
 * Applies the decisions of cover_policy.h and run_copy.h to a request of the
 * gateway. Only the request knows of its copy: nothing is stored, and the
 * copy ends by itself at its holder.
 */

struct pgw_choice;
struct pgw_exchange;
struct pgw_forward;
struct pgw_gateway;

/**
 * struct pgw_run_cover - the copy of one request's run; zeroed: none
 * @state: what may be done with it
 * @holder: the engine that holds it, with a reference; NULL: none
 * @since_us: when the copied attempt was sent
 * @weights: version of the weights that run it
 * @software: version of the software that runs it, interned
 * @end_is_logged: it was logged that the run ends with its engine
 */
struct pgw_run_cover {
    enum pgw_copy_state state;
    struct pgw_upstream *holder;
    uint64_t since_us;
    uint64_t weights;
    const char *software;
    bool end_is_logged;
};

/** pgw_run_cover_is_used() - the run goes on from its copy, or was to: it may
 * not begin again */
static inline bool
pgw_run_cover_is_used(const struct pgw_run_cover *cover)
{
    return cover->state >= PGW_COPY_DUE;
}

/** pgw_run_cover_add_loss() - record that an engine has ended, or that its
 * machine does not respond */
void pgw_run_cover_add_loss(struct pgw_gateway *gateway,
                            const struct pgw_upstream *upstream);

/**
 * pgw_run_cover_fill() - fill in what an attempt has to do with a copy
 * @forward: the request to the upstream, with its weights
 * @exchange: the request
 * @choice: the upstream
 */
void pgw_run_cover_fill(struct pgw_forward *forward,
                        struct pgw_exchange *exchange,
                        const struct pgw_choice *choice);

/**
 * pgw_run_cover_go_on() - decide that a run goes on from its copy
 * @exchange: a request whose attempt is lost; its caller waits
 *
 * Return: true if the run goes on with pgw_exchange_dispatch(); a retry was
 * taken from the budget. The caller of this function closes the connection to
 * the lost engine before.
 */
bool pgw_run_cover_go_on(struct pgw_exchange *exchange);

/**
 * pgw_run_cover_dispatch() - send a run that goes on to the copy's holder
 * @exchange: a request that is about to be dispatched
 *
 * Return: true if it was sent, or refused and freed, since the holder cannot
 * be used any more; false if the request has no copy to go on from.
 */
bool pgw_run_cover_dispatch(struct pgw_exchange *exchange);

/** pgw_run_cover_handle_not_run() - the current attempt did not run; @arrived:
 * its upstream refused it */
void pgw_run_cover_handle_not_run(struct pgw_exchange *exchange, bool arrived);

/** pgw_run_cover_dispose() - release the holder */
void pgw_run_cover_dispose(struct pgw_run_cover *cover);

/** pgw_run_cover_register_metrics() - register the metrics */
void pgw_run_cover_register_metrics(void);

#endif
