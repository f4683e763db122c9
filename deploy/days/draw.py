#!/usr/bin/env python3
"""Draws a day of trouble from all kinds that the platform's tool lists.

draw.py SEED COUNT [grown] prints a day with COUNT troubles for any deployment; some
come twice. The same seed gives the same day. "grown" adds the kinds that only the
larger deployments know.
"""

import random
import sys

# A deployment's engines, plain service and store of kept memory: the tool puts in
# its names, by the order in which its file lists them.
SERVICES = ("@s0", "@s2", "@s1")
# A trouble comes a second time so often.
TWICE_SHARE = 0.15
# Seconds of the day in which troubles begin.
FIRST_S, LAST_S = 0.5, 26
# Kinds that are planned work; the others are faults.
PLANNED = {
    "after_ack_kill", "big_config", "config_change", "config_storm", "hup",
    "release", "replace_core", "revoke", "roll_term", "scale_in", "scale_out",
    "version_bump",
}


def kinds(services):
    """Each kind with the range or the choices of its fields."""
    engines, plain, store = services
    both = [engines, plain]
    span = ("for_s", (3, 8))
    return [
        ("after_ack_kill", ("count", [1, 3]), ("how", ["", "kill", "timed"])),
        ("answer_lost", ("share", (.3, .8)), ("x", (.02, .08)), span,
         ("how", ["", "reset"])),
        ("applied_late", ("x", (.3, .7)), span,
         ("how", ["", "orders", "cloud", "all"])),
        ("big_config", ("count", [200, 800])),
        ("burst", ("x", (1.3, 2.2)), ("for_s", (2, 5))),
        ("clock_step", ("share", (.3, 1)), ("x", (-6000, 6000)), span,
         ("how", ["", "back", "ahead"])),
        ("config_change", ("how", ["route", "weights", "timeout", "tenant",
                                   "idle", "quota", "quota down"])),
        ("config_storm", ("for_s", (3, 6)), ("gap_s", (.2, .5))),
        ("core_cut", ("count", [1]), span,
         ("how", ["", "leader", "leader race", "giver", "one_way", "reset",
                  "all", "split", "near", "both", "seeds", "lure", "giver meet",
                  "reader", "turn meet"])),
        ("events_gap", ("share", (.3, 1)), span),
        ("garble", ("share", (.4, .8)), ("x", (.02, .06)), span,
         ("how", ["", "extra", "unframed", "early", "rot", "extra late"])),
        ("give_up", ("share", (.2, .4)), ("x", (50, 300)), span,
         ("how", ["", "once"])),
        ("herd_kill", ("share", (.4, .9)), ("how", ["", "power"])),
        ("hot_key", ("share", (.2, .5)), span),
        ("hup", ("share", (.3, 1)), ("gap_s", (.1, 1))),
        ("kv_slow", ("share", (.3, .8)), ("x", (4, 12)), span),
        ("lossy", ("x", (.02, .06)), span),
        ("node_cut", ("share", (.1, .4)), span,
         ("how", ["", "all", "servers", "servers reborn", "reset", "meet",
                  "reset revoke", "one_way"])),
        ("node_freeze", ("share", (.1, .4)), ("for_s", (1, 6)),
         ("how", ["", "renewed"])),
        ("node_kill", ("share", (.1, .5)), ("for_s", (1, 4)),
         ("how", ["", "power", "leader race drain", "giver", "reader hard",
                  "renewed", "power meet"])),
        ("node_slow", ("share", (.1, .4)), ("x", (3, 8)), span),
        ("platform_compact", ("x", (2, 6)), ("for_s", (4, 12)),
         ("how", ["", "drain"])),
        ("platform_down", span, ("how", ["silent", "busy", "reset",
                                         "busy lapse", "silent lapse"])),
        ("platform_down", ("share", (.2, .6)), span,
         ("how", ["nodes", "nodes many", "nodes reset meet",
                  "nodes busy revoke", "nodes busy revoke meet drain",
                  "nodes many revoke", "nodes leader reset"])),
        ("platform_lost", ("x", (.2, .6)), span, ("how", ["", "late"])),
        ("platform_slow", ("x", (20, 120)), span),
        ("release", ("share", (.3, .9)), ("x", [1]), ("gap_s", (.5, 1.5))),
        ("replace_core", ("x", (.5, 2)), ("how", ["", "planned", "leader"])),
        ("replace_with_reuse", ("share", (.15, .3)),
         ("how", ["", "drain", "dark", "side"])),
        ("reset_conns", ("share", (.1, .6)), ("x", (.3, 1))),
        ("retry_abuse", ("x", [3.0]), ("share", [.3]), span),
        ("revoke", ("count", [1, 2, 3]), ("gap_s", (.5, 2)),
         ("how", ["", "last"])),
        ("roll_term", ("share", (.4, 1)), ("x", [1]), ("gap_s", (.8, 2)),
         ("how", ["", "busy", "leader", "remove", "busy leader"])),
        ("scale_in", ("share", (.1, .3)), ("how", ["", "spot", "reclaim"])),
        ("scale_out", ("share", (.1, .3))),
        ("srv_crash", ("share", (.15, .4)), span,
         ("service", both + [store]),
         ("how", ["", "dark", "gone", "domain", "all dark", "all"])),
        ("srv_cut", ("share", (.15, .35)), span,
         ("how", ["", "fronts", "some", "some lossy", "some reset", "one_way",
                  "reset", "reborn"])),
        ("srv_grey", ("share", (.15, .4)), ("x", (.3, .7)), span,
         ("service", both),
         ("how", ["errors", "shed", "busy", "hang", "reset", "mute", "slow",
                  "errors one_zone"])),
        ("shift", ("share", (.3, .7)), span),
        ("srv_slow", ("share", (.15, .4)), ("x", (3, 8)), span,
         ("service", both)),
        ("version_bump", ("count", [0])),
    ]


