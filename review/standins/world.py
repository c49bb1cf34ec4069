"""Stand-ins of the platform for the scripts of the review.

Each case runs real `mimosa-entry` processes on loopback addresses of its own,
with a store, servers and clients of this module around them. Every stand-in
does what the users' pages allow it, and otherwise behaves as a sound store,
server or client would.
"""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = ["target/mimosa-entry", "--metrics-port", "9464"]
METRICS_PORT = 9464
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
LONGEST_RUN_S = 110

HOST = "records.example"
ZONES = {"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-2"}
# Of sites/kcr-search.toml.
BOUNDS = {
    "seedLagS": 3, "reuseS": 2, "stableWindowMs": 5000, "ackMs": 6000,
    "syncS": 4, "drainMs": 3000, "graceS": 6, "lossSlackMs": 200,
    "applyMs": 3000, "downgradeMs": 250, "skewMaxMs": 15000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 58,
    "recoverS": 12,
}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
          "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()

    def now(self):
        return time.monotonic() - self.start


class CouldNotRun(Exception):
    pass


def receive_head(stream):
    """Reads one message head; None at the end of the stream."""
    first = stream.readline(65536)
    if not first:
        return None
    headers = {}
    while True:
        line = stream.readline(65536)
        if not line:
            return None
        line = line.rstrip(b"\r\n")
        if not line:
            break
        name, _, value = line.partition(b":")
        headers[name.decode("latin-1").strip().lower()] = value.decode("latin-1").strip()
    return first.decode("latin-1").strip(), headers


class Listener:
    """Accepts connections and gives each to `handle` on a thread of its own."""

    def __init__(self, ip, port, handle, prepare=None):
        self.handle = handle
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if prepare:
            prepare(self.socket)
        self.socket.bind((ip, port))
        self.socket.listen(256)
        self.port = self.socket.getsockname()[1]
        self.closed = False
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while not self.closed:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.guard, args=(connection,), daemon=True).start()

    def guard(self, connection):
        try:
            self.handle(connection)
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def close(self):
        self.closed = True
        self.socket.close()


class Verbatim:
    """JSON text that the store keeps as its writer sent it."""

    def __init__(self, text):
        self.text = text


def to_json(value):
    texts = []

    def keep(it):
        texts.append(it.text)
        return f"@verbatim-{len(texts) - 1}@"

    out = json.dumps(value, default=keep)
    for n, text in enumerate(texts):
        out = out.replace(f'"@verbatim-{n}@"', text)
    return out.encode()


class Store:
    """The platform's metadata store: objects, lists and watches."""

    def __init__(self, ip, record):
        self.record = record
        self.lock = threading.Condition()
        self.objects = {}
        self.history = []
        self.revision = 1
        self.listener = Listener(ip, 0, self.serve)
        self.address = f"{ip}:{self.listener.port}"

    def put(self, kind, name, spec):
        with self.lock:
            return self.write(kind, name, spec)

    def write(self, kind, name, spec):
        old = self.objects.get((kind, name))
        if old and old["spec"] == spec:
            return old
        self.revision += 1
        meta = {"name": name, "rev": self.revision,
                "createRev": old["meta"]["createRev"] if old else self.revision,
                "finalizers": [], "deleting": False}
        new = {"meta": meta, "spec": spec, "status": None}
        self.objects[(kind, name)] = new
        self.history.append((self.revision, kind, {"object": new, "deleted": False}))
        self.lock.notify_all()
        return new

    def remove(self, kind, name):
        with self.lock:
            old = self.objects.pop((kind, name), None)
            if old is None:
                return None
            self.revision += 1
            self.history.append((self.revision, kind, {"object": old, "deleted": True}))
            self.lock.notify_all()
            return old

    def serve(self, connection):
        stream = connection.makefile("rb")
        while True:
            head = receive_head(stream)
            if head is None:
                return
            line, headers = head
            method, target, _ = line.split(" ", 2)
            body = stream.read(int(headers.get("content-length", "0")))
            status, answer = self.answer(method, target, body)
            data = to_json(answer)
            connection.sendall(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                               f"Content-Length: {len(data)}\r\n\r\n".encode() + data)

    def answer(self, method, target, body):
        parts = urlsplit(target)
        path = [unquote(it) for it in parts.path.strip("/").split("/")]
        query = {key: value[0] for key, value in parse_qs(parts.query).items()}
        kind = path[1]
        name = path[2] if len(path) > 2 else None
        if method == "GET" and "watch" in query:
            return self.watch(kind, int(query["watch"]), int(query.get("waitMs", "0")))
        with self.lock:
            if method == "GET" and name is None:
                items = [it for (k, n), it in sorted(self.objects.items())
                         if k == kind and n > query.get("after", "")]
                return 200, {"items": items, "hasMore": False,
                             "storeRevision": self.revision}
            if method == "GET":
                found = self.objects.get((kind, name))
                return (200, found) if found else (404, {})
            if method == "POST":
                sent = json.loads(body)
                name = sent["meta"]["name"]
                if (kind, name) in self.objects:
                    return 409, self.objects[(kind, name)]
                return 200, self.write(kind, name, sent.get("spec"))
            if method == "PUT":
                if (kind, name) not in self.objects:
                    return 404, {}
                return 200, self.write(kind, name, json.loads(body).get("spec"))
        if method == "DELETE":
            old = self.remove(kind, name)
            return (200, old) if old else (404, {})
        return 400, {}

    def watch(self, kind, after, wait_ms):
        until = time.monotonic() + min(wait_ms, 30000) / 1000
        with self.lock:
            while True:
                events = [it for rev, k, it in self.history if k == kind and rev > after]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "storeRevision": self.revision}
                self.lock.wait(left)


