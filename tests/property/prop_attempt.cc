// One request over its attempts, against sidecars whose frames are lost,
// repeated, reordered and crossed while links break and the deadline passes.
// The caller must get the tokens in order and whole, or a true refusal.
#include "parsleygw/attempt.h"
#include "prop_support.h"

#include <cstring>
#include <optional>
#include <string>

namespace {

constexpr uint64_t kDeadline = 1000000;
constexpr uint32_t kTokens = 6;

// One attempt as its sidecar sees it; frames wait in `frames`.
struct sidecar {
    uint32_t attempt;
    bool received = false; // Open has arrived
    bool ran = false;      // handed to the upstream
    bool over = false;     // said its last word
    uint32_t version;
    uint32_t next_token;
    uint64_t sequence = 0;
};

struct frame {
    pgw_attempt_event event;
    uint32_t version;
};

struct world {
    pgw_attempt state;
    pgw_attempt_options options;
    std::vector<sidecar> sidecars;
    std::vector<frame> frames;
    uint64_t now = 0;
    uint32_t got = 0;       // tokens at the caller, in order
    uint32_t versions = 0;  // version of the tokens at the caller
    bool whole = false;     // the caller saw the end
    bool ended = false;
    bool may_start = true;
    uint32_t resume_from = 0;
    std::optional<pgw_attempt_decision> refusal;
    bool unsure = false; // an attempt of a call that may not be repeated
                         // ended other than "not run"

    bool wild; // frames of a link may be lost, repeated and reordered

    explicit world(uint32_t kind) : wild(kind >= 8)
    {
        options = PGW_ATTEMPT_OPTIONS_INIT;
        memset(options.id.bytes, 7, sizeof(options.id.bytes));
        options.deadline_us = kDeadline;
        options.repeatable = kind % 2 == 0;
        options.tokens = kind / 2 % 2 == 0;
        options.buffered = kind / 4 % 2 == 0;
        pgw_attempt_init(&state, &options);
    }

    bool
    any_ran() const
    {
        for (const auto &one : sidecars) {
            if (one.ran) {
                return true;
            }
        }
        return false;
    }

    void
    start(uint32_t version)
    {
        uint32_t number;

        if (!may_start || ended) {
            return;
        }
        number = pgw_attempt_start(&state, 100 + sidecars.size());
        if (number == 0) {
            return;
        }
        RC_ASSERT(number == sidecars.size() + 1);
        RC_ASSERT(!(unsure && !options.repeatable));
        RC_ASSERT(crashes < PGW_ATTEMPT_CRASHES_MAX);
        may_start = false;
        sidecars.push_back({number});
        sidecars.back().version = version;
        sidecars.back().next_token = resume_from;
    }

    void
    take(const pgw_attempt_event &event, uint32_t version)
    {
        char name[16];
        pgw_attempt_event copy = event;
        pgw_attempt_decision out;
        uint32_t before = state.count;

        g_snprintf(name, sizeof(name), "w%u", version);
        copy.version = name;
        pgw_attempt_step(&out, &state, &copy, now);
        crashes += out.drop == PGW_ATTEMPT_NOT_DROPPED &&
                   event.kind == PGW_ATTEMPT_FAIL &&
                   event.refusal == PGW_REFUSAL_UPSTREAM_FAILED;
        if (out.drop != PGW_ATTEMPT_NOT_DROPPED) {
            RC_ASSERT(out.action == PGW_ATTEMPT_NOTHING);
        }
        switch (out.action) {
        case PGW_ATTEMPT_DELIVER:
            // The event must belong to the current attempt and follow on.
            RC_ASSERT(event.attempt == before);
            RC_ASSERT(event.id.bytes[0] == 7);
            RC_ASSERT(event.sequence == next_sequence);
            RC_ASSERT(!options.tokens || event.token_index == got);
            RC_ASSERT(got == 0 || !options.tokens || versions == version);
            versions = version;
            got += options.tokens ? event.token_count : 1;
            next_sequence++;
            break;
        case PGW_ATTEMPT_FINISH:
            RC_ASSERT(!ended);
            RC_ASSERT(got == kTokens);
            whole = ended = true;
            break;
        case PGW_ATTEMPT_RETRY:
        case PGW_ATTEMPT_RESUME:
            next(out);
            break;
        case PGW_ATTEMPT_REFUSE:
            RC_ASSERT(!ended);
            ended = true;
            refusal = out;
            break;
        case PGW_ATTEMPT_NOTHING:
            break;
        }
    }

    uint64_t next_sequence = 0;
    unsigned crashes = 0;

    void
    next(const pgw_attempt_decision &out)
    {
        RC_ASSERT(now < kDeadline);
        RC_ASSERT(!ended);
        unsure = unsure || state.verdict != PGW_ATTEMPT_NOT_RUN;
        next_sequence = 0;
        if (out.action == PGW_ATTEMPT_RETRY) {
            RC_ASSERT(got == 0 || options.buffered);
            got = 0;
            resume_from = 0;
        }
        else {
            RC_ASSERT(out.resume_from == got);
            resume_from = got;
        }
        may_start = true;
    }

