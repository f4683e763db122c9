#include "engine_events_lib.h"

#include <inttypes.h>

#define JOURNAL_SIZE 131072 /* older events are lost to a slow reader */
#define WRITE_LIMIT 8192    /* events in one answer */

struct journal_entry {
    struct engine_event event;
    uint64_t due;
    bool lost;
    bool twice;
};

struct engine_journal {
    struct engine_journal_options options;
    GRand *random;
    struct journal_entry *entries; /* event N at N % JOURNAL_SIZE */
    uint64_t last;
    uint64_t published;
    uint64_t last_due;
    uint64_t delay;
    uint64_t delay_until;
};

static const char *const kind_names[] = {
    [ENGINE_EVENT_STORED] = "stored",
    [ENGINE_EVENT_USED] = "used",
    [ENGINE_EVENT_EVICTED] = "evicted",
    [ENGINE_EVENT_CLEARED] = "cleared",
};

struct engine_journal *
engine_journal_new(const struct engine_journal_options *options)
{
    struct engine_journal *journal = g_new0(struct engine_journal, 1);

    journal->options = *options;
    journal->random = g_rand_new_with_seed(options->seed);
    journal->entries = g_new0(struct journal_entry, JOURNAL_SIZE);
    return journal;
}

/* One delay holds for a while: with a delay drawn for each event and order
 * kept, every event of a busy engine would be as late as the latest. */
static uint64_t
current_delay(struct engine_journal *journal, uint64_t now)
{
    const struct engine_journal_options *options = &journal->options;

    if (now >= journal->delay_until) {
        uint64_t span = options->delay_max_us - options->delay_min_us;

        journal->delay =
            options->delay_min_us +
            (uint64_t)(g_rand_double(journal->random) * (double)span);
        journal->delay_until = now + options->delay_max_us;
    }
    return journal->delay;
}

void
engine_journal_append(struct engine_journal *journal,
                      const struct engine_event *event, uint64_t now)
{
    struct journal_entry *entry =
        &journal->entries[++journal->last % JOURNAL_SIZE];

    journal->last_due =
        MAX(journal->last_due, now + current_delay(journal, now));
    entry->event = *event;
    entry->due = journal->last_due;
    entry->lost = g_rand_double(journal->random) < journal->options.loss;
    entry->twice = journal->options.repeat > 0.0 &&
                   g_rand_double(journal->random) < journal->options.repeat;
}

uint64_t
engine_journal_last(const struct engine_journal *journal)
{
    return journal->last;
}

static void
publish(struct engine_journal *journal, uint64_t now)
{
    if (journal->last - journal->published > JOURNAL_SIZE) {
        journal->published = journal->last - JOURNAL_SIZE;
    }
    while (journal->published < journal->last &&
           journal->entries[(journal->published + 1) % JOURNAL_SIZE].due <=
               now) {
        journal->published++;
    }
}

static uint64_t
oldest_after(const struct engine_journal *journal, uint64_t after)
{
    uint64_t oldest =
        journal->last < JOURNAL_SIZE ? 0 : journal->last - JOURNAL_SIZE;

    return MAX(after, oldest) + 1;
}

bool
engine_journal_has(struct engine_journal *journal, uint64_t after,
                   uint64_t now)
{
    publish(journal, now);
    for (uint64_t seq = oldest_after(journal, after);
         seq <= journal->published; seq++) {
        if (!journal->entries[seq % JOURNAL_SIZE].lost) {
            return true;
        }
    }
    return false;
}

uint64_t
engine_journal_due(const struct engine_journal *journal)
{
    if (journal->published >= journal->last) {
        return UINT64_MAX;
    }
    return journal->entries[(journal->published + 1) % JOURNAL_SIZE].due;
}

static void
write_event(GString *out, uint64_t seq, const struct engine_event *event)
{
    g_string_append_printf(out, "{\"seq\":%" PRIu64 ",\"kind\":\"%s\"", seq,
                           kind_names[event->kind]);
    if (event->kind != ENGINE_EVENT_CLEARED) {
        g_string_append_printf(out, ",\"block\":\"%016" PRIx64 "\"",
                               event->block);
    }
    if (event->kind == ENGINE_EVENT_STORED ||
        event->kind == ENGINE_EVENT_USED) {
        g_string_append_printf(out, ",\"request_id\":\"%s\",\"parent\":\"",
                               event->request);
        if (event->parent != 0) {
            g_string_append_printf(out, "%016" PRIx64, event->parent);
        }
        g_string_append_printf(out, "\",\"end_token\":%u", event->end_token);
    }
    g_string_append_c(out, '}');
}

uint64_t
engine_journal_write(struct engine_journal *journal, uint64_t after,
                     uint64_t now, GString *out)
{
    uint64_t last = after;
    unsigned written = 0;

    publish(journal, now);
    for (uint64_t seq = oldest_after(journal, after);
         seq <= journal->published && written < WRITE_LIMIT; seq++) {
        const struct journal_entry *entry =
            &journal->entries[seq % JOURNAL_SIZE];

        if (entry->lost) {
            continue;
        }
        for (unsigned i = 0; i < (entry->twice ? 2 : 1); i++) {
            if (written++ > 0) {
                g_string_append_c(out, ',');
            }
            write_event(out, seq, &entry->event);
        }
        last = seq;
    }
    return last;
}
