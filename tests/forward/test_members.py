"""Tests of the membership: hosts agree on duties, and failed hosts lose theirs."""

from savoryfork.forward.members import MEMBER_TIMEOUT_MS, SUSPECT_MS, Member, Members


def member(address: str, counter: int = 1, **changes: object) -> Member:
    return Member(address, "z", 1, counter, False, True)._replace(**changes)


def membership(local: str, others: list[str], now: float = 0.0) -> Members:
    members = Members(member(local), [])
    members.merge([member(other) for other in others], now)
    return members


NAMES = [f"10.0.0.{n}:1" for n in range(5)]


class TestOwners:
    def test_all_hosts_agree(self):
        orders = [membership(name, NAMES).owners("duty", 0.0) for name in NAMES]
        assert all(order == orders[0] for order in orders) and len(orders[0]) == 5

    def test_a_stopping_host_comes_last(self):
        members = membership(NAMES[0], NAMES)
        first = members.owners("duty", 0.0)[0]
        if first == NAMES[0]:
            members.heartbeat(leaving=True)
        else:
            members.merge([member(first, 2, leaving=True)], 0.0)
        assert members.owners("duty", 0.0)[-1] == first

    def test_weak_hosts_come_after_strong_ones(self):
        """Guards against a host with half a core and 5 Mbit/s as coordinator of a large site."""
        members = membership(NAMES[0], NAMES)
        members.local = members.local._replace(strength=0.2)
        members.merge([member(NAMES[1], 2, strength=0.2)], 0.0)
        assert set(members.owners("duty", 0.0)[-2:]) == {NAMES[0], NAMES[1]}

    def test_the_parts_of_a_duty_go_to_different_hosts(self):
        members = membership(NAMES[0], NAMES)
        owners = members.shared_owners("duty", 3, 0.0)
        assert len(set(owners)) == 3
        assert members.shared_owners("duty", 7, 0.0)[:3] == owners


class TestStore:
    def test_peers_reach_the_store_unless_all_hosts_lost_it(self):
        members = membership(NAMES[0], NAMES)
        assert members.others_reach_store(0.0)
        members.merge([member(name, 2, store_ok=False) for name in NAMES], 0.0)
        assert not members.others_reach_store(0.0)


class TestLiveness:
    def test_a_host_without_heartbeats_times_out(self):
        members = membership(NAMES[0], NAMES)
        assert len(members.alive(MEMBER_TIMEOUT_MS - 1)) == 5
        assert len(members.alive(MEMBER_TIMEOUT_MS)) == 1

    def test_a_forwarded_entry_without_a_higher_counter_does_not_refresh_a_host(self):
        members = membership(NAMES[0], NAMES)
        members.merge([member(NAMES[1])], MEMBER_TIMEOUT_MS)
        assert len(members.alive(MEMBER_TIMEOUT_MS)) == 1

    def test_a_new_incarnation_replaces_an_entry_with_a_higher_counter(self):
        members = membership(NAMES[0], [])
        members.merge([member(NAMES[1], counter=900)], 0.0)
        members.merge([member(NAMES[1], counter=1, incarnation=2)], MEMBER_TIMEOUT_MS)
        assert len(members.alive(MEMBER_TIMEOUT_MS)) == 2

    def test_a_suspect_host_is_excluded_for_a_while(self):
        members = membership(NAMES[0], NAMES)
        members.mark_suspect(NAMES[1], 0.0)
        assert NAMES[1] not in members.owners("duty", SUSPECT_MS - 1)
        assert NAMES[1] in members.owners("duty", SUSPECT_MS)


class TestReaders:
    def test_a_host_cut_off_from_the_store_is_the_last_choice_as_reader(self):
        members = membership(NAMES[0], NAMES)
        first = members.readers(0.0)[0]
        if first == NAMES[0]:
            members.heartbeat(store_ok=False)
        else:
            members.merge([member(first, 2, store_ok=False)], 0.0)
        assert members.readers(0.0)[-1] == first

    def test_updates_reach_300_hosts_within_three_levels(self):
        names = [f"10.0.{n // 100}.{n % 100}:1" for n in range(300)]
        upstreams = {name: membership(name, names).upstream(0.0) for name in names}
        for host in names:
            levels = 0
            while (host := upstreams[host]) is not None:
                levels += 1
            assert levels <= 3
