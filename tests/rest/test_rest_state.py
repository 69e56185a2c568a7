"""State and decisions of the REST API without sockets: selectors, versions, watches, jobs, overload, reasons."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glencleat import interface as api
from glencleat.allocator import status_mapping
from glencleat.allocator.call_table import FinalAnswer
from glencleat.allocator.pending_reasons import PendingReasons as Reasons
from glencleat.allocator.status_mapping import RetryAdvice, StatusAnswer
from glencleat.rest import jobs, overload, reasons, watches
from glencleat.rest import schema as s
from glencleat.rest.jobs import IdempotencyKeys, JobState, JobStep, JobTask, RoundRobin, TokenBucket
from glencleat.rest.selector import SelectorError, Term, index_terms, matches, parse_selector
from glencleat.rest.version_store import VersionGoneError, VersionStore

# ---- selectors ----


@pytest.mark.parametrize(
    ("text", "labels", "fits"),
    [
        ("", {}, True),
        ("a=b", {"a": "b"}, True),
        ("a==b", {"a": "c"}, False),
        ("a=b", {}, False),
        ("a!=b", {}, True),
        ("a!=b", {"a": "b"}, False),
        ("a", {"a": ""}, True),
        ("a", {}, False),
        ("!a", {}, True),
        ("! a", {"a": "x"}, False),
        ("a in (b, c)", {"a": "c"}, True),
        ("a in (b,c)", {"a": "d"}, False),
        ("a notin (b,c)", {}, True),
        ("a notin (b,c)", {"a": "b"}, False),
        (" a = b , c != d ", {"a": "b", "c": "e"}, True),
        ("a=b,c", {"a": "b"}, False),
        (".state=TASK_RUNNING,x/y.z in (q)", {".state": "TASK_RUNNING", "x/y.z": "q"}, True),
        ("a=", {"a": ""}, True),
    ],
)
def test_selectors_match_like_those_of_kubernetes(text, labels, fits):
    assert matches(parse_selector(text), labels) is fits


@pytest.mark.parametrize(
    "text", ["a=b,", "=b", "a=(b)", "a in b", "a in (b", ".odd=x", "a b", "a in (b c)", "!", ",a"]
)
def test_an_error_in_a_selector_is_located(text):
    with pytest.raises(SelectorError, match="labelSelector: .*(expected|no field)"):
        parse_selector(text)


def test_the_size_of_a_selector_is_limited():
    with pytest.raises(SelectorError, match="17 terms"):
        parse_selector(",".join(f"a{i}=b" for i in range(17)))
    with pytest.raises(SelectorError, match="at most 32"):
        parse_selector(f"a in ({','.join(f'v{i}' for i in range(33))})")


def test_equivalent_selectors_are_equal_and_index_terms_have_one_value():
    assert parse_selector("b=1,a=2") == parse_selector("a==2, b=1, a=2")
    assert index_terms(parse_selector("!x,a in (b),c,d=e")) == [("a", "b"), ("d", "e")]
    assert index_terms(parse_selector("a!=b,c in (d,e),f")) == []


# ---- versions and watches ----

KEYS = [("t1", "a"), ("t1", "b"), ("t2", "a"), ("t2", "c")]
LABELS = [{}, {"x": "1"}, {"x": "2"}, {"x": "1", "y": "1"}]
SELECTORS = ["", "x=1", "x!=1", "x", "!x", "x in (1,2),!y"]
CHANGES = st.lists(
    st.tuples(
        st.sampled_from(KEYS), st.one_of(st.none(), st.tuples(st.integers(0, 2), st.sampled_from(LABELS)))
    ),
    max_size=40,
)


def fold(state, lines):
    """Applies the lines of a watch to a client's state."""
    for event in map(s.msgspec.json.decode, b"".join(lines).splitlines()):
        key = event["object"].get("tenant"), event["object"].get("name")
        if event["type"] == "DELETED":
            assert key in state, "DELETED for an unknown resource"
            del state[key]
        elif event["type"] != "BOOKMARK":
            assert (key in state) is (event["type"] == "MODIFIED"), "a gap or a repeat"
            state[key] = event["object"].get("waiting", 0)
    return state


