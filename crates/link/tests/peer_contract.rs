//! Contract tests of the links between hosts.

mod support;

use std::net;
use std::sync;
use std::time;

use pier_link::{options, peer, server, traffic};
use pier_state::Event;
use pier_state::message::{JobMessage, Message};

const INCARNATION: u64 = 7;

fn identity(token: &str) -> options::Identity {
    options::Identity { host: "h1".into(), cell_token: token.into() }
}

fn message(number: u64) -> Message {
    Message::Job(JobMessage::Query { ticket: number, job: "j".into() })
}

fn message_number(event: Event) -> Option<u64> {
    let Event::Peer { from, incarnation, message } = event else { return None };
    assert_eq!((&*from, incarnation), ("h1", INCARNATION));
    let Message::Job(JobMessage::Query { ticket, .. }) = message else { return None };
    Some(ticket)
}

async fn serve(
    address: &str,
    events: flume::Sender<Event>,
) -> pier_link::Result<server::RpcServer> {
    serve_counted(address, events, sync::Arc::default()).await
}

async fn serve_counted(
    address: &str,
    events: flume::Sender<Event>,
    traffic: sync::Arc<traffic::Traffic>,
) -> pier_link::Result<server::RpcServer> {
    let methods = peer::module(&identity("secret"), events, traffic)?;
    let options = options::PeerOptions { max_message_bytes: 100_000, ..Default::default() };
    server::RpcServer::start(address.parse().unwrap(), &options, methods).await
}

fn links(token: &str) -> peer::PeerLinks {
    let options = options::PeerOptions {
        max_message_bytes: 100_000,
        receipt_timeout: time::Duration::from_millis(500),
        backoff_max: time::Duration::from_millis(100),
        queue_limit: 1_000,
        ..Default::default()
    };
    peer::PeerLinks::new(identity(token), options, tokio::runtime::Handle::current())
}

fn send(links: &peer::PeerLinks, address: net::SocketAddr, message: Message) {
    links.send(&"h2".into(), &address.to_string().into(), INCARNATION, message);
}

/// Returns the numbers of the first `count` messages, or of those that arrive within 5 s.
async fn collect(events: &flume::Receiver<Event>, count: usize) -> Vec<u64> {
    let mut numbers = Vec::new();
    let deadline = tokio::time::Instant::now() + time::Duration::from_secs(5);
    while numbers.len() < count {
        match tokio::time::timeout_at(deadline, events.recv_async()).await {
            Ok(Ok(event)) => numbers.extend(message_number(event)),
            _ => break,
        }
    }
    numbers
}

/// Guards against messages that are missing from the traffic counts of either host.
#[tokio::test(flavor = "multi_thread")]
async fn both_ends_count_the_same_bytes() {
    let (sender, events) = flume::unbounded();
    let (sent, received) = (sync::Arc::default(), sync::Arc::default());
    let server = serve_counted("127.0.0.1:0", sender, sync::Arc::clone(&received)).await.unwrap();
    let links = links("secret").with_traffic(sync::Arc::clone(&sent));
    for number in 0..50 {
        send(&links, server.local_address(), message(number));
    }
    assert_eq!(collect(&events, 50).await.len(), 50);
    let sent_bytes = sent.bytes(traffic::LinkKind::Peers).sent;
    let received_bytes = received.bytes(traffic::LinkKind::Peers).received;
    assert!(sent_bytes > 50 * 50, "{sent_bytes}");
    // The receiver counts the parameters of a call, an array of one message: two more bytes each.
    assert_eq!(received_bytes, sent_bytes + 50 * 2);
}

/// Guards against messages that are lost or repeated on a working connection.
#[tokio::test(flavor = "multi_thread")]
async fn messages_arrive_once() {
    let (sender, events) = flume::unbounded();
    let server = serve("127.0.0.1:0", sender).await.unwrap();
    let links = links("secret");
    for number in 0..900 {
        send(&links, server.local_address(), message(number));
    }
    let mut numbers = collect(&events, 900).await;
    numbers.sort_unstable();
    let expected: Vec<_> = (0..900).collect();
    assert_eq!(numbers, expected);
}

/// Guards against accepting a message from a process outside the cell.
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_token_is_refused() {
    let (sender, events) = flume::unbounded();
    let server = serve("127.0.0.1:0", sender).await.unwrap();
    for token in ["", "secre", "secret ", "another"] {
        send(&links(token), server.local_address(), message(1));
    }
    let valid = links("secret");
    send(&valid, server.local_address(), message(2));
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let numbers: Vec<_> = events.drain().filter_map(message_number).collect();
    assert_eq!(numbers, [2]);
}

/// Guards against a queue that grows without limit while a peer is unreachable, and against
/// dropping the newest messages instead of the oldest.
#[tokio::test(flavor = "multi_thread")]
async fn the_oldest_messages_are_dropped_while_the_peer_is_unreachable() {
    let url = support::refusing_url();
    let address: net::SocketAddr = url.trim_start_matches("http://").parse().unwrap();
    let links = links("secret");
    for number in 0..1_500 {
        send(&links, address, message(number));
    }
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    let (sender, events) = flume::unbounded();
    let _server = serve(&address.to_string(), sender).await.unwrap();
    let mut numbers = collect(&events, 1_000).await;
    numbers.sort_unstable();
    let expected: Vec<_> = (500..1_500).collect();
    assert_eq!(numbers, expected);
}

/// Guards against a link that does not reconnect after its peer was restarted.
#[tokio::test(flavor = "multi_thread")]
async fn a_link_recovers_after_a_restart() {
    let (sender, events) = flume::unbounded();
    let server = serve("127.0.0.1:0", sender.clone()).await.unwrap();
    let address = server.local_address();
    let links = links("secret");
    send(&links, address, message(1));
    assert_eq!(collect(&events, 1).await, [1]);
    server.stop().await;
    send(&links, address, message(2));
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    let _server = serve(&address.to_string(), sender).await.unwrap();
    for number in 3..20 {
        send(&links, address, message(number));
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    let numbers: Vec<_> = events.drain().filter_map(message_number).collect();
    assert!(numbers.contains(&19), "{numbers:?}");
}

/// Guards against a message over the size limit that blocks or drops others.
#[tokio::test(flavor = "multi_thread")]
async fn only_the_too_large_message_is_dropped() {
    let (sender, events) = flume::unbounded();
    let server = serve("127.0.0.1:0", sender).await.unwrap();
    let links = links("secret");
    let job = "j".repeat(90_000).as_str().into();
    let large = Message::Job(JobMessage::Query { ticket: 1_000, job });
    send(&links, server.local_address(), message(1));
    send(&links, server.local_address(), large);
    for number in 2..50 {
        send(&links, server.local_address(), message(number));
    }
    let mut numbers = collect(&events, 49).await;
    numbers.sort_unstable();
    let expected: Vec<_> = (1..50).collect();
    assert_eq!(numbers, expected);
}

/// Guards against a full event queue that blocks the threads of the server.
#[tokio::test(flavor = "multi_thread")]
async fn a_full_event_queue_drops_messages() {
    let (sender, events) = flume::bounded(3);
    let server = serve("127.0.0.1:0", sender).await.unwrap();
    let links = links("secret");
    for number in 0..100 {
        send(&links, server.local_address(), message(number));
    }
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    assert_eq!(events.len(), 3);
    events.drain().for_each(drop);
    send(&links, server.local_address(), message(100));
    let numbers = collect(&events, 1).await;
    assert_eq!(numbers, [100]);
}
