"""Stand-ins of the platform, executors and clients for the cases 11 to 15, and a runner of the
project's own programs. Python's standard library only; everything listens on loopback addresses.

The names of calls and fields are those of PROTOCOL.md. The stand-ins are sound: they do what the page
says and nothing else, unless a scenario says otherwise.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time

if sys.version_info < (3, 11):
    print("Python 3.11 is needed")
    sys.exit(2)

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "ebonycroft")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {
    "stableWindowMs": 3000, "drainMs": 2000, "graceS": 6, "configApplyMs": 2000, "maxHoldMs": 1000,
    "stopTimeoutMs": 50, "cancel_ms": 3000, "resendMs": 1300, "ackTimeoutMs": 4000,
}
HEARTBEAT_S = 1.5
READY, FRONT, CONTROL, APP, STORE = 8167, 8161, 8166, 8165, 8169
INTERNAL = 7720


class CannotRun(Exception):
    """The case could not be carried out."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start, self.group = time.monotonic(), None

    def now(self):
        return time.monotonic() - self.start

    def run(self, executor, verb, task, run):
        """Writes what an executor did with a run; one line for tasks of one job in a row."""
        key = (executor, verb, task.split(".")[0], run)
        if self.group is None or self.group[0] != key:
            self.end_group()
            self.group = [key, self.now(), [task]]
        else:
            self.group[2].append(task)

    def end_group(self):
        if self.group is not None:
            (executor, verb, _, run), at, tasks = self.group
            self.group = None
            more = f" and {len(tasks) - 1} more, the last {tasks[-1]}," if len(tasks) > 1 else ""
            self.write(at, f"executor {executor}: {tasks[0]}{more} run {run} {verb}")

    def line(self, text):
        self.end_group()
        self.write(self.now(), text)

    def write(self, at, text):
        self.file.write(f"{at:9.3f} {text}\n")
        self.file.flush()


# --- HTTP -----------------------------------------------------------------------------------------

async def read_message(reader):
    """Reads the head and the body of a request or a response; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return lines[0], headers, body


class HttpServer:
    """HTTP/1.1 server; `handle(method, path, query, headers, body)` returns status and bytes or JSON."""

    def __init__(self, ip, port, handle):
        self.ip, self.port, self.handle = ip, port, handle
        self.server, self.writers = None, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 20)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, headers, body = message
                method, target = first.split(" ")[:2]
                path, _, query = target.partition("?")
                fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
                answer = await self.handle(method, path, fields, headers, body)
                if answer is None:
                    return
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(content)}\r\n\r\n"
                writer.write(head.encode() + content)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_all(self):
        """Resets all channels, as the end of a process does."""
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset_all()


def encode_request(method, path, host, body, headers):
    content = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(content)}"]
    if content:
        lines.append("Content-Type: application/json")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + content


async def call(ip, port, method, path, host="x", body=None, headers=None, timeout=10.0):
    """Sends one request on a channel of its own; returns status and decoded body, or None without a
    complete answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(encode_request(method, path, host, body, headers or {}))
            await writer.drain()
            message = await read_message(reader)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None
    first, _, content = message
    try:
        decoded = json.loads(content) if content else None
    except ValueError:
        decoded = None
    return int(first.split(" ")[1]), decoded


class Path:
    """The way of a client's channel to an entry, which forwards bytes both ways. When it breaks, the
    client's side is reset; the entry hears of it at once, or nothing for `late_s`."""

    def __init__(self, system, ip, port):
        self.system, self.target, self.ip, self.port = system, (ip, port), system.address(), port
        self.server, self.pairs, self.broken = None, [], []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    async def serve(self, reader, writer):
        try:
            entry_reader, entry_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, entry_writer)
        self.pairs.append(pair)
        back = asyncio.create_task(self.forward(entry_reader, writer, pair))
        self.system.background.append(back)
        await self.forward(reader, entry_writer, pair)

    async def forward(self, reader, writer, pair):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        if pair in self.pairs:
            writer.close()

    def break_all(self, late_s):
        """Breaks all channels."""
        pairs, self.pairs = self.pairs, []
        self.broken += pairs
        for client, entry in pairs:
            client.transport.abort()
            asyncio.get_running_loop().call_later(late_s, entry.transport.abort)

    def close(self):
        self.break_all(0)
        for _, entry in self.broken:
            entry.transport.abort()
        self.server.close()


