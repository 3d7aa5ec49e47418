//! Settings of the daemon, read from one file in JSON with comments.

mod reader;
pub mod rows;

use std::fs;
use std::io::Read;
use std::net;
use std::path;
use std::sync;
use std::time;

use persimmonpier::core::{ids, keys};
use persimmonpier::{front, link, state};

use crate::errors::{InvalidSettings, SettingError};
use reader::Reader;

const MAX_FILE_BYTES: u64 = 1 << 20;
const MAX_NAME_BYTES: usize = 128;
/// A shorter peer token can be guessed.
const MIN_TOKEN_BYTES: usize = 16;
const MAX_TOKEN_BYTES: usize = 512;
const MAX_OPERATOR_TOKENS: usize = 64;

const NAME_RULE: &str = "a name of 1 to 128 letters, digits, '.', '_' or '-'";
const ADDRESS_RULE: &str = "'ip:port' with a fixed IP address and a port from 1 to 65535";
const URL_RULE: &str = "'http://ip:port' without a path";
const TOKEN_RULE: &str = "a secret text of 16 to 512 visible ASCII characters";
const HASHES_RULE: &str = "a list of 1 to 64 SHA-256 hashes of 64 hexadecimal digits each";
const FILTER_RULE: &str = "a filter of the tracing library, such as 'info' or 'warn,pierd=debug'";

/// The settings of the daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The id of the host.
    pub host: ids::HostId,
    /// The availability zone of the host.
    pub availability_zone: ids::ZoneId,
    /// The address of the caller interface.
    pub caller_address: net::SocketAddr,
    /// The address of the interface for peers and operators, as announced to peers.
    pub peer_address: net::SocketAddr,
    /// The address on which the interface for peers and operators listens. It differs from
    /// `peer_address` where connections are forwarded to the host.
    pub peer_listen_address: net::SocketAddr,
    /// The secret shared by all hosts of the cell.
    pub peer_token: Secret,
    /// The filter for log lines, in the syntax of the tracing library.
    pub log_filter: String,
    /// The number of threads of the runtime that serves callers and peers and calls workers.
    pub runtime_threads: usize,
    /// The interval between ticks of the control thread.
    pub tick_interval: time::Duration,
    /// The number of events that may wait for the control thread.
    pub event_queue: usize,
    /// The time after which an unanswered operator request is reported as having an unknown
    /// outcome.
    pub operator_timeout: time::Duration,
    /// Options of the caller interface.
    pub callers: front::Options,
    /// Options of the control state.
    pub state: state::Options,
    /// Options of the links to external systems and peers.
    pub links: link::Options,
}

