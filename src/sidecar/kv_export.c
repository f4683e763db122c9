#include "sidecar/kv.h"
#include "util/log.h"

/* A level that two requests shared will be shared again. */
#define HOT_REQUESTS 2
#define MIN_TOKENS 512
/* At most four exports a second, one at a time: they take the engine's
 * bandwidth from the requests that run. */
#define EXPORT_INTERVAL_US UINT64_C(250000)
#define EXPORT_TIMEOUT_MS 5000L
#define LOOKUP_TIMEOUT_MS 1000L
/* Events that tell a level's blocks come up to half a second late. */
#define TRIES_MAX 8
#define QUEUE_MAX 64

/**
 * struct kv_export - one level on its way to the store
 * @link: in the queue, while it waits
 * @kv: owner
 * @workspace: whose it is
 * @chain: up to the level
 * @block: block that ends it, once it is known
 * @tries: times that the engine's events did not tell it yet
 * @fetch: question or export in progress
 * @transfer: the level's entry on its way
 */
struct kv_export {
    struct pgw_list link;
    struct kv *kv;
    char *workspace;
    struct pgw_level_chain chain;
    uint64_t block;
    unsigned tries;
    struct fetch *fetch;
    struct pgw_transfer *transfer;
};

static const struct pgw_level *
export_level(const struct kv_export *export)
{
    return &export->chain.levels[export->chain.count - 1];
}

static void
export_free(struct kv_export *export)
{
    pgw_list_remove(&export->link);
    fetch_cancel(export->fetch);
    if (export->transfer != NULL) {
        pgw_transfer_cancel(export->transfer);
    }
    g_free(export->workspace);
    g_free(export);
}

static void
export_end(struct kv_export *export, uint64_t block)
{
    struct kv *kv = export->kv;
    struct kv_level *level = kv_level_get(kv, export_level(export));

    level->queued = false;
    level->block = block;
    kv->exporting = NULL;
    export_free(export);
}

static bool
on_body(struct pgw_transfer *transfer, const uint8_t *data, size_t size,
        void *context)
{
    (void)transfer;
    (void)data;
    (void)size;
    (void)context;
    return true;
}

static void
on_named(struct pgw_transfer *transfer, CURLcode code, long status,
         void *context)
{
    struct kv_export *export = context;
    bool good = code == CURLE_OK && status == 200;

    (void)transfer;
    export->transfer = NULL;
    pgw_log_debug("kv_export", "tokens=%u status=%ld",
                  export_level(export)->end_tokens, status);
    export_end(export, good ? export->block : 0);
}

static const struct pgw_transfer_ops name_ops = {
    .on_body = on_body,
    .on_done = on_named,
};

/* The entry follows the blocks: who finds it may rely on them. */
static void
put_name(struct kv_export *export)
{
    const struct pgw_level *level = export_level(export);
    char *url = kv_level_path(export->kv, level->hash_high, level->hash_low);
    char *body = g_strdup_printf("{\"block\":\"%016" G_GINT64_MODIFIER
                                 "x\",\"tokens\":%u}",
                                 export->block, level->end_tokens);
    struct pgw_transfer_options options = {
        .method = "PUT",
        .url = url,
        .content_type = "application/json",
        .body = body,
        .body_size = strlen(body),
        .timeout_ms = LOOKUP_TIMEOUT_MS,
    };

    export->transfer = pgw_transfer_start(export->kv->sidecar->transfers,
                                          &options, &name_ops, export);
    g_free(body);
    g_free(url);
}

static void
moved(void *context, long status, JsonObject *body, uint64_t asked_us)
{
    struct kv_export *export = context;

    (void)body;
    (void)asked_us;
    export->fetch = NULL;
    if (status == 200) {
        put_name(export);
        return;
    }
    if (status == 0 || status >= 500) {
        kv_failed(export->kv);
    }
    export_end(export, 0);
}

