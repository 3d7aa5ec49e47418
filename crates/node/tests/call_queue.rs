//! Tests of the order in which calls to a worker use its connections.

use pier_node::call_queue::{CallKind, CallQueue};

/// Guards against more calls in progress than there are connections: after a loss of power they
/// would stay in the worker's table.
#[test]
fn a_connection_is_held_by_one_call() {
    let mut queue: CallQueue<u32, &str> = CallQueue::new(vec![1, 2]);
    let first = queue.take().expect("a connection");
    let second = queue.take().expect("a connection");
    assert_ne!(first, second);
    assert_eq!(queue.take(), None);
    assert_eq!(queue.put_back(first), None);
    assert_eq!(queue.take(), Some(first));
}

/// Guards against stops and polls that wait behind a burst of starts: runs go on that must not, and
/// leases are not extended.
#[test]
fn stops_and_polls_come_before_starts() {
    let mut queue: CallQueue<u32, &str> = CallQueue::new(vec![1]);
    let connection = queue.take().expect("a connection");
    let waiting = [
        (CallKind::Start, "start 1"),
        (CallKind::Start, "start 2"),
        (CallKind::Poll, "poll"),
        (CallKind::Stop, "stop 1"),
        (CallKind::Stop, "stop 2"),
    ];
    for (kind, name) in waiting {
        queue.wait(kind, name);
    }
    let mut order = Vec::new();
    let mut connection = Some(connection);
    while let Some((returned, name)) = connection.take().and_then(|held| queue.put_back(held)) {
        order.push(name);
        connection = Some(returned);
    }
    assert_eq!(order, ["stop 1", "stop 2", "poll", "start 1", "start 2"]);
}

/// Guards against a connection that is lost because the call that should get it has given up.
#[test]
fn a_connection_returns_to_the_queue_after_its_calls() {
    let mut queue: CallQueue<u32, &str> = CallQueue::new(vec![7]);
    let connection = queue.take().expect("a connection");
    queue.wait(CallKind::Start, "given up");
    let (connection, _) = queue.put_back(connection).expect("a waiting call");
    assert_eq!(queue.put_back(connection), None);
    assert_eq!(queue.idle_mut(), &mut [7]);
}
