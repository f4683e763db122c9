#ifndef PGW_GATEWAY_COVER_ENGINE_LOSSES_H
#define PGW_GATEWAY_COVER_ENGINE_LOSSES_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Engines that ended lately, as one entry saw it
 *
 * Answers the load of crashes that come in series: what took one engine may
 * take more of its service or zone within the next seconds.
 */

/* The last losses that are kept. A pool that lost more is endangered whatever
 * the exact number. */
#define PGW_ENGINE_LOSSES_MAX 256
/* The time over which the rate of losses is taken: long enough for the next
 * one of a series, and short enough to be forgotten soon after its end. */
#define PGW_ENGINE_LOSS_TIME_US 60000000ULL

/**
 * struct pgw_engine_losses - recent losses; zeroed: none
 * @items: ring, with hashes of names
 * @next: position of the next item
 */
struct pgw_engine_losses {
    struct pgw_engine_loss {
        uint64_t engine;
        uint64_t service;
        uint64_t zone;
        uint64_t at_us;
    } items[PGW_ENGINE_LOSSES_MAX];
    size_t next;
};

/* Signs of one loss follow each other within this time: the platform's list
 * names a lost engine for up to four seconds. */
#define PGW_ENGINE_LOSS_SIGNS_US 6000000ULL

/**
 * pgw_engine_losses_add() - record that an engine has ended
 * @losses: the losses
 * @engine: hash of its address; several signs of one loss count once
 * @service: hash of its service's name
 * @zone: hash of its zone's name
 * @now_us: monotonic time, not 0
 */
void pgw_engine_losses_add(struct pgw_engine_losses *losses, uint64_t engine,
                           uint64_t service, uint64_t zone, uint64_t now_us);

/**
 * pgw_engine_losses_count() - engines of a service lost within
 * %PGW_ENGINE_LOSS_TIME_US
 * @losses: the losses
 * @service: hash of the service's name
 * @zone: hash of a zone's name, 0: of all zones
 * @now_us: monotonic time
 */
unsigned pgw_engine_losses_count(const struct pgw_engine_losses *losses,
                                 uint64_t service, uint64_t zone,
                                 uint64_t now_us);

#endif
