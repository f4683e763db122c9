// Promised returns never exceed the room; weighted max-min holds no workspace
// below its level back and leaves no room that somebody wants; the queue
// serves whoever waits, and over any time two workspaces that both wait get
// the same but for one request of each.
#include "prop_support.h"

extern "C" {
#include "gateway/share/fair_share.h"
#include "gateway/share/queue_order.h"
#include "gateway/share/return_times.h"
}

#include <cmath>
#include <map>

int
main()
{
    bool good = true;

    good &= rc::check("promises never exceed the room of a slot", [] {
        std::vector<double> kept(4000);
        pgw_return_times times = {};
        double room = *rc::gen::inRange(100, 100000);
        uint64_t now = 1000000;

        for (uint32_t number : random_script(400)) {
            choices next(number);
            pgw_return_input input = {};
            pgw_return at = {};

            now += next.pick(50000);
            input.tokens = 1 + next.pick(5000);
            input.room_per_s = room;
            input.earliest_us = now + next.pick(1000000);
            input.latest_us = now + next.pick(3000000);
            input.promised_by_us = now + next.pick(4000000);
            input.now_us = now;
            input.random = number;
            pgw_return_times_add(&at, &times, &input);
            RC_ASSERT(at.at_us >= now);
            RC_ASSERT(at.at_us <= input.latest_us);
            RC_ASSERT(!at.is_promised || (at.at_us >= input.earliest_us &&
                                          at.at_us <= input.promised_by_us));
            double left = at.is_promised ? input.tokens : 0;
            for (double promised : times.promised) {
                RC_ASSERT(promised <= room * PGW_RETURN_SLOT_US / 1e6 + 1e-6);
            }
            // What was promised is in the ledger, in or after its slot.
            for (uint64_t i = 0; i < PGW_RETURN_SLOTS && left > 0; i++) {
                uint64_t slot = times.slot + i;
                double &before = kept[slot % kept.size()];
                double after = times.promised[slot % PGW_RETURN_SLOTS];

                RC_ASSERT(after + 1e-6 >= before);
                RC_ASSERT(after <= before ||
                          slot >= at.at_us / PGW_RETURN_SLOT_US);
                left -= after - before;
                before = after;
            }
            RC_ASSERT(left <= 1e-6);
        }
    });
    good &= rc::check("max-min: all room, and none below the level waits", [] {
        auto numbers = random_script(32);
        std::vector<double> asked, weights;
        double room = *rc::gen::inRange(0, 20000), sum = 0, given = 0;

        for (uint32_t number : numbers) {
            choices next(number);

            asked.push_back(next.pick(1000));
            weights.push_back(1 + next.pick(4));
            sum += asked.back();
        }
        double level = pgw_max_min_level(asked.data(), weights.data(),
                                         asked.size(), room);
        for (size_t i = 0; i < asked.size(); i++) {
            given += std::fmin(asked[i], level * weights[i]);
        }
        RC_ASSERT(std::fabs(given - std::fmin(sum, room)) < 1e-6);
    });
    good &= rc::check("the queue is fair and serves whoever waits", [] {
        std::vector<pgw_queue_order_item> items(300);
        pgw_queue_order order;
        std::map<uint64_t, double> served;
        size_t count = 0, left = 0;

        pgw_queue_order_init(&order);
        for (auto &item : items) {
            choices next(*rc::gen::arbitrary<uint32_t>());

            item.admit.workspace = 1 + count++ % 3;
            item.admit.share = 1;
            item.admit.uncached_tokens = 1 + next.pick(100);
            item.in_time_start_us = next.pick(1000);
            item.late_start_us = 1000 + next.pick(1000);
            pgw_queue_order_add(&order, &item);
        }
        left = items.size();
        // 100 of each workspace with at most 100 tokens: none is done before
        // the others have got 30 times that of one request.
        for (; left > 0; left--) {
            pgw_list turns;

            pgw_list_init(&turns);
            pgw_queue_order_list(&order, &turns, 500);
            RC_ASSERT(!pgw_list_is_empty(&turns));
            auto *item = reinterpret_cast<pgw_queue_order_item *>(
                reinterpret_cast<char *>(turns.next) -
                offsetof(pgw_queue_order_item, admit.link));
            while (!pgw_list_is_empty(&turns)) {
                pgw_list_remove(turns.next);
            }
            served[item->admit.workspace] += pgw_queue_order_cost(item);
            pgw_queue_order_serve(&order, item, pgw_queue_order_cost(item));
            if (left > 210) {
                for (auto &one : served) {
                    RC_ASSERT(std::fabs(one.second - served[1]) <= 200);
                }
            }
        }
        RC_ASSERT(pgw_queue_order_is_empty(&order));
        pgw_queue_order_dispose(&order);
    });
    return good ? 0 : 1;
}
