//! General helpers shared by all crates: hashing, time and macros for common derives.
//!
//! Load-balancing logic, I/O and protocols belong in other crates.

pub mod hash;
pub mod time;

/// Declares `Copy` types with the common derives.
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

/// Declares types that own data, with the common derives.
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
