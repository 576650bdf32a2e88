//! `mallowseam fleet`: the membership of the fleet as running hosts see it.
use clap::Args;
use mallowseam_fleet_udp::{MembershipSnapshot, QueryError, query_membership};
use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::time::Duration;

/// Interval between two polls of a watched host.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Args)]
pub(super) struct Options {
    /// Address on which a host listens for its fleet; several with --agree
    #[arg(required = true)]
    hosts: Vec<SocketAddr>,
    /// Print one JSON object
    #[arg(long, conflicts_with_all = ["watch", "agree"])]
    json: bool,
    /// Keep polling the host and print changes
    #[arg(long, conflicts_with = "agree")]
    watch: bool,
    /// Compare the membership tables of several hosts; the exit code is 1 if they differ
    #[arg(long)]
    agree: bool,
    /// With --watch: stop after this many polls, half a second apart; 0 polls until interrupted
    #[arg(
        long,
        visible_alias = "looks",
        value_name = "POLLS",
        default_value_t = 0,
        requires = "watch"
    )]
    polls: u64,
}

/// Error of a membership query, or the difference that a comparison has found.
#[derive(Debug, thiserror::Error)]
pub(super) enum FleetError {
    #[error("{host}: {source}")]
    Query {
        host: SocketAddr,
        source: QueryError,
    },
    #[error("several hosts can only be given together with --agree")]
    SeveralHosts,
    #[error("membership tables of {differ} of {all} hosts differ from that of the first host")]
    Disagreement { differ: usize, all: usize },
}

fn query(host: SocketAddr) -> Result<MembershipSnapshot, FleetError> {
    query_membership(host).map_err(|source| FleetError::Query { host, source })
}

/// `mallowseam fleet`: prints the membership, its changes or the differences between hosts.
pub(super) fn execute(options: &Options) -> Result<(), FleetError> {
    if options.agree {
        return compare(&options.hosts);
    }
    let [host] = options.hosts[..] else {
        return Err(FleetError::SeveralHosts);
    };
    let first = query(host)?;
    match (options.json, options.watch) {
        (true, _) => println!("{}", first.to_json()),
        (_, false) => print!("{}", first.to_table()),
        (_, true) => watch(host, first, NonZeroU64::new(options.polls)),
    }
    Ok(())
}

/// Polls a host and prints the changes of its membership table, `max_polls` times or without end if that is none.
fn watch(host: SocketAddr, mut last: MembershipSnapshot, max_polls: Option<NonZeroU64>) {
    println!("as {} sees it: {}", last.host, last.state_counts());
    let mut polled = 0;
    while max_polls.is_none_or(|max| polled < max.get()) {
        std::thread::sleep(POLL_INTERVAL);
        polled += 1;
        match query(host) {
            Ok(view) => {
                for change in view.changes_since(&last) {
                    println!("{change}");
                }
                last = view;
            }
            Err(e) => println!("{e}"),
        }
    }
}

/// Prints the differences between the membership tables of hosts and that of the first host.
fn compare(hosts: &[SocketAddr]) -> Result<(), FleetError> {
    let views: Vec<MembershipSnapshot> = hosts
        .iter()
        .map(|host| query(*host))
        .collect::<Result<_, _>>()?;
    let mut differ = 0;
    for other in &views[1..] {
        let lines = views[0].differences(other);
        differ += usize::from(!lines.is_empty());
        for line in lines {
            println!("{line}");
        }
    }
    println!(
        "{} hosts asked, {} see what {} sees",
        views.len(),
        views.len() - differ,
        views[0].host
    );
    if differ == 0 {
        Ok(())
    } else {
        Err(FleetError::Disagreement {
            differ,
            all: views.len(),
        })
    }
}
