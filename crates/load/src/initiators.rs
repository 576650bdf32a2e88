//! Load: clients that are iSCSI initiators, write to their own accounts and read them back at random times, and
//! misbehave as a script says. One thread carries all of them.
mod client;
mod generator;

use generator::Generator;
use mallowseam_audit::trace::{Micros, Trace};
use mallowseam_iscsi::params::ProposedParams;
use mio::{Poll, Token, Waker};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;

const WAKER: Token = Token(0);
/// Token of the first client's connection.
const FIRST_CLIENT: usize = 1;
/// Blocks of an account.
const ACCOUNT_BLOCKS: u64 = 8;
/// What a client grants a host beyond the deadline, for the network and a busy machine.
pub const DEADLINE_GRACE: Micros = 250_000;

/// What clients need to know of a volume.
#[derive(Clone, Debug)]
pub struct VolumeTarget {
    /// Logical unit number.
    pub lun: u32,
    /// Number of blocks.
    pub blocks: u64,
    /// Name of its plan.
    pub plan: String,
    /// Deadline of its reads.
    pub read_deadline: Micros,
    /// Deadline of its writes.
    pub write_deadline: Micros,
}

/// What the load is made of.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Addresses of the hosts, to which clients connect in turn.
    pub hosts: Vec<SocketAddr>,
    /// Target name of the hosts.
    pub target: String,
    /// The volumes, which clients use in turn.
    pub volumes: Vec<VolumeTarget>,
    /// Number of clients.
    pub clients: u32,
    /// Commands a second of each client.
    pub command_rate: f64,
    /// Part of the commands that write.
    pub write_fraction: f64,
    /// Parameters that clients propose at login.
    pub proposal: ProposedParams,
}

/// A change of the clients' behaviour. Clients are named by their number.
#[derive(Clone, Debug, PartialEq)]
pub enum Behaviour {
    /// A client disconnects with its commands in flight.
    Disconnect(u32),
    /// A client sends half a write, then nothing; or goes on.
    Stall(u32, bool),
    /// A client requests much and reads nothing; or goes on.
    StopReading(u32, bool),
    /// A client logs in again while its old connection looks alive.
    LoginAgain(u32),
    /// This many connections never finish their login.
    HalfLogins(u32),
    /// This many connections send malformed PDUs.
    Garbage(u32),
    /// Clients of one plan send this multiple of their usual commands.
    Surge(String, f64),
    /// All clients send this multiple of their usual commands.
    Scale(f64),
    /// No new commands; those in flight complete.
    Drain,
    /// The load ends.
    Stop,
}

/// The clients on a thread of their own, which ends when this is dropped.
pub struct Load {
    behaviours: Sender<Behaviour>,
    waker: Arc<Waker>,
    thread: Option<JoinHandle<()>>,
}

impl Load {
    /// Starts the clients. The seed draws their times, accounts and writes.
    ///
    /// # Errors
    /// The operating system's poll cannot be created, or no thread can be started.
    pub fn start(config: LoadConfig, trace: Trace, seed: u64) -> io::Result<Load> {
        let (behaviours, receiver) = channel();
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
        // Connections hold reference counts of one thread, so they are made there.
        let thread = std::thread::Builder::new()
            .name("load".into())
            .spawn(move || Generator::new(config, trace, poll, seed).run(&receiver))?;
        Ok(Load {
            behaviours,
            waker,
            thread: Some(thread),
        })
    }

    /// Changes the clients' behaviour.
    pub fn send(&self, behaviour: Behaviour) {
        // A stopped load takes no more changes.
        let _ = self.behaviours.send(behaviour);
        let _ = self.waker.wake();
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.send(Behaviour::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
