#include "libparsleygw/claim_record.h"
#include "libparsleygw/store_response.h"
#include "parsleygw/quarantine.h"
#include <string.h>

/* Deep enough to end a recursive parser on a stack of 8 MB. */
#define DEEP 1000000

static char *
nested(size_t depth)
{
    GString *text = g_string_new(NULL);

    for (size_t i = 0; i < depth; i++) {
        g_string_append_c(text, '[');
    }
    for (size_t i = 0; i < depth; i++) {
        g_string_append_c(text, ']');
    }
    return g_string_free(text, FALSE);
}

/* Values that other writers may leave. */
static GPtrArray *
odd_values(void)
{
    static const char *const values[] = {
        "{\"run_owner\":7,\"run_permit\":[]}",
        "{\"crashes\":[7]}",
        "{\"v\":1,\"w\":[[7,7,7]],\"c\":{\"k\":[1,2,3,4]}}",
        "{\"v\":1e999,\"w\":{},\"c\":[]}",
        "{\"changed_us\":18446744073709551616}",
        "{\"crashes\":-1e400}",
        "{\"port\":99999}",
        "7",
        "\"text\"",
    };
    GPtrArray *out = g_ptr_array_new_with_free_func(g_free);

    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        g_ptr_array_add(out, g_strdup(values[i]));
    }
    g_ptr_array_add(out, nested(33));
    g_ptr_array_add(out, nested(DEEP));
    return out;
}

/* Guards against a list that nobody can read, since another writer has left
 * one odd object in it. */
static void
test_list_with_one(void)
{
    GPtrArray *values = odd_values();

    for (guint i = 0; i < values->len; i++) {
        const char *value = g_ptr_array_index(values, i);
        char *text = g_strdup_printf(
            "{\"version\":9,\"objects\":["
            "{\"name\":\"a\",\"version\":3,\"value\":{\"x\":1}},"
            "{\"value\":%s,\"name\":\"odd\",\"version\":4},"
            "{\"name\":\"b\",\"version\":5,\"value\":{\"x\":2}}]}",
            value);
        struct pgw_store_list list;

        g_assert_true(
            pgw_store__parse_list(&list, text, strlen(text), "objects"));
        g_assert_cmpuint(list.n, ==, 3);
        g_assert_cmpuint(list.version, ==, 9);
        g_assert_cmpstr(list.objects[0].name, ==, "a");
        g_assert_cmpstr(list.objects[1].name, ==, "odd");
        g_assert_cmpuint(list.objects[1].version, ==, 4);
        g_assert_cmpstr(list.objects[2].name, ==, "b");
        g_assert_cmpstr(list.objects[2].value, ==, "{\"x\":2}");
        pgw_store_list_dispose(&list);
        g_free(text);
    }
    g_ptr_array_unref(values);
}

/* Guards against a process that ends when it reads such an object. */
static void
test_readers_reject(void)
{
    GPtrArray *values = odd_values();

    for (guint i = 0; i < values->len; i++) {
        const char *value = g_ptr_array_index(values, i);
        struct pgw_quarantine_record record;
        struct pgw_claim_object *object =
            pgw_claim__object_parse(value, strlen(value), NULL);

        g_assert_null(object);
        pgw_quarantine_record_parse(&record, value, strlen(value), NULL);
    }
    g_ptr_array_unref(values);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/odd_objects/list_with_one", test_list_with_one);
    g_test_add_func("/odd_objects/readers_reject", test_readers_reject);
    return g_test_run();
}
