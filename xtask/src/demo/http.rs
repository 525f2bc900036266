//! Calls to the admin ports of the demo's processes.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

use crate::error::{Error, Result};

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Calls `method path` and returns the body of a successful answer.
pub async fn call(method: &str, addr: SocketAddr, path: &str) -> Result<String> {
    let exchange = time::timeout(TIMEOUT, exchange(method, addr, path));
    let answer =
        exchange.await.map_err(|_late| Error::Step(format!("{addr}{path}: no answer")))??;
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
    if head.split(' ').nth(1) != Some("200") {
        let status = head.lines().next().unwrap_or_default();
        return Err(Error::Step(format!("{method} {addr}{path}: {status}")));
    }
    Ok(body.to_owned())
}

async fn exchange(method: &str, addr: SocketAddr, path: &str) -> Result<String> {
    let mut stream = TcpStream::connect(addr).await?;
    let req = format!("{method} {path} HTTP/1.0\r\nhost: {addr}\r\ncontent-length: 0\r\n\r\n");
    stream.write_all(req.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}
