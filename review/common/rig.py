"""Small stand-ins for the platform of `mallowseam host`: configuration, discovery, HTTP framing, records.

Only the standard library is used. Every address is in 127.0.0.0/8.
"""
import asyncio
import json
import os
import random
import selectors
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
KEPT, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


def disrupted():
    """Whether the disruption of the case is played (`TROUBLE=0` leaves it out)."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes `record.txt`: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.started = time.time()

    def __call__(self, *fields):
        self.file.write(f"{time.time() - self.started:9.4f} " + " ".join(str(f) for f in fields) + "\n")


def new_network():
    """Returns a random prefix of 127.0.0.0/8 for the addresses of one run."""
    return f"127.{random.randint(60, 250)}.{random.randint(1, 250)}"


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def deploy_command(name):
    with open(os.path.join(ROOT, "deploy/balancer.toml"), "rb") as file:
        return tomllib.load(file)[name]


def base_settings(**changes):
    """The settings object of the wire page's example (gandhinagar-main), for the case to change."""
    settings = {
        "balancers": 1, "me": 0, "tier": 0, "tick_us": 2000, "workload": "stores", "weight_kind": "nominal",
        "localities": ["gnr-dc1"], "zone": "gnr-dc1", "machine_types": ["std-1c"], "tiers": ["ledger-store"],
        "registry_mode": "on_request", "clients": {"marks_retry": False},
        "report": {"columns": [], "via": "off"},
        "costs": {"connection": 0.0, "cross_zone": 0.0, "handshake": 0.0, "late_fail": 0.0, "moves": 0.0,
                  "origin": 0.0, "peer": 0.0, "probe": 0.0, "registry_mode": 0.003, "waste": 0.065},
        "goal": {"whole": 0.65, "worst_class": 0.0, "worst_tenant": 0.2, "worst_window": 0.15},
        "extra": {"class_writes": [False, True], "cold_bears": 70.0, "counts_others": False, "largest": 8,
                  "mean_units": 2.19, "meter_us": 0, "shards": 8, "spare_worth": 0.1, "within_share": 0.35},
        "limits": {"cancel": True, "connect_timeout_us": 250000, "cpu_us_per_request": 0.0,
                   "cpu_us_per_s": 612136, "idle_close_us": 30000000, "max_attempts": 3,
                   "max_retry_after_us": 1000000, "may_duplicate": False, "open_cap": 24485,
                   "peer_messages": False, "probes": False, "retry_after": False, "streams_per_conn": 32},
        "profiles": [
            {"name": "lookup", "aim_us": 200000, "deadline_us": 1000000, "key_scope": "all",
             "key_ttl_us": 5000000, "late_share": 0.2, "repeat": "idempotent", "stream": False, "worth": 3.0},
            {"name": "post", "aim_us": 250000, "deadline_us": 2000000, "keep_order": True, "key_scope": "all",
             "key_ttl_us": 5000000, "late_share": 0.15, "repeat": "at_most_once", "stream": False, "worth": 2.0}],
        "rules": {"ask_within_us": 10000000, "cold_from": 0.2, "cold_us": 18000000, "drain_grace_us": 250000,
                  "extra_ratio": 0.25, "fall_multiple": 4.0, "fall_us": 2000000, "free_resends": 3.0,
                  "grace_to_answer_us": 8000, "look_back_us": 5000000, "order_pause_us": 200000},
        "service_levels": [
            {"name": "standard", "floor_rate": 6.1, "limit": 0.0, "limit_burst": 0.0, "limit_slack": 0.0,
             "usual_rate": 5.1, "weight": 3.0, "worth_factor": 0.9},
            {"name": "priority", "floor_rate": 9.1, "limit": 0.0, "limit_burst": 0.0, "limit_slack": 0.0,
             "usual_rate": 7.6, "weight": 6.0, "worth_factor": 1.5}]}
    settings.update(changes)
    return settings


class Message:
    """A parsed HTTP/1.1 message."""

    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body


def take_message(buffer):
    """Removes a complete message from the front of a bytearray. Returns None while it is incomplete."""
    end = buffer.find(b"\r\n\r\n")
    if end < 0:
        return None
    lines = bytes(buffer[:end]).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    if len(buffer) < end + 4 + length:
        return None
    body = bytes(buffer[end + 4:end + 4 + length])
    del buffer[:end + 4 + length]
    return Message(lines[0], headers, body)


def brick_entry(name, address, shard, health="ready", born_ms=0, zone="gnr-dc1"):
    return {"host": name, "dial": address, "site": zone, "class": "std-1c", "block": shard,
            "health": health, "share": 1.0, "born_ms": born_ms}


class Discovery:
    """The discovery service: whole lists and watches, with an empty line every 2 s."""

    def __init__(self, entries):
        self.entries, self.seq, self.watches = entries, 41, set()

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address, 0)
        return "%s:%d" % self.server.sockets[0].getsockname()

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": self.entries}

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                if "follow=1" not in head.split("\r\n")[0]:
                    text = json.dumps(self.whole()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.send(writer, json.dumps(self.whole()) + "\n")
                while True:
                    await asyncio.sleep(2.0)
                    self.send(writer, "\n")
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    @staticmethod
    def send(writer, text):
        data = text.encode()
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")


class HostProcess:
    """One `mallowseam host`, started by the `run` line of the deploy file."""

    def __init__(self, name, listen, discovery, settings, known, record, memory_mb=192, sockets=1024):
        self.listen, self.record = listen, record
        self.folder = tempfile.mkdtemp(prefix="review-host-")
        self.config = os.path.join(self.folder, "config.json")
        with open(self.config, "w") as file:
            json.dump({"name": name, "listen": listen, "discovery": discovery,
                       "seed": "%016x" % random.getrandbits(64),
                       "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                       "known": known, "settings": settings}, file)
        self.env = dict(os.environ, GW_NAME=name, GW_LISTEN=listen, GW_DISCOVERY=discovery,
                        GW_CONFIG=self.config, TMPDIR=self.folder)
        self.log = open(os.path.join(self.folder, "log.txt"), "wb")
        command = deploy_command("run")
        record("host", name, "starts:", command, "listen", listen)
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=self.env,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=subprocess.STDOUT)

    async def ready(self, bound=20.0):
        address, port = self.listen.rsplit(":", 1)
        until = time.time() + bound
        while time.time() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"host ended at once: {self.log_text()[-500:]}")
            try:
                reader, writer = await asyncio.open_connection(address, int(port))
                writer.write(b"GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 2.0)
                writer.close()
                if b" 200 " in line:
                    return
            except (ConnectionError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("host did not become ready")

    def log_text(self):
        with open(self.log.name, "rb") as file:
            return file.read().decode("utf-8", "replace")

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(5)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait(5)
        self.record("host ended with code", self.process.returncode)
        self.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(main):
    """Runs a case's coroutine, which returns the exit code. Timers are exact to some ten microseconds."""
    loop = asyncio.SelectorEventLoop(selectors.SelectSelector())
    try:
        return loop.run_until_complete(asyncio.wait_for(main, 110))
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return COULD_NOT_RUN
    finally:
        loop.set_exception_handler(lambda loop, context: None)
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        if left:
            loop.run_until_complete(asyncio.wait(left, timeout=2))
        loop.close()
