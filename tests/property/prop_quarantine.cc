// A request that crashes every engine is sent again and again, to any sidecar,
// beside innocent ones, while sidecars die with their engines, pause, and the
// store delays, loses and refuses. At most two engines crash by it in all. So it
// is when many entries send many copies at any time, if each asks sidecar 0,
// which ranks first, and its Open arrives any time after the answer.
#include "parsleygw/copies.h"
#include "parsleygw/quarantine.h"
#include "prop_support.h"

#include <cstring>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace {

constexpr uint64_t kSecond = G_USEC_PER_SEC;
constexpr unsigned kSidecars = 4;
constexpr unsigned kEntry = kSidecars; // reports for sidecars that died
constexpr unsigned kBodies = 3;        // 0 crashes, the others are innocent

struct operation {
    unsigned process;
    uint64_t incarnation;
    unsigned body;
    pgw_io_kind kind;
    uint64_t expected;
    std::string value;
    bool arrived = false;
    pgw_io_result result = PGW_IO_UNKNOWN;
    uint64_t version = 0;
    std::string reply;
};

struct object {
    uint64_t version = 0;
    std::optional<std::string> value;
};

// What the watch, or a peer on its behalf, tells every process.
struct change {
    uint64_t time;
    unsigned body;
    uint64_t version;
    std::optional<std::string> value;
    bool unstored;
};

struct process {
    pgw_quarantine *machine = nullptr;
    uint64_t incarnation = 0;
    uint64_t engine = 0;
    std::set<uint64_t> running;
    std::deque<uint64_t> starting;
    uint64_t alone = 0;
    size_t seen = 0;
    bool paused = false;
};

struct caller {
    unsigned body;
    uint64_t ticket = 0; // outstanding
    bool answered = false;
    enum pgw_refusal refusal = PGW_REFUSAL_COUNT;
    unsigned sidecar = 0;
};

// An entry knows where the copy goes; its Open is on the way.
struct placed {
    size_t caller;
    unsigned sidecar;
};

struct world {
    uint64_t now = 1700000000 * kSecond;
    bool up = true;
    bool prompt;
    bool died = false;
    uint64_t counter = 0;
    uint64_t next = 1;
    unsigned crashes = 0;
    object objects[kBodies];
    std::vector<change> changes;
    std::vector<operation> operations;
    process processes[kSidecars + 1];
    std::vector<caller> callers;
    std::map<uint64_t, size_t> owners; // ticket to caller
    pgw_copies *copies = nullptr;      // of sidecar 0, if copies gather
    std::vector<placed> opens;

    world(unsigned poisoners, bool is_prompt) : prompt(is_prompt)
    {
        for (unsigned i = 0; i <= kSidecars; i++) {
            restart(i);
        }
        for (unsigned i = 0; i < poisoners; i++) {
            callers.push_back({0});
        }
        for (unsigned body = 1; body < kBodies; body++) {
            callers.push_back({body});
        }
    }

    ~world()
    {
        for (auto &one : processes) {
            pgw_quarantine_free(one.machine);
        }
        pgw_copies_free(copies);
    }

    static pgw_fingerprint
    name(unsigned body)
    {
        pgw_fingerprint out;

        pgw_fingerprint_compute(&out, "w", &body, sizeof(body));
        return out;
    }

    void
    restart(unsigned i)
    {
        pgw_quarantine_options options = PGW_QUARANTINE_OPTIONS_INIT;
        process &one = processes[i];

        pgw_quarantine_free(one.machine);
        one = process();
        one.incarnation = next++;
        one.engine = next++;
        options.owner = one.incarnation;
        options.stale_us = options.spread_us;
        one.machine = pgw_quarantine_new(&options);
        see_changes(i);
    }

    void
    see_changes(unsigned i)
    {
        process &one = processes[i];

        for (; one.seen < changes.size(); one.seen++) {
            const change &what = changes[one.seen];
            pgw_fingerprint fingerprint = name(what.body);

            if (what.unstored) {
                pgw_quarantine_hear(one.machine, &fingerprint,
                                    what.value->c_str(), what.value->size(),
                                    now);
            }
            else {
                pgw_quarantine_apply(
                    one.machine, &fingerprint, what.version,
                    what.value ? what.value->c_str() : nullptr,
                    what.value ? what.value->size() : 0, now);
            }
        }
        pgw_quarantine_synced(one.machine, now);
    }

