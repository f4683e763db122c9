#include "gateway/gossip.h"
#include "util/log.h"
#include <string.h>

#define ENTRIES 3

/**
 * struct fleet - entries on one loop; the first one is everybody's seed
 * @poison: what each knows of requests that crash upstreams, or NULL
 * @look: looks whether the last one holds a request back
 * @heard: documents that each heard of
 * @last: revisions that the last one heard of, in their order
 * @wanted: stop once the last entry has heard of so many
 */
struct fleet {
    struct pgw_loop *loop;
    struct pgw_gossip *meshes[ENTRIES];
    struct pgw_crash_quarantine *poison[ENTRIES];
    struct pgw_timer look;
    struct pgw_timer limit;
    unsigned heard[ENTRIES];
    uint64_t last[32];
    unsigned wanted;
    bool late;
};

struct hearer {
    struct fleet *fleet;
    unsigned index;
};

static struct hearer hearers[ENTRIES];

static void
on_document(const struct pgw_document *document, void *context)
{
    struct hearer *hearer = context;
    struct fleet *fleet = hearer->fleet;

    if (hearer->index == ENTRIES - 1 &&
        fleet->heard[hearer->index] < G_N_ELEMENTS(fleet->last)) {
        fleet->last[fleet->heard[hearer->index]] = document->revision;
    }
    fleet->heard[hearer->index]++;
    if (fleet->heard[ENTRIES - 1] >= fleet->wanted) {
        pgw_loop_stop(fleet->loop);
    }
}

static void
limit_due(struct pgw_timer *timer)
{
    struct fleet *fleet = pgw_container_of(timer, struct fleet, limit);

    fleet->late = true;
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
        .poison = fleet->poison[index],
        .on_document = on_document,
        .context = &hearers[index],
    };
    GError *error = NULL;

    g_assert_true(pgw_address_parse(&options.listen, "127.0.0.1:0", NULL));
    if (index > 0) {
        g_snprintf(text, sizeof(text), "127.0.0.1:%u",
                   pgw_gossip_port(fleet->meshes[0]));
        g_assert_true(pgw_address_parse(&seed, text, NULL));
    }
    hearers[index] = (struct hearer){.fleet = fleet, .index = index};
    fleet->meshes[index] = pgw_gossip_new(fleet->loop, &options, &error);
    g_assert_no_error(error);
}

static struct pgw_document
make(uint64_t revision, bool deleted)
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
 * without anything and hears, through the seed, of what was known before it
 * started and of what changes afterwards; a late old copy changes nothing.
 */
static void
test_news_reach_who_hears_nothing(void)
{
    struct fleet fleet = {.wanted = 1};
    struct pgw_document document = make(4, false);

    fleet.loop = pgw_loop_new(NULL);
    fleet.limit.on_due = limit_due;
    pgw_timer_start(fleet.loop, &fleet.limit, 20000000);
    for (unsigned i = 0; i < ENTRIES; i++) {
        add_entry(&fleet, i);
    }
    pgw_gossip_put(fleet.meshes[1], &document);
    pgw_loop_run(fleet.loop);
    g_assert_false(fleet.late);
    g_assert_cmpuint(pgw_documents_find(pgw_gossip_documents(fleet.meshes[2]),
                                        "config", "main")
                         ->revision,
                     ==, 4);
    for (unsigned i = 0; i < ENTRIES; i++) {
        pgw_gossip_free(fleet.meshes[i]);
    }
    pgw_timer_stop(fleet.loop, &fleet.limit);
    pgw_loop_free(fleet.loop);
}

/*
 * One entry knows more than fits into a frame: 30 objects of 400 KB. A second
 * one starts while the store is away and hears of all of them.
 */
