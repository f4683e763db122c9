#include "parsleygw/copies.h"
#include "util/list.h"

/**
 * struct request - one fingerprint
 * @link: in the order of the last asking, oldest first
 * @until_us: the latest deadline of its copies
 * @proven: a copy ended well here
 */
struct request {
    struct pgw_list link;
    struct pgw_fingerprint fingerprint;
    uint64_t until_us;
    bool proven;
};

struct pgw_copies {
    GHashTable *requests;
    struct pgw_list order;
    uint32_t count_max;
};

struct pgw_copies *
pgw_copies_new(uint32_t count_max)
{
    struct pgw_copies *copies = g_new0(struct pgw_copies, 1);

    copies->count_max = count_max;
    copies->requests = g_hash_table_new_full(
        pgw_fingerprint_hash, pgw_fingerprint_equal, NULL, g_free);
    pgw_list_init(&copies->order);
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
add(struct pgw_copies *copies, const struct pgw_fingerprint *fingerprint)
{
    struct request *request = g_new0(struct request, 1);

    if (g_hash_table_size(copies->requests) >= copies->count_max) {
        struct request *oldest = pgw_container_of(
            pgw_list_first(&copies->order), struct request, link);

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
                    uint64_t until_us, uint64_t now_us)
{
    struct request *request =
        g_hash_table_lookup(copies->requests, fingerprint);
    bool here = false;

    if (request == NULL) {
        request = add(copies, fingerprint);
    }
    else {
#ifndef PGW_DISABLE_COPIES_GATHER
        /*
         * Failure: many copies of a request that crashes its upstream start
         * before the first crash. Symptom: as many upstreams as copies crash.
         * All but the first run on one upstream and crash it once.
         */
        here = !request->proven && now_us < request->until_us;
#endif
        pgw_list_remove(&request->link);
    }
    request->until_us = MAX(request->until_us, until_us);
    pgw_list_append(&copies->order, &request->link);
    return here;
}

static void
set_proven(struct pgw_copies *copies,
           const struct pgw_fingerprint *fingerprint, bool proven)
{
    struct request *request =
        g_hash_table_lookup(copies->requests, fingerprint);

    if (request != NULL) {
        request->proven = proven;
    }
}

void
pgw_copies_mark_completed(struct pgw_copies *copies,
                          const struct pgw_fingerprint *fingerprint)
{
    set_proven(copies, fingerprint, true);
}

void
pgw_copies_mark_crashed(struct pgw_copies *copies,
                        const struct pgw_fingerprint *fingerprint)
{
    set_proven(copies, fingerprint, false);
}

uint32_t
pgw_copies_size(const struct pgw_copies *copies)
{
    return g_hash_table_size(copies->requests);
}
