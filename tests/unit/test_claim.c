#include "parsleygw/claim.h"
#include "parsleygw/errors.h"

#include <string.h>

#define NOW (UINT64_C(1700000000) * G_USEC_PER_SEC)
/* Created at NOW. */
#define KEY "018bcfe5-6800-7abc-8def-0123456789ab"

static struct pgw_claim_shard *
shard_new(uint64_t window_us)
{
    struct pgw_claim_options options = PGW_CLAIM_OPTIONS_INIT;

    options.owner = 1;
    options.window_us = window_us;
    options.body_max = 8;
    return pgw_claim_shard_new(&options);
}

static enum pgw_claim_action
begin(struct pgw_claim_decision *out, struct pgw_claim_shard *shard,
      const char *key, uint64_t ticket, uint64_t now_us)
{
    struct pgw_claim_request request = {
        .workspace = "parish",
        .key = key,
        .attempt = (uint32_t)ticket,
        .ticket = ticket,
        .deadline_us = now_us + G_USEC_PER_SEC,
    };

    pgw_claim_begin(out, shard, &request, now_us);
    return out->action;
}

static void
end_io(struct pgw_claim_shard *shard, enum pgw_io_result result,
       uint64_t version, uint64_t now_us)
{
    struct pgw_io_reply reply = {.result = result, .version = version};
    struct pgw_io io;

    g_assert_true(pgw_claim_next_io(&io, shard, now_us));
    pgw_io_dispose(&io);
    pgw_claim_io_done(shard, &reply, now_us);
}

static void
finish(struct pgw_claim_shard *shard, uint64_t ticket, const char *text)
{
    struct pgw_claim_answer answer = {.status = 200};

    answer.body = g_bytes_new_static(text, strlen(text));
    g_assert_true(pgw_claim_finish(shard, ticket, &answer, NOW));
    g_bytes_unref(answer.body);
}

static void
test_locate(void)
{
    struct pgw_claim_layout layout = PGW_CLAIM_LAYOUT_INIT;
    struct pgw_claim_location location;
    GError *error = NULL;

    layout.service = "label.print";
    g_assert_true(
        pgw_claim_locate(&location, &layout, "parish", KEY, NOW, NULL));
    g_assert_cmpuint(location.created_us, ==, NOW);
    g_assert_false(location.expired);
    g_assert_true(g_str_has_suffix(location.name, ".170000000"));
    g_assert_false(
        pgw_claim_object_is_expired(&layout, location.name, 0, NOW));
    g_assert_true(pgw_claim_object_is_expired(&layout, location.name, 0,
                                              NOW + layout.retention_us +
                                                  layout.period_us + 1));
    g_assert_true(pgw_claim_locate(&location, &layout, "parish", KEY,
                                   NOW + layout.retention_us + 1, NULL));
    g_assert_true(location.expired);
    g_assert_true(
        pgw_claim_locate(&location, &layout, "parish", "order-7", NOW, NULL));
    g_assert_false(pgw_claim_object_is_expired(&layout, location.name, 0,
                                               G_MAXUINT64 / 2));
    g_assert_false(pgw_claim_locate(&location, &layout, "parish", KEY,
                                    NOW - 2 * layout.skew_us, &error));
    g_assert_error(error, PGW_ERROR, PGW_ERROR_INVALID);
    g_clear_error(&error);
    g_assert_false(
        pgw_claim_locate(&location, &layout, "parish", "a b", NOW, NULL));
}

static void
test_store_down(void)
{
    struct pgw_claim_shard *shard = shard_new(0);
    struct pgw_claim_decision out;

    g_assert_cmpint(begin(&out, shard, KEY, 1, NOW), ==, PGW_CLAIM_PENDING);
    end_io(shard, PGW_IO_UNAVAILABLE, 0, NOW);
    g_assert_true(pgw_claim_next_decision(&out, shard));
    g_assert_cmpint(out.refusal, ==, PGW_REFUSAL_STORE_DOWN);
    g_assert_cmpint(out.ran, ==, PGW_RAN_NO);
    g_assert_cmpuint(out.retry_after_ms, >, 0);
    g_assert_cmpint(begin(&out, shard, KEY, 2, NOW), ==, PGW_CLAIM_REFUSE);
    g_assert_cmpint(out.refusal, ==, PGW_REFUSAL_STORE_DOWN);
    pgw_claim_shard_free(shard);
}

static void
test_window_covers_store_outage(void)
{
    struct pgw_claim_shard *shard = shard_new(60 * G_USEC_PER_SEC);
    struct pgw_claim_decision out;

    end_io(shard, PGW_IO_OK, 1, NOW);
    g_assert_cmpint(begin(&out, shard, KEY, 1, NOW), ==, PGW_CLAIM_PENDING);
    end_io(shard, PGW_IO_UNAVAILABLE, 0, NOW);
    g_assert_true(pgw_claim_next_decision(&out, shard));
    g_assert_cmpint(out.action, ==, PGW_CLAIM_RUN);
    finish(shard, 1, "done");
    g_assert_cmpint(begin(&out, shard, KEY, 2, NOW), ==, PGW_CLAIM_REPLAY);
    pgw_claim_decision_dispose(&out);
    g_assert_cmpint(begin(&out, shard, "order-7", 3, NOW), ==,
                    PGW_CLAIM_REFUSE);
    pgw_claim_shard_free(shard);
}

