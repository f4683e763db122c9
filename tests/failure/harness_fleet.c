#include "harness_fleet.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define ARGS_MAX 32
#define READY_LIMIT_S 60

static const char *
member_of(const char *text, const char *name)
{
    const char *line = strstr(text, name);

    return line == NULL ? "" : line + strlen(name);
}

const char *
fleet_admin_url(struct harness_process *process, const char *path)
{
    char *output;
    char *url;
    const char *owned;

    harness_process_port(process);
    output = harness_process_output(process);
    url = g_strdup_printf(
        "http://127.0.0.1:%u%s",
        (unsigned)g_ascii_strtoull(member_of(output, "admin_port="), NULL, 10),
        path);
    /* Interned: tests ask for few different ones. */
    owned = g_intern_string(url);
    g_free(url);
    g_free(output);
    return owned;
}

gint64
fleet_status_int(struct harness_process *process, const char *name)
{
    return harness_get_int(fleet_admin_url(process, "/status"), name);
}

uint64_t
fleet_config(struct harness_process *process)
{
    JsonNode *status = harness_get_json(fleet_admin_url(process, "/status"));
    uint64_t summary = g_ascii_strtoull(
        harness_json_string(status, "config_summary"), NULL, 16);

    json_node_unref(status);
    return summary;
}

double
fleet_metric(struct harness_process *process, const char *name)
{
    struct harness_answer answer;
    char *line = g_strconcat("\n", name, " ", NULL);
    const char *found;
    double value;

    harness_get(&answer, fleet_admin_url(process, "/metrics"));
    found = strstr(answer.body->str, line);
    value = found == NULL ? 0 : g_ascii_strtod(found + strlen(line), NULL);
    harness_answer_dispose(&answer);
    g_free(line);
    return value;
}

struct usable {
    struct harness_process *entry;
    unsigned count;
};

static bool
has_usable(void *data)
{
    const struct usable *usable = data;

    return fleet_status_int(usable->entry, "usable_upstreams") ==
           usable->count;
}

void
fleet_wait_usable(struct harness_process *entry, unsigned count)
{
    struct usable usable = {.entry = entry, .count = count};

    if (!harness_wait_until(has_usable, &usable, READY_LIMIT_S)) {
        g_error("upstreams never became usable: %s",
                harness_process_log(entry));
    }
}

unsigned long
fleet_resident_kib(struct harness_process *process)
{
    char *path =
        g_strdup_printf("/proc/%d/status", (int)harness_process_pid(process));
    char *text = NULL;
    unsigned long kib;

    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    kib = strtoul(member_of(text, "VmRSS:"), NULL, 10);
    g_free(text);
    g_free(path);
    return kib;
}

void
fleet_set_mode(struct harness_process *proxy, const char *mode)
{
    struct harness_answer answer;

    g_assert_cmpint(
        harness_post(&answer, fleet_admin_url(proxy, "/mode"), mode), ==, 200);
    harness_answer_dispose(&answer);
}

void
fleet_put(struct fleet *fleet, const char *kind, const char *name,
          const char *format, ...)
{
    char *path = g_strdup_printf("/objects/%s/%s", kind, name);
    const char *url = harness_process_url(fleet->objects, path);
    struct harness_answer answer;
    char *match;
    const char *headers[] = {NULL, NULL};
    va_list args;
    JsonNode *node;
    char *body;

    va_start(args, format);
    body = g_strdup_vprintf(format, args);
    va_end(args);
    match = g_strdup("If-Match: 0");
    if (harness_get(&answer, url) == 200) {
        node = harness_parse(answer.body->str);
        g_free(match);
        match = g_strdup_printf("If-Match: %" G_GINT64_FORMAT,
                                harness_json_int(node, "version"));
        json_node_unref(node);
    }
    harness_answer_dispose(&answer);
    headers[0] = match;
    g_assert_cmpint(
        harness_send(&answer, &(struct harness_call){.method = "PUT",
                                                     .url = url,
                                                     .headers = headers,
                                                     .body = body}),
        ==, 200);
    node = harness_parse(answer.body->str);
    g_assert_true(pgw_config_set_apply(
        fleet->expected, kind, name,
        (uint64_t)harness_json_int(node, "version"), body, NULL, NULL));
    json_node_unref(node);
    harness_answer_dispose(&answer);
    g_free(match);
    g_free(body);
    g_free(path);
}

struct configured {
    struct fleet *fleet;
    struct harness_process *entry;
};

static bool
is_configured(void *data)
{
    const struct configured *configured = data;

    return fleet_config(configured->entry) ==
           pgw_config_set_summary(configured->fleet->expected);
}

