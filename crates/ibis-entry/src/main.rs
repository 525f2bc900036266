//! Reads the settings and runs an entry.

use std::process::ExitCode;

use ::settings::Reader;
use ibis_entry::control;
use ibis_entry::logs;
use ibis_entry::settings::{self, Settings};

fn main() -> ExitCode {
    let mut reader = Reader::from_process();
    if reader.wants_help() {
        print!("{}", settings::help());
        return ExitCode::SUCCESS;
    }
    let cfg = match Settings::read(reader) {
        Ok(cfg) => cfg,
        Err(problems) => {
            eprint!("{problems}");
            return ExitCode::from(settings::EXIT_INVALID_SETTINGS);
        }
    };
    logs::start(cfg.log_format, &cfg.log_filter);
    match control::run(&cfg) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tracing::error!(error = %e, "stopped by an error");
            ExitCode::FAILURE
        }
    }
}
