//! Statistics of run times and resource usage per queue.

mod work_support;

use std::time;

use pier_core::task;
use pier_state::effect::Notice;
use pier_state::work::queue_stats::QueueStats;

use work_support::{Cell, amount, ms};

const NOW: time::Duration = time::Duration::from_secs(100);

fn labels(queue: &str) -> task::TaskLabels {
    task::TaskLabels {
        job: None,
        team: "red".into(),
        queue: queue.into(),
        class: task::Class::Batch,
        repeatable: true,
    }
}

/// The estimate for a declared run time after some runs, all in milliseconds.
fn estimate(runs: &[u64], declared: u64, later: time::Duration) -> u64 {
    let mut queue_stats = QueueStats::default();
    for run in runs {
        queue_stats.record_run(NOW, &labels("batch"), ms(*run));
    }
    let estimate = queue_stats.estimate(NOW + later, &"red".into(), &"batch".into(), ms(declared));
    u64::try_from(estimate.as_millis()).expect("it is small")
}

/// Guards against a declared run time that is used although runs contradict it, against one that is
/// replaced because of a few runs or a small difference, and against runs that count forever.
#[test]
fn runs_replace_a_declared_run_time_that_they_contradict() {
    let none = time::Duration::ZERO;
    let day = time::Duration::from_secs(24 * 3_600);
    let mut changed = vec![1_000; 50];
    changed.extend([9_000; 50]);
    let rows = [
        ("no runs", vec![], 60_000, none, 60_000),
        ("too few runs", vec![1_000; 4], 60_000, none, 60_000),
        ("much shorter", vec![1_000; 5], 60_000, none, 1_000),
        ("much longer", vec![90_000; 5], 10_000, none, 90_000),
        ("not declared", vec![1_000; 5], 0, none, 1_000),
        ("close", vec![9_000; 5], 10_000, none, 10_000),
        ("long ago", vec![1_000; 5], 60_000, day, 60_000),
    ];
    for (name, runs, declared, later, expected) in rows {
        assert_eq!(estimate(&runs, declared, later), expected, "{name}");
    }
    let after_change = estimate(&changed, 0, none);
    assert!((8_900..=9_200).contains(&after_change), "{after_change}");
    // Varying run times make the estimate longer than their mean.
    let mixed = estimate(&[1_000, 9_000, 1_000, 9_000, 1_000, 9_000], 0, none);
    assert!((6_000..=9_500).contains(&mixed), "{mixed}");
}

/// Guards against memory use that grows with the number of queue names, and against a busy queue
/// whose statistics are dropped for a new one.
#[test]
fn the_number_of_queues_is_bounded() {
    let mut queue_stats = QueueStats::default();
    for number in 0..3_000_u64 {
        let now = NOW + ms(number);
        queue_stats.record_run(now, &labels("busy"), ms(5));
        queue_stats.record_run(now, &labels(&format!("queue-{number}")), ms(5));
    }
    let statuses = queue_stats.statuses();
    assert_eq!(statuses.len(), 1_024);
    assert!(statuses.iter().any(|status| &*status.queue == "busy" && status.runs == 3_000));
}

/// Guards against ends and reports that do not update the statistics, and against a missing notice
/// for tasks that use more than they declare.
#[test]
fn ends_and_reports_update_the_statistics() {
    for (use_percent, expected) in [(100, false), (105, false), (200, true)] {
        let mut cell = Cell::new(1, 1, 4);
        cell.task_duration = ms(20_000);
        cell.sends_reports = true;
        for worker in cell.workers.values_mut() {
            worker.use_percent = use_percent;
        }
        let job = cell.job_at(0, "job");
        cell.add_job(&job, 80);
        cell.run(ms(120_000));
        let status = cell.status(0);
        assert_eq!(status.queues.len(), 1);
        let stats = &status.queues[0];
        assert!(stats.runs >= 8, "{stats:?}");
        // An end is detected after at most a quarter of the run.
        assert!((20_000..=25_000).contains(&stats.run_mean_ms), "{stats:?}");
        assert!(stats.uses >= 16, "{stats:?}");
        assert!(stats.use_percent.abs_diff(use_percent) <= 25, "{stats:?}");
        let notices = cell
            .notices
            .iter()
            .filter(|notice| matches!(notice, Notice::QueueOverDeclaredSize { .. }))
            .count();
        assert_eq!(notices, usize::from(expected), "{use_percent}: {:?}", cell.notices);
        // The declared size remains the reserved size.
        assert_eq!(cell.running(), 4);
        assert_eq!(cell.team_running("red"), amount(1).scaled(4, 1));
    }
}
