#include "util/rcu.h"
#include "util/list.h"
#include <ck_epoch.h>
#include <ck_pr.h>

/*
 * The order that Concurrency Kit's fences give lies in assembler, which
 * ThreadSanitizer does not see. These tell it the same: a reader sees what was
 * written before the snapshot was published, and a snapshot is freed after the
 * sections that read it.
 */
#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#define ORDER_RELEASE(address) __tsan_release(address)
#define ORDER_ACQUIRE(address) __tsan_acquire(address)
#else
#define ORDER_RELEASE(address) ((void)(address))
#define ORDER_ACQUIRE(address) ((void)(address))
#endif

struct pgw_rcu {
    ck_epoch_t epoch;
    void *snapshot;
    void (*dispose)(void *snapshot);
    pthread_key_t key;
    ck_epoch_record_t *writer;
};

struct rcu_garbage {
    ck_epoch_entry_t entry;
    struct pgw_rcu *cell;
    void *snapshot;
};

/* A thread's record goes back for the next thread to recycle. */
static void
record_release(void *record)
{
    ck_epoch_unregister(record);
}

static ck_epoch_record_t *
record_get(struct pgw_rcu *cell)
{
    ck_epoch_record_t *record = pthread_getspecific(cell->key);

    if (record != NULL) {
        return record;
    }
    record = ck_epoch_recycle(&cell->epoch, NULL);
    if (record == NULL) {
        record = g_new0(ck_epoch_record_t, 1);
        ck_epoch_register(&cell->epoch, record, NULL);
    }
    pthread_setspecific(cell->key, record);
    return record;
}

struct pgw_rcu *
pgw_rcu_new(void (*dispose)(void *snapshot))
{
    struct pgw_rcu *cell = g_new0(struct pgw_rcu, 1);

    ck_epoch_init(&cell->epoch);
    cell->dispose = dispose;
    cell->writer = g_new0(ck_epoch_record_t, 1);
    ck_epoch_register(&cell->epoch, cell->writer, NULL);
    if (pthread_key_create(&cell->key, record_release) != 0) {
        g_error("event=rcu_no_thread_key");
    }
    return cell;
}

static void
records_free(struct pgw_rcu *cell)
{
    ck_stack_entry_t *link = CK_STACK_FIRST(&cell->epoch.records);

    while (link != NULL) {
        ck_stack_entry_t *next = CK_STACK_NEXT(link);

        g_free(pgw_container_of(link, ck_epoch_record_t, record_next));
        link = next;
    }
}

void
pgw_rcu_free(struct pgw_rcu *cell)
{
    if (cell == NULL) {
        return;
    }
    ck_epoch_barrier(cell->writer);
    ORDER_ACQUIRE(&cell->epoch);
    if (cell->snapshot != NULL) {
        cell->dispose(cell->snapshot);
    }
    pthread_key_delete(cell->key);
    records_free(cell);
    g_free(cell);
}

void *
pgw_rcu_read_lock(struct pgw_rcu *cell)
{
    void *snapshot;

    ck_epoch_begin(record_get(cell), NULL);
    snapshot = ck_pr_load_ptr(&cell->snapshot);
    ORDER_ACQUIRE(&cell->snapshot);
    return snapshot;
}

void
pgw_rcu_read_unlock(struct pgw_rcu *cell)
{
    ORDER_RELEASE(&cell->epoch);
    ck_epoch_end(record_get(cell), NULL);
}

static void
garbage_free(ck_epoch_entry_t *entry)
{
    struct rcu_garbage *garbage =
        pgw_container_of(entry, struct rcu_garbage, entry);

    ORDER_ACQUIRE(&garbage->cell->epoch);
    garbage->cell->dispose(garbage->snapshot);
    g_free(garbage);
}

void
pgw_rcu_replace(struct pgw_rcu *cell, void *snapshot)
{
    void *old;

    /* A reader that sees the snapshot sees what was written to it before. */
    ck_pr_fence_release();
    ORDER_RELEASE(&cell->snapshot);
    old = ck_pr_fas_ptr(&cell->snapshot, snapshot);
    if (old != NULL) {
        struct rcu_garbage *garbage = g_new0(struct rcu_garbage, 1);

        garbage->cell = cell;
        garbage->snapshot = old;
        ck_epoch_call(cell->writer, &garbage->entry, garbage_free);
    }
    /* Frees what earlier replacements left as soon as readers have moved on;
     * it never waits for them. */
    ck_epoch_poll(cell->writer);
}
