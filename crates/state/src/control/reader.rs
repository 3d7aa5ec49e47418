//! Reads the log, or follows it through peers when it cannot be reached.

use std::collections;
use std::time;

use pier_core::{ids, wire};

use super::{Control, fold, restart};
use crate::{Effect, effect, event, message, outbox, record};

/// The largest number of records of one read.
const MAX_READ_RECORDS: u32 = 512;
/// After how long a read without a result is given up and repeated.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// The interval between requests for records or for the fold to peers.
const PEER_REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// The number of records that are kept for peers, and their size in base64 digits.
const MAX_RECENT_RECORDS: usize = 2_000;
const MAX_RECENT_DIGITS: usize = 4 << 20;
/// The bounds of one answer to a peer, in records and in base64 digits.
const MAX_REPLY_RECORDS: usize = 256;
const MAX_REPLY_DIGITS: usize = 1 << 20;
/// The interval between notices that the history of the log is lost.
const HISTORY_LOST_NOTICE_INTERVAL: time::Duration = time::Duration::from_secs(30);

/// The progress of reading the log.
#[derive(Debug, Default)]
pub(super) struct Reader {
    outstanding_read: Option<OutstandingRead>,
    next_at: time::Duration,
    last_read_failed: bool,
    /// When the last successful read was sent.
    last_success_at: Option<time::Duration>,
    /// When the last read was sent that reached the end of the log and was folded.
    tail_at: Option<time::Duration>,
    /// Where the search for a snapshot continues, when records that the fold needs are past
    /// retention.
    search_from: Option<ids::Offset>,
    /// The first restart that the search has found.
    found_restart: Option<restart::FoundRestart>,
    /// Whether the search has reached the end of the log without a result.
    is_history_lost: bool,
    next_request_at: time::Duration,
    next_loss_notice_at: time::Duration,
    recent_records: RecentRecords,
}

#[derive(Debug, Clone, Copy)]
struct OutstandingRead {
    ticket: ids::Ticket,
    sent_at: time::Duration,
}

/// The last records in ascending order without gaps.
#[derive(Debug, Default)]
struct RecentRecords {
    records: collections::VecDeque<(ids::Offset, String)>,
    digits: usize,
}

impl RecentRecords {
    fn push(&mut self, offset: ids::Offset, data: String) {
        let follows = self.records.back().is_none_or(|(last, _)| last + 1 == offset);
        if !follows {
            self.records.clear();
            self.digits = 0;
        }
        self.digits += data.len();
        self.records.push_back((offset, data));
        while self.records.len() > MAX_RECENT_RECORDS || self.digits > MAX_RECENT_DIGITS {
            let Some((_, dropped)) = self.records.pop_front() else {
                return;
            };
            self.digits -= dropped.len();
        }
    }

    /// The records from `from` on, within the bounds of one answer; none if some are missing.
    fn from(&self, from: ids::Offset) -> Option<Vec<(ids::Offset, String)>> {
        let (first, _) = self.records.front()?;
        let skipped = usize::try_from(from.checked_sub(*first)?).ok()?;
        let mut records = Vec::new();
        let mut digits = 0;
        for (offset, data) in self.records.iter().skip(skipped) {
            digits += data.len();
            if !records.is_empty()
                && (records.len() >= MAX_REPLY_RECORDS || digits > MAX_REPLY_DIGITS)
            {
                break;
            }
            records.push((*offset, data.clone()));
        }
        if records.is_empty() { None } else { Some(records) }
    }
}

impl Reader {
    /// Whether the log cannot be reached: the last read has failed, or no read that was sent within
    /// `max_age` has succeeded.
    pub(super) fn is_unreachable(&self, now: time::Duration, max_age: time::Duration) -> bool {
        let Some(last_success_at) = self.last_success_at else {
            return true;
        };
        self.last_read_failed || now.saturating_sub(last_success_at) > max_age
    }

    /// Whether the last read has failed, or none has succeeded yet.
    pub(super) fn is_failing(&self) -> bool {
        self.last_read_failed || self.last_success_at.is_none()
    }

    /// When the last read was sent that reached the end of the log and was folded.
    pub(super) fn tail_at(&self) -> Option<time::Duration> {
        self.tail_at
    }

    /// Whether neither the log nor, so far, a peer has a state to start from.
    pub(super) fn is_history_lost(&self) -> bool {
        self.is_history_lost
    }

    /// The position up to which the log was searched for a state; none without a search.
    pub(super) fn searched_to(&self) -> Option<ids::Offset> {
        self.search_from
    }

    fn end_search(&mut self) {
        self.search_from = None;
        self.found_restart = None;
        self.is_history_lost = false;
    }

