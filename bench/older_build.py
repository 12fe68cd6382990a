"""The build of an earlier commit, for runs of two versions side by side."""

import io
import pathlib
import subprocess
import tarfile
import tomllib

__all__ = ["extract_build", "read_production"]

_ROOT = pathlib.Path(__file__).parent.parent


def read_production() -> str:
    """Return the commit of the version in production, which the deploy file names."""
    return tomllib.loads((_ROOT / "deploy/system.toml").read_text())["production"]


def extract_build(commit: str, folder: pathlib.Path) -> pathlib.Path:
    """Write the package of a commit into a folder, from the history of this repository.

    :returns: folder to be put first on Python's path
    :raises subprocess.CalledProcessError: if the history does not have the commit
    """
    command = ["git", "-C", str(_ROOT), "archive", commit, "basilwinch"]
    archive = subprocess.run(command, check=True, capture_output=True).stdout
    build = folder / "build"
    with tarfile.open(fileobj=io.BytesIO(archive)) as files:
        files.extractall(build, filter="data")
    return build
