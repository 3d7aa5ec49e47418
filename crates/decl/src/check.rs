//! Checks what the form of a declaration alone does not show.

use std::collections;

use pier_core::{caller, ids, resources, task};

use crate::errors::Problem;
use crate::locate::Path;
use crate::model;

const MAX_NAME_CHARS: usize = 64;
const MAX_SHARE: u64 = 1_000_000;
const MAX_REPLICAS: u64 = 10_000;
const MAX_TASKS: u64 = 100_000;
const MAX_WAIT_MS: u64 = 3_600_000;
const MAX_BACKLOG: u64 = 100_000;
const MIN_HALF_LIFE_MS: u64 = 1_000;
const MAX_HALF_LIFE_MS: u64 = 7 * 24 * 3_600_000;
const MAX_PERCENT: u64 = 100;

/// A mistake and where it stands.
pub(crate) struct Finding {
    pub(crate) path: Path,
    pub(crate) problem: Problem,
}

/// Every mistake of `declaration`, in the order of its parts.
pub(crate) fn check(declaration: &model::Declaration) -> Vec<Finding> {
    let mut checker = Checker { declaration, findings: Vec::new() };
    checker.header();
    checker.zones();
    checker.teams();
    checker.queues();
    checker.services();
    checker.jobs();
    checker.findings
}

struct Checker<'a> {
    declaration: &'a model::Declaration,
    findings: Vec<Finding>,
}

impl Checker<'_> {
    fn find(&mut self, path: Path, problem: Problem) {
        self.findings.push(Finding { path, problem });
    }

    fn name(&mut self, path: &Path, name: &str) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if name.is_empty() || name.len() > MAX_NAME_CHARS || !name.chars().all(allowed) {
            self.find(path.clone(), Problem::InvalidName { max: MAX_NAME_CHARS });
        }
    }

    fn names<'n>(&mut self, list: &Path, names: impl Iterator<Item = &'n ids::TeamId>) {
        let mut seen = collections::BTreeSet::new();
        for (index, name) in names.enumerate() {
            let path = list.index(index).key("name");
            self.name(&path, name);
            if !seen.insert(name) {
                self.find(path, Problem::DuplicateName);
            }
        }
    }

    fn range(&mut self, path: Path, found: u64, least: u64, most: u64) {
        if found < least || found > most {
            self.find(path, Problem::OutOfRange { found, least, most });
        }
    }

    fn resources(&mut self, path: Path, found: &resources::Resources) {
        if found.is_zero() {
            self.find(path, Problem::NoResources);
        }
    }

    fn team(&mut self, path: Path, team: &ids::TeamId) {
        if self.declaration.team(team).is_none() {
            self.find(path, Problem::UnknownTeam);
        }
    }

    fn within_limit(&mut self, path: Path, team: &ids::TeamId, needed: &resources::Resources) {
        let limit = self.declaration.team(team).and_then(|team| team.limit);
        if limit.is_some_and(|limit| !needed.fits_in(&limit)) {
            self.find(path, Problem::OverLimit);
        }
    }

    fn header(&mut self) {
        let declaration = self.declaration;
        let root = Path::root();
        self.name(&root.key("cell"), &declaration.cell);
        let policy = root.key("policy");
        if !pier_policy::NAMES.contains(&&*declaration.policy.name) {
            self.find(policy.key("name"), Problem::UnknownPolicy);
        }
        let weight = u64::from(declaration.policy.waiting_weight_percent);
        self.range(policy.key("waiting_weight_percent"), weight, 0, MAX_PERCENT);
        let half_life = declaration.policy.share_half_life_ms;
        let path = policy.key("share_half_life_ms");
        self.range(path, half_life, MIN_HALF_LIFE_MS, MAX_HALF_LIFE_MS);
    }

    fn zones(&mut self) {
        let list = Path::root().key("availability_zones");
        let zones = &self.declaration.availability_zones;
        self.names(&list, zones.iter().map(|zone| &zone.name));
    }

    fn teams(&mut self) {
        let list = Path::root().key("teams");
        let teams = &self.declaration.teams;
        self.names(&list, teams.iter().map(|team| &team.name));
        let mut hashes = collections::BTreeSet::new();
        for (index, team) in teams.iter().enumerate() {
            let path = list.index(index);
            self.range(path.key("share"), u64::from(team.share), 1, MAX_SHARE);
            let mut key_ids = collections::BTreeSet::new();
            for (index, key) in team.keys.iter().enumerate() {
                let path = path.key("keys").index(index);
                self.name(&path.key("id"), &key.id);
                if !key_ids.insert(&key.id) {
                    self.find(path.key("id"), Problem::DuplicateName);
                }
                if !hashes.insert(key.sha256.to_hex()) {
                    self.find(path.key("sha256"), Problem::DuplicateKey);
                }
            }
        }
    }

    fn queues(&mut self) {
        let list = Path::root().key("queues");
        let queues = &self.declaration.queues;
        self.names(&list, queues.iter().map(|queue| &queue.name));
        for (index, queue) in queues.iter().enumerate() {
            let path = list.index(index);
            for (index, team) in queue.teams.iter().enumerate() {
                self.team(path.key("teams").index(index), team);
            }
            if let Some(team) = &queue.open_for {
                self.team(path.key("open_for"), team);
            }
            self.resources(path.key("resources"), &queue.resources);
            self.range(path.key("max_wait_ms"), queue.max_wait_ms, 1, MAX_WAIT_MS);
            self.range(path.key("backlog"), u64::from(queue.backlog), 1, MAX_BACKLOG);
        }
    }

    fn services(&mut self) {
        let list = Path::root().key("services");
        let services = &self.declaration.services;
        self.names(&list, services.iter().map(|service| &service.name));
        for (index, service) in services.iter().enumerate() {
            let path = list.index(index);
            self.team(path.key("team"), &service.team);
            self.range(path.key("replicas"), u64::from(service.replicas), 0, MAX_REPLICAS);
            self.resources(path.key("resources"), &service.resources);
            self.within_limit(path.key("resources"), &service.team, &service.resources);
        }
    }

    fn jobs(&mut self) {
        let list = Path::root().key("jobs");
        let jobs = &self.declaration.jobs;
        self.names(&list, jobs.iter().map(|job| &job.name));
        for (index, job) in jobs.iter().enumerate() {
            let path = list.index(index);
            if self.declaration.services.iter().any(|service| service.name == job.name) {
                self.find(path.key("name"), Problem::DuplicateName);
            }
            self.team(path.key("team"), &job.team);
            self.job(path.key("job"), &job.team, &job.job);
        }
    }

    fn job(&mut self, path: Path, team: &ids::TeamId, job: &caller::JobRequest) {
        self.range(path.key("tasks"), u64::from(job.tasks), 1, MAX_TASKS);
        self.resources(path.key("resources"), &job.resources);
        self.within_limit(path.key("resources"), team, &job.resources);
        let Some(queue) = self.declaration.queue(&job.queue) else {
            self.find(path.key("queue"), Problem::UnknownQueue);
            return;
        };
        if !matches!(queue.class, task::Class::Batch | task::Class::Gang) {
            self.find(path.key("queue"), Problem::WrongClass { class: queue.class });
        }
        if !queue.allows_team(team) {
            self.find(path.key("queue"), Problem::QueueNotForTeam);
        }
    }
}
