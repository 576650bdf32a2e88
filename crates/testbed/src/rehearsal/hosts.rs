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

/// How often, and how many times, a host is looked after that has to end: fifteen seconds in all.
const END_POLL: Duration = Duration::from_millis(10);
const END_POLLS: u32 = 1500;

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

    /// Waits for a terminated host; it must end by itself, with code 0.
    pub(super) fn await_host_end(&mut self, n: u32) {
        let Some(mut child) = self.hosts[n as usize].child.take() else {
            return;
        };
        for _ in 0..END_POLLS {
            if let Ok(Some(status)) = child.try_wait() {
                if !status.success() {
                    self.failures.push(format!("gw{n} ended with {status}"));
                }
                self.trace.record(TraceEvent::HostDown { host: n });
                return;
            }
            std::thread::sleep(END_POLL);
        }
        self.failures
            .push(format!("gw{n} did not end within 15 s of SIGTERM"));
        let _ = child.kill();
        let _ = child.wait();
        self.trace.record(TraceEvent::HostDown { host: n });
    }

    /// Has `verify` compare catalog and nodes. Slots that a killed host left behind may be found once; after they
    /// were reclaimed, none may be.
    pub(super) fn verify(&mut self, report: &mut super::SnapshotReport) {
        for mend in [true, false] {
            let mut command = self.program.command();
            command.arg("verify").arg(&self.hosts[0].config_file);
            if mend {
                command.arg("--mend");
            }
            let (good, text) = match command.output() {
                Ok(output) => (
                    output.status.success(),
                    String::from_utf8_lossy(&output.stdout).into_owned(),
                ),
                Err(e) => (false, e.to_string()),
            };
            if mend {
                report.leaked_slots = text
                    .lines()
                    .filter(|line| line.starts_with("given back"))
                    .count() as u64;
            }
            if !good {
                self.failures.push(format!(
                    "verify: {}",
                    text.lines().last().unwrap_or_default()
                ));
            }
        }
    }
}
