#include <parsleygw/place.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

static std::vector<pgw_place_node>
random_pool(size_t n, uint32_t zones)
{
    std::vector<pgw_place_node> nodes;
    int salt = *rc::gen::inRange(0, 1000000);

    for (size_t i = 0; i < n; i++) {
        auto id = std::to_string(salt) + "-" + std::to_string(i);

        nodes.push_back({ pgw_place_id_hash(id.c_str()),
                          static_cast<uint32_t>(i % zones), true });
    }
    return nodes;
}

static pgw_level_chain
random_chain(size_t count)
{
    pgw_level_chain chain = {};

    chain.count = count;
    for (size_t i = 0; i < count; i++) {
        chain.levels[i] = { *rc::gen::arbitrary<uint64_t>(),
                            *rc::gen::arbitrary<uint64_t>(),
                            static_cast<uint32_t>(4000 * (i + 1)),
                            static_cast<uint32_t>(1000 * (i + 1)) };
    }
    chain.prompt_tokens = static_cast<uint32_t>(1000 * count);
    return chain;
}

static std::vector<uint32_t>
rank(const std::vector<pgw_place_node> &nodes, const pgw_level_chain &chain,
     size_t k = PGW_PLACE_RANK_MAX)
{
    std::vector<uint32_t> out(k);

    out.resize(
        pgw_place_rank(out.data(), k, nodes.data(), nodes.size(), &chain));
    return out;
}

/* The ranking does not depend on the order of an entry's list of nodes. It
 * contains each usable node once, and a shorter ranking is its prefix. */
static void
ranking_is_independent_of_node_order()
{
    auto nodes = random_pool(*rc::gen::inRange<size_t>(1, 60), 3);
    auto chain = random_chain(*rc::gen::inRange<size_t>(0, 8));
    size_t k = *rc::gen::inRange<size_t>(1, 10);
    std::vector<size_t> order(nodes.size());
    std::vector<pgw_place_node> shuffled;

    for (size_t i = 0; i < nodes.size(); i++) {
        nodes[i].usable = *rc::gen::inRange(0, 4) > 0;
        order[i] = i;
    }
    std::rotate(order.begin(),
                order.begin() + *rc::gen::inRange<size_t>(0, order.size()),
                order.end());
    for (size_t i : order) {
        shuffled.push_back(nodes[i]);
    }
    auto ranking = rank(nodes, chain);
    auto shuffled_ranking = rank(shuffled, chain);
    auto shorter = rank(nodes, chain, k);
    size_t usable =
        std::count_if(nodes.begin(), nodes.end(),
                      [](const pgw_place_node &n) { return n.usable; });
    RC_ASSERT(ranking.size() == std::min<size_t>(usable, PGW_PLACE_RANK_MAX));
    RC_ASSERT(shuffled_ranking.size() == ranking.size());
    RC_ASSERT(shorter.size() == std::min(k, ranking.size()));
    for (size_t i = 0; i < ranking.size(); i++) {
        RC_ASSERT(nodes[ranking[i]].usable);
        RC_ASSERT(nodes[ranking[i]].id_hash ==
                  shuffled[shuffled_ranking[i]].id_hash);
        RC_ASSERT(std::count(ranking.begin(), ranking.end(), ranking[i]) == 1);
        /* RC_ASSERT overloads ||, which would read shorter[i] in any case. */
        if (i < shorter.size()) {
            RC_ASSERT(shorter[i] == ranking[i]);
        }
    }
}

/* Appends a level for the whole prompt, which ranking leaves out. */
static pgw_level_chain
with_whole_prompt(pgw_level_chain chain)
{
    chain.levels[chain.count] = { *rc::gen::arbitrary<uint64_t>(),
                                  *rc::gen::arbitrary<uint64_t>(), 99999,
                                  24999 };
    chain.count++;
    return chain;
}

/* Requests that differ only in the last level have the same ranking. The first
 * four ranks of a child are among its parent's first four, and the first two
 * of a grandchild among the child's first two. */
static void
children_rank_inside_their_parent()
{
    auto nodes = random_pool(*rc::gen::inRange<size_t>(4, 60), 3);
    auto full = random_chain(3);
    auto one_level = full, two_levels = full;

    one_level.count = 1;
    two_levels.count = 2;
    auto top = rank(nodes, with_whole_prompt(one_level));
    auto child = rank(nodes, with_whole_prompt(two_levels));
    auto grandchild = rank(nodes, with_whole_prompt(full));
    RC_ASSERT(grandchild == rank(nodes, with_whole_prompt(full)));
    for (size_t i = 0; i < 4; i++) {
        auto parents = top.begin() + 4;

        RC_ASSERT(std::find(top.begin(), parents, child[i]) != parents);
    }
    for (size_t i = 0; i < 2; i++) {
        auto parents = child.begin() + 2;

        RC_ASSERT(std::find(child.begin(), parents, grandchild[i]) != parents);
    }
}

