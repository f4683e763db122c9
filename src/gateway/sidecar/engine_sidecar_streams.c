#include "gateway/sidecar/engine_sidecar_internal.h"
#include "util/log.h"

void
pgw_engine_sidecar_handle_stream_origins(struct pgw_engine_sidecar *sidecar,
                                         const Pgw__StreamOrigins *message)
{
    uint64_t now_us = pgw_now_us();

    for (size_t i = 0; i < message->n_ids; i++) {
        size_t position =
            i < message->software_of.len ? message->software_of.data[i] : 0;

        if (position >= message->n_software) {
            pgw_log_warning("stream_origins", "outcome=ignored position=%zu",
                            position);
            return;
        }
        pgw_stream_ledger_put(sidecar->streams, message->ids[i],
                              g_intern_string(message->software[position]),
                              now_us);
    }
}

void
pgw_engine_sidecar_handle_stream_ask(struct pgw_connected_entry *entry,
                                     const Pgw__StreamOriginAsk *ask)
{
    const struct pgw_stream_ledger *streams = entry->sidecar->streams;
    Pgw__StreamOriginAnswer message = PGW__STREAM_ORIGIN_ANSWER__INIT;
    uint64_t now_us = pgw_now_us();
    const char *software;

    message.ask = ask->ask;
    message.known =
        pgw_stream_ledger_find(&software, streams, ask->id, now_us);
    if (message.known) {
        message.software = (char *)software;
    }
    message.any = !pgw_stream_ledger_is_empty(streams, now_us);
    pgw_link_send(entry->link, PGW_FRAME_STREAM_ORIGIN_ANSWER, &message.base);
}
