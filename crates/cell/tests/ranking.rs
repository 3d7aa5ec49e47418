//! The ranking of waiting steps under simulated load.

use std::time;

use pier_cell::declaration::{Account, Queue};
use pier_cell::job::{JobSpec, Step};
use pier_cell::ranking::{self, DeadlineStatus, Rank, SubmissionBucket};
use pier_core::resources::Resources;

/// The number of tasks that can run at the same time.
const SLOTS: usize = 40;
const TASK_MS: u64 = 800;
const TICK_MS: u64 = 10;

fn queue(priority: u32, slack_factor: f64, target_ms: u64) -> Queue {
    Queue {
        name: "queue".into(),
        host: "cell.example".into(),
        path_prefix: "/queue/".into(),
        service: "pool".into(),
        priority,
        max_attempts: 3,
        slack_factor,
        target_latency: time::Duration::from_millis(target_ms),
        advice: None,
        is_public: false,
    }
}

fn spec(estimates_ms: &[u64]) -> JobSpec {
    let mut steps = Vec::new();
    for (index, estimate_ms) in estimates_ms.iter().enumerate() {
        let after = if index == 0 { Vec::new() } else { vec![index - 1] };
        steps.push(Step { tasks: 1, estimate_ms: *estimate_ms, after, ..Step::default() });
    }
    JobSpec { id: "job".into(), queue: "queue".into(), account: None, payload: "".into(), steps }
}

/// Simulates a load of 2.3 times the capacity for four seconds, with 0.75 times before and after.
/// Returns the fraction of jobs that finish within their objective.
fn simulate_burst(select: impl Fn(&[u64], u64) -> usize) -> f64 {
    let queue = queue(0, 1.5, 250);
    let spec = spec(&[TASK_MS]);
    let objective_ms = u64::try_from(ranking::objective(&queue, &spec).as_millis()).expect("ms");
    let mut waiting: Vec<u64> = Vec::new();
    let mut running: Vec<u64> = Vec::new();
    let (mut arrived, mut in_time, mut total) = (0.0, 0, 0);
    let capacity_per_ms = SLOTS as f64 / TASK_MS as f64;
    for now_ms in (0..20_000).step_by(usize::try_from(TICK_MS).expect("small")) {
        let load = if (4_000..8_000).contains(&now_ms) { 2.3 } else { 0.75 };
        if now_ms < 14_000 {
            arrived += load * capacity_per_ms * TICK_MS as f64;
        }
        while arrived >= 1.0 {
            arrived -= 1.0;
            waiting.push(now_ms);
            total += 1;
        }
        running.retain(|ends_at| *ends_at > now_ms);
        while running.len() < SLOTS && !waiting.is_empty() {
            let accepted_ms = waiting.remove(select(&waiting, now_ms));
            running.push(now_ms + TASK_MS);
            if now_ms + TASK_MS <= accepted_ms + objective_ms {
                in_time += 1;
            }
        }
    }
    f64::from(in_time) / f64::from(total)
}

fn rank_of(accepted_ms: u64, now_ms: u64) -> Rank {
    let remaining = time::Duration::from_millis(TASK_MS);
    ranking::rank(&queue(0, 1.5, 250), &spec(&[TASK_MS]), accepted_ms, now_ms, remaining, false)
}

/// Guards against a burst that makes every job late, during the burst and long after it. This
/// happens if the oldest job is placed first, because each job then waits behind others that are
/// late already.
#[test]
fn most_jobs_of_a_burst_meet_their_objective() {
    let oldest_first = simulate_burst(|_, _| 0);
    let ranked = simulate_burst(|waiting, now_ms| {
        let mut best = 0;
        for index in 1..waiting.len() {
            if rank_of(waiting[index], now_ms) < rank_of(waiting[best], now_ms) {
                best = index;
            }
        }
        best
    });
    assert!(oldest_first < 0.5, "the load does not tell orders apart: {oldest_first}");
    assert!(ranked > 0.7, "{ranked} ended in time, {oldest_first} when served oldest first");
}

/// Guards against wasted work: a job that is too late to be useful must not take resources from one
/// that is only late, whatever their priorities.
#[test]
fn deadline_status_ranks_before_priority() {
    let urgent = queue(0, 1.5, 250);
    let batch = queue(2, 4.0, 3_000);
    let job = spec(&[800]);
    let remaining = time::Duration::from_millis(800);
    let rank = |queue, accepted_ms, is_beyond| {
        ranking::rank(queue, &job, accepted_ms, 100_000, remaining, is_beyond)
    };
    let fresh_batch = rank(&batch, 99_900, false);
    let late_urgent = rank(&urgent, 98_500, false);
    let excess_urgent = rank(&urgent, 99_900, true);
    let expired_urgent = rank(&urgent, 90_000, false);
    assert_eq!(fresh_batch.deadline_status, DeadlineStatus::OnTime);
    assert_eq!(late_urgent.deadline_status, DeadlineStatus::Late);
    assert_eq!(expired_urgent.deadline_status, DeadlineStatus::Expired);
    assert!(rank(&urgent, 99_900, false) < fresh_batch);
    assert!(fresh_batch < late_urgent);
    assert!(late_urgent < excess_urgent);
    assert!(excess_urgent < expired_urgent);
}

/// Guards against an account whose excess submissions delay other accounts. Submissions beyond the
/// weight of the account must be detected, and those within it must not.
#[test]
fn submissions_beyond_the_share_are_detected() {
    let account = Account { name: "a".into(), keys: Vec::new(), weight: 10, cap: Resources::MAX };
    let mut heavy = SubmissionBucket::default();
    let mut light = SubmissionBucket::default();
    let (mut heavy_within_share, mut light_within_share) = (0, 0);
    for millis in 0..10_000_u64 {
        let now = time::Duration::from_millis(millis);
        // 75 jobs a second against a weight of 10.
        if millis % 40 < 3 && !heavy.record_submission(now, &account) {
            heavy_within_share += 1;
        }
        if millis % 110 == 0 && !light.record_submission(now, &account) {
            light_within_share += 1;
        }
    }
    assert_eq!(light_within_share, 91, "nine a second are within the share");
    assert!(
        (100..=125).contains(&heavy_within_share),
        "{heavy_within_share} of the flood in ten seconds"
    );
}

/// Guards against steps that are ranked as late because earlier steps of the job are long. Only the
/// remaining critical path counts.
#[test]
fn remaining_critical_path_excludes_earlier_steps() {
    let job = spec(&[1_000, 3_000, 500]);
    let millis: Vec<u128> =
        job.remaining_critical_paths().iter().map(time::Duration::as_millis).collect();
    assert_eq!(millis, vec![4_500, 3_500, 500]);
    assert_eq!(job.critical_path().as_millis(), 4_500);
}
