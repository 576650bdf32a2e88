//! A limit is lowered while its volume is surging, and another change arrives at the same moment. Rule: from the moment
//! at which a version is in force at all hosts, they send no more for the volume than its limit allows.
use mallowseam_audit::trace::{Micros, TraceEvent};
use review_stand_ins_2::record::{BROKEN, HELD, Record, not_run, trouble};
use review_stand_ins_2::site::{Site, client, host_address, node_address, service_address, write};
use std::collections::BTreeMap;
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

fn configuration(site: &Site, host: u8) -> String {
    let d = site.folder.path("");
    let d = d.display();
    format!(
        "host gw{host}\n  listen {}\n  target iqn.t:gateway\n  control \"{d}gw{host}.sock\"\n  node-list static\n  \
         follow {service}\n  kept-plans \"{d}gw{host}.plans\"\n  window 32\n  connections 100\n  longest 1MiB\n\
         fleet\n  hosts 2\n  unit 4KiB\n  mean-units 1\n  largest-units 8\n  submits 3\n\
         tariffs\n  listen {service}\n  store \"{d}plans\"\n  control \"{d}control.sock\"\n\
         plan basic\n  usual 40/s\n  limit 240/s burst 48\nplan standard\n  usual 40/s\n  reserve 20/s\n\
         group all\n  effect idempotent\n  goal 300ms\n  hard-limit 1s\n\
         volume a\n  lun 0\n  plan basic\n  blocks 4096\n  block-size 512B\n  hosts 2\n  extent 0 4096 node0 at 0\n  \
         rule any all\nvolume b\n  lun 1\n  plan standard\n  blocks 4096\n  block-size 512B\n  hosts 2\n  \
         extent 0 4096 node0 at 4096\n  rule any all\nnode node0\n  address {}\n  target iqn.t:node0\n",
        host_address(host),
        node_address(0),
        service = service_address(),
    )
}

/// Returns a host's quota of the limit of volume `a`.
fn quota(site: &Site, host: usize) -> f64 {
    let status = site.status(host);
    let volume = status.split("\"part\":").nth(1).unwrap_or_default();
    let number: String = volume
        .chars()
        .take_while(|c| c.is_ascii_digit() || *c == '.')
        .collect();
    number.parse().unwrap_or(0.0)
}

