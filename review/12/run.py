"""DRAIN: one machine is cut off from the store; another one, which is not, sends
requests to servers later than drainMs after the store removed their entries."""

import asyncio
import os
import random
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "common3"))
import standins as st  # noqa: E402

SEED = 12
SHARDS = 30
PER_S = 30  # requests of clients a second, each to all shards
DRAIN_S = st.VRZ_BOUNDS["drainMs"] / 1000
# Several times: the machine is cut off, and servers leave around that moment.
CUTS_AT_S, CUT_FOR_S = (10.0, 21.0, 32.0, 43.0, 54.0, 65.0), 5.5
LEAVE_BEFORE_S = (0.3, 0.5, 0.7, 0.4, 0.6, 0.8)
LEAVE_GAP_S, LEAVERS = 0.16, 5
END_S = 72.0
CUT_OFF = "front-oostende-a-1"
# Clients don't use the machine that is cut off, and each machine that they use
# has a server of each shard near by, so that it asks no other machine for it:
# what reaches a server was taken and sent on by machines that were not cut off.
SERVER_ZONES = ("oostende-a", "antwerpen-b")
MACHINES = {"oostende-a": 3, "antwerpen-b": 2, "brussel-c": 2}
DEADLINE_MS = 2500


async def script(record, trouble, folder):
    rng = random.Random(SEED)
    store = st.Store()
    await store.start()
    shards = ["shard-%d" % n for n in range(SHARDS)]
    servers = {}
    for n, shard in enumerate(shards):
        for copy in range(2):
            it = st.Server(record, store, shard, "s%d-%d" % (n, copy),
                           SERVER_ZONES[copy], "127.0.0.1",
                           lambda: 0.015 * rng.lognormvariate(0, 0.35), slots=2)
            it.records = lambda request: rng.randbytes(160)
            it.pause = (4.5, 0.2)
            it.phase = rng.random()
            await it.start()
            servers[it.name] = it
    store.put("config", "main", st.configuration(
        7, [st.route("r-1", "shop.example", "/all/", None, attempts=2,
                     timeout_ms=2500, slo_ms=150, gather=shards, topK=50,
                     minShare=0.89)], shards, max_conns=26))
    gate = await store.add_gate()
    vms = []
    for zone, count in MACHINES.items():
        for n in range(count):
            name = "front-%s-%d" % (zone, n + 1)
            vms.append(st.Vm(record, gate if name == CUT_OFF else store, name,
                             zone, "127.0.0.%d" % (11 + len(vms)), folder))
    for vm in vms:
        await vm.start(bootstrap=True)
    balancer = st.Balancer([vm for vm in vms if vm.name != CUT_OFF])
    probes = asyncio.create_task(balancer.run())
    gone = {}  # server -> when the store removed its entry

    async def one(number):
        vm = balancer.choose(rng, SERVER_ZONES[number % 2])
        request, status, headers, _ = await st.ask(
            vm, "shop.example", "/all/%d" % number, DEADLINE_MS)
        record.write("client", request, "through", vm.name, "gets", status,
                     "missing", headers.get("mimosacroft-missing-parts"))

    async def cuts():
        for at in CUTS_AT_S if trouble else ():
            await asyncio.sleep(at - record.now())
            record.write(CUT_OFF, "is cut off from the store")
            gate.mode = "silent"
            await asyncio.sleep(CUT_FOR_S)
            gate.mode = "up"
            record.write(CUT_OFF, "reaches the store again")

    async def scale_in():
        """One server of some shards leaves without a report: its entry is
        removed, and it goes on serving."""
        shard = 0
        for at, before in zip(CUTS_AT_S, LEAVE_BEFORE_S):
            await asyncio.sleep(at - before - record.now())
            for _ in range(LEAVERS):
                name = "s%d-%d" % (shard, shard % 2)
                shard += 1
                store.remove("servers", name)
                gone[name] = record.now()
                record.write("the store removes the entry of", name)
                await asyncio.sleep(LEAVE_GAP_S)

    try:
        for vm in vms:
            if not await vm.wait_ready():
                raise RuntimeError(vm.name + " is not ready")
        await asyncio.gather(st.traffic(record, PER_S, END_S, one), cuts(),
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
