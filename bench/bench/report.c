#include "report.h"

#include <glib/gstdio.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "fault.h"

#define MODE_DIR 0755

/* Okabe and Ito's colours, told apart by nearly everyone. */
static const char *const colours[] = {"#0072B2", "#D55E00", "#009E73",
                                      "#CC79A7", "#E69F00", "#56B4E9"};

static double
number(JsonObject *object, const char *name)
{
    return json_object_get_double_member_with_default(object, name, 0);
}

static JsonObject *
element(JsonArray *array, guint index)
{
    return json_array_get_object_element(array, index);
}

static const char *
policy_name(JsonArray *policies, guint index)
{
    return json_object_get_string_member(element(policies, index), "policy");
}

static bool
write_file(const char *dir, const char *name, const GString *text)
{
    char *path = g_build_filename(dir, name, NULL);
    GError *error = NULL;
    bool good =
        g_file_set_contents(path, text->str, (gssize)text->len, &error);

    if (!good) {
        fprintf(stderr, "parsleygw-bench: %s: choose another --report\n",
                error->message);
        g_clear_error(&error);
    }
    g_free(path);
    return good;
}

/* One block of "t p50 p95 p99" for each policy, as gnuplot's "index". */
static bool
write_series(const char *dir, JsonArray *policies)
{
    GString *out = g_string_new(NULL);
    bool good;

    for (guint i = 0; i < json_array_get_length(policies); i++) {
        JsonArray *series =
            json_object_get_array_member(element(policies, i), "series");

        for (guint j = 0; j < json_array_get_length(series); j++) {
            JsonObject *point = element(series, j);

            /* A second without an answer is a gap in the line. */
            if (number(point, "n") > 0) {
                g_string_append_printf(
                    out, "%g %g %g %g\n", number(point, "t") + 0.5,
                    number(point, "p50"), number(point, "p95"),
                    number(point, "p99"));
            }
            else {
                g_string_append_c(out, '\n');
            }
        }
        g_string_append(out, "\n\n");
    }
    good = write_file(dir, "ttft.dat", out);
    g_string_free(out, TRUE);
    return good;
}

static bool
write_totals(const char *dir, JsonArray *policies)
{
    GString *out = g_string_new(NULL);
    bool good;

    for (guint i = 0; i < json_array_get_length(policies); i++) {
        JsonObject *policy = element(policies, i);
        JsonObject *ttft = json_object_get_object_member(policy, "ttft_ms");

        g_string_append_printf(
            out, "\"%s\" %g %g %g %g %g\n", policy_name(policies, i),
            number(policy, "prefix_hit_rate"),
            number(policy, "ideal_hit_rate"),
            number(policy, "recomputed_tokens") / 1000,
            number(policy, "ideal_tokens") / 1000, number(ttft, "p99"));
    }
    good = write_file(dir, "totals.dat", out);
    g_string_free(out, TRUE);
    return good;
}

static void
append_fault_marks(GString *out, JsonObject *root)
{
    JsonArray *faults = json_object_get_array_member(root, "faults");
    double seconds = number(root, "seconds");

    for (guint i = 0; i < json_array_get_length(faults); i++) {
        const char *name = json_array_get_string_element(faults, i);

        for (unsigned j = 0; j < FAULT_COUNT; j++) {
            double at = fault_kinds[j].at * seconds;

            if (strcmp(fault_kinds[j].name, name) != 0) {
                continue;
            }
            g_string_append_printf(
                out,
                "set arrow from first %g,graph 0 to first %g,graph 1 nohead "
                "dashtype 2 lw 1.5 lc rgb '#555555' back\n"
                "set label '%s' at first %g,graph 0.96 rotate by 90 right "
                "offset 0.8,0 textcolor rgb '#555555'\n",
                at, at, name, at);
        }
    }
}

