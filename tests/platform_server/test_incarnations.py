"""Which process a task runs in, by every order of what connections can show. No sockets, no clock."""

from itertools import permutations

import pytest

from glencleat.platform_server.incarnations import (
    MAX_CLOSED,
    ConnectionEvidence,
    ConnectionHistory,
    ConnectionLoss,
    ConnectionLosses,
    EventOrder,
    ProcessChange,
    TaskVerdict,
)

RUNS, LOST, UNCERTAIN = TaskVerdict.RUNS, TaskVerdict.LOST, TaskVerdict.UNCERTAIN


class Connections:
    """Connections of a host by name, and the process that each reaches."""

    def __init__(self):
        self.order = EventOrder()
        self.evidence_by_name, self.change = {}, None
        self.history = ConnectionHistory()

    def begin(self, name):
        self.evidence_by_name[name] = ConnectionEvidence(self.order.next_moment())

    def open(self, name, at_ms=0.0):
        if name not in self.evidence_by_name:
            self.begin(name)
        self.evidence_by_name[name].record_opened(self.order.next_moment(), at_ms)
        self.history.add(self.evidence_by_name[name])

    def open_side_by_side(self, *names):
        """Each connect begins before any has opened."""
        for name in names:
            self.begin(name)
        for name in names:
            self.open(name)

    def close(self, name, *, by_host=True):
        evidence = self.evidence_by_name[name]
        if by_host:
            evidence.record_ended(self.order.next_moment(), 0.0)
        else:
            evidence.is_closed_here = True
        self.history.record_closed(self.evidence_by_name[name])

    def answer(self, name, sent_moment=None):
        """The host answers on a connection what was just sent, or was sent at a moment."""
        sent_moment = sent_moment or self.order.next_moment()
        self.history.record_answer(self.evidence_by_name[name], sent_moment)
        if self.change is not None:
            self.change.record_answer(name, self.evidence_by_name[name], sent_moment)

    def announce(self, *open_names, loss=None, **more):
        moment = self.order.next_moment()
        self.change = ProcessChange("taken", "h2", moment, ["h1"], open_names, loss, **more)

    def assess(self, name):
        return self.change.assess(self.evidence_by_name[name])


@pytest.fixture
def connections():
    return Connections()


def test_a_connection_that_answers_after_the_event_reaches_the_new_process(connections):
    connections.open("first")
    connections.announce("first")
    assert connections.assess("first") is LOST
    connections.answer("first")
    assert connections.assess("first") is RUNS and not connections.change.unconfirmed


def test_an_answer_to_what_was_sent_before_the_event_shows_nothing(connections):
    """The former process may have sent it just before its end."""
    connections.open("first")
    sent_moment = connections.order.next_moment()
    connections.announce("first")
    connections.answer("first", sent_moment)
    assert connections.assess("first") is LOST and list(connections.change.unconfirmed) == ["first"]


def test_a_connection_that_began_after_the_event_reaches_the_new_process(connections):
    connections.announce()
    connections.open("later")
    assert connections.assess("later") is RUNS


def test_a_connection_that_was_opened_while_an_older_one_answered_reaches_its_process(connections):
    """Liveness checks are closed again: a task of which the host reported on one stands all the same."""
    connections.open("older")
    connections.open("closed")
    connections.close("closed")
    connections.announce("older")
    assert connections.assess("closed") is LOST
    connections.answer("older")
    assert connections.assess("closed") is RUNS


def test_a_connection_that_was_open_beside_a_newer_one_without_an_answer_shows_nothing(connections):
    """Old connections stay open and silent after the loss of a machine."""
    connections.open("silent")
    connections.open("newer")
    connections.announce("silent", "newer")
    connections.answer("newer")
    assert connections.assess("silent") is LOST


def test_two_connections_that_were_opened_at_the_same_time_reach_one_process_if_both_answered(connections):
    connections.open_side_by_side("reset", "open")
    connections.answer("reset")
    connections.close("reset")
    connections.announce("open")
    assert connections.assess("reset") is LOST
    connections.answer("open")
    assert connections.assess("reset") is RUNS


def test_a_connection_that_ended_while_one_to_the_new_process_was_open_is_uncertain(connections):
    """It has not answered since the other one opened: it may have been reset by the end of its process."""
    connections.open_side_by_side("reset", "open")
    connections.close("reset")
    connections.announce("open")
    connections.answer("open")
    assert connections.assess("reset") is UNCERTAIN


@pytest.mark.parametrize(("has_lost_another", "verdict"), [(False, UNCERTAIN), (True, LOST)])
def test_a_connection_that_this_process_closed_shows_no_end_by_itself(connections, has_lost_another, verdict):
    """Guards against tasks that are lost with a connection of another host's name, which was not needed any more."""
    connections.open("closed here")
    connections.open("other")
    connections.answer("closed here")
    connections.close("closed here", by_host=False)
    if has_lost_another:
        connections.close("other")
    connections.open("newer")
    connections.announce("newer")
    connections.answer("newer")
    assert connections.assess("closed here") is verdict


def test_closed_connections_are_forgotten(connections):
    """Once an older one has answered, or none is open, or there are too many."""
    connections.open("older")
    for number in range(MAX_CLOSED + 9):
        connections.open(number)
        connections.close(number)
    assert len(connections.history.closed) == MAX_CLOSED
    connections.answer("older")
    assert not connections.history.closed
    connections.open("last")
    connections.close("last")
    assert connections.history.closed
    connections.close("older")
    assert not connections.history.closed


