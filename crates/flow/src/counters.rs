//! Event counters of the engine.

macro_rules! counters {
    ($($(#[$doc:meta])* $variant:ident => $name:literal,)+) => {
        stdx::value! {
            /// An event that is counted.
            pub enum Counter {
                $($(#[$doc])* $variant,)+
            }
        }

        impl Counter {
            /// All counters, in order of declaration.
            pub const ALL: [Self; [$($name),+].len()] = [$(Self::$variant),+];

            /// The name used in metrics.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)+
                }
            }
        }
    };
}

counters! {
    /// A flow was opened at an upstream.
    Opened => "flows_opened",
    /// An opening was refused.
    Refused => "flows_refused",
    /// A flow was reset because its upstream is out of service or was removed.
    GivenUp => "flows_given_up",
    /// The upstream of a flow whose state was lost was found.
    Recovered => "flows_recovered",
    /// A flow's state was lost and no upstream has its connection.
    RecoveryFailed => "flows_recovery_failed",
    /// A peer, or the entry's own learned table, knew the upstream of a flow.
    AskAnswered => "recovery_asks_answered",
    /// A queued packet was sent to an upstream as a probe.
    Probed => "recovery_probes",
    /// A packet was forwarded according to the learned table.
    ByLearned => "packets_by_learned",
    /// A packet was forwarded by its flow's home.
    ByHome => "packets_by_home",
    /// A packet was relayed to a home.
    Relayed => "packets_relayed",
    /// An opening was retried at another upstream.
    OpeningRetried => "openings_retried",
    /// A reply was dropped: its sender refused the opening or does not have the flow's connection.
    Swallowed => "replies_swallowed",
    /// A flow or an opening was evicted from a full table.
    Evicted => "flows_evicted",
    /// Dropped: the destination is not a configured service.
    NoService => "drop_no_service",
    /// Dropped: the sender is not an upstream of the service.
    ForeignUpstream => "drop_foreign_upstream",
    /// Dropped: no home is known, or the hop limit is exceeded because membership views differ.
    NoHome => "drop_no_home",
    /// Dropped: the flow is unknown and no reset may be sent in answer to the packet.
    UnknownFlow => "drop_unknown_flow",
    /// Dropped: too many recoveries or queued packets, no probe budget, or no upstream left.
    RecoveryBusy => "drop_recovery_busy",
    /// Dropped: the upstream's availability zone is out of service.
    ZoneOut => "drop_zone_out",
    /// Dropped: no upstream has answered the opening and no retry is allowed.
    OpeningStuck => "drop_opening_stuck",
}

/// The counters of one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counters([u64; Counter::ALL.len()]);

impl Default for Counters {
    fn default() -> Self {
        Self([0; Counter::ALL.len()])
    }
}

impl Counters {
    /// Adds one to a counter.
    pub fn increment(&mut self, counter: Counter) {
        self.0[counter as usize] += 1;
    }

    /// The current value of a counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.0[counter as usize]
    }

    /// All counters with their values.
    pub fn iter(&self) -> impl Iterator<Item = (Counter, u64)> + '_ {
        Counter::ALL.into_iter().map(|counter| (counter, self.get(counter)))
    }
}
