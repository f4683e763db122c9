#include "util/random.h"
#include <errno.h>
#include <glib.h>
#include <sys/random.h>

void
pgw_random_bytes(void *out, size_t size)
{
    uint8_t *bytes = out;

    while (size > 0) {
        ssize_t got = getrandom(bytes, size, 0);

        if (got < 0 && errno != EINTR) {
            g_error("event=no_random_source errno=%d", errno);
        }
        if (got > 0) {
            bytes += got;
            size -= (size_t)got;
        }
    }
}

uint64_t
pgw_random_u64(void)
{
    uint64_t value = 0;

    while (value == 0) {
        pgw_random_bytes(&value, sizeof(value));
    }
    return value;
}
