"""Homes: one entry host per service and locality grants the endpoints' capacity."""

from jujubeslip.homes._estimates import Estimates
from jujubeslip.homes._homes import Homes
from jujubeslip.homes._pool import Pool
from jujubeslip.homes._records import EndpointRecord, GrantRecord, Waiter
from jujubeslip.homes._scheduler import Scheduler, SchedulerOptions

__all__ = [
    "EndpointRecord",
    "Estimates",
    "GrantRecord",
    "Homes",
    "Pool",
    "Scheduler",
    "SchedulerOptions",
    "Waiter",
]
