//! Clients that are iSCSI initiators. Each writes to regions of its own and reads them back at random times, and
//! behaves incorrectly when a script says so. All clients run on one thread.
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
/// Size of a region, in blocks.
const REGION_BLOCKS: u64 = 8;
/// Time that a client waits for an answer beyond the deadline, in microseconds, to allow for delays by the network and
/// a busy machine.
pub const DEADLINE_GRACE: Micros = 250_000;

/// Parameters of a volume that clients use.
#[derive(Clone, Debug)]
pub struct VolumeTarget {
    /// Logical unit number.
    pub lun: u32,
    /// Number of blocks.
    pub blocks: u64,
    /// Name of the volume's plan.
    pub plan: String,
    /// Time until the deadline of a read, in microseconds.
    pub read_deadline: Micros,
    /// Time until the deadline of a write, in microseconds.
    pub write_deadline: Micros,
}

/// Configuration of the load.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Addresses of the hosts, which are assigned to clients round-robin.
    pub hosts: Vec<SocketAddr>,
    /// Target name of the hosts.
    pub target: String,
    /// Volumes, which are assigned to clients round-robin.
    pub volumes: Vec<VolumeTarget>,
    /// Number of clients.
    pub clients: u32,
    /// Commands per second of each client.
    pub command_rate: f64,
    /// Fraction of the commands that are writes.
    pub write_fraction: f64,
    /// Parameters that clients propose at login.
    pub proposal: ProposedParams,
}

/// Change of the clients' behaviour. Clients are identified by their number; for variants with a `bool`, true begins
/// the behaviour and false ends it.
#[derive(Clone, Debug, PartialEq)]
pub enum Behaviour {
    /// A client disconnects with its commands in flight.
    Disconnect(u32),
    /// A client sends part of a write, then nothing.
    Stall(u32, bool),
    /// A client sends many reads and does not receive their answers.
    StopReading(u32, bool),
    /// A client logs in again without closing its old connection.
    LoginAgain(u32),
    /// This many new connections never complete their login.
    HalfLogins(u32),
    /// This many new connections send malformed PDUs.
    Garbage(u32),
    /// Clients of one plan send commands at this multiple of their usual rate.
    Surge(String, f64),
    /// All clients send commands at this multiple of their usual rate.
    Scale(f64),
    /// Clients send no new commands; commands in flight complete.
    Drain,
    /// The thread of the clients ends.
    Stop,
}

/// Clients on a thread of their own, which ends when this value is dropped.
pub struct Load {
    behaviours: Sender<Behaviour>,
    waker: Arc<Waker>,
    thread: Option<JoinHandle<()>>,
}

impl Load {
    /// Starts the clients. The times and regions of their commands are drawn from `seed`.
    ///
    /// # Errors
    /// The poll instance cannot be created, or no thread can be started.
    pub fn start(config: LoadConfig, trace: Trace, seed: u64) -> io::Result<Load> {
        let (behaviours, receiver) = channel();
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
        // Connections hold `Rc`s, so they are created on their own thread.
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
        // The send fails if the clients have stopped, which need no more changes.
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
