//! Hosts that do not follow the cell's log.
//!
//! Answers a large cell with many small hosts: the log brings each of them all jobs of the cell, and
//! folding it takes most of their processors and links. A host with less than the usual part of a
//! core learns who decides from announcements, passes calls on, and follows the log only when no
//! decider is found for a while or when a small host decides, because then no larger one may be left.

use std::time;

use pier_core::clock;

use crate::cell_state::{CellState, LoggedClaim};
use crate::effect::Effect;
use crate::event::ReadResponse;
use crate::follower::Topic;
use crate::host::{Host, Role, taken};
use crate::peer::MIN_FULL_HOST_CORE_PERMILLE;
use crate::record::{Announcement, Record};

/// How long such a host waits for a decider before it follows the log itself. A change of the
/// decider takes less.
const OBSERVER_PATIENCE: time::Duration = time::Duration::from_millis(2_500);
/// The pause between announcements: one that was carried out late may have hidden a newer one.
const ANNOUNCE_EVERY: time::Duration = time::Duration::from_secs(5);

impl Host {
    /// Follows the cell's log, or leaves that to larger hosts.
    pub(super) fn choose_what_to_follow(&mut self, now: time::Duration) {
        if self.has_decider() {
            self.decider_seen_at = Some(now);
        }
        let decider_seen_at = *self.decider_seen_at.get_or_insert(now);
        let is_small = |core_permille: u32| core_permille < MIN_FULL_HOST_CORE_PERMILLE;
        // A small host that decides tells that no larger one is there to follow the log.
        let has_larger =
            self.ledger.decider.as_ref().is_none_or(|placed| !is_small(placed.claim.core_permille));
        let is_observing = is_small(self.me.core_permille)
            && has_larger
            && matches!(self.role, Role::Following)
            && now < decider_seen_at.saturating_add(OBSERVER_PATIENCE);
        if is_observing == self.is_observing {
            return;
        }
        self.is_observing = is_observing;
        tracing::info!(
            is_observing,
            core_permille = self.me.core_permille,
            without_decider_ms = clock::millis(now.saturating_sub(decider_seen_at)),
            "what the host follows has changed"
        );
        let decider = self.ledger.decider.take();
        self.ledger = CellState { decider, ..CellState::default() };
        self.cell.restart(now);
        self.deciders.restart(now);
    }

    /// Takes the announcements of deciders.
    pub(super) fn on_deciders(&mut self, now: time::Duration, response: ReadResponse<Record>) {
        let Some(learned) =
            taken(&mut self.deciders, Topic::Deciders, now, response, &self.options)
        else {
            return;
        };
        if !self.is_observing {
            return;
        }
        for (offset, record) in learned.records {
            let Announcement { claim, token } = match record.to_announcement() {
                Ok(notice) => notice,
                Err(error) => {
                    tracing::error!(%error, offset, "announcement left out");
                    continue;
                }
            };
            // An announcement may be stored late.
            if self.ledger.decider.as_ref().is_some_and(|placed| placed.token >= token) {
                continue;
            }
            tracing::info!(decider = %claim.host, token, offset, "decider announced");
            self.ledger.decider = Some(LoggedClaim { claim, token });
        }
    }

    /// Announces this host as the decider, from time to time again.
    pub(super) fn announce(&mut self, now: time::Duration, out: &mut Vec<Effect>) {
        if self.announce_at.is_none_or(|at| now < at) {
            return;
        }
        let Some(placed) = &self.ledger.decider else {
            return;
        };
        self.announce_at = None;
        let notice = Announcement { claim: placed.claim.clone(), token: placed.token };
        out.push(Effect::Announce {
            record: Record::announcement(&notice),
            timeout: self.options.log_timeout,
        });
    }

    /// Takes the answer to an announcement.
    pub(super) fn on_announced(&mut self, now: time::Duration, is_stored: bool) {
        let pause = if is_stored { ANNOUNCE_EVERY } else { self.options.log_retry_delay };
        self.announce_at = Some(now.saturating_add(pause));
    }
}
