#include "gateway/peer/gossip.h"
#include "util/log.h"
#include <string.h>

#define ENTRIES 3
/* Older than any delivery takes. */
#define CHANGE_AGE_US 40000000

/**
 * struct fleet - entries on one loop; the first one is the seed of the others
 * @quarantine: crash quarantine of each entry, or NULL
 * @shares: shared services of each entry, or NULL
 * @poll_timer: checks whether the last entry has quarantined the request
 * @timeout: stops the loop and sets @timed_out
 * @received_count: number of documents that each entry has received
 * @last_entry_revisions: revisions that the last entry received, in order
 * @expected_count: the loop stops once the last entry has so many documents
 */
struct fleet {
    struct pgw_loop *loop;
    struct pgw_gossip *gossip[ENTRIES];
    struct pgw_crash_quarantine *quarantine[ENTRIES];
    struct pgw_share_table *shares[ENTRIES];
    struct pgw_timer poll_timer;
    struct pgw_timer timeout;
    unsigned received_count[ENTRIES];
    uint64_t last_entry_revisions[32];
    unsigned expected_count;
    bool timed_out;
};

struct entry_context {
    struct fleet *fleet;
    unsigned index;
};

static struct entry_context entry_contexts[ENTRIES];

static void
on_document(const struct pgw_document *document, void *context)
{
    struct entry_context *entry = context;
    struct fleet *fleet = entry->fleet;

    if (entry->index == ENTRIES - 1 &&
        fleet->received_count[entry->index] <
            G_N_ELEMENTS(fleet->last_entry_revisions)) {
        fleet->last_entry_revisions[fleet->received_count[entry->index]] =
            document->revision;
    }
    fleet->received_count[entry->index]++;
    if (fleet->received_count[ENTRIES - 1] >= fleet->expected_count) {
        pgw_loop_stop(fleet->loop);
    }
}

static void
timeout_due(struct pgw_timer *timer)
{
    struct fleet *fleet = pgw_container_of(timer, struct fleet, timeout);

    fleet->timed_out = true;
    pgw_loop_stop(fleet->loop);
}

static void
add_entry(struct fleet *fleet, unsigned index)
{
    struct pgw_address seed;
    char text[32];
    struct pgw_gossip_options options = {
        .seeds = &seed,
        .seed_count = index > 0,
        .instance = "e",
        .zone = "a",
        .request_delay_us = 450000,
        .quarantine = fleet->quarantine[index],
        .shares = fleet->shares[index],
        .on_document = on_document,
        .context = &entry_contexts[index],
    };
    GError *error = NULL;

    g_assert_true(pgw_address_parse(&options.listen, "127.0.0.1:0", NULL));
    if (index > 0) {
        g_snprintf(text, sizeof(text), "127.0.0.1:%u",
                   pgw_gossip_port(fleet->gossip[0]));
        g_assert_true(pgw_address_parse(&seed, text, NULL));
    }
    entry_contexts[index] =
        (struct entry_context){.fleet = fleet, .index = index};
    fleet->gossip[index] = pgw_gossip_new(fleet->loop, &options, &error);
    g_assert_no_error(error);
}

static struct pgw_document
make_document(uint64_t revision, bool deleted)
{
    return (struct pgw_document){
        .kind = (char *)"config",
        .name = (char *)"main",
        .revision = revision,
        .deleted = deleted,
        .body = (char *)"{}",
    };
}

/*
 * Only the second entry reaches the platform's store. The third one starts
 * without any document and receives it through the seed.
 */
