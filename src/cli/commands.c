#include "cli/cli.h"

#include "parsleygw/errors.h"

#include <stdio.h>
#include <string.h>

#define EDIT_FLAGS (PGW_CLI_FORCE | PGW_CLI_IF_VERSION)

/* The commands that profiles and pools share. */
#define OBJECT_COMMANDS(kind)                                                 \
    {kind, "list", "", "all of them", 0, 0, 0, kind, pgw_cli_object_list},    \
        {kind,                                                                \
         "get",                                                               \
         "NAME",                                                              \
         "value and version, for put",                                        \
         1,                                                                   \
         1,                                                                   \
         0,                                                                   \
         kind,                                                                \
         pgw_cli_object_get},                                                 \
        {kind,                                                                \
         "put",                                                               \
         "NAME FILE",                                                         \
         "write a value; - reads stdin",                                      \
         2,                                                                   \
         2,                                                                   \
         EDIT_FLAGS,                                                          \
         kind,                                                                \
         pgw_cli_object_put},                                                 \
        {kind,                                                                \
         "edit",                                                              \
         "NAME KEY=VALUE..",                                                  \
         "change keys; KEY= removes",                                         \
         2,                                                                   \
         -1,                                                                  \
         EDIT_FLAGS,                                                          \
         kind,                                                                \
         pgw_cli_object_edit},                                                \
        {kind, "diff", "NAME FILE", "what put would change", 2,               \
         2,    0,      kind,        pgw_cli_object_diff},                     \
        {kind,                                                                \
         "check",                                                             \
         "NAME FILE | FILE",                                                  \
         "check without writing",                                             \
         1,                                                                   \
         2,                                                                   \
         PGW_CLI_FORCE,                                                       \
         kind,                                                                \
         pgw_cli_object_check},                                               \
        {kind,       "delete", "NAME",                                        \
         "delete",   1,        1,                                             \
         EDIT_FLAGS, kind,     pgw_cli_object_delete},                        \
    {                                                                         \
        kind, "history", "NAME", "who changed it, when, to what", 1, 1, 0,    \
            kind, pgw_cli_object_history                                      \
    }

static const struct pgw_cli_command commands[] = {
    OBJECT_COMMANDS("profile"),
    OBJECT_COMMANDS("pool"),
    {"workspace", "list", "", "all of them", 0, 0, 0, "workspace",
     pgw_cli_object_list},
    {"workspace", "get", "NAME", "limits and key digests", 1, 1, 0,
     "workspace", pgw_cli_object_get},
    {"workspace", "create", "NAME", "make it; shows its first key once", 1, 1,
     PGW_CLI_LIMITS, "workspace", pgw_cli_workspace_create},
    {"workspace", "edit", "NAME KEY=VALUE..", "change share or max_inflight",
     2, -1, EDIT_FLAGS, "workspace", pgw_cli_object_edit},
    {"workspace", "rotate", "NAME", "add a key and show it once", 1, 1, 0,
     "workspace", pgw_cli_workspace_rotate},
    {"workspace", "revoke", "NAME KEYID", "end a key", 2, 2, PGW_CLI_FORCE,
     "workspace", pgw_cli_workspace_revoke},
    {"workspace", "delete", "NAME", "delete it with all its keys", 1, 1,
     EDIT_FLAGS, "workspace", pgw_cli_object_delete},
    {"workspace", "history", "NAME", "who changed it, when, to what", 1, 1, 0,
     "workspace", pgw_cli_object_history},
    {"instance", "list", "", "declared and seen by the platform", 0, 0, 0,
     "upstream", pgw_cli_instance_list},
    {"instance", "join", "ID", "declare; needs --pool --zone --address", 1, 1,
     PGW_CLI_DECLARE, "upstream", pgw_cli_instance_join},
    {"instance", "leave", "ID", "takes no new work, ends what it has", 1, 1,
     PGW_CLI_FORCE, "upstream", pgw_cli_instance_leave},
    {"instance", "remove", "ID", "forget one that has left", 1, 1, EDIT_FLAGS,
     "upstream", pgw_cli_object_delete},
    {"apply", NULL, "FILE", "write all objects of a file that differ", 1, 1,
     PGW_CLI_FORCE, NULL, pgw_cli_apply},
    {"status", NULL, "", "the fleet at a glance", 0, 0, 0, NULL,
     pgw_cli_status},
    {"quarantine", "list", "", "requests that crashed upstreams", 0, 0, 0,
     "quarantine", pgw_cli_quarantine_list},
    {"quarantine", "lift", "FINGERPRINT", "let it run again", 1, 1, 0,
     "quarantine", pgw_cli_quarantine_lift},
    {"timeline", NULL, "", "events of all processes in causal order", 0, 0,
     PGW_CLI_EVENTS | PGW_CLI_FORMAT, NULL, pgw_cli_timeline},
    {"explain", "failed", "[FILE..]", "causes of all failed requests in logs",
     0, -1, 0, NULL, pgw_cli_explain_failed},
    {"explain", NULL, "ID [FILE..]", "a request's path and cause, from logs",
     1, -1, PGW_CLI_FORMAT, NULL, pgw_cli_explain},
    {"completion", "bash", "", "completion script for bash", 0, 0, 0, NULL,
     pgw_cli_complete},
};

