//! Client of the plan service, and the cached copy of its plans for a start without the service.
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

/// Maximum length of a line from the plan service, in bytes. Enough for a full snapshot of some ten thousand
/// volumes.
const MAX_LINE_BYTES: usize = 4 << 20;

/// Connection to the plan service, and the host's replica of the plans.
pub(crate) struct PlanReplication {
    address: SocketAddr,
    cache_file: Option<PathBuf>,
    registry: Registry,
    token: Token,
    connection: Option<LineConnection>,
    /// The state that the host acts on, and the host's quotas.
    replica: PlanReplica,
}

/// Content of the cache file: the plans, and the hash of the last line of the change log that led to them.
#[derive(serde::Serialize, serde::Deserialize)]
struct CachedPlans {
    state: State,
    last: String,
}

impl PlanReplication {
    /// Creates a replica that starts with the cached plans, if there are any. `volumes`: volumes of this host,
    /// each with the number of hosts that serve it. Connects at the first [`on_timer`](Self::on_timer).
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

    /// Returns the replica: the state that the host acts on, and the host's quotas.
    pub(crate) fn replica(&self) -> &PlanReplica {
        &self.replica
    }

    fn send(&mut self, message: &HostMessage) {
        if let Some(connection) = &mut self.connection {
            connection.send(message);
        }
    }

    /// Connects if that is due, and writes the queued messages. `jitter`: a number below 1000 that spreads the
    /// reconnects of hosts.
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

    /// Handles readiness of the plan service's socket by reading until it would block. `requested`: rate that
    /// clients request from each volume. Returns whether there is a new state to apply.
    pub(crate) fn on_ready(
        &mut self,
        buffer: &mut [u8],
        requested: &[MilliUnits],
        now: Millis,
    ) -> bool {
        let mut has_state = false;
        while let Some(connection) = &mut self.connection {
            match connection.read(buffer, MAX_LINE_BYTES) {
                LineRead::WouldBlock => break,
                LineRead::Closed(reason) => self.disconnect(&reason),
                LineRead::Lines(lines) => {
                    for line in lines {
                        // Lines that were received on a connection that is closed by now are ignored.
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

    /// Records that the host acts on the pending state. The state is cached on disk before the plan service is
    /// told, so that a start without the service acts on it as well.
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

    /// Records that the host cannot act on the pending state, and tells the plan service.
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
