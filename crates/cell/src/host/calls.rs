//! Calls of callers at this host.

use std::sync;
use std::time;

use pier_core::ids;

use crate::callers::Wanted;
use crate::decider::RequestOrigin;
use crate::directory::Queue;
use crate::effect::{Answer, Effect};
use crate::event::{Ask, Call};
use crate::host::{CUT_OFF_AFTER, DISCONNECTED_READY, Host, Role, VIEW_FRESHNESS};
use crate::job::{AccountId, JobState};

impl Host {
    /// Whether the load balancer is to send callers here.
    pub(super) fn may_take_callers(&self, now: time::Duration) -> bool {
        let has_decider =
            self.has_decider() || now <= self.disconnected_at.saturating_add(DISCONNECTED_READY);
        !self.is_stopping
            && self.directory.version > 0
            && self.is_fresh(now, self.operators.as_of(), self.options.key_freshness())
            && self.ledger.decider.is_some()
            && has_decider
            && (self.is_observing || self.is_decider() || self.has_own_view(now))
    }

    /// Whether this host knows of all jobs that callers may know of.
    fn has_own_view(&self, now: time::Duration) -> bool {
        let as_of = match &self.role {
            // Another host may decide since then.
            Role::Deciding(decider) => Some(decider.last_stored_at()),
            _ => self.cell.as_of(),
        };
        self.is_fresh(now, as_of, VIEW_FRESHNESS)
    }

    fn is_fresh(
        &self,
        now: time::Duration,
        as_of: Option<time::Duration>,
        bound: time::Duration,
    ) -> bool {
        as_of.is_some_and(|as_of| now <= as_of.saturating_add(bound))
    }

    /// Takes a call.
    pub(super) fn on_call(
        &mut self,
        now: time::Duration,
        wall_ms: u64,
        ticket: ids::Ticket,
        call: Call,
        out: &mut Vec<Effect>,
    ) {
        match self.admit(now, &call) {
            Ok((queue, account, id)) => {
                let answer = self.begin_call(now, ticket, call, queue, account, &id);
                if let Some(answer) = answer {
                    out.push(Effect::Answer { ticket, answer });
                } else {
                    self.pass_calls(now, wall_ms, out);
                }
            }
            Err(answer) => {
                if !matches!(answer, Answer::NoQueue) {
                    tracing::info!(path = %call.path, ?answer, version = self.directory.version,
                        "call rejected");
                }
                out.push(Effect::Answer { ticket, answer });
            }
        }
    }

    /// The queue and the account of a call, and the job's id, which is empty for the queue itself.
    fn admit(
        &self,
        now: time::Duration,
        call: &Call,
    ) -> Result<(ids::QueueId, Option<AccountId>, String), Answer> {
        if self.directory.version == 0 {
            return Err(self.reject(now, "no declaration is known"));
        }
        // Without a recent view of the declaration a revoked key could still be taken.
        if !self.is_fresh(now, self.operators.as_of(), self.options.key_freshness()) {
            return Err(self.reject(now, "the declaration is too old"));
        }
        let queue = self.directory.route(&call.host, &call.path).ok_or(Answer::NoQueue)?;
        let account = self.account(queue, call)?;
        let id = call.path.strip_prefix(&*queue.path_prefix).unwrap_or_default().to_owned();
        Ok((ids::QueueId::clone(&queue.name), account, id))
    }

    fn account(&self, queue: &Queue, call: &Call) -> Result<Option<AccountId>, Answer> {
        if queue.is_open {
            return Ok(None);
        }
        let key = call.key.as_deref().ok_or(Answer::UnknownKey)?;
        let account = self.directory.account_of(key).ok_or(Answer::UnknownKey)?;
        Ok(Some(AccountId::clone(&account.name)))
    }

    /// Rejects a call for a reason that other hosts do not share, unless the decider does not reach
    /// the log either. The caller may try another host at once.
    fn reject(&self, now: time::Duration, reason: &str) -> Answer {
        let is_outage = self.is_decider() || self.has_decider_lost_log(now);
        let retry_after = if is_outage { self.options.retry_after } else { time::Duration::ZERO };
        Answer::Rejected { reason: reason.to_owned(), retry_after }
    }

