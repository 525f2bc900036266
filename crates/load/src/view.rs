//! The view of one entry: its own observations joined with those of other entries.

use std::marker::PhantomData;
use std::time::Duration;

use indexmap::IndexMap;
use stdx::time::Timestamp;

use crate::delay::Delays;
use crate::news::{Entry, News, Report, Scope};
use crate::own::{self, Upstream, Upstreams};
use crate::sums::Sums;
use crate::topology::{FIRST_ZONE_STEP, MAX_STEPS, Role, Topology};

/// Times of a round in milliseconds, in which each entry sends at most one report to each of its
/// partners. They grow with the size of the reports; the first relay of the ring sets the time for
/// all, and few steps make few changes. Rounds begin at multiples of their time, so that with clocks
/// that agree a round's reports pass on at once.
const ROUND_TIMES_MS: [u64; 8] = [450, 550, 650, 700, 800, 1_000, 1_400, 2_000];

const MIN_ROUND: Duration = Duration::from_millis(ROUND_TIMES_MS[0]);
const MAX_ROUND: Duration = Duration::from_millis(ROUND_TIMES_MS[ROUND_TIMES_MS.len() - 1]);

/// Difference of the begins of rounds from which on an entry takes over that of the entry before it,
/// and how often it does. Smaller ones may be the time under way.
const MIN_SHIFT: Duration = Duration::from_millis(150);
const SHIFT_INTERVAL: Duration = Duration::from_secs(3);

/// How long into a round a relay waits for the reports of its own entries, and for the last window,
/// in percent of the round. For other windows it waits a time in between, so that one that is late
/// does not make the next ones miss their turn.
const LEAF_WAIT_PERCENT: u32 = 16;
const LAST_WAIT_PERCENT: u32 = 80;

/// Time since its receipt for which a part counts fully, and after which it does not count, in
/// percent of a round: one report may be lost.
const PART_FULL_PERCENT: f32 = 90.0;
const PART_LIFETIME_PERCENT: f32 = 130.0;

/// Rounds without sums after which an entry turns to the next relay, in percent.
const RELAY_TIMEOUT_PERCENT: u32 = 250;

/// Time without any load after which nothing is sent.
const ACTIVE_TIME: Duration = Duration::from_secs(2);

/// Age up to which the view is followed fully, and from which on it is not used.
const FULL_WEIGHT_AGE: Duration = Duration::from_millis(1_200);
const MAX_AGE: Duration = Duration::from_millis(2_500);

/// Coverage from which on the view is followed fully, and below which it is not used.
const FULL_WEIGHT_COVERAGE_MILLI: u32 = 300;
const MIN_COVERAGE_MILLI: u32 = 100;

/// Bytes that are sent a second at most, with headers; at once those of a round.
const MAX_BYTES_PER_S: f64 = 4_900.0;

/// Bytes of a report for each upstream that has load; the mean of reports with and without slowness.
const BYTES_PER_10_UPSTREAMS: usize = 25;

/// Part by which the time of rounds is cut at least, in percent. It grows at once.
const MIN_ROUND_CUT_PERCENT: u32 = 20;

/// Bytes of a report besides its loads: headers of IP and UDP, and the other fields.
const REPORT_OVERHEAD_BYTES: usize = 28 + 25;

/// Entries that a relay hears at most: its own, and those whose relay has failed.
const MAX_LEAVES: usize = 8;

