"""Which relays each entry host is told of."""

from __future__ import annotations

from collections import Counter

from jujubeslip.control._relay_list import RELAYS_PER_HOST, RelayList
from jujubeslip.peers import RelayRecord

HOSTS = 300
CUT_OFF = 100


def record(number: int) -> RelayRecord:
    return RelayRecord(f"entry-{number}", f"10.0.0.1:{number + 1}", "zone-1")


class TestRelayList:
    def test_host_is_not_told_of_itself(self) -> None:
        relays = RelayList()
        relays.replace([record(0), record(1)])
        assert relays.chosen_for("entry-0") == [record(1)]

    def test_version_changes_with_the_relays_only(self) -> None:
        relays = RelayList()
        before = relays.version
        relays.replace([record(0), record(1)])
        changed = relays.version
        relays.replace([record(1), record(0)])
        assert before < changed == relays.version
        relays.replace([record(0)])
        assert relays.version > changed

    def test_many_hosts_are_helped_by_many(self) -> None:
        """Guards against one relay that gets the requests of most hosts."""
        relays = RelayList()
        relays.replace(record(number) for number in range(CUT_OFF, HOSTS))
        hosts = [f"entry-{number}" for number in range(CUT_OFF)]
        told = Counter(
            relay.host_id for host in hosts for relay in relays.chosen_for(host)
        )
        mean = CUT_OFF * RELAYS_PER_HOST / (HOSTS - CUT_OFF)
        assert max(told.values()) <= 4 * mean
        assert all(len(relays.chosen_for(host)) == RELAYS_PER_HOST for host in hosts)
