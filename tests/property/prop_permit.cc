// Weight loads under crashes, pauses, lost replies and lapsed leases: a
// simulation of one store object, processes that run orders and engines that
// load. A process may pause for any time between any two of its steps, also
// between writing the start and sending the order.
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "parsleygw/permit.h"

namespace {

constexpr uint64_t term_us = 100;

struct SimulatedEngine {
    bool checks_fence = false;  // rejects outdated fencing numbers itself
    uint64_t highest_fence = 0; // highest fencing number received
    bool loading = false;
    uint64_t latest_turn = 0;   // latest turn whose order arrived
};

enum class Stage { idle, granted, started, sent };

struct SimulatedProcess {
    std::string name;
    size_t target;
    Stage stage = Stage::idle;
    uint64_t fence = 0;
    uint64_t turn = 0; // position in the sequence of holders
    pgw_permit_observer observer = {};
};

struct Simulation {
    unsigned limit;
    uint64_t now = 0;
    uint64_t version = 10; // the store's counter
    std::unique_ptr<pgw_permit_table> table{new pgw_permit_table()};
    std::vector<SimulatedEngine> engines;
    std::vector<pgw_permit_fencing> fencing;
    std::vector<SimulatedProcess> processes;
    bool loses_replies = true;
    std::map<size_t, uint64_t> highest_grant; // fencing number by target
    uint64_t last_turn = 0;
    std::map<std::string, uint64_t> turns; // by holder and fencing number

    // Numbers holders by the sequence of their grants, independently of fencing
    // numbers.
    uint64_t find_turn(const pgw_permit_slot &slot)
    {
        std::string key =
            std::string(slot.holder) + "/" + std::to_string(slot.fence);

        if (turns.count(key) == 0) {
            turns[key] = ++last_turn;
        }
        return turns[key];
    }

