#include "scene_gateway.h"

#include "feed.h"
#include "util/log.h"
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/**
 * struct fixture - a feed on its own thread; the test acts as the store
 * @lock: protects @emitted
 * @emitted: "NAME DELETED;" for each document that was emitted, in order
 * @missed: names of the documents that were emitted as missed changes, in
 * order
 * @changed_after_us: of the last document that was emitted
 * @silences: watches that got no response in their time
 */
struct fixture {
    struct pgw_loop *loop;
    struct platform_store *store;
    struct platform_feed *feed;
    struct pgw_documents *documents;
    pthread_t thread;
    int listener;
    pthread_mutex_t lock;
    GString *emitted;
    GString *missed;
    uint64_t changed_after_us;
    unsigned silences;
};

static void
on_document(const struct pgw_document *document, void *context)
{
    struct fixture *self = context;

    if (pgw_documents_put(self->documents, document) == NULL) {
        return;
    }
    pthread_mutex_lock(&self->lock);
    self->changed_after_us = document->changed_after_us;
    g_string_append_printf(self->emitted, "%s %d;", document->name,
                           (int)document->deleted);
    if (platform_feed_disruption(self->feed)->is_catching_up) {
        g_string_append(self->missed, document->name);
    }
    pthread_mutex_unlock(&self->lock);
}

static void
on_silence(void *context)
{
    struct fixture *self = context;

    pthread_mutex_lock(&self->lock);
    self->silences++;
    pthread_mutex_unlock(&self->lock);
}

static void *
loop_main(void *loop)
{
    pgw_loop_run(loop);
    return NULL;
}

static struct fixture *
fixture_new_with(bool retain_after_restore)
{
    struct fixture *self = g_new0(struct fixture, 1);
    struct pgw_address address;
    struct platform_feed_options options = {
        .kind = "servers",
        .retain_unlisted_after_restore = retain_after_restore,
        .watch_ms = 6000,
        .on_document = on_document,
        .on_silence = on_silence,
        .context = self,
    };

    pthread_mutex_init(&self->lock, NULL);
    self->emitted = g_string_new(NULL);
    self->missed = g_string_new(NULL);
    self->documents = pgw_documents_new();
    options.known_documents = self->documents;
    g_assert_true(pgw_address_parse(&address, "127.0.0.1:0", NULL));
    self->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(bind(self->listener, (struct sockaddr *)&address.storage,
                         address.size),
                    ==, 0);
    g_assert_cmpint(listen(self->listener, 8), ==, 0);
    getsockname(self->listener, (struct sockaddr *)&address.storage,
                &address.size);
    self->loop = pgw_loop_new(NULL);
    self->store = platform_store_new(self->loop, &address);
    self->feed = platform_feed_new(self->loop, self->store, &options);
    pthread_create(&self->thread, NULL, loop_main, self->loop);
    return self;
}

static struct fixture *
fixture_new(void)
{
    return fixture_new_with(false);
}

static void
fixture_free(struct fixture *self)
{
    pgw_loop_stop(self->loop);
    pthread_join(self->thread, NULL);
    platform_feed_free(self->feed);
    platform_store_free(self->store);
    pgw_loop_free(self->loop);
    pgw_documents_free(self->documents);
    close(self->listener);
    g_string_free(self->emitted, TRUE);
    g_string_free(self->missed, TRUE);
    pthread_mutex_destroy(&self->lock);
    g_free(self);
}

/* Responds to the next call, which must contain @expected; @fields: header
 * lines of the response. */
static void
serve_with(int fd, const char *expected, unsigned status, const char *fields,
           const char *body)
{
    char *head = scene_read_until(fd, "\r\n\r\n");

    if (strstr(head, expected) == NULL) {
        g_error("the feed requested %s instead of %s", head, expected);
    }
    g_free(head);
    scene_answer(fd, "s", status, fields, body);
}

static void
serve(int fd, const char *expected, unsigned status, const char *body)
{
    serve_with(fd, expected, status, "", body);
}

