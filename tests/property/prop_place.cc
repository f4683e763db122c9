#include <parsleygw/place.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

static std::vector<pgw_place_node>
pool_of(size_t n, uint32_t zones)
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

/* Every entry ranks alike, whatever order its list of nodes has; a ranking
 * names each usable node once, and a shorter one is its beginning. */
static void
ranking_is_the_same_everywhere()
{
    auto nodes = pool_of(*rc::gen::inRange<size_t>(1, 60), 3);
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
    auto one = rank(nodes, chain);
    auto two = rank(shuffled, chain);
    auto brief = rank(nodes, chain, k);
    size_t usable =
        std::count_if(nodes.begin(), nodes.end(),
                      [](const pgw_place_node &n) { return n.usable; });
    RC_ASSERT(one.size() == std::min<size_t>(usable, PGW_PLACE_RANK_MAX));
    RC_ASSERT(two.size() == one.size());
    RC_ASSERT(brief.size() == std::min(k, one.size()));
    for (size_t i = 0; i < one.size(); i++) {
        RC_ASSERT(nodes[one[i]].usable);
        RC_ASSERT(nodes[one[i]].id_hash == shuffled[two[i]].id_hash);
        RC_ASSERT(std::count(one.begin(), one.end(), one[i]) == 1);
        /* An overloaded || would read brief[i] in any case. */
        if (i < brief.size()) {
            RC_ASSERT(brief[i] == one[i]);
        }
    }
}

/* The last level, the whole prompt, is put aside: it is the request's own. */
static pgw_level_chain
with_tail(pgw_level_chain chain)
{
    chain.levels[chain.count] = { *rc::gen::arbitrary<uint64_t>(),
                                  *rc::gen::arbitrary<uint64_t>(), 99999,
                                  24999 };
    chain.count++;
    return chain;
}

/* Requests that differ in their question only rank alike; a child lives among
 * the first four of its parent, a grandchild among the first two of it. */
static void
children_rank_inside_their_parent()
{
    auto nodes = pool_of(*rc::gen::inRange<size_t>(4, 60), 3);
    auto full = random_chain(3);
    auto one = full, two = full;

    one.count = 1;
    two.count = 2;
    auto top = rank(nodes, with_tail(one));
    auto child = rank(nodes, with_tail(two));
    auto grandchild = rank(nodes, with_tail(full));
    RC_ASSERT(grandchild == rank(nodes, with_tail(full)));
    for (size_t i = 0; i < 4; i++) {
        auto parents = top.begin() + 4;

        RC_ASSERT(std::find(top.begin(), parents, child[i]) != parents);
    }
    for (size_t i = 0; i < 2; i++) {
        auto parents = child.begin() + 2;

        RC_ASSERT(std::find(child.begin(), parents, grandchild[i]) != parents);
    }
}

/* A loss of one node moves only what it held: among the others, the first
 * rank of a level changes for nobody but its own. */
static void
leaving_moves_only_its_own()
{
    auto nodes = pool_of(*rc::gen::inRange<size_t>(6, 60), 1);
    size_t gone = *rc::gen::inRange<size_t>(0, nodes.size());
    auto left = nodes;

    left[gone].usable = false;
    for (int i = 0; i < 20; i++) {
        auto chain = with_tail(random_chain(1));
        auto before = rank(nodes, chain);
        auto after = rank(left, chain);

        before.erase(std::remove(before.begin(), before.end(), gone),
                     before.end());
        RC_ASSERT(std::equal(before.begin(), before.end(), after.begin()));
    }
}

/* Nested ranks move a little more than their own: at most a few times the
 * leaving node's part of the prefixes finds another first rank. */
static void
leaving_moves_few_nested_levels()
{
    auto nodes = pool_of(*rc::gen::inRange<size_t>(10, 40), 3);
    auto left = nodes;
    size_t moved = 0;

    left[*rc::gen::inRange<size_t>(0, nodes.size())].usable = false;
    for (int i = 0; i < 100; i++) {
        auto chain = with_tail(random_chain(3));

        moved += rank(nodes, chain)[0] != rank(left, chain)[0];
    }
    RC_ASSERT(moved <= 400 / nodes.size() + 25);
}

