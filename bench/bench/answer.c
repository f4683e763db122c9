#include "answer.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define DATA_PREFIX "data: "

void
answer_init(struct answer *answer, bool service)
{
    *answer = (struct answer){
        .service = service,
        .line = g_string_new(NULL),
        .text = g_string_new(NULL),
        .error = g_string_new(NULL),
    };
}

void
answer_reset(struct answer *answer)
{
    struct answer fresh = {
        .service = answer->service,
        .line = g_string_truncate(answer->line, 0),
        .text = g_string_truncate(answer->text, 0),
        .error = g_string_truncate(answer->error, 0),
    };

    *answer = fresh;
}

void
answer_dispose(struct answer *answer)
{
    g_string_free(answer->line, TRUE);
    g_string_free(answer->text, TRUE);
    g_string_free(answer->error, TRUE);
}

static JsonObject *
parse_object(JsonParser *parser, const char *text, size_t size)
{
    JsonNode *root;

    if (!json_parser_load_from_data(parser, text, (gssize)size, NULL)) {
        return NULL;
    }
    root = json_parser_get_root(parser);
    return root != NULL && JSON_NODE_HOLDS_OBJECT(root)
               ? json_node_get_object(root)
               : NULL;
}

static JsonObject *
member(JsonObject *object, const char *name)
{
    JsonNode *node =
        object == NULL ? NULL : json_object_get_member(object, name);

    return node != NULL && JSON_NODE_HOLDS_OBJECT(node)
               ? json_node_get_object(node)
               : NULL;
}

static unsigned
number(JsonObject *object, const char *name)
{
    return object == NULL ? 0
                          : (unsigned)json_object_get_int_member_with_default(
                                object, name, 0);
}

static void
take_usage(struct answer *answer, JsonObject *event)
{
    JsonObject *usage = member(event, "usage");

    if (usage != NULL) {
        answer->prompt_tokens = number(usage, "prompt_tokens");
        /* The engine itself, called directly, has it one level up. */
        answer->cached_tokens = MAX(
            number(usage, "cached_tokens"),
            number(member(usage, "prompt_tokens_details"), "cached_tokens"));
    }
}

static void
take_choice(struct answer *answer, JsonObject *event)
{
    JsonArray *choices = json_object_get_array_member(event, "choices");
    JsonObject *choice = choices != NULL && json_array_get_length(choices) > 0
                             ? json_array_get_object_element(choices, 0)
                             : NULL;
    const char *text;

    if (choice == NULL || answer->finished) {
        answer->broken = true;
        return;
    }
    text = json_object_get_string_member_with_default(choice, "text", "");
    if (*text != '\0') {
        g_string_append(answer->text, text);
        answer->tokens++;
    }
    answer->finished = !json_object_get_null_member(choice, "finish_reason");
}

static void
take_event(struct answer *answer, const char *data, size_t size)
{
    JsonParser *parser;
    JsonObject *event;

    if (size == strlen("[DONE]") && memcmp(data, "[DONE]", size) == 0) {
        answer->done = true;
        return;
    }
    parser = json_parser_new();
    event = parse_object(parser, data, size);
    if (event == NULL || answer->done ||
        !(json_object_has_member(event, "error") ||
          json_object_has_member(event, "choices"))) {
        answer->broken = true;
    }
    else if (json_object_has_member(event, "error")) {
        g_string_append_len(answer->error, data, (gssize)size);
    }
    else {
        take_choice(answer, event);
        take_usage(answer, event);
    }
    g_object_unref(parser);
}

static void
take_line(struct answer *answer, const char *line, size_t size)
{
    if (size > strlen(DATA_PREFIX) &&
        memcmp(line, DATA_PREFIX, strlen(DATA_PREFIX)) == 0) {
        take_event(answer, line + strlen(DATA_PREFIX),
                   size - strlen(DATA_PREFIX));
    }
}

void
answer_take(struct answer *answer, long status, const char *data, size_t size)
{
    const char *end;
    size_t used = 0;

    g_string_append_len(answer->line, data, (gssize)size);
    if (answer->service || status != 200) {
        return;
    }
    while ((end = memchr(answer->line->str + used, '\n',
                         answer->line->len - used)) != NULL) {
        size_t length = (size_t)(end - answer->line->str) - used;

        take_line(answer, answer->line->str + used, length);
        used += length + 1;
    }
    g_string_erase(answer->line, 0, (gssize)used);
}

static bool
take_refusal(struct load_result *result, const GString *text)
{
    JsonParser *parser = json_parser_new();
    JsonObject *error =
        member(parse_object(parser, text->str, text->len), "error");
    const char *ran = "";
    bool said;

    if (error != NULL) {
        ran = json_object_get_string_member_with_default(error, "ran", "");
        g_strlcpy(
            result->code,
            json_object_get_string_member_with_default(error, "code", ""),
            sizeof(result->code));
    }
    result->ran = strcmp(ran, "no") == 0    ? SAID_NO
                  : strcmp(ran, "yes") == 0 ? SAID_YES
                                            : SAID_UNKNOWN;
    said = *ran != '\0';
    g_object_unref(parser);
    return said;
}

static bool
service_is_right(const struct answer *answer, const struct answer_check *check)
{
    JsonParser *parser = json_parser_new();
    JsonObject *object =
        parse_object(parser, answer->line->str, answer->line->len);
    bool right =
        object != NULL && number(object, "echo") == check->body_size &&
        strcmp(json_object_get_string_member_with_default(object, "key", ""),
               check->key) == 0;

    g_object_unref(parser);
    return right;
}

static bool
model_is_right(const struct answer *answer, const struct answer_check *check)
{
    GString *expected = g_string_new(NULL);
    bool right;

    workload_answer(expected, check->prompt, check->tokens);
    right = !answer->broken && g_string_equal(expected, answer->text);
    g_string_free(expected, TRUE);
    return right;
}

void
answer_judge(const struct answer *answer, struct load_result *result,
             bool whole, long status, const struct answer_check *check)
{
    result->prompt_tokens = answer->prompt_tokens;
    result->cached_tokens = answer->cached_tokens;
    result->outcome = OUTCOME_LOST;
    if (status >= 400 && whole) {
        if (take_refusal(result, answer->line)) {
            result->outcome = OUTCOME_REFUSED;
        }
    }
    else if (answer->error->len > 0) {
        if (take_refusal(result, answer->error)) {
            result->outcome = OUTCOME_BROKEN;
        }
    }
    else if (status == 200 && whole && answer->service) {
        result->outcome =
            service_is_right(answer, check) ? OUTCOME_ANSWERED : OUTCOME_WRONG;
    }
    else if (status == 200 && whole && answer->done) {
        result->outcome =
            model_is_right(answer, check) ? OUTCOME_ANSWERED : OUTCOME_WRONG;
    }
}
