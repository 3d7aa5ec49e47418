//! Callers' requests that wait for the decider's response.

use std::collections::BTreeMap;
use std::sync;
use std::time;

use pier_core::ids;

use crate::effect::CallerResponse;
use crate::job::{JobSpec, Requester};
use crate::options::Options;
use crate::peer::{Message, RequestOutcome};

/// How long a request waits while no decider is known or connected. A change of the decider takes
/// about this long; after that, another host can serve the caller sooner.
pub(crate) const DECIDER_WAIT: time::Duration = time::Duration::from_millis(900);

/// How long a read-only request waits for the decider.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// A caller's request in the form in which the decider handles it.
#[derive(Debug, Clone)]
pub enum DeciderRequest {
    /// Submits a job.
    Submit(sync::Arc<JobSpec>),
    /// Cancels a job.
    Cancel(ids::JobId, Requester),
    /// Returns a job's state.
    Show(ids::JobId, Requester),
    /// Returns the number of jobs of a queue that have not begun.
    CountPending(ids::QueueId),
}

impl DeciderRequest {
    /// Returns the id of the job or queue that the request concerns.
    pub fn subject(&self) -> &str {
        match self {
            Self::Submit(spec) => &spec.id,
            Self::Cancel(id, _) | Self::Show(id, _) => id,
            Self::CountPending(queue) => queue,
        }
    }

    /// Whether the request is read-only, so that any host with recent state can serve it.
    pub fn is_read(&self) -> bool {
        matches!(self, Self::Show(..) | Self::CountPending(_))
    }

    /// Creates the message that forwards the request to the decider with this fencing token.
    pub fn to_message(&self, ticket: ids::Ticket, token: u64) -> Message {
        match self {
            Self::Submit(spec) => Message::Submit { ticket, token, spec: sync::Arc::clone(spec) },
            Self::Cancel(job, requester) => {
                let (job, requester) = (ids::JobId::clone(job), Some(requester.clone()));
                Message::Cancel { ticket, token, job, requester }
            }
            Self::Show(job, requester) => {
                let (job, requester) = (ids::JobId::clone(job), Some(requester.clone()));
                Message::Show { ticket, token, job, requester }
            }
            Self::CountPending(queue) => {
                Message::CountPending { ticket, token, queue: ids::QueueId::clone(queue) }
            }
        }
    }
}

#[derive(Debug)]
struct PendingRequest {
    request: DeciderRequest,
    received_at: time::Duration,
    respond_by: time::Duration,
    /// The fencing token of the decider to which the request was last forwarded; zero if it is to
    /// be forwarded again.
    forwarded_to: Option<u64>,
    /// The tickets under which the request was forwarded, the latest one last.
    forwards: Vec<ids::Ticket>,
}

/// The requests that wait for the decider's response, by the tickets of the callers.
///
/// A request may be forwarded several times, because the decider has changed or the connection to it
/// was lost. Each time it gets a ticket of its own: what became of an earlier forward does not tell
/// what becomes of the latest one.
#[derive(Debug, Default)]
pub struct PendingRequests {
    pending: BTreeMap<ids::Ticket, PendingRequest>,
    /// The callers' tickets by the tickets of the forwards.
    forwards: BTreeMap<ids::Ticket, ids::Ticket>,
}

impl PendingRequests {
    /// Whether no request is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// The number of pending requests.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Adds a request.
    pub fn add(
        &mut self,
        now: time::Duration,
        ticket: ids::Ticket,
        request: DeciderRequest,
        timeout: Option<time::Duration>,
        options: &Options,
    ) {
        let timeout = timeout.unwrap_or(options.default_caller_timeout);
        // Limits the margin for short timeouts, so that most of the caller's time remains.
        let margin = options.response_margin.min(timeout / 4);
        let respond_by = now.saturating_add(timeout.saturating_sub(margin));
        let pending = PendingRequest {
            request,
            received_at: now,
            respond_by,
            forwarded_to: None,
            forwards: Vec::new(),
        };
        self.pending.insert(ticket, pending);
    }

    /// Returns the requests that have not been forwarded to the decider with this token, each with
    /// the ticket of this forward, and marks them as forwarded to it.
    pub fn forward_to(
        &mut self,
        token: u64,
        tickets: &mut ids::TicketSequence,
    ) -> Vec<(ids::Ticket, DeciderRequest)> {
        let mut forwarded = Vec::new();
        for (ticket, pending) in &mut self.pending {
            if pending.forwarded_to == Some(token) {
                continue;
            }
            let forward = tickets.issue();
            pending.forwarded_to = Some(token);
            pending.forwards.push(forward);
            self.forwards.insert(forward, *ticket);
            forwarded.push((forward, pending.request.clone()));
        }
        forwarded
    }

    /// Removes and returns all requests, and whether each has been forwarded.
    pub fn take_all(&mut self) -> Vec<(ids::Ticket, DeciderRequest, bool)> {
        self.forwards.clear();
        let mut taken = Vec::with_capacity(self.pending.len());
        for (ticket, pending) in std::mem::take(&mut self.pending) {
            taken.push((ticket, pending.request, pending.forwarded_to.is_some()));
        }
        taken
    }

    fn remove(&mut self, ticket: ids::Ticket) -> Option<PendingRequest> {
        let pending = self.pending.remove(&ticket)?;
        for forward in &pending.forwards {
            self.forwards.remove(forward);
        }
        Some(pending)
    }

