//! `mallowseam fleet`: the view that running hosts have of their fleet.
use clap::Args;
use mallowseam_fleet_udp::{MembershipSnapshot, query_membership};
use std::net::SocketAddr;
use std::time::Duration;

/// Pause between two looks.
const EVERY: Duration = Duration::from_millis(500);

#[derive(Args)]
pub(crate) struct Options {
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
    #[arg(long, default_value_t = 0, requires = "watch")]
    looks: u64,
}

fn ask(host: SocketAddr) -> Result<MembershipSnapshot, String> {
    query_membership(host).map_err(|e| format!("{host}: {e}"))
}

pub(crate) fn run(options: &Options) -> Result<(), String> {
    if options.agree {
        return agree(&options.hosts);
    }
    let [host] = options.hosts[..] else { return Err("several hosts are asked with --agree alone".into()) };
    let first = ask(host)?;
    match (options.json, options.watch) {
        (true, _) => println!("{}", first.to_json()),
        (_, false) => print!("{}", first.to_table()),
        (_, true) => watch(host, first, options.looks),
    }
    Ok(())
}

fn watch(host: SocketAddr, mut last: MembershipSnapshot, looks: u64) {
    println!("as {} sees it: {}", last.host, last.state_counts());
    let mut looked = 0;
    while looks == 0 || looked < looks {
        std::thread::sleep(EVERY);
        looked += 1;
        match ask(host) {
            Ok(now) => {
                now.changes_since(&last).iter().for_each(|c| println!("{c}"));
                last = now;
            }
            Err(why) => println!("{why}"),
        }
    }
}

fn agree(hosts: &[SocketAddr]) -> Result<(), String> {
    let views: Vec<MembershipSnapshot> = hosts.iter().map(|h| ask(*h)).collect::<Result<_, _>>()?;
    let mut differ = 0;
    for other in &views[1..] {
        let lines = views[0].differences(other);
        differ += usize::from(!lines.is_empty());
        lines.iter().for_each(|l| println!("{l}"));
    }
    println!("{} hosts asked, {} see what {} sees", views.len(), views.len() - differ, views[0].host);
    if differ == 0 { Ok(()) } else { Err(format!("{differ} of {} views differ from the first", views.len())) }
}
