#include "gateway/pace/prefill_meter.h"

/* Fewer tokens are prefilled in a few steps of the engine, so the transit
 * times of requests and announcements would make up most of a sample. */
#define MIN_SAMPLE_TOKENS 1500
/* A busy engine always has a prompt pending. Its period is cut after this
 * time, so that there are several samples in a second or two. */
#define PERIOD_MAX_US 500000
/* Latency objectives of long prompts are shorter. */
#define PENDING_MAX_US 5000000
/* Above the number of requests that an engine runs and queues. */
#define PENDING_COUNT_MAX 1024

void
pgw_prefill_meter_init(struct pgw_prefill_meter *meter)
{
    *meter = (struct pgw_prefill_meter){
        .pending =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free),
    };
}

void
pgw_prefill_meter_dispose(struct pgw_prefill_meter *meter)
{
    g_hash_table_destroy(meter->pending);
}

static void
begin_period(struct pgw_prefill_meter *meter, uint64_t now_us)
{
    meter->since_us = now_us;
    meter->tokens = 0;
    meter->is_spoiled = false;
}

void
pgw_prefill_meter_clear(struct pgw_prefill_meter *meter)
{
    g_hash_table_remove_all(meter->pending);
    begin_period(meter, 0);
    pgw_engine_pace_reset(&meter->pace);
}

void
pgw_prefill_meter_begin(struct pgw_prefill_meter *meter, uint64_t request,
                        uint64_t now_us)
{
    if (g_hash_table_size(meter->pending) >= PENDING_COUNT_MAX) {
        meter->is_spoiled = true;
        return;
    }
    if (g_hash_table_size(meter->pending) == 0) {
        begin_period(meter, now_us);
    }
    g_hash_table_replace(meter->pending, g_memdup2(&request, sizeof(request)),
                         g_memdup2(&now_us, sizeof(now_us)));
}

static void
end_period_if_due(struct pgw_prefill_meter *meter, uint64_t now_us)
{
    bool is_idle = g_hash_table_size(meter->pending) == 0;
    uint64_t took_us = now_us - meter->since_us;

    if (!is_idle && took_us < PERIOD_MAX_US) {
        return;
    }
    if (!meter->is_spoiled && meter->tokens >= MIN_SAMPLE_TOKENS) {
        pgw_engine_pace_add_prefill(&meter->pace, (double)meter->tokens,
                                    took_us, now_us);
    }
    else if (!is_idle && !meter->is_spoiled) {
        return;
    }
    begin_period(meter, now_us);
}

void
pgw_prefill_meter_end(struct pgw_prefill_meter *meter, uint64_t request,
                      uint32_t tokens, uint64_t now_us)
{
    if (!g_hash_table_remove(meter->pending, &request)) {
        return;
    }
    meter->tokens += tokens;
    meter->is_spoiled = meter->is_spoiled || tokens == 0;
    end_period_if_due(meter, now_us);
}

void
pgw_prefill_meter_expire(struct pgw_prefill_meter *meter, uint64_t now_us)
{
    GHashTableIter iter;
    void *value;
    bool expired = false;

    g_hash_table_iter_init(&iter, meter->pending);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (now_us - *(const uint64_t *)value >= PENDING_MAX_US) {
            g_hash_table_iter_remove(&iter);
            expired = true;
        }
    }
    if (expired) {
        meter->is_spoiled = true;
        end_period_if_due(meter, now_us);
    }
}
