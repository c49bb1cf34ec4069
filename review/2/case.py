"""A planned stop: requests that are accepted after 3 s are cut off."""

import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
from world import (BOUNDS, BROKEN, HELD, TROUBLE, Client, Server, World, new_id,  # noqa: E402
                   route, run_case)

SERVICE = "records"
PATH = "/records/long"
WORK_S = 2.9
TIMEOUT_MS = 6000
DEADLINE_MS = 6000
ROUNDS = 3
CLIENTS = 48
FIRST_S = 3.01  # after the SIGTERM
GAP_S = 0.005


def play(world: World):
    arrived = {}

    def behave(request):
        request.read_body()
        arrived[request.id] = world.record.now()
        quick = request.line.split(" ")[1].endswith("/quick")
        if not quick:
            request.note("runs")
            time.sleep(WORK_S)
        request.succeed()
        if not quick:
            request.note("is done")

    for _ in range(2):
        Server(world, SERVICE, behave, capacity=64)
    world.configure(7, [route("put", "/records/", "non_idempotent", timeout_ms=TIMEOUT_MS,
                              service=SERVICE)], [SERVICE])
    entry = world.add_entry()
    lost = []

    def ask(client, request_id, stopped_at):
        try:
            client.send("POST", PATH, request_id, DEADLINE_MS, b"x" * 200)
        except OSError:
            world.record(f"client could not send {request_id}")
            return
        sent_at = world.record.now()
        answer = client.receive()
        ended_at = world.record.now()
        world.record(f"client sent {request_id} {sent_at - stopped_at:.3f} s after the signal, "
                     f"got {answer.status if answer else 'the end of the connection'} "
                     f"after {ended_at - sent_at:.3f} s")
        # One that crosses the close and isn't passed on doesn't count.
        if answer is None and request_id in arrived and ended_at - sent_at < DEADLINE_MS / 1000:
            lost.append(f"{request_id}: reached its server {arrived[request_id] - stopped_at:.3f} "
                        f"s after the signal, cut {ended_at - stopped_at:.3f} s after it")

    for n in range(ROUNDS):
        entry.start(bootstrap=n == 0)
        entry.wait_ready()
        clients = [Client(entry) for _ in range(CLIENTS)]
        for client in clients:
            client.send("POST", "/records/quick", new_id(), DEADLINE_MS, b"x")
            if client.receive() is None:
                raise RuntimeError("no answer before the stop")
        if TROUBLE:
            entry.signal(signal.SIGTERM)
        stopped_at = world.record.now()
        askers = []
        for at, client in enumerate(clients):
            time.sleep(max(0.0, stopped_at + FIRST_S + at * GAP_S - world.record.now()))
            askers.append(threading.Thread(target=ask, args=(client, new_id(), stopped_at)))
            askers[-1].start()
        if TROUBLE:
            entry.process.wait(BOUNDS["graceS"] + 2)
            world.record(f"{entry.name} ended with {entry.process.returncode} "
                         f"{world.record.now() - stopped_at:.3f} s after the signal")
        for it in askers:
            it.join()
        for client in clients:
            client.close()
        if not TROUBLE:
            break
    for it in lost:
        world.record("lost: " + it)
    return BROKEN if lost else HELD


run_case(HERE, play)
