#ifndef FAILURE_HARNESS_PROCESS_H
#define FAILURE_HARNESS_PROCESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/**
 * DOC: Real processes for tests
 *
 * A harness owns a directory for settings and output and all processes
 * started in it. Each function fails the running test when it cannot do its
 * job; every wait is bounded.
 */

struct harness;
struct harness_process;

/** harness_new() - make a harness with an empty directory of its own */
struct harness *harness_new(void);

/**
 * harness_free() - kill what still runs and remove the directory
 *
 * With PGW_HARNESS_KEEP set in the environment the directory stays.
 */
void harness_free(struct harness *harness);

const char *harness_dir(const struct harness *harness);

/**
 * harness_write_file() - write a settings file
 * @name: file name within the directory
 * @format: its text
 *
 * Return: its path, owned by the harness.
 */
const char *harness_write_file(struct harness *harness, const char *name,
                               const char *format, ...) G_GNUC_PRINTF(3, 4);

/**
 * harness_spawn() - start a program
 * @program: "standin-.." is found in $PGW_STANDINS, all others in $PGW_BIN
 *
 * Arguments follow, then NULL. Output goes to files in the directory. The
 * process dies with the thread that started it, so start processes in the
 * main thread.
 *
 * Return: the process, owned by the harness.
 */
struct harness_process *harness_spawn(struct harness *harness,
                                      const char *program,
                                      ...) G_GNUC_NULL_TERMINATED;

/** harness_spawnv() - as harness_spawn(), with a NULL-terminated array */
struct harness_process *harness_spawnv(struct harness *harness,
                                       const char *program,
                                       const char *const *args);

pid_t harness_process_pid(const struct harness_process *process);

/** harness_process_port() - the port of its "port=N" line, waited for */
uint16_t harness_process_port(struct harness_process *process);

/**
 * harness_process_url() - "http://127.0.0.1:PORT" and @path
 *
 * Return: owned by the process.
 */
const char *harness_process_url(struct harness_process *process,
                                const char *path);

/** harness_process_output() - standard output so far; free it */
char *harness_process_output(const struct harness_process *process);

/** harness_process_log() - standard error so far; free it */
char *harness_process_log(const struct harness_process *process);

bool harness_process_is_running(struct harness_process *process);

/** harness_process_signal() - SIGSTOP, SIGCONT .. to a running process */
void harness_process_signal(struct harness_process *process, int signal);

/**
 * harness_process_wait() - wait until it has ended
 *
 * Return: its exit status, or minus the signal that ended it.
 */
int harness_process_wait(struct harness_process *process);

/** harness_process_stop() - send a signal, then harness_process_wait() */
int harness_process_stop(struct harness_process *process, int signal);

/** harness_wait_ready() - wait until a GET of @url is answered with 200 */
void harness_wait_ready(const char *url);

/**
 * harness_wait_until() - poll a condition
 * @check: tells whether the condition holds
 * @limit_s: most seconds to wait; generous, as machines are slow
 *
 * Return: whether it came to hold.
 */
bool harness_wait_until(bool (*check)(void *data), void *data, int limit_s);

#endif
