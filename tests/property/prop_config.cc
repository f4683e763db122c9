// Merging of configuration sets: with reordering, loss, duplicates, stale
// peers and a stale store, no version in a set decreases, and all sets
// converge once they can exchange objects.
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "parsleygw/config.h"
#include "parsleygw/watch.h"

namespace {

struct Change {
    std::string name;
    uint64_t version;
    bool deleted;
};

using Set = std::unique_ptr<pgw_config_set, void (*)(pgw_config_set *)>;

Set
new_set()
{
    return Set(pgw_config_set_new(), pgw_config_set_free);
}

// The value contains its version, so that a wrong value is detected.
void
apply(pgw_config_set *set, const Change &change)
{
    std::string value = "{\"share\":" + std::to_string(change.version) + "}";

    RC_ASSERT(pgw_config_set_apply(
        set, PGW_CONFIG_KIND_WORKSPACE, change.name.c_str(), change.version,
        change.deleted ? nullptr : value.c_str(), nullptr, nullptr));
}

// Changes of the store, numbered by its one counter.
std::vector<Change>
generate_history()
{
    auto names = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6))
                      .as("names");
    std::vector<Change> history;
    uint64_t version = 0;

    for (int name : names) {
        version += *rc::gen::inRange(1, 4);
        history.push_back({"w" + std::to_string(name), version,
                           *rc::gen::inRange(0, 4) == 0});
    }
    return history;
}

std::map<std::string, Change>
state_at_version(const std::vector<Change> &history, uint64_t version)
{
    std::map<std::string, Change> state;

    for (const auto &change : history) {
        if (change.version <= version) {
            state[change.name] = change;
        }
    }
    return state;
}

void
apply_object(const char *kind, const char *name, uint64_t version,
             const char *value, void *data)
{
    RC_ASSERT(pgw_config_set_apply(static_cast<pgw_config_set *>(data), kind,
                                   name, version, value, nullptr, nullptr));
}

// Applies a list as the store returned it at @version.
void
apply_list(pgw_config_set *set, const std::vector<Change> &history,
          uint64_t version)
{
    auto *batch = g_new0(struct pgw_watch_batch, 1);
    auto state = state_at_version(history, version);

    batch->kind = PGW_CONFIG_KIND_WORKSPACE;
    batch->is_full_list = true;
    batch->list.objects = g_new0(struct pgw_store_object, state.size() + 1);
    for (const auto &entry : state) {
        batch->list.version =
            std::max(batch->list.version, entry.second.version);
        if (!entry.second.deleted) {
            auto &object = batch->list.objects[batch->list.n++];

            object.name = g_strdup(entry.first.c_str());
            object.version = entry.second.version;
            object.value = g_strdup_printf("{\"share\":%u}",
                                           (unsigned)entry.second.version);
        }
    }
    pgw_watch_batch_apply(batch, set, apply_object, set);
    pgw_watch_batch_free(batch);
}

struct Receiver {
    pgw_config_set *to;
    bool lossy;
};

void
deliver(const char *kind, const char *name, uint64_t version,
         const char *value, void *data)
{
    auto *receiver = static_cast<Receiver *>(data);

    if (!receiver->lossy || *rc::gen::arbitrary<bool>()) {
        apply_object(kind, name, version, value, receiver->to);
    }
}

// One round of anti-entropy for the buckets that differ.
void
exchange(pgw_config_set *from, pgw_config_set *to, bool lossy)
{
    uint64_t theirs[PGW_CONFIG_BUCKETS];
    uint64_t ours[PGW_CONFIG_BUCKETS];
    bool differ[PGW_CONFIG_BUCKETS];
    Receiver receiver = {to, lossy};

    pgw_config_set_digest(from, ours);
    pgw_config_set_digest(to, theirs);
    for (size_t i = 0; i < PGW_CONFIG_BUCKETS; i++) {
        differ[i] = ours[i] != theirs[i];
    }
    GArray *versions = pgw_config_set_versions(to, differ);

    // The strings belong to the receiving set, which changes while objects
    // are applied; copies take the place of the message.
    std::vector<std::string> names;
    std::vector<struct pgw_config_version> lines;
    for (guint i = 0; i < versions->len; i++) {
        auto &line = g_array_index(versions, struct pgw_config_version, i);

        names.emplace_back(line.name);
        lines.push_back(line);
    }
    for (size_t i = 0; i < lines.size(); i++) {
        lines[i].name = names[i].c_str();
    }
    pgw_config_set_diff(from, lines.data(), lines.size(), differ, deliver,
                        &receiver);
    g_array_unref(versions);
}

