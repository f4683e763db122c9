"""The last tenant is removed with its keys; requests without a valid key run."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib-2"))
from standins import CANNOT_RUN, FRONT, Deployment, read_body, read_head

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))
LIMIT_MS, WORK_S = 3000, 0.06
# The bound is 2 s after the ack; the script waits for a second more.
CONFIG_S = 2.0
ROUNDS = 5
# The first configuration holds the first of these; none ever holds the second.
HELD_KEY, UNKNOWN_KEY = "k1", "never-held"


async def ask(deployment, attempt, key):
    reader, writer = await asyncio.open_connection(deployment.entry.address,
                                                   FRONT)
    field = "" if key is None else f"Authorization: Bearer {key}\r\n"
    writer.write((f"POST /records/x HTTP/1.1\r\nHost: h.example\r\n"
                  f"Attempt-Id: {attempt}\r\nDeadline-Ms: {LIMIT_MS}\r\n"
                  f"{field}Content-Length: 2\r\n\r\n{{}}").encode())
    start, fields = await asyncio.wait_for(read_head(reader),
                                           LIMIT_MS / 1000)
    await read_body(reader, fields)
    writer.close()
    return start[1]


async def ask_round(deployment, name):
    """Asks with each kind of key; returns (attempt, key, status)."""
    asked = []
    for i in range(ROUNDS):
        for key in (HELD_KEY, UNKNOWN_KEY, None):
            attempt = f"{name}-{i}-{key}"
            asked.append((attempt, key, await ask(deployment, attempt, key)))
    return asked


def next_configuration(deployment):
    """All keys of the last tenant are taken away; in the trouble the tenant
    goes with them."""
    configuration = {**deployment.configuration(), "version": 11}
    configuration["tenants"] = [] if TROUBLE else [
        {"name": "parish", "api_keys": [], "priority": 1, "isolated": False}]
    return configuration


def write_record(deployment, asked):
    with open(f"{HERE}/record.txt", "w", encoding="ascii") as record:
        record.write(f"trouble {int(TROUBLE)}\n")
        for attempt, key, status in asked:
            record.write(f"{attempt} key={key} status={status} "
                         f"runs={deployment.ran(attempt)}\n")


async def main():
    deployment = Deployment("non_idempotent", LIMIT_MS, WORK_S, {
        "limits.memory_mb": 260, "limits.max_fds": 4100,
        "bounds.contact_ms": 3000, "bounds.config_ms": 2000,
        "bounds.drain_ms": 2000, "bounds.grace_s": 8})
    try:
        await deployment.open()
        asked = await ask_round(deployment, "before")
        deployment.store.put("config", "main", next_configuration(deployment))
        await asyncio.sleep(CONFIG_S + 1)
        asked += await ask_round(deployment, "after")
    finally:
        deployment.entry.kill()
    write_record(deployment, asked)
    unknown = sum(deployment.ran(attempt) for attempt, key, _ in asked
                  if key == UNKNOWN_KEY)
    dropped = sum(deployment.ran(attempt) for attempt, key, _ in asked
                  if key == HELD_KEY and attempt.startswith("after"))
    served = sum(deployment.ran(attempt) for attempt, key, _ in asked
                 if key == HELD_KEY and attempt.startswith("before"))
    print(f"{unknown} requests ran with a key that no configuration held, "
          f"{dropped} with the dropped key; before, {served} of {ROUNDS} ran "
          "with the key that was held")
    if served < ROUNDS:
        return CANNOT_RUN
    return 1 if unknown > 0 or dropped > 0 else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except (OSError, KeyError, asyncio.TimeoutError,
            asyncio.IncompleteReadError) as error:
        print(f"cannot run: {error!r}")
        sys.exit(CANNOT_RUN)
