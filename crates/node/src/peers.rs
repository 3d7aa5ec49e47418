//! Connections between hosts: frames of JSON over TCP.
//!
//! Messages are one-way and need no response, so JSON-RPC calls would double their number. A frame
//! is a length of four bytes in big-endian order, followed by that many bytes of JSON.

use std::cell::RefCell;
use std::rc;
use std::sync;
use std::time;

use pier_cell::event::Event;
use pier_cell::peer::{Message, PeerInfo};
use pier_core::clock::Clock;
use pier_core::ids;
use pier_core::map::Map;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::task;

use crate::engine::Input;

/// The time without a message to send after which a keep-alive message is sent.
const KEEP_ALIVE_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// The maximum time until the next message is received, and of a write. A connection that exceeds
/// it is closed, because connections may stop delivering data without a reset.
const INACTIVITY_TIMEOUT: time::Duration = time::Duration::from_millis(700);
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(150);
/// The maximum size of a frame in bytes. The callers' interface limits the size of a submission.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// The maximum number of messages in the send queue of a connection. When the queue is full, the
/// connection is closed.
const MAX_QUEUED_MESSAGES: usize = 4_096;
/// The greatest age of a worker call at which it is passed on. A process that was paused drops the
/// calls in its send queues, and closes connections on which older ones may have arrived meanwhile.
const MAX_CALL_AGE: time::Duration = time::Duration::from_millis(1_000);
/// The maximum number of connections with other hosts. Further ones are refused.
const MAX_CONNECTIONS: usize = 256;

type Links = rc::Rc<RefCell<Map<ids::HostId, Link>>>;

struct Link {
    connection_id: u64,
    queue: flume::Sender<Queued>,
}

/// A message with the time at which it was queued.
struct Queued {
    at: time::Duration,
    message: Message,
}

/// The connections of a host to other hosts. All of them are served by tasks of one thread.
pub struct Peers {
    shared: rc::Rc<Shared>,
    outgoing: RefCell<Option<task::JoinHandle<()>>>,
}

struct Shared {
    local: PeerInfo,
    clock: sync::Arc<dyn Clock>,
    links: Links,
    inputs: flume::Sender<Input>,
    next_connection_id: RefCell<u64>,
}

impl Peers {
    /// Accepts connections on `listener` and sends their events to `inputs`. The clock must advance
    /// while the process is paused.
    pub fn start(
        local: PeerInfo,
        clock: sync::Arc<dyn Clock>,
        listener: TcpListener,
        inputs: flume::Sender<Input>,
    ) -> Self {
        let shared = rc::Rc::new(Shared {
            local,
            clock,
            links: Links::default(),
            inputs,
            next_connection_id: RefCell::new(0),
        });
        task::spawn_local(accept(rc::Rc::clone(&shared), listener));
        Self { shared, outgoing: RefCell::new(None) }
    }

    /// Closes the current outgoing connection, if any. If a host is given, connects to it and
    /// reconnects whenever the connection ends.
    pub fn connect(&self, to: Option<(ids::HostId, sync::Arc<str>)>) {
        if let Some(task) = self.outgoing.borrow_mut().take() {
            task.abort();
        }
        let Some((host, address)) = to else {
            return;
        };
        let shared = rc::Rc::clone(&self.shared);
        let connect_task = task::spawn_local(async move {
            loop {
                let connect = TcpStream::connect(&*address);
                match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
                    Ok(Ok(stream)) => run_connection(rc::Rc::clone(&shared), stream).await,
                    Ok(Err(error)) => tracing::debug!(%host, %error, "cannot connect to host"),
                    Err(_) => tracing::debug!(%host, "connecting to host timed out"),
                }
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        });
        *self.outgoing.borrow_mut() = Some(connect_task);
    }

    /// Sends a message to a connected host. A message to a host that is not connected is dropped:
    /// an event reports the lost connection to its sender.
    pub fn send(&self, to: &ids::HostId, message: Message) {
        let mut links = self.shared.links.borrow_mut();
        let Some(link) = links.get(to) else {
            return;
        };
        let queued = Queued { at: self.shared.clock.now(), message };
        if link.queue.try_send(queued).is_err() {
            // The peer reads too slowly. The event tells those who wait for a response from it that
            // none will come.
            tracing::warn!(host = %to, "closing a connection: its send queue is full");
            links.remove(to);
            send_input(&self.shared, Event::PeerDisconnected { host: ids::HostId::clone(to) });
        }
    }
}