std::map<std::string, uint64_t>
versions_of(const pgw_config_set *set)
{
    std::map<std::string, uint64_t> out;

    for (int i = 0; i < 6; i++) {
        std::string name = "w" + std::to_string(i);

        out[name] = pgw_config_set_version(set, PGW_CONFIG_KIND_WORKSPACE,
                                           name.c_str());
    }
    return out;
}

void
assert_not_older(const std::map<std::string, uint64_t> &before,
                 const pgw_config_set *set)
{
    for (const auto &entry : versions_of(set)) {
        RC_ASSERT(entry.second >= before.at(entry.first));
    }
}

// A snapshot contains exactly the newest change of each name.
void
assert_is_newest(pgw_config_set *set, const std::vector<Change> &history)
{
    pgw_config *config = pgw_config_build(set);

    for (const auto &entry : state_at_version(history, UINT64_MAX)) {
        auto *workspace = pgw_config_workspace(config, entry.first.c_str());

        RC_ASSERT((workspace == nullptr) == entry.second.deleted);
        if (workspace != nullptr) {
            RC_ASSERT(workspace->version == entry.second.version);
            RC_ASSERT(workspace->share == entry.second.version);
        }
    }
    pgw_config_unref(config);
}

bool
check_merge()
{
    return rc::check("merging is commutative and idempotent", [] {
        auto history = generate_history();
        auto ordered = new_set();
        auto mixed = new_set();
        auto repeated = history;

        for (const auto &change : history) {
            apply(ordered.get(), change);
        }
        repeated.insert(repeated.end(), history.begin(), history.end());
        while (!repeated.empty()) {
            size_t pick = *rc::gen::inRange<size_t>(0, repeated.size());

            apply(mixed.get(), repeated[pick]);
            repeated.erase(repeated.begin() + (long)pick);
        }
        RC_ASSERT(pgw_config_set_summary(ordered.get()) ==
                  pgw_config_set_summary(mixed.get()));
        assert_is_newest(mixed.get(), history);
    });
}

bool
check_replicas()
{
    return rc::check("versions never decrease and replicas converge", [] {
        auto history = generate_history();
        std::vector<Set> sets;
        uint64_t last = history.empty() ? 0 : history.back().version;

        for (int i = 0; i < 4; i++) {
            sets.push_back(new_set());
        }
        int steps = *rc::gen::inRange(0, 30);
        for (int i = 0; i < steps; i++) {
            size_t at = *rc::gen::inRange<size_t>(0, sets.size());
            size_t peer = *rc::gen::inRange<size_t>(0, sets.size());
            auto before = versions_of(sets[at].get());

            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                if (!history.empty()) {
                    apply(sets[at].get(), *rc::gen::elementOf(history));
                }
                break;
            case 1:
                apply_list(sets[at].get(), history,
                          *rc::gen::inRange<uint64_t>(0, last + 1));
                break;
            default:
                exchange(sets[peer].get(), sets[at].get(), true);
                break;
            }
            assert_not_older(before, sets[at].get());
        }
        // One set gets the latest list; then all sets exchange with it.
        apply_list(sets[0].get(), history, last);
        for (auto &from : sets) {
            exchange(from.get(), sets[0].get(), false);
        }
        for (auto &set : sets) {
            exchange(sets[0].get(), set.get(), false);
            RC_ASSERT(pgw_config_set_summary(set.get()) ==
                      pgw_config_set_summary(sets[0].get()));
            assert_is_newest(set.get(), history);
        }
    });
}

} // namespace

int
main()
{
    bool ok = check_merge();

    return check_replicas() && ok ? 0 : 1;
}
