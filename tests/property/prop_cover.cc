// Whatever order sends, refusals, losses and unfit holders come in: a run goes
// on from its copy at most once, only after the attempt before it has ended,
// and begins nowhere again after that.
#include "prop_support.h"
#include <cstdio>

extern "C" {
#include "gateway/cover/run_copy.h"
}

int
main()
{
    bool good = rc::check("a run is at one engine, and uses a copy once", [] {
        enum pgw_copy_state state = PGW_COPY_NONE;
        unsigned at_work = 0;
        unsigned used = 0;
        bool covered = false;
        bool due = false;
        bool failed = false;

        for (uint32_t number : random_script(40)) {
            enum pgw_copy_action action;

            if (failed) {
                break;
            }
            if (due) {
                bool fit = number % 4 != 0;

                action = pgw_copy_step(&state, fit ? PGW_COPY_CONTINUED
                                                   : PGW_COPY_UNFIT);
                RC_ASSERT(action == (fit ? PGW_COPY_PROCEED : PGW_COPY_FAIL));
                RC_ASSERT(at_work == 0u);
                failed = !fit;
                at_work += fit;
                used += fit;
                due = false;
            }
            else if (at_work == 0) {
                covered = number % 2 == 0;
                action = pgw_copy_step(&state, covered ? PGW_COPY_SENT_COVERED
                                                       : PGW_COPY_SENT_BARE);
                RC_ASSERT(action == PGW_COPY_PROCEED);
                RC_ASSERT(used == 0u);
                at_work++;
            }
            else {
                bool lost = number % 3 != 0;

                action = pgw_copy_step(&state,
                                       lost ? PGW_COPY_LOST : PGW_COPY_NOT_RUN);
                at_work--;
                due = action == PGW_COPY_GO_ON;
                failed = action == PGW_COPY_FAIL;
                RC_ASSERT(due == (lost && covered && used == 0));
                RC_ASSERT(failed == (used > 0));
                // Without a copy the gateway's own rules hold.
                failed = failed || (lost && !due);
            }
            RC_ASSERT(at_work <= 1u);
            RC_ASSERT(used <= 1u);
        }
    });

    return good ? 0 : 1;
}
