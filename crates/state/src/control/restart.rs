//! Restart of the history of a cell after it was lost.
//!
//! When the log has dropped the records that a new host needs, no snapshot is left, and no peer has
//! the state, nobody can tell who owns workers or what was declared. An operator then restarts the
//! history with a declaration. The numbers of epochs and versions continue above all earlier ones,
//! so that workers refuse what processes of earlier epochs still send.

use std::time;

use pier_core::{caller, ids};
use rand::Rng;

use super::{Control, operators};
use crate::effect::OperatorAnswer;
use crate::{Effect, effect, outbox, record};

/// The first line of the audit record of a restart, before the changes.
const RESTART_AUDIT_LINE: &str = "the history of the log was lost and begins anew";

/// A valid restart record that was found in the log.
#[derive(Debug)]
pub(super) struct FoundRestart {
    /// The position of the record.
    pub(super) offset: ids::Offset,
    state: record::FoldState,
    change_id: u64,
}

/// Returns the restart that the record at `offset` makes if it is valid. The writer must have
/// searched all records before it, so that no earlier restart is still kept.
pub(super) fn find(offset: ids::Offset, read: &record::Record) -> Option<FoundRestart> {
    let [record::Entry::Restart { searched_to, declaration }] = read.entries.as_slice() else {
        return None;
    };
    if *searched_to != offset {
        return None;
    }
    let parsed = pier_decl::parse(&declaration.text).ok()?;
    // Each epoch and each version took at least one record, so the offset is above all earlier
    // numbers.
    let number = offset.saturating_add(1);
    let mut changes = vec![RESTART_AUDIT_LINE.to_owned()];
    changes.extend(pier_decl::diff(&pier_decl::Declaration::default(), &parsed));
    let state = record::FoldState {
        version: number,
        text: declaration.text.clone(),
        epoch: number,
        restarted: true,
        audit: vec![record::AuditRecord {
            version: number,
            base_version: 0,
            author: declaration.author.clone(),
            wall_ms: declaration.wall_ms,
            changes,
        }],
        writers: vec![record::Writer {
            host: read.host.clone(),
            incarnation: read.incarnation,
            seq: read.seq,
            offset,
        }],
        ..record::FoldState::default()
    };
    Some(FoundRestart { offset, state, change_id: declaration.change_id })
}

impl Control {
    /// Handles an operator's request to restart the history.
    pub(super) fn restart(
        &mut self,
        now: time::Duration,
        ticket: ids::Ticket,
        declaration: record::DeclarationRecord,
        out: &mut outbox::Outbox,
    ) {
        let refused =
            |kind, detail: &str| OperatorAnswer::Refused(caller::Refusal::not_run(kind, detail));
        if !self.reader.is_history_lost() {
            let detail = "the history is not lost, or the search for it has not ended";
            operators::answer(ticket, refused(caller::RefusalKind::Conflict, detail), out);
            return;
        }
        let Some(searched_to) =
            self.reader.searched_to().filter(|_| self.most_advanced_peer(now).is_none())
        else {
            let detail = "a peer has the history";
            operators::answer(ticket, refused(caller::RefusalKind::Conflict, detail), out);
            return;
        };
        let record = record::DeclarationRecord { change_id: self.random.random(), ..declaration };
        let change_id = record.change_id;
        let entry = record::Entry::Restart { searched_to, declaration: record };
        self.apply_entry(now, ticket, change_id, entry, out);
    }

    /// Loads the state of a restart that was found, and answers the waiting operators.
    pub(super) fn load_restart(
        &mut self,
        now: time::Duration,
        found: FoundRestart,
        out: &mut outbox::Outbox,
    ) {
        let version = found.state.version;
        let changes = found.state.audit.first().map(|audit| audit.changes.clone());
        let notice = effect::Notice::HistoryRestarted { offset: found.offset, version };
        out.push(Effect::Log(notice));
        self.load_fold(now, found.state, found.offset.saturating_add(1), out);
        self.answer_applied(found.change_id, version, changes.unwrap_or_default(), out);
        self.reject_pending_applies(out);
    }
}
