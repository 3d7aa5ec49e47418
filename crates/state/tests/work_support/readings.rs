//! Accessors of the simulated cell for the tests.

use pier_core::{ids, resources};
use pier_state::effect::CallerAnswer;
use pier_state::report;

use super::Cell;

impl Cell {
    /// The resources of a team's running tasks on all workers.
    pub fn team_running(&self, team: &str) -> resources::Resources {
        let mut used = resources::Resources::ZERO;
        for worker in self.workers.values() {
            for running in worker.running.values() {
                if &*running.task.labels.team == team {
                    used = used.plus(&running.task.resources);
                }
            }
        }
        used
    }

    pub fn running(&self) -> usize {
        self.workers.values().map(|worker| worker.running.len()).sum()
    }

    pub fn counters(&self, index: usize) -> report::Counters {
        let mut counters = report::Counters::default();
        self.hosts[index].work.add_counters(&mut counters);
        counters
    }

    /// The only answer to a ticket.
    pub fn answer(&self, index: usize, ticket: ids::Ticket) -> Option<&CallerAnswer> {
        let answers = self.answers.get(&(index, ticket))?;
        assert_eq!(answers.len(), 1, "a ticket was answered more than once: {answers:?}");
        answers.first()
    }

    /// The part of a host's status that the work state reports.
    pub fn status(&self, index: usize) -> report::Status {
        let host = &self.hosts[index];
        let mut status = report::Status {
            host: host.cluster.identity.host.clone(),
            epoch: host.cluster.epoch,
            is_member: true,
            version: host.cluster.version,
            fold_offset: 0,
            authority: host.cluster.authority,
            authority_left_ms: 0,
            log_unreachable: false,
            leaving: false,
            members: Vec::new(),
            workers: Vec::new(),
            teams: Vec::new(),
            queues: Vec::new(),
            requests: 0,
            waiting: 0,
            jobs: 0,
        };
        host.work.fill_status(self.now, &host.cluster, &mut status);
        status
    }
}
