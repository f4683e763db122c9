#include "entry/workspace_count.h"
#include <glib.h>
#include <pthread.h>

struct workspace_count {
    pthread_mutex_t lock;
    GHashTable *numbers; /* name -> requests, as a pointer's value */
};

struct workspace_count *
workspace_count_new(void)
{
    struct workspace_count *count = g_new0(struct workspace_count, 1);

    pthread_mutex_init(&count->lock, NULL);
    count->numbers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return count;
}

void
workspace_count_free(struct workspace_count *count)
{
    if (count == NULL) {
        return;
    }
    g_hash_table_unref(count->numbers);
    pthread_mutex_destroy(&count->lock);
    g_free(count);
}

bool
workspace_count_enter(struct workspace_count *count, const char *workspace,
                      uint32_t limit)
{
    bool entered = false;
    guint number;

    pthread_mutex_lock(&count->lock);
    number = GPOINTER_TO_UINT(g_hash_table_lookup(count->numbers, workspace));
    if (limit == 0 || number < limit) {
        g_hash_table_insert(count->numbers, g_strdup(workspace),
                            GUINT_TO_POINTER(number + 1));
        entered = true;
    }
    pthread_mutex_unlock(&count->lock);
    return entered;
}

void
workspace_count_leave(struct workspace_count *count, const char *workspace)
{
    guint number;

    pthread_mutex_lock(&count->lock);
    number = GPOINTER_TO_UINT(g_hash_table_lookup(count->numbers, workspace));
    if (number > 1) {
        g_hash_table_insert(count->numbers, g_strdup(workspace),
                            GUINT_TO_POINTER(number - 1));
    }
    else {
        g_hash_table_remove(count->numbers, workspace);
    }
    pthread_mutex_unlock(&count->lock);
}
