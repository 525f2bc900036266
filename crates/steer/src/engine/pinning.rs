//! Flows that this entry did not open, or whose token may name another upstream: adoption, pins and
//! lookups.

use std::time::Duration;

use stdx::time::Timestamp;

use super::{Engine, OPEN_EXPIRY};
use crate::decision::{Action, Drop, Event};
use crate::inquiries::Check;
use crate::openings::{Opening, Stage};
use crate::packet::{FlowKey, Packet};
use crate::pins::Pin;
use crate::table::UpstreamId;

/// Time after which a copy of an opening can arrive no more. Clients send the last one after 600 ms, and
/// those that have waited here for 1.4 s are not read.
const MAX_OPENING_DELAY: Duration = Duration::from_secs(2);

impl Engine {
    /// Pins since the last call, for the other entries.
    pub fn take_new_pins(&mut self) -> Vec<Pin> {
        std::mem::take(&mut self.new_pins)
    }

    /// Returns all pins at the next call of [`Engine::take_new_pins`], so that the other entries
    /// have them when this one stops.
    pub fn share_all_pins(&mut self) {
        self.new_pins = self.pins.iter().copied().collect();
    }

    /// Flows since the last call that the other entries have to be asked about.
    pub fn take_new_inquiries(&mut self) -> Vec<FlowKey> {
        std::mem::take(&mut self.new_inquiries)
    }

    /// All other entries that were asked about these flows have answered.
    pub fn on_answered(&mut self, flows: &[FlowKey]) {
        for flow in flows {
            self.inquiries.settle(flow);
        }
    }

    /// The next flow whose packets no longer wait for other entries, if any; to be called until it
    /// returns `None`.
    pub fn next_settled(&mut self, now: Timestamp) -> Option<FlowKey> {
        self.inquiries.next_settled(now)
    }

    /// Adds pins of another entry. A flow that this entry still tries to open is open.
    pub fn on_pins(&mut self, now: Timestamp, pins: &[Pin]) {
        for pin in pins {
            match self.inquiries.is_answer(pin) {
                Some(true) => {
                    let was_awaited = self.inquiries.settle(&pin.flow);
                    self.stats.inquiries_pinned += u64::from(was_awaited);
                }
                // It is of an earlier flow on the same ports.
                Some(false) => continue,
                None => {}
            }
            self.pins.insert(now, *pin);
            let is_opening = |opening: &Opening| {
                opening.stage == Stage::Opening && opening.seq == pin.initial_seq
            };
            if self.openings.get(&pin.flow).is_some_and(is_opening)
                && self.may_serve(&pin.flow, pin.upstream)
            {
                self.open(&pin.flow, pin.upstream, pin.first_ack);
                self.selector.record_success(now, &self.table, pin.upstream);
            }
        }
    }

    /// Whether an opening is a copy that was delayed, by its network or a pause of this entry, until its
    /// flow had opened through another entry. An upstream that gets it would answer for a flow that it
    /// does not have.
    pub(super) fn is_open_elsewhere(&self, now: Timestamp, opening: &Packet) -> bool {
        let pinned_since = self.pins.pinned_since(&opening.flow, opening.seq);
        pinned_since.is_some_and(|since| now.since(since) < MAX_OPENING_DELAY)
    }

    /// What this entry knows of a flow's upstream, for an entry that does not know it: its own record
    /// and its pin. They differ if one of them is of an earlier flow on the same ports.
    pub fn find_pins(
        &mut self,
        now: Timestamp,
        flow: &FlowKey,
    ) -> impl Iterator<Item = Pin> + use<> {
        let pin = self.pins.get(now, flow);
        let tracked = self.tracked_pin(flow);
        tracked.into_iter().chain(pin.filter(|pin| Some(*pin) != tracked))
    }

    /// The pin of an open or closed flow that this entry tracks.
    fn tracked_pin(&self, flow: &FlowKey) -> Option<Pin> {
        let opening = self.openings.get(flow)?;
        let (Stage::Open { upstream, base } | Stage::Closed { upstream, base }) = opening.stage
        else {
            return None;
        };
        Some(Pin { flow: *flow, initial_seq: opening.seq, first_ack: base, upstream })
    }

