"""Stand-ins for one small deployment on loopback: processes, servers, operator, callers, links.

Everything but the project's own programs runs in this one process (asyncio). Python's standard library
only. Addresses: 127.X.0.N are the programs' own, 127.X.1.N those of the links in front of them, with a
random X, so that runs do not meet. Ports are picked free at the start.
"""

import asyncio
import bisect
import ctypes
import inspect
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "millpass-node")
HOST = "desk.example"


class CannotRun(Exception):
    """The case could not be run: exit code 2."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_ports(count):
    """Ports that are free now for TCP and UDP at any loopback address."""
    ports, held = [], []
    while len(ports) < count:
        port = random.randrange(20_000, 32_000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                probe = socket.socket(socket.AF_INET, kind)
                held.append(probe)
                probe.bind(("", port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    for probe in held:
        probe.close()
    return ports


class Http:
    """One HTTP/1.1 message read from a stream."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=None):
        name = name.lower()
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    return lines[0], headers


async def read_body(reader, message, is_response=False):
    """The body and whether it is whole."""
    coding = (message.get("transfer-encoding") or "").lower()
    if "chunked" in coding:
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    length = message.get("content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    return await reader.read() if is_response else b""


async def read_request(reader):
    first, headers = await read_head(reader)
    message = Http(first, headers, b"")
    message.body = await read_body(reader, message)
    return message


def message_bytes(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, first, headers, body=b"", timeout=1.0):
    """One request on a new connection. Returns the status and the message; raises on a failure."""

    async def work():
        reader, writer = await asyncio.open_connection(*address)
        try:
            sent = [("Host", HOST), ("Content-Length", str(len(body))), ("Connection", "close")]
            writer.write(message_bytes(first, sent + headers, body))
            await writer.drain()
            line, found = await read_head(reader)
            message = Http(line, found, b"")
            message.body = await read_body(reader, message, is_response=True)
            return int(line.split(" ")[1]), message
        finally:
            writer.close()

    return await asyncio.wait_for(work(), timeout)


class Link:
    """Forwards connections and datagrams to a program. Open connections can go silent for good: what
    either end sends is taken and goes nowhere, nothing is closed, and new connections work."""

    def __init__(self, listen, target, record, name):
        self.listen, self.target, self.record, self.name = listen, target, record, name
        self.silent = set()
        self.open = {}
        self.count = 0
        self.paths = {}

    async def start(self):
        self.server = await asyncio.start_server(self.accept, *self.listen)
        loop = asyncio.get_running_loop()
        link = self

        class Front(asyncio.DatagramProtocol):
            def connection_made(self, transport):
                link.front = transport

            def datagram_received(self, data, address):
                asyncio.ensure_future(link.datagram(data, address))

        await loop.create_datagram_endpoint(Front, local_addr=self.listen)

    async def datagram(self, data, address):
        link = self
        if address not in self.paths:

            class Back(asyncio.DatagramProtocol):
                def datagram_received(self, data, _):
                    link.front.sendto(data, address)

                def error_received(self, _):
                    pass

            loop = asyncio.get_running_loop()
            made = loop.create_datagram_endpoint(Back, remote_addr=self.target)
            self.paths[address], _ = await made
        self.paths[address].sendto(data)

    async def accept(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.count += 1
        number = self.count
        self.open[number] = (writer, far_writer)

        async def pump(source, sink):
            try:
                while True:
                    data = await source.read(65536)
                    if number in self.silent:
                        if not data:
                            return await asyncio.sleep(3600)
                        continue
                    if not data:
                        break
                    sink.write(data)
                    await sink.drain()
            except OSError:
                if number in self.silent:
                    await asyncio.sleep(3600)
            sink.close()

        await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))
        self.open.pop(number, None)

    def silence(self, deaf=False):
        """Open connections go silent for good. If `deaf`, what arrives on them is not even acknowledged:
        the packets are dropped at the link's sockets."""
        numbers = set(self.open) - self.silent
        self.silent |= numbers
        for number in numbers if deaf else ():
            for writer in self.open[number]:
                drop_packets(writer.get_extra_info("socket"))
        return len(numbers)


def drop_packets(found):
    """Drops all packets that arrive at a socket (a filter that accepts no byte of any)."""
    instruction = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))
    program = struct.pack("HL", 1, ctypes.addressof(instruction))
    socket.socket(fileno=os.dup(found.fileno())).setsockopt(socket.SOL_SOCKET, 26, program)


