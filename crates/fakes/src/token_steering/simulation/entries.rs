//! Entries: packets, timers, zone pings, outcome updates, starts and stops.

use super::super::entry::Entry;
use super::{
    CLIENT_DELAY, ENTRY_DRAIN_TIME, Event, INTERNAL_DELAY, LOAD_NEWS_INTERVAL,
    OUTCOME_UPDATE_INTERVAL, RECOVERY_TIME, RESTART_DELAY, Simulation, ZONES, member_addr,
    opening_packet,
};
use directory::Member;
use directory::RecordKey;
use directory::RecordValue;
use directory::giving::OFFER_INTERVAL;
use std::net::SocketAddrV4;
use std::time::Duration;
use steer::Action;
use steer::FlowKey;
use steer::Packet;
use steer::Pin;
use steer::decision::Hop;

impl Simulation {
    pub(super) fn on_packet_at_entry(&mut self, index: usize, generation: u32, packet: Packet) {
        let now = self.now;
        let entry = &mut self.entries[index];
        if !entry.alive || entry.generation != generation {
            return;
        }
        if entry.paused_until > now {
            let wait = entry.paused_until.since(now) + Duration::from_millis(1);
            self.schedule(wait, Event::PacketAtEntry(index, generation, packet));
            return;
        }
        if entry.backlog.on_packet() && packet.syn {
            return;
        }
        match entry.engine.on_packet(now, &packet, &[1; 36]) {
            Action::Forward(hop) => {
                let flow = packet.flow;
                self.send_to_upstream(index, hop, packet);
                self.replay_lookups(index, &flow);
            }
            Action::Reset(reset) => {
                self.schedule(CLIENT_DELAY, Event::ResetAtClient(reset.flow, None));
            }
            Action::Hold => {
                entry.hold_queue.push(now, packet);
            }
            Action::LookUp(flow) => {
                if entry.lookups.push(now, flow, packet) {
                    self.look_up(index, &flow);
                }
            }
            Action::Await(flow) => {
                entry.lookups.push(now, flow, packet);
            }
            Action::Drop(_) => {}
        }
        for flow in self.entries[index].engine.take_new_inquiries() {
            self.look_up(index, &flow);
        }
        self.share_pins(index);
        self.schedule_timers(index);
    }

    /// Ends a pause. The packets that arrived meanwhile have been handled at the second call.
    pub(super) fn on_entry_resumed(&mut self, index: usize, generation: u32) {
        let now = self.now;
        let entry = &mut self.entries[index];
        if !entry.alive || entry.generation != generation || entry.paused_until > now {
            return;
        }
        if entry.resume(now) {
            self.schedule(Duration::from_millis(2), Event::EntryResumed(index, generation));
        } else {
            entry.backlog.on_empty();
        }
    }

    /// Sends an entry's new pins to the other entries.
    fn share_pins(&mut self, index: usize) {
        for pin in self.entries[index].engine.take_new_pins() {
            for other in self.reachable_entries(index) {
                let generation = self.entries[other].generation;
                self.schedule(INTERNAL_DELAY, Event::PinAtEntry(other, generation, pin));
            }
        }
    }

    /// Asks the other entries for the services that routes named before this one started.
    pub(super) fn look_up_routes(&mut self, index: usize) {
        for other in self.reachable_entries(index) {
            let routes: Vec<(SocketAddrV4, Vec<String>)> = self.entries[other]
                .directory
                .moved_routes()
                .map(|(addr, names)| (addr, names.to_vec()))
                .collect();
            for (addr, names) in routes {
                self.entries[index].directory.add_route_services(addr, &names);
            }
        }
    }

    /// Asks the other entries for a flow's pin. Those that can't be reached don't answer.
    fn look_up(&mut self, index: usize, flow: &FlowKey) {
        let now = self.now;
        let others = self.reachable_entries(index);
        let generation = self.entries[index].generation;
        let find = |other: &usize| self.entries[*other].engine.find_pins(now, flow);
        let pins: Vec<Pin> = others.iter().flat_map(find).collect();
        for pin in pins {
            self.schedule(INTERNAL_DELAY * 2, Event::PinAtEntry(index, generation, pin));
        }
        if others.len() + 1 == self.entries.len() {
            self.schedule(INTERNAL_DELAY * 2, Event::AnsweredAtEntry(index, generation, *flow));
        }
    }

    pub(super) fn on_pin_at_entry(&mut self, index: usize, generation: u32, pin: Pin) {
        let entry = &mut self.entries[index];
        if entry.alive && entry.generation == generation {
            entry.engine.on_pins(self.now, &[pin]);
            self.replay_lookups(index, &pin.flow);
        }
    }

    /// All other entries have answered a lookup.
    pub(super) fn on_answered_at_entry(&mut self, index: usize, generation: u32, flow: FlowKey) {
        let entry = &mut self.entries[index];
        if entry.alive && entry.generation == generation {
            entry.engine.on_answered(&[flow]);
            self.replay_settled(index);
        }
    }

