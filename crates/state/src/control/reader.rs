//! Reading the log, and following it by way of peers.

use std::collections;
use std::time;

use pier_core::{ids, wire};

use super::{Control, fold, restart};
use crate::{Effect, effect, event, message, outbox, record};

/// The largest number of records of one read.
const READ_RECORDS: u32 = 512;
/// After how long a read without a result is given up and sent again.
const READ_GIVE_UP: time::Duration = time::Duration::from_secs(10);
/// The interval between requests for records or for the fold to peers.
const ASK_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// The records that are kept for peers: their number, and their size in base64 digits.
const RECENT_RECORDS: usize = 2_000;
const RECENT_DIGITS: usize = 4 << 20;
/// The bounds of one answer to a peer.
const REPLY_RECORDS: usize = 256;
const REPLY_DIGITS: usize = 1 << 20;
/// The interval between notices that the history of the log is lost.
const LOST_NOTICE_INTERVAL: time::Duration = time::Duration::from_secs(30);

/// The progress of reading the log.
#[derive(Debug, Default)]
pub(super) struct Reader {
    outstanding: Option<Outstanding>,
    next_at: time::Duration,
    failed: bool,
    /// When the last successful read was sent.
    reached_at: Option<time::Duration>,
    /// When the last read was sent that reached the tail and was folded.
    tail_at: Option<time::Duration>,
    /// Where the search for a snapshot goes on, when records before it are past retention.
    search: Option<ids::Offset>,
    /// The first restart that the search has found.
    restart: Option<restart::Found>,
    /// Whether the search has reached the end of the log without a result.
    is_history_lost: bool,
    ask_at: time::Duration,
    lost_notice_at: time::Duration,
    recent: Recent,
}

#[derive(Debug, Clone, Copy)]
struct Outstanding {
    ticket: ids::Ticket,
    asked_at: time::Duration,
}

/// The last records in ascending order without gaps.
#[derive(Debug, Default)]
struct Recent {
    records: collections::VecDeque<(ids::Offset, String)>,
    digits: usize,
}

impl Recent {
    fn push(&mut self, offset: ids::Offset, data: String) {
        let follows = self.records.back().is_none_or(|(last, _)| last + 1 == offset);
        if !follows {
            self.records.clear();
            self.digits = 0;
        }
        self.digits += data.len();
        self.records.push_back((offset, data));
        while self.records.len() > RECENT_RECORDS || self.digits > RECENT_DIGITS {
            let Some((_, dropped)) = self.records.pop_front() else {
                return;
            };
            self.digits -= dropped.len();
        }
    }

    /// The records from `from` on, within the bounds of an answer; none if some are missing.
    fn from(&self, from: ids::Offset) -> Option<Vec<(ids::Offset, String)>> {
        let (first, _) = self.records.front()?;
        let skipped = usize::try_from(from.checked_sub(*first)?).ok()?;
        let mut records = Vec::new();
        let mut digits = 0;
        for (offset, data) in self.records.iter().skip(skipped) {
            digits += data.len();
            if !records.is_empty() && (records.len() >= REPLY_RECORDS || digits > REPLY_DIGITS) {
                break;
            }
            records.push((*offset, data.clone()));
        }
        if records.is_empty() { None } else { Some(records) }
    }
}

impl Reader {
    /// Whether the log cannot be reached: the last read has failed, or none that was sent within
    /// `patience` has succeeded.
    pub(super) fn is_away(&self, now: time::Duration, patience: time::Duration) -> bool {
        let Some(reached_at) = self.reached_at else {
            return true;
        };
        self.failed || now.saturating_sub(reached_at) > patience
    }

    /// Whether the last read has failed, or none has succeeded yet.
    pub(super) fn is_failing(&self) -> bool {
        self.failed || self.reached_at.is_none()
    }

    /// When the last read was sent that reached the tail and was folded.
    pub(super) fn tail_at(&self) -> Option<time::Duration> {
        self.tail_at
    }

    /// Whether neither the log nor, so far, a peer has a state to begin with.
    pub(super) fn is_history_lost(&self) -> bool {
        self.is_history_lost
    }

    /// The position up to which the log was searched for a state; none without a search.
    pub(super) fn searched_to(&self) -> Option<ids::Offset> {
        self.search
    }

    fn end_search(&mut self) {
        self.search = None;
        self.restart = None;
        self.is_history_lost = false;
    }

    /// Lets the next read be sent at once.
    pub(super) fn hurry(&mut self, now: time::Duration) {
        self.next_at = now;
    }
}

