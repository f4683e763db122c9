#ifndef STANDINS_FETCH_LIB_H
#define STANDINS_FETCH_LIB_H

#include <glib.h>

/**
 * standin_fetch() - one HTTP call, blocking
 * @answer: receives the answer's body
 * @method: "GET" or "PUT"
 * @url: where to
 * @body: what to send, NULL for nothing
 *
 * Return: the HTTP status, 0 when there was no whole answer.
 */
long standin_fetch(GString *answer, const char *method, const char *url,
                   const GString *body);

#endif
