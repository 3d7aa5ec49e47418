//! The fold: the state that every host computes from the log.
//!
//! It depends only on the records and their order, so that it is equal on all hosts.

use std::collections;
use std::sync;

use pier_core::{body, caller, ids};

use crate::errors;
use crate::record::{
    AuditRecord, DeclarationRecord, Entry, EpochRecord, FoldState, JobFold, Record, TaskRange,
    Writer,
};

/// The largest record that is read, in base64 digits.
const MAX_RECORD_DIGITS: usize = 64 << 20;
/// The number of changes that the audit trail keeps.
const MAX_AUDIT_CHANGES: usize = 200;
/// The number of lines that the audit trail keeps for one change.
const MAX_AUDIT_LINES: usize = 200;
/// The number of ended jobs that are kept, about eight hours' worth at 2,800 jobs a day.
const MAX_ENDED_JOBS: usize = 1_000;
/// The number of processes whose last record is remembered. A repetition of a record comes within
/// seconds, and 110 processes start on an ordinary day.
const MAX_WRITERS: usize = 512;
/// The number of workers whose first epoch with an owner is remembered.
const MAX_FIRST_OWNED: usize = 8_192;
/// The number of earlier epochs whose members are remembered. A host may have missed that many and
/// still hold a worker.
const MAX_LINEAGE_EPOCHS: usize = 16;

/// A change of the fold by a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum FoldChange {
    /// An epoch was accepted.
    Epoch {
        /// The record of the epoch before.
        last: Box<EpochRecord>,
    },
    /// A declaration was accepted.
    Declaration {
        /// The id of the change.
        change_id: u64,
        /// The new version.
        version: ids::Version,
        /// The operator who made the change.
        author: sync::Arc<str>,
        /// The differences from the last declaration, one a line.
        changes: Vec<String>,
    },
    /// A declaration was rejected.
    DeclarationRejected {
        /// The id of the change.
        change_id: u64,
        /// The errors of the text; none if the base version was not current.
        errors: Vec<String>,
    },
    /// A job is new or has changed.
    Job(ids::JobId),
}

/// The folded state with the parsed declaration.
#[derive(Debug, Clone, Default)]
pub(super) struct Fold {
    state: FoldState,
    offset: ids::Offset,
    declaration: sync::Arc<pier_decl::Declaration>,
}

impl Fold {
    /// The folded state.
    pub(super) fn state(&self) -> &FoldState {
        &self.state
    }

    /// The position after the last folded record.
    pub(super) fn offset(&self) -> ids::Offset {
        self.offset
    }

    /// The declaration in force.
    pub(super) fn declaration(&self) -> &sync::Arc<pier_decl::Declaration> {
        &self.declaration
    }

    /// Replaces the state by one that includes the records before `offset`. A state that is not
    /// newer, or whose declaration cannot be parsed, is ignored: without the declaration, keys and
    /// limits would be lost. Returns whether the state was replaced.
    pub(super) fn load(&mut self, state: FoldState, offset: ids::Offset) -> bool {
        if offset <= self.offset {
            return false;
        }
        if state.version != self.state.version {
            let Ok(declaration) = pier_decl::parse(&state.text) else {
                return false;
            };
            self.declaration = sync::Arc::new(declaration);
        }
        self.state = state;
        self.offset = offset;
        true
    }

    /// Skips a record that cannot be read.
    pub(super) fn skip(&mut self, offset: ids::Offset) {
        if offset == self.offset {
            self.offset += 1;
        }
    }

    /// Folds the record at the current offset. A repeated record changes nothing.
    pub(super) fn fold(&mut self, record: Record) -> Vec<FoldChange> {
        let offset = self.offset;
        self.offset += 1;
        let mut changes = Vec::new();
        if !self.register_record(&record, offset) {
            return changes;
        }
        for entry in record.entries {
            changes.extend(self.fold_entry(entry));
        }
        changes
    }

    /// Whether the fold includes the record `seq` of a process or a later one.
    pub(super) fn includes(&self, host: &str, incarnation: ids::Incarnation, seq: u64) -> bool {
        match self.find_writer(host, incarnation) {
            Ok(index) => self.state.writers[index].seq >= seq,
            Err(_) => false,
        }
    }

    fn find_writer(&self, host: &str, incarnation: ids::Incarnation) -> Result<usize, usize> {
        self.state.writers.binary_search_by(|writer| {
            (&*writer.host, writer.incarnation).cmp(&(host, incarnation))
        })
    }