def value(key, number):
    return s.Service(tenant=key[0], name=key[1], waiting=number)


def listed(versions, selector, tenant=None, version=None):
    records, _ = versions.read_page(
        "k", versions.current_version if version is None else version, selector, 99, None, tenant
    )
    return {r.key: r.value.waiting for r in records}


@settings(max_examples=150, deadline=None, derandomize=True)
@given(CHANGES, st.sampled_from(SELECTORS), st.sampled_from([None, "t1"]), st.integers(3, 12), st.data())
def test_any_list_and_watch_reproduces_the_servers_state(changes, text, tenant, kept, data):
    """Watches begin, stop, resume and read at any point, over a bounded log: no event is missed or repeated."""
    versions = VersionStore("e", {"k": kept})
    channels = watches.WatchChannels(
        watches.WatchLimits(max_lines=kept, max_chunk_bytes=1), versions.format_version
    )
    selector = parse_selector(text)
    seen, watcher, resume, past = {}, None, None, {}
    for key, change in changes:
        event = (
            versions.delete("k", key)
            if change is None
            else versions.put("k", key, value(key, change[0]), change[1])
        )
        if event is not None:
            channels.publish(event, 0.0)
        past[versions.current_version] = listed(versions, selector, tenant)
        for version, old in past.items():  # each version that the log covers can still be read
            if version >= versions.stores_by_kind["k"].compacted_version:
                assert listed(versions, selector, tenant, version) == old
        action = data.draw(st.sampled_from(["nothing", "take", "begin", "stop"]))
        if action == "begin" and watcher is None:
            if resume is not None:
                try:
                    events = versions.events_since("k", resume)
                except VersionGoneError:
                    resume = None
            if resume is None:
                seen, early, resume = listed(versions, selector, tenant), None, versions.current_version
            else:
                kinds = [
                    (e, e.type_for(selector)) for e in events if tenant is None or e.record.key[0] == tenant
                ]
                early = iter(
                    [
                        watches.event_line(e, kind, versions.format_version)
                        for e, kind in kinds
                        if kind is not None
                    ]
                )
            watcher = channels.add_watcher(("k", tenant, selector), early, 0.0)
        elif action in ("take", "stop") and watcher is not None:
            lines = []
            while data_ := channels.take_chunk(watcher, 0.0):
                lines.append(data_)
            fold(seen, lines)
            if watcher.close_reason is None:
                assert seen == listed(versions, selector, tenant)
                resume = versions.current_version
            else:
                resume = None
            if action == "stop" or watcher.close_reason is not None:
                channels.remove_watcher(watcher)
                watcher = None
    counted = Counter()
    for record in versions.stores_by_kind["k"].records.values():
        while record is not None:
            counted.update((label, record.key) for label in record.labels.items() if record.value is not None)
            record = record.previous
    index = versions.stores_by_kind["k"].keys_by_label
    assert counted == {(label, key): n for label, keys in index.items() for key, n in keys.items()}
    if watcher is not None:
        channels.remove_watcher(watcher)
    assert (
        channels.watcher_count == 0
        and not channels.channels_by_key
        and not channels.watcher_counts_by_tenant
        and not channels.ready_watchers
    )


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    CHANGES, st.lists(st.tuples(st.sampled_from(SELECTORS), st.sampled_from([None, "t1", "t2"])), max_size=6)
)
def test_the_channel_index_agrees_with_a_filter_over_all_watchers(changes, wheres):
    versions = VersionStore("e", {"k": 1_000})
    channels = watches.WatchChannels(watches.WatchLimits(max_chunk_bytes=1 << 20), versions.format_version)
    watchers = [
        (
            channels.add_watcher(("k", tenant, parse_selector(text)), None, 0.0),
            parse_selector(text),
            tenant,
            [],
        )
        for text, tenant in wheres
    ]
    for key, change in changes:
        event = (
            versions.delete("k", key)
            if change is None
            else versions.put("k", key, value(key, change[0]), change[1])
        )
        if event is None:
            continue
        channels.publish(event, 0.0)
        for _, selector, tenant, wanted in watchers:
            kind = event.type_for(selector)
            if kind is not None and tenant in (None, key[0]):
                wanted.append(watches.event_line(event, kind, versions.format_version))
    for watcher, _, _, wanted in watchers:
        assert channels.take_chunk(watcher, 0.0) == b"".join(wanted)


