//! The assignment of workers to members.

use std::collections;

use pier_core::{ids, rendezvous, resources};

/// The bound of a member's load, in percent of the mean load.
const MAX_LOAD_PERCENT: u64 = 125;
/// Load units: 1,000 for a core, 250 for a gigabyte of memory, and as much as eight cores for an
/// accelerator.
const MEMORY_MB_PER_UNIT: u64 = 4;
const ACCELERATOR_UNITS: u64 = 8_000;

/// A member that can own workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    pub host: ids::HostId,
    pub availability_zone: ids::ZoneId,
}

/// A worker to assign, with its load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerLoad {
    pub worker: ids::WorkerId,
    pub availability_zone: ids::ZoneId,
    /// The load that the worker adds to its owner, from [`load_units`].
    pub units: u64,
}

/// The load that a worker with `resources` adds to its owner, at least one unit.
pub fn load_units(resources: &resources::Resources) -> u64 {
    let memory = resources.memory_mb / MEMORY_MB_PER_UNIT;
    let accelerators = resources.accelerators.saturating_mul(ACCELERATOR_UNITS);
    resources.cpu_milli.saturating_add(memory).saturating_add(accelerators).max(1)
}

/// Assigns an owner to each worker.
///
/// A worker keeps its current owner unless that owner is no member or would exceed its bound. Any
/// other worker gets the first member in rendezvous order that stays within its bound, members in
/// the worker's zone first. The bound is 125% of the mean load, and at least the load of the
/// largest worker. The result depends on the sets of members and workers and not on their order. It
/// is empty without members.
pub fn owners(
    members: &[Candidate],
    workers: &[WorkerLoad],
    current: &collections::BTreeMap<ids::WorkerId, ids::HostId>,
) -> collections::BTreeMap<ids::WorkerId, ids::HostId> {
    let mut owners = collections::BTreeMap::new();
    if members.is_empty() {
        return owners;
    }
    let mut workers: Vec<&WorkerLoad> = workers.iter().collect();
    workers.sort_by(|a, b| a.worker.cmp(&b.worker));
    workers.dedup_by(|a, b| a.worker == b.worker);
    let bound = bound(members.len(), &workers);
    let mut loads = collections::BTreeMap::new();
    for member in members {
        loads.insert(member.host.clone(), 0_u64);
    }
    let unassigned = keep_current_owners(&workers, current, bound, &mut loads, &mut owners);
    for load in unassigned {
        let host = choose_owner(members, load, bound, &loads);
        if let Some(sum) = loads.get_mut(&host) {
            *sum = sum.saturating_add(load.units);
        }
        owners.insert(load.worker.clone(), host);
    }
    owners
}

fn bound(members: usize, workers: &[&WorkerLoad]) -> u64 {
    let mut sum = 0_u128;
    let mut largest = 0;
    for load in workers {
        sum += u128::from(load.units);
        largest = largest.max(load.units);
    }
    let members = u128::try_from(members).unwrap_or(u128::MAX).max(1);
    let bound = sum * u128::from(MAX_LOAD_PERCENT) / (100 * members);
    u64::try_from(bound).unwrap_or(u64::MAX).max(largest)
}

/// Keeps workers with their current owners within the bound, those of the highest rendezvous weight
/// first. Returns the other workers, largest load first.
fn keep_current_owners<'a>(
    workers: &[&'a WorkerLoad],
    current: &collections::BTreeMap<ids::WorkerId, ids::HostId>,
    bound: u64,
    loads: &mut collections::BTreeMap<ids::HostId, u64>,
    owners: &mut collections::BTreeMap<ids::WorkerId, ids::HostId>,
) -> Vec<&'a WorkerLoad> {
    let mut order: Vec<(u64, &WorkerLoad)> = Vec::with_capacity(workers.len());
    for load in workers {
        let weight =
            current.get(&load.worker).map_or(0, |host| rendezvous::weight(&load.worker, host));
        order.push((weight, load));
    }
    // An overloaded owner gives up the workers for which it has the lowest rendezvous weight.
    order.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.worker.cmp(&b.1.worker)));
    let mut unassigned = Vec::new();
    for (_, load) in order {
        let kept = current.get(&load.worker).and_then(|host| Some((host, loads.get_mut(host)?)));
        let Some((host, sum)) = kept else {
            unassigned.push(load);
            continue;
        };
        if sum.saturating_add(load.units) > bound {
            unassigned.push(load);
            continue;
        }
        *sum += load.units;
        owners.insert(load.worker.clone(), host.clone());
    }
    unassigned.sort_by(|a, b| b.units.cmp(&a.units).then_with(|| a.worker.cmp(&b.worker)));
    unassigned
}

/// Chooses the member that gets a worker: one within the bound in the worker's zone, else one
/// within the bound in another zone, else the least loaded.
fn choose_owner(
    members: &[Candidate],
    load: &WorkerLoad,
    bound: u64,
    loads: &collections::BTreeMap<ids::HostId, u64>,
) -> ids::HostId {
    let mut ranked: Vec<(bool, bool, u64, u64, &Candidate)> = Vec::with_capacity(members.len());
    for member in members {
        let sum = loads.get(&member.host).copied().unwrap_or(0);
        let is_over_bound = sum.saturating_add(load.units) > bound;
        let is_other_zone = member.availability_zone != load.availability_zone;
        let weight = u64::MAX - rendezvous::weight(&load.worker, &member.host);
        ranked.push((
            is_over_bound,
            is_other_zone && !is_over_bound,
            if is_over_bound { sum } else { 0 },
            weight,
            member,
        ));
    }
    ranked.sort_by(|a, b| (a.0, a.1, a.2, a.3, &a.4.host).cmp(&(b.0, b.1, b.2, b.3, &b.4.host)));
    ranked.first().map(|best| best.4.host.clone()).unwrap_or_default()
}
