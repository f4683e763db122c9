#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http_lib.h"
#include "sync_lib.h"
#include "util/list.h"

/**
 * DOC: standin-kvstore, the KV cache store and the weight store for tests
 *
 * Values are opaque and live in memory. Loads of weights share a bandwidth
 * that is enough for a few of them: while more load at once all slow down.
 */

#define TICK_US 5000

struct kvstore_options {
    uint16_t port;
    double permits;
};

struct weight_load {
    struct pgw_list link;
    struct standin_call *call;
    double left_us;
};

struct kvstore {
    struct kvstore_options options;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    GHashTable *values; /* key to GBytes */
    struct pgw_list loads;
    unsigned loading;
    unsigned max_loading;
    unsigned loads_done;
};

static void
serve_put(struct kvstore *store, struct standin_call *call, const char *key)
{
    size_t length;
    const char *body = standin_call_body(call, &length);

    pthread_mutex_lock(&store->lock);
    g_hash_table_replace(store->values, g_strdup(key),
                         g_bytes_new(body, length));
    pthread_mutex_unlock(&store->lock);
    standin_call_replyf(call, 200, "{}");
}

static void
serve_get(struct kvstore *store, struct standin_call *call, const char *key)
{
    GString *body = NULL;
    GBytes *value;

    pthread_mutex_lock(&store->lock);
    value = g_hash_table_lookup(store->values, key);
    if (value != NULL) {
        body = g_string_new_len(g_bytes_get_data(value, NULL),
                                (gssize)g_bytes_get_size(value));
    }
    pthread_mutex_unlock(&store->lock);
    if (body != NULL) {
        standin_call_reply(call, 200, body);
    }
    else {
        standin_call_error(call, 404, "not_found", "no such value");
    }
}

static void
serve_weights(struct kvstore *store, struct standin_call *call)
{
    struct weight_load *load = g_new0(struct weight_load, 1);

    load->call = standin_call_ref(call);
    load->left_us = (double)standin_call_query_uint(call, "ms", 0) * 1000;
    pthread_mutex_lock(&store->lock);
    pgw_list_append(&store->loads, &load->link);
    store->loading++;
    store->max_loading = MAX(store->max_loading, store->loading);
    pthread_cond_signal(&store->changed);
    pthread_mutex_unlock(&store->lock);
}

static void
advance_loads(struct kvstore *store, double elapsed_us)
{
    double speed = MIN(1, store->options.permits / MAX(1, store->loading));

    pgw_list_foreach_safe (pos, &store->loads) {
        struct weight_load *load =
            pgw_container_of(pos, struct weight_load, link);
        bool over = standin_call_peer_gone(load->call);

        load->left_us -= elapsed_us * speed;
        if (!over && load->left_us > 0) {
            continue;
        }
        standin_call_replyf(load->call, 200, "{}");
        standin_call_unref(load->call);
        pgw_list_remove(pos);
        g_free(load);
        store->loading--;
        store->loads_done += over ? 0 : 1;
    }
}

static void *
run_loads(void *data)
{
    struct kvstore *store = data;
    gint64 before = g_get_monotonic_time(), now;

    pthread_mutex_lock(&store->lock);
    for (;;) {
        if (store->loading == 0) {
            pthread_cond_wait(&store->changed, &store->lock);
            before = g_get_monotonic_time();
            continue;
        }
        pthread_mutex_unlock(&store->lock);
        g_usleep(TICK_US);
        pthread_mutex_lock(&store->lock);
        now = g_get_monotonic_time();
        advance_loads(store, (double)(now - before));
        before = now;
    }
    return NULL;
}

static void
serve_stats(struct kvstore *store, struct standin_call *call)
{
    pthread_mutex_lock(&store->lock);
    standin_call_replyf(call, 200,
                        "{\"values\":%u,\"loading\":%u,"
                        "\"max_loading\":%u,\"loads_done\":%u}",
                        g_hash_table_size(store->values), store->loading,
                        store->max_loading, store->loads_done);
    pthread_mutex_unlock(&store->lock);
}

static void
handle(struct standin_call *call, void *data)
{
    const char *path = standin_call_path(call);
    bool puts = strcmp(standin_call_method(call), "PUT") == 0;

    if (g_str_has_prefix(path, "/kv/") && puts) {
        serve_put(data, call, path + strlen("/kv/"));
    }
    else if (g_str_has_prefix(path, "/kv/")) {
        serve_get(data, call, path + strlen("/kv/"));
    }
    else if (g_str_has_prefix(path, "/weights/")) {
        serve_weights(data, call);
    }
    else if (strcmp(path, "/_stats") == 0) {
        serve_stats(data, call);
    }
    else {
        standin_call_error(call, 404, "not_found",
                           "calls are /kv/KEY, /weights/.. and /_stats");
    }
}

int
main(int argc, char **argv)
{
    static const struct option long_options[] = {
        {"port", required_argument, NULL, 'p'},
        {"permits", required_argument, NULL, 'n'},
        {NULL, 0, NULL, 0},
    };
    struct kvstore store = {
        .options = {.permits = 3},
        .values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify)g_bytes_unref),
    };
    int option;

    standin_process_init();
    while ((option = getopt_long(argc, argv, "", long_options, NULL)) != -1) {
        if (option == 'p') {
            store.options.port = (uint16_t)g_ascii_strtoull(optarg, NULL, 10);
        }
        else if (option == 'n') {
            store.options.permits = g_ascii_strtod(optarg, NULL);
        }
        else {
            fprintf(stderr, "%s: bad option: see tests/standins/README.md\n",
                    argv[0]);
            return 2;
        }
    }
    pthread_mutex_init(&store.lock, NULL);
    standin_cond_init(&store.changed);
    pgw_list_init(&store.loads);
    g_thread_unref(g_thread_new("loads", run_loads, &store));
    standin_server_run(&(struct standin_server_options){
        .port = store.options.port,
        .threads = 2,
        .handle = handle,
        .data = &store,
    });
}
