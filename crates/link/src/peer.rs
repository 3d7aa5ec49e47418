//! Messages between hosts over JSON-RPC on WebSocket.
//!
//! Sending gives no guarantee: a message may be lost, late, repeated or out of order. The receipt
//! of a message only tells the sender that the connection works.

use std::collections;
use std::sync;

use jsonrpsee::core::client::{ClientT, Error as ClientError};
use jsonrpsee::core::params;
use jsonrpsee::types;
use jsonrpsee::types::error::ErrorObjectOwned;
use jsonrpsee::ws_client;
use pier_core::{ids, keys};
use pier_state::{Event, message};
use serde::Serialize;
use serde_json::value::RawValue;
use tokio::runtime;
use tokio::task;

use crate::{Error, Result, options, queue, traffic};

/// The method that takes a message.
pub const SEND_METHOD: &str = "peer_send";

/// The JSON-RPC error code of a message with a wrong cell token.
pub const BAD_TOKEN_CODE: i32 = -32_011;

/// The method `peer_send`, which puts each message as [`Event::Peer`] into `events`. A message is
/// dropped when `events` is full. The bytes of all messages are counted in `counts`.
///
/// # Errors
/// [`Error::DuplicateMethod`], which would be a mistake in this module.
pub fn module(
    identity: &options::Identity,
    events: flume::Sender<Event>,
    counts: sync::Arc<traffic::Traffic>,
) -> Result<jsonrpsee::RpcModule<()>> {
    let token = keys::KeyHash::of(&identity.cell_token);
    let mut methods = jsonrpsee::RpcModule::new(());
    let receive = move |params: types::Params<'_>, _: &(), _: &jsonrpsee::Extensions| {
        let size_bytes = params.as_str().map_or(0, str::len);
        counts.count_received(traffic::LinkKind::Peers, size_bytes);
        let envelope: message::Envelope = params.one()?;
        if !token.matches(&envelope.token) {
            let text = "the cell token is wrong";
            return Err(ErrorObjectOwned::owned(BAD_TOKEN_CODE, text, None::<()>));
        }
        let message::Envelope { from, incarnation, message, .. } = envelope;
        if events.try_send(Event::Peer { from, incarnation, message }).is_err() {
            tracing::warn!("a message of a peer is dropped because the event queue is full");
        }
        Ok(true)
    };
    methods
        .register_method(SEND_METHOD, receive)
        .map_err(|_| Error::DuplicateMethod { name: SEND_METHOD })?;
    Ok(methods)
}

/// The envelope as it is sent: it shares the message's parts with the sender.
#[derive(Serialize)]
struct Outgoing<'a> {
    from: &'a str,
    incarnation: ids::Incarnation,
    token: &'a str,
    message: &'a message::Message,
}

/// A message that waits to be sent, and the incarnation of this host that sends it.
type Waiting = (ids::Incarnation, message::Message);
type Link = sync::Arc<queue::DropOldest<Waiting>>;
type Links = sync::Arc<sync::Mutex<collections::BTreeMap<sync::Arc<str>, Link>>>;

/// The outgoing links to peers: one queue and one connection for each address.
#[derive(Debug, Clone)]
pub struct PeerLinks {
    identity: options::Identity,
    options: options::PeerOptions,
    runtime: runtime::Handle,
    links: Links,
    traffic: sync::Arc<traffic::Traffic>,
}

impl PeerLinks {
    /// Links without a connection yet. Connections are made on `runtime` when there is something
    /// to send.
    pub fn new(
        identity: options::Identity,
        options: options::PeerOptions,
        runtime: runtime::Handle,
    ) -> Self {
        let traffic = sync::Arc::default();
        Self { identity, options, runtime, links: Links::default(), traffic }
    }

    /// Counts the bytes of all messages in `traffic`.
    pub fn with_traffic(mut self, traffic: sync::Arc<traffic::Traffic>) -> Self {
        self.traffic = traffic;
        self
    }

    /// Queues a message for the peer at `address` (`ip:port`). It never waits; the oldest message
    /// to that peer is dropped when the queue is full.
    pub fn send(
        &self,
        to: &ids::HostId,
        address: &sync::Arc<str>,
        incarnation: ids::Incarnation,
        message: message::Message,
    ) {
        let mut links = self.links.lock().expect("no holder of the lock panics");
        let link = match links.get(address) {
            Some(link) => sync::Arc::clone(link),
            None => {
                let link = Link::new(queue::DropOldest::new(self.options.queue_limit));
                links.insert(sync::Arc::clone(address), sync::Arc::clone(&link));
                let sender = Sender {
                    identity: self.identity.clone(),
                    options: self.options.clone(),
                    address: sync::Arc::clone(address),
                    link: sync::Arc::clone(&link),
                    links: sync::Arc::clone(&self.links),
                    traffic: sync::Arc::clone(&self.traffic),
                };
                self.runtime.spawn(sender.run());
                link
            }
        };
        // The message is added under the lock of the table, so that an idle link cannot be taken
        // off the table in between.
        if link.push((incarnation, message)).is_some() {
            tracing::debug!(peer = %to, "the oldest message to a peer is dropped: queue full");
        }
    }
}

/// What became of a connection.
enum Closed {
    /// Nothing was sent for a while and the link is off the table.
    Idle,
    /// A batch had no receipt.
    Failed {
        /// Whether an earlier batch had one.
        worked: bool,
    },
}