def grown_kinds(services):
    """The same for kinds that only the larger deployments know."""
    engines, plain, _ = services
    both = ("service", [engines, plain])
    span = ("for_s", (3, 8))
    return [
        ("idle_race", ("share", (.3, .8)), ("x", (100, 600)), span),
        ("srv_flap", ("share", (.1, .25)), ("gap_s", (1, 3)), span, both),
        ("srv_lying_health", ("share", (.1, .3)), span, both,
         ("how", ["bad", "errors", "hang", "reset"])),
    ]


def draw_field(rng, domain):
    """A number of a range, or one of some choices."""
    if isinstance(domain, tuple):
        return round(rng.uniform(*domain), 2)
    return rng.choice(domain)


def draw_trouble(rng, known):
    kind, *fields = rng.choice(known)
    trouble = {"at": round(rng.uniform(FIRST_S, LAST_S), 2), "kind": kind}
    for name, domain in fields:
        value = draw_field(rng, domain)
        if value != "":
            trouble[name] = value
    return trouble


def as_text(trouble):
    fields = (f'{name} = "{value}"' if isinstance(value, str)
              else f"{name} = {value}" for name, value in trouble.items())
    return "  { " + ", ".join(fields) + " },"


def draw_troubles(rng, known, count):
    for _ in range(count):
        trouble = draw_trouble(rng, known)
        yield trouble
        if rng.random() < TWICE_SHARE:
            yield {**trouble, "at": round(trouble["at"] + rng.uniform(.5, 4),
                                          2)}


def main():
    seed, count = int(sys.argv[1]), int(sys.argv[2])
    rng = random.Random(seed)
    known = kinds(SERVICES)
    if sys.argv[3:] == ["grown"]:
        known += grown_kinds(SERVICES)
    troubles = list(draw_troubles(rng, known, count))
    closing = rng.choice(["", "kill_all", "power_off_all"])
    print(f'name = "own-{seed}"\nslot = "trouble"\nseed = {seed}')
    print("one = 0.3\nzero = -0.1\ngoal = { floor = 0.05 }\nlabels = []")
    if closing:
        print(f'closing = {{ kind = "{closing}", '
              f"down_s = {round(rng.uniform(.3, 2), 2)} }}")
    for name, planned in (("plan", True), ("faults", False)):
        print(f"{name} = [")
        for trouble in troubles:
            if (trouble["kind"] in PLANNED) == planned:
                print(as_text(trouble))
        print("]")


if __name__ == "__main__":
    main()
