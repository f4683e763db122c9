#include "gateway/upstream/recent_parts.h"
#include <string.h>

static size_t
find(const struct pgw_recent_parts *recent, uint64_t key)
{
    size_t i = 0;

    while (i < PGW_RECENT_PARTS_SIZE && recent->keys[i] != key) {
        i++;
    }
    return i;
}

void
pgw_recent_parts_add(struct pgw_recent_parts *recent, uint64_t key,
                     uint64_t now_us)
{
    size_t slot = find(recent, key);

    if (slot == PGW_RECENT_PARTS_SIZE) {
        slot = 0;
        for (size_t i = 1; i < PGW_RECENT_PARTS_SIZE; i++) {
            if (recent->used_us[i] < recent->used_us[slot]) {
                slot = i;
            }
        }
    }
    recent->keys[slot] = key;
    recent->used_us[slot] = now_us;
}

bool
pgw_recent_parts_has(const struct pgw_recent_parts *recent, uint64_t key,
                     uint64_t since_us)
{
    size_t slot = find(recent, key);

    return key != 0 && slot < PGW_RECENT_PARTS_SIZE &&
           recent->used_us[slot] > since_us;
}

void
pgw_recent_parts_remove(struct pgw_recent_parts *recent, uint64_t key)
{
    size_t slot = find(recent, key);

    if (key != 0 && slot < PGW_RECENT_PARTS_SIZE) {
        recent->keys[slot] = 0;
        recent->used_us[slot] = 0;
    }
}

void
pgw_recent_parts_clear(struct pgw_recent_parts *recent)
{
    memset(recent, 0, sizeof(*recent));
}
