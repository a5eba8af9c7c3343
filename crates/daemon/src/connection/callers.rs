//! The connections of callers and operators.

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

/// Time for the TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between keep-alive pings, and the time to answer one. A connection
/// that went silent ends after both.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Requests that one connection may have in flight.
const STREAMS_PER_CONNECTION: u32 = 1024;

/// Time between attempts to accept while the system refuses.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts connections until `closing` is set, then finishes what is in flight
/// on those that are open.
pub(crate) async fn serve_callers(
    ctx: Arc<Context>,
    listener: TcpListener,
    acceptor: Acceptor,
    mut closing: watch::Receiver<bool>,
) {
    let routes = routes(&ctx);
    let room = Arc::new(Semaphore::new(ctx.settings.limits.connections as usize));
    let mut connections = JoinSet::new();
    loop {
        let (accepted, permit) = tokio::select! {
            pair = async {
                let permit = Arc::clone(&room).acquire_owned().await;
                (listener.accept().await, permit)
            } => pair,
            _ = closing.wait_for(|closing| *closing) => break,
        };
        // Ended connections are reaped so that the set doesn't grow.
        while connections.try_join_next().is_some() {}
        match accepted {
            Ok((stream, _)) => {
                let ctx = Arc::clone(&ctx);
                let (acceptor, routes, closing) =
                    (acceptor.clone(), routes.clone(), closing.clone());
                connections.spawn(async move {
                    serve(ctx, stream, acceptor, routes, closing).await;
                    drop(permit);
                });
            }
            Err(error) => {
                emit!(ctx.log, warn, ListenerFailed; "port" => "callers", "reason" => %error);
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve(
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
        .keep_alive_interval(KEEP_ALIVE)
        .keep_alive_timeout(KEEP_ALIVE)
        .max_concurrent_streams(STREAMS_PER_CONNECTION);
    let connection = builder.serve_connection(TokioIo::new(io), service);
    tokio::pin!(connection);
    let closed = tokio::select! {
        _ = connection.as_mut() => true,
        _ = closing.wait_for(|closing| *closing) => false,
    };
    if !closed {
        // Callers are told to open no new requests; those in flight finish.
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
