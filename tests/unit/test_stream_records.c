#include "gateway/request/exchange.h"
#include "scene_gateway.h"
#include "stream_records.h"
#include "util/log.h"
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#define ORIGINS_MAX 16
#define EMPTY "{\"items\":[],\"has_more\":false,\"current_rev\":7}"

/**
 * struct kept - what the store has, as it outlives the processes
 * @origins: the record of the only entry
 * @is_silent: calls get no answer
 * @records: that ask
 */
struct kept {
    struct pgw_stream_origin origins[ORIGINS_MAX];
    size_t count;
    unsigned reads;
    unsigned writes;
    bool is_silent;
    struct pgw_stream_records *records;
};

/* Belongs to the gateway's thread while it runs. */
static struct kept kept;
static struct kept copy_of_kept;

static uint32_t
id_of(const char *attempt)
{
    return (uint32_t)XXH3_64bits(attempt, strlen(attempt));
}

static void
read_kept(void *context)
{
    (void)context;
    kept.reads++;
    if (kept.is_silent) {
        return;
    }
    for (size_t i = 0; i < kept.count; i++) {
        pgw_stream_records_add(kept.records, &kept.origins[i], 0, true);
    }
    pgw_stream_records_read_end(kept.records, true);
}

static void
write_kept(void *context, const struct pgw_stream_origin *origins,
           size_t count)
{
    (void)context;
    g_assert_cmpuint(count, <=, ORIGINS_MAX);
    memcpy(kept.origins, origins, count * sizeof(*origins));
    kept.count = count;
    kept.writes++;
    pgw_stream_records_write_end(kept.records, true);
}

static const struct pgw_stream_store kept_calls = {
    .read = read_kept,
    .write = write_kept,
};

static void
connect_store(struct scene *scene)
{
    kept.records = scene->gateway->stream_records;
    pgw_stream_records_set_store(kept.records, &kept_calls, NULL, 400);
}

/* An entry with an upstream of each version; @is_first: it starts for the
 * first time. */
static struct scene *
versions_scene(const char *first, const char *second, bool is_first)
{
    const char *software[] = {first, second};
    struct scene *scene =
        is_first ? scene_new(2) : scene_new_after_restart(2, software);

    if (is_first) {
        scene->software[0] = first;
        scene->software[1] = second;
        scene_list_again(scene);
    }
    scene_set_routes(scene, 1, true);
    return scene;
}

/* Begins a stream and sends one event; returns its upstream's connection. */
static int
begin_stream(struct scene *scene, const char *id, int *caller, unsigned *which)
{
    int upstream;

    *caller =
        scene_call_with_fields(scene, "/flow/", id, "Connection: close\r\n");
    upstream = scene_accept_any(scene, which);
    g_free(scene_read_request(upstream));
    scene_begin_stream(upstream, id);
    scene_chunk(upstream, "id: 1\ndata: x\n\n");
    g_free(scene_read_until(*caller, "id: 1\ndata: x\n\n"));
    return upstream;
}

static void
finish_stream(int caller, int upstream)
{
    scene_send(upstream, "0\r\n\r\n");
    g_free(scene_read_until(caller, "\r\n0\r\n\r\n"));
    close(upstream);
    close(caller);
}

static void
copy_kept(struct scene *scene)
{
    (void)scene;
    copy_of_kept = kept;
}

/* What the store has now; valid until the next call. */
static const struct kept *
look_at_kept(struct scene *scene)
{
    scene_run(scene, copy_kept);
    return &copy_of_kept;
}

/* Waits until the store has exactly these streams. */
static void
wait_for_kept(struct scene *scene, const char *const *ids, size_t count)
{
    for (unsigned i = 0; i < SCENE_TIMEOUT_S * 100; i++) {
        const struct kept *now = look_at_kept(scene);
        size_t found = 0;

        for (size_t j = 0; j < now->count; j++) {
            for (size_t k = 0; k < count; k++) {
                found += now->origins[j].id == id_of(ids[k]);
            }
        }
        if (found == count && now->count == count) {
            return;
        }
        g_usleep(10000);
    }
    g_error("%zu streams are kept", look_at_kept(scene)->count);
}

static int
take_up(struct scene *scene, const char *id, const char *resumes)
{
    char fields[96];

    g_snprintf(fields, sizeof(fields),
               "Connection: close\r\nLast-Event-Id: 1\r\nResumes: %s\r\n",
               resumes);
    return scene_call_with_fields(scene, "/flow/", id, fields);
}

/* Guards against streams that are refused after all processes have ended,
 * though their version is there. */
