// Weight loads under crashes, pauses, lost answers and lapsed leases: a small
// world with one store object, processes that carry out orders and engines
// that load. A process may stop for any time between any two of its steps,
// also between writing its start and sending the order.
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "parsleygw/permit.h"

namespace {

constexpr uint64_t term_us = 100;

struct Engine {
    bool checks = false;    // refuses old numbers itself
    uint64_t mark = 0;      // highest number it was given
    bool loading = false;
    uint64_t arrived = 0;   // latest turn whose order arrived
};

enum class Stage { idle, granted, started, sent };

struct Process {
    std::string name;
    size_t target;
    Stage stage = Stage::idle;
    uint64_t fence = 0;
    uint64_t turn = 0; // which holder of the target's orders, counted
    pgw_permit_observer observer = {};
};

struct World {
    unsigned limit;
    uint64_t now = 0;
    uint64_t version = 10; // the store's counter
    std::unique_ptr<pgw_permit_table> table{new pgw_permit_table()};
    std::vector<Engine> engines;
    std::vector<pgw_permit_fencing> gates;
    std::vector<Process> processes;
    bool loses_answers = true;
    std::map<size_t, uint64_t> highest; // number by target
    uint64_t last_turn = 0;
    std::map<std::string, uint64_t> turns; // by holder and number

    // Counts the holders in the order of their grants, apart from numbers.
    uint64_t turn_of(const pgw_permit_slot &slot)
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

// One step of a process against the object as it is now. The write may be
// made while its answer is lost: the process then does not move on.
bool
take_step(World &world, Process &process, pgw_permit_step step,
          pgw_permit_slot *slot)
{
    std::string target = world.target(process.target);
    struct pgw_permit_order order = {};
    struct pgw_permit_request request = {};
    auto table = std::make_unique<pgw_permit_table>(*world.table);
    bool write = false;

    g_strlcpy(order.kind, "load_version", sizeof(order.kind));
    request.step = step;
    request.holder = process.name.c_str();
    request.target = target.c_str();
    request.fence = process.fence;
    request.order = &order;
    request.limit = world.limit;
    pgw_permit_observe(&process.observer, table.get(), world.now);
    if (!pgw_permit_decide(table.get(), &write, slot, &request,
                           &process.observer, world.now, term_us, nullptr)) {
        process.stage = Stage::idle;
        return false;
    }
    if (write) {
        // Through its text, as it would go through the store.
        char *text = pgw_permit_table_format(table.get(), "n");

        world.version += *rc::gen::inRange<uint64_t>(1, 5);
        RC_ASSERT(pgw_permit_table_parse(world.table.get(), world.version,
                                         text, nullptr));
        g_free(text);
    }
    return !world.loses_answers || *rc::gen::inRange(0, 5) != 0;
}

void
acquire(World &world, Process &process)
{
    pgw_permit_slot slot = {};
    uint64_t &highest = world.highest[process.target];

    if (!take_step(world, process, PGW_PERMIT_ACQUIRE, &slot)) {
        return;
    }
    RC_ASSERT(slot.fence >= highest);
    highest = slot.fence;
    process.fence = slot.fence;
    process.turn = world.turn_of(slot);
    process.stage = Stage::granted;
}

// The order goes through the gate where the engine does not check.
void
send(World &world, Process &process)
{
    Engine &engine = world.engines[process.target];
    bool taken = engine.checks
                     ? process.fence >= engine.mark
                     : pgw_permit_fencing_admit(&world.gates[process.target],
                                             process.fence, nullptr);

    process.stage = taken ? Stage::sent : Stage::idle;
    if (!taken) {
        return;
    }
    // A holder that was replaced, and whose successor's order has arrived,
    // does nothing to the engine any more.
    RC_ASSERT(process.turn >= engine.arrived);
    engine.arrived = process.turn;
    engine.mark = process.fence;
    engine.loading = true;
}

void
run(World &world, Process &process)
{
    pgw_permit_slot slot = {};

    switch (process.stage) {
    case Stage::idle:
        acquire(world, process);
        break;
    case Stage::granted:
        if (take_step(world, process, PGW_PERMIT_START, &slot)) {
            process.stage = Stage::started;
        }
        break;
    case Stage::started:
        send(world, process);
        break;
    case Stage::sent:
        if (world.engines[process.target].loading) {
            take_step(world, process, PGW_PERMIT_RENEW, &slot);
        }
        else if (take_step(world, process, PGW_PERMIT_RELEASE, &slot)) {
            process.stage = Stage::idle;
        }
        break;
    }
}

void
crash(Process &process)
{
    Process next;

    next.name = process.name + "'";
    next.target = process.target;
    if (next.name.size() < 40) {
        process = next;
    }
}

void
assert_limits(const World &world)
{
    unsigned loading = 0;

    RC_ASSERT(world.table->n <= world.limit);
    for (const auto &engine : world.engines) {
        loading += engine.loading;
    }
    RC_ASSERT(loading <= world.limit);
}

World
make_world()
{
    World world;
    size_t engines = *rc::gen::inRange<size_t>(1, 5);

    world.limit = *rc::gen::inRange(1u, 4u);
    for (size_t i = 0; i < engines; i++) {
        Engine engine;

        engine.checks = *rc::gen::arbitrary<bool>();
        world.engines.push_back(engine);
        world.gates.push_back({});
        // Two processes for each engine: the old one may only be paused.
        for (const char *suffix : {":1", ":2"}) {
            Process process;

            process.name = world.target(i) + suffix;
            process.target = i;
            world.processes.push_back(process);
        }
    }
    world.table->version = world.version;
    return world;
}

bool
check_world()
{
    return rc::check("loads stay within the limit, old orders are refused", [] {
        World world = make_world();
        int steps = *rc::gen::inRange(0, 150);

        for (int i = 0; i < steps; i++) {
            auto &process = world.processes[*rc::gen::inRange<size_t>(
                0, world.processes.size())];
            auto &engine = world.engines[*rc::gen::inRange<size_t>(
                0, world.engines.size())];

            switch (*rc::gen::inRange(0, 10)) {
            case 0:
                world.now += *rc::gen::inRange<uint64_t>(0, 2 * term_us);
                break;
            case 1:
                crash(process);
                break;
            case 2:
                engine.loading = false;
                break;
            default:
                run(world, process);
                break;
            }
            assert_limits(world);
        }
    });
}

// After the trouble every engine gets its order: nothing is stuck for good.
bool
check_resumes()
{
    return rc::check("orders are resumed after crashes", [] {
        World world = make_world();
        int steps = *rc::gen::inRange(0, 60);

        for (int i = 0; i < steps; i++) {
            auto &process = world.processes[*rc::gen::inRange<size_t>(
                0, world.processes.size())];

            if (*rc::gen::inRange(0, 6) == 0) {
                crash(process);
            }
            else {
                run(world, process);
            }
        }
        std::vector<uint64_t> marks;
        world.loses_answers = false;
        for (auto &engine : world.engines) {
            marks.push_back(engine.mark);
        }
        for (int round = 0; round < 100; round++) {
            world.now += term_us / 2;
            // Only the second process of each engine is still alive.
            for (size_t i = 1; i < world.processes.size(); i += 2) {
                run(world, world.processes[i]);
                assert_limits(world);
            }
            for (auto &engine : world.engines) {
                engine.loading = false;
            }
        }
        for (size_t i = 0; i < marks.size(); i++) {
            RC_ASSERT(world.engines[i].mark > marks[i]);
        }
    });
}

} // namespace

int
main()
{
    bool ok = check_world();

    return check_resumes() && ok ? 0 : 1;
}
