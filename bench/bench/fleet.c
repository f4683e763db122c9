#include "fleet.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "failure/harness_http.h"

#define READY_LIMIT_S 30
#define ENTRY_INFLIGHT 4096u
#define US_PER_TICK (1000000 / (uint64_t)sysconf(_SC_CLK_TCK))

static void put_object(struct fleet *fleet, const char *kind, const char *name,
                       const char *format, ...) G_GNUC_PRINTF(4, 5);

/* The first number with that name in a JSON text of our own programs. */
static uint64_t
find_number(const char *text, const char *name)
{
    char *quoted = g_strdup_printf("\"%s\":", name);
    const char *found = strstr(text, quoted);
    uint64_t value =
        found == NULL ? 0 : g_ascii_strtoull(found + strlen(quoted), NULL, 10);

    g_free(quoted);
    return value;
}

static void
put_object(struct fleet *fleet, const char *kind, const char *name,
           const char *format, ...)
{
    static const char *const headers[] = {"If-Match: 0", NULL};
    char *path = g_strdup_printf("/objects/%s/%s", kind, name);
    struct harness_answer answer;
    va_list args;
    char *value;
    long status;

    va_start(args, format);
    value = g_strdup_vprintf(format, args);
    va_end(args);
    status = harness_send(&answer,
                          &(struct harness_call){
                              .method = "PUT",
                              .url = harness_process_url(fleet->objects, path),
                              .headers = headers,
                              .body = value,
                          });
    if (status != 200) {
        g_error("PUT %s: %ld %s", path, status, answer.body->str);
    }
    harness_answer_dispose(&answer);
    g_free(value);
    g_free(path);
}

void
fleet_key(char *out, size_t size, unsigned workspace)
{
    snprintf(out, size, "bench-key-of-workspace-%u", workspace);
}

static void
put_profile(struct fleet *fleet, const struct call_class *class)
{
    const struct scenario *scenario = fleet->options.scenario;
    char weight[G_ASCII_DTOSTR_BUF_SIZE];

    g_ascii_dtostr(weight, sizeof(weight), class->ttft_weight);
    put_object(fleet, "profile", class->profile,
               "{\"type\":\"%s\",\"pool\":\"%s\",\"priority\":\"%s\","
               "\"deadline_ms\":%u,\"repeatable\":%s,\"ttft_weight\":%s,"
               "\"level_marker\":\"\\n---\\n\",\"max_tokens\":%u,"
               "\"workspaces\":[\"*\"]}",
               class->service ? "service" : "model",
               class->service ? scenario->service_pool : scenario->pool,
               class->priority,
               (unsigned)(class->deadline_ms / fleet->options.time_scale),
               class->service ? "false" : "true", weight,
               MAX(class->max_tokens, 1));
}

static void
put_workspaces(struct fleet *fleet)
{
    for (unsigned i = 0; i < WORKLOAD_WORKSPACES; i++) {
        char key[64], name[32];
        char *digest;

        fleet_key(key, sizeof(key), i);
        digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
        snprintf(name, sizeof(name), "workspace-%u", i);
        put_object(fleet, "workspace", name,
                   "{\"share\":%u,\"max_inflight\":0,\"keys\":[{\"id\":"
                   "\"k1\",\"sha256\":\"%s\",\"revoked\":false}]}",
                   (unsigned)(workload_share(i) * 100), digest);
        g_free(digest);
    }
}

static void
put_config(struct fleet *fleet)
{
    const struct scenario *scenario = fleet->options.scenario;

    put_object(fleet, "pool", scenario->pool,
               "{\"type\":\"model\",\"model\":\"%s\",\"version\":\"w1\","
               "\"load_permits\":3,\"checks_fencing\":true,\"kv_store\":\"\","
               "\"bytes_per_token\":%d}",
               scenario->model, WORKLOAD_TOKEN_BYTES);
    put_object(fleet, "pool", scenario->service_pool,
               "{\"type\":\"service\",\"model\":\"\",\"version\":\"\","
               "\"load_permits\":1,\"checks_fencing\":false,\"kv_store\":\"\","
               "\"bytes_per_token\":%d}",
               WORKLOAD_TOKEN_BYTES);
    for (unsigned i = 0; i < scenario->n_classes; i++) {
        put_profile(fleet, &scenario->classes[i]);
    }
    put_workspaces(fleet);
}

