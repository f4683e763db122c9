#include "gateway/share/share_table.h"
#include <string.h>

#define STEP_US 1000
#define PLAY_US 8000000ULL
#define DEADLINE_US 4000000ULL
#define OBJECTIVE_US 600000ULL
/* Of the time that is left, for which a request waits and a caller stays away.
 */
#define PATIENCE_SHARE 0.33
#define HEEDED_SHARE 0.3
#define CALLERS_MAX 16384
/* Fixed, so that each run plays the same. */
#define SEED 49

enum kind {
    SHORT,
    LONG,
    KINDS
};

static const uint32_t tokens_of[KINDS] = {[SHORT] = 200, [LONG] = 4000};

/**
 * struct crowd - callers of one workspace
 * @per_s: requests that arrive in a second
 * @kind: of which size
 * @from_us: when they begin
 * @until_us: when they end, 0: with the play
 * @is_hasty: they repeat at once after a refusal
 */
struct crowd {
    const char *workspace;
    double per_s;
    enum kind kind;
    uint64_t from_us;
    uint64_t until_us;
    bool is_hasty;
};

/**
 * struct result - what became of a crowd
 * @told: callers that were refused with a promise and came back at its time
 * @told_served: of these, the ones served before their deadline
 */
struct result {
    unsigned arrived;
    unsigned in_time;
    unsigned served;
    unsigned refused;
    unsigned told;
    unsigned told_served;
};

enum state {
    AWAY,
    WAITING,
    ENDED
};

struct caller {
    const struct crowd *crowd;
    struct result *result;
    struct pgw_queue_order_item item;
    enum state state;
    struct entry *entry;
    uint64_t arrived_us;
    uint64_t due_us;
    bool was_told;
    struct pgw_return at;
};

/** struct entry - one entry; entries tell each other of promises only */
struct entry {
    struct pgw_service_share share;
    struct pgw_returned_callers returned;
};

/**
 * struct told - a promise on its way to the other entries
 * @at_us: when it arrives
 */
struct told {
    struct entry *from;
    struct pgw_returned_caller caller;
    uint64_t at_us;
};

/* Time for a promise to reach the other entries. */
#define TOLD_US 80000

static GArray *told;
static guint told_heard;
static struct entry *entries;
static unsigned entry_count;
static struct caller *callers;
static unsigned caller_count;
static GRand *play_random;

static uint64_t
left_us(const struct caller *caller, uint64_t now_us)
{
    uint64_t end_us = caller->arrived_us + DEADLINE_US;

    return end_us > now_us ? end_us - now_us : 0;
}

static void
end_served(struct caller *caller, uint64_t now_us)
{
    pgw_service_share_serve(&caller->entry->share, &caller->item,
                            tokens_of[caller->crowd->kind], now_us);
    caller->state = ENDED;
    caller->result->served++;
    caller->result->told_served += caller->was_told;
    caller->result->in_time += now_us <= caller->arrived_us + OBJECTIVE_US;
}

static void
end_refused(struct caller *caller, uint64_t now_us)
{
    uint64_t heeded_us = (uint64_t)(left_us(caller, now_us) * HEEDED_SHARE);
    struct pgw_returned_caller known = {
        .key = (uint64_t)(caller - callers) + 1,
        .in_time_start_us = caller->item.in_time_start_us,
    };

    if (caller->item.is_early) {
        known.at = caller->at;
    }
    else {
        pgw_service_share_return(&known.at, &caller->entry->share,
                                 &caller->item, heeded_us, now_us,
                                 g_rand_int(play_random));
        g_assert_cmpuint(known.at.at_us, <=,
                         now_us + heeded_us + PGW_RETURN_SLOT_US);
    }
    pgw_service_share_leave(&caller->entry->share, &caller->item);
    caller->at = known.at;
    pgw_returned_callers_add(&caller->entry->returned, &known);
    if (known.at.is_promised && !caller->item.is_early) {
        struct told item = {caller->entry, known, now_us + TOLD_US};

        g_array_append_val(told, item);
    }
    caller->result->refused++;
    caller->state = AWAY;
    caller->was_told = known.at.is_promised && !caller->crowd->is_hasty;
    caller->due_us = caller->crowd->is_hasty ? now_us + 20000 : known.at.at_us;
    if (caller->due_us + 10000 > caller->arrived_us + DEADLINE_US) {
        caller->state = ENDED;
    }
}

