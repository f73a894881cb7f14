#!/usr/bin/env python3
"""Measures one process of the router while clients misbehave for some seconds: its own memory (RssAnon), the
response times of ten clients that behave, its log lines and its longest turn.

Usage: hostile_clients.py PROGRAM PICTURE [SECONDS] [MEMORY_MB] [DESCRIPTORS]; prints one line of JSON. Endpoints, command
channel and clients are stand-ins of this file, on loopback. The bad clients run in a process of their own.
"""
import asyncio
import json
import os
import random
import re
import resource
import selectors
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ENDPOINT_DELAY_S = 0.02
BODY_BYTES = 20_000
USUAL_CLIENTS = 10
USUAL_PER_S = 100
PATIENCE_MS = 2_500
CROWD = 600
CALM_S = 1.5
AFTER_S = 3.0
RANDOM = random.Random(os.getpid())


def frame(kind, stream, payload=b""):
    return struct.pack(">IBI", 5 + len(payload), kind, stream) + payload


def fields(pairs):
    out = bytes([len(pairs)])
    for name, value in pairs:
        out += bytes([len(name)]) + name.encode() + struct.pack(">H", len(value)) + value.encode()
    return out


def request(stream, route="images", more=(), body=b"", number=None):
    pairs = [("route", route), ("trace", f"{RANDOM.getrandbits(64) if number is None else number:016x}"),
             ("patience", str(PATIENCE_MS)), ("entity", f"{RANDOM.randrange(9999):016x}"), ("nth", "0"),
             ("batch", "3"), ("size", "50.0")]
    return frame(7, stream, fields(pairs + list(more)) + body)