    // Time passes in steps shorter than the time in which changes spread.
    void
    wait(uint64_t us)
    {
        for (; us > 0; us -= us < kSecond / 4 ? us : kSecond / 4) {
            now += us < kSecond / 4 ? us : kSecond / 4;
            for (unsigned i = 0; i <= kSidecars; i++) {
                bool late = processes[i].seen < changes.size() &&
                            changes[processes[i].seen].time + kSecond / 2 <=
                                now;

                if (!processes[i].paused &&
                    (late || processes[i].seen == changes.size())) {
                    see_changes(i);
                }
            }
            // Processes that are in time do not sleep through a wait: what
            // they hear in it they act on in it.
            if (copies != nullptr) {
                settle_all();
            }
        }
    }

    void
    answer(uint64_t ticket, enum pgw_refusal refusal)
    {
        if (owners.count(ticket)) {
            caller &one = callers[owners.at(ticket)];

            one.ticket = 0;
            one.answered = true;
            one.refusal = refusal;
            owners.erase(ticket);
        }
    }

    void
    decide(unsigned i, const pgw_quarantine_decision &out)
    {
        process &one = processes[i];

        switch (out.action) {
        case PGW_QUARANTINE_PENDING:
            break;
        case PGW_QUARANTINE_RUN:
            one.starting.push_back(out.ticket);
            break;
        case PGW_QUARANTINE_RUN_ALONE:
            one.starting.push_front(out.ticket);
            one.alone = out.ticket;
            break;
        default:
            answer(out.ticket, out.action == PGW_QUARANTINE_REFUSE
                                   ? out.refusal
                                   : PGW_REFUSAL_UPSTREAM_FAILED);
        }
        start(i);
    }

    void
    start(unsigned i)
    {
        process &one = processes[i];

        while (!one.starting.empty()) {
            uint64_t ticket = one.starting.front();
            bool alone = one.alone != 0;

            if (alone && !one.running.empty()) {
                return;
            }
            one.starting.pop_front();
            one.running.insert(ticket);
            if (alone) {
                return;
            }
        }
    }

    void
    send(size_t who, unsigned i, bool check)
    {
        caller &one = callers[who];
        pgw_fingerprint fingerprint = name(one.body);
        pgw_quarantine_decision out;

        if (one.ticket != 0 || i == kEntry) {
            return;
        }
        one.ticket = next++;
        one.answered = false;
        one.sidecar = i;
        owners[one.ticket] = who;
        pgw_quarantine_admit(&out, processes[i].machine, &fingerprint,
                             one.ticket, check, now);
        decide(i, out);
    }

    void
    place(size_t who, unsigned wanted)
    {
        pgw_fingerprint fingerprint = name(callers[who].body);

        for (const placed &one : opens) {
            if (one.caller == who) {
                return;
            }
        }
        if (callers[who].ticket != 0) {
            return;
        }
        if (pgw_copies_register(copies, &fingerprint, now + 3600 * kSecond,
                                now)) {
            wanted = 0;
        }
        opens.push_back({who, wanted});
    }

    void
    open(size_t which)
    {
        placed one = opens[which];

        opens.erase(opens.begin() + (long)which);
        send(one.caller, one.sidecar, false);
    }

    // The engine of sidecar i dies; `reporter` tells what was running, unless
    // `silent`: then nobody is left who could.
    void
    crash(unsigned i, unsigned reporter, bool silent = false)
    {
        process &one = processes[i];
        std::set<uint64_t> running;

        running.swap(one.running);
        for (uint64_t ticket : running) {
            if (callers[owners.at(ticket)].body == 0) {
                crashes++; // one engine, however many copies it ran
                break;
            }
        }
        RC_ASSERT(crashes <= PGW_QUARANTINE_CRASHES);
        for (uint64_t ticket : running) {
            unsigned body = callers[owners.at(ticket)].body;
            pgw_fingerprint fingerprint = name(body);
            pgw_quarantine_record record = {};

            if (silent) {
                answer(ticket, PGW_REFUSAL_UPSTREAM_FAILED);
                continue;
            }
            pgw_quarantine_crash(processes[reporter].machine, &fingerprint,
                                 ticket, one.engine, now);
            record.crash_count = 1;
            record.crashes[0] = one.engine;
            record.changed_us = now;
            char *text = pgw_quarantine_record_print(&record);
            changes.push_back({now, body, 0, text, true});
            g_free(text);
        }
        one.engine = next++;
        one.alone = 0;
    }

