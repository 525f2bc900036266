//! Small helpers that every crate may use and that know nothing of load balancing.
//!
//! This crate is not a place for decisions, I/O or protocols.

pub mod hash;
pub mod time;

/// Declares a small value type with the common derives.
///
/// Adds `Debug`, `Clone`, `Copy`, `PartialEq`, `Eq`, `PartialOrd`, `Ord` and `Hash`.
#[macro_export]
macro_rules! value {
    ($($item:item)+) => {
        $(
            #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
            $item
        )+
    };
}

/// Declares an owned record with the common derives.
///
/// Adds `Debug`, `Clone`, `PartialEq` and `Eq`.
#[macro_export]
macro_rules! record {
    ($($item:item)+) => {
        $(
            #[derive(Debug, Clone, PartialEq, Eq)]
            $item
        )+
    };
}
