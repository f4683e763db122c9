#include "decode.h"
#include "gateway/config/route_table.h"
#include "settings.h"
#include "util/log.h"
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

static const char config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"H.example\","
    "\"path_prefix\":\"/a/\",\"kind\":\"stream\",\"timeout_ms\":6000,"
    "\"target_latency_ms\":600,\"priority\":1,\"traffic_split\":["
    "{\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}],"
    "\"max_attempts\":2,\"no_auth\":false,\"resumable\":true},"
    "{\"name\":\"r2\",\"host\":\"h.example\",\"path_prefix\":\"/b/\","
    "\"kind\":\"non_idempotent\",\"timeout_ms\":1500,\"service\":\"s2\","
    "\"max_attempts\":1,\"no_auth\":true}],"
    "\"services\":[{\"name\":\"s1\",\"max_connections\":160,\"engine_kind\":"
    "{\"capacity\":12,\"kv_capacity\":143654}},{\"name\":\"kv\","
    "\"kv_store_addr\":\"10.0.0.2:1\",\"zone\":\"z\"}],"
    "\"limits\":{\"max_header_bytes\":1000,\"idle_timeout_ms\":15000},"
    "\"tenants\":[{\"name\":\"w\",\"api_keys\":[\"k1\",\"k2\"],"
    "\"priority\":1,\"isolated\":true}]}";

static struct pgw_document
make_document(const char *kind, const char *name, const char *body)
{
    return (struct pgw_document){
        .kind = (char *)kind,
        .name = (char *)name,
        .revision = 1,
        .body = (char *)body,
    };
}

static void
test_config(void)
{
    struct pgw_document document = make_document("config", "main", config);
    struct pgw_route_table *table = platform_decode_config(&document);
    const struct pgw_route *route;

    g_assert_nonnull(table);
    g_assert_cmpuint(pgw_route_table_version(table), ==, 7);
    route = pgw_route_table_match(table, "h.example", "/a/x");
    g_assert_true(route->stream);
    g_assert_true(route->resumable);
    g_assert_false(route->open);
    g_assert_cmpuint(route->target_count, ==, 2);
    g_assert_cmpuint(route->targets[0].weight, ==, 90);
    g_assert_cmpuint(route->objective_ms, ==, 600);
    route = pgw_route_table_match(table, "h.example", "/b/x");
    g_assert_false(route->repeatable);
    g_assert_true(route->open);
    g_assert_cmpstr(pgw_route_pick(route, 3), ==, "s2");
    g_assert_cmpuint(pgw_route_table_service(table, "s1")->slots, ==, 12);
    g_assert_cmpstr(pgw_route_table_kv_store(table, 1)->store_address, ==,
                    "10.0.0.2:1");
    g_assert_true(pgw_route_table_workspace(table, "k2")->isolated);
    g_assert_cmpuint(pgw_route_table_limits(table)->head_bytes, ==, 1000);
    pgw_route_table_unref(table);
}

/* Guards against a workspace that shares what it caches, as its configuration
 * says neither yes nor no; and against other members of another type. */
static void
test_members_of_another_type(void)
{
    static const struct {
        const char *isolated;
        bool expected;
    } cases[] = {
        {"true", true}, {"false", false}, {"null", false}, {"1", true},
        {"0", true},    {"\"no\"", true}, {"[]", true},    {"{}", true},
    };
    struct pgw_document document;
    struct pgw_route_table *table;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = g_strdup_printf(
            "{\"version\":1,\"tenants\":[{\"name\":\"w\",\"api_keys\":"
            "[\"k\"],\"isolated\":%s}]}",
            cases[i].isolated);

        document = make_document("config", "main", text);
        table = platform_decode_config(&document);
        g_assert_cmpint(pgw_route_table_workspace(table, "k")->isolated, ==,
                        cases[i].expected);
        pgw_route_table_unref(table);
        g_free(text);
    }
    document = make_document("config", "main",
                             "{\"version\":1,\"routes\":[{\"host\":\"h\","
                             "\"path_prefix\":\"/\",\"traffic_split\":"
                             "[7,{\"service\":\"s\",\"weight\":1}]}]}");
    table = platform_decode_config(&document);
    g_assert_cmpstr(pgw_route_pick(pgw_route_table_match(table, "h", "/"), 5),
                    ==, "s");
    pgw_route_table_unref(table);
    document = make_document("config", "main", "{\"version\":\"1\"}");
    g_assert_null(platform_decode_config(&document));
}