def test_pages_show_one_instant_while_resources_change():
    versions = VersionStore("e", {"k": 100})
    for i in range(10):
        versions.put("k", ("t", f"{i:02}"), value(("t", f"{i:02}"), i), {})
    at = versions.current_version
    first, after = versions.read_page("k", at, (), 4)
    versions.delete("k", ("t", "05"))
    versions.put("k", ("t", "06"), value(("t", "06"), 99), {})
    versions.put("k", ("t", "04a"), value(("t", "04a"), 1), {})
    second, rest = versions.read_page("k", at, (), 99, after)
    assert rest is None and [r.value.waiting for r in first + second] == list(range(10))


def test_the_number_of_keys_read_for_a_page_is_limited(monkeypatch):
    monkeypatch.setattr("glencleat.rest.version_store.MAX_SCANNED_KEYS", 5)
    versions = VersionStore("e", {"k": 100})
    for i in range(12):
        versions.put("k", ("t", f"{i:02}"), value(("t", f"{i:02}"), i), {"x": "1"} if i == 11 else {})
    found, after, pages = [], None, 0
    while True:
        records, after = versions.read_page("k", versions.current_version, parse_selector("x"), 4, after)
        found, pages = found + records, pages + 1
        if after is None:
            break
    assert [r.key[1] for r in found] == ["11"] and pages == 3


@pytest.mark.parametrize("text", ["", "x", "e-", "-1", "e--1", "e-1x", "e-²", "e-" + "9" * 19, "e-7"])
def test_a_version_that_was_never_issued_is_invalid(text):
    versions = VersionStore("e", {"k": 10})
    versions.put("k", ("t", "a"), value(("t", "a"), 1), {})
    with pytest.raises(ValueError, match="resourceVersion"):
        versions.parse_version(text)


def test_a_version_of_another_process_is_gone():
    with pytest.raises(VersionGoneError):
        VersionStore("e", {"k": 10}).parse_version("f-3")


def test_a_slow_watcher_is_closed_and_takes_no_extra_memory():
    versions = VersionStore("e", {"k": 100_000})
    channels = watches.WatchChannels(
        watches.WatchLimits(max_lines=100, stall_timeout_ms=1_000.0), versions.format_version
    )
    slow, quick = (channels.add_watcher(("k", None, ()), None, 0.0) for _ in range(2))
    channels.take_chunk(slow, 0.0), channels.take_chunk(quick, 0.0)
    for i in range(300):
        channels.publish(versions.put("k", ("t", "a"), value(("t", "a"), i), {}), 60_000.0)
        if i % 50 == 0:
            assert channels.take_chunk(quick, 60_000.0)
    assert len(slow.channel.lines) <= 100 and channels.mark_stalled(60_500.0) == []
    assert channels.take_chunk(slow, 60_500.0) == b"" and "no longer kept" in slow.close_reason
    while channels.take_chunk(quick, 60_500.0):
        pass
    assert quick.close_reason is None
    idle = channels.add_watcher(("k", None, ()), None, 60_500.0)
    channels.take_chunk(idle, 60_500.0)
    channels.publish(versions.put("k", ("t", "a"), value(("t", "a"), -1), {}), 99_000.0)
    assert channels.mark_stalled(99_500.0) == [], (
        "the stall timeout runs from the first unread event, not from the last read"
    )
    assert idle in channels.mark_stalled(100_500.0) and "nothing was read" in idle.close_reason


