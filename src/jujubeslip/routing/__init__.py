"""Request routing: policies, limits of client accounts and retry budgets."""

from jujubeslip.routing._client_limits import ClientLimits
from jujubeslip.routing._home_policies import home_policies, scheduler_options
from jujubeslip.routing._home_router import HomeRouter
from jujubeslip.routing._limit_reports import LimitReports
from jujubeslip.routing._local_router import LocalRouter
from jujubeslip.routing._models import Forecast, Reservation, ReservationRequest, Router
from jujubeslip.routing._policies import local_policies
from jujubeslip.routing._retry_budgets import RetryBudgets

__all__ = [
    "ClientLimits",
    "Forecast",
    "HomeRouter",
    "LimitReports",
    "LocalRouter",
    "Reservation",
    "ReservationRequest",
    "RetryBudgets",
    "Router",
    "home_policies",
    "local_policies",
    "scheduler_options",
]
