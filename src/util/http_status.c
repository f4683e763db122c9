#include "util/http_status.h"

#define DIGITS 3

enum part {
    PART_START,
    PART_VERSION,
    PART_SPACE,
    PART_STATUS,
    PART_DONE,
};

static bool
is_valid(const struct pgw_http_status *status)
{
    return status->digits == DIGITS && status->value >= 100 &&
           status->value <= 599 && status->value != 101;
}

/* Returns false if the byte ends an invalid status. */
static bool
feed_byte(struct pgw_http_status *status, char byte)
{
    switch ((enum part)status->part) {
    case PART_START:
        /* Empty lines before the status line are skipped. */
        if (byte != '\r' && byte != '\n') {
            status->part = PART_VERSION;
        }
        return true;
    case PART_VERSION:
        if (byte == ' ') {
            status->part = PART_SPACE;
        }
        return true;
    case PART_SPACE:
        if (byte == ' ') {
            return true;
        }
        status->part = PART_STATUS;
        return feed_byte(status, byte);
    case PART_STATUS:
        if (byte >= '0' && byte <= '9') {
            status->value = status->value * 10 + (unsigned)(byte - '0');
            return ++status->digits <= DIGITS;
        }
        status->part = PART_DONE;
        return is_valid(status);
    case PART_DONE:
        return true;
    }
    return true;
}

bool
pgw_http_status_feed(struct pgw_http_status *status, const char *data,
                     size_t size)
{
    for (size_t i = 0; i < size && status->part != PART_DONE; i++) {
        if (!feed_byte(status, data[i])) {
            return false;
        }
    }
    return true;
}
