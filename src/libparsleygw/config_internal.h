#ifndef PGW_CONFIG_INTERNAL_H
#define PGW_CONFIG_INTERNAL_H

#include <json-glib/json-glib.h>
#include <stdatomic.h>

#include "parsleygw/config.h"

enum pgw_config__kind {
    PGW_CONFIG__PROFILE,
    PGW_CONFIG__WORKSPACE,
    PGW_CONFIG__POOL,
    PGW_CONFIG__UPSTREAM,
    PGW_CONFIG__KINDS,
};

/* One version of one object: immutable, shared by the set and snapshots. */
struct pgw_config__object {
    atomic_uint refs;
    enum pgw_config__kind kind;
    uint64_t version;
    char *name;
    char *text; /* NULL: deleted */
    union {
        struct pgw_profile profile;
        struct pgw_workspace workspace;
        struct pgw_pool pool;
        struct pgw_upstream upstream;
    } as;
};

/* Slot of the open-addressing hash table of key digests. */
struct pgw_config__key_slot {
    const struct pgw_key *key;
    const struct pgw_workspace *workspace;
};

/* Immutable table of all live objects of one kind, with its indexes. */
struct pgw_config__table {
    atomic_uint refs;
    GHashTable *by_name; /* name -> object, holds references */
    struct pgw_config__key_slot *slots;
    size_t slot_mask;
    GHashTable *pools; /* pool -> GPtrArray of struct pgw_upstream */
    GPtrArray *upstreams;
    uint64_t version;
};

struct pgw_config_set {
    GHashTable *objects[PGW_CONFIG__KINDS];              /* name -> object */
    struct pgw_config__table *tables[PGW_CONFIG__KINDS]; /* NULL: outdated */
    uint64_t buckets[PGW_CONFIG_BUCKETS];
    uint64_t listed[PGW_CONFIG__KINDS]; /* version of the last full list */
};

bool pgw_config__kind_parse(enum pgw_config__kind *out, const char *kind);
const char *pgw_config__kind_name(enum pgw_config__kind kind);

/* Parses and validates a value; @strict also refuses unknown members. */
struct pgw_config__object *pgw_config__object_new(enum pgw_config__kind kind,
                                                  const char *name,
                                                  uint64_t version,
                                                  const char *text,
                                                  bool strict, GError **error);
struct pgw_config__object *
pgw_config__object_ref(struct pgw_config__object *object);
void pgw_config__object_unref(void *pointer);

void pgw_config__table_unref(struct pgw_config__table *table);

/* Reader of one JSON object, with its location for error messages. */
struct pgw_config__reader {
    const char *kind;
    const char *name;
    const char *path; /* prefix of members, "" at the top */
    JsonObject *object;
    bool strict;
    GError **error;
    bool failed;
};

/* Parses a text that must be one JSON object; release the root with
 * json_node_unref(). */
JsonNode *pgw_config__json_parse(const char *text, gssize length,
                                 const char *what, GError **error);
void pgw_config__read_fail(struct pgw_config__reader *reader,
                           const char *member, const char *remedy);
char *pgw_config__read_string(struct pgw_config__reader *reader,
                              const char *member, const char *fallback,
                              size_t max);
char *pgw_config__read_name(struct pgw_config__reader *reader,
                            const char *member, const char *fallback);
uint32_t pgw_config__read_uint(struct pgw_config__reader *reader,
                               const char *member, int64_t fallback,
                               uint32_t min, uint32_t max);
bool pgw_config__read_bool(struct pgw_config__reader *reader,
                           const char *member, bool fallback);
double pgw_config__read_fraction(struct pgw_config__reader *reader,
                                 const char *member, double fallback);
JsonArray *pgw_config__read_array(struct pgw_config__reader *reader,
                                  const char *member);
void pgw_config__check_members(struct pgw_config__reader *reader,
                               const char *const *members);

#endif
