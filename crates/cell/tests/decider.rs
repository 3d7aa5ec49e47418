//! The decider alone: what it does between the decision, the append and the answers.

use std::collections::BTreeSet;
use std::sync;
use std::time;

use pier_cell::cell_state::CellState;
use pier_cell::decider::{Context, Decider, Origin};
use pier_cell::declaration::{Account, AdviserTiming, Declaration, Queue};
use pier_cell::effect::{Effect, Target, WorkerOperation};
use pier_cell::event::{
    AppendResponse, ListedEnd, ListedRun, PollResponse, StartResponse, WorkerRecord,
};
use pier_cell::follower::FollowerUpdate;
use pier_cell::job::{JobSpec, JobState, Step, TaskRef};
use pier_cell::options::Options;
use pier_cell::peer::Advice;
use pier_cell::run::EndKind;
use pier_cell::worker::Entry;
use pier_core::resources::Resources;

const TOKEN: u64 = 7;

struct Bench {
    now: time::Duration,
    options: Options,
    directory: Declaration,
    zones_out: BTreeSet<pier_core::ids::ZoneId>,
    ledger: CellState,
    decider: Option<Decider>,
    end: u64,
    /// Starts that were sent after an append was stored.
    started: usize,
    /// What the decider did at once on a submission.
    early: Vec<Effect>,
}

impl Bench {
    fn new(queue: Queue) -> Self {
        let account = Account {
            name: "team".into(),
            keys: vec!["key".into()],
            weight: 1,
            cap: Resources::MAX,
        };
        let mut bench = Self {
            now: time::Duration::from_secs(10),
            options: Options::default(),
            directory: Declaration::new(1, vec![queue], vec![account], 100_000),
            zones_out: BTreeSet::new(),
            ledger: CellState::default(),
            decider: None,
            end: 100,
            started: 0,
            early: Vec::new(),
        };
        let decider = {
            let mut effects = Vec::new();
            let mut context = bench.context(&mut effects);
            Decider::new(&mut context, 1, TOKEN, 100)
        };
        bench.decider = Some(decider);
        bench
    }

    fn context<'a>(&'a mut self, effects: &'a mut Vec<Effect>) -> Context<'a> {
        Context {
            now: self.now,
            wall_ms: 1_000_000,
            options: &self.options,
            directory: &self.directory,
            zones_out: &self.zones_out,
            ledger: &mut self.ledger,
            effects,
        }
    }

