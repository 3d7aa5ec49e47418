//! HTTP status codes of refusals.

use http::StatusCode;
use pier_core::caller::{Outcome, Refusal, RefusalKind};
use pier_core::task;

/// The HTTP status of each kind of refusal.
const STATUSES: [(RefusalKind, StatusCode); 25] = [
    (RefusalKind::UnknownQueue, StatusCode::NOT_FOUND),
    (RefusalKind::WrongClass, StatusCode::UNPROCESSABLE_ENTITY),
    (RefusalKind::NoKey, StatusCode::UNAUTHORIZED),
    (RefusalKind::BadKey, StatusCode::UNAUTHORIZED),
    (RefusalKind::WrongTeam, StatusCode::FORBIDDEN),
    (RefusalKind::BodyTooLarge, StatusCode::PAYLOAD_TOO_LARGE),
    (RefusalKind::BodyIncomplete, StatusCode::REQUEST_TIMEOUT),
    (RefusalKind::BadRequest, StatusCode::BAD_REQUEST),
    (RefusalKind::DeadlinePassed, StatusCode::GATEWAY_TIMEOUT),
    (RefusalKind::NeverFits, StatusCode::UNPROCESSABLE_ENTITY),
    (RefusalKind::OverLimit, StatusCode::UNPROCESSABLE_ENTITY),
    (RefusalKind::NoRoom, StatusCode::SERVICE_UNAVAILABLE),
    (RefusalKind::Overloaded, StatusCode::SERVICE_UNAVAILABLE),
    (RefusalKind::NoAuthority, StatusCode::SERVICE_UNAVAILABLE),
    (RefusalKind::ShuttingDown, StatusCode::SERVICE_UNAVAILABLE),
    (RefusalKind::WorkerLost, StatusCode::BAD_GATEWAY),
    (RefusalKind::AttemptsExhausted, StatusCode::BAD_GATEWAY),
    (RefusalKind::Cancelled, StatusCode::CONFLICT),
    (RefusalKind::Duplicate, StatusCode::CONFLICT),
    (RefusalKind::NotStored, StatusCode::SERVICE_UNAVAILABLE),
    (RefusalKind::UnknownJob, StatusCode::NOT_FOUND),
    (RefusalKind::Conflict, StatusCode::CONFLICT),
    (RefusalKind::BadDeclaration, StatusCode::UNPROCESSABLE_ENTITY),
    (RefusalKind::HistoryLost, StatusCode::SERVICE_UNAVAILABLE),
    (RefusalKind::BadOperator, StatusCode::UNAUTHORIZED),
];

/// The refusal for each task end other than done. A lapsed lease leaves open whether the task did
/// its work, so its outcome is unknown; the worker has reported the other ends.
const ENDS: [(task::EndKind, RefusalKind, Outcome, &str); 4] = [
    (
        task::EndKind::Failed,
        RefusalKind::AttemptsExhausted,
        Outcome::Ran,
        "the task ran and failed",
    ),
    (
        task::EndKind::Checkpointed,
        RefusalKind::WorkerLost,
        Outcome::Ran,
        "the task ran and was checkpointed before its end",
    ),
    (
        task::EndKind::Stopped,
        RefusalKind::WorkerLost,
        Outcome::Ran,
        "the task ran and was stopped before its end",
    ),
    (
        task::EndKind::Lapsed,
        RefusalKind::WorkerLost,
        Outcome::Unknown,
        "the lease of the task lapsed before its end was known",
    ),
];

/// The HTTP status of a kind of refusal.
pub fn for_refusal(kind: RefusalKind) -> StatusCode {
    for (row, status) in STATUSES {
        if row == kind {
            return status;
        }
    }
    StatusCode::INTERNAL_SERVER_ERROR
}

/// The refusal for the end of a task, or `None` if the task is done.
pub fn refusal_for_end(end: task::EndKind) -> Option<Refusal> {
    for (row, kind, outcome, detail) in ENDS {
        if row == end {
            return Some(Refusal {
                kind,
                detail: detail.to_owned(),
                outcome,
                retry_after_ms: None,
            });
        }
    }
    None
}