    void
    run_engine(unsigned i)
    {
        process &one = processes[i];

        for (uint64_t ticket : one.running) {
            if (callers[owners.at(ticket)].body == 0) {
                crash(i, i);
                start(i);
                return;
            }
        }
        if (!one.running.empty()) {
            uint64_t ticket = *one.running.begin();
            pgw_fingerprint fingerprint =
                name(callers[owners.at(ticket)].body);

            one.running.erase(ticket);
            one.alone = one.alone == ticket ? 0 : one.alone;
            pgw_quarantine_success(one.machine, &fingerprint, ticket, now);
            if (copies != nullptr && i == 0) {
                pgw_copies_mark_completed(copies, &fingerprint);
            }
            answer(ticket, PGW_REFUSAL_COUNT);
        }
        start(i);
    }

    // The sidecar dies and its engine with it; what had not started is lost.
    // If it ran a suspect alone, the entry may die as well: the permit in the
    // store is then all that tells of the run.
    void
    die(unsigned i, bool silent)
    {
        std::set<uint64_t> reported = processes[i].running;

        died = true;
        crash(i, kEntry, silent && processes[i].running.count(processes[i].alone));
        for (size_t who = 0; who < callers.size(); who++) {
            uint64_t ticket = callers[who].ticket;

            if (ticket != 0 && callers[who].sidecar == i &&
                !reported.count(ticket)) {
                answer(ticket, PGW_REFUSAL_UPSTREAM_FAILED);
            }
        }
        restart(i);
    }

    void
    take_io(unsigned i)
    {
        pgw_fingerprint fingerprint;
        pgw_io io;

        while (pgw_quarantine_next_io(&io, &fingerprint,
                                      processes[i].machine, now)) {
            operation one = {};

            one.process = i;
            one.incarnation = processes[i].incarnation;
            one.kind = io.kind;
            one.expected = io.expected_version;
            one.value = io.value ? std::string(io.value, io.length) : "";
            for (unsigned body = 0; body < kBodies; body++) {
                pgw_fingerprint other = name(body);

                if (!memcmp(&other, &fingerprint, sizeof(other))) {
                    one.body = body;
                }
            }
            operations.push_back(one);
            pgw_io_dispose(&io);
        }
    }

    void
    arrive(operation &one)
    {
        object &target = objects[one.body];

        if (one.arrived) {
            return;
        }
        one.arrived = true;
        one.version = target.version;
        one.reply = target.value.value_or("");
        if (!up) {
            one.result = PGW_IO_UNAVAILABLE;
        }
        else if (one.kind == PGW_IO_READ) {
            one.result = target.value ? PGW_IO_OK : PGW_IO_MISSING;
        }
        else if (one.expected != (target.value ? target.version : 0)) {
            one.result = PGW_IO_CONFLICT;
        }
        else {
            target.version = ++counter;
            target.value.reset();
            if (one.kind == PGW_IO_WRITE) {
                target.value = one.value;
            }
            one.version = target.version;
            one.result = PGW_IO_OK;
            changes.push_back(
                {now, one.body, target.version, target.value, false});
        }
    }

    void
    reply(operation &one, bool lose)
    {
        pgw_io_reply out = {one.result, one.version, nullptr, 0};
        pgw_fingerprint fingerprint = name(one.body);

        if (processes[one.process].incarnation != one.incarnation) {
            return;
        }
        one.incarnation = 0;
        if (lose || !one.arrived) {
            out.result = PGW_IO_UNKNOWN;
        }
        else if (!one.reply.empty() && (one.result == PGW_IO_CONFLICT ||
                                        one.kind == PGW_IO_READ)) {
            out.value = one.reply.c_str();
            out.length = one.reply.size();
        }
        pgw_quarantine_io_done(processes[one.process].machine, &fingerprint,
                               &out, now);
    }

