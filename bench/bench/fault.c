#include "fault.h"

#include <glib.h>

const struct fault_kind fault_kinds[FAULT_COUNT] = {
    [FAULT_CRASH] = {"crash", 0.40},
    [FAULT_SHIFT] = {"shift", 0.50},
    [FAULT_HERD] = {"herd", 0.55},
    [FAULT_BURST] = {"burst", 0.70},
};

bool
fault_parse(unsigned *out, const char *text)
{
    char **names = g_strsplit(text, ",", -1);
    bool good = true;

    *out = 0;
    for (char **name = names; *name != NULL; name++) {
        bool known = **name == '\0';

        for (unsigned i = 0; i < FAULT_COUNT; i++) {
            if (g_strcmp0(*name, fault_kinds[i].name) == 0) {
                *out |= 1u << i;
                known = true;
            }
        }
        good = good && known;
    }
    g_strfreev(names);
    return good;
}