    /// Marks the forwarded requests to be forwarded again, after the connection to the decider was
    /// lost. The decider treats a repeated submission as the same job.
    pub fn forward_again(&mut self) {
        for pending in self.pending.values_mut() {
            if pending.forwarded_to.is_some() {
                pending.forwarded_to = Some(0);
            }
        }
    }

    /// Handles the outcome of a forward and returns the ticket of the caller with the response to
    /// it. None if the caller already has a response, or if the request was forwarded again since:
    /// the same decider or a later one may store what was rejected.
    pub fn on_outcome(
        &mut self,
        now: time::Duration,
        forward: ids::Ticket,
        outcome: RequestOutcome,
    ) -> Option<(ids::Ticket, CallerResponse)> {
        let ticket = *self.forwards.get(&forward)?;
        let pending = self.pending.get(&ticket)?;
        let is_current =
            pending.forwards.last() == Some(&forward) && pending.forwarded_to != Some(0);
        // A stored change remains stored, whichever decider reports it.
        if !is_current && outcome != RequestOutcome::Stored {
            tracing::debug!(job = pending.request.subject(), verdict = ?outcome,
                "ignored the outcome of a request that was forwarded again since");
            return None;
        }
        let pending = self.remove(ticket)?;
        let waited_ms = pier_core::clock::millis(now.saturating_sub(pending.received_at));
        if pending.request.is_read() {
            tracing::debug!(job = pending.request.subject(), verdict = ?outcome, waited_ms,
                "request completed");
        } else {
            tracing::info!(job = pending.request.subject(), verdict = ?outcome, waited_ms,
                "request completed");
        }
        let response = match (outcome, pending.request) {
            (RequestOutcome::Stored, DeciderRequest::Submit(_)) => CallerResponse::Accepted,
            (RequestOutcome::Stored, _) => CallerResponse::Cancelled,
            (RequestOutcome::Unknown, _) => CallerResponse::UnknownJob,
            (RequestOutcome::State(state), _) => CallerResponse::State(state),
            (RequestOutcome::Pending(count), _) => CallerResponse::Pending(count),
            (RequestOutcome::Rejected { reason, retry_after_ms }, _) => CallerResponse::Rejected {
                reason,
                retry_after: time::Duration::from_millis(retry_after_ms),
            },
        };
        Some((ticket, response))
    }

    /// Removes and returns the read-only requests that the decider has not responded to in time;
    /// this host responds to them from its own state. With `has_recent_state` it does so at once
    /// while there is no decider.
    pub fn take_overdue_reads(
        &mut self,
        now: time::Duration,
        has_decider: bool,
        has_recent_state: bool,
    ) -> Vec<(ids::Ticket, DeciderRequest)> {
        let mut overdue = Vec::new();
        for (ticket, pending) in &self.pending {
            let is_late = now >= pending.received_at.saturating_add(READ_TIMEOUT);
            if pending.request.is_read() && (is_late || (!has_decider && has_recent_state)) {
                overdue.push((*ticket, pending.request.clone()));
            }
        }
        for (ticket, _) in &overdue {
            self.remove(*ticket);
        }
        overdue
    }

    /// Removes the requests that get a response without the decider, and returns the responses.
    /// These are the requests whose time is up and, if there is still no decider after a short
    /// wait, those that were not forwarded to any. An isolated host includes the forwarded ones,
    /// because another host can serve the caller sooner.
    pub fn expire(
        &mut self,
        now: time::Duration,
        has_decider: bool,
        is_isolated: bool,
        options: &Options,
    ) -> Vec<(ids::Ticket, CallerResponse)> {
        let mut expired = Vec::new();
        for (ticket, pending) in &self.pending {
            let was_forwarded = pending.forwarded_to.is_some();
            let is_decider_overdue = !has_decider
                && (!was_forwarded || is_isolated)
                && now >= pending.received_at.saturating_add(DECIDER_WAIT);
            if now < pending.respond_by && !is_decider_overdue {
                continue;
            }
            // A forwarded request may have been stored, so it must not be reported as rejected.
            let response = if was_forwarded {
                CallerResponse::OutcomeUnknown
            } else {
                CallerResponse::Rejected {
                    reason: "no decider is known".to_owned(),
                    retry_after: if is_isolated {
                        time::Duration::ZERO
                    } else {
                        options.retry_after
                    },
                }
            };
            let waited_ms = pier_core::clock::millis(now.saturating_sub(pending.received_at));
            tracing::warn!(job = pending.request.subject(), answer = ?response, waited_ms,
                "request expired without a response from the decider");
            expired.push((*ticket, response));
        }
        for (ticket, _) in &expired {
            self.remove(*ticket);
        }
        expired
    }

    /// When the next request may be overdue or expire.
    pub fn due_at(&self, now: time::Duration, has_decider: bool) -> time::Duration {
        let mut due_at = time::Duration::MAX;
        for pending in self.pending.values() {
            due_at = due_at.min(pending.respond_by);
            if pending.request.is_read() {
                due_at = due_at.min(pending.received_at.saturating_add(READ_TIMEOUT));
            }
            // A forwarded request may remain pending after the wait. Its past deadline must not
            // keep the host from sleeping.
            let wait_ends_at = pending.received_at.saturating_add(DECIDER_WAIT);
            if !has_decider && (pending.forwarded_to.is_none() || wait_ends_at > now) {
                due_at = due_at.min(wait_ends_at);
            }
        }
        due_at
    }
}
