//! Classes of requests, and how often they come.

use std::time::Duration;

stdx::value! {
    /// A class of requests. It has a route of its own; all classes share the route's service.
    pub struct RequestClass {
        /// Its urgency; 0 is the most urgent.
        pub priority: u8,
        /// Part of the requests, relative to the other classes.
        pub weight: u32,
        /// Time that an upstream of usual speed takes to run a request.
        pub run_time: Duration,
        /// Target for the response time.
        pub latency_target: Duration,
        /// Time after which a client abandons a request.
        pub deadline: Duration,
    }

}

/// How often a class's requests come.
#[derive(Debug, Clone, Copy)]
pub struct ClassRate {
    usual_per_s: f64,
    /// Factor during a burst, in thousandths.
    pub factor_milli: u32,
}

impl RequestClass {
    /// The class of a simulation with one kind of requests.
    pub const DEFAULT: Self = Self {
        priority: 0,
        weight: 1,
        run_time: Duration::from_millis(15),
        latency_target: Duration::from_millis(100),
        deadline: Duration::from_millis(1_500),
    };
}

impl ClassRate {
    /// The rate of a class that gets its part of `per_s`; `total_weight` is that of all classes.
    pub fn new(class: &RequestClass, per_s: u32, total_weight: u32) -> Self {
        let part = f64::from(class.weight) / f64::from(total_weight);
        Self { usual_per_s: f64::from(per_s) * part, factor_milli: 1_000 }
    }

    /// Requests per second at present.
    pub fn per_s(&self) -> f64 {
        self.usual_per_s * f64::from(self.factor_milli) / 1e3
    }
}
