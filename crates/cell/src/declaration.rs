//! The operators' declaration: queues, services, client accounts.

use std::sync;
use std::time;

use pier_core::ids;
use pier_core::map::Map;
use pier_core::resources::Resources;

use crate::job::AccountId;

/// The name of a service, which is a pool of workers.
pub type ServiceId = sync::Arc<str>;

/// What an outside adviser takes for an answer, and how long its tickets are valid.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdviserTiming {
    /// The time of an answer without workers.
    pub base: time::Duration,
    /// The time that each named worker adds.
    pub per_worker: time::Duration,
    /// How long a ticket is valid.
    pub validity: time::Duration,
}

/// A queue and how callers reach it.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// The name.
    pub name: ids::QueueId,
    /// The host name that calls to the queue carry.
    pub host: sync::Arc<str>,
    /// What paths of the queue begin with.
    pub path_prefix: sync::Arc<str>,
    /// The service whose workers run its tasks.
    pub service: ServiceId,
    /// Zero is the most urgent.
    pub priority: u32,
    /// How often a task may fail before its job has failed.
    pub max_attempts: u32,
    /// How much longer than its longest chain a job may take.
    pub slack_factor: f64,
    /// What is added to the stretched chain for the objective.
    pub target_latency: time::Duration,
    /// The adviser's terms, where a policy allows only some workers.
    pub advice: Option<AdviserTiming>,
    /// Whether calls need no key.
    pub is_open: bool,
}

impl Queue {
    /// How often a task may fail; at least once.
    pub fn attempts(&self) -> u32 {
        self.max_attempts.max(1)
    }
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// The name.
    pub name: AccountId,
    /// The keys that calls may carry.
    pub keys: Vec<sync::Arc<str>>,
    /// The account's share when everything is full.
    pub weight: u32,
    /// What it may have running over all workers.
    pub cap: Resources,
}

/// A version of the declaration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Declaration {
    /// The version; it only rises.
    pub version: ids::Version,
    /// The queues, longest path prefix first.
    pub queues: Vec<Queue>,
    /// The accounts.
    pub accounts: Vec<Account>,
    /// The most bytes of a body.
    pub max_body_bytes: usize,
    account_of_key: Map<sync::Arc<str>, usize>,
    queue_of_name: Map<ids::QueueId, usize>,
}

impl Declaration {
    /// A declaration with its look-up tables.
    pub fn new(
        version: ids::Version,
        mut queues: Vec<Queue>,
        accounts: Vec<Account>,
        max_body_bytes: usize,
    ) -> Self {
        queues.sort_by_key(|queue| std::cmp::Reverse(queue.path_prefix.len()));
        let mut account_of_key = Map::default();
        for (index, account) in accounts.iter().enumerate() {
            for key in &account.keys {
                account_of_key.insert(sync::Arc::clone(key), index);
            }
        }
        let mut queue_of_name = Map::default();
        for (index, queue) in queues.iter().enumerate() {
            queue_of_name.insert(sync::Arc::clone(&queue.name), index);
        }
        Self { version, queues, accounts, max_body_bytes, account_of_key, queue_of_name }
    }

    /// The queue with the longest prefix of `path` under `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .find(|queue| &*queue.host == host && path.starts_with(&*queue.path_prefix))
    }

    /// The queue of that name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queue_of_name.get(name).and_then(|index| self.queues.get(*index))
    }

    /// The account that holds the key.
    pub fn account_for_key(&self, key: &str) -> Option<&Account> {
        self.account_of_key.get(key).and_then(|index| self.accounts.get(*index))
    }

    /// The account of that name.
    pub fn account(&self, name: &str) -> Option<&Account> {
        self.accounts.iter().find(|account| &*account.name == name)
    }
}
