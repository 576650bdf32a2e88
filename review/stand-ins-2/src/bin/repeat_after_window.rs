//! A fingerprinted write runs, its connection is reset, and the connection of its repeat comes up late. Rule: no repeat
//! of a write that may have run is sent after the bricks have stopped remembering its mark.
use review_stand_ins_2::http::{BlockIo, Client, Discovery, Host, MessageReader, entry, settings};
use review_stand_ins_2::process::{free_address, ip, wait_for};
use review_stand_ins_2::record::{BROKEN, HELD, Record, not_run, trouble};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time for which the bricks remember a mark (`key_ttl_us`).
const WINDOW: Duration = Duration::from_millis(800);
/// Slack of the pages: 50 ms on sockets, and a host that is held up for 150 ms.
const SLACK: Duration = Duration::from_millis(200);
/// Time from the request to the reset of its connection.
const RESET_AFTER: Duration = Duration::from_millis(150);
const WRITES: u64 = 5;

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, len: u32) -> i32;
}

/// Resets a connection.
fn reset(stream: TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: SOL_SOCKET (1), SO_LINGER (13) and a valid structure; the socket is open.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            1,
            13,
            &raw const linger,
            size_of::<Linger>() as u32,
        )
    };
    drop(stream);
}

/// A request that has come whole to the brick.
struct Received {
    id: String,
    at: Instant,
    stream: TcpStream,
}

/// A brick whose listener has room for one waiting connection, so that the brick can leave others waiting.
struct Brick {
    address: SocketAddr,
    listener: TcpListener,
    received: Receiver<Received>,
    sender: std::sync::mpsc::Sender<Received>,
    kept: Mutex<Vec<TcpStream>>,
}

impl Brick {
    fn start() -> Brick {
        let listener = TcpListener::bind((ip(2), 0)).unwrap_or_else(|e| not_run(&e.to_string()));
        // SAFETY: a listening socket; the call only changes its backlog.
        unsafe { listen(listener.as_raw_fd(), 0) };
        listener
            .set_nonblocking(true)
            .unwrap_or_else(|e| not_run(&e.to_string()));
        let (sender, received) = channel();
        let address = listener.local_addr().expect("bound");
        Brick {
            address,
            listener,
            received,
            sender,
            kept: Mutex::default(),
        }
    }

    /// Accepts all connections that wait.
    fn accept(&self) {
        while let Ok((mut stream, _)) = self.listener.accept() {
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            self.kept
                .lock()
                .expect("not poisoned")
                .push(stream.try_clone().expect("a socket can be cloned"));
            let sender = self.sender.clone();
            std::thread::spawn(move || {
                let mut reader = MessageReader::new();
                while let Some(message) = reader.next(&mut stream) {
                    let at = Instant::now();
                    let stream = stream.try_clone().expect("a socket can be cloned");
                    // With the disruption a connection carries one request, so that nothing else keeps it open.
                    if sender
                        .send(Received {
                            id: message.id(),
                            at,
                            stream,
                        })
                        .is_err()
                        || trouble()
                    {
                        return;
                    }
                }
            });
        }
    }

    /// Waits for a request, while connections are accepted.
    fn next(&self, bound: Duration) -> Option<Received> {
        let end = Instant::now() + bound;
        while Instant::now() < end {
            self.accept();
            if let Ok(received) = self.received.recv_timeout(Duration::from_millis(1)) {
                return Some(received);
            }
        }
        None
    }

    /// Leaves further connections waiting: fills the listener's room.
    fn stop_accepting(&self) -> Vec<TcpStream> {
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&self.address, Duration::from_millis(30))
        {
            fillers.push(filler);
        }
        fillers
    }
}

fn answer(to: &mut TcpStream, id: &str) {
    use std::io::Write;
    let text = format!("made for {id}");
    let _ = to.write_all(
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        )
        .as_bytes(),
    );
}

fn main() {
    let record = Arc::new(Record::create());
    let brick = Brick::start();
    let known = entry("s-1", brick.address, 0, "ready");
    let discovery = Discovery::start(3, &known);
    let _ = free_address(1);
    let post = format!(
        r#""aim_us": 400000, "deadline_us": 2000000, "key_scope": "all", "key_ttl_us": {}, "repeat": "deduplicated""#,
        WINDOW.as_micros()
    );
    let host = Host::start(1, discovery.address, &known, &settings(&post, 1_500_000));
    let mut twice = 0;
    let mut ran_at_all = 0;
    for n in 1..=WRITES {
        let id = format!("{n:016x}");
        let request = BlockIo {
            write: true,
            class: "post",
            plan: "standard",
            volume: 0x3b4_d600,
            object: n,
            id: &id,
            timeout_ms: 2_000,
            shard: 0,
            body: "payment",
        };
        let Some(mut client) = Client::connect(host.address) else {
            not_run("the host does not listen")
        };
        record.line(&format!("client  sends {id}"));
        client.send(&request.text());
        let Some(mut first) = brick.next(Duration::from_secs(1)) else {
            let got = client.answer().map(|answer| answer.status());
            record.say(&format!("{id} came to no brick; the client got {got:?}"));
            continue;
        };
        ran_at_all += 1;
        record.line(&format!(
            "brick   runs {} (first time), remembers it for {} ms",
            first.id,
            WINDOW.as_millis()
        ));
        if trouble() {
            std::thread::sleep((first.at + RESET_AFTER).saturating_duration_since(Instant::now()));
            let fillers = brick.stop_accepting();
            record.line("brick   resets the connection; new ones do not come up for now");
            brick.kept.lock().expect("not poisoned").clear();
            reset(first.stream);
            // The late connection comes up with the next try of its system, about 1 s after the first.
            std::thread::sleep(Duration::from_millis(500));
            drop(fillers);
            while let Some(mut again) = brick.next(Duration::from_millis(1_500)) {
                let late = again.at.duration_since(first.at);
                record.line(&format!(
                    "brick   gets {} again, {} ms after the first time",
                    again.id,
                    late.as_millis()
                ));
                if again.id == first.id && late > WINDOW + SLACK {
                    twice += 1;
                    record.say(&format!(
                        "BROKEN: {id} runs a second time, {} ms after the first",
                        late.as_millis()
                    ));
                }
                answer(&mut again.stream, &again.id);
                brick.kept.lock().expect("not poisoned").clear();
            }
        } else {
            answer(&mut first.stream, &first.id);
        }
        let got = client.answer().map(|answer| answer.status());
        record.line(&format!("client  gets for {id}: {got:?}"));
        let rest = Instant::now();
        wait_for("a pause", Duration::from_secs(10), || {
            rest.elapsed() > Duration::from_millis(1_000)
        });
    }
    record.say(&format!(
        "{ran_at_all} of {WRITES} writes came to the brick, {twice} ran twice"
    ));
    drop(host);
    if ran_at_all == 0 {
        not_run("no write came to the brick");
    }
    std::process::exit(if twice > 0 { BROKEN } else { HELD });
}
