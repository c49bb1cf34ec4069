"""Stand-ins for the scripts of the third review: the platform's store, servers,
clients, and the processes under test. Python's standard library only, loopback
addresses only. All of it runs on one event loop and on the real clock."""

import asyncio
import itertools
import json
import os
import random
import signal
import socket
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable"}


class Record:
    """The script's log: what was sent, answered and run, with times."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, *words):
        self.file.write("%8.3f  %s\n" % (self.now(), " ".join(map(str, words))))

    def close(self):
        self.file.close()


def free_port(ip):
    with socket.socket() as it:
        it.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        it.bind((ip, 0))
        return it.getsockname()[1]


async def read_message(reader):
    """Reads one message with a length, or none. Returns (first line, headers,
    body), or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def encode_response(status, headers, body):
    out = "HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, "Status"))
    for name, value in headers:
        out += "%s: %s\r\n" % (name, value)
    out += "Content-Length: %d\r\n\r\n" % len(body)
    return out.encode("latin-1") + body


class Store:
    """The platform's metadata store: lists, watches, conditional writes."""

    def __init__(self, ip="127.0.0.1"):
        self.ip, self.port = ip, free_port(ip)
        self.revision = 100
        self.objects = {}  # kind -> name -> object
        self.events = []  # (revision, kind, event)
        self.mode = "up"  # up, silent (accepts and doesn't answer)
        self.changed = asyncio.Event()
        self.server = None
        self.calls = 0
        self.writers = set()

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def put(self, kind, name, spec):
        known = self.objects.setdefault(kind, {}).get(name)
        if known and known["spec"] == spec:
            return
        self.revision += 1
        created = known["meta"]["createRev"] if known else self.revision
        it = {"meta": {"name": name, "rev": self.revision, "createRev": created,
                       "finalizers": [], "deleting": False},
              "spec": spec, "status": {}}
        self.objects[kind][name] = it
        self.note(kind, {"object": it, "deleted": False})

    def remove(self, kind, name):
        it = self.objects.get(kind, {}).pop(name, None)
        if it is None:
            return False
        self.revision += 1
        self.note(kind, {"object": it, "deleted": True})
        return True

    def note(self, kind, event):
        self.events.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def set_mode(self, mode):
        """silent: calls are read and not answered, and a connection on which an
        answer was lost returns nothing further."""
        self.mode = mode

    async def add_gate(self):
        """One more address of the store, which can be cut off by itself."""
        it = Gate(self.ip)
        it.server = await asyncio.start_server(
            lambda reader, writer: self.serve(reader, writer, it), it.ip, it.port)
        return it

    async def serve(self, reader, writer, gate=None):
        self.writers.add(writer)

        def is_silent():
            return self.mode == "silent" or (gate and gate.mode == "silent")

        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                self.calls += 1
                if is_silent():
                    await asyncio.sleep(3600)
                status, body = await self.handle(*message)
                if is_silent():
                    await asyncio.sleep(3600)
                writer.write(encode_response(
                    status, [("Content-Type", "application/json")],
                    json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, line, _headers, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        parts = path.strip("/").split("/")  # objects KIND [NAME [status]]
        options = dict(p.split("=", 1) for p in query.split("&") if p)
        kind = parts[1]
        name = parts[2] if len(parts) > 2 else None
        if method == "GET" and name is None and "watch" in options:
            return await self.watch(kind, int(options["watch"]),
                                    int(options.get("waitMs", "0")))
        if method == "GET" and name is None:
            return 200, {"items": list(self.objects.get(kind, {}).values()),
                         "hasMore": False, "storeRevision": self.revision}
        known = self.objects.get(kind, {})
        if method == "GET":
            return (200, known[name]) if name in known else (404, {})
        if method == "POST":
            it = json.loads(body)
            name = it["meta"]["name"]
            if name in known:
                return 409, known[name]
            self.put(kind, name, it["spec"])
            return 201, self.objects[kind][name]
        if method == "PUT":
            if name not in known:
                return 404, {}
            self.put(kind, name, json.loads(body)["spec"])
            return 200, self.objects[kind][name]
        if method == "DELETE":
            return (200, {}) if self.remove(kind, name) else (404, {})
        return 404, {}

    async def watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            events = [e for r, k, e in self.events if k == kind and r > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Gate:
    """An address of the store for one machine."""

    def __init__(self, ip):
        self.ip, self.port = ip, free_port(ip)
        self.mode = "up"
        self.server = None

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)


class Server:
    """A server of a service. `run` is called for each request that it starts
    to work on, and returns (status, extra headers, body)."""

    def __init__(self, record, store, service, name, zone, ip, work_s, slots=3,
                 queue=12):
        self.record, self.store = record, store
        self.service, self.name, self.zone = service, name, zone
        self.ip, self.port = ip, free_port(ip)
        self.work_s, self.slots, self.queue = work_s, slots, queue
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.arrivals = []  # (time, request id, whether it ran)
        self.fails = lambda: False
        self.answer_headers = lambda: []
        self.records = None  # makes a body of records for a request
        self.pause = None  # (every, for) seconds: it stands still that long
        self.phase = random.random()
        self.server = None
        self.writers = set()

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "addr": "%s:%d" % (self.ip, self.port),
                "zone": self.zone, "version": "v1", "capacity": self.slots,
                "state": state, "warmupLeftMs": 0, "sequence": self.sequence,
                "born": self.born}

    def register(self, state="ready"):
        self.store.put("servers", self.name, self.entry(state))

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.register()

    def load(self):
        return "%d,%d,%d" % (self.running, self.waiting, self.slots)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                answer = await self.handle(*message)
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, line, headers, body):
        request = headers.get("mimosacroft-request-id", "-")
        echo = [("Mimosacroft-Request-Id", request),
                ("Mimosacroft-Server-Load", self.load())] + self.answer_headers()
        if headers.get("mimosacroft-expect-instance", self.name) != self.name:
            return encode_response(421, echo + [("Mimosacroft-Not-Executed", "1")],
                                   b"")
        at = self.record.now()
        if self.running >= self.slots and self.waiting >= self.queue:
            self.arrivals.append((at, request, False))
            self.record.write("server", self.name, "turns away", request)
            return encode_response(503, echo + [("Mimosacroft-Not-Executed", "1")],
                                   b"")
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.arrivals.append((at, request, True))
            self.record.write("server", self.name, "runs", request, line)
            await asyncio.sleep(self.work_s())
            await asyncio.sleep(self.pause_left())
            self.running -= 1
        stamp = [("Mimosacroft-Server-Stamp", "%s.%s" % (self.name, request))]
        if self.fails():
            self.record.write("server", self.name, "fails", request)
            return encode_response(500, echo + stamp, b"failed")
        body = (self.records(request) if self.records
                else b"record of " + request.encode())
        return encode_response(200, echo + stamp, body)

    def pause_left(self):
        if not self.pause:
            return 0
        every, length = self.pause
        at = (time.monotonic() + self.phase * every) % every
        return max(length - at, 0)


