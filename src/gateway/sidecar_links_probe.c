#include "gateway/sidecar_links_internal.h"

/* Where there are more engines than links, one that was not used for so long
 * is closed. */
#define LINK_IDLE_US 30000000
/* An answer that an engine loads weights is believed for so long, and one that
 * it does not answer its sidecar: it is not asked meanwhile, and other engines
 * are homes. */
#define LOADING_HOLDS_US 400000
#define DEAD_HOLDS_US 2000000

static struct sidecar_link *
link_of(const struct pgw_sidecar_links *links,
        const struct pgw_upstream *upstream)
{
    return g_hash_table_lookup(links->by_engine, upstream->address_text);
}

static bool
is_open(const struct sidecar_link *guard)
{
    return guard != NULL && guard->link != NULL &&
           pgw_link_is_open(guard->link);
}

static void
announce(void *context, const struct pgw_upstream *upstream,
         const struct pgw_announcement *announcement)
{
    const struct sidecar_link *guard = link_of(context, upstream);
    Pgw__ExpectedParts message = PGW__EXPECTED_PARTS__INIT;
    Pgw__HeldPart items[PGW_PROMPT_PARTS_MAX];
    Pgw__HeldPart *pointers[PGW_PROMPT_PARTS_MAX];

    if (!is_open(guard)) {
        return;
    }
    for (size_t i = 0; i < announcement->count; i++) {
        pgw__held_part__init(&items[i]);
        items[i].key = announcement->parts[i].key;
        items[i].tokens = announcement->parts[i].tokens;
        pointers[i] = &items[i];
    }
    message.n_parts = announcement->count;
    message.parts = pointers;
    message.to_read = announcement->to_read;
    message.memory = announcement->memory;
    message.request = announcement->request;
    pgw_link_send(guard->link, PGW_FRAME_EXPECTED_PARTS, &message.base);
}

static unsigned
count_probe_links(const struct pgw_sidecar_links *links)
{
    unsigned count = 0;
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, links->by_engine);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += ((const struct sidecar_link *)value)->on_request;
    }
    return count;
}

/* The open link to a sidecar that is asked something; NULL: there is none. The
 * first question only connects to it. */
static struct sidecar_link *
link_to_ask(struct pgw_sidecar_links *links,
            const struct pgw_upstream *upstream)
{
    struct sidecar_link *guard = link_of(links, upstream);

    if (guard == NULL) {
        if (count_probe_links(links) >= PGW_PROBE_LINKS_MAX) {
            return NULL;
        }
        guard = pgw_sidecar_link_add(links, upstream, true);
    }
    guard->probed_at_us = pgw_now_us();
    return is_open(guard) ? guard : NULL;
}

static bool
probe(void *context, const struct pgw_upstream *upstream, uint64_t probe,
      const uint64_t *keys, size_t count)
{
    struct sidecar_link *guard = link_to_ask(context, upstream);
    Pgw__EngineProbe message = PGW__ENGINE_PROBE__INIT;

    if (guard == NULL) {
        return false;
    }
    message.probe = probe;
    message.part_keys = (uint64_t *)keys;
    message.n_part_keys = count;
    pgw_link_send(guard->link, PGW_FRAME_ENGINE_PROBE, &message.base);
    return true;
}

static bool
ask_quota(void *context, const struct pgw_upstream *upstream,
          const struct pgw_quota_ask *ask)
{
    struct sidecar_link *guard = link_to_ask(context, upstream);
    Pgw__QuotaAsk message = PGW__QUOTA_ASK__INIT;

    if (guard == NULL) {
        return false;
    }
    message.workspace = ask->request.workspace;
    message.ask = ask->ask;
    message.rate = ask->request.limits.rate;
    message.burst = ask->request.limits.burst;
    message.version = ask->request.limits.version;
    message.spent = ask->request.spent;
    message.refused = ask->request.refused;
    message.cost = ask->request.cost;
    message.stands_in = ask->stands_in;
    pgw_link_send(guard->link, PGW_FRAME_QUOTA_ASK, &message.base);
    return true;
}

void
pgw_sidecar_link_take_quota_answer(const struct sidecar_link *guard,
                                   const Pgw__QuotaAnswer *message)
{
    struct pgw_quota_answer answer = {
        .granted = message->granted,
        .level = message->level,
        .wait_ms = message->wait_ms,
        .retry_ms = message->retry_ms,
    };
    const struct pgw_upstream *upstream =
        pgw_sidecar_link_upstream(guard->links, guard->engine);

    if (upstream != NULL) {
        pgw_quota_handle_answer(pgw_gateway_quota(guard->links->gateway),
                                upstream, message->workspace, message->ask,
                                &answer);
    }
}

const struct pgw_sidecar_ops pgw_sidecar_links_ops = {
    .announce = announce,
    .probe = probe,
    .ask_quota = ask_quota,
};

bool
pgw_sidecar_link_is_probed(const struct sidecar_link *guard, uint64_t now_us)
{
    return guard->on_request && guard->probed_at_us > 0 &&
           now_us - guard->probed_at_us < LINK_IDLE_US;
}

/* Nothing is known from one answer to the next, so the list goes on speaking
 * for the engine, and its sidecar's silence says nothing. */
void
pgw_sidecar_link_take_probe_answer(struct sidecar_link *guard,
                                   struct pgw_upstream *upstream,
                                   const Pgw__EngineState *state,
                                   uint64_t now_us)
{
    struct pgw_gateway *gateway = guard->links->gateway;
    struct pgw_upstream_load load = pgw_sidecar_link_load(state);

    pgw_upstream_table_set_start(pgw_gateway_upstreams(gateway), upstream,
                                 state->started_ms);
    for (size_t i = 0; i < state->n_models; i++) {
        pgw_upstream_set_version(upstream, state->models[i]->name,
                                 state->models[i]->version);
    }
    for (size_t i = 0; i < state->n_part_keys && i < state->n_part_words;
         i++) {
        pgw_sidecar_link_take_part(upstream, state->part_keys[i],
                                   state->part_words[i], now_us);
    }
    pgw_upstream_set_loading(
        upstream, state->loading || !state->alive,
        now_us + (state->alive ? LOADING_HOLDS_US : DEAD_HOLDS_US));
    if (state->alive) {
        pgw_upstream_update_load(upstream, &load, now_us);
    }
    pgw_gateway_probe_answered(gateway, state->probe, upstream);
}
