#include "gateway/pace/forecast.h"

void
pgw_forecast_compute(struct pgw_forecast *out,
                     const struct pgw_forecast_input *input)
{
    double rate = input->prefill_rate;

    *out = (struct pgw_forecast){0};
    if (rate <= 0) {
        return;
    }
    out->pause_ms = input->pending_tokens / rate;
    out->first_ms = input->backlog_tokens / rate + out->pause_ms;
    out->end_ms = out->first_ms + input->generation_ms;
}
