//! Queries and reports that this host sends to the home of a key, as the host that received the
//! request.

use std::collections;
use std::time;

use pier_core::{ids, task};

use super::holders;
use crate::message;
use crate::work::step;

/// The interval between repeats of a query, and the first one between repeats of a report.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// The maximum interval between repeats of a report.
const MAX_REPORT_RETRY_INTERVAL: time::Duration = time::Duration::from_secs(8);
/// The maximum number of unacknowledged reports. Beyond it reports are dropped, and their keys
/// count as running until they expire.
const MAX_REPORTS: usize = 10_000;

/// The verdict of the home of a key on a request of this host.
#[derive(Debug)]
pub(in crate::work) struct ReceivedVerdict {
    pub(in crate::work) task: ids::TaskId,
    pub(in crate::work) verdict: message::DedupeVerdict,
}

#[derive(Debug)]
struct Query {
    key: message::DedupeKey,
    task: ids::TaskId,
    next_send: time::Duration,
}

#[derive(Debug)]
struct Report {
    end: Option<task::TaskEnd>,
    next_send: time::Duration,
    retry_interval: time::Duration,
    until: time::Duration,
}

/// Unanswered queries and unacknowledged reports.
#[derive(Debug, Default)]
pub(super) struct Queries {
    queries: collections::BTreeMap<ids::Ticket, Query>,
    reports: collections::BTreeMap<(message::DedupeKey, ids::TaskId), Report>,
    verdicts: collections::VecDeque<ReceivedVerdict>,
    next_ticket: ids::Ticket,
}

impl Queries {
    pub(super) fn ask(
        &mut self,
        step: &mut step::Step<'_>,
        key: message::DedupeKey,
        task: ids::TaskId,
    ) {
        self.next_ticket += 1;
        let query = Query { key, task, next_send: step.now + RETRY_INTERVAL };
        send_query(step, self.next_ticket, &query);
        self.queries.insert(self.next_ticket, query);
    }

    pub(super) fn report(
        &mut self,
        step: &mut step::Step<'_>,
        key: message::DedupeKey,
        task: ids::TaskId,
        end: Option<task::TaskEnd>,
        until: time::Duration,
    ) {
        self.queries.retain(|_, query| query.task != task);
        if self.reports.len() >= MAX_REPORTS {
            self.reports.pop_first();
        }
        let report = Report {
            end,
            next_send: step.now + RETRY_INTERVAL,
            retry_interval: RETRY_INTERVAL,
            until,
        };
        let id = (key, task);
        send_report(step, &id, &report);
        self.reports.insert(id, report);
    }

    pub(super) fn next_verdict(&mut self) -> Option<ReceivedVerdict> {
        self.verdicts.pop_front()
    }

    pub(super) fn is_drained(&self) -> bool {
        self.reports.is_empty()
    }

    pub(super) fn on_verdict(
        &mut self,
        _step: &step::Step<'_>,
        ticket: ids::Ticket,
        verdict: message::DedupeVerdict,
    ) {
        if let Some(query) = self.queries.remove(&ticket) {
            self.verdicts.push_back(ReceivedVerdict { task: query.task, verdict });
        }
    }

    pub(super) fn on_ended_ack(&mut self, key: &message::DedupeKey, task: &ids::TaskId) {
        self.reports.remove(&(key.clone(), task.clone()));
    }

    pub(super) fn tick(&mut self, step: &mut step::Step<'_>) {
        for (ticket, query) in &mut self.queries {
            if query.next_send <= step.now {
                query.next_send = step.now + RETRY_INTERVAL;
                send_query(step, *ticket, query);
            }
        }
        self.reports.retain(|_, report| report.until > step.now);
        for (id, report) in &mut self.reports {
            if report.next_send <= step.now {
                report.retry_interval = (report.retry_interval * 2).min(MAX_REPORT_RETRY_INTERVAL);
                report.next_send = step.now + report.retry_interval;
                send_report(step, id, report);
            }
        }
    }
}

fn send_query(step: &mut step::Step<'_>, ticket: ids::Ticket, query: &Query) {
    let holders = holders::of(step.cluster, &query.key);
    let Some(home) = holders.first() else {
        return;
    };
    let (key, task) = (query.key.clone(), query.task.clone());
    let message = message::DedupeMessage::Check { ticket, key, task };
    step.send(home, message::Message::Dedupe(message));
}

fn send_report(
    step: &mut step::Step<'_>,
    (key, task): &(message::DedupeKey, ids::TaskId),
    report: &Report,
) {
    let holders = holders::of(step.cluster, key);
    let Some(home) = holders.first() else {
        return;
    };
    let (key, task) = (key.clone(), task.clone());
    let message = message::DedupeMessage::Ended { key, task, end: report.end.clone() };
    step.send(home, message::Message::Dedupe(message));
}