static struct harness_process *
spawn_engine(struct fleet *fleet, unsigned engine, uint16_t port)
{
    const struct fleet_options *options = &fleet->options;
    char port_text[16], scale[G_ASCII_DTOSTR_BUF_SIZE], seed[16];
    char decode[16], batch[16];
    const char *args[24] = {
        "--model", options->scenario->model, "--version", "w1",     "--port",
        port_text, "--time-scale",           scale,       "--seed", seed};

    snprintf(port_text, sizeof(port_text), "%u", port);
    snprintf(seed, sizeof(seed), "%u", engine + 1);
    g_ascii_dtostr(scale, sizeof(scale), options->time_scale);
    if (options->instant) {
        static const char *const instant[] = {"--prefill-rate", "1e9",
                                              "--prefill-chunk", "1000000"};

        memcpy(args + 10, instant, sizeof(instant));
        snprintf(decode, sizeof(decode), "%u", options->decode_ms);
        args[14] = "--decode-ms";
        args[15] = decode;
        snprintf(batch, sizeof(batch), "%u", MAX(options->max_running, 32));
        args[16] = "--batch";
        args[17] = batch;
    }
    return harness_spawnv(fleet->harness, "standin-engine", args);
}

static void
start_upstreams(struct fleet *fleet)
{
    const struct fleet_options *options = &fleet->options;

    for (unsigned i = 0; i < options->scenario->engines; i++) {
        fleet->engines[i] = spawn_engine(fleet, i, 0);
    }
    for (unsigned i = 0; i < options->scenario->services; i++) {
        fleet->services[i] = harness_spawn(fleet->harness, "standin-service",
                                           "--delay-ms", "5", NULL);
    }
    for (unsigned i = 0; i < options->scenario->engines; i++) {
        fleet->engine_ports[i] = harness_process_port(fleet->engines[i]);
    }
    for (unsigned i = 0; i < options->scenario->services; i++) {
        fleet->service_ports[i] = harness_process_port(fleet->services[i]);
    }
}

static struct harness_process *
spawn_sidecar(struct fleet *fleet, unsigned number, bool service)
{
    const struct scenario *scenario = fleet->options.scenario;
    char name[48];
    const char *path;

    snprintf(name, sizeof(name), "%s-%u", service ? "service" : "engine",
             number);
    path = harness_write_file(
        fleet->harness, name,
        "{\"instance\":\"%s\",\"zone\":\"%s\",\"pool\":\"%s\","
        "\"listen\":\"127.0.0.1:0\",\"admin_listen\":\"127.0.0.1:0\","
        "\"upstream_url\":\"http://127.0.0.1:%u\",\"upstream_type\":\"%s\","
        "\"store_url\":\"%s\",\"max_running\":%u,"
        "\"log_level\":\"warning\"}",
        name, scenario->zones[number % 3],
        service ? scenario->service_pool : scenario->pool,
        service ? fleet->service_ports[number] : fleet->engine_ports[number],
        service ? "service" : "model", harness_process_url(fleet->objects, ""),
        MAX(fleet->options.max_running, 32));
    return harness_spawn(fleet->harness, "parsleygw-sidecar", "--config", path,
                         NULL);
}

static void
start_sidecars(struct fleet *fleet)
{
    const struct scenario *scenario = fleet->options.scenario;
    unsigned engines = fleet->options.scenario->engines;
    unsigned total = engines + scenario->services;

    for (unsigned i = 0; i < total; i++) {
        bool service = i >= engines;

        fleet->sidecars[i] =
            spawn_sidecar(fleet, service ? i - engines : i, service);
    }
    for (unsigned i = 0; i < total; i++) {
        bool service = i >= engines;
        unsigned number = service ? i - engines : i;
        char name[48];

        fleet->sidecar_ports[i] = harness_process_port(fleet->sidecars[i]);
        snprintf(name, sizeof(name), "%s-%u", service ? "service" : "engine",
                 number);
        put_object(fleet, "upstream", name,
                   "{\"pool\":\"%s\",\"zone\":\"%s\","
                   "\"address\":\"127.0.0.1:%u\",\"state\":\"joined\"}",
                   service ? scenario->service_pool : scenario->pool,
                   scenario->zones[number % 3], fleet->sidecar_ports[i]);
    }
}

