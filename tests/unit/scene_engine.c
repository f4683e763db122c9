#include "scene_engine.h"

#include "scene_gateway.h"
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static void
refuse_for(int fd, const char *retry_after)
{
    char *field = g_strdup_printf("Retry-After: %s\r\n", retry_after);

    scene_refuse_with(fd, field);
    g_free(field);
}

/* Serves one request of the sidecar. */
static void
serve_one(struct scene_engine *engine, int fd)
{
    char *head = scene_read_until(fd, "\r\n\r\n");
    char *text;

    if (strstr(head, "POST ") == head) {
        g_free(engine->order);
        engine->order = scene_read_until(fd, "}");
        engine->orders++;
        scene_send(fd, "HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n");
    }
    else if (strstr(head, "/api/report") != NULL &&
             engine->refuse_for != NULL) {
        engine->reports_refused++;
        refuse_for(fd, engine->refuse_for);
    }
    else if (strstr(head, "/api/report") != NULL) {
        engine->reports++;
        text = g_strdup_printf(
            "{\"models\":[{\"name\":\"m\",\"version\":%" G_GUINT64_FORMAT
            "}],\"busy\":%s,\"sequence\":%u,\"active\":1,\"state\":\"%s\","
            "\"queued\":%u,\"kv_total\":900%s"
            "%" G_GUINT64_FORMAT "}",
            engine->version, engine->busy ? "true" : "false", engine->sequence,
            engine->draining ? "draining" : "ready", engine->queued,
            engine->started_ms == 0 ? ",\"sessions\":" : ",\"born\":",
            engine->started_ms);
        scene_answer(fd, "r", 200,
                     engine->fields == NULL ? "" : engine->fields, text);
        g_free(text);
    }
    else if (engine->events_refused_for != NULL) {
        engine->events_refused++;
        refuse_for(fd, engine->events_refused_for);
    }
    else {
        scene_answer(fd, "e", 200, "",
                     "{\"boot_epoch\":1,\"next\":0,\"lost_count\":false,"
                     "\"events\":[]}");
    }
    g_free(head);
}

void
scene_engine_serve(struct scene_engine *engine,
                   bool (*done)(const struct scene_engine *engine))
{
    struct pollfd polled[16] = {{.fd = engine->listener, .events = POLLIN}};
    unsigned count = 1;

    while (!done(engine)) {
        g_assert_cmpint(poll(polled, count, SCENE_TIMEOUT_S * 1000), >, 0);
        for (unsigned i = 1; i < count; i++) {
            char byte;

            if (polled[i].revents != 0 &&
                recv(polled[i].fd, &byte, 1, MSG_PEEK) == 1) {
                serve_one(engine, polled[i].fd);
            }
            else if (polled[i].revents != 0) {
                close(polled[i].fd);
                polled[i] = polled[--count];
            }
        }
        if (polled[0].revents != 0) {
            g_assert_cmpuint(count, <, G_N_ELEMENTS(polled));
            polled[count++] = (struct pollfd){
                .fd = accept(engine->listener, NULL, NULL), .events = POLLIN};
        }
    }
    for (unsigned i = 1; i < count; i++) {
        close(polled[i].fd);
    }
}
