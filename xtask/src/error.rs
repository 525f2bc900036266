//! Errors of tasks.

use std::io;

/// Result of a task.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a task failed.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum Error {
    /// A file, socket or child process failed.
    #[display("{_0}")]
    Io(io::Error),
    /// Invalid command line.
    #[display("{_0}")]
    #[from(skip)]
    Usage(#[error(not(source))] String),
    /// Code generation failed.
    #[display("code generation: {_0}")]
    #[from(skip)]
    Codegen(#[error(not(source))] String),
    /// A key or certificate could not be generated.
    #[display("keys: {_0}")]
    #[from(skip)]
    Keys(#[error(not(source))] String),
    /// A step of a task failed; its output, if any, gives the reason.
    #[display("failed: {_0}")]
    #[from(skip)]
    Step(#[error(not(source))] String),
}

impl From<pico_args::Error> for Error {
    fn from(e: pico_args::Error) -> Self {
        Self::Usage(e.to_string())
    }
}
