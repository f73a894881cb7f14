#!/usr/bin/env python3
"""CPU time of the router for a request, for several programs in turn: request_cost.py ROUNDS PROGRAM PROGRAM...
Each play starts a process, lets eight clients make requests of one kind, and reads /proc/PID/schedstat. One line of JSON."""
import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time

import hostile_clients
from hostile_clients import command_channel, endpoint, request

CLIENTS, BATCH, PLAY_S = 8, 16, 4.0


def cpu_ns(process):
    return sum(int(open(f"/proc/{process.pid}/task/{task}/schedstat").read().split()[0])
               for task in os.listdir(f"/proc/{process.pid}/task"))


async def client(address, until, done):
    reader, writer = await asyncio.open_connection(*address)
    stream = 0
    while time.time() < until:
        writer.write(b"".join(request(stream + n) for n in range(1, BATCH + 1)))
        stream += BATCH
        for _ in range(BATCH):
            length = int.from_bytes(await reader.readexactly(4), "big")
            content = await reader.readexactly(length)
            done[content[5]] = done.get(content[5], 0) + 1
    writer.close()


async def play(program, number):
    config = json.load(open(os.path.join(os.path.dirname(__file__), "../examples/config.json")))
    host = f"127.{1 + os.getpid() % 200}.{number % 250}.3"
    for instance in config["known"]["cmds"][0]["nodes"]["instances"]:
        server = await asyncio.start_server(endpoint, host, 0, limit=1 << 20)
        instance["hostPort"] = f"{host}:{server.sockets[0].getsockname()[1]}"
    server = await asyncio.start_server(command_channel, host, 0)
    config.update(channel=f"{host}:{server.sockets[0].getsockname()[1]}", listen=f"{host}:19192")
    folder = tempfile.mkdtemp(prefix="cost-")
    json.dump(config, open(folder + "/config.json", "w"))
    environment = {**os.environ, "PROXY_CONFIG": folder + "/config.json", "PROXY_LISTEN": config["listen"], "TMPDIR": folder}
    log = open(folder + "/log", "w")
    process = subprocess.Popen([program], env=environment, stdout=log, stderr=log)
    await asyncio.sleep(1.5)
    before, done = cpu_ns(process), {}
    until = time.time() + PLAY_S
    await asyncio.gather(*[client((host, 19192), until, done) for _ in range(CLIENTS)])
    spent = cpu_ns(process) - before
    process.send_signal(signal.SIGTERM)
    process.wait(9)
    return spent / 1000 / sum(done.values()), done


async def main():
    rounds, programs = int(sys.argv[1]), sys.argv[2:]
    hostile_clients.BODY_BYTES = 2_000
    costs = {program: [] for program in programs}
    for number in range(rounds):
        for index, program in enumerate(programs):
            cost, done = await play(program, number * len(programs) + index + 1)
            costs[program].append(round(cost, 1))
    print(json.dumps({"cpu_us_per_request": costs, "last": done}))
    os._exit(0)


asyncio.run(main())
