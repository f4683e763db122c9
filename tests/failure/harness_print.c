#include "harness_fleet.h"

static void *
print_thread(void *data)
{
    struct fleet_print *print = data;
    char *header = g_strdup_printf("Idempotency-Key: %s", print->key);
    const char *headers[] = {header, NULL};
    struct harness_call call = {.headers = headers, .body = "{\"label\":1}"};

    fleet_call(&print->answer, print->entry, "/svc/print/label", &call);
    g_free(header);
    return NULL;
}

void
fleet_print_start(struct fleet_print *print, struct harness_process *entry,
                  const char *key)
{
    *print = (struct fleet_print){.entry = entry, .key = key};
    g_assert_cmpint(pthread_create(&print->thread, NULL, print_thread, print),
                    ==, 0);
}

long
fleet_print_wait(struct fleet_print *print)
{
    pthread_join(print->thread, NULL);
    return print->answer.status;
}

gint64
fleet_print_count(struct fleet *fleet, const char *key)
{
    JsonNode *node =
        harness_get_json(harness_process_url(fleet->service, "/_counts"));
    gint64 count = 0;

    if (harness_json(node, key) != NULL) {
        count = harness_json_int(node, key);
    }
    json_node_unref(node);
    return count;
}
