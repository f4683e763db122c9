#include "scene_gateway.h"
#include <string.h>
#include <unistd.h>

#define FIELD_SIZE 96

/* Upstreams of the given software versions. */
static struct scene *
ready_scene(const char *const *software, unsigned count)
{
    struct scene *scene = scene_new(count);

    for (unsigned i = 0; i < count; i++) {
        scene->software[i] = software[i];
    }
    scene_list_again(scene);
    scene_set_routes(scene, 1, true);
    return scene;
}

/* The same, at an entry that has just started again. */
static struct scene *
restarted_scene(const char *const *software, unsigned count)
{
    struct scene *scene = scene_new_after_restart(count, software);

    scene_set_routes(scene, 1, true);
    return scene;
}

/* A caller whose stream began with the attempt @resumes, or at another entry.
 */
static int
take_up(struct scene *scene, const char *id, const char *resumes,
        unsigned after)
{
    char fields[FIELD_SIZE];

    g_snprintf(fields, sizeof(fields),
               "Connection: close\r\nLast-Event-Id: %u\r\nResumes: %s\r\n",
               after, resumes);
    return scene_call_with_fields(scene, "/flow/", id, fields);
}

/* Begins a stream of two events; returns the connection of its upstream. */
static int
begin_stream(struct scene *scene, int *caller, unsigned *which)
{
    int upstream;

    *caller =
        scene_call_with_fields(scene, "/flow/", "a", "Connection: close\r\n");
    upstream = scene_accept_any(scene, which);
    g_free(scene_read_request(upstream));
    scene_begin_stream(upstream, "a");
    scene_chunk(upstream, "id: 1\ndata: x\n\n");
    scene_chunk(upstream, "id: 2\ndata: y\n\n");
    g_free(scene_read_until(*caller, "id: 2\ndata: y\n\n"));
    return upstream;
}

static void
expect_refusal(int caller, const char *reason)
{
    char *answer = scene_read_all(caller);

    if (strstr(answer, "HTTP/1.1 503 ") == NULL ||
        strstr(answer, reason) == NULL ||
        strstr(answer, "\"ran\":\"no\"") == NULL) {
        g_error("no 503 with '%s' in: %s", reason, answer);
    }
    g_free(answer);
    close(caller);
}

/* Answers a stream that goes on after its second event, on the connection of
 * an upstream. */
static void
expect_goes_on_at(int upstream, int caller, const char *id)
{
    char *request = scene_read_request(upstream);
    char *answer;

    g_assert_nonnull(strstr(request, "\r\nLast-Event-Id: 2\r\n"));
    g_free(request);
    scene_begin_stream(upstream, id);
    scene_chunk(upstream, "id: 3\ndata: z\n\n");
    scene_send(upstream, "0\r\n\r\n");
    answer = scene_read_until(caller, "\r\n0\r\n\r\n");
    g_assert_nonnull(strstr(answer, "id: 3\ndata: z\n\n"));
    g_free(answer);
    close(upstream);
    close(caller);
}

static void
expect_goes_on(struct scene *scene, int caller, const char *id,
               const char *software)
{
    unsigned which;
    int upstream = scene_accept_any(scene, &which);

    g_assert_cmpstr(scene->software[which], ==, software);
    expect_goes_on_at(upstream, caller, id);
}

/* Guards against a resumption within one answer at another version. */
static void
test_resumed_within_an_answer(void)
{
    static const char *const software[] = {"v1", "v2", "v1"};
    struct scene *scene = ready_scene(software, 3);
    unsigned which;
    int caller;
    int upstream = begin_stream(scene, &caller, &which);

    scene_reset(upstream);
    if (which == 1) {
        g_free(scene_read_all(caller));
        close(caller);
        caller = take_up(scene, "b", "a", 2);
    }
    expect_goes_on(scene, caller, which == 1 ? "b" : "a", software[which]);
    scene_free(scene);
}

/* Guards against a queued stream that takes another version's free slot. */
static void
test_queued_for_its_version(void)
{
    static const char *const software[] = {"v1", "v2"};
    struct scene *scene = ready_scene(software, 2);
    unsigned which;
    int caller;
    int upstream = begin_stream(scene, &caller, &which);
    int resumed = take_up(scene, "b", "a", 2);
    int other = scene_call(scene, "/again/", "c");
    int free_slot = scene_accept(scene, 1 - which);
    char *request = scene_read_request(free_slot);

    g_assert_true(g_str_has_prefix(request, "POST /again/"));
    g_free(request);
    scene_chunk(upstream, "id: 3\ndata: z\n\n");
    scene_send(upstream, "0\r\n\r\n");
    g_free(scene_read_until(caller, "\r\n0\r\n\r\n"));
    /* The entry keeps the connection. */
    expect_goes_on_at(upstream, resumed, "b");
    close(free_slot);
    close(other);
    close(caller);
    scene_free(scene);
}