def end_with_parent():
    """In a new process: it is killed when the process that runs the case ends, however that ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Program:
    """A process of the project, restarted only on request."""

    def __init__(self, deployment, name, role, settings):
        self.deployment, self.name, self.role = deployment, name, role
        self.settings = os.path.join(deployment.folder, f"{name}.toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(settings)
        self.process = None

    def start(self):
        log = open(os.path.join(self.deployment.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM, self.role, "--settings", self.settings],
            stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.deployment.folder},
            preexec_fn=end_with_parent,
        )
        log.close()
        self.deployment.record(f"{self.name} started, process {self.process.pid}")

    def signal(self, number):
        self.deployment.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Deployment:
    """Three control members and some gateways, and the links in front of their peer ports."""

    def __init__(self, record, gateways=2):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(f"{PROGRAM} is not built")
        self.record = record
        self.net = random.randrange(20, 250)
        names = ["peer", "control", "front", "ready", "metrics", "forward", "server"]
        self.port = dict(zip(names, free_ports(len(names))))
        self.folder = tempfile.mkdtemp(prefix="millpass-review-")
        self.members, self.gateways, self.links = [], [], []
        self.operator_errors = 0
        count = 3
        seeds = json.dumps([f"{self.own(n)}:{self.port['control']}" for n in range(1, count + 1)])
        for n in range(1, count + 1):
            self.links.append(Link((self.linked(n), self.port["peer"]),
                                   (self.own(n), self.port["peer"]), record, f"control-{n}"))
            # As deploy/control.toml with the bounds of cascade-tally; peers meet at the link's address.
            self.members.append(Program(self, f"control-{n}", "control", f"""
[member]
zone = "z{n}"
peer_listen = "{self.own(n)}:{self.port['peer']}"
peer_address = "{self.linked(n)}:{self.port['peer']}"
administration_listen = "{self.own(n)}:{self.port['control']}"
data_folder = "{self.folder}/data-{n}"
seeds = {json.dumps([f"{self.linked(m)}:{self.port['control']}" for m in range(1, count + 1)])}
form_group = "from-seeds"

[fleet]
mode = "announced"
announce_interval_ms = 1200
instance_silence_ms = 6000
order_handover_ms = 3000

[consensus]
election_timeout_ms = 450
lease_ms = 330
heartbeat_ms = 75
snapshot_entries = 3

[storage]
segment_mb = 2
largest_state_mb = 4
disk_mb = 128

[repair]
member_replacement_delay_ms = 2000
tolerated_losses = 1

[log]
file = "-"
"""))
        for n in range(1, gateways + 1):
            at = self.own(10 + n)
            self.gateways.append(Program(self, f"gateway-{n}", "gateway", f"""
[gateway]
name = "gateway-{n}"
zone = "z{n}"
listen = "{at}:{self.port['front']}"
ready_listen = "{at}:{self.port['ready']}"
metrics_listen = "{at}:{self.port['metrics']}"

[peers]
listen = "{at}:{self.port['forward']}"

[control]
seeds = {json.dumps([f"{self.linked(m)}:{self.port['control']}" for m in range(1, count + 1)])}
peer_port = {self.port['peer']}

[freshness]
in_force_ms = 2000
departed_ms = 2000

[retries]
ratio = "0.2"
slack = 54
window_ms = "10 s"

[drain]
grace_ms = "8 s"

[log]
file = "-"
"""))

    def own(self, n):
        return f"127.{self.net}.0.{n}"

    def linked(self, n):
        return f"127.{self.net}.1.{n}"

    def front(self, n):
        return (self.own(10 + n), self.port["front"])

    def ready(self, n):
        return (self.own(10 + n), self.port["ready"])

    def control(self, n):
        return (self.own(n), self.port["control"])

    async def start(self):
        for link in self.links:
            await link.start()
        # Callers of the administration API meet members at their links' addresses too.
        for n in range(1, len(self.members) + 1):
            await Forwarder((self.linked(n), self.port["control"]), self.control(n)).start()
        for program in self.members + self.gateways:
            program.start()

    def end(self):
        for program in self.members + self.gateways:
            program.end()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def ask_control(self, first, body=b"", timeout=1.0, start=0):
        """A call as the operator and the servers make it: any member, 307 twice, on to another one
        after a failure. Returns the first answer that is no 5xx; None if there is none in a round."""
        count = len(self.members)
        for step in range(count):
            address = self.control((start + step) % count + 1)
            path = first
            for _ in range(3):
                try:
                    status, message = await call(address, path, [], body, timeout)
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                    break
                if status != 307:
                    if status < 500:
                        return status, message
                    break
                location = message.get("location").split("://", 1)[1]
                host, _, _ = location.partition("/")
                ip, _, port = host.partition(":")
                address = (ip, int(port))
        return None

    async def put(self, document, seconds):
        """Sends a configuration again and again until it is acknowledged; returns after how long."""
        body = json.dumps(document).encode()
        began = self.record.now()
        start = 0
        while self.record.now() - began < seconds:
            answer = await self.ask_control("POST /millpass/config/put HTTP/1.1", body, start=start)
            if answer:
                status, _ = answer
                self.record(f"operator: configuration {document['version']} answered {status}")
                if status == 200:
                    return self.record.now() - began
                return None
            start += 1
            await asyncio.sleep(0.25)
        self.record(f"operator: configuration {document['version']} not answered in {seconds} s")
        return None

    async def get(self):
        """Reads the configuration once; its version, or None if none comes."""
        answer = await self.ask_control("GET /millpass/config/get HTTP/1.1")
        if answer and answer[0] == 200:
            return json.loads(answer[1].body)["version"]
        return None


class Forwarder:
    """A plain forwarder that never misbehaves."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target

    async def start(self):
        await asyncio.start_server(self.accept, *self.listen)

    async def accept(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    sink.write(data)
                    await sink.drain()
            except OSError:
                pass
            sink.close()

        await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))


