"""Continuous batching in simulated pipeline-parallel inference engines."""

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
from basilwinch.standin.scheduler import CallbackScheduler
from basilwinch.standin.sequence import EngineState, Sequence
from basilwinch.standin.settings import EngineSettings
from basilwinch.standin.token import CRASH_MARK, text_of, token_at

__all__ = ["BatchEngines"]


class BatchEngines:
    """Simulates all inference engines of a test: batching, prefix caches, links and crashes.

    :meth:`run` must run in a nursery. Faults take effect at once. All times are on trio's clock, in
    seconds.

    :param servers: :class:`~basilwinch.catalog.Server` entries; ``tokens_per_s`` gives the speed
    :param settings: step costs and capacity limits
    :param network: link delays; by default drawn with ``seed`` from the ranges of
        :class:`~basilwinch.standin.network.Network`
    :param seed: seed of the link delays and of the lost cache events
    :param scheduler: runs the callbacks of batch steps and of arriving messages
    """

    __slots__ = (
        "settings",
        "network",
        "scheduler",
        "states",
        "caches",
        "order_log",
        "finished_count",
        "prefill_tokens",
    )

    def __init__(self, servers, settings=None, network=None, seed: int = 0, scheduler=None):
        servers = list(servers)
        self.settings = settings or EngineSettings()
        self.network = network or Network({server.name: server.zone for server in servers}, seed)
        self.scheduler = scheduler or CallbackScheduler()
        self.states: dict[str, EngineState] = {}
        self.caches = PrefixCaches(self.settings, seed)
        #: Orders carried out: (time, server, order).
        self.order_log = []
        #: Number of streams that delivered their final token.
        self.finished_count = 0
        #: Number of input tokens processed.
        self.prefill_tokens = 0
        for server in servers:
            self.add(server)

    async def run(self) -> None:
        """Run the scheduled callbacks until cancelled."""
        await self.scheduler.run()

    def add(self, server: Server) -> None:
        """Add a server that holds no layers."""
        state = EngineState(
            server.name, 1.0 / (server.tokens_per_s or 1000.0), server.checks_fencing
        )
        state.leaving = server.state is ServerState.LEAVING
        self.states[server.name] = state

    def place(self, placements) -> None:
        """Replace the layers that the servers hold by those of the placements, without a delay.

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
        """Start a call; its callbacks run on the scheduler.

        :param origin: server name or zone of the caller, which gives the link delay
        :param on_frame: called with each frame
        :param on_failure: called at most once, with a :class:`~basilwinch.exception.Failure`
        """
        sequence = Sequence(call, origin, on_frame, on_failure)
        delay = self.network.delay(origin, call.chain.stages[0].server)
        self.scheduler.call_at(self.scheduler.now + delay, self._admit, sequence)
        return sequence

    def cancel(self, sequence: Sequence) -> None:
        """End a stream.

        Each server retains its KV cache for export until newer ended requests exceed the limit of
        exports per server.
        """
        if not sequence.ended:
            self._release(sequence)

    def _admit(self, sequence: Sequence) -> None:
        if sequence.ended:
            return
        failure = self._find_refusal(sequence.call)
        if failure is not None:
            self._fail(sequence, failure, 0.0)
            return
        for stage in sequence.stages:
            state = self.states[stage.server]
            layers = stage.end - stage.first
            sequence.engines.append(state)
            sequence.layers.append(layers)
            sequence.decode_s.append(layers * state.layer_s * (1 - self.settings.fixed_step_share))
            cached_tokens = self.caches.take_cached_tokens(state, sequence, stage)
            sequence.pending_tokens.append(max(1, sequence.input_tokens - cached_tokens))
            state.resident[id(sequence)] = sequence
        self._enqueue([sequence], sequence.engines[0], sequence.engines[0].epoch)

    def _find_refusal(self, call: EngineCall) -> Failure | None:
        for index, stage in enumerate(call.chain.stages):
            state = self.states.get(stage.server)
            if state is None or not state.alive:
                kind = STAGE_DIED if index else SERVER_UNREACHABLE
                return kind.because(f"server {stage.server} is down", server=stage.server)
            if state.leaving:
                return SERVER_LEAVING.because(
                    f"server {stage.server} is leaving", server=stage.server
                )
            if not state.has_layers(call.chain.model, call.version, stage.first, stage.end):
                reason = f"server {stage.server} does not hold layers [{stage.first}, {stage.end})"
                return SERVER_REFUSED.because(reason, server=stage.server)
            if len(state.resident) >= self.settings.max_sequences:
                return SERVER_REFUSED.because(
                    f"server {stage.server} is at its limit of "
                    f"{self.settings.max_sequences} sequences",
                    server=stage.server,
                )
        return None

    def _send(self, group: list[Sequence], target: EngineState, arrival: float) -> None:
        """Enqueue sequences at a server at their arrival time.

        Arrivals during a step join the next one, so they are enqueued at once, which saves a
        callback.
        """
        if target.busy and arrival <= target.busy_until:
            self._enqueue(group, target, target.epoch)
        else:
            self.scheduler.call_at(arrival, self._enqueue, group, target, target.epoch)

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
        free_slots = settings.max_batch
        prefill_budget = settings.prefill_chunk
        layers = 0
        work = 0.0
        ended_count = 0
        for queue in state.ready.values():
            # Prefills beyond this step's budget wait, while decoding sequences behind them go on.
            deferred = []
            while queue and free_slots:
                sequence = queue.popleft()
                if sequence.ended:
                    ended_count += 1
                    continue
                index = sequence.stage_index
                if sequence.prefilling:
                    if not prefill_budget:
                        deferred.append(sequence)
                        continue
                    pending = sequence.pending_tokens[index]
                    used = min(prefill_budget, pending)
                    prefill_budget -= used
                    sequence.pending_tokens[index] = pending - used
                    self.prefill_tokens += used
                    work += sequence.decode_s[index] * settings.prefill_cost_ratio * used
                else:
                    work += sequence.decode_s[index]
                if sequence.layers[index] > layers:
                    layers = sequence.layers[index]
                batch.append(sequence)
                free_slots -= 1
            if deferred:
                queue.extendleft(reversed(deferred))
        state.ready_count -= len(batch) + ended_count
        if not batch:
            return
        fixed = layers * state.layer_s * settings.fixed_step_share * settings.max_batch
        step_s = (fixed + work) * state.slowdown
        state.busy = True
        state.batch_size = len(batch)
        end = state.busy_until = self.scheduler.now + step_s
        self.scheduler.call_at(end, self._end_step, state, batch, step_s, state.epoch)

    def _end_step(self, state: EngineState, batch: list, step_s: float, epoch: int) -> None:
        if state.epoch != epoch:
            return
        now = self.scheduler.now
        state.busy = False
        state.steps += 1
        state.busy_s += step_s
        state.step_s = step_s
        state.batched_sequences += len(batch)
        by_next_server = {}
        past_last_stage = []
        unfinished_prefills = []
        for sequence in batch:
            if sequence.ended:
                continue
            sequence.engine_s += step_s
            index = sequence.stage_index
            if sequence.prefilling:
                if sequence.pending_tokens[index]:
                    unfinished_prefills.append(sequence)
                    continue
                if CRASH_MARK in sequence.call.prompt:
                    self.kill(state.name)
                    return
                self.caches.store(state, sequence, now)
            index += 1
            if index == len(sequence.engines):
                past_last_stage.append(sequence)
                continue
            sequence.stage_index = index
            target = sequence.engines[index]
            token_count = sequence.pending_tokens[index] if sequence.prefilling else 1
            group = by_next_server.get(target)
            if group is None:
                by_next_server[target] = [[sequence], token_count]
            else:
                group[0].append(sequence)
                group[1] += token_count
        for target, (group, token_count) in by_next_server.items():
            arrival = now + self.network.transfer(state.name, target.name, token_count)
            self._send(group, target, arrival)
        if past_last_stage:
            self._return_tokens(state, past_last_stage, now)
        if unfinished_prefills:
            self._enqueue(unfinished_prefills, state, epoch)
        if now - state.load_sampled_at >= self.settings.load_report_lag_s:
            self._sample_load(state, now)
        if state.ready_count and not state.busy:
            self._start_step(state)

    def _return_tokens(self, state: EngineState, past_last_stage: list, now: float) -> None:
        """Send new tokens from the last stage to the first stages, and on to the callers."""
        groups = {}
        for sequence in past_last_stage:
            call = sequence.call
            position = sequence.position
            token = token_at(sequence.digest, position)
            final = position + 1 >= call.max_tokens
            load = ()
            if now >= sequence.next_load_report_at:
                sequence.next_load_report_at = now + self.settings.load_report_interval_s
                load = tuple(
                    engine.published_load
                    for engine in sequence.engines
                    if engine.published_load is not None
                )
            frame = TokenFrame(
                call.request,
                call.attempt,
                position,
                token,
                sequence.stages,
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
                sequence.stage_index = 0
                group[0].append(sequence)
            frames = group[1].get(sequence.origin)
            if frames is None:
                group[1][sequence.origin] = [(sequence, frame)]
            else:
                frames.append((sequence, frame))
        network = self.network
        for first, (continuing, by_origin) in groups.items():
            returned_at = now + network.transfer(state.name, first.name, len(continuing))
            if continuing:
                self._send(continuing, first, returned_at)
            for origin, frames in by_origin.items():
                arrival = returned_at + network.delay(first.name, origin)
                self.scheduler.call_at(arrival, self._deliver, frames)

    def _deliver(self, group: list) -> None:
        for sequence, frame in group:
            if sequence.ended:
                continue
            if frame.final:
                self.finished_count += 1
                self._release(sequence)
            sequence.on_frame(frame)

    def _release(self, sequence: Sequence) -> None:
        sequence.ended = True
        for state, stage in zip(sequence.engines, sequence.stages, strict=False):
            if state.resident.pop(id(sequence), None) is not None:
                self.caches.retain_for_export(state, sequence, stage)

    def _fail(self, sequence: Sequence, failure: Failure, delay: float) -> None:
        self._release(sequence)
        return_delay = self.network.delay(sequence.stages[0].server, sequence.origin)
        self.scheduler.call_at(
            self.scheduler.now + delay + return_delay, partial(sequence.on_failure, failure)
        )

    def _sample_load(self, state: EngineState, now: float) -> None:
        state.load_sampled_at = now
        state.published_load = state.sampled_load
        used = sum(
            sequence.input_tokens + sequence.position for sequence in state.resident.values()
        )
        free = max(0.0, 1.0 - used / self.settings.kv_capacity_tokens)
        state.sampled_load = LoadReport(
            state.name, state.ready_count, state.batch_size, free, state.step_s
        )

    def kill(self, server: str, silent: bool = False) -> None:
        """Kill a server.

        :param server: name of the server
        :param silent: whether its streams get no further frame and no failure; otherwise they fail
            after ``failure_detection_s``
        """
        state = self.states[server]
        if not state.alive:
            return
        state.alive = False
        state.epoch += 1
        resident = list(state.resident.values())
        failure = STAGE_DIED.because(f"server {server} died during the call", server=server)
        for sequence in resident:
            if silent:
                self._release(sequence)
            else:
                self._fail(sequence, failure, self.settings.failure_detection_s)
        state.clear()
