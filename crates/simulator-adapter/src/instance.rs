//! An instance runs one scheduler: it translates events to calls on the scheduler, and its actions to lines of output.
use crate::action_writer::ActionWriter;
use crate::error::InputError;
use crate::fields::{Fields, MICROS_PER_TICK};
use crate::names::Names;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use mallowseam_platform::settings::{self, PlatformSettings};
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{
    AttemptOutcome, Bio, BioId, EndpointEvent, KeyId, NodeEndpoint, NodeId, NodeState, Tick,
    VolumeId,
};
use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Size of a request whose line has none, in units.
const DEFAULT_UNITS: f64 = 1.0;
/// Minimum number of hosts that a volume is attached to: the host that received the request.
const MIN_HOSTS: f64 = 1.0;

/// An event for an open instance.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A client sent a request.
    Request,
    /// The first byte of a response arrived.
    FirstByte,
    /// An attempt ended.
    AttemptEnded,
    /// A client stopped waiting.
    ClientTimedOut,
    /// A timer fired.
    TimerFired,
    /// A probe ended.
    ProbeEnded,
    /// Another instance sent bytes.
    PeerMessage,
}

/// Outcome of an attempt of a block I/O that the scheduler has not released.
struct EndedAttempt {
    bio: BioId,
    outcome: AttemptOutcome,
}

/// An instance of the simulator, with its scheduler.
pub struct Instance {
    index: u64,
    scheduler: Scheduler,
    names: Names,
}

impl Instance {
    /// Opens an instance with the seed and the settings in the fields.
    pub fn open(index: u64, now: Tick, fields: &mut Fields) -> Result<Self, InputError> {
        let seed = fields.unsigned_integer("init_seed")?;
        let PlatformSettings {
            scheduler: config,
            class_names,
            plan_names,
            ..
        } = settings::parse(fields.remainder())?;
        let names = Names {
            classes: class_names,
            plans: plan_names,
            ..Names::default()
        };
        Ok(Instance {
            index,
            scheduler: Scheduler::new(&config, seed, now),
            names,
        })
    }

    /// Reads one entry of an endpoint list.
    pub fn endpoint(&mut self, fields: &mut Fields) -> Result<NodeEndpoint, InputError> {
        let node = NodeId(self.names.nodes.intern(&fields.text("brick")?.to_owned()));
        let zone = self
            .names
            .zones
            .intern(&fields.next_value().unwrap_or_default().to_owned());
        fields.skip();
        let shard = fields.optional_number("cohort")?.unwrap_or(0.0) as u32;
        let states = [
            ("active", NodeState::Active),
            ("leaving", NodeState::Draining),
            ("left", NodeState::Removed),
        ];
        let state = fields.one_of("condition", &states)?;
        fields.optional_number("scale")?;
        let started_at_micros = fields.optional_number("came_up_us")?.unwrap_or(0.0) as i64;
        let started_at = started_at_micros / MICROS_PER_TICK;
        Ok(NodeEndpoint {
            node,
            zone,
            shard,
            state,
            // A start time of 0 in the list stands for a start long ago.
            started_at: Some(started_at).filter(|time| *time != 0),
        })
    }

    /// Passes a complete endpoint list to the scheduler.
    pub fn on_endpoint_list(
        &mut self,
        now: Tick,
        form: EndpointEvent,
        endpoints: &[NodeEndpoint],
        output: &mut Vec<u8>,
    ) {
        self.call(output, |scheduler, host| {
            scheduler.on_endpoints(host, now, form, endpoints);
        });
    }

    /// Passes an event to the scheduler.
    pub fn handle(
        &mut self,
        event: Event,
        now: Tick,
        fields: &mut Fields,
        output: &mut Vec<u8>,
    ) -> Result<(), InputError> {
        match event {
            Event::Request => {
                let bio = self.request(fields)?;
                self.call(output, |scheduler, host| {
                    scheduler.on_arrival(host, now, bio);
                });
            }
            Event::AttemptEnded => {
                if let Some(ended) = self.ended_attempt(fields)? {
                    self.call(output, |scheduler, host| {
                        scheduler.on_attempt_finished(host, now, ended.bio, &ended.outcome);
                    });
                }
            }
            Event::ClientTimedOut => {
                if let Some(bio) = self.timed_out_request(fields)? {
                    self.call(output, |scheduler, host| {
                        scheduler.on_disconnect(host, now, bio);
                    });
                }
            }
            Event::TimerFired => {
                fields.unsigned_integer("mark")?;
                self.call(output, |scheduler, host| scheduler.on_timer(host, now));
            }
            Event::ProbeEnded => self.on_probe_ended(fields)?,
            Event::PeerMessage => peer_message(fields)?,
            Event::FirstByte => first_byte(fields)?,
        }
        Ok(())
    }

