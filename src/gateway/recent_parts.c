#include "gateway/recent_parts.h"
#include <string.h>

static size_t
find(const struct pgw_recent_parts *memory, uint64_t key)
{
    size_t i = 0;

    while (i < PGW_RECENT_PARTS_SIZE && memory->keys[i] != key) {
        i++;
    }
    return i;
}

void
pgw_recent_parts_add(struct pgw_recent_parts *memory, uint64_t key,
                     uint64_t now_us)
{
    size_t place = find(memory, key);

    if (place == PGW_RECENT_PARTS_SIZE) {
        place = 0;
        for (size_t i = 1; i < PGW_RECENT_PARTS_SIZE; i++) {
            if (memory->used_us[i] < memory->used_us[place]) {
                place = i;
            }
        }
    }
    memory->keys[place] = key;
    memory->used_us[place] = now_us;
}

bool
pgw_recent_parts_has(const struct pgw_recent_parts *memory, uint64_t key,
                     uint64_t since_us)
{
    size_t place = find(memory, key);

    return key != 0 && place < PGW_RECENT_PARTS_SIZE &&
           memory->used_us[place] > since_us;
}

void
pgw_recent_parts_remove(struct pgw_recent_parts *memory, uint64_t key)
{
    size_t place = find(memory, key);

    if (key != 0 && place < PGW_RECENT_PARTS_SIZE) {
        memory->keys[place] = 0;
        memory->used_us[place] = 0;
    }
}

void
pgw_recent_parts_clear(struct pgw_recent_parts *memory)
{
    memset(memory, 0, sizeof(*memory));
}
