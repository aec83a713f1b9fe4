"""Maps paths of the file front to volumes, and lists the virtual directories above the volumes."""

from __future__ import annotations

import posixpath
from collections.abc import Sequence

from cleatyoke.config.fronts_file import VolumePath
from cleatyoke.sftp.packets import Attrs, Name, StatusCode

DIRECTORY_PERMISSIONS = 0o040755  # permission bits with the directory file type


class CommandRejectedError(Exception):
    """A client's command that the front itself answers with an error status."""

    def __init__(self, code: StatusCode, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


class VolumePaths:
    """The configured volumes, by the path prefix of their files."""

    def __init__(self, volumes: Sequence[VolumePath]) -> None:
        self._volumes = volumes

    def find(self, path: str) -> VolumePath:
        """Return the volume of an absolute path; raises ``CommandRejectedError`` if there is none."""
        for volume in self._volumes:
            if path == volume.prefix or path.startswith(volume.prefix.rstrip("/") + "/"):
                return volume
        raise CommandRejectedError(StatusCode.SSH_FX_NO_SUCH_FILE, f"{path}: below no volume")

    def list_virtual_directory(self, path: str) -> list[Name]:
        """Return the entries of a directory above the volumes, or an empty list for any other path.

        Such a directory belongs to no volume and is listed without a backend.
        """
        parent = path.rstrip("/") + "/"
        if any(parent.startswith(volume.prefix + "/") for volume in self._volumes):
            return []
        names = {
            volume.prefix[len(parent) :].partition("/")[0]
            for volume in self._volumes
            if volume.prefix.startswith(parent)
        }
        return [Name(name, name, Attrs(permissions=DIRECTORY_PERMISSIONS)) for name in sorted(names)]


def absolute_path(path: str) -> str:
    """Return a client's path as an absolute path, without ``.``, ``..`` and repeated slashes."""
    return "/" + posixpath.normpath("/" + path).lstrip("/")
