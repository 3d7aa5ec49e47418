//! The order in which tasks start.

mod support;

use pier_core::{resources, task};
use pier_policy::{Decision, PendingTask, Settings, Team};

use support::{
    NOW, batch, busy_worker, decide, fair, pending, secs, starts, team, two_teams, urgent, worker,
};

/// The tasks in the order in which they start on one worker with `slots` free slots.
fn order(pending: &[PendingTask], teams: &[Team], slots: u64) -> Vec<String> {
    let mut worker = worker("w");
    worker.free.slots = slots;
    worker.free.cpu_milli = 1_000_000;
    worker.free.memory_mb = 10_000_000;
    worker.total = worker.free;
    let workers = [worker];
    let decisions = decide(fair().as_mut(), pending, &workers, teams);
    let mut order = Vec::new();
    for (task, _) in starts(&decisions, pending, &workers) {
        order.push(task);
    }
    order
}

/// Guards against urgent tasks that wait behind other work, and services that wait behind batch
/// work.
#[test]
fn classes_start_in_order_of_priority() {
    let gang = pending("gang", "green", task::Class::Gang, 1);
    let service = pending("service", "blue", task::Class::Service, 1);
    let tasks = [batch("batch", "green", 1), gang, service, urgent("urgent", "blue", 1)];
    // The team of the urgent task is far over its share.
    let teams = [team("blue", 1, 900_000), team("green", 1, 0)];
    assert_eq!(order(&tasks, &teams, 1), ["urgent"]);
    assert_eq!(order(&tasks, &teams, 2), ["urgent", "service"]);
    assert_eq!(order(&tasks, &teams, 4), ["urgent", "service", "batch", "gang"]);
}

fn cpu(cpu_milli: u64) -> resources::Resources {
    resources::Resources { cpu_milli, ..resources::Resources::ZERO }
}

/// Guards against a team that gets more than its share while another one waits.
#[test]
fn the_team_furthest_below_its_share_goes_first() {
    let rows = [
        ("equal shares, less usage", team("blue", 1, 300_000), team("green", 1, 100_000), "g"),
        ("equal shares, more usage", team("blue", 1, 100_000), team("green", 1, 300_000), "b"),
        ("larger share", team("blue", 4, 300_000), team("green", 1, 100_000), "b"),
        ("share of zero", team("blue", 0, 0), team("green", 1, 800_000), "g"),
        (
            "more is running",
            Team { used: cpu(600_000), ..team("blue", 1, 0) },
            Team { used: cpu(300_000), ..team("green", 1, 0) },
            "g",
        ),
    ];
    for (name, blue, green, first) in rows {
        let tasks = [batch("b", "blue", 1), batch("g", "green", 1)];
        assert_eq!(order(&tasks, &[blue, green], 1), [first], "{name}");
    }
}

/// Guards against a team that delays another one with many or old tasks, in every class.
#[test]
fn a_flood_of_one_team_does_not_delay_another() {
    for class in [task::Class::Urgent, task::Class::Service, task::Class::Batch] {
        let mut tasks = Vec::new();
        for index in 0..1_000 {
            let arrived = NOW - secs(600);
            tasks.push(PendingTask { arrived, ..pending(&format!("b{index}"), "blue", class, 1) });
        }
        tasks.push(PendingTask { arrived: NOW, ..pending("g0", "green", class, 1) });
        tasks.push(PendingTask { arrived: NOW, ..pending("g1", "green", class, 1) });
        let order = order(&tasks, &two_teams(), 8);
        assert_eq!(order.len(), 8);
        assert!(order.contains(&"g0".to_owned()), "{class}: {order:?}");
        assert!(order.contains(&"g1".to_owned()), "{class}: {order:?}");
    }
}

/// Guards against a decision that gives all capacity to the team that was first when it began.
#[test]
fn tasks_started_in_a_decision_count_as_usage() {
    let mut tasks = Vec::new();
    for index in 0..10 {
        tasks.push(batch(&format!("b{index}"), "blue", 1));
        tasks.push(batch(&format!("g{index}"), "green", 1));
    }
    let teams = [team("blue", 3, 0), team("green", 1, 0)];
    let order = order(&tasks, &teams, 8);
    let blue = order.iter().filter(|task| task.starts_with('b')).count();
    assert_eq!(blue, 6, "{order:?}");
}

