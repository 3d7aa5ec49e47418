//! Reading a keyed topic: first the newest record of each key, then the log from there on.

use std::time;

use pier_core::ids;

use crate::options::Options;

/// The topics that a host follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display)]
pub enum Topic {
    /// The cell's own log.
    #[display("cell")]
    Cell,
    /// The announcements of deciders.
    #[display("deciders")]
    Deciders,
    /// The operators' records.
    #[display("operators")]
    Operators,
    /// The workers' descriptions of themselves.
    #[display("workers")]
    Workers,
}

/// A read that a follower requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Read {
    /// A page of the newest record of each key, in key order.
    Newest {
        /// The last key of the previous page.
        after: Option<String>,
    },
    /// The log's records from an offset on.
    From {
        /// The first offset.
        offset: ids::Offset,
        /// How long the log may wait for a new record.
        wait: time::Duration,
    },
}

/// A page of the newest record of each key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page<T> {
    /// The offset and the content of each record.
    pub items: Vec<(ids::Offset, T)>,
    /// The key after which the next page begins; none on the last page.
    pub next_after: Option<String>,
    /// The end of the log when the page was read.
    pub end: ids::Offset,
}

/// Consecutive records of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSlice<T> {
    /// The offset and the content of each record.
    pub records: Vec<(ids::Offset, T)>,
    /// The offset after the last of them.
    pub next: ids::Offset,
    /// The end of the log.
    pub end: ids::Offset,
}

/// Why a read from the log failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum ReadError {
    /// The log no longer has all records from the requested offset on.
    #[display("the records have been trimmed")]
    Trimmed,
    /// The log refused the read, or its response could not be decoded.
    #[display("the log refused the read")]
    Refused,
    /// The log did not respond.
    #[display("no response from the log")]
    NoAnswer,
}

/// The records that a follower received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FollowerUpdate<T> {
    /// `records` replaces all earlier state: keys that it does not contain no longer exist.
    pub is_reset: bool,
    /// The records, in order.
    pub records: Vec<(ids::Offset, T)>,
    /// Whether the follower has received all records that the log held when it was read.
    pub is_caught_up: bool,
}

#[derive(Debug)]
enum Phase<T> {
    Newest { after: Option<String>, end: Option<ids::Offset>, items: Vec<(ids::Offset, T)> },
    Tail { next: ids::Offset },
}

/// A read that has no response yet.
#[derive(Debug)]
struct PendingRead {
    ticket: ids::Ticket,
    requested_at: time::Duration,
    /// How long the log may wait for records.
    wait: time::Duration,
}

/// The position of a follower in a topic. It has at most one read in progress and ignores the
/// responses to all others: a response to a read from before a reset says nothing about the current
/// position.
#[derive(Debug)]
pub struct Follower<T> {
    phase: Phase<T>,
    interval: time::Duration,
    pending: Option<PendingRead>,
    next_at: time::Duration,
    as_of: Option<time::Duration>,
    is_failing: bool,
    /// When the first read after a failed one that succeeded was requested.
    recovered_at: Option<time::Duration>,
}

impl<T> Follower<T> {
    /// Creates a follower that starts with the newest records.
    pub fn new(interval: time::Duration) -> Self {
        Self {
            phase: Phase::Newest { after: None, end: None, items: Vec::new() },
            interval,
            pending: None,
            next_at: time::Duration::ZERO,
            as_of: None,
            is_failing: false,
            recovered_at: None,
        }
    }

    /// Sets the interval between reads.
    pub fn set_interval(&mut self, interval: time::Duration) {
        self.interval = interval;
    }

    /// Makes the next read due at once. Has no effect while a read is in progress or after one that
    /// failed.
    pub fn read_now(&mut self, now: time::Duration) {
        if !self.is_failing {
            self.next_at = self.next_at.min(now);
        }
    }

    /// Whether the last read failed.
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// When reads last began to succeed again after a failed one.
    pub fn recovered_at(&self) -> Option<time::Duration> {
        self.recovered_at
    }

    /// The latest time at which the follower is known to have had all records of the log.
    pub fn as_of(&self) -> Option<time::Duration> {
        self.as_of
    }

    /// The offset of the next read; none until the newest records have been read.
    pub fn next_offset(&self) -> Option<ids::Offset> {
        match self.phase {
            Phase::Newest { .. } => None,
            Phase::Tail { next } => Some(next),
        }
    }

    /// When the next read is due; none while one is in progress.
    pub fn due_at(&self) -> Option<time::Duration> {
        if self.pending.is_some() { None } else { Some(self.next_at) }
    }

