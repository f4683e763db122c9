// Several processes claim the same keys through one store that delays, loses
// and refuses operations, while processes crash, pause and restart and time
// passes. Each key must run at most once, and all answers must agree.
#include "parsleygw/claim.h"
#include "libparsleygw/claim_record.h"
#include "prop_support.h"

#include <cstring>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace {

constexpr uint64_t kSecond = G_USEC_PER_SEC;
constexpr uint64_t kRetention = 1000 * kSecond;
constexpr unsigned kProcesses = 3;
constexpr unsigned kKeys = 4;

struct operation {
    unsigned process;
    uint64_t incarnation;
    pgw_io_kind kind;
    uint64_t expected;
    std::string value;
    bool arrived;
    pgw_io_result result;
    uint64_t version;
    std::string reply;
};

struct process {
    pgw_claim_shard *shard = nullptr;
    uint64_t incarnation = 0;
    std::set<uint64_t> granted; // decided as RUN, not sent yet
    std::set<uint64_t> sent;    // at the upstream
};

struct call {
    std::string key;
    unsigned process;
    uint64_t incarnation;
    bool decided;
    bool ran;
};

struct world {
    uint64_t now = 1700000000 * kSecond;
    bool up = true;
    uint64_t counter = 0;
    uint64_t version = 0;
    std::optional<std::string> object;
    std::vector<operation> operations;
    process processes[kProcesses];
    std::string keys[kKeys];
    std::map<uint64_t, call> calls;
    std::map<std::string, int> runs;
    std::map<std::string, std::string> answers;
    uint64_t next_ticket = 1;
    uint64_t next_incarnation = 1;
    uint64_t next_key = 1;
    uint64_t window_us;

    explicit world(uint64_t window) : window_us(window)
    {
        for (unsigned i = 0; i < kProcesses; i++) {
            restart(i);
        }
        for (unsigned i = 0; i < kKeys; i++) {
            new_key(i);
        }
    }

    ~world()
    {
        for (auto &one : processes) {
            pgw_claim_shard_free(one.shard);
        }
    }

    void
    restart(unsigned i)
    {
        pgw_claim_options options = PGW_CLAIM_OPTIONS_INIT;

        pgw_claim_shard_free(processes[i].shard);
        processes[i] = process();
        processes[i].incarnation = next_incarnation++;
        options.owner = processes[i].incarnation;
        options.retention_us = kRetention;
        options.window_us = window_us;
        processes[i].shard = pgw_claim_shard_new(&options);
    }

    void
    new_key(unsigned i)
    {
        char text[64];

        if (next_key % 3 == 0) {
            g_snprintf(text, sizeof(text), "undated-%u", (unsigned)next_key);
        }
        else {
            uint64_t ms = now / 1000;

            g_snprintf(text, sizeof(text), "%08x-%04x-7000-8000-%012x",
                       (unsigned)(ms >> 16), (unsigned)(ms & 0xffff),
                       (unsigned)next_key);
        }
        next_key++;
        keys[i] = text;
    }

    void
    decide(unsigned i, pgw_claim_decision *decision)
    {
        call &one = calls.at(decision->ticket);

        RC_ASSERT(!one.decided);
        one.decided = true;
        if (decision->action == PGW_CLAIM_RUN) {
            processes[i].granted.insert(decision->ticket);
        }
        else if (decision->action == PGW_CLAIM_REPLAY) {
            gsize size;
            auto data = static_cast<const char *>(
                g_bytes_get_data(decision->body, &size));

            RC_ASSERT(runs[one.key] == 1);
            RC_ASSERT(std::string(data, size) == answers.at(one.key));
            RC_ASSERT(decision->status == 201u);
        }
        else {
            RC_ASSERT(decision->ran != PGW_RAN_YES);
            RC_ASSERT(!(decision->ran == PGW_RAN_NO && one.ran));
            RC_ASSERT(decision->refusal != PGW_REFUSAL_STORE_DOWN ||
                      decision->ran == PGW_RAN_NO);
        }
        pgw_claim_decision_dispose(decision);
    }

    void
    take_decisions(unsigned i)
    {
        pgw_claim_decision decision;

        while (pgw_claim_next_decision(&decision, processes[i].shard)) {
            decide(i, &decision);
        }
    }

