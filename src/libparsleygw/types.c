#include "parsleygw/types.h"

struct refusal_info {
    const char *name;
    unsigned status;
};

static const struct refusal_info refusals[PGW_REFUSAL_COUNT] = {
    [PGW_REFUSAL_BAD_REQUEST] = {"bad_request", 400},
    [PGW_REFUSAL_TOO_LARGE] = {"too_large", 413},
    [PGW_REFUSAL_UNAUTHORIZED] = {"unauthorized", 401},
    [PGW_REFUSAL_FORBIDDEN] = {"forbidden", 403},
    [PGW_REFUSAL_UNKNOWN_PROFILE] = {"unknown_profile", 404},
    [PGW_REFUSAL_OVERLOADED] = {"overloaded", 429},
    [PGW_REFUSAL_DEADLINE] = {"deadline", 504},
    [PGW_REFUSAL_LEAVING] = {"leaving", 503},
    [PGW_REFUSAL_STALE] = {"stale", 503},
    [PGW_REFUSAL_NO_UPSTREAM] = {"no_upstream", 503},
    [PGW_REFUSAL_UPSTREAM_FAILED] = {"upstream_failed", 502},
    [PGW_REFUSAL_QUARANTINED] = {"quarantined", 422},
    [PGW_REFUSAL_STORE_DOWN] = {"store_down", 503},
    [PGW_REFUSAL_DUPLICATE] = {"duplicate", 409},
    [PGW_REFUSAL_EXPIRED] = {"expired", 410},
    [PGW_REFUSAL_NOT_READY] = {"not_ready", 503},
    [PGW_REFUSAL_CANCELLED] = {"cancelled", 499},
    [PGW_REFUSAL_INTERNAL] = {"internal", 500},
};

static const char *const priority_names[PGW_PRIORITY_COUNT] = {
    [PGW_PRIORITY_URGENT] = "urgent",
    [PGW_PRIORITY_INTERACTIVE] = "interactive",
    [PGW_PRIORITY_NORMAL] = "normal",
    [PGW_PRIORITY_BATCH] = "batch",
};

static const struct refusal_info *
refusal_info(int refusal)
{
    if (refusal < 0 || refusal >= PGW_REFUSAL_COUNT) {
        refusal = PGW_REFUSAL_INTERNAL;
    }
    return &refusals[refusal];
}

const char *
pgw_refusal_name(int refusal)
{
    return refusal_info(refusal)->name;
}

unsigned
pgw_refusal_status(int refusal)
{
    return refusal_info(refusal)->status;
}

const char *
pgw_ran_name(int ran)
{
    switch (ran) {
    case PGW_RAN_NO:
        return "no";
    case PGW_RAN_YES:
        return "yes";
    default:
        return "unknown";
    }
}

const char *
pgw_priority_name(int priority)
{
    if (priority < 0 || priority >= PGW_PRIORITY_COUNT) {
        priority = PGW_PRIORITY_BATCH;
    }
    return priority_names[priority];
}

bool
pgw_priority_parse(enum pgw_priority *out, const char *name)
{
    for (int i = 0; i < PGW_PRIORITY_COUNT; i++) {
        if (g_strcmp0(name, priority_names[i]) == 0) {
            *out = (enum pgw_priority)i;
            return true;
        }
    }
    return false;
}
