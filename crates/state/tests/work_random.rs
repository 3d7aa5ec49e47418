//! Random sequences of events, with checks of the invariants after every event.

mod work_support;

use std::collections;

use pier_core::{caller, ids};
use pier_state::cluster;
use pier_state::effect::CallerAnswer;
use pier_state::event::{CallerEvent, CallerRequest};
use pier_state::work::WorkEvent;

use work_support::{Cell, Mode, Network, amount, ms, request};

/// The size and the seed of the random cases, so that every run of the tests generates the same
/// ones.
const GEN_SIZE: usize = 100;
const SEED: u64 = 1;

const HOSTS: usize = 3;
const WORKERS: usize = 5;
const SEQUENCES: u64 = 150;

/// A request that was sent, and what its answer depends on.
#[derive(Debug)]
struct Sent {
    host: usize,
    ticket: ids::Ticket,
    body: String,
    key: Option<String>,
    repeatable: bool,
    disconnected: bool,
}

struct Run {
    cell: Cell,
    sent: Vec<Sent>,
    /// The largest limit of the team red so far.
    limit: u64,
    lost: Option<usize>,
    jobs: u32,
}

impl Run {
    fn new() -> Self {
        let mut cell = Cell::new(HOSTS, WORKERS, 3);
        cell.declare([Some(amount(5)), None]);
        cell.run(ms(500));
        Self { cell, sent: Vec::new(), limit: 5, lost: None, jobs: 0 }
    }

    fn apply(&mut self, (what, a, b): (u8, u8, u8)) {
        let host = usize::from(a) % HOSTS;
        match what % 14 {
            0..=4 => self.send_request(host, b),
            5 => self.cell.run(ms(u64::from(a) * 10)),
            6 => self.set_mode(a, b),
            7 => self.disconnect_caller(a),
            8 => {
                let slots = 1 + u64::from(a % 8);
                self.limit = self.limit.max(slots);
                self.cell.declare([Some(amount(slots)), None]);
            }
            9 => self.hand_over(a, b),
            10 => self.lose_host(host),
            11 => {
                self.jobs += 1;
                let job = self.cell.job_at(self.alive(host), &format!("job-{}", self.jobs));
                self.cell.add_job(&job, 1 + u32::from(b % 3));
            }
            12 => {
                let percent = u32::from(a % 40);
                self.cell.network = Network {
                    lost_percent: percent,
                    repeated_percent: percent,
                    delayed_percent: percent,
                };
            }
            _ => {
                let cluster = &mut self.cell.hosts[host].cluster;
                cluster.authority = match b % 2 {
                    0 => cluster::Authority::None,
                    _ => cluster::Authority::Outage,
                };
            }
        }
    }

    fn alive(&self, host: usize) -> usize {
        if self.lost == Some(host) { (host + 1) % HOSTS } else { host }
    }

    fn send_request(&mut self, host: usize, b: u8) {
        let host = self.alive(host);
        let body = format!("body {}", self.sent.len());
        let key = b.is_multiple_of(4).then(|| format!("key {}", b % 16));
        let (queue, secret) = match b % 3 {
            0 => ("keyed", Some("key-blue".into())),
            _ => ("open", None),
        };
        let caller_request = CallerRequest {
            key: secret,
            idempotency_key: key.as_deref().map(Into::into),
            repeatable: b.is_multiple_of(5),
            deadline: b.is_multiple_of(7).then(|| self.cell.now + ms(u64::from(b) * 8)),
            ..request(queue, &body)
        };
        let repeatable = caller_request.repeatable;
        let ticket = self.cell.send_request(host, caller_request);
        let key = key.map(|key| format!("{queue} {key}"));
        self.sent.push(Sent { host, ticket, body, key, repeatable, disconnected: false });
    }

    fn set_mode(&mut self, a: u8, b: u8) {
        let modes = [
            Mode::Healthy,
            Mode::Refuses,
            Mode::Unreachable,
            Mode::LosesAnswers,
            Mode::AnswersTwice,
        ];
        let index = usize::from(a) % WORKERS;
        let worker = self.cell.workers.values_mut().nth(index).expect("a worker");
        worker.mode = modes[usize::from(b) % modes.len()];
    }

    fn disconnect_caller(&mut self, a: u8) {
        if self.sent.is_empty() {
            return;
        }
        let index = usize::from(a) % self.sent.len();
        let sent = &mut self.sent[index];
        if sent.disconnected || self.cell.answers.contains_key(&(sent.host, sent.ticket)) {
            return;
        }
        sent.disconnected = true;
        let (host, ticket) = (sent.host, sent.ticket);
        self.cell.handle(host, WorkEvent::Caller(CallerEvent::Disconnected { ticket }));
    }

