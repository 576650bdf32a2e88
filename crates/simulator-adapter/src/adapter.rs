//! Parsing of batches of lines and dispatch of their messages to instances.
//!
//! A batch begins with a `clock` line, which contains the time and the batch's number, and ends with `eof_batch`. The
//! response consists of all actions that the batch's events lead to, then `next` with the batch's number. A `membership`
//! line contains the number of `entry` lines that follow it.
use crate::action_writer::write_line;
use crate::error::InputError;
use crate::fields::Fields;
use crate::instance::{Event, Instance};
use mallowseam_scheduler::interface::{EndpointEvent, NodeEndpoint, Tick};
use std::collections::BTreeMap;

/// State of the current batch after a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More lines follow.
    WithinBatch,
    /// The batch is complete and has to be answered.
    BatchComplete,
}

/// An endpoint list with entries that have not been read yet.
struct PartialList {
    instance: u64,
    form: EndpointEvent,
    entries_left: u64,
    entries: Vec<NodeEndpoint>,
}

impl PartialList {
    fn read(instance: u64, fields: &mut Fields) -> Result<Self, InputError> {
        fields.unsigned_integer("generation")?;
        let forms = [
            ("diff", EndpointEvent::Incremental),
            ("snapshot", EndpointEvent::FullSnapshot),
            ("disk", EndpointEvent::Cached),
            ("error", EndpointEvent::PollFailed),
        ];
        let form = fields.one_of("form", &forms)?;
        let entries_left = fields.optional_number("members_list")?.unwrap_or(0.0) as u64;
        Ok(PartialList {
            instance,
            form,
            entries_left,
            entries: Vec::new(),
        })
    }
}

/// Kind of a line that is addressed to an instance.
#[derive(Clone, Copy)]
enum Message {
    OpenInstance,
    TearDown,
    Membership,
    Event(Event),
}

impl Message {
    fn from_name(name: &str) -> Option<Message> {
        Some(match name {
            "open_instance" => Message::OpenInstance,
            "teardown" => Message::TearDown,
            "membership" => Message::Membership,
            "request" => Message::Event(Event::Request),
            "ack_first" => Message::Event(Event::FirstByte),
            "resolved" => Message::Event(Event::AttemptEnded),
            "timed_out_client" => Message::Event(Event::ClientTimedOut),
            "fired" => Message::Event(Event::TimerFired),
            "sampled" => Message::Event(Event::ProbeEnded),
            "heard" => Message::Event(Event::PeerMessage),
            _ => return None,
        })
    }
}

/// State of the protocol between two lines.
#[derive(Default)]
pub struct Adapter {
    /// Time of the open batch; none between batches.
    now: Option<Tick>,
    batch_number: String,
    instances: BTreeMap<u64, Instance>,
    partial_list: Option<PartialList>,
    output: Vec<u8>,
}

impl Adapter {
    /// Returns the response to the batch that the last line completed.
    pub fn complete_batch(&mut self) -> &[u8] {
        write_line(&mut self.output, format_args!("next {}", self.batch_number));
        &self.output
    }

    /// Handles one line, without its line end.
    pub fn handle_line(&mut self, line: &str) -> Result<Progress, InputError> {
        let mut fields = Fields::new(line);
        let message = fields.message();
        if self.partial_list.is_some() && message != "entry" {
            return Err(InputError::unexpected(
                message,
                "another entry of the membership",
            ));
        }
        if message == "clock" {
            return self.open_batch(&mut fields).map(|()| Progress::WithinBatch);
        }
        if line.is_empty() && self.now.is_none() {
            return Ok(Progress::WithinBatch);
        }
        let Some(now) = self.now else {
            return Err(InputError::unexpected(
                message,
                "a clock line to open the batch",
            ));
        };
        match message {
            "eof_batch" => {
                self.now = None;
                return Ok(Progress::BatchComplete);
            }
            "entry" => self.list_entry(now, &mut fields)?,
            _ => self.instance_message(now, &mut fields)?,
        }
        Ok(Progress::WithinBatch)
    }

    fn open_batch(&mut self, fields: &mut Fields) -> Result<(), InputError> {
        if self.now.is_some() {
            return Err(InputError::unexpected(
                fields.message(),
                "eof_batch before the next batch",
            ));
        }
        self.now = Some(fields.ticks("clock")?);
        fields
            .text("batch number")?
            .clone_into(&mut self.batch_number);
        self.output.clear();
        Ok(())
    }

    fn instance_message(&mut self, now: Tick, fields: &mut Fields) -> Result<(), InputError> {
        let Some(message) = Message::from_name(fields.message()) else {
            return Err(InputError::unexpected(
                fields.message(),
                "a message of the protocol",
            ));
        };
        let index = fields.unsigned_integer("i")?;
        match message {
            Message::OpenInstance => {
                self.instances
                    .insert(index, Instance::open(index, now, fields)?);
                Ok(())
            }
            Message::TearDown => {
                self.instances.remove(&index);
                Ok(())
            }
            Message::Membership => {
                open_instance(&mut self.instances, index, fields)?;
                self.partial_list = Some(PartialList::read(index, fields)?);
                self.finish_list(now);
                Ok(())
            }
            Message::Event(event) => {
                let instance = open_instance(&mut self.instances, index, fields)?;
                instance.handle(event, now, fields, &mut self.output)
            }
        }
    }

    fn list_entry(&mut self, now: Tick, fields: &mut Fields) -> Result<(), InputError> {
        let Some(list) = &mut self.partial_list else {
            return Err(InputError::unexpected(
                fields.message(),
                "a membership line before it",
            ));
        };
        let instance = self
            .instances
            .get_mut(&list.instance)
            .expect("the instance is open while its list is read");
        list.entries.push(instance.endpoint(fields)?);
        list.entries_left -= 1;
        self.finish_list(now);
        Ok(())
    }

    /// Passes the list to the instance once the last entry has been read.
    fn finish_list(&mut self, now: Tick) {
        if let Some(list) = self.partial_list.take_if(|list| list.entries_left == 0) {
            let instance = self
                .instances
                .get_mut(&list.instance)
                .expect("the instance is open while its list is read");
            instance.on_endpoint_list(now, list.form, &list.entries, &mut self.output);
        }
    }
}

fn open_instance<'a>(
    instances: &'a mut BTreeMap<u64, Instance>,
    index: u64,
    fields: &Fields,
) -> Result<&'a mut Instance, InputError> {
    instances
        .get_mut(&index)
        .ok_or_else(|| fields.invalid("i", "an instance that is open"))
}