def test_watchers_are_limited_in_total_and_per_tenant():
    channels = watches.WatchChannels(
        watches.WatchLimits(max_watchers=3, max_watchers_per_tenant=2), lambda n: "v"
    )
    joined = [channels.add_watcher(("k", "t", ()), None, 0.0) for _ in range(2)]
    with pytest.raises(watches.WatchLimitError, match="of t are open"):
        channels.add_watcher(("k", "t", ()), None, 0.0)
    channels.add_watcher(("k", "u", ()), None, 0.0)
    with pytest.raises(watches.WatchLimitError, match="3 watches"):
        channels.add_watcher(("k", "v", ()), None, 0.0)
    channels.remove_watcher(joined[0]), channels.remove_watcher(joined[0])
    assert channels.watcher_count == 2


# ---- jobs ----

CLASSES = {
    effect: api.TaskClass(effect.value, effect, 1_000.0, 8_000.0, 1.0, deduplication_window_ms=5_000.0)
    for effect in api.Idempotency
}


def job(effect=api.Idempotency.IDEMPOTENT, tasks=1, wait=20_000.0, tenant="t", name="j", **more):
    spec = s.JobSpec(
        task_class=effect.value, service="svc", tasks=tasks, cores=1.0, memory=1.0, wait_ms=wait, **more
    )
    made = JobState(tenant, name, "u", spec, CLASSES[effect], {}, 0.0)
    made.tasks = [JobTask(made, i, wait, JobStep.IN_ROUND, round_count=1) for i in range(tasks)]
    return made


DROPPED = StatusAnswer(status_mapping.TaskState.DROPPED, RetryAdvice.HARMLESS)
MAYBE = StatusAnswer(status_mapping.TaskState.LOST, RetryAdvice.HARMLESS)
LOST = StatusAnswer(status_mapping.TaskState.LOST, RetryAdvice.RECONCILE)
U, K, S = api.Idempotency.NON_IDEMPOTENT, api.Idempotency.IDEMPOTENCY_KEY, api.Idempotency.IDEMPOTENT


@pytest.mark.parametrize(
    ("effect", "given", "answer", "now", "cancelled", "step"),
    [
        (S, FinalAnswer.PLACED, DROPPED, 0.0, False, JobStep.PLACED),
        (S, FinalAnswer.PLACED, DROPPED, 0.0, True, JobStep.PLACED),
        (S, FinalAnswer.REJECTED, DROPPED, 0.0, False, JobStep.PAUSED),
        (U, FinalAnswer.REJECTED, DROPPED, 0.0, False, JobStep.PAUSED),
        (S, FinalAnswer.REJECTED, MAYBE, 0.0, False, JobStep.PAUSED),
        (K, FinalAnswer.REJECTED, MAYBE, 0.0, False, JobStep.PAUSED),
        (U, FinalAnswer.REJECTED, MAYBE, 0.0, False, JobStep.TERMINAL),  # it may have run
        (S, FinalAnswer.REJECTED, DROPPED, 19_500.0, False, JobStep.TERMINAL),  # no time for another round
        (S, FinalAnswer.REJECTED, DROPPED, 0.0, True, JobStep.TERMINAL),
        (
            S,
            FinalAnswer.REJECTED,
            StatusAnswer(status_mapping.TaskState.ERROR, RetryAdvice.NEVER),
            0.0,
            False,
            JobStep.TERMINAL,
        ),
        (U, FinalAnswer.FAILED, LOST, 0.0, False, JobStep.TERMINAL),
        (S, FinalAnswer.FAILED, DROPPED, 0.0, False, JobStep.TERMINAL),
    ],
)
def test_transition_after_a_round(effect, given, answer, now, cancelled, step):
    job_task = job(effect).tasks[0]
    job_task.is_cancelled = cancelled
    transition = jobs.after_round(job_task, given, answer, now, Random(1))
    assert transition.step is step and (transition.pause_ms > 0.0) is (step is JobStep.PAUSED)


