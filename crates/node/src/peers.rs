//! Connections between hosts: frames of JSON over TCP.
//!
//! Messages go one way and need no answer, so calls of JSON-RPC would double their number. Each
//! frame is a length of four bytes and that many bytes.

use std::cell::RefCell;
use std::rc;
use std::sync;
use std::time;

use pier_cell::event::Event;
use pier_cell::peer::{Message, PeerInfo};
use pier_core::ids;
use pier_core::map::Map;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::task;

use crate::engine::Input;

/// A connection without a message sends a sign of life so often.
const ALIVE_EVERY: time::Duration = time::Duration::from_millis(200);
/// A connection that has been silent for so long is given up: connections may go silent without a
/// reset.
const SILENCE: time::Duration = time::Duration::from_millis(700);
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
const RECONNECT_PAUSE: time::Duration = time::Duration::from_millis(150);
/// The most bytes of a frame. A submission is bounded by the callers' interface.
const MOST_FRAME_BYTES: usize = 1 << 20;
/// The most messages that wait for a connection. With more it is given up.
const MOST_QUEUED: usize = 4_096;
/// The most connections that are taken from other hosts.
const MOST_CONNECTIONS: usize = 256;

type Links = rc::Rc<RefCell<Map<ids::HostId, Link>>>;

struct Link {
    number: u64,
    queue: flume::Sender<Message>,
}

/// The connections of a host. It belongs to one thread.
pub struct Peers {
    shared: rc::Rc<Shared>,
    outgoing: RefCell<Option<task::JoinHandle<()>>>,
}

struct Shared {
    me: PeerInfo,
    links: Links,
    inputs: flume::Sender<Input>,
    next_number: RefCell<u64>,
}

impl Peers {
    /// Takes connections on `listener` and sends what happens to `inputs`.
    pub fn start(me: PeerInfo, listener: TcpListener, inputs: flume::Sender<Input>) -> Self {
        let shared = rc::Rc::new(Shared {
            me,
            links: Links::default(),
            inputs,
            next_number: RefCell::new(0),
        });
        task::spawn_local(accept(rc::Rc::clone(&shared), listener));
        Self { shared, outgoing: RefCell::new(None) }
    }

    /// Keeps a connection to this host and to no other.
    pub fn connect(&self, to: Option<(ids::HostId, sync::Arc<str>)>) {
        if let Some(task) = self.outgoing.borrow_mut().take() {
            task.abort();
        }
        let Some((host, address)) = to else {
            return;
        };
        let shared = rc::Rc::clone(&self.shared);
        let keep = task::spawn_local(async move {
            loop {
                let connecting = TcpStream::connect(&*address);
                match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
                    Ok(Ok(stream)) => serve(rc::Rc::clone(&shared), stream).await,
                    Ok(Err(error)) => tracing::debug!(%host, %error, "no connection"),
                    Err(_) => tracing::debug!(%host, "no connection in time"),
                }
                tokio::time::sleep(RECONNECT_PAUSE).await;
            }
        });
        *self.outgoing.borrow_mut() = Some(keep);
    }

    /// Sends to a connected host. A message to a host that is not connected is dropped: its sender
    /// hears of the lost connection.
    pub fn send(&self, to: &ids::HostId, message: Message) {
        let mut links = self.shared.links.borrow_mut();
        let Some(link) = links.get(to) else {
            return;
        };
        if link.queue.try_send(message).is_err() {
            // Its reader does not keep up. What waits for an answer must hear that none comes.
            tracing::warn!(host = %to, "connection given up, its queue is full");
            links.remove(to);
            send_input(&self.shared, Event::PeerDisconnected { host: ids::HostId::clone(to) });
        }
    }
}

async fn accept(shared: rc::Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if shared.links.borrow().len() >= MOST_CONNECTIONS {
                    tracing::warn!("connection of a host refused, there are too many");
                    continue;
                }
                task::spawn_local(serve(rc::Rc::clone(&shared), stream));
            }
            Err(error) => {
                tracing::warn!(%error, "connection of a host not taken");
                tokio::time::sleep(RECONNECT_PAUSE).await;
            }
        }
    }
}

/// Removes the connection and reports it, also when its task is aborted.
struct Registered {
    shared: rc::Rc<Shared>,
    peer: ids::HostId,
    number: u64,
}

impl Drop for Registered {
    fn drop(&mut self) {
        let mut links = self.shared.links.borrow_mut();
        // A newer connection with the host may have taken the place.
        if links.get(&self.peer).is_some_and(|link| link.number == self.number) {
            links.remove(&self.peer);
            let gone = Event::PeerDisconnected { host: ids::HostId::clone(&self.peer) };
            send_input(&self.shared, gone);
        }
    }
}

fn send_input(shared: &Shared, event: Event) {
    // The receiver is gone only while the process ends.
    let _ = shared.inputs.send(Input::Event(event));
}

async fn serve(shared: rc::Rc<Shared>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "no immediate sending");
    }
    let (read, write) = stream.into_split();
    let mut read = BufReader::new(read);
    let (queue, messages) = flume::bounded(MOST_QUEUED);
    let hello = Message::Hello(shared.me.clone());
    if queue.send(hello).is_err() {
        return;
    }
    let writer = task::spawn_local(write_all(write, messages));
    let info = match read_message(&mut read).await {
        Some(Message::Hello(info)) => info,
        _ => {
            writer.abort();
            return;
        }
    };
    let peer = ids::HostId::clone(&info.host);
    let number = {
        let mut next = shared.next_number.borrow_mut();
        *next += 1;
        *next
    };
    shared.links.borrow_mut().insert(ids::HostId::clone(&peer), Link { number, queue });
    let registered =
        Registered { shared: rc::Rc::clone(&shared), peer: ids::HostId::clone(&peer), number };
    let from = || ids::HostId::clone(&peer);
    let message = Message::Hello(info);
    send_input(&shared, Event::PeerMessage { from: from(), message });
    while let Some(message) = read_message(&mut read).await {
        if writer.is_finished() {
            break;
        }
        if !matches!(message, Message::Alive) {
            send_input(&shared, Event::PeerMessage { from: from(), message });
        }
    }
    drop(registered);
    writer.abort();
}

/// The next message; none when the connection has ended, has been silent or makes no sense.
async fn read_message(read: &mut BufReader<tcp::OwnedReadHalf>) -> Option<Message> {
    let reading = async {
        let length = usize::try_from(read.read_u32().await.ok()?).ok()?;
        if length > MOST_FRAME_BYTES {
            tracing::warn!(length, "frame of a host is too long");
            return None;
        }
        let mut frame = vec![0; length];
        read.read_exact(&mut frame).await.ok()?;
        match serde_json::from_slice(&frame) {
            Ok(message) => Some(message),
            Err(error) => {
                tracing::warn!(%error, "frame of a host cannot be read");
                None
            }
        }
    };
    tokio::time::timeout(SILENCE, reading).await.ok().flatten()
}

async fn write_all(mut write: tcp::OwnedWriteHalf, messages: flume::Receiver<Message>) {
    loop {
        let mut buffer = Vec::new();
        match tokio::time::timeout(ALIVE_EVERY, messages.recv_async()).await {
            Ok(Ok(message)) => push_frame(&mut buffer, &message),
            Ok(Err(flume::RecvError::Disconnected)) => return,
            Err(_) => push_frame(&mut buffer, &Message::Alive),
        }
        for message in messages.try_iter() {
            push_frame(&mut buffer, &message);
        }
        match tokio::time::timeout(SILENCE, write.write_all(&buffer)).await {
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
