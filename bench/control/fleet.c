/* A small fleet of real processes: idle cost and the way of a change. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "control.h"
#include "parsleygw/watch.h"
#include "util/hlc.h"

#define PROCESSES_MAX 400
#define ZONES 3
#define READY_LIMIT_S 90
#define SETTLE_US 5000000
#define ARRIVAL_LIMIT_S 60

struct fleet_run {
    const struct control_options *options;
    struct harness *harness;
    struct harness_process *store;
    struct harness_process *processes[PROCESSES_MAX]; /* sidecars first */
    bool stopped[PROCESSES_MAX];
    unsigned count;
    uint64_t version; /* of the last write */
    unsigned serial;
};

static void
sidecar_name(char out[32], unsigned number)
{
    objects_upstream_name(out, number);
}

static void
start_sidecars(struct fleet_run *run)
{
    struct harness_process *service =
        harness_spawn(run->harness, "standin-service", NULL);

    harness_process_port(service);
    for (unsigned i = 0; i < run->options->sidecars; i++) {
        char name[32];
        const char *path;

        sidecar_name(name, i);
        path = harness_write_file(
            run->harness, name,
            "{\"instance\":\"%s\",\"zone\":\"zone-%u\",\"pool\":\"pool-0\","
            "\"listen\":\"127.0.0.1:0\",\"admin_listen\":\"127.0.0.1:0\","
            "\"upstream_url\":\"%s\",\"upstream_type\":\"service\","
            "\"store_url\":\"%s\",\"log_level\":\"error\"}",
            name, i % ZONES, harness_process_url(service, ""),
            harness_process_url(run->store, ""));
        run->processes[run->count++] = harness_spawn(
            run->harness, "parsleygw-sidecar", "--config", path, NULL);
    }
    for (unsigned i = 0; i < run->options->sidecars; i++) {
        char name[32];
        char *value = g_strdup_printf(
            "{\"pool\":\"pool-0\",\"zone\":\"zone-%u\",\"address\":"
            "\"127.0.0.1:%u\",\"state\":\"joined\"}",
            i % ZONES, harness_process_port(run->processes[i]));

        sidecar_name(name, i);
        run->version = objects_put(run->store, "upstream", name, value);
        g_free(value);
    }
}

static void
start_entries(struct fleet_run *run)
{
    for (unsigned i = 0; i < run->options->entries; i++) {
        char name[32];
        const char *path;

        snprintf(name, sizeof(name), "entry-%04u", i);
        path = harness_write_file(
            run->harness, name,
            "{\"instance\":\"%s\",\"zone\":\"zone-%u\",\"listen\":"
            "\"127.0.0.1:0\",\"admin_listen\":\"127.0.0.1:0\",\"store_url\":"
            "\"%s\",\"seeds\":[\"127.0.0.1:%u\"],\"log_level\":\"error\"}",
            name, i % ZONES, harness_process_url(run->store, ""),
            harness_process_port(run->processes[i % run->options->sidecars]));
        run->processes[run->count++] = harness_spawn(
            run->harness, "parsleygw-entry", "--config", path, NULL);
    }
    for (unsigned i = run->options->sidecars; i < run->count; i++) {
        harness_process_port(run->processes[i]);
    }
}

static bool
all_hold(void *data)
{
    const struct fleet_run *run = data;

    for (unsigned i = 0; i < run->count; i++) {
        if (!run->stopped[i] &&
            (uint64_t)fleet_status_int(run->processes[i], "config_version") <
                run->version) {
            return false;
        }
    }
    return true;
}

static void
wait_all(struct fleet_run *run, int limit_s)
{
    if (!harness_wait_until(all_hold, run, limit_s)) {
        g_error("not every process holds version %" G_GUINT64_FORMAT,
                run->version);
    }
}

static double
store_calls(struct fleet_run *run)
{
    JsonNode *root =
        harness_get_json(harness_process_url(run->store, "/_stats"));
    gint64 calls = harness_json_int(root, "reads") +
                   harness_json_int(root, "writes") +
                   harness_json_int(root, "watches");

    json_node_unref(root);
    return (double)calls;
}

