//! The runs of gangs, whose members work only together.

use std::collections::BTreeMap;

use pier_cell::job::{RunNumber, StepIndex, TaskRef};
use pier_cell::run::EndKind;

use crate::sim::Sim;
use crate::sim::worker::Running;

/// How long members of a gang wait for the others on their workers, in milliseconds.
pub const GANG_WAIT_MS: u64 = 3_000;

/// The runs of a gang that have the same number.
pub type GangRound = (String, StepIndex, RunNumber);

/// The rounds of gangs that have members which are alive.
pub type GangRounds = BTreeMap<GangRound, Round>;

#[derive(Debug)]
pub struct Round {
    /// How long the gang works once all members are present.
    run_ms: u64,
    /// How the first member ends.
    kind: EndKind,
    is_whole: bool,
}

impl Sim {
    /// Adds a member that has just started. The gang begins to work when all members are present.
    pub(super) fn add_gang_member(&mut self, task: &TaskRef, number: RunNumber) {
        let round = (task.job.to_string(), task.step, number);
        let waits_until_ms = self.now_ms + GANG_WAIT_MS;
        let mut run_ms = 0;
        let mut kind = EndKind::Done;
        for worker in self.workers.values_mut().filter(|worker| worker.is_up) {
            if let Some(run) = worker.running.get_mut(task).filter(|run| run.number == number) {
                run_ms = run.ends_at_ms.saturating_sub(self.now_ms);
                kind = run.kind;
                run.ends_at_ms = u64::MAX;
                run.waits_until_ms = Some(waits_until_ms);
            }
        }
        self.gangs.entry(round.clone()).or_insert(Round { run_ms, kind, is_whole: false });
        if self.living_members(&round) == self.specs[&*task.job].steps[task.step].tasks {
            self.begin_gang(&round);
        }
    }

    fn begin_gang(&mut self, round: &GangRound) {
        let Some(state) = self.gangs.get_mut(round) else {
            return;
        };
        state.is_whole = true;
        let ends_at_ms = self.now_ms + state.run_ms;
        let mut kind = state.kind;
        if !self.failing_workers.is_empty() {
            return self.begin_gang_with_failures(round, ends_at_ms);
        }
        self.for_each_member(round, |run| {
            run.ends_at_ms = ends_at_ms;
            run.waits_until_ms = None;
            run.kind = kind;
            // If one member fails, the others are broken.
            if kind == EndKind::Failed {
                kind = EndKind::Broken;
            }
        });
    }

    /// Begins a gang whose members fail as their workers do. If one fails, the others are broken.
    fn begin_gang_with_failures(&mut self, round: &GangRound, ends_at_ms: u64) {
        let mut failures = 0;
        self.for_each_member(round, |run| failures += usize::from(run.kind == EndKind::Failed));
        self.for_each_member(round, |run| {
            run.ends_at_ms = ends_at_ms;
            run.waits_until_ms = None;
            if failures > 0 && run.kind != EndKind::Failed {
                run.kind = EndKind::Broken;
            }
        });
    }

    /// Ends the members of gangs that have begun to work and have lost a member.
    pub(super) fn advance_gangs(&mut self) {
        if self.gangs.is_empty() {
            return;
        }
        let rounds: Vec<GangRound> = self.gangs.keys().cloned().collect();
        for round in rounds {
            let (job, step, _) = &round;
            let tasks = self.specs[job].steps[*step].tasks;
            let living = self.living_members(&round);
            if living == 0 {
                self.gangs.remove(&round);
            } else if living < tasks && self.gangs[&round].is_whole {
                let now_ms = self.now_ms;
                self.for_each_member(&round, |run| {
                    run.ends_at_ms = now_ms;
                    run.kind = EndKind::Broken;
                });
            }
        }
    }

    fn living_members(&self, round: &GangRound) -> usize {
        let mut living = 0;
        for worker in self.workers.values().filter(|worker| worker.is_up) {
            for (task, run) in &worker.running {
                living += usize::from(is_member(round, task, run.number));
            }
        }
        living
    }

    fn for_each_member(&mut self, round: &GangRound, mut change: impl FnMut(&mut Running)) {
        for worker in self.workers.values_mut().filter(|worker| worker.is_up) {
            for (task, run) in &mut worker.running {
                if is_member(round, task, run.number) {
                    change(run);
                }
            }
        }
    }
}

fn is_member((job, step, number): &GangRound, task: &TaskRef, run: RunNumber) -> bool {
    *task.job == **job && task.step == *step && run == *number
}
