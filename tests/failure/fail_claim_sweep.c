/*
 * A kitchen orders a label under a key that is almost a day old and gets it;
 * its repeat gets the same answer. When the key's day is over each repeat is
 * refused as "expired", "unknown", at either entry, and the label is never
 * printed again. Meanwhile two sidecars delete the records of earlier days,
 * both the same ones, while the store loses the answers of all deletions:
 * these go, each once, and records that still count stay.
 */
#include <string.h>

#include "harness_fleet.h"
#include "parsleygw/claim.h"
#include "parsleygw/store.h"

#define LIMIT_S 120
/* How much of its day the key still has when it is first used. */
#define LIFE_US (20 * G_USEC_PER_SEC)
#define KEYS 16
#define OLD 4
/* A first use goes back 360 periods from a day and an hour before it, oldest
 * first, four a second. These are some way on, so that all are in place. */
#define OLD_PERIODS 320
#define STORE_US (10 * G_USEC_PER_SEC)

static const struct pgw_claim_layout layout = {
    .service = "print",
    .shards = 4,
    .period_us = 10ull * G_USEC_PER_SEC,
    .retention_us = 24ull * 3600 * G_USEC_PER_SEC,
    .skew_us = 600ull * G_USEC_PER_SEC,
};

struct desk {
    struct fleet *fleet;
    struct pgw_store *store;
    uint32_t shard;
    unsigned serial;
    char old[OLD][PGW_CLAIM_NAME_SIZE];
    unsigned wanted; /* of @old that may be left */
    const char *key;
    unsigned served[2];
};

/* A key born then that belongs to the desk's shard. */
static char *
make_key(struct desk *desk, uint64_t created_us)
{
    struct pgw_claim_location place;
    guint64 ms = created_us / 1000;

    for (;;) {
        char *key =
            g_strdup_printf("%08x-%04x-7000-8000-%012x", (unsigned)(ms >> 16),
                            (unsigned)(ms & 0xffff), ++desk->serial);

        g_assert_true(pgw_claim_locate(&place, &layout, "parish", key,
                                       (uint64_t)g_get_real_time(), NULL));
        if (place.shard == desk->shard) {
            return key;
        }
        g_free(key);
    }
}

static struct harness_answer
print_label(struct harness_process *entry, const char *key)
{
    char *header = g_strdup_printf("Idempotency-Key: %s", key);
    const char *headers[] = {header, NULL};
    struct harness_call call = {.headers = headers, .body = "{\"label\":1}"};
    struct harness_answer answer;

    fleet_call(&answer, entry, "/svc/print/label", &call);
    g_free(header);
    return answer;
}

/* Marks in @served the instance that answered. */
static void
note_server(struct desk *desk, const struct harness_answer *answer)
{
    desk->served[0] += strstr(answer->headers->str, "up0") != NULL;
    desk->served[1] += strstr(answer->headers->str, "up1") != NULL;
}

static void
assert_printed(struct desk *desk, unsigned entry, const char *key)
{
    struct harness_answer answer =
        print_label(desk->fleet->entries[entry], key);
    JsonNode *node;

    g_assert_cmpint(answer.status, ==, 200);
    note_server(desk, &answer);
    node = harness_parse(answer.body->str);
    g_assert_cmpint(harness_json_int(node, "execution"), ==, 1);
    json_node_unref(node);
    harness_answer_dispose(&answer);
}

static gint64
count_prints(struct desk *desk, const char *key)
{
    JsonNode *node = harness_get_json(
        harness_process_url(desk->fleet->service, "/_counts"));
    gint64 count =
        harness_json(node, key) == NULL ? 0 : harness_json_int(node, key);

    json_node_unref(node);
    return count;
}

static void
lose_answers(struct desk *desk, const char *order)
{
    struct harness_answer answer;

    g_assert_cmpint(
        harness_post(&answer,
                     harness_process_url(desk->fleet->objects, "/_control"),
                     order),
        ==, 200);
    harness_answer_dispose(&answer);
}

/* A second instance beside the same service. */
static void
add_sidecar(struct fleet *fleet)
{
    const char *path = harness_write_file(
        fleet->harness, "up1.json",
        "{\"instance\":\"up1\",\"zone\":\"a\",\"pool\":\"desk\",\"listen\":"
        "\"127.0.0.1:0\",\"admin_listen\":\"127.0.0.1:0\",\"upstream_url\":"
        "\"http://127.0.0.1:%u\",\"upstream_type\":\"service\","
        "\"store_url\":\"http://127.0.0.1:%u\"}",
        harness_process_port(fleet->service),
        harness_process_port(fleet->stores[0]));

    fleet->sidecars[1] = harness_spawn(fleet->harness, "parsleygw-sidecar",
                                       "--config", path, NULL);
    fleet_put(fleet, "upstream", "up1",
              "{\"pool\":\"desk\",\"zone\":\"a\",\"address\":\"127.0.0.1:%u\","
              "\"state\":\"joined\"}",
              harness_process_port(fleet->sidecars[1]));
    for (unsigned i = 0; i < 2; i++) {
        fleet_wait_configured(fleet, fleet->entries[i]);
        fleet_wait_usable(fleet->entries[i], 2);
    }
}

