"""Case 8: configurations follow one another; is any accepted request cut?"""

import asyncio
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
from lab import (Connection, Lab, Record, Server, caller_headers,  # noqa: E402
                 request_id, run_case)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 160  # the smallest machine of the deployment
ADDED_ROUTES = 1916  # big_config
STORM_S, STORM_GAP_S, STORM_PAUSE_S = 2.0, 0.08, 1.2  # config_storm
RUN_S = 95.0
CALM_S = 5.0
CALLERS = 4  # for each machine
APPLY_S = 5.0
DEADLINE_S = 8.0
HOST = "search.example"


class SlowServer(Server):
    """Takes as long as the requests of the deployment that one server runs."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.work_s = 0.12


async def ask_again_and_again(lab, vm, until, cut, answers):
    it = None
    while time.monotonic() < until[0]:
        request = request_id()
        try:
            if it is None:
                it = Connection()
                await asyncio.wait_for(it.open(vm.ip, vm.port), 1.0)
        except (OSError, asyncio.TimeoutError):
            it = None
            await asyncio.sleep(0.1)
            continue
        lab.record.say(f"client asks {vm.name}: {request} GET /card/2f")
        sent = time.monotonic()
        answer = await it.ask("GET", "/card/2f",
                              caller_headers(HOST, request, int(DEADLINE_S * 1000)), b"",
                              DEADLINE_S + 0.5)
        lab.record.say(f"client got {answer.status} {answer.end} for {request}")
        answers[answer.status] = answers.get(answer.status, 0) + 1
        if answer.status == 0:
            if lab.runs.get(request):
                cut.append((request, vm.name, sent, time.monotonic()))
            it.close()
            it = None


async def guard_memory(lab, until, ends):
    """The platform kills a process that exceeds its memory, and starts it again."""
    while time.monotonic() < until[0]:
        await asyncio.sleep(0.1)
        for vm in lab.vms:
            used = vm.memory_mb() if vm.alive() else None
            if used is not None and used > MEMORY_MB * 1.048576:
                lab.record.say(f"platform: {vm.name} uses {used:.0f} MB of {MEMORY_MB}")
                ends.append(vm.name)
                vm.signal(signal.SIGKILL)
                await vm.process.wait()
                await asyncio.sleep(0.5)
                await vm.start()


async def configure_in_storms(lab, until, changes, ends):
    for n in range(ADDED_ROUTES):
        lab.routes.append({
            "name": f"r-{random.getrandbits(35):07x}", "host": HOST,
            "pathPrefix": f"/added{n}/", "type": "idempotent", "timeoutMs": 8000,
            "sloMs": 500, "priority": 2, "service": "cards", "attempts": 2})
    lab.configure()
    changes.append(time.monotonic())
    while time.monotonic() < until[0] - 5 and len(set(ends)) < len(lab.vms):
        end = time.monotonic() + STORM_S
        while time.monotonic() < end:
            # One route after the other gets another timeout.
            lab.routes[1 + len(changes) % ADDED_ROUTES]["timeoutMs"] = 8000 + len(changes)
            lab.configure()
            changes.append(time.monotonic())
            await asyncio.sleep(STORM_GAP_S)
        lab.record.say(f"operator: {len(changes)} configurations so far, memory in MB: " +
                       ", ".join(f"{it.memory_mb() or 0:.0f}" for it in lab.vms))
        await asyncio.sleep(STORM_PAUSE_S)


def judge(cut, changes):
    """The cut requests that LOST counts, and those that were cut at other times.

    It counts a request from the sending of a configuration until its
    acknowledgement, applyMs and 1 s; not if seven tenths of its time were used;
    and only on machines that cut over three times as often then as at other
    times, which last CALM_S here."""
    if not changes:
        return [], cut
    counted_s = changes[-1] + APPLY_S + 1 - changes[0]

    def is_beside(it):
        return any(at <= it[3] and it[2] <= at + APPLY_S + 1 for at in changes)

    def cuts_much_more(vm):
        mine = [it for it in cut if it[1] == vm]
        beside = sum(map(is_beside, mine))
        return beside / counted_s > 3 * (len(mine) - beside) / CALM_S

    other = [it for it in cut if not is_beside(it)]
    lost = [it for it in cut if is_beside(it) and cuts_much_more(it[1])
            and it[3] - it[2] < 0.7 * DEADLINE_S]
    return lost, other


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    lab = Lab(record, vms=3, memory_mb=MEMORY_MB)
    lab.bounds = {**lab.bounds, "stableWindowMs": 6000, "ackMs": 10000, "syncS": 6,
                  "drainMs": 5000, "applyMs": 5000, "skewMaxMs": 15000,
                  "budgetSlack": 182, "recoverS": 15}
    for zone in ("a", "b", "c"):
        lab.add_server("cards", zone, SlowServer)
    lab.services = [{"name": "cards", "healthPath": "/healthz", "maxConns": 490,
                     "proto": "h1", "tls": False}]
    lab.routes = [{"name": "r-card", "host": HOST, "pathPrefix": "/card/",
                   "type": "idempotent", "timeoutMs": 8000, "sloMs": 500,
                   "priority": 2, "service": "cards", "attempts": 2}]
    cut, answers, changes, ends = [], {}, [], []
    try:
        if not await lab.start():
            print("the system did not start")
            return 2
        until = [time.monotonic() + RUN_S]
        callers = [asyncio.create_task(ask_again_and_again(lab, vm, until, cut, answers))
                   for vm in lab.vms for _ in range(CALLERS)]
        guard = asyncio.create_task(guard_memory(lab, until, ends))
        await asyncio.sleep(CALM_S)
        if TROUBLE:
            await configure_in_storms(lab, until, changes, ends)
            until[0] = time.monotonic() + 2
        await asyncio.gather(guard, *callers)
    finally:
        await lab.stop()
    lost, other = judge(cut, changes)
    text = (f"answers by status: {answers}; configurations: {len(changes)}; "
            f"processes over their memory: {ends}; requests cut at a server's work: "
            f"{len(cut)}, of these LOST: {len(lost)}, at other times: {len(other)}")
    record.say(text)
    print(text)
    if answers.get(200, 0) < 1000:
        print("too few requests were served for a verdict")
        return 2
    return 1 if lost else 0


run_case(main)
