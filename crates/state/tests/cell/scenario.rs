//! Random cells: their size and the faults that are injected.

use quickcheck::{Arbitrary, Gen};

/// A fault, or an action of an operator or a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// A host dies and is replaced after a delay.
    KillHost { host: usize, replaced_after_ms: u64 },
    /// A host is paused and resumes later.
    PauseHost { host: usize, for_ms: u64 },
    /// A host shuts down gracefully and is replaced.
    DrainHost { host: usize },
    /// Two hosts cannot reach each other.
    CutHosts { first: usize, second: usize, for_ms: u64 },
    /// A host cannot reach the log.
    CutLog { host: usize, for_ms: u64 },
    /// The hosts of a zone cannot reach the others, the log or the workers of other zones.
    CutZone { zone: usize, for_ms: u64 },
    /// No host can reach the log.
    LogOutage { for_ms: u64 },
    /// Appends take effect, but their replies are lost.
    LostReplies { for_ms: u64 },
    /// The log drops records that every host has folded.
    DropRecords,
    /// The host list cannot be read.
    HostListOutage { for_ms: u64 },
    /// The host list omits a host that is live.
    HostListOmits { host: usize, for_ms: u64 },
    /// A worker fails every task that it starts.
    WorkerFails { worker: usize, for_ms: u64 },
    /// A worker's answers are lost.
    WorkerSilent { worker: usize, for_ms: u64 },
    /// A worker cannot be reached.
    WorkerUnreachable { worker: usize, for_ms: u64 },
    /// The host list shows a worker as leaving.
    WorkerLeaves { worker: usize },
    /// Messages between hosts are lost, repeated or delayed.
    BadNetwork { loss_percent: u8, for_ms: u64 },
    /// Two operators take a zone out of service at the same time, and bring it back later.
    ZoneOut { zone: usize, for_ms: u64 },
    /// An operator withdraws a team's API key.
    WithdrawKey { team: usize },
    /// An operator lowers a team's limit.
    LowerLimit { team: usize },
    /// Callers cancel every job.
    CancelAll,
}

/// A fault and when it happens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedFault {
    pub at_ms: u64,
    pub fault: Fault,
}

/// The size of a cell and the faults that are injected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Scenario {
    pub seed: u64,
    pub hosts: usize,
    pub workers: usize,
    pub faults: Vec<TimedFault>,
}

pub const ZONES: usize = 3;
pub const TEAMS: usize = 3;
/// The earliest time of a fault; the declaration is in force by then.
pub const FIRST_FAULT_MS: u64 = 6_000;
/// The latest time of a fault that is drawn by itself.
pub const LAST_FAULT_MS: u64 = 30_000;

fn below(g: &mut Gen, limit: usize) -> usize {
    usize::arbitrary(g) % limit
}

fn between(g: &mut Gen, min: u64, max: u64) -> u64 {
    min + u64::arbitrary(g) % (max - min)
}

fn fault(g: &mut Gen, hosts: usize, workers: usize) -> Fault {
    let host = below(g, hosts);
    let worker = below(g, workers);
    let zone = below(g, ZONES);
    let team = below(g, TEAMS);
    let for_ms = between(g, 500, 12_000);
    match below(g, 20) {
        0 => Fault::KillHost { host, replaced_after_ms: between(g, 200, 10_000) },
        1 => Fault::PauseHost { host, for_ms },
        2 => Fault::DrainHost { host },
        3 => Fault::CutHosts { first: host, second: below(g, hosts), for_ms },
        4 => Fault::CutLog { host, for_ms },
        5 => Fault::CutZone { zone, for_ms },
        6 => Fault::LogOutage { for_ms },
        7 => Fault::LostReplies { for_ms },
        8 => Fault::DropRecords,
        9 => Fault::HostListOutage { for_ms },
        10 => Fault::HostListOmits { host, for_ms },
        11 => Fault::WorkerFails { worker, for_ms },
        12 => Fault::WorkerSilent { worker, for_ms },
        13 => Fault::WorkerUnreachable { worker, for_ms },
        14 => Fault::WorkerLeaves { worker },
        15 => Fault::BadNetwork { loss_percent: 30, for_ms },
        16 => Fault::ZoneOut { zone, for_ms },
        17 => Fault::WithdrawKey { team },
        18 => Fault::LowerLimit { team },
        _ => Fault::CancelAll,
    }
}

impl Scenario {
    /// The scenario of a seed.
    pub fn from_seed(seed: u64) -> Self {
        let mut g = Gen::from_size_and_seed(16, seed);
        Self { seed, ..Self::arbitrary(&mut g) }
    }
}

impl Arbitrary for Scenario {
    fn arbitrary(g: &mut Gen) -> Self {
        let hosts = 3 + below(g, 3);
        let workers = 4 + below(g, 4);
        let mut faults = Vec::new();
        for _ in 0..2 {
            let at_ms = between(g, FIRST_FAULT_MS, LAST_FAULT_MS);
            faults.push(TimedFault { at_ms, fault: fault(g, hosts, workers) });
        }
        // In half of the pairs the second fault comes within 4 s of the first, so that they often
        // overlap; in the other half the times are independent.
        if bool::arbitrary(g) {
            faults[1].at_ms = faults[0].at_ms + between(g, 1, 4_000);
        }
        faults.sort_by_key(|timed| timed.at_ms);
        Self { seed: u64::arbitrary(g), hosts, workers, faults }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let mut smaller = Vec::new();
        for index in 0..self.faults.len() {
            let mut scenario = self.clone();
            scenario.faults.remove(index);
            smaller.push(scenario);
        }
        Box::new(smaller.into_iter())
    }
}
