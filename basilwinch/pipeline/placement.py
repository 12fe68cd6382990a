"""Placement of the layers of a model on servers."""

from basilwinch.pipeline.chain import Stage
from basilwinch.record import Record

__all__ = ["Placement"]


class Placement(Record):
    """Layer ranges of one model on the servers that hold them.

    :param model: name of the model
    :param version: version of the weights, empty if the model has only one
    :param stages: tuple of :class:`~basilwinch.pipeline.Stage`, in no particular order
    """

    __slots__ = ("model", "version", "stages")

    @classmethod
    def from_json_dict(cls, fields: dict) -> "Placement":
        """Build a placement from its JSON form.

        :param fields: the JSON object
        :raises TypeError, KeyError: on a malformed placement
        """
        stages = tuple(Stage(*stage) for stage in fields["stages"])
        return cls(fields["model"], fields["version"], stages)

    def to_json_dict(self) -> dict:
        """Return the JSON form that :meth:`from_json_dict` reads."""
        stages = [stage.to_list() for stage in self.stages]
        return {"model": self.model, "version": self.version, "stages": stages}
