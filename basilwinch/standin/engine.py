"""Simulated inference engines with server orders, KV cache transfer and fault injection."""

from basilwinch.exception import FENCED, SERVER_REFUSED, SERVER_UNREACHABLE, ServerError
from basilwinch.pipeline import Stage
from basilwinch.server import OrderKind, ServerOrder, ServerOrderReply
from basilwinch.standin.batching import BatchEngines
from basilwinch.standin.sequence import EngineState, KvBlock

__all__ = ["StandinEngines"]


class StandinEngines(BatchEngines):
    """Simulates all inference engines of a test, with orders, KV transfer and faults.

    :meth:`run` must run in a nursery. Faults take effect at once.
    """

    __slots__ = ()

    # KV cache transfer.

    def export_kv(self, server: str, request: str) -> KvBlock:
        """Return the KV cache that a server retains of an ended request.

        :raises ServerError: ``SERVER_UNREACHABLE`` or ``SERVER_REFUSED``
        """
        block = self._require(server).exports.get(request)
        if block is None:
            raise ServerError(
                SERVER_REFUSED.because(f"server {server} has no KV cache of request {request}")
            )
        return block

    def import_kv(self, server: str, block: KvBlock) -> float:
        """Copy the KV cache of a request to a server.

        :returns: seconds that the transfer takes
        :raises ServerError: ``SERVER_UNREACHABLE``
        """
        state = self._require(server)
        stage = Stage(server, block.stage.first, block.stage.end)
        state.imports[block.request] = block.replace(stage=stage)
        return self.network.transfer(block.stage.server, server, block.tokens)

    # Server orders.

    def order(self, server: str, order: ServerOrder) -> tuple[float, ServerOrderReply]:
        """Carry out an order.

        :returns: seconds that it takes, and the reply
        :raises ServerError: ``FENCED`` if the server checks fencing tokens and this one is stale,
            or ``SERVER_UNREACHABLE``
        """
        state = self._require(server)
        if state.checks_fencing and order.fence < state.fence:
            reason = f"fencing token {order.fence} is lower than the current token {state.fence}"
            raise ServerError(FENCED.because(reason, server=server, fence=state.fence))
        state.fence = max(state.fence, order.fence)
        self.order_log.append((self.scheduler.now, server, order))
        seconds = 0.0
        layer_range = (order.model, order.version, order.first, order.end)
        if order.kind is OrderKind.ROLE:
            state.role = order.model
        elif order.adapter:
            update = state.adapters.add if order.kind is OrderKind.LOAD else state.adapters.discard
            update((order.model, order.adapter))
        elif order.kind is OrderKind.UNLOAD:
            state.holds = [loaded for loaded in state.holds if loaded != layer_range]
        elif layer_range not in state.holds:
            state.holds.append(layer_range)
            seconds = (order.end - order.first) * self.settings.load_layer_s
        return seconds, ServerOrderReply(True, tuple(state.holds))

    def _require(self, server: str) -> EngineState:
        state = self.states.get(server)
        if state is None or not state.alive:
            raise ServerError(SERVER_UNREACHABLE.because(f"server {server} is down", server=server))
        return state

    # Fault injection.

    def revive(self, server: str, keep_layers: bool = True) -> None:
        """Restart a dead server with empty caches, with or without its layers."""
        state = self.states[server]
        state.alive = True
        state.leaving = False
        if not keep_layers:
            state.holds = []

    def mark_leaving(self, server: str) -> None:
        """Mark a server as leaving: it refuses new calls and finishes those in progress."""
        self.states[server].leaving = True

    def slow(self, server: str, factor: float) -> None:
        """Multiply the step time of a server by ``factor``; 1 restores normal speed."""
        self.states[server].slowdown = factor

    def degrade(self, link: tuple[str, str], factor: float) -> None:
        """Multiply the delay of a link by ``factor``; 1 restores the normal delay."""
        self.network.degrade(link, factor)
