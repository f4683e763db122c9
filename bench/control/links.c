/* One real process before many stand-in peers, and one with a large table. */
#include "control.h"
#include "peers.h"

#define WAIT_LIMIT_S 120
#define SETTLE_US 3000000

struct waiting {
    struct harness_process *process;
    struct peers *peers;
    unsigned links;
    uint64_t version;
};

static bool
holds_version(void *data)
{
    const struct waiting *waiting = data;

    return (uint64_t)fleet_status_int(waiting->process, "config_version") >=
           waiting->version;
}

static bool
has_links(void *data)
{
    const struct waiting *waiting = data;

    return peers_greeted(waiting->peers) >= waiting->links;
}

static struct harness_process *
start_entry(struct harness *harness, struct harness_process *store,
            const char *more)
{
    const char *path = harness_write_file(
        harness, "entry.json",
        "{\"instance\":\"entry-x\",\"zone\":\"zone-0\",\"listen\":"
        "\"127.0.0.1:0\",\"admin_listen\":\"127.0.0.1:0\",\"store_url\":"
        "\"%s\",\"log_level\":\"error\"%s}",
        harness_process_url(store, ""), more);
    struct harness_process *process =
        harness_spawn(harness, "parsleygw-entry", "--config", path, NULL);

    harness_process_port(process);
    return process;
}

static struct harness_process *
start_sidecar(struct harness *harness, struct harness_process *store,
              const char *more)
{
    struct harness_process *service =
        harness_spawn(harness, "standin-service", NULL);
    struct harness_process *process;
    const char *path;

    harness_process_port(service);
    path = harness_write_file(
        harness, "sidecar.json",
        "{\"instance\":\"sidecar-x\",\"zone\":\"zone-0\",\"pool\":\"pool-0\","
        "\"listen\":\"127.0.0.1:0\",\"admin_listen\":\"127.0.0.1:0\","
        "\"upstream_url\":\"%s\",\"upstream_type\":\"service\",\"store_url\":"
        "\"%s\",\"log_level\":\"error\"%s}",
        harness_process_url(service, ""), harness_process_url(store, ""),
        more);
    process =
        harness_spawn(harness, "parsleygw-sidecar", "--config", path, NULL);
    harness_process_port(process);
    return process;
}

/* The same period again with changes; what is more falls on them. */
static void
measure_changes(JsonBuilder *out, const struct control_options *options,
                const struct waiting *waiting, const struct sample *from,
                const struct sample *to)
{
    double idle_us = (double)(to->cpu_us - from->cpu_us);
    double idle_bytes = to->received - from->received;
    struct sample end;
    double changes;

    peers_change(waiting->peers, (uint64_t)options->pause_ms * 1000);
    g_usleep((gulong)(options->seconds * 1e6));
    sample_take(&end, waiting->process);
    changes = (double)(fleet_status_int(waiting->process, "config_version") -
                       (gint64)waiting->version);
    sample_member(out, "changes_applied", changes);
    sample_member(out, "cpu_ms_a_change",
                  ((double)(end.cpu_us - to->cpu_us) - idle_us) / changes /
                      1e3);
    sample_member(out, "sent_bytes_a_change", (end.sent - to->sent) / changes);
    sample_member(out, "received_bytes_a_change",
                  (end.received - to->received - idle_bytes) / changes);
}

/* What the start costs until the whole copy is held, then an idle period. */
static void
measure(JsonBuilder *out, const struct control_options *options,
        const struct waiting *waiting)
{
    struct sample start = {.at_us = (uint64_t)g_get_monotonic_time()};
    struct sample held;
    struct sample from;
    struct sample to;

    if (!harness_wait_until(holds_version, (void *)waiting, WAIT_LIMIT_S)) {
        g_error("the configuration did not arrive");
    }
    sample_take(&held, waiting->process);
    sample_member(out, "start_to_held_s",
                  (double)(held.at_us - start.at_us) / 1e6);
    if (waiting->peers != NULL &&
        !harness_wait_until(has_links, (void *)waiting, WAIT_LIMIT_S)) {
        g_error("%u of %u links", peers_greeted(waiting->peers),
                waiting->links);
    }
    g_usleep(SETTLE_US);
    sample_take(&from, waiting->process);
    sample_member(out, "start_cpu_s", (double)from.cpu_us / 1e6);
    sample_member(out, "start_received_mb", from.received / 1e6);
    sample_member(out, "start_sent_mb", from.sent / 1e6);
    g_usleep((gulong)(options->seconds * 1e6));
    sample_take(&to, waiting->process);
    sample_write(out, &from, &to);
    if (waiting->peers != NULL && options->pause_ms > 0) {
        measure_changes(out, options, waiting, &from, &to);
    }
}

void
part_entry(JsonBuilder *out, const struct control_options *options)
{
    struct harness *harness = harness_new();
    struct harness_process *store =
        harness_spawn(harness, "standin-objects", NULL);
    struct waiting waiting = {.links = options->links};
    char *more;

    harness_process_port(store);
    waiting.peers = peers_listen(&(struct peers_options){
        .count = options->links,
        .peer_links = options->peer_links,
        .workspaces = options->workspaces,
    });
    waiting.version = peers_version(waiting.peers);
    more = g_strdup_printf(",\"seeds\":[\"127.0.0.1:%u\"]",
                           peers_port(waiting.peers, 0));
    waiting.process = start_entry(harness, store, more);
    measure(out, options, &waiting);
    harness_free(harness);
    peers_free(waiting.peers);
    g_free(more);
}

void
part_sidecar(JsonBuilder *out, const struct control_options *options)
{
    struct harness *harness = harness_new();
    struct harness_process *store =
        harness_spawn(harness, "standin-objects", NULL);
    struct waiting waiting = {.links = options->links};

    harness_process_port(store);
    waiting.process = start_sidecar(harness, store, "");
    waiting.peers = peers_connect(
        &(struct peers_options){
            .count = options->links,
            .peer_links = options->peer_links,
            .workspaces = options->workspaces,
        },
        harness_process_port(waiting.process));
    waiting.version = peers_version(waiting.peers);
    measure(out, options, &waiting);
    harness_free(harness);
    peers_free(waiting.peers);
}

static void
measure_table(JsonBuilder *out, const struct control_options *options,
              const char *role)
{
    struct harness *harness = harness_new();
    struct harness_process *store =
        harness_spawn(harness, "standin-objects", NULL);
    uint16_t *ports = g_new0(uint16_t, options->upstreams + 1);
    char *text = objects_text(options->workspaces, ports, options->upstreams);
    char *more;
    struct waiting waiting = {0};
    struct pgw_config_set *set = pgw_config_set_new();
    struct pgw_config *config;

    harness_process_port(store);
    pgw_config_set_load_text(set, text, -1, NULL);
    config = pgw_config_build(set);
    waiting.version = pgw_config_version(config);
    more = g_strdup_printf(
        ",\"bootstrap_file\":\"%s\"",
        harness_write_file(harness, "bootstrap.json", "%s", text));
    json_builder_set_member_name(out, role);
    json_builder_begin_object(out);
    waiting.process =
        (role[0] == 'e' ? start_entry : start_sidecar)(harness, store, more);
    measure(out, options, &waiting);
    json_builder_end_object(out);
    pgw_config_unref(config);
    pgw_config_set_free(set);
    g_free(more);
    g_free(text);
    g_free(ports);
    harness_free(harness);
}

void
part_table(JsonBuilder *out, const struct control_options *options)
{
    measure_table(out, options, "entry");
    measure_table(out, options, "sidecar");
}
