//! The admin port: metrics, readiness and events.

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
struct Shared {
    metrics: PrometheusHandle,
    ring: SharedRing,
    ready: watch::Receiver<bool>,
}

/// What part of the events is asked for.
#[derive(Debug, serde::Deserialize)]
struct EventsQuery {
    /// First sequence that is wanted.
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
        .route("/metrics", get(show_metrics))
        .route("/ready", get(show_ready))
        .route("/events", get(show_events))
        .with_state(Shared { metrics, ring, ready });
    let listener = TcpListener::bind(listen).await?;
    tokio::spawn(async move { axum::serve(listener, router).await });
    Ok(())
}

async fn show_metrics(State(shared): State<Shared>) -> String {
    shared.metrics.run_upkeep();
    shared.metrics.render()
}

async fn show_ready(State(shared): State<Shared>) -> (StatusCode, &'static str) {
    if *shared.ready.borrow() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

async fn show_events(State(shared): State<Shared>, Query(query): Query<EventsQuery>) -> Json<Page> {
    Json(shared.ring.lock().unwrap_or_else(PoisonError::into_inner).since(query.since))
}
