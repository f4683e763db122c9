/* What a sidecar reads from an engine's long answers, and what it refuses. */
#include <glib.h>
#include <string.h>

#include "sidecar/engine_list.h"

#define REQUEST "00112233445566778899aabbccddeeff"

static const char events[] =
    " {\"incarnation\":\"00000000000000ff\", \"version\":\"org\\/w\\u0031\",\n"
    "\"last\":41,\"extra\":{\"a\":[1,-2.5e3,{}],\"b\":null},\"events\":["
    "{\"seq\":40,\"kind\":\"stored\",\"block\":\"0a\",\"parent\":\"09\","
    "\"end_token\":32,\"request_id\":\"" REQUEST "\",\"new\":[true,false]},"
    "{\"seq\":41,\"kind\":\"from the future\",\"block\":\"0b\"},"
    "7,"
    "{\"kind\":\"cleared\",\"seq\":-3,\"request_id\":\"short\"}]}\n";

/* Byte by byte: a busy sidecar stops anywhere. */
static bool
read_all(struct engine_list *list, const char *text, size_t size)
{
    enum engine_list_state state = ENGINE_LIST_MORE;

    engine_list_init(list, text, size);
    while (state == ENGINE_LIST_MORE) {
        state = engine_list_read(list, 1);
    }
    return state == ENGINE_LIST_WHOLE;
}

static void
test_events(void)
{
    struct engine_list list;
    const struct pgw_cache_event *first;
    const struct pgw_cache_event *second;

    g_assert_true(read_all(&list, events, strlen(events)));
    g_assert_cmphex(list.incarnation, ==, 0xff);
    g_assert_cmpstr(list.version, ==, "org/w1");
    g_assert_cmpuint(list.last, ==, 41);
    g_assert_null(list.blocks);
    g_assert_cmpuint(list.events->len, ==, 2);
    /* By their numbers, not as they came. */
    second = &g_array_index(list.events, struct pgw_cache_event, 0);
    first = &g_array_index(list.events, struct pgw_cache_event, 1);
    g_assert_cmpuint(first->seq, ==, 40);
    g_assert_cmpint(first->kind, ==, PGW_CACHE_STORED);
    g_assert_cmphex(first->block, ==, 0x0a);
    g_assert_cmphex(first->parent, ==, 0x09);
    g_assert_cmpuint(first->end_token, ==, 32);
    g_assert_cmphex(first->request.bytes[15], ==, 0xff);
    g_assert_cmpint(second->kind, ==, PGW_CACHE_CLEARED);
    g_assert_cmpuint(second->seq, ==, 0);
    g_assert_cmphex(second->request.bytes[0], ==, 0);
    engine_list_dispose(&list);
}

static void
test_blocks(void)
{
    static const char text[] =
        "{\"blocks\":[{\"block\":\"ffffffffffffffff\",\"parent\":\"\"},"
        "{\"parent\":\"1\",\"block\":\"2\"}],\"last\":18446744073709551615}";
    struct engine_list list;
    const struct pgw_cache_block *blocks;

    g_assert_true(read_all(&list, text, strlen(text)));
    g_assert_null(list.events);
    g_assert_cmpuint(list.blocks->len, ==, 2);
    blocks = (const struct pgw_cache_block *)list.blocks->data;
    g_assert_cmphex(blocks[0].block, ==, G_MAXUINT64);
    g_assert_cmphex(blocks[0].parent, ==, 0);
    g_assert_cmphex(blocks[1].parent, ==, 1);
    engine_list_dispose(&list);
}

/* Each part of an answer that was cut off is refused, and read no further
 * than it goes: the sanitizers watch the copy's end. */
static void
test_cut_off(void)
{
    struct engine_list list;

    for (size_t size = 0; size + 1 < strlen(events); size++) {
        char *part = g_malloc(size + 1);

        memcpy(part, events, size);
        part = g_realloc(part, MAX(size, 1));
        g_assert_false(read_all(&list, part, size));
        engine_list_dispose(&list);
        g_free(part);
    }
}

static void
test_refused(void)
{
    static const char *const texts[] = {
        "",
        "[]",
        "{}{}",
        "{\"events\":[1,]}",
        "{\"events\":[,1]}",
        "{\"events\":[{\"seq\":1,}]}",
        "{\"events\":[{\"seq\":1]}",
        "{\"events\":[{seq:1}]}",
        "{'events':[]}",
        "{\"events\":[nil]}",
        "{\"version\":\"a\nb\"}",
        "{\"version\":\"\xff\xfe\"}",
    };
    struct engine_list list;
    char *deep = g_strnfill(100000, '[');
    char *text = g_strdup_printf("{\"extra\":%s", deep);

    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        g_assert_false(read_all(&list, texts[i], strlen(texts[i])));
        engine_list_dispose(&list);
    }
    g_assert_false(read_all(&list, text, strlen(text)));
    engine_list_dispose(&list);
    g_free(text);
    g_free(deep);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/engine-list/events", test_events);
    g_test_add_func("/engine-list/blocks", test_blocks);
    g_test_add_func("/engine-list/cut-off", test_cut_off);
    g_test_add_func("/engine-list/refused", test_refused);
    return g_test_run();
}
