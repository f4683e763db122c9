#include "parsleygw/version.h"

#include <string.h>

static bool
is_earlier(const struct pgw_version_track *track, const char *version)
{
    for (size_t i = 0; i < track->n_earlier; i++) {
        if (strcmp(track->earlier[i], version) == 0) {
            return true;
        }
    }
    return !track->is_complete;
}

static void
add_earlier(struct pgw_version_track *track, const char *version)
{
    if (version[0] == '\0' ||
        (track->n_earlier > 0 && strcmp(track->earlier[0], version) == 0)) {
        return;
    }
    /* Latest first; the oldest is dropped when the array is full. */
    memmove(track->earlier[1], track->earlier[0],
            sizeof(track->earlier) - sizeof(track->earlier[0]));
    g_strlcpy(track->earlier[0], version, sizeof(track->earlier[0]));
    track->n_earlier = MIN(track->n_earlier + 1, (size_t)PGW_VERSIONS_MAX - 1);
}

void
pgw_version_track_set_target(struct pgw_version_track *track,
                             const char *version)
{
    if (strcmp(track->target, version) != 0) {
        add_earlier(track, track->target);
        g_strlcpy(track->target, version, sizeof(track->target));
    }
}

void
pgw_version_track_observe(struct pgw_version_track *track,
                          const struct pgw_member *members, size_t n)
{
    bool has_usable = false;

    for (size_t i = 0; i < n; i++) {
        if (members[i].state != PGW_MEMBER_USABLE) {
            continue;
        }
        if (strcmp(members[i].weights, track->target) != 0) {
            return;
        }
        has_usable = true;
    }
    if (has_usable) {
        track->n_earlier = 0;
        track->is_complete = true;
    }
}

static struct pgw_version_part *
find_part(struct pgw_version_split *split, const char *version)
{
    for (size_t i = 0; i < split->n; i++) {
        if (strcmp(split->parts[i].version, version) == 0) {
            return &split->parts[i];
        }
    }
    return NULL;
}

static struct pgw_version_part *
add_part(struct pgw_version_split *split, const char *version)
{
    struct pgw_version_part *part;

    if (split->n == PGW_VERSIONS_MAX) {
        return NULL;
    }
    part = &split->parts[split->n++];
    g_strlcpy(part->version, version, sizeof(part->version));
    return part;
}

void
pgw_version_split_init(struct pgw_version_split *out,
                       const struct pgw_version_track *track,
                       const struct pgw_member *members, size_t n)
{
    memset(out, 0, sizeof(*out));
    add_part(out, track->target);
    for (size_t i = 0; i < n; i++) {
        const struct pgw_member *member = &members[i];
        struct pgw_version_part *part;

        if (member->state != PGW_MEMBER_USABLE || member->loading ||
            member->weights[0] == '\0') {
            continue;
        }
        part = find_part(out, member->weights);
        if (part == NULL && is_earlier(track, member->weights)) {
            part = add_part(out, member->weights);
        }
        if (part != NULL) {
            part->engines++;
            out->engines++;
        }
    }
}

size_t
pgw_version_split_choose(const struct pgw_version_split *split, uint64_t hash)
{
    uint64_t position =
        (uint64_t)(((unsigned __int128)hash * split->engines) >> 64);

    for (size_t i = 0; i < split->n; i++) {
        if (position < split->parts[i].engines) {
            return i;
        }
        position -= split->parts[i].engines;
    }
    return 0;
}

static bool
was_tried(const struct pgw_version_tried *tried, const char *version)
{
    for (size_t i = 0; i < tried->n; i++) {
        if (strcmp(tried->names[i], version) == 0) {
            return true;
        }
    }
    return false;
}

bool
pgw_version_tried_add(struct pgw_version_tried *tried, const char *version)
{
    if (was_tried(tried, version)) {
        return true;
    }
    if (tried->n == PGW_VERSIONS_MAX) {
        return false;
    }
    g_strlcpy(tried->names[tried->n], version, sizeof(tried->names[0]));
    tried->n++;
    return true;
}

const char *
pgw_version_split_next(const struct pgw_version_split *split, uint64_t hash,
                       const struct pgw_version_tried *tried)
{
    const char *preferred =
        split->parts[pgw_version_split_choose(split, hash)].version;
    const char *without_engines = NULL;

    if (!was_tried(tried, preferred)) {
        return preferred;
    }
    for (size_t i = 0; i < split->n; i++) {
        const struct pgw_version_part *part = &split->parts[i];

        if (was_tried(tried, part->version)) {
            continue;
        }
        if (part->engines > 0) {
            return part->version;
        }
        without_engines = part->version;
    }
    return without_engines;
}

bool
pgw_version_can_run(const struct pgw_member *member, const char *version)
{
    return member->state == PGW_MEMBER_USABLE && !member->loading &&
           (member->weights[0] == '\0' ||
            strcmp(member->weights, version) == 0);
}
