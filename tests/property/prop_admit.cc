#include <parsleygw/admit.h>
#include <rapidcheck.h>

#include <algorithm>
#include <list>
#include <map>
#include <vector>

#include "libparsleygw/fair_queue.h"

struct Request {
    pgw_admit_item item = {};
    uint64_t offered = 0;
};

static Request *
request_of(pgw_admit_item *item)
{
    return reinterpret_cast<Request *>(item);
}

static pgw_admit_item
random_item(uint64_t now)
{
    pgw_admit_item item = {};

    item.workspace = *rc::gen::inRange<uint64_t>(1, 6);
    item.share = *rc::gen::inRange<uint32_t>(0, 5);
    item.priority = static_cast<pgw_priority>(*rc::gen::inRange(0, 4));
    item.deadline = *rc::gen::inRange(0, 2)
                        ? now + *rc::gen::inRange<uint64_t>(1, 3000000)
                        : 0;
    item.uncached_tokens = *rc::gen::inRange<uint32_t>(0, 3000);
    item.max_tokens = *rc::gen::inRange<uint32_t>(1, 64);
    return item;
}

struct Admission {
    pgw_admit_options options = PGW_ADMIT_OPTIONS_INIT;
    pgw_admit *admit;
    std::list<Request> requests;
    std::list<Request *> waiting;
    std::vector<Request *> running;
    uint64_t now = 1000;
    std::map<int, uint64_t> last_start;

    Admission()
    {
        options.max_running = *rc::gen::inRange<uint32_t>(1, 12);
        options.reserved = *rc::gen::inRange<uint32_t>(0, 4);
        options.max_waiting = 64;
        options.starvation_us = *rc::gen::inRange<uint64_t>(100000, 2000000);
        admit = pgw_admit_new(&options);
    }

    ~Admission() { pgw_admit_free(admit); }

    void
    started(Request *request)
    {
        const auto &item = request->item;

        /* Never after its deadline, never above the concurrency limit. */
        RC_ASSERT(item.deadline == 0 || item.deadline > now);
        RC_ASSERT(running.size() < options.max_running);
        /* Strictly by priority, except for one start of a lower priority that
         * has waited starvation_us. */
        for (const Request *other : waiting) {
            if (other->item.priority < item.priority &&
                (other->item.deadline == 0 || other->item.deadline > now)) {
                RC_ASSERT(now >= last_start[item.priority] +
                                     options.starvation_us);
            }
        }
        last_start[item.priority] = now;
        running.push_back(request);
    }

    void
    start_all()
    {
        while (pgw_admit_item *item = pgw_admit_next(admit, now)) {
            waiting.remove(request_of(item));
            started(request_of(item));
        }
    }

    pgw_admit_answer
    offer(const pgw_admit_item &item)
    {
        pgw_admit_answer answer;
        int priority = item.priority;

        requests.emplace_back();
        Request *request = &requests.back();
        request->item = item;
        request->offered = now;
        if (std::none_of(waiting.begin(), waiting.end(), [&](Request *r) {
                return r->item.priority == priority;
            })) {
            last_start[priority] = now;
        }
        pgw_admit_offer(&answer, admit, &request->item, now);
        if (answer.verdict == PGW_ADMIT_RUN) {
            started(request);
        }
        else if (answer.verdict == PGW_ADMIT_QUEUE) {
            waiting.push_back(request);
        }
        else {
            RC_ASSERT(answer.refusal == PGW_REFUSAL_DEADLINE ||
                      answer.refusal == PGW_REFUSAL_OVERLOADED);
            RC_ASSERT(answer.retry_after_ms > 0u);
            RC_ASSERT(answer.refusal != PGW_REFUSAL_DEADLINE ||
                      item.deadline != 0);
        }
        return answer;
    }

