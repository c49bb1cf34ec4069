"""Stand-ins of the platform, its store, servers and clients, for the cases of
the second review. Everything runs on loopback addresses and the real clock, in
one asyncio process; the daemons are processes of their own, started with the
command of deploy/system.toml."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
METRICS_PORT = 9464  # in the command of the deploy file
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable"}


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def say(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")
        self.file.flush()


def are_free(addresses):
    """Whether all these addresses, as (ip, port), can be listened on."""
    try:
        for address in addresses:
            with socket.socket() as it:
                it.bind(address)
    except OSError:
        return False
    return True


def free_addresses(vms, servers):
    """The first three bytes of addresses of loopback, and ports: those of the
    machines and of the store are free there, and so is 8080 at the servers'."""
    for _ in range(100):
        block = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        front, ready, control, store = random.sample(range(10_000, 30_000), 4)
        wanted = [(f"{block}.{n + 1}", port) for n in range(vms)
                  for port in (front, ready, control, METRICS_PORT)]
        wanted += [(f"{block}.{100 + n}", 8080) for n in range(servers)]
        wanted.append((f"{block}.250", store))
        if are_free(wanted):
            return block, {"front": front, "ready": ready, "control": control}, store
    raise OSError("no free addresses")


async def read_head(reader):
    """The first line and the headers of a message; None at the end."""
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
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def message(status, headers, body=b""):
    out = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for name, value in headers:
        out += f"{name}: {value}\r\n"
    out += f"Content-Length: {len(body)}\r\n\r\n"
    return out.encode("latin-1") + body


class HttpServer:
    """Calls `handle(method, target, headers, body, writer)` for each request,
    and writes the bytes that it returns; None ends the connection."""

    def __init__(self):
        self.server = None
        self.writers = set()

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 24)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                out = await self.handle(method, target, head[1], body, writer)
                if out is None:
                    break
                writer.write(out)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body, writer):
        raise NotImplementedError

    def close(self):
        if self.server:
            self.server.close()
        for it in list(self.writers):
            it.transport.abort()