    fn act(&mut self, act: impl FnOnce(&mut Decider, &mut Context<'_>)) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut decider = self.decider.take().expect("the bench has a decider");
        act(&mut decider, &mut self.context(&mut effects));
        self.decider = Some(decider);
        effects
    }

    fn advance(&mut self, millis: u64) -> Vec<Effect> {
        self.now += time::Duration::from_millis(millis);
        let mut effects = std::mem::take(&mut self.early);
        effects.extend(self.act(|decider, context| decider.advance(context)));
        effects
    }

    /// Lists workers, which are looked at. Returns what the decider did after that.
    fn list(&mut self, ids: &[&str]) -> Vec<Effect> {
        let records = ids.iter().map(|id| (0, record(id))).collect();
        let learned = FollowerUpdate { is_reset: true, records, is_caught_up: true };
        self.act(|decider, context| decider.on_workers(context, learned));
        let looks = self.advance(30);
        for effect in looks {
            let Some((target, WorkerOperation::Poll { sent_at, .. })) = called(&effect) else {
                continue;
            };
            self.report(&target.worker, *sent_at, Vec::new(), Vec::new());
        }
        // The first append of the decider is under way.
        self.now += time::Duration::from_millis(400);
        let effects = self.advance(0);
        self.store(&effects);
        effects
    }

    fn report(
        &mut self,
        id: &str,
        sent_at: time::Duration,
        running: Vec<ListedRun>,
        ended: Vec<ListedEnd>,
    ) {
        let answer = PollResponse::Report { clock_ms: 5_000, incarnation: Some(1), running, ended };
        self.act(|decider, context| {
            decider.on_look_answered(context, &id.into(), sent_at, answer);
        });
    }

    fn submit(&mut self, steps: Vec<Step>) -> TaskRef {
        let spec = JobSpec {
            id: "job".into(),
            queue: "queue".into(),
            account: Some("team".into()),
            payload: "text".into(),
            steps,
        };
        self.early = self.act(|decider, context| {
            decider.on_submit(context, Origin::Local(1), sync::Arc::new(spec));
        });
        TaskRef { job: "job".into(), step: 0, index: 0 }
    }

    /// Answers the append among the effects as stored.
    fn store(&mut self, effects: &[Effect]) -> Vec<Effect> {
        let mut stored = Vec::new();
        for effect in effects {
            let Effect::Append { ticket, records, .. } = effect else {
                continue;
            };
            self.end += u64::try_from(records.len()).expect("few records");
            let answer = AppendResponse::Stored { end: self.end };
            let ticket = *ticket;
            stored.extend(self.act(|decider, context| {
                decider.on_appended(context, ticket, answer);
            }));
        }
        self.started += starts(&stored);
        stored
    }

    fn state(&self) -> Option<JobState> {
        self.ledger.job_state("job")
    }
}

fn record(id: &str) -> WorkerRecord {
    let entry = Entry {
        id: id.into(),
        address: format!("{id}:1").into(),
        service: "pool".into(),
        zone: "north".into(),
        life: 1,
        labels: Vec::new(),
        capacity: cores(4),
        is_draining: false,
        remaining: None,
    };
    WorkerRecord { id: id.into(), entry: Some(entry) }
}

fn cores(count: u64) -> Resources {
    Resources { cpu_milli: count * 1_000, ..Resources::ZERO }
}

fn queue(advice: Option<AdviserTiming>) -> Queue {
    Queue {
        name: "queue".into(),
        host: "cell.example".into(),
        path_prefix: "/queue/".into(),
        service: "pool".into(),
        priority: 0,
        max_attempts: 2,
        slack_factor: 2.0,
        target_latency: time::Duration::from_secs(1),
        advice,
        is_public: false,
    }
}

fn tasks(count: usize, gang: bool) -> Vec<Step> {
    vec![Step { tasks: count, need: cores(4), gang, estimate_ms: 100, ..Step::default() }]
}

/// The call of a worker that the effect is.
fn called(effect: &Effect) -> Option<(&Target, &WorkerOperation)> {
    match effect {
        Effect::CallWorker(call) => Some((&call.target, &call.operation)),
        _ => None,
    }
}

fn starts(effects: &[Effect]) -> usize {
    let is_start =
        |effect: &&Effect| matches!(called(effect), Some((_, WorkerOperation::Start(_))));
    effects.iter().filter(is_start).count()
}

/// Guards against a start that the log does not hold: after the decider's death nobody would know
/// of it, and the task would run twice.
#[test]
fn starts_are_sent_after_their_record_is_stored() {
    let mut bench = Bench::new(queue(None));
    bench.list(&["w0"]);
    bench.submit(tasks(1, false));
    let effects = bench.advance(30);
    assert_eq!(starts(&effects), 0);
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Append { .. })));
    assert_eq!(starts(&bench.store(&effects)), 1);
}

/// Guards against a gang of which a part was started: its members wait for the others in vain. One
/// worker begins to drain between the decision and the answer of the log.
#[test]
fn a_gang_is_started_whole_or_not_at_all() {
    let mut bench = Bench::new(queue(None));
    bench.list(&["w0", "w1", "w2"]);
    bench.submit(tasks(3, true));
    let effects = bench.advance(30);
    let mut draining = record("w1");
    draining.entry.as_mut().expect("an entry").is_draining = true;
    let learned =
        FollowerUpdate { is_reset: false, records: vec![(1, draining)], is_caught_up: true };
    bench.act(|decider, context| decider.on_workers(context, learned));
    let mut stored = bench.store(&effects);
    let sent = starts(&stored);
    stored.extend(bench.advance(1));
    let stops = stored
        .iter()
        .filter(|effect| matches!(called(effect), Some((_, WorkerOperation::Stop { .. }))))
        .count();
    assert_eq!(sent, stops, "each member that was started is stopped again");
    assert_eq!(sent, 0, "the decider knew of the drain before it sent the first start");
}

