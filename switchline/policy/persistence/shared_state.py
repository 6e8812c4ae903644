"""State records of the gateway and its backends, and the merging of such records."""

from __future__ import annotations

from switchline.policy import interface as api
from switchline.policy.backends.backend_table import BackendTable
from switchline.policy.quota.customer import Customer
from switchline.policy.quota.customers import MIN_EVEN_SHARE, CustomerTable
from switchline.policy.requests.latency import LatencyEstimate

# Name of the gateway's own record among the records of backends, which are named by their numbers.
GATEWAY_RECORD_NAME = ""


class SharedState:
    """Reads and writes records of the state that other objects hold; it has no state of its own."""

    def __init__(self, customers: CustomerTable, backends: BackendTable, latency: LatencyEstimate) -> None:
        self._customers = customers
        self._backends = backends
        self._latency = latency

    def records(self) -> dict[str, api.Record]:
        """Return the records of the gateway and of each backend that has outlier scores, by name."""
        latency = self._latency
        records: dict[str, api.Record] = {
            GATEWAY_RECORD_NAME: api.GatewayRecord(
                self._customers.gateway_created_ms,
                latency.mean_ms,
                latency.recent_ms,
                latency.recent_at_ms,
                latency.sample_count,
                latency.rate_per_s,
                latency.answered_at_ms,
            )
        }
        for backend in self._backends.by_id.values():
            if backend.scores:
                records[str(backend.id)] = api.BackendRecord(
                    backend.id, dict(backend.scores), backend.started_ms
                )
        return records

    def merge(self, now: float, record: api.Record | None) -> Customer | None:
        """Apply a record from another process or from disk; return the customer if it is a customer's.

        Raises:
            ValueError: The record can't be read, or names a plan that this gateway does not have.
        """
        match record:
            case api.GatewayRecord():
                self._load_gateway(record)
            case api.BackendRecord(number, scores, started_ms):
                # The scores of an earlier process of a backend say nothing of the present process.
                backend = self._backends.by_id.get(number)
                if backend and (started_ms is None or started_ms == backend.started_ms):
                    backend.scores = {
                        name: api.FadingScore(score.level, min(score.set_at_ms, now))
                        for name, score in scores.items()
                    }
            case api.CustomerRecord(key, plan) if plan in self._customers.plans:
                even_share = max(MIN_EVEN_SHARE, record.even_share)
                customer = self._customers.get_or_create(now, key, plan, even_share)
                customer.restore(record)
                return customer
            case _:
                raise ValueError(
                    f"expected a gateway, backend or customer of a known plan, got: {type(record).__name__}"
                )
        return None

    def limit_times(self, now: float) -> None:
        """Limit the times of a restored gateway record, so that none lies in the future."""
        customers, latency = self._customers, self._latency
        customers.gateway_created_ms = min(now, customers.gateway_created_ms)
        latency.recent_at_ms = min(now, latency.recent_at_ms)
        latency.answered_at_ms = min(now, latency.answered_at_ms)

    def _load_gateway(self, record: api.GatewayRecord) -> None:
        latency = self._latency
        self._customers.gateway_created_ms = record.created_ms
        latency.mean_ms = record.mean_ms
        latency.recent_ms = record.recent_ms
        latency.recent_at_ms = record.recent_at_ms
        latency.sample_count = record.sample_count
        latency.rate_per_s = record.rate_per_s
        latency.answered_at_ms = record.answered_at_ms