static struct harness_process *
spawn_entry(struct fleet *fleet, unsigned number)
{
    const struct fleet_options *options = &fleet->options;
    char name[48];
    const char *path;

    snprintf(name, sizeof(name), "entry-%u", number);
    path = harness_write_file(
        fleet->harness, name,
        "{\"instance\":\"%s\",\"zone\":\"%s\",\"listen\":\"127.0.0.1:%u\","
        "\"admin_listen\":\"127.0.0.1:0\",\"store_url\":\"%s\","
        "\"seeds\":[\"127.0.0.1:%u\",\"127.0.0.1:%u\"],\"policy\":\"%s\","
        "\"max_inflight\":%u,\"log_level\":\"error\"}",
        name, options->scenario->zones[number % 3], fleet->entry_ports[number],
        harness_process_url(fleet->objects, ""), fleet->sidecar_ports[0],
        fleet->sidecar_ports[options->scenario->engines - 1], options->policy,
        ENTRY_INFLIGHT);
    return harness_spawn(fleet->harness, "parsleygw-entry", "--config", path,
                         NULL);
}

char *
fleet_admin_url(const struct harness_process *process, const char *path)
{
    char *output = harness_process_output(process);
    const char *line = strstr(output, "admin_port=");
    unsigned port = line == NULL ? 0
                                 : (unsigned)g_ascii_strtoull(
                                       line + strlen("admin_port="), NULL, 10);

    g_free(output);
    return g_strdup_printf("http://127.0.0.1:%u%s", port, path);
}

uint64_t
fleet_entry_status(struct fleet *fleet, unsigned entry, const char *name)
{
    char *url = fleet_admin_url(fleet->entries[entry], "/status");
    struct harness_answer answer;
    uint64_t value = 0;

    if (harness_get(&answer, url) == 200) {
        value = find_number(answer.body->str, name);
    }
    harness_answer_dispose(&answer);
    g_free(url);
    return value;
}

struct readiness {
    struct fleet *fleet;
    unsigned entry;
};

/* Ready to be measured: connected to all sidecars, not only to some. */
static bool
reaches_all(void *data)
{
    struct readiness *readiness = data;
    const struct scenario *scenario = readiness->fleet->options.scenario;
    struct harness_answer answer;
    bool ready =
        harness_get(&answer, harness_process_url(
                                 readiness->fleet->entries[readiness->entry],
                                 "/readyz")) == 200;

    harness_answer_dispose(&answer);
    return ready && fleet_entry_status(readiness->fleet, readiness->entry,
                                       "usable_upstreams") >=
                        scenario->engines + scenario->services;
}

static void
start_entries(struct fleet *fleet)
{
    for (unsigned i = 0; i < fleet->options.entries; i++) {
        fleet->entries[i] = spawn_entry(fleet, i);
    }
    for (unsigned i = 0; i < fleet->options.entries; i++) {
        fleet->entry_ports[i] = harness_process_port(fleet->entries[i]);
    }
}

static void
wait_for_entries(struct fleet *fleet)
{
    for (unsigned i = 0; i < fleet->options.entries; i++) {
        struct readiness readiness = {.fleet = fleet, .entry = i};

        if (!harness_wait_until(reaches_all, &readiness, READY_LIMIT_S)) {
            g_error("entry %u does not reach all sidecars", i);
        }
    }
}

struct fleet *
fleet_start(const struct fleet_options *options)
{
    struct fleet *fleet = g_new0(struct fleet, 1);

    fleet->options = *options;
    if (fleet->options.entries == 0) {
        fleet->options.entries = FLEET_ENTRIES;
    }
    fleet->harness = harness_new();
    fleet->objects = harness_spawn(fleet->harness, "standin-objects", NULL);
    harness_process_port(fleet->objects);
    put_config(fleet);
    start_upstreams(fleet);
    start_sidecars(fleet);
    start_entries(fleet);
    wait_for_entries(fleet);
    return fleet;
}