    /// Reads a request, whose fields have to be read in their order on the line.
    fn request(&mut self, fields: &mut Fields) -> Result<Bio, InputError> {
        let request = fields.unsigned_integer("xid")?;
        let class = position(&self.names.classes, "tier_class", fields)?;
        let plan = position(&self.names.plans, "contract", fields)?;
        let key = fields
            .next_value()
            .map(|key| KeyId(self.names.keys.intern(&key.to_owned())));
        let deadline = fields.ticks("client_deadline_us")?;
        let volume_name = fields.next_value().unwrap_or_default().to_owned();
        let volume = VolumeId(self.names.volumes.intern(&volume_name));
        let units = fields.optional_number("weight")?;
        let shard = fields.optional_number("placement")?;
        let hosts = fields.optional_number("attached")?;
        fields.optional_number("opts")?;
        Ok(Bio {
            id: BioId(self.names.requests.intern(&request)),
            class,
            plan,
            volume,
            key,
            deadline,
            units: units.filter(|units| *units >= 0.0).unwrap_or(DEFAULT_UNITS),
            shard: shard
                .filter(|shard| *shard >= 0.0)
                .map(|shard| shard as u32),
            hosts: hosts.unwrap_or(MIN_HOSTS).max(MIN_HOSTS) as u32,
        })
    }

    /// Reads the outcome of an attempt; returns none if the scheduler has released the request, which is then finished
    /// and has no attempt in flight.
    fn ended_attempt(&mut self, fields: &mut Fields) -> Result<Option<EndedAttempt>, InputError> {
        let request = fields.unsigned_integer("xid")?;
        let result = fields.attempt_result()?;
        let units_by_other_hosts = fields.optional_number("by_others")?.unwrap_or(0.0);
        let node_name = fields.text("brick")?.to_owned();
        let client_answered = fields.one_of("closed", &[("1", true), ("0", false)])?;
        let latency = fields.ticks("wait_time_us")?;
        let volume_usage = fields.optional_number("volume_use")?.unwrap_or(0.0);
        fields.optional_number("seq_no")?;
        let load_report = fields.load_report()?;
        let outcome = AttemptOutcome {
            result,
            node: self.known_node(&node_name, fields)?,
            client_answered,
            latency,
            units_by_other_hosts,
            volume_usage,
            load_report,
        };
        let bio = self.names.requests.find(&request).map(BioId);
        Ok(bio.map(|bio| EndedAttempt { bio, outcome }))
    }

    /// Reads the request of a client that stopped waiting; returns none if the scheduler has released the request.
    fn timed_out_request(&self, fields: &mut Fields) -> Result<Option<BioId>, InputError> {
        let request = fields.unsigned_integer("xid")?;
        Ok(self.names.requests.find(&request).map(BioId))
    }

    /// Validates and ignores the outcome of a probe, since the scheduler sends no probes.
    fn on_probe_ended(&self, fields: &mut Fields) -> Result<(), InputError> {
        let node_name = fields.text("brick")?.to_owned();
        fields.attempt_result()?;
        fields.ticks("wait_time_us")?;
        fields.load_report()?;
        self.known_node(&node_name, fields).map(|_| ())
    }

    fn known_node(&self, name: &String, fields: &Fields) -> Result<NodeId, InputError> {
        let node = self.names.nodes.find(name);
        node.map(NodeId)
            .ok_or_else(|| fields.invalid("brick", "a node of the list"))
    }

    /// Calls the scheduler. A panic is caught and written as an action, so that other instances continue.
    fn call(&mut self, output: &mut Vec<u8>, call: impl FnOnce(&mut Scheduler, &mut ActionWriter)) {
        let mut host = ActionWriter {
            instance: self.index,
            names: &mut self.names,
            output,
        };
        let called = catch_unwind(AssertUnwindSafe(|| call(&mut self.scheduler, &mut host)));
        if let Err(panic) = called {
            host.write_panic(panic_text(panic.as_ref()));
        }
    }
}

/// Validates and ignores a message of another instance, since the scheduler sends nothing to other instances.
fn peer_message(fields: &mut Fields) -> Result<(), InputError> {
    fields.unsigned_integer("author")?;
    let bytes = STANDARD.decode(fields.next_value().unwrap_or_default());
    bytes
        .map(|_| ())
        .map_err(|_| fields.invalid("octets", "base64 with padding"))
}

/// Validates and ignores the first byte of a response, since no I/O class streams its responses.
fn first_byte(fields: &mut Fields) -> Result<(), InputError> {
    fields.unsigned_integer("xid").map(|_| ())
}

/// Reads a name and returns its index among the names in the settings.
fn position(names: &[String], field: &'static str, fields: &mut Fields) -> Result<u16, InputError> {
    let name = fields.text(field)?;
    let position = names.iter().position(|known| known == name);
    position
        .map(|position| position as u16)
        .ok_or_else(|| fields.invalid(field, "a name of the settings"))
}

fn panic_text(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic")
}
