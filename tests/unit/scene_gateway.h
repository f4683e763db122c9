#ifndef UNIT_SCENE_GATEWAY_H
#define UNIT_SCENE_GATEWAY_H

#include "codec.h"
#include "gateway/gateway.h"
#include "libparsleygw/link.h"
#include <pthread.h>

/**
 * DOC: A gateway between sockets that the test holds
 *
 * The gateway runs on a thread of its own. The test plays callers and
 * upstreams with blocking sockets, one step after the other, so that the order
 * of events is the test's and no time is waited for.
 */

#define SCENE_UPSTREAMS 3
#define SCENE_KEY "key-1"
/* Key of a workspace that comes after that of SCENE_KEY. */
#define SCENE_KEY_LOW_PRIORITY "key-2"
/* Longest wait for what must come; reached only when a test fails. */
#define SCENE_TIMEOUT_S 20

/**
 * struct scene - the gateway and its upstreams
 * @listeners: sockets of the upstreams
 * @stopped: those where nobody listens any more
 * @incarnation: how often all upstreams were started again
 * @routes_version: version of the configuration in force
 */
struct scene {
    struct pgw_loop *loop;
    struct pgw_gateway *gateway;
    pthread_t thread;
    int listeners[SCENE_UPSTREAMS];
    bool stopped[SCENE_UPSTREAMS];
    unsigned upstreams;
    unsigned incarnation;
    uint64_t routes_version;
};

/**
 * scene_new() - a gateway with routes and upstreams
 * @upstreams: number of them, each with one place
 *
 * Host "h.example": "/once/" may run once, "/again/" may be repeated, "/flow/"
 * is a stream that may be resumed, "/brook/" one that may not, "/late/" gives
 * up after 300 ms, "/open/" asks for no key. All go to one service.
 */
struct scene *scene_new(unsigned upstreams);
void scene_free(struct scene *scene);

/** scene_new_with_probe_wait() - the same with a time that answers of sidecars
 * are waited for, in microseconds */
struct scene *scene_new_with_probe_wait(unsigned upstreams,
                                        uint64_t probe_wait_us);

/** scene_new_with_start_pause() - the same, where callers wait for the
 * configuration, and requests for links to sidecars, as long as the test may
 * take: a busy machine ends that pause no sooner */
struct scene *scene_new_with_start_pause(unsigned upstreams);

/** scene_new_without_answer_grace() - the same, where nothing is expected of a
 * process any more once another one has its place */
struct scene *scene_new_without_answer_grace(unsigned upstreams);

/** scene_stop_listening() - nobody listens at an upstream's address any more
 */
void scene_stop_listening(struct scene *scene, unsigned upstream);

/** scene_restart_upstreams() - the list names new incarnations at all
 * addresses, as after a crash of each */
void scene_restart_upstreams(struct scene *scene);

/** scene_listen() - a listening socket on loopback and where it listens */
int scene_listen(struct pgw_address *address);

/** scene_loop_main() - a thread's function that runs a &struct pgw_loop */
void *scene_loop_main(void *loop);

struct pgw_engine_sidecar;

/** scene_connect_entry() - connect to a guard as an entry; on its loop */
struct pgw_link *scene_connect_entry(struct pgw_loop *loop,
                                     const struct pgw_engine_sidecar *guard,
                                     const struct pgw_link_ops *ops);

/** scene_run() - run a function on the gateway's thread and wait for it */
void scene_run(struct scene *scene, void (*run)(struct scene *scene));

/** scene_set_routes() - a configuration of a version, with or without the key
 */
void scene_set_routes(struct scene *scene, uint64_t version, bool with_key);

/** scene_set_quota() - the same with the key, whose workspace may spend @rate
 * requests a second, and @burst at once */
void scene_set_quota(struct scene *scene, uint64_t version, double rate,
                     double burst);

/** scene_call() - connect as a caller and send a request; returns the socket
 */
int scene_call(struct scene *scene, const char *path, const char *id);

/** scene_call_with_key() - the same with another key */
int scene_call_with_key(struct scene *scene, const char *key, const char *path,
                        const char *id);

/** scene_call_with_body() - the same with a body of one's own */
int scene_call_with_body(struct scene *scene, const char *path, const char *id,
                         const char *body);

/** scene_call_with_fields() - the same with further header lines, each with
 * its CRLF */
int scene_call_with_fields(struct scene *scene, const char *path,
                           const char *id, const char *fields);

/** scene_send() - send text on a socket */
void scene_send(int fd, const char *text);

/** scene_accept() - the next connection of an upstream */
int scene_accept(struct scene *scene, unsigned upstream);

/** scene_accept_any() - the next connection of whichever upstream gets one */
int scene_accept_any(struct scene *scene, unsigned *upstream);

/** scene_has_no_connection() - no connection waits at an upstream */
bool scene_has_no_connection(struct scene *scene, unsigned upstream);

/** scene_read_request() - read one request; free the text */
char *scene_read_request(int fd);

/**
 * scene_answer() - answer as an upstream: genuine, with the attempt's id
 * @fields: further header lines with their CRLF, or ""
 */
void scene_answer(int fd, const char *id, unsigned status, const char *fields,
                  const char *body);

/** scene_refuse() - answer that the request was not run */
void scene_refuse(int fd);

/** scene_begin_stream() - head of a stream in chunks */
void scene_begin_stream(int fd, const char *id);

/** scene_chunk() - one chunk of it */
void scene_chunk(int fd, const char *text);

/** scene_reset() - close with a reset */
void scene_reset(int fd);

/** scene_read_until() - read until a text has come; free the result */
char *scene_read_until(int fd, const char *text);

/** scene_read_all() - read until the connection ends; free the result */
char *scene_read_all(int fd);

#endif
