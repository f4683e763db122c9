#ifndef PGW_OBJECT_BATCH_H
#define PGW_OBJECT_BATCH_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "libparsleygw/link.h"

G_BEGIN_DECLS

/**
 * struct pgw_object_batch - objects gathered for one or more frames to one
 * link
 * @link: the link
 * @objects: those not sent yet
 * @bytes: size of their values
 */
struct pgw_object_batch {
    struct pgw_link *link;
    GPtrArray *objects;
    size_t bytes;
};

void pgw_object_batch_init(struct pgw_object_batch *batch,
                           struct pgw_link *link);

/**
 * pgw_object_batch_add() - a &pgw_config_object_func
 * @kind: kind of the object
 * @name: its name
 * @version: its version
 * @value: JSON text, NULL: deleted
 * @data: the batch
 *
 * The texts must stay until pgw_object_batch_dispose().
 */
void pgw_object_batch_add(const char *kind, const char *name, uint64_t version,
                          const char *value, void *data);

/** pgw_object_batch_dispose() - send the rest */
void pgw_object_batch_dispose(struct pgw_object_batch *batch);

G_END_DECLS

#endif
