#ifndef PGW_UTIL_PROGRAM_H
#define PGW_UTIL_PROGRAM_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/**
 * enum pgw_exit - exit codes of all programs
 * @PGW_EXIT_OK: done
 * @PGW_EXIT_FAILURE: failed for a reason without a code of its own
 * @PGW_EXIT_USAGE: wrong command line
 * @PGW_EXIT_INVALID: settings or objects that do not pass the check
 * @PGW_EXIT_UNAVAILABLE: a store or process cannot be reached; try again
 * @PGW_EXIT_CONFLICT: somebody else changed the object first
 * @PGW_EXIT_NOT_FOUND: no such object
 * @PGW_EXIT_REFUSED: the change would do harm; needs --force
 */
enum pgw_exit {
    PGW_EXIT_OK = 0,
    PGW_EXIT_FAILURE = 1,
    PGW_EXIT_USAGE = 2,
    PGW_EXIT_INVALID = 3,
    PGW_EXIT_UNAVAILABLE = 4,
    PGW_EXIT_CONFLICT = 5,
    PGW_EXIT_NOT_FOUND = 6,
    PGW_EXIT_REFUSED = 7,
};

/** pgw_exit_from_error() - exit code for an error of domain %PGW_ERROR */
int pgw_exit_from_error(const GError *error);

/**
 * struct pgw_program - a daemon's command line
 * @name: program name
 * @summary: one line for --help
 * @check: load the settings file and forget it; for --check
 * @run: serve with the settings file until a signal; returns &enum pgw_exit
 */
struct pgw_program {
    const char *name;
    const char *summary;
    bool (*check)(const char *config, GError **error);
    int (*run)(const char *config, GError **error);
};

/**
 * pgw_program_raise_file_limit() - allow as many open files as the system does
 *
 * An entry holds a connection for each sidecar, a sidecar one for each entry,
 * and stand-ins for thousands: more than the 1,024 that many systems grant
 * unless asked. Programs started later inherit it.
 */
void pgw_program_raise_file_limit(void);

/**
 * pgw_program_main() - whole main() of a daemon
 * @program: the daemon
 * @argc: from main()
 * @argv: from main()
 *
 * Takes --config FILE, --check, --help and --version. Ignores SIGPIPE and
 * blocks SIGTERM, SIGINT and SIGHUP before @run starts threads, so that
 * pgw_program_signal_wait() is the only place where they arrive. An error
 * that @run or @check sets is printed as one line.
 */
int pgw_program_main(const struct pgw_program *program, int argc, char **argv);

/**
 * pgw_program_signal_wait() - wait for SIGTERM, SIGINT or SIGHUP
 * @timeout_ms: longest wait; negative waits for ever
 *
 * Return: number of the signal, 0 after the timeout.
 */
int pgw_program_signal_wait(int timeout_ms);

G_END_DECLS

#endif
