#include "gateway/upstream/software_history.h"

#define NOW_US (PGW_SOFTWARE_MIXED_US * 10)
/* The wall clock when the monotonic one shows 0. */
#define WALL_US (UINT64_C(1000000) * PGW_SOFTWARE_MIXED_US)

/*
 * struct fixture - what an entry that started at NOW_US knows of a service
 */
struct fixture {
    struct pgw_upstream_pool pool;
    struct pgw_software_history history;
};

static void
set_up(struct fixture *fixture, const void *data)
{
    (void)data;
    fixture->pool.software = g_hash_table_new(NULL, NULL);
    fixture->pool.since_us = NOW_US;
}

static void
tear_down(struct fixture *fixture, const void *data)
{
    (void)data;
    g_hash_table_destroy(fixture->pool.software);
}

static void
list_version(struct fixture *fixture, const char *version)
{
    fixture->pool.last_software = g_intern_string(version);
    g_hash_table_insert(fixture->pool.software,
                        (void *)g_intern_string(version), GUINT_TO_POINTER(1));
}

static void
set_record(struct fixture *fixture, const char *version, bool settled,
           uint64_t now_us)
{
    const struct pgw_software_record record = {
        .versions = {g_intern_string(version)},
        .count = 1,
        .settled = settled,
    };

    pgw_software_history_set_record(&fixture->history, &record, now_us);
}

static struct pgw_software_time
time_at(uint64_t now_us)
{
    return (struct pgw_software_time){.now_us = now_us,
                                      .wall_us = WALL_US + now_us};
}

static bool
is_single(const struct fixture *fixture, uint64_t now_us)
{
    return pgw_software_history_is_single(&fixture->history, &fixture->pool,
                                          time_at(now_us));
}

static bool
next_record(struct pgw_software_record *out, const struct fixture *fixture,
            uint64_t now_us)
{
    return pgw_software_history_next_record(out, &fixture->history,
                                            &fixture->pool, time_at(now_us));
}

/* The record of a release from v1 to v2: since @alone_us only v2 is listed. */
static void
set_released_record(struct fixture *fixture, uint64_t alone_us)
{
    const struct pgw_software_record record = {
        .versions = {g_intern_string("v1"), g_intern_string("v2")},
        .count = 2,
        .listed_alone = g_intern_string("v2"),
        .alone_since_us = WALL_US + alone_us,
    };

    pgw_software_history_set_record(&fixture->history, &record, NOW_US);
}

/* Guards against a list with one version taken for all that has been. */
static void
test_young_entry(struct fixture *fixture, const void *data)
{
    (void)data;
    list_version(fixture, "v2");
    g_assert_false(is_single(fixture, NOW_US));
    g_assert_false(is_single(fixture, NOW_US + PGW_SOFTWARE_MIXED_US - 1));
    g_assert_true(is_single(fixture, NOW_US + PGW_SOFTWARE_MIXED_US));
}

/* Guards against a record of another version, or of a release, taken for that
 * of a settled service. */
static void
test_record(struct fixture *fixture, const void *data)
{
    (void)data;
    list_version(fixture, "v2");
    set_record(fixture, "v1", true, NOW_US);
    g_assert_false(is_single(fixture, NOW_US));
    set_record(fixture, "v2", false, NOW_US);
    g_assert_false(is_single(fixture, NOW_US));
    set_record(fixture, "v2", true, NOW_US);
    g_assert_true(is_single(fixture, NOW_US));
    list_version(fixture, "v3");
    fixture->pool.mixed_until_us = NOW_US + PGW_SOFTWARE_MIXED_US;
    g_assert_false(is_single(fixture, NOW_US));
}

/* Guards against refusals while a deployment starts for the first time. */
static void
test_first_start(struct fixture *fixture, const void *data)
{
    struct pgw_software_record next;

    (void)data;
    fixture->history.is_first_start = true;
    list_version(fixture, "v1");
    g_assert_true(is_single(fixture, NOW_US));
    pgw_software_history_set_record(&fixture->history, NULL, NOW_US);
    g_assert_true(next_record(&next, fixture, NOW_US));
    g_assert_true(next.settled);
}

