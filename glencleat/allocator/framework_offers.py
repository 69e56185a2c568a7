"""Resource offers of the Scheduler API, which frameworks accept or decline.

An offer represents the whole pool as if it were one agent. Its amount is nominal (the sum of one machine of
each kind) and it reserves nothing: the allocator chooses the machine of each task itself.
"""

from __future__ import annotations

from glencleat.allocator.frameworks import MS_PER_S, Framework
from glencleat.allocator.ports import CorePort
from glencleat.mesos import messages as m

DEFAULT_REFUSE_S = 5.0  # default of the API's specification for a DECLINE without filters
MAX_REFUSE_S = 31_536_000.0  # one year


class FrameworkOffers:
    """Sends offers when they are due, and handles their use and decline."""

    def __init__(self, core: CorePort) -> None:
        self.core = core
        self.last_offer_number = 0

    def send_if_due(self, framework: Framework, now_ms: float) -> None:
        """Sends an offer if one is due, and rescinds the oldest if too many are outstanding."""
        core = self.core
        if core.is_shutting_down or not core.frameworks.is_offer_due(framework, now_ms):
            return
        self.last_offer_number += 1
        offer_id = f"{core.options.name}-{core.incarnation}-o{self.last_offer_number}"
        offer = self._make_offer(framework, offer_id)
        rescinded_id = core.frameworks.record_offer(framework, offer_id, now_ms)
        if rescinded_id is not None:
            rescind = m.Rescind(m.Value(rescinded_id))
            framework.send_event(m.SchedulerEvent("RESCIND", rescind=rescind))
        framework.send_event(m.SchedulerEvent("OFFERS", offers=m.Offers([offer])))

    def _make_offer(self, framework: Framework, offer_id: str) -> m.Offer:
        """Builds an offer of the pool, with the capacity of one machine of each kind."""
        core = self.core
        sizes = core.settings.machine_sizes.values()
        cores = sum(size.cores for size in sizes)
        memory_mb = sum(size.memory for size in sizes)
        return m.Offer(
            m.Value(offer_id),
            m.Value(framework.id),
            m.Value(core.options.pool),
            core.options.pool,
            m.make_resources(cores, memory_mb),
            [m.Attribute("zone", text=m.Text(core.settings.zone))],
        )

    def use_offers(self, framework: Framework, accept: m.Accept) -> bool:
        """Records an ACCEPT of each of its offers, also if one of them is invalid.

        Returns whether there is at least one and all are valid.
        """
        core = self.core
        now_ms = core.now()
        used = [
            core.frameworks.use_offer(
                framework, offer_id.value, now_ms, next_offer_delay_ms=core.options.offer_interval_ms
            )
            for offer_id in accept.offer_ids
        ]
        return bool(used) and all(used)

    def decline(self, framework: Framework, decline: m.Decline) -> None:
        """Drops the offers of a DECLINE; the framework gets none for `refuse_seconds`, at most a year."""
        refuse_s = decline.filters.refuse_seconds if decline.filters is not None else DEFAULT_REFUSE_S
        refuse_ms = MS_PER_S * min(max(0.0, refuse_s), MAX_REFUSE_S)
        for offer_id in decline.offer_ids:
            self.core.frameworks.decline_offer(
                framework, offer_id.value, self.core.now(), refuse_ms=refuse_ms
            )