static void
test_documents_reach_entry_without_store(void)
{
    struct fleet fleet = {.expected_count = 1};
    struct pgw_document document = make_document(4, false);
    const struct pgw_document *copy;
    uint64_t received_us;

    fleet.loop = pgw_loop_new(NULL);
    fleet.timeout.on_due = timeout_due;
    pgw_timer_start(fleet.loop, &fleet.timeout, 20000000);
    for (unsigned i = 0; i < ENTRIES; i++) {
        add_entry(&fleet, i);
    }
    document.changed_after_us = pgw_now_us() - CHANGE_AGE_US;
    pgw_gossip_put(fleet.gossip[1], &document);
    pgw_loop_run(fleet.loop);
    received_us = pgw_now_us();
    g_assert_false(fleet.timed_out);
    copy = pgw_documents_find(pgw_gossip_documents(fleet.gossip[2]), "config",
                              "main");
    g_assert_cmpuint(copy->revision, ==, 4);
    /* Peers know the age of a change, not only when they received it. */
    g_assert_cmpuint(copy->changed_after_us, >, 0);
    g_assert_cmpuint(copy->changed_after_us, <,
                     received_us - CHANGE_AGE_US / 2);
    for (unsigned i = 0; i < ENTRIES; i++) {
        pgw_gossip_free(fleet.gossip[i]);
    }
    pgw_timer_stop(fleet.loop, &fleet.timeout);
    pgw_loop_free(fleet.loop);
}

/*
 * One entry has more documents than fit into a frame: 30 objects of 400 KB. A
 * second one starts while the store is down and receives all of them.
 */
static void
test_documents_beyond_one_frame(void)
{
    struct fleet fleet = {.expected_count = 30};
    char *body = g_strnfill(400 * 1024, 'x');

    fleet.loop = pgw_loop_new(NULL);
    fleet.timeout.on_due = timeout_due;
    pgw_timer_start(fleet.loop, &fleet.timeout, 20000000);
    add_entry(&fleet, 0);
    /* Revisions decrease, so that documents must be sorted before sending. */
    for (uint64_t i = 0; i < 30; i++) {
        char *name = g_strdup_printf("u%" G_GUINT64_FORMAT, i);
        struct pgw_document document = make_document(100 - i, false);

        document.name = name;
        document.body = body;
        pgw_gossip_put(fleet.gossip[0], &document);
        g_free(name);
    }
    add_entry(&fleet, ENTRIES - 1);
    pgw_loop_run(fleet.loop);
    g_assert_false(fleet.timed_out);
    g_assert_cmpuint(fleet.received_count[ENTRIES - 1], ==, 30);
    /* The order of revisions allows a transfer that breaks to be resumed. */
    for (unsigned i = 1; i < 30; i++) {
        g_assert_cmpuint(fleet.last_entry_revisions[i], >,
                         fleet.last_entry_revisions[i - 1]);
    }
    pgw_gossip_free(fleet.gossip[0]);
    pgw_gossip_free(fleet.gossip[ENTRIES - 1]);
    pgw_timer_stop(fleet.loop, &fleet.timeout);
    pgw_loop_free(fleet.loop);
    g_free(body);
}

static void
test_old_copies_are_dropped(void)
{
    struct fleet fleet = {.expected_count = 99};
    struct pgw_document newest = make_document(9, true);
    struct pgw_document older = make_document(8, false);

    fleet.loop = pgw_loop_new(NULL);
    add_entry(&fleet, 0);
    pgw_gossip_put(fleet.gossip[0], &newest);
    pgw_gossip_put(fleet.gossip[0], &older);
    g_assert_cmpuint(fleet.received_count[0], ==, 1);
    g_assert_true(pgw_documents_find(pgw_gossip_documents(fleet.gossip[0]),
                                     "config", "main")
                      ->deleted);
    pgw_gossip_free(fleet.gossip[0]);
    pgw_loop_free(fleet.loop);
}

/* Keys of a request without a prompt. */
static const struct pgw_crash_keys faulty = {.items = {{{1, 2, 3}}},
                                             .count = 1};

static void
poll_due(struct pgw_timer *timer)
{
    struct fleet *fleet = pgw_container_of(timer, struct fleet, poll_timer);

    if (pgw_crash_quarantine_is_active(fleet->quarantine[ENTRIES - 1], &faulty,
                                       pgw_now_us())) {
        pgw_loop_stop(fleet->loop);
        return;
    }
    pgw_timer_start(fleet->loop, timer, 2000);
}

static void
crash(struct pgw_crash_quarantine *quarantine, const char *upstream)
{
    pgw_crash_quarantine_add_interrupted(quarantine, &faulty, upstream,
                                         pgw_now_us());
    pgw_crash_quarantine_add_crash(quarantine, upstream, 0, pgw_now_us());
}

/*
 * A caller's request crashes an upstream at each of two entries before a third
 * entry starts, and one more afterwards. The third entry has seen none of the
 * crashes and must still quarantine the request, since the caller retries it
 * there next.
 */
