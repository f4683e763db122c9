#ifndef PGW_ENTRY_REQUEST_PARSE_H
#define PGW_ENTRY_REQUEST_PARSE_H

#include "parsleygw/level.h"
#include <glib.h>

G_BEGIN_DECLS

/**
 * struct request_fields - a completion request as callers write it
 * @model: the member "model": names the profile unless a header does
 * @prompt: the prompt, or the chat's messages joined
 * @boundaries: ends of the chat's messages in @prompt, in bytes
 * @n_boundaries: number of @boundaries
 * @max_tokens: 0 when not said
 * @seed: 0 when not said
 * @temperature: 0 when not said
 * @stream: answer as an event stream
 */
struct request_fields {
    char *model;
    GString *prompt;
    uint32_t boundaries[PGW_LEVEL_MAX];
    size_t n_boundaries;
    uint32_t max_tokens;
    uint64_t seed;
    double temperature;
    bool stream;
};

/**
 * request_parse() - read the body of a completion request
 * @out: receives the fields; request_fields_dispose() them
 * @body: the body
 * @size: its length in bytes
 * @chat: expect "messages", else "prompt"
 * @error: %PGW_ERROR_INVALID naming the member and what to write
 */
bool request_parse(struct request_fields *out, const void *body, size_t size,
                   bool chat, GError **error);

/** request_fields_dispose() - free what the fields own */
void request_fields_dispose(struct request_fields *fields);

G_END_DECLS

#endif
