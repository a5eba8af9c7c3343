//! Start and shutdown of the process.

use std::{io, sync::Arc, time::Duration};

use base::{Timer, emit};
use platform::grpc::Client;
use snafu::{ResultExt, Snafu};
use target::grpc::Grpc;
use tokio::{
    net::TcpListener,
    runtime::Runtime,
    signal::unix::{SignalKind, signal},
    sync::watch,
    time,
};

use crate::{
    connection::{
        maintain_links, maintain_runners, poll_instances, serve_callers, serve_metrics,
        serve_peers, watch_shared_keys,
    },
    process::{
        Acceptor, Context, Dialer, MeteredStore, Metrics, Settings, log, maintain_membership, tls,
    },
    version::{reconcile_divisions, reconcile_placers},
};

/// Time between checks whether calls are still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Error that keeps the daemon from running.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The runtime or a signal handler cannot be set up.
    #[snafu(display("runtime: {source}"))]
    Start {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A port cannot be opened.
    #[snafu(display("`{key}` {address}: {source}"))]
    Listen {
        /// Key in the settings file.
        key: &'static str,
        /// Address to listen on.
        address: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// TLS cannot be set up.
    #[snafu(display("{source}"))]
    Tls {
        /// Cause of the failure.
        source: tls::Error,
    },
    /// The platform's address is malformed.
    #[snafu(display("`platform.address`: {source}"))]
    Platform {
        /// Cause of the failure.
        source: platform::Error,
    },
}

/// Runs the daemon until SIGTERM or SIGINT and shuts down gracefully.
///
/// # Errors
/// Fails if the runtime, a signal handler, a port, TLS or the client of the
/// platform cannot be set up.
pub fn run(settings: Settings) -> Result<(), Error> {
    let runtime = Runtime::new().context(StartSnafu)?;
    runtime.block_on(run_until_stopped(settings))
}

async fn run_until_stopped(settings: Settings) -> Result<(), Error> {
    let (log, _guard) = log::logger(&settings.log, &settings.name);
    let metrics = Arc::new(Metrics::default());
    let timer = Timer::default();
    let timeout = Duration::from_millis(settings.platform.timeout_ms);
    let platform = Client::try_new(&settings.platform.address, timeout).context(PlatformSnafu)?;
    let store =
        MeteredStore::new(Arc::new(platform.clone()), timer.clone(), metrics.counters.clone());

    let caller_acceptor = Acceptor::for_callers(&settings.callers).context(TlsSnafu)?;
    let peer_acceptor = Acceptor::for_peers(&settings.peers).context(TlsSnafu)?;
    let dialer = Dialer::try_new(&settings.peers).context(TlsSnafu)?;
    let callers = listen("callers.listen", &settings.callers.listen).await?;
    let peers = listen("peers.listen", &settings.peers.listen).await?;
    if !settings.metrics.listen.is_empty() {
        let listener = listen("metrics.listen", &settings.metrics.listen).await?;
        tokio::spawn(serve_metrics(Arc::clone(&metrics), log.clone(), listener));
    }

    let ctx = Arc::new(Context::new(
        settings,
        log,
        metrics.counters.clone(),
        store,
        timer,
        Arc::new(platform),
        Arc::new(Grpc),
    ));
    emit!(ctx.log, info, Started; "callers" => &ctx.settings.callers.listen,
        "peers" => &ctx.settings.peers.listen);
    let closing = watch::Sender::new(false);
    let membership = tokio::spawn(maintain_membership(Arc::clone(&ctx)));
    let placers = tokio::spawn(reconcile_placers(Arc::clone(&ctx)));
    tokio::spawn(watch_shared_keys(Arc::clone(&ctx)));
    tokio::spawn(poll_instances(Arc::clone(&ctx)));
    tokio::spawn(reconcile_divisions(Arc::clone(&ctx)));
    tokio::spawn(maintain_links(Arc::clone(&ctx), dialer));
    tokio::spawn(serve_peers(Arc::clone(&ctx), peers, peer_acceptor));
    tokio::spawn(maintain_runners(Arc::clone(&ctx)));
    let caller_server = tokio::spawn(serve_callers(
        Arc::clone(&ctx),
        callers,
        caller_acceptor,
        closing.subscribe(),
    ));

    wait_for_signal().await.context(StartSnafu)?;
    emit!(ctx.log, info, Draining);
    ctx.draining.send_replace(true);
    let linger_time = Duration::from_millis(ctx.settings.limits.linger_ms);
    let shutdown = async {
        // During the linger time, other instances take over and the load
        // balancer detects the draining, while this instance still answers:
        // calls go to peers, and requests to placers follow the division.
        time::sleep(linger_time).await;
        closing.send_replace(true);
        let _ = caller_server.await;
        while ctx.counters.calls_in_flight.get() > 0 {
            time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        ctx.timer.stop();
        let _ = placers.await;
        let _ = membership.await;
    };
    let shutdown_timeout = Duration::from_millis(ctx.settings.limits.shutdown_ms);
    if time::timeout(shutdown_timeout, shutdown).await.is_err() {
        ctx.timer.stop();
    }
    emit!(ctx.log, info, Stopped);
    Ok(())
}

async fn listen(key: &'static str, address: &str) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.context(ListenSnafu { key, address })
}

async fn wait_for_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
