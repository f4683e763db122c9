#ifndef STANDINS_OBJECTS_HISTORY_LIB_H
#define STANDINS_OBJECTS_HISTORY_LIB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: The objects of standin-objects with their past versions
 *
 * Not locked: the program calls it under one lock of its own. Every reading
 * call takes @as_of: versions after it are not seen, so that the stand-in can
 * answer from the past.
 */

#define OBJECTS_NOW G_MAXUINT64

struct objects_history;

enum objects_write {
    OBJECTS_WRITE_DONE,
    OBJECTS_WRITE_CONFLICT,
    OBJECTS_WRITE_MISSING,
};

struct objects_history *objects_history_new(void);

/** objects_history_counter() - version of the last change of any kind */
uint64_t objects_history_counter(const struct objects_history *history);

/**
 * objects_history_load() - objects of a file, each a new version
 *
 * A "version" in the file raises the counter so that the object gets it when
 * it is higher than all before.
 *
 * Return: false when the file cannot be read.
 */
bool objects_history_load(struct objects_history *history, const char *path);

/**
 * objects_history_write() - conditional write or, with a NULL @value, delete
 * @version: receives the new version
 */
enum objects_write objects_history_write(struct objects_history *history,
                                         const char *kind, const char *name,
                                         uint64_t expected, const char *value,
                                         uint64_t *version);

/** objects_history_get() - version of an object, 0 when there is none */
uint64_t objects_history_get(const struct objects_history *history,
                             const char *kind, const char *name,
                             uint64_t as_of, const char **value);

/** objects_history_list() - answer of GET /objects/KIND */
GString *objects_history_list(const struct objects_history *history,
                              const char *kind, uint64_t as_of);

/**
 * objects_history_changes() - answer of GET /watch/KIND
 * @wait: receives whether there is nothing to tell yet
 *
 * Return: NULL when @after is older than what is kept.
 */
GString *objects_history_changes(const struct objects_history *history,
                                 const char *kind, uint64_t after,
                                 uint64_t as_of, bool *wait);

#endif
