//! Messages between hosts over JSON-RPC on WebSocket.
//!
//! Delivery is not guaranteed: a message may be lost, late, repeated or out of order. The
//! acknowledgement of a message only tells the sender that the connection works.

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

/// The RPC method that receives a message.
pub const SEND_METHOD: &str = "peer_send";

/// The JSON-RPC error code of a message with a wrong cell token.
pub const BAD_TOKEN_CODE: i32 = -32_011;

/// Builds the RPC module with the method `peer_send`, which sends each message as [`Event::Peer`]
/// to `events`. A message is dropped if `events` is full. The bytes of all messages are counted in
/// `traffic`.
///
/// # Errors
/// [`Error::DuplicateMethod`], which would be a bug in this module.
pub fn module(
    identity: &options::Identity,
    events: flume::Sender<Event>,
    traffic: sync::Arc<traffic::Traffic>,
) -> Result<jsonrpsee::RpcModule<()>> {
    let token = keys::KeyHash::of(&identity.cell_token);
    let mut methods = jsonrpsee::RpcModule::new(());
    let receive = move |params: types::Params<'_>, _: &(), _: &jsonrpsee::Extensions| {
        let size_bytes = params.as_str().map_or(0, str::len);
        traffic.count_received(traffic::LinkKind::Peers, size_bytes);
        let envelope: message::Envelope = params.one()?;
        if !token.matches(&envelope.token) {
            let text = "the cell token is invalid";
            return Err(ErrorObjectOwned::owned(BAD_TOKEN_CODE, text, None::<()>));
        }
        let message::Envelope { from, incarnation, message, .. } = envelope;
        if events.try_send(Event::Peer { from, incarnation, message }).is_err() {
            tracing::warn!("dropped a message of a peer: the event queue is full");
        }
        Ok(true)
    };
    methods
        .register_method(SEND_METHOD, receive)
        .map_err(|_| Error::DuplicateMethod { name: SEND_METHOD })?;
    Ok(methods)
}

/// An envelope that borrows its parts, for serialization.
#[derive(Serialize)]
struct EnvelopeRef<'a> {
    from: &'a str,
    incarnation: ids::Incarnation,
    token: &'a str,
    message: &'a message::Message,
}

/// A message that waits to be sent, with the incarnation of this host that sends it.
type QueuedMessage = (ids::Incarnation, message::Message);
type Link = sync::Arc<queue::DropOldestQueue<QueuedMessage>>;
type Links = sync::Arc<sync::Mutex<collections::BTreeMap<sync::Arc<str>, Link>>>;

/// The outgoing links to peers, each with a queue and a connection, by address.
#[derive(Debug, Clone)]
pub struct PeerLinks {
    identity: options::Identity,
    options: options::PeerOptions,
    runtime: runtime::Handle,
    links: Links,
    traffic: sync::Arc<traffic::Traffic>,
}

impl PeerLinks {
    /// Creates an empty set of links. Links connect and send on `runtime`, from the first message
    /// to their address on.
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

    /// Queues a message for the peer at `address` (`ip:port`) without blocking. If the queue is
    /// full, the oldest message to that peer is dropped.
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
                let link = Link::new(queue::DropOldestQueue::new(self.options.queue_limit));
                links.insert(sync::Arc::clone(address), sync::Arc::clone(&link));
                let sender = LinkSender {
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
        // The message is added while `links` is locked, so that a link cannot be removed as idle in
        // between.
        if link.push((incarnation, message)).is_some() {
            tracing::debug!(peer = %to, "dropped the oldest message to a peer: the queue is full");
        }
    }
}

/// Why sending over a connection ended.
enum SendEnd {
    /// Nothing was sent for the idle timeout, and the link was removed.
    Idle,
    /// A batch was not acknowledged.
    Failed {
        /// Whether an earlier batch on the connection was acknowledged.
        was_acknowledged: bool,
    },
}

/// The state of the task that sends to one address.
struct LinkSender {
    identity: options::Identity,
    options: options::PeerOptions,
    address: sync::Arc<str>,
    link: Link,
    links: Links,
    traffic: sync::Arc<traffic::Traffic>,
}

impl LinkSender {
    async fn run(self) {
        let mut backoff = self.options.backoff_min;
        loop {
            match self.connect().await {
                Ok(client) => match self.send_all(client).await {
                    SendEnd::Idle => return,
                    SendEnd::Failed { was_acknowledged: true } => {
                        backoff = self.options.backoff_min
                    }
                    SendEnd::Failed { was_acknowledged: false } => {}
                },
                Err(error) => {
                    tracing::debug!(address = %self.address, %error, "cannot connect to a peer");
                    if self.link.is_empty() && self.remove_if_empty() {
                        return;
                    }
                }
            }
            tokio::time::sleep(backoff).await;
            backoff = backoff.saturating_mul(2).min(self.options.backoff_max);
        }
    }

