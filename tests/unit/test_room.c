#include "gateway/share/room.h"
#include <glib.h>
#include <math.h>

#define NOW_US 5000000ULL

/* Failure: the rate of arrivals is taken for that of the engines, or a rate is
 * believed before it was observed or after engines were lost. */
static void
test_rate(void)
{
    struct pgw_room room = {0};

    pgw_room_add(&room, 100, NOW_US);
    g_assert_cmpfloat(pgw_room_per_s(&room, NOW_US + 1000000), ==, 0);
    pgw_room_begin(&room, NOW_US);
    for (uint64_t at = NOW_US; at < NOW_US + 3000000; at += 10000) {
        pgw_room_begin(&room, at);
        pgw_room_add(&room, at < NOW_US + 2000000 ? 100 : 50, at);
        if (at == NOW_US + 100000) {
            g_assert_cmpfloat(pgw_room_per_s(&room, at), ==, 0);
        }
        if (at == NOW_US + 1990000) {
            g_assert_cmpfloat(fabs(pgw_room_per_s(&room, at) - 10000), <, 300);
        }
    }
    g_assert_cmpfloat(fabs(pgw_room_per_s(&room, NOW_US + 3000000) - 5000), <,
                      300);
    g_assert_cmpfloat(pgw_room_per_s(&room, NOW_US + 9000000), ==, 0);
    pgw_room_add(&room, 100, NOW_US + 9000000);
    g_assert_cmpfloat(pgw_room_per_s(&room, NOW_US + 9000000), <=, 112);
    pgw_room_end(&room);
    g_assert_cmpfloat(pgw_room_per_s(&room, NOW_US + 9000000), ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/room/rate", test_rate);
    return g_test_run();
}
