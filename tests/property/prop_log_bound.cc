// Whatever a process has to log, it writes no more lines a second than its
// bound; routine lines never take the room of the others; what is left out is
// counted, every line of it.
#include "prop_support.h"
#include "util/log_bound.h"

int
main()
{
    bool good = true;

    good &= rc::check("no second has more lines than the bound", [] {
        pgw_log_bound bound = {};
        uint64_t asked = 0, written = 0, told = 0, here = 0, others = 0;
        gint64 now = 1000000, second = 1;

        bound.lines_per_s = *rc::gen::inRange(2u, 40u);
        for (uint32_t number : random_script(2000)) {
            bool routine = number % 3 != 0;
            unsigned dropped;
            bool room;

            now += number % 7 == 0 ? number % 900000 : number % 3000;
            if (now / 1000000 != second) {
                second = now / 1000000;
                here = others = 0;
            }
            room = pgw_log_bound_take(&bound, routine, now, &dropped);
            told += dropped;
            here += room + (dropped > 0);
            asked++;
            written += room;
            RC_ASSERT(here <= bound.lines_per_s);
            if (!routine) {
                // The other half is theirs alone, but for the line that tells
                // of what was left out.
                RC_ASSERT(room || others + 1 >= bound.lines_per_s -
                                                    bound.lines_per_s / 2);
                others += room;
            }
        }
        RC_ASSERT(asked == written + told + bound.dropped);
    });
    good &= rc::check("without a bound all is written, losses are told", [] {
        pgw_log_bound bound = {};
        unsigned lost = *rc::gen::inRange(1u, 9u), dropped;

        RC_ASSERT(pgw_log_bound_take(&bound, true, 5000000, &dropped));
        for (unsigned i = 0; i < lost; i++) {
            pgw_log_bound_lost(&bound);
        }
        RC_ASSERT(pgw_log_bound_take(&bound, true, 5000001, &dropped));
        RC_ASSERT(dropped == 0u);
        RC_ASSERT(pgw_log_bound_take(&bound, true, 6000000, &dropped));
        RC_ASSERT(dropped == lost);
    });
    return good ? 0 : 1;
}