def test_an_answer_that_is_read_late_links_nothing(connections):
    """What it answers was sent before the other connection opened, so its process may have ended in between."""
    connections.open("former")
    sent_moment = connections.order.next_moment()
    connections.open("newer")
    connections.answer("former", sent_moment)
    connections.announce("newer")
    connections.answer("newer")
    assert connections.assess("former") is LOST


def test_evidence_is_passed_on_from_connection_to_connection(connections):
    """Each closed connection answered after the next one had opened, the last one after the event."""
    names = ["first", "second", "third"]
    connections.open("first")
    for name, next_name in zip(names, names[1:], strict=False):
        connections.open(next_name)
        connections.answer(name)
        connections.close(name)
    connections.announce("third")
    assert [connections.assess(name) for name in names] == [LOST, LOST, LOST]
    connections.answer("third")
    assert [connections.assess(name) for name in names] == [RUNS, RUNS, RUNS]


def test_every_order_of_two_connections_beside_the_event():
    """A connection from before counts as the new process's if, and only if, one that opened no later answers."""
    steps = ("open a", "open b", "answer a", "answer b", "announce")
    for order in permutations(steps):
        connections, opened, answered_by = Connections(), [], set()
        is_valid = all(order.index(f"open {name}") < order.index(f"answer {name}") for name in "ab")
        if not is_valid:
            continue
        for step in order:
            verb, _, name = step.partition(" ")
            if verb == "announce":
                connections.announce(*opened)
            elif verb == "open":
                connections.open(name)
                opened.append(name)
            else:
                connections.answer(name)
                if connections.change is not None:
                    answered_by.add(name)
        announced = order.index("announce")
        for name in "ab":
            is_new = order.index(f"open {name}") > announced
            is_linked = any(
                order.index(f"open {other}") <= order.index(f"open {name}") for other in answered_by
            )
            expected = RUNS if is_new or is_linked or _overlaps(order, name, answered_by) else LOST
            assert connections.assess(name) is expected, (order, name)


def _overlaps(order, name, answered_by):
    """Whether the connection answered after the opening of one that answered after the event."""
    return any(
        order.index(f"open {name}") < order.index(f"open {other}") < order.index(f"answer {name}")
        for other in answered_by
    )


def test_a_connection_that_was_being_opened_at_the_loss_of_the_others_is_uncertain(connections):
    """It may have reached the new process: the loss is noticed after the end of the former one."""
    connections.begin("ended")
    loss = ConnectionLoss(connections.order.next_moment(), 0.0)
    connections.open("ended")
    connections.announce(loss=loss)
    assert connections.assess("ended") is UNCERTAIN


@pytest.mark.parametrize(("is_after_the_loss", "verdict"), [(False, LOST), (True, UNCERTAIN)])
def test_a_connection_that_ended_is_uncertain_only_after_the_loss_of_all(
    connections, is_after_the_loss, verdict
):
    if not is_after_the_loss:
        connections.open("ended")
    loss = ConnectionLoss(connections.order.next_moment(), 0.0)
    if is_after_the_loss:
        connections.open("ended")
    connections.announce(loss=loss)
    assert connections.assess("ended") is verdict


@pytest.mark.parametrize("end", ["answers", "ends", "is silent"])
def test_a_task_that_was_handed_over_and_not_reported_is_uncertain(connections, end):
    """No connection shows the process: it may have ended before the first one opened."""
    connections.open("first")
    connections.announce("first")
    if end == "answers":
        connections.answer("first")
    elif end == "ends":
        connections.change.record_ended("first", was_open=True)
    connections.change.conclude()
    assert connections.change.assess(None) is UNCERTAIN


@pytest.mark.parametrize(("opened_at_ms", "verdict"), [(100.0, LOST), (100.1, UNCERTAIN)])
def test_a_process_that_was_first_reached_shortly_before_the_event_may_be_the_new_one(
    connections, opened_at_ms, verdict
):
    """Guards against tasks that are released while they run: their connection was reset on the way."""
    connections.open("ended", at_ms=opened_at_ms)
    connections.close("ended")
    connections.announce(settled_until_ms=100.0)
    assert connections.assess("ended") is verdict


def test_a_connection_to_a_process_that_was_reached_long_before_is_the_former_ones(connections):
    connections.open("older", at_ms=0.0)
    connections.open("ended", at_ms=200.0)
    connections.answer("older")  # so both reach one process
    connections.close("ended")
    connections.close("older")
    connections.announce(settled_until_ms=100.0)
    assert connections.assess("ended") is LOST


@pytest.mark.parametrize(
    ("end", "loss", "may_precede"),
    [("answers", None, True), ("answers", ConnectionLoss(1, 0.0), False), ("ends", None, False)],
)
def test_an_event_may_precede_the_end_of_the_process_if_nothing_shows_the_end(
    connections, end, loss, may_precede
):
    for name in ("first", "second"):
        connections.open(name)
    connections.announce("first", "second", loss=loss)
    connections.answer("first")
    if end == "answers":
        connections.answer("second")
    else:
        connections.change.record_ended("second", was_open=True)
    connections.change.conclude()
    assert connections.change.may_precede_the_end is may_precede


def test_the_first_recent_loss_counts_once():
    losses = ConnectionLosses()
    for moment, at_ms in ((1, 0.0), (3, 9_000.0), (5, 11_000.0)):
        losses.record(ConnectionLoss(moment, at_ms))
    assert losses.take_first(12_000.0) == ConnectionLoss(3, 9_000.0)
    assert losses.take_first(12_000.0) is None
