//! Counts of the bytes that the links of a host carry.

use std::sync::atomic;

/// A kind of link between this host and other processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum LinkKind {
    /// Messages from and to other hosts.
    #[display("peers")]
    Peers,
    /// Starts of tasks, including the payloads and answers that they carry for callers.
    #[display("starts")]
    Starts,
    /// All other calls to workers: fencing, lease renewals, reports and preemptions.
    #[display("workers")]
    Workers,
    /// Reads of the log and appends to it.
    #[display("log")]
    Log,
    /// Reads of the host list.
    #[display("host_list")]
    HostList,
}

impl LinkKind {
    /// All kinds of links.
    pub const ALL: [Self; 5] =
        [Self::Peers, Self::Starts, Self::Workers, Self::Log, Self::HostList];
}

/// The bytes that a kind of link has carried since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ByteCounts {
    /// Bytes sent by this host.
    pub sent: u64,
    /// Bytes received by this host.
    pub received: u64,
}

/// Counts the bytes in the bodies of requests, responses and messages. Headers, framing and the
/// acknowledgements of messages are not counted.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: [atomic::AtomicU64; LinkKind::ALL.len()],
    received: [atomic::AtomicU64; LinkKind::ALL.len()],
}

impl Traffic {
    /// Returns the counts of a kind of link.
    pub fn bytes(&self, link: LinkKind) -> ByteCounts {
        let index = to_index(link);
        ByteCounts {
            sent: self.sent[index].load(atomic::Ordering::Relaxed),
            received: self.received[index].load(atomic::Ordering::Relaxed),
        }
    }

    pub(crate) fn count_sent(&self, link: LinkKind, size_bytes: usize) {
        add(&self.sent[to_index(link)], size_bytes);
    }

    pub(crate) fn count_received(&self, link: LinkKind, size_bytes: usize) {
        add(&self.received[to_index(link)], size_bytes);
    }
}

fn to_index(link: LinkKind) -> usize {
    match link {
        LinkKind::Peers => 0,
        LinkKind::Starts => 1,
        LinkKind::Workers => 2,
        LinkKind::Log => 3,
        LinkKind::HostList => 4,
    }
}

fn add(counter: &atomic::AtomicU64, size_bytes: usize) {
    let size_bytes = u64::try_from(size_bytes).unwrap_or(u64::MAX);
    counter.fetch_add(size_bytes, atomic::Ordering::Relaxed);
}