    /// Whether this host reaches neither the log nor a decider.
    pub(super) fn is_cut_off(&self, now: time::Duration) -> bool {
        let (is_failing, as_of) = if self.is_observing {
            (self.deciders.is_failing(), self.deciders.as_of())
        } else {
            (self.cell.is_failing(), self.cell.as_of())
        };
        !self.has_decider() && (is_failing || !self.is_fresh(now, as_of, CUT_OFF_AFTER))
    }

    /// Answers a call from what the host knows, or keeps it for the decider.
    fn begin_call(
        &mut self,
        now: time::Duration,
        ticket: ids::Ticket,
        call: Call,
        queue: ids::QueueId,
        account: Option<AccountId>,
        id: &str,
    ) -> Option<Answer> {
        let wanted = match call.ask {
            Ask::Show if id.is_empty() => Wanted::Pending(queue),
            _ if id.is_empty() => {
                return Some(Answer::Invalid("the path names no job".to_owned()));
            }
            Ask::Show => {
                // A final state stays as it is, so no one needs to be asked.
                if let Some(state) = self.known_final_state(id) {
                    return Some(Answer::State(state));
                }
                Wanted::Show(ids::JobId::from(id))
            }
            Ask::Cancel => Wanted::Cancel(ids::JobId::from(id)),
            Ask::Submit(Err(invalid)) => return Some(Answer::Invalid(invalid.reason)),
            Ask::Submit(Ok(mut spec)) => {
                spec.id = ids::JobId::from(id);
                spec.queue = queue;
                spec.account = account;
                Wanted::Submit(sync::Arc::new(*spec))
            }
        };
        self.calls.add(now, ticket, wanted, call.patience, &self.options);
        None
    }

    fn known_final_state(&self, id: &str) -> Option<JobState> {
        let state = match &self.role {
            Role::Deciding(decider) => decider.stored_state(&self.ledger, id)?,
            _ => self.ledger.state_of(id)?,
        };
        state.is_final().then_some(state)
    }

    /// Answers a call that changes nothing by this host's own view.
    fn answer_read(&self, now: time::Duration, wanted: &Wanted) -> Answer {
        let has_own_view = self.has_own_view(now);
        match wanted {
            Wanted::Pending(queue) if has_own_view => Answer::Pending(self.ledger.pending(queue)),
            Wanted::Show(id) => {
                let state = match &self.role {
                    Role::Deciding(decider) => decider.stored_state(&self.ledger, id),
                    _ => self.ledger.state_of(id),
                };
                match state {
                    // An old view tells nothing but what cannot change any more.
                    Some(state) if has_own_view || state.is_final() => Answer::State(state),
                    None if has_own_view => Answer::NoJob,
                    _ => self.reject(now, "the view of the jobs is too old"),
                }
            }
            _ => self.reject(now, "the view of the jobs is too old"),
        }
    }

    /// Answers the calls that change nothing and that no decider answers.
    pub(super) fn answer_overdue_reads(&mut self, now: time::Duration, out: &mut Vec<Effect>) {
        if self.calls.is_empty() {
            return;
        }
        let has_own_view = self.has_own_view(now);
        for (ticket, wanted) in self.calls.take_overdue_reads(now, self.has_decider(), has_own_view)
        {
            let answer = self.answer_read(now, &wanted);
            tracing::info!(job = wanted.subject(), ?answer, "answered without the decider");
            out.push(Effect::Answer { ticket, answer });
        }
    }

    /// Passes waiting calls to the decider.
    pub(super) fn pass_calls(&mut self, now: time::Duration, wall_ms: u64, out: &mut Vec<Effect>) {
        if let Role::Deciding(decider) = &self.role {
            let token = decider.token();
            for (ticket, wanted) in self.calls.pass_to(token) {
                let origin = RequestOrigin::Local(ticket);
                self.with_decider(now, wall_ms, out, |decider, context| match wanted {
                    Wanted::Submit(spec) => decider.on_submit(context, origin, spec),
                    Wanted::Cancel(id) => decider.on_cancel(context, origin, &id),
                    Wanted::Show(id) => decider.on_show(context, origin, &id),
                    Wanted::Pending(queue) => decider.on_count_pending(context, origin, &queue),
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
        for (ticket, wanted) in self.calls.pass_to(token) {
            let message = wanted.to_message(ticket);
            out.push(Effect::Send { to: ids::HostId::clone(&to), message });
        }
    }
}
