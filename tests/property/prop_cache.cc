#include <parsleygw/cache.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstring>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

/*
 * A small engine with an LRU cache runs random histories: requests of two
 * workspaces, restarts and new weights. Its responses are lost, duplicated,
 * delayed and reordered before the view gets them. The certain blocks of the
 * view are compared with the blocks that the engine had cached as of the last
 * event that the view applied.
 */

static const uint32_t kBlock = 16;
static const size_t kCapacity = 20;
static const uint64_t kHintUs = 1000;

struct Prompt {
    std::string workspace;
    std::string version;
    std::string text;
    std::vector<uint32_t> ends;
};

static pgw_level_chain
chain_of(const Prompt &p)
{
    pgw_level_salt salt = { p.workspace.c_str(), "m", "", p.version.c_str() };
    pgw_level_chain chain;

    RC_ASSERT(pgw_level_chain_init(&chain, &salt, p.text.data(), p.text.size(),
                                   p.ends.data(), p.ends.size(), 4));
    return chain;
}

static std::vector<uint64_t>
blocks_of(const Prompt &p)
{
    std::vector<uint64_t> out;
    std::string salt = p.workspace + "/" + p.version + "/";

    for (size_t end = kBlock * 4; end <= p.text.size(); end += kBlock * 4) {
        out.push_back(std::hash<std::string>()(salt + p.text.substr(0, end)) |
                      1);
    }
    return out;
}

using Blocks = std::set<uint64_t>;

struct Event {
    pgw_cache_event event;
    bool lost;
};

/* A response of the engine that is in transit to the view. */
struct Response {
    uint64_t incarnation;
    int generation;
    std::string version;
    uint64_t requested_us;
    bool is_block_list;
    uint64_t last;
    std::vector<pgw_cache_event> events;
    std::vector<pgw_cache_block> blocks;
};

struct Engine {
    int generation = 1;
    uint64_t incarnation = 1001;
    std::string version = "w1";
    std::list<uint64_t> lru;
    std::map<uint64_t, uint64_t> parents;
    std::vector<Event> log;
    /* What was cached after each event, by incarnation. */
    std::map<uint64_t, std::vector<Blocks>> cached_after = {
        { 1001, { {} } }
    };

    void
    emit(pgw_cache_event event)
    {
        event.seq = log.size() + 1;
        log.push_back({ event, *rc::gen::inRange(0, 12) == 0 });
        cached_after[incarnation].push_back(Blocks(lru.begin(), lru.end()));
    }

    struct Job {
        pgw_request_id id;
        std::vector<uint64_t> blocks;
        size_t done;
    };

    /* Emits an event for the next block of the job, as used or as stored. */
    void
    emit_block(Job &job, pgw_cache_kind kind)
    {
        uint64_t block = job.blocks[job.done];
        uint64_t parent = job.done > 0 ? job.blocks[job.done - 1] : 0;

        job.done++;
        lru.remove(block);
        lru.push_back(block);
        parents[block] = parent;
        emit({ 0, kind, job.id, block, parent,
               static_cast<uint32_t>(job.done) * kBlock });
    }

    bool
    is_cached(uint64_t block) const
    {
        return std::find(lru.begin(), lru.end(), block) != lru.end();
    }

    /* Evicts the least recently used block that has no cached child. */
    void
    evict()
    {
        auto is_leaf = [&](uint64_t block) {
            return std::none_of(lru.begin(), lru.end(), [&](uint64_t other) {
                return parents.at(other) == block;
            });
        };
        auto at = std::find_if(lru.begin(), lru.end(), is_leaf);
        uint64_t block = *at;

        lru.erase(at);
        emit({ 0, PGW_CACHE_EVICTED, {}, block, 0, 0 });
    }

    void
    store_next(Job &job)
    {
        /* Another request may have stored the block meanwhile: no event. */
        if (is_cached(job.blocks[job.done])) {
            job.done++;
            return;
        }
        if (lru.size() == kCapacity) {
            evict();
        }
        emit_block(job, PGW_CACHE_STORED);
    }

    /* Runs requests concurrently: all match first, then store round-robin. */
    void
    run_jobs(std::vector<Job> jobs)
    {
        for (Job &job : jobs) {
            while (job.done < job.blocks.size() &&
                   is_cached(job.blocks[job.done])) {
                emit_block(job, PGW_CACHE_USED);
            }
        }
        for (bool more = true; more;) {
            more = false;
            for (Job &job : jobs) {
                if (job.done < job.blocks.size()) {
                    store_next(job);
                    more = true;
                }
            }
        }
    }

