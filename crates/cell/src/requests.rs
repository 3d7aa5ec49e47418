//! Calls of callers that wait for the decider's verdict.

use std::collections::BTreeMap;
use std::sync;
use std::time;

use pier_core::ids;

use crate::effect::CallerResponse;
use crate::job::JobSpec;
use crate::options::Options;
use crate::peer::{Message, RequestOutcome};

/// How long a call waits for a decider that is not known or not connected. A change of the decider
/// takes about so long; after it the caller is better off at another host.
const DECIDER_PATIENCE: time::Duration = time::Duration::from_millis(900);

/// How long a call that changes nothing waits for the decider.
const READ_PATIENCE: time::Duration = time::Duration::from_millis(400);

/// What a call wants from the decider.
#[derive(Debug, Clone)]
pub enum DeciderRequest {
    /// To take a job.
    Submit(sync::Arc<JobSpec>),
    /// To cancel a job.
    Cancel(ids::JobId),
    /// To tell a job's state.
    Show(ids::JobId),
    /// To tell how many jobs of a queue have not begun.
    Pending(ids::QueueId),
}

impl DeciderRequest {
    /// What the call is about: a job, or a queue.
    pub fn subject(&self) -> &str {
        match self {
            Self::Submit(spec) => &spec.id,
            Self::Cancel(id) | Self::Show(id) => id,
            Self::Pending(queue) => queue,
        }
    }

    /// Whether the call changes nothing, so that any host with a recent view can answer it.
    pub fn is_read(&self) -> bool {
        matches!(self, Self::Show(_) | Self::Pending(_))
    }

    /// The message to the decider.
    pub fn to_message(&self, ticket: ids::Ticket) -> Message {
        match self {
            Self::Submit(spec) => Message::Submit { ticket, spec: sync::Arc::clone(spec) },
            Self::Cancel(job) => Message::Cancel { ticket, job: ids::JobId::clone(job) },
            Self::Show(job) => Message::Show { ticket, job: ids::JobId::clone(job) },
            Self::Pending(queue) => {
                Message::CountPending { ticket, queue: ids::QueueId::clone(queue) }
            }
        }
    }
}

#[derive(Debug)]
struct PendingRequest {
    wanted: DeciderRequest,
    arrived_at: time::Duration,
    answer_by: time::Duration,
    /// The fencing token of the decider that it was passed to last.
    passed_to: Option<u64>,
}

/// The calls that wait.
#[derive(Debug, Default)]
pub struct PendingRequests {
    waiting: BTreeMap<ids::Ticket, PendingRequest>,
}

impl PendingRequests {
    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes a call.
    pub fn add(
        &mut self,
        now: time::Duration,
        ticket: ids::Ticket,
        wanted: DeciderRequest,
        patience: Option<time::Duration>,
        options: &Options,
    ) {
        let patience = patience.unwrap_or(options.default_caller_timeout);
        // A caller with little time left still gets most of it.
        let margin = options.response_margin.min(patience / 4);
        let answer_by = now.saturating_add(patience.saturating_sub(margin));
        let waiting = PendingRequest { wanted, arrived_at: now, answer_by, passed_to: None };
        self.waiting.insert(ticket, waiting);
    }

    /// The calls that the decider with this token has not got yet. They count as passed to it.
    pub fn pass_to(&mut self, token: u64) -> Vec<(ids::Ticket, DeciderRequest)> {
        let mut passed = Vec::new();
        for (ticket, call) in &mut self.waiting {
            if call.passed_to == Some(token) {
                continue;
            }
            call.passed_to = Some(token);
            passed.push((*ticket, call.wanted.clone()));
        }
        passed
    }

    /// The connection to the decider is gone: what was passed to it is to be passed again. The
    /// decider takes a repeat for the same job.
    pub fn repeat_all(&mut self) {
        for call in self.waiting.values_mut() {
            if call.passed_to.is_some() {
                call.passed_to = Some(0);
            }
        }
    }

