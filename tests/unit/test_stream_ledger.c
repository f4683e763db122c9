#include "gateway/request/stream_ledger.h"
#include <glib.h>

#define SECOND 1000000ULL

static void
count_record(uint64_t id, const char *software, void *context)
{
    (void)id;
    (void)software;
    ++*(unsigned *)context;
}

static void
test_keeps_the_last_version(void)
{
    struct pgw_stream_ledger *ledger = pgw_stream_ledger_new(10 * SECOND, 8);
    const char *software = NULL;

    g_assert_true(pgw_stream_ledger_is_empty(ledger, SECOND));
    pgw_stream_ledger_put(ledger, 1, "v1", SECOND);
    pgw_stream_ledger_put(ledger, 1, "v2", 2 * SECOND);
    g_assert_true(pgw_stream_ledger_find(&software, ledger, 1, 3 * SECOND));
    g_assert_cmpstr(software, ==, "v2");
    g_assert_false(pgw_stream_ledger_find(&software, ledger, 2, 3 * SECOND));
    pgw_stream_ledger_free(ledger);
}

static void
test_records_expire(void)
{
    struct pgw_stream_ledger *ledger = pgw_stream_ledger_new(10 * SECOND, 8);
    const char *software = NULL;
    unsigned count = 0;

    pgw_stream_ledger_put(ledger, 1, "v1", SECOND);
    pgw_stream_ledger_put(ledger, 2, "v1", 5 * SECOND);
    g_assert_false(pgw_stream_ledger_find(&software, ledger, 1, 11 * SECOND));
    g_assert_false(pgw_stream_ledger_is_empty(ledger, 11 * SECOND));
    pgw_stream_ledger_foreach(ledger, 11 * SECOND, count_record, &count);
    g_assert_cmpuint(count, ==, 1);
    g_assert_true(pgw_stream_ledger_is_empty(ledger, 15 * SECOND));
    pgw_stream_ledger_free(ledger);
}

/* Guards against memory without a bound: the oldest records make room. */
static void
test_records_are_bounded(void)
{
    struct pgw_stream_ledger *ledger = pgw_stream_ledger_new(10 * SECOND, 3);
    const char *software = NULL;
    unsigned count = 0;

    for (uint64_t id = 1; id <= 5; id++) {
        pgw_stream_ledger_put(ledger, id, "v1", SECOND + id);
    }
    pgw_stream_ledger_foreach(ledger, 2 * SECOND, count_record, &count);
    g_assert_cmpuint(count, ==, 3);
    g_assert_false(pgw_stream_ledger_find(&software, ledger, 2, 2 * SECOND));
    g_assert_true(pgw_stream_ledger_find(&software, ledger, 3, 2 * SECOND));
    pgw_stream_ledger_free(ledger);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/stream_ledger/keeps_the_last_version",
                    test_keeps_the_last_version);
    g_test_add_func("/stream_ledger/records_expire", test_records_expire);
    g_test_add_func("/stream_ledger/records_are_bounded",
                    test_records_are_bounded);
    return g_test_run();
}
