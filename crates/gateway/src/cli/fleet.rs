//! `mallowseam fleet`: the membership of the fleet as running hosts see it.
use clap::Args;
use mallowseam_fleet_udp::{MembershipSnapshot, QueryError, query_membership};
use std::net::SocketAddr;
use std::time::Duration;

/// Pause between two polls of a watched host.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Args)]
pub(super) struct Options {
    /// Where a host listens for its fleet; with --agree several
    #[arg(required = true)]
    hosts: Vec<SocketAddr>,
    /// As one JSON object
    #[arg(long, conflicts_with_all = ["watch", "agree"])]
    json: bool,
    /// Tell changes as they come, until ended
    #[arg(long, conflicts_with = "agree")]
    watch: bool,
    /// Ask all these hosts and show where their views differ: exit 1 where they do
    #[arg(long)]
    agree: bool,
    /// With --watch: end after so many looks, half a second apart (0: never)
    #[arg(
        long = "looks",
        value_name = "LOOKS",
        default_value_t = 0,
        requires = "watch"
    )]
    polls: u64,
}

/// Why the membership could not be shown, or is not the same everywhere.
#[derive(Debug, thiserror::Error)]
pub(super) enum FleetError {
    #[error("{host}: {source}")]
    Query {
        host: SocketAddr,
        source: QueryError,
    },
    #[error("several hosts are asked with --agree alone")]
    SeveralHosts,
    #[error("{differ} of {all} views differ from the first")]
    Disagreement { differ: usize, all: usize },
}

fn query(host: SocketAddr) -> Result<MembershipSnapshot, FleetError> {
    query_membership(host).map_err(|source| FleetError::Query { host, source })
}

/// Prints what the options ask for.
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
        (_, true) => watch(host, first, options.polls),
    }
    Ok(())
}

/// Prints changes as they are seen; `polls` is 0 for no end.
fn watch(host: SocketAddr, mut last: MembershipSnapshot, polls: u64) {
    println!("as {} sees it: {}", last.host, last.state_counts());
    let mut polled = 0;
    while polls == 0 || polled < polls {
        std::thread::sleep(POLL_INTERVAL);
        polled += 1;
        match query(host) {
            Ok(view) => {
                view.changes_since(&last)
                    .iter()
                    .for_each(|change| println!("{change}"));
                last = view;
            }
            Err(e) => println!("{e}"),
        }
    }
}

/// Prints where the views of hosts differ from that of the first.
fn compare(hosts: &[SocketAddr]) -> Result<(), FleetError> {
    let views: Vec<MembershipSnapshot> = hosts
        .iter()
        .map(|host| query(*host))
        .collect::<Result<_, _>>()?;
    let mut differ = 0;
    for other in &views[1..] {
        let lines = views[0].differences(other);
        differ += usize::from(!lines.is_empty());
        lines.iter().for_each(|line| println!("{line}"));
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
