// Membership under any order of lists, statuses, connections and restarts.
#include <rapidcheck.h>

#include <memory>

#include "parsleygw/member.h"

namespace {

constexpr uint64_t lag_us = 100;

// Reference model of one upstream.
struct Model {
    uint64_t incarnation = 0;
    bool connected = false;
    bool status_leaving = false; // in any status of this incarnation
    // The listing changed to leaving during this incarnation.
    bool list_changed_to_leaving = false;
    bool listed_leaving = false;
};

struct Fixture {
    pgw_config_set *set = pgw_config_set_new();
    pgw_members *members;
    uint64_t now = 1;

    Fixture()
    {
        struct pgw_member_options options = PGW_MEMBER_OPTIONS_INIT;

        options.list_lag_us = lag_us;
        members = pgw_members_new(&options);
        pgw_config_set_apply(set, "upstream", "a", 1,
                             "{\"pool\":\"m\",\"zone\":\"z\",\"address\":"
                             "\"127.0.0.1:7000\"}",
                             nullptr, nullptr);
        pgw_config *config = pgw_config_build(set);
        pgw_members_set_config(members, config);
        pgw_config_unref(config);
    }

    ~Fixture()
    {
        pgw_members_free(members);
        pgw_config_set_free(set);
    }

    pgw_member_state state()
    {
        pgw_member_view *view = pgw_members_build(members);
        pgw_member_state state = pgw_member_view_find(view, "a")->state;

        pgw_member_view_unref(view);
        return state;
    }
};

void
apply_list(Fixture &fixture, Model &model)
{
    char id[] = "a";
    bool listed = *rc::gen::arbitrary<bool>();
    struct pgw_store_instance instance = {id, nullptr,
                                          *rc::gen::arbitrary<bool>()};
    struct pgw_store_instances list = {&instance, listed ? 1u : 0u};
    bool leaving = listed && instance.leaving;

    pgw_members_set_list(fixture.members, &list, fixture.now);
    model.list_changed_to_leaving |= leaving && !model.listed_leaving;
    model.listed_leaving = leaving;
}

void
apply_status(Fixture &fixture, Model &model)
{
    struct pgw_member_status status = {};
    // The status of an older or unknown incarnation must be ignored.
    uint64_t incarnation =
        *rc::gen::inRange<uint64_t>(1, model.incarnation + 3);

    status.leaving = *rc::gen::inRange(0, 3) == 0;
    status.upstream_alive = *rc::gen::arbitrary<bool>();
    pgw_members_apply_status(fixture.members, "a", incarnation, &status);
    if (incarnation == model.incarnation) {
        model.status_leaving |= status.leaving;
    }
}

void
step(Fixture &fixture, Model &model)
{
    fixture.now += *rc::gen::inRange<uint64_t>(1, 2 * lag_us);
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        apply_list(fixture, model);
        break;
    case 1:
        apply_status(fixture, model);
        break;
    case 2: // a new incarnation connects
        model.incarnation++;
        model.status_leaving = false;
        model.list_changed_to_leaving = false;
        model.connected = true;
        pgw_members_connected(fixture.members, "a", model.incarnation);
        break;
    case 3: // the same incarnation reconnects
        if (model.incarnation > 0) {
            model.connected = true;
            pgw_members_connected(fixture.members, "a", model.incarnation);
        }
        break;
    default: // a connection ends, perhaps of an older incarnation
        uint64_t incarnation =
            *rc::gen::inRange<uint64_t>(1, model.incarnation + 1);
        pgw_members_disconnected(fixture.members, "a", incarnation,
                                 fixture.now);
        if (incarnation == model.incarnation) {
            model.connected = false;
        }
        break;
    }
}

bool
check_leaving_is_sticky()
{
    return rc::check("leaving is final for an incarnation", [] {
        Fixture fixture;
        Model model;
        int steps = *rc::gen::inRange(0, 60);

        for (int i = 0; i < steps; i++) {
            step(fixture, model);
            pgw_member_state state = fixture.state();

            if (model.status_leaving || model.list_changed_to_leaving ||
                model.listed_leaving) {
                RC_ASSERT(state == PGW_MEMBER_LEAVING ||
                          state == PGW_MEMBER_GONE);
            }
            else {
                RC_ASSERT(state != PGW_MEMBER_LEAVING);
            }
            if (model.connected) {
                RC_ASSERT(state != PGW_MEMBER_GONE);
            }
            else if (model.incarnation > 0) {
                RC_ASSERT(state != PGW_MEMBER_USABLE);
            }
        }
    });
}

bool
check_view_version()
{
    return rc::check("a view's version grows exactly with a change", [] {
        Fixture fixture;
        Model model;
        pgw_member_state last = fixture.state();
        uint64_t version = 1;
        int steps = *rc::gen::inRange(0, 30);

        for (int i = 0; i < steps; i++) {
            step(fixture, model);
            pgw_member_view *view = pgw_members_build(fixture.members);
            pgw_member_state state = pgw_member_view_find(view, "a")->state;
            uint64_t next = pgw_member_view_version(view);

            pgw_member_view_unref(view);
            RC_ASSERT(next == version || next == version + 1);
            RC_ASSERT(next > version || state == last);
            version = next;
            last = state;
        }
    });
}

} // namespace

int
main()
{
    bool ok = check_leaving_is_sticky();

    return check_view_version() && ok ? 0 : 1;
}
