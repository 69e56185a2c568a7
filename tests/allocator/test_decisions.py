"""The program's own decisions, each a table or a pure function: late answers, members, frameworks,
admission."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glencleat import interface as api
from glencleat.allocator import admission, delivery_status, status_mapping
from glencleat.allocator.agent_membership import AgentLimitError, AgentMembership, AgentState, split_id
from glencleat.allocator.call_table import Attempt, Call, CallTable, FinalAnswer, TaskRequest
from glencleat.allocator.contract import Contract, ContractError
from glencleat.allocator.delivery_status import DeliveryAction, DeliveryStatus, LateAcceptance
from glencleat.allocator.endpoint_list import MachineListing
from glencleat.allocator.frameworks import FrameworkLimitError as FrameworkRefused
from glencleat.allocator.frameworks import Frameworks
from glencleat.allocator.startup_gate import StartupGate
from glencleat.allocator.status_mapping import AttemptStep, ExecutionStatus
from glencleat.mesos import messages as m

# ---- late ----


@given(st.integers(0, 100), st.integers(0, 100), st.integers(1, 50))
def test_a_record_is_whole_only_with_its_last_byte(written, begin, length):
    told = delivery_status.handed(written, begin, begin + length)
    assert (told is DeliveryStatus.WHOLE) == (written >= begin + length)
    assert (told is DeliveryStatus.NOTHING) == (written <= begin)


@pytest.mark.parametrize("effect", api.Idempotency)
@pytest.mark.parametrize("step", AttemptStep)
@pytest.mark.parametrize("out", DeliveryStatus)
def test_a_lost_session_never_says_not_run_of_what_was_handed_over(step, out, effect):
    verdict = delivery_status.on_session_lost(step, out, effect)
    if verdict.do is DeliveryAction.RETURN and out is DeliveryStatus.WHOLE:
        assert (
            verdict.may_have_run
            and verdict.outcome is api.Outcome.LOST
            and effect is api.Idempotency.IDEMPOTENT
        )
    if step is AttemptStep.OUT and out is not DeliveryStatus.WHOLE:
        assert verdict.do is DeliveryAction.RETURN and not verdict.may_have_run
    if step is not AttemptStep.OUT:
        assert verdict.do is DeliveryAction.WAIT


@pytest.mark.parametrize("step", AttemptStep)
@pytest.mark.parametrize("out", DeliveryStatus)
def test_a_time_out_cuts_what_is_not_handed_over(step, out):
    verdict = delivery_status.on_timeout(step, out)
    assert (verdict.do is DeliveryAction.IGNORE) == (step is not AttemptStep.OUT)
    if step is AttemptStep.OUT:
        assert (verdict.do is DeliveryAction.CUT) == (out is not DeliveryStatus.WHOLE)
        assert verdict.may_have_run == (out is DeliveryStatus.WHOLE)


@pytest.mark.parametrize("step", [AttemptStep.OUT, AttemptStep.ACCEPTED, AttemptStep.RUNS])
@pytest.mark.parametrize("same", [True, False])
def test_only_the_same_run_can_say_that_it_never_had_it(step, same):
    verdict = delivery_status.on_resubscribe(step, False, same)
    assert verdict.may_have_run == (not (step is AttemptStep.OUT and same))
    assert delivery_status.on_resubscribe(step, True, same).do is DeliveryAction.IGNORE


def test_late_yeses():
    assert delivery_status.on_late_yes("failed", False, False, False, False) is LateAcceptance.ADOPT
    assert delivery_status.on_late_yes("served", True, False, False, False) is LateAcceptance.ADOPT
    assert (
        delivery_status.on_late_yes("served", False, False, False, False) is LateAcceptance.KILL
    )  # a copy of what ended elsewhere
    assert delivery_status.on_late_yes("refused", False, False, False, False) is LateAcceptance.KILL
    for others in ((True, False, False), (False, True, False), (False, False, True)):
        assert delivery_status.on_late_yes("failed", True, *others) is LateAcceptance.KILL


@given(st.lists(st.sampled_from(ExecutionStatus)))
def test_a_task_never_ran_only_if_no_attempt_did(fates):
    told = delivery_status.merge(fates)
    assert (told is ExecutionStatus.NEVER_RAN) == all(f is ExecutionStatus.NEVER_RAN for f in fates)
    assert told is ExecutionStatus.RUNS if ExecutionStatus.RUNS in fates else True


# ---- tables ----

STATES = [
    getattr(status_mapping, n)
    for n in dir(status_mapping)
    if str(getattr(status_mapping, n)).startswith("TASK_")
]


@pytest.mark.parametrize("state", STATES)
def test_only_two_states_say_that_nothing_ran(state):
    told = status_mapping.read_status(state, None, None)
    if told is not None and told.step is AttemptStep.OVER:
        assert told.ran == (state not in ("TASK_DROPPED", "TASK_ERROR"))
        assert (told.outcome is api.Outcome.REJECTED) == (not told.ran)
    else:
        assert told is None or told.ran


@pytest.mark.parametrize(
    ("cause", "why"),
    [
        ("cores", api.OutcomeReason.INSUFFICIENT_CORES),
        ("line", api.OutcomeReason.QUEUE_FULL),
        ("odd", api.OutcomeReason.UNSPECIFIED),
        (None, api.OutcomeReason.UNSPECIFIED),
    ],
)
def test_causes(cause, why):
    assert status_mapping.read_status("TASK_DROPPED", None, cause).why is why


def test_an_answer_promises_no_more_than_is_known():
    assert (
        status_mapping.refusal(False).state == "TASK_DROPPED"
        and status_mapping.refusal(True).state == "TASK_LOST"
    )
    assert status_mapping.failure().retry is status_mapping.RetryAdvice.RECONCILE
    harmless = {
        f
        for f in (*ExecutionStatus, None)
        if status_mapping.reconciled(f).retry is status_mapping.RetryAdvice.HARMLESS
    }
    assert harmless == {ExecutionStatus.NEVER_RAN}


# ---- members ----


def test_a_members_life():
    members = AgentMembership(1_000.0, 3, 5_000.0)
    first, second = object(), object()
    assert not members.subscribe("h", "r1", first, 0.0).same_run
    assert members.heard("h", "r1", 900.0) and not members.heard("h", "r0", 900.0)
    assert members.silent(3_900.0) == [] and [x.id for x in members.silent(3_901.0)] == ["h"]
    assert members.closed("h", first, 4_000.0) and not members.closed("h", first, 4_001.0)
    assert not members.heard("h", "r1", 4_100.0)
    assert members.lost(9_000.0) == [] and [x.id for x in members.lost(9_001.0)] == ["h"]
    assert members.lost(9_999.0) == []
    joined = members.subscribe("h", "r1", second, 10_000.0)
    assert joined.same_run and joined.replaced is None and joined.member.state is AgentState.SUBSCRIBED
    replaced = members.subscribe("h", "r2", first, 10_001.0)
    assert replaced.replaced is second and not replaced.same_run and replaced.member.runs == 2
    assert not members.closed("h", second, 10_002.0)  # the old session's end is not the new one's


def test_an_unnamed_run_is_never_the_same():
    assert split_id("h07") == ("h07", "") and split_id("rack.1.r9") == ("rack.1", "r9")
    members = AgentMembership(1_000.0, 3, 5_000.0)
    members.subscribe("h", "", object(), 0.0)
    assert not members.subscribe("h", "", object(), 1.0).same_run


def test_members_are_bounded_and_the_lost_go_first():
    members = AgentMembership(1_000.0, 3, 100.0, most=2)
    gone = object()
    members.subscribe("a", "r", gone, 0.0)
    members.subscribe("b", "r", object(), 0.0)
    with pytest.raises(AgentLimitError, match="2 agents are known"):
        members.subscribe("c", "r", object(), 0.0)
    members.closed("a", gone, 0.0)
    members.lost(200.0)
    members.subscribe("c", "r", object(), 200.0)
    assert set(members.members) == {"b", "c"}


# ---- frameworks ----


def info(name="f", failover=0.0):
    return m.FrameworkInfo("u", name, m.Value(name), failover_timeout=failover)


def test_frameworks_keep_updates_until_acknowledged_and_in_order():
    frameworks = Frameworks(retry_ms=100.0)
    framework, _ = frameworks.subscribe(info(), "x", "s", object(), 0.0)
    for i in range(3):
        frameworks.push(framework, m.TaskStatus(m.Value("t"), "TASK_RUNNING", uuid=str(i)), 10.0 * i)
    assert frameworks.acknowledge(framework, "1") and not frameworks.acknowledge(framework, "1")
    assert [s.uuid for s in frameworks.unacknowledged(framework)] == ["0", "2"]
    assert [s.uuid for s in frameworks.to_repeat(framework, 110.0)] == ["0"]
    assert [s.uuid for s in frameworks.to_repeat(framework, 120.0)] == []
    assert [s.uuid for s in frameworks.unacknowledged(framework)] == ["0", "2"]


def test_frameworks_are_bounded_and_go_when_their_time_is_over():
    frameworks = Frameworks(most=1, failover_most_s=10.0)
    session = object()
    framework, _ = frameworks.subscribe(info(failover=1e9), "x", "s", session, 0.0)
    with pytest.raises(FrameworkRefused, match="1 frameworks"):
        frameworks.subscribe(info("g"), "y", "s", object(), 0.0)
    assert frameworks.closed(framework, session, 0.0) and frameworks.overdue(10_000.0) == []
    assert frameworks.overdue(10_001.0) == [framework]
    frameworks.remove(framework)
    frameworks.subscribe(info("g"), "y", "s", object(), 0.0)


# ---- admission ----


def test_admission_names_the_limit():
    limits = admission.AdmissionLimits(max_unanswered=10, max_unanswered_per_framework=5, max_active=20)
    free = admission.AdmissionLoad(0, 0, 0, False, False)
    assert admission.find_exceeded_limit(free, limits) is None
    for load, named in (
        (admission.AdmissionLoad(10, 0, 0, False, False), "at most 10"),
        (admission.AdmissionLoad(0, 5, 0, False, False), "at most 5"),
        (admission.AdmissionLoad(0, 0, 20, False, False), "at most 20"),
        (admission.AdmissionLoad(0, 0, 0, True, False), "unacknowledged"),
        (admission.AdmissionLoad(0, 0, 0, False, True), "shutting down"),
    ):
        assert named in admission.find_exceeded_limit(load, limits)


def call(effect=api.Idempotency.NON_IDEMPOTENT, number=1):
    ask = TaskRequest("unsafe", "s", "k", 1.0, 1.0, 100.0)
    return Call(number, "f", f"t{number}", m.TaskInfo("t", m.Value("t")), ask, effect, None, 0.0)


@pytest.mark.parametrize(
    ("step", "ran", "told"),
    [
        (AttemptStep.OVER, False, None),
        (AttemptStep.OVER, None, "never"),
        (AttemptStep.OUT, None, "never"),
        (AttemptStep.RUNS, None, "never"),
    ],
)
def test_an_unsafe_task_starts_again_only_if_it_never_ran(step, ran, told):
    before = call()
    before.final_answer, before.is_closed = FinalAnswer.FAILED, True
    before.attempts.append(Attempt(before, 0, "h", "a", step=step, is_concluded=True, has_run=ran))
    assert admission.classify_repeat(before) == told
    before.idempotency = api.Idempotency.IDEMPOTENT
    assert admission.classify_repeat(before) is None


# ---- ledger and recovery ----


def test_the_ledger_forgets_the_oldest_answered_calls_and_all_of_them():
    ledger = CallTable(max_closed_calls=2)
    for number in range(1, 5):
        one = call(number=number)
        ledger.add_call(one)
        ledger.add_attempt(Attempt(one, 0, f"h{number}", f"a{number}"))
        ledger.record_answer(one, FinalAnswer.REJECTED)
        ledger.close_call(one)
    assert ledger.unanswered_count == 0 and not ledger.active_calls
    assert set(ledger.attempts_by_id) == {"a3", "a4"} and set(ledger.attempts_by_machine) == {"h3", "h4"}
    assert ledger.find_call("f", "t1") is None and ledger.find_call("f", "t4") is not None
    with pytest.raises(AssertionError, match="failed after refused"):
        ledger.record_answer(one, FinalAnswer.FAILED)


def test_the_opening_waits_for_all_or_for_its_grace():
    assert not StartupGate(0.0, 100.0, 1_000.0).try_open(50.0, ["a"], ["a"])
    assert StartupGate(0.0, 100.0, 1_000.0).try_open(100.0, ["a"], ["a", "b"])
    assert not StartupGate(0.0, 100.0, 1_000.0).try_open(100.0, [], [])
    opening = StartupGate(0.0, 100.0, 1_000.0)
    assert not opening.try_open(999.0, ["a", "b"], ["a"]) and not opening.try_open(999.0, None, [])
    assert opening.try_open(1_000.0, None, []) and opening.try_open(0.0, ["a"], [])


# ---- the list ----


def agent(name="h", up_ns=0, drain=False, **more):
    info = m.AgentInfo(name, m.Value(name), [], [m.Attribute("kind", text=m.Text("std"))])
    return m.Agent(
        info,
        registered_time=m.TimeInfo(up_ns),
        drain_info=m.DrainInfo("DRAINING") if drain else None,
        total_resources=m.resources(16.0, 100.0),
        allocated_resources=m.resources(18.0, 40.0),
        **more,
    )


def test_agents_become_machines():
    listing = MachineListing()
    (told,) = listing.whole([agent(up_ns=int(50e6))], 1_000.0, 60.0).machines
    assert (told.name, told.kind, told.phase) == ("h", "std", api.MachinePhase.SERVING)
    assert told.free_cores == -2.0 and told.free_memory == 60.0 and told.ready_at_ms == 990.0
    (noisy,) = listing.changed(agent(up_ns=int(50e6)), 2_000.0, 1_061.0).machines
    assert noisy.ready_at_ms == 990.0  # the clocks drifted by a millisecond: no restart
    (restarted,) = listing.changed(agent(up_ns=int(1_000e6)), 2_000.0, 1_060.0).machines
    assert restarted.ready_at_ms == 1_940.0
    assert listing.changed(agent(drain=True), 0.0, 0.0).machines[0].phase is api.MachinePhase.DRAINING
    (gone,) = listing.removed("h").machines
    assert gone.phase is api.MachinePhase.REMOVED and gone.kind == "std"
    assert listing.removed("never").machines[0].phase is api.MachinePhase.REMOVED
    assert (
        listing.whole([agent(up_ns=int(9e15))], 5.0, 6.0).machines[0].ready_at_ms == 5.0
    )  # its clock is ahead


# ---- the contract ----


class Says:
    """A module that answers what it is told to."""

    def __init__(self):
        self.actions = []

    def handle(self, now, event):
        return self.actions


def contract():
    module = Says()
    return module, Contract(module)


def tell(contract, module, event, *actions, now=0.0):
    module.actions = list(actions)
    contract.handle(now, event)


ASKED = api.PlacementRequested(1, "c", "s", 1.0, 1.0, 100.0)
BACK = api.Outcome.REJECTED


def test_a_right_caller_is_let_be_and_forgotten():
    module, checked = contract()
    tell(checked, module, ASKED, api.Bind(1, "h"))
    tell(checked, module, api.AttemptEnded(1, 0, "h", BACK, 1.0, False), api.Bind(1, "g"))
    tell(checked, module, api.AttemptAccepted(1, 1, "g", 1.0))
    tell(checked, module, api.AttemptEnded(1, 1, "g", api.Outcome.COMPLETED, 1.0, True))
    tell(checked, module, api.PlacementRequested(2, "c", "s", 1.0, 1.0, machine="h"))
    tell(checked, module, api.AttemptEnded(2, 0, "h", api.Outcome.COMPLETED, 1.0, True), api.SetTimer(1.0, 0))
    tell(checked, module, api.TimerFired(0))
    assert checked.calls == {}


@pytest.mark.parametrize(
    ("event", "named"),
    [
        (api.AttemptEnded(1, 1, "h", BACK, 1.0, False), "count from 0"),
        (api.AttemptAccepted(1, 1, "h", 1.0), "count from 0"),
        (api.AttemptEnded(1, 0, "g", BACK, 1.0, False), "bound to h"),
        (api.AttemptAccepted(1, 0, "h", -1.0), "elapsed_ms"),
        (api.AttemptEnded(9, 0, "h", BACK, 1.0, False), "never requested"),
        (api.CallAbandoned(9), "never requested"),
        (ASKED, "PlacementRequested twice"),
        (api.PlacementRequested(2, "c", "s", 1.0, 1.0), "remaining_ms"),
        (api.TimerFired(0), "without a SetTimer"),
        (api.ProbeEnded("h", BACK), "without a Probe"),
    ],
)
def test_a_mistaken_caller_is_told(event, named):
    module, checked = contract()
    tell(checked, module, ASKED, api.Bind(1, "h"))
    with pytest.raises(ContractError, match=named):
        tell(checked, module, event)


def test_double_words_and_a_clock_that_goes_back():
    module, checked = contract()
    tell(checked, module, ASKED, api.Bind(1, "h"), now=5.0)
    tell(checked, module, api.AttemptAccepted(1, 0, "h", 1.0), now=5.0)
    with pytest.raises(ContractError, match="AttemptAccepted twice"):
        tell(checked, module, api.AttemptAccepted(1, 0, "h", 1.0), now=5.0)
    with pytest.raises(ContractError, match="must close it"):
        tell(checked, module, api.AttemptEnded(1, 0, "h", BACK, 1.0, False), now=5.0)
    with pytest.raises(ContractError, match="went back"):
        tell(checked, module, api.CallAbandoned(1), now=4.0)


@pytest.mark.parametrize(
    ("actions", "named"),
    [
        ([api.Bind(1, "h"), api.Bind(1, "g")], "while attempt 0 is active"),
        ([api.Bind(1, "h"), api.Reject(1)], "while attempt 0 is active"),
        ([api.Reject(1), api.Fail(1)], "after its answer"),
        ([api.Fail(1), api.Bind(1, "h")], "after its answer"),
        ([api.Bind(7, "h")], "after its answer"),
    ],
)
def test_a_mistaken_module_is_told_too(actions, named):
    module, checked = contract()
    with pytest.raises(ContractError, match=named):
        tell(checked, module, ASKED, *actions)