void
fleet_wait_configured(struct fleet *fleet, struct harness_process *entry)
{
    struct configured configured = {.fleet = fleet, .entry = entry};

    if (!harness_wait_until(is_configured, &configured, READY_LIMIT_S)) {
        g_error("configuration never came: %s", harness_process_log(entry));
    }
}

static struct harness_process *
start_proxy(struct fleet *fleet, struct harness_process *target)
{
    char *address =
        g_strdup_printf("127.0.0.1:%u", harness_process_port(target));
    struct harness_process *proxy = harness_spawn(
        fleet->harness, "standin-proxy", "--target", address, NULL);

    harness_process_port(proxy);
    g_free(address);
    return proxy;
}

static unsigned
region_of(const struct fleet *fleet, unsigned index)
{
    return index % MAX(fleet->options.regions, 1);
}

/* Sidecars beside the plain service. */
static unsigned
count_desks(const struct fleet_options *options)
{
    return options->service ? MAX(options->regions, 1) : 0;
}

static struct harness_process *
spawn_with(struct fleet *fleet, const char *program, const char *const *first,
           const char *const *more)
{
    const char *args[ARGS_MAX] = {NULL};
    unsigned n = 0;

    for (; first != NULL && *first != NULL; first++) {
        args[n++] = *first;
    }
    for (; more != NULL && *more != NULL; more++) {
        args[n++] = *more;
    }
    g_assert_cmpuint(n, <, ARGS_MAX);
    return harness_spawnv(fleet->harness, program, args);
}

static void
start_sidecar(struct fleet *fleet, unsigned index, const char *pool,
              const char *type, struct harness_process *upstream)
{
    const struct fleet_options *options = &fleet->options;
    char zone = (char)('a' + region_of(fleet, index));
    char *name = g_strdup_printf("up%u", index);
    char *file = g_strconcat(name, ".json", NULL);
    const char *path;

    if (options->proxy_upstreams) {
        fleet->upstreams[index] = start_proxy(fleet, upstream);
        upstream = fleet->upstreams[index];
    }
    path = harness_write_file(
        fleet->harness, file,
        "{\"instance\":\"%s\",\"zone\":\"%c\",\"pool\":\"%s\",\"listen\":"
        "\"127.0.0.1:0\",\"admin_listen\":\"127.0.0.1:0\","
        "\"upstream_url\":\"http://127.0.0.1:%u\",\"upstream_type\":\"%s\","
        "\"store_url\":\"http://127.0.0.1:%u\"%s}",
        name, zone, pool, harness_process_port(upstream), type,
        harness_process_port(fleet->stores[region_of(fleet, index)]),
        options->sidecar_settings);
    fleet->sidecars[index] = harness_spawn(fleet->harness, "parsleygw-sidecar",
                                           "--config", path, NULL);
    if (options->proxy_links) {
        fleet->links[index] = start_proxy(fleet, fleet->sidecars[index]);
    }
    fleet_put(fleet, "upstream", name,
              "{\"pool\":\"%s\",\"zone\":\"%c\",\"address\":\"127.0.0.1:%u\","
              "\"state\":\"joined\"}",
              pool, zone,
              harness_process_port(options->proxy_links
                                       ? fleet->links[index]
                                       : fleet->sidecars[index]));
    g_free(file);
    g_free(name);
}

static void
put_configuration(struct fleet *fleet)
{
    const struct fleet_options *options = &fleet->options;
    char *digest =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, FLEET_KEY, -1);

    fleet_put(fleet, "pool", "guide",
              "{\"type\":\"model\",\"model\":\"rulebook-7b\",\"version\":"
              "\"w1\",\"load_permits\":3,\"checks_fencing\":true,"
              "\"kv_store\":\"\",\"bytes_per_token\":4}");
    fleet_put(fleet, "pool", "desk",
              "{\"type\":\"service\",\"model\":\"\",\"version\":\"\","
              "\"load_permits\":1,\"checks_fencing\":false,\"kv_store\":\"\","
              "\"bytes_per_token\":4}");
    fleet_put(fleet, "profile", "ask",
              "{\"type\":\"model\",\"pool\":\"guide\",\"priority\":"
              "\"interactive\",\"deadline_ms\":%u,\"repeatable\":true,"
              "\"ttft_weight\":0.8,\"level_marker\":\"\\n---\\n\","
              "\"max_tokens\":%u,\"workspaces\":[\"*\"]}",
              options->deadline_ms, options->max_tokens);
    for (unsigned i = 0; i < 2; i++) {
        fleet_put(fleet, "profile", i == 0 ? "print" : "look",
                  "{\"type\":\"service\",\"pool\":\"desk\",\"priority\":"
                  "\"urgent\",\"deadline_ms\":%u,\"repeatable\":%s,"
                  "\"ttft_weight\":1,\"workspaces\":[\"*\"]}",
                  options->deadline_ms, i == 0 ? "false" : "true");
    }
    fleet_put(fleet, "workspace", "parish",
              "{\"share\":1,\"max_inflight\":0,\"keys\":[{\"id\":\"k1\","
              "\"sha256\":\"%s\",\"revoked\":false}]}",
              digest);
    g_free(digest);
}