    void
    send(sidecar &from, pgw_attempt_event_kind kind, uint32_t token = 0,
         uint32_t refused = 0, uint32_t ran = 0)
    {
        pgw_attempt_event event = {};

        event.kind = kind;
        event.id = options.id;
        event.attempt = from.attempt;
        event.sequence = from.sequence;
        event.token_index = token;
        event.token_count = options.tokens ? 1 : 0;
        event.refusal = refused;
        event.ran = ran;
        frames.push_back({event, from.version});
    }

    // The sidecar's next move: take Open in, run, send the next piece, fail.
    void
    work(sidecar &one, choices &choose)
    {
        if (one.over) {
            return;
        }
        if (!one.received) {
            one.received = true;
            if (choose.pick(4) == 0) {
                one.over = true;
                send(one, PGW_ATTEMPT_FAIL, 0, PGW_REFUSAL_OVERLOADED,
                     PGW_RAN_NO);
            }
            return;
        }
        if (!one.ran) {
            one.ran = true;
            send(one, PGW_ATTEMPT_STARTED);
            return;
        }
        if (choose.pick(8) == 0) {
            one.over = true;
            // A confused sidecar may even say "not run" now; that is seen
            // through as long as its frames keep their order.
            send(one, PGW_ATTEMPT_FAIL, 0, PGW_REFUSAL_UPSTREAM_FAILED,
                 wild ? 1 + choose.pick(2) : choose.pick(3));
            return;
        }
        if (one.next_token < kTokens) {
            send(one, PGW_ATTEMPT_DATA, one.next_token++);
            one.sequence++;
            return;
        }
        one.over = true;
        send(one, PGW_ATTEMPT_END);
    }

    // A frame arrives. The frames of one link keep their order unless `fault`:
    // then one is taken out of turn, or lost, or comes again later.
    void
    arrive(choices &choose, bool fault)
    {
        size_t k = fault ? choose.pick((uint32_t)frames.size()) : 0;
        frame one = frames[k];
        uint32_t fate = fault ? choose.pick(4) : 0;

        if (fate != 1) {
            frames.erase(frames.begin() + (long)k);
        }
        if (fate == 2) {
            one.event.id.bytes[0] = 8;
        }
        if (fate != 3) {
            take(one.event, one.version);
        }
    }

    void
    local(pgw_attempt_event_kind kind)
    {
        pgw_attempt_event event = {};

        event.kind = kind;
        event.id = options.id;
        event.attempt = state.count;
        take(event, 0);
    }

    void
    step(uint32_t number)
    {
        choices choose(number);
        uint32_t what = choose.pick(40);

        if (what < 6) {
            start(choose.pick(6) == 0 ? 2 : 1);
        }
        else if (what < 20 && !sidecars.empty()) {
            work(sidecars[choose.pick(3) == 0
                              ? choose.pick((uint32_t)sidecars.size())
                              : sidecars.size() - 1],
                 choose);
        }
        else if (what < 35 && !frames.empty()) {
            arrive(choose, wild && choose.pick(6) == 0);
        }
        else if (what == 35 && !sidecars.empty()) {
            sidecar &last = sidecars.back();

            // Only an Open that never left may be reported as not sent.
            local(last.received ? PGW_ATTEMPT_LINK_LOST
                                : PGW_ATTEMPT_NOT_SENT);
            last.over = last.over || !last.received;
        }
        else if (what == 36) {
            now += choose.pick(4) == 0 ? kDeadline / 3 : 1000;
            local(PGW_ATTEMPT_TIMER);
        }
        else if (what == 37 && may_start && choose.pick(4) == 0 &&
                 !sidecars.empty()) {
            local(PGW_ATTEMPT_EXHAUSTED);
        }
        else if (what == 38 && choose.pick(10) == 0) {
            local(PGW_ATTEMPT_CALLER_GONE);
        }
    }

    void
    check_end()
    {
        now = kDeadline + 200000;
        local(PGW_ATTEMPT_TIMER);
        RC_ASSERT(ended);
        RC_ASSERT(pgw_attempt_next_timer(&state) == UINT64_MAX);
        if (whole) {
            return;
        }
        RC_ASSERT(refusal.has_value());
        RC_ASSERT(!(refusal->ran == PGW_RAN_NO && any_ran()));
        RC_ASSERT(!(refusal->ran == PGW_RAN_YES && !any_ran()));
    }
};

} // namespace

int
main()
{
    bool good = true;

    good &= rc::check("answers are whole and in order, refusals true", [] {
        world one(*rc::gen::inRange(0u, 16u));

        for (uint32_t number : random_script(150)) {
            one.step(number);
        }
        one.check_end();
    });
    good &= rc::check("without a fault the first attempt answers", [] {
        world one(*rc::gen::inRange(0u, 8u));

        one.start(1);
        one.sidecars[0].received = true;
        one.send(one.sidecars[0], PGW_ATTEMPT_STARTED);
        for (uint32_t i = 0; i < kTokens; i++) {
            one.send(one.sidecars[0], PGW_ATTEMPT_DATA, i);
            one.sidecars[0].sequence++;
        }
        one.send(one.sidecars[0], PGW_ATTEMPT_END);
        while (!one.frames.empty()) {
            choices choose(0);

            one.arrive(choose, false);
        }
        RC_ASSERT(one.whole);
        RC_ASSERT(one.state.count == 1u);
    });
    return good ? 0 : 1;
}
