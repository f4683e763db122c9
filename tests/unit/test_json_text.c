/* What is written as a JSON string is read back as the same text. */
#include <json-glib/json-glib.h>
#include <string.h>

#include "util/json_text.h"

static char *
round_trip(const char *text, gsize size)
{
    GString *json = g_string_new(NULL);
    JsonNode *node;
    char *back;

    pgw_json_append_string(json, text, size);
    node = json_from_string(json->str, NULL);
    g_assert_nonnull(node);
    back = g_strdup(json_node_get_string(node));
    json_node_unref(node);
    g_string_free(json, TRUE);
    return back;
}

static void
test_every_character(void)
{
    for (gunichar c = 1; c <= 0x10ffff; c += c < 0x3000 ? 1 : 97) {
        char text[8] = {0};
        char *back;

        if (c >= 0xd800 && c <= 0xdfff) {
            continue;
        }
        text[0] = 'a';
        text[1 + g_unichar_to_utf8(c, text + 1)] = 'z';
        back = round_trip(text, strlen(text));
        g_assert_cmpstr(back, ==, text);
        g_free(back);
    }
}

static void
test_broken_bytes(void)
{
    static const char *const cases[][2] = {
        {"\xff", "\xef\xbf\xbd"},
        {"a\xc3", "a\xef\xbf\xbd"},
        {"\xc3\xa9\x80z", "\xc3\xa9\xef\xbf\xbdz"},
        {"\xed\xa0\x80", "\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd"},
        {"", ""},
    };
    GString *json = g_string_new(NULL);

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *back = round_trip(cases[i][0], strlen(cases[i][0]));

        g_assert_cmpstr(back, ==, cases[i][1]);
        g_free(back);
    }
    pgw_json_append_string(json, "a\0b", 3);
    g_assert_cmpstr(json->str, ==, "\"a\\u0000b\"");
    g_string_free(json, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/json-text/every-character", test_every_character);
    g_test_add_func("/json-text/broken-bytes", test_broken_bytes);
    return g_test_run();
}
