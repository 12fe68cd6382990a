"""Base class for simple value classes."""

__all__ = ["Record"]


class Record:
    """Base class of values with named fields, compared and hashed by their fields.

    A subclass lists its fields in ``__slots__``, and the defaults of its optional fields in
    ``_defaults``. Default values must be immutable because all instances share them.

    :raises TypeError: if a field is missing, unknown or given twice

    >>> class Point(Record):
    ...     __slots__ = ("x", "y")
    ...     _defaults = {"y": 0}
    >>> Point(1)
    Point(x=1, y=0)
    >>> Point(1) == Point(x=1, y=0)
    True
    """

    __slots__ = ()
    _defaults: dict = {}

    def __init__(self, *args, **fields):
        names = self.__slots__
        if len(args) > len(names):
            raise TypeError(
                f"{type(self).__name__} takes at most {len(names)} fields, got {len(args)}"
            )
        for name, value in zip(names, args, strict=False):
            if name in fields:
                raise TypeError(f"{type(self).__name__} got field {name!r} twice")
            setattr(self, name, value)
        for name in names[len(args) :]:
            if name in fields:
                setattr(self, name, fields.pop(name))
            elif name in self._defaults:
                setattr(self, name, self._defaults[name])
            else:
                raise TypeError(f"{type(self).__name__} requires field {name!r}")
        if fields:
            raise TypeError(f"{type(self).__name__} has no field {sorted(fields)[0]!r}")

    def replace(self, **changes):
        """Return a copy with some fields replaced.

        :param changes: new values by field name
        :returns: a new instance of the same class
        """
        return type(self)(**(self.to_dict() | changes))

    def to_dict(self) -> dict:
        """Return the fields by name, in the order of ``__slots__``."""
        return {name: getattr(self, name) for name in self.__slots__}

    def __eq__(self, other):
        if type(other) is not type(self):
            return NotImplemented
        return all(getattr(self, name) == getattr(other, name) for name in self.__slots__)

    def __hash__(self):
        return hash((type(self), *(getattr(self, name) for name in self.__slots__)))

    def __repr__(self):
        fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__name__}({fields})"
