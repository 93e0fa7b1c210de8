"""Pools of instances, moves between them, health and maintenance waves."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from lycheeloom.model.records import (
    Health,
    InstanceHealth,
    MoveStage,
    MoveStep,
    WaveCommand,
    WaveState,
)

_ENDED_STAGES = frozenset({MoveStage.JOINED, MoveStage.ABANDONED})
_NEXT_STAGES: Mapping[MoveStage, frozenset[MoveStage]] = {
    MoveStage.PLANNED: frozenset({MoveStage.DRAINING, MoveStage.ABANDONED}),
    MoveStage.DRAINING: frozenset({MoveStage.DRAINED, MoveStage.ABANDONED}),
    MoveStage.DRAINED: frozenset({MoveStage.REBOOTING, MoveStage.JOINED}),
    MoveStage.REBOOTING: frozenset({MoveStage.JOINED}),
    MoveStage.JOINED: frozenset(),
    MoveStage.ABANDONED: frozenset(),
}
_ENDED_WAVE_STATES = frozenset({WaveState.DONE, WaveState.ABORTED})
_ALLOWED_WAVE_CHANGES = frozenset(
    {
        (WaveState.ABSENT, WaveState.RUNNING),
        (WaveState.RUNNING, WaveState.PAUSED),
        (WaveState.PAUSED, WaveState.RUNNING),
        (WaveState.RUNNING, WaveState.ABORTED),
        (WaveState.PAUSED, WaveState.ABORTED),
        (WaveState.RUNNING, WaveState.DONE),
    }
)


@dataclass(slots=True)
class Move:
    """The latest move of one instance to a pool, ended or in progress.

    ``changed_at`` is the offset of the last change of stage.
    """

    move_id: str
    stage: MoveStage
    to_pool: str
    reboot: bool
    reason: str
    changed_at: int

    def is_ended(self) -> bool:
        """Tell whether the move has ended, so that another may begin."""
        return self.stage in _ENDED_STAGES


@dataclass(slots=True)
class HealthState:
    """The latest health decision about an instance, made at offset ``changed_at``."""

    health: Health
    reason: str
    changed_at: int


@dataclass(slots=True)
class WaveCounts:
    """How many instances of a wave there are, are done and have failed.

    ``open_moves`` has the ids of the moves in progress, by instance.
    """

    total: int = 0
    done: int = 0
    failed: int = 0
    open_moves: dict[str, str] = field(default_factory=dict)

    def count_ended_move(self, instance: str, move: Move) -> None:
        """Count a move that has ended; ignores moves not in ``open_moves``."""
        if self.open_moves.get(instance) != move.move_id:
            return
        del self.open_moves[instance]
        if move.stage is MoveStage.JOINED:
            self.done += 1
        else:
            self.failed += 1


@dataclass(slots=True)
class Wave:
    """A maintenance wave over pools; no pools means all.

    ``started_at`` is an offset. ``counts_at_end`` is taken when the wave ends, as
    later moves of its instances belong to other waves; snapshots of older program
    versions lack it.
    """

    wave_id: str
    state: WaveState
    pools: tuple[str, ...]
    urgent: bool
    reboot: bool
    started_at: int
    operator: str = ""
    counts_at_end: WaveCounts | None = None


@dataclass(slots=True)
class Maintenance:
    """The pool, latest move and health of each instance, and all waves."""

    pool_by_instance: dict[str, str] = field(default_factory=dict)
    move_by_instance: dict[str, Move] = field(default_factory=dict)
    health_by_instance: dict[str, HealthState] = field(default_factory=dict)
    wave_by_id: dict[str, Wave] = field(default_factory=dict)

    def sync_instances(self, configured_pool_by_instance: Mapping[str, str]) -> None:
        """Add new instances to their configured pools and drop removed ones."""
        for instance, pool in configured_pool_by_instance.items():
            self.pool_by_instance.setdefault(instance, pool)
        for instance in set(self.pool_by_instance) - set(configured_pool_by_instance):
            del self.pool_by_instance[instance]
            self.move_by_instance.pop(instance, None)
            self.health_by_instance.pop(instance, None)
            for counts in self._counts_at_end():
                counts.open_moves.pop(instance, None)

    def pools_in_use(self, instances: Iterable[str]) -> set[str]:
        """Return the pools that these instances are in or are moving to."""
        pools = set()
        for instance in instances:
            if instance in self.pool_by_instance:
                pools.add(self.pool_by_instance[instance])
            move = self.move_by_instance.get(instance)
            if move is not None and not move.is_ended():
                pools.add(move.to_pool)
        return pools

    def advance_move(self, offset: int, record: MoveStep, pools: Iterable[str]) -> bool:
        """Advance a move by one stage; stage ``JOINED`` changes the pool."""
        if record.instance not in self.pool_by_instance:
            return False
        move = self.move_by_instance.get(record.instance)
        if record.stage is MoveStage.PLANNED:
            return self._plan_move(offset, record, move, pools)
        if move is None or move.move_id != record.move_id:
            return False
        if record.stage not in _NEXT_STAGES[move.stage]:
            return False
        if move.reboot and (move.stage, record.stage) == (
            MoveStage.DRAINED,
            MoveStage.JOINED,
        ):
            return False
        move.stage = record.stage
        move.changed_at = offset
        if record.stage is MoveStage.JOINED:
            self.pool_by_instance[record.instance] = move.to_pool
        if move.is_ended():
            for counts in self._counts_at_end():
                counts.count_ended_move(record.instance, move)
        return True

    def set_health(self, offset: int, record: InstanceHealth) -> bool:
        """Store a health decision; has no effect for an unknown instance."""
        if record.instance not in self.pool_by_instance:
            return False
        self.health_by_instance[record.instance] = HealthState(
            record.health, record.reason, offset
        )
        return True

    def command_wave(self, offset: int, record: WaveCommand) -> bool:
        """Start or change a wave if its state is the one the operator expects."""
        wave = self.wave_by_id.get(record.wave_id)
        current = wave.state if wave is not None else WaveState.ABSENT
        if record.expected is not current:
            return False
        if (current, record.wanted) not in _ALLOWED_WAVE_CHANGES:
            return False
        if wave is not None:
            wave.state = record.wanted
            if wave.state in _ENDED_WAVE_STATES:
                wave.counts_at_end = self.count_wave(wave)
            return True
        self.wave_by_id[record.wave_id] = Wave(
            record.wave_id,
            record.wanted,
            record.pools,
            record.urgent,
            record.reboot,
            offset,
            record.operator,
        )
        return True

    def count_wave(self, wave: Wave) -> WaveCounts:
        """Count the instances of a wave by their latest moves since it started.

        After a wave has ended, only the moves that were in progress at its end are
        still counted.
        """
        if wave.counts_at_end is not None:
            return wave.counts_at_end
        counts = WaveCounts()
        for instance, pool in self.pool_by_instance.items():
            if wave.pools and pool not in wave.pools:
                continue
            counts.total += 1
            move = self.move_by_instance.get(instance)
            if move is None or move.changed_at <= wave.started_at:
                continue
            counts.open_moves[instance] = move.move_id
            if move.is_ended():
                counts.count_ended_move(instance, move)
        return counts

    def _counts_at_end(self) -> Iterator[WaveCounts]:
        for wave in self.wave_by_id.values():
            if wave.counts_at_end is not None:
                yield wave.counts_at_end

    def _plan_move(
        self, offset: int, record: MoveStep, move: Move | None, pools: Iterable[str]
    ) -> bool:
        if move is not None and not move.is_ended():
            return False
        if record.to_pool not in pools:
            return False
        if move is not None and move.move_id == record.move_id:
            return False
        self.move_by_instance[record.instance] = Move(
            record.move_id,
            record.stage,
            record.to_pool,
            record.reboot,
            record.reason,
            offset,
        )
        return True