    /// Takes the verdict of the decider with this token. None when the caller has been answered
    /// already, or when a later decider has the call: it may store what an earlier one rejects.
    pub fn on_verdict(
        &mut self,
        now: time::Duration,
        ticket: ids::Ticket,
        token: u64,
        verdict: RequestOutcome,
    ) -> Option<CallerResponse> {
        let is_last = self.waiting.get(&ticket)?.passed_to == Some(token);
        // What is stored stays so, whoever says it.
        if !is_last && verdict != RequestOutcome::Stored {
            tracing::debug!(ticket, token, ?verdict, "verdict of an earlier decider left out");
            return None;
        }
        let call = self.waiting.remove(&ticket)?;
        let waited_ms = pier_core::clock::millis(now.saturating_sub(call.arrived_at));
        if call.wanted.is_read() {
            tracing::debug!(job = call.wanted.subject(), ?verdict, waited_ms, "call answered");
        } else {
            tracing::info!(job = call.wanted.subject(), ?verdict, waited_ms, "call answered");
        }
        Some(match (verdict, call.wanted) {
            (RequestOutcome::Stored, DeciderRequest::Submit(_)) => CallerResponse::Accepted,
            (RequestOutcome::Stored, _) => CallerResponse::Cancelled,
            (RequestOutcome::Unknown, _) => CallerResponse::UnknownJob,
            (RequestOutcome::State(state), _) => CallerResponse::State(state),
            (RequestOutcome::Pending(count), _) => CallerResponse::Pending(count),
            (RequestOutcome::Rejected { reason, retry_after_ms }, _) => CallerResponse::Rejected {
                reason,
                retry_after: time::Duration::from_millis(retry_after_ms),
            },
        })
    }

    /// Takes the calls that change nothing and that the decider does not answer in time: this host
    /// answers them by its own view. With `has_own_view` it does so at once if there is no decider.
    pub fn take_overdue_reads(
        &mut self,
        now: time::Duration,
        has_decider: bool,
        has_own_view: bool,
    ) -> Vec<(ids::Ticket, DeciderRequest)> {
        let mut overdue = Vec::new();
        for (ticket, call) in &self.waiting {
            let is_late = now >= call.arrived_at.saturating_add(READ_PATIENCE);
            if call.wanted.is_read() && (is_late || (!has_decider && has_own_view)) {
                overdue.push((*ticket, call.wanted.clone()));
            }
        }
        for (ticket, _) in &overdue {
            self.waiting.remove(ticket);
        }
        overdue
    }

    /// The calls that are answered without a verdict: those that can wait no longer and, while no
    /// decider is at hand, those that no decider has got. A host that is cut off waits for no
    /// decider: the caller is better off at another host.
    pub fn give_up(
        &mut self,
        now: time::Duration,
        has_decider: bool,
        is_cut_off: bool,
        options: &Options,
    ) -> Vec<(ids::Ticket, CallerResponse)> {
        let mut answered = Vec::new();
        for (ticket, call) in &self.waiting {
            let was_passed = call.passed_to.is_some();
            let is_out_of_patience = !has_decider
                && (!was_passed || is_cut_off)
                && now >= call.arrived_at.saturating_add(DECIDER_PATIENCE);
            if now < call.answer_by && !is_out_of_patience {
                continue;
            }
            // What a decider may have got may be stored, so it is not a rejection.
            let answer = if was_passed {
                CallerResponse::OutcomeUnknown
            } else {
                CallerResponse::Rejected {
                    reason: "no decider is known".to_owned(),
                    retry_after: if is_cut_off {
                        time::Duration::ZERO
                    } else {
                        options.retry_after
                    },
                }
            };
            let waited_ms = pier_core::clock::millis(now.saturating_sub(call.arrived_at));
            tracing::warn!(job = call.wanted.subject(), ?answer, waited_ms, "call given up");
            answered.push((*ticket, answer));
        }
        for (ticket, _) in &answered {
            self.waiting.remove(ticket);
        }
        answered
    }

    /// When a call may have to be given up next.
    pub fn due_at(&self, now: time::Duration, has_decider: bool) -> time::Duration {
        let mut due_at = time::Duration::MAX;
        for call in self.waiting.values() {
            due_at = due_at.min(call.answer_by);
            if call.wanted.is_read() {
                due_at = due_at.min(call.arrived_at.saturating_add(READ_PATIENCE));
            }
            // A call that was passed on may stay open after that, and must not keep the host awake.
            let patience_ends_at = call.arrived_at.saturating_add(DECIDER_PATIENCE);
            if !has_decider && (call.passed_to.is_none() || patience_ends_at > now) {
                due_at = due_at.min(patience_ends_at);
            }
        }
        due_at
    }
}
