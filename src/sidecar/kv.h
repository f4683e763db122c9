#ifndef PGW_SIDECAR_KV_H
#define PGW_SIDECAR_KV_H

#include "sidecar/fetch.h"
#include "sidecar/gate.h"

/**
 * DOC: Use of the kept KV cache store
 *
 * Before a request is offered to the gate, a prefix that the engine does not
 * hold is imported from the store where that is quicker than computing it
 * (kv.c). Prefixes that several requests shared are exported (kv_export.c).
 *
 * The store keeps an engine's blocks under the block's identity, which only
 * an engine can compute. So beside them it keeps, under the hash of a level,
 * the block in which the level ends: any sidecar finds it without having seen
 * the level before. Both names are salted with workspace, model, adapter and
 * weights version, so nothing is found across them.
 */

struct kv_wait;

/**
 * struct kv_level - one level of prompts and what the store has of it
 * @high: upper half of its hash; with @low the key of its table
 * @low: lower half
 * @block: block that ends it in the store; 0: none is known
 * @missing_until_us: the store had none; not asked again before
 * @requests: answered requests that shared it, overnight work left out
 * @queued: it waits for its export
 */
struct kv_level {
    uint64_t high;
    uint64_t low;
    uint64_t block;
    uint64_t missing_until_us;
    unsigned requests;
    bool queued;
};

/**
 * struct kv - state
 * @sidecar: owner
 * @levels: &struct kv_level by hash
 * @waits: requests that wait for the store (&struct kv_wait)
 * @n_waits: number of @waits
 * @tokens_per_s: measured rate of imports, 0 before the first
 * @failures: calls in a row that were too slow or failed
 * @blocked_until_us: not used before, after failures
 * @exports: &struct kv_export that wait
 * @exporting: the one under way, or NULL
 * @export_timer: next export
 */
struct kv {
    struct sidecar *sidecar;
    GHashTable *levels;
    struct pgw_list waits;
    unsigned n_waits;
    double tokens_per_s;
    unsigned failures;
    uint64_t blocked_until_us;
    struct pgw_list exports;
    struct kv_export *exporting;
    struct pgw_timer export_timer;
};

struct kv *kv_new(struct sidecar *sidecar);
void kv_free(struct kv *kv);

/**
 * kv_ask() - import what the request's prefix lacks, if that pays
 * @kv: NULL never imports
 * @run: a request that is about to be offered to the gate
 *
 * Return: true if gate_import_done() will be called, within a bounded time.
 */
bool kv_ask(struct kv *kv, struct run *run);

/** kv_forget() - the request is gone */
void kv_forget(struct kv *kv, struct run *run);

/** kv_note_answer() - the engine has computed the request's prompt */
void kv_note_answer(struct kv *kv, const struct run *run);

/* Between kv.c and kv_export.c. */
/** kv_store_url() - the store, NULL without one */
const char *kv_store_url(const struct kv *kv);
struct kv_level *kv_level_get(struct kv *kv, const struct pgw_level *level);
/** kv_level_path() - URL of a level's entry in the store; free it */
char *kv_level_path(const struct kv *kv, uint64_t high, uint64_t low);
void kv_failed(struct kv *kv);
void kv_export_free_all(struct kv *kv);
void kv_export_due(struct pgw_timer *timer);
/** kv_move() - POST to the engine: import or export a chain of blocks */
struct fetch *kv_move(struct kv *kv, const char *what, uint64_t block,
                      long timeout_ms, fetch_done done, void *context);

/* gate.c */
/** gate_import_done() - so many tokens were imported: go on */
void gate_import_done(struct run *run, uint32_t tokens);

#endif
