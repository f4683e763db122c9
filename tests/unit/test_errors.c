#include "parsleygw/errors.h"

static void
test_names(void)
{
    g_assert_cmpstr(pgw_error_name(PGW_ERROR_STALE), ==, "stale");
    g_assert_cmpstr(pgw_error_name(-1), ==, "unknown");
    g_assert_cmpstr(pgw_error_name(PGW_ERROR_IO + 1), ==, "unknown");
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/errors/names", test_names);
    return g_test_run();
}
