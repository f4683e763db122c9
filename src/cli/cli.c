#include "cli/cli.h"

#include "parsleygw/errors.h"
#include "util/program.h"

#include <curl/curl.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

static int
usage_error(const char *format, const char *detail)
{
    fprintf(stderr, "parsleygw: ");
    fprintf(stderr, format, detail);
    fprintf(stderr, "; see parsleygw help\n");
    return PGW_EXIT_USAGE;
}

static bool
check_arguments(const struct pgw_cli_command *command,
                const struct pgw_cli *cli)
{
    if (cli->n_args < command->min_args ||
        (command->max_args >= 0 && cli->n_args > command->max_args)) {
        fprintf(stderr, "parsleygw: write: parsleygw %s%s%s %s\n",
                command->group, command->name != NULL ? " " : "",
                command->name != NULL ? command->name : "",
                command->arguments);
        return false;
    }
    if ((cli->options.given & ~command->flags) != 0) {
        usage_error("%s does not take one of the given options",
                    command->name != NULL ? command->name : command->group);
        return false;
    }
    return true;
}

static int
run_command(struct pgw_cli *cli, const struct pgw_cli_command *command)
{
    GError *error = NULL;
    int code = PGW_EXIT_OK;

    if (!command->run(cli, command, &error)) {
        code = cli->refused ? PGW_EXIT_REFUSED : PGW_EXIT_FAILURE;
        if (error != NULL) {
            fprintf(stderr, "parsleygw: %s\n", error->message);
            if (!cli->refused) {
                code = pgw_exit_from_error(error);
            }
        }
    }
    g_clear_error(&error);
    if (fflush(stdout) != 0) {
        fprintf(stderr, "parsleygw: cannot write the output\n");
        code = PGW_EXIT_FAILURE;
    }
    return code;
}

/* getopt_long() has moved all options to the front. */
static int
dispatch(struct pgw_cli *cli, int argc, char **argv, int first)
{
    const struct pgw_cli_command *command;
    int used = 0;

    if (first == argc || strcmp(argv[first], "help") == 0) {
        pgw_cli_print_help();
        return first == argc ? PGW_EXIT_USAGE : PGW_EXIT_OK;
    }
    command = pgw_cli_find_command(argv + first, argc - first, &used);
    if (command == NULL) {
        return usage_error("no command \"%s\"", argv[first]);
    }
    cli->args = argv + first + used;
    cli->n_args = argc - first - used;
    if (!check_arguments(command, cli)) {
        return PGW_EXIT_USAGE;
    }
    return run_command(cli, command);
}

int
pgw_cli_main(int argc, char **argv)
{
    struct pgw_cli cli = {.options = {.if_version = -1, .max_inflight = -1}};
    GError *error = NULL;
    int code;

    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    if (!pgw_cli_options_parse(&cli.options, argc, argv, &error)) {
        code = usage_error("%s", error->message);
    }
    else if (!pgw_cli_options_load_settings(&cli.options, &error)) {
        fprintf(stderr, "parsleygw: %s\n", error->message);
        code = pgw_exit_from_error(error);
    }
    else {
        code = dispatch(&cli, argc, argv, optind);
    }
    g_clear_error(&error);
    if (cli.store != NULL) {
        pgw_store_free(cli.store);
    }
    pgw_cli_options_dispose(&cli.options);
    curl_global_cleanup();
    return code;
}
