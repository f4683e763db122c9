#include "parsleygw/errors.h"

GQuark
pgw_error_quark(void)
{
    return g_quark_from_static_string("pgw-error");
}

static const char *const error_names[] = {
    [PGW_ERROR_INVALID] = "invalid",
    [PGW_ERROR_TOO_LARGE] = "too_large",
    [PGW_ERROR_UNAUTHORIZED] = "unauthorized",
    [PGW_ERROR_NOT_FOUND] = "not_found",
    [PGW_ERROR_CONFLICT] = "conflict",
    [PGW_ERROR_UNAVAILABLE] = "unavailable",
    [PGW_ERROR_TIMEOUT] = "timeout",
    [PGW_ERROR_OVERLOADED] = "overloaded",
    [PGW_ERROR_PROTOCOL] = "protocol",
    [PGW_ERROR_UNKNOWN_OUTCOME] = "unknown_outcome",
    [PGW_ERROR_STALE] = "stale",
    [PGW_ERROR_IO] = "io",
};

const char *
pgw_error_name(int code)
{
    if (code < 0 || code >= (int)G_N_ELEMENTS(error_names)) {
        return "unknown";
    }
    return error_names[code];
}
