"""A fifth of the workers leave at once; their entries are removed while they serve."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    BROKEN,
    DRAIN_S,
    HELD,
    NOT_RUN,
    STABLE_WINDOW_S,
    TROUBLE,
    Host,
    Load,
    Store,
    Worker,
    configuration,
    now,
    run_case,
)

ZONES = {"centro-a": "centro", "centro-b": "centro"}
WORKER_COUNT = 15
LEAVING_COUNT = 3
SERVES_LONGER_S = 0.3


async def case(record, folder, cleanups):
    store = Store(record)
    await store.start()
    cleanups.append(store.close)
    workers = [
        Worker(
            f"i-{n:04x}",
            "suscripciones",
            f"centro-{'ab'[n % 2]}",
            store,
            record,
            work_s=0.48,
        )
        for n in range(WORKER_COUNT)
    ]
    await store.put("config", "main", configuration(7, ["suscripciones"]))
    for worker in workers:
        await worker.start()
        cleanups.append(worker.exit)
    hosts = [
        Host(f"edge-{zone}-1", "centro", zone, folder, store.port, record)
        for zone in ZONES
    ]
    seeds = [f"127.0.0.1:{host.ports['Control']}" for host in hosts]
    for host in hosts:
        await host.start(seeds, ZONES)
        cleanups.append(host.end)
    for host in hosts:
        if not await host.wait_until_ready(20):
            return NOT_RUN
    load = Load([host.address for host in hosts], record, rate=60)
    load.start()
    await asyncio.sleep(STABLE_WINDOW_S + 3)
    leaving = workers[:LEAVING_COUNT] if TROUBLE else []
    acked = {}
    for worker in leaving:
        worker.stop_beats()
        await store.delete("servers", worker.name)
        acked[worker.name] = now()
        record(f"the entry of {worker.name} is removed; it serves on for Drain")
    await asyncio.sleep(DRAIN_S + SERVES_LONGER_S)
    for worker in leaving:
        worker.exit()
    await asyncio.sleep(4.0)
    await load.stop()

    late = [
        (worker.name, key, at - acked[worker.name])
        for worker in leaving
        for at, key, _ in worker.arrivals
        if at > acked[worker.name] + DRAIN_S
    ]
    served = sum(item.status == 200 for item in load.answers)
    lost = [
        item
        for item in load.answers
        if item.method == "POST" and item.status not in (200, 429, 503)
    ]
    record(f"{len(load.answers)} requests, {served} served, {len(lost)} POSTs lost")
    for name, key, after_s in late:
        record(f"{key} reached {name} {after_s:.3f} s after its entry was removed")
    print(f"late at the leaving workers: {len(late)}; POSTs lost: {len(lost)}")
    if served < 100:
        return NOT_RUN
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
