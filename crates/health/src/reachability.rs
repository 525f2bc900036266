//! Whether this entry should be given clients' packets while zones are silent.
//!
//! Openings tell that the upstreams of a zone do not answer, but not why: the zone may be cut off
//! from here, or its upstreams may be down for everybody. Entries in that zone are asked. Only if
//! they don't answer either is another entry likely to serve better than this one.

use std::net::SocketAddrV4;
use std::time::Duration;

use indexmap::IndexMap;
use stdx::time::Timestamp;

/// Time between pings to a silent zone.
const PING_EVERY: Duration = Duration::from_millis(200);

/// Time within which an answer is expected: zones are a few milliseconds apart, and an entry with a
/// small share of a core may wait for its turn.
const PING_WAIT: Duration = Duration::from_millis(150);

/// Entries of a zone that are asked at once.
const PINGS_A_ZONE: usize = 2;

/// Time after which an entry with nobody to ask lets clients try it again, at first; it doubles.
const BLIND_HOLD: Duration = Duration::from_secs(2);

/// Doublings of that time at most.
const BLIND_DOUBLINGS: u32 = 2;

stdx::value! {
    /// A question to another entry.
    pub struct Ping {
        /// The entry.
        pub to: SocketAddrV4,
        /// A number that the answer repeats.
        pub nonce: u64,
    }
}

/// What one entry knows of the zones that are silent.
#[derive(Debug, Clone, Default)]
pub struct Reachability {
    zones: IndexMap<String, Silent>,
    unable_since: Option<Timestamp>,
    next_nonce: u64,
    blind: u32,
}

#[derive(Debug, Clone, Default)]
struct Silent {
    asked: IndexMap<u64, (SocketAddrV4, Timestamp)>,
    first_asked: Option<Timestamp>,
    last_asked: Option<Timestamp>,
    answered: Option<Timestamp>,
}

impl Reachability {
    /// Takes what openings tell: the silent zones, and since when some service has no upstream that
    /// answers, if there is such a service.
    pub fn on_silent_zones(&mut self, silent: &[&str], unable_since: Option<Timestamp>) {
        self.zones.retain(|zone, _| silent.contains(&zone.as_str()));
        for zone in silent {
            self.zones.entry((*zone).to_owned()).or_default();
        }
        if unable_since.is_none() {
            self.blind = 0;
        }
        self.unable_since = unable_since;
    }

    /// Who is to be asked now, of `members` with their zones.
    pub fn pings(&mut self, now: Timestamp, members: &[(&str, SocketAddrV4)]) -> Vec<Ping> {
        let mut pings = Vec::new();
        for (zone, silent) in &mut self.zones {
            if silent.last_asked.is_some_and(|last| now.since(last) < PING_EVERY) {
                continue;
            }
            silent.asked.retain(|_, (_, at)| now.since(*at) < PING_EVERY * 4);
            let in_zone = members.iter().filter(|(of, _)| of == zone);
            for &(_, to) in in_zone.take(PINGS_A_ZONE) {
                self.next_nonce += 1;
                silent.asked.insert(self.next_nonce, (to, now));
                silent.first_asked.get_or_insert(now);
                silent.last_asked = Some(now);
                pings.push(Ping { to, nonce: self.next_nonce });
            }
        }
        pings
    }

    /// Takes an answer. Returns the zone that it shows to be reachable; none if nobody had asked.
    pub fn on_pong(&mut self, now: Timestamp, from: SocketAddrV4, nonce: u64) -> Option<&str> {
        let (zone, silent) = self
            .zones
            .iter_mut()
            .find(|(_, silent)| silent.asked.get(&nonce).is_some_and(|(to, _)| *to == from))?;
        silent.asked.swap_remove(&nonce);
        silent.answered = Some(now);
        Some(zone)
    }

    /// Whether there are silent zones to ask about.
    pub fn is_probing(&self) -> bool {
        !self.zones.is_empty()
    }

    /// Whether clients' packets are better off here than elsewhere.
    pub fn should_serve(&mut self, now: Timestamp) -> bool {
        let Some(since) = self.unable_since else {
            return true;
        };
        let asked: Vec<&Silent> =
            self.zones.values().filter(|silent| silent.first_asked.is_some()).collect();
        if asked.is_empty() {
            return self.serves_blind(now, since);
        }
        let answered = asked.iter().any(|silent| silent.answered.is_some());
        let waited = asked
            .iter()
            .all(|silent| silent.first_asked.is_some_and(|first| now.since(first) >= PING_WAIT));
        answered || !waited
    }

    /// With nobody to ask, clients are let in again from time to time to find out.
    fn serves_blind(&mut self, now: Timestamp, since: Timestamp) -> bool {
        let silent_for = now.since(since);
        if silent_for < PING_WAIT {
            return true;
        }
        let hold = BLIND_HOLD * 2_u32.pow(self.blind.min(BLIND_DOUBLINGS));
        if silent_for < PING_WAIT + hold {
            return false;
        }
        self.blind += 1;
        self.unable_since = Some(now);
        true
    }
}
