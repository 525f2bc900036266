//! Development tasks: CI, code generation, keys, the demo, the soak test and measurements.

mod ci;
mod codegen;
mod demo;
mod error;
mod keys;
mod measure;
mod repo;
mod soak;

use std::path::PathBuf;
use std::process::ExitCode;

use demo::Options;
use error::{Error, Result};
use pico_args::Arguments;

const HELP: &str = "\
Usage: cargo xtask TASK

  ci         format, lints, tests and documentation, as CI runs them
  demo       run all programs on loopback under load and check for broken sessions and wrong,
             missing or repeated answers
               --seconds N         duration of the load in seconds (default 20)
               --scale small|today number of processes and sessions (default small)
               --event KIND@T      event to trigger T seconds after the start; may be repeated
                                   (default: a rolling restart of all entries)
  keys       generate a certificate authority for tests and certificates
               --dir DIR           output directory (default keys)
               --entries IP,...    addresses of the entries
  measure    measure against the stated targets; exits with an error if a bound does not hold
               [NAME]              survival, balance, zone, slopes or path (default: all)
  soak       run the platform's programs on loopback with random faults
               --seeds FIRST..END  seeds of the runs (default: those of CI)
               --large             80 entries instead of 4
  codegen    regenerate the committed protocol types
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("xtask: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    match args.subcommand()?.as_deref() {
        Some("ci") => finish(args).and_then(|()| ci::run()),
        // Not in the help: `measure path` runs this under valgrind to count instructions.
        Some("course") => {
            let mut number = || args.free_from_str::<u32>();
            let (upstreams, flows, packets) = (number()?, number()?, number()?);
            measure::path::run_flows(upstreams, flows, packets);
            finish(args)
        }
        Some("codegen") => finish(args).and_then(|()| codegen::run()),
        Some("demo") => demo(args),
        Some("keys") => generate_keys(args),
        Some("soak") => {
            let seeds: Option<String> = args.opt_value_from_str("--seeds")?;
            let is_large = args.contains("--large");
            finish(args).and_then(|()| soak::run(seeds.as_deref(), is_large))
        }
        Some("measure") => {
            let name: Option<String> = args.opt_free_from_str()?;
            finish(args).and_then(|()| measure::run(name.as_deref()))
        }
        Some(other) => Err(Error::Usage(format!("unknown task \"{other}\"\n{HELP}"))),
        None => Err(Error::Usage(HELP.to_owned())),
    }
}

fn demo(mut args: Arguments) -> Result<()> {
    let options = Options {
        seconds: args.opt_value_from_str("--seconds")?.unwrap_or(20),
        scale: args.opt_value_from_str("--scale")?.unwrap_or(demo::Scale::Small),
        events: args.values_from_str("--event")?,
    };
    finish(args)?;
    demo::run(options)
}

fn generate_keys(mut args: Arguments) -> Result<()> {
    let dir: PathBuf = args.opt_value_from_str("--dir")?.unwrap_or_else(|| "keys".into());
    let entries: String = args.value_from_str("--entries")?;
    finish(args)?;
    let entries: std::result::Result<Vec<_>, _> = entries.split(',').map(str::parse).collect();
    let entries = entries.map_err(|e| Error::Usage(format!("--entries: {e}")))?;
    keys::generate(&dir, &entries)
}

/// Returns an error if there are arguments left.
fn finish(args: Arguments) -> Result<()> {
    match args.finish().first() {
        None => Ok(()),
        Some(arg) => Err(Error::Usage(format!("unknown argument {}", arg.display()))),
    }
}