    void
    begin(unsigned i, const std::string &key)
    {
        pgw_claim_request request = {};
        pgw_claim_decision decision;

        request.workspace = "w";
        request.key = key.c_str();
        request.ticket = next_ticket++;
        request.attempt = 1;
        memcpy(request.request.bytes, &request.ticket, sizeof(uint64_t));
        request.deadline_us = now + 5 * kSecond;
        calls[request.ticket] = {key, i, processes[i].incarnation, false,
                                 false};
        pgw_claim_begin(&decision, processes[i].shard, &request, now);
        if (decision.action != PGW_CLAIM_PENDING) {
            decide(i, &decision);
        }
    }

    void
    take_io(unsigned i)
    {
        pgw_io io;

        if (pgw_claim_next_io(&io, processes[i].shard, now)) {
            operations.push_back({i, processes[i].incarnation, io.kind,
                                  io.expected_version,
                                  io.value ? std::string(io.value, io.length)
                                           : "",
                                  false, PGW_IO_UNKNOWN, 0, ""});
            pgw_io_dispose(&io);
        }
    }

    // The request reaches the store; its reply is still in flight.
    void
    arrive(operation &one)
    {
        if (one.arrived) {
            return;
        }
        one.arrived = true;
        one.version = version;
        one.reply = object.value_or("");
        if (!up) {
            one.result = PGW_IO_UNAVAILABLE;
        }
        else if (one.kind == PGW_IO_READ) {
            one.result = object ? PGW_IO_OK : PGW_IO_MISSING;
        }
        else if (one.expected != version) {
            one.result = PGW_IO_CONFLICT;
        }
        else {
            version = ++counter;
            object = one.value;
            one.version = version;
            one.result = PGW_IO_OK;
        }
    }

    void
    reply(operation &one, bool lose, bool with_value)
    {
        pgw_io_reply answer = {one.result, one.version, nullptr, 0};

        if (processes[one.process].incarnation != one.incarnation) {
            return;
        }
        if (lose || !one.arrived) {
            answer.result = PGW_IO_UNKNOWN;
        }
        else if (one.kind == PGW_IO_READ ? one.result == PGW_IO_OK
                                         : one.result == PGW_IO_CONFLICT &&
                                               with_value && object) {
            answer.value = one.reply.c_str();
            answer.length = one.reply.size();
        }
        one.incarnation = 0; // replied once; the request may still arrive
        pgw_claim_io_done(processes[one.process].shard, &answer, now);
    }

    void
    send_granted(unsigned i)
    {
        if (processes[i].granted.empty()) {
            return;
        }
        uint64_t ticket = *processes[i].granted.begin();
        call &one = calls.at(ticket);

        processes[i].granted.erase(ticket);
        processes[i].sent.insert(ticket);
        one.ran = true;
        runs[one.key]++;
        RC_ASSERT(runs[one.key] <= 1);
        answers[one.key] = "answer of " + std::to_string(ticket);
    }

    void
    end_run(unsigned i, unsigned how)
    {
        process &one = processes[i];

        if (how == 0 && !one.granted.empty()) {
            uint64_t ticket = *one.granted.begin();

            one.granted.erase(ticket);
            RC_ASSERT(pgw_claim_release(one.shard, ticket, now));
        }
        else if (!one.sent.empty()) {
            uint64_t ticket = *one.sent.begin();
            const std::string &text = answers.at(calls.at(ticket).key);
            GBytes *body = g_bytes_new(text.data(), text.size());
            pgw_claim_answer answer = {201, "text/plain; a=\"b\"", body};

            one.sent.erase(ticket);
            if (how == 1) {
                RC_ASSERT(pgw_claim_mark_lost(one.shard, ticket, now));
            }
            else {
                RC_ASSERT(pgw_claim_finish(one.shard, ticket, &answer, now));
            }
            g_bytes_unref(body);
        }
    }