/// Guards against a second run while the first may still begin: a start without an answer may be
/// carried out seconds later, until a stop of that run is acknowledged.
#[test]
fn a_start_without_an_answer_is_barred_before_the_task_runs_elsewhere() {
    let mut bench = Bench::new(queue(None));
    bench.list(&["w0", "w1"]);
    let task = bench.submit(tasks(1, false));
    let effects = bench.advance(30);
    let sent = bench.store(&effects);
    let worker = sent
        .iter()
        .find_map(|effect| match called(effect) {
            Some((target, WorkerOperation::Start(_))) => Some(target.worker.clone()),
            _ => None,
        })
        .expect("a start");
    bench.act(|decider, context| {
        decider.on_start_answered(context, &task, 1, StartResponse::NoAnswer);
    });
    // The worker does not list the run: the order may still be under way.
    for _ in 0..4 {
        let effects = bench.advance(200);
        let mut stopped = false;
        for effect in &effects {
            match called(effect) {
                Some((target, WorkerOperation::Poll { sent_at, .. })) => {
                    bench.report(&target.worker, *sent_at, Vec::new(), Vec::new());
                }
                Some((target, WorkerOperation::Stop { number, .. })) => {
                    assert_eq!((&target.worker, *number), (&worker, 1));
                    stopped = true;
                }
                _ => {}
            }
        }
        let stored = bench.store(&effects);
        assert_eq!(starts(&stored), 0, "no second run before the stop is acknowledged");
        if stopped {
            break;
        }
    }
    bench.act(|decider, context| decider.on_stop_answered(context, &task, 1, true));
    let mut second = 0;
    for _ in 0..4 {
        let effects = bench.advance(200);
        for effect in &effects {
            if let Some((target, WorkerOperation::Poll { sent_at, .. })) = called(effect) {
                bench.report(&target.worker, *sent_at, Vec::new(), Vec::new());
            }
        }
        second += starts(&bench.store(&effects));
    }
    assert_eq!(second, 1, "the task runs elsewhere once the first run is barred");
}

/// Guards against counting one failure twice: a worker lists an end again until it is acknowledged,
/// and after a change of the decider once more.
#[test]
fn a_failure_that_is_listed_again_counts_once() {
    let mut bench = Bench::new(queue(None));
    bench.list(&["w0"]);
    let task = bench.submit(tasks(1, false));
    let effects = bench.advance(30);
    bench.store(&effects);
    let end = ListedEnd {
        sequence: 1,
        task: Some(task.clone()),
        number: 1,
        kind: Some(EndKind::Failed),
        checkpoint: None,
    };
    let again = ListedEnd { sequence: 2, ..end.clone() };
    let now = bench.now;
    bench.report("w0", now, Vec::new(), vec![end, again]);
    assert_ne!(bench.state(), Some(JobState::Failed), "one of two attempts has failed");
}

/// Guards against a job that ends as failed too late or never: its queue allows two attempts.
#[test]
fn a_job_has_failed_after_as_many_failures_as_its_queue_allows() {
    let mut bench = Bench::new(queue(None));
    bench.list(&["w0"]);
    let task = bench.submit(tasks(1, false));
    for number in 1..=2 {
        let effects = bench.advance(30);
        let stored = bench.store(&effects);
        assert_eq!(starts(&stored), 1, "attempt {number}");
        let end = ListedEnd {
            sequence: u64::from(number),
            task: Some(task.clone()),
            number,
            kind: Some(EndKind::Failed),
            checkpoint: None,
        };
        let now = bench.now;
        bench.report("w0", now, Vec::new(), vec![end]);
    }
    assert_eq!(bench.state(), Some(JobState::Failed));
}

/// Guards against acknowledging an end before it is stored: the worker forgets it, and after the
/// decider's death nobody would know that the task is done.
#[test]
fn an_end_is_acknowledged_after_its_record_is_stored() {
    let mut bench = Bench::new(queue(None));
    bench.list(&["w0"]);
    let task = bench.submit(tasks(2, false));
    let effects = bench.advance(30);
    bench.store(&effects);
    let end = ListedEnd {
        sequence: 1,
        task: Some(task),
        number: 1,
        kind: Some(EndKind::Done),
        checkpoint: None,
    };
    let now = bench.now;
    bench.report("w0", now, Vec::new(), vec![end]);
    let effects = bench.advance(30);
    let is_acknowledged = |effects: &[Effect]| {
        effects.iter().any(|effect| {
            let call = called(effect);
            matches!(call, Some((_, WorkerOperation::Poll { ends_stored, .. })) if *ends_stored > 0)
        })
    };
    assert!(!is_acknowledged(&effects), "the append is only under way");
    bench.store(&effects);
    let effects = bench.advance(30);
    assert!(is_acknowledged(&effects));
}

