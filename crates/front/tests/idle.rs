//! Resource usage of many idle connections. The file has a single test, so that the threads and
//! memory of the process belong to this test alone.

mod support;

use pier_front::{Options, process};
use support::{Fixture, eventually, request};

const CONNECTIONS: usize = 1_500;
/// Of this, 8 KiB are hyper's read buffer. Both ends of each connection are in this process.
const MAX_BYTES_PER_CONNECTION: u64 = 16 << 10;

/// Guards against idle connections that use a thread or much memory each.
#[test]
fn idle_connections_use_no_threads_and_little_memory() {
    let fixture = Fixture::start(Options::default());
    assert_eq!(fixture.send(&request("quote", "", "x")).status, 200);
    let before = process::usage().expect("the usage of this process");
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        streams.push(fixture.connect());
    }
    assert!(eventually(|| fixture.server.connections() >= CONNECTIONS));
    let after = process::usage().expect("the usage of this process");
    assert_eq!(after.threads, before.threads);
    let grown = after.memory_bytes.saturating_sub(before.memory_bytes);
    let per_connection = grown / u64::try_from(CONNECTIONS).expect("a small number");
    println!("{per_connection} bytes per idle connection, {} threads", after.threads);
    assert!(per_connection < MAX_BYTES_PER_CONNECTION, "{per_connection} bytes a connection");
    assert_eq!(
        fixture.send(&request("quote", "", "x")).status,
        200,
        "other connections are still served"
    );
}