/* Another engine may have exported the level already. */
static void
looked(void *context, long status, JsonObject *body, uint64_t asked_us)
{
    struct kv_export *export = context;

    (void)asked_us;
    export->fetch = NULL;
    if (status == 404) {
        export->fetch = kv_move(export->kv, "export", export->block,
                                EXPORT_TIMEOUT_MS, moved, export);
        return;
    }
    if (status != 200) {
        kv_failed(export->kv);
    }
    export_end(export, status == 200 && body != NULL
                           ? fetch_object_hex(body, "block")
                           : 0);
}

static void
begin(struct kv_export *export)
{
    struct kv *kv = export->kv;
    const struct pgw_level *level = export_level(export);
    char *url = kv_level_path(kv, level->hash_high, level->hash_low);

    kv->exporting = export;
    export->fetch = fetch_start(kv->sidecar->transfers, url, NULL,
                                LOOKUP_TIMEOUT_MS, looked, export);
    g_free(url);
}

/* The block that ends the level, 0 while the events have not told it. */
static uint64_t
find_block(const struct kv_export *export)
{
    const struct pgw_cache *cache = export->kv->sidecar->cache;
    uint32_t certain = pgw_cache_match(cache, export->workspace,
                                       &export->chain, pgw_now_us(), NULL);

    if (certain + PGW_LEVEL_BLOCK_TOKENS <= export_level(export)->end_tokens) {
        return 0;
    }
    return pgw_cache_last_block(cache, export->workspace, &export->chain);
}

void
kv_export_due(struct pgw_timer *timer)
{
    struct kv *kv = pgw_container_of(timer, struct kv, export_timer);
    struct pgw_list *link = pgw_list_first(&kv->exports);
    struct kv_export *export;

    if (link != NULL && kv->exporting == NULL && kv_store_url(kv) != NULL &&
        pgw_now_us() >= kv->blocked_until_us) {
        export = pgw_container_of(link, struct kv_export, link);
        pgw_list_remove(&export->link);
        export->block = find_block(export);
        if (export->block != 0) {
            begin(export);
        }
        else if (++export->tries < TRIES_MAX) {
            pgw_list_append(&kv->exports, &export->link);
        }
        else {
            kv_level_get(kv, export_level(export))->queued = false;
            export_free(export);
        }
    }
    if (!pgw_list_is_empty(&kv->exports)) {
        pgw_timer_start(kv->sidecar->loop, timer, EXPORT_INTERVAL_US);
    }
}

static void
enqueue(struct kv *kv, const struct run *run, size_t levels)
{
    struct kv_export *export = g_new0(struct kv_export, 1);

    export->kv = kv;
    export->workspace = g_strdup(run->open->workspace);
    export->chain = run->chain;
    export->chain.count = levels;
    export->chain.prompt_tokens = export_level(export)->end_tokens;
    pgw_list_append(&kv->exports, &export->link);
    if (kv->export_timer.position == 0) {
        pgw_timer_start(kv->sidecar->loop, &kv->export_timer,
                        EXPORT_INTERVAL_US);
    }
}

void
kv_note_answer(struct kv *kv, const struct run *run)
{
    size_t queued = 0;

    /* Overnight work comes once, in great numbers: what it shares would push
     * out what callers wait for. */
    if (kv == NULL || kv_store_url(kv) == NULL || run->item.is_batch) {
        return;
    }
    pgw_list_foreach (link, &kv->exports) {
        queued++;
    }
    for (size_t i = 0; i + 1 < run->chain.count; i++) {
        struct kv_level *level = kv_level_get(kv, &run->chain.levels[i]);

        if (run->chain.levels[i].end_tokens < MIN_TOKENS ||
            level->block != 0 || level->queued ||
            ++level->requests < HOT_REQUESTS || queued >= QUEUE_MAX) {
            continue;
        }
        level->queued = true;
        enqueue(kv, run, i + 1);
    }
}

void
kv_export_free_all(struct kv *kv)
{
    if (kv->exporting != NULL) {
        export_free(kv->exporting);
    }
    pgw_list_foreach_safe (link, &kv->exports) {
        export_free(pgw_container_of(link, struct kv_export, link));
    }
}
