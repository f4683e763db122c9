#include "gateway/peer/sidecar_links_internal.h"
#include "gateway/quota/upstream_limits.h"

/* Idle time after which a probe-only link is closed, in pools with more
 * engines than links. */
#define LINK_IDLE_US 30000000
/* How long a probe's answer stays valid that an engine is loading weights, or
 * that it is unreachable. In that time the engine is not probed, and other
 * engines are chosen for its prompts. */
#define LOADING_VALID_US 400000
#define UNREACHABLE_VALID_US 2000000

static struct sidecar_link *
find_link(const struct pgw_sidecar_links *links,
          const struct pgw_upstream *upstream)
{
    return g_hash_table_lookup(links->by_engine, upstream->address_text);
}

static bool
is_open(const struct sidecar_link *link)
{
    return link != NULL && link->connection != NULL &&
           pgw_link_is_open(link->connection);
}

static void
announce(void *context, const struct pgw_upstream *upstream,
         const struct pgw_announcement *announcement)
{
    const struct sidecar_link *link = find_link(context, upstream);
    Pgw__ExpectedParts message = PGW__EXPECTED_PARTS__INIT;
    Pgw__HeldPart items[PGW_PROMPT_PARTS_MAX];
    Pgw__HeldPart *pointers[PGW_PROMPT_PARTS_MAX];

    if (!is_open(link)) {
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
    message.to_read = announcement->pending_tokens;
    message.memory = announcement->kv_tokens;
    message.request = announcement->request;
    message.prefilled = announcement->prefilled_tokens;
    pgw_link_send(link->connection, PGW_FRAME_EXPECTED_PARTS, &message.base);
}

static unsigned
count_probe_links(const struct pgw_sidecar_links *links)
{
    unsigned count = 0;
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, links->by_engine);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += ((const struct sidecar_link *)value)->probe_only;
    }
    return count;
}

/* The open link to an upstream's sidecar, NULL: there is none. The first call
 * only starts to connect. */
static struct sidecar_link *
get_open_link(struct pgw_sidecar_links *links,
              const struct pgw_upstream *upstream)
{
    struct sidecar_link *link = find_link(links, upstream);

    if (link == NULL) {
        if (count_probe_links(links) >= PGW_PROBE_LINKS_MAX) {
            return NULL;
        }
        link = pgw_sidecar_link_add(links, upstream, true);
    }
    link->probed_at_us = pgw_now_us();
    return is_open(link) ? link : NULL;
}

static bool
probe(void *context, const struct pgw_upstream *upstream, uint64_t probe,
      const uint64_t *keys, size_t count)
{
    struct sidecar_link *link = get_open_link(context, upstream);
    Pgw__EngineProbe message = PGW__ENGINE_PROBE__INIT;

    if (link == NULL) {
        return false;
    }
    message.probe = probe;
    message.part_keys = (uint64_t *)keys;
    message.n_part_keys = count;
    pgw_link_send(link->connection, PGW_FRAME_ENGINE_PROBE, &message.base);
    return true;
}

