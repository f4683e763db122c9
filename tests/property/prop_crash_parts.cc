// A fleet of entries and engines in which prompts with one faulty part crash
// each engine that begins to answer them. Whatever the place of the part, the
// load and the order of messages, few such prompts are sent on after the fifth
// crash, and sound ones go on.
#include "prop_support.h"
extern "C" {
#include "gateway/crash/crash_quarantine.h"
}
#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace {

constexpr unsigned entries = 5;
constexpr unsigned seeds = 3;
constexpr uint64_t ms = 1000;
constexpr uint64_t second = 1000 * ms;
constexpr uint64_t step_us = 20 * ms;
constexpr uint64_t contact_us = 3 * second;
constexpr uint64_t traffic_us = 20 * second;
constexpr unsigned late_max = 3;

struct fleet;

struct entry {
    fleet *all = nullptr;
    unsigned index = 0;
    pgw_crash_quarantine *quarantine = nullptr;
};

// A report on its way. Partners are copied, since the sender's may change.
struct message {
    uint64_t at;
    unsigned to;
    pgw_crashed_run report;
    pgw_crash_keys partners;
};

struct run {
    unsigned at_entry;
    pgw_crash_keys keys;
    bool faulty = false;
    uint64_t trial = 0;
    uint64_t sent_at = 0;
    uint64_t ends_at = 0;
    uint64_t gives_up_at = 0;
};

struct engine {
    std::string name;
    uint64_t starts_at = 0;
    std::vector<run> runs;
};

// What a case draws.
struct scenario {
    unsigned engines;
    unsigned faulty_per_s;
    unsigned sound_per_s;
    unsigned place; // of the faulty part: first, middle, before a shared one
    unsigned delay_ms;
    unsigned down_ms;
    unsigned run_ms;
    bool power_loss;
};

struct fleet {
    entry list[entries];
    std::multimap<uint64_t, message> messages;
    std::vector<engine> engines;
    std::deque<run> waiting;
    std::multimap<uint64_t, std::pair<unsigned, std::string>> confirmations;
    std::mt19937 random;
    uint64_t now = 20 * second;
    unsigned delay_ms = 0;
    unsigned lives = 0;
    uint64_t sent = 0;
    std::vector<uint64_t> crashes;
    unsigned late = 0;
    unsigned begun = 0;
    unsigned asked = 0;
    uint64_t judged_from = UINT64_MAX;

    unsigned draw(unsigned below)
    {
        return below == 0 ? 0 : random() % below;
    }
};

void
on_crashed(const pgw_crashed_run *crashed, size_t count, void *context)
{
    entry *from = static_cast<entry *>(context);
    fleet *all = from->all;

    for (size_t i = 0; i < count; i++) {
        for (unsigned to = 0; to < entries; to++) {
            bool is_linked = to < seeds || (from->index < seeds && !crashed[i].seeds_only);
            message copy = {all->now + all->draw(all->delay_ms + 1) * ms, to, crashed[i], {}};

            if (to == from->index || !is_linked) {
                continue;
            }
            if (crashed[i].partners != nullptr) {
                copy.partners = *crashed[i].partners;
            }
            all->messages.emplace(copy.at, copy);
            all->sent++;
        }
    }
}

void
deliver_due(fleet *all)
{
    while (!all->messages.empty() && all->messages.begin()->first <= all->now) {
        message next = all->messages.begin()->second;

        all->messages.erase(all->messages.begin());
        if (next.report.partners != nullptr) {
            next.report.partners = &next.partners;
        }
        pgw_crash_quarantine_merge(all->list[next.to].quarantine, &next.report, 1, all->now);
    }
}

