//! The append-only log with its streams and their retention.

use std::collections;
use std::time;

use base64::Engine;
use base64::engine::general_purpose;
use pier_core::{clock, ids, wire};

use crate::settings;

const MAX_PAGE_BYTES: usize = 32 << 20;

struct Record {
    at: time::Instant,
    bytes: Vec<u8>,
}

/// A stream of records with offsets from 0 on. The oldest are dropped by retention.
#[derive(Default)]
struct Stream {
    earliest: ids::Offset,
    records: collections::VecDeque<Record>,
}

/// All streams.
pub(crate) struct Log {
    settings: settings::LogSettings,
    streams: collections::BTreeMap<String, Stream>,
}

impl Log {
    pub fn new(settings: settings::LogSettings) -> Self {
        Self { settings, streams: collections::BTreeMap::new() }
    }

    /// Appends a record.
    pub fn append(&mut self, now: time::Instant, stream: &str, bytes: Vec<u8>) -> wire::Appended {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        stream.records.push_back(Record { at: now, bytes });
        let offset = stream.next_offset() - 1;
        stream.apply_retention(now, &self.settings, None);
        wire::Appended { offset }
    }

    /// Reads up to `max` records from `from` on, or from the earliest one if that is later.
    pub fn read(
        &mut self,
        now: time::Instant,
        stream: &str,
        from: ids::Offset,
        max: usize,
    ) -> wire::LogPage {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        stream.apply_retention(now, &self.settings, None);
        let skipped = usize::try_from(from.saturating_sub(stream.earliest)).unwrap_or(usize::MAX);
        let mut records = Vec::new();
        let mut size_bytes = 0;
        let offsets = from.max(stream.earliest)..;
        for (offset, record) in offsets.zip(stream.records.iter().skip(skipped).take(max)) {
            size_bytes += record.bytes.len();
            if size_bytes > MAX_PAGE_BYTES && !records.is_empty() {
                break;
            }
            records.push(wire::LogRecord {
                offset,
                age_ms: clock::millis(now.saturating_duration_since(record.at)),
                data: general_purpose::STANDARD.encode(&record.bytes),
            });
        }
        wire::LogPage { earliest: stream.earliest, next: stream.next_offset(), records }
    }

    /// Drops all but the last `keep` records of each stream.
    pub fn keep_last(&mut self, now: time::Instant, keep: usize) {
        for stream in self.streams.values_mut() {
            stream.apply_retention(now, &self.settings, Some(keep));
        }
    }
}

impl Stream {
    fn next_offset(&self) -> ids::Offset {
        self.earliest + ids::Offset::try_from(self.records.len()).unwrap_or(ids::Offset::MAX)
    }

    /// Drops records that exceed the retention. `keep` lowers the number of records to keep.
    fn apply_retention(
        &mut self,
        now: time::Instant,
        settings: &settings::LogSettings,
        keep: Option<usize>,
    ) {
        let max_age = time::Duration::from_millis(settings.retention_ms);
        let max_records =
            keep.unwrap_or(settings.retention_records).min(settings.retention_records);
        while let Some(oldest) = self.records.front() {
            let too_old = now.saturating_duration_since(oldest.at) > max_age;
            if !too_old && self.records.len() <= max_records {
                return;
            }
            self.records.pop_front();
            self.earliest += 1;
        }
    }
}