static bool
ask_quota(void *context, const struct pgw_upstream *upstream,
          const struct pgw_quota_ask *ask)
{
    struct sidecar_link *link = get_open_link(context, upstream);
    Pgw__QuotaAsk message = PGW__QUOTA_ASK__INIT;

    if (link == NULL) {
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
    message.stands_in = ask->is_fallback;
    pgw_link_send(link->connection, PGW_FRAME_QUOTA_ASK, &message.base);
    return true;
}

void
pgw_sidecar_link_handle_quota_answer(const struct sidecar_link *link,
                                     const Pgw__QuotaAnswer *message)
{
    struct pgw_quota_answer answer = {
        .granted = message->granted,
        .level = message->level,
        .wait_ms = message->wait_ms,
        .retry_ms = message->retry_ms,
    };
    const struct pgw_upstream *upstream =
        pgw_sidecar_link_upstream(link->links, link->engine);

    if (upstream != NULL) {
        pgw_quota_handle_answer(pgw_gateway_quota(link->links->gateway),
                                upstream, message->workspace, message->ask,
                                &answer);
    }
}

static bool
ask_limit(void *context, const struct pgw_upstream *owner,
          const struct pgw_limit_ask *ask)
{
    struct pgw_sidecar_links *links = context;
    struct sidecar_link *link = get_open_link(links, owner);
    Pgw__LimitAsk message = PGW__LIMIT_ASK__INIT;

    if (link == NULL) {
        return false;
    }
    message.upstream = (char *)ask->upstream;
    message.per_s = ask->per_s;
    message.age_us = ask->age_us;
    message.wanted = ask->wanted;
    message.entries = links->links_all ? links->entry_count : 0;
    pgw_link_send(link->connection, PGW_FRAME_LIMIT_ASK, &message.base);
    return true;
}

static bool
claim_prefill(void *context, const struct pgw_upstream *upstream,
              const struct pgw_prefill_claim *claim)
{
    struct sidecar_link *link = get_open_link(context, upstream);
    Pgw__PrefillClaim message = PGW__PREFILL_CLAIM__INIT;

    if (link == NULL) {
        return false;
    }
    message.claim = claim->claim;
    message.request = claim->request;
    message.to_read = claim->pending_tokens;
    message.limit = claim->limit_tokens;
    pgw_link_send(link->connection, PGW_FRAME_PREFILL_CLAIM, &message.base);
    return true;
}

void
pgw_sidecar_link_handle_limit_answer(const struct sidecar_link *link,
                                     const Pgw__LimitAnswer *message)
{
    struct pgw_limit_answer answer = {
        .granted = message->granted,
        .retry_ms = message->retry_ms,
        .per_s = message->per_s,
        .age_us = message->age_us,
    };

    pgw_upstream_limits_handle_answer(link->links->gateway, message->upstream,
                                      &answer);
}

static bool
reaches(void *context, const struct pgw_upstream *upstream)
{
    return get_open_link(context, upstream) != NULL;
}

/* Positions in a message's list of versions are bytes. */
#define VERSIONS_PER_MESSAGE 250

static void
send_origins(void *context, const struct pgw_upstream *owner,
             const struct pgw_stream_origin *origins, size_t count)
{
    const struct sidecar_link *link = find_link(context, owner);
    Pgw__StreamOrigins message = PGW__STREAM_ORIGINS__INIT;
    char *versions[VERSIONS_PER_MESSAGE];
    uint32_t *ids = g_new(uint32_t, count);
    uint8_t *software_of = g_new(uint8_t, count);

    message.software = versions;
    message.ids = ids;
    message.software_of.data = software_of;
    for (size_t i = 0; is_open(link) && i < count; i++) {
        size_t position = 0;

        while (position < message.n_software &&
               versions[position] != origins[i].software) {
            position++;
        }
        if (position == VERSIONS_PER_MESSAGE) {
            continue;
        }
        if (position == message.n_software) {
            versions[message.n_software++] = (char *)origins[i].software;
        }
        ids[message.n_ids] = origins[i].id;
        software_of[message.n_ids++] = (uint8_t)position;
    }
    message.software_of.len = message.n_ids;
    if (message.n_ids > 0) {
        pgw_link_send(link->connection, PGW_FRAME_STREAM_ORIGINS,
                      &message.base);
    }
    g_free(software_of);
    g_free(ids);
}

static bool
ask_origin(void *context, const struct pgw_upstream *owner, uint64_t ask,
           uint32_t id)
{
    const struct sidecar_link *link = find_link(context, owner);
    Pgw__StreamOriginAsk message = PGW__STREAM_ORIGIN_ASK__INIT;

    if (!is_open(link)) {
        return false;
    }
    message.ask = ask;
    message.id = id;
    pgw_link_send(link->connection, PGW_FRAME_STREAM_ORIGIN_ASK,
                  &message.base);
    return true;
}

void
pgw_sidecar_link_handle_origin_answer(const struct sidecar_link *link,
                                      const Pgw__StreamOriginAnswer *message)
{
    struct pgw_stream_origin_answer answer = {
        .software = message->known ? g_intern_string(message->software) : NULL,
    };

    pgw_stream_origins_handle_answer(
        pgw_gateway_stream_origins(link->links->gateway), message->ask,
        &answer);
}

const struct pgw_sidecar_ops pgw_sidecar_links_ops = {
    .reaches = reaches,
    .send_origins = send_origins,
    .ask_origin = ask_origin,
    .announce = announce,
    .probe = probe,
    .ask_quota = ask_quota,
    .ask_limit = ask_limit,
    .claim_prefill = claim_prefill,
};

bool
pgw_sidecar_link_was_probed_recently(const struct sidecar_link *link,
                                     uint64_t now_us)
{
    return link->probe_only && link->probed_at_us > 0 &&
           now_us - link->probed_at_us < LINK_IDLE_US;
}

/* The state between two answers is unknown, so the list of upstreams remains
 * the source of the engine's versions, and the answer does not count towards
 * its liveness. */
void
pgw_sidecar_link_handle_probe_answer(struct sidecar_link *link,
                                     struct pgw_upstream *upstream,
                                     const Pgw__EngineState *state,
                                     uint64_t now_us)
{
    struct pgw_gateway *gateway = link->links->gateway;
    struct pgw_upstream_load load = pgw_sidecar_link_load(state);

    pgw_upstream_table_set_start(pgw_gateway_upstreams(gateway), upstream,
                                 state->started_ms);
    for (size_t i = 0; i < state->n_models; i++) {
        pgw_upstream_set_version(upstream, state->models[i]->name,
                                 state->models[i]->version);
    }
    for (size_t i = 0; i < state->n_part_keys && i < state->n_part_words;
         i++) {
        pgw_sidecar_link_apply_part(upstream, state->part_keys[i],
                                    state->part_words[i], now_us);
    }
    pgw_upstream_set_loading(
        upstream, state->loading || !state->alive,
        now_us + (state->alive ? LOADING_VALID_US : UNREACHABLE_VALID_US));
    pgw_sidecar_link_apply_notices(upstream, state, now_us);
    if (state->alive) {
        pgw_upstream_update_load(upstream, &load, now_us);
        pgw_sidecar_link_apply_pace(upstream, state, now_us);
    }
    pgw_gateway_probe_answered(gateway, state->probe, upstream);
}
