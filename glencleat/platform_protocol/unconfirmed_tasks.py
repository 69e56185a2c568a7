"""Tasks that clients have handed over (`at`) and of which their hosts have not reported anything yet. No I/O.

Nothing shows that such a task exists, so a faulty client may name any number of them. Beyond MAX_UNCONFIRMED
the client that has named most gives way, its oldest task first: clients that name what their hosts hold lose
nothing to one that does not.
"""

from __future__ import annotations

from typing import Generic, TypeVar

MAX_UNCONFIRMED = 4_096
"""Tasks; each takes some kilobytes, in the exchange and in the policy."""

ClientT = TypeVar("ClientT")


class UnconfirmedTasks(Generic[ClientT]):
    """Task ids by the client that has named them, the oldest first.

    >>> tasks = UnconfirmedTasks(max_count=2)
    >>> tasks.add("a", 1), tasks.add("b", 2), tasks.add("b", 3)
    (None, None, 2)
    >>> tasks.discard("b", 3), tasks.discard("b", 3), len(tasks)
    (True, False, 1)
    """

    def __init__(self, max_count: int = MAX_UNCONFIRMED) -> None:
        """Starts empty."""
        self.max_count = max_count
        self.task_ids_by_client: dict[ClientT, dict[int, None]] = {}
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def add(self, client: ClientT, task_id: int) -> int | None:
        """Adds a task. Returns one that has to be forgotten for it and was removed, None if there is room."""
        self.task_ids_by_client.setdefault(client, {})[task_id] = None
        self.count += 1
        if self.count <= self.max_count:
            return None
        largest_client = max(self.task_ids_by_client, key=lambda other: len(self.task_ids_by_client[other]))
        oldest_task_id = next(iter(self.task_ids_by_client[largest_client]))
        self.discard(largest_client, oldest_task_id)
        return oldest_task_id

    def discard(self, client: ClientT, task_id: int) -> bool:
        """Removes a task whose host has reported it, or that is over. Returns whether it was there."""
        task_ids = self.task_ids_by_client.get(client)
        if task_ids is None or task_id not in task_ids:
            return False
        del task_ids[task_id]
        self.count -= 1
        if not task_ids:
            del self.task_ids_by_client[client]
        return True
