/* Bodies of completion requests: what is read, and what is refused why. */
#include <string.h>

#include "entry/request_parse.h"
#include "parsleygw/errors.h"

static void
assert_refused(const char *body, bool chat, const char *names)
{
    struct request_fields fields;
    GError *error = NULL;

    g_assert_false(request_parse(&fields, body, strlen(body), chat, &error));
    g_assert_error(error, PGW_ERROR, PGW_ERROR_INVALID);
    if (strstr(error->message, names) == NULL) {
        g_error("%s: '%s' does not name '%s'", body, error->message, names);
    }
    g_assert_null(fields.prompt);
    g_clear_error(&error);
}

static void
parse(struct request_fields *out, const char *body, bool chat)
{
    GError *error = NULL;

    request_parse(out, body, strlen(body), chat, &error);
    g_assert_no_error(error);
}

static void
test_completion(void)
{
    struct request_fields fields;

    parse(&fields,
          "{\"model\":\"p\",\"prompt\":\"b\\u00e9\",\"max_tokens\":7,"
          "\"seed\":9007199254740992,\"temperature\":0.5,\"stream\":true,"
          "\"n\":1,\"echo\":false,\"stop\":null}",
          false);
    g_assert_cmpstr(fields.model, ==, "p");
    g_assert_cmpstr(fields.prompt->str, ==, "b\xc3\xa9");
    g_assert_cmpuint(fields.max_tokens, ==, 7);
    g_assert_cmpuint(fields.seed, ==, G_GUINT64_CONSTANT(9007199254740992));
    g_assert_cmpfloat(fields.temperature, ==, 0.5);
    g_assert_true(fields.stream);
    request_fields_dispose(&fields);
}

/* Each message ends a level, so that turns of one conversation share them. */
static void
test_chat(void)
{
    struct request_fields fields;

    parse(&fields,
          "{\"messages\":[{\"role\":\"system\",\"content\":\"rules\"},"
          "{\"role\":\"user\",\"content\":\"\"}],"
          "\"max_completion_tokens\":3,\"n\":null}",
          true);
    g_assert_cmpstr(fields.prompt->str, ==,
                    "<|system|>\nrules\n<|user|>\n\n<|assistant|>\n");
    g_assert_cmpuint(fields.n_boundaries, ==, 2);
    g_assert_cmpuint(fields.boundaries[0], ==, strlen("<|system|>\nrules\n"));
    g_assert_cmpuint(fields.max_tokens, ==, 3);
    g_assert_cmpstr(fields.model, ==, "");
    request_fields_dispose(&fields);
}

static void
test_refusals(void)
{
    static const char *const bodies[][2] = {
        {"", "empty"},
        {"{", "JSON"},
        {"[]", "object"},
        {"null", "object"},
        {"{}", "prompt"},
        {"{\"prompt\":\"\"}", "prompt"},
        {"{\"prompt\":[\"a\"]}", "prompt"},
        {"{\"prompt\":\"\xff\"}", "JSON"},
        {"{\"prompt\":\"a\",\"max_tokens\":-1}", "max_tokens"},
        {"{\"prompt\":\"a\",\"max_tokens\":0.5}", "max_tokens"},
        {"{\"prompt\":\"a\",\"max_tokens\":1e30}", "max_tokens"},
        {"{\"prompt\":\"a\",\"max_tokens\":\"9\"}", "max_tokens"},
        {"{\"prompt\":\"a\",\"temperature\":3}", "temperature"},
        {"{\"prompt\":\"a\",\"stream\":1}", "stream"},
        {"{\"prompt\":\"a\",\"n\":2}", "'n'"},
        {"{\"prompt\":\"a\",\"n\":1.5}", "'n'"},
        {"{\"prompt\":\"a\",\"n\":true}", "'n'"},
        {"{\"prompt\":\"a\",\"tools\":[]}", "tools"},
        {"{\"prompt\":\"a\",\"stop\":[\"x\"]}", "stop"},
        {"{\"prompt\":\"a\",\"response_format\":{}}", "response_format"},
        {"{\"prompt\":\"a\",\"model\":7}", "model"},
    };
    static const char *const chats[][2] = {
        {"{\"prompt\":\"a\"}", "messages"},
        {"{\"messages\":[]}", "messages"},
        {"{\"messages\":[1]}", "messages"},
        {"{\"messages\":[{\"role\":\"user\"}]}", "content"},
        {"{\"messages\":[{\"role\":\"user\",\"content\":[]}]}", "content"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
        assert_refused(bodies[i][0], false, bodies[i][1]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(chats); i++) {
        assert_refused(chats[i][0], true, chats[i][1]);
    }
}

/* The parser keeps no bytes behind a NUL: the engine would get a shorter
 * prompt than the caller sent and answer another question. */
static void
test_nul_is_refused(void)
{
    assert_refused("{\"prompt\":\"a\\u0000b\"}", false, "u0000");
    assert_refused("{\"messages\":[{\"role\":\"user\","
                   "\"content\":\"a\\u0000b\"}]}",
                   true, "u0000");
}

static void
test_escaped_backslash_is_no_nul(void)
{
    struct request_fields fields;

    parse(&fields, "{\"prompt\":\"a\\\\u0000b\"}", false);
    g_assert_cmpstr(fields.prompt->str, ==, "a\\u0000b");
    request_fields_dispose(&fields);
}

/* The JSON library recurses: without a bound the thread's stack overflows
 * and one caller ends the process. Comments and single quotes, which that
 * library takes, must not hide the brackets. */
static void
test_deep_nesting(void)
{
    static const char *const before[] = {"", "/*\"*/", "//\"\n", "'\"',"};
    const size_t depth = 1 << 20;

    for (size_t i = 0; i < G_N_ELEMENTS(before); i++) {
        GString *body = g_string_new("{\"prompt\":\"a\",\"x\":");

        g_string_append(body, before[i]);
        for (size_t k = 0; k < depth; k++) {
            g_string_append_c(body, '[');
        }
        assert_refused(body->str, false, i == 0 ? "nested" : "JSON");
        g_string_free(body, TRUE);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/request-parse/completion", test_completion);
    g_test_add_func("/request-parse/chat", test_chat);
    g_test_add_func("/request-parse/refusals", test_refusals);
    g_test_add_func("/request-parse/nul-is-refused", test_nul_is_refused);
    g_test_add_func("/request-parse/escaped-backslash-is-no-nul",
                    test_escaped_backslash_is_no_nul);
    g_test_add_func("/request-parse/deep-nesting", test_deep_nesting);
    return g_test_run();
}
