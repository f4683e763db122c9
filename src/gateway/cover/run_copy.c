#include "gateway/cover/run_copy.h"

static enum pgw_copy_action
end_copy(enum pgw_copy_state *state)
{
    *state = PGW_COPY_OVER;
    return PGW_COPY_FAIL;
}

enum pgw_copy_action
pgw_copy_step(enum pgw_copy_state *state, enum pgw_copy_event event)
{
    switch (*state) {
    case PGW_COPY_NONE:
    case PGW_COPY_GROWING:
        if (event == PGW_COPY_LOST && *state == PGW_COPY_GROWING) {
            *state = PGW_COPY_DUE;
            return PGW_COPY_GO_ON;
        }
        *state =
            event == PGW_COPY_SENT_COVERED ? PGW_COPY_GROWING : PGW_COPY_NONE;
        return PGW_COPY_PROCEED;
    case PGW_COPY_DUE:
        if (event == PGW_COPY_CONTINUED) {
            *state = PGW_COPY_USED;
            return PGW_COPY_PROCEED;
        }
        return end_copy(state);
    case PGW_COPY_USED:
    case PGW_COPY_OVER:
        break;
    }
    return end_copy(state);
}