    void
    restart()
    {
        generation++;
        incarnation++;
        lru.clear();
        log.clear();
        cached_after[incarnation] = { {} };
    }

    void
    load_version()
    {
        generation++;
        version = "w" + std::to_string(generation);
        lru.clear();
        emit({ 0, PGW_CACHE_CLEARED, {}, 0, 0, 0 });
    }

    Response
    respond(uint64_t requested_us, bool is_block_list, uint64_t after,
            bool lossless) const
    {
        Response out = { incarnation, generation, version,      requested_us,
                       is_block_list,     log.size(), {}, {} };

        for (size_t i = after; i < log.size() && !is_block_list; i++) {
            if (lossless || !log[i].lost) {
                out.events.push_back(log[i].event);
            }
        }
        for (uint64_t block : lru) {
            out.blocks.push_back({ block, parents.at(block) });
        }
        return out;
    }
};

static uint32_t
cached_prefix(const Blocks &cached, const Prompt &p)
{
    uint32_t tokens = 0;

    for (uint64_t block : blocks_of(p)) {
        if (cached.count(block) == 0) {
            break;
        }
        tokens += kBlock;
    }
    return tokens;
}

struct Scenario {
    Engine engine;
    pgw_cache *view;
    uint64_t now = 100;
    int delivered = 0;
    std::vector<Response> pending;
    uint64_t next_id = 1;

    Scenario()
    {
        pgw_cache_options options = PGW_CACHE_OPTIONS_INIT;

        options.blocks = kCapacity;
        options.hint_us = kHintUs;
        view = pgw_cache_new(&options);
    }

    ~Scenario() { pgw_cache_free(view); }

    Prompt
    prompt(const std::string &version) const
    {
        Prompt p;

        p.workspace = *rc::gen::inRange(0, 2) ? "a" : "b";
        p.version = version;
        p.text = std::string(192, *rc::gen::inRange('a', 'c'));
        p.ends.push_back(192);
        p.text += std::string(128, *rc::gen::inRange('d', 'f'));
        p.ends.push_back(320);
        p.text += std::string(*rc::gen::inRange<size_t>(1, 140),
                              *rc::gen::inRange('g', 'j'));
        return p;
    }

    Engine::Job
    record_request(const Prompt &p)
    {
        pgw_request_id id = {};
        pgw_level_salt salt = { p.workspace.c_str(), "m", "",
                                p.version.c_str() };
        auto chain = chain_of(p);

        memcpy(id.bytes, &next_id, sizeof(next_id));
        next_id++;
        pgw_cache_record_request(view, &id, &chain, &salt, now);
        /* The engine refuses a request for another weights version. */
        return { id,
                 p.version == engine.version ? blocks_of(p)
                                             : std::vector<uint64_t>(),
                 0 };
    }

    void
    deliver(Response response)
    {
        pgw_cache_source source = { response.incarnation,
                                    response.version.c_str(),
                                    response.requested_us };

        delivered = std::max(delivered, response.generation);
        if (response.is_block_list) {
            pgw_cache_sync(view, &source, response.last,
                           response.blocks.data(), response.blocks.size(),
                           now);
        }
        else {
            pgw_cache_apply(view, &source, response.events.data(),
                            response.events.size(), response.last, now);
        }
    }

    void
    check_match(const Prompt &p) const
    {
        auto chain = chain_of(p);
        uint32_t hint_tokens = 0;
        uint32_t certain_tokens = pgw_cache_match(
            view, p.workspace.c_str(), &chain, now, &hint_tokens);
        uint64_t incarnation = pgw_cache_incarnation(view);

        RC_ASSERT(hint_tokens >= certain_tokens);
        if (incarnation == 0 || p.version != pgw_cache_version(view)) {
            RC_ASSERT(hint_tokens == 0u);
            return;
        }
        const auto &history = engine.cached_after.at(incarnation);
        RC_ASSERT(pgw_cache_certain_seq(view) < history.size());
        RC_ASSERT(certain_tokens <=
                  cached_prefix(history[pgw_cache_certain_seq(view)], p));
        RC_ASSERT((pgw_cache_last_block(view, p.workspace.c_str(), &chain) !=
                   0) == (certain_tokens > 0));
    }

