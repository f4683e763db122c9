#include <parsleygw/place.h>

static uint32_t
slot_number(uint64_t time_us)
{
    /* 0 marks an unused slot. */
    return (uint32_t)(time_us / PGW_PLACE_CHARGE_SLOT_US) + 1;
}

void
pgw_place_charge_add(struct pgw_place_charge *charge, uint32_t tokens,
                     uint64_t now_us)
{
    uint32_t number = slot_number(now_us);
    size_t i = number % PGW_PLACE_CHARGE_SLOTS;

    if (charge->slot[i] != number) {
        charge->slot[i] = number;
        charge->tokens[i] = 0;
    }
    charge->tokens[i] += MIN(tokens, UINT32_MAX - charge->tokens[i]);
}

void
pgw_place_charge_remove(struct pgw_place_charge *charge, uint32_t tokens,
                        uint64_t sent_us)
{
    uint32_t number = slot_number(sent_us);
    size_t i = number % PGW_PLACE_CHARGE_SLOTS;

    if (charge->slot[i] == number) {
        charge->tokens[i] -= MIN(tokens, charge->tokens[i]);
    }
}

uint32_t
pgw_place_charge_since(const struct pgw_place_charge *charge,
                       uint64_t since_us)
{
    uint32_t first = slot_number(since_us);
    uint64_t sum = 0;

    for (size_t i = 0; i < PGW_PLACE_CHARGE_SLOTS; i++) {
        /* The signed difference stays valid when the numbers wrap. */
        if (charge->slot[i] != 0 && (int32_t)(charge->slot[i] - first) >= 0) {
            sum += charge->tokens[i];
        }
    }
    return (uint32_t)MIN(sum, UINT32_MAX);
}