class WebServer:
    """A plain server: runs requests, answers with its signature, and says what it is in heartbeats."""

    def __init__(self, deployment, number, service="desk", work=0.01):
        self.deployment, self.record = deployment, deployment.record
        self.service, self.work = service, work
        self.id = f"i-{random.randrange(1 << 32):08x}"
        self.address = (f"127.{deployment.net}.2.{number}", deployment.port["server"])
        self.state, self.seq = "ready", 0
        self.runs = []
        self.behave = None
        self.node = number

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.task = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            await self.say()
            await asyncio.sleep(1.2)

    async def say(self):
        self.seq += 1
        body = json.dumps({
            "backend": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": "z1",
            "version": "v1", "slots": 64, "state": self.state, "cold_remaining_ms": 0, "seq": self.seq,
        }).encode()
        path = f"POST /millpass/instances/{self.id}/heartbeat HTTP/1.1"
        answer = await self.deployment.ask_control(path, body, start=self.node)
        return bool(answer and 200 <= answer[0] < 300)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request.first.startswith("GET /healthz"):
                    writer.write(message_bytes("HTTP/1.1 200 OK", [("X-Instance-Id", self.id), ("Content-Length", "0")]))
                    await writer.drain()
                    continue
                attempt = request.get("x-attempt-id", "")
                expected = request.get("x-expect-instance")
                base = [("X-Attempt-Id", attempt)]
                if expected and expected != self.id:
                    writer.write(message_bytes("HTTP/1.1 421 Misdirected", base + [
                        ("X-Not-Executed", "1"), ("X-Instance-Id", self.id), ("Content-Length", "0")]))
                    await writer.drain()
                    continue
                self.runs.append((self.record.now(), attempt, request))
                self.record(f"server {self.id} runs {attempt} {request.first.split(' ')[1]}")
                if self.behave:
                    if await self.behave(self, request, reader, writer):
                        continue
                    break
                await asyncio.sleep(self.work)
                body = f"{self.id} {attempt}\n".encode()
                writer.write(message_bytes("HTTP/1.1 200 OK", base + [
                    ("X-Response-Signature", f"{self.id}.{attempt}"), ("Content-Length", str(len(body)))], body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


def route(name, prefix, kind, service="desk", **other):
    base = {"name": name, "host": HOST, "path_prefix": prefix, "route_type": kind, "timeout_ms": 1500,
            "target_latency_ms": 150, "priority": 1, "backend": service, "max_attempts": 2,
            "session_affinity": False, "allow_resume": False, "gap_aim_ms": 0}
    base.update(other)
    return base


def document(version, routes, services=None):
    services = services or [{"name": "desk", "health_path": "/healthz", "max_connections": 100,
                             "protocol": "h1", "tls": False}]
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def until(condition, seconds, what):
    """Waits until a condition holds; the case cannot run if it does not."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.1)
    raise CannotRun(f"not in {seconds} s: {what}")


def attempt_id():
    return f"{random.randrange(1 << 64):016x}"


def run(main, seconds=118, gateways=2):
    """Runs a case: its `main(deployment, record, trouble)` returns whether the rule held."""
    folder = os.path.dirname(os.path.abspath(inspect.stack()[1].filename))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = None

    async def work():
        nonlocal deployment
        # Tasks that are cancelled at the end need no report.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        deployment = Deployment(record, gateways)
        await deployment.start()
        return await main(deployment, record, trouble)

    def overdue(*_):
        record("cannot run: out of time")
        if deployment:
            deployment.end()
        os._exit(2)

    signal.signal(signal.SIGALRM, overdue)
    signal.alarm(seconds + 1)
    code = 2
    try:
        held = asyncio.run(asyncio.wait_for(work(), seconds))
        code = 0 if held else 1
    except CannotRun as error:
        record(f"cannot run: {error}")
        print(f"cannot run: {error}")
    except asyncio.TimeoutError:
        record("cannot run: out of time")
        print("cannot run: out of time")
    except Exception as error:  # a fault of the case itself
        record(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}")
    finally:
        if deployment:
            deployment.end()
    record({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "the case could not run"}[code])
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.exit(code)