/// A string that is not shown in debug output.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(pub sync::Arc<str>);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Default for Settings {
    /// Defaults of the optional settings. Required settings are empty and must be set.
    fn default() -> Self {
        let unset_address = net::SocketAddr::from(([0, 0, 0, 0], 0));
        Self {
            host: "".into(),
            availability_zone: "".into(),
            caller_address: unset_address,
            peer_address: unset_address,
            peer_listen_address: unset_address,
            peer_token: Secret("".into()),
            log_filter: "info".to_owned(),
            runtime_threads: 2,
            tick_interval: time::Duration::from_millis(25),
            event_queue: 65_536,
            operator_timeout: time::Duration::from_secs(15),
            callers: front::Options::default(),
            state: state::Options::default(),
            links: link::Options::default(),
        }
    }
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// All errors in the file, each with the key, the value and what is allowed.
    pub fn load(file: &path::Path) -> Result<Self, InvalidSettings> {
        let text = read_file(file).map_err(|error| vec![error]);
        let parsed = text.and_then(|text| Self::parse(&text));
        parsed.map_err(|errors| InvalidSettings { file: file.to_owned(), errors })
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// All errors in the text, each with the key, the value and what is allowed.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingError>> {
        let mut reader = Reader::new(text)?;
        let mut settings = Self::default();
        settings.read_strings(&mut reader);
        for row in rows::all() {
            reader.number_or_flag(row, (row.field)(&mut settings));
        }
        reader.reject_unknown_keys();
        let mut errors = reader.into_errors();
        settings.check_constraints(&mut errors);
        if errors.is_empty() { Ok(settings) } else { Err(errors) }
    }

    /// Who this host is. `incarnation` is drawn for each process.
    pub fn to_identity(&self, incarnation: ids::Incarnation) -> state::options::HostIdentity {
        state::options::HostIdentity {
            host: self.host.clone(),
            incarnation,
            availability_zone: self.availability_zone.clone(),
            peer_address: self.peer_address.to_string().into(),
        }
    }

    /// The options of the control state. Its drain limit is the time limit of the shutdown without
    /// the grace period, during which new connections are still served.
    pub fn to_state_options(&self) -> state::Options {
        let mut options = self.state.clone();
        options.drain_limit = options.drain_limit.saturating_sub(self.callers.drain_grace);
        options
    }

    /// The options of the links, with the identity of the host and the secret of the cell.
    pub fn to_link_options(&self) -> link::Options {
        let mut options = self.links.clone();
        options.identity = link::options::Identity {
            host: self.host.clone(),
            cell_token: sync::Arc::clone(&self.peer_token.0),
        };
        options
    }

    fn read_strings(&mut self, reader: &mut Reader) {
        if let Some(host) = reader.required("host", NAME_RULE, to_name) {
            self.host = host;
        }
        if let Some(zone) = reader.required("availability_zone", NAME_RULE, to_name) {
            self.availability_zone = zone;
        }
        if let Some(address) = reader.required("caller_address", ADDRESS_RULE, to_address) {
            self.caller_address = address;
        }
        if let Some(address) = reader.required("peer_address", ADDRESS_RULE, to_address) {
            self.peer_address = address;
            self.peer_listen_address = address;
        }
        if let Some(address) = reader.optional("peer_listen_address", ADDRESS_RULE, to_address) {
            self.peer_listen_address = address;
        }
        if let Some(url) = reader.required("log_url", URL_RULE, to_url) {
            self.links.log.base_url = url;
        }
        if let Some(url) = reader.required("host_list_url", URL_RULE, to_url) {
            self.links.host_list.base_url = url;
        }
        if let Some(token) = reader.secret("peer_token", TOKEN_RULE, to_token) {
            self.peer_token = Secret(token);
        }
        if let Some(hashes) = reader.list("operator_token_sha256", HASHES_RULE, to_hashes) {
            self.state.operator_tokens = hashes;
        }
        if let Some(filter) = reader.optional("log_filter", FILTER_RULE, to_filter) {
            self.log_filter = filter;
        }
    }

    fn check_constraints(&mut self, errors: &mut Vec<SettingError>) {
        for constraint in rows::CONSTRAINTS {
            let (value, other_value) =
                (rows::value(self, constraint.key), rows::value(self, constraint.other_key));
            let (Some(found), Some(other_found)) = (value, other_value) else {
                continue;
            };
            if constraint.relation.holds(found, other_found) {
                continue;
            }
            let (key, other_key) = (constraint.key, constraint.other_key);
            let relation = constraint.relation.as_text();
            errors.push(SettingError::Inconsistent {
                key,
                found,
                relation,
                other_key,
                other_found,
            });
        }
    }
}

fn read_file(file: &path::Path) -> Result<String, SettingError> {
    let to_error = |error: std::io::Error| SettingError::Unreadable { reason: error.to_string() };
    let opened = fs::File::open(file).map_err(to_error)?;
    let found_bytes = opened.metadata().map_err(to_error)?.len();
    if found_bytes > MAX_FILE_BYTES {
        return Err(SettingError::TooLarge { found_bytes, limit_bytes: MAX_FILE_BYTES });
    }
    let mut text = String::new();
    opened.take(MAX_FILE_BYTES).read_to_string(&mut text).map_err(to_error)?;
    Ok(text)
}

fn to_name(text: &str) -> Option<sync::Arc<str>> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    let has_valid_length = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    (has_valid_length && text.bytes().all(is_allowed)).then(|| text.into())
}

fn to_address(text: &str) -> Option<net::SocketAddr> {
    let address: net::SocketAddr = text.parse().ok()?;
    (address.port() != 0 && !address.ip().is_unspecified()).then_some(address)
}

fn to_url(text: &str) -> Option<sync::Arc<str>> {
    to_address(text.strip_prefix("http://")?).map(|_| text.into())
}

fn to_token(text: &str) -> Option<sync::Arc<str>> {
    let has_valid_length = (MIN_TOKEN_BYTES..=MAX_TOKEN_BYTES).contains(&text.len());
    (has_valid_length && text.bytes().all(|byte| byte.is_ascii_graphic())).then(|| text.into())
}

fn to_hashes(texts: Vec<String>) -> Option<Vec<keys::KeyHash>> {
    if texts.is_empty() || texts.len() > MAX_OPERATOR_TOKENS {
        return None;
    }
    let mut hashes = Vec::with_capacity(texts.len());
    for text in texts {
        hashes.push(keys::KeyHash::try_from(text).ok()?);
    }
    Some(hashes)
}

fn to_filter(text: &str) -> Option<String> {
    tracing_subscriber::EnvFilter::try_new(text).ok().map(|_| text.to_owned())
}
