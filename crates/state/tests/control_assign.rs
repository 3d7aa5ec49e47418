//! The assignment of workers to members.

use std::collections::BTreeMap;

use pier_state::control::assign::{Candidate, WorkerLoad, owners};
use quickcheck::{Gen, QuickCheck};

/// The size and the seed of the random cases, fixed so that every run draws the same ones.
const GEN_SIZE: usize = 100;
const SEED: u64 = 1;

fn members(count: usize) -> Vec<Candidate> {
    let zone = |index: usize| format!("z{}", index % 4).into();
    (0..count)
        .map(|index| Candidate { host: format!("h{index}").into(), availability_zone: zone(index) })
        .collect()
}

fn workers(count: usize, units: impl Fn(usize) -> u64) -> Vec<WorkerLoad> {
    let zone = |index: usize| format!("z{}", index % 4).into();
    (0..count)
        .map(|index| WorkerLoad {
            worker: format!("w{index:03}").into(),
            availability_zone: zone(index),
            units: units(index),
        })
        .collect()
}

fn largest_load(
    owners: &BTreeMap<std::sync::Arc<str>, std::sync::Arc<str>>,
    workers: &[WorkerLoad],
) -> u64 {
    let mut loads = BTreeMap::new();
    for load in workers {
        *loads.entry(owners[&load.worker].clone()).or_insert(0) += load.units;
    }
    loads.into_values().max().unwrap_or(0)
}

/// Guards against a member that gets more than 125% of the mean load, and against workers that get
/// an owner in another zone without need.
#[test]
fn workers_are_spread_within_the_bound_and_stay_in_their_zone() {
    let (members, workers) = (members(8), workers(570, |_| 10));
    let owners = owners(&members, &workers, &BTreeMap::new());
    assert_eq!(owners.len(), 570);
    assert!(largest_load(&owners, &workers) <= 5_700 * 125 / 800);
    let in_own_zone = workers.iter().filter(|load| {
        let owner = members.iter().find(|member| member.host == owners[&load.worker]);
        owner.is_some_and(|owner| owner.availability_zone == load.availability_zone)
    });
    assert!(in_own_zone.count() >= 560);
}

/// Guards against an epoch that moves workers whose owner stays a member.
#[test]
fn only_the_workers_of_a_removed_member_move() {
    let (all, workers) = (members(8), workers(570, |_| 10));
    let before = owners(&all, &workers, &BTreeMap::new());
    let after = owners(&all[1..], &workers, &before);
    for (worker, owner) in &before {
        assert!(&**owner == "h0" || after[worker] == *owner, "{worker} moved");
    }
    assert!(largest_load(&after, &workers) <= 5_700 * 125 / 700);
}

/// Guards against an assignment that depends on the order of its inputs, leaves a worker without an
/// owner, exceeds the bound where it can be kept, or is not stable.
#[test]
fn the_assignment_is_total_bounded_and_stable() {
    fn holds(units: Vec<u8>, count: u8) -> bool {
        let mut all = members(usize::from(count % 9) + 1);
        let mut workers = workers(units.len(), |index| u64::from(units[index]) + 1);
        let first = owners(&all, &workers, &BTreeMap::new());
        let again = owners(&all, &workers, &first);
        all.reverse();
        workers.reverse();
        let reversed = owners(&all, &workers, &BTreeMap::new());
        let sum: u64 = workers.iter().map(|load| load.units).sum();
        let largest = workers.iter().map(|load| load.units).max().unwrap_or(0);
        let bound = sum / all.len() as u64 * 125 / 100 + 2 * largest + 2;
        first.len() == workers.len()
            && first == reversed
            && first == again
            && largest_load(&first, &workers) <= bound
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .quickcheck(holds as fn(Vec<u8>, u8) -> bool);
}