def test_pauses_grow_and_leave_time_for_a_last_round():
    job_task = job(wait=60_000.0).tasks[0]
    pauses = []
    for job_task.round_count in range(1, 9):
        pauses.append(jobs.after_round(job_task, FinalAnswer.REJECTED, DROPPED, 0.0, Random(1)).pause_ms)
    assert pauses == sorted(pauses) and pauses[0] < 400.0 and pauses[-1] <= 1.25 * jobs.MAX_RETRY_PAUSE_MS
    near = jobs.after_round(job_task, FinalAnswer.REJECTED, DROPPED, 58_900.0, Random(1))
    assert near.step is JobStep.PAUSED and near.pause_ms <= 600.0
    assert (
        jobs.round_ms(job_task, 58_900.0, 50.0) == pytest.approx(1_050.0)
        and jobs.round_ms(job_task, 59_960.0, 50.0) == 0.0
    )
    assert jobs.round_ms(job_task, 0.0, 50.0) == 8_000.0


@pytest.mark.parametrize(
    ("effect", "lost", "state", "retry", "cancelled", "step"),
    [
        (S, "again", status_mapping.TaskState.KILLED, RetryAdvice.HARMLESS, False, JobStep.PAUSED),
        (K, "again", status_mapping.TaskState.FAILED, RetryAdvice.HARMLESS, False, JobStep.PAUSED),
        (U, "again", status_mapping.TaskState.KILLED, RetryAdvice.HARMLESS, False, JobStep.TERMINAL),
        (S, "leave", status_mapping.TaskState.KILLED, RetryAdvice.HARMLESS, False, JobStep.TERMINAL),
        (S, "again", status_mapping.TaskState.FINISHED, RetryAdvice.NEVER, False, JobStep.TERMINAL),
        (S, "again", status_mapping.TaskState.KILLED, RetryAdvice.HARMLESS, True, JobStep.TERMINAL),
        (S, "again", status_mapping.TaskState.UNREACHABLE, RetryAdvice.HARMLESS, False, JobStep.PAUSED),
        (S, "leave", status_mapping.TaskState.UNREACHABLE, RetryAdvice.HARMLESS, False, JobStep.PLACED),
        (K, "again", status_mapping.TaskState.UNREACHABLE, RetryAdvice.RECONCILE, False, JobStep.PLACED),
        (U, "again", status_mapping.TaskState.UNREACHABLE, RetryAdvice.RECONCILE, False, JobStep.PLACED),
    ],
)
def test_transition_after_the_end_of_a_placed_task(effect, lost, state, retry, cancelled, step):
    job_task = job(effect, when_lost=lost).tasks[0]
    job_task.is_cancelled = cancelled
    assert jobs.after_end(job_task, StatusAnswer(state, retry)).step is step


def test_rounds_are_given_to_tenants_in_turn():
    queue = RoundRobin()
    for job_task in job(tasks=100, tenant="greedy").tasks + job(tasks=3, tenant="small").tasks:
        queue.enqueue(job_task)
    tenants = [queue.pop().job.tenant for _ in range(8)]
    assert Counter(tenants) == {"greedy": 5, "small": 3} and queue.queued_count == 95


def test_the_retry_budget_of_a_tenant_does_not_delay_others():
    queue = RoundRobin(retries_rate=10.0, retries_burst=5.0)
    for job_task in job(tasks=50, tenant="a").tasks + job(tasks=2, tenant="b").tasks:
        queue.pause(job_task, 100.0)
    queue.enqueue_due(99.0)
    assert queue.pop() is None and queue.next_due_ms() == 100.0
    queue.enqueue_due(100.0)
    counts = Counter()
    while (job_task := queue.pop()) is not None:
        counts[job_task.job.tenant] += 1
    assert counts == {"a": 5, "b": 2}
    for now in range(101, 5_200):
        queue.enqueue_due(float(now))
    counts = 0
    while queue.pop() is not None:
        counts += 1
    assert 40 <= counts <= 46, "ten per second for five seconds"


def test_a_cancelled_task_in_the_queue_is_skipped():
    queue, job_tasks = RoundRobin(), job(tasks=2).tasks
    for job_task in job_tasks:
        queue.enqueue(job_task)
    job_tasks[0].step = JobStep.TERMINAL
    assert queue.pop() is job_tasks[1] and queue.pop() is None and queue.queued_count == 0