static void
test_much_is_known(void)
{
    struct fleet fleet = {.wanted = 30};
    char *body = g_strnfill(400 * 1024, 'x');

    fleet.loop = pgw_loop_new(NULL);
    fleet.limit.on_due = limit_due;
    pgw_timer_start(fleet.loop, &fleet.limit, 20000000);
    add_entry(&fleet, 0);
    /* Revisions fall, so that the order of the table is not the right one. */
    for (uint64_t i = 0; i < 30; i++) {
        char *name = g_strdup_printf("u%" G_GUINT64_FORMAT, i);
        struct pgw_document document = make(100 - i, false);

        document.name = name;
        document.body = body;
        pgw_gossip_put(fleet.meshes[0], &document);
        g_free(name);
    }
    add_entry(&fleet, ENTRIES - 1);
    pgw_loop_run(fleet.loop);
    g_assert_false(fleet.late);
    g_assert_cmpuint(fleet.heard[ENTRIES - 1], ==, 30);
    /* What ends half-way is asked for again from there. */
    for (unsigned i = 1; i < 30; i++) {
        g_assert_cmpuint(fleet.last[i], >, fleet.last[i - 1]);
    }
    pgw_gossip_free(fleet.meshes[0]);
    pgw_gossip_free(fleet.meshes[ENTRIES - 1]);
    pgw_timer_stop(fleet.loop, &fleet.limit);
    pgw_loop_free(fleet.loop);
    g_free(body);
}

static void
test_old_copies_are_dropped(void)
{
    struct fleet fleet = {.wanted = 99};
    struct pgw_document newest = make(9, true);
    struct pgw_document older = make(8, false);

    fleet.loop = pgw_loop_new(NULL);
    add_entry(&fleet, 0);
    pgw_gossip_put(fleet.meshes[0], &newest);
    pgw_gossip_put(fleet.meshes[0], &older);
    g_assert_cmpuint(fleet.heard[0], ==, 1);
    g_assert_true(pgw_documents_find(pgw_gossip_documents(fleet.meshes[0]),
                                     "config", "main")
                      ->deleted);
    pgw_gossip_free(fleet.meshes[0]);
    pgw_loop_free(fleet.loop);
}

static const struct pgw_fingerprint harmful = {{1, 2, 3}};

static void
look_due(struct pgw_timer *timer)
{
    struct fleet *fleet = pgw_container_of(timer, struct fleet, look);

    if (pgw_crash_quarantine_is_active(fleet->poison[ENTRIES - 1], &harmful,
                                       pgw_now_us())) {
        pgw_loop_stop(fleet->loop);
        return;
    }
    pgw_timer_start(fleet->loop, timer, 2000);
}

static void
crash(struct pgw_crash_quarantine *poison, const char *upstream)
{
    pgw_crash_quarantine_add_interrupted(poison, &harmful, upstream,
                                         pgw_now_us());
    pgw_crash_quarantine_add_crash(poison, upstream, pgw_now_us());
}

/*
 * A caller's request crashes an upstream at each of two entries, before a
 * third entry starts, and one more afterwards. The third entry has seen none
 * of it and must hold the request back: the caller comes there next.
 */
static void
test_crashes_are_told(void)
{
    struct fleet fleet = {.wanted = 99};
    struct pgw_crash_quarantine_options options =
        PGW_CRASH_QUARANTINE_OPTIONS_INIT;

    options.min_crash_gap_us = 0;
    fleet.loop = pgw_loop_new(NULL);
    fleet.limit.on_due = limit_due;
    fleet.look.on_due = look_due;
    pgw_timer_start(fleet.loop, &fleet.limit, 20000000);
    pgw_timer_start(fleet.loop, &fleet.look, 0);
    for (unsigned i = 0; i < ENTRIES; i++) {
        fleet.poison[i] = pgw_crash_quarantine_new(&options);
    }
    add_entry(&fleet, 0);
    add_entry(&fleet, 1);
    crash(fleet.poison[0], "a");
    crash(fleet.poison[1], "b");
    add_entry(&fleet, 2);
    crash(fleet.poison[1], "c");
    pgw_loop_run(fleet.loop);
    g_assert_false(fleet.late);
    for (unsigned i = 0; i < ENTRIES; i++) {
        pgw_gossip_free(fleet.meshes[i]);
        pgw_crash_quarantine_free(fleet.poison[i]);
    }
    pgw_timer_stop(fleet.loop, &fleet.limit);
    pgw_timer_stop(fleet.loop, &fleet.look);
    pgw_loop_free(fleet.loop);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/mesh/news", test_news_reach_who_hears_nothing);
    g_test_add_func("/mesh/much", test_much_is_known);
    g_test_add_func("/mesh/old_copies", test_old_copies_are_dropped);
    g_test_add_func("/mesh/crashes", test_crashes_are_told);
    return g_test_run();
}
