//! Messages from other hosts.

use std::time;

use pier_core::ids;

use crate::decider::RequestOrigin;
use crate::effect::Effect;
use crate::host::{Host, Role};
use crate::peer::Message;

/// The delay before requests are forwarded again to a host that does not know yet that it is the
/// decider. It returns every such request, so without a delay they would multiply.
const FORWARD_AGAIN_DELAY: time::Duration = time::Duration::from_millis(40);

impl Host {
    /// Handles a message from another host.
    pub(super) fn on_peer_message(
        &mut self,
        now: time::Duration,
        wall_ms: u64,
        from: ids::HostId,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        // A request for an earlier term of this process must not be served: its host takes it for
        // unserved when it learns of the next decider.
        if let Role::Deciding(decider) = &self.role
            && let Some(addressee) = message.addressee()
            && addressee != decider.token()
        {
            let token = addressee.min(decider.token());
            effects.push(Effect::Send { to: from, message: Message::NotDeciding { token } });
            return;
        }
        match message {
            Message::Alive => {}
            Message::LogUnreachable { token } => {
                if self.decider_token() == Some(token) {
                    self.log_unreachable = Some((token, now));
                    self.cell.read_now(now);
                }
            }
            Message::Hello(info) => {
                let host = &info.host;
                if self.connection_target.as_ref().is_some_and(|(decider, _)| decider == host) {
                    tracing::info!(decider = %host, "connected to the decider");
                    self.connected_to = Some(ids::HostId::clone(host));
                }
                self.with_decider(now, wall_ms, effects, |decider, context| {
                    decider.on_greeting(context, &info);
                    decider.on_peer_connected(context, &info);
                });
                self.peers.insert(ids::HostId::clone(&info.host), info);
            }
            Message::Outcome { ticket, outcome, .. } => {
                if let Some((ticket, response)) = self.requests.on_outcome(now, ticket, outcome) {
                    effects.push(Effect::Respond { ticket, response });
                }
            }
            Message::Call(call) => {
                let newest_token =
                    self.cell_state.decider.as_ref().map_or(0, |logged| logged.token);
                if self.is_decider() || call.target.token < newest_token {
                    tracing::info!(from = %from, token = call.target.token, newest_token,
                        "ignored a worker call from an earlier decider");
                } else {
                    effects.push(Effect::CallWorker(call));
                }
            }
            Message::Reply(reply) => {
                self.with_decider(now, wall_ms, effects, |decider, context| {
                    decider.on_worker_reply(context, *reply);
                });
            }
            Message::AskAdviser { request } => effects.push(Effect::RequestAdvice(request)),
            Message::NotDeciding { token } => {
                if self.decider_token() == Some(token) {
                    tracing::warn!(host = %from, token, "the host is no longer the decider");
                    self.deposed_token = token;
                } else if self.connected_to.as_ref() == Some(&from) {
                    // The host's claim is in the log, but the host has not received the result yet.
                    self.forward_again_at.get_or_insert(now.saturating_add(FORWARD_AGAIN_DELAY));
                }
            }
            Message::Submit { .. }
            | Message::Cancel { .. }
            | Message::Show { .. }
            | Message::CountPending { .. }
                if !self.is_decider() =>
            {
                let message = Message::NotDeciding { token: self.last_token };
                effects.push(Effect::Send { to: from, message });
            }
            Message::Submit { ticket, spec, .. } => {
                self.with_decider(now, wall_ms, effects, |decider, context| {
                    decider.on_submit(context, RequestOrigin::Remote(from, ticket), spec);
                });
            }
            Message::Cancel { ticket, job, requester, .. } => {
                self.with_decider(now, wall_ms, effects, |decider, context| {
                    let origin = RequestOrigin::Remote(from, ticket);
                    decider.on_cancel(context, origin, &job, requester.as_ref());
                });
            }
            Message::Show { ticket, job, requester, .. } => {
                self.with_decider(now, wall_ms, effects, |decider, context| {
                    let origin = RequestOrigin::Remote(from, ticket);
                    decider.on_show(context, origin, &job, requester.as_ref());
                });
            }
            Message::CountPending { ticket, queue, .. } => {
                self.with_decider(now, wall_ms, effects, |decider, context| {
                    decider.on_count_pending(context, RequestOrigin::Remote(from, ticket), &queue);
                });
            }
            Message::Advice { ticket, advice } => {
                self.with_decider(now, wall_ms, effects, |decider, context| {
                    decider.on_advice_response(context, ticket, advice.as_ref());
                });
            }
        }
    }
}
