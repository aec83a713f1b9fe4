"""Which volume a path of the file service belongs to, and the directories above the volumes."""

from __future__ import annotations

import posixpath
from collections.abc import Sequence

from cleatyoke.config.fronts_file import VolumePath
from cleatyoke.sftp.packets import Attrs, Name, StatusCode

DIRECTORY_PERMISSIONS = 0o040755  # with the file type of a directory


class CommandRejectedError(Exception):
    """A client's command is answered with an error, without a backend."""

    def __init__(self, code: StatusCode, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


class VolumePaths:
    """The volumes of the settings, by the prefix of their files' paths."""

    def __init__(self, volumes: Sequence[VolumePath]) -> None:
        self._volumes = volumes

    def find(self, path: str) -> VolumePath:
        """Return the volume of an absolute path; raises ``CommandRejectedError`` where it has none."""
        for volume in self._volumes:
            if path == volume.prefix or path.startswith(volume.prefix.rstrip("/") + "/"):
                return volume
        raise CommandRejectedError(StatusCode.SSH_FX_NO_SUCH_FILE, f"{path}: below no volume")

    def list_above(self, path: str) -> list[Name]:
        """Return the entries of a directory that holds volumes and belongs to none, else an empty list.

        Such a directory is listed without a backend.
        """
        start = path.rstrip("/") + "/"
        if any(start.startswith(volume.prefix + "/") for volume in self._volumes):
            return []
        names = {
            volume.prefix[len(start) :].partition("/")[0]
            for volume in self._volumes
            if volume.prefix.startswith(start)
        }
        return [Name(name, name, Attrs(permissions=DIRECTORY_PERMISSIONS)) for name in sorted(names)]


def absolute_path(path: str) -> str:
    """Return a client's path as an absolute one, without ``.``, ``..`` and doubled slashes."""
    return "/" + posixpath.normpath("/" + path).lstrip("/")