static void
desk_open(struct desk *desk)
{
    struct pgw_store_options store = PGW_STORE_OPTIONS_INIT;
    struct fleet_options options = FLEET_OPTIONS_INIT;

    *desk = (struct desk){.shard = 1};
    options.engines = 0;
    options.entries = 2;
    options.service = true;
    desk->fleet = fleet_new(&options);
    add_sidecar(desk->fleet);
    store.url = harness_process_url(desk->fleet->objects, "");
    g_assert_true(pgw_store_new(&desk->store, &store, NULL));
}

static void
desk_close(struct desk *desk)
{
    pgw_store_free(desk->store);
    fleet_free(desk->fleet);
}

/* Records of earlier days, as processes of then left them. */
static void
add_old(struct desk *desk)
{
    uint64_t age = layout.retention_us + 3600ull * G_USEC_PER_SEC;
    uint64_t period = ((uint64_t)g_get_real_time() - age) / layout.period_us;
    struct pgw_store_object object;

    for (unsigned i = 0; i < OLD; i++) {
        g_snprintf(desk->old[i], PGW_CLAIM_NAME_SIZE,
                   "print.%u.%" G_GUINT64_FORMAT, desk->shard,
                   period - OLD_PERIODS + 8 * i);
        g_assert_true(pgw_store_put_if(
            desk->store, &object, PGW_CLAIM_KIND, desk->old[i], 0, "{}",
            (uint64_t)g_get_monotonic_time() + STORE_US, NULL));
        pgw_store_object_dispose(&object);
    }
}

static bool
is_kept(struct desk *desk, const char *name)
{
    struct pgw_store_object object;
    bool kept =
        pgw_store_get(desk->store, &object, PGW_CLAIM_KIND, name,
                      (uint64_t)g_get_monotonic_time() + STORE_US, NULL);

    if (kept) {
        pgw_store_object_dispose(&object);
    }
    return kept;
}

static bool
are_deleted(void *data)
{
    struct desk *desk = data;
    unsigned left = 0;

    for (unsigned i = 0; i < OLD; i++) {
        left += is_kept(desk, desk->old[i]);
    }
    return left <= desk->wanted;
}

static bool
is_expired(void *data)
{
    struct desk *desk = data;
    struct harness_answer answer =
        print_label(desk->fleet->entries[0], desk->key);
    bool expired = answer.status == 410;

    g_assert_true(expired || answer.status == 200);
    harness_answer_dispose(&answer);
    return expired;
}

static void
assert_expired(struct desk *desk, const char *key)
{
    for (unsigned i = 0; i < 2; i++) {
        struct harness_answer answer =
            print_label(desk->fleet->entries[i], key);

        fleet_assert_refusal(&answer, 410, "expired", "unknown");
        harness_answer_dispose(&answer);
    }
}

/* Calls of several periods, so that both sidecars have used the shard. */
static void
use_shard(struct desk *desk)
{
    for (unsigned i = 0; i < KEYS; i++) {
        char *key =
            make_key(desk, (uint64_t)g_get_real_time() - i * layout.period_us);

        assert_printed(desk, i % 2, key);
        g_assert_cmpint(count_prints(desk, key), ==, 1);
        g_free(key);
    }
    g_assert_cmpuint(desk->served[0], >, 0);
    g_assert_cmpuint(desk->served[1], >, 0);
}

static void
test_deleted(void)
{
    struct pgw_claim_location place;
    struct desk desk;
    char *key;
    char *gone;

    desk_open(&desk);
    add_old(&desk);
    key = make_key(&desk, (uint64_t)g_get_real_time() - layout.retention_us +
                              LIFE_US);
    desk.key = key;
    assert_printed(&desk, 0, key);
    assert_printed(&desk, 1, key);
    use_shard(&desk);

    lose_answers(&desk, "{\"lose_answers\":100000}");
    desk.wanted = OLD / 2;
    g_assert_true(harness_wait_until(are_deleted, &desk, LIMIT_S));
    lose_answers(&desk, "{\"lose_answers\":0}");
    desk.wanted = 0;
    g_assert_true(harness_wait_until(are_deleted, &desk, LIMIT_S));

    g_assert_true(harness_wait_until(is_expired, &desk, LIMIT_S));
    assert_expired(&desk, key);
    g_assert_cmpint(count_prints(&desk, key), ==, 1);
    g_assert_true(pgw_claim_locate(&place, &layout, "parish", key,
                                   (uint64_t)g_get_real_time(), NULL));
    g_assert_true(is_kept(&desk, place.name));

    gone = make_key(
        &desk, (g_ascii_strtoull(strrchr(desk.old[0], '.') + 1, NULL, 10)) *
                   layout.period_us);
    assert_expired(&desk, gone);
    g_assert_cmpint(count_prints(&desk, gone), ==, 0);
    g_free(gone);
    g_free(key);
    desk_close(&desk);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/claim-sweep/deleted", test_deleted);
    return g_test_run();
}
