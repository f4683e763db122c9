#include "workload.h"

#include <string.h>

/* The labels deployment; its batch work differs between scenarios. */
#define LABELS(batch_share, batch_run, batch_within)                          \
    .pool = "rulebooks", .model = "rulebook-7b", .service_pool = "printers",  \
    .zones = {"saigon-a", "saigon-b", "saigon-c"}, .engines = 9,              \
    .services = 3, .rate = 90, .guides = 3, .hostels = 6, .walkers = 1,       \
    .n_classes = 3, .launch = 1,                                              \
    .classes = {                                                              \
        {.profile = "overnight-menu",                                         \
         .priority = "batch",                                                 \
         .deadline_ms = 120000,                                               \
         .ttft_weight = 0,                                                    \
         .level_tokens = {6144, 512, 768},                                    \
         .question_tokens = 64,                                               \
         .max_tokens = 8,                                                     \
         .share = (batch_share),                                              \
         .run = (batch_run),                                                  \
         .within = (batch_within)},                                           \
        {.profile = "ingredient-lookup",                                      \
         .priority = "interactive",                                           \
         .deadline_ms = 10000,                                                \
         .ttft_weight = 0.5,                                                  \
         .level_tokens = {6144, 512},                                         \
         .question_tokens = 40,                                               \
         .max_tokens = 12,                                                    \
         .share = 0.26},                                                      \
        {.profile = "label-print",                                            \
         .priority = "urgent",                                                \
         .service = true,                                                     \
         .deadline_ms = 5000,                                                 \
         .ttft_weight = 1,                                                    \
         .share = 0.14},                                                      \
    }

/* Prefixes of a deployment fit the fleet's caches about twice, and no single
 * engine's: where a prompt goes decides whether it hits. */
static const struct scenario scenarios[] = {
    {
        .name = "passports",
        .pool = "guides",
        .model = "guide-7b",
        .service_pool = "records",
        .zones = {"sudurland-a", "sudurland-b", "sudurland-c"},
        .engines = 18,
        .services = 3,
        .rate = 100,
        .guides = 6,
        .hostels = 8,
        .walkers = 40,
        .n_classes = 4,
        .launch = 0,
        .classes =
            {
                {.profile = "route-question",
                 .priority = "interactive",
                 .deadline_ms = 10000,
                 .ttft_weight = 0.9,
                 .level_tokens = {3072, 1024, 384},
                 .question_tokens = 48,
                 .max_tokens = 12,
                 .share = 0.62},
                {.profile = "stamp-check",
                 .priority = "urgent",
                 .deadline_ms = 5000,
                 .ttft_weight = 1,
                 .level_tokens = {3072, 1024},
                 .question_tokens = 40,
                 .max_tokens = 4,
                 .share = 0.2},
                {.profile = "stamp",
                 .priority = "urgent",
                 .service = true,
                 .deadline_ms = 5000,
                 .ttft_weight = 1,
                 .share = 0.1},
                {.profile = "parish-records",
                 .priority = "batch",
                 .deadline_ms = 60000,
                 .ttft_weight = 0.2,
                 .level_tokens = {3072, 1024},
                 .question_tokens = 200,
                 .max_tokens = 16,
                 .share = 0.08},
            },
    },
    {.name = "labels", LABELS(0.6, 32, 0)},
    /* The whole of the night's work is handed over at once. */
    {.name = "overnight", LABELS(1.1, 64, 0.1)},
};

const struct scenario *
scenario_find(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        if (g_strcmp0(scenarios[i].name, name) == 0) {
            return &scenarios[i];
        }
    }
    return NULL;
}

double
workload_share(unsigned workspace)
{
    static const double shares[WORKLOAD_WORKSPACES] = {
        0.30, 0.24, 0.18, 0.08, 0.06, 0.05, 0.05, 0.04,
    };

    return shares[workspace];
}
