//! Hosts that do not follow the cell's log.
//!
//! This serves a large cell with many small hosts: the log delivers all jobs of the cell to each of
//! them, and applying it takes most of their processor time and network bandwidth. A host below
//! [`MIN_FULL_HOST_CORE_PERMILLE`] learns the decider from announcements and forwards requests. It
//! follows the log only when it finds no decider for a while or when the decider is a small host,
//! because then there may be no larger one left.

use std::time;

use pier_core::{clock, ids};

use crate::cell_state::{CellState, LoggedClaim};
use crate::effect::Effect;
use crate::event::ReadResponse;
use crate::follower::Topic;
use crate::host::{Host, Role, on_read};
use crate::peer::MIN_FULL_HOST_CORE_PERMILLE;
use crate::record::{Announcement, Record};

/// How long an observing host waits for a decider before it follows the log itself. A change of the
/// decider takes less time.
const OBSERVER_WAIT: time::Duration = time::Duration::from_millis(2_500);
/// The interval between announcements. They are repeated because an older announcement that was
/// stored late may have replaced a newer one.
const ANNOUNCE_INTERVAL: time::Duration = time::Duration::from_secs(5);

impl Host {
    /// Updates whether the host follows the cell's log or the announcements of deciders.
    pub(super) fn update_observing(&mut self, now: time::Duration) {
        if self.has_decider() {
            self.decider_seen_at = Some(now);
        }
        let decider_seen_at = *self.decider_seen_at.get_or_insert(now);
        let is_small = |core_permille: u32| core_permille < MIN_FULL_HOST_CORE_PERMILLE;
        // If the decider is a small host, there may be no larger one that follows the log.
        let has_larger = self
            .cell_state
            .decider
            .as_ref()
            .is_none_or(|logged| !is_small(logged.claim.core_permille));
        let is_observing = is_small(self.identity.core_permille)
            && has_larger
            && matches!(self.role, Role::Following)
            && now < decider_seen_at.saturating_add(OBSERVER_WAIT);
        if is_observing == self.is_observing {
            return;
        }
        self.is_observing = is_observing;
        tracing::info!(
            is_observing,
            core_permille = self.identity.core_permille,
            without_decider_ms = clock::millis(now.saturating_sub(decider_seen_at)),
            "switched between following the log and following announcements"
        );
        let decider = self.cell_state.decider.take();
        self.cell_state = CellState { decider, ..CellState::default() };
        self.cell.reset(now);
        self.deciders.reset(now);
    }

    /// Handles the announcements of deciders.
    pub(super) fn on_deciders_read(
        &mut self,
        now: time::Duration,
        ticket: ids::Ticket,
        response: ReadResponse<Record>,
    ) {
        let Some(update) =
            on_read(&mut self.deciders, Topic::Deciders, ticket, now, response, &self.options)
        else {
            return;
        };
        if !self.is_observing {
            return;
        }
        for (offset, record) in update.records {
            let Announcement { claim, token } = match record.to_announcement() {
                Ok(announcement) => announcement,
                Err(error) => {
                    tracing::error!(%error, offset, "skipped an undecodable announcement");
                    continue;
                }
            };
            // Announcements may be stored out of order.
            if self.cell_state.decider.as_ref().is_some_and(|logged| logged.token >= token) {
                continue;
            }
            tracing::info!(decider = %claim.host, token, offset, "decider announced");
            self.cell_state.decider = Some(LoggedClaim { claim, token });
        }
    }

    /// Announces this host as the decider, at regular intervals.
    pub(super) fn announce(&mut self, now: time::Duration, effects: &mut Vec<Effect>) {
        if self.announcement.is_some() || now < self.announce_at {
            return;
        }
        let Some(logged) = &self.cell_state.decider else {
            return;
        };
        let ticket = self.tickets.issue();
        self.announcement = Some(ticket);
        let announcement = Announcement { claim: logged.claim.clone(), token: logged.token };
        effects.push(Effect::Announce {
            ticket,
            record: Record::announcement(&announcement),
            timeout: self.options.log_timeout,
        });
    }

    /// Handles the result of an announcement.
    pub(super) fn on_announced(
        &mut self,
        now: time::Duration,
        ticket: ids::Ticket,
        is_stored: bool,
    ) {
        // An announcement of an earlier term says nothing about that of this one.
        if self.announcement != Some(ticket) {
            return;
        }
        self.announcement = None;
        let delay = if is_stored { ANNOUNCE_INTERVAL } else { self.options.log_retry_delay };
        self.announce_at = now.saturating_add(delay);
    }
}