    void
    finish(size_t i)
    {
        pgw_admit_item *item = &running[i]->item;

        running.erase(running.begin() + static_cast<long>(i));
        if (*rc::gen::inRange(0, 4) > 0) {
            pgw_admit_first_token(admit, item, now);
            now += 1000;
        }
        pgw_admit_done(admit, item, *rc::gen::inRange<uint32_t>(0, 20), now);
    }

    void
    expire()
    {
        while (pgw_admit_item *item = pgw_admit_expire(admit, now)) {
            RC_ASSERT(item->deadline != 0 && item->deadline <= now);
            waiting.remove(request_of(item));
        }
    }

    void
    check_load() const
    {
        pgw_admit_load load;

        pgw_admit_load_get(&load, admit);
        RC_ASSERT(load.running == running.size());
        RC_ASSERT(load.waiting <= waiting.size());
        uint64_t tokens = 0;
        for (const Request *one : waiting) {
            tokens += one->item.position.flow ? one->item.uncached_tokens : 0;
        }
        for (const Request *one : running) {
            tokens += one->item.uncached_tokens;
        }
        RC_ASSERT(load.queued_tokens == tokens);
    }
};

/* Random histories: no request starts after its deadline, out of priority or
 * beyond the limits; each is released exactly once; all end. */
static void
random_histories_hold()
{
    Admission admission;
    int steps = *rc::gen::inRange(1, 200);

    for (int i = 0; i < steps; i++) {
        int kind = *rc::gen::inRange(0, 11);

        admission.now += *rc::gen::inRange<uint64_t>(0, 100000);
        if (kind < 5) {
            admission.offer(random_item(admission.now));
        }
        else if (kind < 8 && !admission.running.empty()) {
            admission.finish(
                *rc::gen::inRange<size_t>(0, admission.running.size()));
        }
        else if (kind == 8 && !admission.waiting.empty()) {
            Request *removed = admission.waiting.front();

            admission.waiting.pop_front();
            RC_ASSERT(pgw_admit_remove(admission.admit, &removed->item,
                                       admission.now));
        }
        else if (kind == 9 && !admission.requests.empty()) {
            size_t i = *rc::gen::inRange<size_t>(0, admission.requests.size());

            pgw_admit_set_uncached_tokens(
                admission.admit,
                &std::next(admission.requests.begin(), static_cast<long>(i))
                     ->item,
                *rc::gen::inRange<uint32_t>(0, 3000));
        }
        else {
            admission.expire();
        }
        admission.start_all();
        admission.check_load();
    }
    for (size_t i = admission.requests.size();
         i > 0 && !(admission.running.empty() && admission.waiting.empty());
         i--) {
        while (!admission.running.empty()) {
            admission.finish(0);
        }
        admission.expire();
        admission.start_all();
    }
    RC_ASSERT(admission.running.empty() && admission.waiting.empty());
    admission.check_load();
}

/* The rate is learned from the tokens prefilled, and one prefill whose prefix
 * had been cached meanwhile does not distort it. */
static void
rate_is_learned()
{
    double rate = *rc::gen::inRange(3000, 40000);
    pgw_admit *admit = pgw_admit_new(nullptr);
    pgw_admit_load load;
    uint64_t now = 1;

    for (int i = 0; i < 200; i++) {
        pgw_admit_item item = {};
        pgw_admit_answer answer;
        uint32_t computed = *rc::gen::inRange<uint32_t>(300, 3000);

        item.uncached_tokens = 4000;
        pgw_admit_offer(&answer, admit, &item, now);
        RC_ASSERT(answer.verdict == PGW_ADMIT_RUN);
        now += static_cast<uint64_t>(computed * 1e6 / rate + 20000);
        if (i < 199) {
            pgw_admit_set_uncached_tokens(admit, &item, computed);
        }
        pgw_admit_first_token(admit, &item, now);
        pgw_admit_done(admit, &item, 0, now);
    }
    pgw_admit_load_get(&load, admit);
    pgw_admit_free(admit);
    RC_ASSERT(load.prefill_tokens_per_s > 0.9 * rate);
    RC_ASSERT(load.prefill_tokens_per_s < 1.2 * rate);
}

