#include "sidecar/claim_sweep.h"
#include "libparsleygw/store_worker.h"
#include "parsleygw/claim.h"

#define STORE_TIMEOUT_US UINT64_C(1000000)
/** Two operations an object, one object a shard and period: a few times that.
 */
#define PACE_US UINT64_C(250000)
#define FAILED_US UINT64_C(10000000)
/** Clocks of two processes differ by less. */
#define SLACK_US (UINT64_C(3600) * G_USEC_PER_SEC)
/** An hour of periods, in case nobody used the shard meanwhile. */
#define CATCH_UP 360

struct claim_sweep {
    struct sidecar *sidecar;
    struct pgw_claim_sweep *machine;
    struct pgw_timer timer;
    bool busy;
};

static void
schedule(struct claim_sweep *sweep, uint64_t delay_us)
{
    pgw_timer_start(sweep->sidecar->loop, &sweep->timer, delay_us);
}

static void
store_done(void *context, const struct pgw_io_reply *reply)
{
    struct claim_sweep *sweep = context;
    bool failed = reply->result == PGW_IO_THROTTLED ||
                  reply->result == PGW_IO_UNAVAILABLE ||
                  reply->result == PGW_IO_UNKNOWN;

    sweep->busy = false;
    pgw_claim_sweep_io_done(sweep->machine, reply);
    schedule(sweep, failed ? FAILED_US : PACE_US);
}

static void
timer_due(struct pgw_timer *timer)
{
    struct claim_sweep *sweep =
        pgw_container_of(timer, struct claim_sweep, timer);
    char name[PGW_CLAIM_NAME_SIZE];
    struct pgw_io io;

    if (pgw_claim_sweep_next_io(&io, name, sweep->machine)) {
        sweep->busy = true;
        pgw_store_worker_submit(sweep->sidecar->worker, PGW_CLAIM_KIND, name,
                                &io, STORE_TIMEOUT_US, store_done, sweep);
    }
}

struct claim_sweep *
claim_sweep_new(struct sidecar *sidecar)
{
    struct claim_sweep *sweep = g_new0(struct claim_sweep, 1);
    struct pgw_claim_layout layout = PGW_CLAIM_LAYOUT_INIT;

    sweep->sidecar = sidecar;
    sweep->machine = pgw_claim_sweep_new(&layout, SLACK_US, CATCH_UP);
    sweep->timer.on_due = timer_due;
    return sweep;
}

void
claim_sweep_free(struct claim_sweep *sweep)
{
    if (sweep == NULL) {
        return;
    }
    pgw_timer_stop(sweep->sidecar->loop, &sweep->timer);
    pgw_claim_sweep_free(sweep->machine);
    g_free(sweep);
}

void
claim_sweep_used(struct claim_sweep *sweep, const char *name)
{
    pgw_claim_sweep_schedule(sweep->machine, name, pgw_hlc_wall_us());
    if (!sweep->busy && sweep->timer.position == 0) {
        schedule(sweep, PACE_US);
    }
}
