#include "util/decimal.h"
#include <glib.h>

/* Guards against numbers that are taken from a part of a text. */
static void
test_parse(void)
{
    static const char *const invalid[] = {
        "",    "0",   "0.0", "-3",    "x",  "7x", "inf",
        "0x1", "1e3", ".",   "1.2.3", " 1", "1 ", "10.01",
    };
    double value;

    g_assert_true(pgw_decimal_parse(&value, "7.4", 10));
    g_assert_cmpfloat_with_epsilon(value, 7.4, 1e-9);
    g_assert_true(pgw_decimal_parse(&value, "10", 10));
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        g_assert_false(pgw_decimal_parse(&value, invalid[i], 10));
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/decimal/parse", test_parse);
    return g_test_run();
}
