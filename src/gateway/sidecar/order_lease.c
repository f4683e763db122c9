#include "gateway/sidecar/order_lease.h"
#include "util/log.h"
#include "util/random.h"

/* The lease is read within this time of the start: many processes may start at
 * once, and the store must first serve what they cannot do without. */
#define OBSERVE_WITHIN_US 10000000

/*
 * @object: the store's handle of the lease object
 * @timer: next step of @lease
 * @logged_wait: a log line says that another process holds the lease
 */
struct pgw_order_lease {
    struct pgw_loop *loop;
    struct pgw_order_lease_options options;
    char host[PGW_ADDRESS_TEXT_SIZE];
    void *object;
    struct pgw_lease lease;
    struct pgw_timer timer;
    bool logged_wait;
};

static void
step(struct pgw_order_lease *self)
{
    const struct pgw_order_lease_store *store = self->options.store;
    uint64_t now_us = pgw_boot_now_us();

    switch (pgw_lease_step(&self->lease, now_us)) {
    case PGW_LEASE_IDLE:
        if (self->lease.wanted && !self->lease.call_in_flight) {
            pgw_timer_start(self->loop, &self->timer,
                            self->lease.next_call_us > now_us
                                ? self->lease.next_call_us - now_us
                                : 0);
        }
        break;
    case PGW_LEASE_READ:
        store->read(self->object);
        break;
    case PGW_LEASE_CREATE:
        store->write(self->object, 0, self->lease.write_count);
        break;
    case PGW_LEASE_REPLACE:
        store->write(self->object, self->lease.revision,
                     self->lease.write_count);
        break;
    }
}

/* Reads the lease without a request for it, so that the lease of a former
 * holder is known to be over when this process needs it. */
static void
observe(struct pgw_order_lease *self)
{
    pgw_lease_set_wanted(&self->lease, true);
    step(self);
    pgw_lease_set_wanted(&self->lease, false);
}

static void
on_step_timer(struct pgw_timer *timer)
{
    struct pgw_order_lease *self =
        pgw_container_of(timer, struct pgw_order_lease, timer);

    if (self->lease.wanted) {
        step(self);
    }
    else if (!self->lease.state_known) {
        observe(self);
    }
}

struct pgw_order_lease *
pgw_order_lease_new(struct pgw_loop *loop,
                    const struct pgw_order_lease_options *options)
{
    struct pgw_order_lease *self = g_new0(struct pgw_order_lease, 1);

    self->loop = loop;
    self->options = *options;
    pgw_address_format_host(self->host, &options->engine);
    self->timer.on_due = on_step_timer;
    pgw_lease_init(&self->lease, &options->lease);
    self->object =
        options->store->open(options->store_context, self, self->host);
    pgw_timer_start(loop, &self->timer, pgw_random_u64() % OBSERVE_WITHIN_US);
    return self;
}

void
pgw_order_lease_free(struct pgw_order_lease *lease)
{
    pgw_timer_stop(lease->loop, &lease->timer);
    lease->options.store->close(lease->object);
    g_free(lease);
}

void
pgw_order_lease_request(struct pgw_order_lease *lease)
{
    pgw_lease_set_wanted(&lease->lease, true);
    step(lease);
}

bool
pgw_order_lease_holds(const struct pgw_order_lease *lease)
{
    return pgw_lease_holds(&lease->lease, pgw_boot_now_us());
}

/* Only a request waits for an answer. */
static void
give_up(struct pgw_order_lease *self)
{
    if (self->lease.wanted) {
        pgw_log_warning("no_token", "engine=%s", self->host);
        pgw_lease_set_wanted(&self->lease, false);
        self->options.on_token(self->options.context, 0, 0);
    }
}

static void
log_wait(struct pgw_order_lease *self)
{
    bool waits = self->lease.wanted && self->lease.state_known &&
                 self->lease.exists && !self->lease.names_self;

    if (waits && !self->logged_wait) {
        pgw_log_info("orders_held_elsewhere",
                     "engine=%s revision=%" G_GUINT64_FORMAT, self->host,
                     self->lease.revision);
    }
    self->logged_wait = waits;
}

void
pgw_order_lease_finish_read(struct pgw_order_lease *lease,
                            const struct pgw_lease_answer *answer)
{
    pgw_lease_finish_read(&lease->lease, answer, pgw_boot_now_us());
    if (answer->result == PGW_LEASE_FAILED) {
        give_up(lease);
        return;
    }
    log_wait(lease);
    step(lease);
}

void
pgw_order_lease_finish_write(struct pgw_order_lease *lease,
                             const struct pgw_lease_answer *answer)
{
    uint64_t now_us = pgw_boot_now_us();

    pgw_lease_finish_write(&lease->lease, answer, now_us);
    if (answer->result == PGW_LEASE_FAILED) {
        give_up(lease);
        return;
    }
    if (answer->result == PGW_LEASE_CONFLICT) {
        step(lease);
        return;
    }
    lease->logged_wait = false;
    pgw_lease_set_wanted(&lease->lease, false);
    if (pgw_lease_holds(&lease->lease, now_us)) {
        lease->options.on_token(lease->options.context, lease->lease.revision,
                                lease->lease.valid_until_us - now_us);
    }
    else {
        lease->options.on_token(lease->options.context, 0, 0);
    }
}