# --- The platform's store ---------------------------------------------------------------------------

class Store:
    """The platform's store: keyed topics, each with partition 0."""

    def __init__(self, ip):
        self.ip = ip
        self.topics, self.changed = {}, asyncio.Condition()
        self.http = HttpServer(ip, STORE, self.handle)

    async def start(self):
        await self.http.start()

    async def put(self, topic, key, value):
        record = bytes([len(key)]) + key.encode() + value
        async with self.changed:
            self.topics.setdefault(topic, []).append(record)
            self.changed.notify_all()

    async def handle(self, method, path, query, _headers, body):
        topic = query.get("topic", "")
        if path == "/-/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, {}
            async with self.changed:
                records = self.topics.setdefault(topic, [])
                offset, at = len(records), 0
                while at < len(body):
                    (length,) = struct.unpack(">I", body[at:at + 4])
                    records.append(body[at + 4:at + 4 + length])
                    at += 4 + length
                self.changed.notify_all()
                return 200, {"offset": offset, "end": len(records)}
        if path == "/-/log-newest":
            records, newest = self.topics.get(topic, []), {}
            for offset, record in enumerate(records):
                size = record[0]
                key, value = record[1:1 + size].decode(), record[1 + size:]
                newest.pop(key, None)
                if value:
                    text = base64.b64encode(value).decode()
                    newest[key] = {"key": key, "value": text, "offset": offset}
            items = [newest[key] for key in sorted(newest)]
            return 200, {"items": items, "hasMore": False, "end": len(records)}
        if path == "/-/log-read":
            start, wait_s = int(query["from"]), int(query.get("waitMs", "0")) / 1000
            async with self.changed:
                records = self.topics.setdefault(topic, [])
                try:
                    async with asyncio.timeout(wait_s):
                        await self.changed.wait_for(lambda: len(records) > start)
                except asyncio.TimeoutError:
                    pass
                page = records[start:]
                content = struct.pack(">QQ", len(records), 0)
                content += b"".join(struct.pack(">I", len(r)) + r for r in page)
                return 200, content
        return 404, {}


# --- Executors --------------------------------------------------------------------------------------