/* Guards against a caller that takes its stream up at another version. */
static void
test_taken_up_at_its_version(void)
{
    static const char *const software[] = {"v1", "v2", "v3"};
    struct scene *scene = ready_scene(software, 3);
    unsigned which;
    int caller;
    int upstream = begin_stream(scene, &caller, &which);

    scene_reset(upstream);
    /* No other upstream runs its version, so the stream is cut off. */
    g_free(scene_read_all(caller));
    close(caller);
    expect_goes_on(scene, take_up(scene, "b", "a", 2), "b", software[which]);
    /* The attempt that brought the first event is named again. */
    expect_goes_on(scene, take_up(scene, "c", "a", 2), "c", software[which]);
    scene_free(scene);
}

/* Guards against a wait for a version that no upstream runs any more. */
static void
test_refused_when_its_version_is_gone(void)
{
    static const char *const software[] = {"v1", "v1"};
    struct scene *scene = ready_scene(software, 2);
    unsigned which;
    int caller;
    int upstream = begin_stream(scene, &caller, &which);

    scene->software[0] = "v2";
    scene->software[1] = "v2";
    scene_restart_upstreams(scene);
    scene_reset(upstream);
    g_free(scene_read_all(caller));
    close(caller);
    expect_refusal(take_up(scene, "b", "a", 2), "stream_version_gone");
    scene_free(scene);
}

/* Guards against a stream of an unknown version that goes on at any. */
static void
test_refused_when_its_version_is_unknown(void)
{
    static const char *const software[] = {"v1", "v2"};
    struct scene *scene = ready_scene(software, 2);

    expect_refusal(take_up(scene, "b", "elsewhere", 2),
                   "stream_origin_unknown");
    expect_refusal(
        scene_call_with_fields(scene, "/flow/", "c",
                               "Connection: close\r\nLast-Event-Id: 2\r\n"),
        "stream_origin_unknown");
    scene_free(scene);
}

/* Guards against a refusal of streams of a service with a single version. */
static void
test_goes_on_at_a_single_version(void)
{
    struct scene *scene = scene_new(2);

    scene_set_routes(scene, 1, true);
    expect_goes_on(scene, take_up(scene, "b", "elsewhere", 2), "b", NULL);
    scene_free(scene);
}

/* Guards against a version that has just left and is forgotten at once. */
static void
test_unknown_after_a_release(void)
{
    static const char *const software[] = {"v1", "v1"};
    struct scene *scene = ready_scene(software, 2);

    scene->software[0] = "v2";
    scene->software[1] = "v2";
    scene_restart_upstreams(scene);
    expect_refusal(take_up(scene, "b", "elsewhere", 2),
                   "stream_origin_unknown");
    scene_free(scene);
}

/* Guards against a list that shows one version, since the one before has left
 * while no entry ran. */
static void
test_unknown_after_a_restart(void)
{
    static const char *const software[] = {"v2", "v2"};
    struct scene *scene = restarted_scene(software, 2);

    expect_refusal(take_up(scene, "b", "elsewhere", 2),
                   "stream_origin_unknown");
    scene_free(scene);
}

static void
set_settled_record(struct scene *scene)
{
    const struct pgw_software_record record = {
        .versions = {g_intern_string(scene->software[0])},
        .count = 1,
        .settled = true,
    };

    pgw_software_records_set(pgw_gateway_software_records(scene->gateway),
                             "service", &record);
}

/* Guards against refusals after a restart of a service without a release. */
static void
test_goes_on_after_a_restart(void)
{
    static const char *const software[] = {"v2", "v2"};
    struct scene *scene = restarted_scene(software, 2);

    scene_run(scene, set_settled_record);
    expect_goes_on(scene, take_up(scene, "b", "elsewhere", 2), "b", "v2");
    scene_free(scene);
}

/* Guards against refusals of a service whose list names no versions. */
static void
test_without_versions_after_a_restart(void)
{
    static const char *const software[] = {NULL, NULL};
    struct scene *scene = restarted_scene(software, 2);

    expect_goes_on(scene, take_up(scene, "b", "elsewhere", 2), "b", NULL);
    scene_free(scene);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/stream_origins/resumed_within_an_answer",
                    test_resumed_within_an_answer);
    g_test_add_func("/stream_origins/queued_for_its_version",
                    test_queued_for_its_version);
    g_test_add_func("/stream_origins/taken_up_at_its_version",
                    test_taken_up_at_its_version);
    g_test_add_func("/stream_origins/refused_when_its_version_is_gone",
                    test_refused_when_its_version_is_gone);
    g_test_add_func("/stream_origins/refused_when_its_version_is_unknown",
                    test_refused_when_its_version_is_unknown);
    g_test_add_func("/stream_origins/goes_on_at_a_single_version",
                    test_goes_on_at_a_single_version);
    g_test_add_func("/stream_origins/unknown_after_a_release",
                    test_unknown_after_a_release);
    g_test_add_func("/stream_origins/unknown_after_a_restart",
                    test_unknown_after_a_restart);
    g_test_add_func("/stream_origins/goes_on_after_a_restart",
                    test_goes_on_after_a_restart);
    g_test_add_func("/stream_origins/without_versions_after_a_restart",
                    test_without_versions_after_a_restart);
    return g_test_run();
}
