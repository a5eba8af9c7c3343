//! Start and stop of a node.

use std::{io, path::Path, sync::Arc, time::Duration};

use base::emit;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    task::JoinHandle,
    time,
};

use crate::{
    configs::watch_configs, context::Context, external::Services, frontend::Frontend,
    leadership::run_elections, link::maintain_link, log, settings::Settings,
};

/// Time between looks at whether the lead is handed over.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time for the balancer to notice that the instance is not ready.
const READINESS_GRACE: Duration = Duration::from_millis(2200);

/// Time that is left before the process would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(1200);

/// Reasons why a node can't run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings can't be read.
    #[snafu(display("settings {path}: {source}"))]
    Read {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The settings are malformed.
    #[snafu(display("settings {path}: {reason}"))]
    Parse {
        /// The file.
        path: String,
        /// What the parser says.
        reason: String,
    },
    /// A port can't be opened, or a signal not be waited for.
    #[snafu(display("{what}: {source}"))]
    Start {
        /// What can't be started.
        what: String,
        /// What the system says.
        source: io::Error,
    },
}

/// Reads the settings from a file of JSON with comments.
///
/// # Errors
/// Fails if the file can't be read or is malformed.
pub fn load_settings(path: &Path) -> Result<Settings, Error> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).context(ReadSnafu { path: shown.clone() })?;
    let parsed = jsonc_parser::parse_to_serde_value(&text, &jsonc_parser::ParseOptions::default());
    let malformed = |reason: String| Error::Parse { path: shown.clone(), reason };
    let value = parsed.map_err(|error| malformed(error.to_string()))?;
    serde_json::from_value(value.unwrap_or_default()).map_err(|error| malformed(error.to_string()))
}

/// A `Running` is a node that runs.
pub struct Handle {
    ctx: Arc<Context>,
    elections: JoinHandle<()>,
    // Writes out what still waits when it is dropped.
    _log_guard: slog_async::AsyncGuard,
}

impl Handle {
    /// Starts a node.
    ///
    /// # Errors
    /// Fails if the port towards other instances can't be opened.
    pub async fn start(settings: Settings, services: Services) -> Result<Self, Error> {
        let (log, guard) = log::logger(&settings.log, &settings.name);
        let what = format!("port {}", settings.links);
        let links = TcpListener::bind(&settings.links).await.context(StartSnafu { what })?;
        let ctx = Context::new(settings, log, services, links);
        emit!(ctx.log, info, Started; "clients" => &ctx.settings.clients,
            "links" => &ctx.settings.links, "region" => &ctx.settings.region);
        tokio::spawn(watch_configs(Arc::clone(&ctx)));
        tokio::spawn(maintain_link(Arc::clone(&ctx)));
        let elections = tokio::spawn(run_elections(Arc::clone(&ctx)));
        Ok(Self { ctx, elections, _log_guard: guard })
    }

    /// Gets what serves the requests of clients.
    pub fn frontend(&self) -> Frontend {
        Frontend::new(Arc::clone(&self.ctx))
    }

    /// Tells whether this instance leads.
    pub fn is_leading(&self) -> bool {
        self.ctx.is_leader()
    }

    /// Hands over the lead if this instance has it, and waits until it has.
    pub async fn stop(&self) {
        self.ctx.stopping.send_replace(true);
        while !self.elections.is_finished() {
            time::sleep(STOP_POLL_INTERVAL).await;
        }
    }

    /// Runs until the process is told to stop, has handed over its work, and
    /// the server of its clients has answered what it holds.
    ///
    /// # Errors
    /// Fails if signals can't be waited for.
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
            // The balancer notices meanwhile.
            futures::join!(self.stop(), time::sleep(READINESS_GRACE));
            self.ctx.closing.send_replace(true);
            // A server that has panicked holds nothing.
            let _ = server.await;
        };
        let is_drained = time::timeout(grace.saturating_sub(KILL_MARGIN), drain).await.is_ok();
        emit!(self.ctx.log, info, Stopped; "drained" => is_drained);
        Ok(())
    }

    /// Reads the settings again. What they say of addresses holds from the next
    /// start on.
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
