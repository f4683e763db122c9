#ifndef PGW_UTIL_RANDOM_H
#define PGW_UTIL_RANDOM_H

#include <stddef.h>
#include <stdint.h>

/** pgw_random_bytes() - fill a buffer from the system's random source */
void pgw_random_bytes(void *out, size_t size);

/** pgw_random_u64() - 64 random bits, never 0 */
uint64_t pgw_random_u64(void);

#endif