    /// Records the sequence number of the record for its writer. Returns whether the record is new.
    fn register_record(&mut self, record: &Record, offset: ids::Offset) -> bool {
        match self.find_writer(&record.host, record.incarnation) {
            Ok(index) => {
                let writer = &mut self.state.writers[index];
                if record.seq <= writer.seq {
                    return false;
                }
                writer.seq = record.seq;
                writer.offset = offset;
            }
            Err(index) => {
                let writer = Writer {
                    host: record.host.clone(),
                    incarnation: record.incarnation,
                    seq: record.seq,
                    offset,
                };
                self.state.writers.insert(index, writer);
                self.drop_oldest_writer();
            }
        }
        true
    }

    fn drop_oldest_writer(&mut self) {
        if self.state.writers.len() <= MAX_WRITERS {
            return;
        }
        let oldest = self.state.writers.iter().map(|writer| writer.offset).min();
        self.state.writers.retain(|writer| Some(writer.offset) != oldest);
    }

    fn fold_entry(&mut self, entry: Entry) -> Option<FoldChange> {
        match entry {
            Entry::Declaration(record) => Some(self.fold_declaration(record)),
            Entry::Epoch(record) => self.fold_epoch(record),
            Entry::JobAccepted(record) => {
                let job = record.job.clone();
                if self.state.jobs.contains_key(&job) {
                    return None;
                }
                let fold = JobFold {
                    record,
                    phase: None,
                    reason: None,
                    cancelled: false,
                    done: Vec::new(),
                    started: Vec::new(),
                };
                self.state.jobs.insert(job.clone(), fold);
                Some(FoldChange::Job(job))
            }
            Entry::JobProgress { job, done } => {
                let fold = self.unfinished_job(&job)?;
                add_ranges(&mut fold.done, &done);
                Some(FoldChange::Job(job))
            }
            Entry::JobAttempts { job, started } => {
                let fold = self.unfinished_job(&job)?;
                if fold.record.request.repeatable {
                    return None;
                }
                add_ranges(&mut fold.started, &started);
                Some(FoldChange::Job(job))
            }
            Entry::JobEnded { job, phase, reason } => self.fold_job_ended(job, phase, reason),
            Entry::JobCancelled { job } => {
                let fold = self.unfinished_job(&job)?;
                if fold.cancelled {
                    return None;
                }
                fold.cancelled = true;
                Some(FoldChange::Job(job))
            }
            Entry::Snapshot { .. } | Entry::Restart { .. } => None,
        }
    }

    fn unfinished_job(&mut self, job: &ids::JobId) -> Option<&mut JobFold> {
        let fold = self.state.jobs.get_mut(job)?;
        if fold.phase.is_some() {
            return None;
        }
        Some(fold)
    }

    fn fold_job_ended(
        &mut self,
        job: ids::JobId,
        phase: caller::JobPhase,
        reason: Option<caller::Refusal>,
    ) -> Option<FoldChange> {
        let ends = matches!(
            phase,
            caller::JobPhase::Done | caller::JobPhase::Failed | caller::JobPhase::Cancelled
        );
        if !ends {
            return None;
        }
        let fold = self.unfinished_job(&job)?;
        fold.phase = Some(phase);
        fold.reason = reason;
        self.state.ended.push(job.clone());
        self.drop_oldest_ended_jobs();
        Some(FoldChange::Job(job))
    }

    /// Drops the oldest ended jobs. A declared job that has ended is kept, so that it does not run
    /// again.
    fn drop_oldest_ended_jobs(&mut self) {
        let mut excess = self.state.ended.len().saturating_sub(MAX_ENDED_JOBS);
        if excess == 0 {
            return;
        }
        let mut declared = collections::BTreeSet::new();
        for job in &self.declaration.jobs {
            declared.insert(job.name.clone());
        }
        let mut kept = Vec::with_capacity(self.state.ended.len());
        for job in std::mem::take(&mut self.state.ended) {
            if excess > 0 && !declared.contains(&job) {
                excess -= 1;
                self.state.jobs.remove(&job);
                continue;
            }
            kept.push(job);
        }
        self.state.ended = kept;
    }

