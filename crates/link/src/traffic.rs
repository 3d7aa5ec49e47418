//! How many bytes the links of a host carry.

use std::sync::atomic;

/// A kind of link between this host and other processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum LinkKind {
    /// Messages of other hosts and to them.
    #[display("peers")]
    Peers,
    /// Starts of tasks, with the payloads and answers that they carry for callers.
    #[display("starts")]
    Starts,
    /// All other calls of workers: fences, leases, reports and yields.
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
    /// Every kind.
    pub const ALL: [Self; 5] =
        [Self::Peers, Self::Starts, Self::Workers, Self::Log, Self::HostList];
}

/// ByteCounts of one kind of link since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ByteCounts {
    /// What this host has sent.
    pub sent: u64,
    /// What this host has received.
    pub received: u64,
}

/// Counts the bodies of requests, answers and messages. Headers, framing and the receipts of
/// messages are not counted.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: [atomic::AtomicU64; LinkKind::ALL.len()],
    received: [atomic::AtomicU64; LinkKind::ALL.len()],
}

impl Traffic {
    /// The counts of a kind of link.
    pub fn bytes(&self, link: LinkKind) -> ByteCounts {
        let index = index_of(link);
        ByteCounts {
            sent: self.sent[index].load(atomic::Ordering::Relaxed),
            received: self.received[index].load(atomic::Ordering::Relaxed),
        }
    }

    pub(crate) fn count_sent(&self, link: LinkKind, size_bytes: usize) {
        add(&self.sent[index_of(link)], size_bytes);
    }

    pub(crate) fn count_received(&self, link: LinkKind, size_bytes: usize) {
        add(&self.received[index_of(link)], size_bytes);
    }
}

fn index_of(link: LinkKind) -> usize {
    match link {
        LinkKind::Peers => 0,
        LinkKind::Starts => 1,
        LinkKind::Workers => 2,
        LinkKind::Log => 3,
        LinkKind::HostList => 4,
    }
}

fn add(count: &atomic::AtomicU64, size_bytes: usize) {
    let size_bytes = u64::try_from(size_bytes).unwrap_or(u64::MAX);
    count.fetch_add(size_bytes, atomic::Ordering::Relaxed);
}
