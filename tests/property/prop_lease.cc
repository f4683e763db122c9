// Processes that want one lease: their calls take any time, fail, lose their
// answers or are carried out seconds later, and processes stand still and wake.
// The acts of two of them are never less than the pause apart, and once all is
// calm somebody holds it.
#include "prop_support.h"
extern "C" {
#include "gateway/lease.h"
}
#include <string>
#include <vector>

namespace {

constexpr unsigned processes = 3;
constexpr uint64_t tick_us = 50000;

// A call on its way: when the store carries it out, and when its answer comes.
struct call {
    unsigned from;
    enum pgw_lease_step step;
    uint64_t condition, writes, done_us, answer_us;
    bool carried_out, lost;
    enum pgw_lease_result result;
    bool mine;
    uint64_t named, revision;
};

struct world {
    bool exists = false;
    unsigned holder = 0;
    uint64_t writes = 0, revision = 10, now = 1000000;
    pgw_lease list[processes];
    uint64_t paused_until[processes] = {};
    uint64_t acted[processes] = {};
    std::vector<call> calls;
    bool broken = false;
};

void
carry_out(world *all, call *one)
{
    one->carried_out = true;
    if (one->step == PGW_LEASE_READ) {
        one->result = all->exists ? PGW_LEASE_DONE : PGW_LEASE_ABSENT;
        one->mine = all->exists && all->holder == one->from;
        one->named = all->writes;
        one->revision = all->revision;
        return;
    }
    if (one->step == PGW_LEASE_CREATE
            ? all->exists
            : !all->exists || all->revision != one->condition) {
        one->result = PGW_LEASE_CONFLICT;
        return;
    }
    all->exists = true;
    all->holder = one->from;
    all->writes = one->writes;
    one->revision = ++all->revision;
    one->result = PGW_LEASE_DONE;
}

void
take_answer(world *all, const call &one)
{
    pgw_lease *lease = &all->list[one.from];

    if (one.step == PGW_LEASE_READ) {
        pgw_lease_finish_read(lease, one.lost ? PGW_LEASE_FAILED : one.result,
                            one.mine, one.named, one.revision, all->now);
    }
    else {
        pgw_lease_finish_write(lease, one.lost ? PGW_LEASE_FAILED : one.result,
                             one.revision, all->now);
    }
}

void
step(world *all, unsigned index, uint32_t number, bool calm)
{
    pgw_lease *lease = &all->list[index];
    enum pgw_lease_step next = pgw_lease_step(lease, all->now);
    call one = {};

    if (next == PGW_LEASE_IDLE) {
        return;
    }
    one.from = index;
    one.step = next;
    one.condition = lease->revision;
    one.writes = lease->writes;
    one.lost = !calm && number % 4 == 0;
    // A lost one may be carried out up to six seconds later.
    one.done_us = all->now + (calm ? 4000 : number % 1700000);
    one.answer_us = one.lost ? all->now + 1700000 : one.done_us + 2000;
    if (one.lost && number % 8 == 0) {
        one.done_us = all->now + number % 6000000;
    }
    all->calls.push_back(one);
}

void
act(world *all, const pgw_lease_options &options)
{
    for (unsigned i = 0; i < processes; i++) {
        if (all->now < all->paused_until[i] ||
            !pgw_lease_holds(&all->list[i], all->now)) {
            continue;
        }
        for (unsigned j = 0; j < processes; j++) {
            all->broken |= j != i && all->acted[j] > 0 &&
                           all->now - all->acted[j] < options.pause_us;
        }
        all->acted[i] = all->now;
    }
}

void
tick(world *all, uint32_t number, bool calm, const pgw_lease_options &options)
{
    all->now += tick_us;
    for (size_t i = 0; i < all->calls.size(); i++) {
        if (!all->calls[i].carried_out && all->calls[i].done_us <= all->now) {
            carry_out(all, &all->calls[i]);
        }
    }
    for (size_t i = 0; i < all->calls.size();) {
        call one = all->calls[i];
        bool due = one.answer_us > 0 && one.answer_us <= all->now &&
                   all->now >= all->paused_until[one.from];

        if (due) {
            take_answer(all, one);
            all->calls[i].answer_us = 0;
        }
        if (all->calls[i].answer_us == 0 && all->calls[i].carried_out) {
            all->calls.erase(all->calls.begin() + (long)i);
            continue;
        }
        i++;
    }
    if (!calm && number % 61 == 0) {
        all->paused_until[number / 61 % processes] =
            all->now + number % 9000000;
    }
    act(all, options);
    for (unsigned i = 0; i < processes; i++) {
        if (all->now >= all->paused_until[i]) {
            step(all, i, number / 7 + i * 977, calm);
        }
    }
    act(all, options);
}

} // namespace

int
main()
{
    bool good = rc::check("acts of two holders are a pause apart", [] {
        pgw_lease_options options = PGW_LEASE_OPTIONS_INIT;
        bool held = false;
        world all;

        for (unsigned i = 0; i < processes; i++) {
            pgw_lease_init(&all.list[i], &options);
            pgw_lease_set_wanted(&all.list[i], true);
        }
        for (uint32_t number : random_script(1200)) {
            tick(&all, number, false, options);
        }
        RC_ASSERT(!all.broken);
        for (unsigned i = 0; i < 600; i++) {
            tick(&all, 1, true, options);
        }
        for (const pgw_lease &lease : all.list) {
            held |= pgw_lease_holds(&lease, all.now);
        }
        RC_ASSERT(!all.broken);
        RC_ASSERT(held);
    });
    return good ? 0 : 1;
}
