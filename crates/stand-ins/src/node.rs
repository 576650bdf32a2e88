//! Stand-in for a storage node: an iSCSI target that stores data, serves at a configured speed, queues and sheds
//! commands, has a slow start after a restart and crashes when it is overloaded meanwhile. Scripts inject its faults.
mod block_store;
mod connections;
mod deferred;
mod faults;
mod queue;
mod server;
mod slow_start;
mod transfer;
mod write_protection;

pub use faults::NodeFault;

use mallowseam_audit::service_model::ServiceModel;
use mallowseam_audit::trace::{Micros, Trace};
use mio::net::TcpListener;
use mio::{Interest, Poll, Token, Waker};
use server::{Server, ServerSetup};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);

/// State of a node's process, as the endpoint list service would learn it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lifecycle {
    /// Whether the process runs.
    pub up: bool,
    /// Number of the process; 0 for the first one, which is past its slow start when the run begins.
    pub incarnation: u64,
    /// When the process started.
    pub started_at: Micros,
}

impl Lifecycle {
    /// Returns whether the node still runs its first process, which has no slow start.
    fn is_first_process(&self) -> bool {
        self.incarnation == 0
    }

    /// Returns the fraction of its full speed that the node has now.
    fn speed_fraction(&self, now: Micros, model: &ServiceModel) -> f64 {
        if self.is_first_process() {
            1.0
        } else {
            model.speed_fraction(now - self.started_at)
        }
    }

    fn start_next_process(&mut self, now: Micros) {
        self.up = true;
        self.incarnation += 1;
        self.started_at = now;
    }
}

/// Stand-in node on a thread of its own, which ends when this value is dropped.
pub struct Node {
    faults: Sender<NodeFault>,
    waker: Arc<Waker>,
    lifecycle: Arc<Mutex<Lifecycle>>,
    thread: Option<JoinHandle<()>>,
}

impl Node {
    /// Starts a node that listens on `address` and has the target name `target`. Its failures and the variation of its
    /// work are drawn from `seed`.
    ///
    /// # Errors
    /// The address cannot be bound, or no thread can be started.
    pub fn start(
        index: u32,
        address: SocketAddr,
        target: &str,
        model: ServiceModel,
        trace: Trace,
        seed: u64,
    ) -> io::Result<Node> {
        let (faults, receiver) = channel();
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
        let lifecycle = Arc::new(Mutex::new(Lifecycle {
            up: true,
            incarnation: 0,
            started_at: 0,
        }));
        let setup = ServerSetup {
            index,
            address,
            target: target.to_owned(),
            listener: listen(address, &poll)?,
            poll,
            model,
            trace,
            seed,
            lifecycle: Arc::clone(&lifecycle),
        };
        // The server holds `Rc`s, so it is created on its own thread.
        let thread = std::thread::Builder::new()
            .name(format!("node{index}"))
            .spawn(move || Server::new(setup).run(&receiver))?;
        Ok(Node {
            faults,
            waker,
            lifecycle,
            thread: Some(thread),
        })
    }

    /// Injects a fault, or ends it.
    pub fn inject(&self, fault: NodeFault) {
        // The send fails if the node has stopped, which needs no more faults.
        let _ = self.faults.send(fault);
        let _ = self.waker.wake();
    }

    /// Returns whether the process of the node runs, and since when.
    pub fn lifecycle(&self) -> Lifecycle {
        *self
            .lifecycle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.inject(NodeFault::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn listen(address: SocketAddr, poll: &Poll) -> io::Result<TcpListener> {
    let mut listener = TcpListener::bind(address)?;
    poll.registry()
        .register(&mut listener, LISTENER, Interest::READABLE)?;
    Ok(listener)
}
