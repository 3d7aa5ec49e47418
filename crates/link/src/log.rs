//! Client of the platform's append-only log.

use std::sync;

use pier_core::{ids, wire};

use crate::{Error, Result, http_call, options, traffic};

/// A blocking client of the log. Its calls return within [`options::LogOptions::timeout`].
#[derive(Debug, Clone)]
pub struct LogClient {
    host: ids::HostId,
    options: options::LogOptions,
    traffic: sync::Arc<traffic::Traffic>,
}

impl LogClient {
    /// Creates a client that identifies itself as `host`.
    pub fn new(host: ids::HostId, options: options::LogOptions) -> Self {
        Self { host, options, traffic: sync::Arc::default() }
    }

    /// Counts the bytes of all calls in `traffic`.
    pub fn with_traffic(mut self, traffic: sync::Arc<traffic::Traffic>) -> Self {
        self.traffic = traffic;
        self
    }

    /// Appends a record to a stream and returns its offset.
    ///
    /// # Errors
    /// Any failure of the call. The record may be in the log nevertheless, unless
    /// [`Error::was_not_executed`].
    pub fn append(&self, stream: &str, bytes: &[u8]) -> Result<ids::Offset> {
        let limit_bytes = self.options.max_record_bytes;
        if bytes.len() > limit_bytes {
            return Err(Error::RequestTooLarge { size_bytes: bytes.len(), limit_bytes });
        }
        let url = format!("{}/streams/{stream}/records", self.options.base_url);
        let request = minreq::post(url.as_str()).with_body(bytes);
        self.traffic.count_sent(traffic::LinkKind::Log, bytes.len());
        let body = http_call::call(request, &self.host, &url, self.limits())?;
        self.traffic.count_received(traffic::LinkKind::Log, body.len());
        let appended: wire::Appended = http_call::parse(&url, &body)?;
        Ok(appended.offset)
    }

    /// Reads up to `max_records` records of a stream, starting at the offset `from`.
    ///
    /// # Errors
    /// Any failure of the call. A read has no side effects.
    pub fn read(&self, stream: &str, from: ids::Offset, max_records: u32) -> Result<wire::LogPage> {
        let base = &self.options.base_url;
        let url = format!("{base}/streams/{stream}/records?from={from}&max={max_records}");
        let body = http_call::call(minreq::get(url.as_str()), &self.host, &url, self.limits())?;
        self.traffic.count_received(traffic::LinkKind::Log, body.len());
        let page: wire::LogPage = http_call::parse(&url, &body)?;
        check_page(&url, from, &page)?;
        Ok(page)
    }

    fn limits(&self) -> http_call::Limits {
        http_call::Limits {
            timeout: self.options.timeout,
            max_answer_bytes: self.options.max_answer_bytes,
        }
    }
}

/// Checks that the offsets of the records ascend, start at or after `from` and lie within the range
/// that the page states.
fn check_page(url: &str, from: ids::Offset, page: &wire::LogPage) -> Result<()> {
    let mut min_offset = from.max(page.earliest);
    for record in &page.records {
        if record.offset < min_offset || record.offset >= page.next {
            let detail = format!("record {} is out of order or out of range", record.offset);
            return Err(Error::InvalidResponse { address: url.to_owned(), detail });
        }
        min_offset = record.offset.saturating_add(1);
    }
    Ok(())
}
