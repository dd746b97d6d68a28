"""Tests of the membership: hosts agree on duties, and failed hosts lose theirs."""

from savoryfork.forward.members import (
    CONFIRM_MS,
    CONTACT_MS,
    FAILED_RETENTION_MS,
    SUSPECT_MS,
    Member,
    Members,
)


def member(address: str, version: int = 1, **changes: object) -> Member:
    return Member(address, "z", 1, version, False, True)._replace(**changes)


def membership(local: str, others: list[str], now: float = 0.0) -> Members:
    members = Members(member(local), [])
    members.merge([member(other) for other in others], "source", now)
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
            members.update_local(leaving=True)
        else:
            members.merge([member(first, 2, leaving=True)], first, 0.0)
        assert members.owners("duty", 0.0)[-1] == first

    def test_weak_hosts_come_after_strong_ones(self):
        """Guards against a host with half a core and 5 Mbit/s as coordinator of a large site."""
        members = membership(NAMES[0], NAMES)
        members.local = members.local._replace(strength=0.2)
        members.merge([member(NAMES[1], 2, strength=0.2)], NAMES[1], 0.0)
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
        members.merge([member(name, 2, store_ok=False) for name in NAMES], "source", 0.0)
        assert not members.others_reach_store(0.0)


class TestLiveness:
    def fail(self, members: Members, address: str, at: float) -> bool:
        """Records a failed call while another host is in contact."""
        members.contact_at = at
        return members.record_failure(address, at)

    def test_host_that_fails_twice_is_marked_as_failed(self):
        """Guards against a lost host that keeps its duties."""
        members = membership(NAMES[0], NAMES)
        assert not self.fail(members, NAMES[1], 0.0)
        assert self.fail(members, NAMES[1], CONFIRM_MS)
        assert members.known[NAMES[1]].failed
        assert NAMES[1] not in members.owners("duty", CONFIRM_MS + SUSPECT_MS)

    def test_two_failures_in_short_succession_mark_nobody(self):
        """Guards against a pause of the network that takes away a host's duties everywhere."""
        members = membership(NAMES[0], NAMES)
        self.fail(members, NAMES[1], 0.0)
        assert not self.fail(members, NAMES[1], CONFIRM_MS - 1)

    def test_answer_between_two_failures_ends_the_suspicion(self):
        members = membership(NAMES[0], NAMES)
        self.fail(members, NAMES[1], 0.0)
        members.record_answer(NAMES[1], 100.0)
        assert len(members.alive(100.0)) == 5
        assert not self.fail(members, NAMES[1], CONFIRM_MS)

    def test_host_out_of_contact_marks_nobody(self):
        """Guards against a cut-off host that reports all others as failed when it returns."""
        members = membership(NAMES[0], NAMES)
        members.record_answer(NAMES[2], 0.0)
        members.record_failure(NAMES[1], 0.0)
        assert not members.record_failure(NAMES[1], CONTACT_MS + 1)
        assert not members.record_failure(NAMES[1], CONTACT_MS + CONFIRM_MS)

    def test_failure_mark_wins_over_the_same_entry_and_loses_to_a_newer_one(self):
        members = membership(NAMES[0], NAMES)
        members.merge([member(NAMES[1], failed=True)], NAMES[2], 0.0)
        assert not members.merge([member(NAMES[1])], NAMES[3], 0.0)
        assert len(members.alive(0.0)) == 4
        members.merge([member(NAMES[1], 2)], NAMES[3], 0.0)
        assert len(members.alive(0.0)) == 5

    def test_host_cancels_its_own_failure_mark(self):
        """Guards against a host that thaws and stays excluded for good."""
        members = membership(NAMES[0], NAMES)
        members.merge([member(NAMES[0], failed=True)], NAMES[1], 0.0)
        assert members.local.version == 2 and not members.local.failed

    def test_failure_mark_of_a_former_process_does_not_concern_the_new_one(self):
        members = Members(member(NAMES[0], incarnation=2), [])
        members.merge([member(NAMES[0], 9, failed=True)], NAMES[1], 0.0)
        assert members.local.version == 1

    def test_host_that_restarts_with_an_earlier_clock_is_believed(self):
        """Guards against a wall clock that goes back: the entry of the former process stayed."""
        members = membership(NAMES[0], NAMES)
        members.merge([member(NAMES[1], 9, incarnation=5, failed=True)], NAMES[2], 0.0)
        restarted = Members(member(NAMES[1], incarnation=3), [])
        restarted.merge(members.entries(), NAMES[0], 0.0)
        members.merge([restarted.local], NAMES[1], 0.0)
        assert len(members.alive(0.0)) == 5
        assert members.known[NAMES[1]] == restarted.local
        assert not restarted.merge(members.entries(), NAMES[0], 0.0)

    def test_a_new_incarnation_replaces_an_entry_with_a_higher_version(self):
        members = membership(NAMES[0], [])
        members.merge([member(NAMES[1], 900, failed=True)], NAMES[1], 0.0)
        members.merge([member(NAMES[1])], NAMES[1], 0.0)
        members.merge([member(NAMES[1], incarnation=2)], NAMES[1], 0.0)
        assert len(members.alive(0.0)) == 2

    def test_new_incarnation_is_not_suspected_for_its_former_process(self):
        members = membership(NAMES[0], NAMES)
        members.record_failure(NAMES[1], 0.0)
        assert len(members.alive(0.0)) == 4
        members.merge([member(NAMES[1], incarnation=2)], NAMES[2], 0.0)
        assert len(members.alive(0.0)) == 5

    def test_failure_mark_is_forgotten_in_the_end(self):
        """Guards against a list that grows with every host that ever was."""
        members = membership(NAMES[0], NAMES)
        members.merge([member(NAMES[1], failed=True)], NAMES[2], 0.0)
        members.expire(FAILED_RETENTION_MS)
        assert members.failed() == [NAMES[1]]
        members.expire(FAILED_RETENTION_MS + 1)
        assert not members.failed() and NAMES[1] not in members.known

    def test_a_suspect_host_is_excluded_for_a_while(self):
        members = membership(NAMES[0], NAMES)
        members.record_failure(NAMES[1], 0.0)
        assert NAMES[1] not in members.owners("duty", SUSPECT_MS - 1)
        assert NAMES[1] in members.owners("duty", SUSPECT_MS)


