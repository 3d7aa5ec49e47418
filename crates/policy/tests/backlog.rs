//! The backlog of pending tasks and its indexes.

mod support;

use std::collections;

use pier_core::task;
use pier_policy::{Backlog, PendingTask};
use quickcheck::{Gen, QuickCheck};

use support::{NOW, batch, decide, fair, pending, secs, starts, two_teams, worker};

const GEN_SIZE: usize = 200;
const SEED: u64 = 1;
const CLASSES: [task::Class; 4] =
    [task::Class::Urgent, task::Class::Service, task::Class::Batch, task::Class::Gang];

/// The class under which the backlog indexes a task.
fn indexed_class(task: &PendingTask) -> task::Class {
    if task.class == task::Class::Gang { task::Class::Batch } else { task.class }
}

/// Compares the backlog with a plain list. Guards against tasks that the indexes lose, keep after
/// their removal, or return in the wrong order.
#[test]
fn the_backlog_agrees_with_a_list() {
    fn agrees(steps: Vec<(bool, u8)>) -> bool {
        let mut backlog = Backlog::default();
        let mut list: Vec<(usize, PendingTask)> = Vec::new();
        for (number, (add, choice)) in steps.into_iter().enumerate() {
            let choice = usize::from(choice);
            if add || list.is_empty() {
                let class = CLASSES[choice % CLASSES.len()];
                let team = if choice.is_multiple_of(3) { "blue" } else { "green" };
                let arrived = NOW + secs(u64::try_from(number).expect("it is small"));
                let task =
                    PendingTask { arrived, ..pending(&format!("t{number}"), team, class, 1) };
                list.push((backlog.push(task.clone()), task));
            } else {
                let (slot, task) = list.remove(choice % list.len());
                let removed = backlog.remove(slot).expect("the slot is in use");
                if removed.task != task.task || backlog.get(slot).is_some() {
                    return false;
                }
            }
            let listed: Vec<_> = list.iter().map(|(slot, task)| (*slot, &task.task)).collect();
            let indexed: Vec<_> =
                backlog.by_arrival().map(|(slot, task)| (slot, &task.task)).collect();
            let mut first = collections::BTreeMap::new();
            for (slot, task) in &list {
                first.entry((task.team.clone(), indexed_class(task))).or_insert(*slot);
            }
            let heads: collections::BTreeMap<_, _> = backlog
                .heads()
                .map(|(slot, task)| ((task.team.clone(), indexed_class(task)), slot))
                .collect();
            if listed != indexed || heads != first || backlog.len() != list.len() {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(500)
        .quickcheck(agrees as fn(Vec<(bool, u8)>) -> bool);
}

/// Guards against a team whose many unplaceable tasks exhaust the number of tasks that a decision
/// may try, so that smaller tasks of other teams do not start.
#[test]
fn unplaceable_tasks_of_one_team_do_not_block_other_teams() {
    for class in CLASSES {
        let mut tasks = Vec::new();
        for index in 0..2_000 {
            let arrived = NOW - secs(600);
            tasks.push(PendingTask { arrived, ..pending(&format!("b{index}"), "blue", class, 12) });
        }
        tasks.push(PendingTask { arrived: NOW, ..batch("g0", "green", 1) });
        tasks.push(PendingTask { arrived: NOW, ..batch("g1", "green", 1) });
        let mut workers = [worker("w")];
        workers[0].free.cpu_milli = 8_000;
        let decisions = decide(fair().as_mut(), &tasks, &workers, &two_teams());
        let started = starts(&decisions, &tasks, &workers);
        assert_eq!(started.len(), 2, "{class}: {started:?}");
    }
}