impl Control {
    /// Sends the next read of the log when it is time.
    pub(super) fn poll_log(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        if let Some(outstanding) = self.reader.outstanding {
            if now.saturating_sub(outstanding.asked_at) < READ_GIVE_UP {
                return;
            }
            self.reader.outstanding = None;
            self.reader.failed = true;
        }
        if now < self.reader.next_at {
            return;
        }
        let ticket = self.ticket();
        let from = self.reader.search.unwrap_or(self.fold.offset());
        self.reader.outstanding = Some(Outstanding { ticket, asked_at: now });
        self.reader.next_at = now + self.options.log_poll_interval;
        out.push(Effect::ReadLog { ticket, from, max_records: READ_RECORDS });
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
                let Some(asked_at) = self.take_outstanding(ticket) else {
                    return;
                };
                self.reader.reached_at = Some(asked_at);
                self.reader.failed = false;
                self.on_page(now, asked_at, page, out);
            }
            event::LogEvent::ReadFailed { ticket } => {
                if self.take_outstanding(ticket).is_some() {
                    self.reader.failed = true;
                }
            }
            event::LogEvent::Appended { ticket, offset: _ } => self.on_appended(now, ticket),
            event::LogEvent::AppendFailed { ticket, certain } => {
                self.on_append_failed(now, ticket, certain);
            }
        }
    }

    fn take_outstanding(&mut self, ticket: ids::Ticket) -> Option<time::Duration> {
        let outstanding = self.reader.outstanding.filter(|read| read.ticket == ticket)?;
        self.reader.outstanding = None;
        Some(outstanding.asked_at)
    }

    fn on_page(
        &mut self,
        now: time::Duration,
        asked_at: time::Duration,
        page: wire::LogPage,
        out: &mut outbox::Outbox,
    ) {
        self.note_retention(page.earliest);
        if page.earliest > self.fold.offset() {
            self.search_snapshot(now, page, out);
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
            self.note_record_age(now, age);
            self.fold_data(now, record.offset, record.data, age, out);
        }
        if self.fold.offset() == page.next {
            self.reader.tail_at = Some(asked_at);
        } else if self.fold.offset() > before {
            self.reader.hurry(now);
        }
    }

    /// Looks for the first snapshot from which every later record is still kept.
    fn search_snapshot(
        &mut self,
        now: time::Duration,
        page: wire::LogPage,
        out: &mut outbox::Outbox,
    ) {
        let first = self.reader.search.unwrap_or(page.earliest).max(page.earliest);
        if self.reader.restart.as_ref().is_some_and(|found| found.offset < page.earliest) {
            self.reader.restart = None;
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
            // A snapshot goes before a restart, since it may include it.
            if self.reader.restart.is_none() {
                self.reader.restart = restart::find(log_record.offset, &read);
            }
            let Some((as_of_offset, state)) = newest_snapshot(read, page.earliest) else {
                continue;
            };
            let age = time::Duration::from_millis(log_record.age_ms);
            self.note_snapshot(now, as_of_offset, age);
            self.load_fold(now, state, as_of_offset.saturating_add(1), out);
            self.reader.hurry(now);
            return;
        }
        self.reader.search = Some(next);
        if next < page.next {
            if next > first {
                self.reader.hurry(now);
            }
        } else if let Some(found) = self.reader.restart.take() {
            self.load_restart(now, found, out);
            self.reader.hurry(now);
            return;
        } else {
            self.reader.is_history_lost = true;
        }
        if self.reader.is_history_lost && now >= self.reader.lost_notice_at {
            self.reader.lost_notice_at = now + LOST_NOTICE_INTERVAL;
            out.push(Effect::Log(effect::Notice::HistoryLost { earliest: page.earliest }));
        }
        self.ask_for_fold(now, out);
    }

    /// Folds the record at the current offset.
    fn fold_data(
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
                        self.note_snapshot(now, *as_of_offset, age);
                    }
                }
                let folded = self.fold.fold(record);
                self.on_folded(now, folded, out);
            }
            Err(_) => {
                self.fold.skip(offset);
                out.push(Effect::Log(effect::Notice::BadRecord { offset }));
            }
        }
        self.reader.recent.push(offset, data);
    }

    /// Takes the state of a snapshot or of a peer, unless the own one is as new.
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
        self.on_loaded(now, last, out);
    }

    /// Asks a peer for records when the log cannot be reached, or for the fold when records are
    /// past retention.
    pub(super) fn follow_peer(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        if self.reader.search.is_some() {
            self.ask_for_fold(now, out);
            return;
        }
        if !self.cluster.log_unreachable || now < self.reader.ask_at {
            return;
        }
        let from = self.fold.offset();
        let Some(host) = self.peer_ahead(now) else {
            return;
        };
        self.reader.ask_at = now + ASK_INTERVAL;
        self.send_control(&host, message::ControlMessage::RecordsRequest { from }, out);
    }

    fn ask_for_fold(&mut self, now: time::Duration, out: &mut outbox::Outbox) {
        if now < self.reader.ask_at {
            return;
        }
        let Some(host) = self.peer_ahead(now) else {
            return;
        };
        self.reader.ask_at = now + ASK_INTERVAL;
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
        let Some(records) = self.reader.recent.from(first) else {
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
                self.fold_data(now, offset, data, time::Duration::ZERO, out);
            }
        }
        self.reader.ask_at = now;
    }

    /// Takes the fold of a peer. It is only asked for when records are missing.
    pub(super) fn on_fold_reply(
        &mut self,
        now: time::Duration,
        fold_offset: ids::Offset,
        state: record::FoldState,
        out: &mut outbox::Outbox,
    ) {
        if self.reader.search.is_some() || self.cluster.log_unreachable {
            self.load_fold(now, state, fold_offset, out);
        }
    }
}

/// The last snapshot of a record after which every record is still kept.
fn newest_snapshot(
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
