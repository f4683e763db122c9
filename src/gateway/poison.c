#include "gateway/poison.h"
#include "parsleygw/place.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>

/* Runs that broke off and are not linked to a crash yet; a lost rack of 40
 * engines with 64 runs each is below it. */
#define BROKEN_MAX 4096

static struct pgw_metric_counter crashes_counted = {
    .name = "pgw_gateway_poison_crashes_total",
    .help = "Runs that were under way at an upstream that crashed",
};
static struct pgw_metric_gauge remembered = {
    .name = "pgw_gateway_poison_records",
    .help = "Fingerprints of requests that ran while an upstream crashed",
};

/* struct record - one fingerprint and the crashes that it was in */
struct record {
    struct pgw_fingerprint fingerprint;
    uint64_t crashes[PGW_POISON_CRASHES_MAX];
    uint32_t count;
    uint64_t last_us;
};

/* struct broken_run - a run that broke off; its upstream may have crashed */
struct broken_run {
    struct pgw_list link;
    struct pgw_fingerprint fingerprint;
    uint64_t crash;
    uint64_t at_us;
};

/* struct dead_upstream - an incarnation that crashed of late */
struct dead_upstream {
    struct pgw_list link;
    uint64_t crash;
    uint64_t at_us;
};

/*
 * @records: fingerprint -> &struct record
 * @broken: of &struct broken_run, the oldest first
 * @dead: of &struct dead_upstream, the oldest first
 */
struct pgw_poison {
    struct pgw_poison_options options;
    GHashTable *records;
    struct pgw_list broken;
    unsigned broken_count;
    struct pgw_list dead;
    void (*on_news)(const struct pgw_poison_news *news, size_t count,
                    void *context);
    void *context;
};

struct pgw_poison *
pgw_poison_new(const struct pgw_poison_options *options)
{
    struct pgw_poison *poison = g_new0(struct pgw_poison, 1);

    g_assert(options->crashes <= PGW_POISON_CRASHES_MAX);
    poison->options = *options;
    poison->records = g_hash_table_new_full(
        pgw_fingerprint_hash, pgw_fingerprint_equal, NULL, g_free);
    pgw_list_init(&poison->broken);
    pgw_list_init(&poison->dead);
    pgw_metric_register_counter(&crashes_counted);
    pgw_metric_register_gauge(&remembered);
    return poison;
}

static void
broken_free(struct pgw_poison *poison, struct broken_run *run)
{
    pgw_list_remove(&run->link);
    poison->broken_count--;
    g_free(run);
}

static void
dead_free(struct dead_upstream *dead)
{
    pgw_list_remove(&dead->link);
    g_free(dead);
}

void
pgw_poison_free(struct pgw_poison *poison)
{
    pgw_list_foreach_safe (item, &poison->broken) {
        broken_free(poison, pgw_container_of(item, struct broken_run, link));
    }
    pgw_list_foreach_safe (item, &poison->dead) {
        dead_free(pgw_container_of(item, struct dead_upstream, link));
    }
    g_hash_table_destroy(poison->records);
    g_free(poison);
}

void
pgw_poison_listen(struct pgw_poison *poison,
                  void (*on_news)(const struct pgw_poison_news *news,
                                  size_t count, void *context),
                  void *context)
{
    poison->on_news = on_news;
    poison->context = context;
}

static void
tell(const struct pgw_poison *poison, const struct pgw_poison_news *news,
     size_t count)
{
    if (count > 0 && poison->on_news != NULL) {
        poison->on_news(news, count, poison->context);
    }
}

/* What is older than the time in which both belong together. */
static void
forget_old(struct pgw_poison *poison, uint64_t now_us)
{
    uint64_t link_us = poison->options.link_us;

    pgw_list_foreach_safe (item, &poison->broken) {
        struct broken_run *run =
            pgw_container_of(item, struct broken_run, link);

        if (run->at_us + link_us > now_us &&
            poison->broken_count <= BROKEN_MAX) {
            break;
        }
        broken_free(poison, run);
    }
    pgw_list_foreach_safe (item, &poison->dead) {
        struct dead_upstream *dead =
            pgw_container_of(item, struct dead_upstream, link);

        if (dead->at_us + link_us > now_us) {
            break;
        }
        dead_free(dead);
    }
}

static gboolean
is_stale(gpointer key, gpointer value, gpointer before_us)
{
    (void)key;
    return ((struct record *)value)->last_us < *(uint64_t *)before_us;
}

/* The record of a fingerprint, a new one where there is room. */
static struct record *
record_get(struct pgw_poison *poison,
           const struct pgw_fingerprint *fingerprint, uint64_t now_us)
{
    struct record *record = g_hash_table_lookup(poison->records, fingerprint);
    uint64_t keep_us = poison->options.keep_us;
    uint64_t before_us = now_us > keep_us ? now_us - keep_us : 0;

    if (record != NULL) {
        if (record->last_us < before_us) {
            record->count = 0;
        }
        return record;
    }
    if (g_hash_table_size(poison->records) >= poison->options.records_max) {
        g_hash_table_foreach_remove(poison->records, is_stale, &before_us);
    }
    if (g_hash_table_size(poison->records) >= poison->options.records_max) {
        pgw_log_info("poison_full", "records=%u",
                     g_hash_table_size(poison->records));
        return NULL;
    }
    record = g_new0(struct record, 1);
    record->fingerprint = *fingerprint;
    g_hash_table_insert(poison->records, &record->fingerprint, record);
    pgw_metric_gauge_set(&remembered, g_hash_table_size(poison->records));
    return record;
}