    /// Returns the read that is due, with the ticket that its response has to carry.
    pub fn poll(
        &mut self,
        now: time::Duration,
        options: &Options,
        tickets: &mut ids::TicketSequence,
    ) -> Option<(ids::Ticket, Read)> {
        if self.pending.is_some() || now < self.next_at {
            return None;
        }
        let ticket = tickets.issue();
        let wait = if self.is_failing { time::Duration::ZERO } else { options.read_wait };
        self.pending = Some(PendingRead { ticket, requested_at: now, wait });
        let read = match &self.phase {
            Phase::Newest { after, .. } => Read::Newest { after: after.clone() },
            Phase::Tail { next } => Read::From { offset: *next, wait },
        };
        Some((ticket, read))
    }

    /// The response timeout of the read in progress, not counting the time for which the log may
    /// wait for records.
    pub fn read_timeout(&self, options: &Options) -> time::Duration {
        if self.is_failing { options.log_probe_timeout } else { options.log_timeout }
    }

    /// Handles a page of the newest records.
    pub fn on_page(
        &mut self,
        topic: Topic,
        ticket: ids::Ticket,
        page: Page<T>,
    ) -> Option<FollowerUpdate<T>> {
        let PendingRead { requested_at, .. } = self.finish_read(topic, ticket)?;
        let Phase::Newest { after, end, items } = &mut self.phase else {
            return None;
        };
        items.extend(page.items);
        let first_end = *end.get_or_insert(page.end);
        if page.next_after.is_some() {
            *after = page.next_after;
            self.next_at = requested_at;
            return None;
        }
        let records = std::mem::take(items);
        self.phase = Phase::Tail { next: first_end };
        self.next_at = requested_at;
        // The pages are not a consistent snapshot, so continue from the log's end at the first
        // page.
        let is_caught_up = page.end == first_end;
        if is_caught_up {
            self.as_of = Some(requested_at);
        }
        Some(FollowerUpdate { is_reset: true, records, is_caught_up })
    }

    /// Handles consecutive records of the log.
    pub fn on_log_slice(
        &mut self,
        topic: Topic,
        ticket: ids::Ticket,
        now: time::Duration,
        slice: LogSlice<T>,
    ) -> Option<FollowerUpdate<T>> {
        let PendingRead { requested_at, wait, .. } = self.finish_read(topic, ticket)?;
        let Phase::Tail { next } = &mut self.phase else {
            return None;
        };
        // The log responds without a record only after the whole requested wait.
        let as_of =
            if slice.next == *next { requested_at.saturating_add(wait) } else { requested_at };
        *next = slice.next;
        let is_caught_up = slice.next >= slice.end;
        if is_caught_up {
            self.as_of = Some(as_of.min(now));
            self.next_at = now.max(requested_at.saturating_add(self.interval));
        } else {
            self.next_at = now;
        }
        Some(FollowerUpdate { is_reset: false, records: slice.records, is_caught_up })
    }

    /// Handles a failed read.
    pub fn on_failed(
        &mut self,
        topic: Topic,
        ticket: ids::Ticket,
        now: time::Duration,
        error: ReadError,
        options: &Options,
    ) {
        if self.take_pending(topic, ticket).is_none() {
            return;
        }
        self.next_at = now.saturating_add(options.log_retry_delay);
        if error == ReadError::Trimmed {
            tracing::warn!(%topic, "records were trimmed; reading the newest records again");
            self.phase = Phase::Newest { after: None, end: None, items: Vec::new() };
            self.next_at = now;
            return;
        }
        if !self.is_failing {
            self.is_failing = true;
            tracing::warn!(%topic, %error, "reading from the log failed");
        }
    }

    /// Discards the position and the read in progress, and reads the newest records again.
    pub fn reset(&mut self, now: time::Duration) {
        *self = Self { next_at: now, ..Self::new(self.interval) };
    }

    /// Ends the read in progress with a response, and clears the failure.
    fn finish_read(&mut self, topic: Topic, ticket: ids::Ticket) -> Option<PendingRead> {
        let pending = self.take_pending(topic, ticket)?;
        if std::mem::take(&mut self.is_failing) {
            tracing::info!(%topic, "reading from the log works again");
            self.recovered_at = Some(pending.requested_at);
        }
        Some(pending)
    }

    /// Returns the read in progress if it has this ticket.
    fn take_pending(&mut self, topic: Topic, ticket: ids::Ticket) -> Option<PendingRead> {
        let pending = self.pending.take_if(|pending| pending.ticket == ticket);
        if pending.is_none() {
            tracing::info!(%topic, read = ticket, "ignored the response to a read that was given up");
        }
        pending
    }
}
