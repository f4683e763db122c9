#include "gateway/prefix_memory.h"
#include <string.h>

static size_t
find(const struct pgw_prefix_memory *memory, uint64_t key)
{
    size_t i = 0;

    while (i < PGW_PREFIX_MEMORY_SIZE && memory->keys[i] != key) {
        i++;
    }
    return i;
}

void
pgw_prefix_memory_note(struct pgw_prefix_memory *memory, uint64_t key,
                       uint32_t tokens, uint64_t now_us)
{
    size_t place = find(memory, key);

    if (place == PGW_PREFIX_MEMORY_SIZE) {
        place = 0;
        for (size_t i = 1; i < PGW_PREFIX_MEMORY_SIZE; i++) {
            if (memory->used_us[i] < memory->used_us[place]) {
                place = i;
            }
        }
    }
    memory->keys[place] = key;
    memory->tokens[place] = tokens;
    memory->used_us[place] = now_us;
}

bool
pgw_prefix_memory_has(const struct pgw_prefix_memory *memory, uint64_t key,
                      uint64_t capacity)
{
    size_t place = find(memory, key);
    uint64_t newer = 0;

    if (key == 0 || place == PGW_PREFIX_MEMORY_SIZE) {
        return false;
    }
    for (size_t i = 0; i < PGW_PREFIX_MEMORY_SIZE; i++) {
        if (memory->used_us[i] >= memory->used_us[place]) {
            newer += memory->tokens[i];
        }
    }
    return newer <= capacity;
}

void
pgw_prefix_memory_forget(struct pgw_prefix_memory *memory, uint64_t key)
{
    size_t place = find(memory, key);

    if (key != 0 && place < PGW_PREFIX_MEMORY_SIZE) {
        memory->keys[place] = 0;
        memory->tokens[place] = 0;
        memory->used_us[place] = 0;
    }
}

void
pgw_prefix_memory_clear(struct pgw_prefix_memory *memory)
{
    memset(memory, 0, sizeof(*memory));
}
