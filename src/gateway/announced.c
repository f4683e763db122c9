#include "gateway/announced.h"
#include <string.h>
#include <xxhash.h>

/* A request that was announced gets to the engine within this time. */
#define TRANSIT_US 60000
/* One that has not been seen to run for so long was refused, or given up. */
#define UNSEEN_MAX_US 3000000
/* More than an engine runs and queues together. */
#define REQUESTS_MAX 1024

/**
 * struct announced_request - one of them
 * @id: pgw_announced_id() of the request
 * @to_read: tokens that are left to be read
 * @at_us: when it was announced
 * @seen: a report had it
 */
struct announced_request {
    uint64_t id;
    uint32_t to_read;
    uint64_t at_us;
    bool seen;
};

uint64_t
pgw_announced_id(const char *id)
{
    return XXH3_64bits(id, strlen(id));
}

void
pgw_announced_init(struct pgw_announced *announced)
{
    announced->requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void
pgw_announced_dispose(struct pgw_announced *announced)
{
    g_hash_table_destroy(announced->requests);
}

void
pgw_announced_clear(struct pgw_announced *announced)
{
    g_hash_table_remove_all(announced->requests);
}

void
pgw_announced_add(struct pgw_announced *announced, uint64_t id,
                  uint32_t to_read, uint64_t now_us)
{
    struct announced_request *request;

    if (g_hash_table_size(announced->requests) >= REQUESTS_MAX) {
        return;
    }
    request = g_new0(struct announced_request, 1);
    request->id = id;
    request->to_read = to_read;
    request->at_us = now_us;
    g_hash_table_replace(announced->requests, &request->id, request);
}

static const struct pgw_engine_run *
find(const struct pgw_engine_run *runs, size_t count, uint64_t id)
{
    for (size_t i = 0; i < count; i++) {
        if (runs[i].id == id) {
            return &runs[i];
        }
    }
    return NULL;
}

/* With nobody in its queue, what has arrived and does not run has ended. */
static bool
has_ended(const struct announced_request *request, uint32_t waiting,
          uint64_t now_us)
{
    uint64_t age = now_us - request->at_us;

    return request->seen || (waiting == 0 && age >= TRANSIT_US) ||
           age >= UNSEEN_MAX_US;
}

void
pgw_announced_report(struct pgw_announced *announced,
                     const struct pgw_engine_run *runs, size_t count,
                     uint32_t waiting, uint64_t now_us)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, announced->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct announced_request *request = value;
        const struct pgw_engine_run *run = find(runs, count, request->id);

        if (run == NULL) {
            if (has_ended(request, waiting, now_us)) {
                g_hash_table_iter_remove(&iter);
            }
        }
        else if (run->events > 0) {
            g_hash_table_iter_remove(&iter);
        }
        else {
            request->seen = true;
        }
    }
}

struct pgw_unread
pgw_announced_unread(const struct pgw_announced *announced)
{
    struct pgw_unread unread = {0};
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, announced->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        unread.tokens += ((const struct announced_request *)value)->to_read;
        unread.prompts++;
    }
    return unread;
}
