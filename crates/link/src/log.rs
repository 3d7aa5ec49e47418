//! Client of the platform's append-only log.

use std::sync;

use pier_core::{ids, wire};

use crate::{Error, Result, options, traffic, transfer};

/// A blocking client of the log. Its calls end within [`options::LogOptions::timeout`].
#[derive(Debug, Clone)]
pub struct LogClient {
    host: ids::HostId,
    options: options::LogOptions,
    traffic: sync::Arc<traffic::Traffic>,
}

impl LogClient {
    /// A client that calls in the name of `host`.
    pub fn new(host: ids::HostId, options: options::LogOptions) -> Self {
        Self { host, options, traffic: sync::Arc::default() }
    }

    /// Counts the bytes of all calls in `traffic`.
    pub fn with_traffic(mut self, traffic: sync::Arc<traffic::Traffic>) -> Self {
        self.traffic = traffic;
        self
    }

    /// Appends a record to a stream and returns its position.
    ///
    /// # Errors
    /// [`Error::was_not_executed`] tells whether the record is certainly not in the log.
    pub fn append(&self, stream: &str, bytes: &[u8]) -> Result<ids::Offset> {
        let limit_bytes = self.options.max_record_bytes;
        if bytes.len() > limit_bytes {
            return Err(Error::RequestTooLarge { size_bytes: bytes.len(), limit_bytes });
        }
        let url = format!("{}/streams/{stream}/records", self.options.base_url);
        let request = minreq::post(url.as_str()).with_body(bytes);
        self.traffic.count_sent(traffic::LinkKind::Log, bytes.len());
        let body = transfer::call(request, &self.host, &url, self.bounds())?;
        self.traffic.count_received(traffic::LinkKind::Log, body.len());
        let appended: wire::Appended = transfer::parse(&url, &body)?;
        Ok(appended.offset)
    }

    /// Reads up to `max_records` records of a stream from position `from` on.
    ///
    /// # Errors
    /// Any failure; a read has no effect.
    pub fn read(&self, stream: &str, from: ids::Offset, max_records: u32) -> Result<wire::LogPage> {
        let base = &self.options.base_url;
        let url = format!("{base}/streams/{stream}/records?from={from}&max={max_records}");
        let body = transfer::call(minreq::get(url.as_str()), &self.host, &url, self.bounds())?;
        self.traffic.count_received(traffic::LinkKind::Log, body.len());
        let page: wire::LogPage = transfer::parse(&url, &body)?;
        check_page(&url, from, &page)?;
        Ok(page)
    }

    fn bounds(&self) -> transfer::Bounds {
        transfer::Bounds {
            timeout: self.options.timeout,
            max_answer_bytes: self.options.max_answer_bytes,
        }
    }
}

/// Checks that the records ascend from `from` on and lie within the bounds that the page states.
fn check_page(url: &str, from: ids::Offset, page: &wire::LogPage) -> Result<()> {
    let mut lowest = from.max(page.earliest);
    for record in &page.records {
        if record.offset < lowest || record.offset >= page.next {
            let detail = format!("record {} is out of place", record.offset);
            return Err(Error::InvalidResponse { address: url.to_owned(), detail });
        }
        lowest = record.offset.saturating_add(1);
    }
    Ok(())
}
