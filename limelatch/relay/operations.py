"""The operators' commands on a relay; each returns its one-line reply."""

from __future__ import annotations

from collections.abc import Callable

from limelatch import interface as li
from limelatch.relay.drain_state import DrainState
from limelatch.relay.operator_error import OperatorError
from limelatch.relay.suspended_hosts import SuspendedHosts


class Operations:
    """Carries out the operators' commands on the driver of one relay."""

    def __init__(self, driver, suspended: SuspendedHosts, drain_state: DrainState) -> None:
        self._driver, self.suspended, self._drain_state = driver, suspended, drain_state

    def members(self) -> str:
        """Summarize the states of all members. Raises OperatorError if membership is off."""
        if self._driver.peers is None:
            raise OperatorError("membership is off")
        return f"+OK {self._driver.peers.members().line()}"

    def status(self) -> str:
        """Report whether clients are served, with counts of texts and hosts."""
        driver = self._driver
        if driver.stopping:
            return "-ERR stopping"
        if not driver.ready:
            return "-ERR starting"
        return (
            f"+OK serving owed={len(driver.accepted)} hosts={len(driver.catalog.directory)} "
            f"out={len(self.suspended.counts)}"
            f" paused={'yes' if driver.listener.paused else 'no'}"
            f" folder={'ok' if driver.storage_monitor.gate.failing_since is None else 'failing'}"
        )

    def pause(self) -> str:
        """Turn clients away until RESUME, also in later processes; work on accepted texts continues.

        Raises OperatorError if the change can't be stored."""
        self._store(self._drain_state.begin)
        self._driver.listener.pause()
        return f"+OK paused owed={len(self._driver.accepted)}"

    def resume(self) -> str:
        """Serve clients again. Raises OperatorError if the change can't be stored."""
        self._store(self._drain_state.end)
        self._driver.listener.resume()
        return "+OK serving" if self._driver.ready else "+OK starting"

    @staticmethod
    def _store(change: Callable[[], None]) -> None:
        try:
            change()
        except OSError as error:
            raise OperatorError(f"not done, the folder does not keep it: {error.strerror}") from None

    def knows(self, host: li.HostId) -> bool:
        """Whether the host is in the catalog's list, or suspended."""
        return host in self.suspended.counts or self._driver.catalog.directory.find(host) is not None

    def suspend(self, host: li.HostId) -> str:
        """Treat the host as draining until RESTORE, whatever the catalog says.

        Raises OperatorError if the change can't be stored."""
        self.refresh_suspended()
        if self.suspended.suspend(host):
            self._driver.refresh_host(host)
        return f"+OK {host.decode()} out, {self.suspended.counts[host]} calls"

    def restore(self, host: li.HostId) -> str:
        """End the suspension. Raises OperatorError if the change can't be stored."""
        self.refresh_suspended()
        if self.suspended.restore(host):
            self._driver.refresh_host(host)
        return f"+OK {host.decode()} back"

    def refresh(self) -> None:
        """Apply the changes that operators have made at the other process of an upgrade."""
        self.refresh_suspended()
        if self._driver.handover.has_host_data:
            self.refresh_drain()

    def refresh_drain(self) -> None:
        """Begin or end a drain as an earlier process, or the other one of an upgrade, was told."""
        if self._drain_state.refresh():
            self._driver.listener.pause()
        else:
            self._driver.listener.resume()

    def refresh_suspended(self) -> None:
        """Apply the changes to suspended hosts that the other process of an upgrade was told."""
        for host in self.suspended.refresh() if self._driver.handover.has_host_data else ():
            self._driver.refresh_host(host)