/// The task that sends to one address.
struct Sender {
    identity: options::Identity,
    options: options::PeerOptions,
    address: sync::Arc<str>,
    link: Link,
    links: Links,
    traffic: sync::Arc<traffic::Traffic>,
}

impl Sender {
    async fn run(self) {
        let mut pause = self.options.backoff_min;
        loop {
            match self.connect().await {
                Ok(client) => match self.send_all(client).await {
                    Closed::Idle => return,
                    Closed::Failed { worked: true } => pause = self.options.backoff_min,
                    Closed::Failed { worked: false } => {}
                },
                Err(error) => {
                    tracing::debug!(address = %self.address, %error, "no connection to a peer");
                    if self.link.is_empty() && self.retire() {
                        return;
                    }
                }
            }
            tokio::time::sleep(pause).await;
            pause = pause.saturating_mul(2).min(self.options.backoff_max);
        }
    }

    async fn connect(&self) -> std::result::Result<ws_client::WsClient, ClientError> {
        let max_bytes = u32::try_from(self.options.max_message_bytes).unwrap_or(u32::MAX);
        let mut headers = http::HeaderMap::new();
        // Names of hosts are visible ASCII by the rules of the settings.
        if let Ok(host) = http::HeaderValue::from_str(&self.identity.host) {
            headers.insert(options::HOST_HEADER, host);
        }
        let build = ws_client::WsClientBuilder::default()
            .set_headers(headers)
            .max_request_size(max_bytes)
            .max_response_size(max_bytes)
            .connection_timeout(self.options.connect_timeout)
            .request_timeout(self.options.receipt_timeout)
            .set_tcp_no_delay(true)
            .build(format!("ws://{}", self.address));
        // The builder's own limit covers the connection, this one also the handshake.
        match tokio::time::timeout(self.options.connect_timeout, build).await {
            Ok(client) => client,
            Err(_) => Err(ClientError::RequestTimeout),
        }
    }

    /// Sends batches over a connection until one has no receipt or the link is idle.
    async fn send_all(&self, client: ws_client::WsClient) -> Closed {
        let client = sync::Arc::new(client);
        let mut receipts = task::JoinSet::new();
        let mut worked = false;
        loop {
            // Wait for a message or a receipt, whichever comes first.
            let first = tokio::select! {
                biased;
                Some(receipt) = receipts.join_next() => {
                    if !matches!(receipt, Ok(true)) {
                        return Closed::Failed { worked };
                    }
                    worked = true;
                    continue;
                }
                first = self.link.pop(), if receipts.len() < self.options.batches_in_flight => {
                    first
                }
                () = tokio::time::sleep(self.options.idle_timeout) => {
                    if receipts.is_empty() && self.retire() {
                        return Closed::Idle;
                    }
                    continue;
                }
            };
            let batch = self.fill_batch(first);
            if batch.is_empty() {
                continue;
            }
            receipts.spawn(send_batch(sync::Arc::clone(&client), batch));
        }
    }

    /// Writes the first message and those that wait behind it, up to the limits of a batch.
    fn fill_batch(&self, first: Waiting) -> Vec<Box<RawValue>> {
        let mut batch = Vec::new();
        let mut size_bytes = 0;
        let mut next = Some(first);
        while let Some((incarnation, message)) = next {
            if let Some(text) = self.write(incarnation, &message) {
                size_bytes += text.get().len();
                self.traffic.count_sent(traffic::LinkKind::Peers, text.get().len());
                batch.push(text);
            }
            // A batch is kept below half of the limit: a message that would be too large together
            // with others has then been sent alone.
            let full = batch.len() >= self.options.batch_limit
                || size_bytes > self.options.max_message_bytes / 4;
            next = if full { None } else { self.link.try_pop() };
        }
        batch
    }

    fn write(
        &self,
        incarnation: ids::Incarnation,
        message: &message::Message,
    ) -> Option<Box<RawValue>> {
        let outgoing = Outgoing {
            from: &self.identity.host,
            incarnation,
            token: &self.identity.cell_token,
            message,
        };
        let text = match serde_json::value::to_raw_value(&outgoing) {
            Ok(text) => text,
            Err(error) => {
                tracing::error!(%error, "a message to a peer cannot be written");
                return None;
            }
        };
        if text.get().len() > self.options.max_message_bytes / 2 {
            let size_bytes = text.get().len();
            tracing::error!(size_bytes, "a message to a peer is too large and is dropped");
            return None;
        }
        Some(text)
    }

    /// Takes the link off the table unless there is something to send.
    fn retire(&self) -> bool {
        let mut links = self.links.lock().expect("no holder of the lock panics");
        if !self.link.is_empty() {
            return false;
        }
        links.remove(&self.address);
        true
    }
}

/// Sends a batch and waits for its receipts. Returns whether the connection works.
async fn send_batch(client: sync::Arc<ws_client::WsClient>, batch: Vec<Box<RawValue>>) -> bool {
    let mut calls = params::BatchRequestBuilder::new();
    for text in batch {
        let mut parameters = params::ArrayParams::new();
        if parameters.insert(text).is_err() || calls.insert(SEND_METHOD, parameters).is_err() {
            tracing::error!("a message to a peer cannot be written");
            return true;
        }
    }
    match client.batch_request::<bool>(calls).await {
        Ok(receipts) => {
            if receipts.num_failed_calls() > 0 {
                tracing::warn!(failed = receipts.num_failed_calls(), "a peer refuses messages");
            }
            true
        }
        Err(error) => {
            tracing::debug!(%error, "a batch to a peer has no receipt");
            false
        }
    }
}
