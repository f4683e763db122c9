#ifndef PGW_GATEWAY_HTTP_READER_H
#define PGW_GATEWAY_HTTP_READER_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Incremental reader of HTTP/1.1 messages
 *
 * Bytes of a connection go in, heads and pieces of bodies come out. The
 * grammar is libhttp-parser's; this module keeps the head together, bounds
 * its size and stops behind each message, so that a connection handles one
 * message at a time.
 *
 * libmicrohttpd and libcurl are not used on this path: libcurl sends a request
 * a second time when a reused connection turns out to be closed, which may run
 * a call twice that must run once, and neither hands out the request line and
 * the end of an answer as they were on the wire.
 */

#define PGW_HTTP_FIELDS_MAX 96

/**
 * struct pgw_http_head - start line and header fields of one message
 * @text: holds all strings
 * @names: offsets of the names in @text
 * @values: offsets of the values in @text
 * @count: number of fields
 * @target: offset of the request target
 * @method: name of the request's method, static
 * @status: status of an answer
 * @keep_alive: the connection may carry another message after this one
 * @has_length: the body's length is announced
 * @chunked: the body comes in chunks
 * @length: announced length in bytes, if @has_length
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

/** pgw_http_head_count() - how often a field of a name occurs */
unsigned pgw_http_head_count(const struct pgw_http_head *head,
                             const char *name);

/**
 * pgw_http_head_is_hop_by_hop() - whether a field concerns one connection only
 *
 * True for the names that the protocol lists and for those that the head's
 * own Connection field names.
 */
bool pgw_http_head_is_hop_by_hop(const struct pgw_http_head *head, unsigned i);

struct pgw_http_reader;

/**
 * struct pgw_http_reader_ops - what the owner of a reader hears
 * @on_head: the head is complete
 * @on_body: a piece of the body
 * @on_done: the message is complete; the reader stops behind it
 */
struct pgw_http_reader_ops {
    void (*on_head)(struct pgw_http_reader *reader);
    void (*on_body)(struct pgw_http_reader *reader, const char *data,
                    size_t size);
    void (*on_done)(struct pgw_http_reader *reader);
};

/**
 * struct pgw_http_reader - embedded in its owner
 * @parser: the grammar's state
 * @ops: the owner's callbacks
 * @head: of the current message
 * @head_limit: most bytes of a head
 * @head_size: bytes of the current head so far
 * @in_value: the last header piece belonged to a value
 * @too_large: the head went over @head_limit or has too many fields
 * @done: the message is complete
 * @no_body: the answer belongs to a HEAD request
 * @stop: the owner wants no more callbacks
 */
struct pgw_http_reader {
    http_parser parser;
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
 * enum pgw_http_result - what became of the bytes
 * @PGW_HTTP_MORE: all taken, the message is not complete
 * @PGW_HTTP_DONE: the message is complete; bytes behind it are not taken
 * @PGW_HTTP_BAD: these bytes are no HTTP, or contradict each other
 * @PGW_HTTP_TOO_LARGE: the head is larger than allowed
 */
enum pgw_http_result {
    PGW_HTTP_MORE,
    PGW_HTTP_DONE,
    PGW_HTTP_BAD,
    PGW_HTTP_TOO_LARGE,
};

/**
 * pgw_http_reader_init() - prepare for messages of one direction
 * @reader: memory of the owner
 * @answers: read answers, else requests
 * @head_limit: most bytes of a head
 * @ops: must outlive the reader
 */
void pgw_http_reader_init(struct pgw_http_reader *reader, bool answers,
                          size_t head_limit,
                          const struct pgw_http_reader_ops *ops);

/** pgw_http_reader_next() - prepare for the message after a complete one */
void pgw_http_reader_next(struct pgw_http_reader *reader);

/** pgw_http_reader_dispose() - free what the reader holds */
void pgw_http_reader_dispose(struct pgw_http_reader *reader);

/**
 * pgw_http_reader_feed() - take received bytes
 * @taken: receives how many bytes were taken
 * @reader: the reader
 * @data: the bytes; NULL with @size 0 says that the peer closed
 * @size: their number
 */
enum pgw_http_result pgw_http_reader_feed(size_t *taken,
                                          struct pgw_http_reader *reader,
                                          const char *data, size_t size);

#endif
