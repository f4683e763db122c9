#include "sidecar/engine_list.h"
#include "util/hex.h"
#include <string.h>

/* Where the parser is: within the answer, one of its lists, one entry. */
enum depth {
    DEPTH_NONE,
    DEPTH_ANSWER,
    DEPTH_LIST,
    DEPTH_ENTRY,
};

enum key {
    KEY_OTHER,
    KEY_INCARNATION,
    KEY_VERSION,
    KEY_LAST,
    KEY_EVENTS,
    KEY_BLOCKS,
    KEY_SEQ,
    KEY_KIND,
    KEY_BLOCK,
    KEY_PARENT,
    KEY_END_TOKEN,
    KEY_REQUEST_ID,
};

static const char *const answer_keys[] = {
    [KEY_INCARNATION] = "incarnation",
    [KEY_VERSION] = "version",
    [KEY_LAST] = "last",
    [KEY_EVENTS] = "events",
    [KEY_BLOCKS] = "blocks",
};

static const char *const entry_keys[] = {
    [KEY_SEQ] = "seq",
    [KEY_KIND] = "kind",
    [KEY_BLOCK] = "block",
    [KEY_PARENT] = "parent",
    [KEY_END_TOKEN] = "end_token",
    [KEY_REQUEST_ID] = "request_id",
};

static const char *const kind_names[] = {
    [PGW_CACHE_STORED] = "stored",
    [PGW_CACHE_USED] = "used",
    [PGW_CACHE_EVICTED] = "evicted",
    [PGW_CACHE_CLEARED] = "cleared",
};

/* Index of the name; 0 for one that is not among them, and for the first. */
static size_t
find_name(const char *const *names, size_t n, const unsigned char *text,
          size_t size)
{
    for (size_t i = 0; i < n; i++) {
        if (names[i] != NULL && strlen(names[i]) == size &&
            memcmp(names[i], text, size) == 0) {
            return i;
        }
    }
    return 0;
}

static uint64_t
read_uint(const char *text, size_t size)
{
    uint64_t value = 0;

    for (size_t i = 0; i < size; i++) {
        if (!g_ascii_isdigit(text[i])) {
            return 0;
        }
        value = value * 10 + (uint64_t)(text[i] - '0');
    }
    return value;
}

/* The library's strtoull was a quarter of the time that a list takes. */
static uint64_t
read_hex(const unsigned char *text, size_t size)
{
    uint64_t value = 0;

    if (size > 2 * sizeof(value)) {
        return 0;
    }
    for (size_t i = 0; i < size; i++) {
        int digit = g_ascii_xdigit_value((gchar)text[i]);

        if (digit < 0) {
            return 0;
        }
        value = value << 4 | (uint64_t)digit;
    }
    return value;
}

static void
read_request(struct pgw_request_id *out, const unsigned char *text,
             size_t size)
{
    char digits[PGW_REQUEST_ID_TEXT_SIZE];

    if (size != sizeof(digits) - 1) {
        return;
    }
    memcpy(digits, text, size);
    digits[size] = '\0';
    if (!pgw_request_id_parse(out, digits)) {
        *out = (struct pgw_request_id){{0}};
    }
}

static void
read_kind(struct engine_list *list, const unsigned char *text, size_t size)
{
    size_t kind = find_name(kind_names, G_N_ELEMENTS(kind_names), text, size);

    list->event.kind = (enum pgw_cache_kind)kind;
    list->known = strlen(kind_names[kind]) == size &&
                  memcmp(kind_names[kind], text, size) == 0;
}

static void
read_version(struct engine_list *list, const unsigned char *text, size_t size)
{
    g_free(list->version);
    list->version = g_strndup((const char *)text, size);
}

static int
on_string(void *context, const unsigned char *text, size_t size)
{
    struct engine_list *list = context;

    if (list->depth == DEPTH_NONE) {
        return false;
    }
    if (list->depth == DEPTH_ANSWER) {
        if (list->key == KEY_INCARNATION) {
            list->incarnation = read_hex(text, size);
        }
        else if (list->key == KEY_VERSION) {
            read_version(list, text, size);
        }
    }
    else if (list->depth == DEPTH_ENTRY && list->in_entry) {
        switch (list->entry_key) {
        case KEY_KIND:
            read_kind(list, text, size);
            break;
        case KEY_BLOCK:
            list->event.block = read_hex(text, size);
            break;
        case KEY_PARENT:
            list->event.parent = read_hex(text, size);
            break;
        case KEY_REQUEST_ID:
            read_request(&list->event.request, text, size);
            break;
        default:
            break;
        }
    }
    return true;
}