/* While two workspaces of one priority both wait, their service divided by
 * share differs by at most the largest request of each: a large workspace with
 * a long queue does not starve a small one. */
static void
service_is_fair()
{
    pgw_admit_options options = PGW_ADMIT_OPTIONS_INIT;
    uint32_t shares[2] = { *rc::gen::inRange<uint32_t>(1, 9),
                           *rc::gen::inRange<uint32_t>(1, 9) };
    double served[2] = { 0, 0 }, largest[2] = { 0, 0 };
    size_t left[2] = { 0, 0 };
    std::list<Request> requests;
    uint64_t now = 1;

    options.max_running = 1;
    options.starvation_us = UINT64_MAX / 2;
    pgw_admit *admit = pgw_admit_new(&options);
    pgw_admit_answer answer;
    pgw_admit_item first = {};
    first.workspace = 9;
    pgw_admit_offer(&answer, admit, &first, now);
    RC_ASSERT(answer.verdict == PGW_ADMIT_RUN);
    for (int w = 0; w < 2; w++) {
        left[w] = *rc::gen::inRange<size_t>(20, 200);
        for (size_t i = 0; i < left[w]; i++) {
            requests.emplace_back();
            pgw_admit_item *item = &requests.back().item;
            item->workspace = static_cast<uint64_t>(w) + 1;
            item->share = shares[w];
            item->priority = PGW_PRIORITY_NORMAL;
            item->uncached_tokens = *rc::gen::inRange<uint32_t>(1, 2000);
            largest[w] = std::max<double>(largest[w], item->uncached_tokens);
            pgw_admit_offer(&answer, admit, item, now);
            RC_ASSERT(answer.verdict == PGW_ADMIT_QUEUE);
        }
    }
    pgw_admit_done(admit, &first, 0, now);
    while (left[0] > 0 && left[1] > 0) {
        pgw_admit_item *item = pgw_admit_next(admit, ++now);
        size_t w = item->workspace - 1;

        served[w] += item->uncached_tokens;
        left[w]--;
        pgw_admit_done(admit, item, 0, now);
        /* The cost of each request includes 1 us = 0.01 token. */
        RC_ASSERT(std::abs(served[0] / shares[0] - served[1] / shares[1]) <=
                  largest[0] / shares[0] + largest[1] / shares[1] + 4);
    }
    pgw_admit_free(admit);
}

/* Model of a fair queue that never removes a flow: its virtual time passes
 * all start times when the queue is empty. */
struct ModelQueue {
    std::map<uint64_t, double> start;
    std::map<uint64_t, int> waiting;
    double virtual_time = 0;
    double largest = 0;

    void
    push(const pgw_admit_item &item)
    {
        if (waiting[item.workspace]++ == 0) {
            start[item.workspace] =
                std::max(start[item.workspace], virtual_time);
        }
    }

    void
    remove(const pgw_admit_item &item)
    {
        waiting[item.workspace]--;
        if (std::all_of(waiting.begin(), waiting.end(),
                        [](const auto &one) { return one.second == 0; })) {
            virtual_time = largest;
        }
    }

    void
    serve(const pgw_admit_item &item, double cost)
    {
        double &own = start[item.workspace];

        for (const auto &other : waiting) {
            RC_ASSERT(other.second == 0 ||
                      own <= start[other.first] + 1e-6);
        }
        virtual_time = std::max(virtual_time, own);
        own += cost / item.share;
        largest = std::max(largest, own);
        remove(item);
    }
};

/* A flow that was removed and created again is served like one that was kept,
 * and an empty queue keeps none. */
