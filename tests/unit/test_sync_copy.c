/* Order and timing of full copies, tested without real links. */
#include "libparsleygw/sync_copy.h"

#define NOW UINT64_C(5000000)

static char links[3];

/* Each queued link gets one copy, in order, while little data is pending. */
static void
test_order(void)
{
    struct pgw_sync_copy copy = PGW_SYNC_COPY_INIT;

    pgw_sync_copy_enqueue(&copy, &links[0]);
    pgw_sync_copy_enqueue(&copy, &links[1]);
    pgw_sync_copy_enqueue(&copy, &links[0]);
    pgw_sync_copy_enqueue(&copy, &links[2]);
    pgw_sync_copy_remove(&copy, &links[1]);
    g_assert_true(pgw_sync_copy_next(&copy, 0, NOW) == &links[0]);
    g_assert_true(pgw_sync_copy_next(&copy, 0, NOW) == &links[2]);
    g_assert_null(pgw_sync_copy_next(&copy, 0, NOW));
    g_assert_null(copy.current);
}

/* The next link waits while much data is pending on the current one, until
 * that one times out or closes. */
static void
test_waits(void)
{
    struct pgw_sync_copy copy = PGW_SYNC_COPY_INIT;

    for (unsigned i = 0; i < 3; i++) {
        pgw_sync_copy_enqueue(&copy, &links[i]);
    }
    g_assert_true(pgw_sync_copy_next(&copy, 0, NOW) == &links[0]);
    g_assert_null(
        pgw_sync_copy_next(&copy, PGW_SYNC_COPY_MAX_PENDING_BYTES, NOW + 1));
    g_assert_true(copy.current == &links[0]);
    g_assert_true(pgw_sync_copy_next(&copy, PGW_SYNC_COPY_MAX_PENDING_BYTES,
                                     NOW + PGW_SYNC_COPY_TIMEOUT_US) ==
                  &links[1]);
    g_assert_null(pgw_sync_copy_next(&copy, PGW_SYNC_COPY_MAX_PENDING_BYTES,
                                     NOW + PGW_SYNC_COPY_TIMEOUT_US));
    pgw_sync_copy_remove(&copy, &links[1]);
    g_assert_true(pgw_sync_copy_next(&copy, 0, NOW) == &links[2]);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sync-copy/sent-once-in-order", test_order);
    g_test_add_func("/sync-copy/waits-for-current-link", test_waits);
    return g_test_run();
}
