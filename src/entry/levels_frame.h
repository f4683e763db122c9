#ifndef PGW_ENTRY_LEVELS_FRAME_H
#define PGW_ENTRY_LEVELS_FRAME_H

#include "parsleygw/level.h"
#include "proto/parsleygw.pb-c.h"

/**
 * struct levels_frame - a chain in the form that frames carry, on the stack
 * @levels: the messages
 * @pointers: to each of them
 */
struct levels_frame {
    Pgw__Level levels[PGW_LEVEL_MAX];
    Pgw__Level *pointers[PGW_LEVEL_MAX];
};

static inline void
levels_frame_init(struct levels_frame *out,
                  const struct pgw_level_chain *chain)
{
    for (size_t i = 0; i < chain->count; i++) {
        out->levels[i] = (Pgw__Level)PGW__LEVEL__INIT;
        out->levels[i].hash_high = chain->levels[i].hash_high;
        out->levels[i].hash_low = chain->levels[i].hash_low;
        out->levels[i].end_tokens = chain->levels[i].end_tokens;
        out->pointers[i] = &out->levels[i];
    }
}

#endif
