"""The saved copy of the endpoint list: one record for each host, and one for the list's version and size."""

from __future__ import annotations

from typing import Any, NamedTuple

MAX_HOSTS = 4_096
"""The most hosts of a list that are saved."""

HOST_FIELDS = ("host", "dial", "site", "block", "health", "born_ms")
"""The fields of a host in discovery's JSON that are saved."""

REMOVED = "removed"  # health of a host that was removed from the list
INCOMPLETE_HOST_COUNT = -1
"""Stored in place of the number of hosts if some hosts of the list are not saved."""

Host = dict[str, Any]
"""A host as discovery sent it, limited to `HOST_FIELDS`."""


class HostChange(NamedTuple):
    """A host record to be written, or to be deleted if `host` is None."""

    name: str
    host: Host | None


class SavedEndpointList:
    """Owns the saved hosts of the last endpoint list."""

    def __init__(self) -> None:
        self.hosts: dict[str, Host] = {}
        self.incomplete = False  # if so, it is not restored until discovery sends the next full list

    def replace(self, hosts: list[Host]) -> None:
        """Replace the hosts by those of a complete list that was read from disk."""
        self.hosts = {str(host["host"]): host for host in hosts}
        self.incomplete = False

    def update(self, raw: dict[str, Any]) -> list[HostChange]:
        """Apply a full or partial list as discovery sent it; return the host records that changed."""
        sent = {str(host["host"]): host for host in raw.get("hosts") or ()}
        removed = {name for name, host in sent.items() if host["health"] == REMOVED}
        if raw.get("whole"):
            removed |= self.hosts.keys() - sent.keys()
        changes = [HostChange(name, None) for name in removed & self.hosts.keys()]
        for change in changes:
            del self.hosts[change.name]
        present = sent.keys() - removed
        for name in present:
            if name in self.hosts or len(self.hosts) < MAX_HOSTS:
                self.hosts[name] = {field: sent[name][field] for field in HOST_FIELDS if field in sent[name]}
                changes.append(HostChange(name, self.hosts[name]))
        has_unsaved_hosts = not present <= self.hosts.keys()
        self.incomplete = has_unsaved_hosts or (self.incomplete and not raw.get("whole"))
        return changes

    def hosts_if_complete(self) -> list[Host] | None:
        """Return all hosts; None if some of them are not saved, or the list is empty."""
        return None if self.incomplete or not self.hosts else list(self.hosts.values())

    def version_record(self, version: int) -> dict[str, int]:
        """Return the record of the list's version; its number of hosts shows if host records are missing."""
        return {"seq": version, "hosts": INCOMPLETE_HOST_COUNT if self.incomplete else len(self.hosts)}
