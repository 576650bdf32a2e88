//! Processes of a rehearsal: hosts, the snapshot catalog and the plan service.
use super::Rehearsal;
use crate::error::RunError;
use crate::process::{kill_now, send_signal};
use mallowseam_audit::trace::TraceEvent;
use nix::sys::signal::Signal;
use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::{Child, Stdio};
use std::time::Duration;

/// Interval at which a terminated host is polled for its exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of polls before a terminated host is killed: fifteen seconds in total.
const MAX_EXIT_POLLS: u32 = 1500;

/// A host's process, while it runs, and its files.
pub(super) struct HostProcess {
    pub(super) child: Option<Child>,
    pub(super) config_file: PathBuf,
    pub(super) control_socket: PathBuf,
}

impl Rehearsal<'_> {
    pub(super) fn start_catalog(&mut self) -> Result<(), RunError> {
        let file = self.hosts[0].config_file.clone();
        self.catalog = Some(self.spawn("catalog", &file, "catalog.log")?);
        Ok(())
    }

    pub(super) fn start_plan_service(&mut self) -> Result<(), RunError> {
        let file = self.hosts[0].config_file.clone();
        self.plan_service = Some(self.spawn("control", &file, "control.log")?);
        Ok(())
    }

    pub(super) fn start_host(&mut self, n: u32) -> Result<(), RunError> {
        let file = self.hosts[n as usize].config_file.clone();
        let child = self.spawn("run", &file, &format!("gw{n}.log"))?;
        self.hosts[n as usize].child = Some(child);
        self.trace.record(TraceEvent::HostUp { host: n });
        Ok(())
    }

    fn spawn(&self, subcommand: &str, file: &Path, log: &str) -> Result<Child, RunError> {
        let log_file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(log))
            .map_err(RunError::io(log))?;
        let mut command = self.program.command();
        command
            .arg(subcommand)
            .arg(file)
            .stdout(Stdio::null())
            .stderr(log_file);
        command
            .spawn()
            .map_err(RunError::io(self.program.path.display().to_string()))
    }

    pub(super) fn kill_host(&mut self, n: u32) {
        if kill_now(&mut self.hosts[n as usize].child) {
            self.trace.record(TraceEvent::HostDown { host: n });
        }
    }

    pub(super) fn signal_host(&self, n: u32, signal: Signal) {
        if let Some(child) = &self.hosts[n as usize].child {
            send_signal(child, signal);
        }
    }

    /// Waits for a terminated host to exit. Another exit code than 0 is recorded as a failure, and so is a timeout,
    /// after which the host is killed.
    pub(super) fn await_host_exit(&mut self, n: u32) {
        let Some(mut child) = self.hosts[n as usize].child.take() else {
            return;
        };
        for _ in 0..MAX_EXIT_POLLS {
            if let Ok(Some(status)) = child.try_wait() {
                if !status.success() {
                    self.failures.push(format!("host gw{n} failed: {status}"));
                }
                self.trace.record(TraceEvent::HostDown { host: n });
                return;
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
        self.failures
            .push(format!("host gw{n} did not exit within 15 s of SIGTERM"));
        let _ = child.kill();
        let _ = child.wait();
        self.trace.record(TraceEvent::HostDown { host: n });
    }

    /// Runs `verify` twice to compare the catalog with the nodes. The first run may find slots that killed hosts
    /// leaked, and reclaims them; the second run must find none.
    pub(super) fn verify(&mut self, report: &mut super::SnapshotReport) {
        for reclaim in [true, false] {
            let mut command = self.program.command();
            command.arg("verify").arg(&self.hosts[0].config_file);
            if reclaim {
                command.arg("--mend");
            }
            let (succeeded, text) = match command.output() {
                Ok(output) => (
                    output.status.success(),
                    String::from_utf8_lossy(&output.stdout).into_owned(),
                ),
                Err(e) => (false, e.to_string()),
            };
            if reclaim {
                report.leaked_slots = text
                    .lines()
                    .filter(|line| line.starts_with("given back"))
                    .count() as u64;
            }
            if !succeeded {
                self.failures.push(format!(
                    "verify of the snapshot catalog failed: {}",
                    text.lines().last().unwrap_or_default()
                ));
            }
        }
    }
}
