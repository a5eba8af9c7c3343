//! Start-up and shutdown of a node.

use std::{io, path::Path, sync::Arc, time::Duration};

use base::emit;
use snafu::{ResultExt, Snafu};
use tokio::{
    signal::unix::{SignalKind, signal},
    task::JoinHandle,
    time,
};

use crate::{
    configs::watch_configs, context::Context, external::Services, frontend::Frontend,
    leadership::run_elections, link::maintain_link, listen, log, settings::Settings,
};

/// Interval between checks of clients' time limits.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which shutdown checks whether the leadership has been handed
/// over.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time that the load balancer needs to notice that the instance is not ready.
const READINESS_GRACE: Duration = Duration::from_millis(2200);

/// Part of the grace period that shutdown does not use, so that the process
/// exits before SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(1200);

/// Errors of starting and running a node.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings file cannot be read.
    #[snafu(display("settings {path}: {source}"))]
    Read {
        /// Path of the settings file.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The settings file is malformed.
    #[snafu(display("settings {path}: {reason}"))]
    Parse {
        /// Path of the settings file.
        path: String,
        /// Message of the parser.
        reason: String,
    },
    /// A port cannot be opened, or a signal handler cannot be installed.
    #[snafu(display("{what}: {source}"))]
    Start {
        /// Resource that could not be set up.
        what: String,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Reads the settings from a file of JSON with comments.
///
/// # Errors
/// Fails if the file cannot be read or is malformed.
pub fn load_settings(path: &Path) -> Result<Settings, Error> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).context(ReadSnafu { path: shown.clone() })?;
    let parsed = jsonc_parser::parse_to_serde_value(&text, &jsonc_parser::ParseOptions::default());
    let malformed = |reason: String| Error::Parse { path: shown.clone(), reason };
    let value = parsed.map_err(|error| malformed(error.to_string()))?;
    serde_json::from_value(value.unwrap_or_default()).map_err(|error| malformed(error.to_string()))
}

/// Enforces the time limits of clients until the process ends.
async fn sweep_clients(ctx: Arc<Context>) {
    loop {
        time::sleep(SWEEP_INTERVAL).await;
        ctx.gate.sweep(ctx.budget());
    }
}

/// Handle of a running node.
pub struct Handle {
    ctx: Arc<Context>,
    elections: JoinHandle<()>,
    // Flushes queued log lines when dropped.
    _log_guard: slog_async::AsyncGuard,
}

impl Handle {
    /// Starts a node.
    ///
    /// # Errors
    /// Fails if the port for links from other instances cannot be opened.
    pub async fn start(settings: Settings, services: Services) -> Result<Self, Error> {
        let (log, guard) = log::logger(&settings.log, &settings.name);
        let what = format!("port {}", settings.links);
        let links = listen::bind(&settings.links).await.context(StartSnafu { what })?;
        let ctx = Context::new(settings, log, services, links);
        emit!(ctx.log, info, Started; "clients" => &ctx.settings.clients,
            "links" => &ctx.settings.links, "region" => &ctx.settings.region);
        tokio::spawn(watch_configs(Arc::clone(&ctx)));
        tokio::spawn(maintain_link(Arc::clone(&ctx)));
        tokio::spawn(sweep_clients(Arc::clone(&ctx)));
        let elections = tokio::spawn(run_elections(Arc::clone(&ctx)));
        Ok(Self { ctx, elections, _log_guard: guard })
    }

    /// Returns the handler of client requests.
    pub fn frontend(&self) -> Frontend {
        Frontend::new(Arc::clone(&self.ctx))
    }

    /// Returns whether this instance leads the cell.
    pub fn is_leading(&self) -> bool {
        self.ctx.is_leader()
    }

    /// Hands over the leadership if this instance holds it, and waits until
    /// that is done.
    pub async fn stop(&self) {
        self.ctx.stopping.send_replace(true);
        while !self.elections.is_finished() {
            time::sleep(STOP_POLL_INTERVAL).await;
        }
    }

    /// Runs until the process receives a termination signal, has handed over
    /// its work, and the `server` of client connections has answered all open
    /// requests.
    ///
    /// # Errors
    /// Fails if signal handlers cannot be installed.
    pub async fn run_until_stopped(
        self,
        settings: &Path,
        server: JoinHandle<()>,
    ) -> Result<(), Error> {
        let context = || StartSnafu { what: "signals" };
        let mut terminate = signal(SignalKind::terminate()).with_context(|_| context())?;
        let mut interrupt = signal(SignalKind::interrupt()).with_context(|_| context())?;
        let mut hangup = signal(SignalKind::hangup()).with_context(|_| context())?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => self.reload(settings),
            }
        }
        emit!(self.ctx.log, info, Draining);
        let grace = Duration::from_secs_f64(self.ctx.settings.bounds.grace_s.max(0.0));
        let drain = async {
            // The load balancer takes the instance out of rotation meanwhile.
            futures::join!(self.stop(), time::sleep(READINESS_GRACE));
            self.ctx.closing.send_replace(true);
            // A join error means that the server panicked, so no open requests are
            // left.
            let _ = server.await;
        };
        let is_drained = time::timeout(grace.saturating_sub(KILL_MARGIN), drain).await.is_ok();
        emit!(self.ctx.log, info, Stopped; "drained" => is_drained);
        Ok(())
    }

    /// Reads the settings file again and logs whether the settings changed.
    /// Changed addresses take effect at the next start.
    fn reload(&self, path: &Path) {
        match load_settings(path) {
            Ok(settings) => {
                emit!(self.ctx.log, info, SettingsReloaded;
                    "changed" => settings != self.ctx.settings);
            }
            Err(error) => {
                emit!(self.ctx.log, error, SettingsReloaded; "error" => %error);
            }
        }
    }
}