    std::string target(size_t index) const
    {
        return "u" + std::to_string(index);
    }
};

// Runs one step of a process against the current object. The write may succeed
// although its reply is lost: the process then does not advance.
bool
run_step(Simulation &simulation, SimulatedProcess &process,
         pgw_permit_step step, pgw_permit_slot *slot)
{
    std::string target = simulation.target(process.target);
    struct pgw_permit_order order = {};
    struct pgw_permit_request request = {};
    auto table = std::make_unique<pgw_permit_table>(*simulation.table);
    bool write = false;

    g_strlcpy(order.kind, "load_version", sizeof(order.kind));
    request.step = step;
    request.holder = process.name.c_str();
    request.target = target.c_str();
    request.fence = process.fence;
    request.order = &order;
    request.limit = simulation.limit;
    pgw_permit_observe(&process.observer, table.get(), simulation.now);
    if (!pgw_permit_decide(table.get(), &write, slot, &request,
                           &process.observer, simulation.now, term_us,
                           nullptr)) {
        process.stage = Stage::idle;
        return false;
    }
    if (write) {
        // Formats and parses the table, as a write to the store does.
        char *text = pgw_permit_table_format(table.get(), "n");

        simulation.version += *rc::gen::inRange<uint64_t>(1, 5);
        RC_ASSERT(pgw_permit_table_parse(simulation.table.get(),
                                         simulation.version, text, nullptr));
        g_free(text);
    }
    return !simulation.loses_replies || *rc::gen::inRange(0, 5) != 0;
}

void
acquire(Simulation &simulation, SimulatedProcess &process)
{
    pgw_permit_slot slot = {};
    uint64_t &highest_grant = simulation.highest_grant[process.target];

    if (!run_step(simulation, process, PGW_PERMIT_ACQUIRE, &slot)) {
        return;
    }
    RC_ASSERT(slot.fence >= highest_grant);
    highest_grant = slot.fence;
    process.fence = slot.fence;
    process.turn = simulation.find_turn(slot);
    process.stage = Stage::granted;
}

// Where the engine does not check fencing numbers, the sidecar does.
void
send_order(Simulation &simulation, SimulatedProcess &process)
{
    SimulatedEngine &engine = simulation.engines[process.target];
    bool is_accepted =
        engine.checks_fence
            ? process.fence >= engine.highest_fence
            : pgw_permit_fencing_admit(&simulation.fencing[process.target],
                                       process.fence, nullptr);

    process.stage = is_accepted ? Stage::sent : Stage::idle;
    if (!is_accepted) {
        return;
    }
    // A replaced holder cannot affect the engine after its successor's order
    // has arrived.
    RC_ASSERT(process.turn >= engine.latest_turn);
    engine.latest_turn = process.turn;
    engine.highest_fence = process.fence;
    engine.loading = true;
}

void
run_next_step(Simulation &simulation, SimulatedProcess &process)
{
    pgw_permit_slot slot = {};

    switch (process.stage) {
    case Stage::idle:
        acquire(simulation, process);
        break;
    case Stage::granted:
        if (run_step(simulation, process, PGW_PERMIT_START, &slot)) {
            process.stage = Stage::started;
        }
        break;
    case Stage::started:
        send_order(simulation, process);
        break;
    case Stage::sent:
        if (simulation.engines[process.target].loading) {
            run_step(simulation, process, PGW_PERMIT_RENEW, &slot);
        }
        else if (run_step(simulation, process, PGW_PERMIT_RELEASE, &slot)) {
            process.stage = Stage::idle;
        }
        break;
    }
}

void
restart(SimulatedProcess &process)
{
    SimulatedProcess next;

    next.name = process.name + "'";
    next.target = process.target;
    if (next.name.size() < 40) {
        process = next;
    }
}

void
assert_load_limits(const Simulation &simulation)
{
    unsigned loading = 0;

    RC_ASSERT(simulation.table->n <= simulation.limit);
    for (const auto &engine : simulation.engines) {
        loading += engine.loading;
    }
    RC_ASSERT(loading <= simulation.limit);
}

Simulation
make_simulation()
{
    Simulation simulation;
    size_t engines = *rc::gen::inRange<size_t>(1, 5);

    simulation.limit = *rc::gen::inRange(1u, 4u);
    for (size_t i = 0; i < engines; i++) {
        SimulatedEngine engine;

        engine.checks_fence = *rc::gen::arbitrary<bool>();
        simulation.engines.push_back(engine);
        simulation.fencing.push_back({});
        // Two processes for each engine: the old process may be paused, not
        // dead.
        for (const char *suffix : {":1", ":2"}) {
            SimulatedProcess process;

            process.name = simulation.target(i) + suffix;
            process.target = i;
            simulation.processes.push_back(process);
        }
    }
    simulation.table->version = simulation.version;
    return simulation;
}

bool
check_limits()
{
    return rc::check("loads stay within the limit, old orders are rejected", [] {
        Simulation simulation = make_simulation();
        int steps = *rc::gen::inRange(0, 150);

        for (int i = 0; i < steps; i++) {
            auto &process = simulation.processes[*rc::gen::inRange<size_t>(
                0, simulation.processes.size())];
            auto &engine = simulation.engines[*rc::gen::inRange<size_t>(
                0, simulation.engines.size())];

            switch (*rc::gen::inRange(0, 10)) {
            case 0:
                simulation.now += *rc::gen::inRange<uint64_t>(0, 2 * term_us);
                break;
            case 1:
                restart(process);
                break;
            case 2:
                engine.loading = false;
                break;
            default:
                run_next_step(simulation, process);
                break;
            }
            assert_load_limits(simulation);
        }
    });
}

// After the faults every engine receives its order: no permit stays in use.
bool
check_resumption()
{
    return rc::check("orders are resumed after crashes", [] {
        Simulation simulation = make_simulation();
        int steps = *rc::gen::inRange(0, 60);

        for (int i = 0; i < steps; i++) {
            auto &process = simulation.processes[*rc::gen::inRange<size_t>(
                0, simulation.processes.size())];

            if (*rc::gen::inRange(0, 6) == 0) {
                restart(process);
            }
            else {
                run_next_step(simulation, process);
            }
        }
        std::vector<uint64_t> fences_before;
        simulation.loses_replies = false;
        for (auto &engine : simulation.engines) {
            fences_before.push_back(engine.highest_fence);
        }
        for (int round = 0; round < 100; round++) {
            simulation.now += term_us / 2;
            // Only the second process of each engine still runs.
            for (size_t i = 1; i < simulation.processes.size(); i += 2) {
                run_next_step(simulation, simulation.processes[i]);
                assert_load_limits(simulation);
            }
            for (auto &engine : simulation.engines) {
                engine.loading = false;
            }
        }
        for (size_t i = 0; i < fences_before.size(); i++) {
            RC_ASSERT(simulation.engines[i].highest_fence > fences_before[i]);
        }
    });
}

} // namespace

int
main()
{
    bool ok = check_limits();

    return check_resumption() && ok ? 0 : 1;
}
