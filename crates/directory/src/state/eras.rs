//! A store that comes back from an older copy: its eras, and what holds of the words that it has lost.
//! See docs/design/store-eras.md.

use std::net::SocketAddrV4;

use indexmap::IndexMap;
use stdx::time::Timestamp;
use steer::UpstreamId;

use super::{AddressClaim, AddressHolder, Directory, StoreTrust, StoredUpstream};
use crate::record::Revision;

/// Whether words of an earlier era hold although the store has lost them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EarlierWords {
    Void,
    /// The new era has not been read yet.
    HoldUntilRead,
    HoldUntil(Timestamp),
}

/// What was known of an upstream that took no new flows when the store stepped back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Hold {
    pub(super) leaving: bool,
    /// Its record had been removed, or its address had passed on.
    pub(super) gone: bool,
    pub(super) ended: bool,
}

impl Directory {
    /// Handles an era of the store. A newer one means that the store has lost words that it had
    /// acknowledged, registrations of live upstreams among them. Returns whether there are any.
    pub fn on_era(&mut self, now: Timestamp, era: u64) -> bool {
        if era <= self.era {
            return false;
        }
        self.confirm_removals(now);
        self.era = era;
        self.base = None;
        let is_empty = self.config.is_none()
            && self.upstreams.is_empty()
            && self.zones_out.is_empty()
            && self.members.is_empty();
        if is_empty {
            return false;
        }
        let holds: Vec<Option<Hold>> = {
            let holders = self.address_holders(now);
            let upstreams = self.upstreams.iter();
            upstreams.map(|(id, stored)| self.hold(now, *id, stored, &holders)).collect()
        };
        for (stored, hold) in self.upstreams.values_mut().zip(holds) {
            stored.hold = hold;
        }
        self.earlier_words = EarlierWords::HoldUntilRead;
        self.store_trust = StoreTrust::Unavailable;
        true
    }

    /// What holds for an upstream from now on if the store has lost it.
    fn hold(
        &self,
        now: Timestamp,
        id: UpstreamId,
        stored: &StoredUpstream,
        holders: &IndexMap<SocketAddrV4, AddressHolder>,
    ) -> Option<Hold> {
        let before = self.active_hold(now, stored);
        let claim = super::address_claim(holders, id, stored);
        let passed_on = claim == AddressClaim::PassedOn;
        let removed = stored.removal.is_some_and(|removal| removal.ended);
        let hold = Hold {
            leaving: stored.spec.leaving || before.is_some_and(|hold| hold.leaving),
            gone: claim != AddressClaim::Holds
                || !self.is_listed(now, stored)
                || before.is_some_and(|hold| hold.gone),
            ended: passed_on || removed || before.is_some_and(|hold| hold.ended),
        };
        (hold.leaving || hold.gone).then_some(hold)
    }

    /// Whether a word may be older than words of the earlier era.
    pub(super) fn is_doubtful(&self, revision: Revision) -> bool {
        self.base.is_none_or(|base| revision.number <= base)
    }

    pub(super) fn holds_earlier_words(&self, now: Timestamp) -> bool {
        match self.earlier_words {
            EarlierWords::Void => false,
            EarlierWords::HoldUntilRead => true,
            EarlierWords::HoldUntil(end) => now < end,
        }
    }

    pub(super) fn active_hold(&self, now: Timestamp, stored: &StoredUpstream) -> Option<Hold> {
        stored.hold.filter(|_| self.holds_earlier_words(now))
    }

    /// Number of upstreams and zones for which lost words hold.
    pub(super) fn held(&self, now: Timestamp) -> usize {
        if !self.holds_earlier_words(now) {
            return 0;
        }
        let zones = self.zones_out.values().filter(|revision| revision.era < self.era).count();
        self.upstreams.values().filter(|stored| stored.hold.is_some()).count() + zones
    }

    /// Ends the holds when lost words have had time to be written again.
    pub(super) fn release_held(&mut self, now: Timestamp) {
        if matches!(self.earlier_words, EarlierWords::HoldUntil(end) if end <= now) {
            self.earlier_words = EarlierWords::Void;
            self.upstreams.values_mut().for_each(|stored| stored.hold = None);
            let era = self.era;
            let lost = self.zones_out.iter().filter(|(_, revision)| revision.era < era);
            let lost: Vec<String> = lost.map(|(zone, _)| zone.clone()).collect();
            for zone in lost {
                self.restore_zone(now, &zone);
            }
        }
    }
}
