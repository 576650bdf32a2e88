//! Posts for one account are queued in order while a snapshot is taken. Rule: posts of one key run one at a time, in the
//! order in which the host took them.
use mallowseam_audit::trace::TraceEvent;
use review_stand_ins_2::record::{BROKEN, HELD, Record, not_run, trouble};
use review_stand_ins_2::site::{
    Site, client, host_address, node_address, service_address, status, write,
};
use std::collections::BTreeMap;
use std::sync::Barrier;
use std::time::Duration;

/// Blocks of an extent, and of an account (the ordering key). An account lies on two extents.
const EXTENT: u64 = 32;
const ACCOUNT: u64 = 64;
const ACCOUNTS: u64 = 8;

fn configuration(site: &Site) -> String {
    let d = site.folder.path("");
    let d = d.display();
    let nodes: String = (0..2)
        .map(|n| {
            format!(
                "node node{n}\n  address {}\n  target iqn.t:node{n}\n",
                node_address(n)
            )
        })
        .collect();
    format!(
        "host gw0\n  listen {}\n  target iqn.t:gateway\n  control \"{d}gw0.sock\"\n  node-list static\n  \
         window 32\n  connections 40\n  longest 1MiB\n\
         fleet\n  hosts 1\n  unit 4KiB\n  mean-units 2\n  largest-units 8\n  submits 3\n  order-rest 200ms\n\
         catalog\n  listen {}\n  store \"{d}store\"\n  control \"{d}catalog.sock\"\n  extent {EXTENT}\n  copies copy\n\
         plan standard\n  reserve 500/s\n\
         group read\n  effect idempotent\n  goal 200ms\n  hard-limit 1s\n\
         group post\n  effect side-effecting\n  goal 250ms\n  hard-limit 2s\n  ordered\n\
         group copy\n  effect idempotent\n  goal 200ms\n  hard-limit 1s\n\
         volume a\n  lun 0\n  plan standard\n  blocks 512\n  block-size 512B\n  hosts 1\n  mapped\n  rule read read\n  \
         rule write post key {ACCOUNT}\n{nodes}",
        host_address(0),
        service_address(),
    )
}

fn main() {
    let record = Record::create();
    let mut site = Site::with_nodes(2);
    site.folder.write("conf0", &configuration(&site));
    site.start_catalog();
    site.start_host(0);
    std::thread::sleep(Duration::from_millis(500));
    let mut counter = client(0, 1);
    let post = |client: &mut _, id: u64, lba: u64| {
        let answer = write(client, 0, id, lba, 1).unwrap_or_else(|e| not_run(&e.to_string()));
        record.line(&format!(
            "client  post {id} at block {lba}: status {}",
            answer.status
        ));
        answer.status == status::GOOD
    };
    let mut id = 0;
    let mut next = || {
        id += 1;
        id
    };
    for account in 0..ACCOUNTS {
        let first = account * ACCOUNT;
        if !post(&mut counter, next(), first) || !post(&mut counter, next(), first + EXTENT) {
            not_run("the first posts are not served");
        }
    }
    let mut pairs = Vec::new();
    for account in 0..ACCOUNTS {
        let first = account * ACCOUNT;
        if trouble() {
            let answer = site
                .catalog(&format!("snapshot a day{account}"))
                .unwrap_or_else(|e| not_run(&e));
            record.line(&format!("operator takes a snapshot: {answer}"));
        }
        // A post to the second extent of the account, answered before the next two are sent.
        post(&mut counter, next(), first + EXTENT);
        // Two posts of the account, the second 2 ms after the first: while the first is under way.
        let (one, two) = (next(), next());
        let start = Barrier::new(2);
        let served = std::thread::scope(|scope| {
            let later = scope.spawn(|| {
                let mut desk = client(0, 100 + account as u32);
                start.wait();
                std::thread::sleep(Duration::from_millis(2));
                post(&mut desk, two, first + EXTENT)
            });
            start.wait();
            let earlier = post(&mut counter, one, first);
            [earlier, later.join().expect("no panic")]
        });
        pairs.push((account, one, two, served));
        std::thread::sleep(Duration::from_millis(100));
    }
    // When each post came to a node, and when it was answered there.
    let mut sent: BTreeMap<u64, u64> = BTreeMap::new();
    let mut open: BTreeMap<(u32, u64, u32), u64> = BTreeMap::new();
    let mut over: BTreeMap<u64, u64> = BTreeMap::new();
    for entry in site.trace.take() {
        match entry.event {
            // Group number 31 marks copies of extents.
            TraceEvent::NodeReceived {
                node,
                connection,
                task,
                write: true,
                write_ids,
                group_number,
                lun,
                ..
            } if group_number != 31 => {
                let id = write_ids.first().copied().unwrap_or(0);
                sent.entry(id).or_insert(entry.at);
                open.insert((node, connection, task), id);
                record.line(&format!(
                    "trace {} us: node{node} gets post {id} for LUN {lun}",
                    entry.at
                ));
            }
            TraceEvent::NodeAnswered {
                node,
                connection,
                task,
                status,
            } => {
                if let Some(id) = open.remove(&(node, connection, task)) {
                    over.insert(id, entry.at);
                    record.line(&format!(
                        "trace {} us: node{node} answers post {id}: status {status}",
                        entry.at
                    ));
                }
            }
            _ => {}
        }
    }
    let (mut compared, mut broken) = (0, 0);
    for (account, one, two, served) in pairs {
        let (Some(one_over), Some(two_sent)) = (over.get(&one), sent.get(&two)) else {
            continue;
        };
        compared += 1;
        if two_sent < one_over {
            broken += 1;
            record.say(&format!(
                "BROKEN: account {account}: post {two} was sent to a node {} us before post {one}, taken earlier, was over (GOOD: {served:?})",
                one_over - two_sent
            ));
        }
    }
    record.say(&format!("{compared} pairs of posts, {broken} out of order"));
    drop(site);
    if compared == 0 {
        not_run("no pair of posts ran");
    }
    std::process::exit(if broken > 0 { BROKEN } else { HELD });
}
