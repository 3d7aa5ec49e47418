//! Jobs of the simulated cell.

use pier_core::{body, caller, ids, task};
use pier_state::message::{Message, PlaceMessage};
use pier_state::{cluster, record};

use super::{Cell, amount, host_name};

impl Cell {
    /// The id of a job whose home is the host `home`.
    pub fn job_at(&self, home: usize, name: &str) -> ids::JobId {
        let mut salt = 0;
        loop {
            let job: ids::JobId = format!("{name}-{salt}").into();
            if self.hosts[home].cluster.home_of(&job) == Some(&host_name(home)) {
                return job;
            }
            salt += 1;
        }
    }

    /// A task of a job whose home is the host `home`.
    pub fn job_task(&self, home: usize, name: &str) -> task::TaskSpec {
        let job = self.job_at(home, name);
        task::TaskSpec {
            task: format!("{job}/0").into(),
            job: Some(job),
            team: "red".into(),
            queue: "batch".into(),
            class: task::Class::Batch,
            resources: amount(1),
            repeatable: true,
            run_estimate_ms: 0,
            checkpoint_interval_ms: 0,
            payload: body::Body::default(),
        }
    }

    /// Adds a batch job of the team red to the folded log on every host.
    pub fn add_job(&mut self, job: &ids::JobId, tasks: u32) {
        self.add_job_of(job, tasks, task::Class::Batch);
    }

    /// Adds a job of the team red to the folded log on every host.
    pub fn add_job_of(&mut self, job: &ids::JobId, tasks: u32, class: task::Class) {
        let request = caller::JobRequest {
            queue: "batch".into(),
            tasks,
            resources: amount(1),
            run_estimate_ms: 0,
            deadline_ms: None,
            checkpoint_interval_ms: 0,
            repeatable: true,
            payload: job.to_string(),
        };
        let record =
            record::JobRecord { job: job.clone(), team: "red".into(), class, request, wall_ms: 0 };
        let fold = record::JobFold {
            record,
            phase: None,
            reason: None,
            cancelled: false,
            done: Vec::new(),
            started: Vec::new(),
        };
        for index in 0..self.hosts.len() {
            self.hosts[index].cluster.jobs.insert(job.clone(), fold.clone());
            self.change(index, cluster::Change::Job { job: job.clone() });
        }
    }

    /// Sends the list of attempts that the scripted host `from` still wants.
    pub fn keep(&mut self, from: usize, to: usize, tasks: Vec<(ids::TaskId, ids::Attempt)>) {
        self.deliver(from, to, Message::Place(PlaceMessage::Keep { tasks, list: true }));
    }

    /// The message that requests the placement of a task at a host.
    pub fn place_message(&self, to: usize, spec: task::TaskSpec, reserve: bool) -> Message {
        Message::Place(PlaceMessage::Place {
            spec: Box::new(spec),
            attempt: 1,
            wait_ms: 2_000,
            deadline_ms: None,
            reserve,
            to_incarnation: self.hosts[to].cluster.identity.incarnation,
        })
    }
}