/// Guards against starts without a ticket, and against tickets that have lapsed.
#[test]
fn a_queue_with_a_policy_starts_only_with_valid_tickets() {
    let terms = AdviserTiming {
        base: time::Duration::from_millis(10),
        per_worker: time::Duration::from_millis(1),
        validity: time::Duration::from_millis(1_500),
    };
    let mut bench = Bench::new(queue(Some(terms)));
    bench.list(&["w0", "w1"]);
    bench.submit(tasks(1, false));
    let effects = bench.advance(30);
    let question = effects
        .iter()
        .find_map(|effect| match effect {
            Effect::RequestAdvice(question) => Some(question.clone()),
            _ => None,
        })
        .expect("the adviser is asked");
    bench.store(&effects);
    let answer = Advice { eligible: vec![("w1".into(), "ticket".to_owned())], valid_ms: 1_500 };
    bench.act(|decider, context| decider.on_advice(context, question.ticket, Some(&answer)));
    let effects = bench.advance(30);
    // The log answers only when the ticket has lapsed.
    bench.now += time::Duration::from_millis(950);
    let late = bench.store(&effects);
    assert_eq!(starts(&late), 1, "the ticket is still valid");
    let Some((target, WorkerOperation::Start(order))) = late.iter().find_map(called) else {
        unreachable!("a start was counted");
    };
    assert_eq!((&*target.worker, order.ticket.as_deref()), ("w1", Some("ticket")));
}

fn question(effects: &[Effect]) -> Option<pier_cell::peer::AdviceRequest> {
    effects.iter().find_map(|effect| match effect {
        Effect::RequestAdvice(question) => Some(question.clone()),
        _ => None,
    })
}

fn terms() -> AdviserTiming {
    AdviserTiming {
        base: time::Duration::from_millis(10),
        per_worker: time::Duration::from_millis(1),
        validity: time::Duration::from_millis(1_500),
    }
}

/// Guards against a gang that waits for ever in an empty cell: the adviser was asked while most
/// workers were away, and the few eligible ones of then are too few.
#[test]
fn a_gang_asks_about_workers_that_came_later() {
    let mut bench = Bench::new(queue(Some(terms())));
    bench.list(&["w0"]);
    bench.submit(tasks(2, true));
    let effects = bench.advance(30);
    let first = question(&effects).expect("the adviser is asked");
    bench.store(&effects);
    let answer = Advice { eligible: vec![("w0".into(), "t0".to_owned())], valid_ms: 1_500 };
    bench.act(|decider, context| decider.on_advice(context, first.ticket, Some(&answer)));
    let effects = bench.list(&["w0", "w1"]);
    let mut second = question(&effects);
    for _ in 0..4 {
        let effects = bench.advance(100);
        second = second.or(question(&effects));
        bench.store(&effects);
    }
    let second = second.expect("the adviser is asked about the new worker");
    assert_eq!(second.workers, vec![pier_core::ids::WorkerId::from("w1")]);
}

/// Guards against workers that are kept for a gang and never used: one of them has left, or the
/// gang's account is at its limit.
#[test]
fn kept_workers_are_given_up_when_one_of_them_leaves() {
    let mut bench = Bench::new(queue(None));
    bench.list(&["w0", "w1"]);
    let mut wide = tasks(2, true);
    wide[0].estimate_ms = 1_000;
    // A single task fills a worker, so the gang has to wait and keeps both.
    let spec = JobSpec {
        id: "busy".into(),
        queue: "queue".into(),
        account: Some("team".into()),
        payload: "text".into(),
        steps: tasks(1, false),
    };
    bench.act(|decider, context| {
        decider.on_submit(context, Origin::Local(9), sync::Arc::new(spec));
    });
    let effects = bench.advance(30);
    bench.store(&effects);
    bench.submit(wide);
    let effects = bench.advance(30);
    bench.store(&effects);
    // One of the two leaves; two others come, on which the gang fits.
    bench.list(&["w1", "w2", "w3"]);
    for _ in 0..4 {
        let effects = bench.advance(100);
        bench.store(&effects);
    }
    assert_eq!(bench.started, 3, "the single task and both of the gang");
}