class TestChanges:
    def test_only_changes_are_sent_and_not_back_to_their_source(self):
        """Guards against messages that grow with the number of hosts."""
        members = membership(NAMES[0], NAMES)
        revision = members.revision
        assert members.changes_since(revision, "other") == []
        members.merge([member(NAMES[1], 2)], NAMES[2], 0.0)
        assert [m.address for m in members.changes_since(revision, "other")] == [NAMES[1]]
        assert members.changes_since(revision, NAMES[2]) == []

    def test_digests_agree_exactly_if_the_live_entries_do(self):
        first, second = (membership(name, NAMES) for name in NAMES[:2])
        assert first.digest() == second.digest()
        first.merge([member(NAMES[3], 2)], NAMES[3], 0.0)
        assert first.digest() != second.digest()
        second.merge(first.entries(), NAMES[0], 0.0)
        assert first.digest() == second.digest()


class TestReaders:
    def test_a_host_cut_off_from_the_store_is_the_last_choice_as_reader(self):
        members = membership(NAMES[0], NAMES)
        first = members.readers(0.0)[0]
        if first == NAMES[0]:
            members.update_local(store_ok=False)
        else:
            members.merge([member(first, 2, store_ok=False)], first, 0.0)
        assert members.readers(0.0)[-1] == first

    def test_updates_reach_300_hosts_within_three_levels(self):
        names = [f"10.0.{n // 100}.{n % 100}:1" for n in range(300)]
        upstreams = {name: membership(name, names).upstream(0.0) for name in names}
        for host in names:
            levels = 0
            while (host := upstreams[host]) is not None:
                levels += 1
            assert levels <= 3
