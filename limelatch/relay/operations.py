"""What operators ask of a relay through its door; each answer is one line."""

from __future__ import annotations

from limelatch import interface as li
from limelatch.relay.operator_server import OperatorError, SuspendedHosts


class Operations:
    """Carries out the operators' calls on one relay's driver."""

    def __init__(self, driver, suspended: SuspendedHosts) -> None:
        self._driver, self.suspended = driver, suspended

    def members(self) -> str:
        """What this relay holds of the others. DoorError where it does not watch them."""
        if self._driver.peers is None:
            raise OperatorError("membership is off")
        return f"+OK {self._driver.peers.members().line()}"

    def status(self) -> str:
        """Whether clients are served, and what the relay holds."""
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
        """Send clients away; what the relay holds goes on."""
        self._driver.listener.pause()
        return f"+OK paused owed={len(self._driver.accepted)}"

    def resume(self) -> str:
        """Take clients again."""
        self._driver.listener.resume()
        return "+OK serving" if self._driver.ready else "+OK starting"

    def knows(self, host: li.HostId) -> bool:
        """Whether the list has told the host, or it is out."""
        return host in self.suspended.counts or self._driver.catalog.directory.find(host) is not None

    def suspend(self, host: li.HostId) -> str:
        """The host counts as draining until RESTORE, whatever the catalog says."""
        self.refresh_suspended()
        if self.suspended.suspend(host):
            self._driver.refresh_host(host)
        return f"+OK {host.decode()} out, {self.suspended.counts[host]} calls"

    def restore(self, host: li.HostId) -> str:
        """The catalog's own line of the host holds again."""
        self.refresh_suspended()
        if self.suspended.restore(host):
            self._driver.refresh_host(host)
        return f"+OK {host.decode()} back"

    def refresh_suspended(self) -> None:
        """What operators have told the other process of an upgrade binds this one."""
        for host in self.suspended.refresh() if self._driver.handover.has_host_data else ():
            self._driver.refresh_host(host)
