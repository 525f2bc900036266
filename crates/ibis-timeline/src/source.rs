//! Fetching events from a process's admin port.

use std::net::SocketAddr;
use std::time::Duration;

use events::Page;

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// A process that can't be asked.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("{addr}: {reason}")]
pub struct Unreachable {
    /// Its admin port.
    pub addr: SocketAddr,
    /// Why.
    pub reason: String,
}

/// A process's admin port, and how far its events have been fetched.
#[derive(Debug, Clone)]
pub struct Source {
    addr: SocketAddr,
    next: u64,
}

impl Source {
    /// A source from its first event on.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, next: 0 }
    }

    /// Fetches the events since the last time.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not answer; nothing is skipped then.
    pub fn fetch(&mut self) -> Result<(String, Page), Unreachable> {
        let page = self.get(self.next)?;
        // A process that has started again counts from the beginning.
        let page = if page.next < self.next { self.get(0)? } else { page };
        self.next = page.next;
        Ok((self.addr.to_string(), page))
    }

    fn get(&self, since: u64) -> Result<Page, Unreachable> {
        let url = format!("http://{}/events?since={since}", self.addr);
        let fetch = || -> Result<Page, ureq::Error> {
            let req = ureq::get(url).config().timeout_global(Some(TIMEOUT)).build();
            req.call()?.body_mut().read_json()
        };
        fetch().map_err(|e| Unreachable { addr: self.addr, reason: e.to_string() })
    }
}
