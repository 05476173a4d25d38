"""The node: owns the decision module, makes events of what happens on sockets, and carries out actions."""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from orchidledge import interface as api
from orchidledge.decide import Balancer
from orchidledge.net.body import Body
from orchidledge.net.config import Config
from orchidledge.net.discovery import Listing, Watcher
from orchidledge.net.figures import Figures
from orchidledge.net.handover import Handover
from orchidledge.net.http import Response
from orchidledge.net.maintenance import Bans
from orchidledge.net.operator import Answer, Door
from orchidledge.net.requests import BadRequestError, forwarded, parse
from orchidledge.net.server import Call, Server
from orchidledge.net.snapshot import StateFile, encode, listing_of
from orchidledge.net.snapshot import read as read_state
from orchidledge.net.upstream import Address, Attempt, Pool
from orchidledge.settings import report_from

log = logging.getLogger("orchidledge")

BACKSTOP_S = 0.005  # after which a request that the module left unanswered is answered for it
SPARE_SOCKETS = 32  # for the listener, discovery, standard streams and the event loop
INBOUND_SHARE = 0.45  # of the other descriptors: callers' connections;
UPSTREAM_SHARE = 0.35  # servers'; what is left takes in a burst before idle ones have been closed
LONGEST_WATCH_MS = 20_000.0
WATCH_SHARE = 0.5  # of the time within which discovery has to be asked
FAULT_PAUSE_S = 0.5  # before an alarm or a watch is tried again that a fault of the module has lost
STOP_LEAST_S = 0.6
STOP_SLACK_S = 0.6  # SIGKILL comes 0.7 s after the longest deadline at the soonest
LONGEST_DEADLINE_S = 3.0
HANDOVER_S = 1.5  # idle callers may send one more request, as one that crosses a close is turned back unheard
YOUNG_S = 0.5  # in standby a connection so new is left open for its first request
BODIES_SHARE = 0.25  # of the memory: requests still coming in,
BODY_COST = 256 * 1024  # each of which may have so much on its way
STATS_S = 5.0
BEAT_S = 0.1


