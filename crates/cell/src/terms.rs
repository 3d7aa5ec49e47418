//! The terms of the queues and accounts of accepted jobs.
//!
//! Operators may remove a queue or an account from the declaration at any time, and the jobs that
//! were accepted before still have to run. The cell's log therefore keeps the terms that were
//! declared last: of every declared queue and account, and of removed ones while jobs use them.

use std::collections::{BTreeMap, BTreeSet};

use pier_core::ids;

use crate::cell_state::LiveJob;
use crate::declaration::{Account, Declaration, Queue};
use crate::job::AccountId;
use crate::record::{EndedJob, Record};

/// The terms that the cell's log has.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Terms {
    /// The queues.
    pub queues: BTreeMap<ids::QueueId, Queue>,
    /// The accounts, without their API keys.
    pub accounts: BTreeMap<AccountId, Account>,
}

impl Terms {
    /// Updates the terms to those of a declaration. Those of removed queues and accounts are kept
    /// while jobs use them. Returns the records of what has changed.
    pub fn update(
        &mut self,
        declaration: &Declaration,
        live: &BTreeMap<ids::JobId, LiveJob>,
        ended: &BTreeMap<ids::JobId, EndedJob>,
    ) -> Vec<Record> {
        let mut records = Vec::new();
        for queue in &declaration.queues {
            if self.queues.get(&queue.name) != Some(queue) {
                records.push(Record::queue(&queue.name, Some(queue)));
                self.queues.insert(ids::QueueId::clone(&queue.name), queue.clone());
            }
        }
        for account in &declaration.accounts {
            let account = account.without_keys();
            if self.accounts.get(&account.name) != Some(&account) {
                records.push(Record::account(&account.name, Some(&account)));
                self.accounts.insert(AccountId::clone(&account.name), account);
            }
        }
        let mut used_queues = BTreeSet::new();
        let mut used_accounts = BTreeSet::new();
        for job in live.values() {
            used_queues.insert(&job.spec.queue);
            used_accounts.extend(&job.spec.account);
        }
        // Callers still ask for the states of these.
        for job in ended.values() {
            used_queues.insert(&job.queue);
        }
        self.queues.retain(|name, _| {
            let is_kept = declaration.declared_queue(name).is_some() || used_queues.contains(name);
            if !is_kept {
                records.push(Record::queue(name, None));
            }
            is_kept
        });
        self.accounts.retain(|name, _| {
            let is_kept =
                declaration.declared_account(name).is_some() || used_accounts.contains(name);
            if !is_kept {
                records.push(Record::account(name, None));
            }
            is_kept
        });
        records
    }

    /// Whether callers reach both queues at the same host and path: one has replaced the other.
    pub fn are_at_same_path(&self, queue: &str, other: &str) -> bool {
        let (Some(queue), Some(other)) = (self.queues.get(queue), self.queues.get(other)) else {
            return false;
        };
        queue.host == other.host && queue.path_prefix == other.path_prefix
    }
}
