//! Prints measured values and checks them against their bounds.

/// The target of a measured value.
#[derive(Debug, Clone, Copy)]
pub enum Bound {
    /// The value must not exceed the limit.
    AtMost(f64),
    /// The value must not be below the limit.
    AtLeast(f64),
    /// No target: a baseline, a cost or a context figure.
    None,
}

/// Collects the names of values that miss their bounds.
#[derive(Debug, Default)]
pub struct Report {
    failed: Vec<String>,
}

impl Report {
    /// Prints a value, and records its name if its bound does not hold.
    pub fn record(&mut self, name: &str, value: f64, unit: &str, bound: Bound) {
        let (condition, holds) = match bound {
            Bound::AtMost(limit) => (format!("bound <= {limit}"), value <= limit),
            Bound::AtLeast(limit) => (format!("bound >= {limit}"), value >= limit),
            Bound::None => {
                println!("measure {name} {value:.4} {unit} bound none");
                return;
            }
        };
        let verdict = if holds { "pass" } else { "fail" };
        println!("measure {name} {value:.4} {unit} {condition} {verdict}");
        if !holds {
            self.failed.push(name.to_owned());
        }
    }

    /// Names of the values whose bound does not hold.
    pub fn failed(&self) -> &[String] {
        &self.failed
    }
}
