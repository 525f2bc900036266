//! Entries: packets, timers, questions, starts and stops.

use super::super::entry::Entry;
use super::{
    CLIENT_DELAY, Event, INNER_DELAY, LINGER, NEWS_EVERY, RESTART, STABLE, Simulation, ZONES,
    member_addr, opening,
};
use directory::Member;
use directory::RecordKey;
use directory::RecordValue;
use std::net::SocketAddrV4;
use std::time::Duration;
use steer::Action;
use steer::Packet;
use steer::decision::Hop;

impl Simulation {
    pub(super) fn on_entry(&mut self, place: usize, life: u32, packet: Packet) {
        let now = self.now;
        let entry = &mut self.entries[place];
        if !entry.alive || entry.life != life {
            return;
        }
        if entry.frozen_until > now {
            let wait = entry.frozen_until.since(now) + Duration::from_millis(1);
            self.at(wait, Event::AtEntry(place, life, packet));
            return;
        }
        match entry.engine.on_packet(now, &packet, &[1; 36]) {
            Action::Forward(hop) => self.send_on(place, hop, packet),
            Action::Reset(reset) => self.at(CLIENT_DELAY, Event::ResetAt(reset.flow, None)),
            Action::Hold => {
                entry.held.push(now, packet);
            }
            Action::Drop(_) => {}
        }
        self.schedule_timers(place);
    }

    pub(super) fn send_on(&mut self, place: usize, hop: Hop, packet: Packet) {
        let Some(zone) = self.upstreams.get(&hop.upstream).map(|upstream| upstream.zone) else {
            return;
        };
        if !self.is_cut(self.entries[place].zone, zone) && !self.is_lost() {
            self.at(INNER_DELAY, Event::AtUpstream(hop, packet, place));
        }
    }

    pub(super) fn schedule_timers(&mut self, place: usize) {
        let entry = &mut self.entries[place];
        entry.narrate(self.now);
        entry.tell_silence();
        let (life, asks) = (entry.life, entry.reach.is_probing());
        if let Some(at) = entry.engine.next_timer() {
            self.at(at.since(self.now).max(Duration::from_millis(1)), Event::Timers(place, life));
        }
        if asks {
            self.at(Duration::from_millis(1), Event::Ask(place, life));
        }
    }

    pub(super) fn on_timers(&mut self, place: usize, life: u32) {
        let entry = &mut self.entries[place];
        let due = entry.engine.next_timer().is_some_and(|at| at <= self.now);
        if !entry.alive || entry.life != life || entry.frozen_until > self.now || !due {
            return;
        }
        let mut hedges = Vec::new();
        while let Some(hedge) = entry.engine.on_timer(self.now, false) {
            hedges.push(hedge);
        }
        for hedge in hedges {
            self.send_on(place, hedge.hop, opening(hedge.flow, 0));
        }
        self.schedule_timers(place);
    }

    /// Asks entries of silent zones, whose answers come at once if the zone can be reached.
    pub(super) fn on_ask(&mut self, place: usize, life: u32) {
        let (now, zone) = (self.now, self.entries[place].zone);
        if self.entries[place].life != life || !self.entries[place].alive {
            return;
        }
        let members: Vec<(&str, SocketAddrV4)> = self
            .entries
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != place)
            .map(|(other, entry)| (ZONES[entry.zone], member_addr(other)))
            .collect();
        let pings = self.entries[place].reach.pings(now, &members);
        for ping in pings {
            let other = usize::from(ping.to.port());
            let answers = self.entries[other].alive && self.entries[other].frozen_until <= now;
            if !answers || self.is_cut(zone, self.entries[other].zone) {
                continue;
            }
            let entry = &mut self.entries[place];
            if let Some(zone) = entry.reach.on_pong(now, ping.to, ping.nonce).map(str::to_owned) {
                entry.engine.on_zone_reachable(now, &zone);
                entry.tell_silence();
            }
        }
        if self.entries[place].reach.is_probing() {
            self.at(Duration::from_millis(50), Event::Ask(place, life));
        }
    }

    /// Entries tell each other of failed answers.
    pub(super) fn on_news(&mut self) {
        let now = self.now;
        for place in 0..self.entries.len() {
            let runs = |entry: &Entry| entry.alive && entry.frozen_until <= now;
            if !runs(&self.entries[place]) {
                continue;
            }
            let outcome_updates = self.entries[place].engine.take_updates(now);
            let zone = self.entries[place].zone;
            for other in (0..self.entries.len()).filter(|other| *other != place) {
                let reached = !self.is_cut(zone, self.entries[other].zone);
                if reached && runs(&self.entries[other]) {
                    self.entries[other].engine.on_peer_updates(now, place as u64, &outcome_updates);
                }
            }
        }
        self.at(NEWS_EVERY, Event::News);
    }

    pub(super) fn kill(&mut self, place: usize) {
        self.entries[place].alive = false;
        let wait = RESTART + Duration::from_millis(self.rng.u64(..300));
        self.at(wait, Event::Start(place));
    }

    pub(super) fn on_start(&mut self, place: usize) {
        let Entry { name, zone, life, .. } = &self.entries[place];
        let log = self.entries[place].log();
        self.entries[place] = Entry::start(self.now, &name.clone(), *zone, life + 1, log);
        self.started(place);
    }

    pub(super) fn started(&mut self, place: usize) {
        let entry = &self.entries[place];
        let (name, life) = (entry.name.clone(), entry.life);
        let zone = ZONES[entry.zone].to_owned();
        let member =
            Member { addr: member_addr(place), zone, incarnation: u64::from(life), link_mbps: 0 };
        self.store.put(RecordKey::Member(name), Some(RecordValue::Member(member)));
        self.at(Duration::from_millis(5), Event::Follow(place, life));
    }

    pub(super) fn on_stop(&mut self, place: usize, life: u32) {
        let entry = &mut self.entries[place];
        if entry.life != life || !entry.alive {
            return;
        }
        if entry.leaving {
            self.kill(place);
            return;
        }
        entry.leaving = true;
        self.at(LINGER, Event::Stop(place, life));
    }

    pub(super) fn disturb(&mut self, of: impl Fn(&Entry) -> bool, time: Duration) {
        let until = self.now + time + STABLE;
        for entry in self.entries.iter_mut().filter(|entry| of(entry)) {
            entry.disturbed_until = entry.disturbed_until.max(until);
        }
    }
}