stdx::value! {
    /// What an entry observes of an upstream.
    pub struct Observation {
        /// Requests of this entry that wait for an answer there, including openings.
        pub in_flight: u32,
        /// A request's time of service relative to what is usual at its route, in thousandths;
        /// `None` if no request has been answered since the last observation.
        pub slowness_milli: Option<u32>,
    }

    /// Load of an upstream over all entries.
    pub struct Estimate {
        /// Requests in flight over all entries, in thousandths.
        pub in_flight_milli: u32,
        /// Time of service relative to what is usual for its requests, in thousandths; 1000 if
        /// unknown.
        pub slowness_milli: u32,
        /// Mean age of the parts, by the entries that each covers.
        pub age: Duration,
        /// Part of the entries that the estimate covers, in thousandths. Parts that are missing are
        /// already extrapolated.
        pub coverage_milli: u32,
    }

    /// Counters since the start.
    #[derive(Default)]
    pub struct Traffic {
        /// Reports sent.
        pub reports_sent: u64,
        /// Bytes sent, with headers.
        pub bytes_sent: u64,
        /// Reports received.
        pub reports_received: u64,
        /// Bytes received, with headers.
        pub bytes_received: u64,
    }

    /// How well the load of all entries is known.
    pub struct Status {
        /// Mean age of the parts, by the entries that each covers.
        pub age: Duration,
        /// Part of the entries that the view covers, in thousandths.
        pub coverage_milli: u32,
    }
}

impl Estimate {
    /// How far a decision should follow the estimate, in thousandths. Falls to 0 before the
    /// estimate is gone, so that the change to own counts is no jump.
    pub fn weight_milli(&self) -> u32 {
        let left = MAX_AGE.saturating_sub(self.age).as_micros() as u64;
        let span = MAX_AGE.saturating_sub(FULL_WEIGHT_AGE).as_micros() as u64;
        let by_age = (left * 1_000 / span).min(1_000);
        let above = self.coverage_milli.saturating_sub(MIN_COVERAGE_MILLI);
        let span = FULL_WEIGHT_COVERAGE_MILLI - MIN_COVERAGE_MILLI;
        let by_coverage = u64::from((above * 1_000 / span).min(1_000));
        (by_age * by_coverage / 1_000) as u32
    }
}

/// Sums over some entries.
#[derive(Debug, Clone)]
struct Part {
    entries: f32,
    /// When it was observed, on average over the entries.
    observed: Timestamp,
    received: Timestamp,
    sums: Sums,
}

/// The current round.
#[derive(Debug, Clone)]
struct Round {
    time: Duration,
    /// Whether the time was taken over from another entry.
    is_time_given: bool,
    /// How much later than multiples of its time on the clock a round begins, and when that was
    /// last changed.
    shift: Duration,
    shifted_at: Timestamp,
    number: u64,
    began: Timestamp,
    /// Bit set of the steps that were sent; the bit after the last step's is that of the sums for the
    /// own leaves.
    sent_steps: u32,
}

/// The joined view; `K` identifies an upstream.
#[derive(Debug, Clone)]
pub struct LoadView<K> {
    key: PhantomData<K>,
    upstreams: Upstreams,
    topology: Option<Topology>,
    members: Vec<u64>,
    /// The latest own part.
    own: Part,
    /// Latest parts of the entries that report to this one.
    leaves: IndexMap<u64, Part>,
    /// Latest windows of the relays before this one, by step.
    windows: [Option<Part>; MAX_STEPS],
    round: Round,
    /// Index of the relay that this entry reports to, and when it was last heard or chosen.
    relay_index: usize,
    relay_heard: Timestamp,
    /// Entries and age of the view that the upstreams' fleet loads are from.
    fleet: Option<(f32, Timestamp)>,
    /// Upstreams with load in it; falls slowly.
    busy_upstreams: usize,
    last_load: Option<Timestamp>,
    delays: Delays,
    budget_bytes: f64,
    budget_at: Timestamp,
    traffic: Traffic,
}

impl<K: Copy + Into<u64>> LoadView<K> {
    /// A view without observations.
    pub fn new() -> Self {
        Self {
            key: PhantomData,
            upstreams: Upstreams::default(),
            topology: None,
            members: Vec::new(),
            own: Part::nothing(Timestamp::default()),
            leaves: IndexMap::new(),
            windows: [const { None }; MAX_STEPS],
            round: Round::default(),
            relay_index: 0,
            relay_heard: Timestamp::default(),
            fleet: None,
            busy_upstreams: 0,
            last_load: None,
            delays: Delays::default(),
            budget_bytes: 0.0,
            budget_at: Timestamp::default(),
            traffic: Traffic::default(),
        }
    }

