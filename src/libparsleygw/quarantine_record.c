#include "parsleygw/errors.h"
#include "parsleygw/quarantine.h"
#include "util/json_reader.h"

#include <json-glib/json-glib.h>
#include <string.h>
#include <xxhash.h>

void
pgw_fingerprint_compute(struct pgw_fingerprint *out, const char *workspace,
                        const void *body, size_t length)
{
    XXH64_hash_t seed = XXH3_64bits(workspace, strlen(workspace));
    XXH128_canonical_t canonical;

    XXH128_canonicalFromHash(&canonical,
                             XXH3_128bits_withSeed(body, length, seed));
    memcpy(out->bytes, canonical.digest, sizeof(out->bytes));
}

void
pgw_fingerprint_print(char out[PGW_FINGERPRINT_HEX],
                      const struct pgw_fingerprint *fingerprint)
{
    for (size_t i = 0; i < PGW_FINGERPRINT_SIZE; i++) {
        g_snprintf(out + 2 * i, 3, "%02x", fingerprint->bytes[i]);
    }
}

guint
pgw_fingerprint_hash(gconstpointer key)
{
    guint hash;

    /* A fingerprint is a digest: any part of it is evenly distributed. */
    memcpy(&hash, key, sizeof(hash));
    return hash;
}

gboolean
pgw_fingerprint_equal(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, PGW_FINGERPRINT_SIZE) == 0;
}

bool
pgw_fingerprint_parse(struct pgw_fingerprint *out, const char *text)
{
    if (strlen(text) != PGW_FINGERPRINT_HEX - 1) {
        return false;
    }
    for (size_t i = 0; i < PGW_FINGERPRINT_SIZE; i++) {
        int high = g_ascii_xdigit_value(text[2 * i]);
        int low = g_ascii_xdigit_value(text[2 * i + 1]);

        if (high < 0 || low < 0) {
            return false;
        }
        out->bytes[i] = (uint8_t)(high * 16 + low);
    }
    return true;
}

static bool
parse_hex(uint64_t *out, const char *text)
{
    guint64 number;

    if (text == NULL ||
        !g_ascii_string_to_unsigned(text, 16, 0, G_MAXUINT64, &number, NULL)) {
        return false;
    }
    *out = number;
    return true;
}

static bool
parse_crashes(struct pgw_quarantine_record *out, JsonNode *node)
{
    JsonArray *array;

    if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node)) {
        return false;
    }
    array = json_node_get_array(node);
    out->crash_count = json_array_get_length(array);
    if (out->crash_count > PGW_QUARANTINE_CRASHES) {
        return false;
    }
    for (guint i = 0; i < out->crash_count; i++) {
        if (!parse_hex(&out->crashes[i],
                       json_array_get_string_element(array, i))) {
            return false;
        }
    }
    return true;
}

static bool
parse_members(struct pgw_quarantine_record *out, JsonObject *root)
{
    return parse_crashes(out, json_object_get_member(root, "crashes")) &&
           parse_hex(&out->run_owner,
                     json_object_get_string_member_with_default(
                         root, "run_owner", "0")) &&
           parse_hex(&out->run_permit,
                     json_object_get_string_member_with_default(
                         root, "run_permit", "0"));
}

bool
pgw_quarantine_record_parse(struct pgw_quarantine_record *out,
                            const char *json, size_t length, GError **error)
{
    JsonNode *root = NULL;
    bool ok = false;

    memset(out, 0, sizeof(*out));
    pgw_json_parse(&root, json, length, "quarantine record", NULL);
    if (root != NULL && JSON_NODE_HOLDS_OBJECT(root)) {
        JsonObject *object = json_node_get_object(root);

        ok = parse_members(out, object);
        out->changed_us = (uint64_t)json_object_get_int_member_with_default(
            object, "changed_us", 0);
        out->run_until_us = (uint64_t)json_object_get_int_member_with_default(
            object, "run_until_us", 0);
    }
    if (!ok) {
        g_set_error_literal(error, PGW_ERROR, PGW_ERROR_INVALID,
                            "quarantine record is malformed; delete the "
                            "object to lift the quarantine");
    }
    g_clear_pointer(&root, json_node_unref);
    return ok;
}

char *
pgw_quarantine_record_print(const struct pgw_quarantine_record *record)
{
    GString *json = g_string_new("{\"crashes\":[");

    for (uint32_t i = 0; i < record->crash_count; i++) {
        g_string_append_printf(json, "%s\"%" G_GINT64_MODIFIER "x\"",
                               i > 0 ? "," : "", record->crashes[i]);
    }
    g_string_append_printf(json, "],\"changed_us\":%" G_GUINT64_FORMAT,
                           record->changed_us);
    if (record->run_owner != 0) {
        g_string_append_printf(json,
                               ",\"run_owner\":\"%" G_GINT64_MODIFIER
                               "x\",\"run_permit\":\"%" G_GINT64_MODIFIER
                               "x\",\"run_until_us\":%" G_GUINT64_FORMAT,
                               record->run_owner, record->run_permit,
                               record->run_until_us);
    }
    g_string_append_c(json, '}');
    return g_string_free(json, FALSE);
}

bool
pgw_quarantine_record_has_crash(const struct pgw_quarantine_record *record,
                                uint64_t crash)
{
    for (uint32_t i = 0; i < record->crash_count; i++) {
        if (record->crashes[i] == crash) {
            return true;
        }
    }
    return false;
}