/* With several zones the first candidates never all sit in one. */
static void
first_ranks_span_zones()
{
    auto nodes = pool_of(*rc::gen::inRange<size_t>(9, 30), 3);
    auto ranks = rank(nodes, with_tail(random_chain(1)));

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

/* Whatever the weights: the taken one takes work, an answered one goes before
 * a silent one, and its load exceeds the least loaded one's at most by what
 * recomputing the whole prompt there is worth: nine times its prefill, and a
 * twentieth for each rank. */
static void
load_is_bounded()
{
    uint32_t prompt = *rc::gen::inRange<uint32_t>(1, 8000);
    auto candidates = random_candidates(prompt);
    pgw_place_weights weights = PGW_PLACE_WEIGHTS_INIT;
    pgw_place_choice choice;
    uint64_t least = UINT64_MAX;
    bool any = false;

    weights.ttft_weight = *rc::gen::inRange(0, 101) / 100.0;
    pgw_place_choose(&choice, candidates.data(), candidates.size(), &weights,
                     prompt, *rc::gen::arbitrary<uint64_t>());
    for (const auto &one : candidates) {
        if (!one.refuses && !one.leaving) {
            any = true;
            if (one.answered) {
                least = std::min<uint64_t>(least, one.queued_tokens +
                                                      one.charged_tokens);
            }
        }
    }
    RC_ASSERT(choice.found == any);
    if (!any) {
        RC_ASSERT(choice.spill);
        return;
    }
    const auto &taken = candidates[choice.position];
    RC_ASSERT(!taken.refuses && !taken.leaving);
    RC_ASSERT(taken.answered == (least != UINT64_MAX));
    if (taken.answered) {
        RC_ASSERT(taken.queued_tokens + taken.charged_tokens <=
                  static_cast<double>(least) +
                      (9 + 0.05 * (candidates.size() - 1)) * prompt + 20);
    }
}

/* Entries of different zones that meet a new prefix at the same moment, with
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
    for (auto &one : candidates) {
        one.answered = true;
        one.age_us = *rc::gen::inRange<uint64_t>(0, 2000);
        one.same_zone = *rc::gen::arbitrary<bool>();
    }
    pgw_place_choose(&choice, candidates.data(), candidates.size(), &weights,
                     prompt, *rc::gen::arbitrary<uint64_t>());
    RC_ASSERT(choice.found && choice.position == 0u);
}

/* Reports of one age that show one upstream idle: many choices by them must
 * not all go there, whether by this entry's own charge or by chance. */
static void
old_reports_do_not_herd()
{
    size_t n = *rc::gen::inRange<size_t>(2, 9);
    std::vector<pgw_place_candidate> candidates(n);
    std::vector<int> taken(n, 0);
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
        taken[choice.position]++;
        candidates[choice.position].charged_tokens += 500;
    }
    RC_ASSERT(*std::max_element(taken.begin(), taken.end()) <=
              rounds / static_cast<int>(n) + rounds / 10);
}

/* The charge counts what was sent since a report, to the slot's width. */
static void
charge_counts_since()
{
    pgw_place_charge charge = {};
    uint64_t now = *rc::gen::inRange<uint64_t>(0, 1000000000);
    uint64_t since = now + *rc::gen::inRange<uint64_t>(0, 1500000);
    uint64_t least = 0, most = 0;

    for (int i = 0; i < 50; i++) {
        uint64_t at = now + static_cast<uint64_t>(i) * 30000;

        pgw_place_charge_add(&charge, 10, at);
        least += at >= since ? 10 : 0;
        most += at + PGW_PLACE_CHARGE_SLOT_US >= since ? 10 : 0;
    }
    uint32_t sum = pgw_place_charge_since(&charge, since);
    RC_ASSERT(sum >= least && sum <= most);
    for (int i = 0; i < 50; i++) {
        pgw_place_charge_remove(&charge, 10,
                                now + static_cast<uint64_t>(i) * 30000);
    }
    RC_ASSERT(pgw_place_charge_since(&charge, now) == 0);
}

int
main()
{
    bool ok = rc::check("ranking is the same everywhere",
                        ranking_is_the_same_everywhere);

    ok &= rc::check("children rank inside their parent",
                    children_rank_inside_their_parent);
    ok &= rc::check("leaving moves only its own", leaving_moves_only_its_own);
    ok &= rc::check("leaving moves few nested levels",
                    leaving_moves_few_nested_levels);
    ok &= rc::check("first ranks span zones", first_ranks_span_zones);
    ok &= rc::check("load is bounded", load_is_bounded);
    ok &= rc::check("new prefix goes to one upstream",
                    new_prefix_goes_to_one_upstream);
    ok &= rc::check("old reports do not herd", old_reports_do_not_herd);
    ok &= rc::check("charge counts since", charge_counts_since);
    return ok ? 0 : 1;
}