    /// Sets the entries that exchange news, with this one (`own`) among them. Nothing is exchanged
    /// while it is not, or while they are few.
    pub fn set_entries(&mut self, now: Timestamp, own: u64, entries: &[Entry]) {
        let topology = Topology::new(own, entries);
        let mut members: Vec<u64> =
            entries.iter().map(|entry| entry.id).filter(|id| *id != own).collect();
        members.sort_unstable();
        if topology == self.topology && members == self.members {
            return;
        }
        self.members = members;
        let members = &self.members;
        self.delays.retain(|sender| members.binary_search(&sender).is_ok());
        self.leaves.retain(|leaf, _| members.binary_search(leaf).is_ok());
        if topology.is_none() {
            self.fleet = None;
        }
        let role = topology.as_ref().map(|topology| &topology.role);
        if role != self.topology.as_ref().map(|topology| &topology.role) {
            self.relay_index = 0;
            self.relay_heard = now;
        }
        self.topology = topology;
    }

    /// Whether news are exchanged.
    pub const fn is_exchanging(&self) -> bool {
        self.topology.is_some()
    }

    /// Forgets the upstreams for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(u64) -> bool) {
        self.upstreams.retain(|id, _| is_known(*id));
    }

    /// Records what this entry observes of an upstream. Allocates only for an upstream that was not
    /// observed before.
    pub fn observe(&mut self, now: Timestamp, key: K, observation: Observation) {
        let id = key.into();
        let upstream = self.upstreams.entry(id).or_insert_with(|| Upstream::new(id, now));
        upstream.observe(now, observation.in_flight, observation.slowness_milli);
    }

    /// Records that a request was answered, with its slowness in thousandths. Requests in flight stay
    /// as they were last observed. Never allocates.
    pub fn observe_answer(&mut self, now: Timestamp, key: K, slowness_milli: u32) {
        if let Some(upstream) = self.upstreams.get_mut(&key.into()) {
            upstream.observe(now, upstream.in_flight, Some(slowness_milli));
        }
    }

    /// The news that are due, for other entries. To be called at least every 50 ms, and after
    /// [`Self::on_news`]; cheap if nothing is due.
    pub fn take_news(&mut self, now: Timestamp) -> Vec<News> {
        let mut news = Vec::new();
        let Some(topology) = self.topology.take() else {
            return news;
        };
        if self.position(now).0 != self.round.number {
            self.set_round_time(&topology);
            self.begin_round(now);
        }
        if self.is_active(now) {
            match &topology.role {
                Role::Leaf(relays) => self.report_to_relay(now, relays, &mut news),
                Role::Relay(index, leaves) => {
                    self.relay(now, &topology, *index, leaves, &mut news);
                }
            }
        }
        self.topology = Some(topology);
        news
    }

    /// Merges the news of the entry `from`.
    pub fn on_news(&mut self, now: Timestamp, from: u64, report: &Report) {
        let Some(topology) = &self.topology else {
            return;
        };
        if self.members.binary_search(&from).is_err() {
            return;
        }
        self.traffic.reports_received += 1;
        self.traffic.bytes_received += report.wire_bytes();
        let delay = self.delays.delay(now, from, report.sent_ms);
        let age = Duration::from_millis(report.age_ms.into()) + delay;
        if age >= MAX_AGE {
            return;
        }
        let part = Part {
            entries: report.entries.min(topology.entries as u32) as f32,
            observed: now - age,
            received: now,
            sums: Sums::unpack(&report.loads),
        };
        if !part.sums.is_empty() {
            self.last_load = Some(now);
        }
        let is_pacemaker = topology.pacemaker() == Some(from);
        match (report.scope, &topology.role) {
            (Scope::Own, Role::Relay(..))
                if self.leaves.len() < MAX_LEAVES || self.leaves.contains_key(&from) =>
            {
                self.leaves.insert(from, part);
            }
            (Scope::Window(level), Role::Relay(..)) => {
                if let Some(window) = self.windows.get_mut(usize::from(level)) {
                    *window = Some(part);
                }
            }
            (Scope::Fleet, Role::Leaf(relays)) => {
                self.relay_heard = now;
                if relays.first() == Some(&from) {
                    self.relay_index = 0;
                }
                self.apply(now, &part);
            }
            // The sender knows other entries than this one, or there are too many.
            _ => {}
        }
        if is_pacemaker {
            let elapsed = Duration::from_millis(report.round_ms.into()) + delay;
            self.align(now, elapsed, Duration::from_millis(report.round_time_ms.into()));
        }
    }

    /// The load of an upstream; `None` if the view is too old or incomplete to decide by.
    pub fn estimate(&self, now: Timestamp, key: K) -> Option<Estimate> {
        let Status { age, coverage_milli } = self.status(now)?;
        let (entries, _) = self.fleet?;
        let total = self.topology.as_ref()?.entries as f32;
        let upstream = self.upstreams.get(&key.into());
        let in_flight = upstream.map_or(0.0, |upstream| upstream.fleet_in_flight);
        let slowness_log2 = upstream.map_or(0.0, |upstream| upstream.slowness_log2(now));
        Some(Estimate {
            in_flight_milli: (in_flight * (total / entries).max(1.0) * 1e3).round() as u32,
            slowness_milli: (slowness_log2.exp2() * 1e3).round() as u32,
            age,
            coverage_milli,
        })
    }

    /// How well the load is known; `None` if it is not known well enough to decide by.
    pub fn status(&self, now: Timestamp) -> Option<Status> {
        let (entries, observed) = self.fleet?;
        let total = self.topology.as_ref()?.entries as f32;
        let age = now.since(observed);
        let coverage_milli = ((entries / total).min(1.0) * 1e3).round() as u32;
        (age < MAX_AGE && coverage_milli >= MIN_COVERAGE_MILLI)
            .then_some(Status { age, coverage_milli })
    }

    /// Counters since the start.
    pub const fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// Whether any entry is known to have load.
    pub fn is_active(&self, now: Timestamp) -> bool {
        self.last_load.is_some_and(|at| now.since(at) < ACTIVE_TIME)
    }

    /// Chooses the time of rounds such that the reports of a relay stay within the bytes per second.
    fn set_round_time(&mut self, topology: &Topology) {
        if topology.pacemaker().is_some() && self.round.is_time_given {
            return;
        }
        if self.fleet.is_none() {
            // All entries begin with the same time.
            self.busy_upstreams = self.upstreams.len();
        }
        let report = REPORT_OVERHEAD_BYTES + self.busy_upstreams * BYTES_PER_10_UPSTREAMS / 10;
        let bytes = report * topology.reports_per_round();
        let needed_ms = bytes as u64 * 1_000 / MAX_BYTES_PER_S as u64;
        let ms = ROUND_TIMES_MS.into_iter().find(|ms| *ms >= needed_ms);
        let round_time = ms.map_or(MAX_ROUND, Duration::from_millis);
        let is_much_less = round_time * 100 <= self.round.time * (100 - MIN_ROUND_CUT_PERCENT);
        if round_time > self.round.time || is_much_less {
            self.round.time = round_time;
        }
    }

    /// The number of the round at `now`, and the time since its begin in microseconds.
    fn position(&self, now: Timestamp) -> (u64, u64) {
        let round_micros = self.round.time.as_micros() as u64;
        let micros = (now - self.round.shift).as_micros();
        (micros / round_micros, micros % round_micros)
    }

    /// Takes over the time of another entry's rounds, and the begin of one, which was `elapsed` ago.
    fn align(&mut self, now: Timestamp, elapsed: Duration, round_time: Duration) {
        self.round.time = round_time.clamp(MIN_ROUND, MAX_ROUND);
        self.round.is_time_given = true;
        let round_micros = self.round.time.as_micros() as u64;
        let (_, own) = self.position(now);
        // By how much the own rounds begin too early.
        let early = (own + round_micros - elapsed.as_micros() as u64 % round_micros) % round_micros;
        let distance = Duration::from_micros(early.min(round_micros - early));
        if distance >= MIN_SHIFT && now.since(self.round.shifted_at) >= SHIFT_INTERVAL {
            let shift = (self.round.shift.as_micros() as u64 + early) % round_micros;
            self.round.shift = Duration::from_micros(shift);
            self.round.shifted_at = now;
        }
    }

    fn relay_timeout(&self) -> Duration {
        self.round.time * RELAY_TIMEOUT_PERCENT / 100
    }

    fn begin_round(&mut self, now: Timestamp) {
        let (number, elapsed_micros) = self.position(now);
        self.round.number = number;
        // Reports of this round may have come before this entry noticed its begin.
        self.round.began = Timestamp(now.as_micros() - elapsed_micros);
        self.round.sent_steps = 0;
        let was_active = self.is_active(now);
        let sums = own::take_sums(&mut self.upstreams, now);
        if !sums.is_empty() {
            self.last_load = Some(now);
        }
        if !was_active {
            // Silence of relays while nothing was to be sent is no failure.
            self.relay_heard = now;
        }
        self.own = Part { entries: 1.0, observed: now, received: now, sums };
        let relay_timeout = self.relay_timeout();
        self.leaves.retain(|_, part| now.since(part.received) < relay_timeout);
    }

    fn report_to_relay(&mut self, now: Timestamp, relays: &[u64], news: &mut Vec<News>) {
        if self.round.sent_steps != 0 || !self.has_budget(now) {
            return;
        }
        if now.since(self.relay_heard) > self.relay_timeout() {
            self.relay_index = (self.relay_index + 1) % relays.len();
            self.relay_heard = now;
        }
        if let Some(relay) = relays.get(self.relay_index) {
            self.round.sent_steps = 1;
            let report = self.own.report(now, Scope::Own, &self.round);
            self.send(*relay, report, news);
        }
    }

    /// Sends the windows that are complete, or whose time has come, and in the end the sums to the
    /// entries that report to this one.
    fn relay(
        &mut self,
        now: Timestamp,
        topology: &Topology,
        index: usize,
        leaves: &[u64],
        news: &mut Vec<News>,
    ) {
        // The last turn is that of the sums for the own leaves.
        let mut turns = [MAX_STEPS; MAX_STEPS + 1];
        turns.iter_mut().zip(topology.steps()).for_each(|(turn, step)| *turn = step);
        let turns = &turns[..=topology.steps().count()];
        let in_round = now.since(self.round.began);
        let is_new = |part: &Part| part.received >= self.round.began;
        let leaves_came = leaves.iter().all(|leaf| self.leaves.get(leaf).is_some_and(is_new));
        let window_came = |turn: usize| self.windows[turns[turn]].as_ref().is_some_and(is_new);
        let wait = |turn: usize| {
            let span = LAST_WAIT_PERCENT - LEAF_WAIT_PERCENT;
            let percent = LEAF_WAIT_PERCENT + span * turn as u32 / turns.len() as u32;
            self.round.time * percent / 100
        };
        let is_due = |turn: usize| {
            let has_come = turn.checked_sub(1).map_or(leaves_came, window_came);
            has_come || in_round >= wait(turn)
        };
        let due = (0..turns.len()).take_while(|turn| is_due(*turn)).count();
        let is_sent = |step: usize, sent: u32| sent & (1 << step) != 0;
        let all_sent = turns[..due].iter().all(|step| is_sent(*step, self.round.sent_steps));
        if all_sent || !self.has_budget(now) {
            return;
        }
        let mut own = self.own.clone();
        for part in self.leaves.values() {
            own.add(part, part.weight(now, self.round.time));
        }
        let mut others = Part::nothing(now);
        for step in turns.iter().take(due).copied() {
            if step == FIRST_ZONE_STEP {
                own.add(&others, 1.0);
                others = Part::nothing(now);
            }
            if !is_sent(step, self.round.sent_steps) {
                if !self.has_budget(now) {
                    return;
                }
                self.round.sent_steps |= 1 << step;
                let mut window = others.clone();
                if step == MAX_STEPS {
                    window.add(&own, 1.0);
                    self.apply(now, &window);
                    self.send_sums(now, leaves, &window, news);
                    return;
                }
                let (recipients, without_own) = topology.step(index, step);
                if !without_own {
                    window.add(&own, 1.0);
                }
                let report = window.report(now, Scope::Window(step as u8), &self.round);
                for to in recipients {
                    self.send(to, report.clone(), news);
                }
            }
            if let Some(part) = self.windows.get(step).and_then(Option::as_ref) {
                others.add(part, part.weight(now, self.round.time));
            }
        }
    }

    /// Sends the sums to the entries that report to this one, or should.
    fn send_sums(&mut self, now: Timestamp, leaves: &[u64], sums: &Part, news: &mut Vec<News>) {
        let others = self.leaves.keys().filter(|leaf| !leaves.contains(leaf));
        let recipients: Vec<u64> = leaves.iter().chain(others).copied().collect();
        let report = sums.report(now, Scope::Fleet, &self.round);
        for leaf in recipients {
            self.send(leaf, report.clone(), news);
        }
    }

    fn apply(&mut self, now: Timestamp, sums: &Part) {
        self.fleet = Some((sums.entries, sums.observed));
        self.busy_upstreams = sums.sums.len().max(self.busy_upstreams * 15 / 16);
        for upstream in self.upstreams.values_mut() {
            upstream.apply(now, &sums.sums);
        }
    }

    /// Whether bytes may be sent. What is due waits otherwise; a report may exceed what is left.
    fn has_budget(&mut self, now: Timestamp) -> bool {
        let earned = now.since(self.budget_at).as_secs_f64() * MAX_BYTES_PER_S;
        let burst = self.round.time.as_secs_f64() * MAX_BYTES_PER_S;
        self.budget_bytes = (self.budget_bytes + earned).min(burst);
        self.budget_at = now;
        self.budget_bytes > 0.0
    }

    fn send(&mut self, to: u64, report: Report, news: &mut Vec<News>) {
        self.budget_bytes -= report.wire_bytes() as f64;
        self.traffic.reports_sent += 1;
        self.traffic.bytes_sent += report.wire_bytes();
        news.push(News { to, report });
    }
}