static void
test_large_answer(void)
{
    struct pgw_claim_shard *shard = shard_new(0);
    struct pgw_claim_decision out;

    begin(&out, shard, KEY, 1, NOW);
    end_io(shard, PGW_IO_OK, 1, NOW);
    g_assert_true(pgw_claim_next_decision(&out, shard));
    finish(shard, 1, "more than eight");
    g_assert_cmpint(begin(&out, shard, KEY, 2, NOW), ==, PGW_CLAIM_REFUSE);
    g_assert_cmpint(out.refusal, ==, PGW_REFUSAL_DUPLICATE);
    g_assert_cmpint(out.ran, ==, PGW_RAN_YES);
    pgw_claim_shard_free(shard);
}

/* A malformed value must not be overwritten: it may hold claimed keys. */
static void
test_malformed_value(void)
{
    static const char *const values[] = {
        "",
        "{}",
        "{\"v\":1,\"w\":[],\"c\":[]}",
        "{\"v\":1,\"w\":[],\"c\":{\"parish k\":[\"x\",\"1\",\"n\",1]}}",
        "{\"v\":1,\"w\":[[1]],\"c\":{}}",
        "{\"v\":1,\"w\":[],\"c\":{\"parish k\":[\"d\",\"1\",\"n\",1]}}"};

    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        struct pgw_claim_shard *shard = shard_new(0);
        struct pgw_io_reply reply = {PGW_IO_CONFLICT, 5, values[i],
                                     strlen(values[i])};
        struct pgw_claim_decision out;
        struct pgw_io io;

        begin(&out, shard, KEY, 1, NOW);
        g_assert_true(pgw_claim_next_io(&io, shard, NOW));
        pgw_io_dispose(&io);
        pgw_claim_io_done(shard, &reply, NOW);
        g_assert_true(pgw_claim_next_decision(&out, shard));
        g_assert_cmpint(out.refusal, ==, PGW_REFUSAL_STORE_DOWN);
        pgw_claim_shard_free(shard);
    }
}

static void
test_sweep(void)
{
    struct pgw_claim_layout layout = PGW_CLAIM_LAYOUT_INIT;
    struct pgw_claim_sweep *sweep = pgw_claim_sweep_new(&layout, 0, 1);
    struct pgw_io_reply found = {.result = PGW_IO_OK, .version = 9};
    struct pgw_io_reply missing = {.result = PGW_IO_MISSING};
    char name[PGW_CLAIM_NAME_SIZE];
    struct pgw_io io;

    pgw_claim_sweep_schedule(sweep, "print.2.u", NOW);
    g_assert_false(pgw_claim_sweep_next_io(&io, name, sweep));
    pgw_claim_sweep_schedule(sweep, "print.2.170000000", NOW);
    g_assert_true(pgw_claim_sweep_next_io(&io, name, sweep));
    g_assert_cmpint(io.kind, ==, PGW_IO_READ);
    g_assert_true(pgw_claim_object_is_expired(&layout, name, 0, NOW));
    pgw_claim_sweep_io_done(sweep, &found);
    g_assert_true(pgw_claim_sweep_next_io(&io, name, sweep));
    g_assert_cmpint(io.kind, ==, PGW_IO_DELETE);
    g_assert_cmpuint(io.expected_version, ==, 9);
    pgw_claim_sweep_io_done(sweep, &found);
    g_assert_true(pgw_claim_sweep_next_io(&io, name, sweep));
    g_assert_cmpint(io.kind, ==, PGW_IO_READ);
    pgw_claim_sweep_io_done(sweep, &missing);
    g_assert_false(pgw_claim_sweep_next_io(&io, name, sweep));
    pgw_claim_sweep_schedule(sweep, "print.2.170000001", NOW);
    g_assert_false(pgw_claim_sweep_next_io(&io, name, sweep));
    pgw_claim_sweep_schedule(sweep, "print.2.170000001",
                             NOW + layout.period_us);
    g_assert_true(pgw_claim_sweep_next_io(&io, name, sweep));
    pgw_claim_sweep_free(sweep);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/claim/locate", test_locate);
    g_test_add_func("/claim/store-down", test_store_down);
    g_test_add_func("/claim/window", test_window_covers_store_outage);
    g_test_add_func("/claim/large-answer", test_large_answer);
    g_test_add_func("/claim/malformed-value", test_malformed_value);
    g_test_add_func("/claim/sweep", test_sweep);
    return g_test_run();
}
