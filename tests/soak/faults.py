"""Servers whose calls can fail as `plan.CallFault` says, and a proxy before a host's port for others."""

import collections
import http.client
import json
import os
import select
import socket
import struct
import sys
import threading
import time
import urllib.parse

sys.dont_write_bytecode = True
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "lib"))
import standins  # noqa: E402

LOGGED = ("task", "runId", "fencingToken", "deadlineMs", "lastSeen")
SILENCE_S = 10.0  # a connection without an answer stays open for so long unless the caller closes it


class Faults:
    """The armed faults of calls, and until when anything has been disturbed."""

    def __init__(self, record):
        self.record, self.lock = record, threading.Lock()
        self.armed, self.hits = [], collections.Counter()
        self.late = {}  # worker -> until when its calls are late, plan.LateCalls
        self.disturbed_until = time.monotonic()

    def take(self, kinds, place):
        with self.lock:
            fault = next((fault for fault in self.armed if fault.call in kinds), None)
            if fault:
                self.armed.remove(fault)
                self.hits[fault.call] += 1
                return fault
            until, late = self.late.get(place, (0.0, None))
            if fault := late.draw(kinds[0]) if time.monotonic() < until else None:
                self.hits["late " + fault.call] += 1
            return fault

    def disturb(self, seconds=0.0, text=""):
        """Notes a disruption that lasts from now for some time."""
        with self.lock:
            self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds)
        if text:
            self.record.write("fault: " + text)

    def calm_for(self):
        """Returns for how many seconds nothing has been disturbed; negative while something is."""
        return time.monotonic() - self.disturbed_until


class FaultyHandler(standins.JsonHandler):
    """Serves the owner's calls. Between reading a call and answering it, a fault may strike."""

    def answer(self):
        port, arrived = self.server, time.monotonic()
        length = int(self.headers.get("Content-Length") or 0)
        self.raw = self.rfile.read(length) if length else b""
        port.wait_while_held("requests")
        if arrived < port.isolated_until and self.is_abandoned():
            self.close_connection = True
            return
        owner = port.owner  # a worker that restarted meanwhile gets the call, at the same address
        parts = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        body = json.loads(self.raw) if self.raw and not isinstance(owner, PeerProxy) else {}

        def carry_out():
            try:
                return port.owner.handle(self, self.command, parts.path, query, body)
            except (OSError, http.client.HTTPException):
                return None  # the process behind the proxy gave no answer

        if port.turned_away_until > time.monotonic():
            reply = 503, {}
        else:
            kinds = owner.kinds(self.command, parts.path, body)
            fault = port.faults.take(kinds, port.name)
            fields = [f"{key}={body[key]}" for key in LOGGED if key in body]
            what = " ".join([kinds[0], "at", port.name] + fields)
            reply = self.strike(fault, carry_out, what) if fault else carry_out()
        port.wait_while_held("answers")
        if reply is None or getattr(owner, "crashed", False):
            if getattr(owner, "leaves_connections", False):
                self.stay_silent()
            self.close_connection = True
            return
        data = reply[1] if isinstance(reply[1], bytes) else json.dumps(reply[1]).encode()
        self.send_response(reply[0])
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()

    def is_abandoned(self):
        """Returns whether the caller has closed the connection."""
        try:
            return bool(select.select([self.connection], [], [], 0)[0]) and (
                not self.connection.recv(1, socket.MSG_PEEK))
        except OSError:
            return True

    def stay_silent(self):
        """Leaves the connection open until the caller closes it."""
        self.connection.settimeout(SILENCE_S)
        try:
            self.connection.recv(1)
        except OSError:
            pass

    def carry_out_late(self, carry_out, what):
        """Delivers a call whose caller has given up, also to a worker that is isolated by now."""
        record, self.is_late = self.server.faults.record, True
        record.write(f"late: {what} arrives")
        reply = carry_out()
        record.write(f"late: {what}: {reply[0] if reply else 'lost, no process answers'}")

    def strike(self, fault, carry_out, what):
        """Carries the call out as the fault says. Returns the reply to send, None for none."""
        port, faults = self.server, self.server.faults
        if fault.how == "late":
            faults.disturb(fault.delay, f"{what} unanswered, carried out after {fault.delay:.2f} s")
            timer = threading.Timer(fault.delay, self.carry_out_late, (carry_out, what))
            timer.daemon = True
            timer.start()
            self.stay_silent()
            return None
        reply = None if fault.how == "lost" else carry_out()
        done = f"carried out ({reply[0]})" if reply else "not carried out, or unanswered"
        if fault.how == "slow":
            faults.disturb(fault.delay, f"{what} {done}, answered after {fault.delay:.2f} s")
            time.sleep(fault.delay)
            return reply
        if fault.how == "kill" and port.host:
            port.play.spawn(port.play.hosts[port.host].suffer, "kill", fault.delay)
        port.turned_away_until = time.monotonic() + fault.refuse_s
        faults.disturb(fault.refuse_s, f"{what} {done}, {fault.how}, {'RST' if fault.reset else 'FIN'}, "
                                       f"503 for {fault.refuse_s:.2f} s")
        if fault.reset:
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            port.reset.add(self.connection)
        return None

    do_GET = do_POST = do_DELETE = answer


