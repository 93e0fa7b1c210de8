"""Empties instances of pools above their share and gives them to other pools."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

from lycheeloom.jobs.fleet import WorkerState
from lycheeloom.jobs.pool_sizes import Move, PoolLoad
from lycheeloom.jobs.room_sharing import (
    BusyInstance,
    PoolClaim,
    choose_donations,
    needed_instances,
    neediest_pool,
)
from lycheeloom.telemetry import log_event

from . import metrics
from .ports import Instance

# An instance whose tasks take longer than this to end gets tasks again.
MAX_EMPTYING_S = 3.0
# An instance is not given away again within this time after its pool has got it: a
# shorter stay does not pay for a move.
MIN_STAY_S = 1.5
# An instance that did not become empty in time is not emptied again for this long. Its
# tasks take longer than estimated, and while it is emptied its free room is lost.
RETRY_DELAY_S = 4 * MAX_EMPTYING_S


class PoolDonations:
    """Chooses busy instances to be moved between pools that are all short of room.

    ``find_state`` returns the state of the worker on an instance, if there is any.
    ``is_in_maintenance`` returns whether an instance, given by its id, is being drained
    or maintained.
    """

    def __init__(
        self,
        find_state: Callable[[Instance], WorkerState | None],
        is_in_maintenance: Callable[[str], bool],
    ) -> None:
        self._find_state = find_state
        self._is_in_maintenance = is_in_maintenance
        # Since when instances are being emptied, by id.
        self._emptying_since_s: dict[str, float] = {}
        # These instances, as they were when they were chosen.
        self._emptied_by_id: dict[str, Instance] = {}
        # Until when instances that did not become empty are not chosen, by id.
        self._retry_at_s: dict[str, float] = {}
        # When instances were first seen in their pool, by id and pool.
        self._seen_since_s: dict[tuple[str, str], float] = {}

    def handles(self, instance_id: str) -> bool:
        """Return whether an instance is being emptied."""
        return instance_id in self._emptying_since_s

    def choose(
        self,
        available: Collection[Instance],
        usable_ids: Collection[str],
        movable_ids: Collection[str],
        load_by_pool: Mapping[str, PoolLoad],
        priority_by_pool: Mapping[str, int],
        standby_pools: Collection[str],
        now_s: float,
    ) -> list[Move]:
        """Return moves of emptied instances; begin to empty further ones.

        ``available`` are the instances that are up, neither moving nor in maintenance,
        including those that are being emptied. Of them, tasks may start on those in
        ``usable_ids``, and of these, those in ``movable_ids`` may be moved.
        """
        self._note_seen(available, now_s)
        for instance in available:
            is_movable = instance.instance_id in movable_ids
            if self.handles(instance.instance_id) and not is_movable:
                self._keep(instance)
        candidates = [i for i in available if i.instance_id in movable_ids]
        in_service = [i for i in candidates if i.pool not in standby_pools]
        staying = [i for i in in_service if not self.handles(i.instance_id)]
        # Instances that may not be moved now serve their pools too.
        serving = [
            i
            for i in available
            if i.instance_id in usable_ids and i.pool not in standby_pools
        ]
        claims = self._claims(
            [i for i in serving if not self.handles(i.instance_id)],
            load_by_pool,
            priority_by_pool,
            standby_pools,
        )
        moves = []
        total = len(serving) + sum(claim.arriving for claim in claims)
        for instance in in_service:
            if not self.handles(instance.instance_id):
                continue
            move = self._advance(instance, claims, load_by_pool, total, now_s)
            if move is None:
                continue
            moves.append(move)
            claims = [
                claim
                if claim.pool != move.pool
                else PoolClaim(
                    claim.pool,
                    claim.needed,
                    claim.size,
                    claim.arriving + 1,
                    claim.kept,
                    claim.priority,
                )
                for claim in claims
            ]
        if len(candidates) > len(in_service):
            # Instances that are switched off go first.
            return moves
        self._begin(staying, claims, total, now_s)
        return moves

    def _advance(
        self,
        instance: Instance,
        claims: list[PoolClaim],
        load_by_pool: Mapping[str, PoolLoad],
        total: int,
        now_s: float,
    ) -> Move | None:
        """Return the move of an instance if its tasks have ended."""
        state = self._find_state(instance)
        since_s = self._emptying_since_s[instance.instance_id]
        is_empty = state is None or not state.run_by_task
        if not is_empty and now_s - since_s < MAX_EMPTYING_S:
            return None
        if not is_empty:
            self._retry_at_s[instance.instance_id] = now_s + RETRY_DELAY_S
        pool = neediest_pool(claims, total) if is_empty else None
        if pool is None or pool == instance.pool:
            self._keep(instance)
            return None
        self._forget(instance.instance_id)
        load = load_by_pool[pool]
        size = next(claim.size for claim in claims if claim.pool == pool)
        return Move(instance.instance_id, pool, "pool below its share", load, size)

    def _keep(self, instance: Instance) -> None:
        """Stop emptying an instance; its worker may get tasks again."""
        self._forget(instance.instance_id)
        state = self._find_state(instance)
        if state is not None:
            state.is_cordoned = False

    def _forget(self, instance_id: str) -> None:
        del self._emptying_since_s[instance_id]
        del self._emptied_by_id[instance_id]

    def _begin(
        self,
        staying: Collection[Instance],
        claims: list[PoolClaim],
        total: int,
        now_s: float,
    ) -> None:
        instance_by_id = {instance.instance_id: instance for instance in staying}
        busy = [
            busy
            for instance in staying
            if (busy := self._to_busy(instance, now_s)) is not None
        ]
        # Instances that are being emptied already will be given to the same pools.
        emptying = len(self._emptying_since_s)
        chosen = choose_donations(claims, busy, total)
        for instance_id in chosen[emptying:]:
            instance = instance_by_id[instance_id]
            state = self._find_state(instance)
            if state is None:
                continue
            state.is_cordoned = True
            self._emptying_since_s[instance_id] = now_s
            self._emptied_by_id[instance_id] = instance
            metrics.INSTANCES_EMPTIED.labels(instance.pool).inc()
        if len(chosen) > emptying:
            log_event(
                "pools_share_room",
                emptied=len(chosen) - emptying,
                emptying=emptying,
                needed=",".join(f"{c.pool}:{c.needed:.1f}" for c in claims),
                size=",".join(f"{c.pool}:{c.size + c.arriving}" for c in claims),
            )

    def _to_busy(self, instance: Instance, now_s: float) -> BusyInstance | None:
        """Return an instance that may be emptied, else None."""
        state = self._find_state(instance)
        seen_s = self._seen_since_s.get((instance.instance_id, instance.pool), now_s)
        if state is None or now_s - seen_s < MIN_STAY_S:
            return None
        if now_s < self._retry_at_s.get(instance.instance_id, 0.0):
            return None
        if state.is_cordoned or state.worker.draining or not state.has_current_lists:
            return None
        if any(run.step.long_running for run in state.run_by_task.values()):
            return None
        work = sum(
            run.step.estimated_ms * (100 - run.percent) / 100
            for run in state.run_by_task.values()
        )
        return BusyInstance(instance.instance_id, instance.pool, work)

    def _note_seen(self, available: Collection[Instance], now_s: float) -> None:
        keys = {(i.instance_id, i.pool) for i in available}
        self._seen_since_s = {key: self._seen_since_s.get(key, now_s) for key in keys}
        for instance_id in set(self._emptying_since_s) - {key[0] for key in keys}:
            if self._is_in_maintenance(instance_id):
                # Maintenance decides when it gets tasks again.
                self._forget(instance_id)
                continue
            # It is down. Its worker may come back under the same id, and would stay
            # excluded from tasks.
            self._keep(self._emptied_by_id[instance_id])
        self._retry_at_s = {
            instance_id: retry_at_s
            for instance_id, retry_at_s in self._retry_at_s.items()
            if now_s < retry_at_s
        }

    @staticmethod
    def _claims(
        staying: Collection[Instance],
        load_by_pool: Mapping[str, PoolLoad],
        priority_by_pool: Mapping[str, int],
        standby_pools: Collection[str],
    ) -> list[PoolClaim]:
        claims = []
        for pool, load in load_by_pool.items():
            if pool in standby_pools:
                continue
            needed = needed_instances(
                load.backlog, load.used, load.offered_load, load.long_running_use
            )
            kept = max(float(load.min_instances), load.long_running_use)
            claims.append(
                PoolClaim(
                    pool,
                    max(needed, kept),
                    sum(instance.pool == pool for instance in staying),
                    load.arriving,
                    kept,
                    priority_by_pool.get(pool, 0),
                )
            )
        return claims