SETTINGS = """nodeName: "%(name)s"
role: "entry"
nodeClass: "front"
serves:
  - "front"
  - "control"
ip: "%(ip)s"
zone: "%(zone)s"
region: "%(region)s"
zones: %(zones)s
listen:
  front: "%(ip)s:%(front)d"
  ready: "%(ip)s:%(ready)d"
  control: "%(ip)s:%(control)d"
seedAddrs: []
bootstrap: %(bootstrap)s
limits:
  cpuShare: 0.25
  cpuCores: 1
  memoryMb: 260
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
bounds: %(bounds)s
platform:
  addr: "%(store)s"
  form: "objects"
  writesPerS: 400
  readsPerS: 2000
  historyS: 20
  valueBytes: 1048576
  ttlMinMs: 1000
"""

VRZ_BOUNDS = {"seedLagS": 3, "reuseS": 2, "stableWindowMs": 4000, "ackMs": 5000,
              "syncS": 4, "drainMs": 3000, "graceS": 6, "lossSlackMs": 200,
              "applyMs": 3000, "downgradeMs": 250, "skewMaxMs": 12000,
              "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 54,
              "recoverS": 12}
VRZ_ZONES = {"oostende-a": "kust-west", "antwerpen-b": "antwerpen",
             "brussel-c": "brussel"}


class Vm:
    """One process of the deploy file's only role, on an address of its own."""

    def __init__(self, record, store, name, zone, ip, folder, bounds=None):
        self.record, self.name, self.ip = record, name, ip
        self.zone = zone
        self.front, self.ready, self.control = (free_port(ip) for _ in range(3))
        self.store = store
        self.bounds = bounds or VRZ_BOUNDS
        self.settings = os.path.join(folder, name + ".yaml")
        self.log_path = os.path.join(folder, name + ".log")
        self.process = None

    def write_settings(self, bootstrap):
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(SETTINGS % {
                "name": self.name, "ip": self.ip, "zone": self.zone,
                "region": VRZ_ZONES[self.zone], "zones": json.dumps(VRZ_ZONES),
                "front": self.front, "ready": self.ready,
                "control": self.control, "bounds": json.dumps(self.bounds),
                "bootstrap": "true" if bootstrap else "false",
                "store": self.store.address})

    async def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        command = deploy_command()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["MIMOSACROFT_BOOT"] = self.settings
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log)
        self.record.write("vm", self.name, "starts")

    def send_signal(self, number):
        if self.process and self.process.returncode is None:
            self.record.write("vm", self.name, "gets", signal.Signals(number).name)
            self.process.send_signal(number)

    async def wait(self):
        if self.process:
            await self.process.wait()
            self.record.write("vm", self.name, "ended with",
                              self.process.returncode)

    async def terminate(self, grace_s=6):
        """As the platform stops a process: SIGTERM, then SIGKILL."""
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.wait(), grace_s)
        except asyncio.TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.wait()

    async def kill(self):
        self.send_signal(signal.SIGKILL)
        await self.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.ready), 1)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n"
                         b"Connection: close\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return message is not None and " 200 " in message[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=10):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


