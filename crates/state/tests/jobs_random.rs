//! Random changes of the owner of a job, with late, lost and repeated messages.
//!
//! Two hosts own jobs in turn. A third one owns all workers; it is simulated here as the design
//! states: it takes tasks only from the owner of their job, and lists what runs after each epoch.

mod jobs_support;

use std::collections;
use std::time;

use pier_core::{caller, ids, rendezvous, task};
use pier_state::record;
use pier_state::work::{jobs, placement};
use quickcheck::{Gen, QuickCheck};
use rand::{Rng, SeedableRng, rngs};

use jobs_support::{Fixture, end, host, not_run, once, request, started, unknown_end};

/// The size and the seed of the random cases: every run of the checks draws the same ones.
const GEN_SIZE: usize = 100;
const SEED: u64 = 1;

const HOSTS: [&str; 2] = ["h1", "h2"];
const MEMBERS: [&[&str]; 3] = [&["h1", "h2", "h3"], &["h1", "h3"], &["h2", "h3"]];
const TASKS: u32 = 12;
const RANDOM_STEPS: u32 = 600;
const QUIET_STEPS: u32 = 6_000;

#[derive(Debug, Clone)]
enum LogItem {
    Entry(record::Entry),
    Epoch(ids::Epoch, &'static [&'static str]),
}

/// A message to the owner of the workers.
#[derive(Debug, Clone)]
enum ToOwner {
    Place { attempt: placement::AttemptId, reserve: bool },
    Commit(placement::AttemptId),
    Cancel(placement::AttemptId),
}

/// A message to a host that owns jobs.
#[derive(Debug, Clone)]
enum ToHost {
    Placed(placement::AttemptId, placement::AttemptEvent),
    Held(ids::Epoch, Vec<placement::AttemptId>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Queued,
    Reserved,
    Running,
}

struct Sim {
    random: rngs::StdRng,
    hosts: [Fixture; 2],
    log: Vec<LogItem>,
    /// What each host has folded; the last is the owner of the workers.
    folded: [usize; 3],
    to_owner: [collections::VecDeque<ToOwner>; 2],
    to_hosts: Vec<(usize, ToHost)>,
    epoch: ids::Epoch,
    members: &'static [&'static str],
    /// Attempts at the owner of the workers, with the host that placed them.
    attempts: collections::BTreeMap<placement::AttemptId, (usize, Stage, bool)>,
    used: collections::BTreeSet<placement::AttemptId>,
    runs: collections::BTreeMap<ids::TaskId, u32>,
    job: ids::JobId,
    failure: Option<String>,
}

/// A job id that is at home at `h1` or `h2` whoever the members are.
fn job_id() -> ids::JobId {
    let mut number = 0;
    loop {
        let id = format!("job{number}");
        if *rendezvous::ranked(&id, &["h1", "h2", "h3"])[2] == "h3" {
            return id.into();
        }
        number += 1;
    }
}

