/* Fuzzes the decoders of input from other processes: records of upstreams,
 * configurations, and reports and cache events of engines. A decoder accepts
 * or rejects its input; a critical message of GLib aborts the process. */
#include "codec.h"
#include "decode.h"
#include "util/log.h"
#include <stdio.h>

#include "fuzz/fuzz_input.h"

#define INPUTS 20000

static const char server_record[] =
    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
    "\"capacity\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"born\":17,"
    "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]}";
static const char config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\""
    ":\"/a/\",\"kind\":\"stream\",\"traffic_split\":[{\"service\":\"s\","
    "\"weight\":9}]}],\"services\":[{\"name\":\"s\",\"engine_kind\":{"
    "\"capacity\":1}}],\"tenants\":[{\"name\":\"w\",\"api_keys\":[\"k\"]}],"
    "\"limits\":{\"max_body_bytes\":9}}";
static const char report[] =
    "{\"models\":[{\"name\":\"m\",\"version\":1}],\"busy\":false,\"sequence\":"
    "2,\"queued\":1,\"active\":1,\"kv_total\":9,\"born\":17,\"runs\":[[\"i\","
    "2000,0,5]]}";
static const char events[] =
    "{\"boot_epoch\":7,\"next\":2,\"lost_count\":false,\"born\":17,\"events\":"
    "[[1,\"+\",\"s\",\"p\",800,\"m\"]]}";

static bool
read_server_record(const char *text)
{
    struct pgw_document document = {
        .kind = (char *)"servers",
        .name = (char *)"i",
        .revision = 1,
        .body = (char *)text,
    };
    struct platform_server server;
    bool is_valid = platform_decode_server(&server, &document);

    if (is_valid) {
        g_assert_cmpuint(strlen(server.facts.service), >, 0);
        g_assert_cmpuint(strlen(server.facts.address), >, 0);
        g_assert_cmpuint(server.facts.slots, >, 0);
    }
    platform_server_dispose(&server);
    return is_valid;
}

static bool
read_config(const char *text)
{
    struct pgw_document document = {
        .kind = (char *)"config",
        .name = (char *)"main",
        .revision = 1,
        .body = (char *)text,
    };
    struct pgw_route_table *table = platform_decode_config(&document);

    pgw_route_table_unref(table);
    return table != NULL;
}

static bool
read_report(const char *text)
{
    struct pgw_engine_report out = {0};
    bool is_valid =
        platform_engine_codec.read_report(&out, text, strlen(text));

    for (size_t i = 0; i < out.model_count; i++) {
        g_free(out.models[i].model);
    }
    g_free(out.runs);
    return is_valid;
}

static bool
read_events(const char *text)
{
    struct pgw_cache_events out = {0};
    bool is_valid =
        platform_engine_codec.read_events(&out, text, strlen(text));

    g_free(out.events);
    return is_valid;
}

static const struct {
    const char *name;
    const char *valid;
    bool (*read)(const char *text);
} decoders[] = {
    {"server records", server_record, read_server_record},
    {"configurations", config, read_config},
    {"reports", report, read_report},
    {"cache events", events, read_events},
};

int
main(void)
{
    GRand *random = g_rand_new_with_seed(FUZZ_SEED);
    GByteArray *input = g_byte_array_new();

    g_log_set_always_fatal(G_LOG_LEVEL_CRITICAL | G_LOG_FATAL_MASK);
    pgw_log_init("fuzz", "", "error");
    for (size_t i = 0; i < G_N_ELEMENTS(decoders); i++) {
        struct fuzz_seed seed = {
            .data = (const uint8_t *)decoders[i].valid,
            .size = strlen(decoders[i].valid),
        };
        unsigned accepted = 0;

        for (unsigned j = 0; j < INPUTS; j++) {
            fuzz_next(input, random, &seed, 1);
            g_byte_array_append(input, (const guint8 *)"", 1);
            accepted += decoders[i].read((const char *)input->data);
        }
        g_print("%s: accepted %u of %u\n", decoders[i].name, accepted, INPUTS);
        g_assert_cmpuint(accepted, >, INPUTS / 20);
        g_assert_cmpuint(accepted, <, INPUTS);
    }
    g_byte_array_unref(input);
    g_rand_free(random);
    return 0;
}
