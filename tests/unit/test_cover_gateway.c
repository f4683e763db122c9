#include "gateway/request/exchange.h"
#include "gateway/upstream/unresponsive.h"
#include "scene_gateway.h"
#include "util/metric.h"
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MODEL_FIELDS                                                          \
    "Model: m\r\nToken-Count: 3000,200\r\n"                                   \
    "Prompt-Prefix: aa:2000,bb:1000\r\nConnection: close\r\n"

static struct pgw_route_table *table;

static void
apply_table(struct scene *scene)
{
    g_assert_true(pgw_gateway_set_routes(scene->gateway, table));
    pgw_route_table_unref(table);
}

static void
set_versions(struct scene *scene)
{
    pgw_list_foreach (
        link, pgw_upstream_table_all(pgw_gateway_upstreams(scene->gateway))) {
        pgw_upstream_set_version(
            pgw_container_of(link, struct pgw_upstream, in_table), "m", 7);
    }
}

/* Several engines of the service were lost lately. */
static void
lose_engines(struct scene *scene)
{
    for (unsigned i = 0; i < 8; i++) {
        struct pgw_upstream lost = {
            .id_hash = i, .service = (char *)"service", .zone = (char *)"z"};

        pgw_run_cover_add_loss(scene->gateway, &lost);
    }
}

/* A service whose engines take copies or not, and one attempt a request. */
static struct scene *
covered_scene(unsigned upstreams, bool backups)
{
    struct scene *scene = scene_new(upstreams);
    const char *keys[] = {SCENE_KEY, NULL};
    struct pgw_workspace workspace = {.name = g_strdup("parish")};
    struct pgw_service service = {
        .name = g_strdup("service"), .is_engine = true, .backups = backups};
    struct pgw_route route = {
        .name = g_strdup("brook"),
        .host = g_strdup("h.example"),
        .path_prefix = g_strdup("/brook/"),
        .targets = g_new0(struct pgw_route_target, 1),
        .target_count = 1,
        .stream = true,
        .max_attempts = 1,
        .timeout_ms = SCENE_TIMEOUT_S * 1000,
    };

    route.targets[0].service = g_strdup("service");
    route.targets[0].weight = 1;
    table = pgw_route_table_new(1);
    pgw_route_table_add_route(table, &route);
    pgw_route_table_add_service(table, &service);
    pgw_route_table_add_workspace(table, &workspace, keys);
    scene_run(scene, apply_table);
    scene_run(scene, set_versions);
    scene_run(scene, lose_engines);
    return scene;
}

static void
assert_has(const char *text, const char *part)
{
    if (strstr(text, part) == NULL) {
        g_error("'%s' is missing in: %s", part, text);
    }
}

static void
assert_lacks(const char *text, const char *part)
{
    if (strstr(text, part) != NULL) {
        g_error("'%s' should not be in: %s", part, text);
    }
}

/**
 * struct run - a covered run
 * @engine: its engine, and the connection there
 * @holder: where its copy is
 */
struct run {
    struct scene *scene;
    int caller;
    unsigned engine;
    int fd;
    unsigned holder;
    char holder_address[32];
};

static unsigned
upstream_at(const struct scene *scene, const char *address)
{
    for (unsigned i = 0; i < scene->upstreams; i++) {
        struct sockaddr_in name;
        socklen_t size = sizeof(name);
        char text[32];

        getsockname(scene->listeners[i], (struct sockaddr *)&name, &size);
        g_snprintf(text, sizeof(text), "127.0.0.1:%u", ntohs(name.sin_port));
        if (strcmp(text, address) == 0) {
            return i;
        }
    }
    g_error("no upstream has the address %s", address);
}