static void
send_request(struct caller *caller, uint64_t now_us, bool is_idle)
{
    uint64_t patience_us =
        (uint64_t)(left_us(caller, now_us) * PATIENCE_SHARE);
    struct pgw_returned_caller known;
    struct pgw_share_verdict verdict;
    struct entry *entry =
        &entries[g_rand_int_range(play_random, 0, (gint32)entry_count)];
    enum pgw_returned how;
    struct pgw_share_offer offer = {
        .item = &caller->item,
        .workspace = caller->crowd->workspace,
        .now_us = now_us,
    };

    caller->item = (struct pgw_queue_order_item){
        .admit = {.workspace = g_str_hash(caller->crowd->workspace),
                  .share = 1,
                  .uncached_tokens = tokens_of[caller->crowd->kind]},
        .in_time_start_us = now_us + OBJECTIVE_US,
        .late_start_us = caller->arrived_us + DEADLINE_US,
    };
    caller->entry = entry;
    how = pgw_returned_callers_take(
        &entry->returned, (uint64_t)(caller - callers) + 1, now_us, &known);
    if (how != PGW_RETURNED_UNKNOWN) {
        caller->item.in_time_start_us = known.in_time_start_us;
    }
    caller->item.returned = how == PGW_RETURNED_PROMISED;
    caller->item.is_early = how == PGW_RETURNED_EARLY;
    caller->item.turn_by_us = caller->item.returned   ? 0
                              : caller->item.is_early ? now_us
                                                      : now_us + patience_us;
    if (caller->item.turn_by_us > 0 && !caller->item.is_early &&
        caller->item.in_time_start_us > now_us) {
        caller->item.turn_by_us =
            MIN(caller->item.turn_by_us, caller->item.in_time_start_us);
    }
    caller->result->told += caller->was_told;
    if (is_idle && pgw_queue_order_is_empty(&entry->share.order)) {
        end_served(caller, now_us);
        return;
    }
    pgw_service_share_offer(&verdict, &entry->share, &offer);
    caller->state = WAITING;
    caller->due_us =
        now_us +
        patience_us * (caller->item.returned ? PGW_RETURNED_PATIENCE : 1);
    if (verdict.refused != NULL) {
        end_refused(pgw_container_of(verdict.refused, struct caller, item),
                    now_us);
    }
}

static struct caller *
first_of(struct entry *entry, uint64_t now_us)
{
    struct pgw_list turns;
    struct pgw_list *link;
    struct caller *first = NULL;

    pgw_list_init(&turns);
    pgw_queue_order_list(&entry->share.order, &turns, now_us);
    while ((link = pgw_list_first(&turns)) != NULL) {
        pgw_list_remove(link);
        if (first == NULL) {
            first = pgw_container_of(link, struct caller, item.admit.link);
        }
    }
    return first;
}

/* Whoever sees free room first takes it. */
static struct caller *
first_waiting(uint64_t now_us)
{
    unsigned from = g_rand_int(play_random) % entry_count;
    struct caller *first = NULL;

    for (unsigned i = 0; i < entry_count && first == NULL; i++) {
        first = first_of(&entries[(from + i) % entry_count], now_us);
    }
    return first;
}

static void
hear_promises(uint64_t now_us)
{
    for (; told_heard < told->len; told_heard++) {
        const struct told *item =
            &g_array_index(told, struct told, told_heard);

        if (item->at_us > now_us) {
            return;
        }
        for (unsigned i = 0; i < entry_count; i++) {
            if (&entries[i] != item->from) {
                pgw_returned_callers_add(&entries[i].returned, &item->caller);
            }
        }
    }
}