    /// Makes the next read due at once.
    pub(super) fn schedule_now(&mut self, now: time::Duration) {
        self.next_at = now;
    }
}

impl Control {
    /// Sends the next read of the log when it is due.
    pub(super) fn poll_log(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        if let Some(outstanding_read) = self.reader.outstanding_read {
            if now.saturating_sub(outstanding_read.sent_at) < READ_TIMEOUT {
                return;
            }
            self.reader.outstanding_read = None;
            self.reader.last_read_failed = true;
        }
        if now < self.reader.next_at {
            return;
        }
        let ticket = self.ticket();
        let from = self.reader.search_from.unwrap_or(self.fold.offset());
        self.reader.outstanding_read = Some(OutstandingRead { ticket, sent_at: now });
        self.reader.next_at = now + self.options.log_poll_interval;
        out.push(Effect::ReadLog { ticket, from, max_records: MAX_READ_RECORDS });
    }

    /// Handles the result of a read or an append.
    pub(super) fn on_log(
        &mut self,
        now: time::Duration,
        event: event::LogEvent,
        out: &mut outbox::Outbox,
    ) {
        match event {
            event::LogEvent::Read { ticket, page } => {
                let Some(sent_at) = self.take_outstanding_read(ticket) else {
                    return;
                };
                self.reader.last_success_at = Some(sent_at);
                self.reader.last_read_failed = false;
                self.on_page(now, sent_at, page, out);
            }
            event::LogEvent::ReadFailed { ticket } => {
                if self.take_outstanding_read(ticket).is_some() {
                    self.reader.last_read_failed = true;
                }
            }
            event::LogEvent::Appended { ticket, offset: _ } => self.on_appended(now, ticket),
            event::LogEvent::AppendFailed { ticket, certain } => {
                self.on_append_failed(now, ticket, certain);
            }
        }
    }

    fn take_outstanding_read(&mut self, ticket: ids::Ticket) -> Option<time::Duration> {
        let outstanding_read = self.reader.outstanding_read.filter(|read| read.ticket == ticket)?;
        self.reader.outstanding_read = None;
        Some(outstanding_read.sent_at)
    }

    fn on_page(
        &mut self,
        now: time::Duration,
        sent_at: time::Duration,
        page: wire::LogPage,
        out: &mut outbox::Outbox,
    ) {
        self.observe_retention(page.earliest);
        if page.earliest > self.fold.offset() {
            self.search_for_snapshot(now, page, out);
            return;
        }
        self.reader.end_search();
        let before = self.fold.offset();
        for record in page.records {
            if record.offset < self.fold.offset() {
                continue;
            }
            if record.offset > self.fold.offset() {
                break;
            }
            let age = time::Duration::from_millis(record.age_ms);
            self.observe_record_age(now, age);
            self.fold_record_data(now, record.offset, record.data, age, out);
        }
        if self.fold.offset() == page.next {
            self.reader.tail_at = Some(sent_at);
        } else if self.fold.offset() > before {
            self.reader.schedule_now(now);
        }
    }

    /// Searches for the first snapshot from which every later record is still kept.
    fn search_for_snapshot(
        &mut self,
        now: time::Duration,
        page: wire::LogPage,
        out: &mut outbox::Outbox,
    ) {
        let first = self.reader.search_from.unwrap_or(page.earliest).max(page.earliest);
        if self.reader.found_restart.as_ref().is_some_and(|found| found.offset < page.earliest) {
            self.reader.found_restart = None;
        }
        let mut next = first;
        for log_record in page.records {
            if log_record.offset < next {
                continue;
            }
            next = log_record.offset.saturating_add(1);
            let Ok(read) = fold::decode(log_record.offset, &log_record.data) else {
                continue;
            };
            // A snapshot takes precedence over a restart, since its state may include the restart.
            if self.reader.found_restart.is_none() {
                self.reader.found_restart = restart::find(log_record.offset, &read);
            }
            let Some((as_of_offset, state)) = last_usable_snapshot(read, page.earliest) else {
                continue;
            };
            let age = time::Duration::from_millis(log_record.age_ms);
            self.observe_snapshot(now, as_of_offset, age);
            self.load_fold(now, state, as_of_offset.saturating_add(1), out);
            self.reader.schedule_now(now);
            return;
        }
        self.reader.search_from = Some(next);
        if next < page.next {
            if next > first {
                self.reader.schedule_now(now);
            }
        } else if let Some(found) = self.reader.found_restart.take() {
            self.load_restart(now, found, out);
            self.reader.schedule_now(now);
            return;
        } else {
            self.reader.is_history_lost = true;
        }
        if self.reader.is_history_lost && now >= self.reader.next_loss_notice_at {
            self.reader.next_loss_notice_at = now + HISTORY_LOST_NOTICE_INTERVAL;
            out.push(Effect::Log(effect::Notice::HistoryLost { earliest: page.earliest }));
        }
        self.request_fold(now, out);
    }

