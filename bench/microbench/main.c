#include "microbench.h"

#include <getopt.h>
#include <json-glib/json-glib.h>
#include <malloc.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define REPEATS 21
#define MIN_BATCH_NS 2000000u
#define NS_PER_S UINT64_C(1000000000)

static const struct microbench_case *const tables[] = {
    microbench_level_cases, microbench_place_cases,  microbench_cache_cases,
    microbench_admit_cases, microbench_config_cases, microbench_frame_cases,
};

/**
 * struct point - one case at one size
 * @median_ns: time of one operation
 * @heap_bytes: heap that the state took at setup, allocator included
 */
struct point {
    double median_ns;
    double heap_bytes;
};

static uint64_t
now_ns(void)
{
    struct timespec time;

    clock_gettime(CLOCK_MONOTONIC, &time);
    return (uint64_t)time.tv_sec * NS_PER_S + (uint64_t)time.tv_nsec;
}

static uint64_t
time_batch(const struct microbench_case *one, void *state, uint64_t *turn,
           uint64_t count)
{
    uint64_t began = now_ns();

    for (uint64_t i = 0; i < count; i++) {
        one->run(state, (*turn)++);
    }
    return now_ns() - began;
}

static int
compare_doubles(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;

    return (left > right) - (left < right);
}

static double
heap_in_use(void)
{
    struct mallinfo2 info = mallinfo2();

    return (double)info.uordblks + (double)info.hblkhd;
}

/* Median over the repeats of a batch long enough for the clock. */
static struct point
measure(const struct microbench_case *one, uint64_t size)
{
    double heap = heap_in_use();
    void *state = one->setup(size);
    double heap_bytes = heap_in_use() - heap;
    double samples[REPEATS];
    uint64_t turn = 0;
    uint64_t count = 1;

    while (time_batch(one, state, &turn, count) < MIN_BATCH_NS) {
        count *= 2;
    }
    for (int i = 0; i < REPEATS; i++) {
        samples[i] =
            (double)time_batch(one, state, &turn, count) / (double)count;
    }
    one->teardown(state);
    qsort(samples, REPEATS, sizeof(samples[0]), compare_doubles);
    return (struct point){samples[REPEATS / 2], heap_bytes};
}

/* Least squares: nanoseconds for each further unit of size. */
static double
slope(const uint64_t *sizes, const struct point *points, size_t n)
{
    double sum_x = 0.0, sum_y = 0.0, sum_xx = 0.0, sum_xy = 0.0;
    double count = (double)n;
    double spread;

    for (size_t i = 0; i < n; i++) {
        double x = (double)sizes[i];

        sum_x += x;
        sum_y += points[i].median_ns;
        sum_xx += x * x;
        sum_xy += x * points[i].median_ns;
    }
    spread = count * sum_xx - sum_x * sum_x;
    return spread > 0.0 ? (count * sum_xy - sum_x * sum_y) / spread : 0.0;
}

static void
write_number(JsonBuilder *builder, const char *name, double value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_double_value(builder, value);
}

static void
write_case(JsonBuilder *builder, const struct microbench_case *one,
           const struct point *points, size_t n)
{
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "name");
    json_builder_add_string_value(builder, one->name);
    json_builder_set_member_name(builder, "size_unit");
    json_builder_add_string_value(builder, one->size_unit);
    json_builder_set_member_name(builder, "points");
    json_builder_begin_array(builder);
    for (size_t i = 0; i < n; i++) {
        json_builder_begin_object(builder);
        json_builder_set_member_name(builder, "size");
        json_builder_add_int_value(builder, (gint64)one->sizes[i]);
        write_number(builder, "median_ns", points[i].median_ns);
        write_number(builder, "heap_bytes", points[i].heap_bytes);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
    write_number(builder, "slope_ns", slope(one->sizes, points, n));
    json_builder_end_object(builder);
}

static void
print_case(const struct microbench_case *one, const struct point *points,
           size_t n)
{
    printf("%s\n", one->name);
    for (size_t i = 0; i < n; i++) {
        printf("  %10" G_GUINT64_FORMAT " %-16s %12.1f ns %12.0f bytes\n",
               one->sizes[i], one->size_unit, points[i].median_ns,
               points[i].heap_bytes);
    }
    printf("  slope %.4f ns a unit\n", slope(one->sizes, points, n));
}

static void
run_case(JsonBuilder *builder, const struct microbench_case *one)
{
    struct point points[MICROBENCH_SIZES_MAX];
    size_t n = 0;

    while (n < MICROBENCH_SIZES_MAX && one->sizes[n] != 0) {
        points[n] = measure(one, one->sizes[n]);
        n++;
    }
    if (builder != NULL) {
        write_case(builder, one, points, n);
    }
    else {
        print_case(one, points, n);
    }
}

static void
run_tables(JsonBuilder *builder, const char *only)
{
    for (size_t i = 0; i < G_N_ELEMENTS(tables); i++) {
        for (const struct microbench_case *one = tables[i]; one->name != NULL;
             one++) {
            if (only == NULL || strstr(one->name, only) != NULL) {
                run_case(builder, one);
            }
        }
    }
}

static void
run_json(const char *only)
{
    JsonBuilder *builder = json_builder_new();
    JsonGenerator *generator = json_generator_new();
    JsonNode *root;
    char *text;

    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "repeats");
    json_builder_add_int_value(builder, REPEATS);
    json_builder_set_member_name(builder, "cases");
    json_builder_begin_array(builder);
    run_tables(builder, only);
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    root = json_builder_get_root(builder);
    json_generator_set_root(generator, root);
    text = json_generator_to_data(generator, NULL);
    puts(text);
    g_free(text);
    json_node_unref(root);
    g_object_unref(generator);
    g_object_unref(builder);
}

int
main(int argc, char **argv)
{
    static const struct option options[] = {
        {"json", no_argument, NULL, 'j'},
        {"only", required_argument, NULL, 'o'},
        {"help", no_argument, NULL, 'h'},
        {0},
    };
    const char *only = NULL;
    bool json = false;
    int option;

    while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
        switch (option) {
        case 'j':
            json = true;
            break;
        case 'o':
            only = optarg;
            break;
        default:
            fputs("usage: parsleygw-microbench [--json] [--only NAME]\n"
                  "Times the decisions of parsleygw at growing sizes.\n",
                  stderr);
            return option == 'h' ? EXIT_SUCCESS : EXIT_FAILURE;
        }
    }
    if (json) {
        run_json(only);
    }
    else {
        run_tables(NULL, only);
    }
    return EXIT_SUCCESS;
}