static void
expect_documents(struct fixture *self, const char *expected)
{
    pthread_mutex_lock(&self->lock);
    g_assert_cmpstr(self->emitted->str, ==, expected);
    g_string_truncate(self->emitted, 0);
    pthread_mutex_unlock(&self->lock);
}

#define OBJECT(name, revision)                                                \
    "{\"metadata\":{\"name\":\"" name "\",\"revision\":" revision             \
    "},\"specification\":{\"a\":1}}"

/*
 * Guards against an upstream that stays known after the store dropped the
 * history with its deletion. The feed reads a list of two pages and watches.
 * The next list lacks the object, so its deletion is emitted; unchanged
 * objects of that list are not emitted again.
 */
static void
test_unlisted_objects_are_deleted_after_history_loss(void)
{
    struct fixture *self = fixture_new();
    int fd = accept(self->listener, NULL, NULL);

    serve(fd, "GET /api/objects/servers HTTP", 200,
          "{\"items\":[" OBJECT("a", "3") "],\"has_more\":true,"
                                          "\"current_rev\":7}");
    serve(fd, "servers?after=a ", 200,
          "{\"items\":[" OBJECT("b", "5") "],\"has_more\":false,"
                                          "\"current_rev\":8}");
    serve(fd, "servers?watch=7&", 200,
          "{\"events\":[{\"deleted\":false,\"object\":" OBJECT(
              "c", "9") "}],\"current_rev\":9}");
    serve(fd, "servers?watch=9&", 410, "{}");
    expect_documents(self, "a 0;b 0;c 0;");
    serve(fd, "GET /api/objects/servers HTTP", 200,
          "{\"items\":[" OBJECT("a", "3") "," OBJECT(
              "c", "11") "],\"has_more\":false,\"current_rev\":12}");
    serve(fd, "servers?watch=12&", 200, "{\"events\":[],\"current_rev\":12}");
    serve(fd, "servers?watch=12&", 200, "{\"events\":[],\"current_rev\":12}");
    expect_documents(self, "c 0;b 1;");
    close(fd);
    fixture_free(self);
}

/*
 * Guards against lost or repeated changes after a store failure. The store
 * refuses a list, resets the connection of a watch and recovers: the watch
 * resumes from its revision, and an event that is received twice is emitted
 * once.
 */
static void
test_watch_resumes_after_store_failure(void)
{
    struct fixture *self = fixture_new();
    int fd = accept(self->listener, NULL, NULL);

    serve(fd, "GET /api/objects/servers HTTP", 503, "");
    serve(fd, "GET /api/objects/servers HTTP", 200,
          "{\"items\":[],\"has_more\":false,\"current_rev\":7}");
    g_free(scene_read_until(fd, "\r\n\r\n"));
    scene_reset(fd);
    fd = accept(self->listener, NULL, NULL);
    serve(
        fd, "servers?watch=7&", 200,
        "{\"events\":[{\"deleted\":false,\"object\":" OBJECT(
            "a",
            "8") "},{\"deleted\":true,\"object\":" OBJECT("a",
                                                          "8") "}],\"current_"
                                                               "rev\":9}");
    serve(fd, "servers?watch=9&", 200,
          "{\"events\":[{\"deleted\":false,\"object\":" OBJECT(
              "a", "8") "}],\"current_rev\":9}");
    serve(fd, "servers?watch=9&", 200, "{\"events\":[],\"current_rev\":9}");
    expect_documents(self, "a 0;a 1;");
    close(fd);
    fixture_free(self);
}

#define ERA(number) "Store-Era: " number "\r\n"