const struct pgw_cli_command *
pgw_cli_find_command(char **words, int count, int *used)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        const struct pgw_cli_command *command = &commands[i];

        if (strcmp(command->group, words[0]) != 0) {
            continue;
        }
        if (command->name == NULL) {
            *used = 1;
            return command;
        }
        if (count > 1 && strcmp(command->name, words[1]) == 0) {
            *used = 2;
            return command;
        }
    }
    return NULL;
}

void
pgw_cli_print_help(void)
{
    printf("parsleygw - operate a parsleygw fleet\n\n"
           "Usage: parsleygw [OPTIONS] COMMAND [ARGUMENTS]\n\nCommands:\n");
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        const struct pgw_cli_command *command = &commands[i];
        char *line = g_strdup_printf(
            "%s%s%s %s", command->group, command->name != NULL ? " " : "",
            command->name != NULL ? command->name : "", command->arguments);

        printf("  %-34s %s\n", line, command->summary);
        g_free(line);
    }
    printf("  %-34s %s\n\nOptions:\n", "help", "show this text");
    pgw_cli_print_options();
    printf("\nThe environment variable PARSLEYGW_SETTINGS names a settings "
           "file too.\n\n"
           "Exit codes: 0 done, 1 failed, 2 wrong command line, 3 invalid\n"
           "value, 4 store or process cannot be reached, 5 somebody else\n"
           "changed it first, 6 no such object, 7 refused without --force.\n");
}

static void
print_words(bool (*want)(const struct pgw_cli_command *command,
                         const char *group),
            const char *group)
{
    const char *last = NULL;

    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        const char *word =
            group == NULL ? commands[i].group : commands[i].name;

        if (want(&commands[i], group) && g_strcmp0(word, last) != 0) {
            printf("%s%s", last == NULL ? "" : " ", word);
            last = word;
        }
    }
}

static bool
is_any(const struct pgw_cli_command *command G_GNUC_UNUSED,
       const char *group G_GNUC_UNUSED)
{
    return true;
}

static bool
is_in_group(const struct pgw_cli_command *command, const char *group)
{
    return command->name != NULL && strcmp(command->group, group) == 0;
}

static void
print_groups(void)
{
    const char *last = "";

    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (commands[i].name == NULL || strcmp(commands[i].group, last) == 0) {
            continue;
        }
        last = commands[i].group;
        printf("    %s) words=\"", last);
        print_words(is_in_group, last);
        printf("\" ;;\n");
    }
}

bool
pgw_cli_complete(struct pgw_cli *cli G_GNUC_UNUSED,
                 const struct pgw_cli_command *command G_GNUC_UNUSED,
                 GError **error G_GNUC_UNUSED)
{
    char **options = pgw_cli_option_names();
    char *joined = g_strjoinv(" ", options);

    printf("# bash completion for parsleygw; load it with\n"
           "#   source <(parsleygw completion bash)\n"
           "_parsleygw()\n{\n"
           "    local word=${COMP_WORDS[COMP_CWORD]} words=\"\"\n"
           "    if [[ $word == -* ]]; then\n"
           "        words=\"%s\"\n"
           "    elif [ \"$COMP_CWORD\" -eq 1 ]; then\n"
           "        words=\"",
           joined);
    print_words(is_any, NULL);
    printf(" help\"\n    else\n    case ${COMP_WORDS[1]} in\n");
    print_groups();
    printf("    esac\n    fi\n"
           "    COMPREPLY=($(compgen -W \"$words\" -- \"$word\"))\n}\n"
           "complete -o default -F _parsleygw parsleygw\n");
    g_free(joined);
    g_strfreev(options);
    return true;
}
