#include "gateway/crash/crash_trial.h"
#include <glib.h>
#include <string.h>

/* Reports of one time differ by their ways, which take less than this. */
#define RENEWED_US 500000

bool
pgw_crash_trial_has_ended(const struct pgw_crash_trial *trial, uint64_t token)
{
    for (size_t i = 0; i < trial->ended_count; i++) {
        if (trial->ended[i] == token) {
            return true;
        }
    }
    return false;
}

bool
pgw_crash_trial_claim(struct pgw_crash_trial *trial, uint64_t token,
                      uint64_t until_us, uint64_t now_us)
{
    bool stands = trial->token != 0 && now_us < trial->until_us;

    if (pgw_crash_trial_has_ended(trial, token) ||
        (stands && (trial->started || trial->token < token))) {
        return false;
    }
    if (stands && trial->token == token) {
        bool is_renewed =
            until_us > trial->until_us + (trial->until_us - now_us) / 2;

        trial->until_us =
            until_us > trial->until_us ? until_us : trial->until_us;
        return is_renewed;
    }
    trial->token = token;
    trial->until_us = until_us;
    trial->started = false;
    trial->is_answered = false;
    trial->upstream = 0;
    trial->is_own = false;
    return true;
}

bool
pgw_crash_trial_start(struct pgw_crash_trial *trial, uint64_t token,
                      uint64_t until_us)
{
    if (pgw_crash_trial_has_ended(trial, token) ||
        (trial->started && trial->token < token)) {
        return false;
    }
    if (trial->started && trial->token == token) {
        bool is_longer = until_us > trial->until_us + RENEWED_US;

        trial->until_us = MAX(trial->until_us, until_us);
        return is_longer;
    }
    trial->is_own = trial->is_own && trial->token == token;
    trial->token = token;
    trial->until_us = until_us;
    trial->started = true;
    return true;
}

void
pgw_crash_trial_ignore(struct pgw_crash_trial *trial, uint64_t token)
{
    if (token == 0 || pgw_crash_trial_has_ended(trial, token)) {
        return;
    }
    if (trial->ended_count == PGW_CRASH_TRIAL_ENDED_MAX) {
        trial->ended_count--;
        memmove(trial->ended, trial->ended + 1,
                trial->ended_count * sizeof(trial->ended[0]));
    }
    trial->ended[trial->ended_count++] = token;
}

bool
pgw_crash_trial_end(struct pgw_crash_trial *trial, uint64_t token)
{
    if (token == 0 || trial->token != token) {
        return false;
    }
    pgw_crash_trial_ignore(trial, token);
    trial->token = 0;
    trial->started = false;
    trial->is_answered = false;
    trial->upstream = 0;
    return true;
}
