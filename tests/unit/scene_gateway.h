#ifndef UNIT_SCENE_GATEWAY_H
#define UNIT_SCENE_GATEWAY_H

#include "codec.h"
#include "gateway/request/gateway.h"
#include "libparsleygw/link.h"
#include <pthread.h>

/**
 * DOC: Test fixture: a gateway whose callers and upstreams are the test
 *
 * The gateway runs on its own thread. The test acts as callers and upstreams
 * with blocking sockets, one step at a time, so that it controls the order of
 * events and never sleeps.
 */

#define SCENE_UPSTREAMS 3
#define SCENE_KEY "key-1"
/* Key of a workspace with a lower priority than that of SCENE_KEY. */
#define SCENE_KEY_LOW_PRIORITY "key-2"
/* Longest wait for an expected event; expires only when a test fails. */
#define SCENE_TIMEOUT_S 20

/**
 * struct scene - the gateway and its upstreams
 * @listeners: listening sockets of the upstreams
 * @stopped: upstreams that no longer listen
 * @software: software versions of the upstreams, NULL: not listed
 * @restarts: number of changes of the list by restarts
 * @incarnations: number of the upstreams' restarts
 * @routes_version: version of the configuration in force
 * @status_path: path of the upstreams' status check in the next configuration,
 *   NULL: there is none
 */
struct scene {
    struct pgw_loop *loop;
    struct pgw_gateway *gateway;
    pthread_t thread;
    int listeners[SCENE_UPSTREAMS];
    bool stopped[SCENE_UPSTREAMS];
    unsigned upstreams;
    const char *software[SCENE_UPSTREAMS];
    unsigned restarts;
    unsigned incarnations[SCENE_UPSTREAMS];
    uint64_t routes_version;
    const char *status_path;
};

/**
 * scene_new() - create a gateway with upstreams, and without a configuration
 * @upstreams: number of upstreams, each with one slot
 *
 * scene_set_routes() sets the routes of host "h.example": a request to
 * "/once/" must run at most once, one to "/again/" is repeatable, "/flow/" is
 * a resumable stream, "/brook/" a stream that is not resumable, "/late/" has a
 * timeout of 300 ms, "/brisk/" is repeatable and has one of 1,500 ms,
 * "/quick/" is the same and moves to another upstream after a second, "/open/"
 * needs no key, "/first/" has a higher priority than "/once/", "/soon/" is a
 * stream with objectives, and "/brief/" one whose callers also leave early.
 * All routes have the same service.
 */
struct scene *scene_new(unsigned upstreams);
void scene_free(struct scene *scene);

/** scene_new_after_restart() - as scene_new(), but the gateway is started
 * again in a deployment that has run before, and first lists these versions */
struct scene *scene_new_after_restart(unsigned upstreams,
                                      const char *const *software);

/** scene_new_with_probe_wait() - as scene_new(), with a longest wait for
 * answers of probed sidecars, in microseconds */
struct scene *scene_new_with_probe_wait(unsigned upstreams,
                                        uint64_t probe_wait_us);

/** scene_new_with_start_pause() - as scene_new(), but callers wait for the
 * configuration, and requests for links to sidecars, for longer than the test
 * may take, so that a busy machine does not end the wait early */
struct scene *scene_new_with_start_pause(unsigned upstreams);

/** scene_new_without_answer_grace() - as scene_new(), but an attempt at a
 * process whose successor is listed ends at once */
struct scene *scene_new_without_answer_grace(unsigned upstreams);

/** scene_new_with_crash_gap() - as scene_new(), with the gateway's own rule on
 * crashes of one request that follow each other closely */
struct scene *scene_new_with_crash_gap(unsigned upstreams);

/** scene_new_with_answers_bound() - as scene_new(), with a bound of the
 * incomplete answers that the gateway holds */
struct scene *scene_new_with_answers_bound(unsigned upstreams, size_t bytes);

/** scene_stop_listening() - an upstream refuses connections from now on */
void scene_stop_listening(struct scene *scene, unsigned upstream);

