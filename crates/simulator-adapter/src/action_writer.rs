//! What a scheduler asks of its host, written as lines of actions.
use crate::fields::MICROS_PER_TICK;
use crate::instance::Names;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use mallowseam_scheduler::host::{BioId, Host, KeyId, NodeId, Tick, VolId};
use std::fmt;
use std::io::Write;

/// What stands for an absent deadline, and for all peers.
const NONE: i64 = -1;

/// Writes the actions of one instance as they come.
pub struct ActionWriter<'a> {
    /// Index of the instance.
    pub instance: u64,
    /// The names that the scheduler's indices stand for.
    pub names: &'a mut Names,
    /// Where the lines go.
    pub output: &'a mut Vec<u8>,
}

impl ActionWriter<'_> {
    /// The scheduler panicked; its last words on one line.
    pub fn panicked(&mut self, text: &str) {
        write_line(self.output, format_args!("broken {} {}", self.instance, text.replace('\n', " ")));
    }

    fn request_id(&self, bio: BioId) -> u64 {
        *self.names.requests.name(bio.0)
    }
}

/// Writes one line.
pub fn write_line(output: &mut Vec<u8>, line: fmt::Arguments) {
    writeln!(output, "{line}").expect("writing to memory");
}

impl Host for ActionWriter<'_> {
    fn submit(&mut self, bio: BioId, node: NodeId, limit: Tick) {
        let (request, node) = (self.request_id(bio), self.names.nodes.name(node.0));
        let timeout = if limit > 0 { limit * MICROS_PER_TICK } else { NONE };
        write_line(self.output, format_args!("relay {} {request} {node} {timeout}", self.instance));
    }

    fn cancel(&mut self, bio: BioId, nth: u32) {
        let request = self.request_id(bio);
        write_line(self.output, format_args!("cancel {} {request} {nth}", self.instance));
    }

    fn shed(&mut self, bio: BioId, come_back: Tick) {
        let (request, retry_after) = (self.request_id(bio), come_back * MICROS_PER_TICK);
        write_line(self.output, format_args!("bounce {} {request} {retry_after}", self.instance));
    }

    fn fail(&mut self, bio: BioId) {
        let request = self.request_id(bio);
        write_line(self.output, format_args!("abort {} {request}", self.instance));
    }

    fn wake(&mut self, after: Tick) {
        let delay = after * MICROS_PER_TICK;
        write_line(self.output, format_args!("set_timer {} 0 {delay}", self.instance));
    }

    fn probe(&mut self, node: NodeId) {
        let node = self.names.nodes.name(node.0);
        write_line(self.output, format_args!("touch {} {node}", self.instance));
    }

    fn watch_list(&mut self) {
        write_line(self.output, format_args!("stream_changes {} 1", self.instance));
    }

    fn fetch_list(&mut self) {
        write_line(self.output, format_args!("query_all {}", self.instance));
    }

    fn tell_peers(&mut self, bytes: &[u8]) {
        let encoded = STANDARD.encode(bytes);
        write_line(self.output, format_args!("tell {} {NONE} {encoded}", self.instance));
    }

    fn release_bio(&mut self, bio: BioId) {
        self.names.requests.release(bio.0);
    }

    fn release_key(&mut self, key: KeyId) {
        self.names.keys.release(key.0);
    }

    fn release_volume(&mut self, vol: VolId) {
        self.names.volumes.release(vol.0);
    }

    fn release_node(&mut self, node: NodeId) {
        self.names.nodes.release(node.0);
    }
}
