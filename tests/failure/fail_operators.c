/*
 * Something was odd in the night and an operator asks why. The caller of one
 * request kept its X-Pgw-Request-Id. The processes' own clocks need not
 * agree, so the time line must show the request's way in the order of cause
 * and effect: accepted and sent by the entry, run by the sidecar, answered by
 * the entry. A process that does not answer is named, not left out unseen.
 */
#include <string.h>

#include "harness_http.h"
#include "harness_process.h"
#include "order.h"
#include "util/program.h"

#define LIMIT_S 30

struct fixture {
    struct harness *harness;
    struct harness_process *store;
    struct harness_process *sidecar;
    struct harness_process *entry;
    char *key;
    char *admin;
    char *output;
};

static char *
line_value(struct harness_process *process, const char *name)
{
    char *output = harness_process_output(process);
    char *start = strstr(output, name);
    char *value;

    g_assert_nonnull(start);
    start += strlen(name);
    value = g_strndup(start, strcspn(start, "\n"));
    g_free(output);
    return value;
}

static int
run(struct fixture *f, const char *const *words)
{
    const char *args[16] = {"--store", harness_process_url(f->store, ""),
                            "--admin", f->admin};
    struct harness_process *process;
    int code;

    for (size_t i = 0; words[i] != NULL; i++) {
        args[i + 4] = words[i];
    }
    process = harness_spawnv(f->harness, "parsleygw", args);
    code = harness_process_wait(process);
    g_free(f->output);
    f->output = harness_process_output(process);
    return code;
}

#define RUN(f, ...) run(f, (const char *const[]){__VA_ARGS__, NULL})

static void
write_objects(struct fixture *f)
{
    const char *objects = harness_write_file(
        f->harness, "objects.json",
        "{\"objects\":[{\"kind\":\"pool\",\"name\":\"guide\",\"version\":1,"
        "\"value\":{\"type\":\"model\",\"model\":\"guide-7b\","
        "\"version\":\"w1\"}},"
        "{\"kind\":\"profile\",\"name\":\"route-question\",\"version\":1,"
        "\"value\":{\"pool\":\"guide\",\"max_tokens\":8}}]}");

    g_assert_cmpint(RUN(f, "apply", objects), ==, 0);
    g_assert_cmpint(RUN(f, "apply", objects, "--json"), ==, 0);
    g_assert_nonnull(strstr(f->output, "\"written\":0"));
    g_assert_cmpint(RUN(f, "--json", "workspace", "create", "holar"), ==, 0);
    {
        JsonNode *node = harness_parse(f->output);

        f->key = g_strdup(harness_json_string(node, "key"));
        json_node_unref(node);
    }
}

static void
start_daemons(struct fixture *f, struct harness_process *engine)
{
    static const char common[] =
        "{\"instance\":\"%s\",\"zone\":\"a\",\"listen\":\"127.0.0.1:0\","
        "\"admin_listen\":\"127.0.0.1:0\",\"store_url\":\"%s\"%s}";
    const char *store = harness_process_url(f->store, "");
    char *more = g_strdup_printf(",\"pool\":\"guide\",\"upstream_url\":\"%s\"",
                                 harness_process_url(engine, ""));
    char *address;

    f->sidecar =
        harness_spawn(f->harness, "parsleygw-sidecar", "--config",
                      harness_write_file(f->harness, "sidecar.json", common,
                                         "guide-1", store, more),
                      NULL);
    address =
        g_strdup_printf("127.0.0.1:%u", harness_process_port(f->sidecar));
    g_assert_cmpint(RUN(f, "instance", "join", "guide-1", "--pool", "guide",
                        "--zone", "a", "--address", address),
                    ==, 0);
    f->entry = harness_spawn(f->harness, "parsleygw-entry", "--config",
                             harness_write_file(f->harness, "entry.json",
                                                common, "entry-1", store, ""),
                             NULL);
    harness_wait_ready(harness_process_url(f->entry, "/readyz"));
    g_free(address);
    g_free(more);
}

static void
set_up(struct fixture *f)
{
    struct harness_process *engine;
    char *sidecar;
    char *entry;

    memset(f, 0, sizeof(*f));
    f->admin = g_strdup("127.0.0.1:1");
    f->harness = harness_new();
    f->store = harness_spawn(f->harness, "standin-objects", NULL);
    engine = harness_spawn(f->harness, "standin-engine", "--model", "guide-7b",
                           "--version", "w1", "--time-scale", "10", NULL);
    harness_process_port(f->store);
    harness_process_port(engine);
    write_objects(f);
    start_daemons(f, engine);
    sidecar = line_value(f->sidecar, "admin_port=");
    entry = line_value(f->entry, "admin_port=");
    g_free(f->admin);
    f->admin = g_strdup_printf("127.0.0.1:%s,127.0.0.1:%s,127.0.0.1:1",
                               sidecar, entry);
    g_free(sidecar);
    g_free(entry);
}