static void
start_upstreams(struct fleet *fleet)
{
    const struct fleet_options *options = &fleet->options;
    const char *const engine_args[] = {"--event-loss", "0", NULL};

    for (unsigned i = 0; i < options->engines; i++) {
        fleet->engines[i] = spawn_with(fleet, "standin-engine", engine_args,
                                       options->engine_args);
        start_sidecar(fleet, i, "guide", "model", fleet->engines[i]);
    }
    if (options->service) {
        fleet->service =
            spawn_with(fleet, "standin-service", NULL, options->service_args);
    }
    for (unsigned i = 0; i < count_desks(options); i++) {
        start_sidecar(fleet, options->engines + i, "desk", "service",
                      fleet->service);
    }
}

static void
start_entries(struct fleet *fleet)
{
    const struct fleet_options *options = &fleet->options;

    for (unsigned i = 0; i < options->entries; i++) {
        unsigned region = region_of(fleet, i);
        char *file = g_strdup_printf("entry%u.json", i);
        const char *path = harness_write_file(
            fleet->harness, file,
            "{\"instance\":\"entry%u\",\"zone\":\"%c\",\"listen\":"
            "\"127.0.0.1:0\",\"admin_listen\":\"127.0.0.1:0\","
            "\"store_url\":\"http://127.0.0.1:%u\",\"seeds\":"
            "[\"127.0.0.1:%u\"]%s}",
            i, 'a' + region, harness_process_port(fleet->stores[region]),
            harness_process_port(fleet->sidecars[region]),
            options->entry_settings);

        fleet->entries[i] = harness_spawn(fleet->harness, "parsleygw-entry",
                                          "--config", path, NULL);
        g_free(file);
    }
    for (unsigned i = 0; i < options->entries; i++) {
        harness_wait_ready(harness_process_url(fleet->entries[i], "/readyz"));
        fleet_wait_configured(fleet, fleet->entries[i]);
        fleet_wait_usable(fleet->entries[i],
                          options->engines + count_desks(options));
    }
}

struct fleet *
fleet_new(const struct fleet_options *options)
{
    struct fleet *fleet = g_new0(struct fleet, 1);

    fleet->options = *options;
    g_assert_cmpuint(options->engines + count_desks(options), <=, FLEET_MAX);
    fleet->harness = harness_new();
    fleet->expected = pgw_config_set_new();
    fleet->objects = harness_spawn(fleet->harness, "standin-objects", NULL);
    for (unsigned i = 0; i < FLEET_REGIONS; i++) {
        fleet->stores[i] = options->proxy_store && i < MAX(options->regions, 1)
                               ? start_proxy(fleet, fleet->objects)
                               : fleet->objects;
    }
    put_configuration(fleet);
    start_upstreams(fleet);
    start_entries(fleet);
    return fleet;
}

/* A daemon that a sanitizer stopped, or that crashed, has said why. */
static void
assert_sound(struct harness_process *process)
{
    int status = harness_process_wait(process);

    if (status != 0 && status != -SIGKILL) {
        g_error("a daemon ended with %d: %s", status,
                harness_process_log(process));
    }
}

void
fleet_free(struct fleet *fleet)
{
    struct harness_process *daemons[2 * FLEET_MAX];
    unsigned count = 0;

    for (unsigned i = 0; i < FLEET_MAX; i++) {
        if (fleet->entries[i] != NULL) {
            daemons[count++] = fleet->entries[i];
        }
        if (fleet->sidecars[i] != NULL) {
            daemons[count++] = fleet->sidecars[i];
        }
    }
    for (unsigned i = 0; i < count; i++) {
        if (harness_process_is_running(daemons[i])) {
            harness_process_signal(daemons[i], SIGTERM);
        }
    }
    for (unsigned i = 0; i < count; i++) {
        assert_sound(daemons[i]);
    }
    harness_free(fleet->harness);
    pgw_config_set_free(fleet->expected);
    g_free(fleet);
}

