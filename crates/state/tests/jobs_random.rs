//! Random changes of the owner of a job, with delayed, lost and duplicate messages.
//!
//! Two hosts own jobs in turn. A third host owns all workers and is simulated here: it accepts
//! tasks only from the owner of their job, and lists the running attempts after each epoch.

mod jobs_support;

use std::collections;
use std::time;

use pier_core::{caller, ids, rendezvous, task};
use pier_state::record;
use pier_state::work::{jobs, placement};
use quickcheck::{Gen, QuickCheck};
use rand::{Rng, SeedableRng, rngs};

use jobs_support::{Fixture, end, host, not_repeatable, not_run, request, started, unknown_end};

/// The size and the seed of the random cases, so that every run of the tests generates the same
/// ones.
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

/// A message to the worker owner.
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
    /// The number of log items that each host has folded. The last host is the worker owner.
    folded: [usize; 3],
    to_owner: [collections::VecDeque<ToOwner>; 2],
    to_hosts: Vec<(usize, ToHost)>,
    epoch: ids::Epoch,
    members: &'static [&'static str],
    /// The attempts at the worker owner: the host that placed each, its stage, and whether capacity
    /// is reserved first.
    attempts: collections::BTreeMap<placement::AttemptId, (usize, Stage, bool)>,
    used: collections::BTreeSet<placement::AttemptId>,
    runs: collections::BTreeMap<ids::TaskId, u32>,
    job: ids::JobId,
    failure: Option<String>,
}

/// A job id whose home is `h1` or `h2` for each list in `MEMBERS`.
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
        let mut hosts = HOSTS.map(|me| Fixture::before_reports_as(me, MEMBERS[0]));
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

    /// Sends the list of running attempts to the home of the job. The other members have no
    /// workers.
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
            let commands = std::mem::take(&mut host.commands);
            let queue = &mut self.to_owner[index];
            for placement in commands.place {
                let attempt = (placement.spec.task, placement.attempt);
                if !self.used.insert(attempt.clone()) {
                    self.failure = Some(format!("attempt {attempt:?} was placed twice"));
                }
                queue.push_back(ToOwner::Place { attempt, reserve: placement.reserve });
            }
            queue.extend(commands.commit.into_iter().map(ToOwner::Commit));
            queue.extend(commands.cancel.into_iter().map(ToOwner::Cancel));
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
                    // The members without workers report immediately that they track no attempts.
                    for member in members.iter().filter(|member| **member != "h3") {
                        self.hosts[index].report_attempts(member, true, &[]);
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
                let is_late = jobs::is_from_earlier_epoch(attempt.1, self.epoch);
                if self.home() != index || is_late {
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

    /// Starts an attempt that is in stage `from`. Checks that no other attempt of the task runs.
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
        // The message is lost in some cases.
        if self.chance(80) {
            self.to_hosts.push((origin, ToHost::Placed(attempt.clone(), started())));
        }
    }

    /// Ends an attempt. The end is sent to the owner of the job until it is accepted.
    fn finish(&mut self, attempt: &placement::AttemptId, event: placement::AttemptEvent) {
        self.attempts.remove(attempt);
        let home = self.home();
        self.to_hosts.push((home, ToHost::Placed(attempt.clone(), event)));
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
                    let event = placement::AttemptEvent::Reserved;
                    self.to_hosts.push((origin, ToHost::Placed(attempt, event)));
                }
                Stage::Queued if !reserve && self.chance(40) => {
                    self.start(&attempt, Stage::Queued);
                }
                Stage::Running if self.chance(10) => {
                    let event = match self.random.random_range(0..20) {
                        0 if faults => unknown_end(),
                        1 if faults => end(task::EndKind::Lapsed),
                        2 if faults => end(task::EndKind::Checkpointed),
                        _ => end(task::EndKind::Done),
                    };
                    self.finish(&attempt, event);
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
            ToHost::Placed(attempt, event) => {
                let ended = matches!(event, placement::AttemptEvent::Ended { .. });
                let is_home = self.hosts[index].cluster.is_home_of(&self.job);
                if ended && !is_home {
                    // The end is not acknowledged and is sent to the owner of the job again.
                    let home = self.home();
                    self.to_hosts.push((home, ToHost::Placed(attempt, event)));
                    return;
                }
                self.hosts[index].on_attempt_event(&attempt, event);
            }
            ToHost::Held(epoch, tasks) => {
                let is_complete = epoch == self.hosts[index].cluster.epoch;
                let list: Vec<(&str, ids::Attempt)> =
                    tasks.iter().map(|(task, attempt)| (task.as_ref(), *attempt)).collect();
                self.hosts[index].report_attempts("h3", is_complete, &list);
                if !is_complete && epoch > self.hosts[index].cluster.epoch {
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

/// Guards against two attempts of a task that run at the same time, duplicate attempt numbers, jobs
/// that never end, and jobs that end before their tasks.
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

/// Guards against the same, and against a second run of a non-repeatable task.
#[test]
fn jobs_that_are_not_repeatable() {
    fn holds(seed: u64) -> quickcheck::TestResult {
        check(seed, task::Class::Batch, not_repeatable(TASKS))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(200)
        .quickcheck(holds as fn(u64) -> quickcheck::TestResult);
}

/// Guards against the same for gangs.
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

/// Guards against the return of faults that were found with these seeds.
#[test]
fn regression_seeds() {
    // A placement request arrived two epochs late, after another owner had placed the task.
    let seeds = [15_720_383_288_675_727_339];
    for seed in seeds {
        let result = check(seed, task::Class::Batch, request(TASKS));
        assert!(!result.is_failure(), "{result:?}");
    }
}

/// Guards against a second run of a task of a non-repeatable gang.
#[test]
fn gangs_that_are_not_repeatable() {
    fn holds(seed: u64) -> quickcheck::TestResult {
        check(seed, task::Class::Gang, not_repeatable(TASKS))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(100)
        .quickcheck(holds as fn(u64) -> quickcheck::TestResult);
}

/// Guards against a job id that does not fit the simulation.
#[test]
fn the_home_of_the_job_is_never_the_worker_owner() {
    for members in MEMBERS {
        assert_ne!(host(rendezvous::ranked(&job_id(), members)[0]), host("h3"));
    }
}