    // The retention passes and the object is deleted. Keys without a creation
    // time are not used again after that.
    void
    expire_keys()
    {
        now += kRetention + 2 * window_us + kSecond;
        operations.clear();
        object.reset();
        version = 0;
        for (unsigned i = 0; i < kProcesses; i++) {
            restart(i);
        }
        for (auto &key : keys) {
            if (key.rfind("undated", 0) == 0) {
                new_key(static_cast<unsigned>(&key - keys));
            }
        }
    }

    void
    step(uint32_t number)
    {
        choices choose(number);
        unsigned i = choose.pick(kProcesses);
        unsigned what = choose.pick(64);

        if (what < 14) {
            begin(i, keys[choose.pick(kKeys)]);
        }
        else if (what < 28) {
            take_io(i);
        }
        else if (what < 46 && !operations.empty()) {
            size_t k = choose.pick((uint32_t)operations.size());

            if (what < 36) {
                arrive(operations[k]);
            }
            else {
                reply(operations[k], choose.pick(6) == 0, choose.pick(2));
                if (operations[k].arrived) {
                    operations.erase(operations.begin() + (long)k);
                }
            }
        }
        else if (what < 50) {
            send_granted(i);
        }
        else if (what < 54) {
            end_run(i, choose.pick(4));
        }
        else if (what < 56) {
            restart(i);
        }
        else if (what < 60) {
            now += choose.pick(2) ? 20000 : choose.pick(4) * kSecond;
        }
        else if (what == 60) {
            up = choose.pick(3) != 0;
        }
        else if (what == 61) {
            new_key(choose.pick(kKeys));
        }
        else if (what == 62) {
            cancel(i);
        }
        else if (choose.pick(8) == 0) {
            expire_keys();
        }
        if (choose.pick(4) != 0) {
            take_decisions(i);
        }
    }

    void
    cancel(unsigned i)
    {
        for (auto &[ticket, one] : calls) {
            if (one.process == i && !one.decided &&
                one.incarnation == processes[i].incarnation) {
                take_decisions(i);
                if (!one.decided) {
                    RC_ASSERT(pgw_claim_cancel(processes[i].shard, ticket,
                                               now));
                    one.decided = true;
                }
                return;
            }
        }
    }

    // The store recovers and all calls end: each pending call must get a
    // decision, and each recorded answer must be replayed completely.
    void
    recover()
    {
        up = true;
        for (int round = 0; round < 60; round++) {
            now += kSecond;
            for (unsigned i = 0; i < kProcesses; i++) {
                take_io(i);
                for (auto &one : operations) {
                    arrive(one);
                    reply(one, false, true);
                }
                operations.clear();
                take_decisions(i);
                send_granted(i);
                end_run(i, 2);
            }
        }
        for (auto &[ticket, one] : calls) {
            RC_ASSERT(one.decided || one.incarnation !=
                                         processes[one.process].incarnation);
        }
        for (auto &one : processes) {
            pgw_claim_stats stats;

            pgw_claim_shard_stats(&stats, one.shard);
            RC_ASSERT(stats.slots == 0u);
            RC_ASSERT(stats.faults == 0u);
        }
        abandoned_claims_are_released();
    }

    // No call runs any more: the store holds no claim that a live process
    // abandoned before it ran, even if its write was applied late.
    void
    abandoned_claims_are_released()
    {
        pgw_claim_object *last =
            object ? pgw_claim__object_parse(object->c_str(), object->size(),
                                             nullptr)
                   : pgw_claim__object_new();

        for (auto &[ticket, one] : calls) {
            auto *record =
                pgw_claim__object_get(last, ("w " + one.key).c_str());

            for (auto &process : processes) {
                bool stuck = record != nullptr &&
                             record->state == PGW_CLAIM_CLAIMED &&
                             record->owner == process.incarnation;

                RC_ASSERT(!stuck);
            }
        }
        pgw_claim__object_free(last);
    }
};

} // namespace

int
main()
{
    bool good = true;

    good &= rc::check("a key runs at most once, refusals are correct", [] {
        world one(0);

        for (uint32_t number : random_script(400)) {
            one.step(number);
        }
        one.recover();
    });
    good &= rc::check("the same with windows of creation times", [] {
        world one(20 * kSecond);

        for (uint32_t number : random_script(400)) {
            one.step(number);
        }
        one.recover();
    });
    return good ? 0 : 1;
}
