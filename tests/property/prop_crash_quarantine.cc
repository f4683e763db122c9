// Entries that tell each other of crashes and of good ends come to rest, in
// whatever order the words arrive: each tells a crash once, and a good end only
// where a crash counted. Seed 510 of the soak: two entries told each other the
// same crash and the same good end some 200,000 times a second.
#include "prop_support.h"
extern "C" {
#include "gateway/crash_quarantine.h"
}
#include <deque>

namespace {

constexpr unsigned entries = 4;
constexpr unsigned upstreams = 5;
constexpr uint64_t step_us = 100000;

struct fleet;

struct entry {
    fleet *all;
    unsigned index;
    pgw_crash_quarantine *poison;
};

// Words on their way: to whom, and what.
struct word {
    unsigned to;
    pgw_crashed_run crashed;
};

struct fleet {
    entry list[entries];
    std::deque<word> words;
    uint64_t told = 0;
};

void
on_crashed(const pgw_crashed_run *crashed, size_t count, void *context)
{
    entry *from = static_cast<entry *>(context);

    for (size_t i = 0; i < count; i++) {
        for (unsigned to = 0; to < entries; to++) {
            if (to != from->index) {
                from->all->words.push_back({to, crashed[i]});
                from->all->told++;
            }
        }
    }
}

void
deliver(fleet *all, size_t which, uint64_t now)
{
    word next = all->words[which];

    all->words.erase(all->words.begin() + (long)which);
    pgw_crash_quarantine_merge(all->list[next.to].poison, &next.crashed, 1, now);
}

void
act(fleet *all, uint32_t number, uint64_t now)
{
    entry *at = &all->list[number % entries];
    pgw_fingerprint fingerprint = {{(uint8_t)(number / 4 % 2)}};
    char name[] = {(char)('a' + number / 8 % upstreams), 0};

    switch (number / 64 % 4) {
    case 0:
        pgw_crash_quarantine_add_interrupted(at->poison, &fingerprint, name, now);
        break;
    case 1:
        pgw_crash_quarantine_add_crash(at->poison, name, now);
        break;
    case 2:
        pgw_crash_quarantine_clear(at->poison, &fingerprint);
        break;
    default:
        if (!all->words.empty()) {
            deliver(all, number % all->words.size(), now);
        }
    }
}

} // namespace

int
main()
{
    bool good = rc::check("words come to rest", [] {
        pgw_crash_quarantine_options options = PGW_CRASH_QUARANTINE_OPTIONS_INIT;
        // A crash and a good end of each upstream and request, at each entry,
        // told to each other one.
        uint64_t most = 2 * 2 * upstreams * entries * (entries - 1);
        uint64_t now = 20000000;
        fleet all;

        for (unsigned i = 0; i < entries; i++) {
            all.list[i] = {&all, i, pgw_crash_quarantine_new(&options)};
            pgw_crash_quarantine_subscribe(all.list[i].poison, on_crashed, &all.list[i]);
        }
        for (uint32_t number : random_script(300)) {
            act(&all, number, now);
            now += number % 3 == 0 ? step_us : 0;
        }
        while (!all.words.empty() && all.told <= most) {
            deliver(&all, all.told % all.words.size(), now);
        }
        RC_ASSERT(all.told <= most);
        for (entry &each : all.list) {
            pgw_crash_quarantine_free(each.poison);
        }
    });
    return good ? 0 : 1;
}
