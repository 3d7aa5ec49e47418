//! The operators' declaration: queues, services and client accounts.

use std::sync;
use std::time;

use pier_core::ids;
use pier_core::map::Map;
use pier_core::resources::{self, Resources};
use serde::{Deserialize, Serialize};

use crate::job::AccountId;
use crate::terms::Terms;

/// The name of a service, which is a pool of workers.
pub type ServiceId = sync::Arc<str>;

/// How long an external adviser takes to respond, and how long its tickets are valid.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdviserTiming {
    /// The response time for a request that names no workers.
    pub base: time::Duration,
    /// The additional response time per worker named in the request.
    pub per_worker: time::Duration,
    /// How long a ticket is valid.
    pub validity: time::Duration,
}

/// A queue, with the host name and path prefix at which callers reach it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The name.
    pub name: ids::QueueId,
    /// The host name in requests to the queue.
    pub host: sync::Arc<str>,
    /// The path prefix of requests to the queue.
    pub path_prefix: sync::Arc<str>,
    /// The service whose workers run its tasks.
    pub service: ServiceId,
    /// The priority; zero is the most urgent.
    pub priority: u32,
    /// The number of failures of a task at which its job fails. See [`Self::attempts`].
    pub max_attempts: u32,
    /// The factor by which a job may take longer than its critical path.
    pub slack_factor: f64,
    /// Added to the critical path times `slack_factor` to give the job's latency objective.
    pub target_latency: time::Duration,
    /// The adviser's timing, if a policy restricts which workers may run the steps.
    pub advice: Option<AdviserTiming>,
    /// Whether requests need no API key.
    pub is_public: bool,
}

impl Queue {
    /// Returns `max_attempts`, but at least one.
    pub fn attempts(&self) -> u32 {
        self.max_attempts.max(1)
    }
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// The name.
    pub name: AccountId,
    /// The API keys, which the cell's log does not keep.
    #[serde(skip)]
    pub keys: Vec<sync::Arc<str>>,
    /// The account's weight in the division of capacity when all workers are fully used.
    pub weight: u32,
    /// The most resources that the account's runs may use across all workers.
    #[serde(with = "resources::positional")]
    pub cap: Resources,
}

impl Account {
    /// Returns the account's terms without its API keys.
    pub fn without_keys(&self) -> Self {
        Self { name: AccountId::clone(&self.name), keys: Vec::new(), ..*self }
    }
}

/// A version of the declaration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Declaration {
    /// The version, which only increases.
    pub version: ids::Version,
    /// The queues, longest path prefix first.
    pub queues: Vec<Queue>,
    /// The accounts.
    pub accounts: Vec<Account>,
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The queues that this version no longer has, with their last terms.
    removed_queues: Vec<Queue>,
    /// The accounts that this version no longer has, with their last terms.
    removed_accounts: Vec<Account>,
    account_of_key: Map<sync::Arc<str>, usize>,
    queue_of_name: Map<ids::QueueId, usize>,
}

impl Declaration {
    /// Creates a declaration and its lookup tables.
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
        Self {
            version,
            queues,
            accounts,
            max_body_bytes,
            removed_queues: Vec::new(),
            removed_accounts: Vec::new(),
            account_of_key,
            queue_of_name,
        }
    }

    /// Returns the declaration with the terms of the queues and accounts that it no longer has. They
    /// apply to accepted jobs; no request reaches a removed queue, and no key belongs to a removed
    /// account.
    pub fn with_removed(&self, terms: &Terms) -> Self {
        let mut declaration = self.clone();
        declaration.removed_queues.clear();
        for (name, queue) in &terms.queues {
            if self.declared_queue(name).is_none() {
                declaration.removed_queues.push(queue.clone());
            }
        }
        declaration.removed_accounts.clear();
        for (name, account) in &terms.accounts {
            if self.declared_account(name).is_none() {
                declaration.removed_accounts.push(account.without_keys());
            }
        }
        declaration
    }

    /// Returns the queue at `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .find(|queue| &*queue.host == host && path.starts_with(&*queue.path_prefix))
    }

    /// Returns the queue with this name that this version has.
    pub fn declared_queue(&self, name: &str) -> Option<&Queue> {
        self.queue_of_name.get(name).and_then(|index| self.queues.get(*index))
    }

    /// Returns the account with this name that this version has.
    pub fn declared_account(&self, name: &str) -> Option<&Account> {
        self.accounts.iter().find(|account| &*account.name == name)
    }

    /// Returns the terms of the queue for accepted jobs. Those of a removed queue are its last ones.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        let removed = || self.removed_queues.iter().find(|queue| &*queue.name == name);
        self.declared_queue(name).or_else(removed)
    }

    /// Returns the terms of all queues, also of removed ones.
    pub fn all_queues(&self) -> impl Iterator<Item = &Queue> {
        self.queues.iter().chain(&self.removed_queues)
    }

    /// Returns the account with this API key.
    pub fn account_for_key(&self, key: &str) -> Option<&Account> {
        self.account_of_key.get(key).and_then(|index| self.accounts.get(*index))
    }

    /// Returns the terms of the account for accepted jobs. Those of a removed account are its last
    /// ones.
    pub fn account(&self, name: &str) -> Option<&Account> {
        self.all_accounts().find(|account| &*account.name == name)
    }

    /// Returns the terms of all accounts, also of removed ones.
    pub fn all_accounts(&self) -> impl Iterator<Item = &Account> {
        self.accounts.iter().chain(&self.removed_accounts)
    }
}
