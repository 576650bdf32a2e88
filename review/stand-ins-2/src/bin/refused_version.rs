//! A host turns down a version of the plans, and its stream breaks. Rule: a version that a host has turned down is not
//! in force there; the limit of a version that is in force at all hosts holds across all hosts.
use mallowseam_audit::trace::{Micros, TraceEvent};
use review_stand_ins_2::process::ip;
use review_stand_ins_2::proxy::Proxy;
use review_stand_ins_2::record::{BROKEN, HELD, Record, not_run, trouble};
use review_stand_ins_2::site::{Site, client, host_address, node_address, service_address, write};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Limit of the plan `basic` after the change, in units a second, and its burst.
const LIMIT: f64 = 40.0;
const BURST: f64 = 16.0;
/// One of the largest block I/Os, which is more than 10% of the burst.
const SLACK: f64 = 8.0;
/// On sockets the slack grows by what the limit allows in 150 ms.
const SOCKET_SLACK: f64 = LIMIT * 0.15;

/// `follow`: where the host reaches the plan service. `has_b`: whether the file has the volume `b`.
fn configuration(site: &Site, host: u8, follow: SocketAddr, has_b: bool) -> String {
    let d = site.folder.path("");
    let d = d.display();
    let volume_b = if has_b {
        "volume b\n  lun 1\n  plan standard\n  blocks 4096\n  block-size 512B\n  hosts 1\n  extent 0 4096 node0 at 4096\n  rule any all\n"
    } else {
        ""
    };
    format!(
        "host gw{host}\n  listen {}\n  target iqn.t:gateway\n  control \"{d}gw{host}.sock\"\n  node-list static\n  \
         follow {follow}\n  kept-plans \"{d}gw{host}.plans\"\n  window 32\n  connections 100\n  longest 1MiB\n\
         fleet\n  hosts 2\n  unit 4KiB\n  mean-units 1\n  largest-units 8\n  submits 3\n\
         tariffs\n  listen {}\n  store \"{d}plans\"\n  control \"{d}control.sock\"\n\
         plan basic\n  usual 40/s\n  limit 240/s burst 48\nplan standard\n  usual 40/s\n  reserve 20/s\n\
         group all\n  effect idempotent\n  goal 300ms\n  hard-limit 1s\n\
         volume a\n  lun 0\n  plan basic\n  blocks 4096\n  block-size 512B\n  hosts 2\n  extent 0 4096 node0 at 0\n  \
         rule any all\n{volume_b}node node0\n  address {}\n  target iqn.t:node0\n",
        host_address(host),
        service_address(),
        node_address(0),
    )
}

fn main() {
    let record = Record::create();
    let mut site = Site::with_nodes(1);
    let through_proxy: SocketAddr = (ip(31), 7000).into();
    site.folder
        .write("service", &configuration(&site, 0, service_address(), true));
    site.folder
        .write("conf0", &configuration(&site, 0, service_address(), false));
    site.folder
        .write("conf1", &configuration(&site, 1, through_proxy, true));
    site.start_control("service");
    let proxy = Proxy::start(through_proxy, service_address());
    (0..2).for_each(|host| site.start_host(host));
    let hosts = |site: &Site| site.operator(&["plan", "hosts"], "service", &[]).1;
    let wait = |site: &Site, text: &str, bound: u64| {
        let began = Instant::now();
        while !hosts(site).contains(text) {
            if began.elapsed() > Duration::from_secs(bound) {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    };
    if !wait(&site, "2 hosts; in force at all of them: 4", 15) {
        not_run(&hosts(&site));
    }
    // Version 5 takes back the assignment of a plan to volume `b`, which host 1 serves: it turns the version down.
    let by = ["--author", "desk", "--reason", "not needed"];
    let undo = site.operator(
        &["plan", "undo"],
        "service",
        &[&["4"][..], &by[..]].concat(),
    );
    record.line(&format!("desk    undo of version 4: {}", undo.1));
    // Version 6 lowers the limit of `basic`. Host 1 goes on with version 4.
    let (limit, burst) = (format!("limit={LIMIT}"), format!("burst={BURST}"));
    let lower = [
        "basic",
        &limit,
        &burst,
        "--author",
        "board",
        "--reason",
        "tariff night",
    ];
    let set = site.operator(&["plan", "set"], "service", &lower);
    record.line(&format!("board   limit {LIMIT}/s: {}", set.1));
    if !undo.0 || !set.0 {
        not_run("the changes were not made");
    }
    std::thread::sleep(Duration::from_secs(4));
    record.line(&format!("hosts   {}", hosts(&site).replace('\n', "; ")));
    if hosts(&site).contains("in force at all of them: 6") {
        not_run("no host has turned the version down");
    }
    if trouble() {
        proxy.break_connections();
        record.line("the stream to host 1 breaks, and may be opened again at once");
    }
    let told = wait(&site, "in force at all of them: 6", 12);
    let in_force_at: Micros = site.trace.now();
    record.say(&format!(
        "the service says: {}",
        hosts(&site).replace('\n', "; ")
    ));
    // The volume surges through host 1.
    let stop = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(1));
    let clients: Vec<_> = (0..60)
        .map(|number| {
            let (stop, next) = (Arc::clone(&stop), Arc::clone(&next));
            std::thread::spawn(move || {
                let mut client = client(1, number);
                while !stop.load(Ordering::Relaxed) {
                    let id = next.fetch_add(1, Ordering::Relaxed);
                    match write(&mut client, 0, id, id % 500 * 8, 8) {
                        Ok(answer) if answer.status == 0 => {}
                        Ok(_) => std::thread::sleep(Duration::from_millis(5)),
                        Err(_) => return,
                    }
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let mut first_sent: BTreeMap<u64, (Micros, f64)> = BTreeMap::new();
    for entry in site.trace.take() {
        if let TraceEvent::NodeReceived {
            write_ids,
            blocks,
            lba,
            ..
        } = entry.event
            && lba < 4096
        {
            let id = write_ids.first().copied().unwrap_or(0);
            first_sent
                .entry(id)
                .or_insert((entry.at, f64::from(blocks) / 8.0));
        }
    }
    let mut sent: Vec<(Micros, f64)> = first_sent
        .into_values()
        .filter(|(at, _)| *at >= in_force_at)
        .collect();
    sent.sort_by_key(|(at, _)| *at);
    let (mut level, mut lowest, mut last) = (BURST, BURST, in_force_at);
    let mut seconds = [0.0; 6];
    for (at, units) in &sent {
        level = (level + (*at - last) as f64 / 1e6 * LIMIT).min(BURST) - units;
        last = *at;
        lowest = lowest.min(level);
        if let Some(second) = seconds.get_mut(((at - in_force_at) / 1_000_000) as usize) {
            *second += units;
        }
        record.line(&format!(
            "node    gets {units} units {} ms later; the store of version 6 holds {level:.1}",
            (at - in_force_at) / 1_000
        ));
    }
    record.say(&format!(
        "units in the seconds from then on: {seconds:?}; limit of version 6: {LIMIT}/s"
    ));
    record.say(&format!(
        "lowest level of its store: {lowest:.1}; allowed: {:.1}",
        -(SLACK + SOCKET_SLACK)
    ));
    drop(site);
    if sent.is_empty() {
        not_run("nothing was sent");
    }
    let broken = told && lowest < -(SLACK + SOCKET_SLACK);
    if broken {
        record.say("BROKEN: the version is said to be in force at all hosts; one acts on another, and the limit does not hold");
    }
    std::process::exit(if broken { BROKEN } else { HELD });
}