    void
    check_engine() const
    {
        if (pgw_cache_incarnation(view) == 0) {
            return;
        }
        /* The view never has an engine or weights newer than the current ones.
         * Once a response from the current ones was delivered, it has those.
         */
        RC_ASSERT(pgw_cache_incarnation(view) <= engine.incarnation);
        int version_number =
            std::stoi(std::string(pgw_cache_version(view)).substr(1));
        if (pgw_cache_incarnation(view) == engine.incarnation) {
            RC_ASSERT(version_number <= std::stoi(engine.version.substr(1)));
        }
        if (delivered == engine.generation) {
            RC_ASSERT(pgw_cache_incarnation(view) == engine.incarnation);
            RC_ASSERT(engine.version == pgw_cache_version(view));
        }
    }

    void
    step()
    {
        std::string request_version =
            *rc::gen::inRange(0, 4)
                ? engine.version
                : "w" + std::to_string(
                            *rc::gen::inRange(1, engine.generation + 1));
        int kind = *rc::gen::inRange(0, 100);
        uint64_t requested_us = now - *rc::gen::inRange<uint64_t>(0, 40);

        now += *rc::gen::inRange<uint64_t>(1, 60);
        if (kind < 35) {
            std::vector<Engine::Job> jobs = { record_request(
                prompt(request_version)) };

            if (kind < 20) {
                jobs.push_back(record_request(prompt(engine.version)));
            }
            engine.run_jobs(jobs);
        }
        else if (kind < 60) {
            pending.push_back(engine.respond(
                requested_us, kind >= 55, pgw_cache_last_seq(view), false));
        }
        else if (kind < 92 && !pending.empty()) {
            size_t i = *rc::gen::inRange<size_t>(0, pending.size());
            Response response = pending[i];

            if (*rc::gen::inRange(0, 4) > 0) {
                pending.erase(pending.begin() + static_cast<long>(i));
            }
            deliver(response);
        }
        else if (kind >= 92 && kind < 95) {
            engine.restart();
        }
        else if (kind >= 95) {
            engine.load_version();
        }
        check_engine();
        check_match(prompt(request_version));
    }

    /* Once complete and timely responses arrive, the view is exact and hints
     * expire. */
    void
    check_converges()
    {
        pending.clear();
        for (int i = 0; i < 2; i++) {
            now += 10;
            deliver(engine.respond(now - 1, true, 0, true));
        }
        Prompt p = prompt(engine.version);
        engine.run_jobs({ record_request(p) });
        now += 10;
        deliver(
            engine.respond(now - 1, false, pgw_cache_last_seq(view), true));
        auto chain = chain_of(p);
        uint32_t hint_tokens = 0;
        uint32_t certain_tokens =
            pgw_cache_match(view, p.workspace.c_str(), &chain,
                            now + kHintUs + 1, &hint_tokens);
        RC_ASSERT(certain_tokens == p.text.size() / 64 * kBlock);
        RC_ASSERT(hint_tokens == certain_tokens);
    }
};

static void
certain_blocks_are_cached()
{
    Scenario scenario;
    int steps = *rc::gen::inRange(1, 120);

    for (int i = 0; i < steps; i++) {
        scenario.step();
    }
    scenario.check_converges();
}

/* The view stays within its limits for any number of requests, blocks and
 * levels. */
static void
memory_is_bounded()
{
    pgw_cache_options options = PGW_CACHE_OPTIONS_INIT;
    pgw_cache_source source = { 7, "w1", 1 };
    pgw_cache_stats stats;
    uint64_t seq = 0;

    options.blocks = *rc::gen::inRange<size_t>(16, 64);
    options.levels = options.requests = options.blocks;
    pgw_cache *view = pgw_cache_new(&options);
    for (uint64_t i = 1; i < 300; i++) {
        uint64_t parent = *rc::gen::inRange<uint64_t>(0, 1000);
        pgw_cache_event event = { ++seq,      PGW_CACHE_STORED, {}, i + 5000,
                                  parent * 7, 16 };

        pgw_cache_apply(view, &source, &event, 1, 0, 2);
        if (*rc::gen::inRange(0, 3) == 0) {
            event = { ++seq, PGW_CACHE_EVICTED, {}, i + 4990, 0, 0 };
            pgw_cache_apply(view, &source, &event, 1, 0, 2);
        }
    }
    pgw_cache_stats_get(&stats, view);
    pgw_cache_free(view);
    RC_ASSERT(stats.blocks <= 2 * options.blocks);
    RC_ASSERT(stats.levels <= options.levels);
}

int
main()
{
    bool ok = rc::check("certain blocks are cached",
                        certain_blocks_are_cached);

    ok &= rc::check("memory is bounded", memory_is_bounded);
    return ok ? 0 : 1;
}
