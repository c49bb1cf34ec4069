"""A machine is suspended under load: requests that wait there run twice, after a 503."""

import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
from world import (BROKEN, HELD, TROUBLE, Client, Server, World, new_id, route,  # noqa: E402
                   run_case)

SERVICE = "records"
PATH = "/records/book"
TIMEOUT_MS = 1500
SLO_MS = 400
DEADLINE_MS = 6000
WORK_S = 3.0
CLIENTS = 36
FILLING = 12  # all that one of ten VMs sends to two servers at a time, and some more
STEP_S = 0.004        # between two of the others
SUSPENDED_S = 2.2
ROUNDS = 2
PROMISES = (408, 421, 429, 503)


def play(world: World):
    ran = {}
    refused = {}

    def behave(request):
        request.read_body()
        if request.line.split(" ")[1].endswith("/quick"):
            request.succeed()
            return
        ran.setdefault(request.id, []).append(world.record.now())
        request.note(f"runs, deadline {request.deadline_ms} ms")
        # A server stops work at the deadline that it got.
        time.sleep(min(WORK_S, request.deadline_ms / 1000))
        if WORK_S * 1000 < request.deadline_ms:
            request.succeed()
        else:
            request.answer(504, b"", {"Mimosacroft-Server-Stamp": f"00.{request.id}"})

    for _ in range(2):
        Server(world, SERVICE, behave, capacity=40)
    world.configure(7, [route("book", "/records/", "non_idempotent", timeout_ms=TIMEOUT_MS,
                              slo_ms=SLO_MS, service=SERVICE)], [SERVICE])
    entry = world.start_fleet((5, 3, 2))[0]

    def receive(client, request_id):
        answer = client.receive()
        if answer and answer.status in PROMISES:
            refused[request_id] = (answer.status, world.record.now())

    for _ in range(ROUNDS):
        clients = [Client(entry) for _ in range(CLIENTS)]
        for client in clients:
            client.send("POST", PATH + "/quick", new_id(), DEADLINE_MS, b"x")
            if client.receive() is None:
                raise RuntimeError("no answer before the burst")
        ids = [new_id() for _ in clients]
        receivers = [threading.Thread(target=receive, args=it)
                     for it in zip(clients, ids)]
        for it in receivers:
            it.start()
        for client, request_id in zip(clients[:FILLING], ids):
            client.send("POST", PATH, request_id, DEADLINE_MS, b"one duct")
        time.sleep(0.1)
        half = threading.Event()

        def send_others(clients=clients[FILLING:], ids=ids[FILLING:], half=half):
            for n, (client, request_id) in enumerate(zip(clients, ids)):
                client.send("POST", PATH, request_id, DEADLINE_MS, b"one duct")
                time.sleep(STEP_S)
                if n == len(ids) // 2:
                    half.set()

        sender = threading.Thread(target=send_others)
        sender.start()
        half.wait()
        if TROUBLE:
            entry.signal(signal.SIGSTOP)
        time.sleep(SUSPENDED_S)
        if TROUBLE:
            entry.signal(signal.SIGCONT)
        sender.join()
        for it in receivers:
            it.join()
        time.sleep(1.5)
        for client in clients:
            client.close()
    false_refusals = [it for it in refused if it in ran]
    repeated = [it for it in ran if len(ran[it]) > 1]
    for it in sorted(set(false_refusals + repeated)):
        times = ", ".join(f"{at:.3f}" for at in ran[it])
        answered = "was answered {} at {:.3f}".format(*refused[it]) if it in refused else ""
        world.record(f"wrong: {it} ran at {times}; {answered}")
    world.record(f"{len(repeated)} requests ran more than once (TWICE); {len(false_refusals)} "
                 f"of {len(refused)} that were refused have run (REFUSED)")
    return BROKEN if repeated else HELD


run_case(HERE, play)
