/*
 * Callers share a long rulebook; the engine that holds it dies. The next
 * caller's request goes to an engine that has never seen the rulebook: it
 * comes from the kept KV cache store instead of being computed again, as the
 * usage in the answer shows. Another workspace gets nothing of it. When the
 * store hangs, callers are answered as if there were none: the first ones wait
 * for it by a small bound and the others not at all.
 */
#include <signal.h>
#include <string.h>

#include "harness_fleet.h"

#define LIMIT_S 60
#define RULEBOOK_BYTES 32000
#define RULEBOOK_TOKENS 8000
#define OTHER_KEY "test-key-2"

struct scene {
    struct harness *store_harness;
    struct harness_process *store;
    struct harness_process *proxy;
    struct fleet *fleet;
};

static void
put_pool(struct scene *scene, const char *store)
{
    fleet_put(scene->fleet, "pool", "guide",
              "{\"type\":\"model\",\"model\":\"rulebook-7b\",\"version\":"
              "\"w1\",\"kv_store\":\"%s\",\"bytes_per_token\":4}",
              store);
    fleet_wait_configured(scene->fleet, scene->fleet->entries[0]);
}

static void
scene_init(struct scene *scene, unsigned engines)
{
    struct fleet_options options = FLEET_OPTIONS_INIT;
    char *target;

    memset(scene, 0, sizeof(*scene));
    scene->store_harness = harness_new();
    scene->store =
        harness_spawn(scene->store_harness, "standin-kvstore", NULL);
    target =
        g_strdup_printf("127.0.0.1:%u", harness_process_port(scene->store));
    scene->proxy = harness_spawn(scene->store_harness, "standin-proxy",
                                 "--target", target, NULL);
    g_free(target);
    options.engines = engines;
    scene->fleet = fleet_new(&options);
}

static void
scene_dispose(struct scene *scene)
{
    fleet_free(scene->fleet);
    harness_free(scene->store_harness);
}

/* A first level of so many bytes that no other letter shares. */
static char *
prompt(char letter, size_t bytes, unsigned question)
{
    GString *text = g_string_new(NULL);

    while (text->len < bytes) {
        g_string_append_printf(text, "%c%06zu ", letter, text->len);
    }
    g_string_append_printf(text, "\n---\nquestion %u", question);
    return g_string_free(text, FALSE);
}

static bool
note_time(const char *data, size_t length, void *user_data)
{
    gint64 *first = user_data;

    (void)data;
    (void)length;
    if (*first == 0) {
        *first = g_get_monotonic_time();
    }
    return true;
}

static gint64
cached_tokens(const char *body)
{
    static const char name[] = "\"cached_tokens\":";
    const char *found = strstr(body, name);

    g_assert_nonnull(found);
    return g_ascii_strtoll(found + strlen(name), NULL, 10);
}

/* Returns cached tokens; tells the time to the first token. */
static gint64
ask_with(struct scene *scene, const char *key, char letter, size_t bytes,
         unsigned question)
{
    char *authorization = g_strdup_printf("Authorization: Bearer %s", key);
    const char *headers[] = {authorization, NULL};
    char *text = prompt(letter, bytes, question);
    char *body = fleet_body(text, 4);
    gint64 begun = g_get_monotonic_time();
    gint64 first = 0;
    gint64 cached;
    struct harness_answer answer;
    struct harness_stream stream;

    g_assert_cmpint(
        harness_send(&answer,
                     &(struct harness_call){
                         .url = harness_process_url(scene->fleet->entries[0],
                                                    "/v1/completions"),
                         .headers = headers,
                         .body = body,
                         .on_data = note_time,
                         .user_data = &first}),
        ==, 200);
    harness_stream_parse(&stream, answer.body->str);
    g_assert_true(stream.done);
    cached = cached_tokens(answer.body->str);
    g_test_message("cached %" G_GINT64_FORMAT
                   " first token after %" G_GINT64_FORMAT " us",
                   cached, first - begun);
    harness_stream_dispose(&stream);
    harness_answer_dispose(&answer);
    g_free(authorization);
    g_free(body);
    g_free(text);
    return cached;
}

static gint64
ask(struct scene *scene, char letter, size_t bytes, unsigned question)
{
    return ask_with(scene, FLEET_KEY, letter, bytes, question);
}

/* The blocks and the level's entry. */
static bool
is_exported(void *data)
{
    const struct scene *scene = data;

    return harness_get_int(harness_process_url(scene->store, "/_stats"),
                           "values") >= 2;
}

/* Kills the engine that holds the rulebook. */
static void
kill_warm(struct scene *scene)
{
    for (unsigned i = 0; i < scene->fleet->options.engines; i++) {
        struct harness_process *engine = scene->fleet->engines[i];

        if (harness_get_int(harness_process_url(engine, "/_stats"),
                            "prefilled_tokens") > 0) {
            harness_process_stop(engine, SIGKILL);
        }
    }
}

static void
test_import(bool with_store)
{
    struct scene scene;

    scene_init(&scene, 2);
    if (with_store) {
        put_pool(&scene, harness_process_url(scene.store, ""));
    }
    for (unsigned i = 0; i < 3; i++) {
        ask(&scene, 'a', RULEBOOK_BYTES, i);
    }
    if (with_store) {
        g_assert_true(harness_wait_until(is_exported, &scene, LIMIT_S));
    }
    kill_warm(&scene);
    g_usleep(3 * G_USEC_PER_SEC);
    if (with_store) {
        fleet_put_workspace(scene.fleet, "hostel", OTHER_KEY);
        g_assert_cmpint(ask_with(&scene, OTHER_KEY, 'a', RULEBOOK_BYTES, 9),
                        ==, 0);
        g_assert_cmpint(ask(&scene, 'a', RULEBOOK_BYTES, 9), >=,
                        RULEBOOK_TOKENS - 32);
    }
    else {
        g_assert_cmpint(ask(&scene, 'a', RULEBOOK_BYTES, 9), ==, 0);
    }
    scene_dispose(&scene);
}

static void
test_with_store(void)
{
    test_import(true);
}

static void
test_without_store(void)
{
    test_import(false);
}

static void
test_store_hangs(void)
{
    struct scene scene;

    scene_init(&scene, 1);
    fleet_set_mode(scene.proxy, "{\"mode\":\"stall\"}");
    put_pool(&scene, harness_process_url(scene.proxy, ""));
    for (unsigned i = 0; i < 24; i++) {
        g_assert_cmpint(ask(&scene, (char)('a' + i), 4000, i), ==, 0);
    }
    /* Each request would have asked: the store is left alone after a few. */
    g_assert_cmpint(
        harness_get_int(fleet_admin_url(scene.proxy, "/stats"), "accepted"),
        <=, 8);
    scene_dispose(&scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/kv-store/import", test_with_store);
    g_test_add_func("/kv-store/none", test_without_store);
    g_test_add_func("/kv-store/hangs", test_store_hangs);
    return g_test_run();
}
