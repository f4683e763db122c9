// Several processes compete for one lease. Their calls are delayed, fail, lose
// their answers or take effect seconds later, and processes pause and resume.
// The acts of two processes must always be at least the pause apart, and a
// process must hold the lease once there are no more faults.
#include "prop_support.h"
extern "C" {
#include "gateway/sidecar/lease.h"
}
#include <string>
#include <vector>

namespace {

constexpr unsigned processes = 3;
constexpr uint64_t tick_interval_us = 50000;

// A call in flight: when the store applies it, and when its answer arrives.
struct call {
    unsigned from;
    enum pgw_lease_step step;
    uint64_t expected_revision, writes, applied_at_us, answered_at_us;
    bool applied, answer_lost;
    enum pgw_lease_result result;
    bool names_self;
    uint64_t write_number, revision;
};

struct simulation {
    bool exists = false;
    unsigned holder = 0;
    uint64_t writes = 0, revision = 10, now = 1000000;
    pgw_lease list[processes];
    uint64_t paused_until_us[processes] = {};
    uint64_t last_act_us[processes] = {};
    std::vector<call> calls;
    bool violated = false;
};

void
apply_call(simulation *sim, call *one)
{
    one->applied = true;
    if (one->step == PGW_LEASE_READ) {
        one->result = sim->exists ? PGW_LEASE_DONE : PGW_LEASE_ABSENT;
        one->names_self = sim->exists && sim->holder == one->from;
        one->write_number = sim->writes;
        one->revision = sim->revision;
        return;
    }
    if (one->step == PGW_LEASE_CREATE
            ? sim->exists
            : !sim->exists || sim->revision != one->expected_revision) {
        one->result = PGW_LEASE_CONFLICT;
        return;
    }
    sim->exists = true;
    sim->holder = one->from;
    sim->writes = one->writes;
    one->revision = ++sim->revision;
    one->result = PGW_LEASE_DONE;
}

void
finish_call(simulation *sim, const call &one)
{
    pgw_lease *lease = &sim->list[one.from];

    if (one.step == PGW_LEASE_READ) {
        pgw_lease_finish_read(
            lease, one.answer_lost ? PGW_LEASE_FAILED : one.result,
            one.names_self, one.write_number, one.revision, sim->now);
    }
    else {
        pgw_lease_finish_write(lease,
                               one.answer_lost ? PGW_LEASE_FAILED : one.result,
                               one.revision, sim->now);
    }
}

void
step(simulation *sim, unsigned index, uint32_t number, bool without_faults)
{
    pgw_lease *lease = &sim->list[index];
    enum pgw_lease_step next = pgw_lease_step(lease, sim->now);
    call one = {};

    if (next == PGW_LEASE_IDLE) {
        return;
    }
    one.from = index;
    one.step = next;
    one.expected_revision = lease->revision;
    one.writes = lease->write_count;
    one.answer_lost = !without_faults && number % 4 == 0;
    // A call whose answer is lost may be applied up to six seconds later.
    one.applied_at_us = sim->now + (without_faults ? 4000 : number % 1700000);
    one.answered_at_us =
        one.answer_lost ? sim->now + 1700000 : one.applied_at_us + 2000;
    if (one.answer_lost && number % 8 == 0) {
        one.applied_at_us = sim->now + number % 6000000;
    }
    sim->calls.push_back(one);
}

void
act(simulation *sim, const pgw_lease_options &options)
{
    for (unsigned i = 0; i < processes; i++) {
        if (sim->now < sim->paused_until_us[i] ||
            !pgw_lease_holds(&sim->list[i], sim->now)) {
            continue;
        }
        for (unsigned j = 0; j < processes; j++) {
            sim->violated |= j != i && sim->last_act_us[j] > 0 &&
                             sim->now - sim->last_act_us[j] < options.pause_us;
        }
        sim->last_act_us[i] = sim->now;
    }
}

void
tick(simulation *sim, uint32_t number, bool without_faults,
     const pgw_lease_options &options)
{
    sim->now += tick_interval_us;
    for (size_t i = 0; i < sim->calls.size(); i++) {
        if (!sim->calls[i].applied &&
            sim->calls[i].applied_at_us <= sim->now) {
            apply_call(sim, &sim->calls[i]);
        }
    }
    for (size_t i = 0; i < sim->calls.size();) {
        call one = sim->calls[i];
        bool due = one.answered_at_us > 0 && one.answered_at_us <= sim->now &&
                   sim->now >= sim->paused_until_us[one.from];

        if (due) {
            finish_call(sim, one);
            sim->calls[i].answered_at_us = 0;
        }
        if (sim->calls[i].answered_at_us == 0 && sim->calls[i].applied) {
            sim->calls.erase(sim->calls.begin() + (long)i);
            continue;
        }
        i++;
    }
    if (!without_faults && number % 61 == 0) {
        sim->paused_until_us[number / 61 % processes] =
            sim->now + number % 9000000;
    }
    act(sim, options);
    for (unsigned i = 0; i < processes; i++) {
        if (sim->now >= sim->paused_until_us[i]) {
            step(sim, i, number / 7 + i * 977, without_faults);
        }
    }
    act(sim, options);
}

} // namespace

int
main()
{
    bool good = rc::check("acts of two holders are a pause apart", [] {
        pgw_lease_options options = PGW_LEASE_OPTIONS_INIT;
        bool held = false;
        simulation sim;

        for (unsigned i = 0; i < processes; i++) {
            pgw_lease_init(&sim.list[i], &options);
            pgw_lease_set_wanted(&sim.list[i], true);
        }
        for (uint32_t number : random_script(1200)) {
            tick(&sim, number, false, options);
        }
        RC_ASSERT(!sim.violated);
        for (unsigned i = 0; i < 600; i++) {
            tick(&sim, 1, true, options);
        }
        for (const pgw_lease &lease : sim.list) {
            held |= pgw_lease_holds(&lease, sim.now);
        }
        RC_ASSERT(!sim.violated);
        RC_ASSERT(held);
    });
    return good ? 0 : 1;
}