static void
append_panel(GString *out, JsonArray *policies, unsigned column,
             const char *title, bool last)
{
    g_string_append_printf(out, "set title '%s' offset 0,-0.5\n", title);
    g_string_append(out, column == 2 ? "set key outside top center "
                                       "horizontal\n"
                                     : "unset key\n");
    g_string_append(out, last ? "set xlabel 'seconds of the run'\n"
                              : "set xlabel ''\n");
    g_string_append(out, "plot ");
    for (guint i = 0; i < json_array_get_length(policies); i++) {
        g_string_append_printf(
            out,
            "%s'ttft.dat' index %u using 1:%u with linespoints pt 7 ps 0.4 "
            "lw 2 lc rgb '%s' title '%s'",
            i == 0 ? "" : ", ", i, column, colours[i % G_N_ELEMENTS(colours)],
            policy_name(policies, i));
    }
    g_string_append_c(out, '\n');
}

static void
append_bars(GString *out, JsonArray *policies, const char *column,
            const char *offset, const char *title)
{
    g_string_append_printf(out, "set title '%s' offset 0,-0.5\nplot ", title);
    for (guint i = 0; i < json_array_get_length(policies); i++) {
        g_string_append_printf(
            out,
            "%s'totals.dat' every ::%u::%u using (%u):%s:xtic(1) with boxes "
            "lc rgb '%s' notitle, "
            "'' every ::%u::%u using (%u):%s:(sprintf('%%.4g',%s)) with "
            "labels offset 0,%s notitle",
            i == 0 ? "" : ", ", i, i, i, column,
            colours[i % G_N_ELEMENTS(colours)], i, i, i, column, column,
            offset);
    }
}

static bool
write_script(const char *dir, JsonObject *root, JsonArray *policies)
{
    guint n = json_array_get_length(policies);
    GString *out = g_string_new(
        "set terminal pngcairo size 1000,1150 font 'sans,12' background "
        "rgb 'white'\n"
        "set output 'ttft.png'\n"
        "set grid xtics ytics lt 1 lw 1 lc rgb '#cccccc'\n"
        "set logscale y\n"
        "set ylabel 'ms (log)'\n"
        "set lmargin 12\nset rmargin 3\n");
    bool good;

    g_string_append_printf(out, "set xrange [0:%g]\n",
                           number(root, "seconds"));
    append_fault_marks(out, root);
    g_string_append(out, "set multiplot layout 3,1\n");
    append_panel(out, policies, 2, "time to first token, p50 of each second",
                 false);
    append_panel(out, policies, 3, "p95 of each second", false);
    append_panel(out, policies, 4, "p99 of each second", true);
    g_string_append_printf(
        out,
        "unset multiplot\nreset\n"
        "set terminal pngcairo size 1000,430 font 'sans,11' background rgb "
        "'white'\n"
        "set output 'totals.png'\n"
        "set style fill solid 0.85\nset boxwidth 0.7\n"
        "set grid ytics lt 1 lw 1 lc rgb '#cccccc'\nset xtics rotate by -25 "
        "font ',10'\n"
        "set xrange [-0.6:%g]\nset bmargin 5\n"
        "set multiplot layout 1,3\nset yrange [0:1.1]\n",
        n - 0.4);
    append_bars(out, policies, "(column(2))", "-0.8",
                "prefix hit rate (line: unlimited cache)");
    g_string_append(out, ", 'totals.dat' using 0:3 with lines lw 2 dashtype "
                         "2 lc rgb 'black' notitle\n"
                         "set yrange [0:*]\nset offsets 0,0,graph 0.12,0\n");
    append_bars(out, policies, "(column(4))", "0.6",
                "recomputed prompt tokens, thousands");
    g_string_append(out, "\n");
    append_bars(out, policies, "(column(6))", "0.6",
                "time to first token p99, ms");
    g_string_append(out, "\nunset multiplot\n");
    good = write_file(dir, "plots.gp", out);
    g_string_free(out, TRUE);
    return good;
}

static bool
draw(const char *dir)
{
    const char *argv[] = {"gnuplot", "plots.gp", NULL};
    GError *error = NULL;
    char *errors = NULL;
    int status = 0;
    bool good = g_spawn_sync(dir, (char **)argv, NULL, G_SPAWN_SEARCH_PATH,
                             NULL, NULL, NULL, &errors, &status, &error) &&
                g_spawn_check_wait_status(status, &error);

    if (!good) {
        fprintf(stderr, "parsleygw-bench: no plots: %s: %s: install gnuplot\n",
                error->message, errors == NULL ? "" : errors);
        g_clear_error(&error);
    }
    g_free(errors);
    return good;
}

