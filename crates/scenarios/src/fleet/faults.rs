//! Parser of the lines `at TIME …` of a script: faults, and the times at which they end.
use super::arguments::index_range;
use super::{FaultAction, ScheduledFault};
use crate::arguments::DURATION;
use mallowseam_models::discovery_queue::ServiceBehavior;
use mallowseam_settings::Arguments;
use mallowseam_stand_ins::links::{LinkFault, Peer, PeerSet};

/// Actions that begin and end the fault of a line. A fault without actions at its end has no duration.
struct FaultActions {
    begin: Vec<FaultAction>,
    end: Vec<FaultAction>,
}

impl FaultActions {
    fn lasting(begin: FaultAction, end: FaultAction) -> Self {
        FaultActions {
            begin: vec![begin],
            end: vec![end],
        }
    }

    fn momentary(action: FaultAction) -> Self {
        FaultActions {
            begin: vec![action],
            end: Vec::new(),
        }
    }
}

/// Reads the arguments of `at`. If it returns none, a diagnostic has been added for the line.
pub(super) fn parse_fault(args: &mut Arguments) -> Option<Vec<ScheduledFault>> {
    let at = args.duration(DURATION)?;
    let kinds = ["host", "node", "list", "link", "load"];
    let kind = keyword(args, "host, node, list, link or load", &kinds)?;
    let FaultActions { begin, end } = match kind {
        "host" => host_fault(args)?,
        "node" => node_fault(args)?,
        "list" => discovery_fault(args)?,
        "link" => link_fault(args)?,
        _ => {
            let factor = args.number("a multiple", 0.0, 100.0)?;
            FaultActions::lasting(FaultAction::ScaleLoad(factor), FaultAction::ScaleLoad(1.0))
        }
    };
    let schedule = |at, actions: Vec<FaultAction>| {
        actions
            .into_iter()
            .map(move |action| ScheduledFault { at, action })
    };
    let has_end = !end.is_empty();
    let mut faults: Vec<ScheduledFault> = schedule(at, begin).collect();
    if has_end {
        if !args.accept("for") {
            args.value::<()>("for DURATION", |_| None);
            return Some(faults);
        }
        let Some(duration) = args.duration(DURATION) else {
            return Some(faults);
        };
        faults.extend(schedule(at + duration, end));
    }
    Some(faults)
}

fn keyword<'a>(args: &mut Arguments, expected: &str, keywords: &[&'a str]) -> Option<&'a str> {
    args.value(expected, |word| {
        keywords.iter().copied().find(|keyword| *keyword == word)
    })
}

fn host_fault(args: &mut Arguments) -> Option<FaultActions> {
    let hosts = index_range(args)?;
    let kind = keyword(
        args,
        "kill, term, stall or move",
        &["kill", "term", "stall", "move"],
    )?;
    Some(match kind {
        "kill" => FaultActions::lasting(
            FaultAction::KillHosts(hosts),
            FaultAction::StartHosts(hosts),
        ),
        "term" => FaultActions::lasting(
            FaultAction::TerminateHosts(hosts),
            FaultAction::StartHosts(hosts),
        ),
        "stall" => FaultActions::lasting(
            FaultAction::PauseHosts(hosts),
            FaultAction::ResumeHosts(hosts),
        ),
        _ => FaultActions::momentary(FaultAction::RedirectHosts(hosts)),
    })
}

fn node_fault(args: &mut Arguments) -> Option<FaultActions> {
    let nodes = index_range(args)?;
    let kind = keyword(args, "kill, slow or replace", &["kill", "slow", "replace"])?;
    Some(match kind {
        "kill" => FaultActions::lasting(
            FaultAction::StopNodes(nodes),
            FaultAction::StartNodes(nodes),
        ),
        "slow" => {
            let factor = args.number("a multiple", 0.01, 1_000.0)?;
            FaultActions::lasting(
                FaultAction::SlowNodes(nodes, factor),
                FaultAction::SlowNodes(nodes, 1.0),
            )
        }
        _ => FaultActions::lasting(
            FaultAction::ReplaceNodes(nodes),
            FaultAction::RemoveNodes(nodes),
        ),
    })
}