static void
write_role(JsonBuilder *out, const char *role, const struct sample *from,
           const struct sample *to, unsigned n)
{
    double cpu[PROCESSES_MAX], sent[PROCESSES_MAX], received[PROCESSES_MAX];
    double resident[PROCESSES_MAX];
    double peak = 0;

    for (unsigned i = 0; i < n; i++) {
        double seconds = (double)(to[i].at_us - from[i].at_us) / 1e6;

        cpu[i] = (double)(to[i].cpu_us - from[i].cpu_us) / seconds / 1e4;
        sent[i] = (to[i].sent - from[i].sent) / seconds;
        received[i] = (to[i].received - from[i].received) / seconds;
        resident[i] = (double)to[i].resident_kb / 1024;
        peak = MAX(peak, (double)to[i].peak_kb / 1024);
    }
    json_builder_set_member_name(out, role);
    json_builder_begin_object(out);
    sample_member(out, "processes", n);
    sample_member(out, "core_percent", sample_median(cpu, n));
    sample_member(out, "core_percent_most", n == 0 ? 0 : cpu[n - 1]);
    sample_member(out, "sent_bytes_per_s", sample_median(sent, n));
    sample_member(out, "received_bytes_per_s", sample_median(received, n));
    sample_member(out, "resident_mb", sample_median(resident, n));
    sample_member(out, "peak_mb", peak);
    json_builder_end_object(out);
}

static void
sample_all(struct fleet_run *run, struct sample *out)
{
    for (unsigned i = 0; i < run->count; i++) {
        if (!run->stopped[i]) {
            sample_take(&out[i], run->processes[i]);
        }
    }
}

/* @store_up: its calls can be counted */
static void
idle(JsonBuilder *out, struct fleet_run *run, const char *name, bool store_up)
{
    static struct sample from[PROCESSES_MAX], to[PROCESSES_MAX];
    unsigned sidecars = run->options->sidecars;
    double calls = store_up ? store_calls(run) : 0;

    sample_all(run, from);
    g_usleep((gulong)(run->options->seconds * 1e6));
    calls = store_up ? store_calls(run) - calls : 0;
    sample_all(run, to);
    json_builder_set_member_name(out, name);
    json_builder_begin_object(out);
    if (store_up) {
        sample_member(out, "store_calls_per_s", calls / run->options->seconds);
    }
    write_role(out, "sidecar", from, to, sidecars);
    write_role(out, "entry", from + sidecars, to + sidecars,
               run->count - sidecars);
    json_builder_end_object(out);
}

/* When a process first applied @version or more, by its own time line; both
 * stamps come from the same machine's wall clock. 0: not yet. */
static uint64_t
applied_us(struct harness_process *process, uint64_t version, uint64_t since)
{
    char path[64];
    JsonNode *root;
    JsonArray *events;
    uint64_t at = 0;

    snprintf(path, sizeof(path), "/timeline?since=%016" G_GINT64_MODIFIER "x",
             pgw_hlc_from_us(since));
    root = harness_get_json(fleet_admin_url(process, path));
    events = json_node_get_array(harness_json(root, "events"));
    for (guint i = 0; i < json_array_get_length(events) && at == 0; i++) {
        JsonNode *event = json_array_get_element(events, i);

        if (strcmp(harness_json_string(event, "kind"), "config_apply") == 0 &&
            g_ascii_strtoull(harness_json_string(event, "a"), NULL, 16) >=
                version) {
            at = g_ascii_strtoull(harness_json_string(event, "hlc"), NULL,
                                  16) >>
                 PGW_HLC_LOGICAL_BITS;
        }
    }
    json_node_unref(root);
    return at;
}

/* Milliseconds from before a write until each process had it in force. */
static void
one_change(struct fleet_run *run, GArray *all, GArray *slowest)
{
    uint64_t began = pgw_hlc_wall_us();
    char *value = objects_workspace(100000 + run->serial, 1);
    double worst = 0;
    char name[32];

    snprintf(name, sizeof(name), "change-%06u", run->serial++);
    run->version = objects_put(run->store, "workspace", name, value);
    g_free(value);
    g_usleep(run->options->pause_ms * 1000);
    wait_all(run, ARRIVAL_LIMIT_S);
    for (unsigned i = 0; i < run->count; i++) {
        uint64_t at;
        double ms;

        if (run->stopped[i]) {
            continue;
        }
        at = applied_us(run->processes[i], run->version, began);
        ms = at < began ? 0 : (double)(at - began) / 1e3;
        worst = MAX(worst, ms);
        g_array_append_val(all, ms);
    }
    g_array_append_val(slowest, worst);
}

