#include "parsleygw/member.h"

#define UPSTREAM                                                              \
    "{\"pool\":\"main\",\"zone\":\"z1\",\"address\":\"127.0.0.1:7000\"}"
#define LEAVING                                                               \
    "{\"pool\":\"main\",\"zone\":\"z1\",\"address\":\"127.0.0.1:7000\","      \
    "\"state\":\"leaving\"}"
#define LAG_US 1000

struct fixture {
    struct pgw_config_set *set;
    struct pgw_members *members;
    uint64_t version;
};

static void
declare(struct fixture *fixture, const char *id, const char *value)
{
    struct pgw_config *config;
    GError *error = NULL;

    pgw_config_set_apply(fixture->set, "upstream", id, ++fixture->version,
                         value, NULL, &error);
    g_assert_no_error(error);
    config = pgw_config_build(fixture->set);
    pgw_members_set_config(fixture->members, config);
    pgw_config_unref(config);
}

static void
fixture_init(struct fixture *fixture)
{
    struct pgw_member_options options = {.list_lag_us = LAG_US};

    *fixture = (struct fixture){.set = pgw_config_set_new(),
                                .members = pgw_members_new(&options)};
    g_assert_null(pgw_members_build(fixture->members));
    declare(fixture, "b", UPSTREAM);
    declare(fixture, "a", UPSTREAM);
}

static void
fixture_dispose(struct fixture *fixture)
{
    pgw_members_free(fixture->members);
    pgw_config_set_free(fixture->set);
}

static void
assert_state(struct fixture *fixture, const char *id, const char *expected)
{
    struct pgw_member_view *view = pgw_members_build(fixture->members);
    const struct pgw_member *member = pgw_member_view_find(view, id);

    g_assert_cmpstr(pgw_member_state_name(member == NULL ? PGW_MEMBER_GONE
                                                         : member->state),
                    ==, expected);
    pgw_member_view_unref(view);
}

static void
set_listing(struct fixture *fixture, const char *state, uint64_t now_us)
{
    struct pgw_store_instance instance = {
        .id = (char *)"a", .leaving = g_strcmp0(state, "leaving") == 0};
    struct pgw_store_instances instances = {.instances = &instance, .n = 1};

    if (state == NULL) {
        instances.n = 0;
    }
    pgw_members_set_list(fixture->members, &instances, now_us);
}

static void
test_restart_and_loss(void)
{
    struct fixture fixture;

    fixture_init(&fixture);
    assert_state(&fixture, "a", "usable");
    pgw_members_connected(fixture.members, "a", 1);
    /* A lagging list does not contain the instance yet. */
    set_listing(&fixture, NULL, 10);
    assert_state(&fixture, "a", "usable");
    pgw_members_disconnected(fixture.members, "a", 1, 20);
    assert_state(&fixture, "a", "suspect");
    set_listing(&fixture, NULL, 20 + LAG_US - 1);
    assert_state(&fixture, "a", "suspect");
    set_listing(&fixture, NULL, 20 + LAG_US);
    assert_state(&fixture, "a", "gone");
    pgw_members_connected(fixture.members, "a", 2);
    assert_state(&fixture, "a", "usable");
    /* The end of the first connection is seen late. */
    pgw_members_disconnected(fixture.members, "a", 1, 30);
    assert_state(&fixture, "a", "usable");
    declare(&fixture, "a", NULL);
    assert_state(&fixture, "a", "gone");
    fixture_dispose(&fixture);
}

static void
test_leaving(void)
{
    struct pgw_member_status staying = {.upstream_alive = true};
    struct pgw_member_status leaving = {.leaving = true,
                                        .upstream_alive = true};
    struct pgw_member_status dead = {.upstream_alive = false};
    struct fixture fixture;

    fixture_init(&fixture);
    pgw_members_connected(fixture.members, "a", 1);
    pgw_members_apply_status(fixture.members, "a", 1, &dead);
    assert_state(&fixture, "a", "suspect");
    pgw_members_apply_status(fixture.members, "a", 1, &leaving);
    pgw_members_apply_status(fixture.members, "a", 1, &staying);
    set_listing(&fixture, "live", 10);
    assert_state(&fixture, "a", "leaving");
    pgw_members_connected(fixture.members, "a", 2);
    pgw_members_apply_status(fixture.members, "a", 1, &leaving);
    assert_state(&fixture, "a", "usable");

    /* Leaving according to the list is final for the current incarnation. */
    set_listing(&fixture, "leaving", 20);
    set_listing(&fixture, "live", 30);
    assert_state(&fixture, "a", "leaving");
    set_listing(&fixture, "leaving", 40);
    pgw_members_connected(fixture.members, "a", 3);
    assert_state(&fixture, "a", "leaving");
    set_listing(&fixture, "live", 50);
    assert_state(&fixture, "a", "usable");

    /* An operator's declaration is versioned and can be reverted. */
    declare(&fixture, "a", LEAVING);
    assert_state(&fixture, "a", "leaving");
    declare(&fixture, "a", UPSTREAM);
    assert_state(&fixture, "a", "usable");
    fixture_dispose(&fixture);
}

static void
test_views(void)
{
    struct pgw_member_status status = {
        .upstream_alive = true, .engine = 7, .weights = "w2"};
    struct fixture fixture;
    struct pgw_member_view *first;
    struct pgw_member_view *second;
    const struct pgw_member *members;
    size_t n;

    fixture_init(&fixture);
    first = pgw_members_build(fixture.members);
    set_listing(&fixture, "live", 10);
    second = pgw_members_build(fixture.members);
    g_assert_true(first == second);
    pgw_member_view_unref(second);
    pgw_members_connected(fixture.members, "b", 5);
    pgw_members_apply_status(fixture.members, "b", 5, &status);
    second = pgw_members_build(fixture.members);
    g_assert_cmpuint(pgw_member_view_version(second), ==,
                     pgw_member_view_version(first) + 1);
    members = pgw_member_view_pool(second, "main", &n);
    g_assert_cmpuint(n, ==, 2);
    g_assert_cmpstr(members[0].upstream->id, ==, "a");
    g_assert_cmpstr(members[1].weights, ==, "w2");
    g_assert_cmpuint(members[1].engine, ==, 7);
    g_assert_cmpuint(pgw_member_view_find(first, "b")->engine, ==, 0);
    fixture_dispose(&fixture);
    g_assert_cmpstr(members[1].upstream->id, ==, "b");
    pgw_member_view_unref(first);
    pgw_member_view_unref(second);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/member/restart-and-connection-loss",
                    test_restart_and_loss);
    g_test_add_func("/member/leaving-is-final-for-an-incarnation",
                    test_leaving);
    g_test_add_func("/member/view-changes-with-facts", test_views);
    return g_test_run();
}