class FaultyServer(standins.Server):
    """A port of a stand-in. A fault of kind `kill` ends the host of the given name."""

    def __init__(self, play, owner, port, name, host=None):
        self.play, self.faults, self.name, self.host = play, play.faults, name, host
        self.held = {"requests": 0.0, "answers": 0.0}
        self.isolated_until = 0.0
        self.reset = set()
        super().__init__(owner, port)

    def finish_request(self, request, client_address):
        FaultyHandler(request, client_address, self)

    def shutdown_request(self, request):
        if request in self.reset:
            self.reset.discard(request)
            request.close()  # with SO_LINGER 0, this resets the connection
        else:
            super().shutdown_request(request)

    def cut(self, way, seconds):
        """Holds up what goes one way, as a partition does to connections that outlive it."""
        self.held[way] = time.monotonic() + seconds
        self.faults.disturb(seconds, f"{way} of {self.name} held up for {seconds:.2f} s")

    def isolate(self, seconds):
        """Holds up both ways. Calls that their callers have given up by the end get lost."""
        self.isolated_until = time.monotonic() + seconds
        for way in self.held:
            self.cut(way, seconds)

    def wait_while_held(self, way):
        while (left := self.held[way] - time.monotonic()) > 0:
            time.sleep(min(left, 0.01))


class PeerProxy:
    """Passes the calls and datagrams of other hosts on to a host. They learn its port instead of the
    host's own from the host's record in the store."""

    by_port = {}  # the hosts' own ports -> proxies, to recognise the senders of datagrams

    def __init__(self, play, host, target, port):
        self.target, self.address = target, f"127.0.0.1:{port}"
        self.server = FaultyServer(play, self, port, "peer@" + host, host)
        self.by_port[target] = self
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.bind(("127.0.0.1", port))
        threading.Thread(target=self.pass_datagrams, daemon=True).start()

    def pass_datagrams(self):
        while True:
            try:
                data, sender = self.datagrams.recvfrom(65536)
                source = self.by_port.get(sender[1], self)
                if max(self.server.held["requests"], source.server.held["answers"]) < time.monotonic():
                    self.datagrams.sendto(data, ("127.0.0.1", self.target))
            except OSError:
                pass  # the ICMP error of a host that is down

    def kinds(self, _method, path, _body):
        return ["peer." + path.rsplit("/", 1)[1]]

    def handle(self, request, method, path, _query, _body):
        if not hasattr(request, "upstream"):  # one for each connection of a caller
            request.upstream = http.client.HTTPConnection("127.0.0.1", self.target, timeout=30)
        request.upstream.request(method, path, request.raw, {"Content-Type": "application/json"})
        response = request.upstream.getresponse()
        return response.status, response.read()
