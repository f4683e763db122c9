#include "gateway/announced_prompts.h"
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
 * @id: pgw_announced_prompts_id() of the request
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
pgw_announced_prompts_id(const char *id)
{
    return XXH3_64bits(id, strlen(id));
}

void
pgw_announced_prompts_init(struct pgw_announced_prompts *announced)
{
    announced->requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void
pgw_announced_prompts_dispose(struct pgw_announced_prompts *announced)
{
    g_hash_table_destroy(announced->requests);
}

void
pgw_announced_prompts_clear(struct pgw_announced_prompts *announced)
{
    g_hash_table_remove_all(announced->requests);
}

void
pgw_announced_prompts_add(struct pgw_announced_prompts *announced, uint64_t id,
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

void
pgw_announced_prompts_end(struct pgw_announced_prompts *announced, uint64_t id)
{
    g_hash_table_remove(announced->requests, &id);
}

static const struct pgw_engine_run *
find(const struct pgw_engine_work *work, uint64_t id)
{
    for (size_t i = 0; i < work->run_count; i++) {
        if (work->runs[i].id == id) {
            return &work->runs[i];
        }
    }
    return NULL;
}

/* Removes those that are over, and returns how many may be left of those that
 * have arrived and are not listed. */
static uint32_t
remove_ended(struct pgw_announced_prompts *announced,
             const struct pgw_engine_work *work, uint64_t now_us)
{
    uint32_t unlisted = 0;
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, announced->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct announced_request *request = value;
        const struct pgw_engine_run *run = find(work, request->id);
        uint64_t age = now_us - request->at_us;

        if (run != NULL) {
            request->seen = true;
        }
        if (run == NULL ? request->seen || age >= UNSEEN_MAX_US
                        : run->events > 0) {
            g_hash_table_iter_remove(&iter);
        }
        else {
            unlisted += run == NULL && age >= TRANSIT_US;
        }
    }
    return unlisted;
}

static void
remove_oldest(struct pgw_announced_prompts *announced)
{
    const struct announced_request *oldest = NULL;
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, announced->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct announced_request *request = value;

        if (!request->seen &&
            (oldest == NULL || request->at_us < oldest->at_us)) {
            oldest = request;
        }
    }
    if (oldest != NULL) {
        g_hash_table_remove(announced->requests, &oldest->id);
    }
}

/*
 * Failure: an engine does not list the prompt that it is reading. Symptom: it
 * counts as read with the first report, and short prompts are sent behind it.
 * So many may be left as the engine reads or has in its queue; it takes them
 * in their order.
 */
void
pgw_announced_prompts_apply_report(struct pgw_announced_prompts *announced,
                                   const struct pgw_engine_work *work,
                                   uint64_t now_us)
{
    uint32_t unlisted = remove_ended(announced, work, now_us);

    while (unlisted > work->reading + work->waiting) {
        remove_oldest(announced);
        unlisted--;
    }
}

struct pgw_pending_prefill
pgw_announced_prompts_pending(const struct pgw_announced_prompts *announced)
{
    struct pgw_pending_prefill unread = {0};
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, announced->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        unread.tokens += ((const struct announced_request *)value)->to_read;
        unread.prompts++;
    }
    return unread;
}
