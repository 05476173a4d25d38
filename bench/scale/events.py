"""What befalls a control-path run, phase by phase: enrolment, churn, lost machines, a parted platform."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from msgspec import Struct

from bench.scale.hollow_names import CHANGE
from bench.scale.measure import Measuring
from bench.scale.messages import State
from bench.scale.platform import NodePlace
from bench.scale.world import STOPPED_ZONE, World, say

ENROL_LIMIT_S = 60.0
SETTLE_LIMIT_S = 30.0
POLL_S = 0.25
WHOLE = 0.999
FIRST_S = 10.0  # around an event: what a node spends may be higher for so long
RETURN_SPREAD_S = 2.0
DOWN_S = 0.5  # of a node that is restarted
DAY_S = 86_400.0
WEST_INSTANCE = 2


class Durations(Struct, frozen=True):
    """Seconds of each phase."""

    start_spread: float
    steady: float
    hurry: float  # ordinary churn comes so many times as often
    event: float
    parted: float
    change_every: float = 0.2
    changes: int = 50


class Events:
    def __init__(self, world: World, measuring: Measuring, durations: Durations) -> None:
        self.world, self.measuring, self.durations = world, measuring, durations
        self.down: set[int] = set()

    # -------------------------------------------------------------------- enrolment

    async def enrol(self) -> None:
        """All nodes from nothing."""
        world, run = self.world, self.measuring.run
        began = time.monotonic()
        await world.children.start(world.indices(world.hollow), self.durations.start_spread)
        world.launch_real()
        nodes = len(world.hollow)
        state = await self._until(lambda state: state.enrolled >= nodes, ENROL_LIMIT_S, "enrolled")
        enrolled_s = round(time.monotonic() - began, 2) if state.enrolled >= nodes else None
        run.add("platform", "enrolled", state.enrolled, "nodes", "enrolment", nodes)
        run.add("platform", "all_enrolled", enrolled_s, "s", "enrolment")
        await self.measuring.phase("enrolment")
        state = await self._until(self._settled, SETTLE_LIMIT_S, "settled")
        seconds = round(time.monotonic() - began, 2) if self._settled(state) else None
        run.add("platform", "all_settled", seconds, "s", "settling")
        run.add("platform", "electors", state.electors, "nodes", "settling", nodes)
        await self.measuring.phase("settling")

    def _settled(self, state: State) -> bool:
        """Every hollow node runs, is an elector and takes its part."""
        nodes = len(self.world.hollow)
        lists = state.lists + min(nodes, self.world.options.real_agents)
        return min(state.running, state.electors, state.taking, lists) >= nodes

    async def _until(self, reached: Callable[[State], bool], within_s: float, what: str) -> State:
        deadline = time.monotonic() + within_s
        while True:
            state = await self.world.children.state()
            if reached(state) or time.monotonic() > deadline:
                break
            await asyncio.sleep(POLL_S)
        say(f"{what}: {state.running} run, {state.enrolled} enrolled, {state.electors} electors, "
            f"{state.taking} take a share, {state.attached} attached")  # fmt: skip
        return state

    # -------------------------------------------------------------------- ordinary

    async def steady(self) -> None:
        """Ordinary churn, hurried: restarts, failures and changes of the list at even intervals."""
        seconds, world = self.durations.steady, self.world
        scale = self.durations.hurry * seconds / DAY_S
        rates = world.platform.rates_per_day
        restarts, failures = max(1, round(rates.restarts * scale)), max(1, round(rates.failures * scale))
        run = self.measuring.run
        run.add("platform", "restarts", restarts, "count", "steady")
        run.add("platform", "failures", failures, "count", "steady")
        moments = [(seconds * (at + 0.5) / restarts, True) for at in range(restarts)]
        moments += [(seconds * (at + 0.3) / failures, False) for at in range(failures)]
        began = time.monotonic()
        tasks = []
        for moment, restart in sorted(moments):
            await asyncio.sleep(max(0.0, began + moment - time.monotonic()))
            place = world.random.choice([one for one in world.hollow if one.index not in self.down])
            tasks.append(asyncio.create_task(self._restart(place) if restart else self._fail(place)))
        await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))
        await self.measuring.phase("steady")
        await asyncio.gather(*tasks)

    async def _restart(self, place: NodePlace) -> None:
        """The node leaves and comes back, and its server with it."""
        self.down.add(place.index)
        await self.world.remove(place.name)
        await self.world.children.end([place.index], leaves=True)
        await asyncio.sleep(DOWN_S)
        await self.world.children.start([place.index], 0.0)
        await self.world.put(place.name, place.zone)
        self.down.discard(place.index)

    async def _fail(self, place: NodePlace) -> None:
        """The machine vanishes, and is replaced after three lease terms."""
        self.down.add(place.index)
        await self.world.children.end([place.index], leaves=False)
        await asyncio.sleep(3.0 * self.world.options.ttl_ms / 1000.0)
        await self.world.children.start([place.index], 0.0)
        self.down.discard(place.index)

    # ----------------------------------------------------------------------- faults

    async def leader_killed(self) -> None:
        instances = self.world.instances
        leader = await asyncio.to_thread(instances.leader)
        killed = time.monotonic()
        await asyncio.to_thread(instances.kill, leader)
        await asyncio.to_thread(instances.leader)
        self.measuring.run.add(
            "service", "new_leader", round(time.monotonic() - killed, 2), "s", "leader_killed"
        )
        await asyncio.sleep(max(0.0, killed + self.durations.event - time.monotonic()))
        await self.measuring.phase("leader_killed")
        await asyncio.to_thread(instances.start, leader)
        await asyncio.sleep(self.durations.event / 2.0)
        await self.measuring.phase("leader_back")

    async def rack_lost(self) -> None:
        await self._lose(self.world.platform.in_rack(self.world.rack), "rack")

    async def zone_lost(self) -> None:
        await self._lose(self.world.platform.in_zone(STOPPED_ZONE), "zone")

    async def _lose(self, places: list[NodePlace], what: str) -> None:
        world, run = self.world, self.measuring.run
        indices = world.indices(places)
        run.add("platform", "nodes_lost", len(indices), "nodes", f"{what}_lost")
        await world.children.end(indices, leaves=False)
        first = min(FIRST_S, self.durations.event / 2.0)
        await asyncio.sleep(first)
        await self.measuring.phase(f"{what}_lost_first")
        await asyncio.sleep(max(0.0, self.durations.event - first))
        await self.measuring.phase(f"{what}_lost")
        began = time.monotonic()
        await world.children.start(indices, RETURN_SPREAD_S)
        state = await self._until(self._settled, SETTLE_LIMIT_S, f"{what} back")
        seconds = round(time.monotonic() - began, 2) if self._settled(state) else None
        run.add("platform", "all_settled", seconds, "s", f"{what}_back")
        await self.measuring.phase(f"{what}_back")

    async def regions_parted(self) -> None:
        """Hollow nodes and instances of the two regions, for longer than any lease; then joined."""
        world = self.world
        await world.stop_real()
        await asyncio.to_thread(world.instances.partition, WEST_INSTANCE)
        await world.children.part(True)
        await asyncio.sleep(self.durations.parted)
        state = await world.children.state()
        run = self.measuring.run
        run.add("platform", "attached", state.attached, "nodes", "parted", state.running)
        run.add("platform", "taking", state.taking, "nodes", "parted", state.running)
        await self.measuring.phase("parted")
        began = time.monotonic()
        await asyncio.to_thread(world.instances.partition, WEST_INSTANCE, False)
        await world.children.part(False)
        state = await self._until(self._settled, SETTLE_LIMIT_S, "joined")
        seconds = round(time.monotonic() - began, 2) if self._settled(state) else None
        run.add("platform", "all_settled", seconds, "s", "joined")
        await self.measuring.phase("joined")

    # ----------------------------------------------------------------- list changes

    async def list_changes(self) -> None:
        """Servers that are newly listed: until every agent has each."""
        world, run = self.world, self.measuring.run
        await self._until(self._settled, SETTLE_LIMIT_S, "before changes")
        changes = self.durations.changes
        writes = []
        for number in range(changes):
            uid = f"{CHANGE}{number}-{time.monotonic_ns()}"
            writes.append(asyncio.create_task(world.put(uid)))
            await asyncio.sleep(self.durations.change_every)
        await asyncio.gather(*writes)
        await asyncio.sleep(self.durations.event)
        measured = await self.measuring.phase("list_changes")
        agents = (await world.children.state()).lists
        seen: dict[str, int] = {}
        for one in measured:
            for uid, count in one.changes_seen.items():
                seen[uid] = seen.get(uid, 0) + count
        everywhere = sum(count >= agents for count in seen.values())
        run.add("platform", "changes", changes, "count", "list_changes")
        run.add("platform", "changes_everywhere", everywhere, "count", "list_changes", agents)
