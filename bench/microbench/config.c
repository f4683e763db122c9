#include "microbench.h"

#include <parsleygw/config.h>
#include <parsleygw/member.h>
#include <stdio.h>
#include <string.h>

#define POOLS 16

struct config_state {
    struct pgw_config_set *set;
    struct pgw_config_set *peer;
    struct pgw_config *config;
    struct pgw_members *members;
    uint64_t size;
    uint64_t version;
};

static void
apply(struct pgw_config_set *set, const char *kind, uint64_t index,
      uint64_t version, const char *value)
{
    char name[32];

    snprintf(name, sizeof(name), "%s-%05u", kind, (unsigned)index);
    pgw_config_set_apply(set, kind, name, version, value, NULL, NULL);
}

/* A workspace as operators write it: limits and one key. */
static void
apply_workspace(struct pgw_config_set *set, uint64_t index, uint64_t version)
{
    char value[256];

    snprintf(value, sizeof(value),
             "{\"share\":%u,\"max_inflight\":64,\"keys\":[{\"id\":\"k1\","
             "\"sha256\":\"%016llx%016llx%016llx%016llx\",\"revoked\":false}]"
             "}",
             1 + (unsigned)(version % 8),
             (unsigned long long)microbench_mix(index),
             (unsigned long long)microbench_mix(index + 1),
             (unsigned long long)microbench_mix(index + 2),
             (unsigned long long)microbench_mix(index + 3));
    apply(set, "workspace", index, version, value);
}

static void
apply_upstream(struct pgw_config_set *set, uint64_t index, uint64_t version)
{
    char value[256];

    snprintf(value, sizeof(value),
             "{\"pool\":\"pool-%05u\",\"zone\":\"zone-%u\",\"address\":"
             "\"10.%u.%u.%u:7000\",\"state\":\"joined\"}",
             (unsigned)(index % POOLS), (unsigned)(index % 3),
             (unsigned)(index >> 16), (unsigned)(index >> 8 & 255),
             (unsigned)(index & 255));
    apply(set, "upstream", index, version, value);
}

static struct config_state *
state_new(uint64_t size)
{
    struct config_state *state = g_new0(struct config_state, 1);

    state->set = pgw_config_set_new();
    state->size = size;
    state->version = size;
    return state;
}

static void
config_teardown(void *data)
{
    struct config_state *state = data;

    pgw_members_free(state->members);
    pgw_config_unref(state->config);
    pgw_config_set_free(state->peer);
    pgw_config_set_free(state->set);
    g_free(state);
}

static void *
workspaces_setup(uint64_t size)
{
    struct config_state *state = state_new(size);

    for (uint64_t i = 0; i < size; i++) {
        apply_workspace(state->set, i, i + 1);
    }
    state->config = pgw_config_build(state->set);
    return state;
}

/* One operator's edit: parse, check, merge, and a new snapshot. */
static void
workspaces_run(void *data, uint64_t turn)
{
    struct config_state *state = data;

    apply_workspace(state->set, microbench_mix(turn) % state->size,
                    ++state->version);
    pgw_config_unref(state->config);
    state->config = pgw_config_build(state->set);
}

static void
key_run(void *data, uint64_t turn)
{
    const struct config_state *state = data;
    uint64_t index = microbench_mix(turn) % state->size;
    uint8_t digest[PGW_KEY_DIGEST_SIZE];

    for (unsigned i = 0; i < 4; i++) {
        uint64_t word = GUINT64_TO_BE(microbench_mix(index + i));

        memcpy(&digest[8 * i], &word, sizeof(word));
    }
    microbench_use(
        (uintptr_t)pgw_config_workspace_by_key(state->config, digest));
}

static void *
upstreams_setup(uint64_t size)
{
    struct config_state *state = state_new(size);

    for (uint64_t i = 0; i < size; i++) {
        apply_upstream(state->set, i, i + 1);
    }
    state->config = pgw_config_build(state->set);
    return state;
}

static void
upstreams_run(void *data, uint64_t turn)
{
    struct config_state *state = data;

    apply_upstream(state->set, microbench_mix(turn) % state->size,
                   ++state->version);
    pgw_config_unref(state->config);
    state->config = pgw_config_build(state->set);
}