void
fleet_stop(struct fleet *fleet)
{
    harness_free(fleet->harness);
    g_free(fleet);
}

static uint64_t
engine_prefilled(struct fleet *fleet, unsigned engine)
{
    struct harness_answer answer;
    uint64_t tokens = 0;

    if (harness_get(&answer, harness_process_url(fleet->engines[engine],
                                                 "/_stats")) == 200) {
        tokens = find_number(answer.body->str, "prefilled_tokens");
    }
    harness_answer_dispose(&answer);
    return tokens;
}

uint64_t
fleet_prefilled(struct fleet *fleet)
{
    uint64_t tokens = fleet->prefilled_before_crash;

    for (unsigned i = 0; i < fleet->options.scenario->engines; i++) {
        tokens += engine_prefilled(fleet, i);
    }
    return tokens;
}

void
fleet_kill_engine(struct fleet *fleet, unsigned engine)
{
    fleet->prefilled_before_crash += engine_prefilled(fleet, engine);
    harness_process_stop(fleet->engines[engine], SIGKILL);
}

void
fleet_start_engine(struct fleet *fleet, unsigned engine)
{
    fleet->engines[engine] =
        spawn_engine(fleet, engine, fleet->engine_ports[engine]);
    harness_process_port(fleet->engines[engine]);
}

void
fleet_herd(struct fleet *fleet)
{
    for (unsigned i = 0; i < fleet->options.entries; i++) {
        harness_process_signal(fleet->entries[i], SIGKILL);
    }
    for (unsigned i = 0; i < fleet->options.entries; i++) {
        harness_process_wait(fleet->entries[i]);
    }
    start_entries(fleet);
}

void
fleet_sample(struct fleet *fleet, struct fleet_sample *sum)
{
    for (unsigned i = 0; i < fleet->options.scenario->engines; i++) {
        char url[64];
        struct harness_answer answer;

        snprintf(url, sizeof(url), "http://127.0.0.1:%u/load",
                 fleet->engine_ports[i]);
        if (harness_get(&answer, url) == 200) {
            uint64_t running = find_number(answer.body->str, "running");

            sum->asked++;
            sum->busy += running > 0;
            sum->running += running;
            sum->waiting += find_number(answer.body->str, "waiting");
        }
        harness_answer_dispose(&answer);
    }
}

GHashTable *
fleet_counts(struct fleet *fleet)
{
    GHashTable *counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

    for (unsigned i = 0; i < fleet->options.scenario->services; i++) {
        JsonNode *root = harness_get_json(
            harness_process_url(fleet->services[i], "/_counts"));
        JsonObjectIter iter;
        const char *key;
        JsonNode *node;

        json_object_iter_init(&iter, json_node_get_object(root));
        while (json_object_iter_next(&iter, &key, &node)) {
            guint count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, key)) +
                          (guint)json_node_get_int(node);

            g_hash_table_replace(counts, g_strdup(key),
                                 GUINT_TO_POINTER(count));
        }
        json_node_unref(root);
    }
    return counts;
}

static char *
read_proc(const struct harness_process *process, const char *name)
{
    char path[64];
    char *text = NULL;

    snprintf(path, sizeof(path), "/proc/%d/%s",
             (int)harness_process_pid(process), name);
    return g_file_get_contents(path, &text, NULL, NULL) ? text : g_strdup("");
}

uint64_t
fleet_cpu_us(const struct harness_process *process)
{
    char *text = read_proc(process, "stat");
    const char *after = strrchr(text, ')');
    unsigned long long user = 0, system = 0;

    /* The name in brackets may hold anything; times are the 14th and 15th
     * field. */
    if (after == NULL ||
        sscanf(after + 1,
               " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %llu %llu", &user,
               &system) != 2) {
        user = system = 0;
    }
    g_free(text);
    return (user + system) * US_PER_TICK;
}

uint64_t
fleet_rss_kb(const struct harness_process *process)
{
    char *text = read_proc(process, "status");
    const char *line = strstr(text, "VmRSS:");
    uint64_t kb =
        line == NULL ? 0 : g_ascii_strtoull(line + strlen("VmRSS:"), NULL, 10);

    g_free(text);
    return kb;
}
