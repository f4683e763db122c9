#include <parsleygw/level.h>
#include <string.h>

/* Only the inlined library allows the streaming state on the stack. */
#define XXH_INLINE_ALL
#include <xxhash.h>

/* A shorter level adds no whole cached block, so routing by it is useless. */
#define MIN_LEVEL_BYTES 64

/*
 * Boundaries of an unmarked prompt in tokens. With doubling sizes eight levels
 * suffice for any length, and the deepest level that two prompts share covers
 * more than half of their common prefix, up to the largest boundary.
 */
static const uint32_t unmarked_boundary_tokens[] = {256,  512,  1024, 2048,
                                                    4096, 8192, 16384};

static void
hash_field(XXH3_state_t *state, const char *field)
{
    uint64_t len = strlen(field);

    /* The length distinguishes ("ab", "c") from ("a", "bc"). */
    (void)XXH3_128bits_update(state, &len, sizeof(len));
    (void)XXH3_128bits_update(state, field, len);
}

static bool
hash_salt(XXH3_state_t *state, const struct pgw_level_salt *salt)
{
    if (salt->workspace == NULL || salt->workspace[0] == '\0' ||
        salt->model == NULL || salt->model[0] == '\0' ||
        salt->adapter == NULL || salt->version == NULL ||
        salt->version[0] == '\0') {
        return false;
    }
    (void)XXH3_128bits_reset(state);
    /*
     * Failure: workspaces or weights versions share levels. Symptom: a
     * workspace is routed to the cached prompts of another one and can detect
     * them by timing, and new weights are served from blocks of the old ones.
     * The salt is part of every hash; no setting leaves it out.
     */
#ifndef PGW_DISABLE_LEVEL_SALT
    hash_field(state, salt->workspace);
    hash_field(state, salt->model);
    hash_field(state, salt->adapter);
    hash_field(state, salt->version);
#else
    (void)hash_field;
#endif
    return true;
}

static void
add_level(struct pgw_level_chain *chain, const XXH3_state_t *state,
          uint32_t end, uint32_t bytes_per_token)
{
    XXH128_hash_t hash = XXH3_128bits_digest(state);

    chain->levels[chain->count++] = (struct pgw_level){
        .hash_high = hash.high64,
        .hash_low = hash.low64,
        .end_bytes = end,
        .end_tokens = end / bytes_per_token,
    };
}

/* Keeps the boundaries inside the prompt that are at least MIN_LEVEL_BYTES
 * after the previous one. The choice depends only on preceding boundaries, so
 * prompts with a common prefix agree on its levels. */
static size_t
select_boundaries(uint32_t *out, const uint32_t *boundaries, size_t n,
                  size_t len)
{
    uint32_t last = 0;
    size_t count = 0;

    for (size_t i = 0; i < n; i++) {
        if (boundaries[i] < len && boundaries[i] >= last + MIN_LEVEL_BYTES) {
            last = boundaries[i];
            out[count++] = last;
        }
    }
    return count;
}

static size_t
set_unmarked_boundaries(uint32_t *out, uint32_t bytes_per_token)
{
    for (size_t i = 0; i < G_N_ELEMENTS(unmarked_boundary_tokens); i++) {
        out[i] = unmarked_boundary_tokens[i] * bytes_per_token;
    }
    return G_N_ELEMENTS(unmarked_boundary_tokens);
}

bool
pgw_level_chain_init(struct pgw_level_chain *out,
                     const struct pgw_level_salt *salt, const void *prompt,
                     size_t len, const uint32_t *boundaries, size_t n,
                     uint32_t bytes_per_token)
{
    XXH3_state_t state;
    uint32_t *ends = NULL;
    size_t count;
    size_t start = 0;
    bool succeeded = false;

    *out = (struct pgw_level_chain){.count = 0};
    if (len > UINT32_MAX || !hash_salt(&state, salt)) {
        goto done;
    }
    bytes_per_token = MAX(bytes_per_token, 1);
    ends = g_new(uint32_t, MAX(n, G_N_ELEMENTS(unmarked_boundary_tokens)));
    if (n == 0) {
        count = set_unmarked_boundaries(ends, bytes_per_token);
        count = select_boundaries(ends, ends, count, len);
    }
    else {
        count = select_boundaries(ends, boundaries, n, len);
    }
    count = pgw_level_boundaries_merge(ends, count, PGW_LEVEL_MAX - 1);
    for (size_t i = 0; i < count; i++) {
        (void)XXH3_128bits_update(&state, (const char *)prompt + start,
                                  ends[i] - start);
        add_level(out, &state, ends[i], bytes_per_token);
        start = ends[i];
    }
    if (len > 0) {
        (void)XXH3_128bits_update(&state, (const char *)prompt + start,
                                  len - start);
        add_level(out, &state, (uint32_t)len, bytes_per_token);
    }
    out->prompt_tokens =
        (uint32_t)((len + bytes_per_token - 1) / bytes_per_token);
    succeeded = true;
done:
    g_free(ends);
    return succeeded;
}

size_t
pgw_level_boundaries(uint32_t *out, size_t max, const void *prompt, size_t len,
                     const char *marker)
{
    size_t marker_len = marker != NULL ? strlen(marker) : 0;
    size_t tail = max / 2;
    size_t head = max - tail;
    const char *at = prompt;
    const char *end = at + len;
    size_t count = 0;

    if (marker_len == 0 || max == 0 || len > UINT32_MAX) {
        return 0;
    }
    while ((at = memmem(at, (size_t)(end - at), marker, marker_len)) != NULL) {
        at += marker_len;
        if (count == max && tail > 0) {
            /* Drops the oldest of the innermost boundaries. */
            memmove(out + head, out + head + 1, (tail - 1) * sizeof(*out));
            count--;
        }
        if (count < max) {
            out[count++] = (uint32_t)(at - (const char *)prompt);
        }
    }
    return count;
}

size_t
pgw_level_boundaries_merge(uint32_t *boundaries, size_t n, size_t max)
{
    size_t tail = max / 2;
    size_t head = max - tail;

    if (n <= max) {
        return n;
    }
    memmove(boundaries + head, boundaries + n - tail,
            tail * sizeof(*boundaries));
    return max;
}

bool
pgw_level_cache_salt(char out[PGW_LEVEL_CACHE_SALT_SIZE],
                     const struct pgw_level_salt *salt)
{
    XXH3_state_t state;
    XXH128_hash_t hash;

    out[0] = '\0';
    if (!hash_salt(&state, salt)) {
        return false;
    }
    hash = XXH3_128bits_digest(&state);
    g_snprintf(out, PGW_LEVEL_CACHE_SALT_SIZE,
               "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
               hash.high64, hash.low64);
    return true;
}

uint64_t
pgw_level_workspace_hash(const char *workspace)
{
    return XXH3_64bits(workspace, strlen(workspace));
}