// Prompts share their first part; the middle one is one of a few.
run
make_request(fleet *all, const scenario &given, bool faulty)
{
    pgw_fingerprint request = {{0}};
    run out;

    out.at_entry = all->draw(entries);
    out.faulty = faulty;
    for (uint8_t &byte : request.bytes) {
        byte = (uint8_t)all->random();
    }
    pgw_crash_keys_init(&out.keys, &request);
    if (faulty && given.place == 0) {
        pgw_crash_keys_add_part(&out.keys, 666, nullptr);
    }
    else {
        pgw_crash_keys_add_part(&out.keys, 1, nullptr);
    }
    if (faulty && given.place == 1) {
        pgw_crash_keys_add_part(&out.keys, 666, nullptr);
    }
    else {
        if (faulty && given.place == 2) {
            pgw_crash_keys_add_part(&out.keys, 666, nullptr);
        }
        pgw_crash_keys_add_part(&out.keys, 10 + all->draw(8), nullptr);
    }
    out.gives_up_at = all->now + 3 * second;
    return out;
}

void
crash(fleet *all, engine *which, uint64_t down_us)
{
    std::vector<run> runs;

    std::swap(runs, which->runs);
    for (const run &each : runs) {
        pgw_crash_quarantine *quarantine = all->list[each.at_entry].quarantine;

        pgw_crash_quarantine_add_interrupted(quarantine, &each.keys, which->name.c_str(), all->now);
        if (each.trial != 0) {
            pgw_crash_quarantine_end_trial(quarantine, &each.keys, each.trial, PGW_TRIAL_FAILED, all->now);
        }
    }
    for (unsigned i = 0; i < entries; i++) {
        all->confirmations.emplace(all->now + (200 + all->draw(800)) * ms, std::make_pair(i, which->name));
    }
    which->starts_at = all->now + down_us;
    which->name = "engine-" + std::to_string(++all->lives);
}

void
send(fleet *all, const scenario &given, run request)
{
    std::vector<engine *> up;
    engine *target;
    pgw_crash_quarantine *quarantine = all->list[request.at_entry].quarantine;

    for (engine &each : all->engines) {
        if (each.starts_at <= all->now) {
            up.push_back(&each);
        }
    }
    if (up.empty()) {
        all->waiting.push_back(request);
        return;
    }
    target = up[all->draw(up.size())];
    if (request.trial != 0) {
        if (pgw_crash_quarantine_has_trial_at(quarantine, request.trial, target->name.c_str(), all->now)) {
            all->waiting.push_back(request);
            return;
        }
        pgw_crash_quarantine_start_trial(quarantine, &request.keys, request.trial, target->name.c_str(),
                                         all->now + 5 * second, all->now);
    }
    if (request.faulty && all->crashes.size() >= 5 && all->now > all->crashes[4] + contact_us) {
        all->late++;
    }
    all->begun += !request.faulty && request.gives_up_at - 3 * second >= all->judged_from;
    request.sent_at = all->now;
    request.ends_at = all->now + (given.run_ms / 2 + all->draw(given.run_ms)) * ms;
    target->runs.push_back(request);
}

void
admit(fleet *all, const scenario &given, run request)
{
    pgw_crash_quarantine *quarantine = all->list[request.at_entry].quarantine;

    switch (pgw_crash_quarantine_admit(quarantine, &request.keys, &request.trial,
                                       all->now + second <= request.gives_up_at ? second : 0, all->random(), all->now)) {
    case PGW_CRASH_ALLOW:
    case PGW_CRASH_TRIAL:
        send(all, given, request);
        break;
    case PGW_CRASH_WAIT:
        if (all->now < request.gives_up_at) {
            all->waiting.push_back(request);
            break;
        }
        // falls through
    case PGW_CRASH_REFUSE:
        pgw_crash_quarantine_end_trial(quarantine, &request.keys, request.trial, PGW_TRIAL_WITHDRAWN, all->now);
    }
}

