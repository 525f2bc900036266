//! Child processes of the demo, killed when it ends.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::Stdio;

use rustix::process::{Pid, Signal};
use tokio::process::{Child, ChildStdout, Command};

use crate::error::{Error, Result};

/// Runs programs of one directory and writes their logs to another.
#[derive(Debug, Clone)]
pub struct ProgramRunner {
    bin_dir: PathBuf,
    log_dir: PathBuf,
}

/// A child process.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl ProgramRunner {
    /// Creates `log_dir`, or empties it if it exists.
    pub fn new(bin_dir: PathBuf, log_dir: PathBuf) -> Result<Self> {
        if log_dir.exists() {
            fs::remove_dir_all(&log_dir)?;
        }
        fs::create_dir_all(&log_dir)?;
        Ok(Self { bin_dir, log_dir })
    }

    /// The directory of logs, keys and documents.
    pub fn dir(&self) -> &Path {
        &self.log_dir
    }

    /// Starts a program; its standard error is appended to `NAME.log`.
    pub fn start(&self, name: &str, program: &str, args: &[String]) -> Result<Process> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_dir.join(format!("{name}.log")))?;
        let child = Command::new(self.bin_dir.join(program))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Process { name: name.to_owned(), child })
    }

    /// Runs a program to completion and returns its standard output.
    pub async fn run(&self, program: &str, args: &[String]) -> Result<String> {
        let output = Command::new(self.bin_dir.join(program)).args(args).output().await?;
        if !output.status.success() {
            let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
            return Err(Error::Step(format!("{program}: {stderr}")));
        }
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }
}

impl Process {
    /// Takes the pipe of the standard output; `None` after the first call.
    pub fn stdout(&mut self) -> Option<ChildStdout> {
        self.child.stdout.take()
    }

    /// Whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends SIGTERM, which asks for a graceful shutdown.
    pub fn terminate(&self) -> Result<()> {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id.cast_signed()));
        let pid = pid.ok_or_else(|| Error::Step(format!("{} has already exited", self.name)))?;
        rustix::process::kill_process(pid, Signal::TERM)
            .map_err(|e| Error::Step(format!("SIGTERM to {}: {e}", self.name)))
    }

    /// Sends SIGKILL and waits for the exit.
    pub async fn kill(&mut self) -> Result<()> {
        Ok(self.child.kill().await?)
    }

    /// Waits for the exit; a status other than success is an error.
    pub async fn wait(&mut self) -> Result<()> {
        let status = self.child.wait().await?;
        if !status.success() {
            return Err(Error::Step(format!("{} exited with {status}", self.name)));
        }
        Ok(())
    }
}
