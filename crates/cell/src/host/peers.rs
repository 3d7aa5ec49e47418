//! What other hosts say.

use std::time;

use pier_core::ids;

use crate::decider::RequestOrigin;
use crate::effect::Effect;
use crate::host::Host;
use crate::peer::Message;

/// The pause before calls are passed again to a host that does not know yet that it decides. Each
/// such call is sent back, so without a pause they would multiply.
const REPEAT_PAUSE: time::Duration = time::Duration::from_millis(40);

impl Host {
    /// Takes a message of another host.
    pub(super) fn on_peer(
        &mut self,
        now: time::Duration,
        wall_ms: u64,
        from: ids::HostId,
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        match message {
            Message::Alive => {}
            Message::LogLost { token } => {
                if self.decider_token() == Some(token) {
                    self.log_lost = Some((token, now));
                    self.cell.hasten(now);
                }
            }
            Message::Hello(info) => {
                let host = &info.host;
                if self.wanted_connection.as_ref().is_some_and(|(decider, _)| decider == host) {
                    tracing::info!(decider = %host, "connected to the decider");
                    self.connected_to = Some(ids::HostId::clone(host));
                }
                self.with_decider(now, wall_ms, out, |decider, context| {
                    decider.on_peer_connected(context, &info);
                });
                self.peers.insert(ids::HostId::clone(&info.host), info);
            }
            Message::Verdict { ticket, token, verdict } => {
                if let Some(answer) = self.calls.on_verdict(now, ticket, token, verdict) {
                    out.push(Effect::Answer { ticket, answer });
                }
            }
            Message::Call(call) => {
                if self.is_decider() {
                    tracing::info!(from = %from, token = call.target.token,
                        "call of an earlier decider left out");
                } else {
                    out.push(Effect::Call(call));
                }
            }
            Message::Reply(reply) => {
                self.with_decider(now, wall_ms, out, |decider, context| {
                    decider.on_worker_reply(context, *reply);
                });
            }
            Message::AskAdviser { question } => out.push(Effect::Advise(question)),
            Message::NotDeciding { token } => {
                if self.decider_token() == Some(token) {
                    tracing::warn!(host = %from, token, "the host does not decide any more");
                    self.deposed_token = token;
                } else if self.connected_to.as_ref() == Some(&from) {
                    // Its claim is in the log, and it has not heard of that yet.
                    self.repeat_calls_at.get_or_insert(now.saturating_add(REPEAT_PAUSE));
                }
            }
            Message::Submit { .. }
            | Message::Cancel { .. }
            | Message::Show { .. }
            | Message::CountPending { .. }
                if !self.is_decider() =>
            {
                let message = Message::NotDeciding { token: self.last_token };
                out.push(Effect::Send { to: from, message });
            }
            Message::Submit { ticket, spec } => {
                self.with_decider(now, wall_ms, out, |decider, context| {
                    decider.on_submit(context, RequestOrigin::Remote(from, ticket), spec);
                });
            }
            Message::Cancel { ticket, job } => {
                self.with_decider(now, wall_ms, out, |decider, context| {
                    decider.on_cancel(context, RequestOrigin::Remote(from, ticket), &job);
                });
            }
            Message::Show { ticket, job } => {
                self.with_decider(now, wall_ms, out, |decider, context| {
                    decider.on_show(context, RequestOrigin::Remote(from, ticket), &job);
                });
            }
            Message::CountPending { ticket, queue } => {
                self.with_decider(now, wall_ms, out, |decider, context| {
                    decider.on_count_pending(context, RequestOrigin::Remote(from, ticket), &queue);
                });
            }
            Message::Advice { ticket, answer } => {
                self.with_decider(now, wall_ms, out, |decider, context| {
                    decider.on_advice_response(context, ticket, answer.as_ref());
                });
            }
        }
    }
}
