//! Child processes, sockets and transcripts for the tests of this binary. Every wait has a bound.
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// How long any single wait lasts at most.
const BOUND: Duration = Duration::from_secs(10);
const PAUSE: Duration = Duration::from_millis(5);

/// Addresses on the loopback that no other test binary uses, a block of eight for each caller.
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

/// Compares with the fixture of this name.
pub fn assert_pinned(name: &str, actual: &str) {
    let expected = read_fixture(name);
    for (index, (line, wanted)) in actual.lines().zip(expected.lines()).enumerate() {
        assert_eq!(line, wanted, "{name}, line {}", index + 1);
    }
    assert_eq!(actual, expected, "{name}");
}

/// The program with these arguments, its working directory that of the fixtures.
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

/// Standard output, standard error and the exit code of a finished run as text.
pub fn describe(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let code = output.status.code().expect("it ended by itself");
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

    /// Waits for the end of the process; its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        let mut code = None;
        wait_for("the end of the process", || {
            code = self
                .0
                .try_wait()
                .expect("a child")
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
        assert!(began.elapsed() < BOUND, "waited in vain for {what}");
        std::thread::sleep(PAUSE);
    }
}

/// An open control connection with a line sent.
pub struct Question(UnixStream);

impl Question {
    pub fn ask(path: &Path, line: &str) -> std::io::Result<Question> {
        let mut socket = UnixStream::connect(path)?;
        socket.set_read_timeout(Some(BOUND))?;
        socket.write_all(format!("{line}\n").as_bytes())?;
        Ok(Question(socket))
    }

    /// Everything that the program answers until it closes the connection.
    pub fn answer(mut self) -> std::io::Result<String> {
        let mut answer = String::new();
        self.0.read_to_string(&mut answer)?;
        Ok(answer)
    }
}

/// Asks the control socket at a path and gives the raw answer.
pub fn control(path: &Path, line: &str) -> String {
    Question::ask(path, line)
        .and_then(Question::answer)
        .expect("an answer")
}

/// Waits until something answers at a control socket.
pub fn wait_for_control(path: &Path) {
    wait_for("the control socket", || {
        Question::ask(path, "?").and_then(Question::answer).is_ok()
    });
}

/// One end of a connection that speaks lines of text.
pub struct Peer(BufReader<TcpStream>);

impl Peer {
    pub fn connect(address: SocketAddr) -> Peer {
        Peer::over(TcpStream::connect(address).expect("a connection"))
    }

    pub fn accept(listener: &TcpListener) -> Peer {
        listener.set_nonblocking(true).expect("a listener");
        let mut accepted = None;
        wait_for("a connection", || match listener.accept() {
            Ok((socket, _)) => {
                accepted = Some(socket);
                true
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => false,
            Err(error) => panic!("accept: {error}"),
        });
        let socket = accepted.expect("accepted");
        socket.set_nonblocking(false).expect("a socket");
        Peer::over(socket)
    }

    fn over(socket: TcpStream) -> Peer {
        socket.set_read_timeout(Some(BOUND)).expect("a socket");
        socket.set_nodelay(true).expect("a socket");
        Peer(BufReader::new(socket))
    }

    pub fn send(&mut self, line: &str) {
        self.0
            .get_mut()
            .write_all(format!("{line}\n").as_bytes())
            .expect("sent");
    }

    /// The next line; empty once the other end has closed the connection.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).expect("a line in time");
        line.trim_end_matches('\n').to_owned()
    }
}

/// What went to and fro, a line each.
#[derive(Default)]
pub struct Transcript(String);

impl Transcript {
    pub fn add(&mut self, label: &str, text: &str) {
        writeln!(self.0, "{label} {text}").expect("writing to memory");
    }

    /// Asks a control socket and records question and answer; line ends of the answer are shown as `|`.
    pub fn ask(&mut self, path: &Path, line: &str) -> String {
        let answer = control(path, line);
        self.add("ask:", line);
        self.answered(&answer);
        answer
    }

    pub fn answered(&mut self, answer: &str) {
        self.add("answer:", &mask_times(answer).replace('\n', "|"));
    }

    pub fn text(&self) -> &str {
        &self.0
    }
}

/// Replaces the value behind a JSON key by `#`, wherever the key stands, also in JSON that is quoted in JSON.
pub fn mask(text: &str, key: &str) -> String {
    mask_behind(
        &mask_behind(text, &format!("\"{key}\":"), "\""),
        &format!("\\\"{key}\\\":"),
        "\\\"",
    )
}

fn mask_behind(text: &str, key: &str, quote: &str) -> String {
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

/// Masks what depends on the time of the run: wall-clock times of change log lines, and the hashes over them.
pub fn mask_times(text: &str) -> String {
    ["at", "after", "last", "asked", "sent"]
        .iter()
        .fold(text.to_owned(), |text, key| mask(&text, key))
}
