//! Measures a scheduling pass of a full cell: 350 workers and 2,000 waiting steps of 20 tasks, a
//! fifth of them gangs, with and without shares and preemption.
//!
//! `cargo bench -p pier-cell --bench full_pass`

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use std::collections::BTreeMap;
use std::sync;
use std::time;

use pier_cell::decider::RequestOrigin;
use pier_cell::declaration::{Account, Declaration};
use pier_cell::effect::{Effect, WorkerOperation};
use pier_cell::event::{ListedRun, StartResponse, WorkerRecord};
use pier_cell::follower::FollowerUpdate;
use pier_cell::job::{JobSpec, Step};
use pier_core::resources::Resources;

use fixture::{Fixture, cores, queue, worker_call};

const WORKERS: u64 = 350;
const STEPS: u64 = 2_000;
const ACCOUNTS: u64 = 20;
const PASSES: u32 = 240;
/// The first passes fill the cell and are not measured.
const FILLING_PASSES: u32 = 6;
const PASS_MS: u64 = 30;

/// What runs on each worker.
type Running = BTreeMap<String, Vec<ListedRun>>;

fn main() {
    println!("shares reclaim | median us  p99 us  longest us | stops");
    for (shares, reclaim) in [(false, false), (true, false), (false, true), (true, true)] {
        let mut fixture = full_cell(shares, reclaim);
        let mut running = Running::new();
        let mut durations = Vec::new();
        let mut stops = 0;
        for pass in 0..PASSES {
            fixture.wall_ms += PASS_MS;
            fixture.now += time::Duration::from_millis(PASS_MS);
            let began = time::Instant::now();
            let effects = fixture.advance(0);
            if pass >= FILLING_PASSES {
                durations.push(began.elapsed());
            }
            let stored = fixture.complete_appends(&effects);
            for effect in effects.iter().chain(&stored) {
                // Later polls wait for an end.
                stops += answer(&mut fixture, &mut running, effect, pass < FILLING_PASSES);
            }
        }
        durations.sort_unstable();
        println!(
            "{shares:6} {reclaim:7} | {:9} {:7} {:11} | {stops}",
            durations[durations.len() / 2].as_micros(),
            durations[durations.len() * 99 / 100].as_micros(),
            durations[durations.len() - 1].as_micros(),
        );
    }
}

fn full_cell(shares: bool, reclaim: bool) -> Fixture {
    let mut fixture = Fixture::new(queue(None));
    fixture.options.load.shares = shares;
    fixture.options.load.reclaim = reclaim;
    fixture.options.max_waiting_jobs = usize::MAX;
    fixture.options.poll_wait = time::Duration::from_secs(600);
    let mut accounts = Vec::new();
    for (index, weight) in (0..ACCOUNTS).zip(1..) {
        let (name, keys) = (format!("a{index}").into(), vec![format!("k{index}").into()]);
        accounts.push(Account { name, keys, weight, cap: Resources::MAX });
    }
    fixture.declaration = Declaration::new(2, vec![queue(None)], accounts, 100_000);
    let mut records = Vec::new();
    for index in 0..WORKERS {
        let WorkerRecord { id, entry } = fixture::record(&format!("w{index}"));
        let mut entry = entry.expect("an entry");
        entry.capacity = cores(32 + index % 2 * 32);
        records.push((0, WorkerRecord { id, entry: Some(entry) }));
    }
    let update = FollowerUpdate { is_reset: true, records, is_caught_up: true };
    fixture.with_decider(|decider, _| decider.on_worker_records(update));
    for index in 0..STEPS {
        let step = Step {
            tasks: 20,
            need: cores(3 + index % 3),
            gang: index % 5 == 0,
            estimate_ms: 1_000 + index % 40 * 100,
            checkpointing: index % 2 == 0,
            ..Step::default()
        };
        let spec = JobSpec {
            id: format!("job{index}").into(),
            queue: "queue".into(),
            account: Some(format!("a{}", index % ACCOUNTS).into()),
            payload: "text".into(),
            steps: vec![step],
        };
        fixture.with_decider(|decider, context| {
            decider.on_submit(context, RequestOrigin::Local(1), sync::Arc::new(spec));
        });
    }
    fixture
}

/// Answers a call of a worker. Returns the number of stops, which are not carried out.
fn answer(
    fixture: &mut Fixture,
    running: &mut Running,
    effect: &Effect,
    answers_polls: bool,
) -> usize {
    let Some((target, operation)) = worker_call(effect) else {
        return 0;
    };
    let on_worker = running.entry(target.worker.to_string()).or_default();
    match operation {
        WorkerOperation::Start(start) => {
            let (task, number) = (start.task.clone(), start.number);
            on_worker.push(ListedRun {
                task: task.clone(),
                number,
                checkpoint: None,
                percent: None,
            });
            let response = StartResponse::Started { clock_ms: 5_000 };
            fixture.with_decider(|decider, context| {
                decider.on_start_response(context, &task, number, response);
            });
            0
        }
        WorkerOperation::Poll { sent_at, .. } if answers_polls => {
            fixture.report_poll(&target.worker, *sent_at, on_worker.clone(), Vec::new());
            0
        }
        WorkerOperation::Poll { .. } => 0,
        WorkerOperation::Stop { .. } => 1,
    }
}
