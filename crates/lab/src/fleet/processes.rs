//! Hosts as processes: each with its own address, configuration and limits; started, stopped, continued and ended
//! by id. Whatever was started here ends with this, also when a rehearsal fails.
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// How a host is started: a program, and its arguments.
#[derive(Clone, Debug)]
pub struct Program {
    pub path: PathBuf,
    pub args: Vec<String>,
}

impl Program {
    /// The `mallowseam` that was built beside this program, or this program playing it.
    pub fn beside(this: &Path) -> Self {
        let beside = this.with_file_name("mallowseam");
        match beside.is_file() {
            true => Program { path: beside, args: vec!["host".into()] },
            false => Program { path: this.to_owned(), args: vec!["host".into(), "host".into()] },
        }
    }

    /// The same with further arguments.
    pub fn with(mut self, args: &[&str]) -> Self {
        self.args.extend(args.iter().map(|a| (*a).to_owned()));
        self
    }
}

/// What a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Use {
    pub memory_kb: u64,
    /// Processor time so far, in milliseconds.
    pub cpu_ms: u64,
    pub descriptors: usize,
}

struct Host {
    child: Option<Child>,
    starts: u32,
}

pub struct Fleet {
    program: Program,
    dir: PathBuf,
    hosts: Vec<Host>,
    /// Descriptors that a host may hold.
    sockets: u32,
}

impl Fleet {
    /// `dir` takes configurations and logs.
    pub fn new(program: Program, dir: &Path, hosts: u32, sockets: u32) -> Self {
        let hosts = (0..hosts).map(|_| Host { child: None, starts: 0 }).collect();
        Fleet { program, dir: dir.to_owned(), hosts, sockets }
    }

    pub fn config(&self, host: u32) -> PathBuf {
        self.dir.join(format!("h{host}.json"))
    }

    pub fn log(&self, host: u32) -> PathBuf {
        self.dir.join(format!("h{host}.log"))
    }

    /// Starts a host by the configuration text; one that still runs is killed first.
    pub fn start(&mut self, host: u32, config: &str) -> Result<(), String> {
        self.kill(host);
        let failed = |e: std::io::Error| format!("host {host}: {e}");
        std::fs::write(self.config(host), config).map_err(failed)?;
        let log = File::options().create(true).append(true).open(self.log(host)).map_err(failed)?;
        // The shell sets the limit and becomes the program: its id is the host's.
        let child = Command::new("/bin/sh")
            .args(["-c", &format!("ulimit -n {}; exec \"$0\" \"$@\"", self.sockets)])
            .arg(&self.program.path)
            .args(&self.program.args)
            .env("GW_CONFIG", self.config(host))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(failed)?;
        let place = &mut self.hosts[host as usize];
        (place.child, place.starts) = (Some(child), place.starts + 1);
        Ok(())
    }

    pub fn starts(&self, host: u32) -> u32 {
        self.hosts[host as usize].starts
    }

    pub fn running(&self, host: u32) -> bool {
        self.hosts[host as usize].child.is_some()
    }

    /// Sends a signal to one that runs.
    pub fn signal(&self, host: u32, signal: Signal) {
        if let Some(child) = &self.hosts[host as usize].child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    pub fn kill(&mut self, host: u32) {
        if let Some(mut child) = self.hosts[host as usize].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Hosts that have ended by themselves since the last look, with their codes (-1: by a signal).
    pub fn ended(&mut self) -> Vec<(u32, i32)> {
        let mut ended = Vec::new();
        for (n, host) in self.hosts.iter_mut().enumerate() {
            if let Some(child) = &mut host.child
                && let Ok(Some(status)) = child.try_wait()
            {
                host.child = None;
                ended.push((n as u32, status.code().unwrap_or(-1)));
            }
        }
        ended
    }

    pub fn uses(&self, host: u32) -> Option<Use> {
        let id = self.hosts[host as usize].child.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let memory = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let memory_kb = memory.split_whitespace().next()?.parse().ok()?;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        // Behind the name in brackets: state is the first field, user and system time the 12th and 13th.
        let mut fields = stat.rsplit(')').next()?.split_whitespace().skip(11);
        let mut ticks = || fields.next()?.parse::<u64>().ok();
        let cpu_ms = (ticks()? + ticks()?) * 10;
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count();
        Some(Use { memory_kb, cpu_ms, descriptors })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for host in 0..self.hosts.len() as u32 {
            self.kill(host);
        }
    }
}
