//! HTTP server of the admin port: metrics, readiness and events.

use std::io;
use std::net::SocketAddr;
use std::sync::PoisonError;

use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};
use events::Page;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::control::actor::SharedRing;

#[derive(Debug, Clone)]
struct ServerState {
    metrics: PrometheusHandle,
    ring: SharedRing,
    ready: watch::Receiver<bool>,
}

/// Query parameters of `/events`.
#[derive(Debug, serde::Deserialize)]
struct EventsQuery {
    /// Sequence number of the first event to return.
    #[serde(default)]
    since: u64,
}

/// Serves the admin port until the process ends.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve(
    listen: SocketAddr,
    metrics: PrometheusHandle,
    ring: SharedRing,
    ready: watch::Receiver<bool>,
) -> io::Result<()> {
    let router = Router::new()
        .route("/metrics", get(get_metrics))
        .route("/ready", get(get_ready))
        .route("/events", get(get_events))
        .with_state(ServerState { metrics, ring, ready });
    let listener = TcpListener::bind(listen).await?;
    tokio::spawn(async move { axum::serve(listener, router).await });
    Ok(())
}

async fn get_metrics(State(state): State<ServerState>) -> String {
    state.metrics.run_upkeep();
    state.metrics.render()
}

async fn get_ready(State(state): State<ServerState>) -> (StatusCode, &'static str) {
    if *state.ready.borrow() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

async fn get_events(
    State(state): State<ServerState>,
    Query(query): Query<EventsQuery>,
) -> Json<Page> {
    Json(state.ring.lock().unwrap_or_else(PoisonError::into_inner).since(query.since))
}
