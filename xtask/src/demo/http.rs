//! HTTP client for the admin ports of the demo's processes.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

use crate::error::{Error, Result};

/// Timeout of a request, from connecting to the end of the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends a request and returns the response body; a status other than 200 is an error.
pub async fn call(method: &str, addr: SocketAddr, path: &str) -> Result<String> {
    let exchange = time::timeout(REQUEST_TIMEOUT, exchange(method, addr, path));
    let resp = exchange.await.map_err(|_elapsed| {
        Error::Step(format!("{method} {addr}{path}: no response within {REQUEST_TIMEOUT:?}"))
    })??;
    let (head, body) = resp.split_once("\r\n\r\n").unwrap_or((&resp, ""));
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
    let mut resp = Vec::new();
    stream.read_to_end(&mut resp).await?;
    Ok(String::from_utf8_lossy(&resp).into_owned())
}
