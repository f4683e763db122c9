#include "gateway/placement/response_timeout.h"

uint64_t
pgw_response_timeout_us(uint64_t objective_us, double share,
                        uint32_t prompt_tokens)
{
    if (prompt_tokens == 0) {
        return (uint64_t)((double)objective_us * share);
    }
    return objective_us + (uint64_t)prompt_tokens * PGW_PREFILL_TOKEN_US;
}
