#ifndef UNIT_SCENE_ENGINE_H
#define UNIT_SCENE_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct scene_engine - what an engine that the test plays answers
 * @listener: its listening socket
 * @version: weights that it reports, of the model "m"
 * @busy: it reports that it carries out an order
 * @sequence: orders that it reports
 * @started_ms: when its process started, as it says; 0: it does not
 * @orders: orders that it has taken
 * @order: body of the last one, to be freed
 */
struct scene_engine {
    int listener;
    uint64_t version;
    bool busy;
    unsigned sequence;
    uint64_t started_ms;
    unsigned orders;
    char *order;
};

/** scene_engine_serve() - answer what comes until @done says so; what else is
 * waited for must wake it through a report, which are asked for all the time
 */
void scene_engine_serve(struct scene_engine *engine,
                        bool (*done)(const struct scene_engine *engine));

#endif
