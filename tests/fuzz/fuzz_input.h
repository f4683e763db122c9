#ifndef FUZZ_INPUT_H
#define FUZZ_INPUT_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

/**
 * DOC: Inputs of the fuzz targets
 *
 * A fixed seed and a fixed number of inputs give the same verdict on every
 * run. Most inputs are mutations of valid seeds, which reach deeper than
 * noise; every eighth one is noise.
 */

#define FUZZ_INPUTS 30000
#define FUZZ_SEED 20261202
#define FUZZ_MAX 4096

/**
 * struct fuzz_seed - one valid input
 */
struct fuzz_seed {
    const uint8_t *data;
    size_t size;
};

static inline size_t
fuzz_pick(GRand *random, size_t below)
{
    return (size_t)g_rand_int_range(random, 0, (gint32)MAX(below, 1));
}

/* One edit: a changed, doubled, cut, inserted or copied run of bytes. */
static inline void
fuzz_mutate(GByteArray *input, GRand *random)
{
    /* Bytes that mean something to a decoder of JSON or of varints. */
    static const uint8_t special[] = {0,   1,    0x7f, 0x80, 0xff, '"', '\\',
                                      '{', '}',  '[',  ']',  ',',  ':', '-',
                                      'e', '\n', 'u',  '0',  '/',  '\''};
    size_t at = fuzz_pick(random, input->len);
    size_t most = 1 + fuzz_pick(random, 16);
    size_t run = MIN(input->len - at, most);
    uint8_t byte = special[fuzz_pick(random, sizeof(special))];
    uint8_t copy[16];

    if (input->len == 0 || (input->len < FUZZ_MAX && g_rand_boolean(random))) {
        g_byte_array_append(input, &byte, 1);
        memmove(input->data + at + 1, input->data + at, input->len - at - 1);
        input->data[at] = byte;
        return;
    }
    switch (fuzz_pick(random, 4)) {
    case 0:
        input->data[at] ^= (uint8_t)(1u << fuzz_pick(random, 8));
        break;
    case 1:
        input->data[at] = byte;
        break;
    case 2:
        g_byte_array_remove_range(input, (guint)at, (guint)run);
        break;
    default:
        memcpy(copy, input->data + at, run);
        if (input->len + run <= FUZZ_MAX) {
            g_byte_array_append(input, copy, (guint)run);
        }
        break;
    }
}

/* Replaces @input by the next one. */
static inline void
fuzz_next(GByteArray *input, GRand *random, const struct fuzz_seed *seeds,
          size_t count)
{
    const struct fuzz_seed *seed = &seeds[fuzz_pick(random, count)];

    g_byte_array_set_size(input, 0);
    if (fuzz_pick(random, 8) == 0) {
        for (size_t i = fuzz_pick(random, 200); i > 0; i--) {
            uint8_t byte = (uint8_t)g_rand_int(random);

            g_byte_array_append(input, &byte, 1);
        }
        return;
    }
    g_byte_array_append(input, seed->data, (guint)seed->size);
    for (size_t i = fuzz_pick(random, 6); i > 0; i--) {
        fuzz_mutate(input, random);
    }
}

#endif
