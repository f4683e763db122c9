#ifndef FAILURE_HARNESS_ENTRY_END_H
#define FAILURE_HARNESS_ENTRY_END_H

#include "harness_process.h"
#include "libparsleygw/frame.h"
#include "parsleygw/types.h"

/**
 * DOC: The test as an entry that speaks frames to a sidecar
 */

/**
 * struct entry_end - a connection to a sidecar, blocking
 * @id: a request id of its own
 */
struct entry_end {
    int fd;
    struct pgw_buffer in;
    uint8_t id[PGW_REQUEST_ID_SIZE];
};

/** entry_end_connect() - a connection on which nothing has been said */
struct entry_end *entry_end_connect(struct harness_process *sidecar);

void entry_end_hello(struct entry_end *end, uint32_t protocol);

/** entry_end_greet() - connect and say Hello */
struct entry_end *entry_end_greet(struct harness_process *sidecar);

void entry_end_send(struct entry_end *end, enum pgw_frame_type type,
                    const ProtobufCMessage *message);

/**
 * entry_end_next() - wait for a frame
 * @wanted: its types, as a set of bits; others are dropped
 *
 * Return: the frame, or NULL at the end of the connection.
 */
ProtobufCMessage *entry_end_next(struct entry_end *end, uint32_t wanted,
                                 enum pgw_frame_type *type);

void entry_end_free(struct entry_end *end);

#endif