static int
on_number(void *context, const char *text, size_t size)
{
    struct engine_list *list = context;
    uint64_t value = read_uint(text, size);

    if (list->depth == DEPTH_NONE) {
        return false;
    }
    if (list->depth == DEPTH_ANSWER && list->key == KEY_LAST) {
        list->last = value;
    }
    else if (list->depth == DEPTH_ENTRY && list->in_entry) {
        if (list->entry_key == KEY_SEQ) {
            list->event.seq = value;
        }
        else if (list->entry_key == KEY_END_TOKEN) {
            list->event.end_token = (uint32_t)value;
        }
    }
    return true;
}

static int
on_null(void *context)
{
    return ((struct engine_list *)context)->depth != DEPTH_NONE;
}

static int
on_boolean(void *context, int value)
{
    (void)value;
    return on_null(context);
}

static int
on_key(void *context, const unsigned char *text, size_t size)
{
    struct engine_list *list = context;

    if (list->depth == DEPTH_ANSWER) {
        list->key = (enum key)find_name(answer_keys, G_N_ELEMENTS(answer_keys),
                                        text, size);
    }
    else if (list->depth == DEPTH_ENTRY && list->in_entry) {
        list->entry_key = (enum key)find_name(
            entry_keys, G_N_ELEMENTS(entry_keys), text, size);
    }
    return true;
}

static int
on_start_map(void *context)
{
    struct engine_list *list = context;

    list->depth++;
    if (list->depth == DEPTH_ENTRY) {
        list->in_entry = list->array != NULL;
        list->event = (struct pgw_cache_event){0};
        list->known = false;
        list->entry_key = KEY_OTHER;
    }
    return true;
}

static void
keep_entry(struct engine_list *list)
{
    if (list->array == list->blocks) {
        struct pgw_cache_block block = {.block = list->event.block,
                                        .parent = list->event.parent};

        g_array_append_val(list->array, block);
    }
    else if (list->known) {
        g_array_append_val(list->array, list->event);
    }
}

static int
on_end_map(void *context)
{
    struct engine_list *list = context;

    if (list->depth == DEPTH_ENTRY && list->in_entry) {
        keep_entry(list);
        list->in_entry = false;
    }
    list->depth--;
    return true;
}

/* A name that comes twice counts as it is found last. */
static void
begin_list(struct engine_list *list, GArray **array, size_t size)
{
    g_clear_pointer(array, g_array_unref);
    *array = g_array_new(FALSE, FALSE, (guint)size);
    list->array = *array;
}

static int
on_start_array(void *context)
{
    struct engine_list *list = context;

    if (list->depth == DEPTH_NONE) {
        return false;
    }
    list->depth++;
    if (list->depth == DEPTH_LIST && list->key == KEY_EVENTS) {
        begin_list(list, &list->events, sizeof(struct pgw_cache_event));
    }
    else if (list->depth == DEPTH_LIST && list->key == KEY_BLOCKS) {
        begin_list(list, &list->blocks, sizeof(struct pgw_cache_block));
    }
    return true;
}

static int
on_end_array(void *context)
{
    struct engine_list *list = context;

    if (list->depth == DEPTH_LIST) {
        list->array = NULL;
    }
    list->depth--;
    return true;
}

static const yajl_callbacks callbacks = {
    .yajl_null = on_null,
    .yajl_boolean = on_boolean,
    .yajl_number = on_number,
    .yajl_string = on_string,
    .yajl_start_map = on_start_map,
    .yajl_map_key = on_key,
    .yajl_end_map = on_end_map,
    .yajl_start_array = on_start_array,
    .yajl_end_array = on_end_array,
};

void
engine_list_init(struct engine_list *out, const char *text, size_t size)
{
    *out = (struct engine_list){
        .version = g_strdup(""),
        .text = text,
        .left = size,
    };
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

enum engine_list_state
engine_list_read(struct engine_list *list, size_t most)
{
    size_t size = MIN(list->left, most);

    /* Here and not where it begins: the callbacks need its last address. */
    if (list->parser == NULL) {
        list->parser = yajl_alloc(&callbacks, NULL, list);
    }
    if (yajl_parse(list->parser, (const unsigned char *)list->text, size) !=
        yajl_status_ok) {
        return ENGINE_LIST_BROKEN;
    }
    list->text += size;
    list->left -= size;
    if (list->left > 0) {
        return ENGINE_LIST_MORE;
    }
    if (yajl_complete_parse(list->parser) != yajl_status_ok) {
        return ENGINE_LIST_BROKEN;
    }
    sort_events(list->events);
    return ENGINE_LIST_WHOLE;
}

void
engine_list_dispose(struct engine_list *list)
{
    if (list->parser != NULL) {
        yajl_free(list->parser);
        list->parser = NULL;
    }
    g_clear_pointer(&list->version, g_free);
    g_clear_pointer(&list->events, g_array_unref);
    g_clear_pointer(&list->blocks, g_array_unref);
    list->array = NULL;
}
