//! Starts that get no response, while the other members of the gang wait for the run and a long poll
//! of the worker is in progress.

mod fixture;

use std::collections::BTreeSet;
use std::time;

use pier_cell::effect::{Effect, WorkerOperation};
use pier_cell::event::{ListedRun, PollResponse, StartResponse};
use pier_cell::job::TaskRef;

use fixture::{Fixture, count_starts, queue, single_step, worker_call};

/// How long a member of a gang waits for the others before it ends alone.
const GANG_WAIT: time::Duration = time::Duration::from_millis(3_000);
const WORKERS: [&str; 3] = ["w0", "w1", "w2"];

/// Workers that hold a poll open for as long as it allows, as they have nothing to report.
struct Workers {
    fixture: Fixture,
    /// The polls in progress: the worker, when the poll was sent and when the response is due.
    polls: Vec<(String, time::Duration, time::Duration)>,
    /// The task whose start is lost, until it has been stopped.
    lost: Option<TaskRef>,
    /// Whether stops of that task get responses.
    are_stops_answered: bool,
    stopped: BTreeSet<TaskRef>,
}

impl Workers {
    /// A gang of which one member's start gets no response.
    fn with_a_lost_start(are_stops_answered: bool) -> Self {
        let mut fixture = Fixture::new(queue(None));
        fixture.list_workers(&WORKERS);
        let task = fixture.submit(single_step(WORKERS.len(), true));
        let mut workers = Self {
            fixture,
            polls: Vec::new(),
            lost: None,
            are_stops_answered,
            stopped: BTreeSet::new(),
        };
        let effects = workers.fixture.advance(30);
        let starts = workers.fixture.complete_appends(&effects);
        assert_eq!(count_starts(&starts), WORKERS.len());
        workers.handle(&effects);
        // The polls are in progress when the starts are sent.
        let effects = workers.fixture.advance(1);
        workers.handle(&effects);
        workers.lost = Some(TaskRef { index: 1, ..task });
        workers.handle(&starts);
        workers
    }

    fn handle(&mut self, effects: &[Effect]) {
        for effect in effects {
            let Some((target, operation)) = worker_call(effect) else {
                continue;
            };
            match operation {
                WorkerOperation::Poll { sent_at, wait_ms, .. } => {
                    // A new poll ends the one in progress.
                    self.polls.retain(|(worker, ..)| *worker != *target.worker);
                    let due_at = self.fixture.now + time::Duration::from_millis(*wait_ms);
                    self.polls.push((target.worker.to_string(), *sent_at, due_at));
                }
                WorkerOperation::Start(request) => {
                    let (task, number) = (request.task.clone(), request.number);
                    let response = if self.lost.as_ref() == Some(&task) {
                        StartResponse::NoAnswer
                    } else {
                        StartResponse::Started { clock_ms: 5_000 }
                    };
                    self.fixture.with_decider(|decider, context| {
                        decider.on_start_response(context, &task, number, response);
                    });
                }
                WorkerOperation::Stop { task, number } => {
                    self.stopped.insert(task.clone());
                    let is_acknowledged =
                        self.are_stops_answered || self.lost.as_ref() != Some(task);
                    let (task, number) = (task.clone(), *number);
                    self.fixture.with_decider(|decider, context| {
                        decider.on_stop_response(context, &task, number, is_acknowledged);
                    });
                }
            }
        }
    }

    /// Runs until all members have been told to stop, for at most this time. No worker has anything
    /// to report but the runs that were started there.
    fn run_until_stopped(&mut self, limit: time::Duration) {
        let task = self.lost.clone().expect("a lost start");
        let until = self.fixture.now + limit;
        while self.fixture.now < until && self.stopped.len() < WORKERS.len() {
            let effects = self.fixture.advance(5);
            self.handle(&effects);
            let stored = self.fixture.complete_appends(&effects);
            self.handle(&stored);
            let due = self.polls.extract_if(.., |(.., due_at)| self.fixture.now >= *due_at);
            for (worker, sent_at, _) in due.collect::<Vec<_>>() {
                let mut running = Vec::new();
                for index in 0..WORKERS.len() {
                    let member = TaskRef { index, ..task.clone() };
                    let is_here = self.fixture.cell_state.live["job"].progress.steps[0][index]
                        .phase
                        == assigned(&worker);
                    let is_running =
                        self.lost.as_ref() != Some(&member) && !self.stopped.contains(&member);
                    if is_here && is_running {
                        running.push(ListedRun {
                            task: member,
                            number: 1,
                            checkpoint: None,
                            percent: None,
                        });
                    }
                }
                let report = PollResponse::Report {
                    clock_ms: 5_000,
                    incarnation: Some(1),
                    running,
                    ended: Vec::new(),
                    is_incomplete: false,
                };
                self.fixture.with_decider(|decider, context| {
                    decider.on_poll_response(context, &worker.as_str().into(), sent_at, report);
                });
            }
        }
    }
}

fn assigned(worker: &str) -> pier_cell::progress::Phase {
    pier_cell::progress::Phase::Assigned { worker: worker.into(), incarnation: 1 }
}

/// Guards against members of a gang that end alone: the start of one got no response, and the decider
/// looked for the run only after the long polls in progress (review/9, GANG).
#[test]
fn a_gang_with_a_lost_start_is_stopped_before_its_members_end_alone() {
    let mut workers = Workers::with_a_lost_start(true);
    workers.run_until_stopped(GANG_WAIT);
    let stopped: Vec<usize> = workers.stopped.iter().map(|task| task.index).collect();
    assert_eq!(stopped, [0, 1, 2]);
}

/// Guards against members of a gang that wait while the stop of one whose start was lost gets no
/// response either (seed 71892 of `random_declarations`).
#[test]
fn a_gang_is_stopped_although_the_stop_of_its_lost_member_has_no_response() {
    let mut workers = Workers::with_a_lost_start(false);
    workers.run_until_stopped(GANG_WAIT);
    let stopped: Vec<usize> = workers.stopped.iter().map(|task| task.index).collect();
    assert_eq!(stopped, [0, 1, 2]);
}