static void
test_streams_outlive_all_processes(void)
{
    static const char *const ids[] = {"a"};
    struct scene *scene = versions_scene("v1", "v2", true);
    unsigned began_at;
    unsigned which;
    int caller;
    int upstream;

    kept = (struct kept){0};
    scene_run(scene, connect_store);
    upstream = begin_stream(scene, "a", &caller, &began_at);
    wait_for_kept(scene, ids, 1);
    scene_free(scene);
    close(upstream);
    close(caller);
    scene = versions_scene("v1", "v2", false);
    scene_run(scene, connect_store);
    caller = take_up(scene, "b", "a");
    upstream = scene_accept_any(scene, &which);
    g_assert_cmpuint(which, ==, began_at);
    g_free(scene_read_request(upstream));
    scene_begin_stream(upstream, "b");
    scene_chunk(upstream, "id: 2\ndata: y\n\n");
    finish_stream(caller, upstream);
    scene_free(scene);
}

/* Guards against records that grow with every stream, and writes that say
 * nothing. */
static void
test_only_unfinished_streams_are_kept(void)
{
    static const char *const ids[] = {"b"};
    struct scene *scene = versions_scene("v1", "v2", true);
    unsigned which;
    unsigned writes;
    int caller;
    int upstream;

    kept = (struct kept){0};
    scene_run(scene, connect_store);
    upstream = begin_stream(scene, "a", &caller, &which);
    finish_stream(caller, upstream);
    upstream = begin_stream(scene, "b", &caller, &which);
    wait_for_kept(scene, ids, 1);
    writes = look_at_kept(scene)->writes;
    g_usleep(600000);
    g_assert_cmpuint(look_at_kept(scene)->writes, ==, writes);
    close(upstream);
    close(caller);
    scene_free(scene);
}

/* Guards against a record of the version at which an attempt failed, and not
 * of the one that began the stream. */
static void
test_last_version_is_kept(void)
{
    static const char *const ids[] = {"a"};
    struct scene *scene = versions_scene("v1", "v2", true);
    unsigned which;
    unsigned next;
    int caller;
    int upstream;

    kept = (struct kept){0};
    scene_run(scene, connect_store);
    caller =
        scene_call_with_fields(scene, "/flow/", "a", "Connection: close\r\n");
    upstream = scene_accept_any(scene, &which);
    g_free(scene_read_request(upstream));
    wait_for_kept(scene, ids, 1);
    g_assert_cmpstr(look_at_kept(scene)->origins[0].software, ==,
                    scene->software[which]);
    scene_reset(upstream);
    upstream = scene_accept_any(scene, &next);
    g_assert_cmpuint(next, !=, which);
    for (unsigned i = 0; i < SCENE_TIMEOUT_S * 100; i++) {
        if (strcmp(look_at_kept(scene)->origins[0].software,
                   scene->software[next]) == 0) {
            break;
        }
        g_usleep(10000);
    }
    g_assert_cmpstr(look_at_kept(scene)->origins[0].software, ==,
                    scene->software[next]);
    close(upstream);
    close(caller);
    scene_free(scene);
}

/* Guards against writes while all streams begin at one version. */
static void
test_one_version_needs_no_record(void)
{
    struct scene *scene = scene_new(2);
    unsigned which;
    int caller;
    int upstream;

    scene_set_routes(scene, 1, true);
    kept = (struct kept){0};
    scene_run(scene, connect_store);
    upstream = begin_stream(scene, "a", &caller, &which);
    g_usleep(400000);
    g_assert_cmpuint(look_at_kept(scene)->writes, ==, 0);
    close(upstream);
    close(caller);
    scene_free(scene);
}

static void
write_of_another_entry(struct scene *scene)
{
    (void)scene;
    kept.origins[0] = (struct pgw_stream_origin){
        .id = id_of("x"), .software = g_intern_string("v2")};
    kept.count = 1;
}

/* Guards against a stream of an entry that has ended, and that is refused by
 * one that has read the records before. */
static void
test_records_are_read_again(void)
{
    struct scene *scene = versions_scene("v1", "v2", true);
    unsigned which;
    int caller;
    int upstream;

    kept = (struct kept){0};
    scene_run(scene, connect_store);
    scene_run(scene, write_of_another_entry);
    caller = take_up(scene, "b", "x");
    upstream = scene_accept_any(scene, &which);
    g_assert_cmpuint(which, ==, 1);
    g_free(scene_read_request(upstream));
    scene_begin_stream(upstream, "b");
    scene_chunk(upstream, "id: 2\ndata: y\n\n");
    finish_stream(caller, upstream);
    scene_free(scene);
}

/* Guards against streams that have ended, and are kept again since the records
 * were read again. */
static void
test_ended_streams_do_not_return(void)
{
    static const char *const first[] = {"a"};
    static const char *const last[] = {"c"};
    struct scene *scene = versions_scene("v1", "v2", true);
    unsigned which;
    int caller;
    int upstream;

    kept = (struct kept){0};
    scene_run(scene, connect_store);
    upstream = begin_stream(scene, "a", &caller, &which);
    wait_for_kept(scene, first, 1);
    finish_stream(caller, upstream);
    /* Not sooner, as the records were read just now. */
    g_usleep(300000);
    caller = take_up(scene, "b", "x");
    g_free(scene_read_until(caller, "stream_origin_unknown"));
    close(caller);
    g_assert_cmpuint(look_at_kept(scene)->reads, >, 1);
    upstream = begin_stream(scene, "c", &caller, &which);
    wait_for_kept(scene, last, 1);
    close(upstream);
    close(caller);
    scene_free(scene);
}

