"""Frameworks: unacknowledged updates, the limit on the number of frameworks, failover."""

import pytest

from glencleat.allocator.frameworks import FrameworkLimitError, Frameworks
from glencleat.mesos import messages as m


def framework_info(name="f", failover_timeout_s=0.0):
    return m.FrameworkInfo("u", name, m.Value(name), failover_timeout=failover_timeout_s)


def subscribe(frameworks, info, session=None):
    return frameworks.subscribe(
        info, new_id="x", stream_id="s", session=object() if session is None else session, now_ms=0.0
    ).framework


def uuids(statuses):
    return [status.uuid for status in statuses]


def test_updates_are_stored_in_order_until_acknowledged():
    frameworks = Frameworks(update_retry_ms=100.0)
    framework = subscribe(frameworks, framework_info())
    for i in range(3):
        status = m.TaskStatus(m.Value("t"), "TASK_RUNNING", uuid=str(i))
        frameworks.record_update(framework, status, 10.0 * i)
    assert frameworks.acknowledge(framework, "1")
    assert not frameworks.acknowledge(framework, "1")
    assert uuids(frameworks.unacknowledged_statuses(framework)) == ["0", "2"]
    assert uuids(frameworks.take_due_retries(framework, 110.0)) == ["0"]
    assert uuids(frameworks.take_due_retries(framework, 120.0)) == []
    assert uuids(frameworks.unacknowledged_statuses(framework)) == ["0", "2"]


def test_frameworks_are_bounded_and_expire_after_their_failover_timeout():
    frameworks = Frameworks(max_frameworks=1, max_failover_timeout_s=10.0)
    session = object()
    framework = subscribe(frameworks, framework_info(failover_timeout_s=1e9), session)
    with pytest.raises(FrameworkLimitError, match="1 frameworks") as raised:
        subscribe(frameworks, framework_info("g"))
    assert raised.value.max_frameworks == 1
    assert frameworks.close_session(framework, session, 0.0)
    assert frameworks.find_expired(10_000.0) == []
    assert frameworks.find_expired(10_001.0) == [framework]
    frameworks.remove(framework)
    subscribe(frameworks, framework_info("g"))
