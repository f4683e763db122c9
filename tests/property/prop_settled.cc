// The entry may stop waiting for probe replies once the choice is settled: no
// missing reply could then lower the cost by more than a bound.
#include <algorithm>
#include <parsleygw/place.h>
#include <rapidcheck.h>
#include <vector>

namespace {

constexpr uint32_t kShared = 4096;
constexpr uint32_t kPrompt = kShared + 48;
constexpr uint64_t kUsPerToken = 100;
/* 10 ms of queueing, plus 64 tokens of a level's last block at the highest
 * weight: 1 + 8 for recomputation and 0.05 for each rank. */
constexpr uint64_t kBoundUs = 10000 + 64 * kUsPerToken * 10;

pgw_place_candidate
arbitraryCandidate()
{
    pgw_place_candidate one = {};

    one.answered = *rc::gen::arbitrary<bool>();
    one.matched_tokens =
        *rc::gen::weightedElement<uint32_t>({{3, kShared}, {1, 0}, {1, 2048}});
    one.queued_tokens = *rc::gen::weightedOneOf<uint32_t>(
        {{2, rc::gen::just<uint32_t>(0)},
         {1, rc::gen::inRange<uint32_t>(0, 20000)}});
    one.waiting = *rc::gen::weightedElement<uint32_t>({{3, 0}, {1, 5}});
    one.refuses = *rc::gen::weightedElement<bool>({{5, false}, {1, true}});
    one.same_zone = true;
    return one;
}

uint64_t
bestCost(std::vector<pgw_place_candidate> candidates,
         const pgw_place_weights &weights)
{
    pgw_place_choice choice;

    pgw_place_choose(&choice, candidates.data(), candidates.size(), &weights,
                     kPrompt, 1);
    RC_ASSERT(choice.found);
    return choice.cost_us;
}

} // namespace

int
main()
{
    bool ok = rc::check("a settled choice is within the cost bound", [] {
        const auto candidates = *rc::gen::container<
            std::vector<pgw_place_candidate>>(
            4, rc::gen::exec(arbitraryCandidate));
        pgw_place_weights weights = PGW_PLACE_WEIGHTS_INIT;
        pgw_level_chain chain = {};
        auto all = candidates;

        weights.ttft_weight = *rc::gen::element(0.0, 0.5, 1.0);
        chain.count = 2;
        chain.levels[0].end_tokens = kShared;
        chain.levels[1].end_tokens = kPrompt;
        chain.prompt_tokens = kPrompt;
        RC_PRE(pgw_place_is_settled(candidates.data(), candidates.size(),
                                    &weights, &chain));
        RC_ASSERT(std::any_of(candidates.begin(), candidates.end(),
                              [](const pgw_place_candidate &one) {
                                  return one.answered && !one.refuses &&
                                         one.matched_tokens == kShared;
                              }));
        for (auto &one : all) {
            one.answered = true;
        }
        RC_ASSERT(bestCost(candidates, weights) <=
                  bestCost(all, weights) + kBoundUs);
    });

    return ok ? 0 : 1;
}