static void
test_crashes_are_shared(void)
{
    struct fleet fleet = {.expected_count = 99};
    struct pgw_crash_quarantine_options options =
        PGW_CRASH_QUARANTINE_OPTIONS_INIT;

    options.min_crash_gap_us = 0;
    fleet.loop = pgw_loop_new(NULL);
    fleet.timeout.on_due = timeout_due;
    fleet.poll_timer.on_due = poll_due;
    pgw_timer_start(fleet.loop, &fleet.timeout, 20000000);
    pgw_timer_start(fleet.loop, &fleet.poll_timer, 0);
    for (unsigned i = 0; i < ENTRIES; i++) {
        fleet.quarantine[i] = pgw_crash_quarantine_new(&options);
    }
    add_entry(&fleet, 0);
    add_entry(&fleet, 1);
    crash(fleet.quarantine[0], "a");
    crash(fleet.quarantine[1], "b");
    add_entry(&fleet, 2);
    crash(fleet.quarantine[1], "c");
    pgw_loop_run(fleet.loop);
    g_assert_false(fleet.timed_out);
    for (unsigned i = 0; i < ENTRIES; i++) {
        pgw_gossip_free(fleet.gossip[i]);
        pgw_crash_quarantine_free(fleet.quarantine[i]);
    }
    pgw_timer_stop(fleet.loop, &fleet.timeout);
    pgw_timer_stop(fleet.loop, &fleet.poll_timer);
    pgw_loop_free(fleet.loop);
}

/* The last entry has heard of the first one's promise and of the second one's.
 * Those that are made before the entries are connected reach nobody. */
static void
promise_due(struct pgw_timer *timer)
{
    struct fleet *fleet = pgw_container_of(timer, struct fleet, poll_timer);
    struct pgw_returned_caller heard;
    bool is_known = true;

    for (unsigned i = 0; i < ENTRIES - 1; i++) {
        struct pgw_returned_caller caller = {
            .key = i + 1,
            .at = {.at_us = pgw_now_us() + 5000000, .is_promised = true},
        };

        is_known &= pgw_returned_callers_take(
                        &fleet->shares[ENTRIES - 1]->returned, i + 1,
                        pgw_now_us(), &heard) == PGW_RETURNED_EARLY;
        pgw_share_table_refuse(fleet->shares[i], &caller);
    }
    if (is_known) {
        pgw_loop_stop(fleet->loop);
    }
    else {
        pgw_timer_start(fleet->loop, timer, 10000);
    }
}

/* Failure: a caller returns to another entry than the one that promised it a
 * time, and is refused there like a new one. */
static void
test_promises_are_shared(void)
{
    struct fleet fleet = {.expected_count = 99};

    fleet.loop = pgw_loop_new(NULL);
    fleet.timeout.on_due = timeout_due;
    fleet.poll_timer.on_due = promise_due;
    pgw_timer_start(fleet.loop, &fleet.timeout, 20000000);
    pgw_timer_start(fleet.loop, &fleet.poll_timer, 0);
    for (unsigned i = 0; i < ENTRIES; i++) {
        fleet.shares[i] = pgw_share_table_new();
        add_entry(&fleet, i);
    }
    pgw_loop_run(fleet.loop);
    g_assert_false(fleet.timed_out);
    for (unsigned i = 0; i < ENTRIES; i++) {
        pgw_gossip_free(fleet.gossip[i]);
        pgw_share_table_free(fleet.shares[i]);
    }
    pgw_timer_stop(fleet.loop, &fleet.timeout);
    pgw_timer_stop(fleet.loop, &fleet.poll_timer);
    pgw_loop_free(fleet.loop);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/gossip/documents_reach_entry_without_store",
                    test_documents_reach_entry_without_store);
    g_test_add_func("/gossip/documents_beyond_one_frame",
                    test_documents_beyond_one_frame);
    g_test_add_func("/gossip/old_copies_are_dropped",
                    test_old_copies_are_dropped);
    g_test_add_func("/gossip/crashes_are_shared", test_crashes_are_shared);
    g_test_add_func("/gossip/promises_are_shared", test_promises_are_shared);
    return g_test_run();
}
