#include "harness_entry_end.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "util/random.h"

#define LIMIT_S 30

void
entry_end_send(struct entry_end *end, enum pgw_frame_type type,
               const ProtobufCMessage *message)
{
    struct pgw_buffer out = {0};

    pgw_frame_append(&out, type, message);
    g_assert_cmpint(send(end->fd, pgw_buffer_head(&out), pgw_buffer_size(&out),
                         MSG_NOSIGNAL),
                    ==, (ssize_t)pgw_buffer_size(&out));
    pgw_buffer_dispose(&out);
}

struct entry_end *
entry_end_connect(struct harness_process *sidecar)
{
    struct entry_end *end = g_new0(struct entry_end, 1);
    struct timeval limit = {.tv_sec = LIMIT_S};
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
        .sin_port = htons(harness_process_port(sidecar)),
    };

    end->fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(end->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    g_assert_cmpint(
        connect(end->fd, (struct sockaddr *)&address, sizeof(address)), ==, 0);
    pgw_random_bytes(end->id, sizeof(end->id));
    return end;
}

void
entry_end_hello(struct entry_end *end, uint32_t protocol)
{
    Pgw__Hello hello = PGW__HELLO__INIT;

    hello.protocol = protocol;
    hello.instance = "test";
    hello.role = "entry";
    hello.zone = "a";
    hello.incarnation = 1;
    entry_end_send(end, PGW_FRAME_HELLO, &hello.base);
}

struct entry_end *
entry_end_greet(struct harness_process *sidecar)
{
    struct entry_end *end = entry_end_connect(sidecar);

    entry_end_hello(end, PGW_PROTOCOL_VERSION);
    return end;
}

void
entry_end_free(struct entry_end *end)
{
    close(end->fd);
    pgw_buffer_dispose(&end->in);
    g_free(end);
}

ProtobufCMessage *
entry_end_next(struct entry_end *end, uint32_t wanted,
               enum pgw_frame_type *type)
{
    for (;;) {
        ProtobufCMessage *message = NULL;
        GError *error = NULL;
        ssize_t got;

        switch (pgw_frame_decode(type, &message, &end->in, &error)) {
        case PGW_FRAME_DECODED:
            if (wanted & (1u << *type)) {
                return message;
            }
            pgw_frame_free(message);
            continue;
        case PGW_FRAME_INVALID:
            g_error("%s", error->message);
        default:
            break;
        }
        got = recv(end->fd, pgw_buffer_reserve(&end->in, 65536), 65536, 0);
        if (got <= 0) {
            g_assert_true(got == 0 || errno == ECONNRESET);
            return NULL;
        }
        end->in.end += (size_t)got;
    }
}
