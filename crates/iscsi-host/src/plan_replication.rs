//! The connection to the plan service, and the cached copy of its plans for a start without it.
use mallowseam_control_protocol::json_lines::{Disconnect, LineConnection, LineRead};
use mallowseam_files::atomic_file;
use mallowseam_plans::change_log::ChangeLog;
use mallowseam_plans::messages::HostMessage;
use mallowseam_plans::replica::{HostedVolume, PlanReplica, ReplicaAction};
use mallowseam_plans::state::State;
use mallowseam_plans::{MilliUnits, Millis};
use mio::{Registry, Token};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Longest line of the service in bytes: a full snapshot of some ten thousand volumes.
const MAX_LINE: usize = 4 << 20;

/// A host's replica of the plans.
pub(crate) struct PlanReplication {
    address: SocketAddr,
    cache_file: Option<PathBuf>,
    registry: Registry,
    token: Token,
    connection: Option<LineConnection>,
    /// Which version the host acts on, and its quotas.
    replica: PlanReplica,
}

/// What is cached on disk: the plans, and the hash of the last line of the change log behind them.
#[derive(serde::Serialize, serde::Deserialize)]
struct CachedPlans {
    state: State,
    last: String,
}

impl PlanReplication {
    /// Starts with the cached plans, if there are any. `volumes`: the host's own, with the number of hosts of
    /// each. Connects at the first `on_timer`.
    pub(crate) fn new(
        host: &str,
        address: SocketAddr,
        cache_file: Option<PathBuf>,
        volumes: Vec<HostedVolume>,
        registry: Registry,
        token: Token,
    ) -> Self {
        let cached = cache_file.as_deref().and_then(read_cache);
        let replica = PlanReplica::new(host, volumes, cached, 0);
        PlanReplication {
            address,
            cache_file,
            registry,
            token,
            connection: None,
            replica,
        }
    }

    /// Which version the host acts on, and its quotas.
    pub(crate) fn replica(&self) -> &PlanReplica {
        &self.replica
    }

    fn send(&mut self, message: &HostMessage) {
        if let Some(connection) = &mut self.connection {
            connection.send(message);
        }
    }

    /// Connects if that is due, and writes what is queued. `jitter`, below 1000, spreads the hosts'
    /// reconnects.
    pub(crate) fn on_timer(&mut self, now: Millis, jitter: u64) {
        if self.connection.is_none() && self.replica.should_connect(now, jitter) {
            match LineConnection::connect(self.address, &self.registry, self.token) {
                Ok(connection) => {
                    self.connection = Some(connection);
                    let hello = self.replica.hello();
                    self.send(&hello);
                }
                Err(e) => tracing::debug!(error = %e, "plan service not reachable"),
            }
        }
        self.flush();
    }

    fn flush(&mut self) {
        if let Some(Err(reason)) = self.connection.as_mut().map(LineConnection::flush) {
            self.disconnect(&reason);
        }
    }

    fn disconnect(&mut self, reason: &Disconnect) {
        if let Some(connection) = self.connection.take() {
            connection.close(&self.registry);
            tracing::warn!(%reason, "plan service connection lost; quotas fall back to even ones");
        }
    }

    /// The plan service's socket is ready: reads until it has no more data. `requested`: units a second that
    /// clients request of each volume. True: a new state is to be applied.
    pub(crate) fn on_ready(
        &mut self,
        buffer: &mut [u8],
        requested: &[MilliUnits],
        now: Millis,
    ) -> bool {
        let mut has_state = false;
        while let Some(connection) = &mut self.connection {
            match connection.read(buffer, MAX_LINE) {
                LineRead::WouldBlock => break,
                LineRead::Closed(reason) => self.disconnect(&reason),
                LineRead::Lines(lines) => {
                    for line in lines {
                        // What came on a connection that is given up counts no more.
                        if self.connection.is_none() {
                            break;
                        }
                        has_state |= self.on_line(&line, requested, now);
                    }
                }
            }
        }
        self.flush();
        has_state
    }

    fn on_line(&mut self, line: &[u8], requested: &[MilliUnits], now: Millis) -> bool {
        match serde_json::from_slice(line) {
            Ok(message) => match self.replica.receive(message, requested, now) {
                ReplicaAction::None => {}
                ReplicaAction::ApplyPending => return true,
                ReplicaAction::Send(message) => self.send(&message),
                ReplicaAction::Disconnect(error) => {
                    self.disconnect(&error.into());
                }
            },
            Err(e) => self.disconnect(&e.into()),
        }
        false
    }

    /// The host acts on the next state. It is cached on disk first, so that a start without the service acts
    /// on it as well.
    pub(crate) fn accept(&mut self, now: Millis) {
        if let Some(message) = self.replica.accept_pending(now) {
            if let Some(path) = &self.cache_file
                && let Err(e) = write_cache(path, self.replica.log())
            {
                tracing::warn!(error = %e, path = %path.display(), "plans not cached");
            }
            self.send(&message);
        }
        self.flush();
    }

    /// The host cannot act on the next state.
    pub(crate) fn reject(&mut self, reason: &str) {
        if let Some(message) = self.replica.reject_pending(reason.to_owned()) {
            tracing::warn!(reason, "plans rejected");
            self.send(&message);
        }
        self.flush();
    }
}

fn read_cache(path: &Path) -> Option<ChangeLog> {
    let text = std::fs::read_to_string(path).ok()?;
    match serde_json::from_str::<CachedPlans>(&text) {
        Ok(cached) => Some(ChangeLog::from_snapshot(cached.state, cached.last)),
        Err(e) => {
            tracing::warn!(error = %e, path = %path.display(), "cached plans not used");
            None
        }
    }
}

fn write_cache(path: &Path, log: &ChangeLog) -> io::Result<()> {
    let cached = CachedPlans {
        state: log.state.clone(),
        last: log.last_hash().to_owned(),
    };
    atomic_file::replace(
        path,
        serde_json::to_string(&cached)
            .map_err(io::Error::other)?
            .as_bytes(),
    )
}
