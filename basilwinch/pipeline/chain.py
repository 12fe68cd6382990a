"""Stages of a model and chains of stages."""

from basilwinch.exception import BROKEN_CHAIN, Failure
from basilwinch.record import Record

__all__ = ["Chain", "Stage"]


class Stage(Record):
    """A layer range on one server.

    :param server: name of the server
    :param first: first layer, counted from 0
    :param end: layer after the last one
    """

    __slots__ = ("server", "first", "end")

    def to_list(self) -> list:
        """Return the JSON form ``[server, first, end]``."""
        return [self.server, self.first, self.end]


class Chain(Record):
    """A sequence of stages that covers every layer of a model exactly once.

    :param model: name of the model
    :param stages: tuple of :class:`Stage` in the order of execution
    """

    __slots__ = ("model", "stages")

    @classmethod
    def from_stages(cls, model: str, layers: int, stages) -> "Chain | Failure":
        """Build a chain, or a failure if the stages do not cover all layers exactly once in order.

        :param layers: number of layers of the model
        :param stages: iterable of stages in the order of execution
        :returns: a chain, or ``BROKEN_CHAIN``. Linear in the stages.

        >>> bool(Chain.from_stages("m", 4, [Stage("a", 0, 2), Stage("b", 2, 4)]))
        True
        >>> Chain.from_stages("m", 4, [Stage("a", 0, 2), Stage("b", 3, 4)])
        Failure(broken_chain: stage b covers layers 3 to 4, expected a non-empty range from 2)
        """
        stages = tuple(stages)
        expected = 0
        for stage in stages:
            if stage.first != expected or stage.end <= stage.first:
                return BROKEN_CHAIN.because(
                    f"stage {stage.server} covers layers {stage.first} to {stage.end}, "
                    f"expected a non-empty range from {expected}"
                )
            expected = stage.end
        if expected != layers:
            return BROKEN_CHAIN.because(
                f"the chain covers layers 0 to {expected}, expected 0 to {layers} (end excluded)"
            )
        return cls(model, stages)

    @property
    def servers(self) -> tuple[str, ...]:
        """Names of the servers in the order of execution."""
        return tuple(stage.server for stage in self.stages)
