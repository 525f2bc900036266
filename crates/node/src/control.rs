//! The control state: what is believed, what the traffic thread is told, and readiness.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender};
use std::time::Duration;

use directory::{Directory, Record};
use kameo::Actor;
use kameo::message::{Context, Message};
use stdx::time::{Clock, Timestamp};
use tokio::sync::watch;

use crate::narrate::Narrator;
use crate::traffic::{Command, Report};

/// Time between looks at the traffic thread's reports.
pub const TICK: Duration = Duration::from_millis(250);

/// Time without an upstream that answers before this entry says that it can't serve; a few
/// openings may be lost by chance.
const UNABLE_AFTER: Duration = Duration::from_millis(300);

/// Time after which an entry that could not serve lets clients try it again, at first; it doubles
/// each time that they fail.
const UNABLE_HOLD: Duration = Duration::from_secs(2);

/// Doublings of that time at most.
const UNABLE_DOUBLINGS: u32 = 2;

/// Time of serving after which the next failure counts as the first.
const UNABLE_FORGET: Duration = Duration::from_secs(20);

stdx::value! {
    /// Everything was read from the store; the records stand in the message's field.
    pub enum Readiness {
        /// The table is not there yet.
        Starting,
        /// Packets may come.
        Ready,
        /// No upstream that may be used answers.
        Unable,
        /// The process is about to stop.
        Leaving,
    }
}

/// All records that the store holds.
#[derive(Debug)]
pub struct Loaded(pub Vec<Record>);

/// Records that have changed.
#[derive(Debug)]
pub struct Changed(pub Vec<Record>);

/// The store does not answer.
#[derive(Debug, Clone, Copy)]
pub struct StoreLost;

/// This process stood still for a while, and what it knows may be old.
#[derive(Debug, Clone, Copy)]
pub struct StoodStill(pub Duration);

/// Time has passed.
#[derive(Debug, Clone, Copy)]
pub struct Tick;

/// The process is about to stop.
#[derive(Debug, Clone, Copy)]
pub struct Leave;

/// The state of the control thread.
#[derive(Debug, Actor)]
pub struct Control {
    clock: Clock,
    name: String,
    directory: Directory,
    commands: Sender<Command>,
    reports: Receiver<Report>,
    ready: watch::Sender<Readiness>,
    narrator: Narrator,
    leaving: bool,
    unable_since: Option<Timestamp>,
    hold_until: Option<Timestamp>,
    holds: u32,
    last_hold: Timestamp,
}

impl Control {
    /// Control state of an entry that knows nothing yet.
    pub fn new(
        clock: Clock,
        name: &str,
        directory: Directory,
        commands: Sender<Command>,
        reports: Receiver<Report>,
        ready: watch::Sender<Readiness>,
    ) -> Self {
        Self {
            clock,
            name: name.to_owned(),
            directory,
            commands,
            reports,
            ready,
            narrator: Narrator::new(),
            leaving: false,
            unable_since: None,
            hold_until: None,
            holds: 0,
            last_hold: Timestamp::default(),
        }
    }

    fn publish(&mut self, now: Timestamp) {
        let (table, shift) = self.directory.table(now, &self.name);
        self.narrator.on_table(&table, &shift);
        let table = Arc::new(table);
        self.narrator.set_table(Arc::clone(&table));
        if self.commands.send(Command::Table(table)).is_err() {
            tracing::error!("the traffic thread is gone");
        }
        self.show_readiness(now);
    }

    fn on_reports(&mut self, now: Timestamp) {
        while let Ok(report) = self.reports.try_recv() {
            match report {
                Report::Decision(at, event) => self.narrator.on_event(at, &event),
                Report::Counts(counts) => self.narrator.on_counts(&counts),
                Report::Unable(since) => self.unable_since = since,
            }
        }
        self.narrator.on_tick(now);
        self.show_readiness(now);
    }

    fn show_readiness(&mut self, now: Timestamp) {
        let readiness = self.readiness(now);
        let before = *self.ready.borrow();
        if before != readiness {
            tracing::info!(?before, now = ?readiness, "readiness changed");
            self.ready.send_replace(readiness);
        }
    }

    fn readiness(&mut self, now: Timestamp) -> Readiness {
        if self.leaving {
            return Readiness::Leaving;
        }
        if !self.directory.is_synced() {
            return Readiness::Starting;
        }
        if self.hold_until.is_some_and(|until| now < until) {
            return Readiness::Unable;
        }
        self.hold_until = None;
        if self.unable_since.is_none_or(|since| now.since(since) < UNABLE_AFTER) {
            return Readiness::Ready;
        }
        if now.since(self.last_hold) > UNABLE_FORGET {
            self.holds = 0;
        }
        self.hold_until = Some(now + UNABLE_HOLD * 2_u32.pow(self.holds.min(UNABLE_DOUBLINGS)));
        self.holds += 1;
        self.last_hold = now;
        self.unable_since = None;
        Readiness::Unable
    }
}

impl Message<Loaded> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: Loaded, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.directory.load(now, msg.0);
        self.publish(now);
    }
}

impl Message<Changed> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: Changed, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        for record in msg.0 {
            self.directory.apply(now, record);
        }
        self.publish(now);
    }
}

impl Message<StoreLost> for Control {
    type Reply = ();

    async fn handle(&mut self, _: StoreLost, _: &mut Context<Self, ()>) {
        self.directory.store_lost();
    }
}

impl Message<StoodStill> for Control {
    type Reply = ();

    async fn handle(&mut self, msg: StoodStill, _: &mut Context<Self, ()>) {
        tracing::warn!(gap_ms = msg.0.as_millis() as u64, "stood still; reading the store again");
        if self.commands.send(Command::Distrust).is_err() {
            tracing::error!("the traffic thread is gone");
        }
    }
}

impl Message<Tick> for Control {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.on_reports(now);
        if self.directory.next_change().is_some_and(|at| at <= now) {
            self.publish(now);
        }
    }
}

impl Message<Leave> for Control {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, ()>) {
        self.leaving = true;
        self.show_readiness(self.clock.now());
    }
}
