//! Command-line tool for operators: validates, stores and shows service documents.

mod commands;
mod error;

use std::process::ExitCode;

use error::Error;
use settings::{Reader, Setting};

const PLATFORM: Setting = Setting {
    flag: "--platform",
    env: "IBIS_PLATFORM",
    help: "URL of the platform's key-value service",
    default: Some("http://127.0.0.1:2379"),
};

const HELP: &str = "\
Usage: ibisctl COMMAND [SETTINGS]

Commands:
  check FILE     validate a document without storing it
  put FILE       store a document, which all entries then apply
  get SERVICE    print the stored document
  list           list all services

Exit codes: 0 success, 1 failure, 2 wrong usage, 3 invalid document, 4 conflict with another
operator's change, 5 platform's service unavailable or request rejected.
";

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run().await {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("ibisctl: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}

async fn run() -> Result<String, Error> {
    let mut reader = Reader::from_process();
    if reader.wants_help() {
        return Ok(settings::help(HELP, &[PLATFORM]));
    }
    let command = reader.positional().ok_or_else(|| Error::Usage(HELP.to_owned()))?;
    let platform = reader.value(&PLATFORM, String::new());
    let operand = reader.positional();
    reader.finish().map_err(|e| Error::Usage(e.to_string()))?;
    match (command.as_str(), operand) {
        ("check", Some(file)) => commands::check(&file),
        ("put", Some(file)) => commands::put(&kv::Client::new(&platform)?, &file).await,
        ("get", Some(service)) => commands::get(&kv::Client::new(&platform)?, &service).await,
        ("list", None) => commands::list(&kv::Client::new(&platform)?).await,
        _ => Err(Error::Usage(HELP.to_owned())),
    }
}