/* @room_per_s: tokens that the service takes from all entries together */
static void
play(const struct crowd *crowds, struct result *results, size_t count,
     unsigned entries_wanted, double room_per_s)
{
    double credit = 0;
    double *arrivals = g_new0(double, count);

    play_random = g_rand_new_with_seed(SEED);
    callers = g_new0(struct caller, CALLERS_MAX);
    entry_count = entries_wanted;
    entries = g_new0(struct entry, entry_count);
    caller_count = 0;
    told = g_array_new(FALSE, FALSE, sizeof(struct told));
    told_heard = 0;
    memset(results, 0, count * sizeof(*results));
    for (unsigned i = 0; i < entry_count; i++) {
        pgw_service_share_init(&entries[i].share);
    }
    for (uint64_t now = 1000000; now < 1000000 + PLAY_US; now += STEP_US) {
        uint64_t at = now - 1000000;

        hear_promises(now);
        credit += room_per_s * STEP_US / 1e6;
        for (struct caller *waiting;
             credit > 0 && (waiting = first_waiting(now)) != NULL;) {
            credit -= tokens_of[waiting->crowd->kind];
            end_served(waiting, now);
        }
        credit = MIN(credit, 1);
        for (size_t i = 0; i < count; i++) {
            const struct crowd *crowd = &crowds[i];

            arrivals[i] += at >= crowd->from_us && (crowd->until_us == 0 ||
                                                    at < crowd->until_us)
                               ? crowd->per_s * STEP_US / 1e6 *
                                     g_rand_double_range(play_random, 0, 2)
                               : 0;
            for (; arrivals[i] >= 1 && at < PLAY_US - DEADLINE_US / 2;
                 arrivals[i]--) {
                struct caller *caller = &callers[caller_count++];

                g_assert_cmpuint(caller_count, <, CALLERS_MAX);
                *caller = (struct caller){
                    .crowd = crowd,
                    .result = &results[i],
                    .arrived_us = now,
                    .due_us = now,
                };
                results[i].arrived++;
            }
        }
        for (unsigned i = 0; i < caller_count; i++) {
            struct caller *caller = &callers[i];

            if (caller->state == AWAY && caller->due_us <= now) {
                bool is_idle = credit > 0;

                send_request(caller, now, is_idle);
                credit -= caller->state == ENDED && is_idle
                              ? tokens_of[caller->crowd->kind]
                              : 0;
            }
            else if (caller->state == WAITING && caller->due_us <= now) {
                end_refused(caller, now);
            }
        }
    }
    for (unsigned i = 0; i < caller_count; i++) {
        if (callers[i].state == WAITING) {
            pgw_service_share_leave(&callers[i].entry->share,
                                    &callers[i].item);
        }
    }
    for (size_t i = 0; i < count; i++) {
        g_test_message("%s kind=%d arrived=%u in_time=%u served=%u refused=%u "
                       "told=%u told_served=%u",
                       crowds[i].workspace, crowds[i].kind, results[i].arrived,
                       results[i].in_time, results[i].served,
                       results[i].refused, results[i].told,
                       results[i].told_served);
    }
    for (unsigned i = 0; i < entry_count; i++) {
        pgw_service_share_dispose(&entries[i].share);
    }
    g_rand_free(play_random);
    g_array_free(told, TRUE);
    g_free(entries);
    g_free(callers);
    g_free(arrivals);
}

static double
part(unsigned some, unsigned all)
{
    return all == 0 ? 1 : (double)some / all;
}

/* Failure: one workspace sends nine times its usual. The others are served as
 * before it came, and it gets what they leave. */