class Entry:
    """One mimosa-entry process with its settings file."""

    def __init__(self, world, number, zone="zone-a"):
        self.world = world
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.ip = world.ip(10 + number)
        self.ports = dict(zip(("front", "ready", "control"), free_ports(self.ip, 3)))
        self.process = None
        self.path = os.path.join(world.folder, self.name + ".yaml")
        self.log = open(os.path.join(world.folder, self.name + ".log"), "ab")

    def start(self, bootstrap=True):
        listen = {name: f"{self.ip}:{port}" for name, port in self.ports.items()}
        settings = {
            "nodeName": self.name, "role": "entry", "nodeClass": "front",
            "serves": ["front", "control"], "ip": self.ip, "zone": self.zone,
            "region": ZONES[self.zone], "zones": ZONES, "listen": listen,
            "internalPorts": [7380, 7395], "seedAddrs": [listen["control"]],
            "bootstrap": bootstrap, "inTolerance": False,
            "limits": {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
            "policies": ["base", "drain", "config", "cost", "retry", "recover", "scatter",
                         "platform"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"addr": self.world.store.address, "form": "objects",
                         "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                         "valueBytes": 1048576, "ttlMinMs": 1000},
        }
        # JSON is YAML too.
        with open(self.path, "w", encoding="utf-8") as out:
            json.dump(settings, out, indent=1)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["MIMOSACROFT_BOOT"] = self.path
        self.process = subprocess.Popen(PROGRAM, cwd=ROOT, env=environment,
                                        stdout=self.log, stderr=self.log,
                                        stdin=subprocess.DEVNULL)
        self.world.record(f"{self.name} started as process {self.process.pid}")

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.ports["ready"]), 1) as s:
                s.sendall(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                return s.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CouldNotRun(f"{self.name} ended with {self.process.returncode}")
            if self.is_ready():
                self.world.record(f"{self.name} is ready")
                return
            time.sleep(0.05)
        raise CouldNotRun(f"{self.name} is not ready")

    def signal(self, number):
        self.world.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.log.close()


def free_ports(ip, count):
    """Different free ports; each is free again when this returns."""
    sockets = [socket.socket() for _ in range(count)]
    for it in sockets:
        it.bind((ip, 0))
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


class Server:
    """A server of one service. `behave(request)` decides what it does."""

    def __init__(self, world, service, behave, zone="zone-a", capacity=8, prepare=None):
        self.world = world
        self.service = service
        self.behave = behave
        self.connections = set()
        self.id = f"i-{random.getrandbits(32):08x}"
        self.ip = world.ip(100 + len(world.servers))
        self.listener = Listener(self.ip, 0, self.serve, prepare)
        self.entry = {"service": service, "addr": f"{self.ip}:{self.listener.port}",
                      "zone": zone, "version": "v1", "capacity": capacity,
                      "state": "ready", "warmupLeftMs": 0, "sequence": 1,
                      "born": int(time.time() * 1000)}
        world.servers.append(self)
        world.store.put("servers", self.id, self.entry)

    def exit(self):
        """Ends as a process does: its connections close at once."""
        self.listener.close()
        for it in list(self.connections):
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def serve(self, connection):
        self.connections.add(connection)
        try:
            self.serve_requests(connection)
        finally:
            self.connections.discard(connection)

    def serve_requests(self, connection):
        stream = _Buffered(connection)
        while True:
            head = receive_head(stream)
            if head is None:
                return
            line, headers = head
            request = Request(self, connection, stream, line, headers)
            expected = headers.get("mimosacroft-expect-instance")
            if expected is not None and expected != self.id:
                request.read_body()
                request.answer(421, b"", {"Mimosacroft-Instance-Id": self.id})
                continue
            if self.behave(request) == "close":
                return


class Link:
    """A proxy before an entry process, on which both directions can be cut.

    While the link is cut, bytes are held up; they arrive when it heals, as TCP
    would send them again.
    """

    def __init__(self, world, entry):
        self.entry = entry
        self.whole = threading.Event()
        self.whole.set()
        self.ip = world.ip(200 + len(world.links))
        self.listener = Listener(self.ip, 0, self.serve)
        world.links.append(self)

    @property
    def address(self):
        return self.ip, self.listener.port

    def serve(self, connection):
        with socket.create_connection((self.entry.ip, self.entry.ports["front"]), 2) as other:
            other.settimeout(None)
            other.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            back = threading.Thread(target=self.pump, args=(other, connection), daemon=True)
            back.start()
            self.pump(connection, other)
            back.join()

    def pump(self, source, sink):
        try:
            while data := source.recv(65536):
                self.whole.wait()
                sink.sendall(data)
        except OSError:
            pass
        self.whole.wait()
        try:
            sink.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def cut(self):
        self.whole.clear()

    def heal(self):
        self.whole.set()


class _Buffered:
    """Reads lines and exact counts of bytes from a socket."""

    def __init__(self, connection):
        self.connection = connection
        self.data = b""

    def fill(self):
        more = self.connection.recv(4096)
        self.data += more
        return bool(more)

    def readline(self, limit):
        while b"\n" not in self.data and len(self.data) < limit:
            if not self.fill():
                break
        at = self.data.find(b"\n")
        end = len(self.data) if at < 0 else at + 1
        out, self.data = self.data[:end], self.data[end:]
        return out

    def read(self, n):
        while len(self.data) < n:
            if not self.fill():
                break
        out, self.data = self.data[:n], self.data[n:]
        return out


class Request:
    """A request as a server got it; its body may not be read yet."""

    def __init__(self, server, connection, stream, line, headers):
        self.server = server
        self.connection = connection
        self.stream = stream
        self.line = line
        self.headers = headers
        self.id = headers.get("mimosacroft-request-id", "")
        self.deadline_ms = int(float(headers.get("mimosacroft-deadline-ms", "0")))
        self.length = int(headers.get("content-length", "0"))
        self.body = b""
        self.arrived = server.world.record.now()

    def read_body(self, n=None):
        wanted = self.length - len(self.body) if n is None else n
        self.body += self.stream.read(wanted)
        return self.body

    def note(self, text):
        self.server.world.record(f"server {self.server.id} of {self.server.service}: "
                                 f"request {self.id} {text}")

    def answer(self, status, body, headers=None):
        lines = [f"HTTP/1.1 {status} X", f"Mimosacroft-Request-Id: {self.id}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.connection.sendall("\r\n".join(lines).encode() + body)

    def succeed(self, body=b"ok"):
        stamp = f"{random.getrandbits(32):08x}.{self.id}"
        self.answer(200, body, {"Mimosacroft-Server-Stamp": stamp})

    def reject(self, headers=None):
        self.answer(503, b"", {"Mimosacroft-Not-Executed": "1", **(headers or {})})


class World:
    """Folder, addresses and processes of one run of a case."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="mimosa-review-")
        random.seed(os.getpid() ^ int(time.time() * 1000))
        self.net = f"127.{random.randint(30, 220)}.{random.randint(1, 250)}"
        self.servers = []
        self.entries = []
        self.links = []
        self.store = Store(self.ip(2), self.record)

    def ip(self, last):
        return f"{self.net}.{last}"

    def add_entry(self, zone="zone-a"):
        entry = Entry(self, len(self.entries) + 1, zone)
        self.entries.append(entry)
        return entry

    def add_idle_servers(self, count):
        """Servers of another service, so that one server is a small share of all."""
        for _ in range(count):
            Server(self, "others", lambda request: request.succeed())

    def start_fleet(self, zone_sizes=(4, 3, 2)):
        """Entry VMs, as many as sites/kcr-search.toml has; waits until all are ready."""
        zones = [zone for zone, count in zip(ZONES, zone_sizes) for _ in range(count)]
        fleet = [self.add_entry(zone) for zone in zones]
        for entry in fleet:
            entry.start()
        for entry in fleet:
            entry.wait_ready(30)
        time.sleep(1)  # they read the list of each other
        return fleet

    def configure(self, version, routes, services, limits=None):
        self.store.put("config", "main", {
            "version": version, "routes": routes,
            "services": [{"name": it, "healthPath": "/healthz", "maxConns": 41,
                          "proto": "h1", "tls": False} for it in services],
            "limits": limits or LIMITS})
        self.record(f"configuration {version} is acknowledged")

    def end(self):
        for it in self.entries:
            it.end()
        for it in self.servers + self.links:
            it.listener.close()
        self.store.listener.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind="idempotent", timeout_ms=6000, slo_ms=400, attempts=2, **more):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "type": kind,
            "timeoutMs": timeout_ms, "sloMs": slo_ms, "priority": 2,
            "attempts": attempts, **more}


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class Client:
    """One connection of a client, kept over its requests."""

    def __init__(self, entry, timeout=15, through=None):
        self.record = entry.world.record
        self.request_id = None
        address = through.address if through else (entry.ip, entry.ports["front"])
        self.connection = socket.create_connection(address, 2)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connection.settimeout(timeout)
        self.stream = _Buffered(self.connection)

    def send(self, method, path, request_id, deadline_ms, body=b"", first=None):
        """Sends a request; of the body only the `first` bytes, if that is given."""
        self.request_id = request_id
        self.record(f"client sends {request_id}: {method} {path}, {len(body)} bytes")
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
                 f"Mimosacroft-Request-Id: {request_id}",
                 f"Mimosacroft-Deadline-Ms: {deadline_ms}"]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.connection.sendall("\r\n".join(lines + ["", ""]).encode() + body[:first])

    def receive(self):
        """The answer; None if the connection ended without a whole one."""
        answer = self.receive_answer()
        self.record(f"client got {answer.status if answer else 'no answer'} "
                    f"for {self.request_id}")
        return answer

    def receive_answer(self):
        try:
            head = receive_head(self.stream)
            if head is None:
                return None
            line, headers = head
            length = int(headers.get("content-length", "0"))
            body = self.stream.read(length)
            if len(body) < length:
                return None
            return Answer(int(line.split(" ")[1]), headers, body)
        except OSError:
            return None

    def close(self):
        self.connection.close()


def new_id():
    return f"{random.getrandbits(64):016x}"


def run_case(case_folder, play):
    """Runs `play(world)`, which returns HELD or BROKEN, and exits with that.

    Whatever keeps the case from running to its end makes it exit with 2.
    """
    errors = []
    threading.excepthook = lambda it: errors.append(f"{it.exc_type.__name__}: {it.exc_value}")
    world = None
    code = COULD_NOT_RUN
    try:
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
            signal.signal(number, give_up)
        signal.alarm(LONGEST_RUN_S)
        world = World(case_folder)
        if not os.path.exists(os.path.join(ROOT, PROGRAM[0])):
            raise CouldNotRun(f"{PROGRAM[0]} is not built")
        code = play(world)
        if errors and code == HELD:
            raise CouldNotRun(f"a stand-in failed: {errors[0]}")
    except Exception as error:  # the case could not run, whatever the reason
        code = COULD_NOT_RUN
        if world:
            world.record(f"could not run: {type(error).__name__}: {error}")
    finally:
        signal.alarm(0)
        if world:
            world.end()
    if world:
        world.record(("held", "BROKEN", "could not run")[code])
    sys.stdout.flush()
    # Threads of stand-ins may still wait for connections.
    os._exit(code)


def give_up(number, _frame):
    raise CouldNotRun(f"stopped by {signal.Signals(number).name}")
