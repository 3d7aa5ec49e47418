//! Shutdown of a host: its callers' requests get responses until its process ends.
//!
//! A connection that closes without a response tells the caller nothing, so a host holds no request
//! that it does not expect a response to, and responds to all of them before its process ends.

use std::time;

use crate::effect::{CallerResponse, Effect};
use crate::host::{Host, Role};
use crate::requests::{DECIDER_WAIT, DeciderRequest};

/// The minimum time of a shutdown, in which the load balancer notices that the host shuts down.
const MIN_SHUTDOWN_TIME: time::Duration = time::Duration::from_millis(2_500);
/// The last part of a shutdown, in which no more requests are passed on: their outcomes might arrive
/// too late.
const CLOSING_TIME: time::Duration = time::Duration::from_millis(400);

impl Host {
    /// Stops accepting callers and resigns the decider role.
    pub(super) fn on_shutdown(&mut self, now: time::Duration) {
        tracing::info!(is_decider = self.is_decider(), "shutting down the host");
        self.shutdown_began_at.get_or_insert(now);
        let release = self.identity.to_claim(true);
        if let Role::Deciding(decider) = &mut self.role {
            decider.release(release);
        }
    }

    pub(super) fn is_shutting_down(&self) -> bool {
        self.shutdown_began_at.is_some()
    }

    /// Whether the host has finished its shutdown: no caller waits and it is not the decider, or its
    /// time is up and every caller has a response.
    pub fn is_finished(&self, now: time::Duration) -> bool {
        let Some(began_at) = self.shutdown_began_at else {
            return false;
        };
        let has_ended = now >= began_at.saturating_add(MIN_SHUTDOWN_TIME)
            && self.requests.is_empty()
            && !self.is_decider();
        has_ended || self.is_time_up(now, time::Duration::ZERO)
    }

    /// Whether at most this much is left of the time of the shutdown.
    fn is_time_up(&self, now: time::Duration, left: time::Duration) -> bool {
        self.shutdown_ends_at().is_some_and(|ends_at| now.saturating_add(left) >= ends_at)
    }

    fn shutdown_ends_at(&self) -> Option<time::Duration> {
        Some(self.shutdown_began_at?.saturating_add(self.options.shutdown_timeout))
    }

    /// When a host that shuts down gives up to wait for a decider. The hosts that could become the
    /// decider may all have stopped.
    fn gives_up_waiting_at(&self) -> Option<time::Duration> {
        if !self.is_shutting_down() || self.has_decider() {
            return None;
        }
        Some(self.decider_seen_at.unwrap_or_default().saturating_add(DECIDER_WAIT))
    }

    /// When requests are next answered because of the shutdown.
    pub(super) fn shutdown_due_at(&self, now: time::Duration) -> Option<time::Duration> {
        let due_at = [self.gives_up_waiting_at().filter(|at| *at > now), self.shutdown_ends_at()];
        due_at.into_iter().flatten().min()
    }

    /// Why a new request cannot be passed on to a decider any more, with the retry delay.
    pub(super) fn reason_to_decline(
        &self,
        now: time::Duration,
    ) -> Option<(&'static str, time::Duration)> {
        if self.gives_up_waiting_at().is_some_and(|at| now >= at) {
            return Some(("no decider is known", self.options.retry_after));
        }
        // Other hosts serve.
        let is_closing = self.is_time_up(now, CLOSING_TIME);
        is_closing.then_some(("the host is shutting down", time::Duration::ZERO))
    }

    /// The response to a request that gets none from a decider any more.
    pub(super) fn decline(
        &self,
        now: time::Duration,
        request: &DeciderRequest,
        was_forwarded: bool,
        (reason, retry_after): (&'static str, time::Duration),
    ) -> CallerResponse {
        if request.is_read() {
            return self.serve_read(now, request);
        }
        // A forwarded request may have been stored.
        if was_forwarded {
            return CallerResponse::OutcomeUnknown;
        }
        CallerResponse::Rejected { reason: reason.to_owned(), retry_after }
    }

    /// Responds to all requests if the time of the shutdown is up, or if no decider is expected.
    pub(super) fn decline_on_shutdown(&mut self, now: time::Duration, effects: &mut Vec<Effect>) {
        let is_without_decider = self.gives_up_waiting_at().is_some_and(|at| now >= at);
        let is_due = is_without_decider || self.is_time_up(now, time::Duration::ZERO);
        let Some(reason) = self.reason_to_decline(now) else {
            return;
        };
        if !is_due || self.requests.is_empty() {
            return;
        }
        let requests = self.requests.take_all();
        tracing::info!(
            requests = requests.len(),
            reason = reason.0,
            "responding to requests without the decider because the host shuts down"
        );
        for (ticket, request, was_forwarded) in requests {
            let response = self.decline(now, &request, was_forwarded, reason);
            tracing::info!(job = request.subject(), answer = ?response, "request declined");
            effects.push(Effect::Respond { ticket, response });
        }
    }
}
