//! Host processes, each with its own address, configuration and limits. They are signalled by process id, and all of
//! them are killed when the owner is dropped, even if a test panics.
use super::error::TestbedError;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Duration of a clock tick in `/proc/<pid>/stat`, in milliseconds.
const MS_PER_TICK: u64 = 10;
/// Number of fields in `/proc/<pid>/stat` between the process name and the user time.
const STAT_FIELDS_BEFORE_CPU_TIME: usize = 11;

/// Command that starts a host: an executable and its arguments.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Arguments that precede all others.
    pub args: Vec<String>,
}

impl Program {
    /// Returns the `mallowseam` executable in the directory of this program, or this program if there is none.
    pub fn next_to(this: &Path) -> Self {
        let gateway = this.with_file_name("mallowseam");
        if gateway.is_file() {
            Program {
                path: gateway,
                args: vec!["host".into()],
            }
        } else {
            Program {
                path: this.to_owned(),
                args: vec!["host".into(), "host".into()],
            }
        }
    }

    /// Appends arguments to those of the program.
    #[must_use]
    pub fn with_arguments(mut self, args: &[&str]) -> Self {
        self.args.extend(args.iter().map(|a| (*a).to_owned()));
        self
    }
}

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Resident memory in kilobytes.
    pub memory_kb: u64,
    /// CPU time since the start of the process, in milliseconds.
    pub cpu_ms: u64,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

/// The host processes of a run.
pub struct HostProcesses {
    program: Program,
    dir: PathBuf,
    /// The process of each host, while it runs.
    children: Vec<Option<Child>>,
    /// Maximum number of open file descriptors of each host.
    max_descriptors: u32,
}

impl HostProcesses {
    /// Returns the processes of a run before any host is started. Configurations and logs are written to `dir`.
    pub(crate) fn new(program: Program, dir: &Path, hosts: u32, max_descriptors: u32) -> Self {
        let children = (0..hosts).map(|_| None).collect();
        HostProcesses {
            program,
            dir: dir.to_owned(),
            children,
            max_descriptors,
        }
    }

    /// Path of a host's configuration.
    pub(crate) fn config(&self, host: u32) -> PathBuf {
        self.dir.join(format!("h{host}.json"))
    }

    /// Path of a host's log.
    pub(crate) fn log(&self, host: u32) -> PathBuf {
        self.dir.join(format!("h{host}.log"))
    }

    /// Starts a host with a configuration. If the host is still running, its process is killed first.
    ///
    /// # Errors
    /// The configuration or log cannot be written, or the process cannot be started.
    pub(crate) fn start(&mut self, host: u32, config: &str) -> Result<(), TestbedError> {
        self.kill(host);
        let failed = |source: std::io::Error| TestbedError::Host { host, source };
        std::fs::write(self.config(host), config).map_err(failed)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log(host))
            .map_err(failed)?;
        // The shell sets the limit and then replaces itself with the program, so that its process id is the host's.
        let child = Command::new("/bin/sh")
            .args([
                "-c",
                &format!("ulimit -n {}; exec \"$0\" \"$@\"", self.max_descriptors),
            ])
            .arg(&self.program.path)
            .args(&self.program.args)
            .env("GW_CONFIG", self.config(host))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(failed)?;
        self.children[host as usize] = Some(child);
        Ok(())
    }

    /// Writes a new configuration of a running host, and sends the host SIGHUP.
    ///
    /// # Errors
    /// The configuration cannot be written.
    pub(crate) fn reload(&self, host: u32, config: &str) -> Result<(), TestbedError> {
        let failed = |source| TestbedError::Host { host, source };
        std::fs::write(self.config(host), config).map_err(failed)?;
        self.signal(host, Signal::SIGHUP);
        Ok(())
    }

    /// Returns whether a host's process is running.
    pub fn is_running(&self, host: u32) -> bool {
        self.children[host as usize].is_some()
    }

    /// Sends a signal to a host, if it is running.
    pub(crate) fn signal(&self, host: u32, signal: Signal) {
        if let Some(child) = &self.children[host as usize] {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Kills a host, if it is running, and waits until its process has ended.
    pub(crate) fn kill(&mut self, host: u32) {
        if let Some(mut child) = self.children[host as usize].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the hosts that have exited since the last call, with their exit codes (-1 if a signal ended the
    /// process).
    pub(crate) fn reap_exited(&mut self) -> Vec<(u32, i32)> {
        let mut exited = Vec::new();
        for (host, slot) in self.children.iter_mut().enumerate() {
            if let Some(child) = slot
                && let Ok(Some(status)) = child.try_wait()
            {
                *slot = None;
                exited.push((host as u32, status.code().unwrap_or(-1)));
            }
        }
        exited
    }

    /// Returns the current resource usage of a host, or `None` if the host is not running.
    pub fn usage(&self, host: u32) -> Option<ResourceUsage> {
        let id = self.children[host as usize].as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let memory = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let memory_kb = memory.split_whitespace().next()?.parse().ok()?;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        // The process name is in parentheses and may contain spaces.
        let mut fields = stat
            .rsplit(')')
            .next()?
            .split_whitespace()
            .skip(STAT_FIELDS_BEFORE_CPU_TIME);
        let mut ticks = || fields.next()?.parse::<u64>().ok();
        let cpu_ms = (ticks()? + ticks()?) * MS_PER_TICK;
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count();
        Some(ResourceUsage {
            memory_kb,
            cpu_ms,
            descriptors,
        })
    }
}

impl Drop for HostProcesses {
    fn drop(&mut self) {
        for host in 0..self.children.len() as u32 {
            self.kill(host);
        }
    }
}