impl Default for Round {
    fn default() -> Self {
        Self {
            time: MIN_ROUND,
            is_time_given: false,
            shift: Duration::ZERO,
            shifted_at: Timestamp::default(),
            number: 0,
            began: Timestamp::default(),
            sent_steps: 0,
        }
    }
}

impl Part {
    fn nothing(now: Timestamp) -> Self {
        Self { entries: 0.0, observed: now, received: now, sums: Sums::default() }
    }

    /// How far the part counts: less and less if the next one fails to come.
    fn weight(&self, now: Timestamp, round_time: Duration) -> f32 {
        let percent = now.since(self.received).as_secs_f32() / round_time.as_secs_f32() * 100.0;
        let left = PART_LIFETIME_PERCENT - percent;
        (left / (PART_LIFETIME_PERCENT - PART_FULL_PERCENT)).clamp(0.0, 1.0)
    }

    fn report(&self, now: Timestamp, scope: Scope, round: &Round) -> Report {
        Report {
            scope,
            entries: self.entries.round() as u32,
            age_ms: now.since(self.observed).as_millis() as u32,
            sent_ms: (now.as_micros() / 1_000) as u32,
            round_ms: now.since(round.began).as_millis() as u32,
            round_time_ms: round.time.as_millis() as u32,
            // Slowness changes slowly: every other round will do.
            loads: self.sums.pack(round.number.is_multiple_of(2)),
        }
    }

    fn add(&mut self, other: &Self, factor: f32) {
        if factor <= 0.0 || other.entries <= 0.0 {
            return;
        }
        self.sums.add(&other.sums, factor);
        let entries = other.entries * factor;
        self.entries += entries;
        let part = f64::from(entries / self.entries);
        let (own, others) = (self.observed.as_micros() as f64, other.observed.as_micros() as f64);
        self.observed = Timestamp((own + (others - own) * part) as u64);
    }
}

impl Report {
    /// Bytes on the wire, with headers.
    pub const fn wire_bytes(&self) -> u64 {
        (REPORT_OVERHEAD_BYTES + self.loads.len()) as u64
    }
}

impl<K: Copy + Into<u64>> Default for LoadView<K> {
    fn default() -> Self {
        Self::new()
    }
}
