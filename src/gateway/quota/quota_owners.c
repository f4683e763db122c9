#include "gateway/quota/quota.h"
#include <string.h>
#include <xxhash.h>

/* An owner that has not answered an ask for this long is unavailable. The time
 * is far above a round trip plus an event loop turn of a busy process. */
#define ANSWER_TIMEOUT_US 300000
/* How long an owner is not asked after a timeout. */
#define UNAVAILABLE_US 2000000

void
pgw_quota_owners_clear(struct pgw_quota_owners *owners)
{
    for (size_t i = 0; i < owners->count; i++) {
        pgw_upstream_unref(owners->items[i]);
    }
    memset(owners, 0, sizeof(*owners));
}

static int
compare_hashes(const void *a, const void *b)
{
    const struct pgw_upstream *left = *(struct pgw_upstream *const *)a;
    const struct pgw_upstream *right = *(struct pgw_upstream *const *)b;

    return left->id_hash < right->id_hash ? -1
                                          : left->id_hash > right->id_hash;
}

static void
copy_state(struct pgw_quota_owners *to, size_t position,
           const struct pgw_quota_owners *from)
{
    for (size_t i = 0; i < from->count; i++) {
        if (from->items[i]->id_hash == to->items[position]->id_hash) {
            to->unanswered_since_us[position] = from->unanswered_since_us[i];
            to->unavailable_until_us[position] = from->unavailable_until_us[i];
        }
    }
}

void
pgw_quota_owners_set(struct pgw_quota_owners *owners,
                     const struct pgw_list *upstreams)
{
    struct pgw_quota_owners before = *owners;
    GPtrArray *engines = g_ptr_array_new();

    pgw_list_foreach (link, upstreams) {
        struct pgw_upstream *upstream =
            pgw_container_of(link, struct pgw_upstream, in_table);

        if (upstream->model_count > 0 && !upstream->leaving) {
            g_ptr_array_add(engines, upstream);
        }
    }
    g_ptr_array_sort(engines, compare_hashes);
    memset(owners, 0, sizeof(*owners));
    owners->count = MIN(engines->len, PGW_QUOTA_OWNERS_MAX);
    for (size_t i = 0; i < owners->count; i++) {
        owners->items[i] = pgw_upstream_ref(g_ptr_array_index(engines, i));
        copy_state(owners, i, &before);
    }
    g_ptr_array_unref(engines);
    pgw_quota_owners_clear(&before);
}

size_t
pgw_quota_owners_rank(size_t *out, size_t max_count,
                      const struct pgw_quota_owners *owners,
                      uint64_t workspace)
{
    uint64_t scores[PGW_QUOTA_OWNERS_MAX];
    size_t count = 0;

    for (size_t i = 0; i < owners->count; i++) {
        uint64_t hash = owners->items[i]->id_hash;

        scores[i] = XXH3_64bits_withSeed(&hash, sizeof(hash), workspace);
    }
    while (count < max_count && count < owners->count) {
        size_t best = owners->count;

        for (size_t i = 0; i < owners->count; i++) {
            bool taken = false;

            for (size_t j = 0; j < count; j++) {
                taken = taken || out[j] == i;
            }
            if (!taken &&
                (best == owners->count || scores[i] > scores[best])) {
                best = i;
            }
        }
        out[count++] = best;
    }
    return count;
}

bool
pgw_quota_owners_is_available(struct pgw_quota_owners *owners, size_t position,
                              uint64_t now_us)
{
    uint64_t since_us = owners->unanswered_since_us[position];

    if (since_us > 0 && now_us - since_us > ANSWER_TIMEOUT_US) {
        owners->unanswered_since_us[position] = 0;
        owners->unavailable_until_us[position] = now_us + UNAVAILABLE_US;
    }
    return now_us >= owners->unavailable_until_us[position];
}

void
pgw_quota_owners_record_answer(struct pgw_quota_owners *owners,
                               const struct pgw_upstream *upstream)
{
    for (size_t i = 0; i < owners->count; i++) {
        if (owners->items[i]->id_hash == upstream->id_hash) {
            owners->unanswered_since_us[i] = 0;
            owners->unavailable_until_us[i] = 0;
        }
    }
}
