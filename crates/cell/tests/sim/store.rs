//! An in-memory store of keyed topics with conditional appends.

use std::collections::BTreeMap;

use pier_cell::event::AppendResponse;
use pier_cell::follower::{LogSlice, Page, ReadError};
use pier_cell::record::Record;

/// The greatest number of records on a page of newest records; small, so that paging is exercised.
const PAGE_RECORDS: usize = 40;

/// A keyed topic: the newest record of each key, and the history until it is trimmed.
#[derive(Debug)]
pub struct Topic<T> {
    history: Vec<(u64, String, Option<T>)>,
    newest: BTreeMap<String, (u64, T)>,
    end: u64,
}

impl<T: Clone> Topic<T> {
    pub fn new() -> Self {
        Self { history: Vec::new(), newest: BTreeMap::new(), end: 0 }
    }

    pub fn end(&self) -> u64 {
        self.end
    }

    pub fn push(&mut self, key: &str, value: Option<T>) {
        match &value {
            Some(value) => {
                self.newest.insert(key.to_owned(), (self.end, value.clone()));
            }
            None => {
                self.newest.remove(key);
            }
        }
        self.history.push((self.end, key.to_owned(), value));
        self.end += 1;
    }

    /// Deletes the history but keeps the newest record of each key.
    pub fn trim(&mut self) {
        self.history.clear();
    }

    pub fn page<U>(&self, after: Option<&str>, convert: impl Fn(&str, Option<&T>) -> U) -> Page<U> {
        let mut items = Vec::new();
        let mut next_after = None;
        for (key, (offset, value)) in &self.newest {
            if after.is_some_and(|after| key.as_str() <= after) {
                continue;
            }
            items.push((*offset, convert(key, Some(value))));
            if items.len() == PAGE_RECORDS {
                next_after = Some(key.clone());
                break;
            }
        }
        Page { items, next_after, end: self.end }
    }

    pub fn slice<U>(
        &self,
        from: u64,
        convert: impl Fn(&str, Option<&T>) -> U,
    ) -> Result<LogSlice<U>, ReadError> {
        let first = self.history.first().map_or(self.end, |(offset, _, _)| *offset);
        if from < first {
            return Err(ReadError::Trimmed);
        }
        let mut records = Vec::new();
        for (offset, key, value) in &self.history {
            if *offset >= from {
                records.push((*offset, convert(key, value.as_ref())));
            }
        }
        Ok(LogSlice { records, next: self.end, end: self.end })
    }
}

impl Topic<Vec<u8>> {
    /// Appends if the topic ends at `at`.
    pub fn append(&mut self, at: u64, records: &[Record]) -> AppendResponse {
        if at != self.end {
            return AppendResponse::Conflict;
        }
        for record in records {
            self.push(&record.key, record.value.clone());
        }
        AppendResponse::Stored { end: self.end }
    }
}

/// Creates a record of the cell's log.
pub fn cell_record(key: &str, value: Option<&Vec<u8>>) -> Record {
    Record { key: key.to_owned(), value: value.cloned() }
}
