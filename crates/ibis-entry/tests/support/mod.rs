//! Settings shared by the tests of this crate.
#![allow(dead_code, reason = "each test file uses only a part")]

use std::ffi::OsString;

use ibis_entry::settings::Settings;
use settings::{Problems, Reader};

/// Valid arguments. Each flag may be given only once: the reader reports a repeated one as unknown.
pub const VALID_ARGS: [&str; 9] = [
    "--name=entry-1",
    "--zone=zone-a",
    "--listen=127.77.0.1:0",
    "--peer-port=7100",
    "--admin=127.77.0.1:0",
    "--fabric=127.77.1.1:5555",
    "--ca=Cargo.toml",
    "--cert=Cargo.toml",
    "--key=Cargo.toml",
];

pub const HASH_KEY: &str = "--hash-key=000102030405060708090a0b0c0d0e0f";

pub fn read<'a>(args: impl IntoIterator<Item = &'a str>) -> Result<Settings, Problems> {
    let args = args.into_iter().map(OsString::from).collect();
    Settings::read(Reader::new(args, |_| None))
}