/* Return: whether this was not known. */
static bool
count_crash(struct pgw_poison *poison,
            const struct pgw_fingerprint *fingerprint, uint64_t crash,
            uint64_t now_us)
{
    struct record *record = record_get(poison, fingerprint, now_us);
    char name[PGW_FINGERPRINT_HEX];

    if (record == NULL || record->count == PGW_POISON_CRASHES_MAX) {
        return false;
    }
    for (uint32_t i = 0; i < record->count; i++) {
        if (record->crashes[i] == crash) {
            return false;
        }
    }
    record->crashes[record->count++] = crash;
    record->last_us = now_us;
    pgw_metric_counter_add(&crashes_counted, 1);
    pgw_fingerprint_print(name, fingerprint);
    pgw_log_info("poison_crash",
                 "fingerprint=%s crash=%016" G_GINT64_MODIFIER
                 "x crashes=%u held=%d",
                 name, crash, record->count,
                 (int)(record->count >= poison->options.crashes));
    return true;
}

static struct dead_upstream *
find_dead(struct pgw_poison *poison, uint64_t crash)
{
    pgw_list_foreach (item, &poison->dead) {
        struct dead_upstream *dead =
            pgw_container_of(item, struct dead_upstream, link);

        if (dead->crash == crash) {
            return dead;
        }
    }
    return NULL;
}

void
pgw_poison_broke(struct pgw_poison *poison,
                 const struct pgw_fingerprint *fingerprint,
                 const char *upstream, uint64_t now_us)
{
    struct pgw_poison_news news = {*fingerprint, pgw_place_id_hash(upstream)};
    struct broken_run *run;

    forget_old(poison, now_us);
    if (find_dead(poison, news.crash) != NULL) {
        if (count_crash(poison, fingerprint, news.crash, now_us)) {
            tell(poison, &news, 1);
        }
        return;
    }
    run = g_new0(struct broken_run, 1);
    run->fingerprint = *fingerprint;
    run->crash = news.crash;
    run->at_us = now_us;
    pgw_list_append(&poison->broken, &run->link);
    poison->broken_count++;
}

void
pgw_poison_crashed(struct pgw_poison *poison, const char *upstream,
                   uint64_t now_us)
{
    uint64_t crash = pgw_place_id_hash(upstream);
    struct dead_upstream *dead;
    GArray *news;

    forget_old(poison, now_us);
    if (find_dead(poison, crash) != NULL) {
        return;
    }
    dead = g_new0(struct dead_upstream, 1);
    dead->crash = crash;
    dead->at_us = now_us;
    pgw_list_append(&poison->dead, &dead->link);
    news = g_array_new(FALSE, FALSE, sizeof(struct pgw_poison_news));
    pgw_list_foreach_safe (item, &poison->broken) {
        struct broken_run *run =
            pgw_container_of(item, struct broken_run, link);

        if (run->crash != crash) {
            continue;
        }
        if (count_crash(poison, &run->fingerprint, crash, now_us)) {
            struct pgw_poison_news item_news = {run->fingerprint, crash};

            g_array_append_val(news, item_news);
        }
        broken_free(poison, run);
    }
    tell(poison, (const struct pgw_poison_news *)(void *)news->data,
         news->len);
    g_array_unref(news);
}

/* Return: whether anything was counted. */
static bool
clear(struct pgw_poison *poison, const struct pgw_fingerprint *fingerprint)
{
    char name[PGW_FINGERPRINT_HEX];

    if (!g_hash_table_remove(poison->records, fingerprint)) {
        return false;
    }
    pgw_metric_gauge_set(&remembered, g_hash_table_size(poison->records));
    pgw_fingerprint_print(name, fingerprint);
    pgw_log_info("poison_cleared", "fingerprint=%s", name);
    return true;
}

void
pgw_poison_ended_well(struct pgw_poison *poison,
                      const struct pgw_fingerprint *fingerprint)
{
    struct pgw_poison_news news = {*fingerprint, 0};

    if (g_hash_table_size(poison->records) > 0 && clear(poison, fingerprint)) {
        tell(poison, &news, 1);
    }
}

void
pgw_poison_hear(struct pgw_poison *poison, const struct pgw_poison_news *news,
                size_t count, uint64_t now_us)
{
    for (size_t i = 0; i < count; i++) {
        const struct pgw_fingerprint *fingerprint = &news[i].fingerprint;
        bool is_new = news[i].crash == 0 ? clear(poison, fingerprint)
                                         : count_crash(poison, fingerprint,
                                                       news[i].crash, now_us);

        if (is_new) {
            tell(poison, &news[i], 1);
        }
    }
}

bool
pgw_poison_holds(const struct pgw_poison *poison,
                 const struct pgw_fingerprint *fingerprint, uint64_t now_us)
{
    const struct record *record =
        g_hash_table_lookup(poison->records, fingerprint);

#ifdef PGW_DISABLE_POISON_HOLD
    return false;
#endif
    return record != NULL && record->count >= poison->options.crashes &&
           now_us < record->last_us + poison->options.keep_us;
}

GArray *
pgw_poison_known(const struct pgw_poison *poison)
{
    GArray *news = g_array_new(FALSE, FALSE, sizeof(struct pgw_poison_news));
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, poison->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct record *record = value;

        for (uint32_t i = 0; i < record->count; i++) {
            struct pgw_poison_news item = {record->fingerprint,
                                           record->crashes[i]};

            g_array_append_val(news, item);
        }
    }
    return news;
}
