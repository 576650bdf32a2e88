//! The connection to the control service of plans, and the copy of its plans kept for a start without it.
use crate::lines::{Lines, Read};
use crate::list::replace;
use mallowseam_plans::change_log::ChangeLog;
use mallowseam_plans::messages::HostMessage;
use mallowseam_plans::replica::{HostedVolume, PlanReplica, ReplicaAction};
use mallowseam_plans::state::State;
use mallowseam_plans::{MilliUnits, Millis};
use mio::{Registry, Token};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Longest line from the service: a whole state of some ten thousand volumes.
const LINE_MOST: usize = 4 << 20;

pub struct Follow {
    address: SocketAddr,
    kept: Option<PathBuf>,
    registry: Registry,
    token: Token,
    lines: Option<Lines>,
    pub member: PlanReplica,
}

/// What is kept on disk: the state, and the hash of its line.
#[derive(serde::Serialize, serde::Deserialize)]
struct Kept {
    state: State,
    last: String,
}

impl Follow {
    pub fn new(
        host: &str,
        address: SocketAddr,
        kept: Option<PathBuf>,
        volumes: Vec<HostedVolume>,
        registry: Registry,
        token: Token,
        now: Millis,
    ) -> Self {
        let known = kept.as_deref().and_then(read_kept);
        let member = PlanReplica::new(host, volumes, known, now);
        Follow { address, kept, registry, token, lines: None, member }
    }

    pub fn say(&mut self, word: &HostMessage) {
        if let Some(lines) = &mut self.lines {
            lines.say(word);
        }
    }

    /// Connects if that is due, and writes what waits.
    pub fn tend(&mut self, now: Millis, chance: u64) {
        if self.lines.is_none() && self.member.should_connect(now, chance) {
            match Lines::connect(self.address, &self.registry, self.token) {
                Ok(lines) => {
                    self.lines = Some(lines);
                    let hello = self.member.hello();
                    self.say(&hello);
                }
                Err(e) => tracing::debug!(error = %e, "control service"),
            }
        }
        self.flush();
    }

    fn flush(&mut self) {
        if let Some(Err(why)) = self.lines.as_mut().map(Lines::push) {
            self.lose(&why);
        }
    }

    fn lose(&mut self, why: &str) {
        if let Some(lines) = self.lines.take() {
            lines.end(&self.registry);
            tracing::warn!(why, "control service lost; parts of limits fall back to even ones");
        }
    }

    /// Reads what has come. True: there is a state to be taken up.
    pub fn ready(&mut self, scratch: &mut [u8], wanted: &[MilliUnits], now: Millis) -> bool {
        let mut state = false;
        while let Some(lines) = &mut self.lines {
            match lines.read(scratch, LINE_MOST) {
                Read::Blocked => break,
                Read::Over(why) => self.lose(&why),
                Read::Lines(whole) => {
                    for line in whole {
                        // What came on a connection that is given up counts no more.
                        if self.lines.is_none() {
                            break;
                        }
                        let heard = match serde_json::from_slice(&line) {
                            Ok(word) => self.member.receive(word, wanted, now),
                            Err(e) => ReplicaAction::Disconnect(e.into()),
                        };
                        match heard {
                            ReplicaAction::None => {}
                            ReplicaAction::ApplyPending => state = true,
                            ReplicaAction::Send(word) => self.say(&word),
                            ReplicaAction::Disconnect(why) => self.lose(&why.to_string()),
                        }
                    }
                }
            }
        }
        self.flush();
        state
    }

    /// The host acts on the next state: kept on disk first, so that a start without the service does as well.
    pub fn acts_on(&mut self, now: Millis) {
        if let Some(word) = self.member.accept_pending(now) {
            if let Some(path) = &self.kept
                && let Err(e) = write_kept(path, self.member.log())
            {
                tracing::warn!(error = %e, path = %path.display(), "plans are not kept for the next start");
            }
            self.say(&word);
        }
        self.flush();
    }

    pub fn against(&mut self, why: &str) {
        if let Some(word) = self.member.reject_pending(why.to_owned()) {
            tracing::warn!(why, "plans turned down");
            self.say(&word);
        }
        self.flush();
    }
}

fn read_kept(path: &Path) -> Option<ChangeLog> {
    let text = std::fs::read_to_string(path).ok()?;
    match serde_json::from_str::<Kept>(&text) {
        Ok(kept) => Some(ChangeLog::from_snapshot(kept.state, kept.last)),
        Err(e) => {
            tracing::warn!(error = %e, path = %path.display(), "kept plans are not used");
            None
        }
    }
}

fn write_kept(path: &Path, log: &ChangeLog) -> std::io::Result<()> {
    let kept = Kept { state: log.state.clone(), last: log.last_hash().to_owned() };
    replace(path, serde_json::to_string(&kept).map_err(std::io::Error::other)?.as_bytes())
}