/* The loss of one node keeps the order of the others, so only levels with
 * their first rank at the lost node move. */
static void
loss_moves_only_levels_of_lost_node()
{
    auto nodes = random_pool(*rc::gen::inRange<size_t>(6, 60), 1);
    size_t lost = *rc::gen::inRange<size_t>(0, nodes.size());
    auto remaining = nodes;

    remaining[lost].usable = false;
    for (int i = 0; i < 20; i++) {
        auto chain = with_whole_prompt(random_chain(1));
        auto before = rank(nodes, chain);
        auto after = rank(remaining, chain);

        before.erase(std::remove(before.begin(), before.end(), lost),
                     before.end());
        RC_ASSERT(std::equal(before.begin(), before.end(), after.begin()));
    }
}

/* With nested levels a loss also moves other prefixes: at most a few times the
 * lost node's share of the prefixes gets another first rank. */
static void
loss_moves_few_nested_levels()
{
    auto nodes = random_pool(*rc::gen::inRange<size_t>(10, 40), 3);
    auto remaining = nodes;
    size_t moved = 0;

    remaining[*rc::gen::inRange<size_t>(0, nodes.size())].usable = false;
    for (int i = 0; i < 100; i++) {
        auto chain = with_whole_prompt(random_chain(3));

        moved += rank(nodes, chain)[0] != rank(remaining, chain)[0];
    }
    RC_ASSERT(moved <= 400 / nodes.size() + 25);
}

/* With three zones the first three ranks are in different zones. */
static void
first_ranks_span_zones()
{
    auto nodes = random_pool(*rc::gen::inRange<size_t>(9, 30), 3);
    auto ranks = rank(nodes, with_whole_prompt(random_chain(1)));

    RC_ASSERT(nodes[ranks[0]].zone != nodes[ranks[1]].zone);
    RC_ASSERT(nodes[ranks[0]].zone != nodes[ranks[2]].zone);
    RC_ASSERT(nodes[ranks[1]].zone != nodes[ranks[2]].zone);
}

static std::vector<pgw_place_candidate>
random_candidates(uint32_t prompt)
{
    std::vector<pgw_place_candidate> out(*rc::gen::inRange<size_t>(1, 9));

    for (size_t i = 0; i < out.size(); i++) {
        out[i].index = static_cast<uint32_t>(i);
        out[i].answered = *rc::gen::inRange(0, 5) > 0;
        out[i].matched_tokens = *rc::gen::inRange<uint32_t>(0, prompt + 1);
        out[i].queued_tokens = *rc::gen::inRange<uint32_t>(0, 100000);
        out[i].charged_tokens = *rc::gen::inRange<uint32_t>(0, 5000);
        out[i].refuses = *rc::gen::inRange(0, 6) == 0;
        out[i].leaving = *rc::gen::inRange(0, 6) == 0;
        out[i].same_zone = *rc::gen::arbitrary<bool>();
    }
    return out;
}

/* For any weights, the chosen candidate accepts requests, and a candidate with
 * a reply is preferred to one without. Its load exceeds that of the least
 * loaded candidate at most by the cost of recomputing the whole prompt: nine
 * times its prefill, and a twentieth for each rank. */
static void
load_is_bounded()
{
    uint32_t prompt = *rc::gen::inRange<uint32_t>(1, 8000);
    auto candidates = random_candidates(prompt);
    pgw_place_weights weights = PGW_PLACE_WEIGHTS_INIT;
    pgw_place_choice choice;
    uint64_t min_load = UINT64_MAX;
    bool some_accept = false;

    weights.ttft_weight = *rc::gen::inRange(0, 101) / 100.0;
    pgw_place_choose(&choice, candidates.data(), candidates.size(), &weights,
                     prompt, *rc::gen::arbitrary<uint64_t>());
    for (const auto &candidate : candidates) {
        if (!candidate.refuses && !candidate.leaving) {
            some_accept = true;
            if (candidate.answered) {
                min_load = std::min<uint64_t>(min_load,
                                              candidate.queued_tokens +
                                                  candidate.charged_tokens);
            }
        }
    }
    RC_ASSERT(choice.found == some_accept);
    if (!some_accept) {
        RC_ASSERT(choice.spill);
        return;
    }
    const auto &chosen = candidates[choice.position];
    RC_ASSERT(!chosen.refuses && !chosen.leaving);
    RC_ASSERT(chosen.answered == (min_load != UINT64_MAX));
    if (chosen.answered) {
        RC_ASSERT(chosen.queued_tokens + chosen.charged_tokens <=
                  static_cast<double>(min_load) +
                      (9 + 0.05 * (candidates.size() - 1)) * prompt + 20);
    }
}

