"""Continuous batching of the stand-in engines, along chains of stages."""

from collections import deque
from functools import partial

from basilwinch.catalog import Server, ServerState
from basilwinch.exception import (
    SERVER_LEAVING,
    SERVER_REFUSED,
    SERVER_UNREACHABLE,
    STAGE_DIED,
    Failure,
)
from basilwinch.pipeline import LoadReport, TokenFrame
from basilwinch.server import EngineCall
from basilwinch.standin.cache import PrefixCaches
from basilwinch.standin.network import Network
from basilwinch.standin.sequence import EngineState, Sequence
from basilwinch.standin.settings import EngineSettings
from basilwinch.standin.timeline import Timeline
from basilwinch.standin.token import CRASH_MARK, text_of, token_at

__all__ = ["BatchEngines"]


class BatchEngines:
    """All engines of a test, with the links between them.

    Run :meth:`run` in a nursery. Times are trio times. Faults take effect at once.

    :param servers: :class:`~basilwinch.catalog.Server` entries; ``tokens_per_s`` gives the speed
    :param settings: costs and limits
    :param network: links; by default one with links 1:100 and the given seed
    :param seed: seed of links and lost cache events
    :param timeline: where steps are scheduled
    """

    __slots__ = (
        "settings",
        "network",
        "timeline",
        "states",
        "caches",
        "order_log",
        "finished",
        "prefill_tokens",
    )

    def __init__(self, servers, settings=None, network=None, seed: int = 0, timeline=None):
        servers = list(servers)
        self.settings = settings or EngineSettings()
        self.network = network or Network({server.name: server.zone for server in servers}, seed)
        self.timeline = timeline or Timeline()
        self.states: dict[str, EngineState] = {}
        self.caches = PrefixCaches(self.settings, seed)
        #: Orders that took effect: (time, server, order).
        self.order_log = []
        self.finished = 0
        self.prefill_tokens = 0
        for server in servers:
            self.add(server)

    async def run(self) -> None:
        """Run the engines until cancelled."""
        await self.timeline.run()

    def add(self, server: Server) -> None:
        """Add a server that holds no layers yet."""
        state = EngineState(
            server.name, 1.0 / (server.tokens_per_s or 1000.0), server.checks_fencing
        )
        state.leaving = server.state is ServerState.LEAVING
        self.states[server.name] = state

    def place(self, placements) -> None:
        """Let the servers hold exactly the layers of the placements, at once.

        :param placements: iterable of :class:`~basilwinch.pipeline.Placement`
        """
        for state in self.states.values():
            state.holds = []
        for placement in placements:
            for stage in placement.stages:
                held = (placement.model, placement.version, stage.first, stage.end)
                self.states[stage.server].holds.append(held)

    # Streams.

    def start(self, call: EngineCall, origin: str, on_frame, on_failure) -> Sequence:
        """Start a call; the callbacks run on the timeline.

        :param origin: name or zone of the caller's end of the link
        :param on_frame: called with each frame
        :param on_failure: called at most once, with a :class:`~basilwinch.exception.Failure`
        """
        sequence = Sequence(call, origin, on_frame, on_failure)
        delay = self.network.delay(origin, call.chain.stages[0].server)
        self.timeline.at(self.timeline.now + delay, self._admit, sequence)
        return sequence

    def cancel(self, sequence: Sequence) -> None:
        """End a stream; its KV cache stays for export until the servers need the room."""
        if not sequence.ended:
            self._release(sequence)

    def _admit(self, sequence: Sequence) -> None:
        if sequence.ended:
            return
        failure = self._refusal(sequence.call)
        if failure is not None:
            self._fail(sequence, failure, 0.0)
            return
        for stage in sequence.spans:
            state = self.states[stage.server]
            layers = stage.end - stage.first
            sequence.engines.append(state)
            sequence.layers.append(layers)
            sequence.decode_s.append(layers * state.layer_s * (1 - self.settings.fixed_share))
            known = self.caches.known_tokens(state, sequence, stage)
            sequence.pending.append(max(1, sequence.known_tokens - known))
            state.resident[id(sequence)] = sequence
        self._enqueue([sequence], sequence.engines[0], sequence.engines[0].epoch)

    def _refusal(self, call: EngineCall) -> Failure | None:
        for index, stage in enumerate(call.chain.stages):
            state = self.states.get(stage.server)
            if state is None or not state.alive:
                kind = STAGE_DIED if index else SERVER_UNREACHABLE
                return kind.because(f"{stage.server} is down", server=stage.server)
            if state.leaving:
                return SERVER_LEAVING.because(f"{stage.server} leaves", server=stage.server)
            if not state.find_hold(call.chain.model, call.version, stage.first, stage.end):
                reason = f"{stage.server} does not hold layers {stage.first} to {stage.end}"
                return SERVER_REFUSED.because(reason, server=stage.server)
            if len(state.resident) >= self.settings.max_resident:
                return SERVER_REFUSED.because(f"{stage.server} is full", server=stage.server)
        return None

    def _send(self, group: list[Sequence], target: EngineState, arrival: float) -> None:
        """Let sequences arrive at a server.

        Arrivals during a step can only join the next one, so they need no event of their own.
        """
        if target.busy and arrival <= target.busy_until:
            self._enqueue(group, target, target.epoch)
        else:
            self.timeline.at(arrival, self._enqueue, group, target, target.epoch)

    def _enqueue(self, group: list[Sequence], state: EngineState, epoch: int) -> None:
        if state.epoch != epoch or not state.alive:
            return
        ready = state.ready
        for sequence in group:
            queue = ready.get(sequence.priority)
            if queue is None:
                queue = ready[sequence.priority] = deque()
                ready = state.ready = dict(sorted(ready.items(), reverse=True))
            queue.append(sequence)
        state.ready_count += len(group)
        if not state.busy:
            self._start_step(state)

    def _start_step(self, state: EngineState) -> None:
        settings = self.settings
        batch = []
        room = settings.max_batch
        chunk = settings.prefill_chunk
        layers = 0
        work = 0.0
        taken = 0
        for queue in state.ready.values():
            # Prompts that find no room in this step's chunk wait behind the decoding sequences.
            held_back = []
            while queue and room:
                sequence = queue.popleft()
                if sequence.ended:
                    taken += 1
                    continue
                index = sequence.index
                if sequence.prefilling:
                    if not chunk:
                        held_back.append(sequence)
                        continue
                    pending = sequence.pending[index]
                    used = min(chunk, pending)
                    chunk -= used
                    sequence.pending[index] = pending - used
                    self.prefill_tokens += used
                    work += sequence.decode_s[index] * settings.prefill_share * used
                else:
                    work += sequence.decode_s[index]
                if sequence.layers[index] > layers:
                    layers = sequence.layers[index]
                batch.append(sequence)
                room -= 1
            if held_back:
                queue.extendleft(reversed(held_back))
        state.ready_count -= len(batch) + taken
        if not batch:
            return
        fixed = layers * state.layer_s * settings.fixed_share * settings.max_batch
        step_s = (fixed + work) * state.slowdown
        state.busy = True
        state.batch_size = len(batch)
        end = state.busy_until = self.timeline.now + step_s
        self.timeline.at(end, self._end_step, state, batch, step_s, state.epoch)

    def _end_step(self, state: EngineState, batch: list, step_s: float, epoch: int) -> None:
        if state.epoch != epoch:
            return
        now = self.timeline.now
        state.busy = False
        state.steps += 1
        state.busy_s += step_s
        state.step_s = step_s
        state.tokens += len(batch)
        onward = {}
        done = []
        again = []
        for sequence in batch:
            if sequence.ended:
                continue
            sequence.engine_s += step_s
            index = sequence.index
            if sequence.prefilling:
                if sequence.pending[index]:
                    again.append(sequence)
                    continue
                if CRASH_MARK in sequence.call.prompt:
                    self.kill(state.name)
                    return
                self.caches.store(state, sequence, now)
            index += 1
            if index == len(sequence.engines):
                done.append(sequence)
                continue
            sequence.index = index
            target = sequence.engines[index]
            moved = sequence.pending[index] if sequence.prefilling else 1
            group = onward.get(target)
            if group is None:
                onward[target] = [[sequence], moved]
            else:
                group[0].append(sequence)
                group[1] += moved
        for target, (group, moved) in onward.items():
            arrival = now + self.network.transfer(state.name, target.name, moved)
            self._send(group, target, arrival)
        if done:
            self._return_tokens(state, done, now)
        if again:
            self._enqueue(again, state, epoch)
        if now - state.sampled_at >= self.settings.load_lag_s:
            self._sample_load(state, now)
        if state.ready_count and not state.busy:
            self._start_step(state)

    def _return_tokens(self, state: EngineState, done: list, now: float) -> None:
        """Send tokens from the last stage through the first ones to the callers."""
        groups = {}
        for sequence in done:
            call = sequence.call
            position = sequence.position
            token = token_at(sequence.digest, position)
            final = position + 1 >= call.max_tokens
            load = ()
            if now >= sequence.next_load:
                sequence.next_load = now + self.settings.load_every_s
                load = tuple(
                    engine.published for engine in sequence.engines if engine.published is not None
                )
            frame = TokenFrame(
                call.request,
                call.attempt,
                position,
                token,
                sequence.spans,
                text_of(token),
                final,
                load,
            )
            sequence.position = position + 1
            sequence.prefilling = False
            first = sequence.engines[0]
            group = groups.get(first)
            if group is None:
                group = groups[first] = ([], {})
            if not final:
                sequence.index = 0
                group[0].append(sequence)
            frames = group[1].get(sequence.origin)
            if frames is None:
                group[1][sequence.origin] = [(sequence, frame)]
            else:
                frames.append((sequence, frame))
        network = self.network
        for first, (onward, by_origin) in groups.items():
            back = now + network.transfer(state.name, first.name, len(onward))
            if onward:
                self._send(onward, first, back)
            for origin, frames in by_origin.items():
                arrival = back + network.delay(first.name, origin)
                self.timeline.at(arrival, self._deliver, frames)

    def _deliver(self, group: list) -> None:
        for sequence, frame in group:
            if sequence.ended:
                continue
            if frame.final:
                self.finished += 1
                self._release(sequence)
            sequence.on_frame(frame)

    def _release(self, sequence: Sequence) -> None:
        sequence.ended = True
        for state, stage in zip(sequence.engines, sequence.spans, strict=False):
            if state.resident.pop(id(sequence), None) is not None:
                self.caches.retain(state, sequence, stage)

    def _fail(self, sequence: Sequence, failure: Failure, delay: float) -> None:
        self._release(sequence)
        back = self.network.delay(sequence.spans[0].server, sequence.origin)
        self.timeline.at(self.timeline.now + delay + back, partial(sequence.on_failure, failure))

    def _sample_load(self, state: EngineState, now: float) -> None:
        state.sampled_at = now
        state.published = state.sampled
        used = sum(
            sequence.known_tokens + sequence.position for sequence in state.resident.values()
        )
        free = max(0.0, 1.0 - used / self.settings.kv_tokens)
        state.sampled = LoadReport(
            state.name, state.ready_count, state.batch_size, free, state.step_s
        )

    def kill(self, server: str, silent: bool = False) -> None:
        """Kill a server. Its streams fail after ``detect_s``, or stay silent for ever."""
        state = self.states[server]
        if not state.alive:
            return
        state.alive = False
        state.epoch += 1
        resident = list(state.resident.values())
        failure = STAGE_DIED.because(f"{server} died", server=server)
        for sequence in resident:
            if silent:
                self._release(sequence)
            else:
                self._fail(sequence, failure, self.settings.detect_s)
        state.clear()
