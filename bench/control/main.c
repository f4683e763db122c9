#include "control.h"
#include "util/program.h"

#include <curl/curl.h>
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static const struct {
    const char *name;
    void (*run)(JsonBuilder *out, const struct control_options *options);
} parts[] = {
    {"table", part_table},       {"entry", part_entry},
    {"sidecar", part_sidecar},   {"fleet", part_fleet},
    {"requests", part_requests},
};

/* Programs lie beside this one's folder, as the build makes them. */
static void
find_programs(void)
{
    char *self = g_file_read_link("/proc/self/exe", NULL);
    char *build = g_path_get_dirname(self == NULL ? "." : self);
    char *up = g_path_get_dirname(build);
    char *standins = g_build_filename(up, "tests", NULL);

    g_setenv("PGW_BIN", up, FALSE);
    g_setenv("PGW_STANDINS", standins, FALSE);
    g_free(standins);
    g_free(up);
    g_free(build);
    g_free(self);
}

static void
usage(int code)
{
    fputs("usage: parsleygw-control-bench --part "
          "table|entry|sidecar|fleet|requests\n"
          "  --seconds T     idle period, 10\n"
          "  --workspaces N  1000\n"
          "  --upstreams N   declared, nobody listens; part table, 1000\n"
          "  --entries N     part fleet, 4\n"
          "  --sidecars N    part fleet, 12\n"
          "  --links N       stand-in peers; parts entry and sidecar, 100\n"
          "  --peer-links N  links of each stand-in, 100\n"
          "  --changes N     a phase of part fleet, 10\n"
          "  --pause-ms N    between two changes, 1000\n"
          "Measures what control costs; prints one line of JSON.\n",
          stderr);
    exit(code);
}

struct number_option {
    const char *name;
    size_t offset;
};

static const struct number_option numbers[] = {
    {"workspaces", offsetof(struct control_options, workspaces)},
    {"upstreams", offsetof(struct control_options, upstreams)},
    {"entries", offsetof(struct control_options, entries)},
    {"sidecars", offsetof(struct control_options, sidecars)},
    {"links", offsetof(struct control_options, links)},
    {"peer-links", offsetof(struct control_options, peer_links)},
    {"changes", offsetof(struct control_options, changes)},
    {"pause-ms", offsetof(struct control_options, pause_ms)},
};

static const char *
parse(struct control_options *out, int argc, char **argv)
{
    struct option options[G_N_ELEMENTS(numbers) + 4] = {
        {"part", required_argument, NULL, 'p'},
        {"seconds", required_argument, NULL, 's'},
        {"help", no_argument, NULL, 'h'},
    };
    const char *part = NULL;
    int option;

    for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
        options[i + 3] = (struct option){numbers[i].name, required_argument,
                                         NULL, 1000 + (int)i};
    }
    while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
        if (option >= 1000) {
            *(unsigned *)((char *)out + numbers[option - 1000].offset) =
                (unsigned)g_ascii_strtoull(optarg, NULL, 10);
        }
        else if (option == 'p') {
            part = optarg;
        }
        else if (option == 's') {
            out->seconds = g_ascii_strtod(optarg, NULL);
        }
        else {
            usage(option == 'h' ? 0 : 2);
        }
    }
    return part;
}

static void
write_options(JsonBuilder *out, const struct control_options *options)
{
    for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
        json_builder_set_member_name(out, numbers[i].name);
        json_builder_add_int_value(
            out,
            *(const unsigned *)((const char *)options + numbers[i].offset));
    }
}

int
main(int argc, char **argv)
{
    struct control_options options = {
        .seconds = 10,
        .workspaces = 1000,
        .upstreams = 1000,
        .entries = 4,
        .sidecars = 12,
        .links = 100,
        .peer_links = 100,
        .changes = 10,
        .pause_ms = 1000,
    };
    const char *part = parse(&options, argc, argv);
    JsonBuilder *out = json_builder_new();
    JsonNode *root;
    char *text;
    size_t i = 0;

    while (i < G_N_ELEMENTS(parts) && g_strcmp0(part, parts[i].name) != 0) {
        i++;
    }
    if (i == G_N_ELEMENTS(parts)) {
        usage(2);
    }
    find_programs();
    pgw_program_raise_file_limit();
    curl_global_init(CURL_GLOBAL_DEFAULT);
    json_builder_begin_object(out);
    json_builder_set_member_name(out, "part");
    json_builder_add_string_value(out, part);
    write_options(out, &options);
    parts[i].run(out, &options);
    json_builder_end_object(out);
    root = json_builder_get_root(out);
    text = json_to_string(root, FALSE);
    puts(text);
    g_free(text);
    json_node_unref(root);
    g_object_unref(out);
    return 0;
}
