#!/usr/bin/env python3
"""Clients that leave with requests unread, and ids that come again: on a new connection, and at the other process of a
takeover. Prints, as one line of JSON, how late the last attempt came after its client had left, and how often an id ran.

Usage: leaving_clients.py PROGRAM close|reset|half [again|successor] [cycles]
"""
import asyncio
import json
import os
import random
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

from hostile_clients import command_channel, encode_response, fields, frame, read_command

CLIENTS = 30
EDITS = 32
EDIT_BYTES = 40_000
ENDPOINT_DELAY_S = 0.3
ARRIVED = {}


async def endpoint(reader, writer):
    async def answer(name):
        await asyncio.sleep(ENDPOINT_DELAY_S)
        writer.write(encode_response(name, b"ok", b"-", b"x" * 100))
    try:
        while True:
            words = await read_command(reader)
            if words[0] == b"want":
                ARRIVED.setdefault(words[1].decode(), []).append(time.time())
                asyncio.ensure_future(answer(words[1]))
    except (ValueError, asyncio.IncompleteReadError, ConnectionError):
        writer.close()


def edit(stream, number, size):
    pairs = [("route", "record-edits"), ("trace", f"{number:016x}"), ("patience", "2500"), ("entity", f"{number:016x}"),
             ("nth", "0"), ("batch", "3"), ("size", "1.0")]
    return frame(7, stream, fields(pairs) + b"e" * size)


def leave(address, how, first, size, left):
    """Writes edits and leaves at once; records when it left for each id."""
    stream = socket.create_connection(address)
    content = b"".join(edit(n + 1, first + n, size) for n in range(EDITS))
    stream.settimeout(0.3)
    try:
        stream.sendall(content)
    except OSError:
        pass
    if how == "reset":
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if how == "half":
        stream.shutdown(socket.SHUT_WR)
    now = time.time()
    left.update({f"{first + n:016x}": now for n in range(EDITS)})
    if how != "half":
        stream.close()
    return stream


def busy_traffic(address, until):
    """A client that keeps the turns full with questions, beside those that leave."""
    stream = socket.create_connection(address)
    stream.settimeout(0.01)
    while time.time() < until:
        try:
            stream.sendall(frame(1, 0, b"\0") * 500)
            stream.recv(1 << 16)
        except OSError:
            pass


def play(address, second_address, how, again, cycles):
    left, held = {}, []
    until = time.time() + 1 + cycles
    traffic = threading.Thread(target=busy_traffic, args=(address, until))
    traffic.start()
    for cycle in range(cycles):
        threads = []
        for client in range(CLIENTS):
            first = 1 + (cycle * CLIENTS + client) * EDITS
            size = 0 if client % 2 else EDIT_BYTES
            run = lambda first=first, size=size: held.append(leave(address, how, first, size, left))
            threads.append(threading.Thread(target=run))
            threads[-1].start()
        for thread in threads:
            thread.join()
        time.sleep(0.7)
        if again:
            for client in range(0, CLIENTS, 3):
                first = 1 + (cycle * CLIENTS + client) * EDITS
                stream = socket.create_connection(second_address)
                stream.sendall(b"".join(edit(n + 1, first + n, 0) for n in range(EDITS)))
                held.append(stream)
    traffic.join()
    time.sleep(3)
    return left


async def main():
    program, how = sys.argv[1], sys.argv[2]
    again = sys.argv[3] if len(sys.argv) > 3 else ""
    cycles = int(sys.argv[4]) if len(sys.argv) > 4 else 3
    config = json.load(open(os.path.join(os.path.dirname(__file__), "../examples/config.json")))
    host = f"127.{1 + os.getpid() % 200}.{os.getpid() // 200 % 250}.2"
    for instance in config["known"]["cmds"][0]["nodes"]["instances"]:
        server = await asyncio.start_server(endpoint, host, 0, limit=1 << 20)
        instance["hostPort"] = f"{host}:{server.sockets[0].getsockname()[1]}"
    server = await asyncio.start_server(command_channel, host, 0)
    config.update(channel=f"{host}:{server.sockets[0].getsockname()[1]}", listen=f"{host}:19191")
    config["limits"].update(memory_mb=64, sockets=1024)
    config["settings"]["classes"][2]["semantics"] = "at_most_once"
    folder = tempfile.mkdtemp(prefix="leaving-")
    processes = []

    def start(number):
        path = f"{folder}/config-{number}.json"
        json.dump(config, open(path, "w"))
        environment = {**os.environ, "PROXY_CONFIG": path, "PROXY_LISTEN": config["listen"], "TMPDIR": folder}
        log = open(f"{folder}/log-{number}", "w")
        processes.append(subprocess.Popen([program], env=environment, stdout=log, stderr=log))

    async def wait_listening():
        while True:
            try:
                return (await asyncio.open_connection(host, 19191))[1].close()
            except OSError:
                await asyncio.sleep(0.02)

    start(0)
    await wait_listening()
    await asyncio.sleep(1)
    address = (host, 19191)
    if again == "successor":
        # The requests are written to the first process, the second takes over, and the ids come again there.
        left = await asyncio.to_thread(play, address, address, how, False, 1)
        left = {}
        held = []
        first = 1_000_000
        streams = [socket.create_connection(address) for _ in range(10)]
        await asyncio.sleep(0.2)
        start(1)
        await asyncio.sleep(1.5)
        for client, stream in enumerate(streams):
            stream.sendall(b"".join(edit(n + 1, first + client * EDITS + n, 0) for n in range(8)))
        await asyncio.sleep(0.1)
        for stream in streams:
            stream.close()
        now = time.time()
        left = {f"{first + client * EDITS + n:016x}": now for client in range(10) for n in range(8)}
        await asyncio.sleep(0.5)
        for client in range(10):
            stream = socket.create_connection(address)
            stream.sendall(b"".join(edit(n + 1, first + client * EDITS + n, 0) for n in range(8)))
            held.append(stream)
        await asyncio.sleep(3)
    else:
        left = await asyncio.to_thread(play, address, address, how, again == "again", cycles)
    late = [times[0] - left[name] for name, times in ARRIVED.items() if name in left]
    counts = [len(times) for name, times in ARRIVED.items() if name in left]
    after = [span for span in late if span > 0]
    print(json.dumps({"how": how, "again": again, "ids": len(left), "ran": len(counts),
        "ran_more_than_once": sum(count > 1 for count in counts), "most_runs": max(counts, default=0),
        "first_attempts_after_leaving": len(after), "latest_ms": round(max(after, default=0) * 1000, 1)}))
    for process in processes:
        process.send_signal(signal.SIGTERM)
    for process in processes:
        process.wait(9)
    os._exit(0)


if __name__ == "__main__":
    asyncio.run(main())
