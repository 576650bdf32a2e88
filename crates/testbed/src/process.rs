//! Starts, signals and ends processes of the gateway.
use crate::error::RunError;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Command that starts a process of the gateway: an executable, and its arguments before the subcommand.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Arguments that precede the subcommand.
    pub args: Vec<String>,
}

impl Program {
    /// Returns a command that runs this program without standard input.
    pub(crate) fn command(&self) -> Command {
        let mut command = Command::new(&self.path);
        command.args(&self.args).stdin(Stdio::null());
        command
    }
}

/// Process that is killed when its handle is dropped.
pub(crate) struct KilledOnDrop(Child);

impl KilledOnDrop {
    /// Starts a process with a subcommand and a configuration file.
    pub(crate) fn start(
        program: &Program,
        subcommand: &[&str],
        file: &Path,
    ) -> Result<Self, RunError> {
        let mut command = program.command();
        command.args(subcommand).arg(file).stdout(Stdio::null());
        let child = command
            .spawn()
            .map_err(RunError::io(program.path.display().to_string()))?;
        Ok(KilledOnDrop(child))
    }

    /// Process id.
    pub(crate) fn id(&self) -> u32 {
        self.0.id()
    }
}

impl Drop for KilledOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Kills a process, if one runs. Returns whether one did.
pub(crate) fn kill_now(child: &mut Option<Child>) -> bool {
    let Some(mut child) = child.take() else {
        return false;
    };
    let _ = child.kill();
    let _ = child.wait();
    true
}

/// Sends a signal to a process. Does nothing if the process has already ended.
pub(crate) fn send_signal(child: &Child, signal: Signal) {
    let _ = kill(Pid::from_raw(child.id() as i32), signal);
}

/// Sends SIGTERM to a process and waits for its end. Returns whether it exited with code 0, or whether none runs.
pub(crate) fn terminate(child: &mut Option<Child>) -> bool {
    let Some(mut child) = child.take() else {
        return true;
    };
    send_signal(&child, Signal::SIGTERM);
    child.wait().is_ok_and(|status| status.success())
}
