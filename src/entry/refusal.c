#include "entry/exchange.h"
#include "util/json_text.h"

void
refusal_set(struct refusal *refusal, enum pgw_refusal code, enum pgw_ran ran,
            uint32_t retry_after_ms, const char *format, ...)
{
    va_list args;

    refusal_dispose(refusal);
    refusal->code = code;
    refusal->ran = ran;
    refusal->retry_after_ms = retry_after_ms;
    va_start(args, format);
    refusal->message = g_strdup_vprintf(format, args);
    va_end(args);
}

void
refusal_dispose(struct refusal *refusal)
{
    g_free(refusal->message);
    *refusal = (struct refusal){0};
}

const char *
refusal_advice(enum pgw_refusal code)
{
    switch (code) {
    case PGW_REFUSAL_DEADLINE:
        return "the profile's deadline passed";
    case PGW_REFUSAL_NO_UPSTREAM:
        return "no other upstream of the pool can take the request";
    case PGW_REFUSAL_UPSTREAM_FAILED:
        return "the upstream failed before the answer was whole";
    case PGW_REFUSAL_OVERLOADED:
        return "the pool is overloaded: come back later";
    case PGW_REFUSAL_CANCELLED:
        return "the caller went away";
    default:
        return pgw_refusal_name(code);
    }
}

static const char *
refusal_type(enum pgw_refusal code)
{
    unsigned status = pgw_refusal_status(code);

    if (status == 429) {
        return "rate_limit_error";
    }
    return status < 500 ? "invalid_request_error" : "server_error";
}

char *
refusal_render(const struct refusal *refusal)
{
    GString *out = g_string_new("{\"error\":{\"type\":");

    pgw_json_append_text(out, refusal_type(refusal->code));
    g_string_append(out, ",\"code\":");
    pgw_json_append_text(out, pgw_refusal_name(refusal->code));
    g_string_append(out, ",\"message\":");
    pgw_json_append_text(out, refusal->message);
    g_string_append(out, ",\"ran\":");
    pgw_json_append_text(out, pgw_ran_name(refusal->ran));
    g_string_append_printf(out, ",\"retry_after_ms\":%u}}",
                           refusal->retry_after_ms);
    return g_string_free(out, FALSE);
}