def test_keys_are_kept_for_their_retention_and_until_the_job_ends():
    keys, one = IdempotencyKeys(max_keys=2, retention_ms=1_000.0), job()
    keys.record_key("t", "k1", 1, one, 0.0)
    done = job(name="done")
    done.tasks[0].step = JobStep.TERMINAL
    keys.record_key("t", "k2", 2, done, 0.0)
    assert not keys.ensure_capacity(500.0), "neither key may be dropped yet"
    assert keys.ensure_capacity(1_500.0) and keys.find("t", "k1") == (1, one) and keys.find("t", "k2") is None


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.floats(0, 500), st.floats(0.1, 20)), max_size=60))
def test_a_token_bucket_never_exceeds_rate_and_burst(steps):
    bucket, now, consumed = TokenBucket(10.0, 5.0, 0.0), 0.0, 0.0
    for wait, cost in steps:
        now += wait
        if bucket.wait_ms(cost, now) == 0.0:
            bucket.consume(cost)
            consumed += cost
    assert consumed <= 10.0 * now / 1_000.0 + 5.0 + 20.0 + 1e-6


# ---- overload ----


def gate(**more):
    return overload.RequestGate(overload.OverloadLimits(**more), overload.AdmissionPace())


@pytest.mark.parametrize(
    ("limits", "asked", "status", "text"),
    [
        ({"max_waiting_per_tenant": 10}, {"waiting_here": 9}, 429, "9 tasks of t wait, 2 come"),
        ({"max_waiting": 10}, {"waiting": 9}, 503, "9 tasks wait"),
        ({"max_jobs": 5}, {"jobs": 5}, 503, "5 jobs"),
        ({"max_first_round_wait_ms": 100.0}, {"queued": 500}, 503, "first round"),
        ({"tenant_rate": 1.0, "tenant_burst": 1.0}, {"paid": 1.0}, 429, "more than 1 tasks/s"),
    ],
)
def test_each_limit_rejects_a_creation_and_says_when_to_retry(limits, asked, status, text):
    request_gate = gate(**limits)
    paid = asked.pop("paid", 0.0)
    state = {"waiting_here": 0, "waiting": 0, "jobs": 0, "queued": 0} | asked
    if paid:
        assert request_gate.admit_job("t", 1, now=0.0, **state) is None
    rejection = request_gate.admit_job("t", 2, now=0.0, **state)
    assert rejection.status == status and text in rejection.text and rejection.retry_after_ms >= 50.0
    assert sum(request_gate.rejections_by_reason.values()) == 1
    if paid:
        assert request_gate.admit_job("u", 1, now=0.0, **state) is None, "another tenant has its own"


def test_a_connection_that_ignores_rejections_is_not_read_for_a_while():
    request_gate = gate(connection_rate=10.0, connection_burst=2.0, max_ignored_rejections=3)
    bucket = request_gate.connection_bucket(0.0)
    assert [request_gate.admit_request(bucket, 1.0, 0.0) is None for _ in range(3)] == [True, True, False]
    assert request_gate.admit_request(bucket, 1.0, 101.0) is None
    assert (
        request_gate.pause_ms(3, 500.0) == 0.0
        and request_gate.pause_ms(4, 500.0) == 500.0
        and request_gate.pause_ms(9, 9_000.0) == 1_000.0
    )


def test_a_late_loop_lowers_the_budget_for_creations():
    pace = overload.AdmissionPace(min_budget_ms=1.0, max_budget_ms=8.0, max_lateness_ms=10.0)
    assert pace.begin_turn(100.0, 99.0) == 8.0
    budgets = [pace.begin_turn(200.0, 100.0) for _ in range(5)]
    assert budgets == [4.0, 2.0, 1.0, 1.0, 1.0]
    grown = [pace.begin_turn(100.0, 100.0) for _ in range(20)]
    assert grown == sorted(grown) and grown[-1] == 8.0


