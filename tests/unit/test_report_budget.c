#include "gateway/sidecar/report_budget.h"
#include "libparsleygw/frame.h"
#include "proto/parsleygw.pb-c.h"
#include <glib.h>

#define SECONDS 60
#define STEP_US UINT64_C(1000)
#define WARM_UP_US UINT64_C(10000000)

/* Bytes per second sent to the local zone when a change is always pending,
 * without the initial burst. */
static double
local_bytes_per_s(unsigned local_entries, unsigned remote_entries)
{
    struct pgw_report_budget budget = {0};
    double sent = 0;

    for (uint64_t now = STEP_US; now <= WARM_UP_US + SECONDS * 1000000ULL;
         now += STEP_US) {
        if (pgw_report_budget_allows_report(&budget, remote_entries, now)) {
            size_t bytes = (size_t)local_entries * PGW_REPORT_LOAD_BYTES;

            pgw_report_budget_spend(&budget, bytes);
            sent += now > WARM_UP_US ? (double)bytes : 0;
        }
    }
    return sent / SECONDS;
}

/* Bytes per second sent to entries of other zones. */
static double
remote_bytes_per_s(unsigned remote_entries)
{
    double reports =
        1e6 / (double)pgw_report_budget_remote_period_us(remote_entries);

    return remote_entries == 0
               ? 0
               : reports * remote_entries *
                     (PGW_REPORT_LOAD_BYTES +
                      (double)pgw_report_budget_remote_parts_max(
                          remote_entries) *
                          PGW_REPORT_PART_BYTES);
}

/* Control traffic that grows with the number of entries would exceed the 16
 * KB/s that a sidecar may send. */
static void
test_bandwidth_limit(void)
{
    static const unsigned counts[] = {1, 5, 21, 52, 200, 940};

    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        g_assert_cmpfloat(local_bytes_per_s(counts[i], 0), <=, 16384);
        for (size_t j = 0; j < G_N_ELEMENTS(counts); j++) {
            g_assert_cmpfloat(local_bytes_per_s(counts[i], counts[j]) +
                                  remote_bytes_per_s(counts[j]),
                              <=, 16384);
        }
    }
}

/* A sidecar must send reports again some time after a burst has exhausted its
 * budget. */
static void
test_refills(void)
{
    struct pgw_report_budget budget = {0};

    g_assert_true(pgw_report_budget_allows_report(&budget, 0, 1));
    pgw_report_budget_spend(&budget, 20000);
    g_assert_false(pgw_report_budget_allows_report(&budget, 0, 1));
    g_assert_true(pgw_report_budget_allows_report(&budget, 0, 1000000));
}

/* Reports to other zones stop where they would be so old that all entries
 * choose the same engine. With hysteresis, so that restarts of a few entries
 * do not switch them on and off. */
static void
test_remote_hysteresis(void)
{
    g_assert_true(pgw_report_budget_reaches_remote(4, true));
    g_assert_true(pgw_report_budget_reaches_remote(7, true));
    g_assert_false(pgw_report_budget_reaches_remote(14, true));
    g_assert_false(pgw_report_budget_reaches_remote(7, false));
    g_assert_true(pgw_report_budget_reaches_remote(4, false));
}

/* Guards against reports that are larger than what the budget counts. */
static void
test_report_size(void)
{
    Pgw__EngineState state = {
        .base = PROTOBUF_C_MESSAGE_INIT(&pgw__engine_state__descriptor),
        .address = (char *)"",
        .alive = true,
        .running = 500,
        .waiting = 500,
        .long_prefills = 100,
        .entries = 500,
        .unread = 10000000,
        .kv_used = 10000000,
        .kv_total = 10000000,
        .prefill_per_s = 1000000,
    };

    g_assert_cmpuint(pgw__engine_state__get_packed_size(&state) +
                         PGW_FRAME_HEADER_SIZE,
                     <=, PGW_REPORT_LOAD_BYTES);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/report_budget/bandwidth_limit", test_bandwidth_limit);
    g_test_add_func("/report_budget/refills", test_refills);
    g_test_add_func("/report_budget/remote_hysteresis",
                    test_remote_hysteresis);
    g_test_add_func("/report_budget/report_size", test_report_size);
    return g_test_run();
}
