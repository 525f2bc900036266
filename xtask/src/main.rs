//! The project's own tasks: code generation, CI, keys, the demo and measurements.

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
  demo       run everything on loopback and say whether all promises were kept
               --seconds N         time of load (default 20)
               --scale small|today size (default small)
               --event KIND@T      what happens T seconds after the start; may be repeated
                                   (default: a rolling restart of all entries)
  keys       make a test authority and certificates
               --dir DIR           where to (default keys)
               --entries IP,...    addresses of the entries
  measure    measure against the stated targets; exits with an error if a bound does not hold
               [NAME]              survival, balance, zone or slopes (default: all)
  soak       run the programs of the platform under faults, on loopback
               --seeds FIRST..END  which courses to play (default: those of CI)
  codegen    generate the protocol types that are committed
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
        Some("ci") => done(args).and_then(|()| ci::run()),
        // Not listed: what `measure path` runs to count instructions.
        Some("course") => {
            let mut number = || args.free_from_str::<u32>();
            let (upstreams, flows, packets) = (number()?, number()?, number()?);
            measure::path::course(upstreams, flows, packets);
            done(args)
        }
        Some("codegen") => done(args).and_then(|()| codegen::run()),
        Some("demo") => demo(args),
        Some("keys") => make_keys(args),
        Some("soak") => {
            let seeds: Option<String> = args.opt_value_from_str("--seeds")?;
            done(args).and_then(|()| soak::run(seeds.as_deref()))
        }
        Some("measure") => {
            let name: Option<String> = args.opt_free_from_str()?;
            done(args).and_then(|()| measure::run(name.as_deref()))
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
    done(args)?;
    demo::run(options)
}

fn make_keys(mut args: Arguments) -> Result<()> {
    let dir: PathBuf = args.opt_value_from_str("--dir")?.unwrap_or_else(|| "keys".into());
    let entries: String = args.value_from_str("--entries")?;
    done(args)?;
    let entries: std::result::Result<Vec<_>, _> = entries.split(',').map(str::parse).collect();
    let entries = entries.map_err(|e| Error::Usage(format!("--entries: {e}")))?;
    keys::make(&dir, &entries)
}

/// Refuses arguments that nothing has taken.
fn done(args: Arguments) -> Result<()> {
    match args.finish().first() {
        None => Ok(()),
        Some(arg) => Err(Error::Usage(format!("unknown argument {}", arg.display()))),
    }
}