void
step_engines(fleet *all, const scenario &given)
{
    for (engine &each : all->engines) {
        bool crashes = false;

        for (const run &request : each.runs) {
            crashes = crashes || (request.faulty && request.sent_at + 40 * ms <= all->now);
        }
        if (crashes) {
            all->crashes.push_back(all->now);
            crash(all, &each, given.down_ms * ms);
        }
        for (size_t i = each.runs.size(); i > 0; i--) {
            const run &request = each.runs[i - 1];

            if (request.ends_at <= all->now) {
                pgw_crash_quarantine_clear(all->list[request.at_entry].quarantine, &request.keys);
                each.runs.erase(each.runs.begin() + (long)i - 1);
            }
        }
    }
}

void
step(fleet *all, const scenario &given, bool traffic)
{
    std::deque<run> waiting;

    all->now += step_us;
    deliver_due(all);
    while (!all->confirmations.empty() && all->confirmations.begin()->first <= all->now) {
        std::pair<unsigned, std::string> next = all->confirmations.begin()->second;

        all->confirmations.erase(all->confirmations.begin());
        pgw_crash_quarantine_add_crash(all->list[next.first].quarantine, next.second.c_str(), 0, all->now);
    }
    step_engines(all, given);
    std::swap(waiting, all->waiting);
    for (const run &request : waiting) {
        admit(all, given, request);
    }
    for (unsigned kind = 0; traffic && kind < 2; kind++) {
        unsigned per_s = kind == 0 ? given.sound_per_s : given.faulty_per_s;

        if (all->draw((unsigned)(second / step_us)) < per_s) {
            run request = make_request(all, given, kind == 1);

            all->asked += kind == 0 && all->now >= all->judged_from;
            admit(all, given, request);
        }
    }
}

void
play(const scenario &given, uint32_t seed)
{
    pgw_crash_quarantine_options options = PGW_CRASH_QUARANTINE_OPTIONS_INIT;
    fleet all;
    uint64_t end;
    unsigned rounds = 0;

    all.random.seed(seed);
    all.delay_ms = given.delay_ms;
    for (unsigned i = 0; i < entries; i++) {
        all.list[i].all = &all;
        all.list[i].index = i;
        all.list[i].quarantine = pgw_crash_quarantine_new(&options);
        pgw_crash_quarantine_subscribe(all.list[i].quarantine, on_crashed, &all.list[i]);
    }
    all.engines.resize(given.engines);
    for (engine &each : all.engines) {
        each.name = "engine-" + std::to_string(++all.lives);
    }
    end = all.now + traffic_us;
    while (all.now < end) {
        step(&all, given, true);
        if (given.power_loss && all.now == end - traffic_us + 2 * second) {
            for (engine &each : all.engines) {
                crash(&all, &each, given.down_ms * ms);
            }
        }
        if (all.judged_from == UINT64_MAX && all.now >= end - traffic_us + 2 * second &&
            (all.crashes.empty() || all.crashes.size() >= 5)) {
            all.judged_from = all.now + 2 * contact_us;
        }
    }
    RC_ASSERT(all.late <= late_max);
    RC_ASSERT(all.asked < 20 || all.begun * 2 >= all.asked);
    // Messages come to an end.
    while (!all.messages.empty() && ++rounds < 1000) {
        step(&all, given, false);
    }
    RC_ASSERT(all.messages.empty());
    for (entry &each : all.list) {
        pgw_crash_quarantine_free(each.quarantine);
    }
}

scenario
draw_scenario()
{
    return scenario{
        *rc::gen::inRange(3u, 10u),
        *rc::gen::inRange(0u, 20u),
        *rc::gen::inRange(5u, 50u),
        *rc::gen::inRange(0u, 3u),
        *rc::gen::inRange(0u, 100u),
        *rc::gen::inRange(500u, 3000u),
        *rc::gen::inRange(50u, 1000u),
        *rc::gen::arbitrary<bool>(),
    };
}

} // namespace

int
main()
{
    bool good = rc::check("faulty parts are refused and sound prompts go on", [] {
        scenario given = draw_scenario();

        play(given, *rc::gen::arbitrary<uint32_t>());
    });
    return good ? 0 : 1;
}