/// Guards against leases that end in an outage of the log: ends that were read cannot be stored, and
/// the runs beside them must go on.
#[test]
fn leases_are_extended_while_ends_cannot_be_stored() {
    let mut bench = Bench::new(queue(None));
    bench.list(&["w0"]);
    let mut steps = tasks(2, false);
    steps[0].need = cores(2);
    let task = bench.submit(steps);
    let effects = bench.advance(30);
    bench.store(&effects);
    let end = ListedEnd {
        sequence: 1,
        task: Some(task),
        number: 1,
        kind: Some(EndKind::Done),
        checkpoint: None,
    };
    let look = bench.advance(30);
    let sent_at = look
        .iter()
        .find_map(|effect| match called(effect) {
            Some((_, WorkerOperation::Poll { sent_at, .. })) => Some(*sent_at),
            _ => None,
        })
        .unwrap_or(bench.now);
    let other = TaskRef { job: "job".into(), step: 0, index: 1 };
    let running = vec![ListedRun { task: other, number: 1, checkpoint: None, percent: None }];
    bench.report("w0", sent_at, running, vec![end]);
    let mut extended = 0;
    // The log answers nothing for four seconds.
    for _ in 0..40 {
        for effect in bench.advance(100) {
            let Some((_, WorkerOperation::Poll { sent_at, ends_stored, lease_until_ms, .. })) =
                called(&effect)
            else {
                continue;
            };
            assert_eq!(*ends_stored, 0, "nothing may be acknowledged");
            extended += usize::from(lease_until_ms.is_some());
            bench.report("w0", *sent_at, Vec::new(), Vec::new());
        }
    }
    assert!(extended >= 3, "{extended} looks extended the leases in four seconds");
}

/// Guards against a decider that steps down without cause: a read that it sent as a follower is
/// answered while its first append is under way (Kuiseb trouble-2, with a slow store).
#[test]
fn an_answer_to_a_read_from_before_the_claim_changes_nothing() {
    let mut bench = Bench::new(queue(None));
    bench.list(&["w0"]);
    bench.submit(tasks(1, false));
    let effects = bench.advance(30);
    let other = pier_cell::record::Record { key: "job/other".to_owned(), value: None };
    bench.act(|decider, context| decider.on_resolved(context, Some(&[(99, other)])));
    assert_eq!(bench.decider.as_ref().and_then(Decider::deposed), None);
    assert_eq!(starts(&bench.store(&effects)), 1);
}

/// Guards against an account that has more running than its limit, with workers free.
#[test]
fn an_accounts_limit_holds_over_all_workers() {
    let mut bench = Bench::new(queue(None));
    let account =
        Account { name: "team".into(), keys: vec!["key".into()], weight: 1, cap: cores(8) };
    bench.directory = Declaration::new(2, vec![queue(None)], vec![account], 100_000);
    bench.list(&["w0", "w1", "w2", "w3"]);
    let task = bench.submit(tasks(4, false));
    for _ in 0..4 {
        let effects = bench.advance(50);
        bench.store(&effects);
    }
    assert_eq!(bench.started, 2, "two tasks of four cores are within eight");
    let end = ListedEnd {
        sequence: 1,
        task: Some(task),
        number: 1,
        kind: Some(EndKind::Done),
        checkpoint: None,
    };
    let worker = bench
        .ledger
        .live
        .get("job")
        .and_then(|job| match &job.progress.steps[0][0].phase {
            pier_cell::progress::Phase::Ordered { worker, .. } => Some(worker.clone()),
            _ => None,
        })
        .expect("the first task runs");
    let now = bench.now;
    bench.report(&worker, now, Vec::new(), vec![end]);
    for _ in 0..2 {
        let effects = bench.advance(50);
        bench.store(&effects);
    }
    assert_eq!(bench.started, 3, "an end makes room for one more");
}