fn discovery_fault(args: &mut Arguments) -> Option<FaultActions> {
    let kinds = ["away", "mute", "refuses", "forgets", "slow"];
    let kind = keyword(args, "away, mute, refuses, forgets or slow", &kinds)?;
    let behavior = match kind {
        "away" => ServiceBehavior::Down,
        "mute" => ServiceBehavior::Hung,
        "refuses" => ServiceBehavior::Rejecting(args.percent("a percentage")?),
        "forgets" => {
            return Some(FaultActions::momentary(FaultAction::StallWatches(
                index_range(args)?,
            )));
        }
        _ => {
            let factor = args.number("a multiple", 0.01, 1_000.0)?;
            let begin = FaultAction::SlowDiscovery(factor);
            let end = FaultAction::SlowDiscovery(1.0);
            return Some(FaultActions::lasting(begin, end));
        }
    };
    let normal = FaultAction::SetDiscoveryBehavior(ServiceBehavior::Normal);
    Some(FaultActions::lasting(
        FaultAction::SetDiscoveryBehavior(behavior),
        normal,
    ))
}

fn link_fault(args: &mut Arguments) -> Option<FaultActions> {
    const PEERS: &str =
        "all, hosts, nodes, lists, clients, hostN, nodeN, listN, zoneN, hostN..M or nodeN..M";
    let from = args.value(PEERS, peer_set)?;
    let to = args.value(PEERS, peer_set)?;
    let one_way = args.accept("one-way");
    let fault = link_properties(args)?;
    if fault == LinkFault::default() {
        args.value::<()>(
            "silent, refused, slow, spread, bytes, loss, repeats or cut-after",
            |_| None,
        );
        return None;
    }
    let mut directions = vec![(from, to)];
    if !one_way && from != to {
        directions.push((to, from));
    }
    let set = |fault| {
        directions
            .iter()
            .map(move |(from, to)| FaultAction::SetLink {
                from: *from,
                to: *to,
                fault,
            })
            .collect()
    };
    Some(FaultActions {
        begin: set(fault),
        end: set(LinkFault::default()),
    })
}

fn link_properties(args: &mut Arguments) -> Option<LinkFault> {
    let mut fault = LinkFault::default();
    loop {
        if args.accept("silent") {
            fault.blackholed = true;
        } else if args.accept("refused") {
            fault.refuses_connections = true;
        } else if args.accept("slow") {
            fault.latency = args.duration(DURATION)?;
        } else if args.accept("spread") {
            fault.jitter = args.duration(DURATION)?;
        } else if args.accept("bytes") {
            let rate = args.rate("bytes per second such as 9000/s")?;
            // In a script, 0 stands for no limit.
            fault.bytes_per_second = Some(rate).filter(|rate| *rate > 0.0);
        } else if args.accept("loss") {
            fault.loss = args.percent("a percentage")?;
        } else if args.accept("repeats") {
            fault.duplication = args.percent("a percentage")?;
        } else if args.accept("cut-after") {
            fault.reset_after_bytes = Some(args.integer("bytes", 1, 1 << 40)?);
        } else {
            return Some(fault);
        }
    }
}

fn peer_set(word: &str) -> Option<PeerSet> {
    let number = |prefix: &str| {
        word.strip_prefix(prefix)
            .and_then(|n| n.parse::<u32>().ok())
    };
    let range = |prefix: &str| {
        let (start, end) = word.strip_prefix(prefix)?.split_once("..")?;
        Some((start.parse().ok()?, end.parse().ok()?))
    };
    match word {
        "all" => return Some(PeerSet::All),
        "hosts" => return Some(PeerSet::Hosts),
        "nodes" => return Some(PeerSet::Nodes),
        "lists" => return Some(PeerSet::Lists),
        "clients" => return Some(PeerSet::Single(Peer::Clients)),
        _ => {}
    }
    let single = || {
        let host = number("host").map(Peer::Host);
        host.or_else(|| number("node").map(Peer::Node))
            .or_else(|| number("list").map(Peer::List))
    };
    range("host")
        .map(|(start, end)| PeerSet::HostRange(start, end))
        .or_else(|| range("node").map(|(start, end)| PeerSet::NodeRange(start, end)))
        .or_else(|| single().map(PeerSet::Single))
        .or_else(|| number("zone").map(PeerSet::Zone))
}