/* Guards against a first record that is written long after the first start. */
static void
test_first_start_delay(struct fixture *fixture, const void *data)
{
    struct pgw_software_record next;

    (void)data;
    fixture->history.is_first_start = true;
    list_version(fixture, "v1");
    pgw_software_history_set_record(&fixture->history, NULL, NOW_US);
    g_assert_true(next_record(&next, fixture, NOW_US));
    g_assert_cmpuint(
        pgw_software_history_write_delay_us(&fixture->history, &next, 3), <,
        G_USEC_PER_SEC);
}

/* Guards against a record that nobody settles, as an entry that restarted soon
 * after the first start has written it. */
static void
test_first_start_restarted(struct fixture *fixture, const void *data)
{
    struct pgw_software_record next;

    (void)data;
    list_version(fixture, "v1");
    pgw_software_history_set_record(&fixture->history, NULL, NOW_US);
    g_assert_true(next_record(&next, fixture, NOW_US));
    g_assert_false(next.settled);
    fixture->history.is_first_start = true;
    pgw_software_history_set_record(&fixture->history, &next, NOW_US);
    g_assert_true(next_record(&next, fixture, NOW_US));
    g_assert_true(next.settled);
    set_released_record(fixture, 0);
    list_version(fixture, "v2");
    fixture->pool.mixed_until_us = NOW_US + PGW_SOFTWARE_MIXED_US;
    next_record(&next, fixture, NOW_US);
    g_assert_false(next.settled);
}

/* Guards against refusals of a service without versions, and against one that
 * had versions taken for such a service. */
static void
test_no_versions(struct fixture *fixture, const void *data)
{
    (void)data;
    list_version(fixture, "");
    g_assert_true(is_single(fixture, NOW_US));
    set_record(fixture, "", false, NOW_US);
    g_assert_true(is_single(fixture, NOW_US));
    set_record(fixture, "v1", true, NOW_US);
    g_assert_false(is_single(fixture, NOW_US));
}

/* Guards against a record that an entry writes before it has read it. */
static void
test_unread(struct fixture *fixture, const void *data)
{
    struct pgw_software_record next;

    (void)data;
    list_version(fixture, "v1");
    g_assert_false(next_record(&next, fixture, NOW_US));
}

/* Guards against a release that the record does not show at once. */
static void
test_release(struct fixture *fixture, const void *data)
{
    struct pgw_software_record next;

    (void)data;
    fixture->pool.since_us = 0;
    list_version(fixture, "v2");
    set_record(fixture, "v1", true, 0);
    fixture->pool.mixed_until_us = NOW_US + PGW_SOFTWARE_MIXED_US;
    g_assert_true(next_record(&next, fixture, NOW_US));
    g_assert_cmpuint(next.count, ==, 2);
    g_assert_cmpstr(next.versions[0], ==, "v1");
    g_assert_cmpstr(next.versions[1], ==, "v2");
    g_assert_false(next.settled);
}

/* Guards against an entry with a late list that settles a record which another
 * one has just changed. */
static void
test_settles_late(struct fixture *fixture, const void *data)
{
    struct pgw_software_record next;

    (void)data;
    fixture->pool.since_us = 0;
    list_version(fixture, "v1");
    set_record(fixture, "v1", false, NOW_US);
    g_assert_true(next_record(&next, fixture, NOW_US));
    g_assert_false(next.settled);
    pgw_software_history_set_record(&fixture->history, &next, NOW_US);
    g_assert_false(next_record(&next, fixture, NOW_US));
    g_assert_false(
        next_record(&next, fixture, NOW_US + PGW_SOFTWARE_MIXED_US - 1));
    g_assert_true(next_record(&next, fixture, NOW_US + PGW_SOFTWARE_MIXED_US));
    g_assert_true(next.settled);
    set_record(fixture, "v1", true, NOW_US);
    g_assert_false(
        next_record(&next, fixture, NOW_US + PGW_SOFTWARE_MIXED_US));
}

/* Guards against a young entry that settles a record which a restored store
 * has lost. */
static void
test_record_lost(struct fixture *fixture, const void *data)
{
    struct pgw_software_record next;

    (void)data;
    list_version(fixture, "v2");
    pgw_software_history_set_record(&fixture->history, NULL, NOW_US);
    g_assert_true(next_record(&next, fixture, NOW_US));
    g_assert_false(next.settled);
}

