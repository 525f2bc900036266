//! What can go wrong, and the exit code of each.

use std::io;

/// Why a command failed.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The command line is wrong.
    #[display("{_0}")]
    Usage(#[error(not(source))] String),
    /// A file can't be read.
    #[display("{file}: {source}")]
    File {
        /// The file.
        file: String,
        /// Why.
        source: io::Error,
    },
    /// The document is not valid.
    #[display("{file}:\n{problems}")]
    Invalid {
        /// The file.
        file: String,
        /// Everything that is wrong.
        #[error(source)]
        problems: config::Problems,
    },
    /// There is no such service.
    #[display("no service \"{_0}\"")]
    NoService(#[error(not(source))] String),
    /// Another operator changed the document first.
    #[display("another operator changed \"{_0}\" at the same time; nothing was written")]
    Conflict(#[error(not(source))] String),
    /// The platform's service did not do what was asked.
    #[display("{_0}")]
    Platform(kv::Error),
}

impl From<kv::Error> for Error {
    fn from(e: kv::Error) -> Self {
        Self::Platform(e)
    }
}

impl Error {
    /// The exit code that scripts may rely on.
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
