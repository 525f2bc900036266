//! Errors of the commands and their exit codes.

use std::io;

/// An error of a command.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// Invalid command line; contains the help text or the invalid settings.
    #[display("{_0}")]
    Usage(#[error(not(source))] String),
    /// A file can't be read.
    #[display("{file}: {source}")]
    File {
        /// Path of the file.
        file: String,
        /// The I/O error.
        source: io::Error,
    },
    /// The document is not valid.
    #[display("{file}:\n{problems}")]
    Invalid {
        /// Path of the file.
        file: String,
        /// All problems found.
        #[error(source)]
        problems: config::Problems,
    },
    /// No document is stored for the service.
    #[display("no document is stored for service \"{_0}\"")]
    NoService(#[error(not(source))] String),
    /// Another operator changed the document between the read and the write.
    #[display("another operator changed \"{_0}\" at the same time; nothing was written")]
    Conflict(#[error(not(source))] String),
    /// A request to the platform's service failed.
    #[display("{_0}")]
    Platform(kv::Error),
}

impl From<kv::Error> for Error {
    fn from(e: kv::Error) -> Self {
        Self::Platform(e)
    }
}

impl Error {
    /// The exit code, on which scripts may rely.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::File { .. } | Self::NoService(_) => 1,
            Self::Usage(_) => 2,
            Self::Invalid { .. } => 3,
            Self::Conflict(_) => 4,
            Self::Platform(_) => 5,
        }
    }
}
