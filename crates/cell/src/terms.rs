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
use crate::record::Record;

/// The terms that the cell's log has.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Terms {
    /// The queues.
    pub queues: BTreeMap<ids::QueueId, Queue>,
    /// The accounts, without their API keys.
    pub accounts: BTreeMap<AccountId, Account>,
}

impl Terms {
    /// Updates the terms to those of a declaration. Removed queues and accounts are kept while one
    /// of the jobs uses them. Returns the records of what has changed.
    pub fn update<'a>(
        &mut self,
        declaration: &Declaration,
        jobs: impl Iterator<Item = &'a LiveJob>,
    ) -> Vec<Record> {
        let mut used_queues = BTreeSet::new();
        let mut used_accounts = BTreeSet::new();
        for job in jobs {
            used_queues.insert(&job.spec.queue);
            used_accounts.extend(&job.spec.account);
        }
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
}