async fn accept(shared: rc::Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if shared.links.borrow().len() >= MAX_CONNECTIONS {
                    tracing::warn!("refused a connection of a host: too many connections");
                    continue;
                }
                task::spawn_local(run_connection(rc::Rc::clone(&shared), stream));
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection of a host");
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

/// Removes a connection from the links and reports that it is gone when dropped, so that this also
/// happens when the task of the connection is aborted.
struct LinkGuard {
    shared: rc::Rc<Shared>,
    peer: ids::HostId,
    connection_id: u64,
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        let mut links = self.shared.links.borrow_mut();
        // A newer connection with the same host may have replaced this one.
        if links.get(&self.peer).is_some_and(|link| link.connection_id == self.connection_id) {
            links.remove(&self.peer);
            let event = Event::PeerDisconnected { host: ids::HostId::clone(&self.peer) };
            send_input(&self.shared, event);
        }
    }
}

fn send_input(shared: &Shared, event: Event) {
    // The receiver is dropped only when the process exits, so that a failure can be ignored.
    let _ = shared.inputs.send(Input::Event(event));
}

async fn run_connection(shared: rc::Rc<Shared>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "cannot set TCP_NODELAY");
    }
    let (read, write) = stream.into_split();
    let mut read = BufReader::new(read);
    let (queue, messages) = flume::bounded(MAX_QUEUED_MESSAGES);
    let hello = Message::Hello(shared.local.clone());
    if queue.send(Queued { at: shared.clock.now(), message: hello }).is_err() {
        return;
    }
    let writer =
        task::spawn_local(write_messages(sync::Arc::clone(&shared.clock), write, messages));
    let info = match read_message(&mut read).await {
        Some(Message::Hello(info)) => info,
        _ => {
            writer.abort();
            return;
        }
    };
    let peer = ids::HostId::clone(&info.host);
    let connection_id = {
        let mut next_id = shared.next_connection_id.borrow_mut();
        *next_id += 1;
        *next_id
    };
    shared.links.borrow_mut().insert(ids::HostId::clone(&peer), Link { connection_id, queue });
    let guard = LinkGuard {
        shared: rc::Rc::clone(&shared),
        peer: ids::HostId::clone(&peer),
        connection_id,
    };
    let from = || ids::HostId::clone(&peer);
    let message = Message::Hello(info);
    send_input(&shared, Event::PeerMessage { from: from(), message });
    let mut read_at = shared.clock.now();
    while let Some(message) = read_message(&mut read).await {
        if writer.is_finished() {
            break;
        }
        // Keep-alive messages arrive more often than this unless the process was paused. The
        // message may have arrived long ago.
        let now = shared.clock.now();
        if now > read_at.saturating_add(MAX_CALL_AGE) {
            tracing::warn!(%peer, "closing a connection: it was not read for too long");
            break;
        }
        read_at = now;
        if !matches!(message, Message::Alive) {
            send_input(&shared, Event::PeerMessage { from: from(), message });
        }
    }
    drop(guard);
    writer.abort();
}

/// Reads the next message. Returns `None` if the connection has ended, the timeout has passed or a
/// frame is invalid.
async fn read_message(read: &mut BufReader<tcp::OwnedReadHalf>) -> Option<Message> {
    let read_frame = async {
        let length = usize::try_from(read.read_u32().await.ok()?).ok()?;
        if length > MAX_FRAME_BYTES {
            tracing::warn!(length, "frame of a host exceeds the size limit");
            return None;
        }
        let mut frame = vec![0; length];
        read.read_exact(&mut frame).await.ok()?;
        match serde_json::from_slice(&frame) {
            Ok(message) => Some(message),
            Err(error) => {
                tracing::warn!(%error, "cannot parse a frame of a host");
                None
            }
        }
    };
    tokio::time::timeout(INACTIVITY_TIMEOUT, read_frame).await.ok().flatten()
}

async fn write_messages(
    clock: sync::Arc<dyn Clock>,
    mut write: tcp::OwnedWriteHalf,
    messages: flume::Receiver<Queued>,
) {
    let push = |buffer: &mut Vec<u8>, queued: Queued| {
        let is_call = matches!(queued.message, Message::Call(_));
        if is_call && clock.now() > queued.at.saturating_add(MAX_CALL_AGE) {
            tracing::warn!("dropped a worker call that was queued for too long");
            return;
        }
        push_frame(buffer, &queued.message);
    };
    loop {
        let mut buffer = Vec::new();
        match tokio::time::timeout(KEEP_ALIVE_INTERVAL, messages.recv_async()).await {
            Ok(Ok(queued)) => push(&mut buffer, queued),
            Ok(Err(flume::RecvError::Disconnected)) => return,
            Err(_) => push_frame(&mut buffer, &Message::Alive),
        }
        for queued in messages.try_iter() {
            push(&mut buffer, queued);
        }
        match tokio::time::timeout(INACTIVITY_TIMEOUT, write.write_all(&buffer)).await {
            Ok(Ok(())) => {}
            _ => return,
        }
    }
}

fn push_frame(buffer: &mut Vec<u8>, message: &Message) {
    let body = serde_json::to_vec(message).expect("messages have only string keys");
    let length = u32::try_from(body.len()).expect("messages are bounded");
    buffer.extend_from_slice(&length.to_be_bytes());
    buffer.extend_from_slice(&body);
}