    /// Folds the record at the current offset.
    fn fold_record_data(
        &mut self,
        now: time::Duration,
        offset: ids::Offset,
        data: String,
        age: time::Duration,
        out: &mut outbox::Outbox,
    ) {
        match fold::decode(offset, &data) {
            Ok(record) => {
                for entry in &record.entries {
                    if let record::Entry::Snapshot { as_of_offset, .. } = entry {
                        self.observe_snapshot(now, *as_of_offset, age);
                    }
                }
                let fold_changes = self.fold.fold(record);
                self.on_fold_changes(now, fold_changes, out);
            }
            Err(_) => {
                self.fold.skip(offset);
                out.push(Effect::Log(effect::Notice::BadRecord { offset }));
            }
        }
        self.reader.recent_records.push(offset, data);
    }

    /// Loads the state of a snapshot or of a peer, unless the own state is as new.
    pub(super) fn load_fold(
        &mut self,
        now: time::Duration,
        state: record::FoldState,
        offset: ids::Offset,
        out: &mut outbox::Outbox,
    ) {
        let last = self.fold.state().clone();
        if !self.fold.load(state, offset) {
            return;
        }
        self.reader.end_search();
        self.on_fold_loaded(now, last, out);
    }

    /// Asks a peer for records when the log cannot be reached, or for its fold when records are
    /// past retention.
    pub(super) fn catch_up_from_peer(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        if self.reader.search_from.is_some() {
            self.request_fold(now, out);
            return;
        }
        if !self.cluster.log_unreachable || now < self.reader.next_request_at {
            return;
        }
        let from = self.fold.offset();
        let Some(host) = self.most_advanced_peer(now) else {
            return;
        };
        self.reader.next_request_at = now + PEER_REQUEST_INTERVAL;
        self.send_control(&host, message::ControlMessage::RecordsRequest { from }, out);
    }

    fn request_fold(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        if now < self.reader.next_request_at {
            return;
        }
        let Some(host) = self.most_advanced_peer(now) else {
            return;
        };
        self.reader.next_request_at = now + PEER_REQUEST_INTERVAL;
        self.send_control(&host, message::ControlMessage::FoldRequest, out);
    }

    /// Answers a peer that asks for records. A peer that is too far behind gets the fold.
    pub(super) fn on_records_request(
        &mut self,
        from: &ids::HostId,
        first: ids::Offset,
        out: &mut outbox::Outbox,
    ) {
        if first >= self.fold.offset() {
            return;
        }
        let Some(records) = self.reader.recent_records.from(first) else {
            self.on_fold_request(from, out);
            return;
        };
        self.send_control(from, message::ControlMessage::RecordsReply { records }, out);
    }

    /// Answers a peer that asks for the fold.
    pub(super) fn on_fold_request(&mut self, from: &ids::HostId, out: &mut outbox::Outbox) {
        let fold_offset = self.fold.offset();
        if fold_offset == 0 {
            return;
        }
        let fold = Box::new(self.fold.state().clone());
        self.send_control(from, message::ControlMessage::FoldReply { fold_offset, fold }, out);
    }

    /// Folds records that a peer has read.
    pub(super) fn on_records_reply(
        &mut self,
        now: time::Duration,
        records: Vec<(ids::Offset, String)>,
        out: &mut outbox::Outbox,
    ) {
        for (offset, data) in records {
            if offset == self.fold.offset() {
                self.fold_record_data(now, offset, data, time::Duration::ZERO, out);
            }
        }
        self.reader.next_request_at = now;
    }

    /// Loads the fold of a peer. It is only requested when records are missing.
    pub(super) fn on_fold_reply(
        &mut self,
        now: time::Duration,
        fold_offset: ids::Offset,
        state: record::FoldState,
        out: &mut outbox::Outbox,
    ) {
        if self.reader.search_from.is_some() || self.cluster.log_unreachable {
            self.load_fold(now, state, fold_offset, out);
        }
    }
}

/// The last snapshot in a record after whose state every record is still kept.
fn last_usable_snapshot(
    read: record::Record,
    earliest: ids::Offset,
) -> Option<(ids::Offset, record::FoldState)> {
    for entry in read.entries.into_iter().rev() {
        let record::Entry::Snapshot { as_of_offset, fold } = entry else {
            continue;
        };
        if as_of_offset.saturating_add(1) >= earliest {
            return Some((as_of_offset, *fold));
        }
    }
    None
}
