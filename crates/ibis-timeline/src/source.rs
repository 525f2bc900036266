//! Fetches events from a process's admin port.

use std::net::SocketAddr;
use std::time::Duration;

use events::Page;

/// Timeout of a request to an admin port.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Events could not be fetched from a process.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("{addr}: {reason}")]
pub struct FetchError {
    /// Address of its admin port.
    pub addr: SocketAddr,
    /// Error of the HTTP request.
    pub reason: String,
}

/// A process's admin port and the sequence number of the next event to fetch.
#[derive(Debug, Clone)]
pub struct Source {
    addr: SocketAddr,
    next: u64,
}

impl Source {
    /// Creates a source that fetches from the first event on.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, next: 0 }
    }

    /// Fetches the events since the last successful fetch.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not answer. The next fetch then starts at the same
    /// event.
    pub fn fetch(&mut self) -> Result<(String, Page), FetchError> {
        let page = self.get(self.next)?;
        // A restarted process numbers its events from 0 again.
        let page = if page.next < self.next { self.get(0)? } else { page };
        self.next = page.next;
        Ok((self.addr.to_string(), page))
    }

    fn get(&self, since: u64) -> Result<Page, FetchError> {
        let url = format!("http://{}/events?since={since}", self.addr);
        let fetch = || -> Result<Page, ureq::Error> {
            let req = ureq::get(url).config().timeout_global(Some(REQUEST_TIMEOUT)).build();
            req.call()?.body_mut().read_json()
        };
        fetch().map_err(|e| FetchError { addr: self.addr, reason: e.to_string() })
    }
}
