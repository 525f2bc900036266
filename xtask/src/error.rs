//! What can go wrong in a task.

use std::io;

/// A task's result.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a task failed.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum Error {
    /// Reading, writing or starting something failed.
    #[display("{_0}")]
    Io(io::Error),
    /// The command line is wrong.
    #[display("{_0}")]
    #[from(skip)]
    Usage(#[error(not(source))] String),
    /// Code generation failed.
    #[display("code generation: {_0}")]
    #[from(skip)]
    Codegen(#[error(not(source))] String),
    /// Keys could not be made.
    #[display("keys: {_0}")]
    #[from(skip)]
    Keys(#[error(not(source))] String),
    /// A step failed; its own output says why.
    #[display("failed: {_0}")]
    #[from(skip)]
    Step(#[error(not(source))] String),
}

impl From<pico_args::Error> for Error {
    fn from(e: pico_args::Error) -> Self {
        Self::Usage(e.to_string())
    }
}
