#include "gateway/report_budget.h"
#include <glib.h>

#define SECONDS 60
#define STEP_US UINT64_C(1000)
#define WARM_US UINT64_C(10000000)

/* Bytes a second that go to the own zone when there is always news, after what
 * may come at once at the start. */
static double
near_bytes(unsigned near, unsigned far)
{
    struct pgw_report_budget budget = {0};
    double sent = 0;

    for (uint64_t now = STEP_US; now <= WARM_US + SECONDS * 1000000ULL;
         now += STEP_US) {
        if (pgw_report_budget_allows_report(&budget, far, now)) {
            size_t bytes = (size_t)near * PGW_REPORT_LOAD_BYTES;

            pgw_report_budget_spend(&budget, bytes);
            sent += now > WARM_US ? (double)bytes : 0;
        }
    }
    return sent / SECONDS;
}

static double
far_bytes(unsigned far)
{
    double frames = 1e6 / (double)pgw_report_budget_remote_period_us(far);

    return far == 0 ? 0
                    : frames * far *
                          (PGW_REPORT_LOAD_BYTES +
                           (double)pgw_report_budget_remote_parts_max(far) *
                               PGW_REPORT_PART_BYTES);
}

/* Guards against control traffic that grows with the entries: 16 KB/s is what
 * a sidecar may send. */
static void
test_bound(void)
{
    static const unsigned counts[] = {1, 5, 21, 52, 200, 940};

    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        g_assert_cmpfloat(near_bytes(counts[i], 0), <=, 16384);
        for (size_t j = 0; j < G_N_ELEMENTS(counts); j++) {
            g_assert_cmpfloat(near_bytes(counts[i], counts[j]) +
                                  far_bytes(counts[j]),
                              <=, 16384);
        }
    }
}

/* Guards against a sidecar that has said much at once and then falls silent.
 */
static void
test_refills(void)
{
    struct pgw_report_budget budget = {0};

    g_assert_true(pgw_report_budget_allows_report(&budget, 0, 1));
    pgw_report_budget_spend(&budget, 20000);
    g_assert_false(pgw_report_budget_allows_report(&budget, 0, 1));
    g_assert_true(pgw_report_budget_allows_report(&budget, 0, 1000000));
}

/* Guards against entries that decide alike on old reports, and against a way
 * of placing that changes with each restart of some entries. */
static void
test_reports_of_other_zones(void)
{
    g_assert_true(pgw_report_budget_reaches_remote(4, true));
    g_assert_true(pgw_report_budget_reaches_remote(7, true));
    g_assert_false(pgw_report_budget_reaches_remote(14, true));
    g_assert_false(pgw_report_budget_reaches_remote(7, false));
    g_assert_true(pgw_report_budget_reaches_remote(4, false));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/guard_budget/bound", test_bound);
    g_test_add_func("/guard_budget/refills", test_refills);
    g_test_add_func("/guard_budget/other_zones", test_reports_of_other_zones);
    return g_test_run();
}
