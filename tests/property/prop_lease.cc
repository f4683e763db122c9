// Several processes compete for one lease. Their calls are delayed, fail, lose
// their answers or take effect seconds later, processes pause and resume, and
// the store is restored from backups. The acts of two processes must always be
// at least the pause apart, and a process must hold the lease once there are
// no more faults.
#include "prop_support.h"
extern "C" {
#include "gateway/sidecar/lease.h"
}
#include <deque>
#include <string>
#include <vector>

namespace {

constexpr unsigned processes = 3;
constexpr uint64_t tick_interval_us = 50000;
// Oldest backup that the store is restored from.
constexpr uint64_t backup_age_us = 5000000;
constexpr unsigned era_shift = 40;

// A call in flight: when the store applies it, and when its answer arrives.
struct call {
    unsigned from;
    enum pgw_lease_step step;
    uint64_t expected_revision, writes, applied_at_us, answered_at_us;
    bool applied, answer_lost;
    enum pgw_lease_result result;
    bool names_self;
    uint64_t write_number, revision, era;
};

// What the store holds. Its revisions go back when it is restored.
struct store {
    bool exists = false;
    unsigned holder = 0;
    uint64_t writes = 0, revision = 10;
};

struct simulation : store {
    uint64_t era = 1, now = 1000000;
    std::deque<store> backups;
    pgw_lease list[processes];
    uint64_t known_era[processes] = {1, 1, 1};
    uint64_t read_era[processes] = {};
    uint64_t restored_us[processes] = {};
    uint64_t paused_until_us[processes] = {};
    uint64_t last_act_us[processes] = {};
    std::vector<call> calls;
    bool violated = false;
};

void
apply_call(simulation *sim, call *one)
{
    one->applied = true;
    one->era = sim->era;
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
restore(simulation *sim, uint32_t number)
{
    const store backup = sim->backups[number % sim->backups.size()];

    static_cast<store &>(*sim) = backup;
    sim->backups.clear();
    sim->era++;
}

void
finish_call(simulation *sim, const call &one)
{
    pgw_lease *lease = &sim->list[one.from];
    pgw_lease_answer answer = {};

    if (!one.answer_lost && one.era > sim->known_era[one.from]) {
        sim->known_era[one.from] = one.era;
        sim->restored_us[one.from] = sim->now;
    }
    answer.result = one.answer_lost ? PGW_LEASE_FAILED : one.result;
    answer.names_self = one.names_self;
    answer.write_number = one.write_number;
    answer.revision = one.era << era_shift | one.revision;
    answer.restored_us = sim->restored_us[one.from];
    if (one.step == PGW_LEASE_READ) {
        if (!one.answer_lost) {
            sim->read_era[one.from] = one.era;
        }
        pgw_lease_finish_read(lease, &answer, sim->now);
        return;
    }
    if (answer.result == PGW_LEASE_DONE &&
        one.era != sim->read_era[one.from]) {
        answer.result = PGW_LEASE_CONFLICT;
    }
    pgw_lease_finish_write(lease, &answer, sim->now);
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
    one.expected_revision =
        lease->revision & ((UINT64_C(1) << era_shift) - 1);
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
    sim->backups.push_back(*sim);
    if (sim->backups.size() > backup_age_us / tick_interval_us) {
        sim->backups.pop_front();
    }
    if (!without_faults && number % 199 == 0) {
        restore(sim, number / 199);
    }
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
