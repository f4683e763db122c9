#include "parsleygw/copies.h"

#define LATER 1000

static struct pgw_fingerprint
name(unsigned number)
{
    struct pgw_fingerprint out;

    pgw_fingerprint_compute(&out, "w", &number, sizeof(number));
    return out;
}

static void
test_gathered_until_proven(void)
{
    struct pgw_copies *copies = pgw_copies_new(8);
    struct pgw_fingerprint one = name(1);
    struct pgw_fingerprint other = name(2);

    g_assert_false(pgw_copies_register(copies, &one, LATER, 0));
    g_assert_false(pgw_copies_register(copies, &other, LATER, 0));
    g_assert_true(pgw_copies_register(copies, &one, LATER, 1));
    pgw_copies_mark_completed(copies, &one);
    g_assert_false(pgw_copies_register(copies, &one, LATER, 2));
    g_assert_true(pgw_copies_register(copies, &other, LATER, 2));
    pgw_copies_mark_crashed(copies, &one);
    g_assert_true(pgw_copies_register(copies, &one, LATER, 3));
    pgw_copies_free(copies);
}

static void
test_deadline_frees(void)
{
    struct pgw_copies *copies = pgw_copies_new(8);
    struct pgw_fingerprint one = name(1);

    g_assert_false(pgw_copies_register(copies, &one, 10, 0));
    g_assert_true(pgw_copies_register(copies, &one, 30, 9));
    g_assert_true(pgw_copies_register(copies, &one, 20, 29));
    g_assert_false(pgw_copies_register(copies, &one, 40, 30));
    pgw_copies_free(copies);
}

static void
test_oldest_is_forgotten(void)
{
    struct pgw_copies *copies = pgw_copies_new(2);
    struct pgw_fingerprint names[] = {name(0), name(1), name(2)};

    pgw_copies_register(copies, &names[0], LATER, 0);
    pgw_copies_register(copies, &names[1], LATER, 0);
    pgw_copies_register(copies, &names[0], LATER, 0);
    pgw_copies_register(copies, &names[2], LATER, 0);
    g_assert_cmpuint(pgw_copies_size(copies), ==, 2);
    g_assert_true(pgw_copies_register(copies, &names[0], LATER, 1));
    g_assert_false(pgw_copies_register(copies, &names[1], LATER, 1));
    pgw_copies_free(copies);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/copies/gathered-until-proven",
                    test_gathered_until_proven);
    g_test_add_func("/copies/deadline-frees", test_deadline_frees);
    g_test_add_func("/copies/oldest-is-forgotten", test_oldest_is_forgotten);
    return g_test_run();
}
