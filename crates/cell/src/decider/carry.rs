//! Which hosts make the decider's calls of workers.
//!
//! Answers a large cell: calls take most of the decider's processor time, so the other hosts make
//! them, each for workers of its own zone. A small cell does without, because every host between
//! the decider and a worker can fail.

use std::collections::BTreeMap;

use pier_core::{ids, rendezvous};

use crate::decider::{Context, Decider};
use crate::effect::Effect;
use crate::event::{WorkerReply, WorkerResponse};
use crate::peer::{MIN_FULL_HOST_CORE_PERMILLE, Message, PeerInfo};
use crate::run::RunPhase;
use crate::worker::Worker;

impl Decider {
    /// Takes the answer to a call of a worker.
    pub fn on_reply(&mut self, context: &mut Context<'_>, reply: WorkerReply) {
        // An earlier decider's call: its fence says nothing of this one.
        if reply.token != self.token {
            return;
        }
        match reply.response {
            WorkerResponse::Start { task, number, response } => {
                self.on_start_answered(context, &task, number, response);
            }
            WorkerResponse::Stop { task, number, is_acknowledged } => {
                self.on_stop_answered(context, &task, number, is_acknowledged);
            }
            WorkerResponse::Poll { sent_at, response } => {
                self.on_look_answered(context, &reply.worker, sent_at, response);
            }
        }
    }

    /// Gives the calls among the effects to the hosts that are to make them.
    pub fn route_calls(&mut self, context: &mut Context<'_>) {
        if self.workers.len() <= context.options.max_direct_workers || self.peers.is_empty() {
            return;
        }
        for effect in context.effects.iter_mut() {
            let Effect::CallWorker(call) = effect else {
                continue;
            };
            let Some(worker) = self.workers.get_mut(&call.target.worker) else {
                continue;
            };
            if worker.carrier.is_none() {
                worker.carrier = choose_carrier(worker, &self.peers);
            }
            let Some(to) = worker.carrier.clone() else {
                continue;
            };
            *effect = Effect::Send { to, message: Message::Call(call.clone()) };
        }
    }

    /// The host makes no more calls. What it was asked for last may have been done or not.
    pub(super) fn drop_carrier(&mut self, context: &Context<'_>, host: &ids::HostId) {
        for worker in self.workers.values_mut() {
            if worker.carrier.as_ref() != Some(host) {
                continue;
            }
            worker.carrier = None;
            worker.look_sent_at = None;
            worker.look_due_at = context.now;
            self.touched.insert(ids::WorkerId::clone(&worker.entry.id));
            for task in &worker.runs {
                let Some(run) = self.runs.get_mut(task) else {
                    continue;
                };
                match run.phase {
                    RunPhase::Sent => {
                        run.phase = RunPhase::Unknown { since: context.now, is_fenced: false };
                    }
                    RunPhase::Stopping { .. } => run.phase = RunPhase::Stopping { sent_at: None },
                    _ => {}
                }
            }
        }
    }
}

/// The host for the worker's calls: one with enough of a processor and of the worker's zone, as far
/// as there is one. After failed calls the next one in the order has its turn.
fn choose_carrier(worker: &Worker, peers: &BTreeMap<ids::HostId, PeerInfo>) -> Option<ids::HostId> {
    let mut ranked: Vec<(bool, bool, u64, &ids::HostId)> = Vec::new();
    for (host, info) in peers {
        let is_weak = info.core_permille < MIN_FULL_HOST_CORE_PERMILLE;
        let is_elsewhere = info.zone != worker.entry.zone;
        let weight = rendezvous::weight(&worker.entry.id, host);
        ranked.push((is_weak, is_elsewhere, u64::MAX - weight, host));
    }
    ranked.sort_unstable();
    let turn = usize::try_from(worker.carrier_turn).unwrap_or_default();
    let index = turn.checked_rem(ranked.len())?;
    ranked.get(index).map(|(.., host)| ids::HostId::clone(host))
}
