"""Injects the faults of a schedule."""

from __future__ import annotations

import signal
import time
from collections.abc import Mapping
from dataclasses import replace
from functools import singledispatch

from soak import _schedule
from soak._clients import Client
from soak._endpoints import SoakEndpoint
from soak._observations import Kind, NamedLimit, Observations, Partition
from soak._schedule import Fault, HostFault, LinkFault, describe
from soak._system import SoakSystem
from tests.fakes._spoiled_answers import AnswerSpoiler
from tests.fakes.fault_proxy import Direction, FaultProxy

# How long a fault of responses waits for the requests that it applies to, in seconds.
FAULTY_ANSWERS_SECONDS = 4.0
POLL_SECONDS = 0.05
# The pause between two requests with a fatal content, in seconds.
FATAL_PAUSE_SECONDS = 0.3


class Faults:
    """Injects faults into a system; several threads may, each for one track."""

    def __init__(
        self, system: SoakSystem, endpoint_by_slot: Mapping[str, SoakEndpoint]
    ) -> None:
        self.system = system
        self.endpoint_by_slot = endpoint_by_slot
        self.observations: Observations = system.observations
        self.fatal_client_by_kind = {
            name: Client("fatal", Kind(name), system, 0, fatal=True)
            for name in _schedule.FATAL_KINDS
        }

    def run_track(self, faults: list[Fault], starts_at: float, ends_at: float) -> None:
        """Inject a track's faults, each at its time or after the previous one."""
        for fault in faults:
            wait = max(0.0, starts_at + fault.at - time.monotonic())
            if self.system.stopping.wait(wait):
                return
            if fault.track == "control" and not self._wait_until_ready(fault):
                return
            if time.monotonic() > ends_at:
                return
            print(f"{self.observations.offset(time.monotonic())}: {describe(fault)}")
            carry_out(fault, self)

    def pause(self, seconds: float) -> None:
        """Wait for these seconds, or until the soak ends."""
        self.system.stopping.wait(seconds)

    def _wait_until_ready(self, fault: Fault) -> bool:
        """Wait until the control cluster is ready; false if the track must end."""
        try:
            self.system.wait_until_ready()
        except TimeoutError as error:
            now = self.observations.offset(time.monotonic())
            self.observations.unrecovered.append(f"{now}, before {fault}: {error}")
            return False
        return not self.system.stopping.is_set()


@singledispatch
def carry_out(fault: Fault, faults: Faults) -> None:
    """Inject one fault; return when it is over."""
    raise TypeError(f"no way to carry out {fault}")


@carry_out.register
def _(fault: HostFault, faults: Faults) -> None:
    system = faults.system
    soak_host = system.host_by_slot[fault.host]
    disturbing = faults.observations.disturbing(
        describe(fault), fault.host, planned=isinstance(fault, _schedule.HostStopped)
    )
    with soak_host.lock, disturbing:
        disturb_host(fault, faults)


@singledispatch
def disturb_host(fault: HostFault, faults: Faults) -> None:
    """Inject a fault into a host's process."""
    raise TypeError(f"no way to carry out {fault}")


@disturb_host.register
def _(fault: _schedule.HostStopped, faults: Faults) -> None:
    faults.system.stop(fault.host)
    faults.pause(fault.seconds)
    faults.system.start(fault.host)


@disturb_host.register
def _(fault: _schedule.HostKilled, faults: Faults) -> None:
    faults.system.kill(fault.host)
    faults.pause(fault.seconds)
    faults.system.start(fault.host)


@disturb_host.register
def _(fault: _schedule.HostPaused, faults: Faults) -> None:
    faults.system.send_signal(fault.host, signal.SIGSTOP)
    faults.pause(fault.seconds)
    faults.system.send_signal(fault.host, signal.SIGCONT)


@disturb_host.register
def _(fault: _schedule.DiskLost, faults: Faults) -> None:
    faults.system.kill(fault.host)
    faults.system.remove_data_folder(fault.host)
    faults.pause(fault.seconds)
    faults.system.start(fault.host)


@disturb_host.register
def _(fault: _schedule.DiskFull, faults: Faults) -> None:
    faults.system.fail_writes(fault.host)
    faults.pause(fault.seconds)
    faults.system.kill(fault.host)
    faults.system.start(fault.host)


@disturb_host.register
def _(fault: _schedule.HostReplaced, faults: Faults) -> None:
    faults.system.kill(fault.host)
    faults.pause(fault.seconds)
    faults.system.replace_control(fault.host)


@carry_out.register
def _(fault: _schedule.AllKilled, faults: Faults) -> None:
    system = faults.system
    slots = tuple(system.host_by_slot)
    with system.all_locks(), faults.observations.disturbing(describe(fault), *slots):
        for slot in slots:
            system.kill(slot)
        faults.pause(fault.seconds)
        for slot in slots:
            system.start(slot)


