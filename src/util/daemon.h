#ifndef PGW_UTIL_DAEMON_H
#define PGW_UTIL_DAEMON_H

#include "util/admin.h"
#include "util/loop.h"

/**
 * struct pgw_daemon - what the programs beside a loop have in common
 * @loop: run on a thread of its own
 * @drain: begins a planned stop; called on the loop's thread at a signal
 * @context: handed to @drain
 * @incarnation: random number of this process
 * @port: port of the daemon's work, printed for whoever started it
 * @admin: how to start the admin server
 */
struct pgw_daemon {
    struct pgw_loop *loop;
    void (*drain)(void *context);
    void *context;
    uint64_t incarnation;
    unsigned port;
    struct pgw_admin_options admin;
};

/**
 * pgw_daemon_serve() - serve until a signal and the planned stop after it
 * @daemon: the daemon
 * @error: %PGW_ERROR_IO or %PGW_ERROR_INVALID
 *
 * Prints "port=N" and "admin_port=N" on standard output once it serves. A
 * second signal does not cut the planned stop short.
 */
bool pgw_daemon_serve(struct pgw_daemon *daemon, GError **error);

#endif