/** scene_list_again() - remove the records of all upstreams, and list the same
 * processes again */
void scene_list_again(struct scene *scene);

/** scene_restart_upstreams() - list new incarnations at the addresses of all
 * upstreams, as after a crash of each */
void scene_restart_upstreams(struct scene *scene);

/** scene_restart_upstream() - the same for one upstream */
void scene_restart_upstream(struct scene *scene, unsigned upstream);

/** scene_listen() - open a listening socket on loopback and return its address
 * in @address */
int scene_listen(struct pgw_address *address);

/** scene_loop_main() - thread function that runs a &struct pgw_loop */
void *scene_loop_main(void *loop);

struct pgw_engine_sidecar;

/** scene_connect_entry() - connect to a sidecar as an entry; called on the
 * loop */
struct pgw_link *scene_connect_entry(struct pgw_loop *loop,
                                     const struct pgw_engine_sidecar *sidecar,
                                     const struct pgw_link_ops *ops);

/** scene_run() - run a function on the gateway's thread and wait for it */
void scene_run(struct scene *scene, void (*run)(struct scene *scene));

/** scene_set_routes() - set a configuration of a version, with or without the
 * key SCENE_KEY */
void scene_set_routes(struct scene *scene, uint64_t version, bool with_key);

/** scene_set_quota() - the same with the key, and with a quota of @rate
 * requests per second and @burst at once for its workspace */
void scene_set_quota(struct scene *scene, uint64_t version, double rate,
                     double burst);

/** scene_connect() - connect as a caller */
int scene_connect(struct scene *scene);

/** scene_call() - connect as a caller, send a request and return the socket */
int scene_call(struct scene *scene, const char *path, const char *id);

/** scene_call_with_key() - the same with another key */
int scene_call_with_key(struct scene *scene, const char *key, const char *path,
                        const char *id);

/** scene_call_with_body() - the same with another body */
int scene_call_with_body(struct scene *scene, const char *path, const char *id,
                         const char *body);

/** scene_call_with_fields() - the same with additional header lines, each with
 * its CRLF */
int scene_call_with_fields(struct scene *scene, const char *path,
                           const char *id, const char *fields);

/** scene_call_with_prompt() - send a prompt with these parts, as the wire has
 * them, and with a body that no other attempt has */
int scene_call_with_prompt(struct scene *scene, const char *path,
                           const char *id, const char *parts);

/** scene_call_with_key_and_prompt() - send a prompt of 68 tokens with another
 * key */
int scene_call_with_key_and_prompt(struct scene *scene, const char *key,
                                   const char *path, const char *id);

/** scene_send() - send text on a socket */
void scene_send(int fd, const char *text);

/** scene_accept() - accept the next connection of an upstream */
int scene_accept(struct scene *scene, unsigned upstream);

/** scene_accept_any() - accept the next connection of any upstream */
int scene_accept_any(struct scene *scene, unsigned *upstream);

/** scene_has_no_connection() - no connection to an upstream waits to be
 * accepted */
bool scene_has_no_connection(struct scene *scene, unsigned upstream);

/** scene_read_request() - read one request; free the text */
char *scene_read_request(int fd);

/**
 * scene_answer() - send a genuine upstream's answer with the attempt's id
 * @fields: additional header lines with their CRLF, or ""
 */
void scene_answer(int fd, const char *id, unsigned status, const char *fields,
                  const char *body);

/** scene_refuse() - answer that the request was not run */
void scene_refuse(int fd);

/** scene_refuse_with() - the same with additional header lines, each with its
 * CRLF */
void scene_refuse_with(int fd, const char *fields);

/** scene_begin_stream() - send the head of a chunked stream */
void scene_begin_stream(int fd, const char *id);

/** scene_chunk() - send one chunk of a stream */
void scene_chunk(int fd, const char *text);

/** scene_reset() - close a connection with a reset */
void scene_reset(int fd);

/** scene_read_until() - read until a text has arrived; free the result */
char *scene_read_until(int fd, const char *text);

/** scene_read_all() - read until the connection ends; free the result */
char *scene_read_all(int fd);

#endif