static void
spread(JsonBuilder *out, struct fleet_run *run, const char *name)
{
    GArray *all = g_array_new(FALSE, FALSE, sizeof(double));
    GArray *slowest = g_array_new(FALSE, FALSE, sizeof(double));

    for (unsigned i = 0; i < run->options->changes; i++) {
        one_change(run, all, slowest);
    }
    json_builder_set_member_name(out, name);
    json_builder_begin_object(out);
    sample_member(out, "changes", run->options->changes);
    sample_member(out, "median_ms",
                  sample_median((double *)all->data, all->len));
    sample_member(out, "slowest_process_median_ms",
                  sample_median((double *)slowest->data, slowest->len));
    sample_member(out, "slowest_process_most_ms",
                  slowest->len == 0
                      ? 0
                      : g_array_index(slowest, double, slowest->len - 1));
    json_builder_end_object(out);
    g_array_unref(all);
    g_array_unref(slowest);
}

/* A sidecar that the rule chose as watcher of the first zone. */
static unsigned
find_watcher(struct fleet_run *run)
{
    char names[PROCESSES_MAX][32];
    const char *peers[PROCESSES_MAX];
    size_t n = 0;

    for (unsigned i = 0; i < run->options->sidecars; i += ZONES) {
        sidecar_name(names[n], i);
        peers[n] = names[n];
        n++;
    }
    for (unsigned i = 0; i < n; i++) {
        if (pgw_watch_is_selected(names[i], peers, n, "zone-0",
                                  PGW_WATCHERS_PER_ZONE)) {
            return i * ZONES;
        }
    }
    return 0;
}

static void
signal_one(struct fleet_run *run, unsigned index, bool stop)
{
    harness_process_signal(run->processes[index], stop ? SIGSTOP : SIGCONT);
    run->stopped[index] = stop;
}

static void
write_faults(JsonBuilder *out, struct fleet_run *run)
{
    unsigned watcher = find_watcher(run);

    signal_one(run, watcher, true);
    spread(out, run, "spread_one_watcher_stopped");
    signal_one(run, watcher, false);
    wait_all(run, READY_LIMIT_S);
    harness_process_signal(run->store, SIGSTOP);
    idle(out, run, "store_stopped", false);
    harness_process_signal(run->store, SIGCONT);
    spread(out, run, "spread_after_store");
}

static void
fill_store(struct fleet_run *run)
{
    objects_put(run->store, "pool", "pool-0",
                "{\"type\":\"service\",\"model\":\"\",\"version\":\"\","
                "\"load_permits\":1,\"checks_fencing\":false,\"kv_store\":"
                "\"\",\"bytes_per_token\":4}");
    for (unsigned i = 0; i < run->options->workspaces; i++) {
        char *value = objects_workspace(i, 1);
        char name[32];

        snprintf(name, sizeof(name), "workspace-%05u", i);
        run->version = objects_put(run->store, "workspace", name, value);
        g_free(value);
    }
}

void
part_fleet(JsonBuilder *out, const struct control_options *options)
{
    struct fleet_run run = {.options = options, .harness = harness_new()};

    if (options->entries + options->sidecars > PROCESSES_MAX ||
        options->sidecars == 0) {
        g_error("give 1 to %u processes with at least one sidecar",
                PROCESSES_MAX);
    }
    run.store = harness_spawn(run.harness, "standin-objects", "--write-rate",
                              "1000000", NULL);
    harness_process_port(run.store);
    fill_store(&run);
    start_sidecars(&run);
    start_entries(&run);
    wait_all(&run, READY_LIMIT_S);
    g_usleep(SETTLE_US);
    idle(out, &run, "idle", true);
    if (options->changes > 0) {
        spread(out, &run, "spread");
        write_faults(out, &run);
    }
    harness_free(run.harness);
}
