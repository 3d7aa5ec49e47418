//! Client of the platform's list of hosts.

use std::sync;

use pier_core::{ids, wire};

use crate::{Error, Result, options, traffic, transfer};

const MILLIS_PER_SECOND: u64 = 1_000;

/// A blocking client of the host list. Its calls end within
/// [`options::HostListOptions::timeout`].
///
/// The list of a large cell has over 100 KB and seldom changes, so the client keeps the last one
/// with its entity tag and asks only for a newer one.
#[derive(Debug, Clone)]
pub struct HostListClient {
    host: ids::HostId,
    options: options::HostListOptions,
    last: Option<(String, wire::HostList)>,
    traffic: sync::Arc<traffic::Traffic>,
}

impl HostListClient {
    /// A client that calls in the name of `host`.
    pub fn new(host: ids::HostId, options: options::HostListOptions) -> Self {
        Self { host, options, last: None, traffic: sync::Arc::default() }
    }

    /// Counts the bytes of all calls in `traffic`.
    pub fn with_traffic(mut self, traffic: sync::Arc<traffic::Traffic>) -> Self {
        self.traffic = traffic;
        self
    }

    /// Changes the largest size of an answer in bytes.
    pub fn set_max_answer_bytes(&mut self, max_answer_bytes: usize) {
        self.options.max_answer_bytes = max_answer_bytes;
    }

    /// Reads the list. The list lags by at least the age that it states.
    ///
    /// # Errors
    /// Any failure; a read has no effect.
    pub fn read(&mut self) -> Result<wire::HostList> {
        let url = format!("{}/hosts", self.options.base_url);
        let bounds = transfer::Bounds {
            timeout: self.options.timeout,
            max_answer_bytes: self.options.max_answer_bytes,
        };
        let mut request = minreq::get(url.as_str());
        if let Some((etag, _)) = &self.last {
            request = request.with_header("If-None-Match", etag);
        }
        let reply = transfer::exchange(request, &self.host, &url, bounds)?;
        self.traffic.count_received(traffic::LinkKind::HostList, reply.body.len());
        if reply.not_modified {
            return self.unchanged(&url, reply.age_s);
        }
        let list: wire::HostList = transfer::parse(&url, &reply.body)?;
        self.last = reply.etag.map(|etag| (etag, list.clone()));
        Ok(list)
    }

    /// The list that was read before, with its present age.
    fn unchanged(&self, url: &str, age_s: u64) -> Result<wire::HostList> {
        let Some((_, list)) = &self.last else {
            return Err(Error::Status { address: url.to_owned(), status: 304 });
        };
        let age_ms = age_s.saturating_mul(MILLIS_PER_SECOND);
        Ok(wire::HostList { age_ms, hosts: list.hosts.clone() })
    }
}