/* Serves era 1: three objects, of which one is deleted and one changed. */
static int
serve_first_era(struct fixture *self)
{
    int fd = accept(self->listener, NULL, NULL);

    serve_with(fd, "GET /api/objects/servers HTTP", 200, ERA("1"),
               "{\"items\":[" OBJECT("a", "3") "," OBJECT("b", "8") "," OBJECT(
                   "c", "5") "],\"has_more\":false,\"current_rev\":8}");
    serve_with(
        fd, "servers?watch=8&", 200, ERA("1"),
        "{\"events\":[{\"deleted\":true,\"object\":" OBJECT(
            "c",
            "9") "},{\"deleted\":false,\"object\":" OBJECT("a",
                                                           "10") "}],"
                                                                 "\"current_"
                                                                 "rev\":10}");
    return fd;
}

/*
 * Guards against stale upstreams after the store is restored from a backup.
 * Objects of the new era replace known ones although their revisions are
 * lower, objects that the store lacks are deleted, and an object that was
 * deleted since the backup returns only with a later change.
 */
static void
test_restored_store_replaces_objects(void)
{
    struct fixture *self = fixture_new();
    int fd = serve_first_era(self);

    serve_with(fd, "servers?watch=10&", 410, ERA("2"), "{}");
    expect_documents(self, "a 0;c 0;b 0;c 1;a 0;");
    serve_with(fd, "GET /api/objects/servers HTTP", 200, ERA("2"),
               "{\"items\":[" OBJECT("a", "3") "," OBJECT(
                   "c", "5") "],\"has_more\":false,\"current_rev\":6}");
    serve_with(
        fd, "servers?watch=6&", 200, ERA("2"),
        "{\"events\":[{\"deleted\":false,\"object\":" OBJECT(
            "b",
            "7") "},{\"deleted\":false,\"object\":" OBJECT("c",
                                                           "8") "}],\"current_"
                                                                "rev\":8}");
    serve_with(fd, "servers?watch=8&", 200, ERA("2"),
               "{\"events\":[],\"current_rev\":8}");
    expect_documents(self, "a 0;b 1;b 0;c 0;");
    close(fd);
    fixture_free(self);
}

/* Guards against mixing revisions of two eras: only the era of a successful
 * watch response shows that the store was restored. The revisions of its
 * events were also used in the previous era, so the events are discarded. */
static void
test_new_era_in_watch_response_restarts_list(void)
{
    struct fixture *self = fixture_new();
    int fd = serve_first_era(self);

    serve_with(fd, "servers?watch=10&", 200, ERA("2"),
               "{\"events\":[{\"deleted\":false,\"object\":" OBJECT(
                   "d", "11") "}],\"current_rev\":11}");
    expect_documents(self, "a 0;c 0;b 0;c 1;a 0;");
    serve_with(fd, "GET /api/objects/servers HTTP", 200, ERA("2"),
               "{\"items\":[" OBJECT("a", "3") "," OBJECT(
                   "b", "8") "],\"has_more\":false,\"current_rev\":11}");
    /* A late response of the previous era. */
    serve_with(fd, "servers?watch=11&", 200, ERA("1"),
               "{\"events\":[{\"deleted\":true,\"object\":" OBJECT(
                   "a", "12") "}],\"current_rev\":12}");
    serve_with(fd, "servers?watch=11&", 200, ERA("2"),
               "{\"events\":[],\"current_rev\":11}");
    expect_documents(self, "a 0;b 0;");
    close(fd);
    fixture_free(self);
}

/* Guards against losing a configuration that the operator wrote after the
 * backup: the restored store lacks it, but it was not deleted. */
static void
test_retained_kind_keeps_objects_after_restore(void)
{
    struct fixture *self = fixture_new_with(true);
    int fd = serve_first_era(self);

    serve_with(fd, "servers?watch=10&", 410, ERA("2"), "{}");
    expect_documents(self, "a 0;c 0;b 0;c 1;a 0;");
    serve_with(fd, "GET /api/objects/servers HTTP", 200, ERA("2"),
               "{\"items\":[" OBJECT("a", "3") "],\"has_more\":false,"
                                               "\"current_rev\":6}");
    serve_with(fd, "servers?watch=6&", 200, ERA("2"),
               "{\"events\":[],\"current_rev\":6}");
    expect_documents(self, "a 0;");
    close(fd);
    fixture_free(self);
}