impl Sim {
    fn new(seed: u64, class: task::Class, request: caller::JobRequest) -> Self {
        let job = job_id();
        let mut hosts = HOSTS.map(|me| Fixture::unsettled_as(me, MEMBERS[0]));
        hosts[0].submit(&job, class, request);
        let mut sim = Self {
            random: rngs::StdRng::seed_from_u64(seed),
            hosts,
            log: Vec::new(),
            folded: [0; 3],
            to_owner: Default::default(),
            to_hosts: Vec::new(),
            epoch: 1,
            members: MEMBERS[0],
            attempts: collections::BTreeMap::new(),
            used: collections::BTreeSet::new(),
            runs: collections::BTreeMap::new(),
            job,
            failure: None,
        };
        sim.list_attempts();
        sim
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn home(&self) -> usize {
        let home = *rendezvous::ranked(&self.job, self.members)[0];
        usize::from(home == "h2")
    }

    /// The other members have no workers; the owner of the workers lists what runs.
    fn list_attempts(&mut self) {
        let mut running = Vec::new();
        for (attempt, (_, stage, _)) in &self.attempts {
            if *stage == Stage::Running {
                running.push(attempt.clone());
            }
        }
        for index in 0..2 {
            let tasks = if index == self.home() { running.clone() } else { Vec::new() };
            self.to_hosts.push((index, ToHost::Held(self.epoch, tasks)));
        }
    }

    fn collect(&mut self) {
        for index in 0..2 {
            let host = &mut self.hosts[index];
            let entries = std::mem::take(&mut host.entries);
            self.log.extend(entries.into_iter().map(LogItem::Entry));
            let orders = std::mem::take(&mut host.orders);
            let queue = &mut self.to_owner[index];
            for placement in orders.place {
                let attempt = (placement.spec.task, placement.attempt);
                if !self.used.insert(attempt.clone()) {
                    self.failure = Some(format!("attempt {attempt:?} was placed twice"));
                }
                queue.push_back(ToOwner::Place { attempt, reserve: placement.reserve });
            }
            queue.extend(orders.commit.into_iter().map(ToOwner::Commit));
            queue.extend(orders.cancel.into_iter().map(ToOwner::Cancel));
        }
    }

    fn fold_step(&mut self, index: usize) {
        let Some(item) = self.log.get(self.folded[index]).cloned() else {
            return;
        };
        self.folded[index] += 1;
        if index < 2 {
            match item {
                LogItem::Entry(entry) => self.hosts[index].fold_one(entry),
                LogItem::Epoch(epoch, members) => {
                    self.hosts[index].epoch(epoch, members);
                    // The members without workers tell at once that they count nothing.
                    for member in members.iter().filter(|member| **member != "h3") {
                        self.hosts[index].held(member, true, &[]);
                    }
                }
            }
            return;
        }
        let LogItem::Epoch(epoch, members) = item else {
            return;
        };
        self.epoch = epoch;
        self.members = members;
        let home = self.home();
        let mut moved = Vec::new();
        for (attempt, (origin, stage, _)) in &self.attempts {
            if *stage != Stage::Running && *origin != home {
                moved.push((attempt.clone(), *origin));
            }
        }
        for (attempt, origin) in moved {
            self.attempts.remove(&attempt);
            self.to_hosts.push((origin, ToHost::Placed(attempt, not_run())));
        }
        self.list_attempts();
    }

    fn owner_step(&mut self, index: usize) {
        let Some(message) = self.to_owner[index].pop_front() else {
            return;
        };
        match message {
            ToOwner::Place { attempt, reserve } => {
                let late = jobs::placed_before(attempt.1, self.epoch);
                if self.home() != index || late {
                    self.to_hosts.push((index, ToHost::Placed(attempt, not_run())));
                    return;
                }
                self.attempts.insert(attempt, (index, Stage::Queued, reserve));
            }
            ToOwner::Commit(attempt) => self.start(&attempt, Stage::Reserved),
            ToOwner::Cancel(attempt) => match self.attempts.get(&attempt) {
                Some((_, Stage::Running, _)) => self.finish(&attempt, end(task::EndKind::Stopped)),
                Some((origin, ..)) => {
                    let origin = *origin;
                    self.attempts.remove(&attempt);
                    self.to_hosts.push((origin, ToHost::Placed(attempt, not_run())));
                }
                None => {}
            },
        }
    }

    /// Starts an attempt that is in a stage. Checks that no other attempt of the task runs.
    fn start(&mut self, attempt: &placement::AttemptId, from: Stage) {
        for (other, (_, stage, _)) in &self.attempts {
            if *stage == Stage::Running && other.0 == attempt.0 && other != attempt {
                self.failure = Some(format!("{other:?} and {attempt:?} run at the same time"));
            }
        }
        let Some((origin, stage, _)) = self.attempts.get_mut(attempt) else {
            return;
        };
        if *stage != from {
            return;
        }
        *stage = Stage::Running;
        let origin = *origin;
        *self.runs.entry(attempt.0.clone()).or_default() += 1;
        // The message may be lost.
        if self.chance(80) {
            self.to_hosts.push((origin, ToHost::Placed(attempt.clone(), started())));
        }
    }

    /// Ends an attempt. The end is told to the owner of the job until it is taken.
    fn finish(&mut self, attempt: &placement::AttemptId, told: placement::AttemptEvent) {
        self.attempts.remove(attempt);
        let home = self.home();
        self.to_hosts.push((home, ToHost::Placed(attempt.clone(), told)));
    }

    fn workers_step(&mut self, faults: bool) {
        let all: Vec<_> =
            self.attempts.iter().map(|(attempt, state)| (attempt.clone(), *state)).collect();
        for (attempt, (origin, stage, reserve)) in all {
            match stage {
                Stage::Queued if faults && self.chance(5) => {
                    self.attempts.remove(&attempt);
                    self.to_hosts.push((origin, ToHost::Placed(attempt, not_run())));
                }
                Stage::Queued if reserve && self.chance(40) => {
                    self.attempts.insert(attempt.clone(), (origin, Stage::Reserved, reserve));
                    let told = placement::AttemptEvent::Reserved;
                    self.to_hosts.push((origin, ToHost::Placed(attempt, told)));
                }
                Stage::Queued if !reserve && self.chance(40) => {
                    self.start(&attempt, Stage::Queued);
                }
                Stage::Running if self.chance(10) => {
                    let told = match self.random.random_range(0..20) {
                        0 if faults => unknown_end(),
                        1 if faults => end(task::EndKind::Lapsed),
                        2 if faults => end(task::EndKind::Checkpointed),
                        _ => end(task::EndKind::Done),
                    };
                    self.finish(&attempt, told);
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self, faults: bool) {
        if self.to_hosts.is_empty() {
            return;
        }
        let position = self.random.random_range(0..self.to_hosts.len());
        let (index, message) = self.to_hosts.swap_remove(position);
        if faults && self.chance(10) {
            self.to_hosts.push((index, message.clone()));
        }
        match message {
            ToHost::Placed(attempt, placed) => {
                let ended = matches!(placed, placement::AttemptEvent::Ended { .. });
                let is_home = self.hosts[index].cluster.is_home_of(&self.job);
                if ended && !is_home {
                    // It is not acknowledged and goes to the owner of the job again.
                    let home = self.home();
                    self.to_hosts.push((home, ToHost::Placed(attempt, placed)));
                    return;
                }
                self.hosts[index].tell(&attempt, placed);
            }
            ToHost::Held(epoch, tasks) => {
                let whole = epoch == self.hosts[index].cluster.epoch;
                let list: Vec<(&str, ids::Attempt)> =
                    tasks.iter().map(|(task, attempt)| (task.as_ref(), *attempt)).collect();
                self.hosts[index].held("h3", whole, &list);
                if !whole && epoch > self.hosts[index].cluster.epoch {
                    self.to_hosts.push((index, ToHost::Held(epoch, tasks)));
                }
            }
        }
    }

    fn step(&mut self, faults: bool) {
        self.collect();
        if faults && self.chance(2) {
            let next = self.log.iter().filter(|item| matches!(item, LogItem::Epoch(..))).count();
            let epoch = 2 + ids::Epoch::try_from(next).expect("it is small");
            let members = MEMBERS[self.random.random_range(0..MEMBERS.len())];
            self.log.push(LogItem::Epoch(epoch, members));
        }
        for index in 0..3 {
            if self.chance(60) {
                self.fold_step(index);
            }
        }
        for index in 0..2 {
            if self.chance(60) {
                self.owner_step(index);
            }
        }
        for _ in 0..3 {
            self.deliver(faults);
        }
        self.workers_step(faults);
        for host in &mut self.hosts {
            host.now += time::Duration::from_millis(50);
            host.tick();
        }
    }

    fn run(&mut self) -> std::result::Result<(), String> {
        for _ in 0..RANDOM_STEPS {
            self.step(true);
            if let Some(failure) = self.failure.take() {
                return Err(failure);
            }
        }
        for _ in 0..QUIET_STEPS {
            self.step(false);
            if let Some(failure) = self.failure.take() {
                return Err(failure);
            }
            let ended = |host: &Fixture| {
                host.cluster.jobs.get(&self.job).is_some_and(|job| job.phase.is_some())
            };
            if self.hosts.iter().all(ended) {
                return Ok(());
            }
        }
        Err(format!("the job has not ended: {:?}", self.hosts[self.home()].jobs))
    }
}

fn check(seed: u64, class: task::Class, request: caller::JobRequest) -> quickcheck::TestResult {
    let repeatable = request.repeatable;
    let mut sim = Sim::new(seed, class, request);
    if let Err(failure) = sim.run() {
        return quickcheck::TestResult::error(format!("seed {seed}: {failure}"));
    }
    let fold = &sim.hosts[0].cluster.jobs[&sim.job];
    for (task, runs) in &sim.runs {
        if !repeatable && *runs > 1 {
            return quickcheck::TestResult::error(format!("seed {seed}: {task} ran {runs} times"));
        }
    }
    let done = fold.phase == Some(caller::JobPhase::Done);
    if repeatable && !done {
        return quickcheck::TestResult::error(format!("seed {seed}: ended as {:?}", fold.phase));
    }
    if done && sim.runs.len() < usize::try_from(TASKS).expect("it is small") {
        return quickcheck::TestResult::error(format!("seed {seed}: done with tasks left"));
    }
    quickcheck::TestResult::passed()
}

/// Guards against two attempts of a task at the same time, attempt numbers that repeat, jobs that
/// never end, and jobs that end before their tasks.
#[test]
fn repeatable_jobs() {
    fn holds(seed: u64) -> quickcheck::TestResult {
        check(seed, task::Class::Batch, request(TASKS))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(200)
        .quickcheck(holds as fn(u64) -> quickcheck::TestResult);
}

/// Guards against the same, and against a task that runs twice although it must not.
#[test]
fn jobs_that_are_not_repeatable() {
    fn holds(seed: u64) -> quickcheck::TestResult {
        check(seed, task::Class::Batch, once(TASKS))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(200)
        .quickcheck(holds as fn(u64) -> quickcheck::TestResult);
}

/// Guards against the same for tasks that start together.
#[test]
fn gangs() {
    fn holds(seed: u64) -> quickcheck::TestResult {
        check(seed, task::Class::Gang, request(TASKS))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(100)
        .quickcheck(holds as fn(u64) -> quickcheck::TestResult);
}

/// Guards against faults that were found with these seeds.
#[test]
fn earlier_failures() {
    // A request to place a task arrived two epochs late, after another owner had placed the task.
    let seeds = [15_720_383_288_675_727_339];
    for seed in seeds {
        let result = check(seed, task::Class::Batch, request(TASKS));
        assert!(!result.is_failure(), "{result:?}");
    }
}

/// Guards against a second run of a task of a gang that is not repeatable.
#[test]
fn gangs_that_are_not_repeatable() {
    fn holds(seed: u64) -> quickcheck::TestResult {
        check(seed, task::Class::Gang, once(TASKS))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(100)
        .quickcheck(holds as fn(u64) -> quickcheck::TestResult);
}

/// Guards against a fixture whose names do not fit the simulation.
#[test]
fn the_job_is_never_at_home_at_the_owner_of_the_workers() {
    for members in MEMBERS {
        assert_ne!(host(rendezvous::ranked(&job_id(), members)[0]), host("h3"));
    }
}
