//! Connections of callers and operators.

use std::{convert::Infallible, sync::Arc, time::Duration};

use base::emit;
use http::Request;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto::Builder,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    task::JoinSet,
    time,
};
use tonic::service::Routes;

use crate::{
    process::{Acceptor, Context},
    request::{dispatch, routes},
};

/// Limit on the duration of the TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between keep-alive pings, and the limit on the answer to one. A
/// connection that stops answering is closed after twice this time.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Limit on the requests in flight on one connection.
const MAX_STREAMS_PER_CONNECTION: u32 = 1024;

/// Delay before the next `accept` after one that failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Accepts connections until `closing` is set, then waits until the requests in
/// flight on the open connections have finished.
pub(crate) async fn serve_callers(
    ctx: Arc<Context>,
    listener: TcpListener,
    acceptor: Acceptor,
    mut closing: watch::Receiver<bool>,
) {
    let routes = routes(&ctx);
    let connection_slots = Arc::new(Semaphore::new(ctx.settings.limits.connections as usize));
    let mut connections = JoinSet::new();
    loop {
        let (accepted, permit) = tokio::select! {
            accepted = async {
                let permit = Arc::clone(&connection_slots).acquire_owned().await;
                (listener.accept().await, permit)
            } => accepted,
            _ = closing.wait_for(|closing| *closing) => break,
        };
        // Ended connections are removed so that the set does not grow.
        while connections.try_join_next().is_some() {}
        match accepted {
            Ok((stream, _)) => {
                let ctx = Arc::clone(&ctx);
                let (acceptor, routes, closing) =
                    (acceptor.clone(), routes.clone(), closing.clone());
                connections.spawn(async move {
                    serve_connection(ctx, stream, acceptor, routes, closing).await;
                    drop(permit);
                });
            }
            Err(error) => {
                emit!(ctx.log, warn, ListenerFailed; "port" => "callers", "reason" => %error);
                time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(
    ctx: Arc<Context>,
    stream: TcpStream,
    acceptor: Acceptor,
    routes: Routes,
    mut closing: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let Ok(Ok(io)) = time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await else {
        return;
    };
    let service = service_fn(move |request: Request<Incoming>| {
        let (ctx, routes) = (Arc::clone(&ctx), routes.clone());
        async move { Ok::<_, Infallible>(dispatch(ctx, routes, request).await) }
    });
    let mut builder = Builder::new(TokioExecutor::new()).http2_only();
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION);
    let connection = builder.serve_connection(TokioIo::new(io), service);
    tokio::pin!(connection);
    let is_closed = tokio::select! {
        _ = connection.as_mut() => true,
        _ = closing.wait_for(|closing| *closing) => false,
    };
    if !is_closed {
        // GOAWAY stops new requests; those in flight finish.
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