static void
removed_flows_do_not_matter()
{
    struct pgw_fair_queue queue;
    ModelQueue model;
    std::map<uint64_t, uint32_t> shares;
    std::list<pgw_admit_item> items;
    int steps = *rc::gen::inRange(1, 200);

    pgw_fair_queue__init(&queue);
    for (int i = 0; i < steps; i++) {
        int kind = *rc::gen::inRange(0, 9);

        if (kind < 4) {
            items.emplace_back();
            pgw_admit_item *item = &items.back();
            item->workspace = *rc::gen::inRange<uint64_t>(1, 6);
            item->share = shares[item->workspace] =
                shares.count(item->workspace) > 0
                    ? shares[item->workspace]
                    : *rc::gen::inRange<uint32_t>(1, 9);
            model.push(*item);
            pgw_fair_queue__push(&queue, item);
        }
        else if (pgw_admit_item *item = pgw_fair_queue__first(&queue)) {
            double cost = *rc::gen::inRange(1, 5000);

            if (kind == 8) {
                model.remove(*item);
                pgw_fair_queue__remove(&queue, item);
            }
            else {
                model.serve(*item, cost);
                pgw_fair_queue__serve(&queue, item, cost);
            }
        }
        RC_ASSERT(queue.count > 0 || g_hash_table_size(queue.flows) == 0);
    }
    pgw_fair_queue__dispose(&queue);
}

/* Urgent requests that never leave a slot idle: batch requests still get one
 * start in each interval, so an overnight batch completes. */
static void
batch_completes()
{
    Admission admission;
    size_t batch = *rc::gen::inRange<size_t>(1, 10);
    uint64_t limit = batch * (admission.options.starvation_us + 200000) +
                     admission.now;
    pgw_admit_item item = {};

    auto flood = [&]() {
        pgw_admit_item urgent = {};

        urgent.workspace = 1;
        urgent.priority = PGW_PRIORITY_URGENT;
        urgent.uncached_tokens = 1500;
        while (admission.waiting.size() < 32) {
            admission.offer(urgent);
        }
    };
    flood();
    item.workspace = 2;
    item.priority = PGW_PRIORITY_BATCH;
    item.is_batch = true;
    item.uncached_tokens = 3000;
    for (size_t i = 0; i < batch; i++) {
        admission.offer(item);
    }
    auto batch_waits = [&]() {
        return std::any_of(
            admission.waiting.begin(), admission.waiting.end(),
            [](Request *r) { return r->item.priority == PGW_PRIORITY_BATCH; });
    };
    while (batch_waits()) {
        flood();
        admission.now += 50000;
        admission.finish(0);
        admission.start_all();
        RC_ASSERT(admission.now < limit);
    }
}

/* A full queue still accepts a small workspace's first requests, and a request
 * that cannot meet its deadline is refused at once. */
static void
refusals_are_early_and_fair()
{
    Admission admission;
    pgw_admit_item large = {}, small = {};
    bool refused = false;

    large.workspace = 1;
    large.uncached_tokens = 2000;
    large.priority = small.priority = PGW_PRIORITY_NORMAL;
    for (int i = 0; i < 300; i++) {
        refused |= admission.offer(large).verdict == PGW_ADMIT_REFUSE;
    }
    RC_ASSERT(refused);
    small.workspace = 2;
    RC_ASSERT(admission.offer(small).verdict != PGW_ADMIT_REFUSE);
    small.deadline = admission.now + 50000;
    small.uncached_tokens = 1000;
    RC_ASSERT(admission.offer(small).refusal == PGW_REFUSAL_DEADLINE);
}

int
main()
{
    bool ok = rc::check("random histories hold", random_histories_hold);

    ok &= rc::check("rate is learned", rate_is_learned);
    ok &= rc::check("service is fair", service_is_fair);
    ok &= rc::check("removed flows do not matter",
                    removed_flows_do_not_matter);
    ok &= rc::check("batch completes", batch_completes);
    ok &= rc::check("refusals are early and fair",
                    refusals_are_early_and_fair);
    return ok ? 0 : 1;
}