    fn replay_settled(&mut self, index: usize) {
        while let Some(flow) = self.entries[index].engine.next_settled(self.now) {
            self.replay_lookups(index, &flow);
        }
    }

    /// Handles the packets of a flow that waited for other entries.
    fn replay_lookups(&mut self, index: usize, flow: &FlowKey) {
        let generation = self.entries[index].generation;
        for packet in self.entries[index].lookups.take(self.now, flow) {
            self.on_packet_at_entry(index, generation, packet);
        }
    }

    /// The other entries that exchange messages with an entry at present.
    fn reachable_entries(&self, index: usize) -> Vec<usize> {
        let zone = self.entries[index].zone;
        let is_reachable = |other: &usize| {
            let entry = &self.entries[*other];
            let is_running = entry.alive && entry.paused_until <= self.now;
            *other != index && is_running && !self.is_partitioned(zone, entry.zone)
        };
        (0..self.entries.len()).filter(is_reachable).collect()
    }

    pub(super) fn send_to_upstream(&mut self, index: usize, hop: Hop, packet: Packet) {
        let Some(zone) = self.upstreams.get(&hop.upstream).map(|upstream| upstream.zone) else {
            return;
        };
        if packet.syn
            && let Some(attempt) = self.attempts.get_mut(&packet.flow)
        {
            attempt.offered_to.push(hop.upstream);
            let words = self.entries[index].words_at_step();
            let was_known = words.is_some_and(|words| words.refused.contains(&hop.upstream));
            if was_known && self.takes_none(hop.upstream) {
                self.stats.record_violation(self.now, "opening against a word that was known");
            }
        }
        if !self.is_partitioned(self.entries[index].zone, zone) && !self.draw_loss() {
            self.schedule(INTERNAL_DELAY, Event::PacketAtUpstream(hop, packet, index));
        }
    }

    pub(super) fn schedule_timers(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.log_events(self.now);
        entry.report_unreachable_zones();
        let (generation, is_probing) = (entry.generation, entry.reachability.is_probing());
        if let Some(at) = entry.engine.next_timer() {
            self.schedule(
                at.since(self.now).max(Duration::from_millis(1)),
                Event::EngineTimers(index, generation),
            );
        }
        if is_probing {
            self.schedule(Duration::from_millis(1), Event::PingZones(index, generation));
        }
    }

    pub(super) fn on_engine_timers(&mut self, index: usize, generation: u32) {
        let entry = &mut self.entries[index];
        let due = entry.engine.next_timer().is_some_and(|at| at <= self.now);
        if !entry.alive || entry.generation != generation || entry.paused_until > self.now || !due {
            return;
        }
        let mut hedges = Vec::new();
        while let Some(hedge) = entry.engine.on_timer(self.now, false) {
            hedges.push(hedge);
        }
        for hedge in hedges {
            self.send_to_upstream(index, hedge.hop, opening_packet(hedge.flow, 0));
        }
        self.replay_settled(index);
        self.schedule_timers(index);
    }

