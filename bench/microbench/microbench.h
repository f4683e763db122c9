#ifndef PGW_MICROBENCH_H
#define PGW_MICROBENCH_H

#include <stddef.h>
#include <stdint.h>

#define MICROBENCH_SIZES_MAX 6

/**
 * struct microbench_case - one operation, timed at growing sizes
 * @name: what is timed; NULL ends a table
 * @size_unit: what the sizes count
 * @sizes: ascending; 0 ends them
 * @setup: makes what the runs work on
 * @run: one operation; @turn counts them
 * @teardown: frees what @setup made
 */
struct microbench_case {
    const char *name;
    const char *size_unit;
    uint64_t sizes[MICROBENCH_SIZES_MAX];
    void *(*setup)(uint64_t size);
    void (*run)(void *state, uint64_t turn);
    void (*teardown)(void *state);
};

/* One table a file; main.c lists them. */
extern const struct microbench_case microbench_level_cases[];
extern const struct microbench_case microbench_place_cases[];
extern const struct microbench_case microbench_cache_cases[];
extern const struct microbench_case microbench_admit_cases[];
extern const struct microbench_case microbench_config_cases[];
extern const struct microbench_case microbench_frame_cases[];

/* Keeps a result alive, so that the compiler does not drop the work. */
static inline void
microbench_use(uint64_t value)
{
    __asm__ volatile("" : : "r"(value) : "memory");
}

/* A cheap spread of the turn's number. */
static inline uint64_t
microbench_mix(uint64_t x)
{
    x = (x + 1) * UINT64_C(0x9e3779b97f4a7c15);
    return x ^ (x >> 29);
}

#endif
