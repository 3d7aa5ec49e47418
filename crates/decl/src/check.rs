//! Validation of a declaration beyond its syntax and types.

use std::collections;

use pier_core::{caller, ids, resources, task};

use crate::errors::Problem;
use crate::locate::Path;
use crate::model;

const MAX_NAME_CHARS: usize = 64;
const MAX_SHARE: u64 = 1_000_000;
const MAX_REPLICAS: u64 = 10_000;
const MAX_JOB_TASKS: u64 = 100_000;
const MAX_WAIT_MS: u64 = 3_600_000;
const MAX_BACKLOG: u64 = 100_000;
const MIN_HALF_LIFE_MS: u64 = 1_000;
const MAX_HALF_LIFE_MS: u64 = 7 * 24 * 3_600_000;
const MAX_PERCENT: u64 = 100;

/// A validation error and the path of the invalid value.
pub(crate) struct Finding {
    pub(crate) path: Path,
    pub(crate) problem: Problem,
}

/// Validates `declaration` and returns all errors in the order of its sections.
pub(crate) fn check(declaration: &model::Declaration) -> Vec<Finding> {
    let mut checker = Checker { declaration, findings: Vec::new() };
    checker.check_header();
    checker.check_zones();
    checker.check_teams();
    checker.check_queues();
    checker.check_services();
    checker.check_jobs();
    checker.findings
}

struct Checker<'a> {
    declaration: &'a model::Declaration,
    findings: Vec<Finding>,
}

impl Checker<'_> {
    fn report(&mut self, path: Path, problem: Problem) {
        self.findings.push(Finding { path, problem });
    }

    fn check_name(&mut self, path: &Path, name: &str) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if name.is_empty() || name.len() > MAX_NAME_CHARS || !name.chars().all(allowed) {
            self.report(path.clone(), Problem::InvalidName { max: MAX_NAME_CHARS });
        }
    }

    fn check_names<'n>(&mut self, list: &Path, names: impl Iterator<Item = &'n ids::TeamId>) {
        let mut seen = collections::BTreeSet::new();
        for (index, name) in names.enumerate() {
            let path = list.index(index).key("name");
            self.check_name(&path, name);
            if !seen.insert(name) {
                self.report(path, Problem::DuplicateName);
            }
        }
    }

    fn check_range(&mut self, path: Path, found: u64, min: u64, max: u64) {
        if found < min || found > max {
            self.report(path, Problem::OutOfRange { found, min, max });
        }
    }

    fn check_resources(&mut self, path: Path, found: &resources::Resources) {
        if found.is_zero() {
            self.report(path, Problem::NoResources);
        }
    }

    fn check_team_declared(&mut self, path: Path, team: &ids::TeamId) {
        if self.declaration.team(team).is_none() {
            self.report(path, Problem::UnknownTeam);
        }
    }

    fn check_team_limit(&mut self, path: Path, team: &ids::TeamId, demand: &resources::Resources) {
        let limit = self.declaration.team(team).and_then(|team| team.limit);
        if limit.is_some_and(|limit| !demand.fits_in(&limit)) {
            self.report(path, Problem::OverLimit);
        }
    }

    fn check_header(&mut self) {
        let declaration = self.declaration;
        let root = Path::root();
        self.check_name(&root.key("cell"), &declaration.cell);
        let policy = root.key("policy");
        if !pier_policy::NAMES.contains(&&*declaration.policy.name) {
            self.report(policy.key("name"), Problem::UnknownPolicy);
        }
        let weight = u64::from(declaration.policy.waiting_weight_percent);
        self.check_range(policy.key("waiting_weight_percent"), weight, 0, MAX_PERCENT);
        let half_life = declaration.policy.share_half_life_ms;
        let path = policy.key("share_half_life_ms");
        self.check_range(path, half_life, MIN_HALF_LIFE_MS, MAX_HALF_LIFE_MS);
    }

    fn check_zones(&mut self) {
        let list = Path::root().key("availability_zones");
        let zones = &self.declaration.availability_zones;
        self.check_names(&list, zones.iter().map(|zone| &zone.name));
    }

    fn check_teams(&mut self) {
        let list = Path::root().key("teams");
        let teams = &self.declaration.teams;
        self.check_names(&list, teams.iter().map(|team| &team.name));
        let mut hashes = collections::BTreeSet::new();
        for (index, team) in teams.iter().enumerate() {
            let path = list.index(index);
            self.check_range(path.key("share"), u64::from(team.share), 1, MAX_SHARE);
            let mut key_ids = collections::BTreeSet::new();
            for (index, key) in team.keys.iter().enumerate() {
                let path = path.key("keys").index(index);
                self.check_name(&path.key("id"), &key.id);
                if !key_ids.insert(&key.id) {
                    self.report(path.key("id"), Problem::DuplicateName);
                }
                if !hashes.insert(key.sha256.to_hex()) {
                    self.report(path.key("sha256"), Problem::DuplicateKey);
                }
            }
        }
    }

    fn check_queues(&mut self) {
        let list = Path::root().key("queues");
        let queues = &self.declaration.queues;
        self.check_names(&list, queues.iter().map(|queue| &queue.name));
        for (index, queue) in queues.iter().enumerate() {
            let path = list.index(index);
            for (index, team) in queue.teams.iter().enumerate() {
                self.check_team_declared(path.key("teams").index(index), team);
            }
            if let Some(team) = &queue.open_for {
                self.check_team_declared(path.key("open_for"), team);
            }
            self.check_resources(path.key("resources"), &queue.resources);
            self.check_range(path.key("max_wait_ms"), queue.max_wait_ms, 1, MAX_WAIT_MS);
            self.check_range(path.key("backlog"), u64::from(queue.backlog), 1, MAX_BACKLOG);
        }
    }

    fn check_services(&mut self) {
        let list = Path::root().key("services");
        let services = &self.declaration.services;
        self.check_names(&list, services.iter().map(|service| &service.name));
        for (index, service) in services.iter().enumerate() {
            let path = list.index(index);
            self.check_team_declared(path.key("team"), &service.team);
            self.check_range(path.key("replicas"), u64::from(service.replicas), 0, MAX_REPLICAS);
            self.check_resources(path.key("resources"), &service.resources);
            self.check_team_limit(path.key("resources"), &service.team, &service.resources);
        }
    }

    fn check_jobs(&mut self) {
        let list = Path::root().key("jobs");
        let jobs = &self.declaration.jobs;
        self.check_names(&list, jobs.iter().map(|job| &job.name));
        for (index, job) in jobs.iter().enumerate() {
            let path = list.index(index);
            if self.declaration.services.iter().any(|service| service.name == job.name) {
                self.report(path.key("name"), Problem::DuplicateName);
            }
            self.check_team_declared(path.key("team"), &job.team);
            self.check_job(path.key("job"), &job.team, &job.job);
        }
    }

    fn check_job(&mut self, path: Path, team: &ids::TeamId, job: &caller::JobRequest) {
        self.check_range(path.key("tasks"), u64::from(job.tasks), 1, MAX_JOB_TASKS);
        self.check_resources(path.key("resources"), &job.resources);
        self.check_team_limit(path.key("resources"), team, &job.resources);
        let Some(queue) = self.declaration.queue(&job.queue) else {
            self.report(path.key("queue"), Problem::UnknownQueue);
            return;
        };
        if !matches!(queue.class, task::Class::Batch | task::Class::Gang) {
            self.report(path.key("queue"), Problem::WrongClass { class: queue.class });
        }
        if !queue.allows_team(team) {
            self.report(path.key("queue"), Problem::QueueNotForTeam);
        }
    }
}