    void
    pump(unsigned i)
    {
        pgw_quarantine_decision out;

        while (pgw_quarantine_next_event(&out, processes[i].machine)) {
            decide(i, out);
        }
    }

    void
    settle_all()
    {
        for (unsigned round = 0; round < 4; round++) {
            for (unsigned i = 0; i <= kSidecars; i++) {
                take_io(i);
                for (auto &one : operations) {
                    arrive(one);
                    reply(one, false);
                }
                operations.clear();
                pump(i);
            }
        }
    }

    void
    step(uint32_t number)
    {
        choices choose(number);
        unsigned i = choose.pick(kSidecars + 1);
        unsigned what = choose.pick(64);

        if (what < 14) {
            size_t who = choose.pick((uint32_t)callers.size());
            bool check = callers[who].answered && choose.pick(2);

            if (copies == nullptr) {
                send(who, i, check);
            }
            else if (i != kEntry) {
                place(who, i);
            }
        }
        else if (what < 20 && !opens.empty()) {
            open(choose.pick((uint32_t)opens.size()));
        }
        else if (what < 26) {
            take_io(i);
        }
        else if (what < 40 && !operations.empty()) {
            size_t k = choose.pick((uint32_t)operations.size());

            arrive(operations[k]);
            reply(operations[k], choose.pick(8) == 0);
            operations.erase(operations.begin() + (long)k);
        }
        else if (what == 40 && !operations.empty()) {
            // The answer is given up before the request arrives.
            reply(operations[choose.pick((uint32_t)operations.size())], true);
        }
        else if (what < 50 && i != kEntry) {
            run_engine(i);
        }
        else if (what == 50 && i != kEntry && !prompt) {
            die(i, choose.pick(2));
        }
        else if (what < 58) {
            wait(choose.pick(3) ? 50000 : choose.pick(12) * kSecond);
        }
        else if (what == 58 && !prompt) {
            up = choose.pick(3) != 0;
        }
        else if (what == 59 && !prompt && i != kEntry) {
            processes[i].paused = !processes[i].paused;
        }
        if (prompt) {
            settle_all();
        }
        pump(i);
    }

    void
    heal()
    {
        up = true;
        while (!opens.empty()) {
            open(0);
        }
        for (auto &one : processes) {
            one.paused = false;
        }
        for (unsigned round = 0; round < 200; round++) {
            wait(kSecond / 2);
            settle_all();
            for (unsigned i = 0; i < kSidecars; i++) {
                run_engine(i);
            }
        }
        for (size_t who = 0; who < callers.size(); who++) {
            RC_ASSERT(callers[who].ticket == 0u);
        }
    }

    // After the faults every innocent is answered, the other one refused.
    void
    send_all_again()
    {
        for (size_t who = 0; who < callers.size(); who++) {
            for (unsigned again = 0; again < 3; again++) {
                send(who, 0, false);
                heal();
            }
            if (callers[who].body == 0) {
                RC_ASSERT(callers[who].refusal == PGW_REFUSAL_QUARANTINED);
            }
            else if (!died) {
                RC_ASSERT(callers[who].refusal == PGW_REFUSAL_COUNT);
            }
        }
        RC_ASSERT(crashes <= PGW_QUARANTINE_CRASHES);
    }
};

void
run(unsigned poisoners, bool prompt, bool gather = false)
{
    world one(poisoners, prompt);

    if (gather) {
        one.copies = pgw_copies_new(16);
    }
    for (uint32_t number : random_script(300)) {
        one.step(number);
    }
    one.heal();
    one.send_all_again();
}

} // namespace

int
main()
{
    bool good = true;

    good &= rc::check("sent again after each answer: two crashes at most",
                      [] { run(1, false); });
    good &= rc::check("two copies at once, a store that answers in time",
                      [] { run(2, true); });
    good &= rc::check("eight copies at once that gather, a store in time",
                      [] { run(8, true, true); });
    return good ? 0 : 1;
}