    fn fold_declaration(&mut self, record: DeclarationRecord) -> FoldChange {
        let change_id = record.change_id;
        if record.base_version != self.state.version {
            return FoldChange::DeclarationRejected { change_id, errors: Vec::new() };
        }
        let declaration = match pier_decl::parse(&record.text) {
            Ok(declaration) => declaration,
            Err(errors) => {
                return FoldChange::DeclarationRejected { change_id, errors: error_lines(&errors) };
            }
        };
        let changes = pier_decl::diff(&self.declaration, &declaration);
        self.state.version += 1;
        self.state.text = record.text;
        self.declaration = sync::Arc::new(declaration);
        let version = self.state.version;
        self.state.audit.push(AuditRecord {
            version,
            base_version: record.base_version,
            author: record.author.clone(),
            wall_ms: record.wall_ms,
            changes: truncated(&changes),
        });
        let excess = self.state.audit.len().saturating_sub(MAX_AUDIT_CHANGES);
        self.state.audit.drain(..excess);
        FoldChange::Declaration { change_id, version, author: record.author, changes }
    }

    fn fold_epoch(&mut self, record: EpochRecord) -> Option<FoldChange> {
        if record.base_epoch != self.state.epoch || record.members.is_empty() {
            return None;
        }
        let epoch = self.state.epoch + 1;
        let last = std::mem::replace(&mut self.state.epoch_record, record);
        for worker in self.state.epoch_record.owners.keys() {
            self.state.first_owned.entry(worker.clone()).or_insert(epoch);
        }
        self.drop_oldest_first_owned();
        self.state.epoch = epoch;
        if !last.members.is_empty() {
            self.state.lineage.push(last.members.clone());
        }
        let excess = self.state.lineage.len().saturating_sub(MAX_LINEAGE_EPOCHS);
        self.state.lineage.drain(..excess);
        Some(FoldChange::Epoch { last: Box::new(last) })
    }

    /// Drops the workers without an owner that were first owned the longest ago.
    fn drop_oldest_first_owned(&mut self) {
        if self.state.first_owned.len() <= MAX_FIRST_OWNED {
            return;
        }
        let owners = &self.state.epoch_record.owners;
        let mut unowned = Vec::new();
        for (worker, epoch) in &self.state.first_owned {
            if !owners.contains_key(worker) {
                unowned.push((*epoch, worker.clone()));
            }
        }
        unowned.sort_unstable();
        unowned.truncate(self.state.first_owned.len() - MAX_FIRST_OWNED);
        for (_, worker) in unowned {
            self.state.first_owned.remove(&worker);
        }
    }
}

/// Decodes the record at `offset` from its base64 digits.
///
/// # Errors
/// [`errors::Error::BadRecord`] if it is too large, is not base64, or is no record.
pub(super) fn decode(offset: ids::Offset, data: &str) -> errors::Result<Record> {
    let bad_record = errors::Error::BadRecord { offset };
    if data.len() > MAX_RECORD_DIGITS {
        return Err(bad_record);
    }
    let Ok(bytes) = body::Body::try_from(data.to_owned()) else {
        return Err(bad_record);
    };
    serde_json::from_slice(bytes.as_bytes()).map_err(|_| bad_record)
}

/// Adds ranges to a sorted list of ranges, merging those that overlap or touch.
fn add_ranges(ranges: &mut Vec<TaskRange>, added: &[TaskRange]) {
    for range in added {
        if range.first < range.end {
            ranges.push(*range);
        }
    }
    ranges.sort_unstable();
    let mut merged: Vec<TaskRange> = Vec::with_capacity(ranges.len());
    for range in ranges.drain(..) {
        if let Some(last) = merged.last_mut()
            && range.first <= last.end
        {
            last.end = last.end.max(range.end);
            continue;
        }
        merged.push(range);
    }
    *ranges = merged;
}

/// Formats each error as a line.
pub(super) fn error_lines(errors: &[pier_decl::Error]) -> Vec<String> {
    let mut lines = Vec::with_capacity(errors.len());
    for error in errors {
        lines.push(error.to_string());
    }
    lines
}

fn truncated(changes: &[String]) -> Vec<String> {
    let mut kept = changes.to_vec();
    if kept.len() > MAX_AUDIT_LINES {
        let left_out = kept.len() - MAX_AUDIT_LINES;
        kept.truncate(MAX_AUDIT_LINES);
        kept.push(format!("and {left_out} more"));
    }
    kept
}