    fn worker(&self, a: u8) -> ids::WorkerId {
        let index = usize::from(a) % WORKERS;
        self.cell.workers.keys().nth(index).expect("a worker").clone()
    }

    fn hand_over(&mut self, a: u8, b: u8) {
        let worker = self.worker(a);
        let to = usize::from(b) % HOSTS;
        let from = self.cell.workers[&worker].owner;
        if to != from && Some(to) != self.lost && Some(from) != self.lost {
            self.cell.hand_over(&worker, to);
        }
    }

    /// Makes a host fail, at most once in a run.
    fn lose_host(&mut self, host: usize) {
        if self.lost.is_some() {
            return;
        }
        self.lost = Some(host);
        let successor = (host + 1) % HOSTS;
        self.cell.hosts[host].is_up = false;
        self.cell.new_epoch(&[host], successor);
        self.cell.run(ms(3_500));
        let workers: Vec<ids::WorkerId> = self.cell.workers.keys().cloned().collect();
        for worker in workers {
            if self.cell.workers[&worker].owner == host {
                self.cell.take_over(&worker, successor);
            }
        }
    }

    /// Checks the invariants that hold at all times.
    fn check(&self) {
        let running = self.cell.team_running("red").slots;
        assert!(running <= self.limit, "{running} slots run with a limit of {}", self.limit);
        let mut held = 0;
        for host in 0..HOSTS {
            if self.lost == Some(host) {
                continue;
            }
            assert_eq!(self.cell.counters(host).invariant_violations, 0);
            let status = self.cell.status(host);
            for team in &status.teams {
                if team.limit.is_some() {
                    assert!(team.used_here.fits_in(&team.held_here), "{team:?}");
                    held += team.held_here.slots;
                }
            }
        }
        assert!(held <= self.limit, "{held} slots are held of {}", self.limit);
        for (id, count) in &self.cell.start_counts {
            assert_eq!(*count, 1, "attempt {id:?} was carried out {count} times");
        }
        let mut tasks = collections::BTreeSet::new();
        for worker in self.cell.workers.values() {
            for (task, _) in worker.running.keys() {
                assert!(tasks.insert(task), "task {task} runs in two places");
            }
        }
    }

    /// Repairs all faults, waits, and checks the answers to all requests.
    fn finish(&mut self) {
        self.cell.network = Network::default();
        for worker in self.cell.workers.values_mut() {
            worker.mode = Mode::Healthy;
        }
        for host in &mut self.cell.hosts {
            host.cluster.authority = cluster::Authority::Fresh;
        }
        for _ in 0..80 {
            self.cell.run(ms(1_000));
            self.check();
        }
        let mut by_key: collections::BTreeMap<&str, u32> = collections::BTreeMap::new();
        for sent in &self.sent {
            let runs = self.cell.run_counts.get(&sent.body.as_str().into()).copied().unwrap_or(0);
            if !sent.repeatable {
                assert!(runs <= 1, "{sent:?} ran {runs} times");
            }
            if let Some(key) = &sent.key
                && !sent.repeatable
            {
                *by_key.entry(key).or_default() += runs;
            }
            if sent.disconnected || self.lost == Some(sent.host) {
                continue;
            }
            self.check_answer(sent, runs);
        }
        for (key, runs) in by_key {
            assert!(runs <= 1, "requests with {key} ran {runs} times");
        }
    }

    fn check_answer(&self, sent: &Sent, runs: u32) {
        match self.cell.answer(sent.host, sent.ticket) {
            None => panic!("{sent:?} was never answered"),
            Some(CallerAnswer::Task { end, .. }) => {
                if sent.key.is_none() {
                    assert_eq!(end.body, sent.body.as_str().into(), "{sent:?}");
                }
            }
            Some(CallerAnswer::Refused(refusal)) => {
                if refusal.outcome == caller::Outcome::NotRun {
                    assert_eq!(runs, 0, "{sent:?} was run and refused: {refusal:?}");
                }
            }
            Some(other) => panic!("{sent:?} got {other:?}"),
        }
    }
}

fn holds(actions: Vec<(u8, u8, u8)>) -> bool {
    let mut run = Run::new();
    for action in actions {
        run.apply(action);
        run.cell.step();
        run.check();
    }
    run.finish();
    true
}

/// Guards against violations of the invariants in unforeseen sequences: a worker whose tasks exceed
/// its resources, a team above its limit or a host above its holding, a limit that is lent twice,
/// an attempt that runs twice, a task that runs on two workers at once, a ticket that is answered
/// twice or never or with the answer of another one, and `not_run` for a request that ran.
#[test]
fn invariants_hold_in_random_sequences() {
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(SEQUENCES)
        .quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}
