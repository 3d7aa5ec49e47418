//! Slow, silent and disconnecting callers, over real sockets.

mod support;

use std::io::{Read, Write};
use std::net;
use std::thread;
use std::time;

use pier_core::caller::{Outcome, RefusalKind};
use pier_front::Options;
use support::{Fixture, KEY, Response, eventually, request};

const SHORT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

fn short_options() -> Options {
    Options {
        header_timeout: SHORT_TIMEOUT,
        body_timeout: SHORT_TIMEOUT,
        idle_timeout: SHORT_TIMEOUT,
        write_timeout: SHORT_TIMEOUT,
        linger_timeout: SHORT_TIMEOUT,
        ..Options::default()
    }
}

fn is_closed(stream: &mut net::TcpStream) -> bool {
    let mut byte = [0];
    !matches!(stream.read(&mut byte), Ok(1))
}

fn head(length: usize) -> String {
    format!(
        "POST /v1/queues/quote/tasks HTTP/1.1\r\nhost: p\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {length}\r\n\r\n"
    )
}

/// Guards against a connection that stays open because its head arrives a byte at a time.
#[test]
fn a_slow_head_times_out() {
    let fixture = Fixture::start(short_options());
    let mut stream = fixture.connect();
    let began = time::Instant::now();
    let mut writer = stream.try_clone().expect("a second handle");
    let writer_thread = thread::spawn(move || {
        for byte in head(1).bytes().cycle().take(200) {
            if writer.write_all(&[byte]).is_err() {
                return;
            }
            thread::sleep(time::Duration::from_millis(20));
        }
    });
    let response = Response::read(&mut stream).expect("a response");
    assert_eq!((response.status, response.refusal().outcome), (408, Outcome::NotRun));
    assert!(began.elapsed() < SHORT_TIMEOUT * 4, "cut off after {:?}", began.elapsed());
    writer_thread.join().expect("the writer ends");
    assert!(eventually(|| fixture.server.connections() == 0));
}

/// Guards against connections that stay open although they never send anything.
#[test]
fn a_silent_connection_is_closed() {
    let fixture = Fixture::start(short_options());
    let mut stream = fixture.connect();
    assert!(is_closed(&mut stream));
    assert!(eventually(|| fixture.server.connections() == 0));
}

/// Guards against keep-alive connections that stay open forever after a request.
#[test]
fn an_idle_connection_is_closed_after_its_timeout() {
    let fixture = Fixture::start(short_options());
    let mut stream = fixture.connect();
    for _ in 0..2 {
        stream.write_all(request("quote", "", "x").as_bytes()).expect("the request is sent");
        assert_eq!(Response::read(&mut stream).expect("a response").status, 200);
    }
    let began = time::Instant::now();
    assert!(is_closed(&mut stream));
    assert!(began.elapsed() >= SHORT_TIMEOUT / 2, "closed after {:?}", began.elapsed());
}

/// Guards against a request that waits forever for the rest of its body.
#[test]
fn a_stalled_body_is_refused() {
    let fixture = Fixture::start(short_options());
    let mut stream = fixture.connect();
    stream.write_all(head(100).as_bytes()).expect("the head is sent");
    stream.write_all(b"a part").expect("a part of the body is sent");
    let response = Response::read(&mut stream).expect("a response");
    assert_eq!(response.status, 408);
    let refusal = response.refusal();
    assert_eq!((refusal.kind, refusal.outcome), (RefusalKind::BodyIncomplete, Outcome::NotRun));
    assert!(fixture.received.is_empty(), "the request must not reach the control thread");
    assert!(is_closed(&mut stream));
}

/// Guards against a truncated body that is treated as complete.
#[test]
fn a_truncated_body_is_refused() {
    let fixture = Fixture::start(short_options());
    let mut stream = fixture.connect();
    stream.write_all(head(100).as_bytes()).expect("the head is sent");
    stream.write_all(b"a part").expect("a part of the body is sent");
    stream.shutdown(net::Shutdown::Write).expect("the write side closes");
    let response = Response::read(&mut stream).expect("a response");
    assert_eq!((response.status, response.refusal().kind), (408, RefusalKind::BodyIncomplete));
    assert!(eventually(|| fixture.server.requests() == 0));
    assert!(fixture.received.is_empty(), "the request must not reach the control thread");
}