/* Guards against callers that wait for a store that does not answer, and
 * against a stream that goes on at any version then. */
static void
test_silent_store_is_not_waited_for(void)
{
    struct scene *scene = versions_scene("v1", "v2", true);
    char *answer;
    int caller;

    kept = (struct kept){.is_silent = true};
    scene_run(scene, connect_store);
    caller = take_up(scene, "b", "x");
    answer = scene_read_all(caller);
    g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 503 "));
    g_assert_nonnull(strstr(answer, "stream_origin_unknown"));
    g_free(answer);
    close(caller);
    scene_free(scene);
}

/**
 * struct adapter - the store's client of an entry; the test acts as the store
 */
struct adapter {
    struct pgw_address address;
    int listener;
    struct platform_store *store;
    struct platform_stream_records *records;
};

static struct adapter adapter;

static void
start_adapter(struct scene *scene)
{
    adapter.store = platform_store_new(scene->loop, &adapter.address);
    adapter.records = platform_stream_records_new(
        adapter.store, scene->gateway->stream_records, "entry-1", 400);
}

static void
stop_adapter(struct scene *scene)
{
    (void)scene;
    platform_stream_records_free(adapter.records);
    platform_store_free(adapter.store);
}

/* Serves the next call; returns its text, to be freed. */
static char *
serve(const char *method, const char *end, unsigned status, const char *body)
{
    struct pollfd polled = {.fd = adapter.listener, .events = POLLIN};
    char *request;
    int fd;

    g_assert_cmpint(poll(&polled, 1, SCENE_TIMEOUT_S * 1000), ==, 1);
    fd = accept(adapter.listener, NULL, NULL);
    request = scene_read_until(fd, end);
    g_assert_true(g_str_has_prefix(request, method));
    scene_answer(fd, "s", status, "Connection: close\r\n", body);
    close(fd);
    return request;
}

/* Guards against records that the next process cannot read, and odd objects
 * that hide the others. */
static void
test_objects_are_read_back(void)
{
    struct scene *scene = versions_scene("v1", "v\"2", true);
    unsigned began_at;
    unsigned which;
    int caller;
    int upstream;
    char *written;
    char *page;

    adapter.listener = scene_listen(&adapter.address);
    scene_run(scene, start_adapter);
    g_free(
        serve("GET /api/objects/parsleygw-streams ", "\r\n\r\n", 200, EMPTY));
    upstream = begin_stream(scene, "a", &caller, &began_at);
    written = serve("POST ", "]}}", 201, "{\"metadata\":{\"revision\":8}}");
    scene_run(scene, stop_adapter);
    scene_free(scene);
    close(upstream);
    close(caller);
    page = g_strdup_printf(
        "{\"items\":[{\"metadata\":{\"name\":\"x\"},\"specification\":7},"
        "{\"metadata\":{\"name\":\"y\"},\"specification\":{\"written_us\":"
        "9000000000000000000,\"streams\":[3,{},{\"software\":\"v1\","
        "\"ids\":\"!\"},{\"software\":7,\"ids\":\"AAAA\"}]}},%s],"
        "\"has_more\":false,\"current_rev\":8}",
        strstr(written, "\r\n\r\n") + 4);
    scene = versions_scene("v1", "v\"2", false);
    scene_run(scene, start_adapter);
    g_free(serve("GET ", "\r\n\r\n", 200, page));
    caller = take_up(scene, "b", "a");
    upstream = scene_accept_any(scene, &which);
    g_assert_cmpuint(which, ==, began_at);
    close(upstream);
    close(caller);
    scene_run(scene, stop_adapter);
    scene_free(scene);
    close(adapter.listener);
    g_free(page);
    g_free(written);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/stream_records/streams_outlive_all_processes",
                    test_streams_outlive_all_processes);
    g_test_add_func("/stream_records/only_unfinished_streams_are_kept",
                    test_only_unfinished_streams_are_kept);
    g_test_add_func("/stream_records/last_version_is_kept",
                    test_last_version_is_kept);
    g_test_add_func("/stream_records/one_version_needs_no_record",
                    test_one_version_needs_no_record);
    g_test_add_func("/stream_records/records_are_read_again",
                    test_records_are_read_again);
    g_test_add_func("/stream_records/ended_streams_do_not_return",
                    test_ended_streams_do_not_return);
    g_test_add_func("/stream_records/silent_store_is_not_waited_for",
                    test_silent_store_is_not_waited_for);
    g_test_add_func("/stream_records/objects_are_read_back",
                    test_objects_are_read_back);
    return g_test_run();
}
