"""The endpoint list as it is saved: one record for each host, and one for the list's version and size."""

from __future__ import annotations

from typing import Any, NamedTuple

MAX_HOSTS = 4_096  # of a list that are saved
HOST_FIELDS = ("host", "dial", "site", "block", "health", "born_ms")  # of discovery's JSON
REMOVED = "removed"  # the health of a host that the list no longer has
INCOMPLETE = -1  # in place of the number of hosts, of a list that is not saved completely

Host = dict[str, Any]  # as discovery sent it, limited to `HOST_FIELDS`


class HostChange(NamedTuple):
    """A host whose record is to be written; without a host it is to be deleted."""

    name: str
    host: Host | None


class SavedEndpointList:
    """Owns the hosts of the last list, as far as they are saved."""

    def __init__(self) -> None:
        self.hosts: dict[str, Host] = {}
        self.incomplete = False  # of no use until discovery sends the next full list

    def replace(self, hosts: list[Host]) -> None:
        """Take the hosts of a complete list that was read from disk."""
        self.hosts = {str(host["host"]): host for host in hosts}
        self.incomplete = False

    def update(self, raw: dict[str, Any]) -> list[HostChange]:
        """Follow a list, or a change of one, as discovery sent it; return what is to be written."""
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
        missed = not present <= self.hosts.keys()
        self.incomplete = missed or (self.incomplete and not raw.get("whole"))
        return changes

    def complete(self) -> list[Host] | None:
        """Return all hosts; None if some of them are not saved, or none is known."""
        return None if self.incomplete or not self.hosts else list(self.hosts.values())

    def version_record(self, version: int) -> dict[str, int]:
        """Return the record of the list's version, by whose number of hosts a torn list is found."""
        return {"seq": version, "hosts": INCOMPLETE if self.incomplete else len(self.hosts)}