/* Guards against more versions than a record holds. */
static void
test_many(struct fixture *fixture, const void *data)
{
    struct pgw_software_record next;

    (void)data;
    for (unsigned i = 0; i < PGW_SOFTWARE_RECORD_MAX + 1; i++) {
        char version[16];

        g_snprintf(version, sizeof(version), "v%u", i);
        list_version(fixture, version);
    }
    pgw_software_history_set_record(&fixture->history, NULL, NOW_US);
    g_assert_true(next_record(&next, fixture, NOW_US));
    g_assert_cmpuint(next.count, ==, PGW_SOFTWARE_RECORD_MAX);
    g_assert_false(next.settled);
}

/* Guards against refusals long after a release by entries that never live for
 * long. */
static void
test_alone_for_long(struct fixture *fixture, const void *data)
{
    uint64_t long_ago_us =
        NOW_US - PGW_SOFTWARE_MIXED_US - PGW_SOFTWARE_CLOCKS_US;
    struct pgw_software_record next;

    (void)data;
    list_version(fixture, "v2");
    set_released_record(fixture, long_ago_us + 1);
    g_assert_false(is_single(fixture, NOW_US));
    g_assert_false(next_record(&next, fixture, NOW_US));
    set_released_record(fixture, long_ago_us);
    g_assert_true(is_single(fixture, NOW_US));
    g_assert_true(next_record(&next, fixture, NOW_US));
    g_assert_true(next.settled);
    g_assert_cmpuint(next.count, ==, 1);
    g_assert_cmpstr(next.versions[0], ==, "v2");
}

/* Guards against a record that goes on counting for a version which is not
 * listed alone any more. */
static void
test_alone_no_more(struct fixture *fixture, const void *data)
{
    struct pgw_software_record next;

    (void)data;
    list_version(fixture, "v1");
    set_released_record(fixture, 0);
    g_assert_false(is_single(fixture, NOW_US));
    g_assert_true(next_record(&next, fixture, NOW_US));
    g_assert_cmpstr(next.listed_alone, ==, "v1");
    g_assert_cmpuint(next.alone_since_us, ==, WALL_US + NOW_US);
    list_version(fixture, "v2");
    g_assert_false(is_single(fixture, NOW_US));
    g_assert_true(next_record(&next, fixture, NOW_US));
    g_assert_null(next.listed_alone);
    g_assert_false(next.settled);
}

/* Guards against an empty list taken for a change of versions, and against a
 * record that is written again and again for a service without versions. */
static void
test_alone_is_kept(struct fixture *fixture, const void *data)
{
    struct pgw_software_record next;

    (void)data;
    fixture->pool.last_software = g_intern_string("v1");
    set_released_record(fixture, 0);
    g_assert_false(next_record(&next, fixture, NOW_US));
    list_version(fixture, "");
    set_record(fixture, "", false, NOW_US);
    g_assert_true(next_record(&next, fixture, NOW_US));
    pgw_software_history_set_record(&fixture->history, &next, NOW_US);
    g_assert_false(next_record(&next, fixture, NOW_US));
}

static void
add_test(const char *path, void (*run)(struct fixture *, const void *))
{
    g_test_add(path, struct fixture, NULL, set_up, run, tear_down);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    add_test("/software_history/young_entry", test_young_entry);
    add_test("/software_history/record", test_record);
    add_test("/software_history/first_start", test_first_start);
    add_test("/software_history/first_start_delay", test_first_start_delay);
    add_test("/software_history/first_start_restarted",
             test_first_start_restarted);
    add_test("/software_history/no_versions", test_no_versions);
    add_test("/software_history/unread", test_unread);
    add_test("/software_history/release", test_release);
    add_test("/software_history/settles_late", test_settles_late);
    add_test("/software_history/record_lost", test_record_lost);
    add_test("/software_history/many", test_many);
    add_test("/software_history/alone_for_long", test_alone_for_long);
    add_test("/software_history/alone_no_more", test_alone_no_more);
    add_test("/software_history/alone_is_kept", test_alone_is_kept);
    return g_test_run();
}