static void
test_nine_times(void)
{
    const struct crowd crowds[] = {
        {.workspace = "a", .per_s = 50},
        {.workspace = "b", .per_s = 50},
        {.workspace = "c", .per_s = 50},
        {.workspace = "large", .per_s = 450, .from_us = 1000000},
    };
    struct result results[G_N_ELEMENTS(crowds)];

    play(crowds, results, 4, 1, 250 * 200);
    for (size_t i = 0; i < 3; i++) {
        g_assert_cmpfloat(part(results[i].in_time, results[i].arrived), >=,
                          0.98);
    }
    g_assert_cmpuint(results[3].served, >, 400);
    g_assert_cmpfloat(part(results[3].told_served, results[3].told), >=, 0.9);
}

/* Failure: the same through several entries, and callers come back to any of
 * them. */
static void
test_several_entries(void)
{
    const struct crowd crowds[] = {
        {.workspace = "a", .per_s = 50},
        {.workspace = "b", .per_s = 50},
        {.workspace = "c", .per_s = 50},
        {.workspace = "large", .per_s = 450, .from_us = 1000000},
    };
    struct result results[G_N_ELEMENTS(crowds)];

    play(crowds, results, 4, 6, 250 * 200);
    for (size_t i = 0; i < 3; i++) {
        g_assert_cmpfloat(part(results[i].in_time, results[i].arrived), >=,
                          0.95);
    }
    g_assert_cmpuint(results[3].served, >, 400);
    g_assert_cmpfloat(part(results[3].told_served, results[3].told), >=, 0.9);
}

/* Failure: a third of the room is gone. Callers are refused at once, and nine
 * in ten that were promised a time are served when they come back at it. */
static void
test_room_gone(void)
{
    const struct crowd crowds[] = {
        {.workspace = "a", .per_s = 80},
        {.workspace = "b", .per_s = 80},
        {.workspace = "c", .per_s = 80},
    };
    struct result results[G_N_ELEMENTS(crowds)];
    double sum = 0;

    play(crowds, results, 3, 1, 160 * 200);
    for (size_t i = 0; i < 3; i++) {
        sum += part(results[i].served, results[i].arrived);
        g_assert_cmpfloat(part(results[i].told_served, results[i].told), >=,
                          0.9);
    }
    for (size_t i = 0; i < 3; i++) {
        g_assert_cmpfloat(part(results[i].served, results[i].arrived), >=,
                          sum / 3 / 4);
    }
}

/* Failure: a burst of short prompts beside long ones, in one workspace and in
 * two. Neither kind is given up. */
static void
test_burst(void)
{
    const struct crowd crowds[] = {
        {.workspace = "a", .per_s = 100},
        {.workspace = "a", .per_s = 5, .kind = LONG},
        {.workspace = "b", .per_s = 5, .kind = LONG},
        {.workspace = "a",
         .per_s = 600,
         .from_us = 2000000,
         .until_us = 2500000},
    };
    struct result results[G_N_ELEMENTS(crowds)];

    play(crowds, results, 4, 1, 80000);
    g_assert_cmpfloat(part(results[2].in_time, results[2].arrived), >=, 0.98);
    for (size_t i = 0; i < 4; i++) {
        g_assert_cmpfloat(part(results[i].served, results[i].arrived), >=,
                          0.9);
    }
}

/* Failure: half of the callers repeat at once when refused. They gain nothing
 * over those who come back when told. */
static void
test_hasty(void)
{
    const struct crowd crowds[] = {
        {.workspace = "a", .per_s = 200},
        {.workspace = "a", .per_s = 200, .is_hasty = true},
        {.workspace = "b", .per_s = 50},
    };
    struct result results[G_N_ELEMENTS(crowds)];

    play(crowds, results, 3, 1, 250 * 200);
    g_assert_cmpfloat(part(results[2].in_time, results[2].arrived), >=, 0.98);
    g_assert_cmpfloat(part(results[1].served, results[1].arrived), <=,
                      part(results[0].served, results[0].arrived) + 0.05);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/service_share/nine_times", test_nine_times);
    g_test_add_func("/service_share/several_entries", test_several_entries);
    g_test_add_func("/service_share/room_gone", test_room_gone);
    g_test_add_func("/service_share/burst", test_burst);
    g_test_add_func("/service_share/hasty", test_hasty);
    return g_test_run();
}
