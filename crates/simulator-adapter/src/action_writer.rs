//! The adapter's implementation of the scheduler's `Host`: writes each call as a line with an action.
use crate::fields::MICROS_PER_TICK;
use crate::names::Names;
use mallowseam_scheduler::interface::{BioId, Host, KeyId, NodeId, Tick, VolumeId};
use std::fmt;
use std::io::Write;

/// Value of a timeout field that stands for no timeout.
const NO_TIMEOUT: i64 = -1;

/// Writer of the actions of one instance.
pub struct ActionWriter<'a> {
    /// Index of the instance.
    pub instance: u64,
    /// Names of the instance by the scheduler's indices.
    pub names: &'a mut Names,
    /// Buffer that the lines are appended to.
    pub output: &'a mut Vec<u8>,
}

impl ActionWriter<'_> {
    /// Writes the message of a panic of the scheduler on one line.
    pub fn write_panic(&mut self, text: &str) {
        write_line(
            self.output,
            format_args!("broken {} {}", self.instance, text.replace('\n', " ")),
        );
    }

    fn request_id(&self, bio: BioId) -> u64 {
        *self.names.requests.resolve(bio.0)
    }
}

/// Appends a line to the output.
pub fn write_line(output: &mut Vec<u8>, line: fmt::Arguments) {
    writeln!(output, "{line}").expect("writing to memory");
}

impl Host for ActionWriter<'_> {
    fn forward(&mut self, bio: BioId, node: NodeId, timeout: Tick) {
        let request = self.request_id(bio);
        let node = self.names.nodes.resolve(node.0);
        let timeout = if timeout > 0 {
            timeout * MICROS_PER_TICK
        } else {
            NO_TIMEOUT
        };
        write_line(
            self.output,
            format_args!("relay {} {request} {node} {timeout}", self.instance),
        );
    }

    fn cancel(&mut self, bio: BioId, attempt: u32) {
        let request = self.request_id(bio);
        write_line(
            self.output,
            format_args!("cancel {} {request} {attempt}", self.instance),
        );
    }

    fn shed(&mut self, bio: BioId, retry_after: Option<Tick>) {
        let request = self.request_id(bio);
        let retry_after = retry_after.unwrap_or(0) * MICROS_PER_TICK;
        write_line(
            self.output,
            format_args!("bounce {} {request} {retry_after}", self.instance),
        );
    }

    fn fail(&mut self, bio: BioId) {
        let request = self.request_id(bio);
        write_line(
            self.output,
            format_args!("abort {} {request}", self.instance),
        );
    }

    fn set_timer(&mut self, after: Tick) {
        let delay = after * MICROS_PER_TICK;
        write_line(
            self.output,
            format_args!("set_timer {} 0 {delay}", self.instance),
        );
    }

    fn poll_endpoints(&mut self) {
        write_line(
            self.output,
            format_args!("stream_changes {} 1", self.instance),
        );
    }

    fn release_bio(&mut self, bio: BioId) {
        self.names.requests.release(bio.0);
    }

    fn release_key(&mut self, key: KeyId) {
        self.names.keys.release(key.0);
    }

    fn release_volume(&mut self, volume: VolumeId) {
        self.names.volumes.release(volume.0);
    }

    fn release_node(&mut self, node: NodeId) {
        self.names.nodes.release(node.0);
    }
}
