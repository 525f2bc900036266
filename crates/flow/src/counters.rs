//! What the engine counts.

macro_rules! counters {
    ($($(#[$doc:meta])* $variant:ident => $name:literal,)+) => {
        stdx::value! {
            /// A reason to count.
            pub enum Counter {
                $($(#[$doc])* $variant,)+
            }
        }

        impl Counter {
            /// All reasons, in order.
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
    /// A flow was given up because its availability zone is out of service.
    GivenUp => "flows_given_up",
    /// A flow whose state was lost was found again.
    Recovered => "flows_recovered",
    /// A flow whose state was lost is held by no upstream.
    RecoveryFailed => "flows_recovery_failed",
    /// A peer knew the upstream of a flow.
    AskAnswered => "recovery_asks_answered",
    /// A held packet was offered to an upstream.
    Probed => "recovery_probes",
    /// A packet was forwarded by the learned table.
    ByLearned => "packets_by_learned",
    /// A packet was forwarded by the home.
    ByHome => "packets_by_home",
    /// A packet was relayed to a home.
    Relayed => "packets_relayed",
    /// An opening was tried at a second upstream.
    OpeningRetried => "openings_retried",
    /// A reply from an upstream that does not hold the flow was swallowed.
    Swallowed => "replies_swallowed",
    /// A flow was evicted from a full table.
    Evicted => "flows_evicted",
    /// Dropped: the destination is no known service.
    NoService => "drop_no_service",
    /// Dropped: the sender is not an upstream of the service.
    ForeignUpstream => "drop_foreign_upstream",
    /// Dropped: no home is known, or views differ and the relay went too far.
    NoHome => "drop_no_home",
    /// Dropped: the flow is unknown and the packet can't be answered.
    UnknownFlow => "drop_unknown_flow",
    /// Dropped: the recovery of the flow is full or out of budget.
    RecoveryBusy => "drop_recovery_busy",
    /// Dropped: the upstream's availability zone is out of service.
    ZoneOut => "drop_zone_out",
    /// Dropped: no upstream has answered the opening and none may be tried.
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
    /// Adds one.
    pub fn increment(&mut self, count: Counter) {
        self.0[count as usize] += 1;
    }

    /// The present value.
    pub fn get(&self, count: Counter) -> u64 {
        self.0[count as usize]
    }

    /// All values.
    pub fn iter(&self) -> impl Iterator<Item = (Counter, u64)> + '_ {
        Counter::ALL.into_iter().map(|count| (count, self.get(count)))
    }
}
