//! An endpoint list service that answers all watches automatically.
use super::scripted_endpoint_service::{HEAD, chunk, line};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval between two heartbeats on a watch.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// State that the service's threads share.
struct WatchState {
    /// Entries of the list, as JSON.
    entries: String,
    version: u64,
    watchers: Vec<TcpStream>,
}

impl WatchState {
    /// Sends a text to all watchers, and drops those that have disconnected.
    fn send(&mut self, text: &str) {
        self.watchers
            .retain_mut(|watcher| watcher.write_all(chunk(text).as_bytes()).is_ok());
    }
}

/// The service, whose threads run until the process exits.
pub struct EndpointService {
    address: SocketAddr,
    state: Arc<Mutex<WatchState>>,
    requests: Arc<AtomicUsize>,
}

impl EndpointService {
    /// Starts a service whose list has these entries and this version.
    pub fn new(entries: &str, version: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the address can be bound");
        let address = listener.local_addr().expect("the socket is bound");
        let state = WatchState {
            entries: entries.to_owned(),
            version,
            watchers: Vec::new(),
        };
        let (state, requests) = (Arc::new(Mutex::new(state)), Arc::new(AtomicUsize::new(0)));
        let (served, counter) = (state.clone(), requests.clone());
        thread::spawn(move || serve(&listener, &served, &counter));
        let watched = Arc::downgrade(&state);
        thread::spawn(move || {
            while let Some(state) = watched.upgrade() {
                state.lock().expect("the mutex is not poisoned").send("\n");
                drop(state);
                thread::sleep(HEARTBEAT_PERIOD);
            }
        });
        EndpointService {
            address,
            state,
            requests,
        }
    }

    /// Returns the address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open watches.
    pub fn watchers(&self) -> usize {
        self.state
            .lock()
            .expect("the mutex is not poisoned")
            .watchers
            .len()
    }

    /// Returns the number of requests answered so far.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    /// Sends a text to all watchers as a chunk.
    pub fn send_raw(&self, text: &str) {
        self.state
            .lock()
            .expect("the mutex is not poisoned")
            .send(text);
    }

    /// Sends changed entries to all watchers as the next version, split into two chunks.
    pub fn publish(&self, entries: &str) {
        let version = {
            let mut state = self.state.lock().expect("the mutex is not poisoned");
            state.version += 1;
            state.entries = String::from(entries);
            state.version
        };
        let line = line(version, false, entries);
        let (first, second) = line.split_at(line.len() / 3);
        self.send_raw(first);
        self.send_raw(second);
    }
}

/// Answers every request with the full list, and keeps its connection as a watch.
fn serve(listener: &TcpListener, state: &Mutex<WatchState>, requests: &AtomicUsize) {
    for mut socket in listener.incoming().flatten() {
        let mut bytes = [0; 1_024];
        if !matches!(socket.read(&mut bytes), Ok(n) if n > 0) {
            continue;
        }
        let mut state = state.lock().expect("the mutex is not poisoned");
        let list = line(state.version, true, &state.entries);
        if socket
            .write_all(format!("{HEAD}{}", chunk(&list)).as_bytes())
            .is_ok()
        {
            state.watchers.push(socket);
        }
        requests.fetch_add(1, Ordering::SeqCst);
    }
}
