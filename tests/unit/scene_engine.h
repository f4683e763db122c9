#ifndef UNIT_SCENE_ENGINE_H
#define UNIT_SCENE_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct scene_engine - a fake engine whose answers the test sets
 * @listener: its listening socket
 * @version: reported version of the weights of model "m"
 * @busy: it reports that it is executing an order
 * @sequence: reported number of orders
 * @started_ms: reported start time of its process; 0: not reported
 * @draining: it reports that it is draining
 * @queued: reported number of requests in its queue
 * @refuse_for: it refuses to report, with Retry-After in seconds;
 * NULL: it reports
 * @reports_refused: number of reports refused
 * @reports: number of reports
 * @events_refused_for: it refuses long polls for cache events, with
 *   Retry-After in seconds; NULL: it answers them
 * @events_refused: number of these refused
 * @fields: additional header lines of its reports, each with its CRLF; NULL:
 *   none
 * @orders: number of orders received
 * @order: body of the last order, to be freed
 */
struct scene_engine {
    int listener;
    uint64_t version;
    bool busy;
    unsigned sequence;
    uint64_t started_ms;
    bool draining;
    unsigned queued;
    const char *refuse_for;
    unsigned reports_refused;
    unsigned reports;
    const char *events_refused_for;
    unsigned events_refused;
    const char *fields;
    unsigned orders;
    char *order;
};

/** scene_engine_serve() - serve requests until @done returns true; it is
 * checked after each request, and the sidecar requests reports all the time */
void scene_engine_serve(struct scene_engine *engine,
                        bool (*done)(const struct scene_engine *engine));

#endif
