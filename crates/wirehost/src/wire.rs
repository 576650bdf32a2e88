//! The wire: each line read becomes a call on the scheduler it is for; the scheduler's answers become lines.
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use mallowseam_platform::settings::{self, PlatformSettings};
use mallowseam_scheduler::Interner;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::panic::{AssertUnwindSafe, catch_unwind};

const MICROS: i64 = 100; // microseconds in a tick

#[derive(Default)]
struct Names {
    me: u64,
    bios: Interner<u64>,
    nodes: Interner<String>,
    zones: Interner<String>,
    volumes: Interner<String>,
    keys: Interner<String>,
    groups: Vec<String>,
    plans: Vec<String>,
}

struct Instance {
    scheduler: Scheduler,
    names: Names,
}

/// A `membership` of which entries are still to come.
struct Listing {
    instance: u64,
    form: EndpointEvent,
    left: u64,
    entries: Vec<NodeEndpoint>,
}

#[derive(Default)]
pub struct Wire {
    now: Option<i64>,
    batch: String,
    instances: BTreeMap<u64, Instance>,
    listing: Option<Listing>,
    out: Vec<u8>,
}

/// The values of one line, taken in turn.
struct Line<'a> {
    message: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Line<'a> {
    fn new(text: &'a str) -> Self {
        match text.split_once(' ') {
            Some((message, rest)) => Line { message, rest: Some(rest) },
            None => Line { message: text, rest: None },
        }
    }

    fn wrong(&self, field: &str, expected: &str) -> String {
        format!("{}: {field}: expected {expected}", self.message)
    }

    /// The next value; none when it is absent.
    fn next(&mut self) -> Option<&'a str> {
        let (value, rest) = match self.rest?.split_once(' ') {
            Some((value, rest)) => (value, Some(rest)),
            None => (self.rest?, None),
        };
        self.rest = rest;
        Some(value).filter(|v| *v != "-" && !v.is_empty())
    }

    fn text(&mut self, field: &str) -> Result<&'a str, String> {
        self.next().ok_or_else(|| self.wrong(field, "a value"))
    }

    fn whole(&mut self, field: &str) -> Result<u64, String> {
        self.next().and_then(|v| v.parse().ok()).ok_or_else(|| self.wrong(field, "a whole number"))
    }

    fn time(&mut self, field: &str) -> Result<i64, String> {
        self.next().and_then(|v| v.parse().ok()).ok_or_else(|| self.wrong(field, "a time in microseconds"))
    }

    /// A number that may be absent.
    fn maybe(&mut self, field: &str) -> Result<Option<f64>, String> {
        let Some(v) = self.next() else { return Ok(None) };
        let number = v.parse().ok().filter(|n: &f64| n.is_finite());
        number.map(Some).ok_or_else(|| self.wrong(field, "a number"))
    }

    fn one_of<T: Copy>(&mut self, field: &str, words: &[(&str, T)]) -> Result<T, String> {
        let value = self.next().unwrap_or("-");
        let known = || words.iter().map(|w| w.0).collect::<Vec<_>>().join(", ");
        words.iter().find(|w| w.0 == value).map(|w| w.1).ok_or_else(|| self.wrong(field, &known()))
    }

    fn ending(&mut self) -> Result<AttemptResult, String> {
        use AttemptResult::*;
        let words = [
            ("done", Completed),
            ("err", Error),
            ("busy", Rejected),
            ("etimedout", TimedOut),
            ("econnrefused", ConnectFailed),
            ("econnreset", ConnectionReset),
            ("ecanceled", Cancelled),
            ("skipped", NotSent),
        ];
        self.one_of("ending", &words)
    }

    fn report(&mut self) -> Result<LoadReport, String> {
        let mut report = LoadReport::default();
        for pair in self.next().unwrap_or_default().split(',').filter(|p| !p.is_empty()) {
            let value = pair.split_once(':').and_then(|(name, v)| Some((name, v.parse::<f64>().ok()?)));
            let (name, value) = value.ok_or_else(|| self.wrong("pressure", "name:value pairs"))?;
            let value = Some(value).filter(|v| v.is_finite() && *v >= 0.0);
            match name {
                "backlog" => report.backlog = value,
                "recent_ms" => report.service_time_ms = value,
                "utilization" => report.utilization = value,
                _ => {}
            }
        }
        Ok(report)
    }
}

/// The scheduler's answers, written as they come.
struct Answers<'a> {
    i: u64,
    names: &'a mut Names,
    out: &'a mut Vec<u8>,
}

fn say(out: &mut Vec<u8>, text: std::fmt::Arguments) {
    writeln!(out, "{text}").expect("writing to memory");
}

