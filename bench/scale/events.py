"""Phases of a control-path run: enrolment, churn, failed machines, partitioned regions, list changes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from msgspec import Struct

from bench.scale.hollow_names import CHANGE
from bench.scale.measure import PhaseRecorder
from bench.scale.messages import State
from bench.scale.platform import NodePlace
from bench.scale.world import FAILED_ZONE, World, log_progress

ENROL_LIMIT_S = 60.0
SETTLE_LIMIT_S = 30.0
POLL_PERIOD_S = 0.25
WHOLE = 0.999
FIRST_SECONDS = 10.0  # after an event: a node may use more CPU and bytes in this time
RETURN_SPREAD_S = 2.0
DOWNTIME_S = 0.5  # downtime of a restarted node
DAY_S = 86_400.0
WEST_INSTANCE = 2


class Durations(Struct, frozen=True):
    """Durations of the phases in seconds, and the rates of churn and changes."""

    start_spread: float
    steady: float
    hurry: float  # acceleration of ordinary churn
    event: float
    partitioned: float
    change_every: float = 0.2
    changes: int = 50


class Events:
    """Runs the phases on a world and records the figures of each."""

    def __init__(self, world: World, recorder: PhaseRecorder, durations: Durations) -> None:
        self.world, self.recorder, self.durations = world, recorder, durations
        self.down: set[int] = set()

    # -------------------------------------------------------------------- enrolment

    async def enrol(self) -> None:
        """Start all nodes and wait until they are enrolled and settled."""
        world, run = self.world, self.recorder.run
        started = time.monotonic()
        await world.children.start(world.indices(world.hollow), self.durations.start_spread)
        world.launch_real_nodes()
        nodes = len(world.hollow)
        state = await self._wait_for(lambda state: state.enrolled >= nodes, ENROL_LIMIT_S, "enrolled")
        enrolled_s = round(time.monotonic() - started, 2) if state.enrolled >= nodes else None
        run.add("platform", "enrolled", state.enrolled, "nodes", "enrolment", nodes)
        run.add("platform", "all_enrolled", enrolled_s, "s", "enrolment")
        await self.recorder.record_phase("enrolment")
        state = await self._wait_for(self._settled, SETTLE_LIMIT_S, "settled")
        seconds = round(time.monotonic() - started, 2) if self._settled(state) else None
        run.add("platform", "all_settled", seconds, "s", "settling")
        run.add("platform", "electors", state.electors, "nodes", "settling", nodes)
        await self.recorder.record_phase("settling")

    def _settled(self, state: State) -> bool:
        """Whether every hollow node runs, is an elector, holds its quota and has an endpoint list."""
        nodes = len(self.world.hollow)
        with_list = state.with_list + min(nodes, self.world.options.real_agents)
        return min(state.running, state.electors, state.with_quota, with_list) >= nodes

    async def _wait_for(self, reached: Callable[[State], bool], within_s: float, label: str) -> State:
        deadline = time.monotonic() + within_s
        while True:
            state = await self.world.children.state()
            if reached(state) or time.monotonic() > deadline:
                break
            await asyncio.sleep(POLL_PERIOD_S)
        log_progress(
            f"{label}: {state.running} running, {state.enrolled} enrolled, {state.electors} electors, "
            f"{state.with_quota} with a quota, {state.attached} attached"
        )
        return state

    # -------------------------------------------------------------- ordinary churn

    async def steady(self) -> None:
        """Run accelerated ordinary churn: restarts and failures of nodes at even intervals."""
        seconds, world = self.durations.steady, self.world
        scale = self.durations.hurry * seconds / DAY_S
        rates = world.platform.rates_per_day
        restarts, failures = max(1, round(rates.restarts * scale)), max(1, round(rates.failures * scale))
        run = self.recorder.run
        run.add("platform", "restarts", restarts, "count", "steady")
        run.add("platform", "failures", failures, "count", "steady")
        times = [(seconds * (at + 0.5) / restarts, True) for at in range(restarts)]
        times += [(seconds * (at + 0.3) / failures, False) for at in range(failures)]
        started = time.monotonic()
        tasks = []
        for due, restart in sorted(times):
            await asyncio.sleep(max(0.0, started + due - time.monotonic()))
            place = world.random.choice([place for place in world.hollow if place.index not in self.down])
            tasks.append(asyncio.create_task(self._restart(place) if restart else self._fail(place)))
        await asyncio.sleep(max(0.0, started + seconds - time.monotonic()))
        await self.recorder.record_phase("steady")
        await asyncio.gather(*tasks)

    async def _restart(self, place: NodePlace) -> None:
        """Restart a node gracefully, and remove its server from the list meanwhile."""
        self.down.add(place.index)
        await self.world.remove(place.name)
        await self.world.children.end([place.index], leaves=True)
        await asyncio.sleep(DOWNTIME_S)
        await self.world.children.start([place.index], 0.0)
        await self.world.put(place.name, place.zone)
        self.down.discard(place.index)

    async def _fail(self, place: NodePlace) -> None:
        """Let a machine fail without notice, and replace it after three lease terms."""
        self.down.add(place.index)
        await self.world.children.end([place.index], leaves=False)
        await asyncio.sleep(3.0 * self.world.options.ttl_ms / 1000.0)
        await self.world.children.start([place.index], 0.0)
        self.down.discard(place.index)

    # ----------------------------------------------------------------------- faults

    async def kill_leader(self) -> None:
        """Kill the leader, measure the election of a new one, and restart the instance."""
        instances = self.world.instances
        leader = await asyncio.to_thread(instances.leader)
        killed = time.monotonic()
        await asyncio.to_thread(instances.kill, leader)
        await asyncio.to_thread(instances.leader)
        self.recorder.run.add(
            "service", "new_leader", round(time.monotonic() - killed, 2), "s", "leader_killed"
        )
        await asyncio.sleep(max(0.0, killed + self.durations.event - time.monotonic()))
        await self.recorder.record_phase("leader_killed")
        await asyncio.to_thread(instances.start, leader)
        await asyncio.sleep(self.durations.event / 2.0)
        await self.recorder.record_phase("leader_back")

    async def fail_rack(self) -> None:
        """Let all hollow nodes of a rack fail, then start them again."""
        await self._fail_places(self.world.platform.in_rack(self.world.rack), "rack")

    async def fail_zone(self) -> None:
        """Let all hollow nodes of a zone fail, then start them again."""
        await self._fail_places(self.world.platform.in_zone(FAILED_ZONE), "zone")

    async def _fail_places(self, places: list[NodePlace], label: str) -> None:
        world, run = self.world, self.recorder.run
        indices = world.indices(places)
        run.add("platform", "nodes_lost", len(indices), "nodes", f"{label}_lost")
        await world.children.end(indices, leaves=False)
        first = min(FIRST_SECONDS, self.durations.event / 2.0)
        await asyncio.sleep(first)
        await self.recorder.record_phase(f"{label}_lost_first")
        await asyncio.sleep(max(0.0, self.durations.event - first))
        await self.recorder.record_phase(f"{label}_lost")
        started = time.monotonic()
        await world.children.start(indices, RETURN_SPREAD_S)
        state = await self._wait_for(self._settled, SETTLE_LIMIT_S, f"{label} back")
        seconds = round(time.monotonic() - started, 2) if self._settled(state) else None
        run.add("platform", "all_settled", seconds, "s", f"{label}_back")
        await self.recorder.record_phase(f"{label}_back")

    async def partition_regions(self) -> None:
        """Partition hollow nodes and instances of the two regions for longer than any lease, then heal."""
        world = self.world
        await world.stop_real_nodes()
        await asyncio.to_thread(world.instances.partition, WEST_INSTANCE)
        await world.children.partition(True)
        await asyncio.sleep(self.durations.partitioned)
        state = await world.children.state()
        run = self.recorder.run
        run.add("platform", "attached", state.attached, "nodes", "parted", state.running)
        run.add("platform", "taking", state.with_quota, "nodes", "parted", state.running)
        await self.recorder.record_phase("parted")
        started = time.monotonic()
        await asyncio.to_thread(world.instances.partition, WEST_INSTANCE, False)
        await world.children.partition(False)
        state = await self._wait_for(self._settled, SETTLE_LIMIT_S, "joined")
        seconds = round(time.monotonic() - started, 2) if self._settled(state) else None
        run.add("platform", "all_settled", seconds, "s", "joined")
        await self.recorder.record_phase("joined")

    # ----------------------------------------------------------------- list changes

    async def change_list(self) -> None:
        """Add servers to the list, and measure when every agent has received them."""
        world, run = self.world, self.recorder.run
        await self._wait_for(self._settled, SETTLE_LIMIT_S, "before changes")
        changes = self.durations.changes
        writes = []
        for number in range(changes):
            uid = f"{CHANGE}{number}-{time.monotonic_ns()}"
            writes.append(asyncio.create_task(world.put(uid)))
            await asyncio.sleep(self.durations.change_every)
        await asyncio.gather(*writes)
        await asyncio.sleep(self.durations.event)
        measured = await self.recorder.record_phase("list_changes")
        agents = (await world.children.state()).with_list
        seen: dict[str, int] = {}
        for process in measured:
            for uid, count in process.changes_seen.items():
                seen[uid] = seen.get(uid, 0) + count
        everywhere = sum(count >= agents for count in seen.values())
        run.add("platform", "changes", changes, "count", "list_changes")
        run.add("platform", "changes_everywhere", everywhere, "count", "list_changes", agents)
