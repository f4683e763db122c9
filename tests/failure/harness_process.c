#include "harness_process.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "harness_http.h"
#include "util/list.h"

#define POLL_US 5000
#define START_LIMIT_S 30
#define STOP_LIMIT_S 60

struct harness {
    char *dir;
    unsigned count;
    struct pgw_list processes;
    GPtrArray *paths;
};

struct harness_process {
    struct pgw_list link;
    char *name;
    char *output_path;
    char *log_path;
    pid_t pid;
    bool ended;
    int status;
    uint16_t port;
    GPtrArray *urls;
};

struct harness *
harness_new(void)
{
    struct harness *harness = g_new0(struct harness, 1);

    harness->dir = g_dir_make_tmp("pgw-test-XXXXXX", NULL);
    g_assert_nonnull(harness->dir);
    harness->paths = g_ptr_array_new_with_free_func(g_free);
    pgw_list_init(&harness->processes);
    return harness;
}

static void
process_free(struct harness_process *process)
{
    if (!process->ended) {
        kill(process->pid, SIGKILL);
        waitpid(process->pid, NULL, 0);
    }
    g_free(process->name);
    g_free(process->output_path);
    g_free(process->log_path);
    g_ptr_array_unref(process->urls);
    g_free(process);
}

static void
remove_dir(const char *path)
{
    GDir *dir = g_dir_open(path, 0, NULL);
    const char *name;

    while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
        char *file = g_build_filename(path, name, NULL);

        g_unlink(file);
        g_free(file);
    }
    if (dir != NULL) {
        g_dir_close(dir);
    }
    g_rmdir(path);
}

void
harness_free(struct harness *harness)
{
    pgw_list_foreach_safe (pos, &harness->processes) {
        pgw_list_remove(pos);
        process_free(pgw_container_of(pos, struct harness_process, link));
    }
    if (g_getenv("PGW_HARNESS_KEEP") == NULL) {
        remove_dir(harness->dir);
    }
    g_ptr_array_unref(harness->paths);
    g_free(harness->dir);
    g_free(harness);
}

const char *
harness_dir(const struct harness *harness)
{
    return harness->dir;
}

const char *
harness_write_file(struct harness *harness, const char *name,
                   const char *format, ...)
{
    char *path = g_build_filename(harness->dir, name, NULL);
    va_list args;
    char *text;

    va_start(args, format);
    text = g_strdup_vprintf(format, args);
    va_end(args);
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    g_free(text);
    g_ptr_array_add(harness->paths, path);
    return path;
}

static char *
find_program(const char *program)
{
    const char *variable =
        g_str_has_prefix(program, "standin-") ? "PGW_STANDINS" : "PGW_BIN";
    const char *dir = g_getenv(variable);

    if (dir == NULL) {
        g_error("%s is not set: run the test with ctest", variable);
    }
    return g_build_filename(dir, program, NULL);
}

/* In the child; only async-signal-safe calls. posix_spawn() could not set
 * the signal that keeps a failed test from leaving processes behind. */
static void
exec_program(const char *path, char **argv, pid_t parent, int output, int log)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(126);
    }
    dup2(output, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(path, argv);
    _exit(127);
}

struct harness_process *
harness_spawnv(struct harness *harness, const char *program,
               const char *const *args)
{
    struct harness_process *process = g_new0(struct harness_process, 1);
    GPtrArray *argv = g_ptr_array_new();
    char *path = find_program(program);
    pid_t parent = getpid();
    int output, log;

    process->name = g_strdup_printf("%s-%u", program, ++harness->count);
    process->output_path =
        g_strdup_printf("%s/%s.out", harness->dir, process->name);
    process->log_path =
        g_strdup_printf("%s/%s.err", harness->dir, process->name);
    process->urls = g_ptr_array_new_with_free_func(g_free);
    output = open(process->output_path, O_CREAT | O_WRONLY | O_CLOEXEC, 0600);
    log = open(process->log_path, O_CREAT | O_WRONLY | O_CLOEXEC, 0600);
    g_assert_cmpint(output, >=, 0);
    g_assert_cmpint(log, >=, 0);
    g_ptr_array_add(argv, path);
    for (; *args != NULL; args++) {
        g_ptr_array_add(argv, (char *)*args);
    }
    g_ptr_array_add(argv, NULL);
    process->pid = fork();
    g_assert_cmpint(process->pid, >=, 0);
    if (process->pid == 0) {
        exec_program(path, (char **)argv->pdata, parent, output, log);
    }
    close(output);
    close(log);
    g_ptr_array_unref(argv);
    g_free(path);
    pgw_list_append(&harness->processes, &process->link);
    return process;
}

