#ifndef FAILURE_HARNESS_FLEET_H
#define FAILURE_HARNESS_FLEET_H

#include <pthread.h>

#include "harness_http.h"
#include "harness_process.h"
#include "parsleygw/config.h"

/**
 * DOC: A whole small fleet for tests
 *
 * The object API, engines and a plain service with their sidecars, entries,
 * and where wanted a fault-injecting proxy on a path. The workspace is
 * "parish", its key %FLEET_KEY; the model profile is "ask" (pool "guide"), the
 * profiles of the plain service are "print" (not repeatable) and "look"
 * (repeatable).
 */

#define FLEET_KEY "test-key-1"
#define FLEET_MAX 12
#define FLEET_REGIONS 2

/**
 * struct fleet_options - what to start
 * @engines: model engines, each with a sidecar
 * @entries: entries
 * @regions: 2: processes of even index are in zone "a", of odd index in "b";
 *     each region has a sidecar beside the plain service and a way of its own
 *     to the object API; 0: one
 * @service: also a plain service with a sidecar
 * @proxy_links: a proxy before each sidecar
 * @proxy_upstreams: a proxy between each sidecar and its upstream
 * @proxy_store: a proxy before the object API, one for each region
 * @deadline_ms: of all profiles
 * @max_tokens: of the model profile
 * @engine_args: further arguments of the engines, NULL-terminated, or NULL
 * @service_args: of the plain service, likewise
 * @entry_settings: further members, such as ",\"max_inflight\":8", or ""
 * @sidecar_settings: likewise
 */
struct fleet_options {
    unsigned engines;
    unsigned entries;
    unsigned regions;
    bool service;
    bool proxy_links;
    bool proxy_upstreams;
    bool proxy_store;
    unsigned deadline_ms;
    unsigned max_tokens;
    const char *const *engine_args;
    const char *const *service_args;
    const char *entry_settings;
    const char *sidecar_settings;
};

#define FLEET_OPTIONS_INIT                                                    \
    {                                                                         \
        .engines = 2, .entries = 1, .deadline_ms = 60000, .max_tokens = 4096, \
        .entry_settings = "", .sidecar_settings = ""                          \
    }

/**
 * struct fleet - the running processes
 * @expected: configuration objects as the store holds them
 * @engines: model engines
 * @oracle: a fast engine that tells fleet_expected()
 * @stores: the object API or proxies before it, by region
 * @sidecars: theirs, by the same index; those of the service follow
 * @links: proxies before the sidecars, by the same index, or NULL
 * @upstreams: proxies before the upstreams, by the same index, or NULL
 * @entries: entries
 */
struct fleet {
    struct harness *harness;
    struct pgw_config_set *expected;
    struct harness_process *objects;
    struct harness_process *stores[FLEET_REGIONS];
    struct harness_process *engines[FLEET_MAX];
    struct harness_process *service;
    struct harness_process *oracle;
    struct harness_process *sidecars[FLEET_MAX];
    struct harness_process *links[FLEET_MAX];
    struct harness_process *upstreams[FLEET_MAX];
    struct harness_process *entries[FLEET_MAX];
    struct fleet_options options;
};

/** fleet_new() - start all and wait until every entry uses every upstream */
struct fleet *fleet_new(const struct fleet_options *options);

/** fleet_free() - end all; fails the test if a daemon crashed before */
void fleet_free(struct fleet *fleet);

/** fleet_put() - create or replace a configuration object */
void fleet_put(struct fleet *fleet, const char *kind, const char *name,
               const char *format, ...) G_GNUC_PRINTF(4, 5);

/** fleet_admin_url() - "http://127.0.0.1:ADMIN_PORT" and @path; a daemon */
const char *fleet_admin_url(struct harness_process *process, const char *path);

/** fleet_status_int() - a number of a daemon's /status */
gint64 fleet_status_int(struct harness_process *process, const char *name);

/** fleet_config() - the configuration that a daemon's /status names */
uint64_t fleet_config(struct harness_process *process);

/** fleet_metric() - a counter of a daemon's /metrics, 0 when absent */
double fleet_metric(struct harness_process *process, const char *name);

/** fleet_wait_configured() - wait until an entry holds the store's objects */
void fleet_wait_configured(struct fleet *fleet, struct harness_process *entry);

/** fleet_wait_usable() - wait until an entry counts so many upstreams */
void fleet_wait_usable(struct harness_process *entry, unsigned count);

/** fleet_resident_kib() - VmRSS of a process */
unsigned long fleet_resident_kib(struct harness_process *process);

/** fleet_set_mode() - tell a proxy what to do: JSON of its POST /mode */
void fleet_set_mode(struct harness_process *proxy, const char *mode);

/** fleet_call() - a call to an entry with the key; the caller sets the rest */
long fleet_call(struct harness_answer *out, struct harness_process *entry,
                const char *path, const struct harness_call *call);

/** fleet_body() - JSON of a streamed completion of @tokens tokens; free it */
char *fleet_body(const char *prompt, unsigned tokens);

/** fleet_ask() - a streamed completion; asserts HTTP status 200 */
void fleet_ask(struct harness_stream *out, struct harness_process *entry,
               const char *prompt, unsigned tokens);

/** fleet_ask_as() - the same with the key of another workspace */
void fleet_ask_as(struct fleet *fleet, struct harness_stream *out,
                  const char *key, const char *prompt, unsigned tokens);

/** fleet_put_workspace() - add a workspace, and wait for the first entry */
void fleet_put_workspace(struct fleet *fleet, const char *name,
                         const char *key);

/** fleet_expected() - the text that any engine gives; free it */
char *fleet_expected(struct fleet *fleet, const char *prompt, unsigned tokens);

/** fleet_assert_whole() - a stream ended and has the expected text */
void fleet_assert_whole(struct fleet *fleet,
                        const struct harness_stream *stream,
                        const char *prompt, unsigned tokens);

/**
 * struct fleet_caller - a streamed completion on a thread of its own
 * @text_bytes: bytes that came so far
 * @stop: set: close the connection in the middle
 * @slow_us: pause after each piece
 */
struct fleet_caller;

struct fleet_caller *fleet_caller_start(struct harness_process *entry,
                                        const char *prompt, unsigned tokens);

/** fleet_caller_wait_begun() - wait until so many bytes have come */
void fleet_caller_wait_begun(struct fleet_caller *caller, size_t bytes);

/** fleet_caller_hang_up() - close the connection at the next piece */
void fleet_caller_hang_up(struct fleet_caller *caller);

/** fleet_caller_finish() - join; returns the HTTP status, fills @out */
long fleet_caller_finish(struct fleet_caller *caller,
                         struct harness_stream *out);

/**
 * struct fleet_print - a call of "print", which may not be repeated, on a
 * thread of its own
 * @answer: after fleet_print_wait()
 */
struct fleet_print {
    pthread_t thread;
    struct harness_process *entry;
    const char *key;
    struct harness_answer answer;
};

void fleet_print_start(struct fleet_print *print,
                       struct harness_process *entry, const char *key);

/** fleet_print_wait() - join. Return: the HTTP status */
long fleet_print_wait(struct fleet_print *print);

/** fleet_print_count() - how often the service ran @key */
gint64 fleet_print_count(struct fleet *fleet, const char *key);

/** fleet_refusal() - checks that an answer is a refusal object as expected */
void fleet_assert_refusal(const struct harness_answer *answer, long status,
                          const char *code, const char *ran);

#endif