fn main() {
    let record = Record::create();
    let mut site = Site::with_nodes(1);
    for host in 0..2 {
        site.folder
            .write(&format!("conf{host}"), &configuration(&site, host));
    }
    site.start_control("conf0");
    (0..2).for_each(|host| site.start_host(host));
    let began = Instant::now();
    while !site
        .operator(&["plan", "hosts"], "conf0", &[])
        .1
        .contains("2 hosts; in force at all of them: 4")
    {
        if began.elapsed() > Duration::from_secs(15) {
            not_run(&site.operator(&["plan", "hosts"], "conf0", &[]).1);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    // The volume surges through host 0, and has no traffic through host 1, whose quota is leased to host 0.
    let stop = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(1));
    let clients: Vec<_> = (0..60)
        .map(|number| {
            let (stop, next) = (Arc::clone(&stop), Arc::clone(&next));
            std::thread::spawn(move || {
                let mut client = client(0, number);
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
    let began = Instant::now();
    while quota(&site, 0) < 180.0 {
        if began.elapsed() > Duration::from_secs(20) {
            not_run(&format!(
                "no quota moves to the busy host: {} and {}",
                quota(&site, 0),
                quota(&site, 1)
            ));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_secs(2));
    record.line(&format!(
        "quotas before: {} and {}",
        quota(&site, 0),
        quota(&site, 1)
    ));
    // The limit is lowered, and at the same moment another author changes another plan.
    let limit = format!("limit={LIMIT}");
    let burst = format!("burst={BURST}");
    let lower = [
        "basic",
        &limit,
        &burst,
        "--author",
        "board",
        "--reason",
        "tariff night",
        "--wait",
    ];
    let other = [
        "standard",
        "reserve=25",
        "--author",
        "desk",
        "--reason",
        "counters",
        "--wait",
    ];
    // VARIANT=restart: instead of the second change, the plan service is killed and started again.
    let restarts = std::env::var("VARIANT").is_ok_and(|variant| variant == "restart");
    let (in_force_at, version): (Micros, String) = if restarts {
        after_a_restart(&mut site, &record, &lower[..7])
    } else {
        after_another_change(&site, &record, &lower, &other)
    };
    record.line(&format!(
        "told `{version}`; quotas: {} and {}",
        quota(&site, 0),
        quota(&site, 1)
    ));
    std::thread::sleep(Duration::from_secs(5));
    record.line(&format!(
        "quotas 5 s later: {} and {}",
        quota(&site, 0),
        quota(&site, 1)
    ));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    // Units of volume `a`, each block I/O counted when it was first sent.
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
    // The limit's store, full when the version is in force: the lowest level that it reaches.
    let mut sent: Vec<(Micros, f64)> = first_sent
        .into_values()
        .filter(|(at, _)| *at >= in_force_at)
        .collect();
    sent.sort_by_key(|(at, _)| *at);
    let (mut level, mut lowest, mut last) = (BURST, BURST, in_force_at);
    let mut seconds = [0.0; 5];
    for (at, units) in &sent {
        level = (level + (*at - last) as f64 / 1e6 * LIMIT).min(BURST) - units;
        last = *at;
        lowest = lowest.min(level);
        if let Some(second) = seconds.get_mut(((at - in_force_at) / 1_000_000) as usize) {
            *second += units;
        }
        record.line(&format!(
            "node    gets {units} units {} ms after `in force`; the store holds {level:.1}",
            (at - in_force_at) / 1_000
        ));
    }
    record.say(&format!(
        "units in the seconds after `in force at all 2 hosts`: {seconds:?}; limit {LIMIT}/s"
    ));
    record.say(&format!(
        "lowest level of the limit's store: {lowest:.1}; allowed: {:.1}",
        -(SLACK + SOCKET_SLACK)
    ));
    drop(site);
    if sent.is_empty() {
        not_run("nothing was sent after the change");
    }
    let broken = lowest < -(SLACK + SOCKET_SLACK);
    if broken {
        record.say(
            "BROKEN: more than the limit was sent after the version was in force at all hosts",
        );
    }
    std::process::exit(if broken { BROKEN } else { HELD });
}

/// Lowers the limit while another author changes another plan. Returns when the latter was told that the new version is
/// in force at all hosts, and the text.
fn after_another_change(
    site: &Site,
    record: &Record,
    lower: &[&str],
    other: &[&str],
) -> (Micros, String) {
    std::thread::scope(|scope| {
        let first = scope.spawn(|| {
            let answer = site.operator(&["plan", "set"], "conf0", lower);
            record.line(&format!("board   limit {LIMIT}/s: {}", answer.1));
            (site.trace.now(), answer)
        });
        if !trouble() {
            let (at, (succeeded, text)) = first.join().expect("no panic");
            if !succeeded {
                not_run(&text);
            }
            return (at, text);
        }
        std::thread::sleep(Duration::from_millis(40));
        let (succeeded, text) = site.operator(&["plan", "set"], "conf0", other);
        let at = site.trace.now();
        record.line(&format!("desk    reserve 25/s: {text}"));
        if !succeeded || !text.contains("version 6 in force at all 2 hosts") {
            not_run(&format!("the second change: {text}"));
        }
        (at, text)
    })
}

/// Lowers the limit, then kills the plan service and starts it again. Returns when `plan hosts` says that the new version
/// is in force at all hosts, and its text.
fn after_a_restart(site: &mut Site, record: &Record, lower: &[&str]) -> (Micros, String) {
    let (_, text) = site.operator(&["plan", "set"], "conf0", lower);
    record.line(&format!("board   limit {LIMIT}/s: {text}"));
    if trouble() {
        site.service = None;
        site.start_control("conf0");
        record.line("the plan service was killed and started again");
    }
    let began = Instant::now();
    loop {
        let text = site.operator(&["plan", "hosts"], "conf0", &[]).1;
        if text.contains("in force at all of them: 5") {
            return (site.trace.now(), text.replace('\n', "; "));
        }
        if began.elapsed() > Duration::from_secs(15) {
            not_run(&text);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}