static void
tear_down(struct fixture *f)
{
    harness_free(f->harness);
    g_free(f->key);
    g_free(f->admin);
    g_free(f->output);
}

/* Sends requests until the sidecar has joined; keeps the answered one's id. */
static char *
ask(struct fixture *f)
{
    char *authorization = g_strdup_printf("Authorization: Bearer %s", f->key);
    const char *headers[] = {authorization, NULL};
    const struct harness_call call = {
        .url = harness_process_url(f->entry, "/v1/completions"),
        .headers = headers,
        .body = "{\"model\":\"route-question\",\"prompt\":\"Is the ford "
                "open?\",\"max_tokens\":4}"};
    char *id = NULL;

    for (int i = 0; i < 10 * LIMIT_S && id == NULL; i++) {
        struct harness_answer answer;

        if (harness_send(&answer, &call) == 200) {
            id = harness_answer_header(&answer, "X-Pgw-Request-Id");
        }
        else {
            g_usleep(100000);
        }
        harness_answer_dispose(&answer);
    }
    g_assert_nonnull(id);
    g_free(authorization);
    return id;
}

static void
test_one_requests_way(void)
{
    static const char *const way[] = {"entry-1",
                                      "request_accept",
                                      "entry-1",
                                      "attempt_open",
                                      "guide-1",
                                      "upstream_start",
                                      "guide-1",
                                      "first_token",
                                      "entry-1",
                                      "request_done",
                                      "# no events from 127.0.0.1:1",
                                      NULL};
    struct fixture f;
    char *id;

    set_up(&f);
    id = ask(&f);
    g_assert_cmpint(RUN(&f, "timeline", "--request", id), ==, 0);
    assert_in_order(f.output, way);
    g_assert_cmpint(RUN(&f, "timeline", "--since", "1h", "--format", "html"),
                    ==, 0);
    g_assert_nonnull(strstr(f.output, "</svg>"));
    g_assert_nonnull(strstr(f.output, id));
    g_assert_null(strstr(f.output, "ford"));
    g_free(id);
    tear_down(&f);
}

static void
test_status_shows_fleet(void)
{
    struct fixture f;
    JsonNode *node;

    set_up(&f);
    g_free(ask(&f));
    g_assert_cmpint(RUN(&f, "--json", "status"), ==, 0);
    node = harness_parse(f.output);
    g_assert_cmpstr(harness_json_string(node, "processes/0/instance"), ==,
                    "guide-1");
    g_assert_cmpstr(harness_json_string(node, "processes/0/state"), ==,
                    "ready");
    g_assert_cmpstr(harness_json_string(node, "processes/0/weights"), ==,
                    "w1");
    g_assert_cmpstr(harness_json_string(node, "processes/1/role"), ==,
                    "entry");
    g_assert_cmpstr(harness_json_string(node, "processes/2/state"), ==,
                    "unreachable");
    json_node_unref(node);
    tear_down(&f);
}

static void
test_admin_refuses_nonsense(void)
{
    struct harness_answer answer;
    struct fixture f;
    char *port;
    char *base;

    set_up(&f);
    port = line_value(f.entry, "admin_port=");
    base = g_strdup_printf("http://127.0.0.1:%s", port);
    {
        const struct {
            const char *path;
            const char *body;
            long status;
        } cases[] = {{"/healthz", NULL, 200},
                     {"/nowhere", NULL, 404},
                     {"/metrics", "x", 405},
                     {"/timeline?since=yesterday", NULL, 400},
                     {"/timeline?request=12", NULL, 400},
                     {"/timeline?limit=1", NULL, 200}};

        for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
            char *url = g_strconcat(base, cases[i].path, NULL);
            long status = cases[i].body == NULL
                              ? harness_get(&answer, url)
                              : harness_post(&answer, url, cases[i].body);

            g_assert_cmpint(status, ==, cases[i].status);
            harness_answer_dispose(&answer);
            g_free(url);
        }
    }
    g_free(base);
    g_free(port);
    tear_down(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/operators/way", test_one_requests_way);
    g_test_add_func("/operators/status", test_status_shows_fleet);
    g_test_add_func("/operators/admin", test_admin_refuses_nonsense);
    return g_test_run();
}