/// Guards against missed deadlines while other work could wait, and against a team that gets ahead
/// of others with tight deadlines.
#[test]
fn short_slack_goes_first_unless_the_team_is_far_over_its_share() {
    // Label, slack of blue's task in seconds, usage of blue, first task.
    let rows = [
        ("no deadline", None, 200_000, "g"),
        ("long slack", Some(3_600), 200_000, "g"),
        ("short slack", Some(30), 200_000, "b"),
        ("deadline has passed", Some(0), 200_000, "b"),
        ("short slack, far over the share", Some(30), 5_000_000, "g"),
    ];
    for (name, slack, usage, first) in rows {
        let run_estimate = secs(20);
        let deadline = slack.map(|slack| NOW + secs(slack) + run_estimate);
        let tasks = [
            PendingTask { deadline, run_estimate, ..batch("b", "blue", 1) },
            batch("g", "green", 1),
        ];
        let teams = [team("blue", 1, usage), team("green", 1, 100_000)];
        assert_eq!(order(&tasks, &teams, 1), [first], "{name}");
    }
    let mut tasks = Vec::new();
    for (name, slack) in [("late", 50), ("early", 10), ("middle", 30)] {
        tasks.push(PendingTask { deadline: Some(NOW + secs(slack)), ..batch(name, "blue", 1) });
    }
    assert_eq!(order(&tasks, &two_teams(), 3), ["early", "middle", "late"]);
}

/// Guards against a waiting weight without effect.
#[test]
fn the_waiting_weight_moves_the_order_from_shares_to_arrival() {
    let rows = [(0, "g"), (50, "g"), (100, "b")];
    for (waiting_weight_percent, first) in rows {
        let mut policy = fair();
        policy.configure(&Settings { waiting_weight_percent, ..Settings::default() });
        let old = PendingTask { arrived: NOW - secs(1_000), ..batch("b", "blue", 16) };
        let new = PendingTask { arrived: NOW - secs(900), ..batch("g", "green", 16) };
        let tasks = [old, new];
        let workers = [worker("w")];
        let teams = [team("blue", 1, 800_000), team("green", 1, 100_000)];
        let decisions = decide(policy.as_mut(), &tasks, &workers, &teams);
        assert_eq!(starts(&decisions, &tasks, &workers)[0].0, first, "{waiting_weight_percent}");
    }
}

/// Guards against a start beyond the limit of a team, and against a team at its limit that blocks
/// the others.
#[test]
fn a_team_at_its_limit_does_not_start_and_does_not_block() {
    let headroom = resources::Resources { cpu_milli: 2_500, ..resources::Resources::MAX };
    let teams = [Team { headroom, ..team("blue", 100, 0) }, team("green", 1, 0)];
    let mut tasks = Vec::new();
    for index in 0..4 {
        tasks.push(batch(&format!("b{index}"), "blue", 1));
        tasks.push(urgent(&format!("u{index}"), "blue", 1));
    }
    tasks.push(batch("g", "green", 1));
    let workers = [busy_worker("w", &[8])];
    let decisions = decide(fair().as_mut(), &tasks, &workers, &teams);
    let mut names = Vec::new();
    for (task, _) in starts(&decisions, &tasks, &workers) {
        names.push(task);
    }
    assert_eq!(names, ["u0", "u1", "g"]);
    assert!(
        support::preemptions(&decisions, &workers).is_empty(),
        "a team at its limit preempts nothing"
    );
}

/// Guards against callers that wait although their request certainly cannot start in time.
#[test]
fn urgent_work_that_cannot_start_in_time_is_refused() {
    let late = PendingTask { start_by: Some(NOW), ..urgent("late", "blue", 1) };
    let large = urgent("large", "blue", 17);
    let waits = urgent("waits", "blue", 16);
    let tasks = [late, large, waits];
    let workers = [busy_worker("w", &[1])];
    let decisions = decide(fair().as_mut(), &tasks, &workers, &two_teams());
    let mut refused = Vec::new();
    for decision in &decisions {
        if let Decision::Refuse { pending, .. } = decision {
            refused.push(tasks[*pending].task.to_string());
        }
    }
    assert_eq!(refused, ["late", "large"]);
    // Without workers, a request is not refused: workers may still join.
    let decisions = decide(fair().as_mut(), &tasks[1..], &[], &two_teams());
    assert_eq!(decisions, []);
}
