"""Stand-ins for the platform, its clients and its replicas, and a small deployment of the
project's programs on loopback addresses. Standard library only."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "stageyoke-serve")
ZONES = ["burnaby-hall", "kamloops-hall", "chilliwack-hall", "victoria-hall"]
REGION = "bc-south"
# EventTokens of the site.
EVENT_TOKENS = 9
HOST = "ficu95.example"
# Of the site fbhs-warn.
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4.3,
    "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigMs": 2000,
    "RollbackSlackMs": 250, "OuterMs": 5000, "RecoveryS": 12, "PassMs": 120, "RetryS": 0,
    "FinishS": 10, "SettleMs": 1000,
}
CONTRACTS = ["base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"]


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1, encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, kind, text):
        self.file.write(f"{self.now():8.3f} {kind} {text}\n")

    def close(self):
        self.file.close()


# ---------------------------------------------------------------------------------------
# HTTP


class Closed(Exception):
    """The peer closed or reset the connection."""


async def read_head(reader):
    """Reads a head; returns its first line and a dictionary of headers in lower case."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Closed(str(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a chunked body."""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        if size == 0:
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
            return
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        yield data


async def read_body(reader, headers, is_response):
    """Reads a body; raises `Closed` if it ends early."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return b"".join([chunk async for chunk in read_chunks(reader)])
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        return await reader.read() if is_response else b""
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Closed(str(error)) from error


def encode_head(first, headers):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Answer:
    """A client's view of one answer. `complete` is false if it ended early."""

    def __init__(self, status=None, headers=None, body=b"", complete=False, error=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.complete, self.error = complete, error
        self.events = []

    def __str__(self):
        if self.status is None:
            return f"closed ({self.error})"
        return f"{self.status}{'' if self.complete else ' cut'}"


async def exchange(address, method, path, headers, body=b"", timeout=5.0):
    """Sends one request on a new connection and returns the answer, as far as it came."""
    answer = Answer()
    writer = None

    async def run():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
        sent = [("Host", HOST)] + list(headers)
        if body or method == "POST":
            sent.append(("Content-Length", str(len(body))))
        writer.write(encode_head(f"{method} {path} HTTP/1.1", sent) + body)
        first, answer.headers = await read_head(reader)
        answer.status = int(first.split(" ")[1])
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            async for chunk in read_chunks(reader):
                answer.body += chunk
        else:
            answer.body = await read_body(reader, answer.headers, True)
        answer.complete = True

    try:
        await asyncio.wait_for(run(), timeout)
    except asyncio.TimeoutError:
        answer.error = "no answer in time"
    except (Closed, ConnectionError, OSError, asyncio.IncompleteReadError) as error:
        answer.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


# ---------------------------------------------------------------------------------------
# The platform's store


class PlatformStore:
    """The platform's metadata store, as PROTOCOL.md describes it: 4 ms an answer."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()
        self.server = None

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, backlog=256)

    def put(self, key, value):
        self.revision += 1
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        made = self.items[key]["made"] if key in self.items else self.revision
        self.items[key] = {
            "Key": key, "Value": base64.b64encode(raw).decode(), "Rev": self.revision,
            "made": made, "lease": 0,
        }
        self.note({**self.items[key]})

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({"Key": key, "Rev": self.revision, "gone": True})

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers, False)
                method, target, _ = first.split(" ")
                await asyncio.sleep(0.004)
                status, content = await self.answer(method, target, body)
                raw = json.dumps(content).encode()
                head = [("Content-Type", "application/json"), ("Content-Length", str(len(raw)))]
                writer.write(encode_head(f"HTTP/1.1 {status} X", head) + raw)
                await writer.drain()
        except (Closed, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        from urllib.parse import parse_qs, urlsplit
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query, True).items()}
        if parts.path == "/-/kv-key":
            item = self.items.get(query["Key"])
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if parts.path == "/-/kv-range":
            prefix, after = query.get("PathPrefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "more": len(keys) > 500, "at": self.revision}
        if parts.path == "/-/kv-watch":
            return await self.watch(query)
        if parts.path == "/-/kv-txn" and method == "POST":
            return self.transact(json.loads(body))
        return 404, {}

    async def watch(self, query):
        prefix, after = query.get("PathPrefix", ""), int(query["after"])
        until = time.monotonic() + min(int(query.get("WaitMs", 0)), 30000) / 1000
        while True:
            events = [event for event in self.history
                      if event["Rev"] > after and event["Key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        for row in call.get("ExpectRev", []):
            item = self.items.get(row["Key"])
            if (item["Rev"] if item else 0) != row["Rev"]:
                keys = [row["Key"] for row in call["ExpectRev"]]
                return 412, {"items": [self.items[key] for key in keys if key in self.items]}
        for row in call.get("put", []):
            if row["Key"].startswith(("op/", "servers/")):
                return 403, {}
        for row in call.get("put", []):
            self.put(row["Key"], base64.b64decode(row["Value"]))
        for key in call.get("Remove", []):
            self.remove(key)
        return 200, {"Rev": self.revision}


# ---------------------------------------------------------------------------------------
# Replicas


class Replica:
    """One start of a replica. Subclasses answer requests in `handle`."""

    def __init__(self, lab, service, address, zone, slots):
        self.lab, self.service, self.address, self.zone = lab, service, address, zone
        self.slots = slots
        self.id = f"i-{random.randrange(1 << 32):08x}"
        self.running = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, *self.address, backlog=256, limit=1 << 20)
        self.lab.store.put(f"servers/{self.id}", {
            "Service": self.service, "Addr": f"{self.address[0]}:{self.address[1]}",
            "Zone": self.zone, "Version": "v1", "Slots": self.slots, "State": "ready",
            "ColdLeftMs": 0, "Stage": "both", "Models": [], "CallSeq": 0,
        })

    async def serve(self, reader, writer):
        connection = {"surplus": None}
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers, False)
                method, path, _ = first.split(" ")
                if path == "/health":
                    head = [("Instance-Id", self.id), ("Content-Length", "0")]
                    writer.write(encode_head("HTTP/1.1 200 OK", head))
                    continue
                request_id = headers.get("request-id", "")
                if headers.get("expect-instance", self.id) != self.id:
                    head = [("Request-Id", request_id), ("Instance-Id", self.id),
                            ("Content-Length", "0")]
                    writer.write(encode_head("HTTP/1.1 421 Misdirected Request", head))
                    continue
                if self.running >= self.slots * 5:
                    head = [("Request-Id", request_id), ("Not-Executed", "1"),
                            ("Content-Length", "0")]
                    writer.write(encode_head("HTTP/1.1 503 Service Unavailable", head))
                    continue
                self.running += 1
                try:
                    keep = await self.handle(connection, method, path, headers, body, writer)
                finally:
                    self.running -= 1
                await writer.drain()
                if not keep:
                    break
        except (Closed, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def stamp(self, request_id):
        return [("Request-Id", request_id), ("Response-Stamp", f"{self.id}.{request_id}")]

    async def handle(self, connection, method, path, headers, body, writer):
        raise NotImplementedError


class EngineReplica(Replica):
    """Streams the events of a turn; each holds `EventTokens` tokens."""

    first_ms, pause_ms = 32, 6

    def plan(self, headers, body):
        """Returns the data of the events of a run."""
        most = int(headers["token-count"].split(",")[1])
        return [f"{headers['request-id']}-{number}" for number in range(most // EVENT_TOKENS)]

    async def handle(self, connection, method, path, headers, body, writer):
        request = headers["request-id"]
        self.lab.note_run(self, headers, body)
        events = self.plan(headers, body)
        first = int(headers.get("last-event-id", "0"))
        head = self.stamp(request) + [("Content-Type", "text/event-stream"),
                                      ("Transfer-Encoding", "chunked"), ("Weight-Versions", "1")]
        await asyncio.sleep(self.first_ms / 1000)
        writer.write(encode_head("HTTP/1.1 200 OK", head))
        for number, data in enumerate(events, 1):
            if number <= first:
                continue
            chunk = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.pause_ms / 1000)
        writer.write(b"0\r\n\r\n")
        return True


def parse_events(body):
    """Returns the identifiers and data of the whole events in an answer."""
    events = []
    for block in body.split(b"\n\n")[:-1]:
        fields = dict(line.split(b": ", 1) for line in block.split(b"\n") if b": " in line)
        if b"data" in fields:
            events.append((int(fields[b"id"]), fields[b"data"].decode()))
    return events


# ---------------------------------------------------------------------------------------
# The deployment


class Lab:
    """A deployment of the project's fronts and stores, with the commands of the deploy file."""

    def __init__(self, record, fronts=4, stores=4):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}"
        self.store = PlatformStore()
        self.front_count, self.store_count = fronts, stores
        self.processes = {}
        self.replicas = []
        self.next_replica_ip = 101

    def ip(self, last):
        return f"{self.net}.{last}"

    def front_address(self, number):
        return self.ip(11 + number), 8149

    def replica_address(self):
        address = self.ip(self.next_replica_ip), 8080
        self.next_replica_ip += 1
        return address

    async def start_platform(self):
        await self.store.start(self.ip(5), 8142)

    def settings(self, role, number, bootstrap):
        is_store = role == "store"
        ip = self.ip((21 if is_store else 11) + number)
        zone = ZONES[number % len(ZONES)]
        listen = {"Control": f"{ip}:8144"} if is_store else {
            "Front": f"{ip}:8149", "Ready": f"{ip}:8141"}
        return {
            "Node": f"{role}-{zone}-{number + 1}", "Role": role, "MachineClass": role,
            "Serves": ["store", "control"] if is_store else ["front"], "Ip": ip, "Zone": zone,
            "Region": REGION, "Zones": {name: REGION for name in ZONES}, "Listen": listen,
            "InnerPortRange": [7380, 7395],
            "Seeds": [f"{self.ip(21 + n)}:8144" for n in range(min(3, self.store_count))],
            "Bootstrap": bootstrap, "LossCounts": is_store,
            "Limits": {"CpuShare": 0.5 if is_store else 0.25, "Cores": 1,
                       "MemoryMb": 230 if is_store else 220,
                       "MaxFds": 8200 if is_store else 4100,
                       "LinkMbps": 600.0 if is_store else 1000.0,
                       "DiskMb": 350 if is_store else 0},
            "DataDir": os.path.join(self.folder, f"data-{number}") if is_store else None,
            "Discovery": "platform", "Entry": "vip", "BeatIntervalMs": 1200,
            "Contracts": CONTRACTS,
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0}, "Bounds": BOUNDS,
            "Platform": {"Addr": f"{self.ip(5)}:8142", "form": "kv", "writes_per_s": 400,
                         "reads_per_s": 2000, "HistoryS": 20, "value_bytes": 1048576,
                         "ttl_min_ms": 1000},
        }

    def start_process(self, role, number, bootstrap=True):
        name = f"{role}-{number}"
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(role, number, bootstrap), file)
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["STAGEYOKE_BOOT"] = path
        self.processes[name] = subprocess.Popen(
            [PROGRAM, role, "--metrics-port", "9464"], cwd=ROOT, env=env, stdout=log,
            stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        log.close()
        self.record("process", f"{name} started")

    async def start_processes(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/release/stageyoke-serve is missing: run the deploy file's build")
        for number in range(self.store_count):
            self.start_process("store", number)
        for number in range(self.front_count):
            self.start_process("front", number)

    async def wait_until_ready(self, seconds=15.0):
        until = time.monotonic() + seconds
        for number in range(self.front_count):
            while True:
                answer = await exchange((self.ip(11 + number), 8141), "GET", "/-/readiness",
                                        [], timeout=1.0)
                if answer.status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"front-{number} is not ready")
                await asyncio.sleep(0.1)

    def put_config(self, version, routes, services):
        self.record("operator", f"op/config version {version}")
        self.store.put("op/config", {
            "Version": version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})

    def check_alive(self):
        for name, process in self.processes.items():
            if process.poll() is not None:
                raise CannotRun(f"{name} ended by itself with {process.returncode}")

    def close(self, keep=False):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if keep or os.environ.get("KEEP"):
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


APP_SERVICE = {"Name": "wuno96b", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1",
               "Tls": False}
ENGINE_SERVICE = {
    "Name": "huvo11a", "HealthPath": "/health", "MaxConns": 160, "Protocol": "h1", "Tls": False,
    "Engine": {"Slots": 12, "KvCapacityTokens": 127559, "KvTokenBytes": 131072,
               "LinkMbps": 1100000.0, "Moves": True, "Backups": True, "EventTokens": 9,
               "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0,
               "Models": [{"Name": "m"}]}}


def app_route(name, prefix, kind, timeout_ms, slo_ms, attempts):
    return {"Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": kind,
            "TimeoutMs": timeout_ms, "SloMs": slo_ms, "Priority": 2,
            "Service": APP_SERVICE["Name"], "MaxAttempts": attempts, "RetainContext": False,
            "SessionAffinity": False, "CanResume": False}


def agent_route(name, prefix, priority, retain, resume, retention_s, attempts=1):
    return {"Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": "stream",
            "TimeoutMs": 4000, "SloMs": 200, "Priority": priority,
            "Service": ENGINE_SERVICE["Name"], "MaxAttempts": attempts, "RetainContext": retain,
            "RetentionS": retention_s, "SessionAffinity": True, "CanResume": resume,
            "GapSloMs": 200}


def request_id():
    return f"{random.randrange(1 << 64):016x}"


def raise_descriptor_limit():
    import resource
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 4096)), hard))


def run_case(play, folder, time_limit=110.0):
    """Runs a case and exits with 0 (held), 1 (broken) or 2 (could not run)."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    raise_descriptor_limit()
    record = Record(os.path.join(folder, "record.txt"))
    record("case", f"trouble={int(trouble)}")
    lab = Lab(record)

    async def main():
        await lab.start_platform()
        return await play(lab, trouble)

    code = 2
    # The processes are ended also where the script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(asyncio.wait_for(main(), time_limit))
        code = 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record("case", f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
    finally:
        lab.close()
        record("case", f"exit {code}")
        record.close()
    sys.exit(code)
