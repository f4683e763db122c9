#include "gateway/upstream/announced_prompts.h"
#include <string.h>
#include <xxhash.h>

/* An announced request reaches the engine within this time. */
#define TRANSIT_US 60000
/* A request that no report has listed for this long was refused or abandoned.
 */
#define UNLISTED_MAX_US 3000000
/* Above the number of requests that an engine runs and queues. */
#define REQUESTS_MAX 1024

/**
 * struct announced_request - a request whose prompt may be pending
 * @id: pgw_announced_prompts_id() of the request
 * @pending_tokens: prompt tokens that the engine has to prefill
 * @announced_at_us: when it was announced
 * @was_listed: an engine's report has listed it
 */
struct announced_request {
    uint64_t id;
    uint32_t pending_tokens;
    uint64_t announced_at_us;
    bool was_listed;
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
                          uint32_t pending_tokens, uint64_t now_us)
{
    struct announced_request *request;

    if (g_hash_table_size(announced->requests) >= REQUESTS_MAX) {
        return;
    }
    request = g_new0(struct announced_request, 1);
    request->id = id;
    request->pending_tokens = pending_tokens;
    request->announced_at_us = now_us;
    g_hash_table_replace(announced->requests, &request->id, request);
}

void
pgw_announced_prompts_end(struct pgw_announced_prompts *announced, uint64_t id)
{
    g_hash_table_remove(announced->requests, &id);
}

static const struct pgw_engine_run *
find_run(const struct pgw_engine_work *work, uint64_t id)
{
    for (size_t i = 0; i < work->run_count; i++) {
        if (work->runs[i].id == id) {
            return &work->runs[i];
        }
    }
    return NULL;
}

/* Removes requests that are no longer pending. Returns the number of the
 * others that have reached the engine but are not listed. */
static uint32_t
remove_prefilled(struct pgw_announced_prompts *announced,
                 const struct pgw_engine_work *work, uint64_t now_us)
{
    uint32_t unlisted = 0;
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, announced->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct announced_request *request = value;
        const struct pgw_engine_run *run = find_run(work, request->id);
        uint64_t age_us = now_us - request->announced_at_us;

        if (run != NULL) {
            request->was_listed = true;
        }
        if (run == NULL ? request->was_listed || age_us >= UNLISTED_MAX_US
                        : run->events > 0) {
            g_hash_table_iter_remove(&iter);
        }
        else {
            unlisted += run == NULL && age_us >= TRANSIT_US;
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

        if (!request->was_listed &&
            (oldest == NULL ||
             request->announced_at_us < oldest->announced_at_us)) {
            oldest = request;
        }
    }
    if (oldest != NULL) {
        g_hash_table_remove(announced->requests, &oldest->id);
    }
}

/*
 * Failure: an engine does not list the prompt that it is prefilling. Symptom:
 * the prompt counts as prefilled with the first report, and short prompts are
 * sent behind it. Therefore as many unlisted requests are kept as the engine
 * runs unlisted or has in its queue. It takes them in order, so the oldest are
 * removed.
 */
void
pgw_announced_prompts_apply_report(struct pgw_announced_prompts *announced,
                                   const struct pgw_engine_work *work,
                                   uint64_t now_us)
{
    uint32_t unlisted = remove_prefilled(announced, work, now_us);

    while (unlisted > work->unlisted_runs + work->waiting) {
        remove_oldest(announced);
        unlisted--;
    }
}

struct pgw_pending_prefill
pgw_announced_prompts_pending(const struct pgw_announced_prompts *announced)
{
    struct pgw_pending_prefill pending = {0};
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, announced->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        pending.tokens +=
            ((const struct announced_request *)value)->pending_tokens;
        pending.prompts++;
    }
    return pending;
}
