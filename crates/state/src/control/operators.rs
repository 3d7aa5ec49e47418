//! Requests of operators to show, apply and audit the declaration.

use std::sync;
use std::time;

use pier_core::{caller, ids};
use rand::Rng;

use super::{Control, fold};
use crate::effect::OperatorAnswer;
use crate::{Effect, event, outbox, record, report};

/// How long an operator waits until the fold accepts or rejects a change.
const APPLY_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// The delay after which a refused operator should try again.
const RETRY_AFTER_MS: u64 = 2_000;
/// The number of changes of operators that may be pending on one host.
const MAX_PENDING_APPLIES: usize = 64;
/// The number of errors of a declaration that an answer lists.
const MAX_SHOWN_ERRORS: usize = 50;

/// A change that the fold has not accepted or rejected yet.
#[derive(Debug)]
pub(super) struct PendingApply {
    ticket: ids::Ticket,
    change_id: u64,
    base_version: ids::Version,
    until: time::Duration,
    declaration: pier_decl::Declaration,
}

impl Control {
    pub(super) fn on_operator(
        &mut self,
        now: time::Duration,
        event: event::OperatorEvent,
        out: &mut outbox::Outbox,
    ) {
        let ticket = event.ticket;
        match event.request {
            event::OperatorRequest::Show => {
                let state = self.fold.state();
                let (version, text) = (state.version, state.text.clone());
                answer(ticket, OperatorAnswer::Declaration { version, text }, out);
            }
            event::OperatorRequest::Audit => {
                answer(ticket, OperatorAnswer::Audit(self.fold.state().audit.clone()), out);
            }
            event::OperatorRequest::Apply { base_version, author, wall_ms, text } => {
                let record = record::DeclarationRecord {
                    base_version,
                    author,
                    wall_ms,
                    change_id: self.random.random(),
                    text,
                };
                self.apply_declaration(now, ticket, record, out);
            }
            event::OperatorRequest::Restart { author, wall_ms, text } => {
                let (base_version, change_id) = (0, 0);
                let record =
                    record::DeclarationRecord { base_version, author, wall_ms, change_id, text };
                self.restart(now, ticket, record, out);
            }
            // `State` answers these itself.
            event::OperatorRequest::Status | event::OperatorRequest::Explain { .. } => {}
        }
    }

    fn apply_declaration(
        &mut self,
        now: time::Duration,
        ticket: ids::Ticket,
        record: record::DeclarationRecord,
        out: &mut outbox::Outbox,
    ) {
        if self.reader.is_history_lost() {
            let detail =
                "the history is lost: neither the log nor a peer has the state of the cell";
            let refusal = caller::Refusal::not_run(caller::RefusalKind::HistoryLost, detail);
            answer(ticket, OperatorAnswer::Refused(refusal), out);
            return;
        }
        let change_id = record.change_id;
        self.apply_entry(now, ticket, change_id, record::Entry::Declaration(record), out);
    }

    /// Queues a change for the log and remembers the operator who waits for it.
    pub(super) fn apply_entry(
        &mut self,
        now: time::Duration,
        ticket: ids::Ticket,
        change_id: u64,
        entry: record::Entry,
        out: &mut outbox::Outbox,
    ) {
        let (record::Entry::Declaration(record)
        | record::Entry::Restart { declaration: record, .. }) = &entry
        else {
            return;
        };
        let declaration = match pier_decl::parse(&record.text) {
            Ok(declaration) => declaration,
            Err(errors) => {
                answer(ticket, bad_declaration(&fold::error_lines(&errors)), out);
                return;
            }
        };
        // The version never decreases, so an older base can never become current.
        if record.base_version < self.fold.state().version {
            let conflict = self.conflict(record.base_version, &declaration);
            answer(ticket, conflict, out);
            return;
        }
        if self.pending_applies.len() >= MAX_PENDING_APPLIES || self.cluster.leaving {
            let (kind, detail) = if self.cluster.leaving {
                (caller::RefusalKind::ShuttingDown, "this host is shutting down")
            } else {
                (caller::RefusalKind::Overloaded, "too many changes are pending on this host")
            };
            let refusal = caller::Refusal::not_run(kind, detail).with_retry_after(RETRY_AFTER_MS);
            answer(ticket, OperatorAnswer::Refused(refusal), out);
            return;
        }
        self.pending_applies.push(PendingApply {
            ticket,
            change_id,
            base_version: record.base_version,
            until: now + APPLY_TIMEOUT,
            declaration,
        });
        self.appender.push(entry);
    }

