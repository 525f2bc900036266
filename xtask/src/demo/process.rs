//! Processes of the demo. They end with it.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::Stdio;

use rustix::process::{Pid, Signal};
use tokio::process::{Child, ChildStdout, Command};

use crate::error::{Error, Result};

/// Where programs are found and logs are written.
#[derive(Debug, Clone)]
pub struct Workshop {
    bin: PathBuf,
    logs: PathBuf,
}

/// A running process.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Workshop {
    /// Programs in `bin`, logs in `logs`; older logs are removed.
    pub fn new(bin: PathBuf, logs: PathBuf) -> Result<Self> {
        if logs.exists() {
            fs::remove_dir_all(&logs)?;
        }
        fs::create_dir_all(&logs)?;
        Ok(Self { bin, logs })
    }

    /// The folder of logs and other files.
    pub fn dir(&self) -> &Path {
        &self.logs
    }

    /// Starts a program. Its log is `NAME.log`.
    pub fn start(&self, name: &str, program: &str, args: &[String]) -> Result<Process> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.logs.join(format!("{name}.log")))?;
        let child = Command::new(self.bin.join(program))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Process { name: name.to_owned(), child })
    }

    /// Runs a program to its end and returns what it printed.
    pub async fn run(&self, program: &str, args: &[String]) -> Result<String> {
        let output = Command::new(self.bin.join(program)).args(args).output().await?;
        if !output.status.success() {
            let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
            return Err(Error::Step(format!("{program}: {stderr}")));
        }
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }
}

impl Process {
    /// What the process prints; can be taken once.
    pub fn stdout(&mut self) -> Option<ChildStdout> {
        self.child.stdout.take()
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Asks for a graceful stop.
    pub fn terminate(&self) -> Result<()> {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id.cast_signed()));
        let pid = pid.ok_or_else(|| Error::Step(format!("{} has ended already", self.name)))?;
        rustix::process::kill_process(pid, Signal::TERM)
            .map_err(|e| Error::Step(format!("{}: {e}", self.name)))
    }

    /// Ends the process without warning.
    pub async fn kill(&mut self) -> Result<()> {
        Ok(self.child.kill().await?)
    }

    /// Waits for the end; an exit code other than 0 is an error.
    pub async fn wait(&mut self) -> Result<()> {
        let status = self.child.wait().await?;
        if !status.success() {
            return Err(Error::Step(format!("{} ended with {status}", self.name)));
        }
        Ok(())
    }
}
