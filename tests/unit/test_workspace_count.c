#include "entry/workspace_count.h"
#include <glib.h>
#include <pthread.h>

#define ROUNDS 20000
#define LIMIT 3

static void
test_limit_holds_and_is_given_back(void)
{
    struct workspace_count *count = workspace_count_new();

    for (int i = 0; i < LIMIT; i++) {
        g_assert_true(workspace_count_enter(count, "a", LIMIT));
    }
    g_assert_false(workspace_count_enter(count, "a", LIMIT));
    g_assert_true(workspace_count_enter(count, "b", LIMIT));
    workspace_count_leave(count, "a");
    g_assert_true(workspace_count_enter(count, "a", LIMIT));
    g_assert_true(workspace_count_enter(count, "a", 0));
    workspace_count_free(count);
}

static int inside;

static void *
enter_and_leave(void *data)
{
    for (int i = 0; i < ROUNDS; i++) {
        if (workspace_count_enter(data, "a", LIMIT)) {
            int now = __atomic_add_fetch(&inside, 1, __ATOMIC_SEQ_CST);

            g_assert_cmpint(now, <=, LIMIT);
            __atomic_sub_fetch(&inside, 1, __ATOMIC_SEQ_CST);
            workspace_count_leave(data, "a");
        }
    }
    return NULL;
}

/* Threads that race for the last place never get past the limit together. */
static void
test_threads(void)
{
    struct workspace_count *count = workspace_count_new();
    pthread_t threads[8];

    for (size_t i = 0; i < G_N_ELEMENTS(threads); i++) {
        g_assert_true(
            pthread_create(&threads[i], NULL, enter_and_leave, count) == 0);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(threads); i++) {
        pthread_join(threads[i], NULL);
    }
    for (int i = 0; i < LIMIT; i++) {
        g_assert_true(workspace_count_enter(count, "a", LIMIT));
    }
    workspace_count_free(count);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/workspace_count/limit",
                    test_limit_holds_and_is_given_back);
    g_test_add_func("/workspace_count/threads", test_threads);
    return g_test_run();
}
