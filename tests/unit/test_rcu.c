/* Readers of a snapshot while a writer replaces it. */
#include <pthread.h>
#include <stdatomic.h>

#include "util/rcu.h"

#define READERS 4
#define REPLACEMENTS 20000

struct snapshot {
    unsigned number;
    unsigned copy;
};

static atomic_uint disposed;

static void
dispose(void *data)
{
    struct snapshot *snapshot = data;

    /* A reader that still looks would see the two differ. */
    snapshot->copy = snapshot->number + 1;
    g_free(snapshot);
    atomic_fetch_add(&disposed, 1);
}

static struct snapshot *
snapshot_new(unsigned number)
{
    struct snapshot *snapshot = g_new(struct snapshot, 1);

    snapshot->number = number;
    snapshot->copy = number;
    return snapshot;
}

static void *
read_until_last(void *data)
{
    struct pgw_rcu *cell = data;
    unsigned seen = 0;

    while (seen < REPLACEMENTS) {
        const struct snapshot *snapshot = pgw_rcu_read_lock(cell);

        g_assert_cmpuint(snapshot->number, ==, snapshot->copy);
        g_assert_cmpuint(snapshot->number, >=, seen);
        seen = snapshot->number;
        pgw_rcu_read_unlock(cell);
    }
    return NULL;
}

static void
test_readers_and_writer(void)
{
    struct pgw_rcu *cell = pgw_rcu_new(dispose);
    pthread_t readers[READERS];

    g_assert_null(pgw_rcu_read_lock(cell));
    pgw_rcu_read_unlock(cell);
    pgw_rcu_replace(cell, snapshot_new(0));
    for (unsigned i = 0; i < READERS; i++) {
        pthread_create(&readers[i], NULL, read_until_last, cell);
    }
    for (unsigned i = 1; i <= REPLACEMENTS; i++) {
        pgw_rcu_replace(cell, snapshot_new(i));
    }
    for (unsigned i = 0; i < READERS; i++) {
        pthread_join(readers[i], NULL);
    }
    pgw_rcu_free(cell);
    g_assert_cmpuint(atomic_load(&disposed), ==, REPLACEMENTS + 1);
}

/* A reader that stays keeps its snapshot alive, and the writer goes on. */
static void
test_writer_does_not_wait(void)
{
    struct pgw_rcu *cell = pgw_rcu_new(dispose);
    const struct snapshot *held;
    unsigned before = atomic_load(&disposed);

    pgw_rcu_replace(cell, snapshot_new(1));
    held = pgw_rcu_read_lock(cell);
    for (unsigned i = 2; i < 100; i++) {
        pgw_rcu_replace(cell, snapshot_new(i));
    }
    g_assert_cmpuint(held->number, ==, 1);
    g_assert_cmpuint(held->copy, ==, 1);
    pgw_rcu_read_unlock(cell);
    for (unsigned i = 100; i < 110; i++) {
        pgw_rcu_replace(cell, snapshot_new(i));
    }
    g_assert_cmpuint(atomic_load(&disposed) - before, >, 90);
    pgw_rcu_free(cell);
    g_assert_cmpuint(atomic_load(&disposed) - before, ==, 109);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/rcu/readers-and-writer", test_readers_and_writer);
    g_test_add_func("/rcu/writer-does-not-wait", test_writer_does_not_wait);
    return g_test_run();
}