def deploy_command():
    """The words of `run` in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as it:
        for line in it:
            if line.startswith("run = "):
                return line.split('"')[1].split(" ")
    raise RuntimeError("no run command in the deploy file")


ids = ("%016x" % random.Random(os.getpid() * 7919 + n).getrandbits(64)
       for n in itertools.count())


async def ask(vm, host, path, deadline_ms, method="GET", body=b"", request=None):
    """One attempt of a client, on a new connection. Returns (id, status,
    headers, body); the status is None if the connection ended first."""
    request = request or next(ids)
    head = ("%s %s HTTP/1.1\r\nHost: %s\r\nMimosacroft-Request-Id: %s\r\n"
            "Mimosacroft-Deadline-Ms: %d\r\nConnection: close\r\n"
            % (method, path, host, request, deadline_ms))
    if body or method != "GET":
        head += "Content-Length: %d\r\n" % len(body)
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(vm.ip, vm.front), 1)
        writer.write(head.encode() + b"\r\n" + body)
        message = await asyncio.wait_for(read_message(reader),
                                         deadline_ms / 1000)
    except (OSError, asyncio.TimeoutError):
        message = None
    finally:
        if writer:
            writer.close()
    if message is None:
        return request, None, {}, b""
    return request, int(message[0].split(" ")[1]), message[1], message[2]


def route(name, host, prefix, service, attempts=3, timeout_ms=8000, slo_ms=500,
          kind="idempotent", **more):
    out = {"name": name, "host": host, "pathPrefix": prefix, "type": kind,
           "attempts": attempts, "timeoutMs": timeout_ms, "sloMs": slo_ms,
           "priority": 1}
    if service:
        out["service"] = service
    out.update(more)
    return out


def configuration(version, routes, services, max_conns=100):
    return {"version": version, "routes": routes,
            "services": [{"name": it, "maxConns": max_conns,
                          "healthPath": "/healthz"} for it in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 5000, "idleTimeoutMs": 20000}}


class Balancer:
    """The platform's ingress: probes readiness once a second, and two misses
    take a machine out. A client's requests go to the machines of its zone, else
    to those of other zones."""

    def __init__(self, vms):
        self.vms = vms
        self.misses = {vm.name: 0 for vm in vms}

    async def run(self):
        while True:
            answers = await asyncio.gather(*(vm.is_ready() for vm in self.vms))
            for vm, ok in zip(self.vms, answers):
                self.misses[vm.name] = 0 if ok else self.misses[vm.name] + 1
            await asyncio.sleep(1)

    def choose(self, rng, zone=None):
        near = [vm for vm in self.vms if zone in (None, vm.zone)]
        for group in (near, self.vms):
            ready = [vm for vm in group if self.misses[vm.name] < 2]
            if ready:
                return rng.choice(ready)
        return rng.choice(self.vms)


async def traffic(record, per_s, end_s, one):
    """Calls `one(number)` per_s times a second until end_s of the record, and
    waits for the calls."""
    tasks = set()
    number = 0
    begin = record.now()
    while record.now() < end_s:
        while number < (record.now() - begin) * per_s:
            number += 1
            task = asyncio.create_task(one(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.005)
    if tasks:
        await asyncio.wait(tasks, timeout=9)


def main(case, script):
    """Runs `script(record, trouble, folder)`, which returns whether the rule
    held, with a temporary folder; ends the program with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(case, "record.txt"))
    code = 2
    try:
        with tempfile.TemporaryDirectory() as folder:
            held = asyncio.run(script(record, trouble, folder))
            code = 0 if held else 1
    except Exception as error:  # the case couldn't run
        record.write("could not run:", repr(error))
        print("could not run:", repr(error))
        code = 2
    record.write("exit code", code)
    record.close()
    os._exit(code)