    /// Asks the other entries about the flow of a client's first packet if its opening did not come
    /// here. Returns what to do with the packet until they have answered.
    ///
    /// The token names the upstream that answered last. If the opening went to several, that may be
    /// one that does not have the flow, which only other entries know: a client may pause before its
    /// first request, and the entry that opened the flow may have stopped since.
    pub(super) fn inquire(&mut self, now: Timestamp, packet: &Packet) -> Option<Action> {
        let flow = &packet.flow;
        let initial_seq = packet.seq.wrapping_sub(1);
        let is_tracked = self.openings.get(flow).is_some_and(|opening| opening.seq == initial_seq);
        let is_alone = self.table.entries.len() <= 1;
        if is_tracked
            || is_alone
            || packet.rst
            || !packet.has_ack
            || self.pinned_upstream(now, packet).is_some()
        {
            return None;
        }
        match self.inquiries.check(now, flow, initial_seq, packet.ack) {
            Check::Begun => {
                self.stats.inquiries += 1;
                self.new_inquiries.push(*flow);
                Some(Action::Await(*flow))
            }
            Check::Awaited => Some(Action::Await(*flow)),
            Check::Settled => None,
            Check::Full => Some(Action::Drop(Drop::TooManyInquiries)),
        }
    }

    /// Tracks a flow that another entry opened, if the packet is one of its first ones: its token is
    /// that of an opening and names `token_upstream`. The other entry may not know that the flow is
    /// open and hedge it.
    pub(super) fn adopt(
        &mut self,
        now: Timestamp,
        packet: &Packet,
        token_upstream: Option<UpstreamId>,
    ) {
        let initial_seq = packet.seq.wrapping_sub(1);
        let is_tracked =
            self.openings.get(&packet.flow).is_some_and(|opening| opening.seq == initial_seq);
        if is_tracked || packet.rst || !packet.has_ack {
            return;
        }
        let Some(token_upstream) = token_upstream else {
            return;
        };
        let upstream = self.pinned_upstream(now, packet).unwrap_or(token_upstream);
        let Some(service) = self.table.upstreams.get(&upstream).map(|upstream| upstream.service)
        else {
            return;
        };
        let opening = Opening::new(now, service, initial_seq, None);
        if let Some(evicted) = self.openings.insert(packet.flow, opening) {
            self.release(&evicted);
        }
        self.inquiries.remove(&packet.flow);
        self.stats.adopted += 1;
        self.events.push(Event::Adopted { flow: packet.flow, upstream });
        self.open(&packet.flow, upstream, packet.ack);
        self.pin(now, &packet.flow);
        self.schedule(now + OPEN_EXPIRY, &packet.flow);
    }

    /// Pins an open flow.
    pub(super) fn pin(&mut self, now: Timestamp, flow: &FlowKey) {
        if let Some(pin) = self.tracked_pin(flow) {
            self.stats.pinned += 1;
            self.pins.insert(now, pin);
            self.new_pins.push(pin);
        }
    }

    /// The upstream of a pinned flow. The token tells whether the packet belongs to that flow and
    /// not to another one on the same ports.
    pub(super) fn pinned_upstream(
        &mut self,
        now: Timestamp,
        packet: &Packet,
    ) -> Option<UpstreamId> {
        let pin = self.pins.get(now, &packet.flow)?;
        let is_first = packet.seq == pin.initial_seq.wrapping_add(1);
        if is_first && !pin.begins_with(pin.initial_seq, packet.ack) {
            return None;
        }
        self.upstream_named(packet, packet.token.bound_to(pin.initial_seq))?;
        self.may_serve(&packet.flow, pin.upstream).then_some(pin.upstream)
    }

    /// Handles a packet whose flow neither the token nor this entry's records identify.
    pub(super) fn look_up(&mut self, now: Timestamp, packet: &Packet) -> Action {
        let has_answer = self.pins.get(now, &packet.flow).is_some();
        if packet.rst || has_answer || !self.lookup_budget.take(now, 1.0) {
            return Action::Drop(Drop::UnknownToken);
        }
        self.stats.lookups += 1;
        Action::LookUp(packet.flow)
    }
}