/// Guards against a chunked body that is read past the limit because its size is not declared, and
/// against a refusal that the caller loses because it is still sending the body.
#[test]
fn a_large_body_is_refused_while_it_is_still_sent() {
    let fixture = Fixture::start(Options { max_body_bytes: 10_000, ..short_options() });
    for chunked in [true, false] {
        let mut stream = fixture.connect();
        let framing =
            if chunked { "transfer-encoding: chunked" } else { "content-length: 4000000" };
        let head = format!("POST /v1/queues/quote/tasks HTTP/1.1\r\nhost: p\r\n{framing}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("the head is sent");
        let mut writer = stream.try_clone().expect("a second handle");
        let sender = thread::spawn(move || {
            for _ in 0..1_000 {
                let chunk = format!("fa0\r\n{}\r\n", "x".repeat(4_000));
                if writer.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
            }
        });
        let response = Response::read(&mut stream).expect("a response");
        assert_eq!((response.status, response.refusal().kind), (413, RefusalKind::BodyTooLarge));
        sender.join().expect("the sender ends");
    }
}

/// Guards against a disconnect that is not reported to the control thread, so that the
/// request continues.
#[test]
fn a_disconnect_is_reported_to_the_control_thread() {
    let fixture = Fixture::start(Options::default());
    let mut stream = fixture.connect();
    stream.write_all(request("hold", "", "x").as_bytes()).expect("the request is sent");
    fixture.received.recv_timeout(support::TIMEOUT).expect("the request");
    drop(stream);
    fixture.disconnected.recv_timeout(support::TIMEOUT).expect("the disconnect is reported");
    assert!(eventually(|| fixture.server.requests() == 0 && fixture.server.connections() == 0));
}

/// Guards against callers that wait forever when the control thread does not answer, and against
/// reporting such a request as not run.
#[test]
fn a_request_without_an_answer_has_an_unknown_outcome() {
    let fixture = Fixture::start(Options { answer_grace: SHORT_TIMEOUT, ..Options::default() });
    let response = fixture.send(&request("hold", "pier-deadline-ms: 100\r\n", "x"));
    assert_eq!((response.status, response.refusal().outcome), (502, Outcome::Unknown));
    fixture.disconnected.recv_timeout(support::TIMEOUT).expect("the control thread is notified");
}

/// Guards against a key whose requests use up the capacity of others.
#[test]
fn a_key_over_its_request_limit_does_not_affect_others() {
    let fixture = Fixture::start(Options { max_requests_per_key: 3, ..Options::default() });
    let mut streams = Vec::new();
    for _ in 0..3 {
        let mut stream = fixture.connect();
        stream.write_all(request("hold", "", "x").as_bytes()).expect("the request is sent");
        streams.push(stream);
        fixture.received.recv_timeout(support::TIMEOUT).expect("the request");
    }
    let response = fixture.send(&request("quote", "", "x"));
    assert_eq!((response.status, response.refusal().kind), (503, RefusalKind::Overloaded));
    assert_eq!(response.header("retry-after"), Some("1"));
    let other = request("quote", "", "x").replace(KEY, "another-key");
    assert_eq!(fixture.send(&other).status, 200);
    drop(streams);
    assert!(eventually(|| fixture.send(&request("quote", "", "x")).status == 200));
}

/// Guards against bodies that together use more memory than allowed.
#[test]
fn the_total_size_of_open_bodies_is_limited() {
    let fixture = Fixture::start(Options { max_bodies_per_key_bytes: 1_500, ..Options::default() });
    let mut stream = fixture.connect();
    let body = "x".repeat(1_000);
    stream.write_all(request("hold", "", &body).as_bytes()).expect("the request is sent");
    fixture.received.recv_timeout(support::TIMEOUT).expect("the request");
    let response = fixture.send(&request("quote", "", &body));
    assert_eq!((response.status, response.refusal().kind), (503, RefusalKind::Overloaded));
    assert_eq!(fixture.send(&request("quote", "", "small")).status, 200);
}

/// Guards against a full table that accepts further connections, and against idle connections that
/// block callers with requests.
#[test]
fn a_full_table_closes_idle_connections_and_refuses_the_rest() {
    let fixture = Fixture::start(Options { max_connections: 3, ..Options::default() });
    let mut idle = fixture.connect();
    let mut busy = Vec::new();
    for _ in 0..3 {
        let mut stream = fixture.connect();
        stream.write_all(request("hold", "", "x").as_bytes()).expect("the request is sent");
        fixture.received.recv_timeout(support::TIMEOUT).expect("the request");
        busy.push(stream);
    }
    assert!(is_closed(&mut idle), "the idle connection is evicted");
    let response = fixture.send(&request("quote", "", "x"));
    assert_eq!((response.status, response.refusal().kind), (503, RefusalKind::Overloaded));
    drop(busy);
    assert!(eventually(|| fixture.send(&request("quote", "", "x")).status == 200));
}

/// Guards against a shutdown that aborts a request or keeps idle connections open.
#[test]
fn a_shutdown_completes_open_requests() {
    let fixture = Fixture::start(Options::default());
    let mut idle = fixture.connect();
    idle.write_all(request("quote", "", "x").as_bytes()).expect("the request is sent");
    assert_eq!(Response::read(&mut idle).expect("a response").status, 200);
    fixture.received.recv_timeout(support::TIMEOUT).expect("the request");
    let mut first = fixture.connect();
    first.write_all(request("swap", "", "first").as_bytes()).expect("the request is sent");
    fixture.received.recv_timeout(support::TIMEOUT).expect("the request");
    let mut second = fixture.connect();
    second.write_all(head(6).as_bytes()).expect("the head is sent");
    assert!(eventually(|| fixture.server.requests() == 2));

    fixture.server.close();
    assert!(is_closed(&mut idle));
    assert!(eventually(|| net::TcpStream::connect(fixture.server.address()).is_err()));
    assert_eq!(fixture.server.requests(), 2, "the open requests continue");
    second.write_all(b"second").expect("the body is sent");
    drop(second);
    drop(first);
    fixture.runtime.block_on(async {
        tokio::time::timeout(support::TIMEOUT, fixture.server.closed()).await.expect("all closed");
    });
}
