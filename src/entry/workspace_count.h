#ifndef PGW_ENTRY_WORKSPACE_COUNT_H
#define PGW_ENTRY_WORKSPACE_COUNT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Requests in progress of each workspace at this entry
 *
 * Only workspaces that have some are in the table, so its size follows the
 * traffic and not the number of workspaces configured.
 */

struct workspace_count;

struct workspace_count *workspace_count_new(void);
void workspace_count_free(struct workspace_count *count);

/**
 * workspace_count_enter() - count one more request; any thread
 * @count: the table
 * @workspace: name
 * @limit: most requests at a time, 0: no limit
 *
 * Return: false, and nothing counted, when the limit is reached.
 */
bool workspace_count_enter(struct workspace_count *count,
                           const char *workspace, uint32_t limit);

/** workspace_count_leave() - one request less; any thread */
void workspace_count_leave(struct workspace_count *count,
                           const char *workspace);

#endif
