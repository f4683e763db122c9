#include "sidecar/engine_list.h"
#include "util/hex.h"
#include "util/json_scan.h"
#include <string.h>

static bool
read_kind(enum pgw_cache_kind *out, struct pgw_json_scan *scan)
{
    static const char *const names[] = {
        [PGW_CACHE_STORED] = "stored",
        [PGW_CACHE_USED] = "used",
        [PGW_CACHE_EVICTED] = "evicted",
        [PGW_CACHE_CLEARED] = "cleared",
    };
    struct pgw_json_text text;

    pgw_json_scan_text(scan, &text);
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (pgw_json_text_is(&text, names[i])) {
            *out = (enum pgw_cache_kind)i;
            return true;
        }
    }
    return false;
}

static void
read_request(struct pgw_request_id *out, struct pgw_json_scan *scan)
{
    char digits[PGW_REQUEST_ID_TEXT_SIZE];
    struct pgw_json_text text;

    pgw_json_scan_text(scan, &text);
    if (text.size != sizeof(digits) - 1) {
        return;
    }
    memcpy(digits, text.start, text.size);
    digits[text.size] = '\0';
    if (!pgw_request_id_parse(out, digits)) {
        *out = (struct pgw_request_id){{0}};
    }
}

static void
read_event(GArray *events, struct pgw_json_scan *scan)
{
    struct pgw_cache_event event = {0};
    struct pgw_json_text name;
    bool known = false;

    pgw_json_scan_enter(scan, '{');
    while (pgw_json_scan_member(scan, &name)) {
        if (pgw_json_text_is(&name, "seq")) {
            event.seq = pgw_json_scan_uint(scan);
        }
        else if (pgw_json_text_is(&name, "kind")) {
            known = read_kind(&event.kind, scan);
        }
        else if (pgw_json_text_is(&name, "block")) {
            event.block = pgw_json_scan_hex(scan);
        }
        else if (pgw_json_text_is(&name, "parent")) {
            event.parent = pgw_json_scan_hex(scan);
        }
        else if (pgw_json_text_is(&name, "end_token")) {
            event.end_token = (uint32_t)pgw_json_scan_uint(scan);
        }
        else if (pgw_json_text_is(&name, "request_id")) {
            read_request(&event.request, scan);
        }
        else {
            pgw_json_scan_skip(scan);
        }
    }
    if (known) {
        g_array_append_val(events, event);
    }
}

static void
read_block(GArray *blocks, struct pgw_json_scan *scan)
{
    struct pgw_cache_block block = {0};
    struct pgw_json_text name;

    pgw_json_scan_enter(scan, '{');
    while (pgw_json_scan_member(scan, &name)) {
        if (pgw_json_text_is(&name, "block")) {
            block.block = pgw_json_scan_hex(scan);
        }
        else if (pgw_json_text_is(&name, "parent")) {
            block.parent = pgw_json_scan_hex(scan);
        }
        else {
            pgw_json_scan_skip(scan);
        }
    }
    g_array_append_val(blocks, block);
}

/* Return: NULL when the value is no array. A name that comes twice counts as
 * it is found last. */
static GArray *
read_array(GArray *before, size_t size, struct pgw_json_scan *scan,
           void (*read)(GArray *array, struct pgw_json_scan *scan))
{
    GArray *array;

    if (before != NULL) {
        g_array_unref(before);
    }
    if (!pgw_json_scan_is(scan, '[')) {
        pgw_json_scan_skip(scan);
        return NULL;
    }
    array = g_array_new(FALSE, FALSE, (guint)size);
    pgw_json_scan_enter(scan, '[');
    while (pgw_json_scan_item(scan)) {
        if (pgw_json_scan_is(scan, '{')) {
            read(array, scan);
        }
        else {
            pgw_json_scan_skip(scan);
        }
    }
    return array;
}

static void
read_version(struct engine_list *out, struct pgw_json_scan *scan)
{
    struct pgw_json_text text;

    pgw_json_scan_text(scan, &text);
    g_free(out->version);
    out->version = pgw_json_text_dup(&text);
}

static void
read_member(struct engine_list *out, struct pgw_json_scan *scan,
            const struct pgw_json_text *name)
{
    if (pgw_json_text_is(name, "incarnation")) {
        out->incarnation = pgw_json_scan_hex(scan);
    }
    else if (pgw_json_text_is(name, "version")) {
        read_version(out, scan);
    }
    else if (pgw_json_text_is(name, "last")) {
        out->last = pgw_json_scan_uint(scan);
    }
    else if (pgw_json_text_is(name, "events")) {
        out->events = read_array(out->events, sizeof(struct pgw_cache_event),
                                 scan, read_event);
    }
    else if (pgw_json_text_is(name, "blocks")) {
        out->blocks = read_array(out->blocks, sizeof(struct pgw_cache_block),
                                 scan, read_block);
    }
    else {
        pgw_json_scan_skip(scan);
    }
}

bool
engine_list_read(struct engine_list *out, const char *text, size_t size)
{
    struct pgw_json_scan scan = PGW_JSON_SCAN(text, size);
    struct pgw_json_text name;

    *out = (struct engine_list){.version = g_strdup("")};
    pgw_json_scan_enter(&scan, '{');
    while (pgw_json_scan_member(&scan, &name)) {
        read_member(out, &scan, &name);
    }
    if (pgw_json_scan_done(&scan) && g_utf8_validate(out->version, -1, NULL)) {
        return true;
    }
    engine_list_dispose(out);
    return false;
}

void
engine_list_dispose(struct engine_list *list)
{
    g_clear_pointer(&list->version, g_free);
    g_clear_pointer(&list->events, g_array_unref);
    g_clear_pointer(&list->blocks, g_array_unref);
}