/*
 * Guards against objects that peers never request. The store fails between two
 * pages of a list; pages are ordered by name, and the first one has the newest
 * object. If it were emitted before the list is complete, the entry would
 * advertise the newest revision while it lacks the older object. The list is
 * emitted as a whole, oldest first.
 */
static void
test_partial_list_emits_nothing(void)
{
    struct fixture *self = fixture_new();
    int fd = accept(self->listener, NULL, NULL);

    serve(fd, "GET /api/objects/servers HTTP", 200,
          "{\"items\":[" OBJECT("a", "9") "],\"has_more\":true,"
                                          "\"current_rev\":9}");
    serve(fd, "servers?after=a ", 503, "");
    expect_documents(self, "");
    serve(fd, "servers?after=a ", 200,
          "{\"items\":[" OBJECT("b", "5") "],\"has_more\":false,"
                                          "\"current_rev\":9}");
    serve(fd, "servers?watch=9&", 200, "{\"events\":[],\"current_rev\":9}");
    expect_documents(self, "b 0;a 0;");
    close(fd);
    fixture_free(self);
}

/*
 * Guards against late detection of a store's recovery. An unresponsive store
 * drops calls without a reply, so watches are short after a failure until one
 * succeeds. Then they are long again, as each watch costs a call.
 */
static void
test_watches_are_short_until_store_recovers(void)
{
    struct fixture *self = fixture_new();
    int fd = accept(self->listener, NULL, NULL);

    serve(fd, "GET /api/objects/servers HTTP", 200,
          "{\"items\":[],\"has_more\":false,\"current_rev\":7}");
    serve(fd, "watch=7&wait_ms=6000 ", 503, "");
    serve(fd, "watch=7&wait_ms=200 ", 503, "");
    serve(fd, "watch=7&wait_ms=200 ", 200,
          "{\"events\":[],\"current_rev\":8}");
    serve(fd, "watch=8&wait_ms=6000 ", 200,
          "{\"events\":[],\"current_rev\":8}");
    close(fd);
    fixture_free(self);
}

static struct pgw_list_disruption disruption;
static struct fixture *observed;

static void
read_disruption(struct pgw_task *task)
{
    (void)task;
    disruption = *platform_feed_disruption(observed->feed);
    pgw_loop_stop(observed->loop);
}

/* Runs on the feed's thread, which is then started again. */
static void
copy_disruption(struct fixture *self)
{
    static struct pgw_task task = {.run = read_disruption};

    observed = self;
    pgw_loop_post(self->loop, &task);
    pthread_join(self->thread, NULL);
    pthread_create(&self->thread, NULL, loop_main, self->loop);
}

/* Guards against a deletion that was missed during a disruption and is taken
 * for a new one. */
static void
test_changes_after_a_failure_are_missed_ones(void)
{
    struct fixture *self = fixture_new();
    int fd = accept(self->listener, NULL, NULL);

    serve(fd, "GET /api/objects/servers HTTP", 200,
          "{\"items\":[" OBJECT("a", "3") "," OBJECT(
              "b", "4") "],\"has_more\":false,\"current_rev\":7}");
    serve(fd, "watch=7&", 503, "");
    serve(fd, "watch=7&", 200,
          "{\"events\":[{\"deleted\":true,\"object\":" OBJECT(
              "a", "8") "}],\"current_rev\":8}");
    serve(fd, "watch=8&", 200,
          "{\"events\":[{\"deleted\":true,\"object\":" OBJECT(
              "b", "9") "}],\"current_rev\":9}");
    serve(fd, "watch=9&", 410, "");
    serve(fd, "GET /api/objects/servers HTTP", 200,
          "{\"items\":[" OBJECT(
              "c", "10") "],\"has_more\":false,\"current_rev\":10}");
    serve(fd, "watch=10&", 200, "{\"events\":[],\"current_rev\":10}");
    copy_disruption(self);
    expect_documents(self, "a 0;b 0;a 1;b 1;c 0;");
    g_assert_cmpstr(self->missed->str, ==, "ac");
    g_assert_cmpuint(disruption.began_us, >, 0);
    g_assert_cmpuint(disruption.failed_us, >=, disruption.began_us);
    g_assert_cmpuint(disruption.ended_us, >=, disruption.failed_us);
    g_assert_false(disruption.is_catching_up);
    close(fd);
    fixture_free(self);
}

