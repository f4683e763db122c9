#ifndef PGW_FRAME_H
#define PGW_FRAME_H

#include "proto/parsleygw.pb-c.h"
#include "util/buffer.h"
#include <stdbool.h>

/**
 * DOC: Frames between processes of the system
 *
 * A frame consists of 4 bytes of length (big endian, including the type byte
 * and the payload), 1 byte of type and a packed protobuf message.
 */

/* Version of the protocol. Processes of different versions reject each
 * other's connections. */
#define PGW_PROTOCOL_VERSION 1
#define PGW_FRAME_HEADER_SIZE 5
/* Bytes of the flow control window that a Data frame of @size bytes uses. The
 * fixed part covers the receiver's overhead (framing, JSON), so that many
 * small tokens cannot exhaust the memory of an entry with a slow caller. */
#define PGW_DATA_WINDOW_COST(size) ((size_t)(size) + 192)
/* Largest frame: the largest request body that a setting allows, and its other
 * fields. */
#define PGW_FRAME_MAX_SIZE ((size_t)10 << 20)

enum pgw_frame_type {
    PGW_FRAME_HELLO = 1,
    PGW_FRAME_PROBE,
    PGW_FRAME_PROBE_REPLY,
    PGW_FRAME_OPEN,
    PGW_FRAME_STARTED,
    PGW_FRAME_DATA,
    PGW_FRAME_END,
    PGW_FRAME_FAIL,
    PGW_FRAME_CANCEL,
    PGW_FRAME_WINDOW,
    PGW_FRAME_STATE,
    PGW_FRAME_DIGEST,
    PGW_FRAME_OBJECTS,
    PGW_FRAME_SUSPECTS,
    PGW_FRAME_DOCUMENTS,
    PGW_FRAME_ENGINE_STATE,
    PGW_FRAME_LOAD_WEIGHTS,
    PGW_FRAME_NEWS,
    PGW_FRAME_CRASHED_RUNS,
    PGW_FRAME_EXPECTED_PARTS,
    PGW_FRAME_ENGINE_PROBE,
    PGW_FRAME_QUOTA_ASK,
    PGW_FRAME_QUOTA_ANSWER,
    PGW_FRAME_LIMIT_ASK,
    PGW_FRAME_LIMIT_ANSWER,
    PGW_FRAME_STREAM_ORIGINS,
    PGW_FRAME_STREAM_ORIGIN_ASK,
    PGW_FRAME_STREAM_ORIGIN_ANSWER,
    PGW_FRAME_PREFILL_CLAIM,
    PGW_FRAME_PREFILL_ANSWER,
    PGW_FRAME_TYPE_COUNT,
};

/**
 * pgw_frame_append() - encode one message as a frame and append it to a buffer
 * @out: the buffer
 * @type: type of the message
 * @message: the message; its descriptor must match @type
 */
void pgw_frame_append(struct pgw_buffer *out, enum pgw_frame_type type,
                      const ProtobufCMessage *message);

/**
 * enum pgw_frame_result - outcome of pgw_frame_decode()
 * @PGW_FRAME_INCOMPLETE: the buffer does not contain a complete frame yet
 * @PGW_FRAME_DECODED: one frame was decoded and consumed
 * @PGW_FRAME_INVALID: the stream is malformed; the caller closes the
 *   connection
 */
enum pgw_frame_result {
    PGW_FRAME_INCOMPLETE,
    PGW_FRAME_DECODED,
    PGW_FRAME_INVALID,
};

/**
 * pgw_frame_decode() - decode and consume the first frame of a buffer
 * @type: receives the type
 * @message: receives the message; free it with pgw_frame_free()
 * @in: received bytes
 * @error: %PGW_ERROR_PROTOCOL, set for %PGW_FRAME_INVALID
 */
enum pgw_frame_result pgw_frame_decode(enum pgw_frame_type *type,
                                       ProtobufCMessage **message,
                                       struct pgw_buffer *in, GError **error);

/** pgw_frame_free() - free a message returned by pgw_frame_decode() */
void pgw_frame_free(ProtobufCMessage *message);

#endif
