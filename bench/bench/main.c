#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "fault.h"
#include "report.h"
#include "run.h"
#include "util/program.h"

/**
 * DOC: parsleygw-bench, the load and experiment tool
 *
 * Starts real processes, sends them a seeded workload at its own pace, checks
 * every answer and prints one JSON object.
 */

#define PATH_SIZE 4096

/* The programs stand beside this one: build/bench/parsleygw-bench, build/
 * and build/tests/. */
static void
find_programs(void)
{
    char path[PATH_SIZE];
    ssize_t length = readlink("/proc/self/exe", path, sizeof(path) - 1);
    char *bench, *build, *standins;

    path[MAX(length, 0)] = '\0';
    bench = g_path_get_dirname(path);
    build = g_path_get_dirname(bench);
    standins = g_build_filename(build, "tests", NULL);
    g_setenv("PGW_BIN", build, FALSE);
    g_setenv("PGW_STANDINS", standins, FALSE);
    g_free(standins);
    g_free(build);
    g_free(bench);
}

static void
write_text(JsonBuilder *out, const char *name, const char *text)
{
    json_builder_set_member_name(out, name);
    json_builder_add_string_value(out, text);
}

static void
write_number(JsonBuilder *out, const char *name, double number)
{
    json_builder_set_member_name(out, name);
    json_builder_add_double_value(out, number);
}

static void
write_faults(JsonBuilder *out, unsigned faults)
{
    json_builder_set_member_name(out, "faults");
    json_builder_begin_array(out);
    for (unsigned i = 0; i < FAULT_COUNT; i++) {
        if ((faults & 1u << i) != 0) {
            json_builder_add_string_value(out, fault_kinds[i].name);
        }
    }
    json_builder_end_array(out);
}

static void
measure(JsonBuilder *out, const struct bench_options *options)
{
    switch (options->mode) {
    case MODE_OVERHEAD:
        run_overhead(out, options);
        return;
    case MODE_STREAMS:
        run_streams(out, options);
        return;
    case MODE_SATURATE:
        run_saturate(out, options);
        return;
    default:
        break;
    }
    write_text(out, "scenario", options->scenario->name);
    json_builder_set_member_name(out, "seed");
    json_builder_add_int_value(out, (gint64)options->seed);
    write_number(out, "seconds", options->seconds);
    write_number(out, "warmup", options->warmup);
    write_number(out, "load", options->load);
    write_number(out, "skew", options->skew);
    write_number(out, "time_scale", options->time_scale);
    write_faults(out, options->faults);
    run_policies(out, options);
}

static JsonNode *
run(const struct bench_options *options)
{
    JsonBuilder *out = json_builder_new();
    JsonNode *root;

    json_builder_begin_object(out);
    measure(out, options);
    json_builder_end_object(out);
    root = json_builder_get_root(out);
    g_object_unref(out);
    return root;
}

static JsonNode *
read_output(const char *path)
{
    JsonParser *parser = json_parser_new();
    GError *error = NULL;
    JsonNode *root = NULL;

    if (json_parser_load_from_file(parser, path, &error)) {
        root = json_parser_steal_root(parser);
    }
    if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
        fprintf(stderr, "parsleygw-bench: %s: give an earlier output\n",
                error == NULL ? path : error->message);
        exit(1);
    }
    g_object_unref(parser);
    return root;
}

int
main(int argc, char **argv)
{
    struct bench_options options;
    JsonNode *root;
    char *text;
    bool good = true;

    bench_options_parse(&options, argc, argv);
    find_programs();
    pgw_program_raise_file_limit();
    curl_global_init(CURL_GLOBAL_DEFAULT);
    root = options.from != NULL ? read_output(options.from) : run(&options);
    text = json_to_string(root, FALSE);
    puts(text);
    if (options.report != NULL) {
        good = report_write(options.report, root);
    }
    g_free(text);
    json_node_unref(root);
    g_strfreev(options.policies);
    return good ? 0 : 1;
}
