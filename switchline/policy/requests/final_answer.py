"""The one final answer of a request that no attempt has answered: a rejection or a failure."""

from __future__ import annotations

from switchline.policy import interface as api
from switchline.policy.requests.loss_timeout import initial_loss_timeout_ms
from switchline.policy.requests.request import Request


def is_safe_to_repeat(request: Request) -> bool:
    """Whether a client may repeat a request without harm: it did not run, or it may run twice."""
    if not request.may_have_run:
        return True
    request_class = request.request_class
    if request_class.effect is api.Effect.IDEMPOTENT_WITH_KEY:
        return request_class.deduplication_scope is api.DeduplicationScope.ALL
    return request_class.effect is api.Effect.IDEMPOTENT


def final_answer(
    request: Request, retry_after_ms: float, cause: api.RejectionCause, max_retry_after_ms: float
) -> api.Reject | api.Fail:
    """Return the final answer: a rejection only if a retry by the client does no harm, else a failure.

    Args:
        request: The request.
        retry_after_ms: The wait before a retry; 0: the usual wait, a share of the latency objective.
        cause: The cause of the rejection.
        max_retry_after_ms: The longest Retry-After; 0: the answer has none.
    """
    if not is_safe_to_repeat(request):
        return api.Fail(request.id)
    wait_ms = retry_after_ms or initial_loss_timeout_ms(request.request_class.latency_objective_ms)
    return api.Reject(request.id, min(wait_ms, max_retry_after_ms), cause)