/*
 * Guards against a list that one unreadable object of another writer makes
 * unusable: nested deeper than the parser allows, invalid UTF-8, or a name
 * that is a number. Other objects are emitted; an unreadable specification is
 * emitted unchanged, and an object without a name is skipped.
 */
static void
test_unreadable_objects_do_not_block_list(void)
{
    struct fixture *self = fixture_new();
    int fd = accept(self->listener, NULL, NULL);
    GString *page = g_string_new("{\"items\":[" OBJECT("a", "3") ",");

    g_string_append(page, "{\"metadata\":{\"name\":\"b\",\"revision\":4},"
                          "\"specification\":");
    for (unsigned i = 0; i < 5000; i++) {
        g_string_append_c(page, '[');
    }
    for (unsigned i = 0; i < 5000; i++) {
        g_string_append_c(page, ']');
    }
    g_string_append(page,
                    "},{\"metadata\":{\"name\":7,\"revision\":5}},"
                    "{\"metadata\":{\"name\":\"c\",\"revision\":6},"
                    "\"specification\":\"\x81\xfe\"},7,"
                    "{\"metadata\":[]}," OBJECT(
                        "d", "7") "],"
                                  "\"has_more\":false,\"current_rev\":8}");
    serve(fd, "GET /api/objects/servers HTTP", 200, page->str);
    serve(fd, "servers?watch=8&", 200, "{\"events\":[],\"current_rev\":8}");
    serve(fd, "servers?watch=8&", 200, "{\"events\":[],\"current_rev\":8}");
    expect_documents(self, "a 0;b 0;c 0;d 0;");
    g_string_free(page, TRUE);
    close(fd);
    fixture_free(self);
}

static uint64_t
last_changed_after_us(struct fixture *self)
{
    uint64_t changed_after_us;

    pthread_mutex_lock(&self->lock);
    changed_after_us = self->changed_after_us;
    pthread_mutex_unlock(&self->lock);
    return changed_after_us;
}

/* Guards against a change that counts as new at its late receipt: the first
 * watch is cut off and the second one is answered late. */
static void
test_change_is_as_old_as_last_whole_response(void)
{
    struct fixture *self = fixture_new();
    int fd = accept(self->listener, NULL, NULL);
    uint64_t listed_us;
    uint64_t answered_us;

    serve(fd, "GET /api/objects/servers HTTP", 200,
          "{\"items\":[],\"has_more\":false,\"current_rev\":7}");
    listed_us = pgw_now_us();
    g_usleep(30000);
    serve(fd, "watch=7&", 200, "{\"events\":[],\"current_rev\":7}");
    g_usleep(60000);
    answered_us = pgw_now_us();
    serve(fd, "watch=7&", 200,
          "{\"events\":[{\"deleted\":false,\"object\":" OBJECT(
              "a", "8") "}],\"current_rev\":8}");
    serve(fd, "watch=8&", 200, "{\"events\":[],\"current_rev\":8}");
    g_assert_cmpuint(last_changed_after_us(self), >, 0);
    g_assert_cmpuint(last_changed_after_us(self), <=, listed_us + 30000);
    g_assert_cmpuint(last_changed_after_us(self), <, answered_us - 60000);
    close(fd);
    fixture_free(self);
}

/* @task: posted to the fixture's loop */
struct renewal {
    struct pgw_task task;
    struct fixture *fixture;
};

static void
renew(struct pgw_task *task)
{
    struct renewal *renewal = pgw_container_of(task, struct renewal, task);

    platform_feed_renew(renewal->fixture->feed);
}