long
fleet_call(struct harness_answer *out, struct harness_process *entry,
           const char *path, const struct harness_call *call)
{
    const char *headers[ARGS_MAX] = {"Authorization: Bearer " FLEET_KEY};
    struct harness_call whole = *call;
    unsigned n = 1;
    long status;
    char *url;

    for (unsigned i = 0; call->headers != NULL && call->headers[i] != NULL;
         i++) {
        headers[n++] = call->headers[i];
    }
    /* Not harness_process_url(): several threads call at once. */
    url = g_strdup_printf("http://127.0.0.1:%u%s", harness_process_port(entry),
                          path);
    whole.url = url;
    whole.headers = headers;
    status = harness_send(out, &whole);
    g_free(url);
    return status;
}

static char *
quoted(const char *text)
{
    JsonNode *node = json_node_init_string(json_node_alloc(), text);
    char *json = json_to_string(node, FALSE);

    json_node_unref(node);
    return json;
}

char *
fleet_body(const char *prompt, unsigned tokens)
{
    char *text = quoted(prompt);
    char *body = g_strdup_printf("{\"model\":\"ask\",\"prompt\":%s,"
                                 "\"max_tokens\":%u,\"stream\":true}",
                                 text, tokens);

    g_free(text);
    return body;
}

void
fleet_ask(struct harness_stream *out, struct harness_process *entry,
          const char *prompt, unsigned tokens)
{
    char *body = fleet_body(prompt, tokens);
    struct harness_answer answer;
    long status = fleet_call(&answer, entry, "/v1/completions",
                             &(struct harness_call){.body = body});

    if (status != 200) {
        g_error("status %ld: %s\n%s", status, answer.body->str,
                harness_process_log(entry));
    }
    harness_stream_parse(out, answer.body->str);
    harness_answer_dispose(&answer);
    g_free(body);
}

void
fleet_ask_as(struct fleet *fleet, struct harness_stream *out, const char *key,
             const char *prompt, unsigned tokens)
{
    char *authorization = g_strdup_printf("Authorization: Bearer %s", key);
    const char *headers[] = {authorization, NULL};
    char *body = fleet_body(prompt, tokens);
    struct harness_answer answer;

    harness_send(&answer, &(struct harness_call){
                              .url = harness_process_url(fleet->entries[0],
                                                         "/v1/completions"),
                              .headers = headers,
                              .body = body});
    if (answer.status != 200) {
        g_error("status %ld: %s", answer.status, answer.body->str);
    }
    harness_stream_parse(out, answer.body->str);
    harness_answer_dispose(&answer);
    g_free(authorization);
    g_free(body);
}

void
fleet_put_workspace(struct fleet *fleet, const char *name, const char *key)
{
    char *digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);

    fleet_put(fleet, "workspace", name,
              "{\"share\":1,\"keys\":[{\"id\":\"k1\",\"sha256\":\"%s\"}]}",
              digest);
    fleet_wait_configured(fleet, fleet->entries[0]);
    g_free(digest);
}

char *
fleet_expected(struct fleet *fleet, const char *prompt, unsigned tokens)
{
    char *text = quoted(prompt);
    char *body = g_strdup_printf(
        "{\"model\":\"rulebook-7b\",\"version\":\"w1\",\"prompt\":%s,"
        "\"max_tokens\":%u,\"stream\":true}",
        text, tokens);
    struct harness_answer answer;
    struct harness_stream stream;
    char *expected;

    if (fleet->oracle == NULL) {
        fleet->oracle = harness_spawn(fleet->harness, "standin-engine",
                                      "--time-scale", "100", NULL);
    }
    g_assert_cmpint(
        harness_post(&answer,
                     harness_process_url(fleet->oracle, "/v1/completions"),
                     body),
        ==, 200);
    harness_stream_parse(&stream, answer.body->str);
    expected = g_strdup(stream.text->str);
    harness_stream_dispose(&stream);
    harness_answer_dispose(&answer);
    g_free(body);
    g_free(text);
    return expected;
}

void
fleet_assert_whole(struct fleet *fleet, const struct harness_stream *stream,
                   const char *prompt, unsigned tokens)
{
    char *expected = fleet_expected(fleet, prompt, tokens);

    g_assert_true(stream->done);
    g_assert_cmpstr(stream->text->str, ==, expected);
    g_free(expected);
}

void
fleet_assert_refusal(const struct harness_answer *answer, long status,
                     const char *code, const char *ran)
{
    JsonNode *node;

    if (answer->status != status) {
        g_error("status %ld: %s", answer->status, answer->body->str);
    }
    node = harness_parse(answer->body->str);
    g_assert_cmpstr(harness_json_string(node, "error/code"), ==, code);
    g_assert_cmpstr(harness_json_string(node, "error/ran"), ==, ran);
    g_assert_cmpuint(strlen(harness_json_string(node, "error/message")), >, 0);
    json_node_unref(node);
}
