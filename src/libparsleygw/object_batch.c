#include "libparsleygw/object_batch.h"

/* Keeps a frame of objects well below PGW_FRAME_MAX_SIZE. */
#define MAX_VALUE_BYTES_PER_FRAME ((size_t)1 << 20)

static void
flush_batch(struct pgw_object_batch *batch)
{
    Pgw__Objects message = PGW__OBJECTS__INIT;

    if (batch->objects->len > 0) {
        message.n_objects = batch->objects->len;
        message.objects = (Pgw__Object **)batch->objects->pdata;
        pgw_link_send(batch->link, PGW_FRAME_OBJECTS, &message.base);
    }
    g_ptr_array_set_size(batch->objects, 0);
    batch->bytes = 0;
}

void
pgw_object_batch_add(const char *kind, const char *name, uint64_t version,
                     const char *value, void *data)
{
    struct pgw_object_batch *batch = data;
    size_t size = value == NULL ? 0 : strlen(value);
    Pgw__Object *object = g_new(Pgw__Object, 1);

    if (batch->bytes + size > MAX_VALUE_BYTES_PER_FRAME) {
        flush_batch(batch);
    }
    *object = (Pgw__Object)PGW__OBJECT__INIT;
    object->kind = (char *)kind;
    object->name = (char *)name;
    object->version = version;
    object->deleted = value == NULL;
    object->value.data = (uint8_t *)value;
    object->value.len = size;
    batch->bytes += size;
    g_ptr_array_add(batch->objects, object);
}

void
pgw_object_batch_init(struct pgw_object_batch *batch, struct pgw_link *link)
{
    *batch = (struct pgw_object_batch){
        .link = link,
        .objects = g_ptr_array_new_with_free_func(g_free),
    };
}

void
pgw_object_batch_dispose(struct pgw_object_batch *batch)
{
    flush_batch(batch);
    g_ptr_array_unref(batch->objects);
}