class Store(HttpServer):
    """The platform's store, in the form of objects."""

    def __init__(self, history_s=20.0):
        super().__init__()
        self.revision = 100
        self.objects = {}
        self.events = []  # revision, kind, object, deleted, time
        self.dropped = 100  # the history up to this revision is gone
        self.history_s = history_s
        self.changed = asyncio.Event()

    def _note(self, kind, it, deleted):
        now = time.monotonic()
        self.events.append((self.revision, kind, it, deleted, now))
        while self.events and self.events[0][4] < now - self.history_s:
            self.dropped = self.events.pop(0)[0]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        known = self.objects.setdefault(kind, {}).get(name)
        if known and known["spec"] == spec:
            return known
        self.revision += 1
        it = {"meta": {"name": name, "rev": self.revision,
                       "createRev": known["meta"]["createRev"] if known else self.revision,
                       "finalizers": [], "deleting": False},
              "spec": spec, "status": None}
        self.objects[kind][name] = it
        self._note(kind, it, False)
        return it

    def delete(self, kind, name):
        it = self.objects.get(kind, {}).pop(name, None)
        if it:
            self.revision += 1
            self._note(kind, it, True)
        return it

    @staticmethod
    def _json(status, value):
        return message(status, [("Content-Type", "application/json")],
                       json.dumps(value, separators=(",", ":")).encode())

    async def handle(self, method, target, headers, body, writer):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(it) for it in url.path.split("/")[2:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name is None:
            if "watch" in query:
                return await self._watch(kind, query)
            return self._list(kind, query)
        known = self.objects.get(kind, {}).get(name) if name else None
        if method == "POST":
            it = json.loads(body)
            name = it["meta"]["name"]
            known = self.objects.get(kind, {}).get(name)
            if known:
                return self._json(409, known)
            return self._json(200, self.put(kind, name, it.get("spec")))
        if known is None:
            return self._json(404, {})
        if method == "PUT":
            return self._json(200, self.put(kind, name, json.loads(body).get("spec")))
        if method == "DELETE":
            return self._json(200, self.delete(kind, name))
        return self._json(200, known)

    def _list(self, kind, query):
        every = self.objects.get(kind, {})
        names = sorted(it for it in every if it > query.get("after", ""))
        items, size = [], 0
        for it in names[:500]:
            size += len(json.dumps(every[it]))
            if items and size > 1_000_000:
                break
            items.append(every[it])
        return self._json(200, {"items": items, "hasMore": len(items) < len(names),
                                "storeRevision": self.revision})

    async def _watch(self, kind, query):
        since = int(query["watch"])
        end = time.monotonic() + min(int(query.get("waitMs", "0")), 30_000) / 1000
        while True:
            if since < self.dropped:
                return self._json(410, {})
            found = [it for it in self.events if it[0] > since and it[1] == kind]
            left = end - time.monotonic()
            if found or left <= 0:
                return self._json(200, {
                    "events": [{"object": it[2], "deleted": it[3]} for it in found],
                    "storeRevision": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server(HttpServer):
    """A server of a service. `work` is called for each request that it runs:
    (headers, body, writer) -> (status, body)."""

    def __init__(self, lab, service, zone, ip, port=8080, slots=8):
        super().__init__()
        self.lab, self.service, self.zone = lab, service, zone
        self.ip, self.port, self.slots = ip, port, slots
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.work_s = 0.005
        self.part = None  # the body of its answers

    async def start(self):
        await self.listen(self.ip, self.port)
        self.register()

    def register(self):
        self.sequence += 1
        self.lab.store.put("servers", self.id, {
            "service": self.service, "addr": f"{self.ip}:{self.port}",
            "zone": self.zone, "version": "v1", "capacity": self.slots,
            "state": self.state, "warmupLeftMs": 0, "sequence": self.sequence,
            "born": self.born})

    def stamp(self, request):
        return f"{self.id}.{request}"

    async def handle(self, method, target, headers, body, writer):
        request = headers.get("mimosacroft-request-id", "")
        expected = headers.get("mimosacroft-expect-instance")
        echo = [("Mimosacroft-Request-Id", request)]
        if expected and expected != self.id:
            return message(421, echo + [("Mimosacroft-Instance-Id", self.id)])
        self.lab.ran(self, method, target, request, body)
        return await self.answer(method, target, request, body, writer)

    async def answer(self, method, target, request, body, writer):
        await asyncio.sleep(self.work_s)
        out = self.part if self.part is not None else os.urandom(160)
        self.lab.answered(self, request, 200, out)
        return message(200, [("Mimosacroft-Request-Id", request),
                             ("Mimosacroft-Server-Stamp", self.stamp(request))], out)


class Vm:
    """One machine of the system and its process."""

    def __init__(self, lab, number, zone):
        self.lab, self.name, self.zone = lab, f"front-{zone}-{number}", zone
        self.ip = f"{lab.block}.{number}"
        self.port = lab.ports["front"]  # for clients
        self.process = None
        self.starts = 0
        self.settings = os.path.join(lab.folder, f"{self.name}.yaml")
        self.bounds = {}
        self.ended_by_itself = 0

    def write_settings(self):
        lab = self.lab
        regions = {it: f"region-{it}" for it in lab.zones}
        value = {
            "nodeName": self.name, "role": "entry", "nodeClass": "front",
            "serves": ["front", "control"], "ip": self.ip, "zone": self.zone,
            "region": regions[self.zone], "zones": regions,
            "listen": {key: f"{self.ip}:{port}" for key, port in lab.ports.items()},
            "internalPorts": [7380, 7395],
            "seedAddrs": [f"{it.ip}:{lab.ports['control']}" for it in lab.vms[:3]],
            "bootstrap": self.starts == 0, "inTolerance": False,
            "limits": {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": lab.memory_mb,
                       "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip",
            "heartbeatMs": 1200,
            "policies": ["base", "drain", "config", "cost", "retry", "recover",
                         "scatter", "platform"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": lab.bounds,
            "platform": {"addr": lab.store_addr, "form": "objects",
                         "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                         "valueBytes": 1048576, "ttlMinMs": 1000}}
        with open(self.settings + ".new", "w", encoding="utf-8") as out:
            for key, it in value.items():
                out.write(f"{key}: {json.dumps(it)}\n")
        os.rename(self.settings + ".new", self.settings)

    async def start(self):
        self.write_settings()
        self.starts += 1
        self.log = open(os.path.join(self.lab.folder, f"{self.name}.log"), "ab")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["MIMOSACROFT_BOOT"] = self.settings
        self.process = await asyncio.create_subprocess_exec(
            *self.lab.command, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log)
        self.lab.record.say(f"platform: {self.name} starts")

    def signal(self, number):
        self.lab.record.say(f"platform: {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def memory_mb(self):
        """Resident memory of the process; nothing if it is gone."""
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as it:
                return int(it.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        except (OSError, IndexError):
            return None

    async def ready(self):
        answer = await call(self.ip, self.lab.ports["ready"], "GET", "/readyz", [], b"", 1.0)
        return answer.status == 200

    def alive(self):
        return self.process is not None and self.process.returncode is None


class Answer:
    """What a client got: status 0 if there was no complete answer."""

    def __init__(self, status=0, headers=None, body=b"", end="", after=0.0):
        self.status, self.headers, self.body = status, headers or {}, body
        self.end, self.after = end, after


class Connection:
    """A client's connection, for one request after the other."""

    def __init__(self):
        self.reader = self.writer = None

    async def open(self, ip, port):
        self.reader, self.writer = await asyncio.open_connection(ip, port, limit=1 << 24)

    async def ask(self, method, target, headers, body, timeout):
        begin = time.monotonic()
        try:
            return await asyncio.wait_for(self._ask(method, target, headers, body, begin), timeout)
        except asyncio.TimeoutError:
            return Answer(end="no answer in time", after=time.monotonic() - begin)
        except (ConnectionError, asyncio.IncompleteReadError, OSError) as ex:
            return Answer(end=f"connection ended: {type(ex).__name__}",
                          after=time.monotonic() - begin)

    async def _ask(self, method, target, headers, body, begin):
        out = f"{method} {target} HTTP/1.1\r\n"
        for name, value in headers:
            out += f"{name}: {value}\r\n"
        if body or method != "GET":
            out += f"Content-Length: {len(body)}\r\n"
        self.writer.write((out + "\r\n").encode("latin-1") + body)
        await self.writer.drain()
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionError
        got = await read_body(self.reader, head[1])
        return Answer(int(head[0].split(" ")[1]), head[1], got,
                      after=time.monotonic() - begin)

    def close(self):
        if self.writer:
            self.writer.close()


async def call(ip, port, method, target, headers, body, timeout):
    it = Connection()
    try:
        await asyncio.wait_for(it.open(ip, port), 1.0)
    except (OSError, asyncio.TimeoutError):
        return Answer(end="no connection")
    try:
        return await it.ask(method, target, headers, body, timeout)
    finally:
        it.close()


class Lab:
    """A small deployment."""

    bounds = {"seedLagS": 3, "reuseS": 2, "stableWindowMs": 5000, "ackMs": 6000,
              "syncS": 4, "drainMs": 3000, "graceS": 6, "lossSlackMs": 200,
              "applyMs": 3000, "downgradeMs": 250, "skewMaxMs": 15000,
              "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 58,
              "recoverS": 12}

    def __init__(self, record, zones=("a", "b", "c"), vms=3, memory_mb=260, history_s=20.0):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as it:
            self.command = tomllib.load(it)["roles"]["entry"]["run"].split()
        self.record, self.zones, self.memory_mb = record, zones, memory_mb
        self.block, self.ports, store_port = free_addresses(vms, servers=30)
        self.folder = tempfile.mkdtemp(prefix="mimosa-review-")
        self.store = Store(history_s)
        self.store_addr = f"{self.block}.250:{store_port}"
        self.vms = []
        for n in range(vms):
            self.vms.append(Vm(self, n + 1, zones[n % len(zones)]))
        self.servers = []
        self.runs = {}  # by request id: list of (server, time, body)
        self.version = 0
        self.routes, self.services = [], []
        self.limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

    def ran(self, server, method, target, request, body):
        self.runs.setdefault(request, []).append((server, time.monotonic(), body))
        self.record.say(f"server {server.id} of {server.service} runs {request} {method} {target}")

    def answered(self, server, request, status, body):
        self.record.say(f"server {server.id} answers {request} with {status}, {len(body)} bytes")

    def add_server(self, service, zone, kind=Server, **more):
        it = kind(self, service, zone, f"{self.block}.{100 + len(self.servers)}", **more)
        self.servers.append(it)
        return it

    def configuration(self):
        return {"version": self.version, "routes": self.routes,
                "services": self.services, "limits": self.limits}

    def configure(self):
        self.version += random.randint(1, 3)
        self.store.put("config", "main", self.configuration())

    async def start(self):
        ip, port = self.store_addr.split(":")
        await self.store.listen(ip, int(port))
        for it in self.servers:
            await it.start()
        self.configure()
        await asyncio.gather(*(it.start() for it in self.vms))
        for _ in range(100):
            await asyncio.sleep(0.1)
            if all([await it.ready() for it in self.vms]):
                return True
        return False

    async def stop(self):
        for it in self.vms:
            if it.alive():
                it.process.kill()
            if it.process is not None:
                await it.process.wait()
        for it in [*self.servers, self.store]:
            it.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def request_id():
    return f"{random.getrandbits(64):016x}"


def caller_headers(host, request, deadline_ms):
    return [("Host", host), ("Mimosacroft-Request-Id", request),
            ("Mimosacroft-Deadline-Ms", str(deadline_ms))]


BROKEN = 10  # run.sh makes 1 of it


def run_case(main):
    """Runs a case to its end and exits with BROKEN if `main` returns 1, with 0
    if it returns 0, and with 2 if the case couldn't run. The interpreter's own
    code for an error, 1, is no verdict. Ends what it started in any case."""

    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await main()

    try:
        status = asyncio.run(run())
    except BaseException as ex:  # whatever it was, it is no verdict
        print(f"the case couldn't run: {type(ex).__name__}: {ex}", file=sys.stderr)
        status = 2
    sys.exit(BROKEN if status == 1 else status)