    /// Answers the operator whose change was accepted.
    pub(super) fn answer_applied(
        &mut self,
        change_id: u64,
        version: ids::Version,
        changes: Vec<String>,
        out: &mut outbox::Outbox,
    ) {
        if let Some(apply) = self.take_pending_apply(change_id) {
            answer(apply.ticket, OperatorAnswer::Applied { version, changes }, out);
        }
    }

    /// Answers the operator whose change was rejected.
    pub(super) fn answer_rejected(
        &mut self,
        change_id: u64,
        errors: &[String],
        out: &mut outbox::Outbox,
    ) {
        let Some(apply) = self.take_pending_apply(change_id) else {
            return;
        };
        let result = if errors.is_empty() {
            self.conflict(apply.base_version, &apply.declaration)
        } else {
            bad_declaration(errors)
        };
        answer(apply.ticket, result, out);
    }

    /// Answers all waiting operators with a conflict, because a restart of the history has made
    /// their changes void.
    pub(super) fn reject_pending_applies(&mut self, out: &mut outbox::Outbox) {
        for apply in std::mem::take(&mut self.pending_applies) {
            self.appender.withdraw_change(apply.change_id);
            let conflict = self.conflict(apply.base_version, &apply.declaration);
            answer(apply.ticket, conflict, out);
        }
    }

    fn take_pending_apply(&mut self, change_id: u64) -> Option<PendingApply> {
        let index = self.pending_applies.iter().position(|apply| apply.change_id == change_id)?;
        Some(self.pending_applies.remove(index))
    }

    /// Answers the operators whose changes the fold has not decided within `APPLY_TIMEOUT`.
    pub(super) fn answer_expired_applies(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        let mut expired = Vec::new();
        for apply in &self.pending_applies {
            if now >= apply.until {
                expired.push((apply.ticket, apply.change_id));
            }
        }
        self.pending_applies.retain(|apply| now < apply.until);
        for (ticket, change_id) in expired {
            let kind = caller::RefusalKind::NotStored;
            let refusal = if self.appender.withdraw_change(change_id) {
                caller::Refusal::not_run(
                    kind,
                    "the log did not confirm the change in time; it was not made",
                )
            } else {
                caller::Refusal::unknown(
                    kind,
                    "the log did not confirm the change in time; it may be stored",
                )
            };
            let refusal = refusal.with_retry_after(RETRY_AFTER_MS);
            answer(ticket, OperatorAnswer::Refused(refusal), out);
        }
    }

    /// A conflict: the accepted changes since the base version, and the differences between the
    /// refused declaration and the one in force.
    fn conflict(
        &self,
        base_version: ids::Version,
        declaration: &pier_decl::Declaration,
    ) -> OperatorAnswer {
        let state = self.fold.state();
        let mut theirs = Vec::new();
        for record in &state.audit {
            if record.version > base_version {
                theirs.push(record.clone());
            }
        }
        let ours = pier_decl::diff(self.fold.declaration(), declaration);
        let version = state.version;
        OperatorAnswer::Conflict(Box::new(report::Conflict { version, theirs, ours }))
    }
}

pub(super) fn answer(ticket: ids::Ticket, answer: OperatorAnswer, out: &mut outbox::Outbox) {
    out.push(Effect::AnswerOperator { ticket, answer });
}

fn bad_declaration(errors: &[String]) -> OperatorAnswer {
    let shown = errors.get(..MAX_SHOWN_ERRORS).unwrap_or(errors);
    let detail: sync::Arc<str> = shown.join("; ").into();
    let kind = caller::RefusalKind::BadDeclaration;
    OperatorAnswer::Refused(caller::Refusal::not_run(kind, &*detail))
}
