#include "control.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define US_PER_TICK (1000000 / (uint64_t)sysconf(_SC_CLK_TCK))

static char *
read_proc(const struct harness_process *process, const char *name)
{
    char path[64];
    char *text = NULL;

    snprintf(path, sizeof(path), "/proc/%d/%s",
             (int)harness_process_pid(process), name);
    return g_file_get_contents(path, &text, NULL, NULL) ? text : g_strdup("");
}

static uint64_t
status_kb(const char *text, const char *name)
{
    const char *line = strstr(text, name);

    return line == NULL ? 0 : g_ascii_strtoull(line + strlen(name), NULL, 10);
}

static uint64_t
cpu_us(const struct harness_process *process)
{
    char *text = read_proc(process, "stat");
    const char *after = strrchr(text, ')');
    char **fields = g_strsplit(after == NULL ? "" : after, " ", 0);
    uint64_t ticks = 0;

    /* After the name come the state and so on: user time is the 12th. */
    if (g_strv_length(fields) > 13) {
        ticks = g_ascii_strtoull(fields[12], NULL, 10) +
                g_ascii_strtoull(fields[13], NULL, 10);
    }
    g_strfreev(fields);
    g_free(text);
    return ticks * US_PER_TICK;
}

void
sample_take(struct sample *out, struct harness_process *process)
{
    char *status = read_proc(process, "status");

    out->at_us = (uint64_t)g_get_monotonic_time();
    out->cpu_us = cpu_us(process);
    out->resident_kb = status_kb(status, "VmRSS:");
    out->peak_kb = status_kb(status, "VmHWM:");
    out->sent = fleet_metric(process, "pgw_link_sent_bytes_total");
    out->received = fleet_metric(process, "pgw_link_received_bytes_total");
    g_free(status);
}

void
sample_member(JsonBuilder *out, const char *name, double value)
{
    json_builder_set_member_name(out, name);
    json_builder_add_double_value(out, value);
}

void
sample_write(JsonBuilder *out, const struct sample *from,
             const struct sample *to)
{
    double seconds = (double)(to->at_us - from->at_us) / 1e6;

    sample_member(out, "seconds", seconds);
    sample_member(out, "core_percent",
                  (double)(to->cpu_us - from->cpu_us) / seconds / 1e4);
    sample_member(out, "sent_bytes_per_s", (to->sent - from->sent) / seconds);
    sample_member(out, "received_bytes_per_s",
                  (to->received - from->received) / seconds);
    sample_member(out, "resident_mb", (double)to->resident_kb / 1024);
    sample_member(out, "peak_mb", (double)to->peak_kb / 1024);
}

static int
compare_doubles(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;

    return (left > right) - (left < right);
}

double
sample_median(double *values, size_t n)
{
    qsort(values, n, sizeof(values[0]), compare_doubles);
    return n == 0 ? 0 : values[n / 2];
}