/* Guards earlier deployments: runs are copied only where the configuration
 * states that engines take copies. */
static void
test_copies_are_offered(void)
{
    struct pgw_document document = make_document(
        "config", "main",
        "{\"version\":1,\"services\":[{\"name\":\"s\",\"engine_kind\":"
        "{\"kv_token_bytes\":163840,\"link_mbps\":1100000.0,"
        "\"backups\":true}},{\"name\":\"t\",\"engine_kind\":"
        "{\"capacity\":12}}]}");
    struct pgw_route_table *table = platform_decode_config(&document);
    const struct pgw_service *service = pgw_route_table_service(table, "s");

    g_assert_true(service->backups);
    g_assert_cmpfloat(service->link_mbps, ==, 1100000);
    g_assert_cmpfloat(service->kv_token_bytes, ==, 163840);
    g_assert_false(pgw_route_table_service(table, "t")->backups);
    pgw_route_table_unref(table);
}

static void
test_invalid_documents_are_rejected(void)
{
    struct pgw_document document = make_document("config", "main", "[1]");
    struct platform_server server;

    g_assert_null(platform_decode_config(&document));
    document = make_document("servers", "i", "{");
    g_assert_false(platform_decode_server(&server, &document));
    document = make_document("versions", "m", "{}");
    g_assert_cmpuint(platform_decode_target_version(&document), ==, 0);
}

/* Guards against upstreams from records of other writers that lack a required
 * field or have one of the wrong type. A record that only lacks optional
 * fields is valid. */
static void
test_invalid_server_records_are_rejected(void)
{
    static const char *const invalid[] = {
        "7",
        "\"text\"",
        "{}",
        "{\"service\":7,\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
        "\"capacity\":4,\"state\":\"ready\"}",
        "{\"service\":\"s\",\"zone\":\"z\",\"capacity\":4,"
        "\"state\":\"ready\"}",
        "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
        "\"capacity\":4,\"state\":\"warming\"}",
        "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
        "\"capacity\":\"4\",\"state\":\"ready\"}",
        "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
        "\"capacity\":4,\"state\":\"ready\",\"models\":{}}",
        "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
        "\"capacity\":4,\"state\":\"ready\",\"born\":\"now\"}",
    };
    /* Fields of another type beside all that are required. */
    static const char *const wrong_fields[] = {
        "\"born\":17.5",
        "\"born\":-17",
        "\"born\":0",
        "\"born\":null",
        "\"born\":[17]",
        "\"version\":7",
        "\"version\":null",
        "\"cold_left_ms\":\"50\"",
        "\"cold_left_ms\":-1",
        "\"sequence\":{}",
        "\"sequence\":\"4\"",
        "\"models\":[7]",
        "\"models\":\"m\"",
        "\"models\":[{\"version\":1}]",
        "\"models\":[{\"name\":\"m\",\"version\":\"1\"}]",
    };
    struct platform_server server;
    struct pgw_document document;

    for (size_t i = 0; i < G_N_ELEMENTS(wrong_fields); i++) {
        char *body = g_strdup_printf(
            "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
            "\"capacity\":4,\"state\":\"ready\",%s}",
            wrong_fields[i]);

        document = make_document("servers", "i", body);
        if (platform_decode_server(&server, &document)) {
            g_error("accepted: %s", body);
        }
        platform_server_dispose(&server);
        g_free(body);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        document = make_document("servers", "i", invalid[i]);
        g_assert_false(platform_decode_server(&server, &document));
        platform_server_dispose(&server);
    }
    /* A name that would add a field to each request. */
    document = make_document("servers", "i\r\nTenant: other",
                             "{\"service\":\"s\",\"address\":\"1.2.3.4:5\","
                             "\"zone\":\"z\",\"capacity\":4,\"state\":"
                             "\"ready\"}");
    g_assert_false(platform_decode_server(&server, &document));
    platform_server_dispose(&server);
    document = make_document("servers", "i",
                             "{\"service\":\"s\",\"address\":\"1.2.3.4:5\","
                             "\"zone\":\"z\",\"capacity\":4,\"state\":"
                             "\"draining\",\"born\":1796300000123}");
    g_assert_true(platform_decode_server(&server, &document));
    g_assert_true(server.facts.leaving);
    g_assert_cmpuint(server.facts.started_ms, ==, UINT64_C(1796300000123));
    platform_server_dispose(&server);
}

/* Guards against a large configuration that blocks the loop: it is read a few
 * elements per step. It is complete only after its last element, and invalid
 * if one element is invalid. */
