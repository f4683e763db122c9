#ifndef PGW_GATEWAY_HTTP_HTTP_READER_H
#define PGW_GATEWAY_HTTP_HTTP_READER_H

#include "util/http_status.h"
#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Incremental reader of HTTP/1.1 messages
 *
 * Takes the bytes of a connection and returns heads and pieces of bodies. The
 * parser is libhttp-parser; this module assembles the head, limits its size
 * and stops after each message, so that a connection handles one message at a
 * time.
 *
 * libmicrohttpd and libcurl are not used here: libcurl resends a request when
 * a reused connection turns out to be closed, so a request that must run once
 * may run twice. Neither library exposes the request line and the end of an
 * answer as they were on the wire.
 */

#define PGW_HTTP_FIELDS_MAX 96

/**
 * struct pgw_http_head - start line and header fields of one message
 * @text: storage of all strings
 * @names: offsets of the names in @text
 * @values: offsets of the values in @text
 * @count: number of fields
 * @target: offset of the request target
 * @method: name of the request's method, static
 * @status: status code of an answer
 * @keep_alive: the connection may carry another message after this one
 * @has_length: a Content-Length is given
 * @chunked: the body comes in chunks
 * @length: the Content-Length in bytes, if @has_length
 */
struct pgw_http_head {
    GString *text;
    uint32_t names[PGW_HTTP_FIELDS_MAX];
    uint32_t values[PGW_HTTP_FIELDS_MAX];
    unsigned count;
    uint32_t target;
    const char *method;
    unsigned status;
    bool keep_alive;
    bool is_http_1_0;
    bool has_length;
    bool chunked;
    uint64_t length;
};

/** pgw_http_head_name() - name of a field */
const char *pgw_http_head_name(const struct pgw_http_head *head, unsigned i);

/** pgw_http_head_value() - value of a field, without white space around it */
const char *pgw_http_head_value(const struct pgw_http_head *head, unsigned i);

/** pgw_http_head_target() - the request target as it was on the wire */
const char *pgw_http_head_target(const struct pgw_http_head *head);

/** pgw_http_head_find() - value of the first field of a name, or NULL */
const char *pgw_http_head_find(const struct pgw_http_head *head,
                               const char *name);

/** pgw_http_head_count() - number of fields of a name */
unsigned pgw_http_head_count(const struct pgw_http_head *head,
                             const char *name);

/**
 * pgw_http_head_is_hop_by_hop() - whether a field must not be forwarded
 *
 * True for the hop-by-hop fields of HTTP and for those that the head's own
 * Connection field names.
 */
bool pgw_http_head_is_hop_by_hop(const struct pgw_http_head *head, unsigned i);

struct pgw_http_reader;

/**
 * struct pgw_http_reader_ops - callbacks of a reader's owner
 * @on_head: the head is complete
 * @on_body: a piece of the body has arrived
 * @on_done: the message is complete; the reader stops after it
 */
struct pgw_http_reader_ops {
    void (*on_head)(struct pgw_http_reader *reader);
    void (*on_body)(struct pgw_http_reader *reader, const char *data,
                    size_t size);
    void (*on_done)(struct pgw_http_reader *reader);
};

/**
 * struct pgw_http_reader - embedded in its owner
 * @parser: state of the parser library
 * @ops: the owner's callbacks
 * @status: status line of the current message, if it is an answer
 * @head: head of the current message
 * @head_limit: most bytes of a head
 * @head_size: bytes of the current head so far
 * @in_value: the last piece of a header field belonged to its value
 * @too_large: the head exceeds @head_limit or has too many fields
 * @head_done: the head is complete
 * @done: the message is complete
 * @no_body: the answer belongs to a HEAD request
 * @stop: the owner wants no more callbacks
 */
struct pgw_http_reader {
    http_parser parser;
    struct pgw_http_status status;
    const struct pgw_http_reader_ops *ops;
    struct pgw_http_head head;
    size_t head_limit;
    size_t head_size;
    bool in_value;
    bool too_large;
    bool head_done;
    bool done;
    bool no_body;
    bool stop;
};

/**
 * enum pgw_http_result - result of parsing received bytes
 * @PGW_HTTP_MORE: all bytes are consumed, the message is not complete
 * @PGW_HTTP_DONE: the message is complete; bytes after it are not consumed
 * @PGW_HTTP_BAD: the bytes are not HTTP, or their framing is contradictory
 * @PGW_HTTP_TOO_LARGE: the head is larger than allowed
 */
enum pgw_http_result {
    PGW_HTTP_MORE,
    PGW_HTTP_DONE,
    PGW_HTTP_BAD,
    PGW_HTTP_TOO_LARGE,
};

/**
 * pgw_http_reader_init() - initialize a reader for answers or for requests
 * @reader: memory that the owner provides
 * @answers: true for answers, false for requests
 * @head_limit: most bytes of a head
 * @ops: must outlive the reader
 */
void pgw_http_reader_init(struct pgw_http_reader *reader, bool answers,
                          size_t head_limit,
                          const struct pgw_http_reader_ops *ops);

/** pgw_http_reader_next() - prepare for the next message after a complete one
 */
void pgw_http_reader_next(struct pgw_http_reader *reader);

/** pgw_http_reader_dispose() - free the memory of the head */
void pgw_http_reader_dispose(struct pgw_http_reader *reader);

/**
 * pgw_http_reader_feed() - parse received bytes
 * @consumed: receives the number of bytes consumed
 * @reader: the reader
 * @data: the bytes; NULL with @size 0: the peer has closed the connection
 * @size: number of bytes
 */
enum pgw_http_result pgw_http_reader_feed(size_t *consumed,
                                          struct pgw_http_reader *reader,
                                          const char *data, size_t size);

#endif
