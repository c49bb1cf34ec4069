"""A second copy of a rejection arrives late: the request has run after its 503."""

import os
import random
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
from world import (BROKEN, HELD, TROUBLE, Client, Server, World, new_id, route,  # noqa: E402
                   run_case)

SERVICE = "records"
PATH = "/records/book"
DEADLINE_MS = 6000
CLIENTS = 16
SPANS = 3           # at most; in each the server sheds and repeats answers
ENOUGH = 3          # requests that were refused and have run
SPAN_S = 5
PAUSE_S = 5         # between two spans
SHED_SHARE = 0.2    # of the requests, as srv_grey does
COPY_SHARE = 0.04   # of its answers, as garble does
COPY_AFTER_S = 0.004
WORK_S = 0.02
PROMISES = (408, 421, 429, 503)


def play(world: World):
    ran = {}
    answered = {}
    lock = threading.Lock()
    in_span = threading.Event()
    stop = threading.Event()

    def behave(request):
        request.read_body()
        if in_span.is_set() and random.random() < SHED_SHARE:
            request.reject()
            request.note("is rejected, 503, not executed")
            if TROUBLE and random.random() < COPY_SHARE:
                time.sleep(COPY_AFTER_S)
                request.reject()
                request.note("is rejected: second copy of that answer")
            return
        with lock:
            ran.setdefault(request.id, []).append(world.record.now())
        request.note("runs")
        time.sleep(WORK_S)
        request.succeed()
        request.note("is done")

    leaving = Server(world, SERVICE, behave, capacity=16)
    Server(world, SERVICE, behave, capacity=16)
    world.add_idle_servers(6)
    world.configure(7, [route("book", "/records/", "non_idempotent", service=SERVICE)], [SERVICE])
    entry = world.add_entry()
    entry.start()
    entry.wait_ready()
    world.store.put("servers", leaving.id, {**leaving.entry, "state": "draining"})
    world.record(f"{leaving.id} is draining, the other server stays")
    time.sleep(3)

    def refused_and_run():
        with lock:
            return [it for it, status in list(answered.items())
                    if status in PROMISES and it in ran]

    def ask():
        client = Client(entry)
        while not stop.is_set():
            request_id = new_id()
            client.send("POST", PATH, request_id, DEADLINE_MS, b"one duct")
            answer = client.receive()
            answered[request_id] = answer.status if answer else None
            if answer is None:
                client = Client(entry)
            time.sleep(0.02)

    askers = [threading.Thread(target=ask) for _ in range(CLIENTS)]
    for it in askers:
        it.start()
    for _ in range(SPANS):
        time.sleep(PAUSE_S)
        world.record("the server sheds, and repeats answers" if TROUBLE else "the server sheds")
        in_span.set()
        time.sleep(SPAN_S)
        in_span.clear()
        world.record("the server is well")
        if len(refused_and_run()) >= ENOUGH:
            break
    stop.set()
    for it in askers:
        it.join()
    time.sleep(1)
    broken = refused_and_run()
    repeated = [it for it in ran if len(ran[it]) > 1]
    for it in broken:
        world.record(f"wrong: {it} was answered {answered[it]} and ran at {ran[it][0]:.3f}")
    world.record(f"{len(broken)} of {len(answered)} requests were refused and have run (REFUSED); "
                 f"{len(repeated)} ran more than once (TWICE)")
    return BROKEN if broken else HELD


run_case(HERE, play)