def test_the_rate_of_rounds_is_measured_only_while_tasks_wait():
    pace = overload.AdmissionPace()
    for turn in range(400):
        pace.end_turn(10.0 * turn, 4 * (turn % 2), left=50)  # no round could start in every other turn
    assert pace.rounds_per_s == pytest.approx(200.0, rel=0.05) and pace.estimate_wait_ms(
        100
    ) == pytest.approx(500.0, rel=0.05)
    pace.end_turn(1_000.0, 1, left=0)
    rate = pace.rounds_per_s
    pace.end_turn(99_000.0, 1, left=0)
    assert pace.rounds_per_s == rate, "idle time doesn't lower the rate"


def test_waking_watchers_takes_a_share_of_the_time():
    budget = overload.WakeBudget(share=0.1, burst_ms=2.0)
    woken, now = 0, 1_000.0
    while now < 3_000.0:
        for _ in range(budget.allowed_count(now)):
            budget.record_cost(0.05)
            woken += 1
        now += 1.0
    assert woken * 0.05 == pytest.approx(200.0, rel=0.05), "a tenth of two seconds"
    assert overload.WakeBudget().allowed_count(9_000.0) > 50, "a few watchers are woken at once"


def test_requests_take_a_share_of_a_busy_loop_and_its_idle_time():
    for idle_share, expected in ((0.0, 400.0), (0.5, 900.0)):
        intake, read, now = overload.OverloadIntake(share=0.4, burst_ms=20.0), 0, 0.0
        while now < 1_000.0:
            now += 1.0
            for _ in range(min(1, intake.allowed_count(now, idle_share * now))):
                intake.record_cost(0.9)
                read += 1
        assert read * 0.9 == pytest.approx(expected, rel=0.1)
    assert not intake.is_overloaded(400) and intake.is_overloaded(500), "at 0.9 ms each and a share of 0.4"


def test_the_window_of_attempts_in_flight_follows_the_answer_latency():
    pace = overload.AdmissionPace()
    for _ in range(300):
        pace.record_latency(10.0)
    assert not pace.is_window_full(250) and pace.window > 256.0, (
        "the window grows while it is used and answers are fast"
    )
    for _ in range(100):
        pace.record_latency(500.0)
        pace.is_window_full(250)
    assert pace.window < 64.0 and pace.is_window_full(64)
    for _ in range(2_000):
        pace.is_window_full(64)
    assert pace.window == overload.MIN_WINDOW
    for _ in range(300):
        pace.record_latency(12.0)
        pace.is_window_full(16)
    assert pace.window > overload.MIN_WINDOW, "the window grows again"


def test_the_number_of_tenant_buckets_is_limited():
    request_gate = gate(max_tenants=10)
    for i in range(50):
        request_gate.admit_job(f"t{i}", 1, 0, 0, 0, 0, 0.0)
    assert len(request_gate.buckets_by_tenant) == 10


# ---- reasons ----

SPREAD = api.TaskClass(
    "spread", K, 1_000.0, 8_000.0, 1.0, deduplication_window_ms=5_000.0, spread_by="zone", max_per_domain=2
)
LARGE = api.TaskClass("large", S, 1_000.0, 8_000.0, 1.0, machine_kind="large")
PLAIN = api.TaskClass("plain", S, 1_000.0, 8_000.0, 1.0)
KINDS = {"std": api.MachineSize(8.0, 1_000.0), "large": api.MachineSize(64.0, 9_000.0)}
SETTINGS = api.Settings(
    0, 1, "a", (SPREAD, LARGE, PLAIN), KINDS, cores_overcommit=2.0, warm_up_ms=6_000.0, warm_up_offers=10.0
)


def machine(name, zone="a", phase=api.MachinePhase.SERVING, kind="std", up=None):
    return api.Machine(name, kind, zone, 0, phase, ready_at_ms=up)


def facts(machines, agents=None, placed=None, silent=None, before=None):
    agents = dict.fromkeys((m.name for m in machines), "subscribed") if agents is None else agents
    machines_by_name = {m.name: m for m in machines}
    return reasons.ClusterFacts(
        SETTINGS, machines_by_name, agents, placed or {}, silent or {}, 100_000.0, before or {}
    )


