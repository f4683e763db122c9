#ifndef BENCH_REPORT_H
#define BENCH_REPORT_H

#include <json-glib/json-glib.h>
#include <stdbool.h>

/**
 * report_write() - a page of plots from the bench's output
 * @dir: made when it is missing; receives index.html (self-contained), the
 *     plots as PNG and the data they were drawn from
 * @root: what --scenario printed
 *
 * Needs gnuplot. Return: false, with a line on standard error, on failure.
 */
bool report_write(const char *dir, JsonNode *root);

#endif
