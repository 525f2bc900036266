//! Decides whether this entry should receive clients' packets while zones do not answer.
//!
//! Unanswered openings don't show whether a zone is cut off from this entry or its upstreams are
//! down for all entries. Entries in that zone are therefore pinged. Only if they don't answer
//! either is another entry likely to serve better than this one.

use std::net::SocketAddrV4;
use std::time::Duration;

use indexmap::IndexMap;
use stdx::time::Timestamp;

/// Interval between pings to an unreachable zone.
const PING_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a ping. Zones are a few milliseconds apart, but an entry with a small share of a
/// core may be scheduled late.
const PING_TIMEOUT: Duration = Duration::from_millis(150);

/// Number of entries pinged per zone and interval. Each interval takes the next ones, as some may be
/// down while their zone can be reached.
const PINGS_PER_ZONE: usize = 4;

/// First backoff after which an entry without peers to ping accepts clients again; doubles each
/// time.
const BASE_UNPROBED_BACKOFF: Duration = Duration::from_secs(2);

/// Maximum number of doublings of that backoff.
const MAX_UNPROBED_BACKOFF_DOUBLINGS: u32 = 2;

stdx::value! {
    /// A ping to another entry.
    pub struct Ping {
        /// Address of the entry.
        pub to: SocketAddrV4,
        /// Number that the pong repeats.
        pub nonce: u64,
    }
}

/// Pings entries in the zones that this entry's openings found unreachable.
#[derive(Debug, Clone, Default)]
pub struct Reachability {
    zones: IndexMap<String, ZoneProbes>,
    unusable_since: Option<Timestamp>,
    next_nonce: u64,
    unprobed_retries: u32,
}

#[derive(Debug, Clone, Default)]
struct ZoneProbes {
    pending: IndexMap<u64, (SocketAddrV4, Timestamp)>,
    /// Time of the first ping; `None` if the zone has no entry to ping.
    first_ping: Option<Timestamp>,
    last_ping: Option<Timestamp>,
    last_pong: Option<Timestamp>,
    /// Number of entries pinged so far.
    pinged: usize,
}

impl Reachability {
    /// Sets the zones whose upstreams do not answer openings, and the time since which some service
    /// has no upstream that answers, if there is such a service.
    pub fn set_unreachable_zones(&mut self, zones: &[&str], unusable_since: Option<Timestamp>) {
        self.zones.retain(|zone, _| zones.contains(&zone.as_str()));
        for zone in zones {
            self.zones.entry((*zone).to_owned()).or_default();
        }
        if unusable_since.is_none() {
            self.unprobed_retries = 0;
        }
        self.unusable_since = unusable_since;
    }

    /// Returns the pings due now; `members` are the other entries with their zones.
    pub fn pings(&mut self, now: Timestamp, members: &[(&str, SocketAddrV4)]) -> Vec<Ping> {
        let mut pings = Vec::new();
        for (zone, probes) in &mut self.zones {
            if probes.last_ping.is_some_and(|last| now.since(last) < PING_INTERVAL) {
                continue;
            }
            probes.pending.retain(|_, (_, at)| now.since(*at) < PING_INTERVAL * 4);
            let in_zone: Vec<SocketAddrV4> =
                members.iter().filter(|(of, _)| of == zone).map(|(_, to)| *to).collect();
            if in_zone.is_empty() {
                // Entries that are gone don't show whether the zone can be reached.
                probes.first_ping = None;
            }
            let next = in_zone.iter().cycle().skip(probes.pinged % in_zone.len().max(1));
            probes.pinged += PINGS_PER_ZONE;
            for &to in next.take(PINGS_PER_ZONE.min(in_zone.len())) {
                self.next_nonce += 1;
                probes.pending.insert(self.next_nonce, (to, now));
                probes.first_ping.get_or_insert(now);
                probes.last_ping = Some(now);
                pings.push(Ping { to, nonce: self.next_nonce });
            }
        }
        pings
    }

    /// Handles a pong. Returns the zone that it proves reachable; `None` if it matches no ping.
    pub fn on_pong(&mut self, now: Timestamp, from: SocketAddrV4, nonce: u64) -> Option<&str> {
        let (zone, probes) = self
            .zones
            .iter_mut()
            .find(|(_, probes)| probes.pending.get(&nonce).is_some_and(|(to, _)| *to == from))?;
        probes.pending.swap_remove(&nonce);
        probes.last_pong = Some(now);
        Some(zone)
    }

    /// Whether there are unreachable zones to ping.
    pub fn is_probing(&self) -> bool {
        !self.zones.is_empty()
    }

    /// Whether this entry should receive clients' packets.
    pub fn should_serve(&mut self, now: Timestamp) -> bool {
        let Some(since) = self.unusable_since else {
            return true;
        };
        let probed: Vec<&ZoneProbes> =
            self.zones.values().filter(|probes| probes.first_ping.is_some()).collect();
        if probed.is_empty() {
            return self.should_serve_unprobed(now, since);
        }
        let answered = probed.iter().any(|probes| probes.last_pong.is_some());
        let timed_out = probed
            .iter()
            .all(|probes| probes.first_ping.is_some_and(|first| now.since(first) >= PING_TIMEOUT));
        answered || !timed_out
    }

    /// The decision without peers to ping: clients' packets are accepted again after a backoff to
    /// test whether upstreams answer.
    fn should_serve_unprobed(&mut self, now: Timestamp, since: Timestamp) -> bool {
        let unusable_for = now.since(since);
        if unusable_for < PING_TIMEOUT {
            return true;
        }
        let backoff = BASE_UNPROBED_BACKOFF
            * 2_u32.pow(self.unprobed_retries.min(MAX_UNPROBED_BACKOFF_DOUBLINGS));
        if unusable_for < PING_TIMEOUT + backoff {
            return false;
        }
        self.unprobed_retries += 1;
        self.unusable_since = Some(now);
        true
    }
}
