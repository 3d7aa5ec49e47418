//! Following a keyed topic: first the newest record of each key, then the log behind it.

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
    /// What the operators declare.
    #[display("operators")]
    Operators,
    /// What the workers say of themselves.
    #[display("workers")]
    Workers,
}

/// A call of the log that a follower wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Read {
    /// A page of the newest records, after a key.
    Newest {
        /// The last key of the page before.
        after: Option<String>,
    },
    /// The records from an offset on.
    From {
        /// The first offset.
        offset: ids::Offset,
        /// How long the log may wait for a record.
        wait: time::Duration,
    },
}

/// A page of newest records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page<T> {
    /// The offset and the content of each record.
    pub items: Vec<(ids::Offset, T)>,
    /// The key after which the next page begins; none on the last page.
    pub next_after: Option<String>,
    /// The end of the log when the page was made.
    pub end: ids::Offset,
}

/// A stretch of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSlice<T> {
    /// The offset and the content of each record.
    pub records: Vec<(ids::Offset, T)>,
    /// The offset after the last of them.
    pub next: ids::Offset,
    /// The end of the log.
    pub end: ids::Offset,
}

/// Why a call of the log failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum ReadError {
    /// The records from the offset on are gone.
    #[display("the records have been trimmed")]
    Trimmed,
    /// The log refused or its answer could not be read.
    #[display("the log refused")]
    Refused,
    /// No answer came.
    #[display("no answer from the log")]
    NoAnswer,
}

/// What a follower learned from an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FollowerUpdate<T> {
    /// The state begins anew: what was known before and is not in `records` is gone.
    pub is_reset: bool,
    /// The records in order.
    pub records: Vec<(ids::Offset, T)>,
    /// Whether the follower has now seen all that the log held when it was asked.
    pub is_caught_up: bool,
}

#[derive(Debug)]
enum Phase<T> {
    Newest { after: Option<String>, end: Option<ids::Offset>, items: Vec<(ids::Offset, T)> },
    Tail { next: ids::Offset },
}

/// The position of a follower in a topic.
#[derive(Debug)]
pub struct Follower<T> {
    phase: Phase<T>,
    gap: time::Duration,
    asked_at: Option<time::Duration>,
    waited: time::Duration,
    next_at: time::Duration,
    as_of: Option<time::Duration>,
    is_failing: bool,
}

impl<T> Follower<T> {
    /// A follower that has seen nothing.
    pub fn new(gap: time::Duration) -> Self {
        Self {
            phase: Phase::Newest { after: None, end: None, items: Vec::new() },
            gap,
            asked_at: None,
            waited: time::Duration::ZERO,
            next_at: time::Duration::ZERO,
            as_of: None,
            is_failing: false,
        }
    }

    /// Sets the pause between reads.
    pub fn set_gap(&mut self, gap: time::Duration) {
        self.gap = gap;
    }

    /// Reads again at once, if no call is under way.
    pub fn read_now(&mut self, now: time::Duration) {
        if !self.is_failing {
            self.next_at = self.next_at.min(now);
        }
    }

    /// Whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// When the log last was as the follower has seen it, at the least.
    pub fn as_of(&self) -> Option<time::Duration> {
        self.as_of
    }

    /// The next offset that is to be read; none before the newest records are complete.
    pub fn next_offset(&self) -> Option<ids::Offset> {
        match self.phase {
            Phase::Newest { .. } => None,
            Phase::Tail { next } => Some(next),
        }
    }

    /// When the next call is due; none while one is under way.
    pub fn due_at(&self) -> Option<time::Duration> {
        if self.asked_at.is_some() { None } else { Some(self.next_at) }
    }

    /// The call that is due.
    pub fn poll(&mut self, now: time::Duration, options: &Options) -> Option<Read> {
        if self.asked_at.is_some() || now < self.next_at {
            return None;
        }
        self.asked_at = Some(now);
        self.waited = options.read_wait;
        Some(match &self.phase {
            Phase::Newest { after, .. } => Read::Newest { after: after.clone() },
            Phase::Tail { next } => Read::From { offset: *next, wait: options.read_wait },
        })
    }

    /// Takes a page of newest records.
    pub fn on_page(&mut self, topic: Topic, page: Page<T>) -> Option<FollowerUpdate<T>> {
        let asked_at = self.answered(topic)?;
        let Phase::Newest { after, end, items } = &mut self.phase else {
            return None;
        };
        items.extend(page.items);
        let first_end = *end.get_or_insert(page.end);
        if page.next_after.is_some() {
            *after = page.next_after;
            self.next_at = asked_at;
            return None;
        }
        let records = std::mem::take(items);
        self.phase = Phase::Tail { next: first_end };
        self.next_at = asked_at;
        // Pages are not a snapshot: the tail begins where the log ended at the first page.
        let is_caught_up = page.end == first_end;
        if is_caught_up {
            self.as_of = Some(asked_at);
        }
        Some(FollowerUpdate { is_reset: true, records, is_caught_up })
    }

    /// Takes a stretch of the log.
    pub fn on_log_slice(
        &mut self,
        topic: Topic,
        now: time::Duration,
        stretch: LogSlice<T>,
    ) -> Option<FollowerUpdate<T>> {
        let waited = self.waited;
        let asked_at = self.answered(topic)?;
        let Phase::Tail { next } = &mut self.phase else {
            return None;
        };
        // The log answers without a record only when it has waited for as long as it was asked to.
        let as_of = if stretch.next == *next { asked_at.saturating_add(waited) } else { asked_at };
        *next = stretch.next;
        let is_caught_up = stretch.next >= stretch.end;
        if is_caught_up {
            self.as_of = Some(as_of.min(now));
            self.next_at = now.max(asked_at.saturating_add(self.gap));
        } else {
            self.next_at = now;
        }
        Some(FollowerUpdate { is_reset: false, records: stretch.records, is_caught_up })
    }

    /// Takes a failed call.
    pub fn on_failed(
        &mut self,
        topic: Topic,
        now: time::Duration,
        error: ReadError,
        options: &Options,
    ) {
        self.asked_at = None;
        self.next_at = now.saturating_add(options.log_retry_delay);
        if error == ReadError::Trimmed {
            tracing::warn!(%topic, "history trimmed, reading the newest records");
            self.phase = Phase::Newest { after: None, end: None, items: Vec::new() };
            self.next_at = now;
            return;
        }
        if !self.is_failing {
            self.is_failing = true;
            tracing::warn!(%topic, %error, "log lost");
        }
    }

    /// Continues behind `next`, which the process itself has written up to.
    pub fn skip_to(&mut self, next: ids::Offset, as_of: time::Duration) {
        self.phase = Phase::Tail { next };
        self.as_of = Some(as_of);
    }

    /// Forgets the position and reads the newest records again.
    pub fn restart(&mut self, now: time::Duration) {
        *self = Self { next_at: now, ..Self::new(self.gap) };
    }

    fn answered(&mut self, topic: Topic) -> Option<time::Duration> {
        if std::mem::take(&mut self.is_failing) {
            tracing::info!(%topic, "log regained");
        }
        self.asked_at.take()
    }
}