/* Sends a request and begins its answer with events 1 and 2. */
static struct run
begin_run(struct scene *scene, bool with_events)
{
    struct run run = {.scene = scene};
    char *request;
    char *field;

    run.caller = scene_call_with_fields(scene, "/brook/", "a", MODEL_FIELDS);
    run.fd = scene_accept_any(scene, &run.engine);
    request = scene_read_request(run.fd);
    field = strstr(request, "\r\nKv-Backup: ");
    g_assert_nonnull(field);
    g_strlcpy(run.holder_address, field + strlen("\r\nKv-Backup: "),
              sizeof(run.holder_address));
    *strchr(run.holder_address, '\r') = '\0';
    run.holder = upstream_at(scene, run.holder_address);
    g_assert_cmpuint(run.holder, !=, run.engine);
    assert_lacks(request, "Kv-From");
    g_free(request);
    if (with_events) {
        scene_begin_stream(run.fd, "a");
        scene_chunk(run.fd, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
        g_free(scene_read_until(run.caller, "id: 2\ndata: x\n\n"));
    }
    return run;
}

/* Accepts the run at its holder; the connection there. */
static int
accept_continued(const struct run *run, const char *last_event)
{
    int fd = scene_accept(run->scene, run->holder);
    char *request = scene_read_request(fd);
    char *from = g_strdup_printf("\r\nKv-From: %s/a\r\n", run->holder_address);

    assert_has(request, from);
    assert_has(request, "\r\nAttempt-Id: a\r\n");
    assert_has(request, "\r\nExpect-Version: 7\r\n");
    assert_has(request, "\r\nCache-Salt: ");
    assert_lacks(request, "Kv-Backup");
    assert_has(request, last_event);
    g_free(from);
    g_free(request);
    return fd;
}

static void
end_run(struct run *run, int holder_fd)
{
    for (unsigned i = 0; i < run->scene->upstreams; i++) {
        if (!run->scene->stopped[i]) {
            g_assert_true(scene_has_no_connection(run->scene, i));
        }
    }
    if (holder_fd >= 0) {
        close(holder_fd);
    }
    close(run->caller);
    scene_free(run->scene);
}

/* The caller's stream broke off, without a second head or a proper end. */
static void
expect_cut(const struct run *run)
{
    char *answer = scene_read_all(run->caller);

    assert_lacks(answer, "\r\n0\r\n\r\n");
    assert_lacks(answer, "HTTP/1.1");
    g_free(answer);
}

/* Guards against a stream that ends with its engine, and against lost, doubled
 * or joined events: the first engine dies within an event. */
static void
test_goes_on(void)
{
    struct run run = begin_run(covered_scene(3, true), true);
    int holder;
    char *answer;

    scene_chunk(run.fd, "id: 3\nda");
    scene_reset(run.fd);
    holder = accept_continued(&run, "\r\nLast-Event-Id: 2\r\n");
    scene_begin_stream(holder, "a");
    scene_chunk(holder, "id: 3\ndata: y\n\n");
    scene_send(holder, "0\r\n\r\n");
    answer = scene_read_until(run.caller, "\r\n0\r\n\r\n");
    assert_has(answer, "id: 3\ndata: y\n\n");
    assert_lacks(answer, "data: x");
    assert_lacks(answer, "HTTP/1.1");
    g_free(answer);
    end_run(&run, holder);
}

/* Guards against a run that begins again, and against the promise that it has
 * not run, when its engine dies before the first event: its holder has nothing
 * to go on from. */
static void
test_lost_before_first_event(void)
{
    struct run run = begin_run(covered_scene(3, true), false);
    char *answer;

    scene_reset(run.fd);
    answer = scene_read_until(run.caller, "}}");
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 502 "));
    assert_has(answer, "\"ran\":\"unknown\"");
    g_free(answer);
    end_run(&run, -1);
}

/* Guards against a run that begins again: the holder has no copy. */
static void
test_no_copy(void)
{
    struct run run = begin_run(covered_scene(3, true), true);
    int holder;

    scene_reset(run.fd);
    holder = accept_continued(&run, "\r\nLast-Event-Id: 2\r\n");
    scene_refuse(holder);
    expect_cut(&run);
    end_run(&run, holder);
}

/* Guards against a gap: the holder's first event is not the next one. */
static void
test_holder_skips(void)
{
    struct run run = begin_run(covered_scene(3, true), true);
    int holder;
    char *answer;

    scene_reset(run.fd);
    holder = accept_continued(&run, "\r\nLast-Event-Id: 2\r\n");
    scene_begin_stream(holder, "a");
    scene_chunk(holder, "id: 4\ndata: y\n\n");
    answer = scene_read_all(run.caller);
    assert_lacks(answer, "id: 4");
    assert_lacks(answer, "\r\n0\r\n\r\n");
    g_free(answer);
    end_run(&run, holder);
}

/* Guards against a third engine: the holder dies too. */
static void
test_holder_dies(void)
{
    struct run run = begin_run(covered_scene(3, true), true);
    int holder;

    scene_reset(run.fd);
    holder = accept_continued(&run, "\r\nLast-Event-Id: 2\r\n");
    scene_begin_stream(holder, "a");
    scene_chunk(holder, "id: 3\ndata: y\n\n");
    g_free(scene_read_until(run.caller, "id: 3\ndata: y\n\n"));
    scene_reset(holder);
    expect_cut(&run);
    end_run(&run, -1);
}

/* Guards against another process at the holder's address: it states its own
 * incarnation and does not run the request. */
static void
test_holder_restarted(void)
{
    struct run run = begin_run(covered_scene(3, true), true);
    int holder;

    scene_reset(run.fd);
    holder = accept_continued(&run, "\r\nLast-Event-Id: 2\r\n");
    scene_send(holder, "HTTP/1.1 421 X\r\nInstance-Id: other\r\n"
                       "Content-Length: 0\r\n\r\n");
    expect_cut(&run);
    end_run(&run, holder);
}

/* Guards against a request to a holder whose copy ended with its process: the
 * new one is listed before the engine dies. */
static void
test_holder_replaced(void)
{
    struct run run = begin_run(covered_scene(3, true), true);

    scene_restart_upstreams(run.scene);
    scene_reset(run.fd);
    expect_cut(&run);
    end_run(&run, -1);
}

/* Guards against a caller that waits for an entry which cannot reach the
 * holder. */
static void
test_holder_is_cut_off(void)
{
    struct run run = begin_run(covered_scene(3, true), true);

    scene_stop_listening(run.scene, run.holder);
    scene_reset(run.fd);
    expect_cut(&run);
    end_run(&run, -1);
}

static void
set_unresponsive(struct scene *scene)
{
    pgw_list_foreach (
        link, pgw_upstream_table_all(pgw_gateway_upstreams(scene->gateway))) {
        struct pgw_upstream *upstream =
            pgw_container_of(link, struct pgw_upstream, in_table);

        if (upstream->inflight > 0) {
            pgw_upstream_mark_seen(upstream, pgw_now_us() - 1500000);
        }
    }
}

/* Guards against two engines at work and against events of the first one after
 * the switch: its connection is closed before the holder is asked. */
static void
test_silent_engine(void)
{
    struct run run = begin_run(covered_scene(3, true), true);
    int holder;
    char *answer;
    char byte;

    scene_run(run.scene, set_unresponsive);
    holder = accept_continued(&run, "\r\nLast-Event-Id: 2\r\n");
    send(run.fd, "f\r\nid: 3\ndata: x\n\n\r\n", 20, MSG_NOSIGNAL);
    g_assert_cmpint(recv(run.fd, &byte, 1, 0), <=, 0);
    scene_begin_stream(holder, "a");
    scene_chunk(holder, "id: 3\ndata: y\n\n");
    scene_send(holder, "0\r\n\r\n");
    answer = scene_read_until(run.caller, "\r\n0\r\n\r\n");
    assert_has(answer, "id: 3\ndata: y\n\n");
    assert_lacks(answer, "data: x");
    g_free(answer);
    close(run.fd);
    end_run(&run, holder);
}

/* All engines crash. The run that was taken from the first one counts. */
static void
expect_counted(struct scene *scene)
{
    struct pgw_crash_quarantine *quarantine = scene->gateway->crash_quarantine;
    unsigned counted = 0;
    GArray *runs;

    pgw_list_foreach (
        link, pgw_upstream_table_all(pgw_gateway_upstreams(scene->gateway))) {
        pgw_crash_quarantine_add_crash(
            quarantine,
            pgw_container_of(link, struct pgw_upstream, in_table)->id, 0,
            pgw_now_us());
    }
    runs = pgw_crash_quarantine_list(quarantine, pgw_now_us());
    for (guint i = 0; i < runs->len; i++) {
        const struct pgw_crashed_run *run =
            &g_array_index(runs, struct pgw_crashed_run, i);

        counted += run->kind == PGW_CRASHED_RUN_CRASHED && !run->is_part &&
                   run->abandoned;
    }
    g_array_unref(runs);
    g_assert_cmpuint(counted, ==, 1);
}

/* Guards against a request that crashes an engine just after its run went on
 * elsewhere, and that nothing is held against. */
static void
test_silent_engine_crashes(void)
{
    struct run run = begin_run(covered_scene(3, true), true);
    int holder;

    scene_run(run.scene, set_unresponsive);
    holder = accept_continued(&run, "\r\nLast-Event-Id: 2\r\n");
    scene_run(run.scene, expect_counted);
    close(run.fd);
    end_run(&run, holder);
}

/* Guards against an engine that works on while the run goes on elsewhere: it
 * sent bytes that are no answer, so it is alive. */
static void
test_garbled_answer(void)
{
    struct run run = begin_run(covered_scene(3, true), true);

    scene_send(run.fd, "no chunk\r\n");
    expect_cut(&run);
    close(run.fd);
    end_run(&run, -1);
}

/* Guards against an engine that is alive while the run goes on elsewhere: it
 * ended its answer properly, but within an event. */
static void
test_framed_cut(void)
{
    struct run run = begin_run(covered_scene(3, true), true);

    scene_chunk(run.fd, "id: 3\nda");
    scene_send(run.fd, "0\r\n\r\n");
    expect_cut(&run);
    close(run.fd);
    end_run(&run, -1);
}

/* No other engine can take a run that began. */
static void
set_other_weights_elsewhere(struct scene *scene)
{
    pgw_list_foreach (
        link, pgw_upstream_table_all(pgw_gateway_upstreams(scene->gateway))) {
        struct pgw_upstream *upstream =
            pgw_container_of(link, struct pgw_upstream, in_table);

        if (upstream->inflight == 0) {
            pgw_upstream_set_version(upstream, "m", 8);
        }
    }
}

static uint64_t
not_continued_total(void)
{
    static const char name[] = "\npgw_gateway_runs_not_continued_total ";
    char *text = pgw_metric_render();
    const char *line = strstr(text, name);
    uint64_t total;

    g_assert_nonnull(line);
    total = g_ascii_strtoull(line + strlen(name), NULL, 10);
    g_free(text);
    return total;
}

/* The entry is stopped within a turn of its loop: what it would hear of its
 * engines is unread when it looks at their silence. */
static void
pause_entry(struct scene *scene)
{
    pgw_list_foreach (
        link, pgw_upstream_table_all(pgw_gateway_upstreams(scene->gateway))) {
        pgw_upstream_mark_seen(
            pgw_container_of(link, struct pgw_upstream, in_table),
            pgw_now_us());
    }
    pgw_unresponsive_check(scene->gateway);
    scene->gateway->losses = (struct pgw_engine_losses){0};
    g_usleep(1200 * 1000);
    pgw_unresponsive_check(scene->gateway);
    g_assert_cmpuint(scene->gateway->losses.next, ==, 0);
}

/* Guards against a second engine at work, and against engines that count as
 * lost, when it was the entry that stopped. */
static void
test_entry_pauses(void)
{
    struct run run = begin_run(covered_scene(3, true), true);

    scene_run(run.scene, pause_entry);
    scene_chunk(run.fd, "id: 3\ndata: z\n\n");
    g_free(scene_read_until(run.caller, "id: 3\ndata: z\n\n"));
    close(run.fd);
    close(scene_accept(run.scene, run.holder));
    end_run(&run, -1);
}

/* Guards against a log line every tenth of a second, and a wrong figure, for a
 * run that stays at a silent engine. */
static void
test_silent_engine_logs_once(void)
{
    struct run run = begin_run(covered_scene(3, true), true);
    uint64_t before = not_continued_total();

    scene_run(run.scene, set_other_weights_elsewhere);
    scene_run(run.scene, set_unresponsive);
    g_usleep(1500 * 1000);
    g_assert_cmpuint(not_continued_total() - before, ==, 1);
    close(run.fd);
    end_run(&run, -1);
}

/* Guards against work for a caller that left while its run goes on. */
static void
test_caller_leaves(void)
{
    struct run run = begin_run(covered_scene(3, true), true);
    int holder;
    char byte;

    scene_reset(run.fd);
    holder = accept_continued(&run, "\r\nLast-Event-Id: 2\r\n");
    scene_reset(run.caller);
    run.caller = scene_connect(run.scene);
    g_assert_cmpint(recv(holder, &byte, 1, 0), <=, 0);
    end_run(&run, holder);
}

/* Guards against a copy at an engine with other weights. */
static void
set_other_version(struct scene *scene)
{
    pgw_upstream_set_version(
        pgw_upstream_table_find(pgw_gateway_upstreams(scene->gateway), "u1"),
        "m", 8);
}

static void
assert_bare(struct scene *scene)
{
    int caller = scene_call_with_fields(scene, "/brook/", "a", MODEL_FIELDS);
    unsigned engine;
    int fd = scene_accept_any(scene, &engine);
    char *request = scene_read_request(fd);

    assert_lacks(request, "Kv-Backup");
    g_free(request);
    close(fd);
    close(caller);
    scene_free(scene);
}

static void
test_other_weights(void)
{
    struct scene *scene = covered_scene(2, true);

    scene_run(scene, set_other_version);
    assert_bare(scene);
}

/* Guards earlier deployments: without copies in the configuration nothing
 * changes. */
static void
test_not_offered(void)
{
    assert_bare(covered_scene(2, false));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/cover_gateway/goes_on", test_goes_on);
    g_test_add_func("/cover_gateway/lost_before_first_event",
                    test_lost_before_first_event);
    g_test_add_func("/cover_gateway/no_copy", test_no_copy);
    g_test_add_func("/cover_gateway/holder_skips", test_holder_skips);
    g_test_add_func("/cover_gateway/holder_dies", test_holder_dies);
    g_test_add_func("/cover_gateway/holder_restarted", test_holder_restarted);
    g_test_add_func("/cover_gateway/holder_replaced", test_holder_replaced);
    g_test_add_func("/cover_gateway/holder_is_cut_off",
                    test_holder_is_cut_off);
    g_test_add_func("/cover_gateway/silent_engine", test_silent_engine);
    g_test_add_func("/cover_gateway/silent_engine_crashes",
                    test_silent_engine_crashes);
    g_test_add_func("/cover_gateway/garbled_answer", test_garbled_answer);
    g_test_add_func("/cover_gateway/framed_cut", test_framed_cut);
    g_test_add_func("/cover_gateway/entry_pauses", test_entry_pauses);
    g_test_add_func("/cover_gateway/silent_engine_logs_once",
                    test_silent_engine_logs_once);
    g_test_add_func("/cover_gateway/caller_leaves", test_caller_leaves);
    g_test_add_func("/cover_gateway/other_weights", test_other_weights);
    g_test_add_func("/cover_gateway/not_offered", test_not_offered);
    return g_test_run();
}