/// Guards against starts in a zone that operators took out of service, also of what was decided
/// just before.
#[test]
fn a_zone_out_of_service_gets_no_starts() {
    let mut bench = Bench::new(queue(None));
    bench.list(&["w0", "w1"]);
    bench.submit(tasks(1, false));
    let decided = bench.advance(30);
    bench.zones_out.insert("north".into());
    bench.store(&decided);
    for _ in 0..4 {
        let effects = bench.advance(50);
        bench.store(&effects);
    }
    assert_eq!(bench.started, 0);
    bench.zones_out.clear();
    for _ in 0..2 {
        let effects = bench.advance(50);
        bench.store(&effects);
    }
    assert_eq!(bench.started, 1, "work starts again when the zone is back");
}

/// Guards against a cancellation that is confirmed before it is stored: the job's end is in an append
/// that is under way, and a repeat of the call must wait for it as the first does (Kuiseb, own day
/// store-and-decider, seed 423532204955).
#[test]
fn a_repeated_cancellation_is_confirmed_when_it_is_stored() {
    let mut bench = Bench::new(queue(None));
    bench.list(&["w0"]);
    // The job waits.
    bench.zones_out.insert("north".into());
    bench.submit(tasks(1, false));
    let effects = bench.advance(30);
    bench.store(&effects);
    let cancel = |bench: &mut Bench, ticket| {
        bench.act(|decider, context| {
            decider.on_cancel(context, Origin::Local(ticket), &"job".into())
        });
    };
    let verdicts = |bench: &mut Bench| {
        bench.decider.as_mut().expect("the bench has a decider").take_local_verdicts()
    };
    verdicts(&mut bench);
    cancel(&mut bench, 2);
    let under_way = bench.advance(30);
    cancel(&mut bench, 3);
    assert_eq!(verdicts(&mut bench), Vec::new(), "nothing is stored yet");
    bench.store(&under_way);
    let tickets: Vec<u64> = verdicts(&mut bench).iter().map(|(ticket, _)| *ticket).collect();
    assert_eq!(tickets, vec![2, 3]);
}

/// Guards against a task that waits for a worker that answers and does nothing: it is stopped there
/// and starts elsewhere.
#[test]
fn a_run_that_stands_still_starts_elsewhere() {
    let mut bench = Bench::new(queue(None));
    bench.list(&["w0", "w1"]);
    let task = bench.submit(tasks(1, false));
    let effects = bench.advance(30);
    let sent = bench.store(&effects);
    let target = sent.iter().find_map(|effect| match called(effect) {
        Some((target, WorkerOperation::Start(_))) => Some(target.worker.clone()),
        _ => None,
    });
    let first = target.expect("a start");
    bench.act(|decider, context| {
        decider.on_start_answered(context, &task, 1, StartResponse::Started { clock_ms: 6_000 });
    });
    let (mut stopped, mut second) = (false, None);
    for _ in 0..12 {
        let effects = bench.advance(500);
        for effect in &effects {
            match called(effect) {
                Some((target, WorkerOperation::Poll { sent_at, .. }))
                    if target.worker == first && !stopped =>
                {
                    let listed = ListedRun {
                        task: task.clone(),
                        number: 1,
                        checkpoint: None,
                        percent: Some(0),
                    };
                    bench.report(&first, *sent_at, vec![listed], Vec::new());
                }
                Some((target, WorkerOperation::Poll { sent_at, .. })) => {
                    bench.report(&target.worker, *sent_at, Vec::new(), Vec::new());
                }
                Some((target, WorkerOperation::Stop { .. })) => {
                    assert_eq!(target.worker, first);
                    stopped = true;
                    bench.act(|decider, context| {
                        decider.on_stop_answered(context, &task, 1, true);
                    });
                }
                _ => {}
            }
        }
        for effect in bench.store(&effects) {
            if let Some((target, WorkerOperation::Start(_))) = called(&effect) {
                second = Some(target.worker.clone());
            }
        }
    }
    assert!(stopped, "the run was stopped");
    assert_eq!(second, Some(if &*first == "w0" { "w1".into() } else { "w0".into() }));
}