impl Host for Answers<'_> {
    fn forward(&mut self, bio: BioId, node: NodeId, timeout: Tick) {
        let (xid, brick) = (self.names.bios.resolve(bio.0), self.names.nodes.resolve(node.0));
        let timeout = if timeout > 0 { timeout * MICROS } else { -1 };
        say(self.out, format_args!("relay {} {xid} {brick} {timeout}", self.i));
    }

    fn cancel(&mut self, bio: BioId, attempt: u32) {
        let xid = *self.names.bios.resolve(bio.0);
        say(self.out, format_args!("cancel {} {xid} {attempt}", self.i));
    }

    fn shed(&mut self, bio: BioId, retry_after: Tick) {
        let xid = *self.names.bios.resolve(bio.0);
        say(self.out, format_args!("bounce {} {xid} {}", self.i, retry_after * MICROS));
    }

    fn fail(&mut self, bio: BioId) {
        let xid = *self.names.bios.resolve(bio.0);
        say(self.out, format_args!("abort {} {xid}", self.i));
    }

    fn set_timer(&mut self, after: Tick) {
        say(self.out, format_args!("set_timer {} 0 {}", self.i, after * MICROS));
    }

    fn poll_endpoints(&mut self) {
        say(self.out, format_args!("stream_changes {} 1", self.i));
    }

    fn release_bio(&mut self, bio: BioId) {
        self.names.bios.release(bio.0);
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

impl Wire {
    /// The reply to the batch that the last line closed.
    pub fn reply(&mut self) -> &[u8] {
        say(&mut self.out, format_args!("next {}", self.batch));
        &self.out
    }

    /// Takes one line in; true when it closed a batch.
    pub fn line(&mut self, text: &str) -> Result<bool, String> {
        let mut line = Line::new(text);
        if self.listing.is_some() && line.message != "entry" {
            return Err(format!("{}: expected another entry of the membership", line.message));
        }
        if line.message == "clock" {
            if self.now.is_some() {
                return Err("clock: expected eof_batch before the next batch".into());
            }
            self.now = Some(line.time("clock")?.div_euclid(MICROS));
            self.batch = line.text("batch number")?.to_owned();
            self.out.clear();
            return Ok(false);
        }
        if text.is_empty() && self.now.is_none() {
            return Ok(false);
        }
        let Some(now) = self.now else {
            return Err(format!("{}: expected a clock line to open the batch", line.message));
        };
        if line.message == "eof_batch" {
            self.now = None;
            return Ok(true);
        }
        if line.message == "entry" {
            return self.entry(now, &mut line).map(|()| false);
        }
        let i = match line.message {
            "open_instance" | "teardown" | "membership" | "request" | "ack_first" | "resolved"
            | "timed_out_client" | "fired" | "sampled" | "heard" => line.whole("i")?,
            other => return Err(format!("{other}: expected a message of the wire")),
        };
        match line.message {
            "open_instance" => self.open(now, i, &mut line)?,
            "teardown" => drop(self.instances.remove(&i)),
            _ => {
                let instance = self.instances.get_mut(&i);
                let instance = instance.ok_or_else(|| line.wrong("i", "an instance that is open"))?;
                if line.message == "membership" {
                    self.listing = Some(membership(i, &mut line)?);
                    return self.list(now).map(|()| false);
                }
                tell(instance, i, now, &mut line, &mut self.out)?;
            }
        }
        Ok(false)
    }

    fn open(&mut self, now: Tick, i: u64, line: &mut Line) -> Result<(), String> {
        let seed = line.whole("init_seed")?;
        let PlatformSettings { scheduler: terms, class_names: groups, plan_names: plans, .. } =
            settings::parse(line.rest.unwrap_or_default())?;
        let names = Names { me: i, groups, plans, ..Names::default() };
        self.instances.insert(i, Instance { scheduler: Scheduler::new(&terms, seed, now), names });
        Ok(())
    }

    fn entry(&mut self, now: Tick, line: &mut Line) -> Result<(), String> {
        let Some(listing) = &mut self.listing else {
            return Err("entry: expected a membership line before it".into());
        };
        let names = &mut self.instances.get_mut(&listing.instance).expect("checked").names;
        let node = NodeId(names.nodes.intern(&line.text("brick")?.to_owned()));
        let zone = names.zones.intern(&line.next().unwrap_or_default().to_owned());
        line.next();
        let shard = line.maybe("cohort")?.unwrap_or(0.0) as u32;
        let states =
            [("active", NodeState::Active), ("leaving", NodeState::Draining), ("left", NodeState::Removed)];
        let state = line.one_of("condition", &states)?;
        line.maybe("scale")?;
        let started_at = line.maybe("came_up_us")?.unwrap_or(0.0) as i64 / MICROS;
        listing.entries.push(NodeEndpoint { node, zone, shard, state, started_at });
        listing.left -= 1;
        self.list(now)
    }

    /// Hands the list on once its last entry is in.
    fn list(&mut self, now: Tick) -> Result<(), String> {
        if let Some(Listing { instance: i, form, entries, .. }) = self.listing.take_if(|l| l.left == 0) {
            let Instance { scheduler, names } = self.instances.get_mut(&i).expect("checked");
            let mut host = Answers { i, names, out: &mut self.out };
            guarded(&mut host, |host| scheduler.on_endpoints(host, now, form, &entries));
        }
        Ok(())
    }
}

fn membership(instance: u64, line: &mut Line) -> Result<Listing, String> {
    line.whole("generation")?;
    let forms = [
        ("diff", EndpointEvent::Incremental),
        ("snapshot", EndpointEvent::FullSnapshot),
        ("disk", EndpointEvent::Cached),
        ("error", EndpointEvent::PollFailed),
    ];
    let form = line.one_of("form", &forms)?;
    let left = line.maybe("members_list")?.unwrap_or(0.0) as u64;
    Ok(Listing { instance, form, left, entries: Vec::new() })
}

/// A panic in the scheduler becomes the wire's word for it.
fn guarded(host: &mut Answers, call: impl FnOnce(&mut Answers)) {
    if let Err(cause) = catch_unwind(AssertUnwindSafe(|| call(host))) {
        let text = cause.downcast_ref::<String>().cloned();
        let text = text.or_else(|| cause.downcast_ref::<&str>().map(|t| (*t).to_owned()));
        let text = text.unwrap_or_else(|| "panic".into()).replace('\n', " ");
        say(host.out, format_args!("broken {} {text}", host.i));
    }
}

/// Turns one line about an open instance into the call it stands for.
fn tell(
    instance: &mut Instance,
    i: u64,
    now: Tick,
    line: &mut Line,
    out: &mut Vec<u8>,
) -> Result<(), String> {
    let Instance { scheduler, names } = instance;
    debug_assert_eq!(names.me, i);
    match line.message {
        "request" => {
            let xid = line.whole("xid")?;
            let class = line.text("tier_class")?;
            let class = names.groups.iter().position(|n| n == class);
            let class = class.ok_or_else(|| line.wrong("tier_class", "a name of the settings"))? as u16;
            let plan = line.text("contract")?;
            let plan = names.plans.iter().position(|n| n == plan);
            let plan = plan.ok_or_else(|| line.wrong("contract", "a name of the settings"))? as u16;
            let key = line.next().map(|k| KeyId(names.keys.intern(&k.to_owned())));
            let deadline = line.time("client_deadline_us")?.div_euclid(MICROS);
            let volume = VolumeId(names.volumes.intern(&line.next().unwrap_or_default().to_owned()));
            let units = line.maybe("weight")?.filter(|u| *u >= 0.0).unwrap_or(1.0);
            let shard = line.maybe("placement")?.filter(|s| *s >= 0.0).map(|s| s as u32);
            let hosts = line.maybe("attached")?.unwrap_or(1.0).max(1.0) as u32;
            line.maybe("opts")?;
            let id = BioId(names.bios.intern(&xid));
            let bio = Bio { id, class, plan, volume, key, deadline, units, shard, hosts };
            guarded(&mut Answers { i, names, out }, |host| scheduler.on_arrival(host, now, bio));
        }
        "resolved" => {
            let xid = line.whole("xid")?;
            let result = line.ending()?;
            let units_by_other_hosts = line.maybe("by_others")?.unwrap_or(0.0);
            let brick = line.text("brick")?.to_owned();
            let client_answered = line.one_of("closed", &[("1", true), ("0", false)])?;
            let latency = line.time("wait_time_us")?.div_euclid(MICROS);
            let volume_usage = line.maybe("volume_use")?.unwrap_or(0.0);
            line.maybe("seq_no")?;
            let load_report = line.report()?;
            let node = names.nodes.find(&brick);
            let node = NodeId(node.ok_or_else(|| line.wrong("brick", "a node of the list"))?);
            // An id that the scheduler has released is over and has no submit out: nothing is left to tell.
            if let Some(id) = names.bios.find(&xid) {
                let outcome = AttemptOutcome {
                    result,
                    node,
                    client_answered,
                    latency,
                    units_by_other_hosts,
                    volume_usage,
                    load_report,
                };
                let mut host = Answers { i, names, out };
                guarded(&mut host, |host| scheduler.on_attempt_finished(host, now, BioId(id), &outcome));
            }
        }
        "timed_out_client" => {
            let xid = line.whole("xid")?;
            if let Some(id) = names.bios.find(&xid) {
                guarded(&mut Answers { i, names, out }, |host| scheduler.on_disconnect(host, now, BioId(id)));
            }
        }
        "fired" => {
            line.whole("mark")?;
            guarded(&mut Answers { i, names, out }, |host| scheduler.on_timer(host, now));
        }
        // The scheduler sends no probes and tells other hosts nothing: what comes of either is read, and no more.
        "sampled" => {
            let brick = line.text("brick")?.to_owned();
            line.ending()?;
            line.time("wait_time_us")?;
            line.report()?;
            names.nodes.find(&brick).ok_or_else(|| line.wrong("brick", "a node of the list"))?;
        }
        "heard" => {
            line.whole("author")?;
            let bytes = STANDARD.decode(line.next().unwrap_or_default());
            bytes.map_err(|_| line.wrong("octets", "base64 with padding"))?;
        }
        // No group here streams its answers: a start of one changes nothing.
        _ => drop(line.whole("xid")?),
    }
    Ok(())
}
