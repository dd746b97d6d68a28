"""Hosts agree on duties, and the loss of one moves each duty to one other."""

from savoryfork.forward.members import MEMBER_TIMEOUT_MS, SUSPECT_MS, Member, Members


def member(address: str, counter: int = 1, **changes: object) -> Member:
    return Member(address, "z", 1, counter, False, True)._replace(**changes)


def view(own: str, others: list[str], now: float = 0.0) -> Members:
    members = Members(member(own), [])
    members.merge([member(other) for other in others], now)
    return members


NAMES = [f"10.0.0.{n}:1" for n in range(5)]


class TestOwners:
    def test_all_hosts_agree(self):
        orders = [view(own, NAMES).owners("duty", 0.0) for own in NAMES]
        assert all(order == orders[0] for order in orders) and len(orders[0]) == 5

    def test_a_stopping_host_comes_last(self):
        members = view(NAMES[0], NAMES)
        first = members.owners("duty", 0.0)[0]
        if first == NAMES[0]:
            members.heartbeat(leaving=True)
        else:
            members.merge([member(first, 2, leaving=True)], 0.0)
        assert members.owners("duty", 0.0)[-1] == first

    def test_weak_hosts_come_after_strong_ones(self):
        """A host with half a core and 5 Mbit/s could become coordinator of a grown site."""
        members = view(NAMES[0], NAMES)
        members.local = members.local._replace(strength=0.2)
        members.merge([member(NAMES[1], 2, strength=0.2)], 0.0)
        assert set(members.owners("duty", 0.0)[-2:]) == {NAMES[0], NAMES[1]}

    def test_the_parts_of_a_duty_go_to_different_hosts(self):
        members = view(NAMES[0], NAMES)
        owners = members.shared_owners("duty", 3, 0.0)
        assert len(set(owners)) == 3
        assert members.shared_owners("duty", 7, 0.0)[:3] == owners


class TestStore:
    def test_one_host_cut_off_sends_callers_elsewhere_and_an_outage_does_not(self):
        members = view(NAMES[0], NAMES)
        assert members.others_reach_store(0.0)
        members.merge([member(name, 2, store_ok=False) for name in NAMES], 0.0)
        assert not members.others_reach_store(0.0)


class TestLife:
    def test_a_silent_host_is_gone(self):
        members = view(NAMES[0], NAMES)
        assert len(members.alive(MEMBER_TIMEOUT_MS - 1)) == 5
        assert len(members.alive(MEMBER_TIMEOUT_MS)) == 1

    def test_hearsay_without_a_higher_counter_is_no_sign_of_life(self):
        members = view(NAMES[0], NAMES)
        members.merge([member(NAMES[1])], MEMBER_TIMEOUT_MS)
        assert len(members.alive(MEMBER_TIMEOUT_MS)) == 1

    def test_a_restarted_host_counts_from_the_start(self):
        members = view(NAMES[0], [])
        members.merge([member(NAMES[1], counter=900)], 0.0)
        members.merge([member(NAMES[1], counter=1, incarnation=2)], MEMBER_TIMEOUT_MS)
        assert len(members.alive(MEMBER_TIMEOUT_MS)) == 2

    def test_a_host_that_did_not_answer_is_left_out_for_a_while(self):
        members = view(NAMES[0], NAMES)
        members.mark_suspect(NAMES[1], 0.0)
        assert NAMES[1] not in members.owners("duty", SUSPECT_MS - 1)
        assert NAMES[1] in members.owners("duty", SUSPECT_MS)


class TestReaders:
    def test_a_host_that_the_store_refuses_reads_last(self):
        members = view(NAMES[0], NAMES)
        first = members.readers(0.0)[0]
        if first == NAMES[0]:
            members.heartbeat(store_ok=False)
        else:
            members.merge([member(first, 2, store_ok=False)], 0.0)
        assert members.readers(0.0)[-1] == first

    def test_news_reaches_many_hosts_through_few_levels(self):
        names = [f"10.0.{n // 100}.{n % 100}:1" for n in range(300)]
        sources = {own: view(own, names).upstream(0.0) for own in names}
        for own in names:
            steps = 0
            while (own := sources[own]) is not None:
                steps += 1
            assert steps <= 3
