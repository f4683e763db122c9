#include "entry/request_parse.h"
#include "parsleygw/errors.h"
#include "util/json_reader.h"
#include <string.h>

#define MAX_TOKENS_LIMIT 1000000
/* JSON numbers are exact up to 2^53. */
#define SEED_LIMIT 9007199254740992.0

static bool
invalid(GError **error, const char *message)
{
    g_set_error_literal(error, PGW_ERROR, PGW_ERROR_INVALID, message);
    return false;
}

static const char *
member_string(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);

    if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_STRING) {
        return NULL;
    }
    return json_node_get_string(node);
}

static bool
is_absent(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);

    return node == NULL || JSON_NODE_HOLDS_NULL(node);
}

/* The member as a number; false when it is something else. */
static bool
member_number(double *out, JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);
    GType type = JSON_NODE_HOLDS_VALUE(node) ? json_node_get_value_type(node)
                                             : G_TYPE_INVALID;

    if (type != G_TYPE_INT64 && type != G_TYPE_DOUBLE) {
        return false;
    }
    *out = json_node_get_double(node);
    return true;
}

static bool
is_false(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);

    return JSON_NODE_HOLDS_VALUE(node) &&
           json_node_get_value_type(node) == G_TYPE_BOOLEAN &&
           !json_node_get_boolean(node);
}

/* Answers that callers would take for something else must be refused, not
 * silently reduced to what we do. */
static bool
check_unsupported(JsonObject *object, GError **error)
{
    static const char *const names[] = {
        "tools", "functions", "logprobs",   "best_of",         "suffix",
        "echo",  "stop",      "logit_bias", "response_format",
    };
    static const struct {
        const char *name;
        double only;
    } fixed[] = {
        {"n", 1},
        {"top_p", 1},
        {"presence_penalty", 0},
        {"frequency_penalty", 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(fixed); i++) {
        double value;

        if (!is_absent(object, fixed[i].name) &&
            (!member_number(&value, object, fixed[i].name) ||
             value < fixed[i].only || value > fixed[i].only)) {
            g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                        "member '%s' is not supported: leave it out or "
                        "write %.0f",
                        fixed[i].name, fixed[i].only);
            return false;
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (!is_absent(object, names[i]) && !is_false(object, names[i])) {
            g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                        "member '%s' is not supported: leave it out",
                        names[i]);
            return false;
        }
    }
    return true;
}

static bool
parse_number(double *out, JsonObject *object, const char *name, double max,
             GError **error)
{
    if (is_absent(object, name)) {
        return true;
    }
    if (member_number(out, object, name) && *out >= 0 && *out <= max) {
        return true;
    }
    g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                "member '%s': write a number from 0 to %.0f", name, max);
    return false;
}

static bool
parse_integer(uint64_t *out, JsonObject *object, const char *name, double max,
              GError **error)
{
    double value = (double)*out;

    if (!parse_number(&value, object, name, max, error)) {
        return false;
    }
    *out = (uint64_t)value;
    if ((double)*out < value) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "member '%s': write a whole number from 0 to %.0f", name,
                    max);
        return false;
    }
    return true;
}

static bool
append_message(struct request_fields *out, GArray *ends, JsonNode *node,
               GError **error)
{
    JsonObject *object;
    const char *role;
    const char *content;
    uint32_t end;

    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        return invalid(error, "member 'messages': each must be an object "
                              "with 'role' and 'content'");
    }
    object = json_node_get_object(node);
    role = member_string(object, "role");
    content = member_string(object, "content");
    if (role == NULL || content == NULL) {
        return invalid(error, "member 'messages': each must have the texts "
                              "'role' and 'content'");
    }
    g_string_append_printf(out->prompt, "<|%s|>\n", role);
    g_string_append(out->prompt, content);
    g_string_append_c(out->prompt, '\n');
    end = (uint32_t)out->prompt->len;
    g_array_append_val(ends, end);
    return true;
}

static bool
parse_messages(struct request_fields *out, JsonObject *object, GError **error)
{
    JsonNode *node = json_object_get_member(object, "messages");
    JsonArray *messages;
    GArray *ends;
    bool good = true;

    if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node) ||
        json_array_get_length(json_node_get_array(node)) == 0) {
        return invalid(error, "member 'messages': write a list of at least "
                              "one message");
    }
    messages = json_node_get_array(node);
    ends = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    for (guint i = 0; good && i < json_array_get_length(messages); i++) {
        good = append_message(out, ends, json_array_get_element(messages, i),
                              error);
    }
    if (good) {
        out->n_boundaries = pgw_level_boundaries_merge(
            (uint32_t *)ends->data, ends->len, PGW_LEVEL_MAX);
        memcpy(out->boundaries, ends->data,
               out->n_boundaries * sizeof(uint32_t));
        g_string_append(out->prompt, "<|assistant|>\n");
    }
    g_array_unref(ends);
    return good;
}

static bool
parse_prompt(struct request_fields *out, JsonObject *object, GError **error)
{
    const char *prompt = member_string(object, "prompt");

    if (prompt == NULL || prompt[0] == '\0') {
        return invalid(error, "member 'prompt': write a text that is not "
                              "empty");
    }
    g_string_append(out->prompt, prompt);
    return true;
}

static bool
parse_stream(struct request_fields *out, JsonObject *object, GError **error)
{
    JsonNode *node = json_object_get_member(object, "stream");

    if (node == NULL || JSON_NODE_HOLDS_NULL(node)) {
        return true;
    }
    if (!JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_BOOLEAN) {
        return invalid(error, "member 'stream': write true or false");
    }
    out->stream = json_node_get_boolean(node);
    return true;
}

static bool
parse_object(struct request_fields *out, JsonObject *object, bool chat,
             GError **error)
{
    uint64_t max_tokens = 0;
    const char *model = member_string(object, "model");

    if (!check_unsupported(object, error) ||
        !parse_integer(&max_tokens, object, "max_tokens", MAX_TOKENS_LIMIT,
                       error) ||
        !parse_integer(&max_tokens, object, "max_completion_tokens",
                       MAX_TOKENS_LIMIT, error) ||
        !parse_integer(&out->seed, object, "seed", SEED_LIMIT, error) ||
        !parse_number(&out->temperature, object, "temperature", 2, error) ||
        !parse_stream(out, object, error)) {
        return false;
    }
    if (model == NULL && !is_absent(object, "model")) {
        return invalid(error, "member 'model': write the profile's name");
    }
    out->model = g_strdup(model == NULL ? "" : model);
    out->max_tokens = (uint32_t)max_tokens;
    return chat ? parse_messages(out, object, error)
                : parse_prompt(out, object, error);
}

bool
request_parse(struct request_fields *out, const void *body, size_t size,
              bool chat, GError **error)
{
    JsonNode *root = NULL;
    bool good = false;

    *out = (struct request_fields){.prompt = g_string_new(NULL)};
    if (size == 0) {
        invalid(error, "the body is empty: send a JSON object");
    }
    else if (pgw_json_parse(&root, body, size, "body", error)) {
        good = JSON_NODE_HOLDS_OBJECT(root)
                   ? parse_object(out, json_node_get_object(root), chat, error)
                   : invalid(error, "the body is not a JSON object: send one");
    }
    g_clear_pointer(&root, json_node_unref);
    if (!good) {
        request_fields_dispose(out);
    }
    return good;
}

void
request_fields_dispose(struct request_fields *fields)
{
    g_free(fields->model);
    if (fields->prompt != NULL) {
        g_string_free(fields->prompt, TRUE);
    }
    *fields = (struct request_fields){0};
}