/* Entries of different zones that place a new prefix concurrently, with
 * nothing cached or queued anywhere, choose the same upstream. */
static void
new_prefix_goes_to_one_upstream()
{
    uint32_t prompt = *rc::gen::inRange<uint32_t>(500, 8000);
    std::vector<pgw_place_candidate> candidates(
        *rc::gen::inRange<size_t>(1, 9));
    pgw_place_weights weights = PGW_PLACE_WEIGHTS_INIT;
    pgw_place_choice choice;

    weights.ttft_weight = *rc::gen::inRange(0, 101) / 100.0;
    for (auto &candidate : candidates) {
        candidate.answered = true;
        candidate.age_us = *rc::gen::inRange<uint64_t>(0, 2000);
        candidate.same_zone = *rc::gen::arbitrary<bool>();
    }
    pgw_place_choose(&choice, candidates.data(), candidates.size(), &weights,
                     prompt, *rc::gen::arbitrary<uint64_t>());
    RC_ASSERT(choice.found && choice.position == 0u);
}

/* When old reports show one upstream idle, the entry's own charge and the
 * random jitter keep its choices from all going there. */
static void
old_reports_do_not_cause_herding()
{
    size_t n = *rc::gen::inRange<size_t>(2, 9);
    std::vector<pgw_place_candidate> candidates(n);
    std::vector<int> chosen(n, 0);
    pgw_place_weights weights = PGW_PLACE_WEIGHTS_INIT;
    const int rounds = 400;

    for (size_t i = 0; i < n; i++) {
        candidates[i].answered = true;
        candidates[i].same_zone = true;
        candidates[i].queued_tokens = i == 0 ? 0 : 4000;
        candidates[i].age_us = 1000000;
    }
    for (int i = 0; i < rounds; i++) {
        pgw_place_choice choice;

        pgw_place_choose(&choice, candidates.data(), n, &weights, 500,
                         *rc::gen::arbitrary<uint64_t>());
        chosen[choice.position]++;
        candidates[choice.position].charged_tokens += 500;
    }
    RC_ASSERT(*std::max_element(chosen.begin(), chosen.end()) <=
              rounds / static_cast<int>(n) + rounds / 10);
}

/* The charge counts the tokens sent since a report, to within one slot. */
static void
charge_counts_tokens_since_report()
{
    pgw_place_charge charge = {};
    uint64_t now = *rc::gen::inRange<uint64_t>(0, 1000000000);
    uint64_t since = now + *rc::gen::inRange<uint64_t>(0, 1500000);
    uint64_t min_tokens = 0, max_tokens = 0;

    for (int i = 0; i < 50; i++) {
        uint64_t at = now + static_cast<uint64_t>(i) * 30000;

        pgw_place_charge_add(&charge, 10, at);
        min_tokens += at >= since ? 10 : 0;
        max_tokens += at + PGW_PLACE_CHARGE_SLOT_US >= since ? 10 : 0;
    }
    uint32_t sum = pgw_place_charge_since(&charge, since);
    RC_ASSERT(sum >= min_tokens && sum <= max_tokens);
    for (int i = 0; i < 50; i++) {
        pgw_place_charge_remove(&charge, 10,
                                now + static_cast<uint64_t>(i) * 30000);
    }
    RC_ASSERT(pgw_place_charge_since(&charge, now) == 0);
}

int
main()
{
    bool ok = rc::check("ranking is independent of node order",
                        ranking_is_independent_of_node_order);

    ok &= rc::check("children rank inside their parent",
                    children_rank_inside_their_parent);
    ok &= rc::check("loss moves only levels of the lost node",
                    loss_moves_only_levels_of_lost_node);
    ok &= rc::check("loss moves few nested levels",
                    loss_moves_few_nested_levels);
    ok &= rc::check("first ranks span zones", first_ranks_span_zones);
    ok &= rc::check("load is bounded", load_is_bounded);
    ok &= rc::check("new prefix goes to one upstream",
                    new_prefix_goes_to_one_upstream);
    ok &= rc::check("old reports do not cause herding",
                    old_reports_do_not_cause_herding);
    ok &= rc::check("charge counts tokens since a report",
                    charge_counts_tokens_since_report);
    return ok ? 0 : 1;
}