static void *
members_setup(uint64_t size)
{
    struct config_state *state = upstreams_setup(size);
    struct pgw_member_options options = PGW_MEMBER_OPTIONS_INIT;

    state->members = pgw_members_new(&options);
    pgw_members_set_config(state->members, state->config);
    pgw_member_view_unref(pgw_members_build(state->members));
    return state;
}

/* One upstream says Hello as a new process, and a new view. */
static void
members_run(void *data, uint64_t turn)
{
    struct config_state *state = data;
    char id[32];

    snprintf(id, sizeof(id), "upstream-%05u",
             (unsigned)(microbench_mix(turn) % state->size));
    pgw_members_connected(state->members, id, turn + 1);
    pgw_member_view_unref(pgw_members_build(state->members));
}

static void *
exchange_setup(uint64_t size)
{
    struct config_state *state = workspaces_setup(size);

    state->peer = pgw_config_set_new();
    for (uint64_t i = 0; i < size; i++) {
        apply_workspace(state->peer, i, i + 1);
    }
    return state;
}

static void
take(const char *kind, const char *name, uint64_t version, const char *value,
     void *data)
{
    pgw_config_set_apply(data, kind, name, version, value, NULL, NULL);
}

/* The whole set from nothing, as after a start, and its first snapshot. */
static void
load_run(void *data, uint64_t turn)
{
    const struct config_state *state = data;
    struct pgw_config_set *set = pgw_config_set_new();
    struct pgw_config *config;

    (void)turn;
    pgw_config_set_foreach(state->set, take, set);
    config = pgw_config_build(set);
    microbench_use((uintptr_t)config);
    pgw_config_unref(config);
    pgw_config_set_free(set);
}

/* Workspaces and upstreams in the proportion of the target size. */
static void *
whole_setup(uint64_t size)
{
    uint64_t workspaces = size * 29 / 39;
    struct config_state *state = state_new(size);

    for (uint64_t i = 0; i < workspaces; i++) {
        apply_workspace(state->set, i, i + 1);
    }
    for (uint64_t i = workspaces; i < size; i++) {
        apply_upstream(state->set, i - workspaces, i + 1);
    }
    state->config = pgw_config_build(state->set);
    return state;
}

static void
digest_run(void *data, uint64_t turn)
{
    const struct config_state *state = data;

    (void)turn;
    microbench_use(pgw_config_set_summary(state->set));
}

/* Anti-entropy after one missed change: buckets, versions, the object. */
static void
exchange_run(void *data, uint64_t turn)
{
    struct config_state *state = data;
    uint64_t own[PGW_CONFIG_BUCKETS];
    uint64_t theirs[PGW_CONFIG_BUCKETS];
    bool differ[PGW_CONFIG_BUCKETS];
    GArray *versions;

    apply_workspace(state->set, microbench_mix(turn) % state->size,
                    ++state->version);
    pgw_config_set_digest(state->set, own);
    pgw_config_set_digest(state->peer, theirs);
    for (unsigned i = 0; i < PGW_CONFIG_BUCKETS; i++) {
        differ[i] = own[i] != theirs[i];
    }
    versions = pgw_config_set_versions(state->peer, differ);
    microbench_use(versions->len);
    pgw_config_set_diff(state->set, NULL, 0, differ, take, state->peer);
    g_array_unref(versions);
}

const struct microbench_case microbench_config_cases[] = {
    {"config_apply_workspace",
     "workspaces",
     {1000, 3000, 10000, 29000},
     workspaces_setup,
     workspaces_run,
     config_teardown},
    {"config_key",
     "workspaces",
     {1000, 3000, 10000, 29000},
     workspaces_setup,
     key_run,
     config_teardown},
    {"config_apply_upstream",
     "upstreams",
     {100, 1000, 3000, 10000},
     upstreams_setup,
     upstreams_run,
     config_teardown},
    {"member_build",
     "upstreams",
     {100, 1000, 3000, 10000},
     members_setup,
     members_run,
     config_teardown},
    {"config_exchange",
     "workspaces",
     {1000, 3000, 10000, 29000},
     exchange_setup,
     exchange_run,
     config_teardown},
    {"config_load",
     "objects",
     {1000, 3900, 13000, 39000},
     whole_setup,
     load_run,
     config_teardown},
    {"config_summary",
     "objects",
     {1000, 3900, 13000, 39000},
     whole_setup,
     digest_run,
     config_teardown},
    {NULL, NULL, {0}, NULL, NULL, NULL},
};
