//! Parser of the fault lines of a script: `at TIME KIND … [for DURATION]`.
use super::{Event, Fault, Selector};
use crate::arguments::DURATION;
use mallowseam_audit::trace::Micros;
use mallowseam_settings::Arguments;

const KINDS: &str = "node, host, client, list, surge, load, half-logins, garbage, snapshot, clone, catalog or control";
const KIND_WORDS: [&str; 12] = [
    "node",
    "host",
    "client",
    "list",
    "surge",
    "load",
    "half-logins",
    "garbage",
    "snapshot",
    "clone",
    "catalog",
    "control",
];

/// Fault, and the event that ends it if the fault has a duration.
struct FaultSpan {
    begins: Fault,
    ends: Option<Fault>,
}

impl FaultSpan {
    fn instant(fault: Fault) -> Self {
        FaultSpan {
            begins: fault,
            ends: None,
        }
    }

    fn lasting(begins: Fault, ends: Fault) -> Self {
        FaultSpan {
            begins,
            ends: Some(ends),
        }
    }

    /// Creates a fault whose variant has a `bool`: true at its begin, false at its end.
    fn switched(fault: impl Fn(bool) -> Fault) -> Self {
        FaultSpan::lasting(fault(true), fault(false))
    }
}

/// Reads the arguments of `at`. Returns the event, and the one that ends the fault if it has a duration.
pub(super) fn parse(args: &mut Arguments) -> Option<Vec<Event>> {
    let at = args.duration(DURATION)?;
    let kind = args.value(KINDS, |word| KIND_WORDS.into_iter().find(|k| *k == word))?;
    let FaultSpan { begins, ends } = fault(kind, args)?;
    let mut events = vec![Event { at, fault: begins }];
    if let Some(fault) = ends {
        if !args.accept("for") {
            args.value::<()>("for DURATION", |_| None);
            return None;
        }
        events.push(Event {
            at: at + args.duration(DURATION)?,
            fault,
        });
    }
    Some(events)
}

fn fault(kind: &str, args: &mut Arguments) -> Option<FaultSpan> {
    Some(match kind {
        "node" => node(args)?,
        "host" => host(args)?,
        "client" => client(args)?,
        "list" => list(args)?,
        "surge" => {
            let plan = args.text("the name of a plan")?;
            let factor = args.number("a multiple", 0.0, 100.0)?;
            FaultSpan::lasting(Fault::Surge(plan.clone(), factor), Fault::Surge(plan, 1.0))
        }
        "snapshot" => FaultSpan::instant(Fault::Snapshot(
            args.text("a volume")?,
            args.text("a name")?,
        )),
        "clone" => FaultSpan::instant(Fault::Clone(
            args.text("VOLUME@NAME")?,
            args.text("a name")?,
        )),
        "catalog" => {
            expect_kill(args)?;
            FaultSpan::lasting(Fault::CatalogKill, Fault::CatalogStart)
        }
        "control" => {
            expect_kill(args)?;
            FaultSpan::lasting(Fault::ControlKill, Fault::ControlStart)
        }
        "load" => FaultSpan::lasting(
            Fault::Load(args.number("a multiple", 0.0, 100.0)?),
            Fault::Load(1.0),
        ),
        "half-logins" => {
            FaultSpan::instant(Fault::HalfLogins(args.integer("a number", 1, 1000)? as u32))
        }
        _ => FaultSpan::instant(Fault::Garbage(args.integer("a number", 1, 1000)? as u32)),
    })
}

fn expect_kill(args: &mut Arguments) -> Option<()> {
    args.value("kill", |word| (word == "kill").then_some(()))
}

fn selector(args: &mut Arguments) -> Option<Selector> {
    args.value("a number, or any or anyN", |word| {
        match word.strip_prefix("any") {
            Some("") => Some(Selector::Any(0)),
            Some(n) => n.parse().ok().map(Selector::Any),
            None => word.parse().ok().map(Selector::Number),
        }
    })
}

/// Reports an unknown word in place of one of the expected words.
fn report_unknown(args: &mut Arguments, expected: &str) -> Option<FaultSpan> {
    args.value::<()>(expected, |_| None);
    None
}

fn node(args: &mut Arguments) -> Option<FaultSpan> {
    let node = selector(args)?;
    let what = args
        .text("silent, still, deaf, slow, errors, loses, crash, start, reset, drain or undrain")?;
    Some(match what.as_str() {
        "silent" => FaultSpan::switched(|on| Fault::NodeSilent(node, on)),
        "still" => FaultSpan::switched(|on| Fault::NodeStill(node, on)),
        "deaf" => FaultSpan::switched(|on| Fault::NodeDeaf(node, on)),
        "slow" => {
            let factor = args.number("a multiple", 0.01, 1000.0)?;
            FaultSpan::lasting(Fault::NodeSlow(node, factor), Fault::NodeSlow(node, 1.0))
        }
        "errors" => {
            let fraction = args.percent("a percentage")?;
            FaultSpan::lasting(
                Fault::NodeErrors(node, fraction),
                Fault::NodeErrors(node, 0.0),
            )
        }
        "loses" => {
            let fraction = args.percent("a percentage")?;
            FaultSpan::lasting(
                Fault::NodeLoses(node, fraction),
                Fault::NodeLoses(node, 0.0),
            )
        }
        "crash" => FaultSpan::lasting(Fault::NodeCrash(node), Fault::NodeStart(node)),
        "reset" => FaultSpan::instant(Fault::NodeReset(node)),
        "drain" => FaultSpan::lasting(Fault::NodeDrain(node), Fault::NodeUndrain(node)),
        _ => {
            return report_unknown(
                args,
                "silent, still, deaf, slow, errors, loses, crash, reset or drain",
            );
        }
    })
}

fn host(args: &mut Arguments) -> Option<FaultSpan> {
    let host = selector(args)?;
    let what = args.text("kill, term, stall or drain")?;
    Some(match what.as_str() {
        "kill" => FaultSpan::lasting(Fault::HostKill(host), Fault::HostStart(host)),
        "term" => FaultSpan::lasting(Fault::HostTerm(host), Fault::HostStart(host)),
        "stall" => FaultSpan::switched(|on| Fault::HostStall(host, on)),
        "drain" => FaultSpan::instant(Fault::HostDrain(host)),
        _ => return report_unknown(args, "kill, term, stall or drain"),
    })
}

fn client(args: &mut Arguments) -> Option<FaultSpan> {
    let client = selector(args)?;
    let what = args.text("drop, stall, deaf or again")?;
    Some(match what.as_str() {
        "drop" => FaultSpan::instant(Fault::ClientDrop(client)),
        "stall" => FaultSpan::switched(|on| Fault::ClientStall(client, on)),
        "deaf" => FaultSpan::switched(|on| Fault::ClientDeaf(client, on)),
        "again" => FaultSpan::instant(Fault::ClientAgain(client)),
        _ => return report_unknown(args, "drop, stall, deaf or again"),
    })
}

fn list(args: &mut Arguments) -> Option<FaultSpan> {
    let what = args.text("lag, away or backwards")?;
    Some(match what.as_str() {
        "lag" => {
            let lag = args.duration("a duration such as 5s")?;
            FaultSpan::lasting(Fault::ListLag(lag), Fault::ListLag(Micros::MAX))
        }
        "away" => FaultSpan::switched(Fault::ListAway),
        "backwards" => FaultSpan::instant(Fault::ListBackwards),
        _ => return report_unknown(args, "lag, away or backwards"),
    })
}
