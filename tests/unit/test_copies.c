#include "parsleygw/copies.h"

#define DEADLINE_US 1000

static struct pgw_fingerprint
fingerprint_of(unsigned number)
{
    struct pgw_fingerprint fingerprint;

    pgw_fingerprint_compute(&fingerprint, "w", &number, sizeof(number));
    return fingerprint;
}

static void
test_copies_run_here_until_completed(void)
{
    struct pgw_copies *copies = pgw_copies_new(8);
    struct pgw_fingerprint first = fingerprint_of(1);
    struct pgw_fingerprint second = fingerprint_of(2);

    g_assert_false(pgw_copies_register(copies, &first, DEADLINE_US, 0));
    g_assert_false(pgw_copies_register(copies, &second, DEADLINE_US, 0));
    g_assert_true(pgw_copies_register(copies, &first, DEADLINE_US, 1));
    pgw_copies_mark_completed(copies, &first);
    g_assert_false(pgw_copies_register(copies, &first, DEADLINE_US, 2));
    g_assert_true(pgw_copies_register(copies, &second, DEADLINE_US, 2));
    pgw_copies_mark_crashed(copies, &first);
    g_assert_true(pgw_copies_register(copies, &first, DEADLINE_US, 3));
    pgw_copies_free(copies);
}

static void
test_copies_run_anywhere_after_deadline(void)
{
    struct pgw_copies *copies = pgw_copies_new(8);
    struct pgw_fingerprint first = fingerprint_of(1);

    g_assert_false(pgw_copies_register(copies, &first, 10, 0));
    g_assert_true(pgw_copies_register(copies, &first, 30, 9));
    g_assert_true(pgw_copies_register(copies, &first, 20, 29));
    g_assert_false(pgw_copies_register(copies, &first, 40, 30));
    pgw_copies_free(copies);
}

static void
test_least_recently_registered_is_removed(void)
{
    struct pgw_copies *copies = pgw_copies_new(2);
    struct pgw_fingerprint fingerprints[] = {
        fingerprint_of(0), fingerprint_of(1), fingerprint_of(2)};

    pgw_copies_register(copies, &fingerprints[0], DEADLINE_US, 0);
    pgw_copies_register(copies, &fingerprints[1], DEADLINE_US, 0);
    pgw_copies_register(copies, &fingerprints[0], DEADLINE_US, 0);
    pgw_copies_register(copies, &fingerprints[2], DEADLINE_US, 0);
    g_assert_cmpuint(pgw_copies_size(copies), ==, 2);
    g_assert_true(
        pgw_copies_register(copies, &fingerprints[0], DEADLINE_US, 1));
    g_assert_false(
        pgw_copies_register(copies, &fingerprints[1], DEADLINE_US, 1));
    pgw_copies_free(copies);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/copies/run-here-until-completed",
                    test_copies_run_here_until_completed);
    g_test_add_func("/copies/run-anywhere-after-deadline",
                    test_copies_run_anywhere_after_deadline);
    g_test_add_func("/copies/least-recently-registered-is-removed",
                    test_least_recently_registered_is_removed);
    return g_test_run();
}