READY = frame(1, 0, b"\0")
SHORT_FIELDS = [(chr(97 + i // 26) + chr(97 + i % 26), "") for i in range(240)]


class Crowd:
    """Connections that write what a generator gives, each at its own pace, and read or don't."""

    def __init__(self, address, count, reads):
        self.address, self.reads = address, reads
        self.sockets = [self.connect() for _ in range(count)]

    def connect(self):
        while True:
            try:
                stream = socket.create_connection(self.address)
                stream.setblocking(False)
                stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                return stream
            except OSError:
                time.sleep(0.01)

    def read(self, stream):
        try:
            while stream.recv(65536):
                pass
            return False
        except BlockingIOError:
            return True
        except OSError:
            return False


def send_steps(crowd, steps, pause_s, until):
    """Writes the next of each connection's steps once a pause; a connection that has ended begins again."""
    at = {stream: 0 for stream in crowd.sockets}
    while time.time() < until:
        for index, stream in enumerate(crowd.sockets):
            if crowd.reads and not crowd.read(stream):
                stream.close()
                at.pop(stream, None)
                crowd.sockets[index] = stream = crowd.connect()
                at[stream] = 0
            if at[stream] < len(steps):
                try:
                    stream.send(steps[at[stream]])
                    at[stream] += 1
                except BlockingIOError:
                    pass
                except OSError:
                    crowd.sockets[index] = crowd.connect()
                    at[crowd.sockets[index]] = 0
        time.sleep(pause_s)


def flood(address, count, reads, make, until):
    """Writes without end on each connection what `make` gives next; comes again when a connection ends."""
    crowd = Crowd(address, count, reads)
    pending = {stream: [b"", 0] for stream in crowd.sockets}
    selector = selectors.DefaultSelector()
    for stream in crowd.sockets:
        selector.register(stream, selectors.EVENT_READ | selectors.EVENT_WRITE)
    sent = 0
    while time.time() < until:
        for key, events in selector.select(0.05):
            stream = key.fileobj
            alive = not (events & selectors.EVENT_READ) or not reads or crowd.read(stream)
            if alive and events & selectors.EVENT_WRITE:
                state = pending[stream]
                if not state[0]:
                    state[0], state[1] = make(state[1])
                try:
                    count_sent = stream.send(state[0])
                    state[0] = state[0][count_sent:]
                    sent += count_sent
                except BlockingIOError:
                    pass
                except OSError:
                    alive = False
            if not alive:
                selector.unregister(stream)
                stream.close()
                pending.pop(stream)
                stream = crowd.connect()
                pending[stream] = [b"", 0]
                selector.register(stream, selectors.EVENT_READ | selectors.EVENT_WRITE)
    return sent


def many_ready(stream):
    return READY * 4000, stream


def many_requests(stream):
    count = 16
    out = b"".join(request(stream + n, "clip-parts") for n in range(1, count + 1))
    return out, stream + count


def many_fields(stream):
    out = b"".join(request(stream + n, more=SHORT_FIELDS) for n in range(1, 5))
    return out, stream + 4


def many_cancels(stream):
    out = b"".join(request(stream + n) + frame(9, stream + n) for n in range(1, 33))
    return out, stream + 32


def cancels_of_earlier(stream):
    """Cancels 32 requests of the call before, whose attempts may have begun, and makes 32 new ones."""
    cancels = b"".join(frame(9, stream - n) for n in range(32) if stream > n)
    return cancels + b"".join(request(stream + n) for n in range(1, 33)), stream + 32


def unknown_cancels(stream):
    return b"".join(frame(9, RANDOM.getrandbits(31)) for _ in range(2000)), stream


def unknown_class(stream):
    return request(stream + 1, f"class-{RANDOM.getrandbits(48):x}"), stream + 1


def unsound(stream):
    return request(stream + 1, more=[("batch", "3")]), stream + 1


def new_field_names(stream):
    names = [(f"{RANDOM.getrandbits(40):x}", "v") for _ in range(100)]
    return request(stream + 1, more=names), stream + 1


LARGE = request(1, "record-edits", [("nonce", "5c0f6e1a2b3d4c59")], b"e" * 46_800)
STEPS = [LARGE[at:at + 4_000] for at in range(0, len(LARGE), 4_000)]
USED = [READY]


def misbehave(address, picture, seconds):
    until = time.time() + seconds
    if picture.startswith("slow"):
        first = USED if "used" in picture else []
        send_steps(Crowd(address, CROWD, True), first + STEPS, 0.1, until)
    elif picture.startswith("stop"):
        first = USED if "used" in picture else []
        send_steps(Crowd(address, CROWD, True), first + [LARGE[:40_000]], 0.1, until)
    elif picture == "fields":
        burst = b"".join(request(n, more=SHORT_FIELDS) for n in range(1, 41))
        send_steps(Crowd(address, CROWD, True), [burst[at:at + 60_000] for at in range(0, len(burst), 60_000)], 0.05, until)
    elif picture == "heads":
        head = request(1, more=SHORT_FIELDS)
        send_steps(Crowd(address, CROWD, True), USED + [head[at:at + 40] for at in range(0, len(head) - 40, 40)], 0.05, until)
    elif picture == "ready-unread":
        flood(address, CROWD, False, many_ready, until)
    elif picture == "mixed":
        for which in ["slow", "stop-used", "fields", "heads", "ready-unread"]:
            if os.fork() == 0:
                globals()["CROWD"] = 120
                misbehave(address, which, seconds)
                os._exit(0)
        time.sleep(seconds)
    else:
        makers = {"one-ready": many_ready, "one-request": many_requests, "one-fields": many_fields,
                  "one-cancel": many_cancels, "one-cancel-later": cancels_of_earlier, "one-unknown-cancel": unknown_cancels,
                  "one-class": unknown_class, "one-unsound": unsound, "one-names": new_field_names}
        flood(address, 1, True, makers[picture], until)


async def read_command(reader):
    """Reads an array of bulk strings."""
    count = int((await reader.readline())[1:] or b"x")
    words = []
    for _ in range(count):
        size = int((await reader.readline())[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


def encode_response(*words):
    """Encodes an endpoint's response."""
    return b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


async def endpoint(reader, writer):
    async def answer(name, body_wanted):
        await asyncio.sleep(ENDPOINT_DELAY_S)
        note = f"tag=4be0c1927d55a6f3,minted={int(time.time() * 1000)},note=hit".encode()
        writer.write(encode_response(name, b"ok", note, b"x" * body_wanted))
    try:
        while True:
            words = await read_command(reader)
            if words[0] == b"want":
                asyncio.ensure_future(answer(words[1], BODY_BYTES))
    except (ValueError, asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def command_channel(reader, writer):
    try:
        cursor = await reader.readexactly(8)
        while True:
            writer.write(struct.pack(">I", 9) + cursor + b"\0")
            await writer.drain()
            await asyncio.sleep(1)
    except (asyncio.IncompleteReadError, ConnectionError):
        pass


class UsualClient:
    def __init__(self):
        self.sent, self.times, self.codes, self.ended = {}, [], {}, 0

    async def run(self, address, until, number):
        reader = writer = None
        stream = 0
        await asyncio.sleep(number / USUAL_PER_S)
        while time.time() < until:
            if writer is None:
                reader, writer = await asyncio.open_connection(*address)
                stream, self.sent = 0, {}
                task = asyncio.ensure_future(self.read(reader, self.sent))
            if task.done():
                self.ended += len(self.sent)
                writer = None
                continue
            stream += 1
            self.sent[stream] = time.time()
            writer.write(request(stream))
            await asyncio.sleep(USUAL_CLIENTS / USUAL_PER_S)
        await asyncio.sleep(PATIENCE_MS / 1000 + 0.5)
        task.cancel()

    async def read(self, reader, sent):
        try:
            while True:
                length = int.from_bytes(await reader.readexactly(4), "big")
                content = await reader.readexactly(length)
                stream = int.from_bytes(content[1:5], "big")
                if content[0] == 8 and stream in sent:
                    self.times.append(time.time() - sent.pop(stream))
                    self.codes[content[5]] = self.codes.get(content[5], 0) + 1
        except (asyncio.IncompleteReadError, ConnectionError):
            return


def own_memory_kb(process):
    try:
        text = open(f"/proc/{process.pid}/status").read()
        return int(re.search(r"RssAnon:\s+(\d+)", text)[1])
    except (OSError, TypeError):
        return 0


async def main():
    program, picture = sys.argv[1], sys.argv[2]
    seconds = float(sys.argv[3]) if len(sys.argv) > 3 else 5.0
    memory_mb = int(sys.argv[4]) if len(sys.argv) > 4 else 32
    descriptors = int(sys.argv[5]) if len(sys.argv) > 5 else 1024
    config = json.load(open(os.path.join(os.path.dirname(__file__), "../examples/config.json")))
    host = f"127.{1 + os.getpid() % 200}.{os.getpid() // 200 % 250}.1"
    for instance in config["known"]["cmds"][0]["nodes"]["instances"]:
        server = await asyncio.start_server(endpoint, host, 0, limit=1 << 20)
        instance["hostPort"] = f"{host}:{server.sockets[0].getsockname()[1]}"
    server = await asyncio.start_server(command_channel, host, 0)
    config["channel"] = f"{host}:{server.sockets[0].getsockname()[1]}"
    config["listen"] = f"{host}:19190"
    config["limits"].update(memory_mb=memory_mb, sockets=descriptors)
    folder = tempfile.mkdtemp(prefix="hostile-")
    path = folder + "/config.json"
    json.dump(config, open(path, "w"))
    environment = {**os.environ, "PROXY_CONFIG": path, "PROXY_LISTEN": config["listen"], "TMPDIR": folder}
    limit = lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))
    process = subprocess.Popen([program], env=environment, stdout=open(folder + "/log", "w"), stderr=subprocess.STDOUT, preexec_fn=limit)
    address = (host, 19190)
    while True:
        try:
            (await asyncio.open_connection(*address))[1].close()
            break
        except OSError:
            await asyncio.sleep(0.02)
    begin = time.time()
    until = begin + CALM_S + (seconds if picture != "none" else 5) + AFTER_S
    usual = [UsualClient() for _ in range(USUAL_CLIENTS)]
    tasks = [asyncio.ensure_future(client.run(address, until, number)) for number, client in enumerate(usual)]
    bad, most_kb, marks, died = None, 0, {}, False
    while time.time() < until + 0.5:
        now = time.time() - begin - CALM_S
        if bad is None and now >= 0 and picture != "none":
            bad = os.fork()
            if bad == 0:
                resource.setrlimit(resource.RLIMIT_NOFILE, (4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
                misbehave(address, picture, seconds)
                os._exit(0)
        held = own_memory_kb(process)
        most_kb = max(most_kb, held)
        for mark in (1, 5):
            if now >= mark and mark not in marks:
                marks[mark] = held
        died = died or process.poll() is not None
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks, return_exceptions=True)
    process.send_signal(signal.SIGTERM)
    try:
        process.wait(9)
    except subprocess.TimeoutExpired:
        process.kill()
    if bad:
        os.waitpid(bad, 0)
    log = open(folder + "/log").read()
    times = sorted(t for client in usual for t in client.times)
    codes = {}
    for client in usual:
        for code, count in client.codes.items():
            codes[code] = codes.get(code, 0) + count
    at = lambda share: round(times[int(share * (len(times) - 1))] * 1000, 1) if times else None
    turns = [int(turn) for turn in re.findall(r"longest_turn: (\d+)", log)]
    print(json.dumps({"picture": picture, "memory_mb": memory_mb, "descriptors": descriptors, "most_kb": most_kb,
        "kb_after_1_and_5_s": marks, "p50_ms": at(0.5), "p99_ms": at(0.99), "worst_ms": at(1.0), "codes": codes,
        "unanswered": sum(len(client.sent) for client in usual), "ended": sum(client.ended for client in usual),
        "log_lines": log.count("\n"), "longest_turn_ms": max(turns, default=0) / 1000, "died": died}))

if __name__ == "__main__":
    asyncio.run(main())