class Executor:
    """An executor that doesn't guard its capacity. A task's `spec` is JSON whose `ms` is its run time."""

    def __init__(self, system, name, labels, cpu=32000, pool="svc"):
        self.system, self.name, self.pool = system, name, pool
        self.ip = system.address()
        self.labels, self.cpu = labels, cpu
        self.http = HttpServer(self.ip, APP, self.handle)
        self.tasks, self.life = [], 0
        self.starts = []          # (time, task, run, labels, state)
        self.runs = []            # [task, run, start, end, how]
        self.acked_draining = None  # time at which a ping with `draining` was acknowledged
        self.begin_life()

    def begin_life(self):
        self.life += 1
        self.id = f"i-{self.name}-{self.life}"
        self.born = int(time.time() * 1000)
        self.clock_start, self.seq, self.token = time.monotonic(), 0, 0
        self.lease_end, self.running, self.ended, self.next_end = 0, {}, [], 1
        self.highest, self.state = {}, "ready"
        self.end_listed = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.clock_start) * 1000)

    async def start(self):
        await self.http.start()
        self.tasks += [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    def stop(self):
        for task in self.tasks:
            task.cancel()
        self.http.close()

    def restart(self, labels):
        """A crash, after which the next life is there at once, at the same address."""
        self.http.reset_all()
        self.begin_life()
        self.labels = labels
        self.system.record.line(f"executor {self.name} is replaced by {self.id}, labels {labels}")
        self.tasks.append(asyncio.create_task(self.ping()))

    def ping_body(self):
        self.seq += 1
        body = {
            "service": self.pool, "address": f"{self.ip}:{APP}", "zone": "z1", "version": "v1",
            "slots": 8, "state": self.state, "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0}, "labels": self.labels,
            "clockMs": self.clock_ms(), "seq": self.seq, "born": self.born,
        }
        if self.state == "draining":
            body["drainRemainingMs"] = 1000
        return body

    async def ping(self):
        body, path = self.ping_body(), f"/-/Instances.Heartbeat/{self.id}"
        answer = await call(self.ip, CONTROL, "POST", path, body=body, timeout=1.0)
        is_acked = answer is not None and 200 <= answer[0] < 300
        if self.state != "ready" or not is_acked:
            text = f"ping of {self.id}: seq {body['seq']}, {body['state']} -> {answer}"
            self.system.record.line(text)
        if is_acked and body["state"] == "draining" and self.acked_draining is None:
            self.acked_draining = self.system.record.now()
        return is_acked

    async def beat(self):
        while True:
            is_acked = await self.ping()
            await asyncio.sleep(HEARTBEAT_S if is_acked else 0.2)

    def end(self, task, how):
        run, _, _ = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.ended.append([self.next_end, task, run, how, ""])
        self.next_end += 1
        self.end_listed.set()
        for row in reversed(self.runs):
            if row[:2] == [task, run]:
                row[3:] = [self.system.record.now(), how]
                break
        self.system.record.run(self.id, f"ended {how}", task, run)

    async def work(self):
        while True:
            await asyncio.sleep(0.002)
            now = self.clock_ms()
            if self.running and now >= self.lease_end:
                for task in list(self.running):
                    self.end(task, "lapsed")
            for task, (_, until, _) in list(self.running.items()):
                if now >= until:
                    self.end(task, "done")

    def extend(self, deadline):
        if deadline is not None:
            limit = self.clock_ms() + BOUNDS["maxHoldMs"]
            self.lease_end = max(self.lease_end, min(deadline, limit))

    def answer(self, status, reason=None, **more):
        body = {"clockMs": self.clock_ms(), "born": self.born, **more}
        if reason is not None:
            body["reason"] = reason
        return status, body

    async def handle(self, _method, path, _query, headers, body):
        if headers.get("expect-instance", self.id) != self.id:
            return self.answer(421)
        request = json.loads(body)
        token = request.get("fencingToken", 0)
        if token < self.token:
            return self.answer(409, "fence")
        self.token = token
        if path == "/-/run-start":
            return self.start_run(request)
        if path == "/-/run-stop":
            task, run = request["task"], request["run"]
            self.highest[task] = max(self.highest.get(task, 0), run)
            if task in self.running and self.running[task][0] == run:
                self.end(task, "stopped")
            return self.answer(200)
        if path == "/-/hold":
            return await self.hold(request)
        return self.answer(404)

    def start_run(self, request):
        task, run, deadline = request["task"], request["run"], request["deadlineMs"]
        if task in self.running and self.running[task][0] == run:
            return self.answer(200)
        if run <= self.highest.get(task, 0):
            self.extend(deadline)
            return self.answer(409, "old")
        if deadline <= self.clock_ms():
            return self.answer(409, "late")
        self.extend(deadline)
        spec = json.loads(request["spec"])
        self.running[task] = (run, self.clock_ms() + spec.get("ms", 100), 0)
        self.runs.append([task, run, self.system.record.now(), None, None])
        self.starts.append((self.system.record.now(), task, run, list(self.labels), self.state))
        self.system.record.run(f"{self.id} ({self.state})", "started", task, run)
        return self.answer(200)

    async def hold(self, request):
        last_seen = request.get("lastSeen", 0)
        self.ended = [row for row in self.ended if row[0] > last_seen]
        self.extend(request.get("deadlineMs"))
        born, wait_s = self.born, min(request.get("waitMs", 0), 2000) / 1000
        if not self.ended and wait_s:
            self.end_listed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self.end_listed.wait()
            except asyncio.TimeoutError:
                pass
        if born != self.born:
            return None
        running = [[task, run, "", 100, 1000] for task, (run, _, _) in self.running.items()]
        return self.answer(200, running=running, ended=self.ended[:500])


# --- The project's programs -------------------------------------------------------------------------

def fill(template, fields):
    """Fills in a template of the deploy file, as far as its templates need it."""
    def value(match):
        path, _, form = match.group(1).partition("|")
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
            if found is None:
                break
        if form == "json":
            return json.dumps(found)
        if found is None:
            return ""
        return json.dumps(found) if isinstance(found, (dict, bool)) else str(found)
    return re.sub(r"\{\{([^{}]+)\}\}", value, template)


class Node:
    """A machine with one of the project's programs, started as in the deploy file."""

    def __init__(self, system, name, role, ip, fields):
        self.system, self.name, self.role, self.ip, self.fields = system, name, role, ip, fields
        self.process, self.log = None, None
        self.settings = os.path.join(system.folder, f"{name}.yaml")
        self.ends_by_itself = 0

    def write_settings(self):
        template = {"direct-entry": "entry.yaml", "direct-agent": "agent.yaml"}[self.role]
        with open(os.path.join(ROOT, "deploy", template)) as file:
            text = fill(file.read(), self.fields)
        with open(self.settings + ".new", "w") as file:
            file.write(text)
        os.replace(self.settings + ".new", self.settings)

    def start(self):
        self.write_settings()
        self.log = open(os.path.join(self.system.folder, f"{self.name}.log"), "ab")
        command = [PROGRAM, self.role, "--config", self.settings]
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)

    def send(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self.process.wait()

    def peak_mb(self):
        """Returns the largest memory that the process has had, MB."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmHWM:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0


class System:
    """A small deployment: entries, executors with an agent beside each, the store."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.next_host = 1
        self.store, self.entries, self.agents, self.executors = None, [], [], []
        self.version = 0
        self.background = []

    def address(self):
        self.next_host += 1
        return f"{self.net}.{self.next_host}"

    async def start(self, entries, executors, routes, seeds=3, former=0):
        """`executors` are tuples of name, labels and CPU; `former` is the number of entry machines that
        the deployment has had before and that were removed for good."""
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program is not built")
        self.store = Store(self.address())
        await self.store.start()
        await self.configure(routes)
        await self.replace_former(former)
        entry_ips = [self.address() for _ in range(entries)]
        seed_list = [f"{ip}:{CONTROL}" for ip in entry_ips[:seeds]]
        for number, ip in enumerate(entry_ips, 1):
            name = f"edge-{number}"
            self.entries.append(Node(self, name, "direct-entry", ip, self.fields(name, ip, seed_list)))
        for name, labels, cpu in executors:
            executor = Executor(self, name, labels, cpu)
            self.executors.append(executor)
            node = f"side-{name}"
            fields = self.fields(node, executor.ip, seed_list)
            self.agents.append(Node(self, node, "direct-agent", executor.ip, fields))
        for node in self.entries + self.agents:
            node.start()
        for executor in self.executors:
            await executor.start()
        await self.until_ready()

    async def replace_former(self, count):
        """Runs entries on machines that are removed for good once they have announced themselves."""
        nodes = []
        for number in range(count):
            name, ip = f"edge-former-{number}", self.address()
            nodes.append(Node(self, name, "direct-entry", ip, self.fields(name, ip, [])))
        try:
            for node in nodes:
                node.start()
            for _ in range(200):
                if len(self.store.topics.get("keyed.entries", [])) >= count:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun("former entries did not announce themselves")
        finally:
            for node in nodes:
                node.kill()
        if count:
            self.record.line(f"{count} former entry machines were removed for good")

    def fields(self, name, ip, seeds):
        is_entry = name.startswith("edge")
        listen = {"control": f"{ip}:{CONTROL}"}
        if is_entry:
            listen.update({"front": f"{ip}:{FRONT}", "ready": f"{ip}:{READY}"})
        memory = 260 if is_entry else 128
        return {
            "node": name, "ip": ip, "zone": "z1", "region": "r1", "listenAddrs": listen,
            "internalPorts": [INTERNAL, INTERNAL + 15], "seeds": seeds,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": memory, "maxFds": 4100},
            "bounds": dict(BOUNDS), "app": None if is_entry else f"{ip}:{APP}",
            "platform": {"address": f"{self.store.ip}:{STORE}", "writesPerS": 800, "readsPerS": 2000},
        }

    async def configure(self, routes):
        self.version += 7
        services = [{"name": "svc", "admissionCheck": False}]
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "idleTimeoutMs": 15000}
        config = {"version": self.version, "routes": routes, "services": services, "limits": limits}
        await self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record.line(f"configuration {self.version} acknowledged")

    async def until_ready(self, timeout=20.0):
        end = time.monotonic() + timeout
        for entry in self.entries:
            while True:
                answer = await call(entry.ip, READY, "GET", "/-/readyz", timeout=1.0)
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(f"{entry.name} isn't ready")
                await asyncio.sleep(0.1)
        # All agents have to be known to all entries: one job after another finds each executor.
        await asyncio.sleep(2.0)
        self.record.line("the system is ready")

    async def submit(self, entry, job_id, steps, ms, patience_ms=10000, queue="q1", ip=None):
        """Submits a job that needn't be kept, by way of `ip` if that is given; returns its answer."""
        body = {"spec": json.dumps({"ms": ms}), "bestEffort": True, "steps": steps}
        self.record.line(f"client: POST {job_id} to {entry.name}")
        answer = await call(ip or entry.ip, FRONT, "POST", f"/{queue}/{job_id}", f"{queue}.example", body,
                            {"Deadline-Ms": patience_ms}, patience_ms / 1000 + 0.5)
        self.record.line(f"client: POST {job_id} at {entry.name} -> {answer}")
        return answer

    async def cancel(self, entry, job_id, queue="q1"):
        self.record.line(f"client: DELETE {job_id} to {entry.name}")
        path = f"/{queue}/{job_id}"
        answer = await call(entry.ip, FRONT, "DELETE", path, f"{queue}.example", timeout=4.0)
        self.record.line(f"client: DELETE {job_id} at {entry.name} -> {answer}")
        return answer

    def starts(self):
        return sorted(start for executor in self.executors for start in executor.starts)

    def stop(self):
        for task in self.background:
            task.cancel()
        for node in self.entries + self.agents:
            node.kill()
        for executor in self.executors:
            executor.stop()
        if self.store is not None:
            self.store.http.close()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def route(name="q1", **more):
    fields = {
        "name": name, "host": f"{name}.example", "pathPrefix": f"/{name}/", "service": "svc",
        "priority": 0, "maxAttempts": 4, "stretchFactor": 4.0, "targetCompletionMs": 5000,
        "timeoutMs": 10000,
    }
    fields.update(more)
    return fields


def job_id():
    return "".join(random.choice("0123456789abcdef") for _ in range(16))


def main(folder, scenario):
    """Runs `scenario(system)`, which returns the list of the rule's breaks. Exits with 1 if it is not
    empty, 0 if the rule held, and 2 if the case could not run."""
    async def run():
        system = System(folder)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(110):
                breaks = await scenario(system)
        except (Exception, asyncio.CancelledError) as error:
            system.record.line(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
            return 2
        finally:
            system.stop()
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)
        for text in breaks:
            system.record.line(f"BROKEN: {text}")
            print(f"BROKEN: {text}")
        if not breaks:
            system.record.line("the rule held")
            print("the rule held")
        return 1 if breaks else 0
    sys.exit(asyncio.run(run()))
