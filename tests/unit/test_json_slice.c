#include "libparsleygw/json_slice.h"
#include <glib.h>
#include <string.h>

static char *
member_of(const char *text, const char *member)
{
    const char *value;
    size_t size;

    return pgw_json__slice_member(&value, &size, text, strlen(text), member)
               ? g_strndup(value, size)
               : NULL;
}

static void
expect_member(const char *text, const char *member, const char *expected)
{
    char *value = member_of(text, member);

    g_assert_cmpstr(value, ==, expected);
    g_free(value);
}

static void
test_members(void)
{
    const char text[] =
        "{ \"a\" : [1,{\"b\":2}] ,\"b\":\"x,}\\\"y\",\"c\":true}";

    expect_member(text, "a", "[1,{\"b\":2}] ");
    expect_member(text, "b", "\"x,}\\\"y\"");
    expect_member(text, "c", "true");
    expect_member(text, "d", NULL);
    expect_member("", "a", NULL);
    expect_member("[1]", "a", NULL);
    expect_member("{\"a\"", "a", NULL);
    expect_member("{\"a\":", "a", NULL);
}

/* An element that is invalid JSON is returned like the others, provided that
 * its quotes and brackets are balanced. */
static void
test_elements(void)
{
    static const char text[] =
        "{\"items\":[{\"n\":1}, {\"n\":\"\x81\xff\"},[[[[0]]]]],\"z\":1}";
    static const char *const expected[] = {"{\"n\":1}", "{\"n\":\"\x81\xff\"}",
                                           "[[[[0]]]]"};
    struct pgw_json__slice slice;
    const char *element;
    size_t size;
    size_t count = 0;

    g_assert_true(pgw_json__slice_init(&slice, text, strlen(text), "items"));
    while (pgw_json__slice_next(&slice, &element, &size)) {
        g_assert_cmpuint(count, <, G_N_ELEMENTS(expected));
        g_assert_cmpmem(element, size, expected[count],
                        strlen(expected[count]));
        count++;
    }
    g_assert_cmpuint(count, ==, G_N_ELEMENTS(expected));
    g_assert_false(pgw_json__slice_init(&slice, text, strlen(text), "z"));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/json_slice/members", test_members);
    g_test_add_func("/json_slice/elements", test_elements);
    return g_test_run();
}
