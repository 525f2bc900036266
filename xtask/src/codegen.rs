//! Generates Rust types from the `.proto` files of the peer protocol and the platform's store; the
//! result is committed.

use std::path::Path;

use crate::error::{Error, Result};
use crate::repo;

/// Generates the types into `src/generated` of each protocol's crate.
pub fn run() -> Result<()> {
    let root = repo::root();
    generate(&root.join("crates/peer-proto"), &["peer.proto"])?;
    generate(&root.join("crates/kv"), &["rpc.proto"])
}

fn generate(package: &Path, files: &[&str]) -> Result<()> {
    let proto = package.join("proto");
    let out = package.join("src/generated");
    let descriptors =
        protox::compile(files, [&proto]).map_err(|e| Error::Codegen(e.to_string()))?;
    tonic_prost_build::configure()
        .bytes(".ibisshift.peer.v1.Relay")
        .out_dir(&out)
        .compile_fds(descriptors)?;
    Ok(())
}
