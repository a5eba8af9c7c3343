//! HTTP endpoint of the metrics.

use std::{convert::Infallible, sync::Arc, time::Duration};

use base::emit;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{
    body::{Bytes, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use slog::Logger;
use tokio::{net::TcpListener, time};

use crate::process::Metrics;

/// Pause after a failed `accept`. Without one, a process out of descriptors would
/// spend all its time on attempts.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves `GET /metrics` until the process stops.
pub(crate) async fn serve_metrics(metrics: Arc<Metrics>, log: Logger, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                emit!(log, warn, ListenerFailed; "port" => "metrics", "reason" => %error);
                time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let metrics = Arc::clone(&metrics);
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let response = respond(&metrics, &request);
                async { Ok::<_, Infallible>(response) }
            });
            // A broken connection affects only its reader.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn respond(metrics: &Metrics, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let is_known = request.method() == Method::GET && request.uri().path() == "/metrics";
    let (status, body) = if is_known {
        (StatusCode::OK, metrics.text())
    } else {
        (StatusCode::NOT_FOUND, String::new())
    };
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, CONTENT_TYPE)
        .body(Full::from(body))
        .expect("status and headers are valid")
}
