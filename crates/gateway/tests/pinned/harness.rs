//! Child processes, sockets and transcripts for the tests of this binary. Every wait has a timeout.
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// Maximum time of a single wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two checks of a condition that a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Returns loopback addresses that no other process uses: a block of eight for each caller.
pub fn addresses() -> impl Fn(u8) -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let block = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id() as u8;
    move |index| SocketAddr::from(([127, 253, process, block * 8 + index + 1], 3260))
}

pub fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

pub fn read_fixture(name: &str) -> String {
    let path = fixture(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Asserts that a text is equal to the fixture of this name.
pub fn assert_pinned(name: &str, actual: &str) {
    let expected = read_fixture(name);
    for (index, (line, wanted)) in actual.lines().zip(expected.lines()).enumerate() {
        assert_eq!(line, wanted, "{name}, line {}", index + 1);
    }
    assert_eq!(actual, expected, "{name}");
}

/// Returns the command that runs the program with these arguments in the directory of the fixtures.
pub fn program(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mallowseam"));
    command
        .args(arguments)
        .current_dir(fixture(""))
        .stdin(Stdio::null());
    command
        .env_remove("COLUMNS")
        .env_remove("GW_CONFIG")
        .env_remove("RUST_BACKTRACE");
    command
}

pub fn run(arguments: &[&str]) -> Output {
    program(arguments).output().expect("the program runs")
}

/// Returns standard output, standard error and the exit code of a finished run as text.
pub fn describe(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let code = output
        .status
        .code()
        .expect("the program was not ended by a signal");
    format!(
        "{}{}exit code {code}\n",
        text(&output.stdout),
        text(&output.stderr)
    )
}

/// A running instance of the program; killed when dropped.
pub struct Process(Child);

impl Process {
    pub fn start(arguments: &[&str]) -> Process {
        let mut command = program(arguments);
        command.stdout(Stdio::null()).stderr(Stdio::null());
        Process(command.spawn().expect("the program starts"))
    }

    /// Waits until the process has exited, and returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        let mut code = None;
        wait_for("the exit of the process", || {
            code = self
                .0
                .try_wait()
                .expect("the process is a child")
                .map(|status| status.code());
            code.is_some()
        });
        code.flatten()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(
            began.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for {what}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// A request that was sent to a control socket and has not been answered yet.
pub struct PendingRequest(UnixStream);

impl PendingRequest {
    pub fn send(path: &Path, line: &str) -> std::io::Result<PendingRequest> {
        let mut socket = UnixStream::connect(path)?;
        socket.set_read_timeout(Some(WAIT_TIMEOUT))?;
        socket.write_all(format!("{line}\n").as_bytes())?;
        Ok(PendingRequest(socket))
    }

    /// Returns all bytes that the program sends until it closes the connection.
    pub fn answer(mut self) -> std::io::Result<String> {
        let mut answer = String::new();
        self.0.read_to_string(&mut answer)?;
        Ok(answer)
    }
}

/// Sends a request to the control socket at a path and returns the raw answer.
pub fn control(path: &Path, line: &str) -> String {
    PendingRequest::send(path, line)
        .and_then(PendingRequest::answer)
        .expect("the control socket answers")
}

/// Waits until a control socket answers requests.
pub fn wait_for_control(path: &Path) {
    wait_for("the control socket", || {
        PendingRequest::send(path, "?")
            .and_then(PendingRequest::answer)
            .is_ok()
    });
}

/// One end of a connection over which lines of text are exchanged.
pub struct Peer(BufReader<TcpStream>);

impl Peer {
    pub fn connect(address: SocketAddr) -> Peer {
        Peer::over(TcpStream::connect(address).expect("the connection can be opened"))
    }

    pub fn accept(listener: &TcpListener) -> Peer {
        listener
            .set_nonblocking(true)
            .expect("the socket option can be set");
        let mut accepted = None;
        wait_for("a connection", || match listener.accept() {
            Ok((socket, _)) => {
                accepted = Some(socket);
                true
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => false,
            Err(error) => panic!("accept: {error}"),
        });
        let socket = accepted.expect("a connection was accepted");
        socket
            .set_nonblocking(false)
            .expect("the socket option can be set");
        Peer::over(socket)
    }

    fn over(socket: TcpStream) -> Peer {
        socket
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("the socket option can be set");
        socket
            .set_nodelay(true)
            .expect("the socket option can be set");
        Peer(BufReader::new(socket))
    }

    pub fn send(&mut self, line: &str) {
        self.0
            .get_mut()
            .write_all(format!("{line}\n").as_bytes())
            .expect("the line can be sent");
    }

    /// Receives the next line; returns an empty text if the other end has closed the connection.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.0
            .read_line(&mut line)
            .expect("a line is received before the timeout");
        line.trim_end_matches('\n').to_owned()
    }
}

/// Record of a test's messages, one line each.
#[derive(Default)]
pub struct Transcript(String);

impl Transcript {
    pub fn add(&mut self, label: &str, text: &str) {
        writeln!(self.0, "{label} {text}").expect("writing to memory");
    }

    /// Sends a request to a control socket and records request and answer, with `|` for line ends of the answer.
    pub fn request(&mut self, path: &Path, line: &str) -> String {
        let answer = control(path, line);
        self.add("ask:", line);
        self.add_answer(&answer);
        answer
    }

    pub fn add_answer(&mut self, answer: &str) {
        self.add("answer:", &mask_times(answer).replace('\n', "|"));
    }

    pub fn text(&self) -> &str {
        &self.0
    }
}

/// Replaces each value of a JSON key by `#`, also in JSON that is quoted in a JSON string.
pub fn mask(text: &str, key: &str) -> String {
    mask_after(
        &mask_after(text, &format!("\"{key}\":"), "\""),
        &format!("\\\"{key}\\\":"),
        "\\\"",
    )
}

fn mask_after(text: &str, key: &str, quote: &str) -> String {
    let mut parts = text.split(key);
    let mut out = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let end = match part.strip_prefix(quote) {
            Some(rest) => rest.find(quote).map(|index| index + 2 * quote.len()),
            None => part.find([',', '}', ']']),
        };
        write!(out, "{key}#{}", &part[end.unwrap_or(part.len())..]).expect("writing to memory");
    }
    out
}

/// Masks values that depend on the time of the run: wall-clock times of change log lines and the hashes over them.
pub fn mask_times(text: &str) -> String {
    ["at", "after", "last", "asked", "sent"]
        .iter()
        .fold(text.to_owned(), |text, key| mask(&text, key))
}
