// Properties of the split of a pool's requests among weights versions during a
// rollout.
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

#include "parsleygw/version.h"

namespace {

struct Engine {
    int version; // 0: not known
    bool loading;
    bool usable;
};

std::vector<pgw_member>
members(const std::vector<Engine> &engines)
{
    std::vector<pgw_member> out;
    for (const auto &engine : engines) {
        pgw_member member{};
        member.state = engine.usable ? PGW_MEMBER_USABLE : PGW_MEMBER_SUSPECT;
        member.loading = engine.loading;
        if (engine.version > 0) {
            g_strlcpy(member.weights,
                      ("w" + std::to_string(engine.version)).c_str(),
                      sizeof(member.weights));
        }
        out.push_back(member);
    }
    return out;
}

rc::Gen<std::vector<Engine>>
anyEngines()
{
    return rc::gen::container<std::vector<Engine>>(
        rc::gen::apply(
            [](int version, int loading, int usable) {
                return Engine{version, loading == 0, usable != 0};
            },
            rc::gen::inRange(0, 5), rc::gen::inRange(0, 4),
            rc::gen::inRange(0, 6)));
}

// A rollout from w1 to w2, observed from its start.
pgw_version_track
rollout()
{
    pgw_version_track track{};
    auto finished = members({{1, false, true}});
    pgw_version_track_set_target(&track, "w1");
    pgw_version_track_observe(&track, finished.data(), finished.size());
    pgw_version_track_set_target(&track, "w2");
    return track;
}

const char *
choose(const pgw_version_track &track, const std::vector<Engine> &engines,
       uint64_t hash, pgw_version_split *split)
{
    auto all = members(engines);
    pgw_version_split_init(split, &track, all.data(), all.size());
    return split->parts[pgw_version_split_choose(split, hash)].version;
}

bool
servesTargetOrEarlier()
{
    return rc::check("a request gets the target or an earlier version, "
                     "one that an engine can serve if there is any", [] {
        const auto engines = *anyEngines();
        const auto hash = *rc::gen::arbitrary<uint64_t>();
        const auto track = rollout();
        pgw_version_split split;
        const std::string version = choose(track, engines, hash, &split);
        int able = 0;
        int chosen = 0;
        for (const auto &member : members(engines)) {
            const std::string weights = member.weights;
            const bool serves = member.state == PGW_MEMBER_USABLE &&
                                !member.loading &&
                                (weights == "w1" || weights == "w2");
            able += serves;
            chosen += serves && weights == version;
        }
        RC_ASSERT((version == "w2" || version == "w1"));
        RC_ASSERT((able == 0 && version == "w2") || chosen > 0);
        RC_ASSERT(split.engines == static_cast<size_t>(able));
    });
}

bool
neverMovesBack()
{
    return rc::check("an engine that loads the target version moves "
                     "requests to it and none back", [] {
        auto engines = *anyEngines();
        const auto hash = *rc::gen::arbitrary<uint64_t>();
        const auto track = rollout();
        pgw_version_split split;
        engines.push_back({1, *rc::gen::arbitrary<bool>(), true});
        const std::string before = choose(track, engines, hash, &split);
        const bool served = split.parts[0].engines > 0;
        auto &engine = engines.back();
        if (engine.loading) {
            engine = {2, false, engine.usable};
        }
        else {
            engine.loading = true;
        }
        const std::string after = choose(track, engines, hash, &split);
        RC_ASSERT((!served || before != "w2" || after == "w2"));
    });
}

bool
sharesFollowEngines()
{
    return rc::check("each version's share is in proportion to its "
                     "engines", [] {
        auto engines = *anyEngines();
        engines.push_back({1, false, true});
        const auto track = rollout();
        const int samples = 1000;
        std::vector<int> counts(PGW_VERSIONS_MAX);
        pgw_version_split split{};
        auto all = members(engines);
        pgw_version_split_init(&split, &track, all.data(), all.size());
        for (int i = 0; i < samples; i++) {
            counts[pgw_version_split_choose(&split,
                                            UINT64_MAX / samples * i)]++;
        }
        for (size_t i = 0; i < split.n; i++) {
            const double wanted = static_cast<double>(samples) *
                                  split.parts[i].engines / split.engines;
            RC_ASSERT(std::abs(counts[i] - wanted) <= 2);
        }
    });
}

bool
finishedServesTargetOnly()
{
    return rc::check("once all run the target version no other one is "
                     "served, until the next rollout", [] {
        const auto late = *anyEngines();
        auto track = rollout();
        auto all = members({{2, false, true}, {2, false, true}});
        pgw_version_split split;
        pgw_version_track_observe(&track, all.data(), all.size());
        const std::string version =
            choose(track, late, *rc::gen::arbitrary<uint64_t>(), &split);
        RC_ASSERT(version == "w2");
        RC_ASSERT(split.n == 1u);
        pgw_version_track_set_target(&track, "w3");
        choose(track, {{2, false, true}}, 0, &split);
        RC_ASSERT(split.parts[1].engines == 1u);
    });
}

// The search of one request while engines load versions between its steps.
bool
searchEndsAndFinds()
{
    return rc::check("a request without an engine tries each version at "
                     "most once, and every one that an engine runs before "
                     "it is refused", [] {
        const auto hash = *rc::gen::arbitrary<uint64_t>();
        const auto track = rollout();
        pgw_version_tried tried{};
        std::vector<std::string> seen;
        for (;;) {
            auto all = members(*anyEngines());
            pgw_version_split split;
            pgw_version_split_init(&split, &track, all.data(), all.size());
            const char *next = pgw_version_split_next(&split, hash, &tried);
            const auto known = [&seen](const std::string &version) {
                return std::find(seen.begin(), seen.end(), version) !=
                       seen.end();
            };
            if (next == nullptr) {
                for (size_t i = 0; i < split.n; i++) {
                    RC_ASSERT(known(split.parts[i].version));
                }
                break;
            }
            RC_ASSERT(!known(next));
            seen.emplace_back(next);
            RC_ASSERT(pgw_version_tried_add(&tried, next));
            RC_ASSERT(seen.size() <= static_cast<size_t>(PGW_VERSIONS_MAX));
        }
    });
}

// The last engine on w1 starts to load w2 after w1 was assigned.
bool
lastEarlierEngineLoads()
{
    return rc::check("a request of the earlier version whose last engine "
                     "loads gets the target version", [] {
        // The upper half of the hashes, which the second part gets.
        const auto hash = *rc::gen::arbitrary<uint64_t>() | UINT64_C(1) << 63;
        const auto track = rollout();
        const std::vector<Engine> before = {{2, false, true}, {1, false, true}};
        const std::vector<Engine> after = {{2, false, true}, {1, true, true}};
        pgw_version_tried tried{};
        pgw_version_split split;
        const std::string first = choose(track, before, hash, &split);
        RC_ASSERT(first == "w1");
        pgw_version_tried_add(&tried, first.c_str());
        auto all = members(after);
        pgw_version_split_init(&split, &track, all.data(), all.size());
        const char *next = pgw_version_split_next(&split, hash, &tried);
        RC_ASSERT(next != nullptr);
        RC_ASSERT(std::string(next) == "w2");
    });
}

} // namespace

int
main()
{
    bool good = servesTargetOrEarlier();
    good = neverMovesBack() && good;
    good = sharesFollowEngines() && good;
    good = finishedServesTargetOnly() && good;
    good = searchEndsAndFinds() && good;
    good = lastEarlierEngineLoads() && good;
    return good ? 0 : 1;
}
