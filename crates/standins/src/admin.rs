//! HTTP admin port through which the demo controls a stand-in.

use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;

/// Binds `listen` and serves `router` in the background until the process ends.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve(listen: SocketAddr, router: Router) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    tokio::spawn(async move { axum::serve(listener, router).await });
    Ok(())
}
