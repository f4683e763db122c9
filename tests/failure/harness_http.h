#ifndef FAILURE_HARNESS_HTTP_H
#define FAILURE_HARNESS_HTTP_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: HTTP client and JSON access for tests
 *
 * Calls block; several threads may call at once.
 */

/**
 * struct harness_call - what to send
 * @method: NULL for GET, or for POST when there is a body
 * @headers: lines "Name: value", NULL-terminated, or NULL
 * @body: text to send, or NULL
 * @timeout_s: 0 for 60
 * @on_data: called with each piece of the body as it comes, or NULL; false
 *           closes the connection in the middle of the answer
 */
struct harness_call {
    const char *method;
    const char *url;
    const char *const *headers;
    const char *body;
    long timeout_s;
    bool (*on_data)(const char *data, size_t length, void *user_data);
    void *user_data;
};

/**
 * struct harness_answer - what came back
 * @status: HTTP status, 0 when none came
 * @whole: the answer came to its proper end
 */
struct harness_answer {
    long status;
    bool whole;
    GString *headers;
    GString *body;
};

/** harness_send() - make a call. Return: the HTTP status, or 0 */
long harness_send(struct harness_answer *out, const struct harness_call *call);

/** harness_get() - GET. Return: the HTTP status, or 0 */
long harness_get(struct harness_answer *out, const char *url);

/** harness_post() - POST a text. Return: the HTTP status, or 0 */
long harness_post(struct harness_answer *out, const char *url,
                  const char *body);

void harness_answer_dispose(struct harness_answer *answer);

/** harness_answer_header() - a header's value, NULL if absent; free it */
char *harness_answer_header(const struct harness_answer *answer,
                            const char *name);

/** harness_parse() - JSON text to a node; fails the test when it is none */
JsonNode *harness_parse(const char *text);

/** harness_get_json() - GET that must give 200 and JSON; free the node */
JsonNode *harness_get_json(const char *url);

/**
 * harness_json() - find a value, e.g. "choices/0/text"
 * @path: member names and array indices
 *
 * Return: the node within @root, NULL when there is none.
 */
JsonNode *harness_json(JsonNode *root, const char *path);

/** harness_json_int() - a number by path; fails the test when absent */
gint64 harness_json_int(JsonNode *root, const char *path);

/** harness_json_string() - a text by path; fails the test when absent */
const char *harness_json_string(JsonNode *root, const char *path);

/** harness_json_length() - length of an array or object by path, 0 if none */
unsigned harness_json_length(JsonNode *root, const char *path);

/** harness_get_int() - GET a JSON answer and take one number of it */
gint64 harness_get_int(const char *url, const char *path);

/**
 * struct harness_stream - a streamed completion, put together
 * @text: text of all tokens in the order in which they came
 * @tokens: events with a choice
 * @finish_reason: of the last token, or NULL
 * @done: "[DONE]" came
 * @error: JSON of an error event, or NULL
 * @cached_tokens: of the usage, -1 when none came
 */
struct harness_stream {
    GString *text;
    unsigned tokens;
    char *finish_reason;
    bool done;
    char *error;
    gint64 prompt_tokens;
    gint64 cached_tokens;
};

/** harness_stream_parse() - read the body of an event stream */
void harness_stream_parse(struct harness_stream *out, const char *body);
void harness_stream_dispose(struct harness_stream *stream);

#endif
