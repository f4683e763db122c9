#include "gateway/share/fair_share.h"
#include <math.h>

/* Time constant of the averages. A longer one would charge a workspace for a
 * crest that is over. */
#define AVERAGE_US 1e6

double
pgw_max_min_level(const double *asked, const double *weights, size_t count,
                  double room)
{
    double left = room;
    double level = 0;
    double sum = 0;

    for (size_t i = 0; i < count; i++) {
        sum += asked[i];
    }
    if (sum <= room) {
        return INFINITY;
    }
    /* Each round raises the level to the next workspace that is satisfied. */
    for (size_t round = 0; round < count && left > 0; round++) {
        double weight = 0;
        double next = INFINITY;

        for (size_t i = 0; i < count; i++) {
            if (asked[i] / weights[i] > level) {
                weight += weights[i];
                next = MIN(next, asked[i] / weights[i]);
            }
        }
        if (weight == 0 || left <= (next - level) * weight) {
            return weight == 0 ? level : level + left / weight;
        }
        left -= (next - level) * weight;
        level = next;
    }
    return level;
}

static void
decay(struct pgw_fair_share_use *use, uint64_t now_us)
{
    if (use->at_us > 0 && now_us > use->at_us) {
        double factor = exp(-(double)(now_us - use->at_us) / AVERAGE_US);

        use->asked *= factor;
        use->served *= factor;
        use->at_us = now_us;
    }
}

static struct pgw_fair_share_use *
find_use(struct pgw_fair_share *share, uint64_t workspace, uint64_t now_us)
{
    struct pgw_fair_share_use *found = NULL;

    for (size_t i = 0; i < PGW_FAIR_SHARE_MAX; i++) {
        struct pgw_fair_share_use *use = &share->uses[i];

        decay(use, now_us);
        if (use->at_us > 0 && use->workspace == workspace) {
            found = use;
        }
    }
    return found;
}

static struct pgw_fair_share_use *
least_active(struct pgw_fair_share *share)
{
    struct pgw_fair_share_use *found = &share->uses[0];

    for (size_t i = 0; i < PGW_FAIR_SHARE_MAX; i++) {
        struct pgw_fair_share_use *use = &share->uses[i];

        if (use->at_us == 0) {
            return use;
        }
        if (use->asked + use->served < found->asked + found->served) {
            found = use;
        }
    }
    return found;
}

void
pgw_fair_share_ask(struct pgw_fair_share *share, uint64_t workspace,
                   const char *name, uint32_t weight, double tokens,
                   uint64_t now_us)
{
    struct pgw_fair_share_use *use = find_use(share, workspace, now_us);

    if (use == NULL) {
        use = least_active(share);
        *use = (struct pgw_fair_share_use){.workspace = workspace};
        g_strlcpy(use->name, name, sizeof(use->name));
    }
    use->weight = MAX(weight, 1);
    use->at_us = now_us;
    use->asked += tokens;
}

void
pgw_fair_share_serve(struct pgw_fair_share *share, uint64_t workspace,
                     double tokens, uint64_t now_us)
{
    struct pgw_fair_share_use *use = find_use(share, workspace, now_us);

    if (use != NULL) {
        use->served += tokens;
    }
}

/* Tokens per second that one workspace asks for. */
static double
asked_per_s(const struct pgw_fair_share_use *use)
{
    return use->asked * 1e6 / AVERAGE_US;
}

static double
find_level(const struct pgw_fair_share *share, double room_per_s)
{
    double asked[PGW_FAIR_SHARE_MAX];
    double weights[PGW_FAIR_SHARE_MAX];
    size_t count = 0;

    for (size_t i = 0; i < PGW_FAIR_SHARE_MAX; i++) {
        if (share->uses[i].at_us > 0) {
            asked[count] = asked_per_s(&share->uses[i]);
            weights[count++] = share->uses[i].weight;
        }
    }
    return pgw_max_min_level(asked, weights, count, room_per_s);
}

double
pgw_fair_share_ratio(struct pgw_fair_share *share, uint64_t workspace,
                     double room_per_s, uint64_t now_us)
{
    const struct pgw_fair_share_use *own = find_use(share, workspace, now_us);
    double level = find_level(share, room_per_s);

    return own == NULL || level <= 0
               ? 0
               : asked_per_s(own) / (level * own->weight);
}

uint64_t
pgw_fair_share_next(struct pgw_fair_share *share, uint64_t workspace,
                    enum pgw_fair_share_line line, uint64_t from_us,
                    uint64_t now_us)
{
    const struct pgw_fair_share_use *own = find_use(share, workspace, now_us);

    return own == NULL ? from_us : MAX(own->promised_until_us[line], from_us);
}

void
pgw_fair_share_promise(struct pgw_fair_share *share, uint64_t workspace,
                       enum pgw_fair_share_line line, double tokens,
                       double room_per_s, uint64_t at_us, uint64_t now_us)
{
    struct pgw_fair_share_use *own = find_use(share, workspace, now_us);

    if (own != NULL) {
        double own_per_s =
            MIN(find_level(share, room_per_s) * own->weight, room_per_s);

        own->promised_until_us[line] =
            MAX(own->promised_until_us[line], at_us) +
            (uint64_t)(tokens * 1e6 / own_per_s);
    }
}

const char *
pgw_fair_share_top(struct pgw_fair_share *share, double *part, uint64_t now_us)
{
    const struct pgw_fair_share_use *top = NULL;
    double sum = 0;

    for (size_t i = 0; i < PGW_FAIR_SHARE_MAX; i++) {
        struct pgw_fair_share_use *use = &share->uses[i];

        decay(use, now_us);
        sum += use->served;
        if (use->served > (top == NULL ? 0 : top->served)) {
            top = use;
        }
    }
    *part = top == NULL ? 0 : top->served / sum;
    return top == NULL ? "-" : top->name;
}
