#include "harness_fleet.h"

#include <pthread.h>
#include <stdatomic.h>

#define BEGIN_LIMIT_S 60

struct fleet_caller {
    pthread_t thread;
    struct harness_process *entry;
    const char *url;
    char *body;
    struct harness_answer answer;
    atomic_size_t bytes;
    atomic_bool hang_up;
};

static bool
take_piece(const char *data, size_t length, void *user_data)
{
    struct fleet_caller *caller = user_data;

    (void)data;
    atomic_fetch_add(&caller->bytes, length);
    return !atomic_load(&caller->hang_up);
}

static void *
caller_main(void *data)
{
    struct fleet_caller *caller = data;
    const char *headers[] = {"Authorization: Bearer " FLEET_KEY, NULL};

    harness_send(&caller->answer, &(struct harness_call){.url = caller->url,
                                                         .headers = headers,
                                                         .body = caller->body,
                                                         .timeout_s = 120,
                                                         .on_data = take_piece,
                                                         .user_data = caller});
    return NULL;
}

struct fleet_caller *
fleet_caller_start(struct harness_process *entry, const char *prompt,
                   unsigned tokens)
{
    struct fleet_caller *caller = g_new0(struct fleet_caller, 1);

    caller->entry = entry;
    caller->url = harness_process_url(entry, "/v1/completions");
    caller->body = fleet_body(prompt, tokens);
    g_assert_cmpint(pthread_create(&caller->thread, NULL, caller_main, caller),
                    ==, 0);
    return caller;
}

struct begun {
    struct fleet_caller *caller;
    size_t bytes;
};

static bool
has_begun(void *data)
{
    const struct begun *begun = data;

    return atomic_load(&begun->caller->bytes) >= begun->bytes;
}

void
fleet_caller_wait_begun(struct fleet_caller *caller, size_t bytes)
{
    struct begun begun = {.caller = caller, .bytes = bytes};

    g_assert_true(harness_wait_until(has_begun, &begun, BEGIN_LIMIT_S));
}

void
fleet_caller_hang_up(struct fleet_caller *caller)
{
    atomic_store(&caller->hang_up, true);
}

long
fleet_caller_finish(struct fleet_caller *caller, struct harness_stream *out)
{
    long status;

    pthread_join(caller->thread, NULL);
    status = caller->answer.status;
    harness_stream_parse(out, caller->answer.body->str);
    harness_answer_dispose(&caller->answer);
    g_free(caller->body);
    g_free(caller);
    return status;
}
