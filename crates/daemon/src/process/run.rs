//! Start and stop of the process.

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
        keep_list, keep_peers, keep_runners, keep_watch, serve_callers, serve_metrics, serve_peers,
    },
    process::{Acceptor, Context, Dialer, Metrics, Observed, Settings, keep_membership, log, tls},
    version::{reconcile_divisions, reconcile_placers},
};

/// Time between looks at what is still in flight.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Reasons why the daemon can't run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The runtime or a signal can't be set up.
    #[snafu(display("runtime: {source}"))]
    Start {
        /// What the system says.
        source: io::Error,
    },
    /// A port can't be opened.
    #[snafu(display("`{key}` {address}: {source}"))]
    Listen {
        /// Key of the settings.
        key: &'static str,
        /// The address.
        address: String,
        /// What the system says.
        source: io::Error,
    },
    /// TLS can't be set up.
    #[snafu(display("{source}"))]
    Tls {
        /// What is wrong.
        source: tls::Error,
    },
    /// The platform's address is malformed.
    #[snafu(display("`platform.address`: {source}"))]
    Platform {
        /// What is wrong.
        source: platform::Error,
    },
}

/// Runs the daemon until it is told to stop by SIGTERM or SIGINT.
///
/// # Errors
/// Fails if a port can't be opened or TLS can't be set up.
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
    let store = Observed::new(Arc::new(platform.clone()), timer.clone(), metrics.counters.clone());

    let caller_acceptor = Acceptor::for_callers(&settings.callers).context(TlsSnafu)?;
    let peer_acceptor = Acceptor::for_peers(&settings.peers).context(TlsSnafu)?;
    let dialer = Dialer::try_new(&settings.peers).context(TlsSnafu)?;
    let callers = listen("callers.listen", &settings.callers.listen).await?;
    let peers = listen("peers.listen", &settings.peers.listen).await?;
    if !settings.metrics.listen.is_empty() {
        let listener = listen("metrics.listen", &settings.metrics.listen).await?;
        tokio::spawn(serve_metrics(Arc::clone(&metrics), listener));
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
    let membership = tokio::spawn(keep_membership(Arc::clone(&ctx)));
    let placers = tokio::spawn(reconcile_placers(Arc::clone(&ctx)));
    tokio::spawn(keep_watch(Arc::clone(&ctx)));
    tokio::spawn(keep_list(Arc::clone(&ctx)));
    tokio::spawn(reconcile_divisions(Arc::clone(&ctx)));
    tokio::spawn(keep_peers(Arc::clone(&ctx), dialer));
    tokio::spawn(serve_peers(Arc::clone(&ctx), peers, peer_acceptor));
    tokio::spawn(keep_runners(Arc::clone(&ctx)));
    let front = tokio::spawn(serve_callers(
        Arc::clone(&ctx),
        callers,
        caller_acceptor,
        closing.subscribe(),
    ));

    wait_for_signal().await.context(StartSnafu)?;
    emit!(ctx.log, info, Draining);
    ctx.draining.send_replace(true);
    let linger = Duration::from_millis(ctx.settings.limits.linger_ms);
    let shutdown = async {
        // The others take over, and the balancer takes note, while this
        // instance still answers: calls go to peers, and requests to placers
        // follow the division.
        time::sleep(linger).await;
        closing.send_replace(true);
        let _ = front.await;
        while ctx.counters.calls_in_flight.get() > 0 {
            time::sleep(DRAIN_POLL).await;
        }
        ctx.timer.stop();
        let _ = placers.await;
        let _ = membership.await;
    };
    let limit = Duration::from_millis(ctx.settings.limits.shutdown_ms);
    if time::timeout(limit, shutdown).await.is_err() {
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
