#include "util/program.h"

#include "parsleygw/errors.h"

#include <errno.h>
#include <getopt.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <sys/resource.h>
#include <time.h>

int
pgw_exit_from_error(const GError *error)
{
    if (error == NULL) {
        return PGW_EXIT_OK;
    }
    if (error->domain != PGW_ERROR) {
        return PGW_EXIT_FAILURE;
    }
    switch (error->code) {
    case PGW_ERROR_INVALID:
    case PGW_ERROR_TOO_LARGE:
        return PGW_EXIT_INVALID;
    case PGW_ERROR_UNAVAILABLE:
    case PGW_ERROR_TIMEOUT:
    case PGW_ERROR_OVERLOADED:
    case PGW_ERROR_UNKNOWN_OUTCOME:
        return PGW_EXIT_UNAVAILABLE;
    case PGW_ERROR_CONFLICT:
    case PGW_ERROR_STALE:
        return PGW_EXIT_CONFLICT;
    case PGW_ERROR_NOT_FOUND:
        return PGW_EXIT_NOT_FOUND;
    default:
        return PGW_EXIT_FAILURE;
    }
}

static void
print_help(const struct pgw_program *program)
{
    printf("%s - %s\n\n"
           "Usage: %s --config FILE [--check]\n\n"
           "  -c, --config FILE  settings, JSON\n"
           "      --check        check the settings and exit\n"
           "  -h, --help         show this text\n"
           "  -V, --version      show the version\n\n"
           "Exit codes: 0 done, 1 failed, 2 wrong command line, 3 settings\n"
           "that do not pass the check, 4 something cannot be reached,\n"
           "6 no such file.\n",
           program->name, program->summary, program->name);
}

static void
stop_set(sigset_t *out)
{
    sigemptyset(out);
    sigaddset(out, SIGTERM);
    sigaddset(out, SIGINT);
    sigaddset(out, SIGHUP);
}

/* A write to a peer that has gone must return an error, not end the
 * process: every planned stop of a peer would otherwise stop this one. */
static void
prepare_signals(void)
{
    sigset_t set;

    signal(SIGPIPE, SIG_IGN);
    stop_set(&set);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
}

void
pgw_program_raise_file_limit(void)
{
    struct rlimit limit;

    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

int
pgw_program_signal_wait(int timeout_ms)
{
    struct timespec timeout = {.tv_sec = timeout_ms / 1000,
                               .tv_nsec = timeout_ms % 1000 * 1000000L};
    sigset_t set;
    int signal_number;

    stop_set(&set);
    do {
        signal_number = timeout_ms < 0 ? sigwaitinfo(&set, NULL)
                                       : sigtimedwait(&set, NULL, &timeout);
    } while (signal_number < 0 && errno == EINTR);
    return signal_number < 0 ? 0 : signal_number;
}

struct command_line {
    const char *config;
    bool check;
    bool help;
    bool version;
};

static bool
parse(struct command_line *out, int argc, char **argv)
{
    enum {
        CHECK = 256
    };
    static const struct option options[] = {
        {"config", required_argument, NULL, 'c'},
        {"check", no_argument, NULL, CHECK},
        {"help", no_argument, NULL, 'h'},
        {"version", no_argument, NULL, 'V'},
        {NULL, 0, NULL, 0},
    };
    int option;

    while ((option = getopt_long(argc, argv, "c:hV", options, NULL)) != -1) {
        switch (option) {
        case 'c':
            out->config = optarg;
            break;
        case CHECK:
            out->check = true;
            break;
        case 'h':
            out->help = true;
            break;
        case 'V':
            out->version = true;
            break;
        default:
            return false;
        }
    }
    return optind == argc;
}

static int
report(const struct pgw_program *program, GError *error, int code)
{
    if (error != NULL) {
        fprintf(stderr, "%s: %s\n", program->name, error->message);
        if (code == PGW_EXIT_OK) {
            code = pgw_exit_from_error(error);
        }
        g_error_free(error);
    }
    return code;
}

int
pgw_program_main(const struct pgw_program *program, int argc, char **argv)
{
    struct command_line line = {0};
    GError *error = NULL;
    int code = PGW_EXIT_OK;

    if (!parse(&line, argc, argv)) {
        fprintf(stderr, "%s: wrong arguments; see %s --help\n", program->name,
                program->name);
        return PGW_EXIT_USAGE;
    }
    if (line.help) {
        print_help(program);
        return PGW_EXIT_OK;
    }
    if (line.version) {
        printf("%s %s\n", program->name, PGW_VERSION);
        return PGW_EXIT_OK;
    }
    if (line.config == NULL) {
        fprintf(stderr, "%s: no settings; add --config FILE\n", program->name);
        return PGW_EXIT_USAGE;
    }
    if (line.check) {
        if (program->check(line.config, &error)) {
            printf("%s: valid\n", line.config);
        }
        return report(program, error, PGW_EXIT_OK);
    }
    prepare_signals();
    pgw_program_raise_file_limit();
    code = program->run(line.config, &error);
    return report(program, error, code);
}
