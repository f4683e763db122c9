#include "parsleygw/copies.h"
#include "util/list.h"

/**
 * struct request - state of one fingerprint
 * @link: link in the LRU list, least recently registered first
 * @fingerprint: key in the hash table
 * @deadline_us: the latest deadline of its copies
 * @is_completed: a copy completed here and none has crashed the upstream since
 */
struct request {
    struct pgw_list link;
    struct pgw_fingerprint fingerprint;
    uint64_t deadline_us;
    bool is_completed;
};

struct pgw_copies {
    GHashTable *requests;
    struct pgw_list lru;
    uint32_t count_max;
};

struct pgw_copies *
pgw_copies_new(uint32_t count_max)
{
    struct pgw_copies *copies = g_new0(struct pgw_copies, 1);

    copies->count_max = count_max;
    copies->requests = g_hash_table_new_full(
        pgw_fingerprint_hash, pgw_fingerprint_equal, NULL, g_free);
    pgw_list_init(&copies->lru);
    return copies;
}

void
pgw_copies_free(struct pgw_copies *copies)
{
    if (copies == NULL) {
        return;
    }
    g_hash_table_destroy(copies->requests);
    g_free(copies);
}

static struct request *
add_request(struct pgw_copies *copies,
            const struct pgw_fingerprint *fingerprint)
{
    struct request *request = g_new0(struct request, 1);

    if (g_hash_table_size(copies->requests) >= copies->count_max) {
        struct request *oldest = pgw_container_of(pgw_list_first(&copies->lru),
                                                  struct request, link);

        pgw_list_remove(&oldest->link);
        g_hash_table_remove(copies->requests, &oldest->fingerprint);
    }
    request->fingerprint = *fingerprint;
    g_hash_table_insert(copies->requests, &request->fingerprint, request);
    return request;
}

bool
pgw_copies_register(struct pgw_copies *copies,
                    const struct pgw_fingerprint *fingerprint,
                    uint64_t deadline_us, uint64_t now_us)
{
    struct request *request =
        g_hash_table_lookup(copies->requests, fingerprint);
    bool must_run_here = false;

    if (request == NULL) {
        request = add_request(copies, fingerprint);
    }
    else {
#ifndef PGW_DISABLE_COPIES_GATHER
        /*
         * Failure: many copies of a request that crashes its upstream start
         * before the first crash. Symptom: each copy crashes an upstream. With
         * the guard all copies but the first run on one upstream and crash it
         * once.
         */
        must_run_here =
            !request->is_completed && now_us < request->deadline_us;
#endif
        pgw_list_remove(&request->link);
    }
    request->deadline_us = MAX(request->deadline_us, deadline_us);
    pgw_list_append(&copies->lru, &request->link);
    return must_run_here;
}

static void
set_completed(struct pgw_copies *copies,
              const struct pgw_fingerprint *fingerprint, bool is_completed)
{
    struct request *request =
        g_hash_table_lookup(copies->requests, fingerprint);

    if (request != NULL) {
        request->is_completed = is_completed;
    }
}

void
pgw_copies_mark_completed(struct pgw_copies *copies,
                          const struct pgw_fingerprint *fingerprint)
{
    set_completed(copies, fingerprint, true);
}

void
pgw_copies_mark_crashed(struct pgw_copies *copies,
                        const struct pgw_fingerprint *fingerprint)
{
    set_completed(copies, fingerprint, false);
}

uint32_t
pgw_copies_size(const struct pgw_copies *copies)
{
    return g_hash_table_size(copies->requests);
}
