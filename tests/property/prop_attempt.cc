// One request over its attempts, with sidecars whose frames are lost,
// duplicated, reordered and misdirected while links break and the deadline
// passes. The caller must get all tokens in order, or a correct refusal.
#include "parsleygw/attempt.h"
#include "prop_support.h"

#include <cstring>
#include <optional>
#include <string>

namespace {

constexpr uint64_t kDeadline = 1000000;
constexpr uint32_t kTokens = 6;

// State of one attempt at its sidecar; its frames are queued in `frames`.
struct sidecar {
    uint32_t attempt;
    bool received = false;  // Open has arrived
    bool ran = false;       // sent to the upstream
    bool is_closed = false; // sent its last frame
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
    uint32_t delivered = 0;   // tokens at the caller
    uint32_t versions = 0;    // version of the tokens at the caller
    bool is_complete = false; // the caller received the end
    bool ended = false;
    bool may_start = true;
    uint32_t resume_from = 0;
    std::optional<pgw_attempt_decision> refusal;
    bool may_have_run = false; // an attempt ended other than "not run"

    bool is_faulty; // frames of a link may be lost, duplicated and reordered

    explicit world(uint32_t kind) : is_faulty(kind >= 8)
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
        RC_ASSERT(!(may_have_run && !options.repeatable));
        RC_ASSERT(crashes < PGW_ATTEMPT_CRASHES_MAX);
        may_start = false;
        sidecars.push_back({number});
        sidecars.back().version = version;
        sidecars.back().next_token = resume_from;
    }

    void
    handle(const pgw_attempt_event &event, uint32_t version)
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
            // The event must be the next one of the current attempt.
            RC_ASSERT(event.attempt == before);
            RC_ASSERT(event.id.bytes[0] == 7);
            RC_ASSERT(event.sequence == next_sequence);
            RC_ASSERT(!options.tokens || event.token_index == delivered);
            RC_ASSERT(delivered == 0 || !options.tokens ||
                      versions == version);
            versions = version;
            delivered += options.tokens ? event.token_count : 1;
            next_sequence++;
            break;
        case PGW_ATTEMPT_FINISH:
            RC_ASSERT(!ended);
            RC_ASSERT(delivered == kTokens);
            is_complete = ended = true;
            break;
        case PGW_ATTEMPT_RETRY:
        case PGW_ATTEMPT_RESUME:
            prepare_next(out);
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
    prepare_next(const pgw_attempt_decision &out)
    {
        RC_ASSERT(now < kDeadline);
        RC_ASSERT(!ended);
        may_have_run = may_have_run || state.verdict != PGW_ATTEMPT_NOT_RUN;
        next_sequence = 0;
        if (out.action == PGW_ATTEMPT_RETRY) {
            RC_ASSERT(delivered == 0 || options.buffered);
            delivered = 0;
            resume_from = 0;
        }
        else {
            RC_ASSERT(out.resume_from == delivered);
            resume_from = delivered;
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

    // The sidecar's next step: receive Open, run, send the next Data, or fail.
    void
    advance(sidecar &one, choices &choose)
    {
        if (one.is_closed) {
            return;
        }
        if (!one.received) {
            one.received = true;
            if (choose.pick(4) == 0) {
                one.is_closed = true;
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
            one.is_closed = true;
            // A faulty sidecar may even send "not run" now; the entry
            // detects it as long as the frames are in order.
            send(one, PGW_ATTEMPT_FAIL, 0, PGW_REFUSAL_UPSTREAM_FAILED,
                 is_faulty ? 1 + choose.pick(2) : choose.pick(3));
            return;
        }
        if (one.next_token < kTokens) {
            send(one, PGW_ATTEMPT_DATA, one.next_token++);
            one.sequence++;
            return;
        }
        one.is_closed = true;
        send(one, PGW_ATTEMPT_END);
    }

    // A frame arrives. The frames of one link keep their order; with `fault`
    // a frame is reordered, lost, duplicated or has another request ID.
    void
    arrive(choices &choose, bool fault)
    {
        size_t k = fault ? choose.pick((uint32_t)frames.size()) : 0;
        frame one = frames[k];
        uint32_t fault_kind = fault ? choose.pick(4) : 0;

        if (fault_kind != 1) {
            frames.erase(frames.begin() + (long)k);
        }
        if (fault_kind == 2) {
            one.event.id.bytes[0] = 8;
        }
        if (fault_kind != 3) {
            handle(one.event, one.version);
        }
    }

    void
    handle_local(pgw_attempt_event_kind kind)
    {
        pgw_attempt_event event = {};

        event.kind = kind;
        event.id = options.id;
        event.attempt = state.count;
        handle(event, 0);
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
            advance(sidecars[choose.pick(3) == 0
                                 ? choose.pick((uint32_t)sidecars.size())
                                 : sidecars.size() - 1],
                    choose);
        }
        else if (what < 35 && !frames.empty()) {
            arrive(choose, is_faulty && choose.pick(6) == 0);
        }
        else if (what == 35 && !sidecars.empty()) {
            sidecar &last = sidecars.back();

            // Only an Open that was never sent may be reported as not sent.
            handle_local(last.received ? PGW_ATTEMPT_LINK_LOST
                                       : PGW_ATTEMPT_NOT_SENT);
            last.is_closed = last.is_closed || !last.received;
        }
        else if (what == 36) {
            now += choose.pick(4) == 0 ? kDeadline / 3 : 1000;
            handle_local(PGW_ATTEMPT_TIMER);
        }
        else if (what == 37 && may_start && choose.pick(4) == 0 &&
                 !sidecars.empty()) {
            handle_local(PGW_ATTEMPT_EXHAUSTED);
        }
        else if (what == 38 && choose.pick(10) == 0) {
            handle_local(PGW_ATTEMPT_CALLER_GONE);
        }
    }

    void
    check_end()
    {
        now = kDeadline + 200000;
        handle_local(PGW_ATTEMPT_TIMER);
        RC_ASSERT(ended);
        RC_ASSERT(pgw_attempt_next_timer(&state) == UINT64_MAX);
        if (is_complete) {
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

    good &= rc::check("answers are complete and in order, refusals "
                      "are correct", [] {
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
        RC_ASSERT(one.is_complete);
        RC_ASSERT(one.state.count == 1u);
    });
    return good ? 0 : 1;
}