struct harness_process *
harness_spawn(struct harness *harness, const char *program, ...)
{
    GPtrArray *array = g_ptr_array_new();
    struct harness_process *process;
    const char *argument;
    va_list args;

    va_start(args, program);
    do {
        argument = va_arg(args, const char *);
        g_ptr_array_add(array, (char *)argument);
    } while (argument != NULL);
    va_end(args);
    process =
        harness_spawnv(harness, program, (const char *const *)array->pdata);
    g_ptr_array_unref(array);
    return process;
}

pid_t
harness_process_pid(const struct harness_process *process)
{
    return process->pid;
}

static char *
read_file(const char *path)
{
    char *text = NULL;

    return g_file_get_contents(path, &text, NULL, NULL) ? text : g_strdup("");
}

char *
harness_process_output(const struct harness_process *process)
{
    return read_file(process->output_path);
}

char *
harness_process_log(const struct harness_process *process)
{
    return read_file(process->log_path);
}

bool
harness_process_is_running(struct harness_process *process)
{
    if (!process->ended &&
        waitpid(process->pid, &process->status, WNOHANG) == process->pid) {
        process->ended = true;
    }
    return !process->ended;
}

static bool
has_port(void *data)
{
    struct harness_process *process = data;
    bool running = harness_process_is_running(process);
    char *output = harness_process_output(process);
    const char *line = strstr(output, "port=");

    if (line != NULL && strchr(line, '\n') != NULL) {
        process->port =
            (uint16_t)g_ascii_strtoull(line + strlen("port="), NULL, 10);
    }
    g_free(output);
    return process->port != 0 || !running;
}

uint16_t
harness_process_port(struct harness_process *process)
{
    if (process->port == 0 &&
        (!harness_wait_until(has_port, process, START_LIMIT_S) ||
         process->port == 0)) {
        char *log = harness_process_log(process);

        g_error("%s printed no port: %s", process->name, log);
    }
    return process->port;
}

const char *
harness_process_url(struct harness_process *process, const char *path)
{
    char *url = g_strdup_printf("http://127.0.0.1:%u%s",
                                harness_process_port(process), path);

    g_ptr_array_add(process->urls, url);
    return url;
}

void
harness_process_signal(struct harness_process *process, int signal)
{
    g_assert_true(harness_process_is_running(process));
    g_assert_cmpint(kill(process->pid, signal), ==, 0);
}

static bool
has_ended(void *data)
{
    return !harness_process_is_running(data);
}

int
harness_process_wait(struct harness_process *process)
{
    if (!harness_wait_until(has_ended, process, STOP_LIMIT_S)) {
        char *log = harness_process_log(process);

        g_error("%s does not end: %s", process->name, log);
    }
    return WIFEXITED(process->status) ? WEXITSTATUS(process->status)
                                      : -WTERMSIG(process->status);
}

int
harness_process_stop(struct harness_process *process, int signal)
{
    if (harness_process_is_running(process)) {
        kill(process->pid, signal);
    }
    return harness_process_wait(process);
}

static bool
is_ready(void *url)
{
    struct harness_answer answer;
    bool ready = harness_get(&answer, url) == 200;

    harness_answer_dispose(&answer);
    return ready;
}

void
harness_wait_ready(const char *url)
{
    if (!harness_wait_until(is_ready, (void *)url, START_LIMIT_S)) {
        g_error("no answer 200 from %s", url);
    }
}

bool
harness_wait_until(bool (*check)(void *data), void *data, int limit_s)
{
    gint64 deadline = g_get_monotonic_time() + limit_s * G_USEC_PER_SEC;

    while (!check(data)) {
        if (g_get_monotonic_time() > deadline) {
            return false;
        }
        g_usleep(POLL_US);
    }
    return true;
}
