"""The home policy, and variants of it with one scheduling decision disabled.

The variants exist to measure the effect of each decision (docs/design/decisions.md).
"""

from __future__ import annotations

from jujubeslip.homes import SchedulerOptions
from jujubeslip.kernel import Registry

home_policies: Registry[SchedulerOptions] = Registry("policy")

home_policies.register("home")(SchedulerOptions())
home_policies.register("home-no-reservation")(
    SchedulerOptions(reserve_decode_slot=False)
)
home_policies.register("home-no-order")(SchedulerOptions(priority_order=False))
home_policies.register("home-no-headroom")(SchedulerOptions(urgent_headroom=False))
home_policies.register("home-no-early-refusal")(SchedulerOptions(early_refusal=False))
home_policies.register("home-no-affinity")(SchedulerOptions(prefix_affinity=False))
home_policies.register("home-no-pacing")(SchedulerOptions(link_pacing=False))


def scheduler_options(policy: str) -> SchedulerOptions:
    """Return the scheduler options of a policy; local policies do not use them."""
    return home_policies.by_name.get(policy, SchedulerOptions())