    /// Pings entries of unreachable zones. Those that can be reached answer without delay.
    pub(super) fn on_ping_zones(&mut self, index: usize, generation: u32) {
        let (now, zone) = (self.now, self.entries[index].zone);
        if self.entries[index].generation != generation || !self.entries[index].alive {
            return;
        }
        let members: Vec<(&str, SocketAddrV4)> = self
            .entries
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index)
            .map(|(other, entry)| (ZONES[entry.zone], member_addr(other)))
            .collect();
        let pings = self.entries[index].reachability.pings(now, &members);
        for ping in pings {
            let other = usize::from(ping.to.port());
            let responds = self.entries[other].alive && self.entries[other].paused_until <= now;
            if !responds || self.is_partitioned(zone, self.entries[other].zone) {
                continue;
            }
            let entry = &mut self.entries[index];
            if let Some(zone) =
                entry.reachability.on_pong(now, ping.to, ping.nonce).map(str::to_owned)
            {
                entry.engine.on_zone_reachable(now, &zone);
                entry.report_unreachable_zones();
            }
        }
        if self.entries[index].reachability.is_probing() {
            self.schedule(Duration::from_millis(50), Event::PingZones(index, generation));
        }
    }

    /// Every entry sends its outcome updates to all reachable entries.
    pub(super) fn on_exchange_updates(&mut self) {
        let now = self.now;
        for index in 0..self.entries.len() {
            let is_running = |entry: &Entry| entry.alive && entry.paused_until <= now;
            if !is_running(&self.entries[index]) {
                continue;
            }
            let updates = self.entries[index].engine.take_updates(now);
            let news = self.entries[index].engine.take_silence_news(now);
            let acknowledgements = self.entries[index].engine.take_acknowledgement_news(now);
            let zone = self.entries[index].zone;
            for other in (0..self.entries.len()).filter(|other| *other != index) {
                let is_reachable = !self.is_partitioned(zone, self.entries[other].zone);
                if is_reachable && is_running(&self.entries[other]) {
                    let engine = &mut self.entries[other].engine;
                    engine.on_peer_updates(now, index as u64, &updates);
                    engine.on_silence_news(now, index as u64 + 1, &news);
                    engine.on_acknowledgement_news(&acknowledgements);
                }
            }
        }
        let mut resets = Vec::new();
        for entry in &mut self.entries {
            while entry.alive
                && entry.paused_until <= now
                && let Some(reset) = entry.engine.next_reset(now)
            {
                resets.push(reset);
            }
        }
        for reset in resets {
            self.schedule(CLIENT_DELAY, Event::ResetAtClient(reset.flow, None));
        }
        self.schedule(OUTCOME_UPDATE_INTERVAL, Event::ExchangeUpdates);
    }

    /// Every entry sends the news of load that are due.
    pub(super) fn on_exchange_load(&mut self) {
        let now = self.now;
        let members: Vec<load::Entry> = self
            .entries
            .iter()
            .enumerate()
            .map(|(id, entry)| load::Entry { id: id as u64, zone: entry.zone as u64, capacity: 0 })
            .collect();
        for index in 0..self.entries.len() {
            let entry = &mut self.entries[index];
            if !entry.alive || entry.paused_until > now {
                continue;
            }
            entry.engine.set_load_entries(now, index as u64, &members);
            self.send_load_news(index);
        }
        self.schedule(LOAD_NEWS_INTERVAL, Event::ExchangeLoad);
    }

    fn send_load_news(&mut self, index: usize) {
        let delay = self.cfg.load_news_delay.unwrap_or_default();
        for news in self.entries[index].engine.take_load_news(self.now) {
            self.next_load_news += 1;
            self.load_news.insert(self.next_load_news, news);
            self.schedule(INTERNAL_DELAY + delay, Event::LoadNews(index, self.next_load_news));
        }
    }

    pub(super) fn on_load_news(&mut self, from: usize, number: u64) {
        let Some(news) = self.load_news.swap_remove(&number) else {
            return;
        };
        let to = news.to as usize;
        let (zone, entry) = (self.entries[from].zone, &self.entries[to]);
        let is_running = entry.alive && entry.paused_until <= self.now;
        if is_running && !self.is_partitioned(zone, entry.zone) {
            let engine = &mut self.entries[to].engine;
            engine.on_load_news(self.now, from as u64, &news.report);
            self.send_load_news(to);
        }
    }

    pub(super) fn kill(&mut self, index: usize) {
        self.entries[index].alive = false;
        let wait = RESTART_DELAY + Duration::from_millis(self.rng.u64(..300));
        self.schedule(wait, Event::StartEntry(index));
    }

    pub(super) fn on_start_entry(&mut self, index: usize) {
        let Entry { name, zone, generation, .. } = &self.entries[index];
        let (log, placement) = (self.entries[index].log(), self.cfg.placement);
        let (name, zone, generation) = (name.clone(), *zone, generation + 1);
        self.entries[index] = Entry::start(self.now, &name, zone, generation, log, placement);
        self.on_entry_started(index);
    }

    pub(super) fn on_entry_started(&mut self, index: usize) {
        self.register_entry(index);
        let generation = self.entries[index].generation;
        self.schedule(Duration::from_millis(5), Event::SyncStore(index, generation));
        self.schedule(OFFER_INTERVAL, Event::OfferFacts(index, generation));
    }

    /// Writes the record of an entry.
    pub(super) fn register_entry(&mut self, index: usize) {
        let entry = &self.entries[index];
        let (name, generation) = (entry.name.clone(), entry.generation);
        let zone = ZONES[entry.zone].to_owned();
        let member = Member {
            addr: member_addr(index),
            zone,
            incarnation: u64::from(generation),
            link_mbps: 0,
        };
        self.store.put(RecordKey::Member(name), Some(RecordValue::Member(member)));
    }

    pub(super) fn on_stop_entry(&mut self, index: usize, generation: u32) {
        let entry = &mut self.entries[index];
        if entry.generation != generation || !entry.alive {
            return;
        }
        if entry.leaving {
            self.kill(index);
            return;
        }
        entry.leaving = true;
        entry.engine.share_all_pins();
        self.share_pins(index);
        self.schedule(ENTRY_DRAIN_TIME, Event::StopEntry(index, generation));
    }

    pub(super) fn suspend_checks(&mut self, filter: impl Fn(&Entry) -> bool, time: Duration) {
        let until = self.now + time + RECOVERY_TIME;
        for entry in self.entries.iter_mut().filter(|entry| filter(entry)) {
            entry.checks_suspended_until = entry.checks_suspended_until.max(until);
        }
    }
}
