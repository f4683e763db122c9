#ifndef PGW_SIDECAR_ORDERS_H
#define PGW_SIDECAR_ORDERS_H

#include "sidecar/sidecar.h"

/**
 * DOC: Keeping the engine at what its pool declares
 *
 * Joins the sidecar's loop with the thread that carries out orders
 * (libparsleygw/orders.h): what the configuration asks goes in, and the gate
 * is closed while the engine changes its weights.
 */

/** orders_new() - start; only beside a model engine */
struct orders *orders_new(struct sidecar *sidecar);

/** orders_free() - stop; an order in progress is left to the successor */
void orders_free(struct orders *orders);

/** orders_config_changed() - the configuration may ask for something else */
void orders_config_changed(struct orders *orders);

/** orders_engine_told() - the engine said what it runs */
void orders_engine_told(struct orders *orders);

/** orders_close() - a planned stop: begin no further order */
void orders_close(struct orders *orders);

/**
 * orders_is_closed() - the engine changes its weights: no new work
 * @orders: NULL is never closed
 */
bool orders_is_closed(const struct orders *orders);

/** orders_get_state() - progress for operators; NULL gives none */
void orders_get_state(const struct orders *orders,
                      struct pgw_orders_state *out);

#endif