static void
test_config_is_read_in_steps(void)
{
    struct pgw_document document = make_document("config", "main", config);
    struct platform_config_reader *reader =
        platform_config_reader_new(&document);
    unsigned steps = 1;

    g_assert_nonnull(reader);
    while (platform_config_reader_step(reader, 1) == PLATFORM_CONFIG_MORE) {
        steps++;
    }
    /* Two routes, two services, a workspace, and the end. */
    g_assert_cmpuint(steps, ==, 6);
    g_assert_nonnull(
        pgw_route_table_workspace(platform_config_reader_table(reader), "k1"));
    platform_config_reader_free(reader);
    document =
        make_document("config", "main", "{\"version\":7,\"routes\":[{},7]}");
    g_assert_null(platform_decode_config(&document));
}

static void
test_server(void)
{
    struct pgw_document document = make_document(
        "servers", "i-1",
        "{\"service\":\"s1\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
        "\"capacity\":12,\"state\":\"draining\",\"cold_left_ms\":50,"
        "\"models\":[{\"name\":\"m\",\"version\":4}]}");
    struct platform_server server;

    g_assert_true(platform_decode_server(&server, &document));
    g_assert_cmpstr(server.facts.id, ==, "i-1");
    g_assert_true(server.facts.leaving);
    g_assert_cmpuint(server.facts.slots, ==, 12);
    g_assert_cmpuint(server.facts.models[0].version, ==, 4);
    platform_server_dispose(&server);
}

static bool
load_settings(struct platform_settings **out, const char *text, bool is_entry,
              GError **error)
{
    char *path = NULL;
    int fd = g_file_open_tmp("settings-XXXXXX", &path, NULL);
    bool is_loaded;

    g_assert_cmpint(fd, >=, 0);
    close(fd);
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    is_loaded = platform_settings_load(out, path, is_entry, error);
    g_unlink(path);
    g_free(path);
    return is_loaded;
}

static const char settings_text[] =
    "node_name=edge-1\nzone=z\nbind_ip=10.1.0.30\n"
    "listen.front=10.1.0.30:8782\nlisten.ready=10.1.0.30:8789\n"
    "listen.control=10.1.0.30:8783\nport_range=7340,7355\n"
    "seed_nodes=10.1.0.30:8783,10.2.0.22:8783\n"
    "platform.address=10.200.1.7:8784\nbounds.budget_slack=56\n"
    "bounds.retry_budget_ratio=0.2\nunknown.field=1\n";

static void
test_settings(void)
{
    struct platform_settings *settings = NULL;
    GError *error = NULL;

    g_assert_true(load_settings(&settings, settings_text, true, &error));
    g_assert_no_error(error);
    g_assert_cmpstr(settings->instance, ==, "edge-1");
    g_assert_cmpuint(settings->sidecar_port, ==, 7340);
    g_assert_cmpuint(settings->seed_count, ==, 2);
    g_assert_cmpuint(settings->retry_slack, ==, 56);
    platform_settings_free(settings);
}

/* The error message names the missing key, so that an operator can find it. */
static void
test_settings_error_names_missing_key(void)
{
    struct platform_settings *settings = NULL;
    GError *error = NULL;

    g_assert_false(load_settings(&settings, "node_name=a\n", true, &error));
    g_assert_nonnull(strstr(error->message, "listen.front"));
    g_clear_error(&error);
    g_assert_false(load_settings(&settings, settings_text, false, &error));
    g_assert_nonnull(strstr(error->message, "app"));
    g_clear_error(&error);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pgw_log_init("test", "", "error");
    g_test_add_func("/platform_decode/members_of_another_type",
                    test_members_of_another_type);
    g_test_add_func("/platform_decode/config", test_config);
    g_test_add_func("/platform_decode/copies", test_copies_are_offered);
    g_test_add_func("/platform_decode/invalid_documents_are_rejected",
                    test_invalid_documents_are_rejected);
    g_test_add_func("/platform_decode/server", test_server);
    g_test_add_func("/platform_decode/invalid_server_records_are_rejected",
                    test_invalid_server_records_are_rejected);
    g_test_add_func("/platform_decode/config_is_read_in_steps",
                    test_config_is_read_in_steps);
    g_test_add_func("/platform_decode/settings", test_settings);
    g_test_add_func("/platform_decode/settings_error_names_missing_key",
                    test_settings_error_names_missing_key);
    return g_test_run();
}
