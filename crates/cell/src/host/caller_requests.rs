//! Callers' requests at this host.

use std::sync;
use std::time;

use pier_core::ids;

use crate::decider::RequestOrigin;
use crate::declaration::Queue;
use crate::effect::{CallerResponse, Effect};
use crate::event::{CallerRequest, Operation};
use crate::host::{Host, ISOLATED_AFTER, MAX_STATE_AGE, READY_WHILE_DISCONNECTED, Role};
use crate::job::{self, AccountId, JobState, Requester};
use crate::record::Record;
use crate::requests::DeciderRequest;

impl Host {
    /// Whether the load balancer is to send callers to this host.
    pub(super) fn is_ready_for_callers(&self, now: time::Duration) -> bool {
        let has_decider = self.has_decider()
            || now <= self.disconnected_at.saturating_add(READY_WHILE_DISCONNECTED);
        !self.is_shutting_down()
            && self.declaration.version > 0
            && self.is_recent(now, self.operators.as_of(), self.options.max_declaration_age())
            && self.cell_state.decider.is_some()
            && has_decider
            && (self.is_observing || self.is_decider() || self.has_recent_state(now))
    }

    /// Whether this host's state is recent enough to contain every job that callers may know of.
    fn has_recent_state(&self, now: time::Duration) -> bool {
        let as_of = match &self.role {
            // Another host may have become the decider since then.
            Role::Deciding(decider) => Some(decider.confirmed_at()),
            _ => self.cell.as_of(),
        };
        self.is_recent(now, as_of, MAX_STATE_AGE)
    }

    fn is_recent(
        &self,
        now: time::Duration,
        as_of: Option<time::Duration>,
        max_age: time::Duration,
    ) -> bool {
        as_of.is_some_and(|as_of| now <= as_of.saturating_add(max_age))
    }

    /// Handles a caller's request.
    pub(super) fn on_caller_request(
        &mut self,
        now: time::Duration,
        wall_ms: u64,
        ticket: ids::Ticket,
        request: CallerRequest,
        effects: &mut Vec<Effect>,
    ) {
        match self.admit(now, &request) {
            Ok((queue, account, id)) => {
                let response = self.start_request(now, ticket, request, queue, account, &id);
                if let Some(response) = response {
                    effects.push(Effect::Respond { ticket, response });
                } else {
                    self.forward_requests(now, wall_ms, effects);
                }
            }
            Err(response) => {
                if !matches!(response, CallerResponse::UnknownQueue) {
                    tracing::info!(path = %request.path, answer = ?response,
                        version = self.declaration.version, "request rejected");
                }
                effects.push(Effect::Respond { ticket, response });
            }
        }
    }

    /// Returns the request's queue, account and job id. The id is empty for a request that concerns
    /// the queue itself.
    fn admit(
        &self,
        now: time::Duration,
        request: &CallerRequest,
    ) -> Result<(ids::QueueId, Option<AccountId>, String), CallerResponse> {
        if self.declaration.version == 0 {
            return Err(self.reject(now, "no declaration is known"));
        }
        // With an outdated declaration, a revoked key could still be accepted.
        if !self.is_recent(now, self.operators.as_of(), self.options.max_declaration_age()) {
            return Err(self.reject(now, "the host's declaration is outdated"));
        }
        let queue = self
            .declaration
            .route(&request.host, &request.path)
            .ok_or(CallerResponse::UnknownQueue)?;
        let account = self.authenticate(queue, request)?;
        let id = request.path.strip_prefix(&*queue.path_prefix).unwrap_or_default().to_owned();
        Ok((ids::QueueId::clone(&queue.name), account, id))
    }

    /// Returns the account of the request's API key; none for a public queue.
    fn authenticate(
        &self,
        queue: &Queue,
        request: &CallerRequest,
    ) -> Result<Option<AccountId>, CallerResponse> {
        if queue.is_public {
            return Ok(None);
        }
        let key = request.key.as_deref().ok_or(CallerResponse::UnknownKey)?;
        let account = self.declaration.account_for_key(key).ok_or(CallerResponse::UnknownKey)?;
        Ok(Some(AccountId::clone(&account.name)))
    }

    /// Rejects a request for a reason that is specific to this host, so that the caller may try
    /// another host at once. On the decider, or if the decider cannot reach the log either, the
    /// caller is to retry later.
    fn reject(&self, now: time::Duration, reason: &str) -> CallerResponse {
        let is_outage = self.is_decider() || self.has_decider_reported_log_unreachable(now);
        let retry_after = if is_outage { self.options.retry_after } else { time::Duration::ZERO };
        CallerResponse::Rejected { reason: reason.to_owned(), retry_after }
    }

    /// Whether this host can reach neither the log nor a decider.
    pub(super) fn is_isolated(&self, now: time::Duration) -> bool {
        let (is_failing, as_of) = if self.is_observing {
            (self.deciders.is_failing(), self.deciders.as_of())
        } else {
            (self.cell.is_failing(), self.cell.as_of())
        };
        !self.has_decider() && (is_failing || !self.is_recent(now, as_of, ISOLATED_AFTER))
    }