@carry_out.register
def _(fault: _schedule.HostsPartitioned, faults: Faults) -> None:
    links = [faults.system.endpoint_links_by_slot[slot] for slot in fault.hosts]
    partition = Partition(describe(fault), fault.hosts, time.monotonic())
    partitions = faults.observations.partitions
    with faults.observations.disturbing(describe(fault), *fault.hosts):
        for link in links:
            link.cut(fault.how)
        faults.pause(fault.seconds)
        partitions.append(replace(partition, ended_at=time.monotonic()))
        for link in links:
            link.heal()


@carry_out.register
def _(fault: LinkFault, faults: Faults) -> None:
    proxy = faults.system.proxy_by_link[fault.link]
    with faults.observations.disturbing(describe(fault), fault.link):
        disturb_link(fault, proxy)
        faults.pause(fault.seconds)
        proxy.heal()


@singledispatch
def disturb_link(fault: LinkFault, proxy: FaultProxy) -> None:
    """Inject a fault into a link."""
    raise TypeError(f"no way to carry out {fault}")


@disturb_link.register
def _(fault: _schedule.LinkDelayed, proxy: FaultProxy) -> None:
    proxy.delay(fault.delay)


@disturb_link.register
def _(fault: _schedule.LinkCut, proxy: FaultProxy) -> None:
    proxy.cut(Direction(fault.direction) if fault.direction else None)


@disturb_link.register
def _(fault: _schedule.LinkReset, proxy: FaultProxy) -> None:
    proxy.reset()


@disturb_link.register
def _(fault: _schedule.LinkSilenced, proxy: FaultProxy) -> None:
    proxy.freeze()


@carry_out.register
def _(fault: _schedule.EndpointCrashed, faults: Faults) -> None:
    endpoint = faults.endpoint_by_slot[fault.endpoint]
    with endpoint.lock, faults.observations.disturbing(describe(fault), endpoint.slot):
        endpoint.crash(fault.seconds)


@carry_out.register
def _(fault: _schedule.EndpointLeaves, faults: Faults) -> None:
    endpoint = faults.endpoint_by_slot[fault.endpoint]
    with endpoint.lock:
        endpoint.leave(fault.seconds, describe(fault))


@carry_out.register
def _(fault: _schedule.AnswersSpoiled, faults: Faults) -> None:
    endpoint = faults.endpoint_by_slot[fault.endpoint]
    with endpoint.lock, faults.observations.disturbing(describe(fault), endpoint.slot):
        worker_faults = endpoint.worker.faults
        setattr(worker_faults, fault.fault, fault.count)
        deadline = time.monotonic() + FAULTY_ANSWERS_SECONDS
        while getattr(worker_faults, fault.fault) and time.monotonic() < deadline:
            faults.pause(POLL_SECONDS)
        setattr(worker_faults, fault.fault, 0)


@carry_out.register
def _(fault: _schedule.FatalRequests, faults: Faults) -> None:
    for _ in range(fault.count):
        faults.fatal_client_by_kind[fault.kind].send_request_to_any()
        faults.pause(FATAL_PAUSE_SECONDS)


@carry_out.register
def _(fault: _schedule.LimitNamed, faults: Faults) -> None:
    endpoint, limits = (
        faults.endpoint_by_slot[fault.endpoint],
        faults.observations.limits,
    )
    worker = endpoint.worker
    limit = NamedLimit(worker.worker_id, fault.per_second, time.monotonic())
    worker.limit = str(fault.per_second)
    limits.append(limit)
    faults.pause(fault.seconds)
    worker.limit = ""
    limits[limits.index(limit)] = replace(limit, ended_at=time.monotonic())


@carry_out.register
def _(fault: _schedule.BackoffAsked, faults: Faults) -> None:
    worker = faults.endpoint_by_slot[fault.endpoint].worker
    worker.backoff = fault.backoff
    faults.pause(fault.seconds)
    worker.backoff = ""


@carry_out.register
def _(fault: _schedule.EndpointSlowed, faults: Faults) -> None:
    worker = faults.endpoint_by_slot[fault.endpoint].worker
    usual_seconds = worker.run_seconds
    worker.run_seconds = fault.answer_seconds
    faults.pause(fault.seconds)
    worker.run_seconds = usual_seconds


@carry_out.register
def _(fault: _schedule.AnswersDamaged, faults: Faults) -> None:
    workers = [faults.endpoint_by_slot[slot].worker for slot in fault.endpoints]
    with faults.observations.disturbing(describe(fault), *fault.endpoints):
        for number, worker in enumerate(workers):
            worker.spoiler = AnswerSpoiler(fault.seed + number, fault.share)
        faults.pause(fault.seconds)
        for worker in workers:
            worker.spoiler = None


@carry_out.register
def _(fault: _schedule.LeavingSaid, faults: Faults) -> None:
    endpoint = faults.endpoint_by_slot[fault.endpoint]
    worker = endpoint.worker
    worker.leaves = True
    faults.pause(fault.seconds)
    with endpoint.lock, faults.observations.disturbing(describe(fault), endpoint.slot):
        if endpoint.worker is worker:
            endpoint.crash(0.0)
