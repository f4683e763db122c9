#include <parsleygw/level.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstring>
#include <string>
#include <vector>

static const pgw_level_salt kSalt = { "labels", "rulebook-7b", "", "w1" };

static pgw_level_chain
chain_of(const std::string &prompt, const std::vector<uint32_t> &ends,
         const pgw_level_salt &salt = kSalt)
{
    pgw_level_chain chain;

    RC_ASSERT(pgw_level_chain_init(&chain, &salt, prompt.data(),
                                   prompt.size(), ends.data(), ends.size(),
                                   4));
    return chain;
}

static bool
is_same_level(const pgw_level &a, const pgw_level &b)
{
    return a.hash_high == b.hash_high && a.hash_low == b.hash_low;
}

static std::string
filler_text(char first, size_t len)
{
    std::string out(len, first);

    for (size_t i = 0; i < len; i++) {
        out[i] = static_cast<char>(first + i % 23);
    }
    return out;
}

/* Two prompts have a level in common exactly if they share its prefix. */
static void
levels_match_shared_prefixes()
{
    size_t parts = *rc::gen::inRange<size_t>(1, 7);
    size_t shared = *rc::gen::inRange<size_t>(0, parts + 1);
    std::string a, b;
    std::vector<uint32_t> ends_a, ends_b;

    for (size_t i = 0; i < parts; i++) {
        size_t len = *rc::gen::inRange<size_t>(64, 2000);

        a += filler_text(static_cast<char>('a' + i), len);
        b += i < shared ? filler_text(static_cast<char>('a' + i), len)
                        : filler_text(static_cast<char>('A' + i), len + i);
        ends_a.push_back(static_cast<uint32_t>(a.size()));
        ends_b.push_back(static_cast<uint32_t>(b.size()));
    }
    a += "question a";
    b += "another b";
    auto left = chain_of(a, ends_a);
    auto right = chain_of(b, ends_b);
    RC_ASSERT(left.count == parts + 1);
    for (size_t i = 0; i < left.count; i++) {
        RC_ASSERT(is_same_level(left.levels[i], right.levels[i]) ==
                  (i < shared));
        RC_ASSERT(left.levels[i].end_tokens == left.levels[i].end_bytes / 4);
    }
}

/* With a difference in any field of the salt, or a character moved from one
 * field to another, no level is common. */
static void
different_salts_share_no_level()
{
    auto word = rc::gen::nonEmpty(
        rc::gen::container<std::string>(rc::gen::inRange('a', 'd')));
    std::vector<std::string> a = { *word, *word, *word, *word };
    std::vector<std::string> b = { *word, *word, *word, *word };
    std::string prompt = filler_text('p', *rc::gen::inRange<size_t>(1, 5000));
    char salt_a[PGW_LEVEL_CACHE_SALT_SIZE], salt_b[PGW_LEVEL_CACHE_SALT_SIZE];
    pgw_level_salt left = { a[0].c_str(), a[1].c_str(), a[2].c_str(),
                            a[3].c_str() };
    pgw_level_salt right = { b[0].c_str(), b[1].c_str(), b[2].c_str(),
                             b[3].c_str() };
    auto left_chain = chain_of(prompt, {}, left);
    auto right_chain = chain_of(prompt, {}, right);

    RC_ASSERT(pgw_level_cache_salt(salt_a, &left));
    RC_ASSERT(pgw_level_cache_salt(salt_b, &right));
    RC_ASSERT((strcmp(salt_a, salt_b) == 0) == (a == b));
    for (size_t i = 0; i < left_chain.count; i++) {
        RC_ASSERT(is_same_level(left_chain.levels[i], right_chain.levels[i]) ==
                  (a == b));
    }
}

/* Two unmarked prompts share a level that covers more than half of their
 * common prefix, if that has at least 256 tokens, up to the largest boundary.
 */
static void
unmarked_prompts_share_levels()
{
    size_t shared = *rc::gen::inRange<size_t>(256 * 4, 30000 * 4);
    std::string prefix = filler_text('s', shared);
    auto a = chain_of(prefix + filler_text('a', 3000), {});
    auto b = chain_of(prefix + filler_text('B', 4000), {});
    size_t deepest = 0;

    for (size_t i = 0; i < std::min(a.count, b.count); i++) {
        if (is_same_level(a.levels[i], b.levels[i])) {
            deepest = a.levels[i].end_bytes;
        }
    }
    RC_ASSERT(deepest <= shared);
    RC_ASSERT(2 * deepest > std::min<size_t>(shared, 16384 * 4));
}

/* Each boundary is directly after a marker. If there are too many, the first
 * half and the last half are kept. */
static void
markers_are_found()
{
    size_t n = *rc::gen::inRange<size_t>(0, 40);
    size_t max = *rc::gen::inRange<size_t>(1, 9);
    std::string prompt;
    std::vector<uint32_t> expected, found(max);

    for (size_t i = 0; i < n; i++) {
        prompt +=
            filler_text('x', *rc::gen::inRange<size_t>(0, 300)) + "\n---\n";
        expected.push_back(static_cast<uint32_t>(prompt.size()));
    }
    prompt += "tail";
    found.resize(pgw_level_boundaries(found.data(), max, prompt.data(),
                                      prompt.size(), "\n---\n"));
    expected.resize(
        pgw_level_boundaries_merge(expected.data(), expected.size(), max));
    RC_ASSERT(found == expected);
}

int
main()
{
    bool ok = rc::check("levels match exactly the shared prefixes",
                        levels_match_shared_prefixes);

    ok &= rc::check("different salts share no level",
                    different_salts_share_no_level);
    ok &= rc::check("unmarked prompts share levels",
                    unmarked_prompts_share_levels);
    ok &= rc::check("markers are found", markers_are_found);
    return ok ? 0 : 1;
}
