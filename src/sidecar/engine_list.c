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

/* A name that comes twice counts as it is found last. */
static void
begin_array(struct engine_list *list, GArray **array, size_t size,
            void (*read)(GArray *array, struct pgw_json_scan *scan))
{
    g_clear_pointer(array, g_array_unref);
    if (!pgw_json_scan_is(&list->scan, '[')) {
        pgw_json_scan_skip(&list->scan);
        return;
    }
    pgw_json_scan_enter(&list->scan, '[');
    *array = g_array_new(FALSE, FALSE, (guint)size);
    list->array = *array;
    list->read = read;
}

static void
read_item(struct engine_list *list)
{
    if (!pgw_json_scan_item(&list->scan)) {
        list->array = NULL;
    }
    else if (pgw_json_scan_is(&list->scan, '{')) {
        list->read(list->array, &list->scan);
    }
    else {
        pgw_json_scan_skip(&list->scan);
    }
}

static void
read_version(struct engine_list *list)
{
    struct pgw_json_text text;

    pgw_json_scan_text(&list->scan, &text);
    g_free(list->version);
    list->version = pgw_json_text_dup(&text);
}

static void
read_member(struct engine_list *list, const struct pgw_json_text *name)
{
    if (pgw_json_text_is(name, "incarnation")) {
        list->incarnation = pgw_json_scan_hex(&list->scan);
    }
    else if (pgw_json_text_is(name, "version")) {
        read_version(list);
    }
    else if (pgw_json_text_is(name, "last")) {
        list->last = pgw_json_scan_uint(&list->scan);
    }
    else if (pgw_json_text_is(name, "events")) {
        begin_array(list, &list->events, sizeof(struct pgw_cache_event),
                    read_event);
    }
    else if (pgw_json_text_is(name, "blocks")) {
        begin_array(list, &list->blocks, sizeof(struct pgw_cache_block),
                    read_block);
    }
    else {
        pgw_json_scan_skip(&list->scan);
    }
}

void
engine_list_init(struct engine_list *out, const char *text, size_t size)
{
    *out = (struct engine_list){
        .version = g_strdup(""),
        .scan = PGW_JSON_SCAN(text, size),
    };
    pgw_json_scan_enter(&out->scan, '{');
}

static gint
compare_seq(gconstpointer a, gconstpointer b)
{
    const struct pgw_cache_event *left = a;
    const struct pgw_cache_event *right = b;

    return (left->seq > right->seq) - (left->seq < right->seq);
}

/* An event that comes after its successor looks like a gap to whoever takes
 * them a few at a time. They mostly come in order. */
static void
sort_events(GArray *events)
{
    for (guint i = 1; events != NULL && i < events->len; i++) {
        if (compare_seq(&g_array_index(events, struct pgw_cache_event, i - 1),
                        &g_array_index(events, struct pgw_cache_event, i)) >
            0) {
            g_array_sort(events, compare_seq);
            return;
        }
    }
}

static enum engine_list_state
end(struct engine_list *list)
{
    if (!pgw_json_scan_done(&list->scan) ||
        !g_utf8_validate(list->version, -1, NULL)) {
        return ENGINE_LIST_BROKEN;
    }
    sort_events(list->events);
    return ENGINE_LIST_WHOLE;
}

enum engine_list_state
engine_list_read(struct engine_list *list, size_t most)
{
    struct pgw_json_text name;

    for (size_t i = 0; i < most; i++) {
        if (list->array != NULL) {
            read_item(list);
        }
        else if (pgw_json_scan_member(&list->scan, &name)) {
            read_member(list, &name);
        }
        else {
            return end(list);
        }
    }
    return ENGINE_LIST_MORE;
}

void
engine_list_dispose(struct engine_list *list)
{
    g_clear_pointer(&list->version, g_free);
    g_clear_pointer(&list->events, g_array_unref);
    g_clear_pointer(&list->blocks, g_array_unref);
    list->array = NULL;
}
