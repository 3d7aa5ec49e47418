//! Which runs are stopped: random cells, against the limits and against needless stops.

use pier_core::resources::Resources;
use pier_load::reclaim::{self, Cause, Claim, Grounds, Limits, Plan, Room, Victim};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn cores(count: u64) -> Resources {
    Resources { cpu_milli: count * 1_000, ..Resources::ZERO }
}

struct RandomCell {
    claim: Claim,
    rooms: Vec<Room>,
    victims: Vec<Victim>,
    grounds: Vec<Option<Grounds>>,
    excess_ppm: Vec<u64>,
    lost_core_s: f64,
    freed_ppm: u64,
}

impl RandomCell {
    fn new(rng: &mut StdRng) -> Self {
        let mut rooms = Vec::new();
        let mut victims: Vec<Victim> = Vec::new();
        let mut grounds = Vec::new();
        for worker in 0..rng.random_range(1..12) {
            let max_tasks = if rng.random_range(0..5) == 0 { 0 } else { usize::MAX };
            rooms.push(Room { free: cores(rng.random_range(0..3)), max_tasks });
            for _ in 0..rng.random_range(0..4) {
                let freed = cores(rng.random_range(1..6));
                // Some are members of a gang that has begun on an earlier worker.
                if rng.random_range(0..4) == 0
                    && let Some(victim) = victims.last_mut()
                {
                    victim.frees.push((worker, freed));
                    continue;
                }
                let lost_core_s = f64::from(rng.random_range(0..10));
                victims.push(Victim { lost_core_s, frees: vec![(worker, freed)] });
                grounds.push(match rng.random_range(0..5) {
                    0 => None,
                    1 => Some(Grounds { cause: Cause::NoLongerUseful, account: None }),
                    2 => Some(Grounds { cause: Cause::LessUrgent, account: None }),
                    _ => Some(Grounds { cause: Cause::BeyondShare, account: Some(0) }),
                });
            }
        }
        let claim = Claim { tasks: rng.random_range(1..5), need: cores(rng.random_range(1..8)) };
        let excess_ppm = vec![rng.random_range(0..300_000)];
        let lost_core_s = f64::from(rng.random_range(0..25));
        let freed_ppm = rng.random_range(0..600_000);
        Self { claim, rooms, victims, grounds, excess_ppm, lost_core_s, freed_ppm }
    }

    fn limits(&self) -> Limits<'_> {
        Limits {
            lost_core_s: self.lost_core_s,
            capacity: cores(50),
            freed_ppm: self.freed_ppm,
            excess_ppm: &self.excess_ppm,
        }
    }

    fn plan(&self) -> Option<Plan> {
        reclaim::plan(&self.claim, &self.rooms, &self.victims, &self.grounds, &self.limits())
    }

    /// How many tasks fit on each worker if these victims are stopped.
    fn fitting(&self, stopped: &[usize]) -> Vec<usize> {
        let mut fitting = Vec::new();
        for (worker, room) in self.rooms.iter().enumerate() {
            let mut free = room.free.cpu_milli;
            for victim in stopped {
                for (at, freed) in &self.victims[*victim].frees {
                    free += if *at == worker { freed.cpu_milli } else { 0 };
                }
            }
            let tasks = usize::try_from(free / self.claim.need.cpu_milli).expect("few tasks");
            fitting.push(tasks.min(room.max_tasks));
        }
        fitting
    }

    fn amount(&self, victims: &[usize], is_counted: impl Fn(usize) -> bool) -> u64 {
        let mut amount = 0;
        for victim in victims.iter().filter(|victim| is_counted(**victim)) {
            for (_, freed) in &self.victims[*victim].frees {
                amount += freed.dominant_share_ppm(&cores(50));
            }
        }
        amount
    }
}

/// Guards against plans beyond the limits, plans in which the tasks do not fit, and stops that are
/// not needed.
#[test]
fn random_plans_keep_the_limits_and_stop_nothing_needlessly() {
    let mut plans = 0;
    for seed in 0..20_000 {
        let cell = RandomCell::new(&mut StdRng::seed_from_u64(seed));
        let Some(plan) = cell.plan() else {
            continue;
        };
        plans += 1;
        let fitting = cell.fitting(&plan.victims);
        let mut tasks = 0;
        for (worker, count) in &plan.slots {
            assert!(*count <= fitting[*worker], "seed {seed}: no room for a slot");
            tasks += count;
        }
        assert_eq!(tasks, cell.claim.tasks, "seed {seed}");
        let mut lost_core_s = 0.0;
        for victim in &plan.victims {
            assert!(cell.grounds[*victim].is_some(), "seed {seed}: stopped without grounds");
            lost_core_s += cell.victims[*victim].lost_core_s;
            let others: Vec<usize> =
                plan.victims.iter().copied().filter(|other| other != victim).collect();
            let without: usize = cell.fitting(&others).iter().sum();
            assert!(without < cell.claim.tasks, "seed {seed}: a needless stop");
        }
        assert!(lost_core_s <= cell.lost_core_s, "seed {seed}: too much is lost");
        assert!(cell.amount(&plan.victims, |_| true) <= cell.freed_ppm, "seed {seed}");
        // The last run of an account is rounded to the nearest whole one.
        let is_beyond =
            |victim: usize| cell.grounds[victim].is_some_and(|grounds| grounds.account.is_some());
        let beyond = cell.amount(&plan.victims, is_beyond);
        let largest = plan.victims.iter().map(|victim| cell.amount(&[*victim], is_beyond)).max();
        let bound = cell.excess_ppm[0] + largest.unwrap_or(0);
        assert!(beyond <= bound, "seed {seed}: more than the excess");
    }
    assert!(plans > 1_000, "only {plans} plans");
}

/// Guards against stops of useful runs while others would do.
#[test]
fn causes_are_taken_in_order_and_then_the_least_loss() {
    let room = Room { free: Resources::ZERO, max_tasks: usize::MAX };
    let grounds = |cause| Some(Grounds { cause, account: None });
    let causes = [Cause::LessUrgent, Cause::BeyondShare, Cause::NoLongerUseful];
    let mut victims = Vec::new();
    for (worker, lost_core_s) in [0.0, 1.0, 2.0, 1.5].into_iter().enumerate() {
        victims.push(Victim { lost_core_s, frees: vec![(worker, cores(4))] });
    }
    let grounds: Vec<_> = causes.into_iter().chain([Cause::NoLongerUseful]).map(grounds).collect();
    let limits =
        Limits { lost_core_s: 100.0, capacity: cores(16), freed_ppm: 1_000_000, excess_ppm: &[] };
    for (tasks, expected) in [(1, vec![3]), (2, vec![3, 2]), (3, vec![3, 2, 1])] {
        let claim = Claim { tasks, need: cores(4) };
        let plan = reclaim::plan(&claim, &[room; 4], &victims, &grounds, &limits);
        assert_eq!(plan.expect("a plan").victims, expected);
    }
}
