#include "gateway/upstream/named_refusals.h"
#include <stddef.h>

void
pgw_named_refusals_add(struct pgw_named_refusals *refusals, unsigned status)
{
    size_t max = sizeof(refusals->statuses) / sizeof(refusals->statuses[0]);

    if (refusals->count < max &&
        !pgw_named_refusals_contains(refusals, status)) {
        refusals->statuses[refusals->count++] = (unsigned short)status;
    }
}

bool
pgw_named_refusals_contains(const struct pgw_named_refusals *refusals,
                            unsigned status)
{
    for (unsigned i = 0; i < refusals->count; i++) {
        if (refusals->statuses[i] == status) {
            return true;
        }
    }
    return false;
}
