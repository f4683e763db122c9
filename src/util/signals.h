#ifndef PGW_UTIL_SIGNALS_H
#define PGW_UTIL_SIGNALS_H

#include "util/loop.h"

/**
 * pgw_signals_watch() - hear of signals on a loop
 * @loop: serves the callback
 * @on_signal: called with SIGTERM, SIGINT or SIGHUP; signals of one kind that
 *   come together are reported once
 * @context: handed to @on_signal
 * @error: %PGW_ERROR_IO
 *
 * Once per process. Ignores SIGPIPE. For programs without threads; the others
 * use pgw_program_signal_wait().
 */
bool pgw_signals_watch(struct pgw_loop *loop,
                       void (*on_signal)(int signal_number, void *context),
                       void *context, GError **error);

#endif
