#ifndef PGW_OBJECT_BATCH_H
#define PGW_OBJECT_BATCH_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "libparsleygw/link.h"

G_BEGIN_DECLS

/**
 * struct pgw_object_batch - collects objects into frames for one link
 * @link: the link
 * @objects: objects not sent yet
 * @bytes: total size of their values
 */
struct pgw_object_batch {
    struct pgw_link *link;
    GPtrArray *objects;
    size_t bytes;
};

void pgw_object_batch_init(struct pgw_object_batch *batch,
                           struct pgw_link *link);

/**
 * pgw_object_batch_add() - add an object; a &pgw_config_object_func
 * @kind: kind of the object
 * @name: its name
 * @version: its version
 * @value: JSON text, NULL: deleted
 * @data: the batch
 *
 * Sends the collected objects first if the frame would become too large. The
 * strings are not copied and must stay valid until pgw_object_batch_dispose().
 */
void pgw_object_batch_add(const char *kind, const char *name, uint64_t version,
                          const char *value, void *data);

/** pgw_object_batch_dispose() - send the remaining objects and free them */
void pgw_object_batch_dispose(struct pgw_object_batch *batch);

G_END_DECLS

#endif