static bool
append_image(GString *out, const char *dir, const char *name)
{
    char *path = g_build_filename(dir, name, NULL);
    char *bytes = NULL, *text;
    gsize size = 0;
    bool good = g_file_get_contents(path, &bytes, &size, NULL);

    if (good) {
        text = g_base64_encode((const guchar *)bytes, size);
        g_string_append_printf(
            out, "<p><img alt=\"%s\" src=\"data:image/png;base64,%s\"></p>\n",
            name, text);
        g_free(text);
    }
    g_free(bytes);
    g_free(path);
    return good;
}

static void
append_row(GString *out, JsonObject *policy)
{
    static const char *const counts[] = {
        "requests", "answered", "refused",       "broken_off",
        "lost",     "doubled",  "wrong_content", "recomputed_tokens"};
    JsonObject *ttft = json_object_get_object_member(policy, "ttft_ms");

    g_string_append_printf(out, "<tr><td>%s",
                           json_object_get_string_member(policy, "policy"));
    g_string_append_printf(out, "<td>%.0f<td>%.0f<td>%.0f",
                           number(ttft, "p50"), number(ttft, "p95"),
                           number(ttft, "p99"));
    g_string_append_printf(out, "<td>%.3f<td>%.3f",
                           number(policy, "prefix_hit_rate"),
                           number(policy, "hit_of_ideal"));
    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        g_string_append_printf(out, "<td>%.0f", number(policy, counts[i]));
    }
    g_string_append_c(out, '\n');
}

static bool
write_page(const char *dir, JsonObject *root, JsonArray *policies)
{
    GString *out = g_string_new(NULL);
    bool good;

    g_string_append_printf(
        out,
        "<!doctype html><meta charset=\"utf-8\"><title>parsleygw-bench: "
        "%s</title>\n<style>body{font-family:sans-serif;max-width:1050px;"
        "margin:1em auto}td,th{padding:2px 8px;text-align:right}"
        "td:first-child{text-align:left}img{max-width:100%%}</style>\n"
        "<h1>%s, seed %.0f, load %g, skew %g</h1>\n"
        "<p>%g s after %g s of warm-up, time scale %g. Times are of calls "
        "that somebody waits for, from the intended send time.</p>\n"
        "<table><tr><th>policy<th>p50 ms<th>p95<th>p99<th>hit rate<th>of "
        "ideal<th>requests<th>answered<th>refused<th>broken off<th>lost"
        "<th>doubled<th>wrong<th>recomputed\n",
        json_object_get_string_member(root, "scenario"),
        json_object_get_string_member(root, "scenario"), number(root, "seed"),
        number(root, "load"), number(root, "skew"), number(root, "seconds"),
        number(root, "warmup"), number(root, "time_scale"));
    for (guint i = 0; i < json_array_get_length(policies); i++) {
        append_row(out, element(policies, i));
    }
    g_string_append(out, "</table>\n");
    good = append_image(out, dir, "ttft.png") &&
           append_image(out, dir, "totals.png") &&
           write_file(dir, "index.html", out);
    g_string_free(out, TRUE);
    return good;
}

bool
report_write(const char *dir, JsonNode *node)
{
    JsonObject *root = json_node_get_object(node);
    JsonArray *policies;

    if (!json_object_has_member(root, "policies")) {
        fprintf(stderr, "parsleygw-bench: --report needs a scenario's run\n");
        return false;
    }
    policies = json_object_get_array_member(root, "policies");
    if (g_mkdir_with_parents(dir, MODE_DIR) != 0) {
        fprintf(stderr, "parsleygw-bench: cannot make %s\n", dir);
        return false;
    }
    return write_series(dir, policies) && write_totals(dir, policies) &&
           write_script(dir, root, policies) && draw(dir) &&
           write_page(dir, root, policies);
}
