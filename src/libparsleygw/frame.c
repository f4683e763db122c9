#include "libparsleygw/frame.h"
#include "parsleygw/errors.h"
#include <arpa/inet.h>

static const ProtobufCMessageDescriptor
    *const descriptors[PGW_FRAME_TYPE_COUNT] = {
        [PGW_FRAME_HELLO] = &pgw__hello__descriptor,
        [PGW_FRAME_PROBE] = &pgw__probe__descriptor,
        [PGW_FRAME_PROBE_REPLY] = &pgw__probe_reply__descriptor,
        [PGW_FRAME_OPEN] = &pgw__open__descriptor,
        [PGW_FRAME_STARTED] = &pgw__started__descriptor,
        [PGW_FRAME_DATA] = &pgw__data__descriptor,
        [PGW_FRAME_END] = &pgw__end__descriptor,
        [PGW_FRAME_FAIL] = &pgw__fail__descriptor,
        [PGW_FRAME_CANCEL] = &pgw__cancel__descriptor,
        [PGW_FRAME_WINDOW] = &pgw__window__descriptor,
        [PGW_FRAME_STATE] = &pgw__state__descriptor,
        [PGW_FRAME_DIGEST] = &pgw__digest__descriptor,
        [PGW_FRAME_OBJECTS] = &pgw__objects__descriptor,
        [PGW_FRAME_SUSPECTS] = &pgw__objects__descriptor,
        [PGW_FRAME_DOCUMENTS] = &pgw__documents__descriptor,
        [PGW_FRAME_ENGINE_STATE] = &pgw__engine_state__descriptor,
        [PGW_FRAME_LOAD_WEIGHTS] = &pgw__load_weights__descriptor,
        [PGW_FRAME_NEWS] = &pgw__news__descriptor,
        [PGW_FRAME_CRASHED_RUNS] = &pgw__crashed_runs__descriptor,
        [PGW_FRAME_EXPECTED_PARTS] = &pgw__expected_parts__descriptor,
        [PGW_FRAME_ENGINE_PROBE] = &pgw__engine_probe__descriptor,
        [PGW_FRAME_QUOTA_ASK] = &pgw__quota_ask__descriptor,
        [PGW_FRAME_QUOTA_ANSWER] = &pgw__quota_answer__descriptor,
        [PGW_FRAME_LIMIT_ASK] = &pgw__limit_ask__descriptor,
        [PGW_FRAME_LIMIT_ANSWER] = &pgw__limit_answer__descriptor,
        [PGW_FRAME_STREAM_ORIGINS] = &pgw__stream_origins__descriptor,
        [PGW_FRAME_STREAM_ORIGIN_ASK] = &pgw__stream_origin_ask__descriptor,
        [PGW_FRAME_STREAM_ORIGIN_ANSWER] =
            &pgw__stream_origin_answer__descriptor,
        [PGW_FRAME_PREFILL_CLAIM] = &pgw__prefill_claim__descriptor,
        [PGW_FRAME_PREFILL_ANSWER] = &pgw__prefill_answer__descriptor,
};

void
pgw_frame_append(struct pgw_buffer *out, enum pgw_frame_type type,
                 const ProtobufCMessage *message)
{
    size_t size = protobuf_c_message_get_packed_size(message);
    uint32_t length = htonl((uint32_t)size + 1);
    uint8_t *frame;

    g_assert(message->descriptor == descriptors[type]);
    frame = pgw_buffer_reserve(out, size + PGW_FRAME_HEADER_SIZE);
    memcpy(frame, &length, sizeof(length));
    frame[sizeof(length)] = (uint8_t)type;
    protobuf_c_message_pack(message, frame + PGW_FRAME_HEADER_SIZE);
    out->end += size + PGW_FRAME_HEADER_SIZE;
}

enum pgw_frame_result
pgw_frame_decode(enum pgw_frame_type *type, ProtobufCMessage **message,
                 struct pgw_buffer *in, GError **error)
{
    const uint8_t *head = pgw_buffer_head(in);
    uint32_t length;

    if (pgw_buffer_size(in) < PGW_FRAME_HEADER_SIZE) {
        return PGW_FRAME_INCOMPLETE;
    }
    memcpy(&length, head, sizeof(length));
    length = ntohl(length);
    if (length == 0 || length > PGW_FRAME_MAX_SIZE) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_PROTOCOL,
                    "frame length of %u bytes is not between 1 and %zu: check "
                    "that the peer is a parsleygw process of this version",
                    length, PGW_FRAME_MAX_SIZE);
        return PGW_FRAME_INVALID;
    }
    *type = (enum pgw_frame_type)head[sizeof(length)];
    if (*type == 0 || *type >= PGW_FRAME_TYPE_COUNT) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_PROTOCOL,
                    "frame of unknown type %u: check that the peer is a "
                    "parsleygw process of this version",
                    *type);
        return PGW_FRAME_INVALID;
    }
    if (pgw_buffer_size(in) < sizeof(length) + length) {
        return PGW_FRAME_INCOMPLETE;
    }
    *message = protobuf_c_message_unpack(descriptors[*type], NULL, length - 1,
                                         head + PGW_FRAME_HEADER_SIZE);
    if (*message == NULL) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_PROTOCOL,
                    "frame of type %u cannot be decoded: check that the peer "
                    "is a parsleygw process of this version",
                    *type);
        return PGW_FRAME_INVALID;
    }
    pgw_buffer_consume(in, sizeof(length) + length);
    return PGW_FRAME_DECODED;
}

void
pgw_frame_free(ProtobufCMessage *message)
{
    if (message != NULL) {
        protobuf_c_message_free_unpacked(message, NULL);
    }
}
