//! Processes of a case, their addresses and their temporary folder. Every process is ended when its value is dropped.
use crate::record::not_run;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Processes that this case has started and has not ended yet, and its temporary folder.
static STARTED: Mutex<(Vec<i32>, Option<PathBuf>)> = Mutex::new((Vec::new(), None));

/// Ends all processes that this case has started, and removes its temporary folder.
pub fn end_all() {
    let Ok(mut started) = STARTED.lock() else {
        return;
    };
    for pid in started.0.drain(..) {
        // SAFETY: signals to processes that this case has started and has not waited for.
        unsafe {
            kill(pid, SIGKILL);
        }
    }
    if let Some(folder) = started.1.take() {
        let _ = std::fs::remove_dir_all(folder);
    }
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Loopback address of one party of this case.
pub fn ip(party: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 60 + (pid >> 8) as u8 % 120, pid as u8, party)
}

/// A free port of a party's address.
pub fn free_address(party: u8) -> SocketAddr {
    let listener =
        TcpListener::bind((ip(party), 0)).unwrap_or_else(|e| not_run(&format!("no address: {e}")));
    listener.local_addr().expect("the socket is bound")
}

/// Temporary folder that is removed when the value is dropped.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|e| not_run(&format!("no folder: {e}")));
        STARTED.lock().expect("not poisoned").1 = Some(path.clone());
        Folder(path)
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path(name);
        std::fs::write(&path, text).unwrap_or_else(|e| not_run(&format!("{name}: {e}")));
        path
    }
}

impl Default for Folder {
    fn default() -> Self {
        Folder::new()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process of the project.
pub struct Process(Child);

impl Process {
    /// Starts a shell command from the root of the repository.
    pub fn start(command: &str, env: &[(&str, &str)], log: &Path) -> Process {
        let log = std::fs::File::create(log).unwrap_or_else(|e| not_run(&format!("no log: {e}")));
        let mut shell = Command::new("/bin/sh");
        shell
            .arg("-c")
            .arg(command)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        for (name, value) in env {
            shell.env(name, value);
        }
        // SAFETY: the call between fork and exec only asks for SIGKILL (PR_SET_PDEATHSIG, 1) if this process ends.
        unsafe {
            shell.pre_exec(|| {
                prctl(1, SIGKILL as std::ffi::c_ulong);
                Ok(())
            });
        }
        let child = shell
            .spawn()
            .unwrap_or_else(|e| not_run(&format!("`{command}`: {e}")));
        STARTED
            .lock()
            .expect("not poisoned")
            .0
            .push(child.id() as i32);
        Process(child)
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: sends a signal to a process that this case has started and has not waited for.
        unsafe { kill(self.0.id() as i32, signal) };
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }

    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let own = self.0.id() as i32;
        STARTED
            .lock()
            .expect("not poisoned")
            .0
            .retain(|pid| *pid != own);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits for a condition, and ends the case as one that could not run if it does not hold in time.
pub fn wait_for(what: &str, bound: Duration, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        if began.elapsed() > bound {
            not_run(&format!("not in time: {what}"));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}