    /// Responds to a request from the host's own state, or queues it for the decider.
    fn start_request(
        &mut self,
        now: time::Duration,
        ticket: ids::Ticket,
        caller_request: CallerRequest,
        queue: ids::QueueId,
        account: Option<AccountId>,
        id: &str,
    ) -> Option<CallerResponse> {
        let requester = Requester { queue: ids::QueueId::clone(&queue), account: account.clone() };
        let request = match caller_request.operation {
            Operation::Show if id.is_empty() => DeciderRequest::CountPending(queue),
            _ if id.is_empty() => {
                return Some(CallerResponse::Invalid(
                    "the path does not contain a job id".to_owned(),
                ));
            }
            Operation::Show | Operation::Cancel if !job::is_valid_job_id(id) => {
                return Some(CallerResponse::UnknownJob);
            }
            Operation::Submit(_) if !job::is_valid_job_id(id) => {
                return Some(CallerResponse::Invalid("the job id is not valid".to_owned()));
            }
            Operation::Show => {
                // A final state cannot change, so the decider is not needed.
                if let Some(state) = self.known_final_state(id, &requester) {
                    return Some(CallerResponse::State(state));
                }
                DeciderRequest::Show(ids::JobId::from(id), requester)
            }
            Operation::Cancel => DeciderRequest::Cancel(ids::JobId::from(id), requester),
            Operation::Submit(Err(invalid)) => {
                return Some(CallerResponse::Invalid(invalid.reason));
            }
            Operation::Submit(Ok(mut spec)) => {
                spec.id = ids::JobId::from(id);
                spec.queue = queue;
                spec.account = account;
                let spec = sync::Arc::new(*spec);
                if !Record::fits_job(&spec, self.options.max_record_bytes) {
                    return Some(CallerResponse::Invalid("the job is too large".to_owned()));
                }
                DeciderRequest::Submit(spec)
            }
        };
        if let Some(reason) = self.reason_to_decline(now) {
            return Some(self.decline(now, &request, false, reason));
        }
        self.requests.add(now, ticket, request, caller_request.timeout, &self.options);
        None
    }

    fn known_final_state(&self, id: &str, requester: &Requester) -> Option<JobState> {
        self.known_state(id, requester).filter(|state| state.is_final())
    }

    /// The job's state as far as this host knows it; none for a job of another account.
    fn known_state(&self, id: &str, requester: &Requester) -> Option<JobState> {
        if self.cell_state.belongs_to_another(id, requester) {
            return None;
        }
        match &self.role {
            Role::Deciding(decider) => decider.stored_state(&self.cell_state, id),
            _ => self.cell_state.job_state(id),
        }
    }

    /// Serves a read-only request from this host's own state.
    pub(super) fn serve_read(
        &self,
        now: time::Duration,
        request: &DeciderRequest,
    ) -> CallerResponse {
        let has_recent_state = self.has_recent_state(now);
        match request {
            DeciderRequest::CountPending(queue) if has_recent_state => {
                CallerResponse::Pending(self.cell_state.pending_jobs(queue))
            }
            DeciderRequest::Show(id, requester) => match self.known_state(id, requester) {
                // Only a final state is reliable in an outdated state of the jobs.
                Some(state) if has_recent_state || state.is_final() => CallerResponse::State(state),
                None if has_recent_state => CallerResponse::UnknownJob,
                _ => self.reject(now, "the host's state of the jobs is outdated"),
            },
            _ => self.reject(now, "the host's state of the jobs is outdated"),
        }
    }

    /// Serves the read-only requests that the decider has not responded to.
    pub(super) fn serve_overdue_reads(&mut self, now: time::Duration, effects: &mut Vec<Effect>) {
        if self.requests.is_empty() {
            return;
        }
        let has_recent_state = self.has_recent_state(now);
        for (ticket, request) in
            self.requests.take_overdue_reads(now, self.has_decider(), has_recent_state)
        {
            let response = self.serve_read(now, &request);
            tracing::info!(job = request.subject(), answer = ?response,
                "served a read without the decider");
            effects.push(Effect::Respond { ticket, response });
        }
    }

    /// Forwards pending requests to the decider.
    pub(super) fn forward_requests(
        &mut self,
        now: time::Duration,
        wall_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        if let Role::Deciding(decider) = &self.role {
            let token = decider.token();
            for (ticket, request) in self.requests.forward_to(token, &mut self.tickets) {
                let origin = RequestOrigin::Local(ticket);
                self.with_decider(now, wall_ms, effects, |decider, context| match request {
                    DeciderRequest::Submit(spec) => decider.on_submit(context, origin, spec),
                    DeciderRequest::Cancel(id, requester) => {
                        decider.on_cancel(context, origin, &id, Some(&requester))
                    }
                    DeciderRequest::Show(id, requester) => {
                        decider.on_show(context, origin, &id, Some(&requester))
                    }
                    DeciderRequest::CountPending(queue) => {
                        decider.on_count_pending(context, origin, &queue)
                    }
                });
            }
            return;
        }
        let Some(token) = self.decider_token() else {
            return;
        };
        let Some(to) = self.connected_to.clone() else {
            return;
        };
        for (ticket, request) in self.requests.forward_to(token, &mut self.tickets) {
            let message = request.to_message(ticket, token);
            effects.push(Effect::Send { to: ids::HostId::clone(&to), message });
        }
    }
}
