//! Relays of the decider's calls to workers.
//!
//! The other hosts make the calls, each for workers of its own zone. In a large cell the calls would
//! take most of the decider's processor time. In every cell, a change of the decider then opens few
//! connections to workers, which may keep those of a host that has lost power.

use std::collections::BTreeMap;

use pier_core::{ids, rendezvous};

use crate::decider::{Context, Decider};
use crate::effect::Effect;
use crate::event::{WorkerReply, WorkerResponse};
use crate::peer::{MIN_FULL_HOST_CORE_PERMILLE, Message, PeerInfo};
use crate::run::RunPhase;
use crate::worker::Worker;

impl Decider {
    /// Handles the response to a call to a worker.
    pub fn on_worker_reply(&mut self, context: &mut Context<'_>, reply: WorkerReply) {
        // The call was made for an earlier decider. That it was fenced says nothing about this one.
        if reply.token != self.token {
            return;
        }
        match reply.response {
            // What an earlier incarnation says, or did, holds for that one only.
            WorkerResponse::Stop { .. } | WorkerResponse::Poll { .. }
                if self.is_of_earlier_incarnation(&reply) =>
            {
                tracing::info!(worker = %reply.worker, life = reply.incarnation,
                    "ignored the response to a call that was meant for an earlier incarnation");
            }
            WorkerResponse::Start { task, number, response } => {
                self.on_start_response(context, &task, number, response);
            }
            WorkerResponse::Stop { task, number, is_acknowledged } => {
                self.on_stop_response(context, &task, number, is_acknowledged);
            }
            WorkerResponse::Poll { sent_at, response } => {
                self.on_poll_response(context, &reply.worker, sent_at, response);
            }
        }
    }

    /// Whether the call was meant for another incarnation of the worker than the known one.
    fn is_of_earlier_incarnation(&self, reply: &WorkerReply) -> bool {
        let known = self.workers.get(&reply.worker).map(|worker| worker.info.incarnation);
        known.is_some() && reply.incarnation.is_some() && known != reply.incarnation
    }

    /// Hands the worker calls among the effects to their relay hosts. A decider without connected
    /// hosts makes them itself.
    pub fn relay_calls(&mut self, context: &mut Context<'_>) {
        if self.peers.is_empty() {
            return;
        }
        for effect in context.effects.iter_mut() {
            let Effect::CallWorker(call) = effect else {
                continue;
            };
            let Some(worker) = self.workers.get_mut(&call.target.worker) else {
                continue;
            };
            if worker.relay.is_none() {
                worker.relay = choose_relay(worker, &self.peers);
            }
            let Some(to) = worker.relay.clone() else {
                continue;
            };
            *effect = Effect::Send { to, message: Message::Call(call.clone()) };
        }
    }

    /// Stops using the host as a relay. Its last calls may or may not have been made.
    pub(super) fn remove_relay(&mut self, context: &Context<'_>, host: &ids::HostId) {
        for worker in self.workers.values_mut() {
            if worker.relay.as_ref() != Some(host) {
                continue;
            }
            worker.relay = None;
            worker.poll_sent_at = None;
            worker.next_poll_at = context.now;
            self.poll_candidates.insert(ids::WorkerId::clone(&worker.info.id));
            for task in &worker.runs {
                let Some(run) = self.runs.get_mut(task) else {
                    continue;
                };
                match run.phase {
                    RunPhase::Sent => {
                        run.phase = RunPhase::Unknown { since: context.now, is_fenced: false };
                    }
                    RunPhase::Stopping { attempts, .. } => {
                        run.phase = RunPhase::Stopping { attempts, due_at: context.now };
                    }
                    _ => {}
                }
            }
        }
    }
}

/// Chooses the relay for the worker's calls. Hosts with enough processor time come first, then
/// those in the worker's zone. After failed calls the next host in this order is used.
fn choose_relay(worker: &Worker, peers: &BTreeMap<ids::HostId, PeerInfo>) -> Option<ids::HostId> {
    let mut ranked: Vec<(bool, bool, u64, &ids::HostId)> = Vec::new();
    for (host, info) in peers {
        let is_weak = info.core_permille < MIN_FULL_HOST_CORE_PERMILLE;
        let is_elsewhere = info.zone != worker.info.zone;
        let weight = rendezvous::weight(&worker.info.id, host);
        ranked.push((is_weak, is_elsewhere, u64::MAX - weight, host));
    }
    ranked.sort_unstable();
    let turn = usize::try_from(worker.relay_failures).unwrap_or_default();
    let index = turn.checked_rem(ranked.len())?;
    ranked.get(index).map(|(.., host)| ids::HostId::clone(host))
}