/* Guards against a watch that waits on a dead connection although another one
 * has shown that connections are dead. */
static void
test_renewed_watch_uses_new_connection(void)
{
    struct fixture *self = fixture_new();
    struct renewal renewal = {.task.run = renew, .fixture = self};
    int silent = accept(self->listener, NULL, NULL);
    int fd;
    char *head;

    serve(silent, "GET /api/objects/servers HTTP", 200,
          "{\"items\":[],\"has_more\":false,\"current_rev\":7}");
    head = scene_read_until(silent, "\r\n\r\n");
    g_assert_nonnull(strstr(head, "watch=7&"));
    pgw_loop_post(self->loop, &renewal.task);
    fd = accept(self->listener, NULL, NULL);
    /* Short, as the new connection may meet the same trouble. */
    serve(fd, "watch=7&wait_ms=200", 200,
          "{\"events\":[{\"deleted\":false,\"object\":" OBJECT(
              "a", "8") "}],\"current_rev\":8}");
    serve(fd, "watch=8&wait_ms=6000", 200,
          "{\"events\":[],\"current_rev\":8}");
    expect_documents(self, "a 0;");
    g_free(head);
    close(fd);
    close(silent);
    fixture_free(self);
}

/* Guards against watches that are renewed at the moment at which the store
 * cuts off all of them: the new ones may miss what it drops then. */
static void
test_cut_watch_is_no_silence(void)
{
    struct fixture *self = fixture_new();
    int fd = accept(self->listener, NULL, NULL);
    char *head;

    serve(fd, "GET /api/objects/servers HTTP", 200,
          "{\"items\":[],\"has_more\":false,\"current_rev\":7}");
    head = scene_read_until(fd, "\r\n\r\n");
    close(fd);
    fd = accept(self->listener, NULL, NULL);
    serve(fd, "watch=7&wait_ms=200", 410, "");
    serve(fd, "GET /api/objects/servers HTTP", 200,
          "{\"items\":[],\"has_more\":false,\"current_rev\":9}");
    serve(fd, "watch=9&", 200, "{\"events\":[],\"current_rev\":9}");
    pthread_mutex_lock(&self->lock);
    g_assert_cmpuint(self->silences, ==, 0);
    pthread_mutex_unlock(&self->lock);
    g_free(head);
    close(fd);
    fixture_free(self);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/platform_feed/restored_store_replaces_objects",
                    test_restored_store_replaces_objects);
    g_test_add_func("/platform_feed/new_era_in_watch_response_restarts_list",
                    test_new_era_in_watch_response_restarts_list);
    g_test_add_func("/platform_feed/retained_kind_keeps_objects_after_restore",
                    test_retained_kind_keeps_objects_after_restore);
    g_test_add_func(
        "/platform_feed/unlisted_objects_are_deleted_after_history_loss",
        test_unlisted_objects_are_deleted_after_history_loss);
    g_test_add_func("/platform_feed/watch_resumes_after_store_failure",
                    test_watch_resumes_after_store_failure);
    g_test_add_func("/platform_feed/partial_list_emits_nothing",
                    test_partial_list_emits_nothing);
    g_test_add_func("/platform_feed/unreadable_objects_do_not_block_list",
                    test_unreadable_objects_do_not_block_list);
    g_test_add_func("/platform_feed/watches_are_short_until_store_recovers",
                    test_watches_are_short_until_store_recovers);
    g_test_add_func("/platform_feed/changes_after_a_failure_are_missed_ones",
                    test_changes_after_a_failure_are_missed_ones);
    g_test_add_func("/platform_feed/change_is_as_old_as_last_whole_response",
                    test_change_is_as_old_as_last_whole_response);
    g_test_add_func("/platform_feed/renewed_watch_uses_new_connection",
                    test_renewed_watch_uses_new_connection);
    g_test_add_func("/platform_feed/cut_watch_is_no_silence",
                    test_cut_watch_is_no_silence);
    return g_test_run();
}
