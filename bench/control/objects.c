#include "control.h"

#include <stdio.h>
#include <string.h>

#define POOLS 7
/* Discard: no service of a loopback address answers there. */
#define DEAD_PORT 9

void
objects_upstream_name(char out[32], unsigned number)
{
    snprintf(out, 32, "upstream-%05u", number);
}

char *
objects_workspace(unsigned number, unsigned share)
{
    char key[32];
    char *digest;
    char *value;

    snprintf(key, sizeof(key), "key-of-%u", number);
    digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
    value = g_strdup_printf("{\"share\":%u,\"max_inflight\":64,\"keys\":[{"
                            "\"id\":\"k1\",\"sha256\":\"%s\",\"revoked\":"
                            "false}]}",
                            share, digest);
    g_free(digest);
    return value;
}

static void
append(GString *out, const char *kind, const char *name, uint64_t version,
       const char *value)
{
    g_string_append_printf(out,
                           "%s{\"kind\":\"%s\",\"name\":\"%s\",\"version\":"
                           "%" G_GUINT64_FORMAT ",\"value\":%s}",
                           version == 1 ? "" : ",\n", kind, name, version,
                           value);
}

char *
objects_text(unsigned workspaces, const uint16_t *ports, size_t n_ports)
{
    GString *out = g_string_new("{\"objects\":[");
    uint64_t version = 0;
    char name[32];

    for (unsigned i = 0; i < POOLS; i++) {
        snprintf(name, sizeof(name), "pool-%u", i);
        append(out, "pool", name, ++version,
               "{\"type\":\"service\",\"model\":\"\",\"version\":\"\","
               "\"load_permits\":1,\"checks_fencing\":false,\"kv_store\":"
               "\"\",\"bytes_per_token\":4}");
    }
    for (unsigned i = 0; i < workspaces; i++) {
        char *value = objects_workspace(i, 1);

        snprintf(name, sizeof(name), "workspace-%05u", i);
        append(out, "workspace", name, ++version, value);
        g_free(value);
    }
    for (unsigned i = 0; i < n_ports; i++) {
        char *value = g_strdup_printf(
            "{\"pool\":\"pool-%u\",\"zone\":\"zone-%u\",\"address\":"
            "\"127.0.0.1:%u\",\"state\":\"joined\"}",
            i % POOLS, i % 3, ports[i] == 0 ? DEAD_PORT : ports[i]);

        objects_upstream_name(name, i);
        append(out, "upstream", name, ++version, value);
        g_free(value);
    }
    g_string_append(out, "]}\n");
    return g_string_free(out, FALSE);
}

uint64_t
objects_put(struct harness_process *store, const char *kind, const char *name,
            const char *value)
{
    static const char *const headers[] = {"If-Match: 0", NULL};
    char *path = g_strdup_printf("/objects/%s/%s", kind, name);
    struct harness_answer answer;
    JsonNode *root;
    uint64_t version;

    if (harness_send(&answer, &(struct harness_call){
                                  .method = "PUT",
                                  .url = harness_process_url(store, path),
                                  .headers = headers,
                                  .body = value,
                              }) != 200) {
        g_error("PUT %s: %s", path, answer.body->str);
    }
    root = harness_parse(answer.body->str);
    version = (uint64_t)harness_json_int(root, "version");
    json_node_unref(root);
    harness_answer_dispose(&answer);
    g_free(path);
    return version;
}
