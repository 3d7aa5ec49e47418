//! Client of the platform's host list.

use std::sync;

use pier_core::{ids, wire};

use crate::{Error, Result, http_call, options, traffic};

const MILLIS_PER_SECOND: u64 = 1_000;

/// A blocking client of the host list. Its calls return within
/// [`options::HostListOptions::timeout`].
///
/// The list of a large cell exceeds 100 KB and rarely changes, so the client caches the last list
/// with its entity tag and sends conditional requests.
#[derive(Debug, Clone)]
pub struct HostListClient {
    host: ids::HostId,
    options: options::HostListOptions,
    cached: Option<(String, wire::HostList)>,
    traffic: sync::Arc<traffic::Traffic>,
}

impl HostListClient {
    /// Creates a client that identifies itself as `host`.
    pub fn new(host: ids::HostId, options: options::HostListOptions) -> Self {
        Self { host, options, cached: None, traffic: sync::Arc::default() }
    }

    /// Counts the bytes of all calls in `traffic`.
    pub fn with_traffic(mut self, traffic: sync::Arc<traffic::Traffic>) -> Self {
        self.traffic = traffic;
        self
    }

    /// Changes the maximum size of a response in bytes.
    pub fn set_max_answer_bytes(&mut self, max_answer_bytes: usize) {
        self.options.max_answer_bytes = max_answer_bytes;
    }

    /// Reads the list. The list is at least as old as the age that it states.
    ///
    /// # Errors
    /// Any failure of the call. A read has no side effects.
    pub fn read(&mut self) -> Result<wire::HostList> {
        let url = format!("{}/hosts", self.options.base_url);
        let limits = http_call::Limits {
            timeout: self.options.timeout,
            max_answer_bytes: self.options.max_answer_bytes,
        };
        let mut request = minreq::get(url.as_str());
        if let Some((etag, _)) = &self.cached {
            request = request.with_header("If-None-Match", etag);
        }
        let response = http_call::exchange(request, &self.host, &url, limits)?;
        self.traffic.count_received(traffic::LinkKind::HostList, response.body.len());
        if response.not_modified {
            return self.cached_list(&url, response.age_s);
        }
        let list: wire::HostList = http_call::parse(&url, &response.body)?;
        self.cached = response.etag.map(|etag| (etag, list.clone()));
        Ok(list)
    }

    /// Returns the cached list with its current age.
    fn cached_list(&self, url: &str, age_s: u64) -> Result<wire::HostList> {
        let Some((_, list)) = &self.cached else {
            return Err(Error::Status { address: url.to_owned(), status: 304 });
        };
        let age_ms = age_s.saturating_mul(MILLIS_PER_SECOND);
        Ok(wire::HostList { age_ms, hosts: list.hosts.clone() })
    }
}
