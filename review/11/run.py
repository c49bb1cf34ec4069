"""DRAIN: servers whose entries are removed soon after the store was away get
requests later than drainMs after that."""

import asyncio
import os
import random
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "common3"))
import standins as st  # noqa: E402

SEED = 11
SHARDS = 12
OTHERS = 44  # servers of a service that nobody asks for: 12 of 68 servers leave
PER_S = 85  # requests of clients a second, each to all shards
DOWN_AT_S, DOWN_FOR_S = 8.0, 4.8
STABLE_S = st.VRZ_BOUNDS["stableWindowMs"] / 1000
DRAIN_S = st.VRZ_BOUNDS["drainMs"] / 1000
# The first server leaves when the store has been stable for stableWindowMs.
LEAVE_AT_S, LEAVE_GAP_S = DOWN_AT_S + DOWN_FOR_S + STABLE_S + 0.05, 0.08
END_S = 24.0
MACHINES = {"oostende-a": 3, "antwerpen-b": 2, "brussel-c": 2}
DEADLINE_MS = 2500


async def script(record, trouble, folder):
    rng = random.Random(SEED)
    zones = list(st.VRZ_ZONES)
    store = st.Store()
    await store.start()
    shards = ["shard-%d" % n for n in range(SHARDS)]
    servers = {}
    for n, shard in enumerate(shards):
        for copy in range(2):
            it = st.Server(record, store, shard, "s%d-%d" % (n, copy),
                           zones[(n + copy) % 3], "127.0.0.1",
                           lambda: 0.015 * rng.lognormvariate(0, 0.35), slots=2)
            it.records = lambda request: rng.randbytes(160)
            it.pause = (4.5, 0.2)
            it.phase = rng.random()
            await it.start()
            servers[it.name] = it
    for n in range(OTHERS):
        await st.Server(record, store, "others", "o%d" % n, zones[n % 3],
                        "127.0.0.1", lambda: 0.015).start()
    store.put("config", "main", st.configuration(
        7, [st.route("r-2", "shop.example", "/others/", "others", attempts=2),
            st.route("r-1", "shop.example", "/all/", None, attempts=2,
                     timeout_ms=2500, slo_ms=150, gather=shards, topK=50,
                     minShare=0.89)],
        shards + ["others"], max_conns=26))
    vms = []
    for zone, count in MACHINES.items():
        for n in range(count):
            vms.append(st.Vm(record, store, "front-%s-%d" % (zone, n + 1), zone,
                             "127.0.0.%d" % (11 + len(vms)), folder))
    for vm in vms:
        await vm.start(bootstrap=True)
    balancer = st.Balancer(vms)
    probes = asyncio.create_task(balancer.run())
    gone = {}  # server -> when the store removed its entry

    async def one(number):
        vm = balancer.choose(rng, zones[number % 3])
        request, status, headers, _ = await st.ask(
            vm, "shop.example", "/all/%d" % number, DEADLINE_MS)
        record.write("client", request, "through", vm.name, "gets", status,
                     "missing", headers.get("mimosacroft-missing-parts"))

    async def outage():
        if not trouble:
            return
        await asyncio.sleep(DOWN_AT_S - record.now())
        record.write("the store is silent")
        store.set_mode("silent")
        await asyncio.sleep(DOWN_FOR_S)
        store.set_mode("up")
        record.write("the store is back")

    async def scale_in():
        """One server of each shard leaves without a report: its entry is
        removed, and it goes on serving."""
        await asyncio.sleep(LEAVE_AT_S - record.now())
        for n in range(SHARDS):
            name = "s%d-%d" % (n, n % 2)
            store.remove("servers", name)
            gone[name] = record.now()
            record.write("the store removes the entry of", name)
            await asyncio.sleep(LEAVE_GAP_S)

    try:
        for vm in vms:
            if not await vm.wait_ready():
                raise RuntimeError(vm.name + " is not ready")
        await asyncio.gather(st.traffic(record, PER_S, END_S, one), outage(),
                             scale_in())
    finally:
        probes.cancel()
        for vm in vms:
            await vm.kill()
    late = sorted((at - gone[name], name, request) for name in gone
                  for at, request, _ in servers[name].arrivals
                  if at > gone[name] + DRAIN_S)
    last = max(at - gone[name] for name in gone
               for at, _, _ in servers[name].arrivals)
    for after, name, request in late:
        record.write("request", request, "reached", name, "%.3f s" % after,
                     "after its entry was removed; bound %.3f s" % DRAIN_S)
    text = ("%d requests later than %.1f s after the removal; the last arrival "
            "%.3f s after it" % (len(late), DRAIN_S, last))
    record.write(text)
    print(text)
    return not late


st.main(CASE, script)
