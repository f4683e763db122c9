#ifndef PGW_CLAIM_RECORD_H
#define PGW_CLAIM_RECORD_H

#include "parsleygw/claim.h"

G_BEGIN_DECLS

/**
 * DOC: Value of an object of kind "claim"
 *
 *     {"v":1,
 *      "w":[["owner",from_us,to_us], ..],
 *      "c":{"WORKSPACE KEY":["c","owner","nonce",time_us], ..
 *           "WORKSPACE KEY":["u","owner","nonce",time_us], ..
 *           "WORKSPACE KEY":["d","owner","nonce",time_us,
 *                            status,"type","base64"]}}
 *
 * "c" is claimed; "u" may have run, and its answer is lost; "d" is done. The
 * body of "d" is null when it was too long to store. Owners are incarnations
 * in hexadecimal digits.
 */

#define PGW_CLAIM_NONCE_SIZE 48

enum pgw_claim_state {
    PGW_CLAIM_CLAIMED = 'c',
    PGW_CLAIM_LOST = 'u',
    PGW_CLAIM_DONE = 'd',
};

/**
 * struct pgw_claim_record - one key's record; immutable
 * @json: the record as stored in the object, including its name
 */
struct pgw_claim_record {
    int references;
    enum pgw_claim_state state;
    uint64_t owner;
    uint64_t time_us;
    uint32_t status;
    char *name;
    char *content_type;
    GBytes *body;
    char *json;
    size_t json_length;
    char nonce[PGW_CLAIM_NONCE_SIZE];
};

/**
 * struct pgw_claim_window - range of creation times whose keys only one
 * owner may decide
 */
struct pgw_claim_window {
    uint64_t owner;
    uint64_t from_us;
    uint64_t to_us;
};

/**
 * struct pgw_claim_object - an object's value
 * @records: name to &struct pgw_claim_record
 * @windows: array of &struct pgw_claim_window
 * @bytes: size of all records as JSON
 */
struct pgw_claim_object {
    GHashTable *records;
    GArray *windows;
    size_t bytes;
};

/**
 * pgw_claim__record_new() - create a record
 * @state: state of the record
 * @answer: for DONE: the answer; its body is NULL if it is not stored
 *
 * Return: with one reference.
 */
struct pgw_claim_record *
pgw_claim__record_new(enum pgw_claim_state state, const char *name,
                      uint64_t owner, const char *nonce, uint64_t time_us,
                      const struct pgw_claim_answer *answer);

/** pgw_claim__record_without_body() - copy of a record without its body */
struct pgw_claim_record *
pgw_claim__record_without_body(const struct pgw_claim_record *record);

struct pgw_claim_record *
pgw_claim__record_ref(struct pgw_claim_record *record);
void pgw_claim__record_unref(struct pgw_claim_record *record);

struct pgw_claim_object *pgw_claim__object_new(void);
struct pgw_claim_object *
pgw_claim__object_copy(const struct pgw_claim_object *object);
void pgw_claim__object_free(struct pgw_claim_object *object);

struct pgw_claim_record *
pgw_claim__object_get(const struct pgw_claim_object *object, const char *name);

/** pgw_claim__object_put() - add or replace a record; takes the reference */
void pgw_claim__object_put(struct pgw_claim_object *object,
                           struct pgw_claim_record *record);
void pgw_claim__object_remove(struct pgw_claim_object *object,
                              const char *name);

/** pgw_claim__object_compact() - remove records and windows older than
 * @oldest_us */
void pgw_claim__object_compact(struct pgw_claim_object *object,
                               uint64_t oldest_us);

/** pgw_claim__object_window() - the window of @owner, NULL: none */
struct pgw_claim_window *
pgw_claim__object_window(const struct pgw_claim_object *object,
                         uint64_t owner);

char *pgw_claim__object_print(const struct pgw_claim_object *object,
                              size_t *length);

/** pgw_claim__object_parse() - NULL with %PGW_ERROR_INVALID if malformed */
struct pgw_claim_object *
pgw_claim__object_parse(const char *json, size_t length, GError **error);

G_END_DECLS

#endif