class Clock:
    """Unix time in milliseconds that never goes back: the event loop's clock, anchored to it once."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._time = loop.time
        self._anchor = time.time() - loop.time()

    def ms(self, at: float | None = None) -> float:
        return ((self._time() if at is None else at) + self._anchor) * 1000.0


@dataclass(slots=True, eq=False)
class _Job:
    """A request that the module knows of, until it is over and all its attempts have ended."""

    id: str
    service: str  # its class's name
    call: Call
    give_up_at: float  # by the loop's clock
    give_up_s: float  # from its last byte on
    whole_at: float  # the loop's time when that came, of its being handed on until then
    backstop: asyncio.TimerHandle | None = None
    done: bool = False
    attempts: list[Attempt | None] = field(default_factory=list)
    out: int = 0
    last: api.Result | None = None


class Node:
    def __init__(self, config: Config) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = Clock(self.loop)
        self.config = config
        self.settings = config.settings
        self.classes = {kind.name: kind for kind in self.settings.classes}
        self.balancer = Balancer(self.settings, config.seed, self.clock.ms())
        self.jobs: dict[str, _Job] = {}
        self.stopping = False
        self.open = 0  # requests without a final answer
        self.coming = 0  # those of them whose last byte has yet to come
        self.max_coming = max(1, int(config.memory_mb * BODIES_SHARE * 1024 * 1024 / BODY_COST))
        self.passing_on = 0  # long answers under way
        usable = max(16, config.sockets - SPARE_SOCKETS)
        self.server = Server(int(usable * INBOUND_SHARE), self._on_call)
        self.pool = Pool(
            int(usable * UPSTREAM_SHARE),
            config.conn_idle_ms / 1000.0,
            config.connect_timeout_ms / 1000.0,
            self._on_sent,
        )
        self.watcher = Watcher(
            config.discovery,
            config.known.revision,
            # Guard: a discovery that has gone silent must be noticed before the node counts as told.
            min(LONGEST_WATCH_MS, config.ask_within_ms * WATCH_SHARE),
            not self.settings.ask_discovery,
            self._on_list,
            Random(config.seed),
        )
        self.listed: dict[str, tuple[api.Server, Address]] = {}
        self.listed_rev = config.known.revision
        self.state = StateFile(config.state) if config.state is not None else None
        self._writing: set[asyncio.Task[None]] = set()
        self.up: set[str] = set()  # those that the pool may reach
        self.bans = Bans(config.maintenance)
        shared = config.accept_fd is not None and config.handover is not None
        self.handover = Handover(config.handover, os.getpid()) if shared and config.handover else None
        self._beside = False  # another process of this node holds calls
        self.counts: Counter[str] = Counter()
        self.figures = Figures(self.classes)
        self.lag = 0.0  # the longest that the loop was late in this stretch
        self._events: deque[api.Event] = deque()
        self._deciding = False
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self.door = Door(
            {
                (b"GET", b"/status"): lambda _: _yes_or_no(self.server.takes_clients),
                (b"GET", b"/status/metrics"): lambda _: Answer(200, self.metrics()),
                (b"PUT", b"/maintenance/enter"): lambda body: self._on_maintenance(
                    body, self.enter_maintenance
                ),
                (b"PUT", b"/maintenance/exit"): lambda body: self._on_maintenance(
                    body, self.exit_maintenance
                ),
                (b"PUT", b"/standby"): lambda _: _yes_or_no(self.standby()),
                (b"PUT", b"/active"): lambda _: _yes_or_no(self.active()),
            }
        )

    async def start(self) -> None:
        """Tell the module what is known and begin to serve."""
        self._read_bans()  # first, so that a server that is out is never sent anything
        self._on_list(api.ListForm.CACHED, self.config.known)
        self._restore()
        self._share(starts=True)  # what a process beside this one tells is newer than any file
        if self.config.operator is not None:
            await self.door.open(self.config.operator)
        await self.server.listen(*self.config.listen, self.config.accept_fd)
        if not self.settings.ask_discovery:
            self.watcher.start()
        self._beat(self.loop.time())
        self._stats()
        self._keep()

    async def stop(self) -> None:
        """Leave service: take what still comes, finish what is held, and end in time."""
        began = self.loop.time()
        self.stopping = True
        self.server.resume()  # a standby before it has other times
        if self.server.shares_socket:
            self.server.stop_accepting()
            self.pool.retire()
            self.server.drain(open_s=HANDOVER_S)
        else:
            self.server.drain()
        longest = max(kind.give_up_ms for kind in self.settings.classes) / 1000.0
        latest = began + min(longest, LONGEST_DEADLINE_S) + STOP_SLACK_S
        while self.loop.time() < latest:
            if not self.server.connections and self.loop.time() - began >= STOP_LEAST_S:
                break
            await asyncio.sleep(0.01)
        for job in [job for job in self.jobs.values() if not job.done]:
            self._answer(job, 504)
        await asyncio.sleep(0)
        await self._write_state()
        self.close()

    def standby(self) -> bool:
        """The operators' drain: what is held is finished, callers go elsewhere, the process runs on."""
        if not self.stopping:
            self.server.drain(YOUNG_S)
            self._keep(again=False)
        return True

    def active(self) -> bool:
        """End of the drain; too late once the process leaves service."""
        if not self.stopping:
            self.server.resume()
        return not self.stopping

    def close(self) -> None:
        self.door.close()
        if self.handover is not None:
            self.handover.close()
        if self.state is not None:
            self.state.close()
        self.server.close()
        self.watcher.close()
        self.pool.close()
        for timer in self._timers.values():
            timer.cancel()

    # ----------------------------------------------------------------- the module

    def tell(self, event: api.Event) -> None:
        """Give the module an event and carry out what it says; events that come of that wait their turn."""
        self._events.append(event)
        if self._deciding:
            return
        self._deciding = True
        try:
            while self._events:
                event = self._events.popleft()
                for action in self._decide(event):
                    self._act(action)
        finally:
            self._deciding = False

    def _decide(self, event: api.Event) -> list[api.Action]:
        try:
            return self.balancer.handle(self.clock.ms(), event)
        except Exception:
            # Guard: a fault of the module must leave no caller without an answer, nor stop its clockwork.
            log.exception("the decision module failed on %s", type(event).__name__)
            self.counts["faults"] += 1
            if isinstance(event, api.Request | api.Outcome):
                job = self.jobs.get(event.id)
                if job is not None and not job.done and not job.out:
                    self._answer(job, 500)
                    self._events.append(api.Lapsed(event.id))
            elif isinstance(event, api.Alarm):
                self._wake(FAULT_PAUSE_S, event.name)
            elif isinstance(event, api.Membership) and event.form is api.ListForm.FAILED:
                self.loop.call_later(FAULT_PAUSE_S, self.watcher.start)
            return []

    def _act(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse():
                job = self.jobs.get(action.id)
                if job is not None:
                    self._answer(job, 503, retry_after_ms=action.retry_after_ms)
            case api.Fail():
                job = self.jobs.get(action.id)
                if job is not None:
                    self._answer(job, 504 if job.last is api.Result.TIMEOUT else 502)
            case api.Cancel():
                job = self.jobs.get(action.id)
                attempt = job.attempts[action.attempt] if job and action.attempt < len(job.attempts) else None
                if attempt is not None:
                    attempt.cancel()
            case api.Wake():
                self._wake(action.delay_ms / 1000.0, action.name)
            case api.Watch():
                self.watcher.start()

    def _wake(self, delay_s: float, name: str) -> None:
        self._timers[name] = self.loop.call_later(delay_s, self.tell, api.Alarm(name))

    # ------------------------------------------------------------------- requests

    def _on_call(self, call: Call) -> None:
        """A whole request has come in."""
        self.counts["taken"] += 1
        try:
            request, give_up_s = parse(call, self.classes, self.clock.ms(call.arrived))
            if request.id in self.jobs:
                raise BadRequestError(400)
        except BadRequestError as error:
            self.counts[f"bad {error.status}"] += 1
            call.answer(error.status)
            return
        many = call.coming and self.coming >= self.max_coming
        if many or self.open + self.passing_on >= self.config.max_open or self.server.crowded:
            # Guard: too many to hold. None of it has gone anywhere, so it is a refusal.
            self.counts["over the limit"] += 1
            self.figures.reply(request.service, 503)
            call.answer(503)
            return
        job = _Job(request.id, request.service, call, call.arrived + give_up_s, give_up_s, call.arrived)
        self.jobs[request.id] = job
        self.open += 1
        call.on_gone = lambda: self._on_gone(job)
        if call.coming:
            self.coming += 1
            call.on_whole = lambda: self._on_whole(job)
        else:
            job.backstop = self.loop.call_at(job.give_up_at + BACKSTOP_S, self._on_backstop, job)
        self.tell(request)

    def _on_whole(self, job: _Job) -> None:
        """The last byte has come of a request that was handed on before."""
        if job.done:
            return
        self.coming -= 1
        job.whole_at = self.loop.time()
        job.give_up_at = job.whole_at + job.give_up_s
        job.backstop = self.loop.call_at(job.give_up_at + BACKSTOP_S, self._on_backstop, job)
        for attempt in job.attempts:
            if attempt is not None:
                attempt.run_clock(job.give_up_s)
        self.tell(api.Arrived(job.id, self.clock.ms(job.give_up_at)))

    def _answer(self, job: _Job, status: int, body: bytes = b"", retry_after_ms: float = 0.0) -> None:
        if not job.done:
            self.counts[f"answered {status}"] += 1
            self.figures.reply(job.service, status)
            self._end(job)
            job.call.answer(status, body, retry_after_ms)

    def _begin(self, job: _Job, length: int | None, rest: Body) -> None:
        """A long answer: for the module and the clock its first bytes are the whole of it."""
        if job.done:
            rest.abandon()
            return
        self.counts["answered 200"] += 1
        self._end(job)
        self.passing_on += 1

        def on_end(whole: bool) -> None:
            self.passing_on -= 1
            if not whole:
                self.counts["broken off"] += 1
            self.figures.reply(job.service, 200 if whole else 502)

        job.call.begin(length, rest, on_end)

    def _end(self, job: _Job) -> None:
        job.done = True
        self.open -= 1
        if job.call.coming:
            self.coming -= 1
        if job.backstop is not None:
            job.backstop.cancel()
        self._forget(job)

    def _forget(self, job: _Job) -> None:
        if job.done and not job.out:
            self.jobs.pop(job.id, None)

    def _on_gone(self, job: _Job) -> None:
        if not job.done:
            self.counts["gone"] += 1
            self._end(job)
            self.tell(api.Lapsed(job.id))

    def _on_backstop(self, job: _Job) -> None:
        # Guard: whatever the module does, the client gets an answer while it still waits.
        if not job.done:
            self.counts["backstop"] += 1
            self._answer(job, 504)
            self.tell(api.Lapsed(job.id))

    # ------------------------------------------------------------------- attempts

    def _send(self, action: api.Send) -> None:
        job = self.jobs.get(action.id)
        number = len(job.attempts) if job is not None else 0
        began = self.loop.time()
        body = job.call.body if job is not None and job.call.body.whole is None else None
        gone = body is not None and not body.open_to_another
        over = job is None or job.done or gone or (job.give_up_at <= began and not job.call.coming)
        if job is not None:
            job.attempts.append(None)  # a moot send has a number too
        if job is None or over or number >= self.settings.max_attempts:
            self._outcome(action, number, job, api.Result.MOOT, began)
            return
        left = job.give_up_s if job.call.coming else job.give_up_at - began
        timeout = min(left, action.timeout_ms / 1000.0) if action.timeout_ms > 0.0 else left
        job.out += 1

        def on_result(result: api.Result, response: Response | None) -> None:
            job.out -= 1
            job.attempts[number] = None
            self._outcome(action, number, job, result, began, response)

        attempt = self.pool.send(
            action.server,
            lambda wait: forwarded(job.call, wait, body is not None),
            timeout,
            on_result,
            body,
            job.call.length is None,
        )
        if attempt is None:
            on_result(api.Result.CONNECT_FAILED, None)
        else:
            job.attempts[number] = attempt

    def _outcome(
        self,
        action: api.Send,
        number: int,
        job: _Job | None,
        result: api.Result,
        began: float,
        response: Response | None = None,
    ) -> None:
        """The one outcome of a send. The first good answer goes to the client and ends its request."""
        self.counts[result.value] += 1
        report = None
        if response is not None:
            load = response.headers.get(b"srv-load")
            report = report_from(load.decode("latin-1"), self.settings.report_fields) if load else None
        if job is not None:
            job.last = result
            if result is api.Result.OK and response is not None:
                if response.rest is None:
                    self._answer(job, 200, bytes(response.body))
                else:
                    self._begin(job, response.length, response.rest)
            self._forget(job)
        done = job is None or job.done
        since = began if job is None else max(began, job.whole_at)
        latency = (self.loop.time() - since) * 1000.0
        self.tell(api.Outcome(action.id, number, action.server, result, latency, done, report))

    # ------------------------------------------------------------------ discovery

    def _on_list(self, form: api.ListForm, listing: Listing | None) -> None:
        self.counts[f"list {form.value}"] += 1
        if listing is None:
            self.tell(api.Membership(form))
            return
        self.listed_rev = listing.revision
        if form is not api.ListForm.DELTA:
            self.listed = {}
        for server in listing.servers:
            if server.state is api.ServerState.REMOVED:
                self.listed.pop(server.address, None)
            else:
                self.listed[server.address] = server, listing.endpoints[server.address]
        self._tell_servers(api.Membership(form, listing.servers))

    def _tell_servers(self, event: api.Event) -> None:
        """Tell the module of a change of the servers, and let the pool reach those that it may."""
        up = {
            name
            for name, (server, _) in self.listed.items()
            if server.state is api.ServerState.UP and not self.bans.out(name)
        }
        for name in up:
            server, endpoint = self.listed[name]
            self.pool.add(name, endpoint, server.launched_ms)
        self.tell(event)
        # The module hears of it first, so that what is withdrawn here is sent on by the new list.
        for name in self.up - up:
            self.pool.remove(name)
        self.up = up
        self.server.ready = self.server.ready or bool(self.up)  # once there is a server to send to

    # ---------------------------------------------------------------- maintenance

    def enter_maintenance(self, name: str) -> bool | None:
        """Take a server out by hand; None if nobody knows it, false if an upgrade would forget it."""
        self._read_bans()  # the other process may have been told something a moment ago
        if name not in self.listed and not self.bans.out(name):
            return None
        new = not self.bans.out(name)
        kept = self.bans.take_out(name, self.clock.ms())
        if new:
            self._on_ban(name)
        return kept

    def exit_maintenance(self, name: str) -> bool | None:
        """Let it serve again; None as above, false if it stays out as the end could not be written."""
        self._read_bans()
        if name not in self.listed and not self.bans.out(name):
            return None
        was_out = self.bans.out(name)
        kept = self.bans.bring_back(name, self.clock.ms())
        if was_out and kept:
            self._on_ban(name)
        return kept

    def _on_maintenance(self, body: bytes, change: Callable[[str], bool | None]) -> Answer:
        try:
            done = change(body.decode().strip())
        except UnicodeDecodeError:
            return Answer(400)
        return Answer(404) if done is None else _yes_or_no(done)

    def _read_bans(self) -> None:
        for name in self.bans.read(self.clock.ms()):
            self._on_ban(name)

    def _on_ban(self, name: str) -> None:
        ban = self.bans.get(name)
        assert ban is not None
        if ban.back_ms is None:
            self._tell_servers(api.TakenOut(name))
        else:
            self._tell_servers(api.BroughtBack(name, ban.out_ms, ban.back_ms))

    # ------------------------------------------------------------------- upgrades

    def _share(self, starts: bool = False) -> None:
        """Tell another process of this node what is held and known here, and the module what is there."""
        if self.handover is None:
            return
        learned, held = self.handover.read(self.clock.ms())
        if starts and learned is not None:
            self.tell(learned)
        if held or self._beside:
            self.tell(api.Beside(held))
        self._beside = bool(held)
        self.handover.write(self.clock.ms(), self.balancer.learned(), self.balancer.held())

    # ---------------------------------------------------------------- state file

    def _restore(self) -> None:
        """Take from the state file what its rules let through: bans, then the list, then the figures."""
        if self.config.state is None:
            return
        now = self.clock.ms()
        found = read_state(self.config.state, self.config.name, now, self.config.known.revision)
        for name, since in found.out.items():
            if self.bans.get(name) is None:  # the folder of bans knows better where it has the server
                self.bans.take_out(name, since)
                self._on_ban(name)
        if found.listing is not None:
            self._on_list(api.ListForm.CACHED, found.listing)
            self.watcher.told(found.listing.revision)
        if found.learned is not None:
            self.tell(api.Restored(found.learned, found.age_ms))

    def _keep(self, again: bool = True) -> None:
        """Write the state file now and, unless told otherwise, on its period; never on a request's path."""
        if self.state is None:
            return
        task = asyncio.create_task(self._write_state())
        self._writing.add(task)
        task.add_done_callback(self._writing.discard)
        if again:
            self._timers["state"] = self.loop.call_later(self.config.state_every_ms / 1000.0, self._keep)

    async def _write_state(self) -> None:
        if self.state is None:
            return
        bans = ((name, self.bans.get(name)) for name in self.listed)
        out = {name: ban.out_ms for name, ban in bans if ban is not None and ban.back_ms is None}
        # What the thread reads is made here and never changed after: copies of the figures and the list.
        learned, listing = self.balancer.learned(), listing_of(self.listed, self.listed_rev)
        learned.class_ms, name, now = dict(learned.class_ms), self.config.name, self.clock.ms()
        await self.state.write(lambda: encode(name, now, learned, out, listing))

    # -------------------------------------------------------------------- figures

    def metrics(self) -> bytes:
        text = self.figures.text(self.open + self.passing_on, len(self.listed), self.balancer.avoided)
        if self.state is None:
            return text
        kept = self.state
        return (
            text
            + (
                f"proxy.state_writes={kept.writes}\nproxy.state_failures={kept.failures}\n"
                f"proxy.state_bytes={kept.bytes}\nproxy.state_write_ms={kept.last_s * 1000.0:.3f}\n"
            ).encode()
        )

    def _on_sent(self) -> None:
        self.figures.dispatches += 1

    def _beat(self, due: float) -> None:
        now = self.loop.time()
        self.lag = max(self.lag, now - due)
        if self.config.operator is not None:  # another process of this node may have changed them
            self._read_bans()
        self._share()
        self._timers["beat"] = self.loop.call_at(now + BEAT_S, self._beat, now + BEAT_S)

    def _stats(self) -> None:
        """One line of figures every few seconds."""
        if self.server.expired:
            self.counts["no request in time"] += self.server.expired
            self.server.expired = 0
        if self.pool.unreadable:
            self.counts["unreadable answers"] += self.pool.unreadable
            self.pool.unreadable = 0
        figures = ", ".join(f"{name} {count}" for name, count in sorted(self.counts.items()))
        log.info(
            "%s: %s; open %d, callers %d, upstream %d, loop late %.0f ms; module: %s",
            self.config.name,
            figures,
            self.open,
            len(self.server.connections),
            self.pool.size,
            self.lag * 1000.0,
            self.balancer.figures(),
        )
        self.counts.clear()
        self.lag = 0.0
        self._timers["stats"] = self.loop.call_later(STATS_S, self._stats)


def _yes_or_no(yes: bool) -> Answer:
    return Answer(200 if yes else 503)
