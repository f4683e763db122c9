#include "entry/exchange.h"
#include "entry/request_parse.h"

#define SERVICE_PREFIX "/svc/"
#define PROFILE_HEADER "X-Pgw-Profile"

/* "/svc/<profile>/rest?query" */
static bool
parse_service(struct exchange *exchange, struct refusal *refusal)
{
    struct exchange_request *request = &exchange->request;
    const char *name = request->path + strlen(SERVICE_PREFIX);
    const char *slash = strchr(name, '/');
    char *rest;

    if (slash == NULL || slash == name) {
        refusal_set(refusal, PGW_REFUSAL_BAD_REQUEST, PGW_RAN_NO, 0,
                    "path '%s': write /svc/PROFILE/PATH", request->path);
        return false;
    }
    request->profile = g_strndup(name, (gsize)(slash - name));
    rest = g_strdup(slash);
    g_free(request->path);
    request->path = rest;
    return true;
}

static bool
parse_model(struct exchange *exchange, struct refusal *refusal)
{
    struct exchange_request *request = &exchange->request;
    struct request_fields fields;
    const char *header = MHD_lookup_connection_value(
        exchange->connection, MHD_HEADER_KIND, PROFILE_HEADER);
    GError *error = NULL;

    if (!request_parse(&fields, pgw_buffer_head(&request->body),
                       pgw_buffer_size(&request->body),
                       exchange->format == FORMAT_CHAT, &error)) {
        refusal_set(refusal, PGW_REFUSAL_BAD_REQUEST, PGW_RAN_NO, 0, "%s",
                    error->message);
        g_clear_error(&error);
        return false;
    }
    /* The parsed prompt replaces the body, which is not needed again. */
    pgw_buffer_dispose(&request->body);
    request->profile = g_strdup(header != NULL ? header : fields.model);
    request->prompt = g_steal_pointer(&fields.prompt);
    request->n_boundaries = fields.n_boundaries;
    memcpy(request->boundaries, fields.boundaries, sizeof(fields.boundaries));
    request->max_tokens = fields.max_tokens;
    request->seed = fields.seed;
    request->temperature = fields.temperature;
    request->stream = fields.stream;
    request_fields_dispose(&fields);
    return true;
}

static bool
parse(struct exchange *exchange, const struct pgw_config *config,
      struct refusal *refusal)
{
    (void)config;
    if (exchange->format == FORMAT_SERVICE) {
        return parse_service(exchange, refusal);
    }
    return parse_model(exchange, refusal);
}

const struct filter filter_parse = {.name = "parse", .run = parse};
