#!/usr/bin/env python3
"""An origin dies with requests open, and another one, of another cell, comes up at its address. Keyed edits whose repeats
are discarded within a cell must not run at both once the router has been told. Prints one line of JSON.

Usage: replaced_endpoint.py PROGRAM TOLD_AFTER_S [same]; `same`: the new process has the old one's id and a later start.
"""
import asyncio
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

from hostile_clients import encode_response, fields, frame, read_command

EDITS_PER_S, REPLACED_AT_S, RUN_S = 50, 2.0, 7.0
ARRIVED = {"old": {}, "new": {}, "cache": {}}
ANSWER_AFTER_S = {"old": 1.0, "new": 0.05, "cache": 0.05}


def endpoint_of(name, connections):
    async def serve(reader, writer):
        connections.append(writer)

        async def answer(request):
            await asyncio.sleep(ANSWER_AFTER_S[name])
            writer.write(encode_response(request, b"ok", b"-", b"x" * 100))
        try:
            while True:
                words = await read_command(reader)
                if words[0] == b"want":
                    ARRIVED[name].setdefault(words[1].decode(), []).append(time.time())
                    asyncio.ensure_future(answer(words[1]))
        except (ValueError, asyncio.IncompleteReadError, ConnectionError):
            writer.close()
    return serve


def record(number, address, state, cell, started):
    host, port = address
    return struct.pack(">I4sHBBBHIQ", number, socket.inet_aton(host), port, state, 0, 2, cell, 20_000, started)


async def main():
    program, told_after = sys.argv[1], float(sys.argv[2])
    is_same = "same" in sys.argv[3:]
    config = json.load(open(os.path.join(os.path.dirname(__file__), "../examples/config.json")))
    host = f"127.{1 + os.getpid() % 200}.{os.getpid() // 200 % 250}.4"
    connections, addresses = [], []
    instances = config["known"]["cmds"][0]["nodes"]["instances"]
    for instance in instances:
        name = "old" if instance["machineType"] == "origin" else "cache"
        server = await asyncio.start_server(endpoint_of(name, connections if name == "old" else []), host, 0)
        addresses.append((host, server.sockets[0].getsockname()[1]))
        instance["hostPort"] = f"{host}:{addresses[-1][1]}"
    origin_server, origin = server, addresses[-1]
    told = asyncio.Event()

    async def channel(reader, writer):
        cursor = int.from_bytes(await reader.readexactly(8), "big")
        try:
            while True:
                if told.is_set() and cursor < 2:
                    cursor = 2
                    now_ms = int(time.time() * 1000)
                    if is_same:
                        records = record(4, origin, 0, 1, now_ms)
                    else:
                        records = record(4, origin, 2, 0, 0) + record(5, origin, 0, 1, now_ms)
                    writer.write(struct.pack(">IQB", 9 + len(records), 2, 2) + records)
                writer.write(struct.pack(">IQB", 9, cursor, 0))
                await writer.drain()
                await asyncio.sleep(0.05)
        except ConnectionError:
            pass

    server = await asyncio.start_server(channel, host, 0)
    config.update(channel=f"{host}:{server.sockets[0].getsockname()[1]}", listen=f"{host}:19193")
    edits = config["settings"]["classes"][2]
    edits.update({"dedup-scope": "cell", "semantics": "deduplicated"})
    folder = tempfile.mkdtemp(prefix="replaced-")
    json.dump(config, open(folder + "/config.json", "w"))
    environment = {**os.environ, "PROXY_CONFIG": folder + "/config.json", "PROXY_LISTEN": config["listen"], "TMPDIR": folder}
    log = open(folder + "/log", "w")
    process = subprocess.Popen([program], env=environment, stdout=log, stderr=log)
    await asyncio.sleep(1.5)
    clients = [await asyncio.open_connection(host, 19193) for _ in range(8)]
    codes, begin, number, replaced_at, told_at = {}, time.time(), 0, None, None

    async def read(reader):
        while True:
            content = await reader.readexactly(int.from_bytes(await reader.readexactly(4), "big"))
            codes[content[5]] = codes.get(content[5], 0) + 1
    tasks = [asyncio.ensure_future(read(reader)) for reader, _ in clients]
    while time.time() < begin + RUN_S:
        now = time.time() - begin
        if replaced_at is None and now > REPLACED_AT_S:
            replaced_at = time.time()
            origin_server.close()
            for connection in connections:
                connection.transport.abort()
            for _ in range(100):
                try:
                    await asyncio.start_server(endpoint_of("new", []), *origin)
                    break
                except OSError:
                    await asyncio.sleep(0.01)
        if replaced_at and told_at is None and time.time() > replaced_at + told_after:
            told_at = time.time()
            told.set()
        if sum(codes.values()) > number - 200:
            number += 1
            pairs = [("route", "record-edits"), ("trace", f"{number:016x}"), ("patience", "2500"), ("nth", "0"),
                     ("nonce", f"{number:032x}"), ("entity", f"{number:016x}"), ("batch", "3"), ("size", "1.0")]
            clients[number % 8][1].write(frame(7, number, fields(pairs) + b"edit"))
        await asyncio.sleep(1 / EDITS_PER_S)
    await asyncio.sleep(2.6)
    ended = sum(task.done() for task in tasks)
    for task in tasks:
        task.cancel()
    at_both = {name: times for name, times in ARRIVED["new"].items() if name in ARRIVED["old"]}
    after_told = sum(times[-1] > told_at + 0.1 for times in at_both.values())
    print(json.dumps({"told_after_s": told_after, "same_id": is_same, "edits": number, "codes": codes, "ended_connections": ended,
        "at_old": len(ARRIVED["old"]), "at_new": len(ARRIVED["new"]), "at_both": len(at_both),
        "at_both_after_told": after_told}))
    process.send_signal(signal.SIGTERM)
    process.wait(9)
    os._exit(0)


asyncio.run(main())