def kinds(made, shape):
    return {cause.kind: cause for cause in made.common_causes(shape)}


def test_no_machine_fits():
    made = facts([machine("h1"), machine("h2", phase=api.MachinePhase.REMOVED, kind="large")])
    assert "of kind large" in kinds(made, ("large", "svc", 1.0, 1.0))["no-machine"].text
    assert set(kinds(made, ("plain", "svc", 16.1, 1.0))) == {"no-machine"}
    assert set(kinds(made, ("plain", "svc", 16.0, 1.0))) == {"no-room"}, "machines accept twice their cores"
    assert set(kinds(made, ("plain", "svc", 1.0, 1_001.0))) == {"no-machine"}


def test_unavailable_machines_are_counted_by_cause():
    made = facts(
        [
            machine("h1", phase=api.MachinePhase.DRAINING),
            machine("h2"),
            machine("h3"),
            machine("h4", up=99_000.0),
            machine("h5"),
        ],
        {"h1": "subscribed", "h2": "away", "h3": "subscribed", "h4": "subscribed", "h5": "subscribed"},
        silent={"h3": 2},
    )
    found = kinds(made, ("plain", "svc", 1.0, 1.0))
    assert {kind: cause.count for kind, cause in found.items()} == {
        "draining": 1, "no-agent": 1, "barred": 1, "cold": 1, "no-room": 2,
    }  # fmt: skip


def test_the_spread_limit_of_a_service_per_zone():
    machines = [machine("h1", "a"), machine("h2", "b")]
    half = kinds(facts(machines, placed={"svc": Counter(h1=2)}), ("spread", "svc", 1.0, 1.0))["spread"]
    assert half.text == "limit of 2 tasks of svc a hall: 1 of 2 at it (a)" and half.count == 1
    both = kinds(facts(machines, placed={"svc": Counter(h1=2, h2=3)}), ("spread", "svc", 1.0, 1.0))["spread"]
    assert "2 of 2 at it (a, b)" in both.text
    assert "spread" not in kinds(
        facts(machines, placed={"other": Counter(h1=9)}), ("spread", "svc", 1.0, 1.0)
    )


def test_unchanged_causes_are_the_same_list_object():
    shape = ("plain", "svc", 1.0, 1.0)
    first = facts([machine("h1")])
    causes = first.common_causes(shape)
    assert facts([machine("h2")], before=first.causes_by_shape).common_causes(shape) is causes
    assert facts([], before=first.causes_by_shape).common_causes(shape) is not causes


def test_reports_of_machines_are_repeated_newest_first():
    record = Reasons()
    record.record(api.Outcome.REJECTED, api.OutcomeReason.INSUFFICIENT_CORES, "h1", 1_000.0)
    record.record(api.Outcome.REJECTED, api.OutcomeReason.INSUFFICIENT_CORES, "h2", 2_000.0)
    record.record(api.Outcome.TIMED_OUT, api.OutcomeReason.UNSPECIFIED, "h3", 3_000.0)
    common = [s.Cause(kind="no-room", text="3 machines fit")]
    why = reasons.explain_wait(reasons.PAUSE_CAUSE, record, common, lambda at: at + 5.0)
    assert [cause.kind for cause in why.causes] == ["pause", "no-answer", "refused-cores", "no-room"]
    assert why.causes[2] == s.Cause(
        kind="refused-cores", text="refused (cores) 2 times, last by h2", count=2, machine="h2", at_ms=2_005.0
    )
    assert why.summary == "no answer in time once, by h3"
    spread = s.Cause(kind="spread", text="limit")
    assert reasons.explain_wait(None, record, [spread], lambda at: at).summary == "limit"
    assert [c.kind for c in reasons.explain_wait(None, Reasons(), common, lambda at: at).causes] == [
        "no-room",
        "not-tried",
    ]


def test_terms_match_a_key_or_a_value():
    assert Term("a", True).matches({"a": "x"}) and not Term("a", False, ("x",)).matches({"a": "x"})