    async fn connect(&self) -> std::result::Result<ws_client::WsClient, ClientError> {
        let max_bytes = u32::try_from(self.options.max_message_bytes).unwrap_or(u32::MAX);
        let mut headers = http::HeaderMap::new();
        // The settings restrict host ids to visible ASCII, so the conversion does not fail.
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
        // The builder's timeout covers the connect, this one also the handshake.
        match tokio::time::timeout(self.options.connect_timeout, build).await {
            Ok(client) => client,
            Err(_) => Err(ClientError::RequestTimeout),
        }
    }

    /// Sends batches over a connection until one is not acknowledged or the link is idle.
    async fn send_all(&self, client: ws_client::WsClient) -> SendEnd {
        let client = sync::Arc::new(client);
        let mut in_flight = task::JoinSet::new();
        let mut was_acknowledged = false;
        loop {
            // Wait for an acknowledgement or a message, whichever comes first.
            let first = tokio::select! {
                biased;
                Some(acknowledged) = in_flight.join_next() => {
                    if !matches!(acknowledged, Ok(true)) {
                        return SendEnd::Failed { was_acknowledged };
                    }
                    was_acknowledged = true;
                    continue;
                }
                first = self.link.pop(), if in_flight.len() < self.options.batches_in_flight => {
                    first
                }
                () = tokio::time::sleep(self.options.idle_timeout) => {
                    if in_flight.is_empty() && self.remove_if_empty() {
                        return SendEnd::Idle;
                    }
                    continue;
                }
            };
            let batch = self.fill_batch(first);
            if batch.is_empty() {
                continue;
            }
            in_flight.spawn(send_batch(sync::Arc::clone(&client), batch));
        }
    }

    /// Encodes the first message and those queued behind it, up to the limits of a batch.
    fn fill_batch(&self, first: QueuedMessage) -> Vec<Box<RawValue>> {
        let mut batch = Vec::new();
        let mut size_bytes = 0;
        let mut next = Some(first);
        while let Some((incarnation, message)) = next {
            if let Some(text) = self.encode(incarnation, &message) {
                size_bytes += text.get().len();
                self.traffic.count_sent(traffic::LinkKind::Peers, text.get().len());
                batch.push(text);
            }
            // A batch takes no more messages once it exceeds a quarter of the size limit. As a
            // message is at most half of the limit, every batch stays below it.
            let full = batch.len() >= self.options.batch_limit
                || size_bytes > self.options.max_message_bytes / 4;
            next = if full { None } else { self.link.try_pop() };
        }
        batch
    }

    fn encode(
        &self,
        incarnation: ids::Incarnation,
        message: &message::Message,
    ) -> Option<Box<RawValue>> {
        let envelope = EnvelopeRef {
            from: &self.identity.host,
            incarnation,
            token: &self.identity.cell_token,
            message,
        };
        let text = match serde_json::value::to_raw_value(&envelope) {
            Ok(text) => text,
            Err(error) => {
                tracing::error!(%error, "cannot encode a message to a peer");
                return None;
            }
        };
        if text.get().len() > self.options.max_message_bytes / 2 {
            let size_bytes = text.get().len();
            tracing::error!(size_bytes, "dropped a message to a peer: it is too large");
            return None;
        }
        Some(text)
    }

    /// Removes the link unless there is a message to send. Returns whether it was removed.
    fn remove_if_empty(&self) -> bool {
        let mut links = self.links.lock().expect("no holder of the lock panics");
        if !self.link.is_empty() {
            return false;
        }
        links.remove(&self.address);
        true
    }
}

/// Sends a batch and waits for its acknowledgement. Returns whether the connection works.
async fn send_batch(client: sync::Arc<ws_client::WsClient>, batch: Vec<Box<RawValue>>) -> bool {
    let mut calls = params::BatchRequestBuilder::new();
    for text in batch {
        let mut parameters = params::ArrayParams::new();
        if parameters.insert(text).is_err() || calls.insert(SEND_METHOD, parameters).is_err() {
            tracing::error!("cannot encode a message to a peer");
            return true;
        }
    }
    match client.batch_request::<bool>(calls).await {
        Ok(responses) => {
            if responses.num_failed_calls() > 0 {
                tracing::warn!(failed = responses.num_failed_calls(), "a peer refused messages");
            }
            true
        }
        Err(error) => {
            tracing::debug!(%error, "a batch to a peer was not acknowledged");
            false
        }
    }
}
